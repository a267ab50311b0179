// Package loader sends requests to daemons, checks each response, and compares
// the outcomes with the runs that the runners recorded.
package loader

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/router"
	"tarragonhead.example/tarragonhead/standins/runner"
)

// Options are the settings of Run.
type Options struct {
	// Daemons are the traffic addresses of the daemons. IsReady, if not nil,
	// is the load balancer's readiness check of the daemon with that index.
	Daemons []netip.AddrPort
	IsReady func(daemon int) bool
	Service string
	// Requests is the number of requests, without repeats.
	Requests    int
	Connections int
	// Rate is the number of requests a second over all connections. If zero,
	// each connection sends its next request as soon as the last one ends.
	Rate float64
	// Posts is the fraction of requests that are non-idempotent, Keyed the
	// fraction of these that carry an idempotency key. Repeats is the fraction
	// of answered keyed requests that are sent again.
	Posts, Keyed, Repeats float64
	Timeout               time.Duration
	// Lines is the number of lines in the body of each response.
	Lines int
	// Query is appended to the query of each request.
	Query string
	// Tag is the prefix of the request ids; it must differ between loads on the
	// same runners.
	Tag  string
	Seed uint64
}

// The values of Outcome.Result beside those of router.Result.
const (
	// Broken means that the connection failed after the caller began to send
	// the request.
	Broken = "broken"
	// Unsent means that no daemon accepted a connection.
	Unsent = "unsent"
	// OK means that the response has status 200.
	OK = "ok"
)

// Outcome is the result of one request for its caller.
type Outcome struct {
	ID     string
	Key    string
	Method string
	Result string
	Reason string
	// Daemon is the index in Options.Daemons of the daemon that the request was
	// sent to.
	Daemon int
	Start  time.Time
	Took   time.Duration
	// Wrong describes what is wrong with the response; empty if it is correct.
	Wrong string
	// body is the body of a response with the result OK.
	body string
}

// Load collects the outcomes and latencies of the requests that Run sends.
type Load struct {
	options Options
	next    atomic.Int64
	start   time.Time

	mu       sync.Mutex
	outcomes []Outcome
	latency  *hdrhistogram.Histogram
}

// requestsPerConnection is the number of requests after which a caller connects
// to the next daemon.
const requestsPerConnection = 20

// Run sends the requests and returns when all of them have ended.
func Run(o Options) *Load {
	l := &Load{options: o, start: time.Now(), latency: hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)}
	var workers sync.WaitGroup
	for i := range o.Connections {
		workers.Go(func() {
			c := &caller{load: l, rand: rand.New(rand.NewPCG(o.Seed, uint64(i))), daemon: i % len(o.Daemons)}
			defer c.disconnect()
			for {
				n := l.next.Add(1) - 1
				if n >= int64(o.Requests) {
					return
				}
				if o.Rate > 0 {
					time.Sleep(time.Until(l.start.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))))
				}
				c.sendWithRepeats(n)
			}
		})
	}
	workers.Wait()
	return l
}

// Outcomes returns the outcome of each request.
func (l *Load) Outcomes() []Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.outcomes)
}

// Quantile returns the given percentile, between 0 and 100, of the response times.
func (l *Load) Quantile(percent float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.latency.ValueAtQuantile(percent)) * time.Microsecond
}

func (l *Load) add(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
	_ = l.latency.RecordValue(o.Took.Microseconds())
}

// caller sends one request at a time over one connection.
type caller struct {
	load   *Load
	rand   *rand.Rand
	daemon int
	conn   net.Conn
	reader *bufio.Reader
	// requestsOnConnection counts the requests on the connection.
	requestsOnConnection int
}

