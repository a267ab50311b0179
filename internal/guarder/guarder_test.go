package guarder_test

import (
	"io"
	"net"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"tarragonhead.example/tarragonhead/internal/guarder"
)

// TestPanicEndsOneRequest guards against one request that ends the whole process.
func TestPanicEndsOneRequest(t *testing.T) {
	c := quicktest.New(t)
	registry := prometheus.NewRegistry()
	g := guarder.New(&log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, registry)
	server := &fasthttp.Server{Handler: g.Handle("front", func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/odd" {
			var none map[string]int
			none["written"] = 1
		}
		ctx.SetBodyString("served")
	})}
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	client := &fasthttp.Client{Dial: func(string) (net.Conn, error) { return listener.Dial() }}
	for _, tt := range []struct {
		path   string
		status int
	}{{"/", 200}, {"/odd", 504}, {"/odd", 504}, {"/", 200}} {
		status, _, err := client.Get(nil, "http://instance"+tt.path)
		c.Assert(err, quicktest.IsNil)
		c.Assert(status, quicktest.Equals, tt.status)
	}
	count, err := testutil.GatherAndCount(registry, "tarragonhead_panics_total")
	c.Assert(err, quicktest.IsNil)
	c.Assert(count, quicktest.Equals, 1)
}
