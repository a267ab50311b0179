package router

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

// faultyTarget is a target with one fault at one step of a request.
type faultyTarget struct {
	step     string
	listener net.Listener

	mu sync.Mutex
	// ran is the number of complete requests that were read and not refused, by
	// id. partialReads is the number of times that only the first bytes of a
	// request were read, by the step "write cut", by id. It is counted under ""
	// if these bytes don't hold the id.
	ran          map[string]int
	partialReads map[string]int
	// notRun holds the ids of the requests whose result was NotRun.
	notRun []string
	wrong  bool
}

// targetBody returns the body of a target's response to request id.
func targetBody(id string) string { return strings.Repeat("body of "+id+"\n", 50) }

func startFaultyTarget(c *qt.C, step string) *faultyTarget {
	ip := "127.0.0.1"
	if step == "connect refused" {
		// Tests that run at the same time don't listen on this address, so the
		// port stays closed.
		ip = "127.0.0.2"
	}
	l, err := net.Listen("tcp", ip+":0")
	c.Assert(err, qt.IsNil)
	m := &faultyTarget{step: step, listener: l, ran: map[string]int{}, partialReads: map[string]int{}}
	c.Cleanup(func() { _ = l.Close() })
	if step == "connect refused" {
		_ = l.Close()
		return m
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(conn.(*net.TCPConn))
		}
	}()
	return m
}

func (m *faultyTarget) serve(conn *net.TCPConn) {
	defer conn.Close()
	switch m.step {
	case "connect closed":
		return
	case "connect reset":
		_ = conn.SetLinger(0)
		return
	case "write stopped":
		_ = conn.SetReadBuffer(4096)
		time.Sleep(time.Second)
		return
	case "write cut":
		// The id is within the first 100 bytes of the requests of these tests.
		b := make([]byte, 100)
		n, _ := io.ReadFull(conn, b)
		m.recordPartialRead(b[:n])
		return
	}
	r := bufio.NewReader(conn)
	for m.answer(conn, r) {
	}
}

func (m *faultyTarget) recordPartialRead(read []byte) {
	if len(read) == 0 {
		return
	}
	_, rest, _ := bytes.Cut(read, []byte("\r\n"+RequestIDHeader+": "))
	id, _, isWhole := bytes.Cut(rest, []byte("\r\n"))
	if !isWhole {
		id = nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partialReads[string(id)]++
}

// runsOf returns how often a request ran. It locks, as a request that timed out
// may still arrive.
func (m *faultyTarget) runsOf(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ran[id]
}

// answer reads one request and responds to it. It reports whether the connection
// stays open.
func (m *faultyTarget) answer(conn *net.TCPConn, r *bufio.Reader) bool {
	var request fasthttp.Request
	if err := request.Read(r); err != nil {
		return false
	}
	id := string(request.Header.Peek(RequestIDHeader))
	if m.step == "refused" || m.step == "leaving" {
		status := map[string]int{"refused": 429, "leaving": 503}[m.step]
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, RequestIDHeader, id, AdmissionHeader, m.step)
		return err == nil
	}
	m.mu.Lock()
	m.ran[id]++
	m.mu.Unlock()
	body := targetBody(id)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", RequestIDHeader, id, len(body), body)
	answer := whole
	isHanging := false
	switch m.step {
	case "wait closed":
		answer = ""
	case "wait reset":
		_ = conn.SetLinger(0)
		answer = ""
	case "wait hanging":
		answer, isHanging = "", true
	case "header cut":
		answer = whole[:30]
	case "header hanging":
		answer, isHanging = whole[:30], true
	case "header garbage":
		answer = "\x00\x01garbage\r\n\r\n"
	case "header too large":
		answer = "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*responseBufferBytes) + "\r\n\r\n"
	case "header of another":
		answer = strings.ReplaceAll(whole, id, "another-request-"+strconv.Itoa(len(id)))
	case "header without id":
		answer = strings.Replace(whole, RequestIDHeader, "X-Other", 1)
	case "header switching":
		answer = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	case "header false admission":
		answer = strings.Replace(whole, "Content-Length", AdmissionHeader+": refused\r\nContent-Length", 1)
	case "header refusal of another":
		answer = "HTTP/1.1 429 X\r\n" + RequestIDHeader + ": another\r\n" + AdmissionHeader + ": refused\r\nContent-Length: 0\r\n\r\n"
	case "body cut":
		answer = whole[:len(whole)-20]
	case "body hanging":
		answer, isHanging = whole[:len(whole)-20], true
	case "body without length":
		answer = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", RequestIDHeader, id, body[:40])
	case "body chunks cut":
		answer = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", RequestIDHeader, id)
	case "body chunks":
		answer = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", RequestIDHeader, id, len(body), body)
	case "body extra":
		answer = whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
	case "interim":
		answer = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole
	case "failing":
		answer = strings.Replace(whole, "200 OK", "500 X", 1)
	}
	_, err := io.WriteString(conn, answer)
	if isHanging {
		time.Sleep(1000 * time.Millisecond)
	}
	return err == nil && answer == whole
}