// sendWithRepeats sends the n-th request and the repeats of a keyed request.
func (c *caller) sendWithRepeats(n int64) {
	o := c.load.options
	id := fmt.Sprintf("%s-%d", o.Tag, n)
	method, key := "GET", ""
	if c.rand.Float64() < o.Posts {
		method = "POST"
		if c.rand.Float64() < o.Keyed {
			key = "key-" + id
		}
	}
	first := c.send(Outcome{ID: id, Key: key, Method: method}, []string{id})
	c.load.add(first)
	if key == "" || (first.Result == OK && c.rand.Float64() >= o.Repeats) {
		return
	}
	// Like real clients, repeat a keyed request that has no answer, through any
	// daemon.
	ids := []string{id}
	for i := range 3 {
		c.disconnect()
		repeatID := fmt.Sprintf("%s-r%d", id, i)
		ids = append(ids, repeatID)
		second := c.send(Outcome{ID: repeatID, Key: key, Method: method}, ids)
		if first.Result == OK && second.Result == OK && first.body != second.body && second.Wrong == "" {
			second.Wrong = "body differs from that of the first response"
		}
		c.load.add(second)
		if second.Result == OK {
			return
		}
	}
}

// send sends one request and returns its outcome. ids are the ids of all requests
// with the same key so far, this one included.
func (c *caller) send(o Outcome, ids []string) Outcome {
	o.Start = time.Now()
	if err := c.connect(); err != nil {
		o.Result, o.Reason = Unsent, err.Error()
		return o
	}
	o.Daemon = c.daemon
	var request fasthttp.Request
	var response fasthttp.Response
	options := c.load.options
	request.SetRequestURI(fmt.Sprintf("/v1/services/%s/report?lines=%d%s", options.Service, options.Lines, options.Query))
	request.SetHost(options.Daemons[c.daemon].String())
	request.Header.SetMethod(o.Method)
	request.Header.Set(router.RequestIDHeader, o.ID)
	request.Header.Set(router.TimeoutHeader, fmt.Sprint(options.Timeout.Milliseconds()))
	if o.Key != "" {
		request.Header.Set(router.IdempotencyKeyHeader, o.Key)
	}
	err := c.exchange(&request, &response)
	o.Took = time.Since(o.Start)
	c.requestsOnConnection++
	if err != nil || response.ConnectionClose() || c.requestsOnConnection >= requestsPerConnection {
		c.disconnect()
	}
	if err != nil {
		o.Result, o.Reason = Broken, err.Error()
		return o
	}
	c.checkResponse(&o, &response, ids)
	return o
}

// responseGrace is how long a caller waits for a response beyond the request's
// timeout.
const responseGrace = 2 * time.Second

// exchange sends the request and reads the response.
func (c *caller) exchange(request *fasthttp.Request, response *fasthttp.Response) error {
	if err := c.conn.SetDeadline(time.Now().Add(c.load.options.Timeout + responseGrace)); err != nil {
		return err
	}
	w := bufio.NewWriter(c.conn)
	if err := request.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return response.Read(c.reader)
}

// checkResponse sets the result, the reason and the fault of a response in o.
func (c *caller) checkResponse(o *Outcome, response *fasthttp.Response, ids []string) {
	if got := string(response.Header.Peek(router.RequestIDHeader)); got != o.ID {
		o.Wrong = fmt.Sprintf("response carries request id %q", got)
	}
	body := string(response.Body())
	if response.StatusCode() == fasthttp.StatusOK {
		o.Result, o.body = OK, body
		if !slices.ContainsFunc(ids, func(id string) bool { return body == runner.Answer(id, c.load.options.Lines) }) {
			o.Wrong = fmt.Sprintf("body of %d bytes is not the expected one: %.60q", len(body), body)
		}
		return
	}
	var r router.Result
	if err := json.Unmarshal(response.Body(), &r); err != nil {
		o.Wrong = "decode result: " + err.Error()
	}
	if r.RequestID != o.ID {
		o.Wrong = fmt.Sprintf("result carries request id %q", r.RequestID)
	}
	o.Result, o.Reason = r.Result, r.Reason
}

// connect opens a connection to the next daemon that is ready and accepts it,
// unless the caller has a connection.
func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	err := errors.New("no daemon is ready")
	for range len(c.load.options.Daemons) {
		c.daemon = (c.daemon + 1) % len(c.load.options.Daemons)
		if ready := c.load.options.IsReady; ready != nil && !ready(c.daemon) {
			continue
		}
		c.conn, err = net.DialTimeout("tcp", c.load.options.Daemons[c.daemon].String(), time.Second)
		if err == nil {
			c.reader, c.requestsOnConnection = bufio.NewReader(c.conn), 0
			return nil
		}
		c.conn = nil
	}
	return err
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
