// Package sharder splits workers and jobs over shards. A shard has workers of
// all domains and racks, so that a domain which is taken out or lost, or a rack
// that many jobs want, concerns each shard alike and no job has to move.
package sharder

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

const (
	// WorkersPerShard is for how many workers one owner plans: with 66 of them
	// it uses 0.2 cores at the worst load.
	WorkersPerShard = 80
	// maxShards bounds what a stored count may say.
	maxShards = 64
	// settleTime is for how long the number of workers must not change before
	// the first count of shards is taken from it.
	settleTime = 1500 * time.Millisecond
	retryDelay = 300 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 1500 * time.Millisecond
)

// countKey holds the number of shards. It is written once: a job's shard follows
// from its id.
const countKey = "th/shards"

// Count returns how many shards so many workers get.
func Count(workers int) int {
	return min(maxShards, max(1, (workers+WorkersPerShard-1)/WorkersPerShard))
}

// Name is the name of shard n in keys.
func Name(n int) string { return strconv.Itoa(n) }

func hash(text string, count int) int { return int(xxhash.Sum64String(text) % uint64(count)) }

// OfWorker returns the shard of a worker.
func OfWorker(id string, count int) int { return hash(id, count) }

// OfJob returns the shard of a job while nothing is known of the shards.
func OfJob(id string, count int) int { return hash(id, count) }

// CountError reports a stored count that can't be used.
type CountError struct{ Value string }

func (e *CountError) Error() string {
	return fmt.Sprintf("stored count of shards %q: want a number from 1 to %d", e.Value, maxShards)
}

// Sharder finds out the number of shards.
type Sharder struct {
	store storeclient.PrefixStore
	// workers returns how many workers the platform lists.
	workers func(context.Context) (int, error)
	// failed is called with each call that failed.
	failed func(error)
}

// New returns a sharder.
func New(store storeclient.PrefixStore, workers func(context.Context) (int, error), failed func(error)) *Sharder {
	return &Sharder{store, workers, failed}
}

// Shards returns the number of shards of the deployment. The first daemon that
// sees a steady number of workers decides it. It returns the context's error
// when that ends first.
func (s *Sharder) Shards(ctx context.Context) (int, error) {
	for ctx.Err() == nil {
		n, err := s.try(ctx)
		if err == nil && n > 0 {
			return n, nil
		}
		if err != nil {
			s.failed(err)
		}
		waiter.Wait(ctx, retryDelay)
	}
	return 0, ctx.Err()
}

// try reads the count, or makes it. It returns 0 while the number of workers is
// not steady.
func (s *Sharder) try(ctx context.Context) (int, error) {
	n, err := s.stored(ctx)
	var missing *storeclient.NotFoundError
	if !errors.As(err, &missing) {
		return n, err
	}
	before, err := s.list(ctx)
	if err != nil || before == 0 {
		return 0, err
	}
	waiter.Wait(ctx, settleTime)
	after, err := s.list(ctx)
	if err != nil || after != before {
		return 0, err
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = s.store.Transact(bounded, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: countKey}},
		Writes: []storeclient.Write{{Key: countKey, Value: []byte(strconv.Itoa(Count(after)))}},
	})
	var conflict *storeclient.ExpectationError
	if err != nil && !errors.As(err, &conflict) {
		return 0, err
	}
	return s.stored(ctx)
}

func (s *Sharder) stored(ctx context.Context) (int, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.store.Get(bounded, countKey)
	if err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(string(e.Value))
	if err != nil || n < 1 || n > maxShards {
		return 0, &CountError{string(e.Value)}
	}
	return n, nil
}

func (s *Sharder) list(ctx context.Context) (int, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.workers(bounded)
}