func newTestRouter(o Options, routes ...*messenger.Route) *Router {
	o.Self, o.Domain, o.PanicOnViolation = "d0", "a", true
	o.Registry, o.Log = prometheus.NewRegistry(), &log.Logger{Level: log.PanicLevel}
	r := New(o)
	r.SetMembers([]string{"d0"})
	r.Update(&messenger.RoutingTable{Shard: "a", Epoch: 1, Version: 1, Routes: routes})
	return r
}

func route(addr, task string) *messenger.Route {
	return &messenger.Route{Service: "s", Task: task, Addr: addr, Domain: "a", Slots: 8, Connections: 64}
}

type call struct {
	method, path, id, key, timeout string
	headers                        map[string]string
	body                           string
}

// sendRequest passes one request to the router without a network connection.
func sendRequest(r *Router, cl call) *fasthttp.RequestCtx {
	ctx := &fasthttp.RequestCtx{}
	var request fasthttp.Request
	request.Header.SetMethod(cl.method)
	if cl.path == "" {
		cl.path = "/v1/services/s/x"
	}
	request.SetRequestURI(cl.path)
	for name, value := range map[string]string{RequestIDHeader: cl.id, IdempotencyKeyHeader: cl.key, TimeoutHeader: cl.timeout} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	for name, value := range cl.headers {
		request.Header.Set(name, value)
	}
	request.SetBodyString(cl.body)
	ctx.Init(&request, nil, nil)
	r.Handle(ctx)
	return ctx
}

func resultOf(ctx *fasthttp.RequestCtx) string {
	if status := ctx.Response.StatusCode(); status < 400 {
		return "ok"
	}
	body := string(ctx.Response.Body())
	for _, name := range resultNames {
		if strings.Contains(body, `"result":"`+name+`"`) {
			return name
		}
	}
	return "?"
}

// faultResults holds the results of a POST and of a GET to a target that has a
// fault at one step of every request.
var faultResults = map[string]struct{ post, get string }{
	"none":                      {"ok", "ok"},
	"connect refused":           {NotRun, NotRun},
	"connect closed":            {OutcomeUnknown, OutcomeUnknown},
	"connect reset":             {OutcomeUnknown, OutcomeUnknown},
	"write stopped":             {OutcomeUnknown, OutcomeUnknown},
	"write cut":                 {OutcomeUnknown, OutcomeUnknown},
	"wait closed":               {OutcomeUnknown, OutcomeUnknown},
	"wait reset":                {OutcomeUnknown, OutcomeUnknown},
	"wait hanging":              {OutcomeUnknown, OutcomeUnknown},
	"header cut":                {OutcomeUnknown, OutcomeUnknown},
	"header hanging":            {OutcomeUnknown, OutcomeUnknown},
	"header garbage":            {OutcomeUnknown, OutcomeUnknown},
	"header too large":          {OutcomeUnknown, OutcomeUnknown},
	"header of another":         {OutcomeUnknown, OutcomeUnknown},
	"header without id":         {OutcomeUnknown, OutcomeUnknown},
	"header switching":          {OutcomeUnknown, OutcomeUnknown},
	"header false admission":    {OutcomeUnknown, OutcomeUnknown},
	"header refusal of another": {OutcomeUnknown, OutcomeUnknown},
	"body cut":                  {OutcomeUnknown, OutcomeUnknown},
	"body hanging":              {OutcomeUnknown, OutcomeUnknown},
	"body without length":       {OutcomeUnknown, OutcomeUnknown},
	"body chunks cut":           {OutcomeUnknown, OutcomeUnknown},
	"body chunks":               {"ok", "ok"},
	"body extra":                {"ok", "ok"},
	"interim":                   {"ok", "ok"},
	"failing":                   {FailedByTarget, FailedByTarget},
	"refused":                   {NotRun, NotRun},
	"leaving":                   {NotRun, NotRun},
}

// acceptsNotRun holds the steps for which NotRun is also a true result: if the
// connection is reset before the router writes, the write fails with no byte
// sent.
var acceptsNotRun = map[string]bool{"connect reset": true, "connect closed": true}

