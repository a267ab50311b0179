package conductor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/planner"
)

const (
	// orderTimeout bounds a start, stop or pace order. A worker usually answers
	// within milliseconds; an order that takes longer may be carried out much
	// later.
	orderTimeout = 400 * time.Millisecond

	// pollWait is how long a worker waits for a run to end before it answers a
	// poll.
	pollWait = 700 * time.Millisecond
	// pollSlack is how much longer than its wait a poll may take.
	pollSlack = 500 * time.Millisecond
	// pollRetryDelay is the delay between polls of a worker that doesn't
	// answer.
	pollRetryDelay = 200 * time.Millisecond
	// maxEndsPerPoll is the largest number of ended runs that a worker lists in
	// one answer. An answer with that many may leave out further ends.
	maxEndsPerPoll = 500
)

// session is the state of an owner's calls to one worker.
type session struct {
	// born is the start time of the worker's process.
	born int64
	// isPolling is set while a poll is unanswered.
	isPolling  bool
	nextPollAt time.Time
	// clock is the time of the worker's clock in its last answer, which was
	// received at clockReceivedAt. By then the worker's clock had advanced a
	// little further.
	clock           time.Duration
	clockReceivedAt time.Time
	// isStale is set when the ownership has ended or the worker's process was
	// replaced. Late answers are then ignored.
	isStale bool
}

// leaseDeadline returns the end of a lease on the worker's clock, and the time
// on this daemon's clock by which the lease has certainly expired. Both are
// zero if the worker's clock is unknown or this owner may not grant leases.
func (c *Conductor) leaseDeadline(now time.Time, s *session) (time.Duration, time.Time) {
	if s.clockReceivedAt.IsZero() || !c.isOwnershipConfirmed(now) {
		return 0, time.Time{}
	}
	elapsed := now.Sub(s.clockReceivedAt)
	lease := min(c.options.Limits.MaxLease, leaseHorizon-now.Sub(c.confirmedAt))
	// The worker's clock may have run slow since its last answer, and may run
	// slow until the lease expires.
	atLeast := s.clock + time.Duration((1-maxClockDrift)*float64(elapsed))
	return atLeast + lease, now.Add(longestLease(lease))
}

// session returns the session with a worker. It creates one if there is none.
func (c *Conductor) session(w planner.Worker) *session {
	s := c.sessions[w.ID]
	if s == nil {
		s = &session{born: w.Born}
		c.sessions[w.ID] = s
	}
	return s
}

// endSession ends the session with a worker's process. Answers to its calls that
// are still under way are then ignored.
func (c *Conductor) endSession(workerID string, s *session) {
	s.isStale = true
	delete(c.sessions, workerID)
}

// endUnusedSessions ends the sessions with processes that the planner no longer
// knows.
func (c *Conductor) endUnusedSessions() {
	for id, s := range c.sessions {
		if w, ok := c.planner.Worker(id); !ok || s.born != 0 && w.Born != s.born {
			c.endSession(id, s)
		}
	}
}

// sendOrder sends one of the planner's orders.
func (c *Conductor) sendOrder(ctx context.Context, now time.Time, o planner.Command) {
	w, ok := c.planner.Worker(o.WorkerID)
	if !ok {
		return
	}
	s := c.session(w)
	epoch := c.epoch
	deadline, expiry := c.leaseDeadline(now, s)
	if o.Kind == planner.StartRun {
		c.planner.Leased(w.ID, expiry)
	}
	kind := [...]string{"start", "stop", "pace"}[o.Kind]
	c.callPool.Submit(func() {
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		sent := c.options.Now()
		var err error
		switch o.Kind {
		case planner.StartRun:
			err = c.options.Workers.Start(bounded, w, StartOrder{o.Run, o.Payload, o.Checkpoint, deadline, epoch})
		case planner.StopRun:
			err = c.options.Workers.Stop(bounded, w, StopOrder{o.Run, epoch})
		case planner.PaceRun:
			err = c.options.Workers.Pace(bounded, w, PaceOrder{o.Run, o.Percent, epoch})
		}
		took := c.options.Now().Sub(sent)
		c.post(ctx, func() {
			if !s.isStale && c.planner != nil && c.epoch == epoch {
				c.applyOrderResult(o, s, took, kind, err)
			}
		})
	})
}

