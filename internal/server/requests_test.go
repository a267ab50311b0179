package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/router"
)

// freeAddr returns a local address that no listener used when it was chosen.
func freeAddr(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

// newListeningServer returns a daemon without a store that listens on the listeners
// returned, and on any other address not at all. The listeners exist before the
// daemon, so that no other process takes their addresses in between.
func newListeningServer(c *qt.C) (d *Server, listeners map[string]net.Listener) {
	listeners = map[string]net.Listener{}
	open := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = l.Close() })
		listeners[l.Addr().String()] = l
		return l.Addr().String()
	}
	s := Settings{
		ID: "d0", Domain: "a", Traffic: open(), Control: open(), Store: freeAddr(c), LogLevel: "error",
		DrainTimeout: "10s", StopDelay: "2s", PanicOnViolation: true,
	}
	d, err := New(s, io.Discard, prometheus.NewRegistry())
	c.Assert(err, qt.IsNil)
	d.listen = func(addr netip.AddrPort) (net.Listener, error) {
		if l := listeners[addr.String()]; l != nil {
			return l, nil
		}
		return nil, syscall.EADDRINUSE
	}
	return d, listeners
}

// TestListenerInUse guards against a daemon that can't open one of its listeners
// and leaves the other one open, where callers then wait without an answer.
func TestListenerInUse(t *testing.T) {
	c := qt.New(t)
	d, listeners := newListeningServer(c)
	delete(listeners, d.settings.Traffic)
	c.Assert(d.Run(context.Background()), qt.ErrorIs, syscall.EADDRINUSE)
	_, err := net.Dial("tcp", d.settings.Control)
	c.Assert(err, qt.IsNotNil)
}

// startServer runs a daemon without a store, with one runner that takes 300 ms
// for each request.
func startServer(c *qt.C) (d *Server, stop func(), ended chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	target := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV(router.RequestIDHeader, ctx.Request.Header.Peek(router.RequestIDHeader))
		time.Sleep(300 * time.Millisecond)
		ctx.SetBodyString("answer")
	}}
	go func() { _ = target.Serve(l) }()
	d, _ = newListeningServer(c)
	d.router.Update(&messenger.RoutingTable{Shard: "b", Epoch: 1, Version: 1, Routes: []*messenger.Route{
		{Service: "s", Task: "t", Addr: l.Addr().String(), Domain: "a", Slots: 8, Connections: 64},
	}})
	ctx, stop := context.WithCancel(context.Background())
	c.Cleanup(stop)
	ended = make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	return d, stop, ended
}

// roundTrip sends text on conn. It returns the response's status and body, and
// whether the response closes the connection.
func roundTrip(conn net.Conn, text string) (int, string, bool, error) {
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, "", false, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", false, err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), response.Close, err
}

const plainRequest = "GET /v1/services/s/x HTTP/1.1\r\nHost: x\r\n\r\n"

// TestRefusedInput guards against input that the HTTP server refuses with a
// wrong status, or without the JSON body that names the field.
func TestRefusedInput(t *testing.T) {
	c := qt.New(t)
	d, _, _ := startServer(c)
	tests := map[string]struct {
		text   string
		status int
		want   string
	}{
		"body":      {fmt.Sprintf("POST /v1/services/s/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1), 413, `"reason":"body: `},
		"headers":   {"GET /v1/services/s/x HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", 431, `"reason":"headers: `},
		"malformed": {"GET\r\n\r\n", 400, `"result":"bad_request"`},
		"timeout":   {"GET /v1/services/s/x HTTP/1.1\r\nHost: x\r\nRequest-Timeout-Ms: -1\r\n\r\n", 400, `"reason":"Request-Timeout-Ms: `},
	}
	for name, test := range tests {
		c.Run(name, func(c *qt.C) {
			conn, err := net.Dial("tcp", d.settings.Traffic)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			status, body, _, err := roundTrip(conn, test.text)
			c.Assert(err, qt.IsNil)
			c.Check(status, qt.Equals, test.status)
			c.Check(body, qt.Contains, test.want)
			c.Check(body, qt.Contains, `"request_id":"`)
		})
	}
}

// TestGracefulStop guards against a stopping daemon that is still reported as
// ready, that drops requests in progress, or that does not serve requests
// during the stop delay.
func TestGracefulStop(t *testing.T) {
	c := qt.New(t)
	d, stop, ended := startServer(c)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", d.settings.Traffic)
		c.Assert(err, qt.IsNil)
		return conn
	}
	type answer struct {
		status int
		body   string
		closes bool
		err    error
	}
	send := func(conn net.Conn) chan answer {
		done := make(chan answer, 1)
		go func() {
			status, body, closes, err := roundTrip(conn, plainRequest)
			done <- answer{status, body, closes, err}
		}()
		return done
	}
	before := send(dial())
	late := dial()
	firstOnLate := send(late)
	time.Sleep(50 * time.Millisecond)
	stop()
	time.Sleep(50 * time.Millisecond)
	response, err := http.Get("http://" + d.settings.Control + "/readyz")
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(text), qt.Equals, "stopping\n")
	// During the stop delay the daemon accepts and serves requests.
	during := send(dial())
	c.Check(<-ended, qt.IsNil)
	c.Check(d.router.InProgress(), qt.Equals, int64(0))
	for _, a := range []answer{<-before, <-firstOnLate, <-during} {
		c.Check(a, qt.Equals, answer{200, "answer", true, nil})
	}
	_, err = net.Dial("tcp", d.settings.Traffic)
	c.Check(err, qt.IsNotNil)
}

// TestStoppedDaemonRefuses guards against a request on an open connection that
// is not refused as not run after the daemon has stopped listening.
func TestStoppedDaemonRefuses(t *testing.T) {
	c := qt.New(t)
	d, _, _ := startServer(c)
	d.router.Drain()
	d.router.Refuse()
	conn, err := net.Dial("tcp", d.settings.Traffic)
	c.Assert(err, qt.IsNil)
	status, body, closes, err := roundTrip(conn, plainRequest)
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 503)
	c.Check(body, qt.Contains, `"result":"not_run"`)
	c.Check(closes, qt.IsTrue)
}

// TestRequestSettings guards against errors in the settings for requests that
// are not reported together.
func TestRequestSettings(t *testing.T) {
	_, err := New(Settings{
		ID: "d", Domain: "a", Traffic: "127.0.0.1:1", Control: "127.0.0.1:2", Store: "127.0.0.1:3",
		StopDelay: "-1s", TraceRatio: "2", DomainCosts: map[string]string{"b": "far"},
	}, io.Discard, prometheus.NewRegistry())
	for _, name := range []string{"--stop-delay", "--trace-ratio", "--domain-cost"} {
		qt.Check(t, err, qt.ErrorMatches, "(?s).*"+name+": got .*")
	}
}
