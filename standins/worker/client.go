package worker

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
)

// Link is the way from one daemon to one worker within one process.
type Link struct {
	// Down loses requests.
	Down atomic.Bool
	// Mute loses answers; the requests are carried out.
	Mute atomic.Bool
}

// callTimeout is how long a caller waits for a lost answer.
const callTimeout = time.Second

// Client returns the adapter to the worker over a link.
func (w *Worker) Client(l *Link) dispatcher.Worker {
	return dispatcher.Worker{
		Renew: func(ctx context.Context, r dispatcher.RenewRequest) (dispatcher.Status, error) {
			return send(ctx, l, func() (dispatcher.Status, error) { return w.Renew(r) })
		},
		Start: func(ctx context.Context, r dispatcher.StartRequest) error {
			return sendPlain(ctx, l, func() error { return w.Start(r) })
		},
		Stop: func(ctx context.Context, r dispatcher.AttemptRequest) error {
			return sendPlain(ctx, l, func() error { return w.Stop(r) })
		},
		Checkpoint: func(ctx context.Context, r dispatcher.AttemptRequest) error {
			return sendPlain(ctx, l, func() error { return w.Checkpoint(r) })
		},
		Throttle: func(ctx context.Context, r dispatcher.AttemptRequest) error {
			return sendPlain(ctx, l, func() error { return w.Throttle(r) })
		},
	}
}

func sendPlain(ctx context.Context, l *Link, f func() error) error {
	_, err := send(ctx, l, func() (struct{}, error) { return struct{}{}, f() })
	return err
}

func send[T any](ctx context.Context, l *Link, f func() (T, error)) (T, error) {
	var none T
	if !l.Down.Load() {
		v, err := f()
		var refused *RefusedError
		switch {
		case l.Mute.Load():
		case errors.As(err, &refused):
			return none, &dispatcher.RefusedError{Reason: refused.Reason, Epoch: refused.Epoch}
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
	return none, &dispatcher.UnreachableError{Worker: netip.AddrPort{}, Err: errors.New("injected")}
}
