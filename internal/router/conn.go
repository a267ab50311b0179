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
	// maxResponseBytes is the largest response body that is passed on.
	maxResponseBytes = 16 << 20
	// responseBuffer bounds the headers of a response.
	responseBuffer = 16 << 10
	dialTimeout    = time.Second
	maxIdle        = 30 * time.Second
)

// exchangeKind is what became of one attempt.
type exchangeKind int

const (
	// answered: the target's complete response to this request was read.
	answered exchangeKind = iota
	// refused: the target had no free slot and did not run the request.
	refused
	// leaving: the target is leaving and did not run the request.
	leaving
	// notSent: no byte of the request was sent.
	notSent
	// lost: the request may have run and its response is not known.
	lost
	kinds
)

var kindNames = [kinds]string{"answered", "refused", "leaving", "not_sent", "lost"}

// conn is one connection to a target. It carries one request at a time and is
// closed unless the response was read completely and nothing follows it.
//
// fasthttp's HostClient is not used here: it reports the same errors whether
// or not a byte was sent, sends again by itself when an idle connection turns
// out to be closed, and reads a body without a length up to the end of the
// connection, so that a truncated one looks complete.
type conn struct {
	net     net.Conn
	raw     syscall.RawConn
	reader  *bufio.Reader
	idle    time.Time
	busy    atomic.Bool
	peek    func(fd uintptr) bool
	isFresh bool
}

func newConn(n net.Conn) *conn {
	c := &conn{net: n, reader: bufio.NewReaderSize(n, responseBuffer)}
	if s, ok := n.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.isFresh = err == syscall.EAGAIN
		return true
	}
	return c
}

// isUsable reports whether an idle connection is still open and silent. A
// target that closed it, or that sent something unasked, is noticed here,
// before a byte is sent.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	c.isFresh = false
	return c.raw.Read(c.peek) == nil && c.isFresh
}

var past = time.Unix(1, 0)

// interrupt makes a blocked exchange fail.
func (c *conn) interrupt() { _ = c.net.SetDeadline(past) }

// exchange sends one request and reads its response. The connection can be
// used again only when the second result is true.
func (c *conn) exchange(request []byte, response *fasthttp.Response, id []byte, isHead bool) (exchangeKind, bool, error) {
	n, err := c.net.Write(request)
	if err != nil {
		if n == 0 {
			return notSent, false, errors.Wrap(err, "write")
		}
		return lost, false, errors.Wrapf(err, "write: %d of %d bytes sent", n, len(request))
	}
	if err := readResponse(c.reader, response, isHead); err != nil {
		return lost, false, errors.Wrap(err, "read")
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
		return refused, isReusable, errors.New("no free slot")
	case string(admission) == AdmissionLeaving && response.StatusCode() == fasthttp.StatusServiceUnavailable:
		return leaving, isReusable, errors.New("target is leaving")
	}
	return lost, false, errors.Errorf("response has status %d and admission %q", response.StatusCode(), admission)
}

// identityLength is what fasthttp reports for a body that ends with the
// connection.
const identityLength = -2

// readResponse reads a whole response. A body whose end can't be known is an
// error, since it can't be told from a truncated one.
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
	if length == identityLength {
		return errors.New("response without the length of its body")
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
	return errors.Wrap(h.ReadTrailer(r), "trailer")
}

// pool has the connections of one target.
type pool struct {
	addr string
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu sync.Mutex
	// open counts the connections that are idle, in use or being dialled. It
	// is at most limit, except after the limit was lowered.
	open, limit int
	idle        []*conn
	isClosed    bool
}

var errNoConnection = errors.New("share of the target's connections is used up")

// get returns a connection that carries no request. Its error means that
// nothing was sent.
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
		p.close(c)
	}
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	p.open++
	p.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	n, err := p.dial(ctx, p.addr)
	if err != nil {
		p.forget()
		return nil, errors.Wrap(err, "connect")
	}
	return newConn(n), nil
}

// put takes back a connection whose last response was read completely.
func (p *pool) put(c *conn, now time.Time) {
	c.idle = now
	var old []*conn
	p.mu.Lock()
	if p.isClosed || p.open > p.limit {
		p.mu.Unlock()
		p.close(c)
		return
	}
	for len(p.idle) > 0 && now.Sub(p.idle[0].idle) > maxIdle {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	for _, c := range old {
		p.close(c)
	}
}

func (p *pool) close(c *conn) {
	_ = c.net.Close()
	p.forget()
}

func (p *pool) forget() {
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
		p.close(c)
	}
}

// shut closes the idle connections and those that are given back later.
func (p *pool) shut() {
	p.mu.Lock()
	p.isClosed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.close(c)
	}
}
