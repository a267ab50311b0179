package runner

import (
	"net"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/router"
)

// TestOtherRunnerAtAddress guards against a request that is run by a runner of
// another service, at the address of the one that it is meant for.
func TestOtherRunnerAtAddress(t *testing.T) {
	for name, test := range map[string]struct {
		runner string
		status int
		runs   int
	}{
		"runner that is meant": {"service/web/a/0", fasthttp.StatusOK, 1},
		"other runner":         {"service/billing/a/0", fasthttp.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s, err := New(Options{Name: test.runner, Slots: 1, Connections: 8})
			c.Assert(err, quicktest.IsNil)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			served := make(chan error, 1)
			go func() { served <- s.Serve(l) }()
			c.Cleanup(func() {
				c.Check(s.Shutdown(), quicktest.IsNil)
				c.Check(<-served, quicktest.IsNil)
			})
			r := router.New(router.Options{Self: "d", Domain: "a", Registry: prometheus.NewRegistry(), PanicOnViolation: true})
			r.Update(&messenger.RoutingTable{Shard: "a", Epoch: 1, Version: 1, Routes: []*messenger.Route{
				{Service: "web", Task: "service/web/a/0", Attempt: 1, Addr: l.Addr().String(), Domain: "a", Slots: 8, Connections: 64},
			}})
			var ctx fasthttp.RequestCtx
			ctx.Request.Header.SetMethod(fasthttp.MethodPost)
			ctx.Request.SetRequestURI("/v1/services/web/x")
			ctx.Request.Header.Set(router.TimeoutHeader, "300")
			r.Handle(&ctx)
			c.Check(ctx.Response.StatusCode(), quicktest.Equals, test.status, quicktest.Commentf("%s", ctx.Response.Body()))
			c.Check(s.Runs(), quicktest.HasLen, test.runs)
		})
	}
}
