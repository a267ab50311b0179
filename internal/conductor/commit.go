package conductor

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// maxJobsPerCommit is how many jobs fit into one transaction: each job takes an
// expectation and a write, and the head takes an expectation.
const maxJobsPerCommit = (storeclient.MaxTransactionEntries - 1) / 2

// commit stores progress that isn't stored yet.
func (c *Conductor) commit(ctx context.Context, now time.Time) {
	if c.isCommitting || now.Before(c.nextCommitAt) {
		return
	}
	t, sent := c.newCommit(now)
	if len(sent) == 0 {
		return
	}
	c.isCommitting = true
	c.transact(ctx, t, "progress", func(_ uint64, err error) {
		c.isCommitting = false
		c.nextCommitAt = c.options.Now().Add(commitInterval)
		c.soloCommits = max(0, c.soloCommits-1)
		if err != nil {
			c.nextCommitAt = c.options.Now().Add(storeRetryDelay)
			c.applyRefusedCommit(sent, t, err)
			return
		}
		c.planner.Committed(sent)
		for _, ch := range sent {
			c.noteStored(ch)
			if ch.Progress.State.IsFinal() {
				c.replyCancelled(ch.Job)
			}
		}
	})
}

// newCommit returns a transaction that stores progress which isn't stored yet, and the changes
// in it. It expects the known revision of each record, so that a commit which the store applies
// late can't overwrite a newer one. Progress that can't be stored is held back.
func (c *Conductor) newCommit(now time.Time) (storeclient.Transaction, []planner.Change) {
	changes := c.planner.Changes(c.jobsPerCommit())
	t := storeclient.Transaction{Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}}}
	entries, bytes := 1, 0
	var sent []planner.Change
	for _, ch := range changes {
		key := c.keys.progress(ch.Job)
		value, err := c.encodeProgress(key, ch.Job, ch.Progress)
		if err != nil {
			c.holdCommit(now, ch, len(value), err)
			continue
		}
		entries += 2 + len(ch.Cancels)
		bytes += len(value)
		if len(sent) > 0 && (entries > storeclient.MaxTransactionEntries || bytes > c.maxValueBytes()) {
			break
		}
		sent = append(sent, ch)
		t.Expect = append(t.Expect, storeclient.Expectation{Key: key, Revision: c.revisions[key]})
		t.Writes = append(t.Writes, storeclient.Write{Key: key, Value: value})
	}
	for _, ch := range sent {
		for _, shard := range ch.Cancels {
			t.Writes = append(t.Writes, storeclient.Write{Key: keys{shard}.cancelled(ch.Job), Value: []byte{}})
		}
	}
	return t, sent
}

// replyCancelled answers the callers that wait until the cancellation of a job
// is stored.
func (c *Conductor) replyCancelled(id string) {
	for _, reply := range c.cancelReplies[id] {
		reply(true, nil)
	}
	delete(c.cancelReplies, id)
}

// transact executes t, which must expect the shard's head, in the background
// and calls done with its revision on the control goroutine. operation names t in the log. If
// another expectation fails because an earlier transaction of this owner was
// applied without an answer, only the known revisions are updated.
func (c *Conductor) transact(ctx context.Context, t storeclient.Transaction, operation string, done func(revision uint64, err error)) {
	epoch := c.epoch
	c.background.Go(func() {
		sent := c.options.Now()
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		revision, err := c.options.Store.Transact(bounded, t)
		c.post(ctx, func() {
			if c.role != "owning" || c.epoch != epoch {
				return
			}
			c.applyCommitResult(t, sent, revision, err, operation)
			done(revision, err)
		})
	})
}

// applyCommitResult updates the known revisions after a transaction, and gives
// the shard up if its head has changed.
func (c *Conductor) applyCommitResult(t storeclient.Transaction, sent time.Time, revision uint64, err error, operation string) {
	var conflict *storeclient.ExpectationError
	switch {
	case err == nil:
		c.metrics.commits.WithLabelValues("committed").Inc()
		c.confirmedAt = latest(c.confirmedAt, sent)
		for _, w := range t.Writes {
			if strings.HasPrefix(w.Key, c.keys.prefix()) {
				c.revisions[w.Key] = revision
			}
		}
		for _, key := range t.Remove {
			delete(c.revisions, key)
		}
	case errors.As(err, &conflict):
		c.metrics.commits.WithLabelValues("conflict").Inc()
		if conflict.Revision(c.keys.head()) != c.headRevision {
			c.loseOwnership("a commit found that the head has changed")
			return
		}
		for _, e := range t.Expect {
			if strings.HasPrefix(e.Key, c.keys.prefix()) {
				c.revisions[e.Key] = conflict.Revision(e.Key)
			}
		}
		if operation == capsOperation {
			// The owners of other shards write the same records.
			return
		}
		c.options.Log.Info().Str("what", operation).Msg("conductor: an earlier commit was applied without an answer")
	default:
		c.metrics.commits.WithLabelValues("unanswered").Inc()
		c.options.Log.Warn().Err(err).Str("what", operation).Int("entries", len(t.Writes)).Msg("conductor: not committed")
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recordWorkers stores the workers that a successor has to ask, before they get any runs.
func (c *Conductor) recordWorkers(ctx context.Context, now time.Time) {
	if c.isRecordingWorkers || now.Before(c.nextCommitAt) || !c.planner.NeedsRecord(now) {
		return
	}
	list := c.planner.Recorded(now)
	value, err := marshaler.Marshal(list)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("conductor: list of workers not encoded")
		return
	}
	c.isRecordingWorkers = true
	key := c.keys.workers()
	c.transact(ctx, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}, {Key: key, Revision: c.revisions[key]}},
		Writes: []storeclient.Write{{Key: key, Value: value}},
	}, "workers", func(_ uint64, err error) {
		c.isRecordingWorkers = false
		if err != nil {
			c.nextCommitAt = c.options.Now().Add(storeRetryDelay)
			return
		}
		c.planner.SetRecorded(list)
	})
}

