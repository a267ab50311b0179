package claimer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// memoryStore is an in-memory store that can inject faults.
type memoryStore struct {
	mu       sync.Mutex
	entries  map[string]storeclient.Entry
	revision uint64
	grants   int
	// isDown makes every call fail without an effect. loseNext is the number of
	// next writes that take effect but whose response is lost. delayNext is the
	// number of next writes that fail and are kept in delayed, to take effect
	// later.
	isDown              bool
	loseNext, delayNext int
	delayed             []func()
}

var errLost = &storeclient.UnavailableError{Op: "compare_and_swap", MayHaveApplied: true, Err: errors.New("lost")}

func (m *memoryStore) store() storeclient.Store {
	return storeclient.Store{Get: m.get, CompareAndSwap: m.swap, Watch: m.watch, Grant: func(context.Context, time.Duration) (storeclient.LeaseID, error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.isDown {
			return 0, errLost
		}
		m.grants++
		return storeclient.LeaseID(m.grants), nil
	}}
}

func (m *memoryStore) get(_ context.Context, key string) (storeclient.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isDown {
		return storeclient.Entry{}, errLost
	}
	e, ok := m.entries[key]
	if !ok {
		return e, &storeclient.NotFoundError{Key: key}
	}
	return e, nil
}

func (m *memoryStore) swap(_ context.Context, key string, value []byte, expected uint64, _ storeclient.LeaseID) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isDown {
		return 0, errLost
	}
	apply := func() (uint64, error) {
		if current := m.entries[key].Revision; current != expected {
			return 0, &storeclient.ConflictError{Key: key, Current: current}
		}
		m.revision++
		m.entries[key] = storeclient.Entry{Key: key, Value: value, Revision: m.revision}
		return m.revision, nil
	}
	if m.delayNext > 0 {
		m.delayNext--
		m.delayed = append(m.delayed, func() { _, _ = apply() })
		return 0, errLost
	}
	revision, err := apply()
	if m.loseNext > 0 {
		m.loseNext--
		return 0, errLost
	}
	return revision, err
}

