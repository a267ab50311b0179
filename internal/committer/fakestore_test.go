package committer

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// fault is what goes wrong at one store call.
type fault int

const (
	noFault fault = iota
	// errorBefore fails the call without an effect.
	errorBefore
	// lostAfter gives the call its effect and loses the answer.
	lostAfter
	// conflict lets another owner begin just before the call.
	conflict
	// slow fails the call, whose effect comes after the next call.
	slow
)

var faultNames = map[string]fault{"error before": errorBefore, "lost after": lostAfter, "conflict": conflict, "slow": slow}

// fakeStore is a key-value service with faults at chosen calls.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]storeclient.Entry
	revision uint64
	// calls counts the calls since faults was set, from zero.
	calls  int
	faults map[int]fault
	// chosen are the faults of the operation under test.
	chosen map[int]fault
	// rival is called for a conflict, one call at a time.
	rival   func()
	rivalry sync.Mutex
	late    func()
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]storeclient.Entry{}} }

func (f *fakeStore) arm(faults map[int]fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls, f.faults = 0, faults
}

func (f *fakeStore) begin() fault {
	f.mu.Lock()
	kind := f.faults[f.calls]
	f.calls++
	rival := f.rival
	f.mu.Unlock()
	if kind == conflict && rival != nil {
		f.rivalry.Lock()
		defer f.rivalry.Unlock()
		rival()
	}
	return kind
}

func (f *fakeStore) settleLate() {
	f.mu.Lock()
	late := f.late
	f.late = nil
	f.mu.Unlock()
	if late != nil {
		late()
	}
}

func (f *fakeStore) swap(key string, value []byte, expected uint64) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.entries[key].Revision; current != expected {
		return 0, &storeclient.ConflictError{Key: key, Current: current}
	}
	f.revision++
	f.entries[key] = storeclient.Entry{Key: key, Value: value, Revision: f.revision}
	return f.revision, nil
}

func (f *fakeStore) get(key string) (storeclient.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.entries[key]
	if !ok {
		return entry, &storeclient.NotFoundError{Key: key}
	}
	return entry, nil
}

// client returns the adapter, with or without faults.
func (f *fakeStore) client(faulty bool) storeclient.Store {
	lost := func(op, key string) error {
		return &storeclient.UnavailableError{Op: op, Key: key, MayHaveApplied: true, Err: errors.New("injected")}
	}
	return storeclient.Store{
		Get: func(_ context.Context, key string) (storeclient.Entry, error) {
			if !faulty {
				return f.get(key)
			}
			kind := f.begin()
			defer f.settleLate()
			if kind == noFault || kind == conflict {
				return f.get(key)
			}
			return storeclient.Entry{}, lost("get", key)
		},
		CompareAndSwap: func(_ context.Context, key string, value []byte, expected uint64, _ storeclient.LeaseID) (uint64, error) {
			if !faulty {
				return f.swap(key, value, expected)
			}
			kind := f.begin()
			if kind == slow {
				f.mu.Lock()
				f.late = func() { _, _ = f.swap(key, value, expected) }
				f.mu.Unlock()
				return 0, lost("compare_and_swap", key)
			}
			defer f.settleLate()
			if kind == errorBefore {
				return 0, lost("compare_and_swap", key)
			}
			revision, err := f.swap(key, value, expected)
			if kind == lostAfter {
				return 0, lost("compare_and_swap", key)
			}
			return revision, err
		},
	}
}

func sum(i int) [32]byte { return sha256.Sum256([]byte(fmt.Sprint(i))) }
