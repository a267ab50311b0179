package storeclient

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// TestClaimsLeaveOtherClassesTheirShare guards against ownership and ledger
// calls that wait or fail because claims have used up the store's rate.
func TestClaimsLeaveOtherClassesTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := Limit(Store{Get: func(context.Context, string) (Entry, error) { return Entry{}, nil }}, DefaultRates)
		var claims sync.WaitGroup
		var refused atomic.Int64
		for range 500 {
			claims.Go(func() {
				for range 100 {
					var limited *LimitError
					if _, err := s.Get(WithClass(context.Background(), ClassClaim), "claim/x"); errors.As(err, &limited) {
						refused.Add(1)
					}
				}
			})
		}
		for range 40 {
			for _, class := range []Class{ClassOwnership, ClassLedger} {
				start := time.Now()
				_, err := s.Get(WithClass(context.Background(), class), "x")
				c.Assert(err, quicktest.IsNil)
				c.Assert(time.Since(start), quicktest.Equals, time.Duration(0))
			}
			time.Sleep(250 * time.Millisecond)
		}
		claims.Wait()
		c.Assert(refused.Load() > 0, quicktest.IsTrue)
	})
}
