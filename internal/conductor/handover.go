package conductor

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

// handoverInterval is the minimum time between two searches for tasks to hand
// over.
const handoverInterval = 100 * time.Millisecond

// unusableRecordDelay is how long the tasks of a job wait after a handover that failed
// because a record of the job can't be used. The job has the longest wait each time, and
// would take the room that another shard has announced from all other jobs.
const unusableRecordDelay = 5 * time.Second

// UnusableRecordError reports a record of a job that can't be decoded, encoded or stored.
type UnusableRecordError struct {
	Key string
	Err error
}

func (e *UnusableRecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *UnusableRecordError) Unwrap() error { return e.Err }

// cancelledSuffix is appended to the key of a job in another shard to tell that
// shard that the job is cancelled. Both shards have tasks of the job.
const cancelledSuffix = "/cancelled"

func (k keys) cancelled(id string) string { return k.jobs() + id + cancelledSuffix }

// maxHandovers is the number of handovers that fit into one transaction, which has the
// shard's head and two expectations and two writes for each.
const maxHandovers = (storeclient.MaxTransactionEntries - 1) / 4

// handOverTasks hands long-running tasks that can't be placed in this shard
// over to shards with free capacity. It counts as a commit because it changes
// the progress of jobs.
func (c *Conductor) handOverTasks(ctx context.Context, now time.Time) {
	if c.options.Place == nil || c.isCommitting || now.Sub(c.lastHandoverAt) < handoverInterval || !c.isOwnershipConfirmed(now) {
		return
	}
	c.lastHandoverAt = now
	maps.DeleteFunc(c.heldHandovers, func(_ string, until time.Time) bool { return !now.Before(until) })
	var list []planner.Handover
	jobs := map[string]bool{}
	for _, h := range c.planner.Unplaced(now) {
		if len(list) == maxHandovers {
			break
		}
		if jobs[h.Job] {
			// Both would write the progress of the job.
			continue
		}
		if _, isHeld := c.heldHandovers[h.Job]; isHeld {
			continue
		}
		to, count := c.options.Place(h.Need, h.Count, h.IsUrgent)
		if count == 0 {
			continue
		}
		if handover, ok := c.planner.HandOver(now, h, count, to); ok {
			list, jobs[h.Job] = append(list, handover), true
		}
	}
	if len(list) > 0 {
		c.storeHandovers(ctx, list)
	}
}

// pendingHandover is a handover with its part of a transaction.
type pendingHandover struct {
	planner.Handover
	// expect and writes are those of the job's progress in this shard and of its record
	// in the other one.
	expect [2]storeclient.Expectation
	writes [2]storeclient.Write
	// err is why the handover is not in the transaction, or nil.
	err error
}

// storeHandovers stores handovers of different jobs in the background, in one
// transaction. One whose records can't be read or encoded is left out. No progress is
// committed meanwhile, so only the handovers themselves can change the revisions that
// they expect.
func (c *Conductor) storeHandovers(ctx context.Context, handovers []planner.Handover) {
	list := make([]pendingHandover, len(handovers))
	for i, h := range handovers {
		key := c.keys.progress(h.Job.ID)
		value, err := c.encodeProgress(key, h.Job.ID, h.Change.Progress)
		list[i] = pendingHandover{Handover: h, err: err}
		list[i].expect[0] = storeclient.Expectation{Key: key, Revision: c.revisions[key]}
		list[i].writes[0] = storeclient.Write{Key: key, Value: value}
	}
	c.isCommitting = true
	epoch, head := c.epoch, storeclient.Expectation{Key: c.keys.head(), Revision: c.headRevision}
	c.background.Go(func() {
		c.readPeerRecords(ctx, list)
		t := storeclient.Transaction{Expect: []storeclient.Expectation{head}}
		for i := range list {
			if h := &list[i]; h.err == nil {
				t.Expect, t.Writes = append(t.Expect, h.expect[:]...), append(t.Writes, h.writes[:]...)
			}
		}
		if len(t.Writes) == 0 {
			c.post(ctx, func() { c.finishHandovers(epoch, list, t, c.options.Now(), 0, list[0].err) })
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
			c.post(ctx, func() { c.finishHandovers(epoch, list, t, sent, revision, err) })
			return
		}
	})
}

// readPeerRecords reads the other shards' records of the jobs that are handed over, all at
// the same time, and adds the writes that change them.
func (c *Conductor) readPeerRecords(ctx context.Context, list []pendingHandover) {
	var reads sync.WaitGroup
	for i := range list {
		if list[i].err == nil {
			reads.Go(func() { list[i].err = c.readPeerRecord(ctx, &list[i]) })
		}
	}
	reads.Wait()
}

func (c *Conductor) readPeerRecord(ctx context.Context, h *pendingHandover) error {
	key := JobKey(h.To, h.Job.ID)
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := c.options.Store.Get(bounded, key)
	var missing *storeclient.NotFoundError
	record := h.Job
	switch {
	case errors.As(err, &missing):
	case err != nil:
		return err
	default:
		known, err := planner.Decode[planner.Job](entry.Value)
		if err != nil {
			return &UnusableRecordError{key, err}
		}
		known.Arrived = planner.MergeArrivals(known.Arrived, record.Arrived)
		record = known
	}
	value, err := encodeStorable(key, record, c.maxValueBytes())
	h.expect[1] = storeclient.Expectation{Key: key, Revision: entry.Revision}
	h.writes[1] = storeclient.Write{Key: key, Value: value}
	return err
}

// encodeStorable returns the stored form of the record at key. It fails if the store would
// refuse the record, which has more than limit bytes then, and with it the whole transaction.
func encodeStorable[T planner.Job | planner.Progress](key string, record T, limit int) ([]byte, error) {
	value, err := planner.Encode(record)
	if err == nil && len(value) > limit {
		err = errors.Errorf("%d bytes, more than the store accepts", len(value))
	}
	if err != nil {
		return value, &UnusableRecordError{key, err}
	}
	return value, nil
}

// finishHandovers applies the outcome of a transaction of handovers.
func (c *Conductor) finishHandovers(epoch int64, list []pendingHandover, t storeclient.Transaction, sent time.Time, revision uint64, err error) {
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
	// One arrival shows that an earlier attempt was applied, and so all of the transaction.
	isApplied := err == nil || errors.As(err, &conflict) && slices.ContainsFunc(list, func(h pendingHandover) bool {
		return h.err == nil && hasArrived(conflict, h.Handover)
	})
	for _, h := range list {
		cause := err
		if h.err != nil {
			cause = h.err
		}
		isStored := h.err == nil && isApplied
		c.metrics.handovers.WithLabelValues(map[bool]string{true: "done", false: "not_done"}[isStored]).Inc()
		c.options.Log.Info().Str("job", h.Job.ID).Str("shard", c.options.Shard).Str("to", h.To).Int("tasks", len(h.Job.Arrived)).
			Int64("epoch", c.epoch).Bool("stored", isStored).AnErr("cause", cause).Msg("conductor: tasks handed over")
		if isStored {
			c.planner.HandedOver(h.Handover)
		} else {
			c.planner.HandoverFailed(h.Handover)
		}
		var unusable *UnusableRecordError
		if errors.As(h.err, &unusable) {
			c.heldHandovers[h.Job.ID] = c.options.Now().Add(unusableRecordDelay)
		}
	}
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
