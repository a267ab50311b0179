package router

import (
	"bytes"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/tracer"
)

const (
	pathPrefix     = "/v1/services/"
	defaultTimeout = 5 * time.Second
	maxTimeout     = 60 * time.Second
	maxIDBytes     = 128
	maxNameBytes   = 63
)

type class int

const (
	latencyCritical class = iota
	batch
	classCount
)

var classNames = [classCount]string{"latency_critical", "batch"}

// pendingRequest is a request of a caller that has no response yet. It is
// reused for later requests.
type pendingRequest struct {
	router  *Router
	service *service
	id      []byte
	key     []byte
	class   class
	method  []byte
	// deadline is when the caller stops waiting.
	deadline time.Time
	started  time.Time
	// isIdempotent is set for requests that may be sent more than once.
	isIdempotent bool
	// isHead is set for the method HEAD, whose response has no body.
	isHead bool
	// head holds the encoded request line and the headers that are the same in
	// every attempt, without the empty line at the end.
	head []byte
	body []byte
	// buffer is the encoded request of the current attempt.
	buffer []byte
	// mayHaveRun is set by the first attempt that may have sent a byte and was
	// not refused admission; the result can't be not_run from then on.
	mayHaveRun bool
	attempts   int
	span       *tracer.Span

	hedge hedge
}

var pendingRequests = sync.Pool{New: func() any {
	p := &pendingRequest{}
	p.hedge.timer = time.AfterFunc(time.Hour, p.fireHedge)
	p.hedge.timer.Stop()
	return p
}}

func acquireRequest(r *Router, now time.Time) *pendingRequest {
	p := pendingRequests.Get().(*pendingRequest)
	p.router, p.started = r, now
	p.service, p.span = nil, nil
	p.id, p.key, p.head, p.method = p.id[:0], p.key[:0], p.head[:0], p.method[:0]
	p.body = nil
	p.mayHaveRun, p.attempts = false, 0
	return p
}

func releaseRequest(p *pendingRequest) {
	p.body, p.span = nil, nil
	if cap(p.buffer) <= 64<<10 {
		pendingRequests.Put(p)
	}
}

func newID() string { return uuid.NewString() }

func errorsAs[T any](err error, target *T) bool { return errors.As(err, target) }

// isID reports whether b consists of letters, digits and "._:~-" and does not
// start with a full stop, so that it can be a part of a path and of a log line.
func isID(b []byte) bool {
	if len(b) == 0 || len(b) > maxIDBytes || b[0] == '.' {
		return false
	}
	for _, c := range b {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '.', c == '_', c == ':', c == '~', c == '-':
		default:
			return false
		}
	}
	return true
}

const idFormat = "1 to 128 letters, digits or ._:~- not starting with a full stop"

// fieldError reports a part of the request that is not valid.
type fieldError struct {
	field, value, expected string
}

func (e *fieldError) Error() string {
	const maxShownBytes = 80
	if len(e.value) > maxShownBytes {
		return fmt.Sprintf("%s: got %q... of %d bytes, want %s", e.field, e.value[:maxShownBytes], len(e.value), e.expected)
	}
	return fmt.Sprintf("%s: got %q, want %s", e.field, e.value, e.expected)
}

