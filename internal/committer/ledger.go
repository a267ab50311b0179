// Package committer keeps a shard's ledger in the platform's store: a log of
// records with one sequence number each, and a snapshot that covers the older
// ones.
package committer

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// ringSlots is the number of ledger keys of a shard. A slot is written again
// only after a snapshot covers its record.
const ringSlots = 1024

// Record is one entry of the log.
type Record struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Epoch counts the owners of the shard; it never falls along the log.
	Epoch  uint64 `cbor:"2,keyasint"`
	Writer string `cbor:"3,keyasint"`
	// Nonce tells this append from any other, so that a writer whose answer
	// was lost recognises its own record.
	Nonce string `cbor:"4,keyasint"`
	// Begin is set on the first record of an owner.
	Begin   bool               `cbor:"5,keyasint,omitempty"`
	Changes []scheduler.Change `cbor:"6,keyasint,omitempty"`
	// Release is set on the last record of an owner that stops.
	Release bool `cbor:"7,keyasint,omitempty"`
}

// snapshotDocument is the value of a snapshot key.
type snapshotDocument struct {
	Sequence uint64             `cbor:"1,keyasint"`
	Epoch    uint64             `cbor:"2,keyasint"`
	State    scheduler.Snapshot `cbor:"3,keyasint"`
}

// FencedError reports that another owner has written to the log. The core that
// made the changes must be dropped.
type FencedError struct {
	Shard    string
	Sequence uint64
	Writer   string
	Epoch    uint64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("ledger: %s: record %d was written by %s in epoch %d", e.Shard, e.Sequence, e.Writer, e.Epoch)
}

// UndecidedError reports an append of which it isn't known whether it took
// effect. Settle must succeed before the next append.
type UndecidedError struct {
	Shard    string
	Sequence uint64
	Err      error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("ledger: %s: record %d is undecided: %v", e.Shard, e.Sequence, e.Err)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Err }

// Options are what a ledger depends on.
type Options struct {
	Store storeclient.Store
	Shard string
	// Writer is the id of this daemon's process.
	Writer string
}

// Ledger is one daemon's hold on a shard's log. One goroutine uses it.
type Ledger struct {
	options Options
	epoch   uint64
	// next is the sequence number of the next record.
	next uint64
	// revisions has the known store revision of each slot; absent is unknown.
	revisions map[uint64]uint64
	// covered is the sequence number that the durable snapshot covers.
	covered          uint64
	snapshotRevision uint64
	// undecided is the record whose append has no answer yet.
	undecided *Record
}

// New returns a ledger that has read nothing yet.
func New(o Options) *Ledger {
	return &Ledger{options: o, revisions: map[uint64]uint64{}}
}

// Epoch returns the epoch of this owner.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// Next returns the sequence number of the next record.
func (l *Ledger) Next() uint64 { return l.next }

// Uncovered returns how many records the durable snapshot doesn't cover.
func (l *Ledger) Uncovered() uint64 { return l.next - 1 - l.covered }

func (l *Ledger) slotKey(sequence uint64) string {
	return fmt.Sprintf("ledger/%s/%d", l.options.Shard, sequence%ringSlots)
}

func (l *Ledger) snapshotKey() string { return "snapshot/" + l.options.Shard }

// Replay reads the snapshot and the records after it into core, which must be
// empty.
func (l *Ledger) Replay(ctx context.Context, core *scheduler.Core) error {
	ctx = storeclient.WithClass(ctx, storeclient.ClassLedger)
	if err := l.replaySnapshot(ctx, core); err != nil {
		return err
	}
	for {
		r, revision, err := l.read(ctx, l.next)
		if err != nil {
			return err
		}
		l.revisions[l.next%ringSlots] = revision
		if r.Sequence != l.next {
			return nil
		}
		for i, ch := range r.Changes {
			if err := core.Apply(ch); err != nil {
				return errors.Wrapf(err, "ledger: %s: record %d, change %d", l.options.Shard, r.Sequence, i)
			}
		}
		l.epoch = r.Epoch
		l.next++
	}
}

func (l *Ledger) replaySnapshot(ctx context.Context, core *scheduler.Core) error {
	l.next = 1
	entry, err := l.options.Store.Get(ctx, l.snapshotKey())
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	var d snapshotDocument
	if err := decode(entry.Value, &d); err != nil {
		return errors.Wrapf(err, "ledger: %s: snapshot", l.options.Shard)
	}
	l.snapshotRevision, l.covered, l.epoch, l.next = entry.Revision, d.Sequence, d.Epoch, d.Sequence+1
	return core.Restore(d.State)
}

// read returns the record in the slot of a sequence number, which may be that
// of an earlier round or, for an empty slot, the zero Record.
func (l *Ledger) read(ctx context.Context, sequence uint64) (Record, uint64, error) {
	entry, err := l.options.Store.Get(ctx, l.slotKey(sequence))
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	var r Record
	if err := decode(entry.Value, &r); err != nil {
		return Record{}, 0, errors.Wrapf(err, "ledger: %s: record %d", l.options.Shard, sequence)
	}
	return r, entry.Revision, nil
}

