// Package storeclient is the client of the platform's key-value service, with a
// rate limit for each class of call.
package storeclient

import (
	"context"
	"fmt"
	"time"
)

// LeaseID identifies a lease of the store; zero is no lease.
type LeaseID uint64

// Entry is a value with the revision at which it was written.
type Entry struct {
	Key   string
	Value []byte
	// Revision increases over the whole store: no two writes have the same one.
	Revision uint64
	// Created is the revision of the write that created the entry; zero if the
	// store does not tell it.
	Created uint64
}

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1_000_000

// Store is the interface of the platform's key-value service. Each function is
// safe for concurrent use.
type Store struct {
	// Get returns the entry at key, or a NotFoundError.
	Get func(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the entry's revision is expected, zero for
	// no entry, and returns the new revision. If a lease is given, the entry is
	// removed when the lease expires or is revoked. The error is a ConflictError
	// if the revision differs.
	CompareAndSwap func(ctx context.Context, key string, value []byte, expected uint64, lease LeaseID) (uint64, error)
	// Watch waits for an entry with a revision above after and returns it, or
	// returns the error of ctx if ctx ends first.
	Watch func(ctx context.Context, key string, after uint64) (Entry, error)
	// Grant creates a lease that expires when it is not kept alive for ttl.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its ttl, or returns a LeaseError.
	KeepAlive func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its entries.
	Revoke func(ctx context.Context, id LeaseID) error
}

// NotFoundError reports a key with no entry.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("store: no entry at %s", e.Key) }

// ConflictError reports a compare-and-swap that had no effect.
type ConflictError struct {
	Key string
	// Current is the entry's revision, zero for none.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s is at revision %d", e.Key, e.Current)
}

// LeaseError reports a lease that has expired or was revoked.
type LeaseError struct{ ID LeaseID }

func (e *LeaseError) Error() string { return fmt.Sprintf("store: lease %d has ended", e.ID) }

// LimitError reports a call that was not made because its class had reached its
// rate limit.
type LimitError struct{ Class Class }

func (e *LimitError) Error() string {
	return fmt.Sprintf("store: rate limit of class %s reached", e.Class)
}

// UnavailableError reports a call that got no response, or a response with a
// server error.
type UnavailableError struct {
	Op  string
	Key string
	// MayHaveApplied is set when the call may have taken effect.
	MayHaveApplied bool
	Err            error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s %s: unavailable: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
