package conductor

import (
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// applyLateAnswer applies the answer to a start that has come after the start was taken for
// unanswered.
func (c *Conductor) applyLateAnswer(epoch int64, o planner.Command, took time.Duration, err error) {
	if c.planner == nil || c.epoch != epoch {
		return
	}
	outcome := "never_answered"
	if c.settleStart(c.options.Now(), o, err) {
		outcome = "answered_late"
	}
	c.metrics.orders.WithLabelValues(orderKinds[o.Kind], outcome).Inc()
	c.options.Log.Info().Str("run", o.Run.String()).Str("worker", o.WorkerID).Str("outcome", outcome).Dur("took", took).Err(err).Msg("conductor: unanswered start")
}

// settleStart tells the planner that a start can't be carried out any more, and reports
// whether its outcome shows that.
func (c *Conductor) settleStart(now time.Time, o planner.Command, err error) bool {
	if o.Kind != planner.StartRun {
		return false
	}
	var refused *RefusedError
	var restarted *RestartedError
	switch {
	case err == nil:
		c.planner.StartAnswered(now, o.Run, o.WorkerID, planner.Started, "")
	case errors.As(err, &restarted):
		c.planner.StartAnswered(now, o.Run, o.WorkerID, planner.Misplaced, err.Error())
	case errors.As(err, &refused):
		c.planner.StartAnswered(now, o.Run, o.WorkerID, planner.Refused, refused.Reason)
	case hasNotArrived(err):
		c.planner.StartAnswered(now, o.Run, o.WorkerID, planner.Refused, "")
	default:
		return false
	}
	return true
}

// hasNotArrived reports whether the outcome of an order shows that its worker didn't get it:
// nothing was sent, or another process has refused it.
func hasNotArrived(err error) bool {
	var held *NotSentError
	var unsent *UnsentError
	var other *OtherProcessError
	return errors.As(err, &held) || errors.As(err, &unsent) || errors.As(err, &other)
}

// unansweredOutcome names the outcome of an order that its worker has not answered.
func unansweredOutcome(err error) string {
	var unsent *UnsentError
	var other *OtherProcessError
	var disconnected *DisconnectedError
	switch {
	case errors.As(err, &unsent):
		return "not_sent"
	case errors.As(err, &other):
		return "other_process"
	case errors.As(err, &disconnected):
		return "disconnected"
	default:
		return "unanswered"
	}
}
