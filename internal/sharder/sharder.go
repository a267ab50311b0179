// Package sharder splits workers and jobs over shards. Each shard has workers
// of all failure domains and racks, so that taking out or losing a domain, or
// demand of many jobs for one rack, affects all shards alike and no job has to
// move.
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
	// WorkersPerShard is the largest average number of workers of a shard, as
	// long as there are fewer than maxShards shards. With 66 workers, an owner
	// uses 0.2 cores at the worst load.
	WorkersPerShard = 80
	// maxShards bounds the stored number of shards.
	maxShards = 64
	// steadyTime is how long the number of workers must not grow before the
	// number of shards is derived from it.
	steadyTime = 1500 * time.Millisecond
	// retryDelay is the time between two attempts to read or store the number
	// of shards.
	retryDelay = 300 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 1500 * time.Millisecond
)

// countKey holds the number of shards. It is written once, because a job's
// shard follows from its id.
const countKey = "th/shards"

// Count returns the number of shards for a number of workers.
func Count(workers int) int {
	return min(maxShards, max(1, (workers+WorkersPerShard-1)/WorkersPerShard))
}

// Name returns the name of shard n in store keys.
func Name(n int) string { return strconv.Itoa(n) }

// hashTo maps text to a number from 0 to count-1.
func hashTo(text string, count int) int { return int(xxhash.Sum64String(text) % uint64(count)) }

// OfWorker returns the shard of a worker.
func OfWorker(id string, count int) int { return hashTo(id, count) }

// OfJob returns the shard of a job if nothing is known of the shards' workers.
func OfJob(id string, count int) int { return hashTo(id, count) }

// CountError reports that the stored number of shards is invalid.
type CountError struct{ Value string }

func (e *CountError) Error() string {
	return fmt.Sprintf("stored count of shards %q: want a number from 1 to %d", e.Value, maxShards)
}

// Sharder determines the number of shards of the deployment.
type Sharder struct {
	store storeclient.PrefixStore
	// countWorkers returns the number of workers that the platform lists.
	countWorkers func(context.Context) (int, error)
	// reportFailure is called with the error of each failed call.
	reportFailure func(error)
}

// New returns a sharder that counts the workers with countWorkers, and calls
// reportFailure with the error of each failed call.
func New(store storeclient.PrefixStore, countWorkers func(context.Context) (int, error), reportFailure func(error)) *Sharder {
	return &Sharder{store, countWorkers, reportFailure}
}

// Shards returns the number of shards of the deployment. The first daemon that
// sees that the number of workers no longer grows determines it. Shards returns
// the context's error if ctx ends first.
func (s *Sharder) Shards(ctx context.Context) (int, error) {
	var o observation
	for ctx.Err() == nil {
		n, err := s.readOrCreateCount(ctx, &o)
		switch {
		case n > 0 && err == nil:
			return n, nil
		case err != nil:
			s.reportFailure(err)
			waiter.Wait(ctx, retryDelay)
		case o.largest == 0:
			waiter.Wait(ctx, retryDelay)
		default:
			waiter.Wait(ctx, steadyTime)
		}
	}
	return 0, ctx.Err()
}

// observation follows the number of listed workers over successive readings.
type observation struct {
	// largest is the largest number of any reading, or zero before the first.
	largest int
}

// add adds a reading, taken steadyTime after the one before, and reports whether
// the number of workers no longer grows. It need not stay the same, because
// workers may keep restarting.
func (o *observation) add(workers int) bool {
	isGrowing := workers > o.largest
	o.largest = max(o.largest, workers)
	return o.largest > 0 && !isGrowing
}

// readOrCreateCount returns the stored number of shards, or stores it first. It
// returns 0 while the number of workers grows.
func (s *Sharder) readOrCreateCount(ctx context.Context, o *observation) (int, error) {
	n, err := s.storedCount(ctx)
	var missing *storeclient.NotFoundError
	if !errors.As(err, &missing) {
		return n, err
	}
	workers, err := s.listedWorkers(ctx)
	if err != nil || !o.add(workers) {
		return 0, err
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = s.store.Transact(bounded, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: countKey}},
		Writes: []storeclient.Write{{Key: countKey, Value: []byte(strconv.Itoa(Count(o.largest)))}},
	})
	var conflict *storeclient.ExpectationError
	if err != nil && !errors.As(err, &conflict) {
		return 0, err
	}
	return s.storedCount(ctx)
}

func (s *Sharder) storedCount(ctx context.Context) (int, error) {
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

func (s *Sharder) listedWorkers(ctx context.Context) (int, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.countWorkers(bounded)
}
