package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestUnknownWorkers guards against starts, and against a new list of workers in
// the store, while an earlier owner may have started tasks on workers that this
// owner can't identify. Jobs that arrive meanwhile wait too, because the earlier
// owner may have read them.
func TestUnknownWorkers(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8))
	d.p.AddUnknownWorkers()
	speculative := step(1, 1)
	speculative.Speculative = true
	d.add(job("stored", step(1, 1)))
	d.add(job("speculative", speculative))
	d.p.SetWorkers(d.now, d.workers)
	d.poll("a")
	d.add(job("arrived", step(1, 1)))
	d.advance(13 * time.Second)
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsFalse)
	d.advance(time.Second)
	d.poll("a")
	d.unprovenFor = 2 * time.Second
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("a successor may have granted later leases"))
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsFalse)
	d.unprovenFor = 0
	d.startTasks()
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.startTasks()
	d.Assert(d.running["a"], quicktest.HasLen, 3)
}

// TestTasksWaitForUnknownWorkers guards against starts on a worker that is stored
// already, while an earlier owner may have started the same tasks on workers that
// this owner can't identify.
func TestTasksWaitForUnknownWorkers(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8))
	d.p.AddUnknownWorkers()
	d.add(job("stored", step(1, 1)))
	d.registerWorkers()
	d.add(job("arrived", step(1, 1)))
	d.advance(13 * time.Second)
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(time.Second)
	d.poll("a")
	d.unprovenFor = 2 * time.Second
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("a successor may have granted later leases"))
	d.unprovenFor = 0
	d.Assert(d.startTasks(), quicktest.HasLen, 2)
}
