// Package runner is a stand-in for a runner: it serves requests in a fixed
// number of slots and keeps a record of what it ran.
package runner

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/router"
)

// Options are a runner's settings.
type Options struct {
	Name  string
	Slots int
	// Connections is the most that the runner accepts at once.
	Connections int
	// Work is how long a request takes when alone.
	Work time.Duration
}

// Runner serves requests.
type Runner struct {
	options Options
	slots   chan struct{}
	leaving atomic.Bool
	server  *fasthttp.Server

	mu sync.Mutex
	// runs counts the runs of each request id.
	runs map[string]int
}

// New returns a runner that isn't listening.
func New(o Options) *Runner {
	r := &Runner{options: o, slots: make(chan struct{}, o.Slots), runs: map[string]int{}}
	r.server = &fasthttp.Server{Handler: r.handle, Concurrency: o.Connections, NoDefaultServerHeader: true}
	return r
}

func (r *Runner) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(router.RequestIDHeader))
	ctx.Response.Header.Set(router.RequestIDHeader, id)
	if r.leaving.Load() {
		ctx.Response.Header.Set(router.AdmissionHeader, "leaving")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		ctx.Response.Header.Set(router.AdmissionHeader, "refused")
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	if r.options.Work > 0 {
		time.Sleep(r.options.Work)
	}
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(Answer(id, size(ctx)))
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
