package configurer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

func TestMain(m *testing.M) {
	// A fixed seed makes every run check the same cases.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// checkOutcome checks that the result of Propose matches the store, and that
// repeating an undecided change gets it accepted exactly once.
func checkOutcome(c *qt.C, s *fakeStore, ch Change, revision uint64, err error) {
	// Late writes take effect first.
	time.Sleep(2 * lateDelay)
	var undecided *UndecidedError
	accepted := s.acceptedRevisions(c, ch.ID)
	switch {
	case err == nil:
		c.Assert(accepted, qt.DeepEquals, []uint64{revision})
	case errors.As(err, &undecided):
		again, repeatErr := newConfigurer(s).Propose(context.Background(), ch)
		c.Assert(repeatErr, qt.IsNil)
		c.Assert(s.acceptedRevisions(c, ch.ID), qt.DeepEquals, []uint64{again})
	default:
		c.Assert(accepted, qt.HasLen, 0, qt.Commentf("refused with %v", err))
	}
}

// TestProposeUnderFaults guards against a change that is lost, applied twice
// or wrongly reported as refused. It injects each fault at each store call,
// and each pair of faults at each pair of calls.
func TestProposeUnderFaults(t *testing.T) {
	const calls = 6
	plans := map[string]map[int]fault{"no fault": {}}
	for i := range calls {
		for _, f := range faults {
			plans[fmt.Sprintf("%s at call %d", f, i)] = map[int]fault{i: f}
			for j := i + 1; j < calls; j++ {
				for _, g := range faults {
					plans[fmt.Sprintf("%s at call %d and %s at call %d", f, i, g, j)] = map[int]fault{i: f, j: g}
				}
			}
		}
	}
	for name, plan := range plans {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newSeededStore(t)
			s.plan = plan
			conf := newConfigurer(s)
			ch := Change{ID: "mine", Operator: "me", Summary: "declare", Edit: declareService(9)}
			revision, err := conf.Propose(context.Background(), ch)
			c.Logf("%s: %d, %v", name, revision, err)
			s.plan = nil
			var undecided *UndecidedError
			if len(plan) < 2 {
				c.Assert(errors.As(err, &undecided), qt.IsFalse, qt.Commentf("the outcome must be known after a single fault"))
			}
			checkOutcome(c, s, ch, revision, err)
			_, err = conf.readAndApply(context.Background())
			c.Assert(err, qt.IsNil)
			heads := s.heads(c)
			c.Assert(conf.revision(), qt.Equals, heads[len(heads)-1].Revision)
		})
	}
	c := qt.New(t)
	c.Assert(len(plans) > 500, qt.IsTrue)
}

