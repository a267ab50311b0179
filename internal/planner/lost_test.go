package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestTakeover guards against a second run of a task that may be running on a
// worker which has not answered the new owner.
func TestTakeover(t *testing.T) {
	speculative := step(1, 1)
	speculative.Speculative = true
	for name, tt := range map[string]struct {
		step   planner.Step
		change func(d *driver)
		want   int
	}{
		"one worker does not answer": {step(1, 1), func(*driver) {}, 0},
		"speculative":                {speculative, func(*driver) {}, 1},
		"worker answers":             {step(1, 1), func(d *driver) { d.poll("b") }, 1},
		"worker answers and has the run": {step(1, 1), func(d *driver) {
			d.running["b"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}}}
			d.poll("b")
		}, 0},
		"another process is listed at its address": {step(1, 1), func(d *driver) {
			d.p.SetWorkers(d.now, []planner.Worker{d.workers[0], successor("c", d.workers[1])})
		}, 0},
		"another process at its address answers": {step(1, 1), func(d *driver) {
			d.p.SetWorkers(d.now, []planner.Worker{d.workers[0], successor("c", d.workers[1])})
			d.poll("c")
		}, 1},
		"another process answers a call for it": {step(1, 1), func(d *driver) { d.p.OtherProcessAnswered("b") }, 1},
		"another process has its id": {step(1, 1), func(d *driver) {
			d.p.PollAnswered(d.now, "b", planner.PollResult{Sent: d.now, ProcessStart: 2})
		}, 1},
		"another process has its id and the run": {step(1, 1), func(d *driver) {
			run := planner.RunStatus{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}}
			d.p.PollAnswered(d.now, "b", planner.PollResult{Sent: d.now, ProcessStart: 2, Running: []planner.RunStatus{run}})
		}, 0},
		"another process has its id and lists in part": {step(1, 1), func(d *driver) {
			d.p.PollAnswered(d.now, "b", planner.PollResult{Sent: d.now, ProcessStart: 2, IsPartial: true})
		}, 0},
		"every lease has expired": {step(1, 1), func(d *driver) { d.advance(14 * time.Second) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 2, worker("a", 8), worker("b", 8))
			for _, w := range d.workers {
				d.p.AddUnverifiedWorker(w)
			}
			d.add(job("1", tt.step))
			d.p.SetWorkers(d.now, d.workers)
			d.poll("a")
			tt.change(d)
			d.startTasks()
			d.poll("a")
			count := len(d.running["a"])
			d.Assert(count, quicktest.Equals, tt.want)
		})
	}
}

// TestUnclearStart guards against a second run of a task while its first run
// may still start.
func TestUnclearStart(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
	lasting := step(1, 1)
	lasting.LongRunning = true
	d.add(job("1", lasting))
	commands := d.p.Plan(d.now, d.proven())
	start := commands[0]
	d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
	commands = d.p.Plan(d.now, d.proven())
	d.Assert(commands, quicktest.HasLen, 1)
	d.Assert(commands[0].Kind, quicktest.Equals, planner.StopRun)
	d.advance(time.Millisecond)
	d.poll(start.WorkerID)
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("the stop is not confirmed"))
	d.p.StopAnswered(d.now, start.Run, start.WorkerID)
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("no later poll has shown that the run is gone"))
	d.advance(time.Millisecond)
	d.poll(start.WorkerID)
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("a successor wouldn't know of the start"))
	d.commit()
	again := d.startTasks()
	d.Assert(again, quicktest.HasLen, 1)
	d.Assert(again[0].WorkerID, quicktest.Equals, start.WorkerID)
}

// TestLostWorker guards against tasks that never start again after the
// permanent loss of their worker, and against a second run before the lease of
// the worker has expired.
func TestLostWorker(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
	d.add(job("1", step(1, 1)))
	start := d.startTasks()[0]
	d.p.Leased(start.WorkerID, d.now.Add(6*time.Second))
	d.advance(time.Second)
	d.p.Unanswered(d.now, start.WorkerID)
	for _, c := range d.p.Contacts(d.now) {
		d.Assert(c.IsFailing, quicktest.Equals, c.ID == start.WorkerID)
	}
	d.advance(4900 * time.Millisecond)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(200 * time.Millisecond)
	d.unprovenFor = time.Second
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("a successor may have renewed the lease"))
	d.unprovenFor = 0
	again := d.startTasks()
	d.Assert(again, quicktest.HasLen, 1)
	d.Assert(again[0].WorkerID, quicktest.Not(quicktest.Equals), start.WorkerID)
}

// TestHorizon guards against starts by an owner that may have been replaced.
func TestHorizon(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", step(1, 1)))
	d.unprovenFor = 7 * time.Second
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.unprovenFor = 6 * time.Second
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}
