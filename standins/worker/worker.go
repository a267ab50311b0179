// Package worker is a stand-in for a worker of the platform: it runs tasks
// under leases and reports their usage with a lag.
package worker

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// Options are a worker's settings.
type Options struct {
	ID       string
	Domain   string
	Rack     string
	Capacity declarer.Resources
	// StartRunner starts the runner process of a service task and returns its
	// address and a function that stops it.
	StartRunner func(task string) (netip.AddrPort, func(), error)
	// TimeScale multiplies the declared run time of a task.
	TimeScale float64
}

// Worker is safe for concurrent use.
type Worker struct {
	options Options

	mu sync.Mutex
	// epoch is the highest seen; commands of a lower one are refused.
	epoch uint64
	// attempts has the highest attempt number seen of each task.
	attempts map[string]uint64
	running  map[string]*running
	ended    map[dispatcher.AttemptName]dispatcher.EndedStatus
	// least is the smallest difference between this clock and a sender's.
	least      time.Duration
	leastKnown bool
}

type running struct {
	request dispatcher.StartRequest
	begun   time.Time
	ends    time.Time
	addr    netip.AddrPort
	stop    func()
}

// New returns a worker that runs nothing.
func New(o Options) *Worker {
	w := &Worker{options: o, attempts: map[string]uint64{}, running: map[string]*running{}, ended: map[dispatcher.AttemptName]dispatcher.EndedStatus{}}
	return w
}

// RefusedError is the reason why a command was not carried out.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return e.Reason }

func refuse(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }

// admit checks a command's epoch. The caller holds w.mu.
func (w *Worker) admit(epoch uint64) error {
	if epoch < w.epoch {
		return refuse("epoch %d is below %d", epoch, w.epoch)
	}
	w.epoch = epoch
	return nil
}

// delay returns how long a message was under way beyond the fastest one.
func (w *Worker) delay(sent time.Time) time.Duration {
	difference := time.Since(sent)
	if !w.leastKnown || difference < w.least {
		w.least, w.leastKnown = difference, true
	}
	return difference - w.least
}

// Renew extends the leases and returns the status.
func (w *Worker) Renew(r dispatcher.RenewRequest) (dispatcher.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(r.Epoch); err != nil {
		return dispatcher.Status{}, err
	}
	w.delay(r.SentAt)
	for _, name := range r.Acknowledged {
		delete(w.ended, name)
	}
	now := time.Now()
	w.advance(now)
	s := dispatcher.Status{Worker: w.options.ID, MeasuredAt: now}
	for task, a := range w.running {
		a.ends = now.Add(r.Lease)
		s.Running = append(s.Running, dispatcher.RunningStatus{Task: task, Attempt: a.request.Attempt, Usage: a.request.Reserved, Addr: a.addr})
	}
	for _, e := range w.ended {
		s.Ended = append(s.Ended, e)
	}
	return s, nil
}

// Start starts an attempt.
func (w *Worker) Start(r dispatcher.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(r.Epoch); err != nil {
		return err
	}
	if d := w.delay(r.SentAt); d > r.ValidFor {
		return refuse("start was %s under way, over its validity of %s", d, r.ValidFor)
	}
	if r.Attempt <= w.attempts[r.Task] {
		return refuse("attempt %d of %s is not above %d", r.Attempt, r.Task, w.attempts[r.Task])
	}
	if w.running[r.Task] != nil {
		return refuse("%s is running", r.Task)
	}
	used := r.Reserved
	for _, a := range w.running {
		used = used.Add(a.request.Reserved)
	}
	if !used.FitsIn(w.options.Capacity) {
		return refuse("%v is over the capacity %v", used, w.options.Capacity)
	}
	now := time.Now()
	a := &running{request: r, begun: now, ends: now.Add(r.Lease), stop: func() {}}
	if r.Class == declarer.ClassService && w.options.StartRunner != nil {
		addr, stop, err := w.options.StartRunner(r.Task)
		if err != nil {
			return refuse("runner not started: %v", err)
		}
		a.addr, a.stop = addr, stop
	}
	w.attempts[r.Task] = r.Attempt
	w.running[r.Task] = a
	return nil
}

// Stop stops an attempt.
func (w *Worker) Stop(r dispatcher.AttemptRequest) error {
	return w.end(r, scheduler.OutcomeStopped, "")
}

// Checkpoint stops an attempt and keeps its progress.
func (w *Worker) Checkpoint(r dispatcher.AttemptRequest) error {
	return w.end(r, scheduler.OutcomeCheckpointed, fmt.Sprintf("%s/%d", r.Task, r.Attempt))
}

func (w *Worker) end(r dispatcher.AttemptRequest, outcome scheduler.Outcome, checkpoint string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(r.Epoch); err != nil {
		return err
	}
	a := w.running[r.Task]
	if a == nil || a.request.Attempt != r.Attempt {
		return refuse("attempt %d of %s is not running", r.Attempt, r.Task)
	}
	w.finish(r.Task, a, outcome, checkpoint, "")
	return nil
}

func (w *Worker) finish(task string, a *running, outcome scheduler.Outcome, checkpoint, reason string) {
	a.stop()
	delete(w.running, task)
	name := dispatcher.AttemptName{Task: task, Attempt: a.request.Attempt}
	w.ended[name] = dispatcher.EndedStatus{Task: task, Attempt: a.request.Attempt, Outcome: string(outcome), Checkpoint: checkpoint, Reason: reason}
}

// advance ends what is complete and what has lost its lease. The caller holds
// w.mu.
func (w *Worker) advance(now time.Time) {
	for task, a := range w.running {
		whole := time.Duration(float64(a.request.RunTime) * w.options.TimeScale)
		switch {
		case now.After(a.ends):
			w.finish(task, a, scheduler.OutcomeExpired, "", "lease ended")
		case a.request.Class == declarer.ClassBatch && now.Sub(a.begun) >= whole:
			w.finish(task, a, scheduler.OutcomeCompleted, "", "")
		}
	}
}

// Advance lets time pass without a message.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
}
