// Package waiter waits for a duration or the end of a context.
package waiter

import (
	"context"
	"time"
)

// Wait waits for d. It returns false if ctx ends first.
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
