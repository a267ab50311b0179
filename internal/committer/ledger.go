// Package committer keeps a shard's ledger in the platform's store: a log of
// records with one sequence number each, and a snapshot that covers the older
// ones.
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
	// ringSlots is the number of ledger keys of a shard. A slot is written
	// again only after a snapshot covers its record.
	ringSlots = 1024
	// spareSlots are left free by Append, so that a new owner can begin and
	// write a snapshot when the ring is full.
	spareSlots = 64
	// writeAttempts bounds the conflicts that one call resolves by reading.
	writeAttempts = 4
)

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
	Release bool   `cbor:"7,keyasint,omitempty"`
	Shard   string `cbor:"8,keyasint"`
}

// Horizons are the recorded lengths for which leases of a class may be renewed
// after the record.
type Horizons map[declarer.Class]time.Duration

// snapshotDocument is the value of a snapshot key.
type snapshotDocument struct {
	Sequence uint64             `cbor:"1,keyasint"`
	Epoch    uint64             `cbor:"2,keyasint"`
	State    scheduler.Snapshot `cbor:"3,keyasint"`
	Shard    string             `cbor:"4,keyasint"`
	Horizons Horizons           `cbor:"5,keyasint,omitempty"`
}

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
	// The entry of a slot is absent while a write to it is undecided.
	revisions map[uint64]uint64
	// covered is the sequence number that the durable snapshot covers.
	covered          uint64
	snapshotRevision uint64
	// pending are the records of an append that aren't committed yet, in
	// order.
	pending  []Record
	horizons Horizons
	released bool
}

// New returns a ledger that has read nothing yet.
func New(o Options) *Ledger {
	return &Ledger{options: o, revisions: map[uint64]uint64{}, horizons: Horizons{}}
}

// Epoch returns the epoch of this owner.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// Next returns the sequence number of the next record.
func (l *Ledger) Next() uint64 { return l.next }

// Uncovered returns how many records the durable snapshot doesn't cover.
func (l *Ledger) Uncovered() uint64 { return l.next - 1 - l.covered }

// Horizons returns the recorded horizons.
func (l *Ledger) Horizons() Horizons { return l.horizons }

// Released reports whether the last record is that of an owner that stopped
// all renewals before it wrote it.
func (l *Ledger) Released() bool { return l.released }

func (l *Ledger) slotKey(sequence uint64) string {
	return fmt.Sprintf("ledger/%s/%d", l.options.Shard, sequence%ringSlots)
}

func (l *Ledger) snapshotKey() string { return "snapshot/" + l.options.Shard }

// note takes over what the ledger itself keeps of a committed record.
func (l *Ledger) note(r Record) {
	l.released = r.Release
	for _, ch := range r.Changes {
		if ch.HorizonSet != nil {
			l.horizons[ch.HorizonSet.Class] = ch.HorizonSet.Length
		}
	}
}

// Begin appends the first record of a new epoch, which fences every earlier
// owner. A FencedError tells that another owner was first.
func (l *Ledger) Begin(ctx context.Context, changes []scheduler.Change) error {
	l.epoch++
	return l.append(ctx, ringSlots, []Record{{Begin: true, Changes: changes}})
}

// Append commits changes as one record, or as several when one would be over
// the store's limit. A FencedError or an UndecidedError tells that they
// aren't, or may not be, committed.
func (l *Ledger) Append(ctx context.Context, changes []scheduler.Change) error {
	records, err := l.split(changes)
	if err != nil {
		return err
	}
	return l.append(ctx, ringSlots-spareSlots, records)
}

// Release appends the last record of an owner that stops. All renewals of
// leases must have ended before.
func (l *Ledger) Release(ctx context.Context) error {
	return l.append(ctx, ringSlots, []Record{{Release: true}})
}

// split puts changes into records that the store accepts.
func (l *Ledger) split(changes []scheduler.Change) ([]Record, error) {
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
	first, err := l.split(changes[:len(changes)/2])
	if err != nil {
		return nil, err
	}
	second, err := l.split(changes[len(changes)/2:])
	return append(first, second...), err
}

// maxRecordBytes leaves room for the sequence number and the nonce, which are
// not final when a record's size is checked.
const maxRecordBytes = storeclient.MaxValueBytes - 1000

func (l *Ledger) append(ctx context.Context, slots uint64, records []Record) error {
	if len(l.pending) > 0 {
		return &UndecidedError{l.options.Shard, l.next, errors.New("not settled")}
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

// Settle finds out whether the undecided append took effect, and repeats it if
// it did not. It returns nil when every record of it is committed.
func (l *Ledger) Settle(ctx context.Context) error {
	ctx = storeclient.WithClass(ctx, storeclient.ClassLedger)
	for len(l.pending) > 0 {
		r := l.pending[0]
		if err := l.commit(ctx, r); err != nil {
			return err
		}
		l.pending = l.pending[1:]
		l.next++
		l.note(r)
	}
	return nil
}

// commit writes one record unless its slot has it already.
func (l *Ledger) commit(ctx context.Context, r Record) error {
	value, err := encode(r)
	if err != nil {
		return err
	}
	slot := r.Sequence % ringSlots
	for range writeAttempts {
		expected, known := l.revisions[slot]
		if !known {
			found, revision, err := l.read(ctx, r.Sequence)
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
	return &UndecidedError{l.options.Shard, r.Sequence, errors.New("slot keeps changing")}
}

// Compact writes a snapshot that covers every record so far. state must be the
// state after the last committed record. A FencedError tells that another
// owner has written one; any other error leaves the ledger as it was.
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
	for range writeAttempts {
		var revision uint64
		revision, err = l.options.Store.CompareAndSwap(ctx, l.snapshotKey(), value, l.snapshotRevision, 0)
		if err == nil {
			l.snapshotRevision, l.covered = revision, d.Sequence
			return nil
		}
		// The write may have taken effect; the entry that stands tells.
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
