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

// handoverInterval is the least time between two looks for tasks that another
// shard may have.
const handoverInterval = 100 * time.Millisecond

// cancelledSuffix follows the key of a job's record in the key by which a shard
// tells another one that it has cancelled a job of which both have tasks.
const cancelledSuffix = "/cancelled"

func (k keys) cancelled(id string) string { return k.jobs() + id + cancelledSuffix }

// handOver gives lasting tasks that find no place here to a shard with room. It
// counts as a commit, since it changes the progress of a job.
func (c *Conductor) handOver(ctx context.Context, now time.Time) {
	if c.options.Place == nil || c.committing || now.Sub(c.handedAt) < handoverInterval || !c.isProven(now) {
		return
	}
	c.handedAt = now
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
// meanwhile, so the revisions that it expects don't change but by itself.
func (c *Conductor) storeHandover(ctx context.Context, h planner.Handover) {
	progress, err := planner.Encode(h.Change.Progress)
	if err != nil {
		c.options.Log.Error().Err(err).Str("job", h.Job.ID).Msg("conductor: progress not encoded")
		c.planner.HandoverFailed(h)
		return
	}
	c.committing = true
	epoch, key := c.epoch, c.keys.progress(h.Job.ID)
	own := storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}, {Key: key, Revision: c.revisions[key]}},
		Writes: []storeclient.Write{{Key: key, Value: progress}},
	}
	c.background.Go(func() {
		t, err := c.withRecord(ctx, own, h)
		if err != nil {
			c.post(ctx, func() { c.handedOver(epoch, h, t, c.options.Now(), 0, err) })
			return
		}
		isUnknown := false
		for {
			sent := c.options.Now()
			bounded, cancel := context.WithTimeout(ctx, storeTimeout)
			revision, err := c.options.Store.Transact(bounded, t)
			cancel()
			var unknown *storeclient.UnavailableError
			var conflict *storeclient.ExpectationError
			isUnknown = isUnknown || errors.As(err, &unknown)
			if isUnknown && err != nil && !errors.As(err, &conflict) && waiter.Wait(ctx, commitRetry) {
				// Only the same transaction again tells what became of the first.
				continue
			}
			c.post(ctx, func() { c.handedOver(epoch, h, t, sent, revision, err) })
			return
		}
	})
}

// withRecord adds the other shard's record of the job to the transaction of a
// handover.
func (c *Conductor) withRecord(ctx context.Context, t storeclient.Transaction, h planner.Handover) (storeclient.Transaction, error) {
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

// handedOver applies what became of a handover.
func (c *Conductor) handedOver(epoch int64, h planner.Handover, t storeclient.Transaction, sent time.Time, revision uint64, err error) {
	if c.role != "owning" || c.epoch != epoch {
		return
	}
	c.committing = false
	c.commitAt = c.options.Now().Add(commitInterval)
	c.settle(t, sent, revision, err, "handover")
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

// hasArrived reports whether the other shard's record has the tasks of a
// handover: an earlier attempt at the same transaction was carried out.
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
			if a == first {
				return true
			}
		}
	}
	return false
}

// takeEntry applies an entry under the jobs of the shard: a job, or the word of
// another shard that it has cancelled one.
func (c *Conductor) takeEntry(now time.Time, e storeclient.Entry, progress map[string]storeclient.Entry) {
	if id, ok := strings.CutSuffix(strings.TrimPrefix(e.Key, c.keys.jobs()), cancelledSuffix); ok {
		isKnown := c.planner.Cancel(now, id)
		c.options.Log.Info().Str("job", id).Str("shard", c.options.Shard).Bool("known", isKnown).Msg("conductor: cancelled by another shard")
		return
	}
	c.addJob(now, e, progress)
}
