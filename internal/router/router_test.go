package router

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/tracer"
)

// startTarget serves h and, like a runner, returns the request id in each
// response.
func startTarget(c *qt.C, h fasthttp.RequestHandler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV(RequestIDHeader, ctx.Request.Header.Peek(RequestIDHeader))
		h(ctx)
	}}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// A request with an invalid field must be refused with the name of the field,
// before anything is sent.
func TestBadInputNamesTheField(t *testing.T) {
	tests := map[string]struct {
		call call
		want string
	}{
		"path":          {call{method: "GET", path: "/other"}, "path"},
		"no slash":      {call{method: "GET", path: "/v1/services/s"}, "path"},
		"service":       {call{method: "GET", path: "/v1/services/../x"}, "path"},
		"long service":  {call{method: "GET", path: "/v1/services/" + strings.Repeat("s", 64) + "/x"}, "path"},
		"id":            {call{method: "GET", id: "a b"}, RequestIDHeader},
		"long id":       {call{method: "GET", id: strings.Repeat("i", 129)}, RequestIDHeader},
		"key":           {call{method: "POST", key: "a/b"}, IdempotencyKeyHeader},
		"dots key":      {call{method: "POST", key: ".."}, IdempotencyKeyHeader},
		"timeout":       {call{method: "GET", timeout: "soon"}, TimeoutHeader},
		"zero timeout":  {call{method: "GET", timeout: "0"}, TimeoutHeader},
		"long timeout":  {call{method: "GET", timeout: "60001"}, TimeoutHeader},
		"class":         {call{method: "GET", headers: map[string]string{ClassHeader: "urgent"}}, ClassHeader},
		"body with GET": {call{method: "GET", body: "x"}, "body"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newTestRouter(Options{}, route(startTarget(c, func(*fasthttp.RequestCtx) { c.Error("sent to the target") }), "t"))
			ctx := sendRequest(r, test.call)
			c.Check(ctx.Response.StatusCode(), qt.Equals, 400)
			c.Check(string(ctx.Response.Body()), qt.Contains, `"reason":"`+test.want+`:`)
			c.Check(len(ctx.Response.Header.Peek(RequestIDHeader)) > 0, qt.IsTrue)
		})
	}
}

// The target must get the caller's request with only the hop-by-hop headers and
// the deadline changed.
func TestRequestIsPassedOn(t *testing.T) {
	c := qt.New(t)
	seen := make(chan string, 1)
	addr := startTarget(c, func(ctx *fasthttp.RequestCtx) { seen <- ctx.Request.Header.String() + string(ctx.Request.Body()) })
	r := newTestRouter(Options{}, route(addr, "t"))
	ctx := sendRequest(r, call{
		method: "POST", path: "/v1/services/s/a%2Fb?q=%20x", id: "id-1", timeout: "3000", body: "hello",
		headers: map[string]string{"Traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "Te": "trailers", "X-Own": "1", RunnerTaskHeader: "spoofed", DeadlineHeader: "9"},
	})
	c.Check(resultOf(ctx), qt.Equals, "ok")
	got := <-seen
	for _, want := range []string{"POST /a%2Fb?q=%20x HTTP/1.1", "Request-Id: id-1", "X-Own: 1", "Runner-Task: t\r\n", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "Host: " + addr, "Content-Length: 5", "\r\n\r\nhello"} {
		c.Check(got, qt.Contains, want)
	}
	c.Check(got, qt.Not(qt.Contains), "Te:")
	c.Check(got, qt.Not(qt.Contains), "spoofed")
	c.Check(got, qt.Matches, `(?s).*Deadline-Ms: (2\d\d\d|3000)\r.*`)
}

// Responses to HEAD and with status 204 or 304 have no body, so that a missing
// length is not an error.
func TestResponsesWithoutBody(t *testing.T) {
	for _, status := range []int{200, 204, 304} {
		c := qt.New(t)
		r := newTestRouter(Options{}, route(startTarget(c, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(status) }), "t"))
		for _, method := range []string{"HEAD", "DELETE"} {
			c.Check(sendRequest(r, call{method: method}).Response.StatusCode(), qt.Equals, status)
		}
	}
}

