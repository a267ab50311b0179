package limiter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestHTTPRefusals guards against a request over a limit that a server of net/http handles
// or waits for, against a refusal that keeps the connection, keeps its part of the budget
// or is not counted, and against an ordinary request that is refused or loses its body.
func TestHTTPRefusals(t *testing.T) {
	post := func(header, body string) string { return "POST / HTTP/1.1\r\nHost: x\r\n" + header + "\r\n" + body }
	for name, tt := range map[string]struct {
		request, limit string
		status         int
		retryAfter     string
	}{
		"ordinary":            {post("Content-Length: 4\r\n", "body"), "", 200, ""},
		"ordinary chunked":    {post("Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"), "", 200, ""},
		"no body":             {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "", 200, ""},
		"announced, not sent": {post("Content-Length: 1001\r\n", ""), limitBodyBytes, 413, ""},
		"chunked":             {post("Transfer-Encoding: chunked\r\n", "3e9\r\n"+strings.Repeat("x", 1001)+"\r\n"), limitBodyBytes, 413, ""},
		"long header":         {post("a: "+strings.Repeat("b", 6000), ""), limitHeaderBytes, 431, ""},
		"no memory":           {post("Content-Length: 600\r\n", strings.Repeat("x", 600)), limitMemory, 503, "1"},
		"malformed":           {post("Transfer-Encoding: chunked\r\n", "x\r\n"), limitMalformed, 400, ""},
		"body not in time":    {post("Content-Length: 4\r\n", "bod"), limitBodyTime, 408, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			budget := NewBudget(workFactor * 500)
			l := New(Options{MaxConnections: 2, Budget: budget, Registry: prometheus.NewRegistry(), Limits: Limits{
				MaxBodyBytes: 1000, MaxHeaderBytes: 1000, BodyTimeout: 200 * time.Millisecond, WriteTimeout: time.Minute, MinBodyRate: 1,
			}})
			s := l.Server(ServerOptions{Name: "test", Share: 1})
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				_, _ = w.Write(append([]byte("handled "), body...))
			}), ReadHeaderTimeout: time.Minute}
			s.AttachHTTP(server, func(w http.ResponseWriter, status int, message string) { http.Error(w, message, status) })
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			go func() { _ = server.Serve(s.HTTPListener(listener)) }()
			defer server.Close()
			client, err := net.Dial("tcp", listener.Addr().String())
			c.Assert(err, quicktest.IsNil)
			defer client.Close()
			_ = client.SetDeadline(time.Now().Add(time.Minute))
			_, err = io.WriteString(client, tt.request)
			c.Assert(err, quicktest.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			c.Assert(err, quicktest.IsNil)
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			c.Assert(response.StatusCode, quicktest.Equals, tt.status)
			c.Assert(response.Header.Get("Retry-After"), quicktest.Equals, tt.retryAfter)
			c.Assert(response.Close, quicktest.Equals, tt.limit != "")
			c.Assert(strings.HasPrefix(string(body), "handled "), quicktest.Equals, tt.limit == "")
			c.Assert(strings.HasSuffix(string(body), "body"), quicktest.Equals, strings.HasPrefix(name, "ordinary"))
			if tt.limit != "" {
				c.Assert(testutil.ToFloat64(s.refusals.WithLabelValues(tt.limit)), quicktest.Equals, 1.0)
			}
			c.Assert(server.Close(), quicktest.IsNil)
			for begun := time.Now(); budget.Used() > 0 || s.connections.Len() > 0; time.Sleep(time.Millisecond) {
				c.Assert(time.Since(begun) < 10*time.Second, quicktest.IsTrue)
			}
		})
	}
}

// TestHTTPTimes guards against a client of a server of net/http that keeps a connection by
// sending no header or reading no response, and against a time that is not counted.
func TestHTTPTimes(t *testing.T) {
	for name, tt := range map[string]struct{ request, limit string }{
		"idle":        {"", limitIdleTime},
		"header":      {"GET / HTTP/1.1\r\n", limitHeaderTime},
		"not reading": {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", limitWriteTime},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			l := New(Options{MaxConnections: 2, Budget: NewBudget(1 << 20), Registry: prometheus.NewRegistry(), Limits: Limits{
				MaxBodyBytes: 1000, MaxHeaderBytes: 1000, BodyTimeout: time.Minute, WriteTimeout: 200 * time.Millisecond, MinBodyRate: 1,
			}})
			s := l.Server(ServerOptions{Name: "test", Share: 1})
			// The response is larger than what the system buffers.
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 32<<20)) }), ReadHeaderTimeout: 200 * time.Millisecond}
			s.AttachHTTP(server, func(w http.ResponseWriter, status int, message string) { http.Error(w, message, status) })
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			go func() { _ = server.Serve(s.HTTPListener(listener)) }()
			defer server.Close()
			client, err := net.Dial("tcp", listener.Addr().String())
			c.Assert(err, quicktest.IsNil)
			defer client.Close()
			_, err = io.WriteString(client, tt.request)
			c.Assert(err, quicktest.IsNil)
			for begun := time.Now(); testutil.ToFloat64(s.refusals.WithLabelValues(tt.limit)) == 0 || s.connections.Len() > 0; time.Sleep(time.Millisecond) {
				c.Assert(time.Since(begun) < 10*time.Second, quicktest.IsTrue)
			}
		})
	}
}
