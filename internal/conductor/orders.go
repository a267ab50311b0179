package conductor

import (
	"context"
	"fmt"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// In the orders below, Epoch is the fencing token and Deadline is the end of a
// lease on the worker's clock; zero leaves the lease as it is.
type (
	// StartOrder starts a run.
	StartOrder struct {
		Run        planner.RunID
		Payload    string
		Checkpoint string
		Deadline   time.Duration
		Epoch      int64
	}
	// StopOrder stops a run, now or before it begins.
	StopOrder struct {
		Run   planner.RunID
		Epoch int64
	}
	// PaceOrder sets the share at which a run works.
	PaceOrder struct {
		Run     planner.RunID
		Percent int
		Epoch   int64
	}
	// LookOrder asks what a worker runs and renews its leases.
	LookOrder struct {
		Epoch       int64
		Acknowledge uint64
		Deadline    time.Duration
		// Wait is how long the worker may wait for an end before it answers.
		Wait time.Duration
	}
)

// LookAnswer is what a worker lists, with its clock.
type LookAnswer struct {
	planner.PollResult
	// Clock is the worker's clock, which starts with its process.
	Clock time.Duration
	// Born is the start of the worker's process, zero if it doesn't say.
	Born int64
}

// WorkerCalls are the calls to a worker. Each is safe for concurrent use. Errors
// are RefusedError where the worker answered that it did nothing,
// FencedError, OtherProcessError, and any other error where nothing is known.
type WorkerCalls struct {
	Start func(ctx context.Context, w planner.Worker, o StartOrder) error
	Stop  func(ctx context.Context, w planner.Worker, o StopOrder) error
	Pace  func(ctx context.Context, w planner.Worker, o PaceOrder) error
	Look  func(ctx context.Context, w planner.Worker, o LookOrder) (LookAnswer, error)
}

// RefusedError reports an order that the worker refused without doing anything.
type RefusedError struct {
	Reason string
	// IsSick is set when the refusal tells that the worker is not well.
	IsSick bool
}

func (e *RefusedError) Error() string { return "worker refused: " + e.Reason }

// FencedError reports an order with an epoch lower than the worker has seen.
type FencedError struct{ Worker string }

func (e *FencedError) Error() string {
	return fmt.Sprintf("worker %s has seen a higher epoch", e.Worker)
}

// OtherProcessError reports that another process than the intended one answered.
type OtherProcessError struct{ Worker string }

func (e *OtherProcessError) Error() string {
	return fmt.Sprintf("another process answered for worker %s", e.Worker)
}
