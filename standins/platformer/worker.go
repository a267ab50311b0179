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

// LongRunningPrefix is the prefix of the ids of jobs with long-running tasks.
// Workers recognise these tasks by the prefix, since a start request does not say
// whether the task is long-running.
const LongRunningPrefix = "1a57"

// runKey identifies a run, as on the wire, by the name of its task and its attempt.
type runKey struct {
	task    string
	attempt int
}

// Worker is a stand-in for a worker, which the platform calls a runner.
type Worker struct {
	id           string
	taskDuration time.Duration

	mu        sync.Mutex
	startedAt time.Time
	// fence is the highest fencing token received. Calls with a lower one are refused.
	fence int64
	// runs holds the start time of each current run.
	runs map[runKey]time.Time
	// refusedUpTo holds, by task, the highest attempt that ended or was stopped.
	// Starts of attempts up to that one are refused.
	refusedUpTo map[string]int
	// finished holds the ends that are not acknowledged yet, as on the wire: a number
	// from endCount, the task, the attempt, the result and a reason.
	finished [][]any
	// endedAt holds the time at which each run ended, and leaseExpiredAt the last
	// time at which the lease was found expired.
	endedAt        map[runKey]time.Time
	leaseExpiredAt time.Time
	endCount       int
	// leaseEnd is when the lease on all runs expires.
	leaseEnd    time.Time
	startCounts map[string]int
	isSilent    bool
	// observe, if not nil, receives the events of runs.
	observe func(Event)
}

// StartsByTask returns the number of starts of each task.
func (w *Worker) StartsByTask() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int, len(w.startCounts))
	for t, n := range w.startCounts {
		counts[t] = n
	}
	return counts
}

// SetSilent sets whether the worker closes connections without a response.
func (w *Worker) SetSilent(isSilent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isSilent = isSilent
}

func closeConnection(c net.Conn) { _ = c.Close() }

// order is the JSON body of a call to a worker. Each call uses some of the fields.
type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Deadline int64  `json:"deadlineMs"`
	Fence    int64  `json:"fence"`
	Ack      int    `json:"ackCursor"`
	Wait     int64  `json:"waitMs"`
}

// clockMs returns the time since the start of the worker in milliseconds.
func (w *Worker) clockMs() int64 { return time.Since(w.startedAt).Milliseconds() }

func (w *Worker) serve(ctx *fasthttp.RequestCtx) {
	var o order
	if !decode(ctx, &o) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	expectedInstance := string(ctx.Request.Header.Peek("Tarragonhead-Expect-Instance"))
	switch {
	case w.isSilent:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConnection)
		return
	case expectedInstance != "" && expectedInstance != w.id:
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	case o.Fence < w.fence:
		w.refuse(ctx, "fence")
		return
	}
	w.fence = o.Fence
	if o.Deadline > 0 {
		if deadline := w.startedAt.Add(time.Duration(o.Deadline) * time.Millisecond); deadline.After(w.leaseEnd) {
			w.leaseEnd = deadline
		}
	}
	switch string(ctx.Path()) {
	case "/v1/run-start":
		w.startRun(ctx, o)
	case "/v1/run-stop":
		w.endRun(runKey{o.Task, o.Attempt}, "stopped")
		w.refusedUpTo[o.Task] = max(w.refusedUpTo[o.Task], o.Attempt)
		writeJSON(ctx, fasthttp.StatusOK, map[string]any{"clockMs": w.clockMs()})
	case "/v1/hold":
		w.servePoll(ctx, o)
	default:
		writeJSON(ctx, fasthttp.StatusOK, map[string]any{"clockMs": w.clockMs()})
	}
}

func (w *Worker) refuse(ctx *fasthttp.RequestCtx, reason string) {
	writeJSON(ctx, fasthttp.StatusConflict, map[string]any{"clockMs": w.clockMs(), "reason": reason})
}

func (w *Worker) startRun(ctx *fasthttp.RequestCtx, o order) {
	k := runKey{o.Task, o.Attempt}
	if _, ok := w.runs[k]; !ok {
		if w.refusedUpTo[o.Task] >= o.Attempt {
			w.refuse(ctx, "old")
			return
		}
		w.runs[k] = time.Now()
		w.startCounts[o.Task]++
		w.emit(k, "start")
	}
	writeJSON(ctx, fasthttp.StatusOK, map[string]any{"clockMs": w.clockMs()})
}

// servePoll serves /v1/hold. It responds immediately: a stand-in needs no long poll.
func (w *Worker) servePoll(ctx *fasthttp.RequestCtx, o order) {
	w.finished = slices.DeleteFunc(w.finished, func(e []any) bool {
		isAcknowledged := e[0].(int) <= o.Ack
		k := runKey{e[1].(string), e[2].(int)}
		switch {
		case isAcknowledged && w.leaseExpiredAt.After(w.endedAt[k]):
			// The lease expired before the end was acknowledged, so the owner
			// may have started the task again and the end no longer counts.
			w.emit(k, "void")
		case isAcknowledged:
			w.emit(k, "noted")
		}
		return isAcknowledged
	})
	running := [][]any{}
	for k, began := range w.runs {
		running = append(running, []any{k.task, k.attempt, "", int(99 * time.Since(began) / w.taskDuration), 0})
	}
	finished := w.finished
	if finished == nil {
		finished = [][]any{}
	}
	writeJSON(ctx, fasthttp.StatusOK, map[string]any{"clockMs": w.clockMs(), "born": w.startedAt.UnixMilli(), "running": running, "finished": finished})
}

// advance ends the runs that are done or whose lease has expired. The caller holds
// w.mu.
func (w *Worker) advance() {
	if now := time.Now(); !w.leaseEnd.IsZero() && now.After(w.leaseEnd) {
		w.leaseExpiredAt = now
	}
	for k, began := range w.runs {
		switch {
		case time.Since(began) >= w.taskDuration && !strings.HasPrefix(k.task, LongRunningPrefix):
			w.endRun(k, "done")
		case time.Now().After(w.leaseEnd):
			w.endRun(k, "lapsed")
		}
	}
}

// endRun ends a run, unless it has ended already. The caller holds w.mu.
func (w *Worker) endRun(k runKey, result string) {
	if _, ok := w.runs[k]; !ok {
		return
	}
	delete(w.runs, k)
	w.refusedUpTo[k.task] = max(w.refusedUpTo[k.task], k.attempt)
	w.endCount++
	w.finished = append(w.finished, []any{w.endCount, k.task, k.attempt, result, ""})
	w.endedAt[k] = time.Now()
	w.emit(k, result)
}

func (w *Worker) emit(k runKey, kind string) {
	if w.observe != nil {
		w.observe(Event{w.id, k.task, k.attempt, kind})
	}
}

// advanceInterval is the interval at which Advance ends runs.
const advanceInterval = 20 * time.Millisecond

// Advance regularly ends the runs that are done or whose lease has expired, until
// stop is closed. Without Advance, such runs end only at the next call to the worker.
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

// encodeEntry returns the entry of the worker in the store as JSON.
func (w *Worker) encodeEntry(address, service, domain string, n int) ([]byte, error) {
	return json.Marshal(map[string]any{
		"service": service, "addr": address, "zone": domain, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": []string{"a", fmt.Sprintf("r-%d", n/8)},
		"clockMs": w.clockMs(), "seq": 1, "born": w.startedAt.UnixMilli(),
	})
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.id }
