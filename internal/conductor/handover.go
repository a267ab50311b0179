package conductor

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

// handoverInterval is the minimum time between two searches for tasks to hand
// over.
const handoverInterval = 100 * time.Millisecond

// cancelledSuffix is appended to the key of a job in another shard to tell that
// shard that the job is cancelled. Both shards have tasks of the job.
const cancelledSuffix = "/cancelled"

func (k keys) cancelled(id string) string { return k.jobs() + id + cancelledSuffix }

// handOverTasks hands long-running tasks that can't be placed in this shard
// over to a shard with free capacity. It counts as a commit because it changes
// the progress of a job.
func (c *Conductor) handOverTasks(ctx context.Context, now time.Time) {
	if c.options.Place == nil || c.isCommitting || now.Sub(c.lastHandoverAt) < handoverInterval || !c.isOwnershipConfirmed(now) {
		return
	}
	c.lastHandoverAt = now
	for _, h := range c.planner.Unplaced(now) {
		to, count := c.options.Place(h.Need, h.Count, h.IsUrgent)
		if count == 0 {
			continue
		}
		handover, ok := c.planner.HandOver(now, h, count, to)
		if !ok {
			continue
		}
		c.storeHandover(ctx, handover)
		return
	}
}

// storeHandover stores a handover in the background. No progress is committed
// meanwhile, so only the handover itself can change the revisions that it
// expects.
func (c *Conductor) storeHandover(ctx context.Context, h planner.Handover) {
	progress, err := planner.Encode(h.Change.Progress)
	if err != nil {
		c.options.Log.Error().Err(err).Str("job", h.Job.ID).Msg("conductor: progress not encoded")
		c.planner.HandoverFailed(h)
		return
	}
	c.isCommitting = true
	epoch, key := c.epoch, c.keys.progress(h.Job.ID)
	change := storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}, {Key: key, Revision: c.revisions[key]}},
		Writes: []storeclient.Write{{Key: key, Value: progress}},
	}
	c.background.Go(func() {
		t, err := c.addPeerRecord(ctx, change, h)
		if err != nil {
			c.post(ctx, func() { c.finishHandover(epoch, h, t, c.options.Now(), 0, err) })
			return
		}
		// isUnknown is set once an attempt has had no answer.
		isUnknown := false
		for {
			sent := c.options.Now()
			bounded, cancel := context.WithTimeout(ctx, storeTimeout)
			revision, err := c.options.Store.Transact(bounded, t)
			cancel()
			var unknown *storeclient.UnavailableError
			var conflict *storeclient.ExpectationError
			isUnknown = isUnknown || errors.As(err, &unknown)
			if isUnknown && err != nil && !errors.As(err, &conflict) && waiter.Wait(ctx, storeRetryDelay) {
				// Only a repeat of the same transaction shows whether the first
				// attempt was applied.
				continue
			}
			c.post(ctx, func() { c.finishHandover(epoch, h, t, sent, revision, err) })
			return
		}
	})
}

// addPeerRecord adds a write of the other shard's record of the job to the
// transaction of a handover.
func (c *Conductor) addPeerRecord(ctx context.Context, t storeclient.Transaction, h planner.Handover) (storeclient.Transaction, error) {
	key := JobKey(h.To, h.Job.ID)
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := c.options.Store.Get(bounded, key)
	var missing *storeclient.NotFoundError
	record := h.Job
	switch {
	case errors.As(err, &missing):
	case err != nil:
		return t, err
	default:
		known, err := planner.Decode[planner.Job](entry.Value)
		if err != nil {
			return t, err
		}
		known.Arrived = append(known.Arrived, record.Arrived...)
		record = known
	}
	value, err := planner.Encode(record)
	if err != nil {
		return t, err
	}
	t.Expect = append(t.Expect, storeclient.Expectation{Key: key, Revision: entry.Revision})
	t.Writes = append(t.Writes, storeclient.Write{Key: key, Value: value})
	return t, nil
}

// finishHandover applies the outcome of a handover.
func (c *Conductor) finishHandover(epoch int64, h planner.Handover, t storeclient.Transaction, sent time.Time, revision uint64, err error) {
	if c.role != "owning" || c.epoch != epoch {
		return
	}
	c.isCommitting = false
	c.nextCommitAt = c.options.Now().Add(commitInterval)
	c.applyCommitResult(t, sent, revision, err, "handover")
	if c.role != "owning" {
		return
	}
	var conflict *storeclient.ExpectationError
	isStored := err == nil || errors.As(err, &conflict) && hasArrived(conflict, h)
	c.metrics.handovers.WithLabelValues(map[bool]string{true: "done", false: "not_done"}[isStored]).Inc()
	c.options.Log.Info().Str("job", h.Job.ID).Str("shard", c.options.Shard).Str("to", h.To).Int("tasks", len(h.Job.Arrived)).
		Int64("epoch", c.epoch).Bool("stored", isStored).AnErr("cause", err).Msg("conductor: tasks handed over")
	if isStored {
		c.planner.HandedOver(h)
		return
	}
	c.planner.HandoverFailed(h)
}

// hasArrived reports whether the other shard's record contains the tasks of a
// handover, which means that an earlier attempt at the same transaction was
// applied.
func hasArrived(conflict *storeclient.ExpectationError, h planner.Handover) bool {
	for _, e := range conflict.Current {
		if e.Key != JobKey(h.To, h.Job.ID) {
			continue
		}
		record, err := planner.Decode[planner.Job](e.Value)
		if err != nil {
			return false
		}
		first := h.Job.Arrived[0]
		for _, a := range record.Arrived {
			if a.IsSameMove(first) {
				return true
			}
		}
	}
	return false
}

// applyJobEntry applies an entry under the key prefix of the shard's jobs: a
// job, or a notice of another shard that it has cancelled a job.
func (c *Conductor) applyJobEntry(now time.Time, e storeclient.Entry, progress map[string]storeclient.Entry) {
	if id, ok := strings.CutSuffix(strings.TrimPrefix(e.Key, c.keys.jobs()), cancelledSuffix); ok {
		isKnown := c.planner.Cancel(now, id)
		c.options.Log.Info().Str("job", id).Str("shard", c.options.Shard).Bool("known", isKnown).Msg("conductor: cancelled by another shard")
		return
	}
	c.addJob(now, e, progress)
}
