package loader

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/standins/launcher"
	"tarragonhead.example/tarragonhead/standins/runner"
)

// TestProcessFaults guards against requests that run twice, results of not_run
// for requests that ran, and wrong or truncated responses, while processes are
// killed, suspended and stopped. The command load runs a longer version of it.
func TestProcessFaults(t *testing.T) {
	c := qt.New(t)
	c.Assert(os.Chdir("../.."), qt.IsNil)
	dir := t.TempDir()
	c.Assert(launcher.Build(dir), qt.IsNil)
	data, err := os.ReadFile("workloads/hooghly.yaml")
	c.Assert(err, qt.IsNil)
	w, err := declarer.Parse(data)
	c.Assert(err, qt.IsNil)
	report, err := RunFaults(FaultOptions{
		Binaries: dir, Directory: dir, Workload: w, Replicas: 8, Rate: 700, Requests: 20_000, Pause: 8 * time.Second, StoreDown: 5 * time.Second, Seed: 1, Log: t.Logf,
	})
	c.Assert(err, qt.IsNil)
	t.Logf("%s", report)
	c.Check(report.IsClean(), qt.IsTrue)
	c.Check(report.BrokenByStop, qt.Equals, 0)
	c.Check(len(report.Steps), qt.Equals, 7)
	// The counts above mean little unless most requests are answered.
	c.Check(report.Results[OK] > report.Requests*8/10, qt.IsTrue)
	c.Check(report.KeyedResults[OK] > 500, qt.IsTrue)
}

// TestCheckOutcomes guards against a kind of fault that CheckOutcomes overlooks.
func TestCheckOutcomes(t *testing.T) {
	post := func(id, key, result, wrong string) []Outcome {
		return []Outcome{{ID: id, Key: key, Method: "POST", Result: result, Wrong: wrong}}
	}
	tests := map[string]struct {
		outcomes []Outcome
		runs     []string
		key      string
		want     [3]int
	}{
		"clean":                    {post("a", "", OK, ""), []string{"a"}, "", [3]int{}},
		"unknown outcome that ran": {post("a", "", "outcome_unknown", ""), []string{"a"}, "", [3]int{}},
		"run twice":                {post("a", "", OK, ""), []string{"a", "a"}, "", [3]int{1, 0, 0}},
		"run twice with a key":     {post("a", "k", OK, ""), []string{"a", "a-r0"}, "k", [3]int{1, 0, 0}},
		"false not_run":            {post("a", "", "not_run", ""), []string{"a"}, "", [3]int{0, 1, 0}},
		"wrong response":           {post("a", "", OK, "other body"), []string{"a"}, "", [3]int{0, 0, 1}},
		"answered without a run":   {post("a", "", OK, ""), nil, "", [3]int{0, 0, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := CheckOutcomes(test.outcomes, runsOf(test.runs, test.key))
			qt.Check(t, [3]int{v.RunTwice, v.FalseNotRun, v.Wrong}, qt.Equals, test.want)
		})
	}
}

func runsOf(ids []string, key string) []runner.Run {
	var runs []runner.Run
	for _, id := range ids {
		runs = append(runs, runner.Run{ID: id, Key: key, Method: "POST"})
	}
	return runs
}
