package conductor

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// maxCommitted is how many jobs fit into one transaction: each takes a
// condition and a write, and the head takes a condition.
const maxCommitted = (storeclient.MaxTransactionEntries - 1) / 2

// commit stores the progress that isn't stored yet. The revision of each record
// is a condition, so that a commit which the store carries out late can't
// overwrite a newer one.
func (c *Conductor) commit(ctx context.Context, now time.Time) {
	if c.committing || now.Before(c.commitAt) {
		return
	}
	changes := c.planner.Changes(maxCommitted)
	if len(changes) == 0 {
		return
	}
	t := storeclient.Transaction{Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}}}
	entries := 1
	for _, h := range changes {
		value, err := planner.Encode(h.Progress)
		if err != nil {
			c.options.Log.Error().Err(err).Str("job", h.Job).Msg("conductor: progress not encoded")
			return
		}
		if entries += 2 + len(h.Cancels); entries > storeclient.MaxTransactionEntries {
			break
		}
		key := c.keys.progress(h.Job)
		t.Expect = append(t.Expect, storeclient.Expectation{Key: key, Revision: c.revisions[key]})
		t.Writes = append(t.Writes, storeclient.Write{Key: key, Value: value})
	}
	changes = changes[:len(t.Writes)]
	for _, h := range changes {
		for _, shard := range h.Cancels {
			t.Writes = append(t.Writes, storeclient.Write{Key: keys{shard}.cancelled(h.Job), Value: []byte{}})
		}
	}
	c.committing = true
	c.transact(ctx, t, "progress", func(err error) {
		c.committing = false
		c.commitAt = c.options.Now().Add(commitInterval)
		if err != nil {
			c.commitAt = c.options.Now().Add(commitRetry)
			return
		}
		c.planner.Committed(changes)
		for _, h := range changes {
			if h.Progress.State == planner.Cancelled || h.Progress.State == planner.Done || h.Progress.State == planner.Failed {
				c.replyCancelled(h.Job)
			}
		}
	})
}

func (c *Conductor) replyCancelled(id string) {
	for _, reply := range c.cancels[id] {
		reply(true, nil)
	}
	delete(c.cancels, id)
}

// transact makes a transaction under the head of the shard in the background
// and calls done on the control goroutine. A condition that fails because this
// owner's own earlier transaction was carried out unanswered only updates the
// known revisions.
func (c *Conductor) transact(ctx context.Context, t storeclient.Transaction, what string, done func(error)) {
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
			c.settle(t, sent, revision, err, what)
			done(err)
		})
	})
}

func (c *Conductor) settle(t storeclient.Transaction, sent time.Time, revision uint64, err error, what string) {
	var conflict *storeclient.ExpectationError
	switch {
	case err == nil:
		c.metrics.commits.WithLabelValues("committed").Inc()
		c.confirmedAt = later(c.confirmedAt, sent)
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
			c.lose("a commit found another head")
			return
		}
		for _, e := range t.Expect {
			if strings.HasPrefix(e.Key, c.keys.prefix()) {
				c.revisions[e.Key] = conflict.Revision(e.Key)
			}
		}
		c.options.Log.Info().Str("what", what).Msg("conductor: an earlier commit was carried out without an answer")
	default:
		c.metrics.commits.WithLabelValues("unanswered").Inc()
		c.options.Log.Warn().Err(err).Str("what", what).Int("entries", len(t.Writes)).Msg("conductor: not committed")
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recordWorkers stores which workers may have runs before they get any.
func (c *Conductor) recordWorkers(ctx context.Context, now time.Time) {
	if c.recording || now.Before(c.commitAt) || !c.planner.NeedsRecord(now) {
		return
	}
	list := c.planner.Recorded(now)
	value, err := cbor.Marshal(list)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("conductor: list of workers not encoded")
		return
	}
	c.recording = true
	key := c.keys.workers()
	c.transact(ctx, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}, {Key: key, Revision: c.revisions[key]}},
		Writes: []storeclient.Write{{Key: key, Value: value}},
	}, "workers", func(err error) {
		c.recording = false
		if err == nil {
			c.planner.SetRecorded(list)
		}
	})
}

// expire removes jobs from the store whose state need not be readable any more.
func (c *Conductor) expire(ctx context.Context, now time.Time) {
	if now.Sub(c.expiredAt) < expiryInterval {
		return
	}
	c.expiredAt = now
	jobs := c.planner.Expired(now)
	for len(jobs) > 0 {
		n := min(len(jobs), (storeclient.MaxTransactionEntries-1)/4)
		t := storeclient.Transaction{Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}}}
		for _, j := range jobs[:n] {
			t.Remove = append(t.Remove, JobKey(c.options.Shard, j.ID), c.keys.progress(j.ID))
			if len(j.Arrived) > 0 || j.IsPart {
				t.Remove = append(t.Remove, c.keys.cancelled(j.ID))
			}
			if !j.IsPart {
				t.Remove = append(t.Remove, IndexKey(j.ID))
			}
		}
		jobs = jobs[n:]
		c.transact(ctx, t, "expiry", func(error) {})
	}
}

// announce stores how much room the shard has, for those who accept jobs.
func (c *Conductor) announce(ctx context.Context, now time.Time) {
	if c.announcing || c.options.Place == nil || now.Sub(c.announcedAt) < announceInterval {
		return
	}
	room := c.planner.Room(now)
	c.options.Log.Info().Str("shard", c.options.Shard).Int64("free", room.Free).Int64("spare", room.Spare).Int64("largest", room.Largest.CPU).
		Int("workers", room.Workers).Msg("conductor: room announced")
	value, err := cbor.Marshal(room)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("conductor: room not encoded")
		return
	}
	c.announcing, c.announcedAt = true, now
	c.transact(ctx, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}},
		Writes: []storeclient.Write{{Key: c.keys.room(), Value: value}},
	}, "room", func(error) { c.announcing = false })
}