// parse fills p from the caller's request. It sets the id even if it returns
// an error.
func (p *pendingRequest) parse(ctx *fasthttp.RequestCtx) error {
	h := &ctx.Request.Header
	id := h.Peek(RequestIDHeader)
	if len(id) > 0 && isID(id) {
		p.id = append(p.id, id...)
	} else {
		p.id = append(p.id, newID()...)
	}
	if len(id) > 0 && !isID(id) {
		return &fieldError{RequestIDHeader, string(id), idFormat}
	}
	rest, ok := bytes.CutPrefix(h.RequestURI(), []byte(pathPrefix))
	slash := bytes.IndexByte(rest, '/')
	if !ok || slash < 1 || slash > maxNameBytes || !isID(rest[:slash]) {
		return &fieldError{"path", string(h.RequestURI()), pathPrefix + "{service}/{path}"}
	}
	p.service = p.router.service(rest[:slash])
	timeout, err := parseTimeout(h.Peek(TimeoutHeader))
	if err != nil {
		return err
	}
	p.deadline = p.started.Add(timeout)
	if p.class, err = parseClass(h.Peek(ClassHeader)); err != nil {
		return err
	}
	p.method = append(p.method, h.Method()...)
	p.isHead = h.IsHead()
	p.isIdempotent = h.IsGet() || p.isHead || h.IsPut() || h.IsDelete() || h.IsOptions()
	if key := h.Peek(IdempotencyKeyHeader); len(key) > 0 && !p.isIdempotent {
		if !isID(key) {
			return &fieldError{IdempotencyKeyHeader, string(key), idFormat}
		}
		p.key = append(p.key, key...)
	}
	p.body = ctx.Request.Body()
	if len(p.body) > 0 && (h.IsGet() || p.isHead) {
		return &fieldError{"body", strconv.Itoa(len(p.body)) + " bytes", "no body with " + string(p.method)}
	}
	p.encodeHead(h, rest[slash:])
	return nil
}

func parseTimeout(value []byte) (time.Duration, error) {
	if len(value) == 0 {
		return defaultTimeout, nil
	}
	ms, err := strconv.Atoi(string(value))
	if err != nil || ms < 1 || ms > int(maxTimeout.Milliseconds()) {
		return 0, &fieldError{TimeoutHeader, string(value), fmt.Sprintf("1 to %d", maxTimeout.Milliseconds())}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func parseClass(value []byte) (class, error) {
	if len(value) == 0 {
		return latencyCritical, nil
	}
	for c, name := range classNames {
		if string(value) == name {
			return class(c), nil
		}
	}
	return 0, &fieldError{ClassHeader, string(value), classNames[latencyCritical] + " or " + classNames[batch]}
}

// hopByHopRequestHeaders apply to one connection only and are not forwarded.
var hopByHopRequestHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect", "Transfer-Encoding"}

// encodeHead sets the head that all attempts share. encodeAttempt adds the
// host, the runner's task and the deadline, which differ between attempts.
func (p *pendingRequest) encodeHead(h *fasthttp.RequestHeader, uri []byte) {
	p.span = p.router.options.Tracer.Start(h.Peek(TraceparentHeader), "request")
	if p.span != nil {
		h.Del(TraceparentHeader)
	}
	for _, name := range hopByHopRequestHeaders {
		h.Del(name)
	}
	h.Del(DeadlineHeader)
	h.Del(RunnerTaskHeader)
	h.ResetConnectionClose()
	h.SetProtocol("HTTP/1.1")
	h.SetNoDefaultContentType(true)
	// uri is a slice of the header's own buffer, so it is copied first.
	p.buffer = append(p.buffer[:0], uri...)
	h.SetRequestURIBytes(p.buffer)
	h.SetHost("")
	if len(p.body) > 0 || !(p.isIdempotent || h.ContentLength() < 0) {
		h.SetContentLength(len(p.body))
	}
	h.SetBytesV(RequestIDHeader, p.id)
	p.head = h.AppendBytes(p.head)
	p.head = p.head[:len(p.head)-2]
}

// encodeAttempt encodes the whole request for one target into buffer and
// returns it.
func encodeAttempt(buffer, head, body []byte, addr, task, traceparent string, remaining time.Duration) []byte {
	buffer = append(buffer[:0], head...)
	buffer = append(buffer, "Host: "...)
	buffer = append(buffer, addr...)
	buffer = append(buffer, "\r\n"+RunnerTaskHeader+": "...)
	buffer = append(buffer, task...)
	buffer = append(buffer, "\r\n"+DeadlineHeader+": "...)
	buffer = strconv.AppendInt(buffer, max(1, remaining.Milliseconds()), 10)
	if traceparent != "" {
		buffer = append(buffer, "\r\n"+TraceparentHeader+": "...)
		buffer = append(buffer, traceparent...)
	}
	buffer = append(buffer, "\r\n\r\n"...)
	return append(buffer, body...)
}
