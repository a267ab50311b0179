package router

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/claimer"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// memoryStore is an in-memory store.
type memoryStore struct {
	mu       sync.Mutex
	entries  map[string]storeclient.Entry
	revision uint64
}

func (m *memoryStore) store() storeclient.Store {
	get := func(_ context.Context, key string) (storeclient.Entry, error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if e, ok := m.entries[key]; ok {
			return e, nil
		}
		return storeclient.Entry{}, &storeclient.NotFoundError{Key: key}
	}
	return storeclient.Store{
		Get: get,
		CompareAndSwap: func(_ context.Context, key string, value []byte, expected uint64, _ storeclient.LeaseID) (uint64, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if current := m.entries[key].Revision; current != expected {
				return 0, &storeclient.ConflictError{Key: key, Current: current}
			}
			m.revision++
			m.entries[key] = storeclient.Entry{Key: key, Value: value, Revision: m.revision}
			return m.revision, nil
		},
		Watch: func(ctx context.Context, key string, after uint64) (storeclient.Entry, error) {
			for ctx.Err() == nil {
				if e, err := get(ctx, key); err == nil && e.Revision > after {
					return e, nil
				}
				time.Sleep(time.Millisecond)
			}
			return storeclient.Entry{}, ctx.Err()
		},
		Grant: func(context.Context, time.Duration) (storeclient.LeaseID, error) { return 1, nil },
	}
}

func (m *memoryStore) claimer(holder string) *claimer.Claimer {
	return claimer.New(claimer.Options{
		Store: m.store(), Holder: holder, IsAlive: func(string) bool { return true }, Registry: prometheus.NewRegistry(), Log: &log.Logger{Level: log.PanicLevel}, PanicOnViolation: true,
	})
}

// A repeated request with the same idempotency key must get the first outcome
// from any daemon and must not run again.
func TestKeyedRequests(t *testing.T) {
	tests := map[string]struct {
		handler       fasthttp.RequestHandler
		first, repeat string
		// runs is the number of runs of the request, -1 if they are not checked.
		runs int64
	}{
		"answered":       {func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("answer"); ctx.Response.Header.Set("X-Own", "1") }, "ok", "ok", 1},
		"empty":          {func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(204) }, "ok", "ok", 1},
		"refused by 404": {func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(404) }, "?", "?", 1},
		"too large":      {func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", maxKeptBytes+1)) }, "ok", AlreadyRun, 1},
		"largest kept":   {func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("x", maxKeptBytes)) }, "ok", "ok", 1},
		"failing":        {func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(500) }, FailedByTarget, FailedByTarget, 1},
		"too late":       {func(*fasthttp.RequestCtx) { time.Sleep(300 * time.Millisecond) }, OutcomeUnknown, OutcomeUnknown, 1},
		"refused": {func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(429)
			ctx.Response.Header.Set(AdmissionHeader, AdmissionRefused)
		}, NotRun, NotRun, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var runs atomic.Int64
			addr := startTarget(c, func(ctx *fasthttp.RequestCtx) {
				runs.Add(1)
				test.handler(ctx)
			})
			m := &memoryStore{entries: map[string]storeclient.Entry{}}
			a := newTestRouter(Options{Claimer: m.claimer("a")}, route(addr, "t"))
			b := newTestRouter(Options{Claimer: m.claimer("b")}, route(addr, "t"))
			first := sendRequest(a, call{method: "POST", key: "k", id: "first", timeout: "200", body: "x"})
			c.Check(resultOf(first), qt.Equals, test.first, qt.Commentf("%s", first.Response.Body()))
			for _, r := range []*Router{a, b} {
				repeat := sendRequest(r, call{method: "POST", key: "k", id: "repeat", timeout: "200", body: "x"})
				c.Check(resultOf(repeat), qt.Equals, test.repeat, qt.Commentf("%s", repeat.Response.Body()))
				c.Check(string(repeat.Response.Header.Peek(RequestIDHeader)), qt.Equals, "repeat")
				if test.repeat == "ok" {
					c.Check(repeat.Response.StatusCode(), qt.Equals, first.Response.StatusCode())
					c.Check(string(repeat.Response.Body()), qt.Equals, string(first.Response.Body()))
					c.Check(string(repeat.Response.Header.Peek("X-Own")), qt.Equals, string(first.Response.Header.Peek("X-Own")))
				}
			}
			if test.runs >= 0 {
				c.Check(runs.Load(), qt.Equals, test.runs)
				other := sendRequest(b, call{method: "POST", key: "k", timeout: "200", body: "other"})
				c.Check(other.Response.StatusCode(), qt.Equals, 400)
				c.Check(string(other.Response.Body()), qt.Contains, IdempotencyKeyHeader)
				c.Check(runs.Load(), qt.Equals, test.runs)
			}
		})
	}
}

// A repeated request that arrives while the first one runs must get the first
// one's response.
func TestRepeatWhileUndecided(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int64
	addr := startTarget(c, func(ctx *fasthttp.RequestCtx) {
		runs.Add(1)
		time.Sleep(100 * time.Millisecond)
		ctx.SetBodyString("answer")
	})
	m := &memoryStore{entries: map[string]storeclient.Entry{}}
	a := newTestRouter(Options{Claimer: m.claimer("a")}, route(addr, "t"))
	b := newTestRouter(Options{Claimer: m.claimer("b")}, route(addr, "t"))
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			r := []*Router{a, b}[i%2]
			c.Check(string(sendRequest(r, call{method: "POST", key: "k"}).Response.Body()), qt.Equals, "answer")
		})
	}
	wg.Wait()
	c.Check(runs.Load(), qt.Equals, int64(1))
	// The key is ignored on idempotent methods.
	c.Check(string(sendRequest(a, call{method: "PUT", key: "k"}).Response.Body()), qt.Equals, "answer")
	c.Check(runs.Load(), qt.Equals, int64(2))
}
