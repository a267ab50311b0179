// Package committer stores a shard's ledger: a log of numbered records in a
// ring of store keys, and a snapshot that covers the older records.
package committer

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// ringSlots is the number of ledger keys of a shard. A slot is reused only
	// after a snapshot covers its record.
	ringSlots = 1024
	// reservedSlots are not used by Append, so that a new owner can begin and
	// write a snapshot even if the ring is full.
	reservedSlots = 64
	// maxWriteAttempts bounds how often one call retries a write after a
	// conflict.
	maxWriteAttempts = 4
)

// Record is one entry of the log.
type Record struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Epoch is the number of the shard's owner, counted from 1. It never
	// decreases along the log.
	Epoch  uint64 `cbor:"2,keyasint"`
	Writer string `cbor:"3,keyasint"`
	// Nonce identifies the append, so that a writer whose answer was lost
	// recognises its own record.
	Nonce string `cbor:"4,keyasint"`
	// Begin is set on the first record of an owner.
	Begin   bool               `cbor:"5,keyasint,omitempty"`
	Changes []scheduler.Change `cbor:"6,keyasint,omitempty"`
	// Release is set on the last record of an owner that stopped in a planned
	// way.
	Release bool   `cbor:"7,keyasint,omitempty"`
	Shard   string `cbor:"8,keyasint"`
}

// Horizons is, by class, how long after the append of the record that sets it
// leases may be renewed.
type Horizons map[declarer.Class]time.Duration

// snapshotDocument is the encoded value of a snapshot key.
type snapshotDocument struct {
	Sequence uint64             `cbor:"1,keyasint"`
	Epoch    uint64             `cbor:"2,keyasint"`
	State    scheduler.Snapshot `cbor:"3,keyasint"`
	Shard    string             `cbor:"4,keyasint"`
	Horizons Horizons           `cbor:"5,keyasint,omitempty"`
}

// Options configures a Ledger.
type Options struct {
	Store storeclient.Store
	Shard string
	// Writer is the id of this daemon's process.
	Writer string
}

// Ledger is one daemon's access to a shard's log. It must be used by one
// goroutine at a time.
type Ledger struct {
	options Options
	epoch   uint64
	// next is the sequence number of the next record.
	next uint64
	// revisions maps a slot to its store revision, if known. A slot has no
	// entry while a write to it is undecided.
	revisions map[uint64]uint64
	// covered is the sequence number of the last record that the stored
	// snapshot covers.
	covered uint64
	// snapshotRevision is the store revision of the snapshot, zero if there is
	// none.
	snapshotRevision uint64
	// pending holds the records of the current append that aren't known to be
	// committed, in order.
	pending  []Record
	horizons Horizons
}

// New returns a ledger that must be replayed before its first append.
func New(o Options) *Ledger {
	return &Ledger{options: o, revisions: map[uint64]uint64{}, horizons: Horizons{}}
}

// Epoch returns the epoch of this owner.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// Next returns the sequence number of the next record.
func (l *Ledger) Next() uint64 { return l.next }

// Uncovered returns the number of records that the stored snapshot doesn't
// cover.
func (l *Ledger) Uncovered() uint64 { return l.next - 1 - l.covered }

// Horizons returns the latest recorded horizons. A release record ends those
// that it doesn't set itself.
func (l *Ledger) Horizons() Horizons { return l.horizons }

func (l *Ledger) slotKey(sequence uint64) string {
	return fmt.Sprintf("ledger/%s/%d", l.options.Shard, sequence%ringSlots)
}

func (l *Ledger) snapshotKey() string { return "snapshot/" + l.options.Shard }

// recordMetadata updates the ledger's horizons from a committed record.
func (l *Ledger) recordMetadata(r Record) {
	if r.Release {
		clear(l.horizons)
	}
	for _, ch := range r.Changes {
		if ch.HorizonSet != nil {
			l.horizons[ch.HorizonSet.Class] = ch.HorizonSet.Length
		}
	}
}

// Begin starts a new epoch with its first record, which fences every earlier
// owner. It returns a FencedError if another owner began first.
func (l *Ledger) Begin(ctx context.Context, changes []scheduler.Change) error {
	l.epoch++
	return l.appendRecords(ctx, ringSlots, []Record{{Begin: true, Changes: changes}})
}

// Append commits changes as one record, or as several records if one would
// exceed the store's limit. After a FencedError the changes are not all
// committed, and after an UndecidedError it is not known whether they are.
func (l *Ledger) Append(ctx context.Context, changes []scheduler.Change) error {
	records, err := l.splitIntoRecords(changes)
	if err != nil {
		return err
	}
	return l.appendRecords(ctx, ringSlots-reservedSlots, records)
}

// Release appends the last record of an owner that stops. The caller must have
// ended all lease renewals. The changes set the horizons of earlier owners that
// may still renew leases.
func (l *Ledger) Release(ctx context.Context, changes []scheduler.Change) error {
	return l.appendRecords(ctx, ringSlots, []Record{{Release: true, Changes: changes}})
}

