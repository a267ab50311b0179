package limiter

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
)

// refusedHeader marks a request whose header shows that it is refused, between the hook of
// the HTTP library for headers and the handler. Its value is the limit. A marked request has
// a length of 0, which is what the handler looks for first.
const refusedHeader = "Tarragonhead-Refused"

// Server applies the limits to one server of a process.
type Server struct {
	limiter     *Limiter
	budget      *Budget
	connections *Connections
	refusals    *prometheus.CounterVec
	// maxBodyBytes returns the limit for a body. patience returns how long the client of
	// a request waits for its response.
	maxBodyBytes func() int
	patience     func(*fasthttp.RequestHeader) time.Duration
	// workFactor is how many times the size of a body its handling needs.
	workFactor     int64
	writeRefusal   func(ctx *fasthttp.RequestCtx, status int, message string)
	writeReadError func(ctx *fasthttp.RequestCtx, err error)
	// noRoomResponse is a whole response.
	noRoomResponse []byte
}

// ServerOptions configures a server.
type ServerOptions struct {
	Name string
	// Share is the part of the process's connections that the server may have.
	Share float64
	// Budget bounds the bytes of requests; if nil, it is that of the limiter.
	Budget *Budget
	// MaxBodyBytes returns the limit for a body; if nil, it is that of the limits.
	MaxBodyBytes func() int
	// Patience returns how long the client of a request waits for its response, if that
	// is longer than the limit for a body; nil if clients can't tell.
	Patience func(*fasthttp.RequestHeader) time.Duration
	// WorkFactor is how many times the size of a body its handling needs, besides the body;
	// 0 stands for that of a body which is decoded and stored.
	WorkFactor int64
	// WriteRefusal sets the status and the body of the response to a refused request, and
	// WriteReadError those to a request that could not be read. If nil, the responses are
	// objects with the field error, and short texts.
	WriteRefusal   func(ctx *fasthttp.RequestCtx, status int, message string)
	WriteReadError func(ctx *fasthttp.RequestCtx, err error)
	// NoRoomBody is the JSON body of the response to a connection for which there is no
	// room; it may be empty.
	NoRoomBody string
}

// Server returns the limits of one server.
func (l *Limiter) Server(o ServerOptions) *Server {
	s := &Server{
		limiter: l, budget: o.Budget, connections: NewConnections(max(1, int(o.Share*float64(l.maxConnections)))),
		refusals: l.refusals.MustCurryWith(prometheus.Labels{"server": o.Name}), maxBodyBytes: o.MaxBodyBytes, patience: o.Patience,
		workFactor: o.WorkFactor, writeRefusal: o.WriteRefusal, writeReadError: o.WriteReadError, noRoomResponse: noRoomResponse(o.NoRoomBody),
	}
	if s.budget == nil {
		s.budget = l.budget
	}
	if s.workFactor == 0 {
		s.workFactor = workFactor
	}
	if s.writeRefusal == nil {
		s.writeRefusal = writeRefusal
	}
	if s.writeReadError == nil {
		s.writeReadError = writeReadError
	}
	if s.maxBodyBytes == nil {
		s.maxBodyBytes = func() int { return l.Limits().MaxBodyBytes }
	}
	return s
}

// RefuseShape counts a body that was refused for its nesting or its elements.
func (s *Server) RefuseShape() { s.refuse(limitShape) }

// RefuseMemory counts a request for which the budget had no room.
func (s *Server) RefuseMemory() { s.refuse(limitMemory) }

func (s *Server) refuse(limit string) { s.refusals.WithLabelValues(limit).Inc() }

// Attach applies the limits to the requests that h serves, whose handler is set.
// Connections are limited only if they come from Listener.
func (s *Server) Attach(h *fasthttp.Server) {
	limits := s.limiter.Limits()
	// The library would otherwise reserve the announced size of a body before any of it
	// arrives.
	h.StreamRequestBody = true
	h.DisablePreParseMultipartForm = true
	h.MaxRequestBodySize = bufferBytes
	h.WriteBufferSize = writeBufferBytes
	h.ReadBufferSize = limits.MaxHeaderBytes + headerSlack
	// The connections set the deadlines. The library's timeouts are fixed when a server
	// starts, and each costs a system clock read for every request.
	h.ReadTimeout, h.IdleTimeout, h.WriteTimeout = 0, 0, 0
	h.LazyRequestTime = true
	h.Handler = s.handle(h.Handler)
	h.HeaderReceived = s.checkHeader
	h.ErrorHandler = s.handleError
	h.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		if limited, ok := c.(*conn); ok {
			limited.setPhase(state)
		}
	}
}

// checkHeader returns the time for the body of a request. It marks the request if it is
// refused for its header, so that none of the body is read.
func (s *Server) checkHeader(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	var c fasthttp.RequestConfig
	length, most := h.ContentLength(), s.limiter.Limits().MaxHeaders
	switch {
	// The length is compared first, since counting costs more.
	case len(h.RawHeaders()) > most*minFieldBytes && h.Len() > most:
		s.mark(h, limitHeaders)
	case length > s.maxBodyBytes():
		s.mark(h, limitBodyBytes)
	case length > 0, length == -1:
		c.ReadTimeout = s.limiter.Limits().BodyTimeout
		if s.patience != nil {
			c.ReadTimeout = max(c.ReadTimeout, min(s.patience(h), maxPatience))
		}
	}
	return c
}

func (s *Server) mark(h *fasthttp.RequestHeader, limit string) {
	h.SetContentLength(0)
	h.Set(refusedHeader, limit)
}

