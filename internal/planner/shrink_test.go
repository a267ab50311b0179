package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// resize lists a worker with another capacity.
func (d *driver) resize(n int, cores, memory int64) {
	d.workers[n].Capacity = planner.Resources{CPU: cores * 1000, Memory: memory}
	d.p.SetWorkers(d.now, d.workers)
}

// TestShrunkCapacity guards against starts that exceed the capacity of a worker that
// has shrunk while tasks run there, or while some of them are being stopped.
func TestShrunkCapacity(t *testing.T) {
	bestEffort := step(1, 1)
	bestEffort.BestEffort = true
	for name, tt := range map[string]struct {
		// change is made while 4 tasks of one core run on a worker of 8.
		change func(d *driver, started []planner.Command)
		next   planner.Step
		want   int
	}{
		"unchanged":                          {func(*driver, []planner.Command) {}, step(6, 1), 4},
		"room left":                          {func(d *driver, _ []planner.Command) { d.resize(0, 6, 100_000) }, step(6, 1), 2},
		"no room left":                       {func(d *driver, _ []planner.Command) { d.resize(0, 4, 100_000) }, step(6, 1), 0},
		"less than runs":                     {func(d *driver, _ []planner.Command) { d.resize(0, 2, 100_000) }, step(6, 1), 0},
		"nothing left":                       {func(d *driver, _ []planner.Command) { d.resize(0, 0, 0) }, step(6, 1), 0},
		"less memory than runs":              {func(d *driver, _ []planner.Command) { d.resize(0, 8, 300) }, step(6, 1), 0},
		"best-effort, less memory than runs": {func(d *driver, _ []planner.Command) { d.resize(0, 8, 300) }, bestEffort, 0},
		"grown again": {func(d *driver, _ []planner.Command) {
			d.resize(0, 2, 100_000)
			d.resize(0, 8, 100_000)
		}, step(6, 1), 4},
		"grown beyond": {func(d *driver, _ []planner.Command) { d.resize(0, 16, 100_000) }, step(16, 1), 12},
		"a stop is not confirmed": {func(d *driver, _ []planner.Command) {
			d.resize(0, 4, 100_000)
			d.p.Cancel(d.now, "1")
			d.p.Plan(d.now, d.proven())
		}, step(6, 1), 0},
		"stopped": {func(d *driver, started []planner.Command) {
			d.resize(0, 4, 100_000)
			d.p.Cancel(d.now, "1")
			d.p.Plan(d.now, d.proven())
			for _, c := range started {
				d.endRun(c, planner.EndStopped)
			}
		}, step(6, 1), 4},
		"one ended of too many": {func(d *driver, started []planner.Command) {
			d.resize(0, 2, 100_000)
			d.endRun(started[0], planner.EndDone)
		}, step(6, 1), 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 8)).registerWorkers()
			d.add(job("1", step(4, 1)))
			started := d.startTasks()
			d.Assert(started, quicktest.HasLen, 4)
			d.advance(time.Second)
			tt.change(d, started)
			d.add(job("2", tt.next))
			d.Assert(d.startTasks(), quicktest.HasLen, tt.want)
		})
	}
}

// TestShrunkCapacityOfOthers guards against a worker that has shrunk below what runs
// there and takes away from the free capacity of others: long-running tasks would not
// start in the shard, nor be handed over to it.
func TestShrunkCapacityOfOthers(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8), worker("b", 8), worker("c", 8)).registerWorkers()
	d.add(job("1", step(8, 1)))
	started := d.startTasks()
	d.Assert(started, quicktest.HasLen, 8)
	for n := range d.workers[:2] {
		d.resize(n, 0, 0)
	}
	free := int64(8000)
	for _, c := range started {
		if c.WorkerID == "c" {
			free -= 1000
		}
	}
	d.Assert(d.p.Room(d.now).Free, quicktest.Equals, free, quicktest.Commentf(fmt.Sprint(started)))
}

// TestTakeoverOfShrunkWorker guards against a new owner that goes by the capacity that
// its predecessor had stored.
func TestTakeoverOfShrunkWorker(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8))
	d.p.AddUnverifiedWorker(d.workers[0])
	d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}}}
	d.add(job("1", step(1, 1)))
	d.resize(0, 3, 100_000)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.poll("a")
	d.add(job("2", step(6, 1)))
	d.Assert(d.startTasks(), quicktest.HasLen, 2)
}
