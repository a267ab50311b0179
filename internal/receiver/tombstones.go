package receiver

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// bucketCount is the number of entries over which the tombstones are spread. It
	// must not change while jobs are accepted.
	bucketCount = 256
	// maxTombstones bounds the tombstones of a bucket, and thereby its size in the
	// store.
	maxTombstones = 128
	// tombstoneRate and tombstoneBurst limit the tombstones that one daemon writes a
	// second, because each costs the submissions in its bucket another call.
	tombstoneRate  = 20
	tombstoneBurst = 100
)

// CancelledError reports a job that was cancelled before it was accepted. It is not
// stored and never runs.
type CancelledError struct {
	Job string
	// RetryAfter is the time after which the id may be used for another job.
	RetryAfter time.Duration
}

func (e *CancelledError) Error() string {
	return "job " + e.Job + " was cancelled before it was accepted"
}

// tombstone records the cancellation of a job that had not been accepted.
type tombstone struct {
	Job string `cbor:"job"`
	// CancelledAt is the wall-clock time of the cancellation.
	CancelledAt time.Time `cbor:"cancelled_at"`
}

// isExpired reports whether a tombstone is older than retention, or that far in the
// future because the clock of its writer was wrong.
func (t tombstone) isExpired(wall time.Time, retention time.Duration) bool {
	return wall.Sub(t.CancelledAt).Abs() > retention
}

// bucket is a store entry with tombstones. A transaction that accepts a job expects the
// revision of the job's bucket, and each cancellation of a job that isn't accepted changes
// that revision. So a write that was sent before the cancellation has no effect after it,
// and one that is sent later is preceded by a look at the tombstones.
type bucket struct {
	// revision is zero if the entry doesn't exist.
	revision   uint64
	tombstones []tombstone
}

// find returns the tombstone of a job and whether there is one that has not expired.
func (b bucket) find(job string, wall time.Time, retention time.Duration) (tombstone, bool) {
	n := slices.IndexFunc(b.tombstones, func(t tombstone) bool { return t.Job == job && !t.isExpired(wall, retention) })
	if n < 0 {
		return tombstone{}, false
	}
	return b.tombstones[n], true
}

// with returns the tombstones that have not expired, with a new one for a job.
func (b bucket) with(job string, wall time.Time, retention time.Duration) []tombstone {
	kept := slices.DeleteFunc(slices.Clone(b.tombstones), func(t tombstone) bool { return t.Job == job || t.isExpired(wall, retention) })
	return append(kept, tombstone{job, wall})
}

// bucketKey returns the key of the bucket that a job's tombstone belongs to.
func bucketKey(job string) string {
	return fmt.Sprintf("th/tombstones/%02x", xxhash.Sum64String(job)%bucketCount)
}

// bucketCache has the last known content of each bucket. It is safe for concurrent use.
type bucketCache struct {
	mu sync.Mutex
	// byKey lacks the buckets that are taken not to exist.
	byKey map[string]bucket
}

func (c *bucketCache) get(key string) bucket {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byKey[key]
}

func (c *bucketCache) set(key string, b bucket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byKey[key] = b
}

// updateBucket takes over the content of a bucket from a transaction that failed. A
// content that can't be decoded counts as empty, so that jobs can still be accepted.
func (r *Receiver) updateBucket(key string, conflict *storeclient.ExpectationError) {
	b := bucket{revision: conflict.Revision(key)}
	for _, e := range conflict.Current {
		if e.Key != key {
			continue
		}
		if err := marshaler.Unmarshal(e.Value, &b.tombstones); err != nil {
			r.options.Log.Error().Str("key", key).Err(err).Msg("receiver: tombstones can't be decoded")
			b.tombstones = nil
		}
	}
	r.buckets.set(key, b)
}

// checkNotCancelled returns a CancelledError if a job has a tombstone in b.
func (r *Receiver) checkNotCancelled(job string, b bucket) error {
	if len(b.tombstones) == 0 {
		return nil
	}
	if _, ok := b.find(job, r.options.WallNow(), r.options.Retention); ok {
		return &CancelledError{job, r.options.Retention}
	}
	return nil
}

// cancelUnaccepted keeps a job from being accepted later. The index of accepted jobs must
// have been read before and not have contained the job. The error is an unreadJobError if
// the job has been accepted since, and a RefusedError if too many jobs are cancelled in
// this way.
func (r *Receiver) cancelUnaccepted(ctx context.Context, job string) error {
	key, index := bucketKey(job), conductor.IndexKey(job)
	for ctx.Err() == nil {
		wall := r.options.WallNow()
		b := r.buckets.get(key)
		if t, ok := b.find(job, wall, r.options.Retention); ok && !t.isExpired(wall, r.options.Retention/2) {
			return nil
		}
		next := b.with(job, wall, r.options.Retention)
		if len(next) > maxTombstones || !r.tombstoneLimit.AllowN(r.options.Now(), 1) {
			return &RefusedError{"too many unknown jobs are cancelled", retryAfter}
		}
		value, err := marshaler.Marshal(next)
		if err != nil {
			return err
		}
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		revision, err := r.options.Store.Transact(bounded, storeclient.Transaction{
			Expect: []storeclient.Expectation{{Key: index}, {Key: key, Revision: b.revision}},
			Writes: []storeclient.Write{{Key: key, Value: value}},
		})
		cancel()
		var conflict *storeclient.ExpectationError
		switch {
		case err == nil:
			r.buckets.set(key, bucket{revision, next})
			r.options.Log.Info().Str("job", job).Int("tombstones", len(next)).Msg("receiver: cancelled before it was accepted")
			return nil
		case !errors.As(err, &conflict):
			return err
		case conflict.Revision(index) != 0:
			return &unreadJobError{job}
		}
		// Another tombstone was written, or this one by an attempt without an answer.
		r.updateBucket(key, conflict)
	}
	return ctx.Err()
}

func newTombstoneLimit() *rate.Limiter { return rate.NewLimiter(tombstoneRate, tombstoneBurst) }
