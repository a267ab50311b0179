package storeclient

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Class is a group of store calls that share a rate limit.
type Class int

// The classes of store calls.
const (
	ClassRead Class = iota
	ClassConfig
	ClassOwnership
	ClassLedger
	ClassClaim
	numClasses
)

var classNames = [numClasses]string{"read", "config", "ownership", "ledger", "claim"}

func (c Class) String() string { return classNames[c] }

type classKey struct{}

// WithClass returns a context whose store calls count against class c.
func WithClass(ctx context.Context, c Class) context.Context {
	return context.WithValue(ctx, classKey{}, c)
}

// ClassOf returns the class of a context's store calls, ClassRead if none was
// given.
func ClassOf(ctx context.Context) Class {
	c, _ := ctx.Value(classKey{}).(Class)
	return c
}

// Rate is the rate limit of one class.
type Rate struct {
	// PerSecond is the sustained number of calls a second.
	PerSecond float64
	// Burst is the number of calls that may be made at once.
	Burst int
}

// Rates has the rate limit of one daemon for each class.
type Rates map[Class]Rate

// DefaultRates divide the store's capacity, several hundred writes and about
// 2,000 reads a second, among 9 daemons. Ownership and ledger calls have limits
// of their own, so that claims can't use them up. The burst of the ledger lets
// a new owner read a snapshot and a whole ring of 1,024 slots without waiting.
var DefaultRates = Rates{
	ClassRead: {100, 100}, ClassConfig: {10, 20}, ClassOwnership: {10, 20}, ClassLedger: {20, 1200}, ClassClaim: {40, 40},
}

// maxLimitWait is how long a call waits for the rate limit of its class.
const maxLimitWait = 200 * time.Millisecond

// Limit returns s with a rate limit for each class. A call over the limit waits
// until maxLimitWait has passed or its context ends, and then fails with a
// LimitError, before anything is sent.
func Limit(s Store, r Rates) Store {
	var limiters [numClasses]*rate.Limiter
	for c := range limiters {
		limiters[c] = rate.NewLimiter(rate.Limit(r[Class(c)].PerSecond), max(1, r[Class(c)].Burst))
	}
	wait := func(ctx context.Context) error {
		c := ClassOf(ctx)
		waitCtx, cancel := context.WithTimeout(ctx, maxLimitWait)
		defer cancel()
		if err := limiters[c].Wait(waitCtx); err != nil {
			return &LimitError{c}
		}
		return nil
	}
	limited := s
	limited.Get = func(ctx context.Context, key string) (Entry, error) {
		if err := wait(ctx); err != nil {
			return Entry{}, err
		}
		return s.Get(ctx, key)
	}
	limited.CompareAndSwap = func(ctx context.Context, key string, value []byte, expected uint64, lease LeaseID) (uint64, error) {
		if err := wait(ctx); err != nil {
			return 0, err
		}
		return s.CompareAndSwap(ctx, key, value, expected, lease)
	}
	limited.Watch = func(ctx context.Context, key string, after uint64) (Entry, error) {
		if err := wait(ctx); err != nil {
			return Entry{}, err
		}
		return s.Watch(ctx, key, after)
	}
	limited.Grant = func(ctx context.Context, ttl time.Duration) (LeaseID, error) {
		if err := wait(ctx); err != nil {
			return 0, err
		}
		return s.Grant(ctx, ttl)
	}
	limited.KeepAlive = func(ctx context.Context, id LeaseID) error {
		if err := wait(ctx); err != nil {
			return err
		}
		return s.KeepAlive(ctx, id)
	}
	limited.Revoke = func(ctx context.Context, id LeaseID) error {
		if err := wait(ctx); err != nil {
			return err
		}
		return s.Revoke(ctx, id)
	}
	return limited
}
