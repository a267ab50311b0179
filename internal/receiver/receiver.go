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
	"tarragonhead.example/tarragonhead/internal/waiter"
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

	// askRetryDelay is the delay between questions while the shard changes its
	// owner, and askTimeout bounds the time for all of them.
	askRetryDelay = 100 * time.Millisecond
	askTimeout    = 1200 * time.Millisecond
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

// Submit stores a job; the job is accepted if the error is nil. Errors are
// JobError, RefusedError, CancelledError and UndecidedError.
func (r *Receiver) Submit(ctx context.Context, j planner.Job) error {
	began := r.options.Now()
	err := r.submit(ctx, j)
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

func (r *Receiver) submit(ctx context.Context, j planner.Job) error {
	if err := j.Check(); err != nil {
		return err
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

// shardOf returns the shard of an accepted job. It reads the shard from the
// store if this daemon has not cached it.
func (r *Receiver) shardOf(ctx context.Context, job string) (string, error) {
	if r.options.Shards == 1 {
		return sharder.Name(0), nil
	}
	if shard, ok := r.shardByJob.Get(job); ok {
		return shard, nil
	}
	return r.readShard(ctx, job)
}

// readShard reads the shard of an accepted job from the store and caches it. The
// error is an UnknownJobError if there is no such job.
func (r *Receiver) readShard(ctx context.Context, job string) (string, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := r.options.Store.Get(bounded, conductor.IndexKey(job))
	var missing *storeclient.NotFoundError
	switch {
	case errors.As(err, &missing):
		return "", &UnknownJobError{job}
	case err != nil:
		return "", err
	}
	r.shardByJob.Add(job, string(e.Value))
	return string(e.Value), nil
}

// State returns the state of a job. Errors are UnknownJobError, and
// RefusedError if the state can't be determined now.
func (r *Receiver) State(ctx context.Context, id string) (planner.State, error) {
	return r.askAboutJob(ctx, conductor.Question{Kind: conductor.AskState, Job: id})
}

// Cancel cancels a job and returns its state, which is Done or Failed if the
// job ended before the cancellation. After an UnknownJobError the job is not accepted
// later either, not even by a write that was sent before. After a RefusedError the job may
// still be accepted, or run.
func (r *Receiver) Cancel(ctx context.Context, id string) (planner.State, error) {
	return r.askAboutJob(ctx, conductor.Question{Kind: conductor.AskCancel, Job: id})
}

// askAboutJob repeats a question about a job until it is answered or askTimeout
// has passed.
func (r *Receiver) askAboutJob(ctx context.Context, q conductor.Question) (planner.State, error) {
	began := r.options.Now()
	defer func() {
		r.latency.WithLabelValues(string(q.Kind)).Observe(r.options.Now().Sub(began).Seconds())
	}()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var cause error
	for ctx.Err() == nil {
		state, err := r.askOnce(ctx, q)
		var unknown *UnknownJobError
		var refused *RefusedError
		switch {
		case err == nil:
			r.options.Log.Info().Str("job", q.Job).Str("question", string(q.Kind)).Str("state", string(state)).Msg("receiver: answered")
			return state, nil
		case errors.As(err, &unknown):
			r.options.Log.Info().Str("job", q.Job).Str("question", string(q.Kind)).Msg("receiver: no such job")
			return "", err
		case errors.As(err, &refused):
			r.options.Log.Warn().Str("job", q.Job).Str("question", string(q.Kind)).Err(err).Msg("receiver: refused")
			return "", err
		}
		cause = err
		waiter.Wait(ctx, askRetryDelay)
	}
	r.options.Log.Warn().Str("job", q.Job).Str("question", string(q.Kind)).AnErr("cause", cause).Msg("receiver: not answered")
	return "", &RefusedError{"the owner of the shard can't be reached", retryAfter}
}

// unreadJobError reports an accepted job that the owner of its shard has not read yet, or
// whose shard this daemon has only just read.
type unreadJobError struct{ Job string }

func (e *unreadJobError) Error() string {
	return "job " + e.Job + " is accepted, but not known to an owner yet"
}

// askOnce asks a question about a job once. After a RefusedError or an UnknownJobError it
// must not be repeated.
func (r *Receiver) askOnce(ctx context.Context, q conductor.Question) (planner.State, error) {
	var err error
	if q.Shard, err = r.shardOf(ctx, q.Job); err != nil {
		return "", r.confirmUnknown(ctx, q, err)
	}
	reply, err := r.askOwner(ctx, q)
	if err != nil {
		return "", err
	}
	if reply.Answer.Known {
		return reply.Answer.State, nil
	}
	// The owner may not have read the job yet, so the store decides whether it exists.
	shard, err := r.readShard(ctx, q.Job)
	switch {
	case err != nil:
		return "", r.confirmUnknown(ctx, q, err)
	case q.Kind == conductor.AskState && (shard == q.Shard || r.options.Shards == 1):
		return planner.Queued, nil
	}
	// The cached shard may have been that of an earlier job with this id.
	return "", &unreadJobError{q.Job}
}

// confirmUnknown returns err. If it says that there is no job to cancel, confirmUnknown
// first keeps the job from being accepted later, because a write that accepts it may still
// be on its way.
func (r *Receiver) confirmUnknown(ctx context.Context, q conductor.Question, err error) error {
	var unknown *UnknownJobError
	if q.Kind != conductor.AskCancel || !errors.As(err, &unknown) {
		return err
	}
	if cancelErr := r.cancelUnaccepted(ctx, q.Job); cancelErr != nil {
		return cancelErr
	}
	return err
}

// Pending returns how many accepted jobs of a queue have no started task.
func (r *Receiver) Pending(ctx context.Context, queue string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sum := 0
	for n := range r.options.Shards {
		count, err := r.pendingIn(ctx, sharder.Name(n), queue)
		if err != nil {
			return 0, err
		}
		sum += count
	}
	return sum, nil
}

func (r *Receiver) pendingIn(ctx context.Context, shard, queue string) (int, error) {
	for ctx.Err() == nil {
		reply, err := r.askOwner(ctx, conductor.Question{Kind: conductor.AskPending, Shard: shard})
		if err == nil {
			return reply.Pending[queue], nil
		}
		waiter.Wait(ctx, askRetryDelay)
	}
	return 0, &RefusedError{"the owner of shard " + shard + " can't be reached", retryAfter}
}

// askOwner asks this daemon, and then the shard's owner if that is another
// daemon.
func (r *Receiver) askOwner(ctx context.Context, q conductor.Question) (conductor.Reply, error) {
	reply, err := r.options.Local(ctx, q)
	var other *conductor.NotOwnerError
	if !errors.As(err, &other) {
		return reply, err
	}
	owner := other.Owner
	if !owner.IsValid() {
		if owner, err = r.readOwner(ctx, q.Shard); err != nil {
			return reply, err
		}
	}
	return r.options.Ask(ctx, owner, q)
}

// readOwner reads the shard's owner from the store, for a daemon that doesn't
// follow the shard.
func (r *Receiver) readOwner(ctx context.Context, shard string) (netip.AddrPort, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := r.options.Store.Get(bounded, conductor.OwnerKey(shard))
	if err != nil {
		return netip.AddrPort{}, err
	}
	return conductor.DecodeOwner(e.Value)
}

func newShardCache() *lru.Cache[string, string] {
	c, err := lru.New[string, string](shardCacheSize)
	if err != nil {
		// New only fails for a size below 1.
		panic(err)
	}
	return c
}