// The shares of all daemons together must not exceed the slots and
// connections, and must use all of them.
func TestSharesAddUp(t *testing.T) {
	for _, members := range []int{1, 2, 6, 9, 24, 100} {
		c := qt.New(t)
		ids := []string{}
		for i := range members {
			ids = append(ids, fmt.Sprintf("d%03d", i))
		}
		var slots, connections int64
		for _, id := range ids {
			r := newTestRouter(Options{}, route("127.0.0.1:1", "t"))
			r.options.Self = id
			r.SetMembers(ids)
			tg := r.targets[targetKey{addr: "127.0.0.1:1", task: "t", service: "s"}]
			slots += tg.share.Load()
			connections += int64(tg.pool.limit)
			c.Check(tg.limit.Load() <= 8, qt.IsTrue)
		}
		c.Check(slots <= 8, qt.IsTrue)
		if members <= 64 {
			c.Check(slots, qt.Equals, int64(8))
		}
		c.Check(connections, qt.Equals, int64(64))
	}
}

// Targets of the own domain come first, the others by cost.
func TestOwnDomainFirst(t *testing.T) {
	c := qt.New(t)
	var hits [3]atomic.Int64
	domains := []string{"a", "near", "far"}
	routes := []*messenger.Route{}
	release := make(chan struct{})
	for i, domain := range domains {
		ro := route(startTarget(c, func(*fasthttp.RequestCtx) { hits[i].Add(1); <-release }), domain)
		ro.Domain, ro.Slots = domain, 2
		routes = append(routes, ro)
	}
	r := newTestRouter(Options{Costs: map[string]time.Duration{"near": time.Millisecond, "far": 5 * time.Millisecond}}, routes...)
	var wg sync.WaitGroup
	for i, want := range [][3]int64{{1, 0, 0}, {2, 0, 0}, {2, 1, 0}, {2, 2, 0}, {2, 2, 1}} {
		wg.Go(func() { sendRequest(r, call{method: "GET"}) })
		deadline := time.Now().Add(2 * time.Second)
		for hits[0].Load()+hits[1].Load()+hits[2].Load() <= int64(i) && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		c.Check([3]int64{hits[0].Load(), hits[1].Load(), hits[2].Load()}, qt.Equals, want)
	}
	close(release)
	wg.Wait()
}

// A target must get no new requests once the routing table, the platform's list
// of instances or its own response shows that it is leaving.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	for _, source := range []string{"answer", "table", "list"} {
		t.Run(source, func(t *testing.T) {
			c := qt.New(t)
			var asked atomic.Int64
			leaving := startTarget(c, func(ctx *fasthttp.RequestCtx) {
				asked.Add(1)
				ctx.Response.Header.Set(AdmissionHeader, AdmissionLeaving)
				ctx.SetStatusCode(503)
			})
			routes := []*messenger.Route{route(leaving, "left"), route(startTarget(c, func(*fasthttp.RequestCtx) {}), "stays")}
			routes[0].Leaving = source == "table"
			routes[0].Worker, routes[1].Worker = "leaving-worker", "staying-worker"
			r := newTestRouter(Options{}, routes...)
			if source == "list" {
				r.SetLeaving([]string{"leaving-worker"})
			}
			for range 50 {
				c.Check(resultOf(sendRequest(r, call{method: "POST"})), qt.Equals, "ok")
			}
			maxAsked := int64(0)
			if source == "answer" {
				maxAsked = 1
			}
			c.Check(asked.Load() <= maxAsked, qt.IsTrue)
		})
	}
}

// Retries must not exceed a tenth of the traffic when every attempt fails.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	var hits atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1000))
			hits.Add(1)
			_ = conn.Close()
		}
	}()
	r := newTestRouter(Options{}, route(l.Addr().String(), "t"))
	const requests = 1000
	for range requests {
		c.Check(resultOf(sendRequest(r, call{method: "GET"})), qt.Equals, OutcomeUnknown)
	}
	c.Check(hits.Load() <= requests+requests/10+initialBudget/tokensPerAttempt, qt.IsTrue, qt.Commentf("%d attempts", hits.Load()))
	c.Check(hits.Load() > requests, qt.IsTrue)
}

// Latency-critical requests in the queue must be sent before batch requests, and
// a request must leave the queue at its deadline.
func TestQueueOrderAndDeadline(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	var order []string
	proceed := make(chan struct{})
	ro := route(startTarget(c, func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		order = append(order, string(ctx.Request.Header.Peek(RequestIDHeader)))
		mu.Unlock()
		<-proceed
	}), "t")
	ro.Slots = 1
	r := newTestRouter(Options{}, ro)
	var wg sync.WaitGroup
	send := func(id, class, timeout, want string) {
		wg.Go(func() {
			start := time.Now()
			ctx := sendRequest(r, call{method: "POST", id: id, timeout: timeout, headers: map[string]string{ClassHeader: class}})
			if want == NotRun {
				c.Check(time.Since(start) < 80*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %s", time.Since(start)))
			}
			c.Check(resultOf(ctx), qt.Equals, want, qt.Commentf("%s", id))
		})
		time.Sleep(30 * time.Millisecond)
	}
	send("first", "batch", "5000", "ok")
	send("batch", "batch", "5000", "ok")
	send("critical", "latency_critical", "5000", "ok")
	send("expired", "latency_critical", "40", NotRun)
	time.Sleep(100 * time.Millisecond)
	for range 3 {
		proceed <- struct{}{}
	}
	wg.Wait()
	c.Check(order, qt.DeepEquals, []string{"first", "critical", "batch"})
}

