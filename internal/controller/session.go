package controller

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	// renewInterval is the time between two renewals of a worker's leases.
	// minRequestInterval is the time between requests while an answer or the
	// effect of a command is awaited.
	renewInterval      = 3 * time.Second
	minRequestInterval = time.Second
	// callTimeout bounds a call to a worker. It thereby also bounds the error
	// with which the worker estimates a message's transit time.
	callTimeout = time.Second
	// startValidity is how long after its sending a start command may be
	// carried out.
	startValidity = time.Second

	// unreachableAfterMisses is the number of consecutive unanswered requests
	// after which a worker counts as unreachable.
	unreachableAfterMisses = 2

	// commandQueueSize bounds the commands queued for a worker.
	// maxCommandSends bounds how often a command is sent, except a start,
	// which is sent once.
	commandQueueSize = 256
	maxCommandSends  = 5
)

// session renews the leases of one worker and executes its commands. It
// depends on the owner only through the functions it is given, so that a
// session may run on a daemon other than the owner's.
type session struct {
	id     string
	seen   scheduler.WorkerSeen
	worker dispatcher.Worker
	shard  string
	epoch  uint64
	post   func(input)
	// remaining returns, by class, for how long leases may still be renewed.
	remaining func(now time.Time) map[declarer.Class]time.Duration
	ctx       context.Context
	end       context.CancelFunc
	commands  chan scheduler.Command
	// wake makes run send the next request early.
	wake chan struct{}

	mu sync.Mutex
	// incarnation is the process of the worker that has answered last. It is
	// empty before the first answer, and after another process has answered
	// until the worker does so again. Nothing is started meanwhile.
	incarnation string
	// leaseExpiry is, by class, when all leases on this worker have expired,
	// including those from earlier owners.
	leaseExpiry map[declarer.Class]time.Time
	// acknowledged holds ended attempts that the worker may forget.
	acknowledged []dispatcher.AttemptName
	// expiredClasses holds the classes whose leases have expired since the
	// worker's last answer. Nothing of these classes is started.
	expiredClasses map[declarer.Class]bool

	// Only run's goroutine uses the fields below.

	// hasFormerProcess is set if a process at a former address of the worker
	// may run attempts. An answer doesn't tell whether an earlier owner renews
	// their leases.
	hasFormerProcess bool
	// hasAnswered is set once the worker has answered at this epoch. From then
	// on no earlier owner can renew leases of the process that answered.
	hasAnswered bool
	// unansweredRequests counts the requests since the last answer.
	unansweredRequests int
	// isRenewalDue is set when leases must be renewed without delay.
	isRenewalDue bool
}

func newSession(o *owner, seen scheduler.WorkerSeen, leaseExpiry map[declarer.Class]time.Time, hasFormerProcess bool) *session {
	if leaseExpiry == nil {
		leaseExpiry = map[declarer.Class]time.Time{}
	}
	s := &session{
		id: seen.ID, seen: seen, worker: o.shard.controller.options.Worker(seen.Addr), shard: o.shard.name, epoch: o.ledger.Epoch(),
		post: o.post, remaining: o.horizon.remaining, commands: make(chan scheduler.Command, commandQueueSize), wake: make(chan struct{}, 1),
		leaseExpiry: leaseExpiry, expiredClasses: map[declarer.Class]bool{}, hasFormerProcess: hasFormerProcess,
	}
	s.ctx, s.end = context.WithCancel(o.servingCtx)
	return s
}

// copyLeaseExpiry returns a copy of leaseExpiry.
func (s *session) copyLeaseExpiry() map[declarer.Class]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.leaseExpiry)
}

// extendLease records, before a request is sent, that leases of a class may
// last until end. If it returns false, the leases of the class have expired
// and the request must not be sent.
func (s *session) extendLease(class declarer.Class, end time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiredClasses[class] {
		return false
	}
	if end.After(s.leaseExpiry[class]) {
		s.leaseExpiry[class] = end
	}
	return true
}

// expireLeases returns the classes whose leases have newly expired. It returns
// each class only once until the worker answers again.
func (s *session) expireLeases(now time.Time) []declarer.Class {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []declarer.Class
	for _, class := range classes {
		if !s.expiredClasses[class] && !now.Before(s.leaseExpiry[class]) {
			s.expiredClasses[class] = true
			expired = append(expired, class)
		}
	}
	return expired
}

// haveAllLeasesExpired reports whether the leases of every class have expired.
func (s *session) haveAllLeasesExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.expiredClasses) == len(classes)
}

// acknowledge tells the worker, with the next request, that it may forget an
// ended attempt.
func (s *session) acknowledge(n dispatcher.AttemptName) {
	s.mu.Lock()
	s.acknowledged = append(s.acknowledged, n)
	s.mu.Unlock()
	s.requestSoon()
}

