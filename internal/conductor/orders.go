package conductor

import (
	"context"
	"fmt"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// These are the orders to workers. Fence is their fencing token. Deadline is when the
// run's lease ends on the worker's clock; zero leaves the lease unchanged.
type (
	// StartOrder starts a run.
	StartOrder struct {
		Run        planner.RunID
		Payload    string
		Checkpoint string
		Deadline   time.Duration
		Fence      int64
		// Clock is that of the process which the order is meant for.
		Clock ClockRange
		// Listen is how long the answer is awaited beyond the time that the caller waits.
		// AnsweredLate, if not nil, gets the outcome of a call that the caller has ceased
		// to wait for. It is called once at most, from another goroutine.
		Listen       time.Duration
		AnsweredLate func(error)
	}
	// StopOrder stops a run, or prevents its start if it has not started yet.
	StopOrder struct {
		Run   planner.RunID
		Fence int64
	}
	// PaceOrder sets the percentage of its full rate at which a run works.
	PaceOrder struct {
		Run     planner.RunID
		Percent int
		Fence   int64
	}
	// PollOrder asks a worker for its runs and renews their leases.
	PollOrder struct {
		Fence int64
		// Acknowledge is the number of the last ended run whose effect is
		// committed. The worker need not list that end and earlier ones again.
		Acknowledge uint64
		Deadline    time.Duration
		// Wait is how long the worker may wait for a run to end before it
		// answers.
		Wait time.Duration
	}
)

// ClockRange bounds the time of a worker's clock when it answers; zero if it is not known.
type ClockRange struct{ From, To time.Duration }

// Contains reports whether a time is within the range.
func (r ClockRange) Contains(t time.Duration) bool {
	return r == ClockRange{} || r.From <= t && t <= r.To
}

// PollAnswer lists a worker's runs and gives the time of its clock.
type PollAnswer struct {
	planner.PollResult
	// Clock is the worker's clock, which starts with its process.
	Clock time.Duration
}

// WorkerCalls are the calls to a worker. Each is safe for concurrent use.
// Errors are RefusedError if the worker did nothing, UnsentError, FencedError,
// OtherProcessError, RestartedError, DisconnectedError, or any other error if the
// outcome is unknown.
type WorkerCalls struct {
	Start func(ctx context.Context, w planner.Worker, o StartOrder) error
	Stop  func(ctx context.Context, w planner.Worker, o StopOrder) error
	Pace  func(ctx context.Context, w planner.Worker, o PaceOrder) error
	Poll  func(ctx context.Context, w planner.Worker, o PollOrder) (PollAnswer, error)
}

// RefusedError reports an order that the worker refused without doing anything.
type RefusedError struct {
	Reason string
	// IsUnhealthy is set if the worker refused the order because it is
	// unhealthy.
	IsUnhealthy bool
}

func (e *RefusedError) Error() string { return "worker refused: " + e.Reason }

// UnsentError reports a call of which nothing was sent, because there was no connection to
// the worker.
type UnsentError struct {
	Worker string
	Err    error
}

func (e *UnsentError) Error() string { return "not sent to worker " + e.Worker + ": " + e.Err.Error() }

// Unwrap returns the cause, which may be a DisconnectedError.
func (e *UnsentError) Unwrap() error { return e.Err }

// FencedError reports an order with a fence lower than one the worker has seen.
type FencedError struct{ Worker string }

func (e *FencedError) Error() string {
	return fmt.Sprintf("worker %s has seen a higher fence", e.Worker)
}

// OtherProcessError reports that another process than the intended one answered.
type OtherProcessError struct{ Worker string }

func (e *OtherProcessError) Error() string {
	return fmt.Sprintf("another process answered for worker %s", e.Worker)
}

// RestartedError reports an order that was carried out by a later process with the
// worker's id than the intended one. The clock of that one started at another time.
type RestartedError struct {
	Worker string
	// Clock is the time of the worker's clock in the answer.
	Clock time.Duration
}

func (e *RestartedError) Error() string {
	return fmt.Sprintf("a later process of worker %s answered, its clock is at %s", e.Worker, e.Clock)
}

// DisconnectedError reports a call without an answer whose connection was closed or
// refused at the worker's address. Its outcome is unknown.
type DisconnectedError struct {
	Worker string
	Err    error
}

func (e *DisconnectedError) Error() string { return "worker disconnected: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DisconnectedError) Unwrap() error { return e.Err }
