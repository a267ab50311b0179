package limiter

import "sync/atomic"

const (
	// smallTake is the most bytes that may be taken from the reserved part of a budget,
	// so that small requests are still admitted when large bodies have used up the rest.
	smallTake = 64 << 10
	// reservedShare is the part of a budget that is reserved for small requests.
	reservedShare = 8
)

// Budget admits bytes of requests under one bound. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Take takes n bytes and reports whether they were available. The caller returns them
// with Return.
func (b *Budget) Take(n int64) bool {
	limit := b.limit
	if n > smallTake {
		limit -= limit / reservedShare
	}
	if b.used.Add(n) > limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Return returns n bytes that were taken.
func (b *Budget) Return(n int64) { b.used.Add(-n) }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }
