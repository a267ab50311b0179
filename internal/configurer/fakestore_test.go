package configurer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// fault is an injected failure of one store call.
type fault string

const (
	noFault fault = ""
	// failBefore fails a call before it takes effect.
	failBefore fault = "error before effect"
	// loseAnswer fails a call after it took effect.
	loseAnswer fault = "answer lost after effect"
	// applyLate fails a call, which takes effect lateDelay later.
	applyLate fault = "effect after error"
	// otherChangeFirst lets another operator's change be accepted before the
	// call.
	otherChangeFirst fault = "conflict"
	// answerSlowly delays a call by nearly its timeout.
	answerSlowly fault = "slow"
	// showOld returns the value before the current one.
	showOld fault = "old value"
)

var faults = []fault{failBefore, loseAnswer, applyLate, otherChangeFirst, answerSlowly, showOld}

const (
	// lateDelay is how long after the failed call an applyLate fault takes
	// effect, and slowDelay how long an answerSlowly fault delays a call.
	lateDelay = 300 * time.Millisecond
	slowDelay = 1900 * time.Millisecond
)

var errStore = errors.New("injected")

// fakeStore is an in-memory store that keeps the history of each key.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	history  map[string][]storeclient.Entry
	changed  chan struct{}
	// calls counts the calls that can fail; plan maps the number of a call to
	// its fault.
	calls int
	plan  map[int]fault
	// faultFor, if set, selects the fault of each call by operation and
	// replaces plan.
	faultFor func(op string) fault
	// otherChanges counts the changes of acceptOtherChange.
	otherChanges int
}

func newFakeStore() *fakeStore {
	return &fakeStore{history: map[string][]storeclient.Entry{}, changed: make(chan struct{}), plan: map[int]fault{}}
}

func (s *fakeStore) nextFault(op string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultFor != nil {
		return s.faultFor(op)
	}
	s.calls++
	return s.plan[s.calls-1]
}

// entryAt returns an entry in the history of a key; back counts from the
// latest one, which is 0.
func (s *fakeStore) entryAt(key string, back int) (storeclient.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.history[key]) - back; n > 0 {
		return s.history[key][n-1], nil
	}
	return storeclient.Entry{}, &storeclient.NotFoundError{Key: key}
}

func (s *fakeStore) swap(key string, value []byte, expected uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := uint64(0)
	if n := len(s.history[key]); n > 0 {
		current = s.history[key][n-1].Revision
	}
	if current != expected {
		return 0, &storeclient.ConflictError{Key: key, Current: current}
	}
	s.revision++
	s.history[key] = append(s.history[key], storeclient.Entry{Key: key, Value: value, Revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, nil
}

func unavailable(op, key string) error {
	return &storeclient.UnavailableError{Op: op, Key: key, MayHaveApplied: true, Err: errStore}
}

func (s *fakeStore) store() storeclient.Store {
	return storeclient.Store{Get: s.get, CompareAndSwap: s.compareAndSwap, Watch: s.watch}
}

func (s *fakeStore) get(ctx context.Context, key string) (storeclient.Entry, error) {
	switch s.nextFault("get") {
	case failBefore, loseAnswer, applyLate:
		return storeclient.Entry{}, unavailable("get", key)
	case answerSlowly:
		sleep(ctx, slowDelay)
	case showOld:
		return s.entryAt(key, 1)
	}
	return s.entryAt(key, 0)
}

func (s *fakeStore) compareAndSwap(ctx context.Context, key string, value []byte, expected uint64, _ storeclient.LeaseID) (uint64, error) {
	switch s.nextFault("swap") {
	case failBefore:
		return 0, unavailable("swap", key)
	case loseAnswer:
		_, _ = s.swap(key, value, expected)
		return 0, unavailable("swap", key)
	case applyLate:
		time.AfterFunc(lateDelay, func() { _, _ = s.swap(key, value, expected) })
		return 0, unavailable("swap", key)
	case otherChangeFirst:
		if key == configKey {
			s.acceptOtherChange()
		}
	case answerSlowly:
		sleep(ctx, slowDelay)
	}
	return s.swap(key, value, expected)
}

func (s *fakeStore) watch(ctx context.Context, key string, after uint64) (storeclient.Entry, error) {
	for {
		s.mu.Lock()
		changed, faultFor := s.changed, s.faultFor
		s.mu.Unlock()
		if faultFor != nil && faultFor("watch") != noFault {
			sleep(ctx, lateDelay)
			return storeclient.Entry{}, unavailable("watch", key)
		}
		if e, err := s.entryAt(key, 0); err == nil && e.Revision > after {
			return e, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return storeclient.Entry{}, ctx.Err()
		}
	}
}

// setFaultFor replaces the function that selects the fault of each call.
func (s *fakeStore) setFaultFor(f func(op string) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFor = f
}

// acceptOtherChange accepts another operator's change without faults.
func (s *fakeStore) acceptOtherChange() {
	s.mu.Lock()
	plain := &fakeStore{history: s.history, revision: s.revision, changed: make(chan struct{}), plan: map[int]fault{}}
	s.otherChanges++
	id := fmt.Sprintf("other-%d", s.otherChanges)
	_, err := newConfigurer(plain).Propose(context.Background(), Change{ID: id, Operator: "other", Summary: "preset peak", Edit: setPreset(declarer.Peak)})
	if err != nil {
		panic(err)
	}
	s.revision, s.history = plain.revision, plain.history
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// heads returns every head that was stored, oldest first.
func (s *fakeStore) heads(c *qt.C) []declarer.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	var heads []declarer.Head
	for i, e := range s.history[configKey] {
		h, err := declarer.DecodeHead(e.Value)
		c.Assert(err, qt.IsNil)
		c.Assert(h.Revision, qt.Equals, uint64(i+1), qt.Commentf("accepted changes must have consecutive revisions"))
		heads = append(heads, h)
	}
	return heads
}

// acceptedRevisions returns the revisions at which a change id was accepted.
func (s *fakeStore) acceptedRevisions(c *qt.C, id string) []uint64 {
	var revisions []uint64
	for _, h := range s.heads(c) {
		if h.Changes[len(h.Changes)-1].ID == id {
			revisions = append(revisions, h.Revision)
		}
	}
	return revisions
}

func newConfigurer(s *fakeStore) *Configurer {
	return New(Options{
		Store: s.store(), Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Violated: func(_ int, problem string) { panic(problem) },
	})
}

func setPreset(p declarer.Preset) func(*declarer.Config) error {
	return func(c *declarer.Config) error {
		c.Preset = p
		return nil
	}
}

// declareService returns an edit that changes the head and the declared work.
func declareService(replicas int) func(*declarer.Config) error {
	return func(c *declarer.Config) error {
		c.Domains = []string{"east", "west"}
		c.Teams = []declarer.Team{{Name: "team", Weight: 1}}
		c.Services = []declarer.Service{{Name: "web", Team: "team", Replicas: replicas, Resources: declarer.Resources{MilliCPU: 1, MemoryMB: 1}}}
		return nil
	}
}

// newSeededStore returns a store with two accepted changes.
func newSeededStore(t testing.TB) *fakeStore {
	s := newFakeStore()
	c := newConfigurer(s)
	for i, id := range []string{"first", "second"} {
		if _, err := c.Propose(context.Background(), Change{ID: id, Operator: "seed", Summary: "seed", Edit: declareService(i + 1)}); err != nil {
			t.Fatal(err)
		}
	}
	s.calls = 0
	return s
}
