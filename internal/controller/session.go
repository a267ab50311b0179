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
	// renewInterval is between two renewals of a worker's leases;
	// reportEvery is between two requests while something is awaited.
	renewInterval = 3 * time.Second
	reportEvery   = time.Second
	// callTimeout bounds a call to a worker, and so the error with which the
	// worker measures how long a message was under way.
	callTimeout = time.Second
	// startValidity is how long a start command may be carried out after it
	// was sent.
	startValidity = time.Second
	// missesAllowed is the number of unanswered requests after which a worker
	// counts as unreachable.
	missesAllowed = 2
	// queuedCommands bounds the commands that wait for a worker, and
	// commandTries how often one other than a start is sent.
	queuedCommands = 256
	commandTries   = 5
)

// session keeps the leases of one worker and carries out its commands. It
// knows its owner only through the functions it is given, so that a session
// may run on a daemon other than the owner's.
type session struct {
	id     string
	seen   scheduler.WorkerSeen
	worker dispatcher.Worker
	shard  string
	epoch  uint64
	post   func(input)
	// remaining returns how long the leases of each class may be renewed.
	remaining func(now time.Time) map[declarer.Class]time.Duration
	ctx       context.Context
	end       context.CancelFunc
	commands  chan scheduler.Command
	wake      chan struct{}

	mu sync.Mutex
	// leases has by when every lease of a class on this worker has run out,
	// whoever gave it.
	leases map[declarer.Class]time.Time
	// acknowledged are ended attempts that the worker may forget.
	acknowledged []dispatcher.AttemptName
	// lost has the classes whose leases have run out since the last answer;
	// nothing of them is started.
	lost map[declarer.Class]bool

	// Only run's goroutine uses the fields below.

	// answered is set once the worker has obeyed this epoch; from then on no
	// earlier owner can renew.
	answered bool
	// misses counts the unanswered requests since the last answer.
	misses int
	// urgent is set when leases must be renewed at once.
	urgent bool
}

func newSession(o *owner, seen scheduler.WorkerSeen, leases map[declarer.Class]time.Time) *session {
	if leases == nil {
		leases = map[declarer.Class]time.Time{}
	}
	s := &session{
		id: seen.ID, seen: seen, worker: o.shard.controller.options.Worker(seen.Addr), shard: o.shard.name, epoch: o.ledger.Epoch(),
		post: o.post, remaining: o.horizon.remaining, commands: make(chan scheduler.Command, queuedCommands), wake: make(chan struct{}, 1),
		leases: leases, lost: map[declarer.Class]bool{},
	}
	s.ctx, s.end = context.WithCancel(o.serving)
	return s
}

// leaseEnds returns by when the leases of each class have run out.
func (s *session) leaseEnds() map[declarer.Class]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.leases)
}

// grant notes, before a request is sent, that leases of a class may last until
// end. It reports false, and the request must not be sent, when the class
// counts as lost already.
func (s *session) grant(class declarer.Class, end time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost[class] {
		return false
	}
	if end.After(s.leases[class]) {
		s.leases[class] = end
	}
	return true
}

// expire returns the classes whose leases have run out, each once between two
// answers.
func (s *session) expire(now time.Time) []declarer.Class {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []declarer.Class
	for _, class := range classes {
		if !s.lost[class] && !now.Before(s.leases[class]) {
			s.lost[class] = true
			expired = append(expired, class)
		}
	}
	return expired
}

// isLost reports whether every lease on the worker has run out.
func (s *session) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lost) == len(classes)
}

// acknowledge lets the worker forget an ended attempt.
func (s *session) acknowledge(n dispatcher.AttemptName) {
	s.mu.Lock()
	s.acknowledged = append(s.acknowledged, n)
	s.mu.Unlock()
	s.hurry()
}

// hurry makes the next request come soon.
func (s *session) hurry() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// enqueue takes a command, or reports false.
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
		s.request(ctx, sent)
		s.pause(ctx, sent)
	}
}

// pause waits for the next request.
func (s *session) pause(ctx context.Context, sent time.Time) {
	if s.urgent {
		s.urgent = false
		return
	}
	wait := renewInterval
	if s.misses > 0 && !s.isLost() {
		wait = reportEvery
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
	case <-time.After(time.Until(sent.Add(reportEvery))):
	}
}

// request asks for the status and renews the leases. Leases are not renewed
// while it isn't known whether the worker gets the requests, so that they run
// out, and not with the first request, from which the worker learns how long a
// message is under way.
func (s *session) request(ctx context.Context, sent time.Time) {
	r := dispatcher.RenewRequest{Shard: s.shard, Epoch: s.epoch, SentAt: sent}
	if s.answered && s.misses == 0 {
		r.Lease, r.Horizons = leaseLength, s.remaining(sent)
		for class, left := range r.Horizons {
			s.grant(class, sent.Add(inOtherTime(min(leaseLength, left))+callTimeout))
		}
	}
	s.mu.Lock()
	r.Acknowledged = s.acknowledged
	s.mu.Unlock()
	status, err := s.worker.Renew(ctx, r)
	var refused *dispatcher.RefusedError
	switch {
	case err == nil && status.Worker == s.id:
		s.mu.Lock()
		s.acknowledged = s.acknowledged[len(r.Acknowledged):]
		s.mu.Unlock()
		s.takeAnswer(sent, status)
	case errors.As(err, &refused) && refused.Epoch > s.epoch:
		s.post(input{from: s, superseded: refused.Epoch})
	case ctx.Err() == nil:
		s.takeMiss(time.Now())
	}
}

