// Package router forwards requests from callers to the runners of services.
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
	// Costs is the one-way latency to other domains.
	Costs map[string]time.Duration
	// Claimer claims idempotency keys. If nil, requests with a key are refused.
	Claimer *claimer.Claimer
	// Tracer records spans. If nil, none are recorded.
	Tracer   *tracer.Tracer
	Registry prometheus.Registerer
	Log      *log.Logger
	// PanicOnViolation makes a violated invariant panic, for tests.
	PanicOnViolation bool
	// Dial connects to a target. If nil, TCP is used.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Router forwards requests to targets. It is safe for concurrent use.
type Router struct {
	options Options
	metrics *metrics
	budget  *retryBudget
	started time.Time
	// isClosing is set when each response closes the caller's connection,
	// isRefusing when new requests are refused.
	isClosing, isRefusing atomic.Bool
	inProgress            atomic.Int64

	mu sync.Mutex
	// tables holds the newest routing table of each shard.
	tables  map[string]*messenger.RoutingTable
	targets map[targetKey]*target
	// leavingWorkers are the workers on leaving instances, as last set, in
	// order.
	leavingWorkers []string
	// members holds the ids of the live daemons in order.
	members []string
	// services is replaced as a whole when a service is added.
	services atomic.Pointer[map[string]*service]
}

func init() {
	// Without the pool, generating an id takes a system call. EnableRandPool
	// must not be called while ids are generated.
	uuid.EnableRandPool()
}

// New returns a router without targets.
func New(o Options) *Router {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	r := &Router{
		options: o, metrics: newMetrics(o.Registry), budget: newRetryBudget(), started: time.Now(),
		tables: map[string]*messenger.RoutingTable{}, targets: map[targetKey]*target{},
	}
	r.services.Store(&map[string]*service{})
	return r
}

// now returns the time of the router's clock, in nanoseconds.
func (r *Router) now() int64 { return int64(time.Since(r.started)) }

// Drain makes each further response close the caller's connection, so that
// callers move to other daemons without losing a request.
func (r *Router) Drain() { r.isClosing.Store(true) }

// Refuse makes the router answer each further request with NotRun.
func (r *Router) Refuse() { r.isRefusing.Store(true) }

// InProgress returns the number of requests that are being handled.
func (r *Router) InProgress() int64 { return r.inProgress.Load() }

// Handle handles one request of a caller.
func (r *Router) Handle(ctx *fasthttp.RequestCtx) {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	p := acquireRequest(r, time.Now())
	defer releaseRequest(p)
	result := r.handle(ctx, p)
	r.finish(ctx, p, result)
	if r.isClosing.Load() {
		ctx.SetConnectionClose()
	}
}

func (r *Router) handle(ctx *fasthttp.RequestCtx, p *pendingRequest) *Result {
	if err := p.parse(ctx); err != nil {
		return &Result{Result: BadRequest, Reason: err.Error()}
	}
	if r.isRefusing.Load() {
		return &Result{Result: NotRun, Reason: "the daemon is stopping", RetryAfterMS: 100}
	}
	if p.service == nil {
		return &Result{Result: NotRun, Reason: "no target for the service", RetryAfterMS: 1000}
	}
	r.budget.deposit()
	if len(p.key) > 0 {
		return r.sendOnce(p, &ctx.Response)
	}
	result := p.send(&ctx.Response)
	if result == nil {
		result = targetFailure(&ctx.Response)
	}
	return result
}

// targetFailure returns the result for a response with a status of 500 or above,
// nil for any other response.
func targetFailure(response *fasthttp.Response) *Result {
	if status := response.StatusCode(); status >= 500 {
		return &Result{Result: FailedByTarget, Reason: "the target has answered with a failure", TargetStatus: status}
	}
	return nil
}

// finish completes the caller's response, and records its metrics and span.
func (r *Router) finish(ctx *fasthttp.RequestCtx, p *pendingRequest, result *Result) {
	name := "ok"
	if result != nil {
		name = result.Result
		result.RequestID = string(p.id)
		if result.Result == NotRun && p.mayHaveRun {
			r.reportViolation("not_run_is_true", "result is not_run, but request "+result.RequestID+" may have run")
		}
		writeResult(ctx, *result)
	} else {
		p.checkRequestID(&ctx.Response)
		h := &ctx.Response.Header
		h.ResetConnectionClose()
		for _, name := range hopByHopResponseHeaders {
			h.Del(name)
		}
	}
	if p.service == nil {
		r.metrics.results.WithLabelValues("", name).Inc()
	} else {
		p.service.metrics.results[name].Inc()
		p.service.metrics.latency.Observe(time.Since(p.started).Seconds())
	}
	p.span.End(name)
}

var hopByHopResponseHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Upgrade", "Trailer", "Transfer-Encoding"}
