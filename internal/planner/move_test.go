package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestPlaceOfMovedTask guards against a task that is stopped because another worker has a
// place for it, and then waits while a task that came later takes the place. Load: a
// best-effort task stands still beside a long-running task over its target, and further
// work arrives while it is being moved.
func TestPlaceOfMovedTask(t *testing.T) {
	for name, tt := range map[string]struct {
		isDisabled bool
		want       []string
	}{"kept": {false, []string{"", "begun"}}, "disabled": {true, []string{"later", ""}}} {
		t.Run(name, func(t *testing.T) {
			d := newDriverWith(t, 1, func(o *planner.Options) { o.DisableMovePlaces = tt.isDisabled }, worker("a", 16)).registerWorkers()
			d.add(job("serving", serving(1, "image")))
			d.startTasks()
			d.report(-3)
			batch := step(1, 10)
			batch.BestEffort, batch.Image, batch.Checkpoints, batch.Need.Memory = true, "batch", true, 60_000
			addBatch := func(id string) {
				j := job(id, batch)
				j.Queue.Slack = time.Minute
				d.add(j)
			}
			addBatch("begun")
			begun := d.startTasks()
			d.Assert(begun, quicktest.HasLen, 1)
			d.workers = append(d.workers, worker("b", 16))
			d.registerWorkers()
			isStopped := false
			for range 20 {
				d.advance(300 * time.Millisecond)
				d.report(1)
				for _, o := range d.p.Plan(d.now, d.proven()) {
					isStopped = isStopped || o.Kind == planner.StopRun
				}
				if isStopped {
					break
				}
			}
			d.Assert(isStopped, quicktest.IsTrue)
			addBatch("later")
			first := func() string {
				for _, o := range d.startTasks() {
					d.Assert(o.WorkerID, quicktest.Equals, "b")
					return o.Run.Job
				}
				return ""
			}
			got := []string{first()}
			d.p.StopAnswered(d.now, begun[0].Run, "a")
			d.endRun(begun[0], planner.EndStopped)
			d.Assert(append(got, first()), quicktest.DeepEquals, tt.want)
		})
	}
}

// TestMoveDuringTakeover guards against a new owner that starts a task which it moves while
// an earlier owner may have it running on a worker that has not answered yet.
func TestMoveDuringTakeover(t *testing.T) {
	a, b := worker("a", 16), worker("b", 16)
	d := newDriver(t, 2, a, b)
	d.p.AddUnverifiedWorker(a)
	d.registerWorkers()
	d.p.AddUnverifiedWorker(worker("gone", 16))
	batch := step(1, 10)
	batch.BestEffort, batch.Image, batch.Checkpoints, batch.Need.Memory = true, "batch", true, 60_000
	begun := job("begun", batch)
	begun.Queue.Slack = time.Minute
	d.add(job("serving", serving(1, "image")))
	d.add(begun)
	d.p.JobsRead(d.now)
	run := planner.RunID{TaskID: planner.TaskID{Job: "begun"}, Attempt: 1}
	d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "serving"}, Attempt: 1}, Percent: 1}, {Run: run, Percent: 1}}
	d.poll("b")
	d.Assert(d.stopStarved(run), quicktest.IsTrue)
	d.p.StopAnswered(d.now, run, "a")
	d.endRun(planner.Command{Run: run, WorkerID: "a"}, planner.EndStopped)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	// Every lease of the earlier owner has expired.
	d.advance(20 * time.Second)
	d.poll("a")
	d.poll("b")
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}

// stopStarved has the long-running tasks report that they are over their targets until the
// planner stops a run, and reports whether it does so within 6 s.
func (d *driver) stopStarved(run planner.RunID) bool {
	for range 20 {
		d.advance(300 * time.Millisecond)
		d.report(1)
		for _, w := range d.workers {
			d.poll(w.ID)
		}
		for _, o := range d.p.Plan(d.now, d.proven()) {
			if o.Kind == planner.StopRun && o.Run == run {
				return true
			}
		}
	}
	return false
}

// TestMoveBeyondRate guards against a task beyond its organisation's rate that gets a place
// before the work of an organisation within its rate, because it is being moved.
func TestMoveBeyondRate(t *testing.T) {
	for name, tt := range map[string]struct {
		weight float64
		want   []string
	}{"beyond its rate": {0.01, []string{"later", ""}}, "within its rate": {100, []string{"", "begun"}}} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 16)).registerWorkers()
			d.p.SetConfig(planner.Config{Organisations: map[string]planner.Organisation{"large": {Weight: tt.weight}, "small": {Weight: 100}}})
			d.add(job("serving", serving(1, "image")))
			d.startTasks()
			d.report(-3)
			unplaceable := step(1, 1)
			unplaceable.RequiredLabel = "missing"
			// Jobs of the same time are metered in the order of their ids.
			for i := range 50 {
				d.addFor("large", fmt.Sprintf("absent-%02d", i), unplaceable)
			}
			d.addBatch("large", "begun")
			begun := d.startTasks()
			d.Assert(begun, quicktest.HasLen, 1)
			d.workers = append(d.workers, worker("b", 16))
			d.registerWorkers()
			d.Assert(d.stopStarved(begun[0].Run), quicktest.IsTrue)
			d.addBatch("small", "later")
			got := []string{d.firstStart()}
			d.p.StopAnswered(d.now, begun[0].Run, "a")
			d.endRun(begun[0], planner.EndStopped)
			d.Assert(append(got, d.firstStart()), quicktest.DeepEquals, tt.want)
		})
	}
}

