package planner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// newUnknownRunDriver returns a driver whose worker a has listed a run of job 1,
// which has not arrived from the store.
func newUnknownRunDriver(t *testing.T) (*driver, planner.RunID) {
	d := newDriver(t, 2, worker("a", 8), worker("b", 8)).registerWorkers()
	run := planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}
	d.running["a"] = []planner.RunStatus{{Run: run}}
	d.poll("a")
	return d, run
}

// needsPoll reports whether a worker needs a poll.
func (d *driver) needsPoll(id string) bool {
	return slices.ContainsFunc(d.p.Contacts(d.now), func(c planner.Contact) bool { return c.ID == id && c.NeedsPoll })
}

// TestUnreadJobIsNotStopped guards against the loss of a run whose job the owner has not
// been able to read since it was listed, though it has proved its ownership.
func TestUnreadJobIsNotStopped(t *testing.T) {
	d, run := newUnknownRunDriver(t)
	d.p.JobsRead(d.now)
	for range 30 {
		d.advance(500 * time.Millisecond)
		d.poll("a")
		d.Assert(d.stops(run), quicktest.IsFalse)
	}
	d.add(job("1", step(1, 1)))
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
}

// TestWorkerWithUnknownRunIsPolled guards against a worker that never gets a task
// again because it listed a run whose job doesn't arrive.
func TestWorkerWithUnknownRunIsPolled(t *testing.T) {
	d, run := newUnknownRunDriver(t)
	d.p.SetEvacuatedDomains([]string{d.workers[1].Domain})
	d.add(job("2", step(1, 1)))
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	for range 20 {
		d.advance(500 * time.Millisecond)
		if !d.needsPoll("a") {
			continue
		}
		d.p.JobsRead(d.now)
		d.poll("a")
		if d.stops(run) {
			d.running["a"] = nil
			break
		}
	}
	d.Assert(d.running["a"], quicktest.HasLen, 0, quicktest.Commentf("the run is not stopped"))
	d.advance(500 * time.Millisecond)
	d.Assert(d.needsPoll("a"), quicktest.IsTrue)
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}

// TestUnlistedWorkerWithUnknownRun guards against a second run of a task on whose
// worker the first one was listed before the job arrived, while the list of workers
// leaves the worker out for some time.
func TestUnlistedWorkerWithUnknownRun(t *testing.T) {
	for name, change := range map[string]func(d *driver){
		"job arrives meanwhile": func(*driver) {},
		"job arrives later": func(d *driver) {
			d.list(d.workers...)
			d.poll("a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := newUnknownRunDriver(t)
			d.list(d.workers[1])
			d.p.Plan(d.now, d.proven())
			d.advance(3 * time.Second)
			d.list(d.workers[1])
			d.p.Plan(d.now, d.proven())
			change(d)
			d.p.Plan(d.now, d.proven())
			d.add(job("1", step(1, 1)))
			d.Assert(d.startTasks(), quicktest.HasLen, 0)
		})
	}
}

// TestLostWorkerWithUnknownRun guards against a worker that is kept, and delays
// each successor, because a run that it listed before it was lost has no known job.
func TestLostWorkerWithUnknownRun(t *testing.T) {
	d, _ := newUnknownRunDriver(t)
	leaseEnd := d.now.Add(6 * time.Second)
	d.p.Leased("a", leaseEnd)
	d.p.Unanswered(d.now, "a")
	for !d.now.After(leaseEnd) {
		_, isKnown := d.p.Worker("a")
		d.Assert(isKnown, quicktest.IsTrue)
		d.list(d.workers[1])
		d.p.Plan(d.now, d.proven())
		d.advance(time.Second)
	}
	d.p.Plan(d.now, d.proven())
	d.p.Plan(d.now, d.proven())
	_, isKnown := d.p.Worker("a")
	d.Assert(isKnown, quicktest.IsFalse)
}