func (m *memoryStore) watch(ctx context.Context, key string, after uint64) (storeclient.Entry, error) {
	for {
		if e, err := m.get(ctx, key); err != nil || e.Revision > after {
			return e, err
		}
		select {
		case <-ctx.Done():
			return storeclient.Entry{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

// update calls f with mu held.
func (m *memoryStore) update(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[string]storeclient.Entry{}} }

func newClaimer(m *memoryStore, holder string, isAlive func(string) bool) *Claimer {
	if isAlive == nil {
		isAlive = func(string) bool { return true }
	}
	return New(Options{Store: m.store(), Holder: holder, IsAlive: isAlive, Registry: prometheus.NewRegistry(), Log: &log.Logger{Level: log.PanicLevel}, PanicOnViolation: true})
}

// within returns a context that ends after d.
func within(c *qt.C, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	c.Cleanup(cancel)
	return ctx
}

var doneOutcome = Outcome{State: Done, HasResponse: true, Head: []byte("head"), Body: []byte("body")}

// TestOneDispatchOverDaemons guards against a second dispatch of a key that
// many requests use through several daemons at the same time, and against a
// repeated request that does not get the outcome of the first.
func TestOneDispatchOverDaemons(t *testing.T) {
	c := qt.New(t)
	m := newMemoryStore()
	claimers := []*Claimer{newClaimer(m, "a", nil), newClaimer(m, "b", nil), newClaimer(m, "c", nil)}
	for key := range 20 {
		var claims atomic.Int64
		var requests sync.WaitGroup
		for i := range 30 {
			requests.Go(func() {
				claim, outcome, err := claimers[i%3].Claim(within(c, 5*time.Second), "s", fmt.Sprint(key), 1)
				c.Check(err, qt.IsNil)
				if claim != nil {
					claims.Add(1)
					time.Sleep(5 * time.Millisecond)
					claim.Complete(within(c, time.Second), doneOutcome)
					return
				}
				if c.Check(outcome, qt.IsNotNil) {
					c.Check(*outcome, qt.DeepEquals, doneOutcome)
				}
			})
		}
		requests.Wait()
		c.Check(claims.Load(), qt.Equals, int64(1))
	}
	c.Check(m.grants, qt.Equals, 3, qt.Commentf("one lease for each daemon and time bucket"))
}

// TestClaimOfDeadHolder guards against a second dispatch of a key whose first
// daemon died before it stored an outcome: the outcome is unknown.
func TestClaimOfDeadHolder(t *testing.T) {
	c := qt.New(t)
	m := newMemoryStore()
	claim, _, err := newClaimer(m, "dead", nil).Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	c.Assert(claim, qt.IsNotNil)
	other := newClaimer(m, "other", func(holder string) bool { return holder != "dead" })
	for range 3 {
		again, outcome, err := other.Claim(within(c, time.Second), "s", "k", 1)
		c.Check(again, qt.IsNil)
		c.Check(outcome, qt.IsNil)
		var undecided *UndecidedError
		c.Check(errors.As(err, &undecided), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// TestReleasedKeyCanBeClaimedAgain guards against a key that stays claimed, on
// this daemon or another, after its request did not run.
func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	c := qt.New(t)
	m := newMemoryStore()
	a, b := newClaimer(m, "a", nil), newClaimer(m, "b", nil)
	for _, cl := range []*Claimer{a, a, b, a} {
		claim, _, err := cl.Claim(within(c, time.Second), "s", "k", 1)
		c.Assert(err, qt.IsNil)
		c.Assert(claim, qt.IsNotNil)
		claim.Release(within(c, time.Second))
	}
}

// TestMismatch guards against a key that is accepted for a different request.
func TestMismatch(t *testing.T) {
	c := qt.New(t)
	m := newMemoryStore()
	a, b := newClaimer(m, "a", nil), newClaimer(m, "b", nil)
	claim, _, err := a.Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	for _, cl := range []*Claimer{a, b} {
		_, _, err := cl.Claim(within(c, time.Second), "s", "k", 2)
		var other *MismatchError
		c.Check(errors.As(err, &other), qt.IsTrue, qt.Commentf("%v", err))
	}
	claim.Complete(within(c, time.Second), doneOutcome)
}

// TestStoreDown guards against a claim without the store, and against the loss
// of an outcome when the store fails while the request runs.
func TestStoreDown(t *testing.T) {
	c := qt.New(t)
	m := newMemoryStore()
	m.isDown = true
	a := newClaimer(m, "a", nil)
	_, _, err := a.Claim(within(c, time.Second), "s", "k", 1)
	var unavailable *UnavailableError
	c.Check(errors.As(err, &unavailable), qt.IsTrue, qt.Commentf("%v", err))
	m.update(func() { m.isDown = false })
	claim, _, err := a.Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	// The outcome must be stored once the store is back. Until then, a repeated
	// request to this daemon must get it.
	m.update(func() { m.isDown = true })
	claim.Complete(within(c, 20*time.Millisecond), doneOutcome)
	_, outcome, err := a.Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	c.Check(*outcome, qt.DeepEquals, doneOutcome)
	m.update(func() { m.isDown = false })
	a.Wait(within(c, 5*time.Second))
	_, outcome, err = newClaimer(m, "b", nil).Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	c.Check(*outcome, qt.DeepEquals, doneOutcome)
}

// TestLostAndLateWrites guards against a key that stays claimed, or is claimed
// again by a delayed write, after the claim's write had no response. The
// request of such a claim does not run.
func TestLostAndLateWrites(t *testing.T) {
	tests := map[string]struct {
		prepare func(*memoryStore)
		// arrivesEarly applies the delayed write before the key is claimed
		// again.
		arrivesEarly bool
	}{
		"lost":                        {prepare: func(m *memoryStore) { m.loseNext = 1 }},
		"late":                        {prepare: func(m *memoryStore) { m.delayNext = 1 }},
		"late, before the next claim": {prepare: func(m *memoryStore) { m.delayNext = 1 }, arrivesEarly: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newMemoryStore()
			a, b := newClaimer(m, "a", nil), newClaimer(m, "b", nil)
			// The lease is granted first, so that the claim is the first write.
			_, err := a.leases.get(context.Background())
			c.Assert(err, qt.IsNil)
			test.prepare(m)
			arrive := func() {
				m.update(func() {
					for _, apply := range m.delayed {
						apply()
					}
				})
			}
			claim, _, err := a.Claim(within(c, time.Second), "s", "k", 1)
			c.Assert(claim, qt.IsNil)
			var unavailable *UnavailableError
			c.Assert(errors.As(err, &unavailable), qt.IsTrue)
			a.Wait(within(c, 5*time.Second))
			if test.arrivesEarly {
				arrive()
			}
			claim, _, err = b.Claim(within(c, time.Second), "s", "k", 1)
			c.Assert(err, qt.IsNil)
			c.Assert(claim, qt.IsNotNil)
			arrive()
			claim.Complete(within(c, time.Second), doneOutcome)
			_, outcome, err := a.Claim(within(c, time.Second), "s", "k", 1)
			c.Assert(err, qt.IsNil)
			c.Check(*outcome, qt.DeepEquals, doneOutcome)
		})
	}
}

// TestLostOutcomeWrite guards against an outcome that is not stored because the
// response to its first write was lost.
func TestLostOutcomeWrite(t *testing.T) {
	c := qt.New(t)
	m := newMemoryStore()
	a := newClaimer(m, "a", nil)
	claim, _, err := a.Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	m.update(func() { m.loseNext = 1 })
	claim.Complete(within(c, time.Second), doneOutcome)
	a.Wait(within(c, 5*time.Second))
	_, outcome, err := newClaimer(m, "b", nil).Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	c.Check(*outcome, qt.DeepEquals, doneOutcome)
}

// TestClaimEndsAtItsDeadline guards against a claim that waits for the store
// beyond its own deadline, also while another claim waits for the lease.
func TestClaimEndsAtItsDeadline(t *testing.T) {
	c := qt.New(t)
	m := newMemoryStore()
	store := m.store()
	store.Grant = func(ctx context.Context, _ time.Duration) (storeclient.LeaseID, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	a := New(Options{Store: store, Holder: "a", IsAlive: func(string) bool { return true }, Registry: prometheus.NewRegistry(), Log: &log.Logger{Level: log.PanicLevel}})
	var requests sync.WaitGroup
	for i := range 10 {
		requests.Go(func() {
			start := time.Now()
			_, _, err := a.Claim(within(c, 100*time.Millisecond), "s", fmt.Sprint(i), 1)
			c.Check(err, qt.IsNotNil)
			c.Check(time.Since(start) < 400*time.Millisecond, qt.IsTrue)
		})
	}
	requests.Wait()
}

// TestOpenClaimsAreBounded guards against a store outage that lets open claims
// use up the memory.
func TestOpenClaimsAreBounded(t *testing.T) {
	c := qt.New(t)
	a := newClaimer(newMemoryStore(), "a", nil)
	for i := range maxOpenClaims {
		claim, _, err := a.Claim(within(c, time.Second), "s", fmt.Sprint(i), 1)
		c.Assert(err, qt.IsNil)
		c.Assert(claim, qt.IsNotNil)
	}
	_, _, err := a.Claim(within(c, time.Second), "s", "more", 1)
	var unavailable *UnavailableError
	c.Check(errors.As(err, &unavailable), qt.IsTrue)
}
