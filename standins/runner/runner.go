// Package runner is a stand-in for a runner: it serves requests in a fixed
// number of slots, keeps a record of what it ran, and can be told to misbehave.
package runner

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/router"
)

// Options are a runner's settings.
type Options struct {
	Name  string
	Slots int
	// Connections is the most that the runner serves at once; requests on
	// further ones are refused.
	Connections int
	// Work is how long a request takes when alone.
	Work time.Duration
	// Records is the directory for the file of runs, which outlives a kill;
	// empty keeps them in memory only.
	Records string
}

// Runner serves requests.
type Runner struct {
	options Options
	slots   chan struct{}
	leaving atomic.Bool
	open    atomic.Int64
	server  *fasthttp.Server
	record  *record
	faults  faults
}

// New returns a runner that isn't listening.
func New(o Options) (*Runner, error) {
	r := &Runner{options: o, slots: make(chan struct{}, o.Slots)}
	var err error
	if r.record, err = newRecord(o); err != nil {
		return nil, err
	}
	r.server = &fasthttp.Server{Handler: r.handle, ConnState: r.count, NoDefaultServerHeader: true, MaxRequestBodySize: 8 << 20, ReadBufferSize: 32 << 10}
	return r, nil
}

// count keeps the number of open connections.
func (r *Runner) count(_ net.Conn, s fasthttp.ConnState) {
	switch s {
	case fasthttp.StateNew:
		r.open.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		r.open.Add(-1)
	}
}

// Serve serves requests on l until it is closed.
func (r *Runner) Serve(l net.Listener) error {
	return errors.Wrap(r.server.Serve(l), "runner "+r.options.Name)
}

// Leave makes the runner refuse new requests.
func (r *Runner) Leave() { r.leaving.Store(true) }

// Shutdown finishes the requests in progress and closes the runner.
func (r *Runner) Shutdown() error { return r.server.Shutdown() }

// Load returns the share of slots in use, between 0 and 1.
func (r *Runner) Load() float64 { return float64(len(r.slots)) / float64(cap(r.slots)) }

// Runs returns the record of every run so far.
func (r *Runner) Runs() []Run { return r.record.all() }

func (r *Runner) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(router.RequestIDHeader))
	ctx.Response.Header.Set(router.RequestIDHeader, id)
	fault := r.faults.next(string(ctx.QueryArgs().Peek("fault")))
	if r.leaving.Load() {
		refuse(ctx, fasthttp.StatusServiceUnavailable, router.AdmissionLeaving)
		return
	}
	if fault.Kind == Refuse || int(r.open.Load()) > r.options.Connections {
		refuse(ctx, fasthttp.StatusTooManyRequests, router.AdmissionRefused)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		refuse(ctx, fasthttp.StatusTooManyRequests, router.AdmissionRefused)
		return
	}
	run := r.record.begin(Run{
		ID: id, Key: string(ctx.Request.Header.Peek(router.IdempotencyKeyHeader)), Method: string(ctx.Method()), Runner: r.options.Name, Start: time.Now(),
	})
	r.work(ctx)
	body := Answer(id, size(ctx))
	if r.apply(ctx, fault, id, body) {
		r.record.end(run, true)
		return
	}
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(body)
	r.record.end(run, true)
}

func refuse(ctx *fasthttp.RequestCtx, status int, admission string) {
	ctx.Response.Header.Set(router.AdmissionHeader, admission)
	ctx.SetStatusCode(status)
}

// work takes the time of a request, which the query parameter work_ms changes.
func (r *Runner) work(ctx *fasthttp.RequestCtx) {
	d := r.options.Work
	if ms, err := strconv.Atoi(string(ctx.QueryArgs().Peek("work_ms"))); err == nil && ms >= 0 && ms <= 60_000 {
		d = time.Duration(ms) * time.Millisecond
	}
	if d > 0 {
		time.Sleep(d)
	}
}

// size is the number of body lines that the request asks for.
func size(ctx *fasthttp.RequestCtx) int {
	n, err := strconv.Atoi(string(ctx.QueryArgs().Peek("lines")))
	if err != nil || n < 1 || n > 10_000 {
		return 1
	}
	return n
}

// Answer is the body that a runner gives to request id: lines that name it, so
// that a caller can tell a whole answer of its own from any other.
func Answer(id string, lines int) string {
	body := make([]byte, 0, lines*(len(id)+16))
	for i := range lines {
		body = fmt.Appendf(body, "%s %d/%d\n", id, i+1, lines)
	}
	return string(body)
}
