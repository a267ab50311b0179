// Package guarder keeps a panic in the handler of one request from ending the process.
package guarder

import (
	"runtime/debug"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
)

// Guarder logs and counts panics. It is safe for concurrent use.
type Guarder struct {
	log    *log.Logger
	panics *prometheus.CounterVec
}

// New returns a guarder that logs to l and registers its metric.
func New(l *log.Logger, registry prometheus.Registerer) *Guarder {
	panics := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tarragonhead_panics_total", Help: "Requests whose handlers panicked, by server."}, []string{"server"})
	registry.MustRegister(panics)
	return &Guarder{l, panics}
}

// Handle returns a handler that calls inner. If inner panics, the response has status 504,
// since the request may have taken effect, and its connection is closed.
func (g *Guarder) Handle(server string, inner fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			g.panics.WithLabelValues(server).Inc()
			g.log.Error().Str("server", server).Str("method", string(ctx.Method())).Str("path", string(ctx.Path())).
				Any("cause", cause).Str("stack", string(debug.Stack())).Msg("guarder: handler panicked")
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
			ctx.SetConnectionClose()
		}()
		inner(ctx)
	}
}
