// Package loader sends requests to daemons, checks each response, and counts
// from the runners' records what became of the requests.
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

// Options are the settings of a load.
type Options struct {
	// Daemons are the traffic addresses; IsReady, if set, stands for the load
	// balancer's readiness check of the daemon with that number.
	Daemons []netip.AddrPort
	IsReady func(daemon int) bool
	Service string
	// Requests is the number of requests, repeats not included.
	Requests    int
	Connections int
	// Rate is the number of requests a second over all connections; zero sends
	// each request as soon as the last one is answered.
	Rate float64
	// Posts is the share of non-idempotent requests, Keyed the share of those
	// that carry a key. Repeats is the share of answered keyed requests that
	// are sent again.
	Posts, Keyed, Repeats float64
	Timeout               time.Duration
	Lines                 int
	// Query is appended to each request's query.
	Query string
	// Tag makes the ids differ from those of other loads.
	Tag  string
	Seed uint64
}

// Broken is the result of a request whose connection broke after a byte was
// sent; unsent ones went to no daemon.
const (
	Broken = "broken"
	Unsent = "unsent"
	OK     = "ok"
)

// Outcome is what became of one request.
type Outcome struct {
	ID     string
	Key    string
	Method string
	Result string
	Reason string
	// Daemon is the number of the daemon that got the request.
	Daemon int
	Start  time.Time
	Took   time.Duration
	// Wrong says what is wrong with the response, empty for nothing.
	Wrong string
	// body is the complete response of the target.
	body string
}

// Load is a load that runs or has run.
type Load struct {
	options Options
	next    atomic.Int64
	begun   time.Time

	mu       sync.Mutex
	outcomes []Outcome
	latency  *hdrhistogram.Histogram
}

// requestsPerConnection is how long a connection is kept before the next
// daemon gets a turn.
const requestsPerConnection = 20

// Run sends the load and returns it when it is complete.
func Run(o Options) *Load {
	l := &Load{options: o, begun: time.Now(), latency: hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)}
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
					time.Sleep(time.Until(l.begun.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))))
				}
				c.request(n)
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

// Quantile returns a quantile of the time to a response, in percent.
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

// caller sends one request at a time.
type caller struct {
	load   *Load
	rand   *rand.Rand
	daemon int
	conn   net.Conn
	reader *bufio.Reader
	// used counts the requests on the connection.
	used int
}

func (c *caller) request(n int64) {
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
	// Callers repeat a keyed request that has no answer, through any daemon.
	ids := []string{id}
	for i := range 3 {
		c.disconnect()
		again := fmt.Sprintf("%s-r%d", id, i)
		ids = append(ids, again)
		second := c.send(Outcome{ID: again, Key: key, Method: method}, ids)
		if first.Result == OK && second.Result == OK && first.body != second.body && second.Wrong == "" {
			second.Wrong = "repeat has another body than the first response"
		}
		c.load.add(second)
		if second.Result == OK {
			return
		}
	}
}

// send sends one request and checks the response. ids are those of all
// requests with its key.
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
	c.used++
	if err != nil || response.ConnectionClose() || c.used >= requestsPerConnection {
		c.disconnect()
	}
	if err != nil {
		o.Result, o.Reason = Broken, err.Error()
		return o
	}
	c.judge(&o, &response, ids)
	return o
}

// slack is how much later than its timeout a response may come.
const slack = 2 * time.Second

func (c *caller) exchange(request *fasthttp.Request, response *fasthttp.Response) error {
	if err := c.conn.SetDeadline(time.Now().Add(c.load.options.Timeout + slack)); err != nil {
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

// judge sets the result of a response and what is wrong with it.
func (c *caller) judge(o *Outcome, response *fasthttp.Response, ids []string) {
	if got := string(response.Header.Peek(router.RequestIDHeader)); got != o.ID {
		o.Wrong = fmt.Sprintf("response to request %q", got)
	}
	body := string(response.Body())
	if response.StatusCode() == fasthttp.StatusOK {
		o.Result, o.body = OK, body
		if !slices.ContainsFunc(ids, func(id string) bool { return body == runner.Answer(id, c.load.options.Lines) }) {
			o.Wrong = fmt.Sprintf("body of %d bytes is not the answer: %.60q", len(body), body)
		}
		return
	}
	var r router.Result
	if err := json.Unmarshal(response.Body(), &r); err != nil {
		o.Wrong = "result: " + err.Error()
	}
	if r.RequestID != o.ID {
		o.Wrong = fmt.Sprintf("result of request %q", r.RequestID)
	}
	o.Result, o.Reason = r.Result, r.Reason
}

// connect keeps the connection, or makes one to the next daemon that is ready
// and accepts it.
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
			c.reader, c.used = bufio.NewReader(c.conn), 0
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
