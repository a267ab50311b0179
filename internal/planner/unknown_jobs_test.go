package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestWorkerWithUnknownRunIsStored guards against a second run of a task under a
// successor that doesn't wait for its worker, because the worker got no more tasks
// and lists a run whose job its owner has not read yet.
func TestWorkerWithUnknownRunIsStored(t *testing.T) {
	for name, change := range map[string]func(d *driver){
		"draining": func(d *driver) {
			d.workers[0].Draining = true
			d.list(d.workers...)
		},
		"not answering": func(d *driver) {
			d.p.Unanswered(d.now, "a")
			d.advance(2 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 2, worker("a", 8)).registerWorkers()
			d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}}}
			d.poll("a")
			change(d)
			d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 1)
		})
	}
}

// TestEndOfUnknownJobIsKept guards against a task that runs again after it was
// done, because its end was acknowledged before its job was read from the store.
func TestEndOfUnknownJobIsKept(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8)).registerWorkers()
	end := planner.RunEnd{Number: 1, Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}, Kind: planner.EndDone}
	d.ends["a"] = []planner.RunEnd{end}
	d.poll("a")
	d.commit()
	d.add(job("1", step(1, 1)))
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
}

// TestEndOfUnreadJob guards against a task that runs again after it was done, because
// its end was acknowledged while the owner could not read the job.
func TestEndOfUnreadJob(t *testing.T) {
	for name, unproven := range map[string]time.Duration{"store is away": 500 * time.Millisecond, "only the jobs are not read": 0} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 2, worker("a", 8)).registerWorkers()
			end := planner.RunEnd{Number: 1, Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}, Kind: planner.EndDone}
			d.ends["a"] = []planner.RunEnd{end}
			d.poll("a")
			d.p.JobsRead(d.now)
			for i := range 30 {
				d.advance(500 * time.Millisecond)
				d.unprovenFor += unproven
				d.p.Plan(d.now, d.proven())
				d.poll("a")
				d.Assert(d.p.Contacts(d.now)[0].Acknowledge, quicktest.Equals, uint64(0), quicktest.Commentf("answer %d", i))
			}
			d.unprovenFor = 0
			d.add(job("1", step(1, 1)))
			d.Assert(d.startTasks(), quicktest.HasLen, 0)
		})
	}
}
