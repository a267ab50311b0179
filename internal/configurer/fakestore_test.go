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

// fault is what a fake store does to one call.
type fault string

const (
	none fault = ""
	// before fails a call before it has an effect.
	before fault = "error before effect"
	// lost loses the answer after the effect.
	lost fault = "answer lost after effect"
	// late has the effect only after the call failed.
	late fault = "effect after error"
	// overtaken lets another operator's change be accepted first.
	overtaken fault = "conflict"
	// slow answers after nearly the call's timeout.
	slow fault = "slow"
	// old shows the value before the last one.
	old fault = "old value"
)

var faults = []fault{before, lost, late, overtaken, slow, old}

const (
	lateBy = 300 * time.Millisecond
	slowBy = 1900 * time.Millisecond
)

var errStore = errors.New("injected")

// fakeStore is a store with a history of each key.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	history  map[string][]storeclient.Entry
	changed  chan struct{}
	// calls counts the calls that may fail; plan has the faults by number.
	calls int
	plan  map[int]fault
	// broken, when set, decides about each call by its operation.
	broken func(op string) fault
	others int
}

func newFakeStore() *fakeStore {
	return &fakeStore{history: map[string][]storeclient.Entry{}, changed: make(chan struct{}), plan: map[int]fault{}}
}

func (s *fakeStore) fault(op string) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		return s.broken(op)
	}
	s.calls++
	return s.plan[s.calls-1]
}

// latest returns the entry at key, or the one before it.
func (s *fakeStore) latest(key string, back int) (storeclient.Entry, error) {
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
	switch s.fault("get") {
	case before, lost, late:
		return storeclient.Entry{}, unavailable("get", key)
	case slow:
		sleep(ctx, slowBy)
	case old:
		return s.latest(key, 1)
	}
	return s.latest(key, 0)
}

func (s *fakeStore) compareAndSwap(ctx context.Context, key string, value []byte, expected uint64, _ storeclient.LeaseID) (uint64, error) {
	switch s.fault("swap") {
	case before:
		return 0, unavailable("swap", key)
	case lost:
		_, _ = s.swap(key, value, expected)
		return 0, unavailable("swap", key)
	case late:
		time.AfterFunc(lateBy, func() { _, _ = s.swap(key, value, expected) })
		return 0, unavailable("swap", key)
	case overtaken:
		if key == configKey {
			s.overtake()
		}
	case slow:
		sleep(ctx, slowBy)
	}
	return s.swap(key, value, expected)
}

func (s *fakeStore) watch(ctx context.Context, key string, after uint64) (storeclient.Entry, error) {
	for {
		s.mu.Lock()
		changed, broken := s.changed, s.broken
		s.mu.Unlock()
		if broken != nil && broken("watch") != none {
			sleep(ctx, lateBy)
			return storeclient.Entry{}, unavailable("watch", key)
		}
		if e, err := s.latest(key, 0); err == nil && e.Revision > after {
			return e, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return storeclient.Entry{}, ctx.Err()
		}
	}
}

// setBroken changes what decides about each call.
func (s *fakeStore) setBroken(f func(op string) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = f
}

// overtake makes another operator's change, without faults.
func (s *fakeStore) overtake() {
	s.mu.Lock()
	plain := &fakeStore{history: s.history, revision: s.revision, changed: make(chan struct{}), plan: map[int]fault{}}
	s.others++
	id := fmt.Sprintf("other-%d", s.others)
	_, err := newConfigurer(plain).Propose(context.Background(), Change{ID: id, Operator: "other", Summary: "preset peak", Edit: setPreset(declarer.Peak)})
	if err != nil {
		panic(err)
	}
	s.revision, s.history = plain.revision, plain.history
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// heads returns every head that was ever stored.
func (s *fakeStore) heads(c *qt.C) []declarer.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	var heads []declarer.Head
	for i, e := range s.history[configKey] {
		h, err := declarer.DecodeHead(e.Value)
		c.Assert(err, qt.IsNil)
		c.Assert(h.Revision, qt.Equals, uint64(i+1), qt.Commentf("accepted changes have one order"))
		heads = append(heads, h)
	}
	return heads
}

// accepted returns the revisions at which a change id was accepted.
func (s *fakeStore) accepted(c *qt.C, id string) []uint64 {
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

// declareService changes the head and the declared work.
func declareService(replicas int) func(*declarer.Config) error {
	return func(c *declarer.Config) error {
		c.Domains = []string{"east", "west"}
		c.Teams = []declarer.Team{{Name: "team", Weight: 1}}
		c.Services = []declarer.Service{{Name: "web", Team: "team", Replicas: replicas, Resources: declarer.Resources{MilliCPU: 1, MemoryMB: 1}}}
		return nil
	}
}

// seeded returns a store with two accepted changes.
func seeded(t testing.TB) *fakeStore {
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
