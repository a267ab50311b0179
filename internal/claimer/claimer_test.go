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

// memory is a store in memory whose next calls can be made to fail.
type memory struct {
	mu       sync.Mutex
	entries  map[string]storeclient.Entry
	revision uint64
	grants   int
	// isDown fails every call before it has an effect; loseNext is the number
	// of writes that take effect and whose response is lost; delayNext is the
	// number of writes that take effect only later.
	isDown              bool
	loseNext, delayNext int
	delayed             []func()
}

var errLost = &storeclient.UnavailableError{Op: "compare_and_swap", MayHaveApplied: true, Err: errors.New("lost")}

func (m *memory) store() storeclient.Store {
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

func (m *memory) get(_ context.Context, key string) (storeclient.Entry, error) {
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

func (m *memory) swap(_ context.Context, key string, value []byte, expected uint64, _ storeclient.LeaseID) (uint64, error) {
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

func (m *memory) watch(ctx context.Context, key string, after uint64) (storeclient.Entry, error) {
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

func (m *memory) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func newMemory() *memory { return &memory{entries: map[string]storeclient.Entry{}} }

func newClaimer(m *memory, holder string, isAlive func(string) bool) *Claimer {
	if isAlive == nil {
		isAlive = func(string) bool { return true }
	}
	return New(Options{Store: m.store(), Holder: holder, IsAlive: isAlive, Registry: prometheus.NewRegistry(), Log: &log.Logger{Level: log.PanicLevel}, PanicOnViolation: true})
}

func within(c *qt.C, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	c.Cleanup(cancel)
	return ctx
}

var done = Outcome{State: Done, IsKept: true, Head: []byte("head"), Body: []byte("body")}

// Many requests with one key over several daemons: one may run, and all get
// its outcome.
func TestOneDispatchOverDaemons(t *testing.T) {
	c := qt.New(t)
	m := newMemory()
	claimers := []*Claimer{newClaimer(m, "a", nil), newClaimer(m, "b", nil), newClaimer(m, "c", nil)}
	for key := range 20 {
		var claims atomic.Int64
		var all sync.WaitGroup
		for i := range 30 {
			all.Go(func() {
				claim, outcome, err := claimers[i%3].Claim(within(c, 5*time.Second), "s", fmt.Sprint(key), 1)
				c.Check(err, qt.IsNil)
				if claim != nil {
					claims.Add(1)
					time.Sleep(5 * time.Millisecond)
					claim.Complete(within(c, time.Second), done)
					return
				}
				if c.Check(outcome, qt.IsNotNil) {
					c.Check(*outcome, qt.DeepEquals, done)
				}
			})
		}
		all.Wait()
		c.Check(claims.Load(), qt.Equals, int64(1))
	}
	c.Check(m.grants, qt.Equals, 3, qt.Commentf("one lease for each daemon and time bucket"))
}

// The claim of a daemon that died leaves the outcome unknown, never a second
// run.
func TestClaimOfDeadHolder(t *testing.T) {
	c := qt.New(t)
	m := newMemory()
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

// A released claim did not run, so that its key can be claimed again, here and
// elsewhere.
func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	c := qt.New(t)
	m := newMemory()
	a, b := newClaimer(m, "a", nil), newClaimer(m, "b", nil)
	for _, cl := range []*Claimer{a, a, b, a} {
		claim, _, err := cl.Claim(within(c, time.Second), "s", "k", 1)
		c.Assert(err, qt.IsNil)
		c.Assert(claim, qt.IsNotNil)
		claim.Release(within(c, time.Second))
	}
}

// A key that was used for another request is refused.
func TestMismatch(t *testing.T) {
	c := qt.New(t)
	m := newMemory()
	a, b := newClaimer(m, "a", nil), newClaimer(m, "b", nil)
	claim, _, err := a.Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	for _, cl := range []*Claimer{a, b} {
		_, _, err := cl.Claim(within(c, time.Second), "s", "k", 2)
		var other *MismatchError
		c.Check(errors.As(err, &other), qt.IsTrue, qt.Commentf("%v", err))
	}
	claim.Complete(within(c, time.Second), done)
}

// No claim without the store.
func TestStoreDown(t *testing.T) {
	c := qt.New(t)
	m := newMemory()
	m.isDown = true
	a := newClaimer(m, "a", nil)
	_, _, err := a.Claim(within(c, time.Second), "s", "k", 1)
	var unavailable *UnavailableError
	c.Check(errors.As(err, &unavailable), qt.IsTrue, qt.Commentf("%v", err))
	m.set(func() { m.isDown = false })
	claim, _, err := a.Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	// The outcome of a request that ran while the store went down is kept and
	// stored afterwards; a repeat here gets it meanwhile.
	m.set(func() { m.isDown = true })
	claim.Complete(within(c, 20*time.Millisecond), done)
	_, outcome, err := a.Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	c.Check(*outcome, qt.DeepEquals, done)
	m.set(func() { m.isDown = false })
	a.Wait(within(c, 5*time.Second))
	_, outcome, err = newClaimer(m, "b", nil).Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	c.Check(*outcome, qt.DeepEquals, done)
}

// A claim whose write lost its response, or arrives late, did not run: the key
// must become free, and the late write must not take it again.
func TestLostAndLateWrites(t *testing.T) {
	tests := map[string]struct {
		prepare func(*memory)
		// isEarly applies the late write before the key is claimed again.
		isEarly bool
	}{
		"lost":                {prepare: func(m *memory) { m.loseNext = 1 }},
		"late":                {prepare: func(m *memory) { m.delayNext = 1 }},
		"late, before others": {prepare: func(m *memory) { m.delayNext = 1 }, isEarly: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newMemory()
			a, b := newClaimer(m, "a", nil), newClaimer(m, "b", nil)
			// The lease exists, so that the claim's own write is the first.
			_, err := a.leases.get(context.Background())
			c.Assert(err, qt.IsNil)
			test.prepare(m)
			arrive := func() {
				m.set(func() {
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
			if test.isEarly {
				arrive()
			}
			claim, _, err = b.Claim(within(c, time.Second), "s", "k", 1)
			c.Assert(err, qt.IsNil)
			c.Assert(claim, qt.IsNotNil)
			arrive()
			claim.Complete(within(c, time.Second), done)
			_, outcome, err := a.Claim(within(c, time.Second), "s", "k", 1)
			c.Assert(err, qt.IsNil)
			c.Check(*outcome, qt.DeepEquals, done)
		})
	}
}

// An outcome whose write lost its response is stored once.
func TestLostOutcomeWrite(t *testing.T) {
	c := qt.New(t)
	m := newMemory()
	a := newClaimer(m, "a", nil)
	claim, _, err := a.Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	m.set(func() { m.loseNext = 1 })
	claim.Complete(within(c, time.Second), done)
	a.Wait(within(c, 5*time.Second))
	_, outcome, err := newClaimer(m, "b", nil).Claim(within(c, time.Second), "s", "k", 1)
	c.Assert(err, qt.IsNil)
	c.Check(*outcome, qt.DeepEquals, done)
}

// A claim waits for the store no longer than its own deadline, also behind
// another one that waits for the lease.
func TestClaimEndsAtItsDeadline(t *testing.T) {
	c := qt.New(t)
	m := newMemory()
	store := m.store()
	store.Grant = func(ctx context.Context, _ time.Duration) (storeclient.LeaseID, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	a := New(Options{Store: store, Holder: "a", IsAlive: func(string) bool { return true }, Registry: prometheus.NewRegistry(), Log: &log.Logger{Level: log.PanicLevel}})
	var all sync.WaitGroup
	for i := range 10 {
		all.Go(func() {
			begun := time.Now()
			_, _, err := a.Claim(within(c, 100*time.Millisecond), "s", fmt.Sprint(i), 1)
			c.Check(err, qt.IsNotNil)
			c.Check(time.Since(begun) < 400*time.Millisecond, qt.IsTrue)
		})
	}
	all.Wait()
}

// Open claims are bounded, so that a store outage doesn't fill the memory.
func TestOpenClaimsAreBounded(t *testing.T) {
	c := qt.New(t)
	a := newClaimer(newMemory(), "a", nil)
	for i := range maxOpen {
		claim, _, err := a.Claim(within(c, time.Second), "s", fmt.Sprint(i), 1)
		c.Assert(err, qt.IsNil)
		c.Assert(claim, qt.IsNotNil)
	}
	_, _, err := a.Claim(within(c, time.Second), "s", "more", 1)
	var unavailable *UnavailableError
	c.Check(errors.As(err, &unavailable), qt.IsTrue)
}
