package platformer

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// defaultMaxLease is the longest lease that a worker grants, as bounds.maxHoldMs in
// the settings of the instances.
const defaultMaxLease = 3 * time.Second

// runKey identifies a run, as on the wire, by the name of its task and its attempt.
type runKey struct {
	task    string
	attempt int
}

// process is one process of a worker. Its state, which is guarded by the worker's
// mutex, is lost when the process ends.
type process struct {
	worker *Worker
	id     string
	// number counts the processes of the worker from 1.
	number    int
	startedAt time.Time
	// born is the start time that the process reports, in Unix milliseconds.
	// Machines' clocks differ, so it may be earlier than that of a process that
	// ended before.
	born int64
	// seq numbers the heartbeats.
	seq      int
	listener *listener
	// isDraining says that heartbeats report the process as draining.
	isDraining bool
	// ended is closed when the process has ended, and isSilent says that connections
	// then stay open without a response until the next process starts. If released is
	// not nil, the calls on them reach the next process: those before its start when
	// released is closed, later ones immediately.
	ended    chan struct{}
	isSilent bool
	released <-chan struct{}

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
	leaseEnd time.Time
}

// order is the JSON body of a call to a worker. Each call uses some of the fields.
type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Deadline int64  `json:"deadlineMs"`
	Fence    int64  `json:"fence"`
	Ack      int    `json:"ackCursor"`
	Wait     int64  `json:"waitMs"`
	// isFromEarlier says that the call was sent to an earlier process.
	isFromEarlier bool
}

// clockMs returns the time since the start of the process in milliseconds.
func (p *process) clockMs() int64 { return time.Since(p.startedAt).Milliseconds() }

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) serve(ctx *fasthttp.RequestCtx) {
	var o order
	if !decode(ctx, &o) {
		return
	}
	if delay := p.worker.options.OrderDelay; delay != nil {
		if d := delay(p.worker.name); d != 0 {
			if d != Lost {
				p.executeLater(ctx, o, d)
			}
			dropResponseAfter(ctx, p.worker.options.OrderSilence)
			return
		}
	}
	if p.isHolding() {
		select {
		case <-p.released:
			o.isFromEarlier = true
		case <-p.worker.stopped:
			return
		}
	}
	p.worker.mu.Lock()
	defer p.worker.mu.Unlock()
	target := p
	if p.released != nil {
		target = p.worker.process
	}
	target.execute(ctx, o)
}

// isHolding reports whether calls to the process are held: it has ended, and the next
// one doesn't listen yet.
func (p *process) isHolding() bool {
	p.worker.mu.Lock()
	defer p.worker.mu.Unlock()
	return p.released != nil && p.worker.process == p
}

// executeLater executes a call after the delay, on the process that has the address
// by then.
func (p *process) executeLater(ctx *fasthttp.RequestCtx, o order, delay time.Duration) {
	var late fasthttp.RequestCtx
	ctx.Request.CopyTo(&late.Request)
	time.AfterFunc(delay, func() {
		w := p.worker
		w.mu.Lock()
		defer w.mu.Unlock()
		if current := w.process; !current.hasEnded() {
			o.isFromEarlier = current != p
			current.execute(&late, o)
		}
	})
}

// execute executes a call. The caller holds the worker's mutex.
func (p *process) execute(ctx *fasthttp.RequestCtx, o order) {
	if p.hasEnded() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			if p.isSilent {
				<-p.worker.stopped
			}
			_ = c.Close()
		})
		return
	}
	p.advance()
	if o.isFromEarlier {
		p.emitEvent(Event{Task: o.Task, Attempt: o.Attempt, Kind: "late", Call: string(ctx.Path()), IsFromEarlier: true})
	}
	expectedInstance := string(ctx.Request.Header.Peek("Tarragonhead-Expect-Instance"))
	switch {
	case expectedInstance != "" && expectedInstance != p.id:
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	case o.Fence < p.fence:
		p.refuse(ctx, "fence")
		return
	}
	p.fence = o.Fence
	if o.Deadline > 0 {
		deadline := p.startedAt.Add(time.Duration(o.Deadline) * time.Millisecond)
		if longest := time.Now().Add(p.worker.options.MaxLease); deadline.After(longest) {
			deadline = longest
		}
		if deadline.After(p.leaseEnd) {
			p.leaseEnd = deadline
		}
	}
	switch string(ctx.Path()) {
	case "/v1/run-start":
		p.startRun(ctx, o)
	case "/v1/run-stop":
		p.endRun(runKey{o.Task, o.Attempt}, "stopped")
		p.refusedUpTo[o.Task] = max(p.refusedUpTo[o.Task], o.Attempt)
		writeJSON(ctx, fasthttp.StatusOK, map[string]any{"clockMs": p.clockMs()})
	case "/v1/hold":
		p.servePoll(ctx, o)
	default:
		writeJSON(ctx, fasthttp.StatusOK, map[string]any{"clockMs": p.clockMs()})
	}
}

