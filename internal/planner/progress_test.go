package planner_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestProgressOfWideJobIsShort guards against a commit at each end of a task that takes
// most of a slow link, and against a successor that runs tasks again which are done.
func TestProgressOfWideJobIsShort(t *testing.T) {
	const tasks, ended, maxBytes = 80, 60, 400
	d := newDriver(t, 1, worker("a", tasks)).registerWorkers()
	second := step(1, 1)
	second.After = []int{0}
	j := job("1", step(tasks, 1), second)
	d.add(j)
	starts := d.startTasks()
	d.Assert(starts, quicktest.HasLen, tasks)
	for n, s := range starts {
		d.running["a"][0].Checkpoint = fmt.Sprintf("%016x", n)
		d.poll("a")
		if n < ended {
			d.endRun(s, planner.EndDone)
		}
	}
	for _, s := range d.running["a"] {
		s.Checkpoint = ""
	}
	changes := d.p.Changes(1)
	d.Assert(changes, quicktest.HasLen, 1)
	value, err := planner.Encode(changes[0].Progress)
	d.Assert(err, quicktest.IsNil)
	d.Assert(len(value) <= maxBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(value)))
	stored, err := planner.Decode[planner.Progress](value)
	d.Assert(err, quicktest.IsNil)
	successor := newDriver(t, 2, worker("b", tasks)).registerWorkers()
	successor.p.AddJob(successor.now, j, stored)
	state, _ := successor.p.JobState("1")
	d.Assert(state, quicktest.Equals, planner.Running)
	again := map[int]bool{}
	for _, s := range successor.startTasks() {
		d.Assert(s.Run.Step, quicktest.Equals, 0)
		again[s.Run.Index] = true
	}
	d.Assert(again, quicktest.HasLen, tasks-ended)
	for _, s := range starts[:ended] {
		d.Assert(again[s.Run.Index], quicktest.IsFalse)
	}
}

// TestProgressOfEarlierVersion guards against tasks that run again because a record
// of an earlier version lists each done task.
func TestProgressOfEarlierVersion(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8)).registerWorkers()
	d.p.AddJob(d.now, job("1", step(3, 1)), planner.Progress{Occurrences: []planner.OccurrenceProgress{{Tasks: []planner.TaskProgress{{Index: 1, Done: true}}}}})
	starts := d.startTasks()
	d.Assert(starts, quicktest.HasLen, 2)
	for _, s := range starts {
		d.Assert(s.Run.Index == 1, quicktest.IsFalse)
	}
}
