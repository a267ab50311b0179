package storeclient

import (
	"context"
	"fmt"
	"time"
)

// The platform's store also changes several keys at once and lists and watches
// prefixes. The types here serve that; PrefixStore is what a daemon on the
// platform uses.

// Expectation is a condition of a transaction.
type Expectation struct {
	Key string
	// Revision is the entry's revision, zero for no entry.
	Revision uint64
}

// Write is one entry that a transaction writes.
type Write struct {
	Key   string
	Value []byte
	// Lease ends the entry with it; zero for none.
	Lease LeaseID
}

// Transaction is a change of several entries that is made whole or not at all.
type Transaction struct {
	Expect []Expectation
	Writes []Write
	Remove []string
}

// MaxTransactionEntries bounds the conditions, writes and removals of one
// transaction together.
const MaxTransactionEntries = 32

// ExpectationError reports a transaction that had no effect because a
// condition didn't hold.
type ExpectationError struct {
	// Current has the entries of the conditions that exist.
	Current []Entry
}

func (e *ExpectationError) Error() string {
	return fmt.Sprintf("store: a condition of the transaction does not hold, %d of its entries exist", len(e.Current))
}

// Revision returns the current revision of a key, zero for no entry.
func (e *ExpectationError) Revision(key string) uint64 {
	for _, c := range e.Current {
		if c.Key == key {
			return c.Revision
		}
	}
	return 0
}

// CompactedError reports a watch from a revision that the store's history no
// longer has.
type CompactedError struct{ Prefix string }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: the history of %s is no longer available", e.Prefix)
}

// RefusedError reports a call that the store refused without doing anything.
type RefusedError struct {
	Op     string
	Status int
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("store: %s refused with status %d", e.Op, e.Status)
}

// Event is a change of an entry.
type Event struct {
	Entry
	Removed bool
}

// PrefixStore is a store with transactions and prefixes. Each function is safe
// for concurrent use. Errors are NotFoundError, ExpectationError, LeaseError,
// CompactedError, RefusedError where nothing was done, LimitError where nothing
// was sent, and UnavailableError where that is not known.
type PrefixStore struct {
	// Get returns the entry at key.
	Get func(ctx context.Context, key string) (Entry, error)
	// Range returns the entries under a prefix and a revision that the list is
	// at least as new as.
	Range func(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits up to wait for changes under a prefix after a revision. It
	// returns them and the revision to go on from.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Transact makes a transaction and returns its revision.
	Transact func(ctx context.Context, t Transaction) (uint64, error)
	// Grant makes a lease that ends when it is not kept alive for ttl.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its ttl.
	KeepAlive func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its entries.
	Revoke func(ctx context.Context, id LeaseID) error
}
