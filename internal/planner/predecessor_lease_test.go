package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestPredecessorLeaseOfVerifiedWorker guards against a second run of a task beside the
// first one, on a worker that leaves: it has answered this owner, which grants it short
// leases, and is cut off while the longer lease of the earlier owner lasts.
func TestPredecessorLeaseOfVerifiedWorker(t *testing.T) {
	a := worker("a", 8)
	a.Draining, a.Remaining = true, 500*time.Millisecond
	d := newDriver(t, 2, a, worker("b", 8))
	for _, w := range d.workers {
		d.p.AddUnverifiedWorker(w)
	}
	lasting := step(1, 1)
	lasting.LongRunning = true
	d.add(job("1", lasting))
	d.p.SetWorkers(d.now, d.workers)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}, Percent: 100}}
	d.poll("a")
	d.poll("b")
	d.p.Leased("a", d.now.Add(2500*time.Millisecond))
	d.p.Unanswered(d.now, "a")
	for range 40 {
		d.advance(300 * time.Millisecond)
		d.p.Answered(d.now, "b")
		if !d.now.Before(origin.Add(13 * time.Second)) {
			break
		}
		d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("%s after the takeover, the lease of the earlier owner may last for 13 s", d.now.Sub(origin)))
	}
}

// TestRunWithoutLeaseEnds guards against a task that never starts again after its worker
// is lost, because this owner adopted its run and granted no lease since.
func TestRunWithoutLeaseEnds(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8), worker("b", 8))
	for _, w := range d.workers {
		d.p.AddUnverifiedWorker(w)
	}
	lasting := step(1, 1)
	lasting.LongRunning = true
	d.add(job("1", lasting))
	d.p.SetWorkers(d.now, d.workers)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}, Percent: 100}}
	d.poll("a")
	d.poll("b")
	d.advance(10 * time.Millisecond)
	d.p.Unanswered(d.now, "a")
	d.list(d.workers[1])
	started := 0
	for range 200 {
		d.advance(300 * time.Millisecond)
		d.poll("b")
		started += len(d.startTasks())
	}
	d.Assert(started, quicktest.Equals, 1, quicktest.Commentf("60 s after the worker was lost"))
}
