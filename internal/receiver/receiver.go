// Package receiver accepts jobs from clients: it stores each job before it is
// accepted, and sends questions about jobs to the owner of their shard.
package receiver

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/time/rate"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/sharder"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// storeTimeout bounds the write that accepts a job, readTimeout the read
	// that determines whether an unanswered write took effect, and relayTimeout
	// the attempts to have a peer store the job. Together they stay under half
	// of the time that clients usually wait.
	storeTimeout = 700 * time.Millisecond
	readTimeout  = 250 * time.Millisecond
	relayTimeout = 400 * time.Millisecond

	// shardCacheSize is the number of jobs whose shards are cached.
	shardCacheSize = 8192

	// peerBackoff is how long a peer is not used after a failed relay.
	peerBackoff = time.Second
	// storeDownAfter is how long the store must have left all calls unanswered
	// before jobs are refused without a write.
	storeDownAfter = 300 * time.Millisecond
	// retryAfter is how long a client should wait after a refusal. Outages of
	// the store that don't end at once last longer than this, and the client
	// has few retries.
	retryAfter = time.Second
)

// Options are the dependencies of a receiver.
type Options struct {
	// Shards is the number of shards. Choose returns the shard of a new job by
	// its id and by what it reserves.
	Shards int
	Choose func(id string, d sharder.Demand) int
	Store  storeclient.PrefixStore
	// Local answers a question if this daemon owns its shard. Ask sends a
	// question to the owner at an address.
	Local func(ctx context.Context, q conductor.Question) (conductor.Reply, error)
	Ask   func(ctx context.Context, owner netip.AddrPort, q conductor.Question) (conductor.Reply, error)
	// Peers returns the daemons that may reach the store when this one doesn't,
	// the most likely first. Relay has one of them store a job.
	Peers func() []netip.AddrPort
	Relay func(ctx context.Context, peer netip.AddrPort, j planner.Job) error
	Log   *log.Logger
	// Registry receives the metrics.
	Registry prometheus.Registerer
	Now      func() time.Time
	// WallNow returns the wall-clock time.
	WallNow func() time.Time
	// Retention is how long a job stays cancelled that was cancelled before it was
	// accepted.
	Retention time.Duration
}

// Receiver accepts jobs and answers questions about them. It is safe for
// concurrent use.
type Receiver struct {
	options Options
	// shardByJob caches the shards of the jobs that were seen last.
	shardByJob *lru.Cache[string, string]
	// unansweredSince is when the store started to leave every call without an
	// answer, in nanoseconds on the clock of Now; zero while it answers.
	unansweredSince atomic.Int64
	buckets         bucketCache
	tombstoneLimit  *rate.Limiter
	outcomes        *prometheus.CounterVec
	latency         *prometheus.HistogramVec

	mu sync.Mutex
	// relayFailedAt is when a relay to a peer last failed.
	relayFailedAt map[netip.AddrPort]time.Time
}

