package planner_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestStoppedEndIsAcknowledged guards against an end that a worker lists until
// another job changes, because the job of the ended run has nothing to commit.
func TestStoppedEndIsAcknowledged(t *testing.T) {
	for name, jobID := range map[string]string{"job is cancelled": "1", "job is not known": "unknown"} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 8)).registerWorkers()
			d.add(job("1", step(1, 1)))
			run := d.startTasks()[0].Run
			d.poll("a")
			d.p.Cancel(d.now, "1")
			d.commit()
			run.Job = jobID
			d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, Ended: []planner.RunEnd{{Number: 1, Run: run, Kind: planner.EndStopped}}})
			d.Assert(d.p.Changes(100), quicktest.HasLen, 0)
			d.Assert(d.p.Contacts(d.now)[0].Acknowledge, quicktest.Equals, uint64(1))
		})
	}
}

// TestEndsOfNewProcessAreAcknowledged guards against ends that a new process lists
// for ever because a poll of the ended process with its id acknowledged as many.
func TestEndsOfNewProcessAreAcknowledged(t *testing.T) {
	w := worker("a", 8)
	d := newDriver(t, 1, w).registerWorkers()
	d.add(job("1", step(3, 1)))
	starts := d.startTasks()
	d.endRun(starts[0], planner.EndDone)
	d.endRun(starts[1], planner.EndDone)
	d.commit()
	end := planner.RunEnd{Number: 1, Run: starts[2].Run, Kind: planner.EndDone}
	d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, ProcessStart: 2, Acknowledged: 2, Ended: []planner.RunEnd{end}})
	d.commit()
	c := d.p.Contacts(d.now)[0]
	d.Assert(c.Acknowledge, quicktest.Equals, uint64(1))
	d.Assert(c.NeedsPoll, quicktest.IsTrue)
}
