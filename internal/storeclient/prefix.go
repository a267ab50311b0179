package storeclient

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// The types in this file are for transactions on several keys, and for lists
// and watches of key prefixes. A daemon on the platform uses a PrefixStore.

// Expectation is a condition of a transaction: the revision of an entry.
type Expectation struct {
	Key string
	// Revision is the entry's expected revision, zero for no entry.
	Revision uint64
}

// Write is one entry that a transaction writes.
type Write struct {
	Key   string
	Value []byte
	// Lease removes the entry when it expires or is revoked; zero for none.
	Lease LeaseID
}

// Transaction changes several entries atomically, provided that all of its
// conditions hold.
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
	// Current has the existing entries among those that the conditions name.
	Current []Entry
}

func (e *ExpectationError) Error() string {
	return fmt.Sprintf("store: a condition of the transaction does not hold; %d of the entries that it names exist", len(e.Current))
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

// IsForGood reports whether the status blames the call, so that the store would refuse the
// same call again.
func (e *RefusedError) IsForGood() bool {
	return e.Status >= 400 && e.Status < 500 && e.Status != http.StatusTooManyRequests && e.Status != http.StatusRequestTimeout
}

// Event is a write or the removal of an entry.
type Event struct {
	Entry
	Removed bool
}

// PrefixStore is a store with transactions and prefixes. Each function is safe
// for concurrent use. A call returns a NotFoundError, ExpectationError,
// LeaseError, CompactedError or RefusedError if it had no effect, a LimitError
// if it was not sent, and an UnavailableError if its effect is not known.
type PrefixStore struct {
	// Get returns the entry at key.
	Get func(ctx context.Context, key string) (Entry, error)
	// Range returns the entries under a prefix, and a revision: the list has
	// every change up to it, and may have later ones.
	Range func(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits up to wait for changes under a prefix after a revision. It
	// returns the changes and the revision to pass to the next Watch.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Changes returns the changes under a prefix after a revision without waiting for
	// any, and the revision up to which the list is complete. It may be repeated while
	// it isn't answered, like a Range.
	Changes func(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error)
	// Transact executes a transaction and returns its revision.
	Transact func(ctx context.Context, t Transaction) (uint64, error)
	// Grant creates a lease that expires when it is not kept alive for ttl.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its ttl.
	KeepAlive func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its entries.
	Revoke func(ctx context.Context, id LeaseID) error
}