// New returns a receiver.
func New(o Options) *Receiver {
	factory := promauto.With(o.Registry)
	return &Receiver{
		options: o, shardByJob: newShardCache(), relayFailedAt: map[netip.AddrPort]time.Time{},
		buckets: bucketCache{byKey: map[string]bucket{}}, tombstoneLimit: newTombstoneLimit(),
		outcomes: factory.NewCounterVec(prometheus.CounterOpts{Name: "tarragonhead_submissions_total", Help: "Submissions by outcome."}, []string{"outcome"}),
		latency:  factory.NewHistogramVec(prometheus.HistogramOpts{Name: "tarragonhead_client_seconds", Help: "Time until a client's call was answered, by call.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 13)}, []string{"call"}),
	}
}

// RefusedError reports a job that is not accepted and never runs unless the
// client submits it again.
type RefusedError struct {
	Reason string
	// RetryAfter is how long the client should wait before it submits the job
	// again.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "job refused: " + e.Reason }

// UndecidedError reports a job that may have been accepted. The client should
// submit it again under the same id.
type UndecidedError struct{ Err error }

func (e *UndecidedError) Error() string { return fmt.Sprintf("job may have been accepted: %v", e.Err) }

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Err }

// UnreachedError reports a call that did not reach a peer, so that the peer has
// done nothing.
type UnreachedError struct {
	Peer netip.AddrPort
	Err  error
}

func (e *UnreachedError) Error() string { return fmt.Sprintf("peer %s not reached: %v", e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *UnreachedError) Unwrap() error { return e.Err }

// UnknownJobError reports a job that was never accepted.
type UnknownJobError struct{ Job string }

func (e *UnknownJobError) Error() string { return "no job " + e.Job }

// Submit stores a job; the job is accepted if the error is nil. limit is the cap of the
// job's organisation, zero if it has none. Errors are JobError, RefusedError,
// CancelledError and UndecidedError.
func (r *Receiver) Submit(ctx context.Context, j planner.Job, limit planner.Resources) error {
	began := r.options.Now()
	err := r.submit(ctx, j, limit)
	took := r.options.Now().Sub(began)
	r.latency.WithLabelValues("submit").Observe(took.Seconds())
	outcome := "accepted"
	var refused *RefusedError
	var cancelled *CancelledError
	var undecided *UndecidedError
	switch {
	case errors.As(err, &refused):
		outcome = "refused"
	case errors.As(err, &cancelled):
		outcome = "cancelled"
	case errors.As(err, &undecided):
		outcome = "undecided"
	case err != nil:
		outcome = "invalid"
	}
	r.outcomes.WithLabelValues(outcome).Inc()
	r.options.Log.Info().Str("job", j.ID).Str("queue", j.Queue.Name).Int("steps", len(j.Steps)).Dur("took", took).Str("outcome", outcome).AnErr("cause", err).Msg("receiver: submission")
	return err
}

// RecordStoreAnswer records whether a call to the store was answered. Calls of
// other components count too, so that the end of an outage is noticed without a
// client's call.
func (r *Receiver) RecordStoreAnswer(isAnswered bool) {
	if isAnswered {
		r.unansweredSince.Store(0)
		return
	}
	r.unansweredSince.CompareAndSwap(0, r.options.Now().UnixNano())
}

// IsStoreDown reports whether the store has left all calls unanswered for some
// time.
func (r *Receiver) IsStoreDown() bool {
	since := r.unansweredSince.Load()
	return since != 0 && r.options.Now().Sub(time.Unix(0, since)) > storeDownAfter
}

func (r *Receiver) submit(ctx context.Context, j planner.Job, limit planner.Resources) error {
	if err := j.Check(); err != nil {
		return err
	}
	if err := j.CheckCap(limit); err != nil {
		return r.rejectUnlessAccepted(ctx, j.ID, err)
	}
	if r.IsStoreDown() {
		return r.relay(ctx, j, &RefusedError{"the store does not answer", retryAfter})
	}
	err := r.Store(ctx, j)
	var refused *RefusedError
	var undecided *UndecidedError
	switch {
	case errors.As(err, &undecided):
		return r.relay(ctx, j, r.resolveUndecided(ctx, j.ID, err))
	case errors.As(err, &refused):
		return r.relay(ctx, j, err)
	}
	return err
}

// rejectUnlessAccepted returns cause, or nil if the job was accepted before, when the cap
// of its organisation was higher. If that can't be read, it returns an UndecidedError.
func (r *Receiver) rejectUnlessAccepted(ctx context.Context, id string, cause error) error {
	_, err := r.readShard(ctx, id)
	var unknown *UnknownJobError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		return cause
	}
	return &UndecidedError{err}
}

// Store writes a job to the store, for a client or for a peer that doesn't
// reach the store. Errors are RefusedError, CancelledError and UndecidedError.
func (r *Receiver) Store(ctx context.Context, j planner.Job) error {
	value, err := planner.Encode(j)
	if err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	index, tombstones := conductor.IndexKey(j.ID), bucketKey(j.ID)
	shard := sharder.Name(r.options.Choose(j.ID, sharder.DemandOf(j)))
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for bounded.Err() == nil {
		b := r.buckets.get(tombstones)
		if err := r.checkNotCancelled(j.ID, b); err != nil {
			return err
		}
		_, err = r.options.Store.Transact(bounded, storeclient.Transaction{
			Expect: []storeclient.Expectation{{Key: index}, {Key: tombstones, Revision: b.revision}},
			Writes: []storeclient.Write{
				{Key: index, Value: []byte(shard)},
				{Key: conductor.JobKey(shard, j.ID), Value: value},
			},
		})
		var conflict *storeclient.ExpectationError
		if !errors.As(err, &conflict) || conflict.Revision(index) != 0 {
			return r.recordStored(j.ID, shard, err)
		}
		r.RecordStoreAnswer(true)
		if conflict.Revision(tombstones) == b.revision {
			// The answer lacks the entry that has changed, which may be the index.
			return &UndecidedError{conflict}
		}
		r.updateBucket(tombstones, conflict)
	}
	return &RefusedError{"the tombstones of cancelled jobs change too often", retryAfter}
}

// recordStored returns the outcome of the transaction that accepts a job.
func (r *Receiver) recordStored(job, shard string, err error) error {
	var conflict *storeclient.ExpectationError
	var refused *storeclient.RefusedError
	var limited *storeclient.LimitError
	switch {
	case err == nil, errors.As(err, &conflict):
		// After a conflict the id was accepted before; a repeated submission is
		// the same job.
		r.RecordStoreAnswer(true)
		if err == nil {
			r.shardByJob.Add(job, shard)
		}
		return nil
	case errors.As(err, &refused), errors.As(err, &limited):
		return &RefusedError{"the store accepts no jobs now", retryAfter}
	}
	r.RecordStoreAnswer(false)
	return &UndecidedError{err}
}

// hasRecentRelayFailure reports whether a relay to a peer has failed so recently
// that clients should not wait for the peer again.
func (r *Receiver) hasRecentRelayFailure(peer netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.relayFailedAt[peer]
	return ok && r.options.Now().Sub(at) < peerBackoff
}

func (r *Receiver) recordRelayFailure(peer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayFailedAt[peer] = r.options.Now()
}

// resolveUndecided reads whether a write without an answer has taken effect. If
// it has not, it still may, and the result is cause.
func (r *Receiver) resolveUndecided(ctx context.Context, id string, cause error) error {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := r.options.Store.Get(bounded, conductor.IndexKey(id)); err == nil {
		return nil
	}
	return cause
}

// isRefusal reports whether err says that a job is certainly not stored.
func isRefusal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// relay has a peer store a job that this daemon could not store. The peer's
// write has the same expectation, so the job is accepted once, whichever write
// takes effect. If no peer stores the job, the result is cause, a CancelledError if a
// peer has found that the job is cancelled, or an UndecidedError if a peer may have
// stored it.
func (r *Receiver) relay(ctx context.Context, j planner.Job, cause error) error {
	if cause == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	for _, peer := range r.options.Peers() {
		if r.hasRecentRelayFailure(peer) {
			continue
		}
		err := r.options.Relay(ctx, peer, j)
		if err == nil {
			r.options.Log.Info().Str("job", j.ID).Str("peer", peer.String()).AnErr("cause", cause).Msg("receiver: accepted by a peer")
			return nil
		}
		var refused *RefusedError
		var cancelled *CancelledError
		var unreached *UnreachedError
		switch {
		case errors.As(err, &cancelled) && isRefusal(cause):
			return &CancelledError{j.ID, r.options.Retention}
		case errors.As(err, &cancelled):
			// A write of this daemon may still take effect if the tombstone has expired
			// by its clock.
			return cause
		case errors.As(err, &refused):
		case errors.As(err, &unreached):
			r.recordRelayFailure(peer)
		default:
			// The peer may have stored the job.
			r.recordRelayFailure(peer)
			cause = &UndecidedError{err}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return cause
}

func newShardCache() *lru.Cache[string, string] {
	c, err := lru.New[string, string](shardCacheSize)
	if err != nil {
		// New only fails for a size below 1.
		panic(err)
	}
	return c
}
