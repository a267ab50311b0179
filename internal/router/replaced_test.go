package router

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

// TestNewRunnerAtAddressOfLeavingOne guards against a runner that gets no requests
// because an earlier runner of its task was leaving at the same address, and this
// daemon has read no table between the two.
func TestNewRunnerAtAddressOfLeavingOne(t *testing.T) {
	c := qt.New(t)
	leaving := route(startTarget(c, func(*fasthttp.RequestCtx) {}), "t")
	leaving.Leaving = true
	r := newTestRouter(Options{}, leaving)
	c.Assert(resultOf(sendRequest(r, call{method: "GET", timeout: "100"})), qt.Not(qt.Equals), "ok")
	r.Update(&messenger.RoutingTable{Shard: "a", Epoch: 1, Version: 3, Routes: []*messenger.Route{route(leaving.Addr, "t")}})
	c.Assert(resultOf(sendRequest(r, call{method: "GET", timeout: "100"})), qt.Equals, "ok")
}

// TestNewRunnerAfterOtherSourceOfLeaving guards against the same where the list of
// instances or the earlier runner itself had shown that it was leaving.
func TestNewRunnerAfterOtherSourceOfLeaving(t *testing.T) {
	update := func(r *Router, addr string) {
		next := route(addr, "t")
		next.Attempt, next.Worker = 2, "w"
		r.Update(&messenger.RoutingTable{Shard: "a", Epoch: 1, Version: 3, Routes: []*messenger.Route{next}})
	}
	for name, test := range map[string]struct {
		leave, replace func(r *Router, addr string)
	}{
		"list": {
			func(r *Router, _ string) { r.SetLeaving([]string{"w"}) },
			func(r *Router, addr string) { update(r, addr); r.SetLeaving(nil) },
		},
		"list read before the table": {
			func(r *Router, _ string) { r.SetLeaving([]string{"w"}) },
			func(r *Router, addr string) { r.SetLeaving(nil); update(r, addr) },
		},
		"answer": {func(*Router, string) {}, update},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var isReplaced atomic.Bool
			first := route(startTarget(c, func(ctx *fasthttp.RequestCtx) {
				if !isReplaced.Load() {
					ctx.Response.Header.Set(AdmissionHeader, AdmissionLeaving)
					ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
				}
			}), "t")
			first.Attempt, first.Worker = 1, "w"
			r := newTestRouter(Options{}, first)
			test.leave(r, first.Addr)
			c.Assert(resultOf(sendRequest(r, call{method: "GET", timeout: "100"})), qt.Not(qt.Equals), "ok")
			isReplaced.Store(true)
			test.replace(r, first.Addr)
			c.Assert(resultOf(sendRequest(r, call{method: "GET", timeout: "100"})), qt.Equals, "ok")
		})
	}
}
