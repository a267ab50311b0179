// Package keeper is an in-memory store with the guarantees of the platform's
// metadata store, for tests and stand-ins. Faults are injected with SetFault.
package keeper

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// Fault is the fault of a call. With Before set the call fails with it and has
// no effect; with After set the call takes effect and then fails with it.
type Fault struct{ Before, After error }

// Keeper is an in-memory store. It is safe for concurrent use.
type Keeper struct {
	now func() time.Time

	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	history  []storeclient.Event
	// compacted is the revision up to which the history was dropped.
	compacted uint64
	leases    map[storeclient.LeaseID]*lease
	lastLease storeclient.LeaseID
	fault     func(op, key string) Fault
	// changed is closed and replaced with each change.
	changed chan struct{}
	// calls counts the calls of each operation.
	calls map[string]int
}

type entry struct {
	storeclient.Entry
	lease storeclient.LeaseID
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// New returns an empty keeper. Leases expire by the clock now.
func New(now func() time.Time) *Keeper {
	return &Keeper{
		now: now, revision: 1, entries: map[string]entry{}, leases: map[storeclient.LeaseID]*lease{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Store returns the operations of the store.
func (k *Keeper) Store() storeclient.PrefixStore {
	return storeclient.PrefixStore{
		Get: k.get, Range: k.readRange, Watch: k.watch, Changes: k.readChanges, Transact: k.transact,
		Grant: k.grant, KeepAlive: k.keepAlive, Revoke: k.revoke,
	}
}

// SetFault sets the function that returns the fault of each call; nil for no
// faults. The operations op are get, range, watch, changes, transact, grant,
// keep_alive and revoke.
func (k *Keeper) SetFault(f func(op, key string) Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
}

// Compact drops the history.
func (k *Keeper) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history, k.compacted = nil, k.revision
	k.notifyWatchers()
}

// Put writes an entry as another writer would.
func (k *Keeper) Put(key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision++
	k.write(key, value, 0)
}

// Remove removes an entry as another writer would.
func (k *Keeper) Remove(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision++
	k.remove(key)
}

// Calls returns how often an operation was called.
func (k *Keeper) Calls(op string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls[op]
}

// beginCall counts a call, ends expired leases and returns the fault of the
// call. The caller holds the lock.
func (k *Keeper) beginCall(op, key string) Fault {
	k.calls[op]++
	now := k.now()
	for id, l := range k.leases {
		if now.After(l.end) {
			k.endLease(id)
		}
	}
	if k.fault == nil {
		return Fault{}
	}
	return k.fault(op, key)
}

func (k *Keeper) endLease(id storeclient.LeaseID) {
	delete(k.leases, id)
	for key, e := range k.entries {
		if e.lease == id {
			k.revision++
			k.remove(key)
		}
	}
}

func (k *Keeper) write(key string, value []byte, id storeclient.LeaseID) {
	e := storeclient.Entry{Key: key, Value: slices.Clone(value), Revision: k.revision, Created: k.revision}
	if old, ok := k.entries[key]; ok {
		e.Created = old.Created
	}
	k.entries[key] = entry{e, id}
	k.history = append(k.history, storeclient.Event{Entry: e})
	k.notifyWatchers()
}

func (k *Keeper) remove(key string) {
	if _, ok := k.entries[key]; !ok {
		return
	}
	delete(k.entries, key)
	k.history = append(k.history, storeclient.Event{Entry: storeclient.Entry{Key: key, Revision: k.revision}, Removed: true})
	k.notifyWatchers()
}

func (k *Keeper) notifyWatchers() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *Keeper) get(_ context.Context, key string) (storeclient.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.beginCall("get", key)
	if f.Before != nil {
		return storeclient.Entry{}, f.Before
	}
	e, ok := k.entries[key]
	if !ok {
		return storeclient.Entry{}, &storeclient.NotFoundError{Key: key}
	}
	return e.Entry, f.After
}

func (k *Keeper) readRange(_ context.Context, prefix string) ([]storeclient.Entry, uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f := k.beginCall("range", prefix); f.Before != nil {
		return nil, 0, f.Before
	}
	var all []storeclient.Entry
	for key, e := range k.entries {
		if strings.HasPrefix(key, prefix) {
			all = append(all, e.Entry)
		}
	}
	slices.SortFunc(all, func(a, b storeclient.Entry) int { return strings.Compare(a.Key, b.Key) })
	return all, k.revision, nil
}

func (k *Keeper) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storeclient.Event, uint64, error) {
	return k.waitForChanges(ctx, "watch", prefix, after, wait)
}

func (k *Keeper) readChanges(ctx context.Context, prefix string, after uint64) ([]storeclient.Event, uint64, error) {
	return k.waitForChanges(ctx, "changes", prefix, after, 0)
}

func (k *Keeper) waitForChanges(ctx context.Context, op, prefix string, after uint64, wait time.Duration) ([]storeclient.Event, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isFirst := true; ; isFirst = false {
		k.mu.Lock()
		if isFirst {
			if f := k.beginCall(op, prefix); f.Before != nil {
				k.mu.Unlock()
				return nil, 0, f.Before
			}
		}
		if after < k.compacted {
			k.mu.Unlock()
			return nil, 0, &storeclient.CompactedError{Prefix: prefix}
		}
		var found []storeclient.Event
		for _, e := range k.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				found = append(found, e)
			}
		}
		revision, changed := k.revision, k.changed
		k.mu.Unlock()
		if len(found) > 0 {
			return found, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, &storeclient.UnavailableError{Op: op, Key: prefix, Err: ctx.Err()}
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

func (k *Keeper) transact(_ context.Context, t storeclient.Transaction) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := ""
	if len(t.Writes) > 0 {
		key = t.Writes[0].Key
	}
	f := k.beginCall("transact", key)
	if f.Before != nil {
		return 0, f.Before
	}
	if len(t.Expect)+len(t.Writes)+len(t.Remove) > storeclient.MaxTransactionEntries {
		return 0, &storeclient.RefusedError{Op: "transact", Status: 400}
	}
	for _, w := range t.Writes {
		if len(w.Value) > storeclient.MaxValueBytes {
			return 0, &storeclient.RefusedError{Op: "transact", Status: 413}
		}
	}
	isConflict := false
	e := &storeclient.ExpectationError{}
	for _, x := range t.Expect {
		current, ok := k.entries[x.Key]
		isConflict = isConflict || current.Revision != x.Revision
		if ok {
			e.Current = append(e.Current, current.Entry)
		}
	}
	if isConflict {
		return 0, e
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && k.leases[w.Lease] == nil {
			return 0, &storeclient.LeaseError{ID: w.Lease}
		}
	}
	k.revision++
	for _, w := range t.Writes {
		k.write(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Remove {
		k.remove(key)
	}
	return k.revision, f.After
}

func (k *Keeper) grant(_ context.Context, ttl time.Duration) (storeclient.LeaseID, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.beginCall("grant", "")
	if f.Before != nil {
		return 0, f.Before
	}
	k.lastLease++
	k.leases[k.lastLease] = &lease{ttl, k.now().Add(ttl)}
	return k.lastLease, f.After
}

func (k *Keeper) keepAlive(_ context.Context, id storeclient.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.beginCall("keep_alive", "")
	if f.Before != nil {
		return f.Before
	}
	l := k.leases[id]
	if l == nil {
		return &storeclient.LeaseError{ID: id}
	}
	l.end = k.now().Add(l.ttl)
	return f.After
}

func (k *Keeper) revoke(_ context.Context, id storeclient.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.beginCall("revoke", "")
	if f.Before != nil {
		return f.Before
	}
	if k.leases[id] == nil {
		return &storeclient.LeaseError{ID: id}
	}
	k.endLease(id)
	return f.After
}