func (p *process) refuse(ctx *fasthttp.RequestCtx, reason string) {
	writeJSON(ctx, fasthttp.StatusConflict, map[string]any{"clockMs": p.clockMs(), "reason": reason})
}

func (p *process) startRun(ctx *fasthttp.RequestCtx, o order) {
	k := runKey{o.Task, o.Attempt}
	if _, ok := p.runs[k]; !ok {
		if p.refusedUpTo[o.Task] >= o.Attempt {
			p.refuse(ctx, "old")
			return
		}
		p.runs[k] = time.Now()
		p.worker.startCounts[o.Task]++
		p.emitEvent(Event{Task: k.task, Attempt: k.attempt, Kind: "start", IsFromEarlier: o.isFromEarlier})
	}
	writeJSON(ctx, fasthttp.StatusOK, map[string]any{"clockMs": p.clockMs()})
}

// servePoll serves /v1/hold. It responds immediately: a stand-in needs no long poll.
func (p *process) servePoll(ctx *fasthttp.RequestCtx, o order) {
	p.finished = slices.DeleteFunc(p.finished, func(e []any) bool {
		isAcknowledged := e[0].(int) <= o.Ack
		k := runKey{e[1].(string), e[2].(int)}
		switch {
		case isAcknowledged && p.leaseExpiredAt.After(p.endedAt[k]):
			// The lease expired before the end was acknowledged, so the owner
			// may have started the task again and the end no longer counts.
			p.emit(k, "void")
		case isAcknowledged:
			p.emitEvent(Event{Task: k.task, Attempt: k.attempt, Kind: "noted", IsFromEarlier: o.isFromEarlier})
		}
		return isAcknowledged
	})
	running := [][]any{}
	for k, began := range p.runs {
		running = append(running, []any{k.task, k.attempt, "", int(99 * time.Since(began) / p.worker.options.TaskDuration), 0})
	}
	finished := p.finished
	if finished == nil {
		finished = [][]any{}
	}
	writeJSON(ctx, fasthttp.StatusOK, map[string]any{"clockMs": p.clockMs(), "born": p.born, "running": running, "finished": finished})
}

// advance ends the runs that are complete or whose lease has expired. The caller
// holds the worker's mutex.
func (p *process) advance() {
	if now := time.Now(); !p.leaseEnd.IsZero() && now.After(p.leaseEnd) {
		p.leaseExpiredAt = now
	}
	for k, began := range p.runs {
		isComplete := time.Since(began) >= p.worker.options.TaskDuration && !strings.HasPrefix(k.task, LongRunningPrefix)
		switch {
		case isComplete && p.worker.options.Fails != nil && p.worker.options.Fails(k.task, k.attempt):
			p.endRun(k, "failed")
		case isComplete:
			p.endRun(k, "done")
		case time.Now().After(p.leaseEnd):
			p.endRun(k, "lapsed")
		}
	}
}

// endRun ends a run, unless it has ended already. The caller holds the worker's
// mutex.
func (p *process) endRun(k runKey, result string) {
	if _, ok := p.runs[k]; !ok {
		return
	}
	delete(p.runs, k)
	p.refusedUpTo[k.task] = max(p.refusedUpTo[k.task], k.attempt)
	p.endCount++
	p.finished = append(p.finished, []any{p.endCount, k.task, k.attempt, result, ""})
	p.endedAt[k] = time.Now()
	p.emit(k, result)
}

// kill ends the process. Its runs end with it, and the ends that are not
// acknowledged yet never are. The caller holds the worker's mutex.
func (p *process) kill(isSilent bool) {
	if p.hasEnded() {
		return
	}
	p.advance()
	p.isSilent = isSilent
	close(p.ended)
	for k := range p.runs {
		p.emit(k, "killed")
	}
	for _, e := range p.finished {
		p.emit(runKey{e[1].(string), e[2].(int)}, "void")
	}
	if !isSilent {
		_ = p.listener.Close()
		p.listener.closeConnections()
	}
}

func (p *process) emit(k runKey, kind string) {
	p.emitEvent(Event{Task: k.task, Attempt: k.attempt, Kind: kind})
}

func (p *process) emitEvent(e Event) {
	if observe := p.worker.options.Observe; observe != nil {
		e.Worker, e.Process = p.worker.name, p.number
		observe(e)
	}
}