// applyOrderResult applies the answer to an order.
func (c *Conductor) applyOrderResult(o planner.Command, s *session, took time.Duration, kind string, err error) {
	now := c.options.Now()
	var refused *RefusedError
	outcome := "done"
	isRefused := errors.As(err, &refused)
	switch {
	case isRefused:
		outcome = "refused"
	case err != nil:
		outcome = "unanswered"
	}
	c.metrics.orders.WithLabelValues(kind, outcome).Inc()
	c.metrics.latency.WithLabelValues(kind).Observe(took.Seconds())
	if err != nil {
		c.options.Log.Info().Str("order", kind).Str("run", o.Run.String()).Str("worker", o.WorkerID).Int64("epoch", c.epoch).Dur("took", took).Err(err).Msg("conductor: order not done")
	}
	if !c.applyAnswer(now, o.WorkerID, s, err) {
		return
	}
	switch o.Kind {
	case planner.StartRun:
		switch {
		case isRefused:
			c.planner.StartAnswered(now, o.Run, o.WorkerID, planner.Refused, refused.Reason)
		case err != nil:
			c.planner.StartAnswered(now, o.Run, o.WorkerID, planner.Unclear, err.Error())
		default:
			c.planner.StartAnswered(now, o.Run, o.WorkerID, planner.Started, "")
		}
	case planner.StopRun:
		// A worker that refuses a stop has done nothing, and may still carry
		// out a start of the run that is under way.
		if err == nil {
			c.planner.StopAnswered(now, o.Run, o.WorkerID)
		}
	case planner.PaceRun:
		if err != nil && !isRefused {
			c.planner.PaceUnanswered(o.Run, o.WorkerID)
		}
	}
}

// applyAnswer applies what the outcome of a call tells about the worker. It
// reports false if the outcome ends the session or the ownership.
func (c *Conductor) applyAnswer(now time.Time, workerID string, s *session, err error) bool {
	var fenced *FencedError
	var other *OtherProcessError
	var refused *RefusedError
	var disconnected *DisconnectedError
	switch {
	case errors.As(err, &fenced):
		c.loseOwnership("worker " + workerID + " has seen a higher epoch")
		return false
	case errors.As(err, &other):
		c.endSession(workerID, s)
		c.planner.OtherProcessAnswered(workerID)
		return false
	case err == nil || errors.As(err, &refused):
		c.planner.Answered(now, workerID)
	case errors.As(err, &disconnected):
		c.planner.Disconnected(now, workerID)
	default:
		c.planner.Unanswered(now, workerID)
	}
	return true
}

// pollWorkers polls the workers that have runs, and those that a new owner has
// to poll.
func (c *Conductor) pollWorkers(ctx context.Context, now time.Time) {
	for _, contact := range c.planner.Contacts(now) {
		s := c.session(contact.Worker)
		if s.isPolling || !contact.NeedsPoll || now.Before(s.nextPollAt) {
			continue
		}
		s.isPolling = true
		c.pollWorker(ctx, now, contact, s)
	}
}