func (s *session) takeAnswer(sent time.Time, status dispatcher.Status) {
	now := time.Now()
	first := !s.answered
	s.mu.Lock()
	clear(s.lost)
	if first {
		// What an earlier owner has renewed last ends a lease from now at the
		// latest, and no earlier owner renews any more.
		latest := now.Add(inOtherTime(leaseLength) + callTimeout)
		for class, end := range s.leases {
			if end.After(latest) {
				s.leases[class] = latest
			}
		}
	}
	s.mu.Unlock()
	if first || s.misses > 0 {
		s.post(input{from: s, event: scheduler.Event{WorkerSeen: &s.seen}})
		s.urgent = true
	}
	s.answered, s.misses = true, 0
	s.post(input{from: s, sent: sent, event: scheduler.Event{Report: report(status)}})
}

// takeMiss handles a request without an answer.
func (s *session) takeMiss(now time.Time) {
	s.misses++
	if s.misses == missesAllowed {
		s.post(input{from: s, event: scheduler.Event{Unreachable: &scheduler.WorkerUnreachable{ID: s.id}}})
	}
	if s.misses < missesAllowed {
		return
	}
	for _, class := range s.expire(now) {
		s.post(input{from: s, event: scheduler.Event{WorkerLost: &scheduler.WorkerLost{ID: s.id, Class: class}}})
	}
}

func report(s dispatcher.Status) *scheduler.WorkerReport {
	r := &scheduler.WorkerReport{Worker: s.Worker, MeasuredAt: s.MeasuredAt}
	for _, a := range s.Running {
		r.Running = append(r.Running, scheduler.RunningAttempt{Task: scheduler.TaskID(a.Task), Attempt: a.Attempt, Usage: a.Usage, Slowdown: a.Slowdown, Load: a.Load, Addr: a.Addr})
	}
	for _, a := range s.Ended {
		r.Ended = append(r.Ended, scheduler.EndedAttempt{Task: scheduler.TaskID(a.Task), Attempt: a.Attempt, Outcome: scheduler.Outcome(a.Outcome), Checkpoint: a.Checkpoint, Reason: a.Reason})
	}
	return r
}

// runCommands carries out commands one after the other.
func (s *session) runCommands(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.commands:
			s.carryOut(ctx, c)
			s.hurry()
		}
	}
}

func (s *session) carryOut(ctx context.Context, c scheduler.Command) {
	switch {
	case c.Start != nil:
		s.start(ctx, c.Start)
	case c.Stop != nil:
		s.repeat(ctx, s.worker.Stop, dispatcher.AttemptRequest{Epoch: s.epoch, Task: string(c.Stop.Task), Attempt: c.Stop.Attempt})
	case c.Checkpoint != nil:
		s.repeat(ctx, s.worker.Checkpoint, dispatcher.AttemptRequest{Epoch: s.epoch, Task: string(c.Checkpoint.Task), Attempt: c.Checkpoint.Attempt})
	case c.Throttle != nil:
		s.repeat(ctx, s.worker.Throttle, dispatcher.AttemptRequest{Epoch: s.epoch, Task: string(c.Throttle.Task), Attempt: c.Throttle.Attempt, Share: c.Throttle.Share})
	}
}

// repeat sends a command that may be carried out more than once until there is
// an answer, at most a few times.
func (s *session) repeat(ctx context.Context, send func(context.Context, dispatcher.AttemptRequest) error, r dispatcher.AttemptRequest) {
	for range commandTries {
		err := send(ctx, r)
		var unreachable *dispatcher.UnreachableError
		if !errors.As(err, &unreachable) || ctx.Err() != nil {
			return
		}
	}
}

// start sends a start command once. Without an answer the worker may have
// carried it out; a report that is sent after the command's validity tells.
func (s *session) start(ctx context.Context, c *scheduler.StartTask) {
	withdraw := func(reason string) {
		s.post(input{from: s, event: scheduler.Event{StartRefused: &scheduler.StartRefused{Task: c.Task, Attempt: c.Attempt, Reason: reason, Withdrawn: true}}})
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
	if !s.grant(c.Class, sent.Add(inOtherTime(lease)+callTimeout)) {
		withdraw("worker lost")
		return
	}
	err := s.worker.Start(ctx, dispatcher.StartRequest{
		Epoch: s.epoch, SentAt: sent, ValidFor: startValidity, Task: string(c.Task), Attempt: c.Attempt, Class: c.Class, Kind: c.Kind,
		Service: c.Service, Reserved: c.Reserved, RunTime: c.RunTime, Checkpoint: c.Checkpoint, Lease: lease,
	})
	var refused *dispatcher.RefusedError
	if errors.As(err, &refused) {
		if refused.Epoch > s.epoch {
			s.post(input{from: s, superseded: refused.Epoch})
			return
		}
		withdraw(refused.Reason)
		return
	}
	settles := sent.Add(inOtherTime(startValidity) + callTimeout)
	s.post(input{from: s, attempted: &attempted{c.Task, c.Attempt, settles}})
}
