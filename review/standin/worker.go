package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the settings that workers keep to.
const (
	maxHold   = 6 * time.Second
	stopTime  = 100 * time.Millisecond
	heartbeat = 1100 * time.Millisecond
)

// run is one run of a task.
type run struct {
	task    string
	attempt int
	began   time.Time
	length  time.Duration // 0: it lasts
	isOver  bool
}

type end struct {
	number  uint64
	task    string
	attempt int
	how     string
}

// machine is a place for workers, of which it has one at a time.
type machine struct {
	name    string
	address string
	zone    string
	rack    string
	kind    string
	cpu     int64
	world   *world

	mu  sync.Mutex
	now *worker // nil while it is down
	// onStart, if set, is called after each start that was carried out.
	onStart func(w *worker, r *run)
}

// worker is one life of a machine's process.
type worker struct {
	machine *machine
	id      string
	born    time.Time
	server  *http.Server

	mu       sync.Mutex
	fence    int64
	deadline time.Duration // on its clock
	runs     map[string]*run
	ends     []end
	nextEnd  uint64
	acked    uint64
	over     map[string]int // the highest attempt stopped or ended
	ended    chan struct{}  // closed at each end
	isDead   bool
	seq      int
}

var lives struct {
	sync.Mutex
	n int
}

// up starts a new life.
func (m *machine) up() error {
	lives.Lock()
	lives.n++
	id := fmt.Sprintf("i-%08x", 0x3a0000+lives.n*7919)
	lives.Unlock()
	listener, err := net.Listen("tcp4", m.address)
	if err != nil {
		return err
	}
	w := &worker{machine: m, id: id, born: time.Now(), runs: map[string]*run{}, over: map[string]int{}, ended: make(chan struct{})}
	w.server = &http.Server{Handler: w}
	m.mu.Lock()
	m.now = w
	m.mu.Unlock()
	m.world.record.printf("worker %s starts as %s at %s", m.name, id, m.address)
	go func() { _ = w.server.Serve(listener) }()
	go w.live()
	return nil
}

// crash ends the life at once; the entry is removed after three intervals of silence.
func (m *machine) crash() {
	m.mu.Lock()
	w := m.now
	m.now = nil
	m.mu.Unlock()
	if w == nil {
		return
	}
	w.mu.Lock()
	w.isDead = true
	running := []string{}
	for name, r := range w.runs {
		r.isOver = true
		running = append(running, fmt.Sprintf("%s/%d", name, r.attempt))
	}
	w.mu.Unlock()
	_ = w.server.Close()
	m.world.record.printf("worker %s (%s) crashes with %v", m.name, w.id, running)
	time.AfterFunc(3*heartbeat, func() { m.world.store.remove("servers/" + w.id) })
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + time.Millisecond }

// live sends heartbeats and ends runs that are done or whose lease has expired.
func (w *worker) live() {
	next := time.Time{}
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if w.isDead {
			w.mu.Unlock()
			return
		}
		for _, r := range w.runs {
			switch {
			case w.clock() > w.deadline:
				w.end(r, "lapsed")
			case r.length > 0 && time.Since(r.began) >= r.length:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
		if time.Now().After(next) {
			next = time.Now().Add(heartbeat)
			w.beat()
		}
	}
}

func (w *worker) beat() {
	w.seq++
	w.machine.world.store.put("servers/"+w.id, map[string]any{
		"service": serviceName, "addr": w.machine.address, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": w.machine.cpu, "memMb": 64000, "gpu": 0}, "labels": []string{w.machine.kind, w.machine.rack},
		"clockMs": w.clock().Milliseconds(), "seq": w.seq, "born": w.born.UnixMilli(), "machine": w.machine.name,
	})
}

// end ends a run; the caller holds the mutex.
func (w *worker) end(r *run, how string) {
	if r.isOver {
		return
	}
	r.isOver = true
	delete(w.runs, r.task)
	w.nextEnd++
	w.ends = append(w.ends, end{w.nextEnd, r.task, r.attempt, how})
	w.over[r.task] = max(w.over[r.task], r.attempt)
	close(w.ended)
	w.ended = make(chan struct{})
	w.machine.world.record.printf("worker %s (%s): %s/%d ends as %s", w.machine.name, w.id, r.task, r.attempt, how)
	w.machine.world.noteEnd(w, r, how)
}

// hold extends the lease; the caller holds the mutex.
func (w *worker) hold(deadlineMs int64) {
	d := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+maxHold)
	w.deadline = max(w.deadline, d)
}

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Fence    int64  `json:"fence"`
	Cursor   uint64 `json:"ackCursor"`
	Wait     int64  `json:"waitMs"`
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "reason": reason})
}

func (w *worker) ok(rw http.ResponseWriter) {
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()})
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Tarragonhead-Instance-Id", w.id)
		w.ok(rw)
		return
	}
	if x := r.Header.Get("Tarragonhead-Expect-Instance"); x != "" && x != w.id {
		answer(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()})
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(rw, http.StatusBadRequest, map[string]any{"clockMs": w.clock().Milliseconds()})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/v1/run-start":
		w.start(rw, o)
	case "/v1/run-stop":
		w.over[o.Task] = max(w.over[o.Task], o.Attempt)
		if x := w.runs[o.Task]; x != nil && x.attempt <= o.Attempt {
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.end(x, "stopped")
			})
		}
		w.ok(rw)
	case "/v1/pace":
		w.ok(rw)
	case "/v1/hold":
		w.list(rw, r, o)
	default:
		answer(rw, http.StatusNotFound, map[string]any{})
	}
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	if x := w.runs[o.Task]; x != nil && x.attempt == o.Attempt {
		w.ok(rw)
		return
	}
	if o.Attempt <= w.over[o.Task] {
		w.hold(o.Deadline)
		w.refuse(rw, "old")
		return
	}
	if time.Duration(o.Deadline)*time.Millisecond <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.hold(o.Deadline)
	ms, _ := strconv.Atoi(strings.TrimPrefix(strings.Fields(o.Spec + " ms=0")[0], "ms="))
	x := &run{task: o.Task, attempt: o.Attempt, began: time.Now(), length: time.Duration(ms) * time.Millisecond}
	w.runs[o.Task] = x
	w.machine.world.record.printf("worker %s (%s): %s/%d starts, fence %d", w.machine.name, w.id, o.Task, o.Attempt, o.Fence)
	w.machine.world.noteStart(w, x)
	w.ok(rw)
	if f := w.machine.onStart; f != nil {
		go f(w, x)
	}
}

func (w *worker) list(rw http.ResponseWriter, r *http.Request, o order) {
	if o.Deadline > 0 {
		w.hold(o.Deadline)
	}
	if o.Cursor > w.acked {
		w.acked = o.Cursor
		rest := w.ends[:0]
		for _, e := range w.ends {
			if e.number > o.Cursor {
				rest = append(rest, e)
			}
		}
		w.ends = rest
	}
	deadline := time.After(time.Duration(o.Wait) * time.Millisecond)
	for isWaiting := o.Wait > 0 && len(w.ends) == 0; isWaiting; {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
			isWaiting = false
		case <-deadline:
			isWaiting = false
		case <-r.Context().Done():
			isWaiting = false
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.runs {
		percent := 100
		if x.length > 0 {
			percent = int(100 * time.Since(x.began) / x.length)
		}
		running = append(running, []any{x.task, x.attempt, "", min(percent, 100), 1})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished})
}
