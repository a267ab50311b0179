package storeclient

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Class is a group of store calls with a rate of its own.
type Class int

// The classes of store calls.
const (
	ClassRead Class = iota
	ClassConfig
	ClassOwnership
	ClassLedger
	ClassClaim
	classes
)

var classNames = [classes]string{"read", "config", "ownership", "ledger", "claim"}

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

// Rate bounds the calls of one class.
type Rate struct {
	// PerSecond is the lasting rate.
	PerSecond float64
	// Burst is how many calls may follow each other at once.
	Burst int
}

// Rates gives the rate of one daemon for each class.
type Rates map[Class]Rate

// DefaultRates share the store's several hundred writes and about 2,000 reads
// a second among 9 daemons; ownership and ledger have their own shares, so
// that claims can't use them up. The burst of the ledger lets a new owner read
// a snapshot and a whole ring of 1,024 slots without a wait.
var DefaultRates = Rates{
	ClassRead: {100, 100}, ClassConfig: {10, 20}, ClassOwnership: {10, 20}, ClassLedger: {20, 1200}, ClassClaim: {40, 40},
}

// limitWait is the longest that a call waits for its class's rate.
const limitWait = 200 * time.Millisecond

// Limit returns s with a rate limit for each class. A call over its rate waits
// a short time and then fails with a LimitError, before anything is sent.
func Limit(s Store, r Rates) Store {
	var limiters [classes]*rate.Limiter
	for c := range limiters {
		limiters[c] = rate.NewLimiter(rate.Limit(r[Class(c)].PerSecond), max(1, r[Class(c)].Burst))
	}
	wait := func(ctx context.Context) error {
		c := ClassOf(ctx)
		waiting, cancel := context.WithTimeout(ctx, limitWait)
		defer cancel()
		if err := limiters[c].Wait(waiting); err != nil {
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
