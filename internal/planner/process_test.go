package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// successor returns the process that follows an ended one at its address.
func successor(id string, ended planner.Worker) planner.Worker {
	w := ended
	w.ID, w.Born = id, ended.Born+1
	return w
}

// TestListedEndedProcessEndsNoRun guards against a second run of a task whose
// worker is removed because the list still shows the process that had its
// address before.
func TestListedEndedProcessEndsNoRun(t *testing.T) {
	ended := worker("a", 8)
	living := successor("b", ended)
	other := worker("c", 8)
	for name, list := range map[string][]planner.Worker{
		"ended process first": {ended, living, other},
		"ended process last":  {living, ended, other},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, living, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", step(1, 1)))
			d.Assert(d.startTasks(), quicktest.HasLen, 1)
			d.p.SetEvacuatedDomains(nil)
			for range 10 {
				d.advance(700 * time.Millisecond)
				d.p.SetWorkers(d.now, list)
				d.Assert(d.startTasks(), quicktest.HasLen, 0)
				d.poll(living.ID)
				d.Assert(d.decisionCounts["run_ended"], quicktest.Equals, 0)
			}
		})
	}
}