// TestLongRunningTakesKeptPlace guards against a long-running task that waits because the
// only worker with room for it keeps a place for a best-effort task that is being moved.
func TestLongRunningTakesKeptPlace(t *testing.T) {
	d := newDriver(t, 1, worker("a", 16)).registerWorkers()
	d.add(job("serving", serving(1, "image")))
	d.startTasks()
	d.report(-3)
	d.addBatch("", "begun")
	begun := d.startTasks()
	d.Assert(begun, quicktest.HasLen, 1)
	d.workers = append(d.workers, worker("b", 16))
	d.registerWorkers()
	d.Assert(d.stopStarved(begun[0].Run), quicktest.IsTrue)
	large := serving(1, "image")
	large.Need.Memory = 60_000
	d.add(job("large", large))
	d.Assert(d.firstStart(), quicktest.Equals, "large")
	d.p.StopAnswered(d.now, begun[0].Run, "a")
	d.endRun(begun[0], planner.EndStopped)
	// The place is gone, and its capacity is given back once: a small task still fits.
	d.Assert(d.firstStart(), quicktest.Equals, "")
	small := step(1, 1)
	small.Need.Memory, small.RequiredLabel = 40_000, "rack-b"
	d.add(job("small", small))
	d.Assert(d.firstStart(), quicktest.Equals, "small")
}

// addBatch adds a job of one best-effort task that fills most of a worker's memory.
func (d *driver) addBatch(organisation, id string) {
	batch := step(1, 10)
	batch.BestEffort, batch.Image, batch.Checkpoints, batch.Need.Memory = true, "batch", true, 60_000
	j := job(id, batch)
	j.Organisation, j.Received, j.Queue.Slack = organisation, d.now, time.Minute
	d.add(j)
}

// firstStart returns the job of the first task that starts, which must be on the worker b.
func (d *driver) firstStart() string {
	for _, o := range d.startTasks() {
		d.Assert(o.WorkerID, quicktest.Equals, "b")
		return o.Run.Job
	}
	return ""
}

// TestKeptPlaceIsReleased guards against a place whose capacity is not returned, or returned
// twice, when the move can't be completed or the worker changes meanwhile.
func TestKeptPlaceIsReleased(t *testing.T) {
	stopped := func(d *driver, o planner.Command) {
		d.p.StopAnswered(d.now, o.Run, "a")
		d.endRun(o, planner.EndStopped)
	}
	for name, change := range map[string]func(d *driver, o planner.Command){
		"the stop has no effect":        func(*driver, planner.Command) {},
		"the job is cancelled":          func(d *driver, _ planner.Command) { d.p.Cancel(d.now, "begun") },
		"the job is cancelled, stopped": func(d *driver, o planner.Command) { d.p.Cancel(d.now, "begun"); stopped(d, o) },
		"the run is done":               func(d *driver, o planner.Command) { d.endRun(o, planner.EndDone) },
		"the worker shrinks and grows": func(d *driver, _ planner.Command) {
			d.resize(1, 16, 10_000)
			d.startTasks()
			d.resize(1, 16, 100_000)
		},
		"the worker has shrunk when the run ends": func(d *driver, o planner.Command) {
			d.resize(1, 16, 10_000)
			stopped(d, o)
			d.Assert(d.startTasks(), quicktest.HasLen, 0)
			d.p.Cancel(d.now, "begun")
			d.resize(1, 16, 100_000)
		},
		"the worker is replaced under its id": func(d *driver, o planner.Command) {
			next := d.workers[1]
			next.Born++
			d.answer(d.workers[1], d.now, next.Born)
			d.workers[1] = next
			d.registerWorkers()
			d.p.Cancel(d.now, "begun")
			stopped(d, o)
		},
		"the worker is draining when the run ends": func(d *driver, o planner.Command) {
			d.workers[1].Draining, d.workers[1].Remaining = true, time.Minute
			d.registerWorkers()
			stopped(d, o)
			d.startTasks()
			d.p.Cancel(d.now, "begun")
			d.workers[1].Draining = false
			d.registerWorkers()
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 16)).registerWorkers()
			d.add(job("serving", serving(1, "image")))
			d.startTasks()
			d.report(-3)
			d.addBatch("", "begun")
			begun := d.startTasks()
			d.Assert(begun, quicktest.HasLen, 1)
			d.workers = append(d.workers, worker("b", 16))
			d.registerWorkers()
			d.Assert(d.stopStarved(begun[0].Run), quicktest.IsTrue)
			change(d, begun[0])
			d.startTasks()
			d.advance(2500 * time.Millisecond)
			for _, w := range d.workers {
				d.poll(w.ID)
			}
			d.startTasks()
			// Two tasks fill the worker, and a third one must not fit.
			half := step(3, 1)
			half.Need.Memory, half.RequiredLabel = 50_000, "rack-b"
			d.add(job("half", half))
			d.Assert(d.startTasks(), quicktest.HasLen, 2)
		})
	}
}
