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
	// A fixed seed gives the same verdict on each run.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// checkOutcome checks that what Propose reported is what the store has, and
// that a repeat of an undecided change is accepted once.
func checkOutcome(c *qt.C, s *fakeStore, ch Change, revision uint64, err error) {
	// Writes that are still on their way arrive first.
	time.Sleep(2 * lateBy)
	var undecided *UndecidedError
	accepted := s.accepted(c, ch.ID)
	switch {
	case err == nil:
		c.Assert(accepted, qt.DeepEquals, []uint64{revision})
	case errors.As(err, &undecided):
		again, repeatErr := newConfigurer(s).Propose(context.Background(), ch)
		c.Assert(repeatErr, qt.IsNil)
		c.Assert(s.accepted(c, ch.ID), qt.DeepEquals, []uint64{again})
	default:
		c.Assert(accepted, qt.HasLen, 0, qt.Commentf("refused with %v", err))
	}
}

// TestProposeUnderFaults guards against a lost change, a change that is applied
// twice and a refusal that is not true, with each fault at each call of the
// store, alone and twice.
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
			s := seeded(t)
			s.plan = plan
			conf := newConfigurer(s)
			ch := Change{ID: "mine", Operator: "me", Summary: "declare", Edit: declareService(9)}
			revision, err := conf.Propose(context.Background(), ch)
			c.Logf("%s: %d, %v", name, revision, err)
			s.plan = nil
			var undecided *UndecidedError
			if len(plan) < 2 {
				c.Assert(errors.As(err, &undecided), qt.IsFalse, qt.Commentf("one fault must be settled"))
			}
			checkOutcome(c, s, ch, revision, err)
			_, err = conf.read(context.Background())
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
			s := seeded(t)
			_, err := newConfigurer(s).Propose(context.Background(), test.change(base))
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(s.heads(c), qt.HasLen, 2)
		})
	}
}

// TestRepeatedChange guards against a repeated change that is applied twice,
// also after others were accepted since.
func TestRepeatedChange(t *testing.T) {
	c := qt.New(t)
	s := seeded(t)
	ch := Change{ID: "mine", Operator: "me", Summary: "preset peak", Edit: setPreset(declarer.Peak)}
	for range declarer.KeptChanges - 1 {
		revision, err := newConfigurer(s).Propose(context.Background(), ch)
		c.Assert(err, qt.IsNil)
		c.Assert(revision, qt.Equals, uint64(3))
		s.overtake()
	}
	c.Assert(s.accepted(c, "mine"), qt.DeepEquals, []uint64{3})
}

// TestConflictShowsTheOther guards against a loser that is applied in part or
// isn't told what it lost against.
func TestConflictShowsTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := seeded(t)
		conf := newConfigurer(s)
		// The calls of a change of the head alone are: head, work, swap.
		s.plan = map[int]fault{2: overtaken}
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

// TestLimitChangesNothing guards against an undecided result for a call that
// was never sent.
func TestLimitChangesNothing(t *testing.T) {
	c := qt.New(t)
	s := seeded(t)
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

// TestRacingOperators guards against two winners of one race and against
// results that are not true, with several daemons and random faults.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		operators := rapid.IntRange(2, 4).Draw(rt, "operators")
		rounds := rapid.IntRange(1, 4).Draw(rt, "rounds")
		plan := map[int]fault{}
		for i, f := range rapid.SliceOfN(rapid.SampledFrom(slices.Concat(faults, []fault{none, none, none, none, none, none})), 0, 40).Draw(rt, "faults") {
			plan[i] = f
		}
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := seeded(t)
			s.plan = plan
			type outcome struct {
				change   Change
				revision uint64
				err      error
			}
			outcomes := make([][]outcome, operators)
			var parts sync.WaitGroup
			for i := range operators {
				parts.Go(func() {
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
			parts.Wait()
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