// requestSoon makes run send the next request once minRequestInterval has
// passed since the last one.
func (s *session) requestSoon() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// enqueue queues a command. It reports false if the queue is full.
func (s *session) enqueue(c scheduler.Command) bool {
	select {
	case s.commands <- c:
		return true
	default:
		return false
	}
}

func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		s.requestStatus(ctx, sent)
		s.waitForNextRequest(ctx, sent)
	}
}

// waitForNextRequest waits until the next request is due; sent is when the
// last one was sent.
func (s *session) waitForNextRequest(ctx context.Context, sent time.Time) {
	if s.isRenewalDue {
		s.isRenewalDue = false
		return
	}
	wait := renewInterval
	if s.unansweredRequests > 0 && !s.haveAllLeasesExpired() {
		wait = minRequestInterval
	}
	t := time.NewTimer(time.Until(sent.Add(wait)))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-t.C:
		return
	case <-s.wake:
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(sent.Add(minRequestInterval))):
	}
}

// process returns the process that requests are meant for, and whether it has
// answered. If not, only a status may be requested.
func (s *session) process() (dispatcher.Process, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return dispatcher.Process{Worker: s.id, Incarnation: s.incarnation}, s.incarnation != ""
}

// setIncarnation sets the process that requests are meant for, and reports
// whether it is another one than before.
func (s *session) setIncarnation(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.incarnation != incarnation
	s.incarnation = incarnation
	return changed
}

// requestStatus asks for the worker's status and renews its leases. It doesn't
// renew them with the first request to a process, from which the process
// estimates the transit time of messages, nor after an unanswered request, so
// that the leases of an unreachable worker expire.
func (s *session) requestStatus(ctx context.Context, sent time.Time) {
	process, isKnown := s.process()
	r := dispatcher.RenewRequest{Shard: s.shard, Process: process, Epoch: s.epoch, SentAt: sent}
	if isKnown && s.unansweredRequests == 0 {
		r.Lease, r.Horizons = leaseLength, s.remaining(sent)
		for class, left := range r.Horizons {
			s.extendLease(class, sent.Add(lengthen(min(leaseLength, left))+callTimeout))
		}
	}
	if isKnown {
		s.mu.Lock()
		r.Acknowledged = s.acknowledged
		s.mu.Unlock()
	}
	status, err := s.worker.Renew(ctx, r)
	var refused *dispatcher.RefusedError
	var other *dispatcher.OtherProcessError
	switch {
	case err == nil && status.Process.Worker == s.id && (!isKnown || status.Process == process):
		s.mu.Lock()
		s.acknowledged = s.acknowledged[len(r.Acknowledged):]
		s.mu.Unlock()
		s.handleStatus(sent, status)
	case errors.As(err, &refused) && refused.Epoch > s.epoch:
		s.post(input{from: s, laterEpoch: refused.Epoch})
	case errors.As(err, &other) && other.Process.Worker == s.id:
		// The worker has restarted. The next request asks for the status of the
		// new process, which ends the attempts of the old one.
		s.setIncarnation("")
		s.isRenewalDue = true
	case ctx.Err() == nil:
		if err == nil || other != nil {
			// The address belongs to another worker by now.
			s.setIncarnation("")
		}
		s.handleNoAnswer(time.Now())
	}
}

func (s *session) handleStatus(sent time.Time, status dispatcher.Status) {
	now := time.Now()
	boundsLeases := !s.hasAnswered && !s.hasFormerProcess
	isNewProcess := s.setIncarnation(status.Process.Incarnation)
	s.mu.Lock()
	clear(s.expiredClasses)
	if boundsLeases {
		// No earlier owner can renew leases any more. A lease that one renewed
		// just before this answer has expired by the time latest.
		latest := now.Add(lengthen(leaseLength) + callTimeout)
		for class, end := range s.leaseExpiry {
			if end.After(latest) {
				s.leaseExpiry[class] = latest
			}
		}
	}
	s.mu.Unlock()
	if isNewProcess || s.unansweredRequests > 0 {
		s.post(input{from: s, event: scheduler.Event{WorkerSeen: &s.seen}})
		s.isRenewalDue = true
	}
	s.hasAnswered, s.unansweredRequests = true, 0
	s.post(input{from: s, requestSentAt: sent, event: scheduler.Event{Report: toWorkerReport(status)}})
}

// handleNoAnswer handles an unanswered request.
func (s *session) handleNoAnswer(now time.Time) {
	s.unansweredRequests++
	if s.unansweredRequests == unreachableAfterMisses {
		s.post(input{from: s, event: scheduler.Event{Unreachable: &scheduler.WorkerUnreachable{ID: s.id}}})
	}
	if s.unansweredRequests < unreachableAfterMisses {
		return
	}
	for _, class := range s.expireLeases(now) {
		s.post(input{from: s, event: scheduler.Event{WorkerLost: &scheduler.WorkerLost{ID: s.id, Class: class}}})
	}
}

