// Package worker is a stand-in for a worker of the platform. It simulates tasks
// under leases and reports their usage with a lag.
package worker

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	// FailingKind is the prefix of task kinds whose attempts all fail.
	FailingKind = "always-fails"
	// UnfitKind is the prefix of task kinds that the worker always refuses.
	UnfitKind = "never-fits"
)

// Options are a worker's settings.
type Options struct {
	ID       string
	Domain   string
	Rack     string
	Capacity declarer.Resources
	// StartRunner starts the runner process of a service task and returns its
	// address and a function that stops the process; nil starts none.
	StartRunner func(task string) (netip.AddrPort, func(), error)
	// TimeScale multiplies the declared run time of a task.
	TimeScale float64
	// UsageLag is the minimum age of the reported usage.
	UsageLag time.Duration
	// UsageShare is the fraction of its reservation that a task uses; zero means
	// 1.
	UsageShare float64
	// Failing makes every attempt fail.
	Failing bool
	// Record, if not nil, is called with each attempt at its start and at its
	// end.
	Record func(Attempt)
}

// Worker simulates one process of a worker. It is safe for concurrent use.
type Worker struct {
	options Options
	process dispatcher.Process

	mu sync.Mutex
	// epoch is the highest epoch seen; it is the fencing token for commands of
	// earlier owners, which are refused.
	epoch uint64
	// attempts has the number of the last started attempt of each task.
	attempts map[string]uint64
	running  map[string]*runningAttempt
	ended    map[dispatcher.AttemptName]dispatcher.EndedStatus
	// minOffset is the smallest difference seen in this epoch between this clock
	// at the arrival and the owner's clock at the sending of a message.
	minOffset    time.Duration
	hasMinOffset bool
	samples      []sample
	record       []Attempt
}

// runningAttempt is an attempt that has not ended.
type runningAttempt struct {
	request dispatcher.StartRequest
	start   time.Time
	// leaseEnd is when the lease expires; renewals only move it forward.
	leaseEnd time.Time
	addr     netip.AddrPort
	stop     func()
	// progress is the progress of the task at progressAt, in run time;
	// initialProgress is that at the start of the attempt. speed is the progress
	// per unit of time, at most 1.
	progress        time.Duration
	initialProgress time.Duration
	progressAt      time.Time
	speed           float64
}

// New returns a worker that runs nothing.
func New(o Options) *Worker {
	if o.UsageShare == 0 {
		o.UsageShare = 1
	}
	return &Worker{options: o, process: dispatcher.Process{Worker: o.ID, Incarnation: uuid.NewString()}, attempts: map[string]uint64{}, running: map[string]*runningAttempt{}, ended: map[dispatcher.AttemptName]dispatcher.EndedStatus{}}
}

// RefusedError reports a command that the worker has not carried out.
type RefusedError struct {
	Reason string
	// Epoch is the worker's epoch if that of the command was lower, otherwise
	// zero.
	Epoch uint64
}

func (e *RefusedError) Error() string { return e.Reason }

func refuse(format string, args ...any) error {
	return &RefusedError{Reason: fmt.Sprintf(format, args...)}
}

// OtherProcessError reports a request that is meant for another process. Nothing
// was done.
type OtherProcessError struct{ Process dispatcher.Process }

func (e *OtherProcessError) Error() string {
	return fmt.Sprintf("this is process %s of worker %s", e.Process.Incarnation, e.Process.Worker)
}

// checkProcess refuses a request that is meant for another process, or for any
// process of the worker unless mayBeAny is set. It comes before acceptEpoch,
// since the epochs of different shards can't be compared.
func (w *Worker) checkProcess(p dispatcher.Process, mayBeAny bool) error {
	if p == w.process || (mayBeAny && p == dispatcher.Process{Worker: w.process.Worker}) {
		return nil
	}
	return &OtherProcessError{w.process}
}

// acceptEpoch refuses an epoch below the highest one seen, and records a higher
// one. The caller holds w.mu.
func (w *Worker) acceptEpoch(epoch uint64) error {
	if epoch < w.epoch {
		return &RefusedError{fmt.Sprintf("epoch %d is below the highest seen epoch %d", epoch, w.epoch), w.epoch}
	}
	if epoch > w.epoch {
		// Offsets to the clocks of different owners can't be compared.
		w.epoch, w.hasMinOffset = epoch, false
	}
	return nil
}

// transitDelay returns how much longer a message was in transit than the fastest
// one so far. Comparing with the fastest message removes the offset between the
// sender's clock and this one. The caller holds w.mu.
func (w *Worker) transitDelay(sent time.Time) time.Duration {
	offset := time.Since(sent)
	if !w.hasMinOffset || offset < w.minOffset {
		w.minOffset, w.hasMinOffset = offset, true
	}
	return offset - w.minOffset
}

// Renew extends the leases of the running attempts, drops the ended attempts that
// the request acknowledges, and returns the status.
func (w *Worker) Renew(r dispatcher.RenewRequest) (dispatcher.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkProcess(r.Process, r.Lease == 0 && len(r.Acknowledged) == 0); err != nil {
		return dispatcher.Status{}, err
	}
	if err := w.acceptEpoch(r.Epoch); err != nil {
		return dispatcher.Status{}, err
	}
	for _, name := range r.Acknowledged {
		delete(w.ended, name)
	}
	now := time.Now()
	sent := now.Add(-w.transitDelay(r.SentAt))
	w.advance(now)
	s := dispatcher.Status{Process: w.process}
	usage := w.reportedSample(now)
	s.MeasuredAt = usage.at
	for task, a := range w.running {
		if end := sent.Add(min(r.Lease, r.Horizons[a.request.Class])); end.After(a.leaseEnd) {
			a.leaseEnd = end
		}
		name := dispatcher.AttemptName{Task: task, Attempt: a.request.Attempt}
		s.Running = append(s.Running, dispatcher.RunningStatus{Task: task, Attempt: a.request.Attempt, Usage: usage.used[name], Slowdown: usage.slowdown[name], Addr: a.addr})
	}
	for _, e := range w.ended {
		s.Ended = append(s.Ended, e)
	}
	return s, nil
}

