package conductor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/planner"
)

const (
	// orderTimeout bounds a start, stop or pace. A worker answers within
	// milliseconds; an order that takes longer may be carried out much later.
	orderTimeout = 400 * time.Millisecond
	// lookWait is how long a worker waits for an end before it answers a look.
	lookWait = 700 * time.Millisecond
	// lookSlack is how much later a look may be answered.
	lookSlack = 500 * time.Millisecond
	// lookRetry spaces looks at a worker that doesn't answer.
	lookRetry = 200 * time.Millisecond
	// lookPartial is how many ends a worker lists at once.
	lookPartial = 500
)

// session is what an owner knows of the calls to one worker.
type session struct {
	looking bool
	lookAt  time.Time
	// clock is the worker's clock as an answer gave it, which was received at
	// clockAt; the worker's clock is then a little further.
	clock   time.Duration
	clockAt time.Time
	// stale is set when the ownership has ended or the worker's process was
	// replaced; late answers are then ignored.
	stale bool
}

// deadline returns a lease's end on the worker's clock, zero if the worker's
// clock is unknown or this owner may not give leases, and the time at which it
// has lapsed for certain.
func (c *Conductor) deadline(now time.Time, s *session) (time.Duration, time.Time) {
	if s.clockAt.IsZero() || !c.isProven(now) {
		return 0, time.Time{}
	}
	passed := now.Sub(s.clockAt)
	lease := c.options.Limits.MaxLease
	slowest := time.Duration(float64(lease+time.Duration(clockError*float64(passed))) / (1 - clockError))
	return s.clock + passed + lease, now.Add(slowest)
}

func (c *Conductor) session(w planner.Worker) *session {
	s := c.sessions[w.ID]
	if s == nil {
		s = &session{}
		c.sessions[w.ID] = s
	}
	return s
}

// order carries out one of the planner's orders.
func (c *Conductor) order(ctx context.Context, now time.Time, o planner.Command) {
	w, ok := c.planner.Worker(o.WorkerID)
	if !ok {
		return
	}
	s := c.session(w)
	epoch := c.epoch
	deadline, end := c.deadline(now, s)
	if o.Kind == planner.StartRun {
		c.planner.Leased(w.ID, end)
	}
	kind := [...]string{"start", "stop", "pace"}[o.Kind]
	c.calls.Submit(func() {
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
			if !s.stale && c.planner != nil && c.epoch == epoch {
				c.ordered(o, s, took, kind, err)
			}
		})
	})
}

// ordered applies the answer to an order.
func (c *Conductor) ordered(o planner.Command, s *session, took time.Duration, kind string, err error) {
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
	if !c.answered(now, o.WorkerID, s, err) {
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
		// An unhealthy worker refuses stops too, and may still carry out a start.
		if err == nil || isRefused && !refused.IsSick {
			c.planner.StopAnswered(now, o.Run, o.WorkerID)
		}
	case planner.PaceRun:
		if err != nil && !isRefused {
			c.planner.PaceUnanswered(o.Run, o.WorkerID)
		}
	}
}

// answered applies what an answer tells about the worker. It reports false
// where the answer ends the session or the ownership.
func (c *Conductor) answered(now time.Time, workerID string, s *session, err error) bool {
	var fenced *FencedError
	var other *OtherProcessError
	var refused *RefusedError
	switch {
	case errors.As(err, &fenced):
		c.lose("worker " + workerID + " has seen a higher epoch")
		return false
	case errors.As(err, &other):
		s.stale = true
		delete(c.sessions, workerID)
		c.planner.Restarted(workerID)
		return false
	case err == nil || errors.As(err, &refused):
		c.planner.Answered(now, workerID)
	default:
		c.planner.Unanswered(now, workerID)
	}
	return true
}

// look asks the workers with runs what they run.
func (c *Conductor) look(ctx context.Context, now time.Time) {
	for _, contact := range c.planner.Contacts(now) {
		s := c.session(contact.Worker)
		if s.looking || !contact.NeedsPoll || now.Before(s.lookAt) {
			continue
		}
		s.looking = true
		c.lookAt(ctx, now, contact, s)
	}
}

func (c *Conductor) lookAt(ctx context.Context, now time.Time, contact planner.Contact, s *session) {
	w, epoch := contact.Worker, c.epoch
	deadline, end := c.deadline(now, s)
	if contact.IsFailing {
		deadline, end = 0, time.Time{}
	}
	c.planner.Leased(w.ID, end)
	o := LookOrder{Epoch: epoch, Acknowledge: contact.Acknowledge, Deadline: deadline, Wait: lookWait}
	if s.clockAt.IsZero() {
		// The first look brings the worker's clock, which leases need.
		o.Wait = 0
	}
	c.background.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, o.Wait+lookSlack)
		defer cancel()
		sent := c.options.Now()
		answer, err := c.options.Workers.Look(bounded, w, o)
		answer.Sent = sent
		received := c.options.Now()
		c.post(ctx, func() {
			if s.stale || c.planner == nil || c.epoch != epoch {
				return
			}
			s.looking = false
			c.looked(w, s, answer, received, err)
		})
	})
}

func (c *Conductor) looked(w planner.Worker, s *session, a LookAnswer, received time.Time, err error) {
	now := c.options.Now()
	if err == nil && a.Born != 0 && w.Born != 0 && a.Born != w.Born {
		err = &OtherProcessError{w.ID}
	}
	if !c.answered(now, w.ID, s, err) {
		return
	}
	if err != nil {
		s.lookAt = now.Add(lookRetry)
		c.options.Log.Info().Str("worker", w.ID).Int64("epoch", c.epoch).Err(err).Msg("conductor: look not answered")
		return
	}
	s.clock, s.clockAt = a.Clock, received
	a.IsPartial = len(a.Ended) >= lookPartial
	c.planner.PollAnswered(now, w.ID, a.PollResult)
}

// note logs a decision of the planner.
func (c *Conductor) note(d planner.Decision) {
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