func toWorkerReport(s dispatcher.Status) *scheduler.WorkerReport {
	r := &scheduler.WorkerReport{Worker: s.Process.Worker, MeasuredAt: s.MeasuredAt}
	for _, a := range s.Running {
		r.Running = append(r.Running, scheduler.RunningAttempt{Task: scheduler.TaskID(a.Task), Attempt: a.Attempt, Usage: a.Usage, Slowdown: a.Slowdown, Load: a.Load, Addr: a.Addr})
	}
	for _, a := range s.Ended {
		r.Ended = append(r.Ended, scheduler.EndedAttempt{Task: scheduler.TaskID(a.Task), Attempt: a.Attempt, Outcome: scheduler.Outcome(a.Outcome), Checkpoint: a.Checkpoint, Reason: a.Reason})
	}
	return r
}

// runCommands executes the queued commands one at a time.
func (s *session) runCommands(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.commands:
			s.execute(ctx, c)
			s.requestSoon()
		}
	}
}

func (s *session) execute(ctx context.Context, c scheduler.Command) {
	process, isKnown := s.process()
	switch {
	case c.Start != nil:
		s.sendStart(ctx, c.Start)
	case !isKnown:
		// The process that ran the attempt has ended or has not answered yet. If it
		// does, the core repeats a stop or a checkpoint; it throttles after a report.
	case c.Stop != nil:
		s.sendWithRetry(ctx, s.worker.Stop, dispatcher.AttemptRequest{Process: process, Epoch: s.epoch, Task: string(c.Stop.Task), Attempt: c.Stop.Attempt})
	case c.Checkpoint != nil:
		s.sendWithRetry(ctx, s.worker.Checkpoint, dispatcher.AttemptRequest{Process: process, Epoch: s.epoch, Task: string(c.Checkpoint.Task), Attempt: c.Checkpoint.Attempt})
	case c.Throttle != nil:
		s.sendWithRetry(ctx, s.worker.Throttle, dispatcher.AttemptRequest{Process: process, Epoch: s.epoch, Task: string(c.Throttle.Task), Attempt: c.Throttle.Attempt, Share: c.Throttle.Share})
	}
}

// sendWithRetry sends an idempotent command until the worker answers, at most
// maxCommandSends times.
func (s *session) sendWithRetry(ctx context.Context, send func(context.Context, dispatcher.AttemptRequest) error, r dispatcher.AttemptRequest) {
	for range maxCommandSends {
		err := send(ctx, r)
		var unreachable *dispatcher.UnreachableError
		if !errors.As(err, &unreachable) || ctx.Err() != nil {
			return
		}
	}
}

// sendStart sends a start command once. Without an answer the worker may have
// started the attempt; a status requested after the command's validity is
// conclusive.
func (s *session) sendStart(ctx context.Context, c *scheduler.StartTask) {
	withdraw := func(reason string) {
		s.post(input{from: s, event: scheduler.Event{StartRefused: &scheduler.StartRefused{Task: c.Task, Attempt: c.Attempt, Reason: reason, Withdrawn: true}}})
	}
	process, isKnown := s.process()
	if !isKnown {
		withdraw("the worker does not answer at its address")
		return
	}
	sent := time.Now()
	if age := sent.Sub(c.ConfirmedAt); age > scheduler.ConfigMaxAge {
		withdraw("configuration was confirmed " + age.Round(time.Millisecond).String() + " ago")
		return
	}
	left := s.remaining(sent)[c.Class]
	if left <= 0 {
		withdraw("lease horizon of class " + string(c.Class) + " has passed")
		return
	}
	lease := min(leaseLength, left)
	if !s.extendLease(c.Class, sent.Add(lengthen(lease)+callTimeout)) {
		withdraw("leases on the worker have expired")
		return
	}
	err := s.worker.Start(ctx, dispatcher.StartRequest{
		Process: process, Epoch: s.epoch, SentAt: sent, ValidFor: startValidity, Task: string(c.Task), Attempt: c.Attempt, Class: c.Class, Kind: c.Kind,
		Service: c.Service, Reserved: c.Reserved, RunTime: c.RunTime, Checkpoint: c.Checkpoint, Lease: lease,
	})
	var other *dispatcher.OtherProcessError
	if errors.As(err, &other) {
		withdraw(other.Error())
		return
	}
	var refused *dispatcher.RefusedError
	if errors.As(err, &refused) {
		if refused.Epoch > s.epoch {
			s.post(input{from: s, laterEpoch: refused.Epoch})
			return
		}
		withdraw(refused.Reason)
		return
	}
	conclusiveFrom := sent.Add(lengthen(startValidity) + callTimeout)
	s.post(input{from: s, sentStart: &sentStart{c.Task, c.Attempt, conclusiveFrom}})
}
