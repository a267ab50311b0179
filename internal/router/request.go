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
	classes
)

var classNames = [classes]string{"latency_critical", "batch"}

// flight is one request of a caller while the router works on it.
type flight struct {
	router  *Router
	service *service
	id      []byte
	key     []byte
	class   class
	method  []byte
	// deadline is when the caller stops waiting.
	deadline time.Time
	started  time.Time
	// idempotent requests may be sent more than once.
	idempotent bool
	isHead     bool
	// head has the request line and the headers that are the same in every
	// attempt, without the empty line at the end.
	head []byte
	body []byte
	// buffer is the encoded request of the current attempt.
	buffer []byte
	// mayHaveRun is set by the first attempt that sent a byte and was not
	// refused admission; the result can't be not_run from then on.
	mayHaveRun bool
	attempts   int
	span       *tracer.Span

	hedge hedge
}

var flights = sync.Pool{New: func() any {
	f := &flight{}
	f.hedge.timer = time.AfterFunc(time.Hour, f.fireHedge)
	f.hedge.timer.Stop()
	return f
}}

func acquireFlight(r *Router, now time.Time) *flight {
	f := flights.Get().(*flight)
	f.router, f.started = r, now
	f.service, f.span = nil, nil
	f.id, f.key, f.head, f.method = f.id[:0], f.key[:0], f.head[:0], f.method[:0]
	f.body = nil
	f.mayHaveRun, f.attempts = false, 0
	return f
}

func releaseFlight(f *flight) {
	f.body, f.span = nil, nil
	if cap(f.buffer) <= 64<<10 {
		flights.Put(f)
	}
}

func newID() string { return uuid.NewString() }

func errorsAs[T any](err error, target *T) bool { return errors.As(err, target) }

// isID accepts letters, digits and "._:~-", not starting with a full stop, so
// that an id can be a part of a path and of a log line.
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

const idWant = "1 to 128 letters, digits or ._:~- not starting with a full stop"

// fieldError names the part of the request that was not accepted.
type fieldError struct {
	field, value, want string
}

func (e *fieldError) Error() string {
	const most = 80
	if len(e.value) > most {
		return fmt.Sprintf("%s: got %q... of %d bytes, want %s", e.field, e.value[:most], len(e.value), e.want)
	}
	return fmt.Sprintf("%s: got %q, want %s", e.field, e.value, e.want)
}

// parse fills f from the caller's request. The id is set even when another
// field isn't accepted.
func (f *flight) parse(ctx *fasthttp.RequestCtx) error {
	h := &ctx.Request.Header
	given := h.Peek(RequestIDHeader)
	if len(given) > 0 && isID(given) {
		f.id = append(f.id, given...)
	} else {
		f.id = append(f.id, newID()...)
	}
	if len(given) > 0 && !isID(given) {
		return &fieldError{RequestIDHeader, string(given), idWant}
	}
	rest, ok := bytes.CutPrefix(h.RequestURI(), []byte(pathPrefix))
	slash := bytes.IndexByte(rest, '/')
	if !ok || slash < 1 || slash > maxNameBytes || !isID(rest[:slash]) {
		return &fieldError{"path", string(h.RequestURI()), pathPrefix + "{service}/{path}"}
	}
	f.service = f.router.service(rest[:slash])
	timeout, err := timeoutOf(h.Peek(TimeoutHeader))
	if err != nil {
		return err
	}
	f.deadline = f.started.Add(timeout)
	if f.class, err = classOf(h.Peek(ClassHeader)); err != nil {
		return err
	}
	f.method = append(f.method, h.Method()...)
	f.isHead = h.IsHead()
	f.idempotent = h.IsGet() || f.isHead || h.IsPut() || h.IsDelete() || h.IsOptions()
	if key := h.Peek(IdempotencyKeyHeader); len(key) > 0 && !f.idempotent {
		if !isID(key) {
			return &fieldError{IdempotencyKeyHeader, string(key), idWant}
		}
		f.key = append(f.key, key...)
	}
	f.body = ctx.Request.Body()
	if len(f.body) > 0 && (h.IsGet() || f.isHead) {
		return &fieldError{"body", strconv.Itoa(len(f.body)) + " bytes", "no body with " + string(f.method)}
	}
	f.encode(h, rest[slash:])
	return nil
}

func timeoutOf(value []byte) (time.Duration, error) {
	if len(value) == 0 {
		return defaultTimeout, nil
	}
	ms, err := strconv.Atoi(string(value))
	if err != nil || ms < 1 || ms > int(maxTimeout.Milliseconds()) {
		return 0, &fieldError{TimeoutHeader, string(value), fmt.Sprintf("1 to %d", maxTimeout.Milliseconds())}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func classOf(value []byte) (class, error) {
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

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect", "Transfer-Encoding"}

// encode makes the head that all attempts share. The Host and the deadline
// differ between attempts and are added by each.
func (f *flight) encode(h *fasthttp.RequestHeader, uri []byte) {
	f.span = f.router.options.Tracer.Start(h.Peek(TraceparentHeader), "request")
	if f.span != nil {
		h.Del(TraceparentHeader)
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Del(DeadlineHeader)
	h.ResetConnectionClose()
	h.SetProtocol("HTTP/1.1")
	h.SetNoDefaultContentType(true)
	// uri is a part of the header's own buffer.
	f.buffer = append(f.buffer[:0], uri...)
	h.SetRequestURIBytes(f.buffer)
	h.SetHost("")
	if len(f.body) > 0 || !(f.idempotent || h.ContentLength() < 0) {
		h.SetContentLength(len(f.body))
	}
	h.SetBytesV(RequestIDHeader, f.id)
	f.head = h.AppendBytes(f.head)
	f.head = f.head[:len(f.head)-2]
}

// encodeAttempt returns the whole request for one target, or false when the
// deadline has passed.
func encodeAttempt(buffer, head, body []byte, addr, traceparent string, remaining time.Duration) []byte {
	buffer = append(buffer[:0], head...)
	buffer = append(buffer, "Host: "...)
	buffer = append(buffer, addr...)
	buffer = append(buffer, "\r\n"+DeadlineHeader+": "...)
	buffer = strconv.AppendInt(buffer, max(1, remaining.Milliseconds()), 10)
	if traceparent != "" {
		buffer = append(buffer, "\r\n"+TraceparentHeader+": "...)
		buffer = append(buffer, traceparent...)
	}
	buffer = append(buffer, "\r\n\r\n"...)
	return append(buffer, body...)
}
