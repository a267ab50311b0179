// Package waiter waits for a time or the end of a context.
package waiter

import (
	"context"
	"time"
)

// Wait waits for d and reports whether ctx still holds.
func Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
