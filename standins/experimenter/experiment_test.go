package experimenter_test

import (
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/standins/experimenter"
)

// compare runs the three default policies on one user's workload and one seed.
func compare(t *testing.T, user string, seed uint64) (firstFit, bestFit, aware experimenter.Result) {
	t.Helper()
	data, err := os.ReadFile("../../workloads/" + user + ".yaml")
	quicktest.Assert(t, err, quicktest.IsNil)
	w, err := declarer.Parse(data)
	quicktest.Assert(t, err, quicktest.IsNil)
	var runs []experimenter.Options
	for _, name := range experimenter.DefaultPolicies() {
		runs = append(runs, experimenter.Options{Workload: w, Seed: seed, Variant: experimenter.VariantOf(name), WarmUp: 3 * time.Minute, Length: 4 * time.Minute})
	}
	results, err := experimenter.RunAll(runs, 3)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Logf("\n%s", experimenter.Table(results))
	for _, r := range results {
		quicktest.Check(t, r.Overcommits, quicktest.Equals, 0, quicktest.Commentf("%s reserves more than the capacity of a worker", r.Variant))
	}
	return results[0], results[1], results[2]
}

// checkGoals guards against changes to estimation, placement or mitigation by
// which the interference-aware policy misses its goals: a p99 latency at least
// 30% below that of best fit, no less batch work than best fit, and at least 10%
// more batch work than first fit.
func checkGoals(t *testing.T, user string, seed uint64) {
	firstFit, bestFit, aware := compare(t, user, seed)
	quicktest.Check(t, aware.P99.Seconds() <= 0.7*bestFit.P99.Seconds(), quicktest.IsTrue, quicktest.Commentf("p99 %v is not 30%% below best fit's %v", aware.P99, bestFit.P99))
	quicktest.Check(t, aware.Work >= bestFit.Work, quicktest.IsTrue, quicktest.Commentf("batch work %.0f is less than best fit's %.0f", aware.Work, bestFit.Work))
	quicktest.Check(t, aware.Work >= 1.1*firstFit.Work, quicktest.IsTrue, quicktest.Commentf("batch work %.0f is not 10%% above first fit's %.0f", aware.Work, firstFit.Work))
}

func TestGoalsHooghly(t *testing.T) { checkGoals(t, "hooghly", 1) }

func TestGoalsTricahue(t *testing.T) { checkGoals(t, "tricahue", 1) }

// TestRunIsDeterministic guards against results that depend on anything but the
// options of a run.
func TestRunIsDeterministic(t *testing.T) {
	data, err := os.ReadFile("../../workloads/tricahue.yaml")
	quicktest.Assert(t, err, quicktest.IsNil)
	w, err := declarer.Parse(data)
	quicktest.Assert(t, err, quicktest.IsNil)
	o := experimenter.Options{Workload: w, Seed: 7, Variant: experimenter.InterferenceAware(), WarmUp: time.Minute, Length: 2 * time.Minute}
	a, err := experimenter.Run(o)
	quicktest.Assert(t, err, quicktest.IsNil)
	b, err := experimenter.Run(o)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, b, quicktest.DeepEquals, a)
}