func TestProposeRefusals(t *testing.T) {
	base := Change{ID: "mine", Operator: "me", Summary: "preset peak", Edit: setPreset(declarer.Peak)}
	tests := map[string]struct {
		change func(Change) Change
		want   string
	}{
		"malformed id":   {func(ch Change) Change { ch.ID = "No Good"; return ch }, `(?s).*change_id: got "No Good".*`},
		"no operator":    {func(ch Change) Change { ch.Operator = ""; return ch }, `(?s).*operator: got "".*`},
		"unknown preset": {func(ch Change) Change { ch.Edit = setPreset("calm"); return ch }, `(?s).*preset: got "calm", want one of.*`},
		"edit refuses":   {func(ch Change) Change { ch.Edit = func(*declarer.Config) error { return errStore }; return ch }, "injected"},
		"other revision": {func(ch Change) Change { ch.Expected = 1; return ch }, "refused: .* at revision 2, not 1; seed made change second at revision 2: seed; .*"},
		"id of another":  {func(ch Change) Change { ch.ID = "second"; return ch }, `change_id: "second" belongs to the change at revision 2 by seed: seed; .*`},
		"invalid work":   {func(ch Change) Change { ch.Edit = declareService(1_000_000); return ch }, `(?s).*services\[0\].replicas: got 1000000, want 0 to 10000.*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newSeededStore(t)
			_, err := newConfigurer(s).Propose(context.Background(), test.change(base))
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(s.heads(c), qt.HasLen, 2)
		})
	}
}

// TestRepeatedChange guards against a repeated change that is applied again
// after other changes were accepted.
func TestRepeatedChange(t *testing.T) {
	c := qt.New(t)
	s := newSeededStore(t)
	ch := Change{ID: "mine", Operator: "me", Summary: "preset peak", Edit: setPreset(declarer.Peak)}
	for range declarer.KeptChanges - 1 {
		revision, err := newConfigurer(s).Propose(context.Background(), ch)
		c.Assert(err, qt.IsNil)
		c.Assert(revision, qt.Equals, uint64(3))
		s.acceptOtherChange()
	}
	c.Assert(s.acceptedRevisions(c, "mine"), qt.DeepEquals, []uint64{3})
}

// TestConflictNamesOtherChange guards against a refused change that is applied
// in part, or whose error doesn't name the accepted change.
func TestConflictNamesOtherChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSeededStore(t)
		conf := newConfigurer(s)
		// A change of the head alone makes three calls: get head, get work,
		// swap head.
		s.plan = map[int]fault{2: otherChangeFirst}
		_, err := conf.Propose(context.Background(), Change{ID: "mine", Operator: "me", Summary: "out", Edit: func(d *declarer.Config) error {
			d.DomainsOut = []string{"east"}
			return nil
		}})
		var conflict *ConflictError
		c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(conflict.Other.Operator, qt.Equals, "other")
		c.Assert(conflict.Other.Revision, qt.Equals, uint64(3))
		config, _ := conf.Current()
		c.Assert(config.Revision, qt.Equals, uint64(3))
		c.Assert(config.DomainsOut, qt.HasLen, 0)
	})
}

// TestRateLimitedProposalIsRefused guards against reporting a change as
// undecided when the rate limit kept its write from being sent.
func TestRateLimitedProposalIsRefused(t *testing.T) {
	c := qt.New(t)
	s := newSeededStore(t)
	store := s.store()
	store.CompareAndSwap = func(context.Context, string, []byte, uint64, storeclient.LeaseID) (uint64, error) {
		return 0, &storeclient.LimitError{Class: storeclient.ClassConfig}
	}
	conf := newConfigurer(s)
	conf.options.Store = store
	_, err := conf.Propose(context.Background(), Change{ID: "mine", Operator: "me", Summary: "preset peak", Edit: setPreset(declarer.Peak)})
	var limited *storeclient.LimitError
	c.Assert(errors.As(err, &limited), qt.IsTrue)
}

// TestRacingOperators guards against conflicting changes that are both
// accepted and against wrong results, with concurrent proposals through
// several daemons and random faults.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		operators := rapid.IntRange(2, 4).Draw(rt, "operators")
		rounds := rapid.IntRange(1, 4).Draw(rt, "rounds")
		plan := map[int]fault{}
		for i, f := range rapid.SliceOfN(rapid.SampledFrom(slices.Concat(faults, []fault{noFault, noFault, noFault, noFault, noFault, noFault})), 0, 40).Draw(rt, "faults") {
			plan[i] = f
		}
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newSeededStore(t)
			s.plan = plan
			type outcome struct {
				change   Change
				revision uint64
				err      error
			}
			outcomes := make([][]outcome, operators)
			var wg sync.WaitGroup
			for i := range operators {
				wg.Go(func() {
					conf := newConfigurer(s)
					highest := uint64(0)
					for r := range rounds {
						id := fmt.Sprintf("op%d-%d", i, r)
						ch := Change{ID: id, Operator: id, Summary: id, Edit: declareService(10*i + r)}
						revision, err := conf.Propose(context.Background(), ch)
						outcomes[i] = append(outcomes[i], outcome{ch, revision, err})
						if conf.revision() < highest {
							panic("a revision fell")
						}
						highest = conf.revision()
					}
				})
			}
			wg.Wait()
			s.mu.Lock()
			s.plan = nil
			s.mu.Unlock()
			for _, list := range outcomes {
				for _, o := range list {
					checkOutcome(c, s, o.change, o.revision, o.err)
				}
			}
		})
	})
}
