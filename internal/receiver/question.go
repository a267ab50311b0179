package receiver

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/sharder"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

const (
	// askRetryDelay is the delay between questions while the shard changes its
	// owner, and askTimeout bounds the time for all of them.
	askRetryDelay = 100 * time.Millisecond
	askTimeout    = 1200 * time.Millisecond
)

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
	return "", &RefusedError{"the owner of the shard can't be reached, or can't store what is asked for", retryAfter}
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

// Explain returns what the unfinished tasks of a job wait for, one line for each.
func (r *Receiver) Explain(ctx context.Context, id string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	shard, err := r.shardOf(ctx, id)
	if err != nil {
		return "", err
	}
	reply, err := r.askOwner(ctx, conductor.Question{Kind: conductor.AskExplain, Shard: shard, Job: id})
	return reply.Explanation, err
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
