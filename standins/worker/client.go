package worker

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
)

// Link is a simulated network link from a daemon to a worker in one process.
type Link struct {
	// DropRequests loses requests before they reach the worker.
	DropRequests atomic.Bool
	// DropResponses loses responses after the worker has carried out the requests.
	DropResponses atomic.Bool
}

// callTimeout is how long a caller waits for the response to a dropped call.
const callTimeout = time.Second

// Client returns a client that calls the worker over l.
func (w *Worker) Client(l *Link) dispatcher.Worker {
	return dispatcher.Worker{
		Renew: func(ctx context.Context, r dispatcher.RenewRequest) (dispatcher.Status, error) {
			return send(ctx, l, func() (dispatcher.Status, error) { return w.Renew(r) })
		},
		Start: func(ctx context.Context, r dispatcher.StartRequest) error {
			return sendWithoutResult(ctx, l, func() error { return w.Start(r) })
		},
		Stop: func(ctx context.Context, r dispatcher.AttemptRequest) error {
			return sendWithoutResult(ctx, l, func() error { return w.Stop(r) })
		},
		Checkpoint: func(ctx context.Context, r dispatcher.AttemptRequest) error {
			return sendWithoutResult(ctx, l, func() error { return w.Checkpoint(r) })
		},
		Throttle: func(ctx context.Context, r dispatcher.AttemptRequest) error {
			return sendWithoutResult(ctx, l, func() error { return w.Throttle(r) })
		},
	}
}

// sendWithoutResult is send for calls that return only an error.
func sendWithoutResult(ctx context.Context, l *Link, f func() error) error {
	_, err := send(ctx, l, func() (struct{}, error) { return struct{}{}, f() })
	return err
}

// send calls f, subject to the faults of l, and converts a RefusedError or an
// OtherProcessError into that of the dispatcher. For a dropped request or
// response it returns an UnreachableError after callTimeout or at the end of ctx.
func send[T any](ctx context.Context, l *Link, f func() (T, error)) (T, error) {
	var zero T
	if !l.DropRequests.Load() {
		v, err := f()
		var refused *RefusedError
		var other *OtherProcessError
		switch {
		case l.DropResponses.Load():
		case errors.As(err, &refused):
			return zero, &dispatcher.RefusedError{Reason: refused.Reason, Epoch: refused.Epoch}
		case errors.As(err, &other):
			return zero, &dispatcher.OtherProcessError{Process: other.Process}
		default:
			return v, err
		}
	}
	t := time.NewTimer(callTimeout)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return zero, &dispatcher.UnreachableError{Worker: netip.AddrPort{}, Err: errors.New("injected fault")}
}
