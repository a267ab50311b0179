// Package sharder splits workers and jobs over shards. Each shard has workers
// of all failure domains and racks, so that taking out or losing a domain, or
// demand of many jobs for one rack, affects all shards alike and no job has to
// move.
package sharder

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

const (
	// workersPerShard is the largest average number of workers of a shard, as
	// long as there are fewer than maxShards shards. Shards of 245 workers left
	// 31 tasks without a run on the deployment with the most jobs.
	workersPerShard = 170
	// earlierWorkersPerShard is the number of workers that stands for each shard in a
	// record of a version that stored the number of shards alone.
	earlierWorkersPerShard = 80
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
	// listTimeout bounds a read of the list of workers. With callTimeout, 300 instances
	// that read the list of 3,000 workers at the same time on links of 10 Mbit/s never
	// got an answer in time, and refused three fifths of all requests.
	listTimeout = 6 * time.Second
)

// countKey holds the number of shards and of workers, as in 7/490. It is written once,
// because a job's shard follows from its id.
const countKey = "th/shards"

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
	return fmt.Sprintf("stored count of shards %q: want a number from 1 to %d, a slash and the number of workers", e.Value, maxShards)
}

// Sharder determines the number of shards of the deployment.
type Sharder struct {
	store storeclient.PrefixStore
	self  Instance
	// countWorkers returns the number of workers that the platform lists.
	countWorkers func(context.Context) (int, error)
	// reportFailure is called with the error of each failed call.
	reportFailure func(error)
}

// New returns a sharder for the instance self that counts the workers with countWorkers,
// and calls reportFailure with the error of each failed call.
func New(store storeclient.PrefixStore, self Instance, countWorkers func(context.Context) (int, error), reportFailure func(error)) *Sharder {
	return &Sharder{store, self, countWorkers, reportFailure}
}

// Split is how the workers are split over shards.
type Split struct {
	Shards int
	// Workers is the number of all workers when the number of shards was determined.
	Workers int
}

// ShardSize returns the number of workers of a larger shard.
func (s Split) ShardSize() float64 { return sizeOf(s.Workers, max(1, s.Shards)) }

// Split returns how the workers of the deployment are split. The first daemon that sees
// that the numbers of workers and of instances no longer grow determines it. Split
// returns the context's error if ctx ends first.
func (s *Sharder) Split(ctx context.Context) (Split, error) {
	var o observation
	for ctx.Err() == nil {
		split, err := s.readOrCreate(ctx, &o)
		switch {
		case split.Shards > 0 && err == nil:
			return split, nil
		case err != nil:
			s.reportFailure(err)
			waiter.Wait(ctx, retryDelay)
		case o.workers == 0:
			waiter.Wait(ctx, retryDelay)
		default:
			waiter.Wait(ctx, steadyTime)
		}
	}
	return Split{}, ctx.Err()
}

// observation follows the numbers of listed workers and instances over successive
// readings.
type observation struct {
	// workers and instances are the largest numbers of any reading, or zero before the
	// first. isAnnounced is set once the record of this instance is stored.
	workers, instances int
	isAnnounced        bool
}

// add adds a reading, taken steadyTime after the one before, and reports whether the
// numbers no longer grow. They need not stay the same, because workers may keep
// restarting.
func (o *observation) add(workers, instances int) bool {
	isGrowing := workers > o.workers || instances > o.instances
	o.workers, o.instances = max(o.workers, workers), max(o.instances, instances)
	return o.workers > 0 && !isGrowing
}

// readOrCreate returns the stored split, or stores it first. It returns no shards while
// the numbers of workers and instances grow.
func (s *Sharder) readOrCreate(ctx context.Context, o *observation) (Split, error) {
	split, err := s.storedSplit(ctx)
	var missing *storeclient.NotFoundError
	if !errors.As(err, &missing) {
		return split, err
	}
	if !o.isAnnounced {
		if err := s.announce(ctx); err != nil {
			return Split{}, err
		}
		o.isAnnounced = true
	}
	workers, err := s.listedWorkers(ctx)
	if err != nil {
		return Split{}, err
	}
	instances, err := s.instances(ctx)
	if err != nil || !o.add(workers, len(instances)) {
		return Split{}, err
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = s.store.Transact(bounded, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: countKey}},
		Writes: []storeclient.Write{{Key: countKey, Value: fmt.Appendf(nil, "%d/%d", Count(o.workers, instances), o.workers)}},
	})
	var conflict *storeclient.ExpectationError
	if err != nil && !errors.As(err, &conflict) {
		return Split{}, err
	}
	return s.storedSplit(ctx)
}

// storedSplit reads the stored split. Earlier versions stored the number of shards
// alone.
func (s *Sharder) storedSplit(ctx context.Context) (Split, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.store.Get(bounded, countKey)
	if err != nil {
		return Split{}, err
	}
	count, total, hasTotal := strings.Cut(string(e.Value), "/")
	n, err := strconv.Atoi(count)
	workers := earlierWorkersPerShard * n
	if err == nil && hasTotal {
		workers, err = strconv.Atoi(total)
	}
	if err != nil || n < 1 || n > maxShards || workers < 1 {
		return Split{}, &CountError{string(e.Value)}
	}
	return Split{n, workers}, nil
}

func (s *Sharder) listedWorkers(ctx context.Context) (int, error) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return s.countWorkers(bounded)
}