// A request that would wait beyond its deadline must be refused at once.
func TestEarlyRefusal(t *testing.T) {
	c := qt.New(t)
	ro := route(startTarget(c, func(*fasthttp.RequestCtx) { time.Sleep(50 * time.Millisecond) }), "t")
	ro.Slots = 1
	r := newTestRouter(Options{}, ro)
	sendRequest(r, call{method: "POST"})
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { sendRequest(r, call{method: "POST"}) })
	}
	time.Sleep(30 * time.Millisecond)
	start := time.Now()
	ctx := sendRequest(r, call{method: "POST", timeout: "300"})
	c.Check(resultOf(ctx), qt.Equals, NotRun)
	c.Check(time.Since(start) < 100*time.Millisecond, qt.IsTrue)
	c.Check(string(ctx.Response.Body()), qt.Contains, "retry_after_ms")
	wg.Wait()
}

// A slow idempotent request must be hedged, a non-idempotent request never.
func TestHedging(t *testing.T) {
	c := qt.New(t)
	var isFirstSlow, isSecondSlow atomic.Bool
	var runs atomic.Int64
	handler := func(slow *atomic.Bool) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			runs.Add(1)
			if slow.Load() {
				time.Sleep(400 * time.Millisecond)
			}
			ctx.SetBodyString(targetBody(string(ctx.Request.Header.Peek(RequestIDHeader))))
		}
	}
	r := newTestRouter(Options{}, route(startTarget(c, handler(&isFirstSlow)), "slow"), route(startTarget(c, handler(&isSecondSlow)), "fast"))
	for i := range 2 * minHedgeSamples {
		sendRequest(r, call{method: "GET", id: fmt.Sprintf("warm-%d", i)})
	}
	isFirstSlow.Store(true)
	for i := range 30 {
		id := fmt.Sprintf("get-%d", i)
		start := time.Now()
		ctx := sendRequest(r, call{method: "GET", id: id})
		c.Check(string(ctx.Response.Body()), qt.Equals, targetBody(id))
		c.Check(time.Since(start) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
	}
	isSecondSlow.Store(true)
	sendRequest(r, call{method: "GET"})
	runs.Store(0)
	for range 5 {
		sendRequest(r, call{method: "POST"})
	}
	c.Check(runs.Load(), qt.Equals, int64(5))
}

// With tracing on, the target must get the context of the attempt's span, in the
// caller's trace.
func TestTraceContextOfTheAttempt(t *testing.T) {
	c := qt.New(t)
	tr, err := tracer.New(tracer.Options{File: filepath.Join(t.TempDir(), "spans.jsonl")})
	c.Assert(err, qt.IsNil)
	seen := make(chan string, 1)
	addr := startTarget(c, func(ctx *fasthttp.RequestCtx) { seen <- string(ctx.Request.Header.Peek(TraceparentHeader)) })
	r := newTestRouter(Options{Tracer: tr}, route(addr, "t"))
	const given = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	sendRequest(r, call{method: "GET", headers: map[string]string{TraceparentHeader: given}})
	got := <-seen
	c.Check(got, qt.Matches, "00-0af7651916cd43dd8448eb211c80319c-[0-9a-f]{16}-01")
	c.Check(got, qt.Not(qt.Equals), given)
}

// An older routing table and the empty table of a new owner must not remove
// targets.
func TestTablesOfOtherEpochs(t *testing.T) {
	c := qt.New(t)
	ro := route(startTarget(c, func(*fasthttp.RequestCtx) {}), "t")
	r := newTestRouter(Options{}, ro)
	for _, table := range []*messenger.RoutingTable{{Shard: "a", Epoch: 1}, {Shard: "a", Epoch: 2}, {Shard: "a", Epoch: 0, Version: 9}} {
		r.Update(table)
		c.Check(resultOf(sendRequest(r, call{method: "POST"})), qt.Equals, "ok")
	}
	r.Update(&messenger.RoutingTable{Shard: "a", Epoch: 2, Version: 1})
	c.Check(resultOf(sendRequest(r, call{method: "POST"})), qt.Equals, NotRun)
}
