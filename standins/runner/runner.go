// Package runner is a stand-in for a runner. It serves requests in a fixed
// number of slots, records every run, and injects faults on demand.
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
	// Connections is the maximum number of open connections. While more are
	// open, the runner refuses all requests.
	Connections int
	// Work is the time that each request takes, unless it sets work_ms.
	Work time.Duration
	// Records is the directory for the record file, which survives a kill of
	// the process. If empty, runs are recorded in memory only.
	Records string
}

// Runner serves requests over HTTP.
type Runner struct {
	options         Options
	slots           chan struct{}
	leaving         atomic.Bool
	openConnections atomic.Int64
	server          *fasthttp.Server
	record          *record
	faults          faultInjector
}

// New returns a runner that does not serve yet.
func New(o Options) (*Runner, error) {
	r := &Runner{options: o, slots: make(chan struct{}, o.Slots)}
	var err error
	if r.record, err = newRecord(o); err != nil {
		return nil, err
	}
	r.server = &fasthttp.Server{Handler: r.handle, ConnState: r.countConnection, NoDefaultServerHeader: true, MaxRequestBodySize: 8 << 20, ReadBufferSize: 32 << 10}
	return r, nil
}

// countConnection updates the number of open connections.
func (r *Runner) countConnection(_ net.Conn, s fasthttp.ConnState) {
	switch s {
	case fasthttp.StateNew:
		r.openConnections.Add(1)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		r.openConnections.Add(-1)
	}
}

// Serve serves requests on l until l is closed.
func (r *Runner) Serve(l net.Listener) error {
	return errors.Wrap(r.server.Serve(l), "runner "+r.options.Name)
}

// Leave makes the runner refuse new requests with router.AdmissionLeaving.
func (r *Runner) Leave() { r.leaving.Store(true) }

// Shutdown closes the listeners and waits for the requests in progress.
func (r *Runner) Shutdown() error { return r.server.Shutdown() }

// Load returns the fraction of slots in use, between 0 and 1.
func (r *Runner) Load() float64 { return float64(len(r.slots)) / float64(cap(r.slots)) }

// Runs returns every run since the start of the runner.
func (r *Runner) Runs() []Run { return r.record.all() }

func (r *Runner) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(router.RequestIDHeader))
	ctx.Response.Header.Set(router.RequestIDHeader, id)
	fault := r.faults.choose(string(ctx.QueryArgs().Peek("fault")))
	task := string(ctx.Request.Header.Peek(router.RunnerTaskHeader))
	if r.leaving.Load() || (task != "" && task != r.options.Name) {
		refuse(ctx, fasthttp.StatusServiceUnavailable, router.AdmissionLeaving)
		return
	}
	if fault.Kind == Refuse || int(r.openConnections.Load()) > r.options.Connections {
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
	r.simulateWork(ctx)
	body := Answer(id, lineCount(ctx))
	if r.injectFault(ctx, fault, id, body) {
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

// simulateWork sleeps for Options.Work, or for the number of milliseconds in the
// query parameter work_ms.
func (r *Runner) simulateWork(ctx *fasthttp.RequestCtx) {
	d := r.options.Work
	if ms, err := strconv.Atoi(string(ctx.QueryArgs().Peek("work_ms"))); err == nil && ms >= 0 && ms <= 60_000 {
		d = time.Duration(ms) * time.Millisecond
	}
	if d > 0 {
		time.Sleep(d)
	}
}

// lineCount returns the number of body lines that the query parameter lines asks
// for, by default 1.
func lineCount(ctx *fasthttp.RequestCtx) int {
	n, err := strconv.Atoi(string(ctx.QueryArgs().Peek("lines")))
	if err != nil || n < 1 || n > 10_000 {
		return 1
	}
	return n
}

// Answer returns the response body for the request id. Every line contains the
// id, the line number and the number of lines, so that a caller can detect a
// truncated body or one of another request.
func Answer(id string, lines int) string {
	body := make([]byte, 0, lines*(len(id)+16))
	for i := range lines {
		body = fmt.Appendf(body, "%s %d/%d\n", id, i+1, lines)
	}
	return string(body)
}
