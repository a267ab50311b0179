package platformer_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// runRecorder records runs of a task that start while another one is at work, and
// starts after an end as done that was acknowledged.
type runRecorder struct {
	mu       sync.Mutex
	running  map[string]map[string]bool
	done     map[string]bool
	noted    map[string]bool
	repeated []string
	starts   int
	events   []platformer.Event
	// timeline describes the events, each with the time since startedAt.
	timeline  []string
	startedAt time.Time
}

func newRunRecorder() *runRecorder {
	return &runRecorder{running: map[string]map[string]bool{}, done: map[string]bool{}, noted: map[string]bool{}, startedAt: time.Now()}
}

// note adds a line to the timeline.
func (r *runRecorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, args...)
}

// add adds a line to the timeline. The caller holds r.mu.
func (r *runRecorder) add(format string, args ...any) {
	r.timeline = append(r.timeline, fmt.Sprintf("%.3f s: ", time.Since(r.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// text returns the timeline.
func (r *runRecorder) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.timeline, "\n")
}

// count returns the number of events so far that match.
func (r *runRecorder) count(matches func(platformer.Event) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.events {
		if matches(e) {
			n++
		}
	}
	return n
}

// runningTasks returns the number of tasks that run.
func (r *runRecorder) runningTasks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, runs := range r.running {
		if len(runs) > 0 {
			n++
		}
	}
	return n
}

func (r *runRecorder) observe(e platformer.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := fmt.Sprintf("%s attempt %d on %s process %d", e.Task, e.Attempt, e.Worker, e.Process)
	r.events = append(r.events, e)
	r.add("%s %s %s", e.Kind, e.Call, run)
	switch e.Kind {
	case "start":
		r.starts++
		if len(r.running[e.Task]) > 0 || r.noted[e.Task] {
			r.repeated = append(r.repeated, run)
		}
		if r.running[e.Task] == nil {
			r.running[e.Task] = map[string]bool{}
		}
		r.running[e.Task][run] = true
	case "noted":
		r.noted[e.Task] = r.noted[e.Task] || r.done[run]
	case "void", "late":
	default:
		delete(r.running[e.Task], run)
		r.done[run] = e.Kind == "done"
	}
}

// summary returns the number of starts and the runs that were started twice.
func (r *runRecorder) summary() (starts int, repeated []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts, r.repeated
}

const (
	// restartTaskDuration spans several readings of the list of workers, which are
	// 0.7 s apart.
	restartTaskDuration = 2500 * time.Millisecond
	restartJob          = `{"spec":"x","phases":[{"count":6,"cpu":500,"memMb":100,"estimateMs":2500},{"count":4,"cpu":500,"memMb":100,"estimateMs":2500,"after":[0]}]}`
)

// TestQuickRestartRunsNoTaskTwice guards against tasks that run twice at once after
// a worker process was killed and another one has started at its address, while the
// list of workers still has the entry of the ended process. Runs were started again
// although the process that ran them was alive (issue 18).
func TestQuickRestartRunsNoTaskTwice(t *testing.T) {
	for name, tt := range map[string]platformer.Restart{
		"new id after 0.3 s":                        {Downtime: 300 * time.Millisecond},
		"new id after 1 s":                          {Downtime: time.Second},
		"new id with silent connections":            {Downtime: time.Second, IsSilent: true},
		"new id, started earlier by its clock":      {Downtime: 300 * time.Millisecond, BornShift: -time.Minute},
		"new id, last heartbeat takes effect late":  {Downtime: time.Second, LateWriteDelay: 4500 * time.Millisecond},
		"new id, left before":                       {DrainTime: 700 * time.Millisecond, Downtime: 300 * time.Millisecond},
		"new id after the entry has expired":        {Downtime: 4 * time.Second},
		"same id, left before":                      {DrainTime: 700 * time.Millisecond, Downtime: 300 * time.Millisecond, KeepsID: true},
		"same id after 0.3 s":                       {Downtime: 300 * time.Millisecond, KeepsID: true},
		"same id after 1 s":                         {Downtime: time.Second, KeepsID: true},
		"same id, started earlier by its clock":     {Downtime: 300 * time.Millisecond, KeepsID: true, BornShift: -time.Minute},
		"same id, last heartbeat takes effect late": {Downtime: 300 * time.Millisecond, KeepsID: true, LateWriteDelay: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRunRecorder()
			s := newTestPlatformWith(t, platformer.Options{TaskDuration: restartTaskDuration, Observe: r.observe})
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			for _, w := range s.Workers {
				go w.Advance(stop)
			}
			a := s.startInstance("edge-1")
			jobs := 0
			submit := func() {
				status, body := s.call(a, "POST", jobID(jobs), restartJob)
				s.Assert(status, quicktest.Equals, fasthttp.StatusOK, quicktest.Commentf("%s", body))
				jobs++
			}
			submit()
			// Each worker restarts twice, once with an id that sorts before that of
			// the ended process and once with one that sorts after it.
			for _, w := range slices.Repeat(s.Workers, 2) {
				s.Assert(w.Restart(tt), quicktest.IsNil)
				submit()
				time.Sleep(500 * time.Millisecond)
			}
			for n := range jobs {
				s.eventually("done", func() bool { return s.isDone(a, jobID(n)) })
			}
			starts, repeated := r.summary()
			s.Assert(repeated, quicktest.HasLen, 0, quicktest.Commentf("%d of %d starts", len(repeated), starts))
		})
	}
}

// TestCallsKeepConnection guards against clients that open a connection for each
// call, which would hide faults of open connections. Calls use one connection until
// the process is told to stop, and the next call still gets its response on it; that
// response asks to close the connection.
func TestCallsKeepConnection(t *testing.T) {
	s := newTestPlatform(t, 200*time.Millisecond)
	a := s.startInstance("edge-1")
	before := a.Dials()
	for range 20 {
		status, _ := s.call(a, "GET", "", "")
		s.Assert(status, quicktest.Equals, fasthttp.StatusOK)
	}
	s.Assert(a.Signal(syscall.SIGTERM), quicktest.IsNil)
	time.Sleep(100 * time.Millisecond)
	status, body := s.call(a, "GET", "", "")
	s.Assert(status, quicktest.Not(quicktest.Equals), 0, quicktest.Commentf("%s", body))
	s.Assert(a.Dials(), quicktest.Equals, before)
}
