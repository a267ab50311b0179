package router

import "sync/atomic"

const (
	// Each request adds a tenth of the cost of a retry or hedge, which limits
	// retries and hedges to 10% of the traffic.
	tokensPerRequest = 1
	tokensPerAttempt = 10
	// The budget starts with 10 attempts and holds at most 100, so that a few
	// requests can be retried after a quiet period, but a long quiet period
	// does not allow a burst of retries.
	initialBudget = 10 * tokensPerAttempt
	maxBudget     = 100 * tokensPerAttempt
)

// retryBudget is a token bucket that limits retries and hedges to a share of
// the traffic.
type retryBudget struct{ tokens atomic.Int64 }

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.tokens.Store(initialBudget)
	return b
}

// deposit adds the tokens of one request of a caller.
func (b *retryBudget) deposit() {
	if b.tokens.Load() < maxBudget {
		b.tokens.Add(tokensPerRequest)
	}
}

// tryWithdraw takes the tokens of one retry or hedge, and reports whether there
// were enough.
func (b *retryBudget) tryWithdraw() bool {
	for {
		n := b.tokens.Load()
		if n < tokensPerAttempt {
			return false
		}
		if b.tokens.CompareAndSwap(n, n-tokensPerAttempt) {
			return true
		}
	}
}