func TestFaultAtEachStep(t *testing.T) {
	for step, want := range faultResults {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for method, result := range map[string]string{"POST": want.post, "GET": want.get} {
				m := startFaultyTarget(c, step)
				r := newTestRouter(Options{}, route(m.listener.Addr().String(), "t"))
				body, timeout := "", "800"
				if step == "refused" || step == "leaving" {
					// These results need responses from the target, which can take
					// longer on a busy machine than the deadline for hanging targets.
					timeout = "3000"
				}
				if method == "POST" && strings.HasPrefix(step, "write") {
					// Copying the body takes a part of this time on a busy machine.
					timeout = "900"
					// Larger than the socket buffers of both ends.
					body = strings.Repeat("x", 12<<20)
				}
				ctx := sendRequest(r, call{method: method, id: "id-" + method, timeout: timeout, body: body})
				got := resultOf(ctx)
				if acceptsNotRun[step] && got == NotRun {
					got = OutcomeUnknown
				}
				c.Check(got, qt.Equals, result, qt.Commentf("%s: %s", method, ctx.Response.Body()))
				m.check(c, method, "id-"+method, ctx)
			}
		})
	}
}

// check checks the invariants that hold for every fault of the target.
func (m *faultyTarget) check(c *qt.C, method, id string, ctx *fasthttp.RequestCtx) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.Check(string(ctx.Response.Header.Peek(RequestIDHeader)), qt.Equals, id)
	if method == "POST" {
		c.Check(m.ran[id] <= 1, qt.IsTrue, qt.Commentf("ran %d times", m.ran[id]))
	}
	switch resultOf(ctx) {
	case "ok":
		c.Check(string(ctx.Response.Body()), qt.Equals, targetBody(id))
	case NotRun:
		m.notRun = append(m.notRun, id)
	}
	// A target may read a request after its result was returned, so the earlier
	// requests are checked again.
	for _, id := range m.notRun {
		c.Check(m.ran[id], qt.Equals, 0, qt.Commentf("request %s", id))
		c.Check(m.partialReads[id], qt.Equals, 0, qt.Commentf("request %s", id))
	}
	c.Check(m.partialReads[""], qt.Equals, 0)
}

// Two targets with a fault each must not make a request run twice or get a wrong
// response.
func TestFaultsInPairs(t *testing.T) {
	for first := range faultResults {
		for second := range faultResults {
			if strings.Contains(first, "hanging") && strings.Contains(second, "hanging") {
				continue
			}
			t.Run(first+" and "+second, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				a, b := startFaultyTarget(c, first), startFaultyTarget(c, second)
				r := newTestRouter(Options{}, route(a.listener.Addr().String(), "a"), route(b.listener.Addr().String(), "b"))
				for i := range 6 {
					method := []string{"POST", "GET"}[i%2]
					id := fmt.Sprintf("pair-%d", i)
					ctx := sendRequest(r, call{method: method, id: id, timeout: "60"})
					a.check(c, "", id, ctx)
					b.check(c, "", id, ctx)
					if method == "POST" {
						c.Check(a.runsOf(id)+b.runsOf(id) <= 1, qt.IsTrue, qt.Commentf("ran twice"))
					}
				}
			})
		}
	}
}

// Guards against sending a non-idempotent request on an idle connection that the
// target has closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	server := &fasthttp.Server{IdleTimeout: 20 * time.Millisecond, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV(RequestIDHeader, ctx.Request.Header.Peek(RequestIDHeader))
	}}
	go func() { _ = server.Serve(l) }()
	r := newTestRouter(Options{}, route(l.Addr().String(), "t"))
	for range 5 {
		ctx := sendRequest(r, call{method: "POST"})
		c.Check(resultOf(ctx), qt.Equals, "ok", qt.Commentf("%s", ctx.Response.Body()))
		time.Sleep(60 * time.Millisecond)
	}
}

// Guards against returning a response that arrives after its request timed out
// as the response to the next request on the same connection.
func TestLateResponseIsNotGivenToTheNextRequest(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		id := string(ctx.Request.Header.Peek(RequestIDHeader))
		if strings.HasPrefix(id, "late") {
			time.Sleep(60 * time.Millisecond)
		}
		ctx.Response.Header.Set(RequestIDHeader, id)
		ctx.SetBodyString(targetBody(id))
	}}
	go func() { _ = server.Serve(l) }()
	r := newTestRouter(Options{}, route(l.Addr().String(), "t"))
	for i := range 20 {
		late := sendRequest(r, call{method: "POST", id: fmt.Sprintf("late-%d", i), timeout: "20"})
		c.Check(resultOf(late), qt.Equals, OutcomeUnknown)
		time.Sleep(time.Duration(i) * 5 * time.Millisecond)
		id := fmt.Sprintf("next-%d", i)
		next := sendRequest(r, call{method: "POST", id: id})
		c.Check(string(next.Response.Body()), qt.Equals, targetBody(id))
	}
}

// A request whose connection can't be made before the deadline is not run.
func TestSlowConnectIsNotRun(t *testing.T) {
	c := qt.New(t)
	r := newTestRouter(Options{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}, route("127.0.0.1:1", "t"))
	ctx := sendRequest(r, call{method: "POST", timeout: "50"})
	c.Check(resultOf(ctx), qt.Equals, NotRun)
}
