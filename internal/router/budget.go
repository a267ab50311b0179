package router

import "sync/atomic"

const (
	// Each request earns a tenth of a further attempt, so that retries and
	// hedges stay at 10% of the traffic.
	earned      = 1
	attemptCost = 10
	// A router starts with 10 attempts and saves at most 100, so that a few
	// requests after a quiet time can be retried and a long quiet time does
	// not pay for a burst.
	initialBudget = 10 * attemptCost
	maxBudget     = 100 * attemptCost
)

// budget limits retries and hedges to a share of the traffic.
type budget struct{ tokens atomic.Int64 }

func newBudget() *budget {
	b := &budget{}
	b.tokens.Store(initialBudget)
	return b
}

// earn counts one request of a caller.
func (b *budget) earn() {
	if b.tokens.Load() < maxBudget {
		b.tokens.Add(earned)
	}
}

// take reports whether a further attempt may be made.
func (b *budget) take() bool {
	for {
		n := b.tokens.Load()
		if n < attemptCost {
			return false
		}
		if b.tokens.CompareAndSwap(n, n-attemptCost) {
			return true
		}
	}
}
