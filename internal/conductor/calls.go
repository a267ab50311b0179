package conductor

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/observer"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/sender"
)

const (
	// minOrderTimeout and maxOrderTimeout bound the timeout of a start, stop or pace
	// order, which follows the measured round trips. A worker usually answers within
	// milliseconds; an order that takes longer may be carried out much later.
	minOrderTimeout = 400 * time.Millisecond
	maxOrderTimeout = 1500 * time.Millisecond
	// startListenTime is how long the answer to a start is still awaited after the timeout.
	// Behind a full link answers take up to some seconds. Each such call holds a connection.
	startListenTime = 4 * time.Second
	// maxBlamelessTime is how long calls to a worker may go unanswered because of this
	// daemon's own link before the worker counts as silent all the same.
	maxBlamelessTime = 2 * time.Second
	// maxOrderAge is how long an order may wait until it is sent. Few orders to a
	// worker are under way at a time, so that they share its connections, and
	// maxOrders bounds those to all workers of the shard.
	maxOrderAge        = 400 * time.Millisecond
	maxOrdersPerWorker = 4
	maxOrders          = 64
	// On a slow link, fewer orders are under way: as many, of orderBytes each, as it
	// carries in maxOrderDelay, but minOrders at least. The calls that keep the shard
	// and the leases wait no longer than that.
	orderBytes    = 1000
	maxOrderDelay = 100 * time.Millisecond
	minOrders     = 8
	// waitingFactor times as many starts as may be under way wait to be sent. Beyond
	// that the planner decides later, on what it knows then.
	waitingFactor = 4

	// pollWait is how long a worker waits for a run to end before it answers a
	// poll.
	pollWait = 700 * time.Millisecond
	// minPollSlack is the least time that a poll may take longer than its wait.
	minPollSlack = 500 * time.Millisecond
	// maxAnswerAge bounds how long the answer to a poll may have been under way.
	maxAnswerAge = 2 * time.Second
	// pollRetryDelay is the delay between polls of a worker that doesn't
	// answer.
	pollRetryDelay = 200 * time.Millisecond
	// leavingLease is the lease of a worker that may be gone at any time. It outlasts
	// one poll without an answer.
	leavingLease = 2500 * time.Millisecond
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
	// trips has the round trips of the orders, and answeredAt is when the worker last
	// answered a call, or when the session began.
	trips      observer.Estimator
	answeredAt time.Time
	// isStale is set when the ownership has ended or the worker's process was
	// replaced. Late answers are then ignored.
	isStale bool
}

// leaseDeadline returns the end of a lease on the worker's clock, and the time
// on this daemon's clock by which the lease has certainly expired. Both are
// zero if the worker's clock is unknown or this owner may not grant leases.
//
// A worker that leaves gets short leases once it may be gone, so that its runs are known
// to have ended soon after. A lease can't be shortened later.
func (c *Conductor) leaseDeadline(now time.Time, w planner.Worker, s *session) (time.Duration, time.Time) {
	if s.clockReceivedAt.IsZero() || !c.isOwnershipConfirmed(now) {
		return 0, time.Time{}
	}
	elapsed := now.Sub(s.clockReceivedAt)
	lease := min(c.options.Limits.MaxLease, leaseHorizon-now.Sub(c.confirmedAt))
	if leavesAt := w.LeavesAt(); !leavesAt.IsZero() {
		lease = min(lease, max(leavingLease, leavesAt.Sub(now)))
	}
	// The worker's clock may have run slow since its last answer, and may run
	// slow until the lease expires.
	atLeast := s.clock + time.Duration((1-maxClockDrift)*float64(elapsed))
	return atLeast + lease, now.Add(longestLease(lease))
}

// clockRange returns between which times the worker's clock is when it answers a call
// that is sent now and times out after the given time.
func (s *session) clockRange(now time.Time, timeout time.Duration) ClockRange {
	if s.clockReceivedAt.IsZero() {
		return ClockRange{}
	}
	elapsed := float64(now.Sub(s.clockReceivedAt))
	return ClockRange{
		From: s.clock + time.Duration((1-maxClockDrift)*elapsed) - time.Millisecond,
		To:   s.clock + time.Duration((1+maxClockDrift)*elapsed) + timeout + maxAnswerAge,
	}
}