// pollWorker polls one worker and renews its leases.
func (c *Conductor) pollWorker(ctx context.Context, now time.Time, contact planner.Contact, s *session) {
	w, epoch := contact.Worker, c.epoch
	deadline, expiry := c.leaseDeadline(now, s)
	if contact.IsFailing {
		deadline, expiry = 0, time.Time{}
	}
	c.planner.Leased(w.ID, expiry)
	o := PollOrder{Epoch: epoch, Acknowledge: contact.Acknowledge, Deadline: deadline, Wait: pollWait}
	if s.clockReceivedAt.IsZero() || contact.IsContested || contact.IsFailing {
		// The first poll returns the worker's clock, which leases need. That of
		// a contested worker, or of one that didn't answer, tells which process
		// has its address.
		o.Wait = 0
	}
	post := func(answer PollAnswer, err error) {
		c.post(ctx, func() {
			if s.isStale || c.planner == nil || c.epoch != epoch {
				return
			}
			s.isPolling = false
			c.applyPollResult(w, s, answer, err)
		})
	}
	c.background.Go(func() {
		if o.Acknowledge > 0 && c.options.Now().After(contact.AcknowledgeUntil) {
			// This instance was held up since the plan.
			o.Acknowledge = 0
		}
		if o.Acknowledge == 0 && contact.Committed > 0 {
			c.pollAndAcknowledge(ctx, w, o, contact.Committed, post)
			return
		}
		post(c.poll(ctx, w, o))
	})
}

// pollAndAcknowledge acknowledges ends to a process that has just answered a poll.
// If that poll shows another process, has no answer or took too long, its outcome
// is posted alone, and a later poll acknowledges the ends.
func (c *Conductor) pollAndAcknowledge(ctx context.Context, w planner.Worker, o PollOrder, committed uint64, post func(PollAnswer, error)) {
	check := o
	check.Wait = 0
	answer, err := c.poll(ctx, w, check)
	if err != nil || planner.IsOtherProcess(w.Born, answer.ProcessStart) || c.options.Now().After(answer.Sent.Add(planner.AcknowledgeWindow)) {
		post(answer, err)
		return
	}
	o.Acknowledge = committed
	post(c.poll(ctx, w, o))
}

// poll polls a worker.
func (c *Conductor) poll(ctx context.Context, w planner.Worker, o PollOrder) (PollAnswer, error) {
	bounded, cancel := context.WithTimeout(ctx, o.Wait+pollSlack)
	defer cancel()
	sent := c.options.Now()
	answer, err := c.options.Workers.Poll(bounded, w, o)
	answer.Sent, answer.Received, answer.Acknowledged = sent, c.options.Now(), o.Acknowledge
	return answer, err
}

// applyPollResult applies the answer to a poll.
func (c *Conductor) applyPollResult(w planner.Worker, s *session, a PollAnswer, err error) {
	now := c.options.Now()
	if !c.applyAnswer(now, w.ID, s, err) {
		return
	}
	if err != nil {
		s.nextPollAt = now.Add(pollRetryDelay)
		c.options.Log.Info().Str("worker", w.ID).Int64("epoch", c.epoch).Err(err).Msg("conductor: poll not answered")
		return
	}
	if planner.IsOtherProcess(w.Born, a.ProcessStart) {
		// Another process has the id. Its clock started anew, so the lease that
		// the poll granted may last for the longest time from its arrival.
		c.endSession(w.ID, s)
		w.Born = a.ProcessStart
		s = c.session(w)
		c.planner.Leased(w.ID, a.Received.Add(longestLease(c.options.Limits.MaxLease)))
	}
	s.clock, s.clockReceivedAt = a.Clock, a.Received
	a.IsPartial = len(a.Ended) >= maxEndsPerPoll
	c.planner.PollAnswered(now, w.ID, a.PollResult)
}

// logDecision logs a decision of the planner.
func (c *Conductor) logDecision(d planner.Decision) {
	c.metrics.decisions.WithLabelValues(d.Event).Inc()
	e := c.options.Log.Info().Str("event", d.Event).Int64("epoch", c.epoch)
	if d.Job != "" {
		e = e.Str("job", d.Job)
	}
	if d.Run != "" {
		e = e.Str("run", d.Run)
	}
	if d.Worker != "" {
		e = e.Str("worker", d.Worker)
	}
	e.Str("detail", d.Detail).Msg("planner: decision")
}