// Start starts an attempt. It refuses a request that was in transit for longer
// than its validity, an attempt number that is not new, and a reservation over
// the capacity.
func (w *Worker) Start(r dispatcher.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkProcess(r.Process, false); err != nil {
		return err
	}
	if err := w.acceptEpoch(r.Epoch); err != nil {
		return err
	}
	now := time.Now()
	w.advance(now)
	delay := w.transitDelay(r.SentAt)
	if delay > r.ValidFor {
		return refuse("start request was delayed by %s, longer than its validity of %s", delay, r.ValidFor)
	}
	if err := w.checkStart(r); err != nil {
		return err
	}
	a := &runningAttempt{request: r, start: now, progressAt: now, leaseEnd: now.Add(r.Lease - delay), stop: func() {}, speed: 1, initialProgress: progressOf(r.Checkpoint)}
	a.progress = a.initialProgress
	if r.Class == declarer.ClassService && w.options.StartRunner != nil {
		addr, stop, err := w.options.StartRunner(r.Task)
		if err != nil {
			return refuse("cannot start runner: %v", err)
		}
		a.addr, a.stop = addr, stop
	}
	w.attempts[r.Task] = r.Attempt
	w.running[r.Task] = a
	w.addRecord(w.recordOf(a))
	return nil
}

// checkStart returns the reason to refuse a start, if there is one. The caller
// holds w.mu.
func (w *Worker) checkStart(r dispatcher.StartRequest) error {
	if r.Attempt <= w.attempts[r.Task] {
		return refuse("attempt %d of %s is not newer than attempt %d", r.Attempt, r.Task, w.attempts[r.Task])
	}
	if w.running[r.Task] != nil {
		return refuse("%s is already running", r.Task)
	}
	if strings.HasPrefix(r.Kind, UnfitKind) {
		return refuse("%s does not fit on this worker", r.Task)
	}
	used := r.Reserved
	for _, a := range w.running {
		used = used.Add(a.request.Reserved)
	}
	if !used.FitsIn(w.options.Capacity) {
		return refuse("reservations of %v exceed the capacity of %v", used, w.options.Capacity)
	}
	return nil
}

// Stop stops an attempt.
func (w *Worker) Stop(r dispatcher.AttemptRequest) error {
	return w.withAttempt(r, func(a *runningAttempt) { w.finish(a, scheduler.OutcomeStopped, "", "") })
}

// Checkpoint stops an attempt and reports a checkpoint with its progress.
func (w *Worker) Checkpoint(r dispatcher.AttemptRequest) error {
	return w.withAttempt(r, func(a *runningAttempt) {
		w.finish(a, scheduler.OutcomeCheckpointed, checkpointName(r, a.progress), "")
	})
}

// Throttle sets the speed of an attempt.
func (w *Worker) Throttle(r dispatcher.AttemptRequest) error {
	if r.Share <= 0 || r.Share > 1 {
		return refuse("share: got %g, want above 0 and at most 1", r.Share)
	}
	return w.withAttempt(r, func(a *runningAttempt) { a.speed = r.Share })
}

// withAttempt calls f on the running attempt that r names, or refuses r.
func (w *Worker) withAttempt(r dispatcher.AttemptRequest, f func(*runningAttempt)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkProcess(r.Process, false); err != nil {
		return err
	}
	if err := w.acceptEpoch(r.Epoch); err != nil {
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
func (w *Worker) finish(a *runningAttempt, outcome scheduler.Outcome, checkpoint, reason string) {
	a.stop()
	r := a.request
	delete(w.running, r.Task)
	name := dispatcher.AttemptName{Task: r.Task, Attempt: r.Attempt}
	w.ended[name] = dispatcher.EndedStatus{Task: r.Task, Attempt: r.Attempt, Outcome: string(outcome), Checkpoint: checkpoint, Reason: reason}
	record := w.recordOf(a)
	record.End, record.Outcome = time.Now(), string(outcome)
	w.addRecord(record)
}

// advance updates the progress of all attempts to now, ends those that complete,
// fail or have an expired lease, and samples the usage. The caller holds w.mu.
func (w *Worker) advance(now time.Time) {
	for _, a := range w.running {
		a.progress += time.Duration(float64(now.Sub(a.progressAt)) * a.speed)
		a.progressAt = now
		runTime := time.Duration(float64(a.request.RunTime) * w.options.TimeScale)
		batch := a.request.Class == declarer.ClassBatch
		failing := w.options.Failing || strings.HasPrefix(a.request.Kind, FailingKind)
		switch {
		case now.After(a.leaseEnd):
			w.finish(a, scheduler.OutcomeExpired, "", "lease expired")
		case failing && now.Sub(a.start) >= runTime/10:
			w.finish(a, scheduler.OutcomeFailed, "", "exit status 1")
		case batch && a.progress >= runTime:
			w.finish(a, scheduler.OutcomeCompleted, "", "")
		}
	}
	w.measure(now)
}

// Advance updates the attempts to the current time without a request.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
}

// Kill ends all attempts, as the end of the process does. The worker must not be
// called any more.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	for _, a := range w.running {
		w.finish(a, scheduler.OutcomeStopped, "", "process ended")
	}
}

// Process returns the process that the worker simulates.
func (w *Worker) Process() dispatcher.Process { return w.process }

// Domain returns the worker's failure domain.
func (w *Worker) Domain() string { return w.options.Domain }
