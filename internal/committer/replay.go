package committer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// maxReadWindow bounds the number of slots that a replay reads
	// concurrently. The first window is initialReadWindow, since most replays
	// follow a recent snapshot and read few records.
	maxReadWindow     = 64
	initialReadWindow = 8
	// rateLimitDelay is the delay before a read is retried that the class's
	// rate limit rejected.
	rateLimitDelay = 100 * time.Millisecond
)

// Replay reads the snapshot and all later records into core, which must be
// empty. It returns a StaleError if another owner wrote at the same time, and
// a CorruptError for an invalid value.
func (l *Ledger) Replay(ctx context.Context, core *scheduler.Core) error {
	ctx = storeclient.WithClass(ctx, storeclient.ClassLedger)
	d, revision, err := l.readSnapshot(ctx)
	if err != nil {
		return err
	}
	l.next = d.Sequence + 1
	if revision != 0 {
		l.snapshotRevision, l.covered, l.epoch = revision, d.Sequence, d.Epoch
		if d.Horizons != nil {
			l.horizons = d.Horizons
		}
		if err := core.Restore(d.State); err != nil {
			return &CorruptError{l.snapshotKey(), err}
		}
	}
	for window := initialReadWindow; ; window = min(2*window, maxReadWindow) {
		more, err := l.replayWindow(ctx, core, window)
		if err != nil || !more {
			return err
		}
	}
}

// slotRead is the result of reading one slot.
type slotRead struct {
	record   Record
	revision uint64
	err      error
}

// replayWindow applies up to n records and reports whether more may follow. A
// record that is appended during the reads may go unnoticed here, but then it
// conflicts with the record that Begin writes.
func (l *Ledger) replayWindow(ctx context.Context, core *scheduler.Core, n int) (bool, error) {
	reads := make([]slotRead, n)
	var wg sync.WaitGroup
	for i := range reads {
		wg.Go(func() {
			reads[i].record, reads[i].revision, reads[i].err = l.readRecord(ctx, l.next+uint64(i))
		})
	}
	wg.Wait()
	for _, s := range reads {
		if s.err != nil {
			return false, s.err
		}
		if s.record.Sequence > l.next {
			return false, &StaleError{l.options.Shard, l.next, s.record.Sequence}
		}
		l.revisions[l.next%ringSlots] = s.revision
		if s.record.Sequence < l.next {
			return false, nil
		}
		if err := l.applyRecord(core, s.record); err != nil {
			return false, &CorruptError{l.slotKey(l.next), err}
		}
		l.next++
	}
	return true, nil
}

// applyRecord checks a record's epoch and applies its changes to core.
func (l *Ledger) applyRecord(core *scheduler.Core, r Record) error {
	if r.Epoch < l.epoch || r.Begin != (r.Epoch > l.epoch) {
		return errors.Errorf("record %d (begin %t) has epoch %d after epoch %d", r.Sequence, r.Begin, r.Epoch, l.epoch)
	}
	for i, ch := range r.Changes {
		if err := core.Apply(ch); err != nil {
			return errors.Wrapf(err, "record %d, change %d", r.Sequence, i)
		}
	}
	l.epoch = r.Epoch
	l.recordMetadata(r)
	return nil
}

// getWithRetry reads a value and retries while the class's rate limit rejects
// the read.
func (l *Ledger) getWithRetry(ctx context.Context, key string) (storeclient.Entry, error) {
	for {
		entry, err := l.options.Store.Get(ctx, key)
		var limited *storeclient.LimitError
		if !errors.As(err, &limited) {
			return entry, err
		}
		select {
		case <-ctx.Done():
			return entry, err
		case <-time.After(rateLimitDelay):
		}
	}
}

// readSnapshot returns the stored snapshot and its store revision, or a zero
// document and revision zero if there is no snapshot.
func (l *Ledger) readSnapshot(ctx context.Context) (snapshotDocument, uint64, error) {
	var d snapshotDocument
	entry, err := l.getWithRetry(ctx, l.snapshotKey())
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return d, 0, nil
	}
	if err != nil {
		return d, 0, err
	}
	err = decode(entry.Value, &d)
	if err == nil && (d.Shard != l.options.Shard || d.Sequence == 0) {
		err = errors.Errorf("holds record %d of shard %q", d.Sequence, d.Shard)
	}
	if err != nil {
		return snapshotDocument{}, 0, &CorruptError{l.snapshotKey(), err}
	}
	return d, entry.Revision, nil
}

// readRecord returns the record in the slot of a sequence number, and the
// slot's store revision. The record may be of another round of the ring, and
// it is the zero Record if the slot is empty.
func (l *Ledger) readRecord(ctx context.Context, sequence uint64) (Record, uint64, error) {
	entry, err := l.getWithRetry(ctx, l.slotKey(sequence))
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var r Record
	err = decode(entry.Value, &r)
	if err == nil && (r.Shard != l.options.Shard || r.Sequence == 0 || r.Sequence%ringSlots != sequence%ringSlots) {
		err = errors.Errorf("holds record %d of shard %q", r.Sequence, r.Shard)
	}
	if err != nil {
		return Record{}, 0, &CorruptError{l.slotKey(sequence), err}
	}
	return r, entry.Revision, nil
}
