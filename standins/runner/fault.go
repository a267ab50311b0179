package runner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/router"
)

// Kind names a kind of fault that a runner can inject.
type Kind string

// The kinds of faults. The runner runs the request under all of them except
// Refuse.
const (
	// Late answers after the delay Fault.DelayMS.
	Late Kind = "late"
	// Cross swaps the responses of two concurrent requests.
	Cross Kind = "cross"
	// Truncate closes the connection in the middle of the body.
	Truncate Kind = "truncate"
	// TruncateHeader closes the connection in the middle of the header.
	TruncateHeader Kind = "truncate_header"
	// Close closes the connection instead of answering.
	Close Kind = "close"
	// Unframed sends half of the body without a Content-Length and closes the
	// connection.
	Unframed Kind = "unframed"
	// Extra sends the response twice.
	Extra Kind = "extra"
	// Fail answers with status 500.
	Fail Kind = "fail"
	// Refuse answers that no slot is free, without running the request.
	Refuse Kind = "refuse"
	// Leave answers the request and then calls Runner.Leave.
	Leave Kind = "leave"
)

var kinds = map[Kind]bool{Late: true, Cross: true, Truncate: true, TruncateHeader: true, Close: true, Unframed: true, Extra: true, Fail: true, Refuse: true, Leave: true}

// Fault injects one kind of fault into a share of the requests.
type Fault struct {
	Kind Kind
	// Share is the fraction of the requests that the fault applies to, above 0
	// and at most 1.
	Share float64
	// DelayMS is the delay of Late in milliseconds, at most 60000.
	DelayMS int
}

// Check returns an error if a field of the fault is invalid.
func (f Fault) Check() error {
	if !kinds[f.Kind] {
		return errors.Errorf("kind: got %q", f.Kind)
	}
	if !(f.Share > 0 && f.Share <= 1) {
		return errors.Errorf("share: got %g, want above 0 and at most 1", f.Share)
	}
	if f.DelayMS < 0 || f.DelayMS > 60_000 {
		return errors.Errorf("delay_ms: got %d, want 0 to 60000", f.DelayMS)
	}
	return nil
}

// faultInjector chooses the fault of each request from a list. It is safe for
// concurrent use.
type faultInjector struct {
	mu   sync.Mutex
	list []Fault
	rand *rand.Rand
	// crossWaiter is the channel of the request that waits for a second one to
	// swap responses with, or nil.
	crossWaiter chan string
}

func (fs *faultInjector) set(list []Fault) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.list = list
}

// choose returns the fault of one request: the requested kind if it is known,
// otherwise one drawn from the list in order, so that a fault applies only to
// requests for which no earlier one was drawn. The zero Fault injects nothing.
func (fs *faultInjector) choose(requested string) Fault {
	if kinds[Kind(requested)] {
		return Fault{Kind: Kind(requested), DelayMS: 200}
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if len(fs.list) == 0 {
		return Fault{}
	}
	if fs.rand == nil {
		fs.rand = rand.New(rand.NewPCG(1, 2))
	}
	for _, f := range fs.list {
		if fs.rand.Float64() < f.Share {
			return f
		}
	}
	return Fault{}
}

// crossTimeout bounds how long a request waits for a second one to swap
// responses with.
const crossTimeout = 50 * time.Millisecond

// swapID exchanges id with a concurrent call and returns the id of the other
// call. It returns id itself if no other call arrives within crossTimeout.
func (fs *faultInjector) swapID(id string) string {
	fs.mu.Lock()
	if other := fs.crossWaiter; other != nil {
		fs.crossWaiter = nil
		fs.mu.Unlock()
		other <- id
		return <-other
	}
	mine := make(chan string)
	fs.crossWaiter = mine
	fs.mu.Unlock()
	select {
	case other := <-mine:
		mine <- id
		return other
	case <-time.After(crossTimeout):
	}
	fs.mu.Lock()
	if fs.crossWaiter == mine {
		fs.crossWaiter = nil
		fs.mu.Unlock()
		return id
	}
	fs.mu.Unlock()
	other := <-mine
	mine <- id
	return other
}

// injectFault injects f into the response to a request that has run. It reports
// whether it has written the response; otherwise the caller writes the usual one.
func (r *Runner) injectFault(ctx *fasthttp.RequestCtx, f Fault, id, body string) bool {
	fullResponse := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", router.RequestIDHeader, id, len(body), body)
	}
	switch f.Kind {
	case Late:
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		return false
	case Cross:
		other := r.faults.swapID(id)
		ctx.Response.Header.Set(router.RequestIDHeader, other)
		ctx.SetBodyString(Answer(other, lineCount(ctx)))
		return true
	case Truncate:
		text := fullResponse(id, body)
		writeRaw(ctx, text[:len(text)-max(1, len(body)/2)])
	case TruncateHeader:
		writeRaw(ctx, fullResponse(id, body)[:40])
	case Close:
		writeRaw(ctx, "")
	case Unframed:
		writeRaw(ctx, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", router.RequestIDHeader, id, body[:len(body)/2]))
	case Extra:
		writeRaw(ctx, fullResponse(id, body)+fullResponse(id, body))
	case Fail:
		ctx.Error("injected failure", fasthttp.StatusInternalServerError)
		ctx.Response.Header.Set(router.RequestIDHeader, id)
		return true
	case Leave:
		r.Leave()
		return false
	default:
		return false
	}
	return true
}

// writeRaw writes text to the connection in place of a response and closes the
// connection.
func writeRaw(ctx *fasthttp.RequestCtx, text string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(text)) })
}

// HandleAdmin serves the administrative API of the runner, which has a listener
// of its own: GET /runs returns the recorded runs as JSON lines, POST /faults
// replaces the list of faults with a JSON array of Fault, and POST /leave calls
// Leave.
func (r *Runner) HandleAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/runs":
		var lines bytes.Buffer
		e := json.NewEncoder(&lines)
		for _, run := range r.Runs() {
			if err := e.Encode(run); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
				return
			}
		}
		ctx.SetBody(lines.Bytes())
	case "/faults":
		var list []Fault
		err := json.Unmarshal(ctx.PostBody(), &list)
		for i := 0; err == nil && i < len(list); i++ {
			err = list[i].Check()
		}
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		r.faults.set(list)
	case "/leave":
		r.Leave()
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}
