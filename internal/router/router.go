// Package router takes requests from callers to runners.
package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

// The headers of a request and its answer.
const (
	RequestIDHeader = "Request-Id"
	DeadlineHeader  = "Deadline-Ms"
	TimeoutHeader   = "Request-Timeout-Ms"
	AdmissionHeader = "Admission"
)

const (
	pathPrefix     = "/v1/services/"
	defaultTimeout = 5 * time.Second
	maxTimeout     = 60 * time.Second
	// maxAttempts bounds the targets tried for one request.
	maxAttempts = 3
)

// Result is the machine-readable body of an answer that is not the target's.
type Result struct {
	Result       string `json:"result"`
	Reason       string `json:"reason"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	TargetStatus int    `json:"target_status,omitempty"`
}

// The values of Result.Result.
const (
	NotRun         = "not_run"
	OutcomeUnknown = "outcome_unknown"
	FailedByTarget = "failed_by_target"
	BadRequest     = "bad_request"
)

// Options are what a router depends on.
type Options struct {
	Domain string
	Log    *log.Logger
}

// Router is safe for concurrent use.
type Router struct {
	options Options

	mu sync.Mutex
	// tables has the newest routing table of each shard.
	tables map[string]*messenger.RoutingTable
	// targets has one entry for each runner of the tables.
	targets map[string]*target
	// services is replaced as a whole when a table changes.
	services atomic.Pointer[map[string][]*target]
}

// target is one runner.
type target struct {
	addr        string
	domain      string
	client      *fasthttp.HostClient
	outstanding atomic.Int64
}

// New returns a router that knows no targets.
func New(o Options) *Router {
	r := &Router{options: o, tables: map[string]*messenger.RoutingTable{}, targets: map[string]*target{}}
	r.services.Store(&map[string][]*target{})
	return r
}

// Version returns the version of the routing table held for a shard.
func (r *Router) Version(shard string) (epoch, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tables[shard]; t != nil {
		return t.Epoch, t.Version
	}
	return 0, 0
}

// Update takes over a shard's routing table if it is newer than the one held.
func (r *Router) Update(table *messenger.RoutingTable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.tables[table.Shard]; old != nil && (table.Epoch < old.Epoch || (table.Epoch == old.Epoch && table.Version <= old.Version)) {
		return
	}
	r.tables[table.Shard] = table
	services := map[string][]*target{}
	targets := map[string]*target{}
	for _, t := range r.tables {
		for _, route := range t.Routes {
			if route.Leaving {
				continue
			}
			known := r.targets[route.Addr]
			if known == nil {
				known = &target{addr: route.Addr, domain: route.Domain, client: &fasthttp.HostClient{
					Addr: route.Addr, MaxConns: int(route.Connections), MaxIdemponentCallAttempts: 1, RetryIf: func(*fasthttp.Request) bool { return false },
				}}
			}
			targets[route.Addr] = known
			services[route.Service] = append(services[route.Service], known)
		}
	}
	r.targets = targets
	r.services.Store(&services)
}

// Handle serves one request.
func (r *Router) Handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(RequestIDHeader))
	if id == "" {
		id = uuid.NewString()
	}
	service, path, ok := strings.Cut(strings.TrimPrefix(string(ctx.Path()), pathPrefix), "/")
	if !ok || !strings.HasPrefix(string(ctx.Path()), pathPrefix) {
		answer(ctx, fasthttp.StatusBadRequest, Result{Result: BadRequest, Reason: "path: want " + pathPrefix + "{service}/{path}", RequestID: id})
		return
	}
	timeout, err := timeoutOf(ctx)
	if err != nil {
		answer(ctx, fasthttp.StatusBadRequest, Result{Result: BadRequest, Reason: err.Error(), RequestID: id})
		return
	}
	r.forward(ctx, id, service, "/"+path, time.Now().Add(timeout))
}

func timeoutOf(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	value := string(ctx.Request.Header.Peek(TimeoutHeader))
	if value == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.Atoi(value)
	if err != nil || ms < 1 || ms > int(maxTimeout.Milliseconds()) {
		return 0, fmt.Errorf("%s: got %q, want 1 to %d", TimeoutHeader, value, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (r *Router) forward(ctx *fasthttp.RequestCtx, id, service, path string, deadline time.Time) {
	result := Result{Result: NotRun, Reason: "no target for service " + service, RequestID: id}
	for range maxAttempts {
		t := r.choose(service)
		if t == nil {
			break
		}
		done, next := r.attempt(ctx, t, id, path, deadline)
		if done {
			return
		}
		result = next
		if result.Result != NotRun {
			break
		}
	}
	status := fasthttp.StatusServiceUnavailable
	if result.Result == OutcomeUnknown {
		status = fasthttp.StatusGatewayTimeout
	}
	answer(ctx, status, result)
}

// choose takes the better of two random targets, those of the own domain
// first.
func (r *Router) choose(service string) *target {
	all := (*r.services.Load())[service]
	var local []*target
	for _, t := range all {
		if t.domain == r.options.Domain {
			local = append(local, t)
		}
	}
	if len(local) > 0 {
		all = local
	}
	if len(all) == 0 {
		return nil
	}
	a, b := all[rand.IntN(len(all))], all[rand.IntN(len(all))]
	if b.outstanding.Load() < a.outstanding.Load() {
		return b
	}
	return a
}

// attempt sends the request to one target. It reports whether the caller has
// been answered, and otherwise what became of the attempt.
func (r *Router) attempt(ctx *fasthttp.RequestCtx, t *target, id, path string, deadline time.Time) (bool, Result) {
	t.outstanding.Add(1)
	defer t.outstanding.Add(-1)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	ctx.Request.CopyTo(request)
	request.SetRequestURI("http://" + t.addr + path)
	request.URI().SetQueryStringBytes(ctx.URI().QueryString())
	request.Header.Set(RequestIDHeader, id)
	request.Header.Set(DeadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if err := t.client.DoDeadline(request, response, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
			return false, Result{Result: NotRun, Reason: err.Error(), RequestID: id}
		}
		return false, Result{Result: OutcomeUnknown, Reason: err.Error(), RequestID: id}
	}
	if len(response.Header.Peek(AdmissionHeader)) > 0 {
		return false, Result{Result: NotRun, Reason: "refused by the target", RequestID: id}
	}
	if !bytes.Equal(response.Header.Peek(RequestIDHeader), []byte(id)) {
		return false, Result{Result: OutcomeUnknown, Reason: "answer to another request", RequestID: id}
	}
	response.CopyTo(&ctx.Response)
	return true, Result{}
}

func answer(ctx *fasthttp.RequestCtx, status int, r Result) {
	body, err := json.Marshal(r)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(RequestIDHeader, r.RequestID)
	ctx.SetBody(body)
}
