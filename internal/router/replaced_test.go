package router

import (
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
