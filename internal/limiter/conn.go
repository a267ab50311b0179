package limiter

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// deadlineStep is how much later than asked for a deadline may be. A deadline is set anew
// only when it has moved by more, because setting one for each request costs more than
// the rest of the limits.
const deadlineStep = time.Second

// phase is what a connection waits for.
type phase int

const (
	// isNew is before the first byte of the first request.
	isNew phase = iota
	isIdle
	inHeader
	inBody
)

var limitsByPhase = [...]string{isNew: limitIdleTime, isIdle: limitIdleTime, inHeader: limitHeaderTime, inBody: limitBodyTime}

// conn is a connection of a client. Its methods are called by the goroutine that serves
// it, except for Close.
type conn struct {
	net.Conn
	server *Server
	entry  *Entry
	phase  phase
	// readBy and writeBy are when the reads of the phase and the writes of the response
	// must have ended, counted from the start of the limiter, which needs half as much of
	// the system's clock as the time of day. They are zero until the first of these reads
	// and writes, since most requests arrive by one read. armedRead and armedWrite are the
	// deadlines that were applied last.
	readBy, writeBy, armedRead, armedWrite time.Duration
	// mustLinger says that the client may still be sending a body that was refused.
	// The connection then stays open for a short time after the response, since an
	// immediate reset could keep the client from reading it.
	mustLinger atomic.Bool
	isClosed   atomic.Bool
}

// setPhase records a change of the connection's state.
func (c *conn) setPhase(state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateActive:
		// The library may write before the handler has run: a refusal, or that the client
		// may go on. The time of the previous response doesn't count for that.
		c.phase, c.readBy, c.writeBy = inHeader, 0, 0
	case fasthttp.StateIdle:
		c.phase, c.readBy = isIdle, 0
	}
}

// SetReadDeadline sets the time until which the following reads must end. The library calls
// it only for bodies, as it has no timeouts of its own.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.phase, c.readBy = inBody, t.Sub(c.server.limiter.began)
	return nil
}

// beginResponse gives the following writes the time for a response.
func (c *conn) beginResponse() { c.writeBy = 0 }

// armed returns the deadline to set so that an operation ends at the time by or up to
// deadlineStep later, and whether it differs from the one that is set.
func armed(by, current time.Duration) (time.Duration, bool) {
	if current >= by && current-by <= deadlineStep {
		return current, false
	}
	return by + deadlineStep, true
}

// Read reads a part of a request.
func (c *conn) Read(b []byte) (int, error) {
	if c.readBy == 0 {
		limits := c.server.limiter.Limits()
		timeout := limits.IdleTimeout
		if c.phase == inHeader {
			timeout = limits.HeaderTimeout
		}
		c.readBy = time.Since(c.server.limiter.began) + timeout
	}
	if t, isChanged := armed(c.readBy, c.armedRead); isChanged {
		if err := c.Conn.SetReadDeadline(c.server.limiter.began.Add(t)); err != nil {
			return 0, err
		}
		c.armedRead = t
	}
	n, err := c.Conn.Read(b)
	if isTimeout(err) && !c.isClosed.Load() {
		c.server.refuse(limitsByPhase[c.phase])
	}
	return n, err
}

// Write writes a part of a response.
func (c *conn) Write(b []byte) (int, error) {
	if c.writeBy == 0 {
		c.writeBy = time.Since(c.server.limiter.began) + c.server.limiter.Limits().WriteTimeout
	}
	if t, isChanged := armed(c.writeBy, c.armedWrite); isChanged {
		if err := c.Conn.SetWriteDeadline(c.server.limiter.began.Add(t)); err != nil {
			return 0, err
		}
		c.armedWrite = t
	}
	n, err := c.Conn.Write(b)
	if isTimeout(err) {
		c.server.refuse(limitWriteTime)
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	if !c.isClosed.CompareAndSwap(false, true) {
		return nil
	}
	defer c.server.connections.Remove(c.entry)
	if c.mustLinger.Load() {
		c.discard()
	}
	return c.Conn.Close()
}

// discard reads for lingerTime what the client still sends, up to lingerBytes.
func (c *conn) discard() {
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	b := c.server.limiter.buffers.Get().(*[]byte)
	defer c.server.limiter.buffers.Put(b)
	for sum := 0; sum < lingerBytes; {
		n, err := c.Conn.Read((*b)[:cap(*b)])
		if err != nil {
			return
		}
		sum += n
	}
}

func isTimeout(err error) bool {
	if err == nil {
		// The variable below is allocated.
		return false
	}
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
