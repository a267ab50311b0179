package limiter_test

import (
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/limiter"
)

// replay is a connection whose client sends the same request again after each response,
// and that needs no system calls.
type replay struct {
	net.Conn
	request string
	// left is how many requests the client still sends.
	left int
	// isAnswered says that the next read gets a request.
	isAnswered bool
}

func (r *replay) Read(b []byte) (int, error) {
	if !r.isAnswered || r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	r.isAnswered = false
	return copy(b, r.request), nil
}

func (r *replay) Write(b []byte) (int, error) {
	r.isAnswered = true
	return len(b), nil
}

func (*replay) Close() error                     { return nil }
func (*replay) SetDeadline(time.Time) error      { return nil }
func (*replay) SetReadDeadline(time.Time) error  { return nil }
func (*replay) SetWriteDeadline(time.Time) error { return nil }
func (*replay) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*replay) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// single is a listener with one connection.
type single struct {
	net.Listener
	conn net.Conn
}

func (s *single) Accept() (net.Conn, error) {
	if c := s.conn; c != nil {
		s.conn = nil
		return c, nil
	}
	return nil, io.EOF
}

// BenchmarkServer measures one request through the HTTP library without limits and with
// them, in memory. Run it under callgrind to count instructions.
func BenchmarkServer(b *testing.B) {
	body := `{"spec":"x","phases":[{"count":3,"cpu":500,"memMb":100,"estimateMs":300},{"count":2,"cpu":500,"memMb":100,"estimateMs":300,"after":[0]}]}`
	header := " /queue/0000000000000001 HTTP/1.1\r\nHost: tasks.example\r\nUser-Agent: fasthttp\r\nContent-Type: application/json\r\nContent-Length: "
	for name, request := range map[string]string{
		"post": "POST" + header + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"get":  "GET" + header + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"none": "GET" + header + "0\r\n\r\n",
	} {
		for _, kind := range []string{"plain", "limited"} {
			b.Run(name+"/"+kind, func(b *testing.B) {
				h := &fasthttp.Server{NoDefaultServerHeader: true, CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
					if len(ctx.PostBody()) != int(max(0, ctx.Request.Header.ContentLength())) {
						b.Error("a body is incomplete")
					}
					ctx.SetContentType("application/json")
					ctx.SetBodyString(`{"state":"queued"}`)
				}}
				conn := &replay{request: request, left: b.N, isAnswered: true}
				wrap := func(l net.Listener) net.Listener { return l }
				if kind == "limited" {
					s := newServer()
					s.Attach(h)
					wrap = s.Listener
				}
				c, err := wrap(&single{conn: conn}).Accept()
				quicktest.Assert(b, err, quicktest.IsNil)
				b.ReportAllocs()
				b.ResetTimer()
				_ = h.ServeConn(c)
				quicktest.Assert(b, conn.left, quicktest.Equals, 0)
			})
		}
	}
}

// newServer returns the limits of a server as those of the front.
func newServer() *limiter.Server {
	l := limiter.New(limiter.Options{
		MaxConnections: 100, Budget: limiter.NewBudget(16 << 20), Registry: prometheus.NewRegistry(),
		Limits: limiter.Limits{
			MaxBodyBytes: 256 << 10, MaxHeaderBytes: 16 << 10, MaxHeaders: 256, HeaderTimeout: 4 * time.Second, BodyTimeout: 5 * time.Second,
			IdleTimeout: 16 * time.Second, MinBodyRate: 16 << 10, WriteTimeout: 10 * time.Second,
		},
	})
	return l.Server(limiter.ServerOptions{Name: "front", Share: 1})
}
