package limiter

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// managedTimeout marks the read deadlines that the HTTP library sets by its own fixed
// timeouts. The connection replaces them by those of the limits in force, which may change
// with the configuration.
const managedTimeout = time.Hour

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
	// readBy and writeBy are when the next read and write must have ended; they are
	// applied when the read or write happens. armedRead and armedWrite are the deadlines
	// that were applied last.
	readBy, writeBy, armedRead, armedWrite time.Time
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
		if c.phase == isNew {
			// The library sets no deadline between the first byte and the header of a
			// new connection.
			c.readBy = time.Now().Add(c.server.limiter.Limits().HeaderTimeout)
		}
		c.phase = inHeader
	case fasthttp.StateIdle:
		c.phase = isIdle
	}
}

// SetReadDeadline sets the time until which the following reads must end.
func (c *conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	limits := c.server.limiter.Limits()
	switch {
	case t.Sub(now) < managedTimeout/2:
		c.phase = inBody
	case c.phase == inHeader:
		t = now.Add(limits.HeaderTimeout)
	default:
		t = now.Add(limits.IdleTimeout)
	}
	c.readBy = t
	return nil
}

// SetWriteDeadline sets the time until which the following writes must end.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeBy = t
	return nil
}

// armed returns the deadline to set so that an operation ends at the time by or up to
// deadlineStep later, and whether it differs from the one that is set.
func armed(by, current time.Time) (time.Time, bool) {
	if !current.Before(by) && current.Sub(by) <= deadlineStep {
		return current, false
	}
	return by.Add(deadlineStep), true
}

// Read reads a part of a request.
func (c *conn) Read(b []byte) (int, error) {
	if t, isChanged := armed(c.readBy, c.armedRead); isChanged && !c.readBy.IsZero() {
		if err := c.Conn.SetReadDeadline(t); err != nil {
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
	if t, isChanged := armed(c.writeBy, c.armedWrite); isChanged && !c.writeBy.IsZero() {
		if err := c.Conn.SetWriteDeadline(t); err != nil {
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
	var network net.Error
	return err != nil && errors.As(err, &network) && network.Timeout()
}
