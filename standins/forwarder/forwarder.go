// Package forwarder is a minimal HTTP proxy: a fasthttp server and a fasthttp client
// without further features. It is the baseline for measuring the overhead of the daemon.
package forwarder

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// Forwarder forwards requests to one target.
type Forwarder struct {
	client *fasthttp.HostClient
	addr   string
}

// New returns a forwarder to the target at addr that uses at most the given number
// of connections.
func New(addr string, connections int) *Forwarder {
	return &Forwarder{client: &fasthttp.HostClient{Addr: addr, MaxConns: connections}, addr: addr}
}

// Handle forwards one request. It removes the prefix /v1/services/NAME from the path.
func (f *Forwarder) Handle(ctx *fasthttp.RequestCtx) {
	uri := string(ctx.Request.Header.RequestURI())
	if path, ok := strings.CutPrefix(uri, "/v1/services/"); ok {
		_, path, _ = strings.Cut(path, "/")
		uri = "/" + path
	}
	ctx.Request.SetRequestURI(uri)
	ctx.Request.Header.SetHost(f.addr)
	if err := f.client.Do(&ctx.Request, &ctx.Response); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadGateway)
	}
}
