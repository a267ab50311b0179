package platformer

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// LastingID begins the ids of jobs whose tasks run until they are stopped: the
// stand-in doesn't get the steps of a job.
const LastingID = "1a57"

// runKey is a run on the wire: the task's name and the attempt.
type runKey struct {
	task    string
	attempt int
}

// Worker is a stand-in of a runner.
type Worker struct {
	id     string
	length time.Duration

	mu     sync.Mutex
	born   time.Time
	fence  int64
	runs   map[runKey]time.Time
	barred map[string]int
	ends   [][]any
	// endedAt has when each run ended, and lapsedAt is when a lease last lapsed.
	endedAt  map[runKey]time.Time
	lapsedAt time.Time
	count    int
	lease    time.Time
	starts   map[string]int
	silent   bool
	// observe receives what happens to runs; nil for nobody.
	observe func(Event)
}

// StartsByTask returns how often each task was started.
func (w *Worker) StartsByTask() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := make(map[string]int, len(w.starts))
	for t, n := range w.starts {
		found[t] = n
	}
	return found
}

// SetSilent makes the worker leave calls without an answer.
func (w *Worker) SetSilent(isSilent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = isSilent
}

func closeConnection(c net.Conn) { _ = c.Close() }

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Deadline int64  `json:"deadlineMs"`
	Fence    int64  `json:"fence"`
	Ack      int    `json:"ackCursor"`
	Wait     int64  `json:"waitMs"`
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *Worker) serve(ctx *fasthttp.RequestCtx) {
	var o order
	if !decode(ctx, &o) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	intended := string(ctx.Request.Header.Peek("Tarragonhead-Expect-Instance"))
	switch {
	case w.silent:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConnection)
		return
	case intended != "" && intended != w.id:
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	case o.Fence < w.fence:
		w.refuse(ctx, "fence")
		return
	}
	w.fence = o.Fence
	if o.Deadline > 0 {
		if end := w.born.Add(time.Duration(o.Deadline) * time.Millisecond); end.After(w.lease) {
			w.lease = end
		}
	}
	switch string(ctx.Path()) {
	case "/v1/run-start":
		w.start(ctx, o)
	case "/v1/run-stop":
		w.end(runKey{o.Task, o.Attempt}, "stopped")
		w.barred[o.Task] = max(w.barred[o.Task], o.Attempt)
		write(ctx, fasthttp.StatusOK, map[string]any{"clockMs": w.clock()})
	case "/v1/hold":
		w.hold(ctx, o)
	default:
		write(ctx, fasthttp.StatusOK, map[string]any{"clockMs": w.clock()})
	}
}

func (w *Worker) refuse(ctx *fasthttp.RequestCtx, reason string) {
	write(ctx, fasthttp.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

func (w *Worker) start(ctx *fasthttp.RequestCtx, o order) {
	k := runKey{o.Task, o.Attempt}
	if _, ok := w.runs[k]; !ok {
		if w.barred[o.Task] >= o.Attempt {
			w.refuse(ctx, "old")
			return
		}
		w.runs[k] = time.Now()
		w.starts[o.Task]++
		w.note(k, "start")
	}
	write(ctx, fasthttp.StatusOK, map[string]any{"clockMs": w.clock()})
}

// hold answers at once: a stand-in needs no long poll.
func (w *Worker) hold(ctx *fasthttp.RequestCtx, o order) {
	w.ends = slices.DeleteFunc(w.ends, func(e []any) bool {
		isNoted := e[0].(int) <= o.Ack
		k := runKey{e[1].(string), e[2].(int)}
		switch {
		case isNoted && w.lapsedAt.After(w.endedAt[k]):
			// A lease that lapsed before the end was acknowledged voids it.
			w.note(k, "void")
		case isNoted:
			w.note(k, "noted")
		}
		return isNoted
	})
	running := [][]any{}
	for k, began := range w.runs {
		running = append(running, []any{k.task, k.attempt, "", int(99 * time.Since(began) / w.length), 0})
	}
	ends := w.ends
	if ends == nil {
		ends = [][]any{}
	}
	write(ctx, fasthttp.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": ends})
}

// advance ends the runs that are done or whose lease has lapsed.
func (w *Worker) advance() {
	if now := time.Now(); !w.lease.IsZero() && now.After(w.lease) {
		w.lapsedAt = now
	}
	for k, began := range w.runs {
		switch {
		case time.Since(began) >= w.length && !strings.HasPrefix(k.task, LastingID):
			w.end(k, "done")
		case time.Now().After(w.lease):
			w.end(k, "lapsed")
		}
	}
}

func (w *Worker) end(k runKey, how string) {
	if _, ok := w.runs[k]; !ok {
		return
	}
	delete(w.runs, k)
	w.barred[k.task] = max(w.barred[k.task], k.attempt)
	w.count++
	w.ends = append(w.ends, []any{w.count, k.task, k.attempt, how, ""})
	w.endedAt[k] = time.Now()
	w.note(k, how)
}

func (w *Worker) note(k runKey, kind string) {
	if w.observe != nil {
		w.observe(Event{w.id, k.task, k.attempt, kind})
	}
}

// advanceInterval is how often a worker ends runs that nobody asks about.
const advanceInterval = 20 * time.Millisecond

// Advance ends the runs that are done or whose lease has lapsed, until stop is
// closed; without it they end with the next call.
func (w *Worker) Advance(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(advanceInterval):
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}
}

// entry is what the worker writes of itself in the store.
func (w *Worker) entry(address, service, domain string, n int) ([]byte, error) {
	return json.Marshal(map[string]any{
		"service": service, "addr": address, "zone": domain, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": []string{"a", fmt.Sprintf("r-%d", n/8)},
		"clockMs": w.clock(), "seq": 1, "born": w.born.UnixMilli(),
	})
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.id }
