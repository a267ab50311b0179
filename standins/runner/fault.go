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

// Kind is a way to misbehave.
type Kind string

// The kinds of faults. All but Refuse and Leave run the request.
const (
	// Late answers after Fault.Delay.
	Late Kind = "late"
	// Cross answers two requests with each other's response.
	Cross Kind = "cross"
	// Truncate closes the connection in the middle of the body.
	Truncate Kind = "truncate"
	// TruncateHeader closes the connection in the middle of the header.
	TruncateHeader Kind = "truncate_header"
	// Close closes the connection instead of answering.
	Close Kind = "close"
	// Unframed sends a body without a length and cuts it.
	Unframed Kind = "unframed"
	// Extra sends a second response that nobody asked for.
	Extra Kind = "extra"
	// Fail answers with status 500.
	Fail Kind = "fail"
	// Refuse answers that no slot is free.
	Refuse Kind = "refuse"
	// Leave makes the runner leave.
	Leave Kind = "leave"
)

var kinds = map[Kind]bool{Late: true, Cross: true, Truncate: true, TruncateHeader: true, Close: true, Unframed: true, Extra: true, Fail: true, Refuse: true, Leave: true}

// Fault is a kind of misbehaviour for a share of the requests.
type Fault struct {
	Kind Kind
	// Share is the part of the requests that it applies to, above 0 and at
	// most 1.
	Share float64
	// DelayMS is the delay of Late.
	DelayMS int
}

// Check reports what is wrong with the fault.
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

// faults has the faults in force.
type faults struct {
	mu   sync.Mutex
	list []Fault
	rand *rand.Rand
	// waiting is the request that waits for another to be crossed with.
	waiting chan string
}

func (fs *faults) set(list []Fault) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.list = list
}

// next returns the fault of one request: the one that it asks for, or one of
// those in force.
func (fs *faults) next(asked string) Fault {
	if kinds[Kind(asked)] {
		return Fault{Kind: Kind(asked), DelayMS: 200}
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

// crossWait bounds how long a request waits for one to be crossed with.
const crossWait = 50 * time.Millisecond

// partner returns the id of another request that is answered at the same time,
// and gives it this one's.
func (fs *faults) partner(id string) string {
	fs.mu.Lock()
	if other := fs.waiting; other != nil {
		fs.waiting = nil
		fs.mu.Unlock()
		other <- id
		return <-other
	}
	mine := make(chan string)
	fs.waiting = mine
	fs.mu.Unlock()
	select {
	case other := <-mine:
		mine <- id
		return other
	case <-time.After(crossWait):
	}
	fs.mu.Lock()
	if fs.waiting == mine {
		fs.waiting = nil
		fs.mu.Unlock()
		return id
	}
	fs.mu.Unlock()
	other := <-mine
	mine <- id
	return other
}

// apply answers the request with a fault. It reports false when the usual
// answer follows.
func (r *Runner) apply(ctx *fasthttp.RequestCtx, f Fault, id, body string) bool {
	whole := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", router.RequestIDHeader, id, len(body), body)
	}
	switch f.Kind {
	case Late:
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		return false
	case Cross:
		other := r.faults.partner(id)
		ctx.Response.Header.Set(router.RequestIDHeader, other)
		ctx.SetBodyString(Answer(other, size(ctx)))
		return true
	case Truncate:
		text := whole(id, body)
		raw(ctx, text[:len(text)-max(1, len(body)/2)])
	case TruncateHeader:
		raw(ctx, whole(id, body)[:40])
	case Close:
		raw(ctx, "")
	case Unframed:
		raw(ctx, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", router.RequestIDHeader, id, body[:len(body)/2]))
	case Extra:
		raw(ctx, whole(id, body)+whole(id, body))
	case Fail:
		ctx.Error("told to fail", fasthttp.StatusInternalServerError)
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

// raw writes text instead of a response and closes the connection.
func raw(ctx *fasthttp.RequestCtx, text string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(text)) })
}

// HandleAdmin serves the runner's administration on a listener of its own:
// GET /runs returns the record as JSON lines, POST /faults sets the list of
// faults, POST /leave makes the runner leave.
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