// Begin appends the first record of a new epoch, which fences every earlier
// owner.
func (l *Ledger) Begin(ctx context.Context) error {
	l.epoch++
	return l.append(ctx, Record{Begin: true})
}

// Append commits changes as one record. A FencedError or an UndecidedError
// tells that they aren't, or may not be, committed.
func (l *Ledger) Append(ctx context.Context, changes []scheduler.Change) error {
	return l.append(ctx, Record{Changes: changes})
}

// Release appends the last record of an owner that stops.
func (l *Ledger) Release(ctx context.Context) error {
	return l.append(ctx, Record{Release: true})
}

func (l *Ledger) append(ctx context.Context, r Record) error {
	if l.undecided != nil {
		return &UndecidedError{l.options.Shard, l.undecided.Sequence, errors.New("not settled")}
	}
	if l.next-l.covered >= ringSlots {
		return errors.Errorf("ledger: %s: %d records are not covered by a snapshot", l.options.Shard, l.next-1-l.covered)
	}
	r.Sequence, r.Epoch, r.Writer, r.Nonce = l.next, l.epoch, l.options.Writer, uuid.NewString()
	return l.write(storeclient.WithClass(ctx, storeclient.ClassLedger), r)
}

func (l *Ledger) write(ctx context.Context, r Record) error {
	slot := r.Sequence % ringSlots
	expected, known := l.revisions[slot]
	if !known {
		old, revision, err := l.read(ctx, r.Sequence)
		if err != nil {
			l.undecided = &r
			return &UndecidedError{l.options.Shard, r.Sequence, err}
		}
		if old.Sequence >= r.Sequence {
			return &FencedError{l.options.Shard, r.Sequence, old.Writer, old.Epoch}
		}
		expected = revision
	}
	value, err := encode(r)
	if err != nil {
		return err
	}
	revision, err := l.options.Store.CompareAndSwap(ctx, l.slotKey(r.Sequence), value, expected, 0)
	var conflict *storeclient.ConflictError
	switch {
	case err == nil:
		l.revisions[slot] = revision
		l.next++
		return nil
	case errors.As(err, &conflict):
		return l.settleRecord(ctx, r)
	}
	l.undecided = &r
	return &UndecidedError{l.options.Shard, r.Sequence, err}
}

// Settle finds out whether the undecided append took effect, and repeats it if
// it did not. It returns nil when the record is committed.
func (l *Ledger) Settle(ctx context.Context) error {
	if l.undecided == nil {
		return nil
	}
	return l.settleRecord(storeclient.WithClass(ctx, storeclient.ClassLedger), *l.undecided)
}

func (l *Ledger) settleRecord(ctx context.Context, r Record) error {
	found, revision, err := l.read(ctx, r.Sequence)
	if err != nil {
		l.undecided = &r
		return &UndecidedError{l.options.Shard, r.Sequence, err}
	}
	l.undecided = nil
	l.revisions[r.Sequence%ringSlots] = revision
	if found.Sequence < r.Sequence {
		return l.write(ctx, r)
	}
	if found.Sequence == r.Sequence && found.Writer == r.Writer && found.Nonce == r.Nonce {
		l.next++
		return nil
	}
	return &FencedError{l.options.Shard, r.Sequence, found.Writer, found.Epoch}
}

// Compact writes a snapshot that covers every record so far. state must be the
// state after the last committed record.
func (l *Ledger) Compact(ctx context.Context, state scheduler.Snapshot) error {
	ctx = storeclient.WithClass(ctx, storeclient.ClassLedger)
	d := snapshotDocument{Sequence: l.next - 1, Epoch: l.epoch, State: state}
	value, err := encode(d)
	if err != nil {
		return err
	}
	if len(value) > storeclient.MaxValueBytes {
		return errors.Errorf("ledger: %s: snapshot of %d bytes is over the store's limit of %d", l.options.Shard, len(value), storeclient.MaxValueBytes)
	}
	revision, err := l.options.Store.CompareAndSwap(ctx, l.snapshotKey(), value, l.snapshotRevision, 0)
	if err == nil {
		l.snapshotRevision, l.covered = revision, d.Sequence
		return nil
	}
	// The write may have taken effect; the entry that stands tells.
	entry, readErr := l.options.Store.Get(ctx, l.snapshotKey())
	if readErr != nil {
		return err
	}
	var found snapshotDocument
	if decodeErr := decode(entry.Value, &found); decodeErr != nil {
		return decodeErr
	}
	l.snapshotRevision, l.covered = entry.Revision, found.Sequence
	if found.Epoch > l.epoch {
		return &FencedError{l.options.Shard, found.Sequence, "a later owner", found.Epoch}
	}
	return nil
}
