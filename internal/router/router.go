// Package router takes requests from callers to runners.
package router

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/claimer"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/tracer"
)

// Options are what a router depends on.
type Options struct {
	// Self is the id of this daemon, Domain its failure domain.
	Self   string
	Domain string
	// Costs has the one-way latency to other domains.
	Costs map[string]time.Duration
	// Claimer claims idempotency keys; nil refuses keyed requests.
	Claimer *claimer.Claimer
	// Tracer makes spans; nil makes none.
	Tracer   *tracer.Tracer
	Registry prometheus.Registerer
	Log      *log.Logger
	// PanicOnViolation makes a violated invariant panic, for tests.
	PanicOnViolation bool
	// Dial connects to a target; nil is TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Router is safe for concurrent use.
type Router struct {
	options Options
	metrics *metrics
	budget  *budget
	start   time.Time
	// isClosing makes each response close its connection; isRefusing refuses
	// new requests.
	isClosing, isRefusing atomic.Bool
	inProgress            atomic.Int64

	mu sync.Mutex
	// tables has the newest routing table of each shard.
	tables  map[string]*messenger.RoutingTable
	targets map[targetKey]*target
	// leavingWorkers are those of the last list of instances.
	leavingWorkers []string
	// members has the ids of the live daemons in order.
	members []string
	// services is replaced as a whole when a service is added.
	services atomic.Pointer[map[string]*service]
}

func init() {
	// Without the pool each id costs a system call. The setting must not change
	// while ids are made.
	uuid.EnableRandPool()
}

// New returns a router that knows no targets.
func New(o Options) *Router {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	r := &Router{
		options: o, metrics: newMetrics(o.Registry), budget: newBudget(), start: time.Now(),
		tables: map[string]*messenger.RoutingTable{}, targets: map[targetKey]*target{},
	}
	r.services.Store(&map[string]*service{})
	return r
}

// now is the router's clock in nanoseconds.
func (r *Router) now() int64 { return int64(time.Since(r.start)) }

// Drain makes each further response close the caller's connection, so that
// callers go to other daemons without a request being cut.
func (r *Router) Drain() { r.isClosing.Store(true) }

// Refuse answers each further request as not run.
func (r *Router) Refuse() { r.isRefusing.Store(true) }

// InProgress returns the number of requests without a response.
func (r *Router) InProgress() int64 { return r.inProgress.Load() }

// Handle serves one request.
func (r *Router) Handle(ctx *fasthttp.RequestCtx) {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	f := acquireFlight(r, time.Now())
	defer releaseFlight(f)
	result := r.handle(ctx, f)
	r.finish(ctx, f, result)
	if r.isClosing.Load() {
		ctx.SetConnectionClose()
	}
}

func (r *Router) handle(ctx *fasthttp.RequestCtx, f *flight) *Result {
	if err := f.parse(ctx); err != nil {
		return &Result{Result: BadRequest, Reason: err.Error()}
	}
	if r.isRefusing.Load() {
		return &Result{Result: NotRun, Reason: "the daemon is stopping", RetryAfterMS: 100}
	}
	if f.service == nil {
		return &Result{Result: NotRun, Reason: "no target for the service", RetryAfterMS: 1000}
	}
	r.budget.earn()
	if len(f.key) > 0 {
		return r.sendOnce(f, &ctx.Response)
	}
	result := f.send(&ctx.Response)
	if result == nil {
		result = failure(&ctx.Response)
	}
	return result
}

// failure returns the result of a complete response that reports a failure,
// nil for any other response.
func failure(response *fasthttp.Response) *Result {
	if status := response.StatusCode(); status >= 500 {
		return &Result{Result: FailedByTarget, Reason: "the target has answered with a failure", TargetStatus: status}
	}
	return nil
}

// finish completes the caller's response and counts it.
func (r *Router) finish(ctx *fasthttp.RequestCtx, f *flight, result *Result) {
	name := "ok"
	if result != nil {
		name = result.Result
		result.RequestID = string(f.id)
		if result.Result == NotRun && f.mayHaveRun {
			r.violated("not_run_is_true", "request "+result.RequestID+" may have run")
		}
		writeResult(ctx, *result)
	} else {
		f.check(&ctx.Response)
		h := &ctx.Response.Header
		h.ResetConnectionClose()
		for _, hop := range responseHopHeaders {
			h.Del(hop)
		}
	}
	if f.service == nil {
		r.metrics.results.WithLabelValues("", name).Inc()
	} else {
		f.service.metrics.results[name].Inc()
		f.service.metrics.latency.Observe(time.Since(f.started).Seconds())
	}
	f.span.End(name)
}

var responseHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Upgrade", "Trailer", "Transfer-Encoding"}