// marked returns the limit that a request was marked with, or "". Other values of the header
// come from a client, and must not become values of a metric's label.
func marked(h *fasthttp.RequestHeader) string {
	value := h.Peek(refusedHeader)
	switch {
	case value == nil:
		return ""
	case string(value) == limitHeaders:
		return limitHeaders
	case string(value) == limitBodyBytes:
		return limitBodyBytes
	default:
		return limitMalformed
	}
}

// handle returns a handler that reads the body of a request before it calls inner.
func (s *Server) handle(inner fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		c, _ := ctx.Conn().(*conn)
		if c != nil {
			defer c.beginResponse()
		}
		length := ctx.Request.Header.ContentLength()
		if length == 0 {
			if limit := marked(&ctx.Request.Header); limit != "" {
				s.respond(ctx, c, limit)
				return
			}
		}
		b := body{server: s}
		if stream := ctx.RequestBodyStream(); stream != nil {
			defer b.release()
			if limit := b.read(stream, length, c); limit != "" {
				s.respond(ctx, c, limit)
				return
			}
			ctx.Request.SetBodyRaw(b.bytes)
		}
		if c != nil {
			s.connections.Begin(c.entry)
			defer s.connections.End(c.entry)
		}
		inner(ctx)
	}
}

// respond refuses a request that exceeds a limit and closes its connection.
func (s *Server) respond(ctx *fasthttp.RequestCtx, c *conn, limit string) {
	if limit != limitBodyTime || c == nil {
		// The connection counts the times that are exceeded.
		s.refuse(limit)
	}
	if c != nil {
		c.mustLinger.Store(true)
	}
	status, message := s.refusal(limit)
	s.writeRefusal(ctx, status, message)
	if limit == limitHeaders {
		// The parsed header would otherwise be kept for later connections.
		ctx.Request.Header = fasthttp.RequestHeader{}
	}
	if limit == limitMemory {
		ctx.Response.Header.Set("Retry-After", "1")
	}
	ctx.SetConnectionClose()
}

// refusal returns the status and the message of the response to a request that exceeds a
// limit.
func (s *Server) refusal(limit string) (status int, message string) {
	switch limit {
	case limitHeaders:
		return fasthttp.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("over %d headers", s.limiter.Limits().MaxHeaders)
	case limitBodyBytes:
		return fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("body over %d bytes", s.maxBodyBytes())
	case limitBodyTime:
		return fasthttp.StatusRequestTimeout, "the body did not arrive in time"
	case limitMemory:
		return fasthttp.StatusServiceUnavailable, "too many bytes of requests in progress"
	default:
		return fasthttp.StatusBadRequest, "malformed body"
	}
}

func writeRefusal(ctx *fasthttp.RequestCtx, status int, message string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"error":"` + message + `"}`)
}

// handleError responds to a request that could not be read.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		s.refuse(limitHeaderBytes)
	}
	s.writeReadError(ctx, err)
	// The header may be large, and would otherwise be kept for later connections.
	ctx.Request.Header = fasthttp.RequestHeader{}
}

func writeReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		ctx.Error("Too big request header", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case isTimeout(err):
		ctx.Error("Request timeout", fasthttp.StatusRequestTimeout)
	default:
		ctx.Error("Error when parsing request", fasthttp.StatusBadRequest)
	}
}

// body is the body of one request and what it holds of the budget.
type body struct {
	server *Server
	// buffer is nil if the request has no body; bytes then is nil too. It belongs to pool.
	buffer *[]byte
	pool   *sync.Pool
	bytes  []byte
	taken  int64
}

// limitMalformed is no limit: the body ended early or is not encoded as announced.
const limitMalformed = "malformed"

// read reads the body from a stream and takes its memory from the budget as it arrives. The
// length is the announced one, negative if there is none. It returns the limit that the body
// exceeds, or "".
func (b *body) read(stream io.Reader, length int, c *conn) string {
	if stream == nil || length == 0 {
		return ""
	}
	limits, most := b.server.limiter.Limits(), b.server.maxBodyBytes()
	var until time.Duration
	if c != nil {
		until = c.readBy
	}
	b.pool = b.server.limiter.bufferPool(length)
	b.buffer = b.pool.Get().(*[]byte)
	b.bytes = (*b.buffer)[:0]
	for isComplete := false; !isComplete; {
		if len(b.bytes) == cap(b.bytes) && !b.grow(most) {
			return limitMemory
		}
		n, err := stream.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		isComplete = err == io.EOF || errors.Is(err, io.EOF)
		switch {
		case len(b.bytes) > most:
			return limitBodyBytes
		case isComplete:
		case isTimeout(err):
			return limitBodyTime
		case err != nil:
			return limitMalformed
		case c != nil && until != 0:
			c.readBy = until + time.Duration(len(b.bytes))*time.Second/time.Duration(limits.MinBodyRate)
		}
	}
	if !b.take(b.server.workFactor * int64(len(b.bytes))) {
		return limitMemory
	}
	return ""
}

// grow doubles the buffer, up to one byte more than a body may have, which shows that it is
// too long. It reports whether the budget has room; the first bufferBytes aren't taken from it.
func (b *body) grow(most int) bool {
	size := bufferBytes
	if cap(b.bytes) >= bufferBytes {
		size = max(min(2*cap(b.bytes), most+1), len(b.bytes)+1)
		if !b.take(growthFactor * int64(size-cap(b.bytes))) {
			return false
		}
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return true
}

func (b *body) take(n int64) bool {
	if !b.server.budget.Take(n) {
		return false
	}
	b.taken += n
	return true
}

func (b *body) release() {
	if b.taken > 0 {
		b.server.budget.Return(b.taken)
	}
	if b.buffer != nil {
		b.pool.Put(b.buffer)
	}
}
