package experimenter_test

import (
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/standins/experimenter"
)

// compare runs the three policies on one user and seed.
func compare(t *testing.T, user string, seed uint64) (first, best, ours experimenter.Result) {
	t.Helper()
	data, err := os.ReadFile("../../workloads/" + user + ".yaml")
	quicktest.Assert(t, err, quicktest.IsNil)
	w, err := declarer.Parse(data)
	quicktest.Assert(t, err, quicktest.IsNil)
	var plan []experimenter.Options
	for _, name := range experimenter.DefaultPolicies() {
		plan = append(plan, experimenter.Options{Workload: w, Seed: seed, Variant: experimenter.VariantOf(name), WarmUp: 3 * time.Minute, Length: 4 * time.Minute})
	}
	results, err := experimenter.RunAll(plan, 3)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Logf("\n%s", experimenter.Table(results))
	for _, r := range results {
		quicktest.Check(t, r.Overcommits, quicktest.Equals, 0, quicktest.Commentf("%s reserves more than a worker has", r.Variant))
	}
	return results[0], results[1], results[2]
}

// The tests below guard the goals of the policy against a change of the
// estimates, of placement or of mitigation. Their bounds are the goals.
func checkGoals(t *testing.T, user string, seed uint64) {
	first, best, ours := compare(t, user, seed)
	quicktest.Check(t, ours.P99.Seconds() <= 0.7*best.P99.Seconds(), quicktest.IsTrue, quicktest.Commentf("p99 %v is not 30%% below best fit's %v", ours.P99, best.P99))
	quicktest.Check(t, ours.Work >= best.Work, quicktest.IsTrue, quicktest.Commentf("batch work %.0f is less than best fit's %.0f", ours.Work, best.Work))
	quicktest.Check(t, ours.Work >= 1.1*first.Work, quicktest.IsTrue, quicktest.Commentf("batch work %.0f is not 10%% above first fit's %.0f", ours.Work, first.Work))
}

func TestGoalsHooghly(t *testing.T) { checkGoals(t, "hooghly", 1) }

func TestGoalsTricahue(t *testing.T) { checkGoals(t, "tricahue", 1) }

// Guards against a run that depends on anything but its seed.
func TestRunIsRepeatable(t *testing.T) {
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