// expiredJob is a job that the planner has forgotten.
type expiredJob struct {
	planner.Job
	// revision is that of the stored progress. A newer job with the same id has another,
	// and its record has a higher one.
	revision uint64
	// removedAt is when the removal was answered; zero before. A read that began earlier
	// may still bring the job's record.
	removedAt time.Time
}

// removeExpiredJobs removes ended jobs from the store once the retention of their state
// has passed. It repeats a removal that has no answer.
func (c *Conductor) removeExpiredJobs(ctx context.Context, now time.Time) {
	if now.Sub(c.lastExpiryAt) < expiryInterval {
		return
	}
	c.lastExpiryAt = now
	c.expired = slices.DeleteFunc(c.expired, func(j *expiredJob) bool {
		return !j.removedAt.IsZero() && now.Sub(j.removedAt) > expiryInterval
	})
	for _, j := range c.planner.Expired(now) {
		c.expired = append(c.expired, &expiredJob{Job: j, revision: c.revisions[c.keys.progress(j.ID)]})
	}
	left := slices.DeleteFunc(slices.Clone(c.expired), func(j *expiredJob) bool { return !j.removedAt.IsZero() })
	// Each job has up to four keys and an expectation, and the head takes one too.
	for batch := range slices.Chunk(left, (storeclient.MaxTransactionEntries-1)/5) {
		t := storeclient.Transaction{Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}}}
		for _, j := range batch {
			t.Expect = append(t.Expect, storeclient.Expectation{Key: c.keys.progress(j.ID), Revision: j.revision})
			t.Remove = append(t.Remove, JobKey(c.options.Shard, j.ID), c.keys.progress(j.ID))
			if c.options.Place != nil {
				// Any shard that has had tasks of the job may have written a notice.
				t.Remove = append(t.Remove, c.keys.cancelled(j.ID))
			}
			if !j.IsPart {
				t.Remove = append(t.Remove, IndexKey(j.ID))
			}
		}
		c.transact(ctx, t, "expiry", func(_ uint64, err error) { c.finishRemoval(batch, err) })
	}
}

// finishRemoval applies the outcome of a removal of expired jobs. After a conflict, those
// whose progress has changed were removed before.
func (c *Conductor) finishRemoval(batch []*expiredJob, err error) {
	var conflict *storeclient.ExpectationError
	isConflict := errors.As(err, &conflict)
	if err != nil && !isConflict {
		return
	}
	for _, j := range batch {
		if err == nil || conflict.Revision(c.keys.progress(j.ID)) != j.revision {
			j.removedAt = c.options.Now()
		}
	}
}

// isExpired reports whether an entry is the record of a job that the planner has forgotten.
func (c *Conductor) isExpired(id string, e storeclient.Entry) bool {
	return slices.ContainsFunc(c.expired, func(j *expiredJob) bool { return j.ID == id && e.Revision < j.revision })
}

// announceRoom stores how much capacity the shard has free, for daemons that
// accept jobs.
func (c *Conductor) announceRoom(ctx context.Context, now time.Time) {
	if c.isAnnouncing || c.options.Place == nil || now.Sub(c.lastAnnouncementAt) < announceInterval {
		return
	}
	room := c.planner.Room(now)
	c.options.Log.Info().Str("shard", c.options.Shard).Int64("free", room.Free).Int64("spare", room.Spare).Int64("largest", room.Largest.CPU).
		Int("workers", room.Workers).Msg("conductor: room announced")
	value, err := marshaler.Marshal(room)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("conductor: room not encoded")
		return
	}
	c.isAnnouncing, c.lastAnnouncementAt = true, now
	c.transact(ctx, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}},
		Writes: []storeclient.Write{{Key: c.keys.room(), Value: value}},
	}, "room", func(uint64, error) { c.isAnnouncing = false })
}
