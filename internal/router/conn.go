package router

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 << 20
	// responseBufferBytes is the size of a connection's read buffer, which
	// bounds the headers of a response.
	responseBufferBytes = 16 << 10
	dialTimeout         = time.Second
	maxIdleTime         = 30 * time.Second
)

// attemptOutcome is the outcome of one attempt.
type attemptOutcome int

const (
	// answered: the complete response of the target was read.
	answered attemptOutcome = iota
	// refused: the target had no free slot and did not run the request.
	refused
	// leaving: the target is leaving and did not run the request.
	leaving
	// notSent: no byte of the request was sent.
	notSent
	// lost: the request may have run and its response is not known.
	lost
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"answered", "refused", "leaving", "not_sent", "lost"}

// conn is a connection to a target. It carries one request at a time and is
// closed after a request unless the response was read completely and no data
// follows it.
//
// conn replaces fasthttp's HostClient, which reports the same errors whether
// or not a byte was sent, resends a request by itself when an idle connection
// turns out to be closed, and reads a body without a length up to the end of
// the connection, so that a truncated body looks complete.
type conn struct {
	net       net.Conn
	raw       syscall.RawConn
	reader    *bufio.Reader
	idleSince time.Time
	isBusy    atomic.Bool
	// peek sets isIdle if the socket is open and has no data to read.
	peek   func(fd uintptr) bool
	isIdle bool
}

func newConn(n net.Conn) *conn {
	c := &conn{net: n, reader: bufio.NewReaderSize(n, responseBufferBytes)}
	if s, ok := n.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.isIdle = err == syscall.EAGAIN
		return true
	}
	return c
}

// isUsable reports whether an idle connection is still open and has no data to
// read. It detects, before a byte of a request is sent, that the target closed
// the connection or sent unsolicited data.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	c.isIdle = false
	return c.raw.Read(c.peek) == nil && c.isIdle
}

var longAgo = time.Unix(1, 0)

// interrupt makes the exchange in progress fail.
func (c *conn) interrupt() { _ = c.net.SetDeadline(longAgo) }

// exchange sends one request and reads its response. Its second result reports
// whether the connection can be used for another request.
func (c *conn) exchange(request []byte, response *fasthttp.Response, id []byte, isHead bool) (attemptOutcome, bool, error) {
	n, err := c.net.Write(request)
	if err != nil {
		if n == 0 {
			return notSent, false, errors.Wrap(err, "write request")
		}
		return lost, false, errors.Wrapf(err, "write request: %d of %d bytes sent", n, len(request))
	}
	if err := readResponse(c.reader, response, isHead); err != nil {
		return lost, false, errors.Wrap(err, "read response")
	}
	if !bytes.Equal(response.Header.Peek(RequestIDHeader), id) {
		return lost, false, errors.New("response to another request")
	}
	isReusable := !response.ConnectionClose() && c.reader.Buffered() == 0
	admission := response.Header.Peek(AdmissionHeader)
	switch {
	case len(admission) == 0:
		return answered, isReusable, nil
	case string(admission) == AdmissionRefused && response.StatusCode() == fasthttp.StatusTooManyRequests:
		return refused, isReusable, errors.New("target has no free slot")
	case string(admission) == AdmissionLeaving && response.StatusCode() == fasthttp.StatusServiceUnavailable:
		return leaving, isReusable, errors.New("target is leaving")
	}
	return lost, false, errors.Errorf("response has status %d and admission %q", response.StatusCode(), admission)
}

// untilCloseLength is the content length that fasthttp reports for a body that
// ends when the connection is closed.
const untilCloseLength = -2

// readResponse reads a whole response. It returns an error for a body whose
// length is not known, since a truncated body could not be detected.
func readResponse(r *bufio.Reader, response *fasthttp.Response, isHead bool) error {
	response.Reset()
	response.SkipBody = isHead
	response.Header.SetNoDefaultContentType(true)
	h := &response.Header
	for n := 0; ; n++ {
		if err := h.Read(r); err != nil {
			return err
		}
		if status := h.StatusCode(); status >= 200 {
			break
		} else if n > 4 || status == fasthttp.StatusSwitchingProtocols {
			return errors.Errorf("unexpected status %d", status)
		}
	}
	if isHead || h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified {
		return nil
	}
	length := h.ContentLength()
	if length == untilCloseLength {
		return errors.New("response does not state the length of its body")
	}
	if err := response.ReadBody(r, maxResponseBytes); err != nil {
		return err
	}
	if length >= 0 {
		if got := len(response.Body()); got != length {
			return errors.Errorf("body has %d of %d bytes", got, length)
		}
		return nil
	}
	return errors.Wrap(h.ReadTrailer(r), "read trailer")
}

// pool holds the connections to one target.
type pool struct {
	addr string
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu sync.Mutex
	// open is the number of connections that are idle, in use or being dialled.
	// It is at most limit, except after limit was lowered.
	open, limit int
	idle        []*conn
	isClosed    bool
}

var errConnectionLimit = errors.New("all connections of this daemon's share of the target are in use")

// get returns an idle connection or a new one. It fails with
// errConnectionLimit if all connections of the limit are in use. After any
// error, nothing was sent.
func (p *pool) get(deadline time.Time) (*conn, error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			break
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if c.isUsable() {
			return c, nil
		}
		p.closeConn(c)
	}
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, errConnectionLimit
	}
	p.open++
	p.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ctx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	n, err := p.dial(ctx, p.addr)
	if err != nil {
		p.decrementOpen()
		return nil, errors.Wrap(err, "connect to target")
	}
	return newConn(n), nil
}

// put returns a connection whose last response was read completely to the
// pool, and closes connections that have been idle for maxIdleTime.
func (p *pool) put(c *conn, now time.Time) {
	c.idleSince = now
	var old []*conn
	p.mu.Lock()
	if p.isClosed || p.open > p.limit {
		p.mu.Unlock()
		p.closeConn(c)
		return
	}
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > maxIdleTime {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	for _, c := range old {
		p.closeConn(c)
	}
}

func (p *pool) closeConn(c *conn) {
	_ = c.net.Close()
	p.decrementOpen()
}

func (p *pool) decrementOpen() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// resize sets the limit and closes idle connections above it.
func (p *pool) resize(limit int) {
	p.mu.Lock()
	p.limit = limit
	var excess []*conn
	for len(p.idle) > 0 && p.open-len(excess) > limit {
		excess = append(excess, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range excess {
		p.closeConn(c)
	}
}

// close closes the idle connections, and makes put close those in use.
func (p *pool) close() {
	p.mu.Lock()
	p.isClosed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.closeConn(c)
	}
}
