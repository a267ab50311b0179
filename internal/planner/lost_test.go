package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestTakeover guards against a second run of a task that may be on a worker
// which has not answered the new owner.
func TestTakeover(t *testing.T) {
	speculative := step(1, 1)
	speculative.Speculative = true
	for name, tt := range map[string]struct {
		step   planner.Step
		change func(d *desk)
		want   int
	}{
		"one worker is silent": {step(1, 1), func(*desk) {}, 0},
		"speculative":          {speculative, func(*desk) {}, 1},
		"it answers":           {step(1, 1), func(d *desk) { d.look("b") }, 1},
		"it answers and has the run": {step(1, 1), func(d *desk) {
			d.running["b"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}}}
			d.look("b")
		}, 0},
		"its process was replaced": {step(1, 1), func(d *desk) {
			n := worker("b", 8)
			n.ID, n.Born = "c", 2
			d.p.SetWorkers(d.now, []planner.Worker{d.workers[0], n})
		}, 1},
		"every lease has lapsed": {step(1, 1), func(d *desk) { d.pass(14 * time.Second) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, 2, worker("a", 8), worker("b", 8))
			for _, w := range d.workers {
				d.p.Suspect(w)
			}
			d.add(job("1", tt.step))
			d.p.SetWorkers(d.now, d.workers)
			d.look("a")
			tt.change(d)
			d.starts()
			d.look("a")
			count := len(d.running["a"])
			d.Assert(count, quicktest.Equals, tt.want)
		})
	}
}

// TestUnclearStart guards against a second run while the first may still begin.
func TestUnclearStart(t *testing.T) {
	d := newDesk(t, 1, worker("a", 8), worker("b", 8)).ready()
	d.add(job("1", step(1, 1)))
	orders := d.p.Plan(d.now, d.proven())
	start := orders[0]
	d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
	orders = d.p.Plan(d.now, d.proven())
	d.Assert(orders, quicktest.HasLen, 1)
	d.Assert(orders[0].Kind, quicktest.Equals, planner.StopRun)
	d.pass(time.Millisecond)
	d.look(start.WorkerID)
	d.Assert(d.starts(), quicktest.HasLen, 0, quicktest.Commentf("the stop is not confirmed"))
	d.p.StopAnswered(d.now, start.Run, start.WorkerID)
	d.Assert(d.starts(), quicktest.HasLen, 0, quicktest.Commentf("no later look has shown that the run is gone"))
	d.pass(time.Millisecond)
	d.look(start.WorkerID)
	d.Assert(d.starts(), quicktest.HasLen, 1)
}

// TestLostWorker guards against tasks that never start again after their worker
// is lost for good, and against a second run before its lease has lapsed.
func TestLostWorker(t *testing.T) {
	d := newDesk(t, 1, worker("a", 8), worker("b", 8)).ready()
	d.add(job("1", step(1, 1)))
	start := d.starts()[0]
	d.p.Leased(start.WorkerID, d.now.Add(6*time.Second))
	d.pass(time.Second)
	d.p.Unanswered(d.now, start.WorkerID)
	for _, c := range d.p.Contacts(d.now) {
		d.Assert(c.IsFailing, quicktest.Equals, c.ID == start.WorkerID)
	}
	d.pass(4900 * time.Millisecond)
	d.Assert(d.starts(), quicktest.HasLen, 0)
	d.pass(200 * time.Millisecond)
	d.unproven = time.Second
	d.Assert(d.starts(), quicktest.HasLen, 0, quicktest.Commentf("a successor may have renewed the lease"))
	d.unproven = 0
	again := d.starts()
	d.Assert(again, quicktest.HasLen, 1)
	d.Assert(again[0].WorkerID, quicktest.Not(quicktest.Equals), start.WorkerID)
}

// TestHorizon guards against starts by an owner that may have been replaced.
func TestHorizon(t *testing.T) {
	d := newDesk(t, 1, worker("a", 8)).ready()
	d.add(job("1", step(1, 1)))
	d.unproven = 7 * time.Second
	d.Assert(d.starts(), quicktest.HasLen, 0)
	d.unproven = 6 * time.Second
	d.Assert(d.starts(), quicktest.HasLen, 1)
}
