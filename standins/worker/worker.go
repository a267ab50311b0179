// Package worker is a stand-in for a worker of the platform: it runs tasks
// under leases and reports their usage with a lag.
package worker

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	// FailingKind is the prefix of kinds of which every attempt fails.
	FailingKind = "always-fails"
	// UnfitKind is the prefix of kinds that the worker never has room for.
	UnfitKind = "never-fits"
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
	// UsageLag is how old the reported usage is.
	UsageLag time.Duration
	// UsageShare is the share of its reservation that a task uses; zero is all.
	UsageShare float64
	// Failing makes every attempt fail.
	Failing bool
	// Record gets each attempt when it starts and when it ends; nil for none.
	Record func(Attempt)
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
	samples    []sample
	record     []Attempt
}

type running struct {
	request dispatcher.StartRequest
	begun   time.Time
	// ends is when the lease ends; it only grows.
	ends time.Time
	addr netip.AddrPort
	stop func()
	// done is the work done up to advanced, in run time; share is the speed.
	done     time.Duration
	from     time.Duration
	advanced time.Time
	share    float64
}

// New returns a worker that runs nothing.
func New(o Options) *Worker {
	if o.UsageShare == 0 {
		o.UsageShare = 1
	}
	return &Worker{options: o, attempts: map[string]uint64{}, running: map[string]*running{}, ended: map[dispatcher.AttemptName]dispatcher.EndedStatus{}}
}

// RefusedError is the reason why a command was not carried out.
type RefusedError struct {
	Reason string
	// Epoch is the worker's, if the command's was lower.
	Epoch uint64
}

func (e *RefusedError) Error() string { return e.Reason }

func refuse(format string, args ...any) error {
	return &RefusedError{Reason: fmt.Sprintf(format, args...)}
}

// admit checks a command's epoch. The caller holds w.mu.
func (w *Worker) admit(epoch uint64) error {
	if epoch < w.epoch {
		return &RefusedError{fmt.Sprintf("epoch %d is below %d", epoch, w.epoch), w.epoch}
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
	for _, name := range r.Acknowledged {
		delete(w.ended, name)
	}
	now := time.Now()
	sent := now.Add(-w.delay(r.SentAt))
	w.advance(now)
	s := dispatcher.Status{Worker: w.options.ID}
	usage := w.lagging(now)
	s.MeasuredAt = usage.at
	for task, a := range w.running {
		if ends := sent.Add(min(r.Lease, r.Horizons[a.request.Class])); ends.After(a.ends) {
			a.ends = ends
		}
		name := dispatcher.AttemptName{Task: task, Attempt: a.request.Attempt}
		s.Running = append(s.Running, dispatcher.RunningStatus{Task: task, Attempt: a.request.Attempt, Usage: usage.used[name], Slowdown: usage.slowdown[name], Addr: a.addr})
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
	now := time.Now()
	w.advance(now)
	late := w.delay(r.SentAt)
	if late > r.ValidFor {
		return refuse("start was %s under way, over its validity of %s", late, r.ValidFor)
	}
	if err := w.checkRoom(r); err != nil {
		return err
	}
	a := &running{request: r, begun: now, advanced: now, ends: now.Add(r.Lease - late), stop: func() {}, share: 1, from: progressOf(r.Checkpoint)}
	a.done = a.from
	if r.Class == declarer.ClassService && w.options.StartRunner != nil {
		addr, stop, err := w.options.StartRunner(r.Task)
		if err != nil {
			return refuse("runner not started: %v", err)
		}
		a.addr, a.stop = addr, stop
	}
	w.attempts[r.Task] = r.Attempt
	w.running[r.Task] = a
	w.note(w.describe(a))
	return nil
}

func (w *Worker) checkRoom(r dispatcher.StartRequest) error {
	if r.Attempt <= w.attempts[r.Task] {
		return refuse("attempt %d of %s is not above %d", r.Attempt, r.Task, w.attempts[r.Task])
	}
	if w.running[r.Task] != nil {
		return refuse("%s is running", r.Task)
	}
	if strings.HasPrefix(r.Kind, UnfitKind) {
		return refuse("%s has no room here", r.Task)
	}
	used := r.Reserved
	for _, a := range w.running {
		used = used.Add(a.request.Reserved)
	}
	if !used.FitsIn(w.options.Capacity) {
		return refuse("%v is over the capacity %v", used, w.options.Capacity)
	}
	return nil
}

// Stop stops an attempt.
func (w *Worker) Stop(r dispatcher.AttemptRequest) error {
	return w.command(r, func(a *running) { w.finish(a, scheduler.OutcomeStopped, "", "") })
}

// Checkpoint stops an attempt and keeps its progress.
func (w *Worker) Checkpoint(r dispatcher.AttemptRequest) error {
	return w.command(r, func(a *running) {
		w.finish(a, scheduler.OutcomeCheckpointed, checkpointName(r, a.done), "")
	})
}

// Throttle sets the speed of an attempt.
func (w *Worker) Throttle(r dispatcher.AttemptRequest) error {
	if r.Share <= 0 || r.Share > 1 {
		return refuse("share: got %g, want above 0 and at most 1", r.Share)
	}
	return w.command(r, func(a *running) { a.share = r.Share })
}

// command carries out f on a running attempt.
func (w *Worker) command(r dispatcher.AttemptRequest, f func(*running)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(r.Epoch); err != nil {
		return err
	}
	w.advance(time.Now())
	a := w.running[r.Task]
	if a == nil || a.request.Attempt != r.Attempt {
		return refuse("attempt %d of %s is not running", r.Attempt, r.Task)
	}
	f(a)
	return nil
}

// finish ends an attempt. The caller holds w.mu.
func (w *Worker) finish(a *running, outcome scheduler.Outcome, checkpoint, reason string) {
	a.stop()
	r := a.request
	delete(w.running, r.Task)
	name := dispatcher.AttemptName{Task: r.Task, Attempt: r.Attempt}
	w.ended[name] = dispatcher.EndedStatus{Task: r.Task, Attempt: r.Attempt, Outcome: string(outcome), Checkpoint: checkpoint, Reason: reason}
	record := w.describe(a)
	record.End, record.Outcome = time.Now(), string(outcome)
	w.note(record)
}

// advance ends what is complete and what has lost its lease. The caller holds
// w.mu.
func (w *Worker) advance(now time.Time) {
	for _, a := range w.running {
		a.done += time.Duration(float64(now.Sub(a.advanced)) * a.share)
		a.advanced = now
		whole := time.Duration(float64(a.request.RunTime) * w.options.TimeScale)
		batch := a.request.Class == declarer.ClassBatch
		failing := w.options.Failing || strings.HasPrefix(a.request.Kind, FailingKind)
		switch {
		case now.After(a.ends):
			w.finish(a, scheduler.OutcomeExpired, "", "lease ended")
		case failing && now.Sub(a.begun) >= whole/10:
			w.finish(a, scheduler.OutcomeFailed, "", "exit status 1")
		case batch && a.done >= whole:
			w.finish(a, scheduler.OutcomeCompleted, "", "")
		}
	}
	w.measure(now)
}

// Advance lets time pass without a message.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
}

// Domain returns the worker's failure domain.
func (w *Worker) Domain() string { return w.options.Domain }
