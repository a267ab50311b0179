package router

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

func BenchmarkHandle(b *testing.B) {
	c := qt.New(b)
	r := newTestRouter(Options{}, route(startTarget(c, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("hello") }), "t"))
	b.ReportAllocs()
	var request fasthttp.Request
	request.SetRequestURI("/v1/services/s/x")
	request.Header.Set(RequestIDHeader, "0123456789abcdef")
	ctx := &fasthttp.RequestCtx{}
	for b.Loop() {
		ctx.Init(&request, nil, nil)
		r.Handle(ctx)
	}
}