// splitIntoRecords distributes changes over records that fit the store's
// limit.
func (l *Ledger) splitIntoRecords(changes []scheduler.Change) ([]Record, error) {
	r := Record{Sequence: l.next, Epoch: l.epoch, Writer: l.options.Writer, Nonce: uuid.Nil.String(), Changes: changes, Shard: l.options.Shard}
	value, err := encode(r)
	if err != nil {
		return nil, err
	}
	if len(value) <= maxRecordBytes {
		return []Record{r}, nil
	}
	if len(changes) == 1 {
		return nil, &TooLargeError{l.slotKey(l.next), len(value), maxRecordBytes}
	}
	first, err := l.splitIntoRecords(changes[:len(changes)/2])
	if err != nil {
		return nil, err
	}
	second, err := l.splitIntoRecords(changes[len(changes)/2:])
	return append(first, second...), err
}

// maxRecordBytes leaves space for the sequence number and the nonce, which are
// set only after a record's size is checked.
const maxRecordBytes = storeclient.MaxValueBytes - 1000

// appendRecords numbers and writes records. It returns a FullError if more than
// slots records would not be covered by the snapshot.
func (l *Ledger) appendRecords(ctx context.Context, slots uint64, records []Record) error {
	if len(l.pending) > 0 {
		return &UndecidedError{l.options.Shard, l.next, errors.New("the previous append is not settled")}
	}
	if l.Uncovered()+uint64(len(records)) > slots {
		return &FullError{l.options.Shard, l.Uncovered()}
	}
	for i := range records {
		r := &records[i]
		r.Sequence, r.Epoch, r.Writer, r.Nonce, r.Shard = l.next+uint64(i), l.epoch, l.options.Writer, uuid.NewString(), l.options.Shard
	}
	l.pending = records
	return l.Settle(ctx)
}

// Settle determines whether the undecided append took effect, and repeats it
// if not. It returns nil once all records of the append are committed.
func (l *Ledger) Settle(ctx context.Context) error {
	ctx = storeclient.WithClass(ctx, storeclient.ClassLedger)
	for len(l.pending) > 0 {
		r := l.pending[0]
		if err := l.writeRecord(ctx, r); err != nil {
			return err
		}
		l.pending = l.pending[1:]
		l.next++
		l.recordMetadata(r)
	}
	return nil
}

// writeRecord writes a record unless its slot already holds it.
func (l *Ledger) writeRecord(ctx context.Context, r Record) error {
	value, err := encode(r)
	if err != nil {
		return err
	}
	slot := r.Sequence % ringSlots
	for range maxWriteAttempts {
		expected, known := l.revisions[slot]
		if !known {
			found, revision, err := l.readRecord(ctx, r.Sequence)
			var corrupt *CorruptError
			switch {
			case errors.As(err, &corrupt):
				return err
			case err != nil:
				return &UndecidedError{l.options.Shard, r.Sequence, err}
			case found.Sequence == r.Sequence && found.Nonce == r.Nonce:
				l.revisions[slot] = revision
				return nil
			case found.Sequence >= r.Sequence:
				return &FencedError{l.options.Shard, r.Sequence, found.Writer, found.Epoch}
			}
			expected = revision
		}
		delete(l.revisions, slot)
		revision, err := l.options.Store.CompareAndSwap(ctx, l.slotKey(r.Sequence), value, expected, 0)
		var conflict *storeclient.ConflictError
		switch {
		case err == nil:
			l.revisions[slot] = revision
			return nil
		case !errors.As(err, &conflict):
			return &UndecidedError{l.options.Shard, r.Sequence, err}
		}
	}
	return &UndecidedError{l.options.Shard, r.Sequence, errors.New("every write attempt conflicted")}
}

// Compact writes a snapshot that covers all records so far. state must be the
// state after the last committed record. A FencedError means that a later
// owner has written a snapshot; after any other error the ledger can still be
// used.
func (l *Ledger) Compact(ctx context.Context, state scheduler.Snapshot) error {
	ctx = storeclient.WithClass(ctx, storeclient.ClassLedger)
	d := snapshotDocument{l.next - 1, l.epoch, state, l.options.Shard, l.horizons}
	value, err := encode(d)
	if err != nil {
		return err
	}
	if len(value) > storeclient.MaxValueBytes {
		return &TooLargeError{l.snapshotKey(), len(value), storeclient.MaxValueBytes}
	}
	for range maxWriteAttempts {
		var revision uint64
		revision, err = l.options.Store.CompareAndSwap(ctx, l.snapshotKey(), value, l.snapshotRevision, 0)
		if err == nil {
			l.snapshotRevision, l.covered = revision, d.Sequence
			return nil
		}
		// The write may have taken effect; the stored snapshot shows whether
		// it did.
		found, foundRevision, readErr := l.readSnapshot(ctx)
		if readErr != nil {
			return readErr
		}
		if found.Epoch > l.epoch {
			return &FencedError{l.options.Shard, found.Sequence, "a later owner", found.Epoch}
		}
		l.snapshotRevision, l.covered = foundRevision, found.Sequence
		if found.Epoch == l.epoch && found.Sequence == d.Sequence {
			return nil
		}
	}
	return err
}
