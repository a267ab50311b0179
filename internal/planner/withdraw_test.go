package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestWithdrawnStartIsStoppedOnNewProcess guards against a second run of a task
// whose unanswered start was stopped, and is carried out late by a new process
// with the worker's id, which doesn't know of the stop.
func TestWithdrawnStartIsStoppedOnNewProcess(t *testing.T) {
	for name, tt := range map[string]struct {
		restartAfter time.Duration
		restarts     int
		isStopped    bool
	}{
		"restarts at once":              {time.Second, 1, true},
		"restarts twice":                {time.Second, 2, true},
		"start can't arrive any longer": {16 * time.Second, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			w, other := worker("a", 8), worker("b", 8)
			d := newDriver(t, 1, w, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", step(1, 1)))
			start := d.p.Plan(d.now, d.proven())[0]
			d.p.SetEvacuatedDomains([]string{w.Domain})
			d.advance(400 * time.Millisecond)
			d.p.StartAnswered(d.now, start.Run, "a", planner.Unclear, "no answer")
			d.p.Plan(d.now, d.proven())
			d.p.StopAnswered(d.now, start.Run, "a")
			d.advance(100 * time.Millisecond)
			d.poll("a")
			again := d.startTasks()
			d.Assert(again, quicktest.HasLen, 1)
			d.Assert(again[0].WorkerID, quicktest.Equals, "b")
			d.advance(tt.restartAfter)
			for i := range tt.restarts {
				d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, ProcessStart: int64(i + 2)})
				isStopped := d.stops(start.Run)
				d.Assert(isStopped, quicktest.Equals, tt.isStopped, quicktest.Commentf("restart %d", i+1))
				if !isStopped {
					continue
				}
				// An unanswered stop is sent again, and a confirmed one is not.
				d.advance(time.Second)
				d.Assert(d.stops(start.Run), quicktest.IsTrue)
				d.p.StopAnswered(d.now, start.Run, "a")
				d.advance(time.Second)
				d.Assert(d.stops(start.Run), quicktest.IsFalse)
			}
			d.Assert(d.decisionCounts["start"], quicktest.Equals, 2)
		})
	}
}

// stops plans, and reports whether a stop of the run is sent to worker a.
func (d *driver) stops(run planner.RunID) bool {
	isStopped := false
	for _, o := range d.p.Plan(d.now, d.proven()) {
		isStopped = isStopped || (o.Kind == planner.StopRun && o.Run == run && o.WorkerID == "a")
	}
	return isStopped
}

// TestWithdrawnStartOfUnlistedWorker guards against a second run of a task whose
// unanswered start is carried out late by a new process with the worker's id, after
// the list of workers has left the worker out for some time.
func TestWithdrawnStartOfUnlistedWorker(t *testing.T) {
	w, other := worker("a", 8), worker("b", 8)
	d := newDriver(t, 1, w, other).registerWorkers()
	d.p.SetEvacuatedDomains([]string{other.Domain})
	d.add(job("1", step(1, 1)))
	d.p.Leased("a", d.now.Add(6*time.Second))
	start := d.p.Plan(d.now, d.proven())[0]
	d.p.SetEvacuatedDomains([]string{w.Domain})
	d.advance(400 * time.Millisecond)
	d.p.Unanswered(d.now, "a")
	d.p.StartAnswered(d.now, start.Run, "a", planner.Unclear, "no answer")
	for range 13 {
		d.advance(500 * time.Millisecond)
		d.list(other)
		d.p.Unanswered(d.now, "a")
		d.poll("b")
		d.startTasks()
	}
	d.Assert(d.running["b"], quicktest.HasLen, 1, quicktest.Commentf("the leases on worker a have expired"))
	next := successor("a", w)
	d.list(next, other)
	d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, ProcessStart: next.Born})
	d.Assert(d.stops(start.Run), quicktest.IsTrue)
}