// session returns the session with a worker's process. It creates one if there is none.
func (c *Conductor) session(w planner.Worker) *session {
	s := c.sessions[w.ID]
	if s != nil && planner.IsOtherProcess(s.born, w.Born) {
		c.endSession(w.ID, s)
		s = nil
	}
	if s == nil {
		s = &session{born: w.Born, answeredAt: c.options.Now()}
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

// ordersUnderWay returns how many orders may be under way on a link of a rate in bytes a
// second.
func ordersUnderWay(rate float64) int {
	if rate <= 0 {
		return maxOrders
	}
	return int(min(maxOrders, max(minOrders, rate*maxOrderDelay.Seconds()/orderBytes)))
}

// newOutbox returns the queue of the orders of an ownership.
func (c *Conductor) newOutbox() *sender.Queue {
	return sender.New(sender.Options{PerWorker: maxOrdersPerWorker, Total: ordersUnderWay(c.options.LinkRate), MaxAge: maxOrderAge})
}

// queueOrder queues one of the planner's orders.
func (c *Conductor) queueOrder(now time.Time, o planner.Command) {
	if start, ok := c.outbox.Add(now, o); ok {
		c.planner.StartAnswered(now, start.Run, start.WorkerID, planner.Refused, "")
	}
}

// sendOrders sends the queued orders that may be under way, and drops those that have
// waited for too long.
func (c *Conductor) sendOrders(ctx context.Context) {
	now := c.options.Now()
	for _, o := range c.outbox.Expire(now) {
		c.dropOrder(now, o.Command)
	}
	for o, ok := c.outbox.Next(); ok; o, ok = c.outbox.Next() {
		c.sendOrder(ctx, now, o)
	}
}

// dropOrder tells the planner that an order was not sent. It repeats an unconfirmed
// stop by itself.
func (c *Conductor) dropOrder(now time.Time, o planner.Command) {
	c.metrics.orders.WithLabelValues(orderKinds[o.Kind], "not_sent").Inc()
	switch o.Kind {
	case planner.StartRun:
		c.planner.StartAnswered(now, o.Run, o.WorkerID, planner.Refused, "")
	case planner.PaceRun:
		c.planner.PaceUnanswered(o.Run, o.WorkerID)
	}
}

// orderKinds names the kinds of orders in logs and metrics.
var orderKinds = [...]string{planner.StartRun: "start", planner.StopRun: "stop", planner.PaceRun: "pace"}

// NotSentError reports an order that was held up in this process for so long that it
// was not sent.
type NotSentError struct{ Age time.Duration }

func (e *NotSentError) Error() string { return fmt.Sprintf("not sent, decided %s ago", e.Age) }

// sendOrder sends an order, unless the planner no longer wants it.
func (c *Conductor) sendOrder(ctx context.Context, now time.Time, o sender.Order) {
	outbox := c.outbox
	w, ok := c.planner.Worker(o.WorkerID)
	if !ok || o.Kind == planner.StartRun && !c.planner.IsStarting(o.Run, o.WorkerID) {
		outbox.Done(o.WorkerID)
		c.dropOrder(now, o.Command)
		return
	}
	s := c.session(w)
	epoch, fence, timeout := c.epoch, c.fence(w), c.orderTimeout(s)
	deadline, expiry := c.leaseDeadline(now, w, s)
	clock := s.clockRange(now, timeout+startListenTime)
	if o.Kind == planner.StartRun {
		c.planner.StartSent(now, o.Run, w.ID, expiry)
	}
	c.background.Go(func() {
		sent := c.options.Now()
		var err error
		if age := sent.Sub(o.QueuedAt); o.Kind == planner.StartRun && age > 2*maxOrderAge {
			// This instance was suspended or held up since the decision.
			err = &NotSentError{age}
		} else {
			bounded, cancel := context.WithTimeout(ctx, timeout)
			answeredLate := func(err error) {
				took := c.options.Now().Sub(sent)
				c.post(ctx, func() { c.applyLateAnswer(epoch, o.Command, took, err) })
			}
			err = c.callWorker(bounded, w, o.Command, deadline, fence, clock, answeredLate)
			cancel()
		}
		took := c.options.Now().Sub(sent)
		c.post(ctx, func() {
			outbox.Done(o.WorkerID)
			if err != nil {
				c.options.Log.Info().Str("order", orderKinds[o.Kind]).Str("run", o.Run.String()).Str("worker", o.WorkerID).Int64("born", w.Born).Int64("epoch", epoch).Dur("deadline", deadline).Dur("took", took).Bool("stale", s.isStale).Err(err).Msg("conductor: order not done")
			}
			if c.planner != nil && c.epoch == epoch {
				if s.isStale {
					c.settleStart(c.options.Now(), o.Command, err)
				} else {
					c.applyOrderResult(o.Command, s, took, err)
				}
			}
			if c.planner != nil && c.outbox == outbox {
				c.sendOrders(ctx)
			}
		})
	})
}

// orderTimeout returns the timeout of an order to a worker.
func (c *Conductor) orderTimeout(s *session) time.Duration {
	return max(c.orderTrips.Timeout(minOrderTimeout, maxOrderTimeout), s.trips.Timeout(minOrderTimeout, maxOrderTimeout))
}

// measureOrder takes the round trip of an order into account. One without an answer
// shows that answers take longer only if this daemon's link is the cause.
func (c *Conductor) measureOrder(s *session, took time.Duration, err error) {
	var refused *RefusedError
	switch {
	case err == nil || errors.As(err, &refused):
		c.orderTrips.Answered(took)
		s.trips.Answered(took)
	case c.isLinkFull(took):
		c.orderTrips.Unanswered()
	}
}

func (c *Conductor) isLinkFull(last time.Duration) bool {
	return c.options.IsLinkFull != nil && c.options.IsLinkFull(last)
}

// callWorker makes the call of an order.
func (c *Conductor) callWorker(ctx context.Context, w planner.Worker, o planner.Command, deadline time.Duration, fence int64, clock ClockRange, answeredLate func(error)) error {
	switch o.Kind {
	case planner.StartRun:
		return c.options.Workers.Start(ctx, w, StartOrder{
			Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint, Deadline: deadline, Fence: fence, Clock: clock,
			Listen: startListenTime, AnsweredLate: answeredLate,
		})
	case planner.StopRun:
		return c.options.Workers.Stop(ctx, w, StopOrder{o.Run, fence})
	default:
		return c.options.Workers.Pace(ctx, w, PaceOrder{o.Run, o.Percent, fence})
	}
}

// fence returns the fence of the calls to a worker.
func (c *Conductor) fence(w planner.Worker) int64 { return lowestFence(c.epoch) + w.FenceOffset }

// applyOrderResult applies the answer to an order.
func (c *Conductor) applyOrderResult(o planner.Command, s *session, took time.Duration, err error) {
	now := c.options.Now()
	var unsent *NotSentError
	if errors.As(err, &unsent) {
		c.dropOrder(now, o)
		return
	}
	kind := orderKinds[o.Kind]
	var refused *RefusedError
	var restarted *RestartedError
	outcome := "done"
	isRefused := errors.As(err, &refused)
	switch {
	case isRefused:
		outcome = "refused"
	case errors.As(err, &restarted):
		outcome = "misplaced"
	case err != nil:
		outcome = unansweredOutcome(err)
	}
	c.metrics.orders.WithLabelValues(kind, outcome).Inc()
	c.metrics.latency.WithLabelValues(kind).Observe(took.Seconds())
	c.measureOrder(s, took, err)
	if hasNotArrived(err) {
		// Before the worker may be taken for crashed, for which the run is not to blame.
		c.settleStart(now, o, err)
	}
	if !c.applyAnswer(now, o.WorkerID, s, took, err) {
		return
	}
	switch o.Kind {
	case planner.StartRun:
		switch {
		case errors.As(err, &restarted):
			// The clock of the process is not known, nor what lease it has granted. The
			// next poll tells.
			s.clockReceivedAt, s.nextPollAt, s.isPolling = time.Time{}, time.Time{}, false
			c.planner.Leased(o.WorkerID, now.Add(longestLease(c.options.Limits.MaxLease)))
			c.planner.StartAnswered(now, o.Run, o.WorkerID, planner.Misplaced, err.Error())
		case isRefused:
			c.planner.StartAnswered(now, o.Run, o.WorkerID, planner.Refused, refused.Reason)
		case hasNotArrived(err):
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
func (c *Conductor) applyAnswer(now time.Time, workerID string, s *session, took time.Duration, err error) bool {
	var fenced *FencedError
	var other *OtherProcessError
	var refused *RefusedError
	var disconnected *DisconnectedError
	switch {
	case errors.As(err, &fenced):
		c.loseOwnership("worker " + workerID + " has seen a higher fence")
		return false
	case errors.As(err, &other):
		c.endSession(workerID, s)
		c.planner.OtherProcessAnswered(workerID)
		return false
	case err == nil || errors.As(err, &refused):
		s.answeredAt = now
		c.planner.Answered(now, workerID)
	case errors.As(err, &disconnected):
		c.planner.Disconnected(now, workerID)
	case now.Sub(s.answeredAt) < maxBlamelessTime && c.isLinkFull(took):
		// The call or its answer may wait for this daemon's own link.
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
	slack := max(minPollSlack, c.orderTimeout(s))
	deadline, expiry := c.leaseDeadline(now, w, s)
	if contact.IsFailing {
		deadline, expiry = 0, time.Time{}
	}
	c.planner.Leased(w.ID, expiry)
	o := PollOrder{Fence: c.fence(w), Acknowledge: contact.Acknowledge, Deadline: deadline, Wait: pollWait}
	if s.clockReceivedAt.IsZero() || contact.IsContested || contact.IsFailing || contact.MayHoldUnknownLease {
		// The first poll returns the worker's clock, which leases need. That of
		// a contested worker, or of one that didn't answer, tells which process
		// has its address. No task starts on a new process before its answer.
		o.Wait = 0
	}
	post := func(answer PollAnswer, err error) {
		c.post(ctx, func() {
			if err != nil {
				c.options.Log.Info().Str("worker", w.ID).Int64("born", w.Born).Int64("epoch", epoch).Dur("deadline", o.Deadline).Uint64("acknowledged", answer.Acknowledged).Bool("stale", s.isStale).Err(err).Msg("conductor: poll not answered")
			}
			if s.isStale || c.planner == nil || c.epoch != epoch {
				return
			}
			s.isPolling = false
			answer.FenceOffset = w.FenceOffset
			if err == nil && contact.MayHoldUnknownLease {
				c.planner.Leased(w.ID, answer.Received.Add(longestLease(c.options.Limits.MaxLease)))
			}
			c.applyPollResult(w, s, answer, err)
		})
	}
	c.background.Go(func() {
		if o.Acknowledge > 0 && c.options.Now().After(contact.AcknowledgeUntil) {
			// This instance was held up since the plan.
			o.Acknowledge = 0
		}
		if o.Acknowledge == 0 && contact.Committed > 0 {
			c.pollAndAcknowledge(ctx, w, o, slack, contact.Committed, post)
			return
		}
		post(c.poll(ctx, w, o, slack))
	})
}

// pollAndAcknowledge acknowledges ends to a process that has just answered a poll.
// If that poll shows another process, has no answer or took too long, its outcome
// is posted alone, and a later poll acknowledges the ends.
func (c *Conductor) pollAndAcknowledge(ctx context.Context, w planner.Worker, o PollOrder, slack time.Duration, committed uint64, post func(PollAnswer, error)) {
	check := o
	check.Wait = 0
	answer, err := c.poll(ctx, w, check, slack)
	if err != nil || planner.IsOtherProcess(w.Born, answer.ProcessStart) || c.options.Now().After(answer.Sent.Add(planner.AcknowledgeWindow)) {
		post(answer, err)
		return
	}
	o.Acknowledge = committed
	post(c.poll(ctx, w, o, slack))
}

// poll polls a worker.
func (c *Conductor) poll(ctx context.Context, w planner.Worker, o PollOrder, slack time.Duration) (PollAnswer, error) {
	bounded, cancel := context.WithTimeout(ctx, o.Wait+slack)
	defer cancel()
	sent := c.options.Now()
	answer, err := c.options.Workers.Poll(bounded, w, o)
	answer.Sent, answer.Received, answer.Acknowledged = sent, c.options.Now(), o.Acknowledge
	return answer, err
}

// applyPollResult applies the answer to a poll.
func (c *Conductor) applyPollResult(w planner.Worker, s *session, a PollAnswer, err error) {
	now := c.options.Now()
	if !c.applyAnswer(now, w.ID, s, a.Received.Sub(a.Sent), err) {
		return
	}
	if err != nil {
		s.nextPollAt = now.Add(pollRetryDelay)
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

// countJob counts a job of an organisation that is new to the shard.
func (c *Conductor) countJob(organisation string, isWithin bool) {
	c.metrics.organisationJobs.WithLabelValues(organisation, map[bool]string{true: "within", false: "beyond"}[isWithin]).Inc()
}
