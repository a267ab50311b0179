package limiter

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// TestRefusals guards against a request over a limit that is handled or waited for, against
// a refusal that keeps the connection or is not counted, and against an ordinary request
// that is refused.
func TestRefusals(t *testing.T) {
	post := func(header, body string) string { return "POST / HTTP/1.1\r\nHost: x\r\n" + header + "\r\n" + body }
	for name, tt := range map[string]struct {
		request, limit string
		status         int
		retryAfter     string
	}{
		"ordinary":            {post("Content-Length: 4\r\n", "body"), "", 200, ""},
		"no body":             {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "", 200, ""},
		"announced, not sent": {post("Content-Length: 1001\r\n", ""), limitBodyBytes, 413, ""},
		"chunked":             {post("Transfer-Encoding: chunked\r\n", "3e9\r\n"+strings.Repeat("x", 1001)+"\r\n"), limitBodyBytes, 413, ""},
		"many headers":        {post(strings.Repeat("a: b\r\n", 30)+"Content-Length: 4\r\n", ""), limitHeaders, 431, ""},
		"long header":         {post("a: "+strings.Repeat("b", 4000), ""), limitHeaderBytes, 431, ""},
		"no memory":           {post("Content-Length: 600\r\n", strings.Repeat("x", 600)), limitMemory, 503, "1"},
		"marked by a client":  {post("Content-Length: 0\r\nTarragonhead-Refused: x\r\n", ""), limitMalformed, 400, ""},
		"ended early":         {post("Transfer-Encoding: chunked\r\n", "x"), limitMalformed, 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			registry := prometheus.NewRegistry()
			l := New(Options{MaxConnections: 2, Budget: NewBudget(workFactor * 500), Registry: registry, Limits: Limits{
				MaxBodyBytes: 1000, MaxHeaderBytes: 1000, MaxHeaders: 20, HeaderTimeout: time.Minute, BodyTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute, MinBodyRate: 1,
			}})
			s := l.Server(ServerOptions{Name: "test", Share: 1})
			handled := ""
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { handled = "body: " + string(ctx.PostBody()) }}
			s.Attach(server)
			listener := fasthttputil.NewInmemoryListener()
			go func() { _ = server.Serve(s.Listener(listener)) }()
			client, err := listener.Dial()
			c.Assert(err, quicktest.IsNil)
			defer func() { _ = client.Close() }()
			go func() { _, _ = io.WriteString(client, tt.request) }()
			var response fasthttp.Response
			c.Assert(response.Read(bufio.NewReader(client)), quicktest.IsNil)
			c.Assert(response.StatusCode(), quicktest.Equals, tt.status)
			c.Assert(string(response.Header.Peek("Retry-After")), quicktest.Equals, tt.retryAfter)
			c.Assert(response.ConnectionClose(), quicktest.Equals, tt.limit != "")
			c.Assert(handled != "", quicktest.Equals, tt.limit == "")
			if tt.limit != "" {
				c.Assert(testutil.ToFloat64(s.refusals.WithLabelValues(tt.limit)), quicktest.Equals, 1.0)
			}
			_ = client.Close()
			_ = listener.Close()
		})
	}
}
