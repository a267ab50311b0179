package committer

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// fault is an injected failure of one store call.
type fault int

const (
	noFault fault = iota
	// errorBefore fails the call before it takes effect.
	errorBefore
	// answerLost lets the call take effect and fails it.
	answerLost
	// conflict lets another owner begin right before the call.
	conflict
	// lateEffect fails the call, which takes effect after the next call.
	lateEffect
)

var faultNames = map[string]fault{"error before": errorBefore, "answer lost": answerLost, "conflict": conflict, "late effect": lateEffect}

// fakeStore is an in-memory store that fails selected calls.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]storeclient.Entry
	revision uint64
	// calls counts the calls since setFaults.
	calls  int
	faults map[int]fault
	// chosenFaults are the faults for the operation under test.
	chosenFaults map[int]fault
	// rival begins an epoch as another owner, for a conflict. rivalMu
	// serialises its calls.
	rival   func()
	rivalMu sync.Mutex
	// lateWrite is the write of a lateEffect fault that is not applied yet.
	lateWrite func()
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]storeclient.Entry{}} }

func (f *fakeStore) setFaults(faults map[int]fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls, f.faults = 0, faults
}

func (f *fakeStore) nextFault() fault {
	f.mu.Lock()
	kind := f.faults[f.calls]
	f.calls++
	rival := f.rival
	f.mu.Unlock()
	if kind == conflict && rival != nil {
		f.rivalMu.Lock()
		defer f.rivalMu.Unlock()
		rival()
	}
	return kind
}

func (f *fakeStore) applyLateWrite() {
	f.mu.Lock()
	late := f.lateWrite
	f.lateWrite = nil
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

// client returns a store adapter, with injected faults if faulty is set.
func (f *fakeStore) client(faulty bool) storeclient.Store {
	unavailable := func(op, key string) error {
		return &storeclient.UnavailableError{Op: op, Key: key, MayHaveApplied: true, Err: errors.New("injected")}
	}
	return storeclient.Store{
		Get: func(_ context.Context, key string) (storeclient.Entry, error) {
			if !faulty {
				return f.get(key)
			}
			kind := f.nextFault()
			defer f.applyLateWrite()
			if kind == noFault || kind == conflict {
				return f.get(key)
			}
			return storeclient.Entry{}, unavailable("get", key)
		},
		CompareAndSwap: func(_ context.Context, key string, value []byte, expected uint64, _ storeclient.LeaseID) (uint64, error) {
			if !faulty {
				return f.swap(key, value, expected)
			}
			kind := f.nextFault()
			if kind == lateEffect {
				f.mu.Lock()
				f.lateWrite = func() { _, _ = f.swap(key, value, expected) }
				f.mu.Unlock()
				return 0, unavailable("compare_and_swap", key)
			}
			defer f.applyLateWrite()
			if kind == errorBefore {
				return 0, unavailable("compare_and_swap", key)
			}
			revision, err := f.swap(key, value, expected)
			if kind == answerLost {
				return 0, unavailable("compare_and_swap", key)
			}
			return revision, err
		},
	}
}

func hashOf(i int) [32]byte { return sha256.Sum256([]byte(fmt.Sprint(i))) }
