package planner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestNewProcessKeepsUnreadEnds guards against a task that runs again, or fails
// once more than its queue allows, because a poll acknowledged the ended process's
// ends to a new process with the same id, which then forgot ends of its own that
// were never read.
func TestNewProcessKeepsUnreadEnds(t *testing.T) {
	for name, kind := range map[string]planner.EndKind{"done": planner.EndDone, "failed": planner.EndFailed} {
		t.Run(name, func(t *testing.T) {
			w := worker("a", 8)
			d := newDriver(t, 1, w).registerWorkers()
			d.add(job("1", step(2, 1)))
			for _, o := range d.startTasks() {
				d.endRun(o, planner.EndDone)
			}
			d.commit()
			single := job("2", step(1, 1))
			single.Queue.Attempts = 1
			d.add(single)
			starts := d.startTasks()
			d.Assert(starts, quicktest.HasLen, 1)
			// The start was answered by a process that was started under the same
			// id, and that has ended the run by the time the next poll arrives.
			ends := []planner.RunEnd{{Number: 1, Run: starts[0].Run, Kind: kind}}
			for range 10 {
				d.advance(200 * time.Millisecond)
				acknowledged := d.p.Contacts(d.now)[0].Acknowledge
				ends = slices.DeleteFunc(ends, func(e planner.RunEnd) bool { return e.Number <= acknowledged })
				d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, ProcessStart: 2, Ended: ends})
				d.list(successor("a", w))
				d.p.SetRecorded(d.p.Recorded(d.now))
				for _, o := range d.p.Plan(d.now, d.proven()) {
					d.Assert(o.Kind, quicktest.Not(quicktest.Equals), planner.StartRun, quicktest.Commentf("the run has ended as %s", kind))
					d.p.StopAnswered(d.now, o.Run, o.WorkerID)
				}
				d.commit()
			}
		})
	}
}

// TestPartialAnswersProveLife guards against a second run of a task whose worker
// still lists more ends than fit into one answer when the leases of the earlier
// owner have expired. The worker answers, and this owner has renewed its leases.
func TestPartialAnswersProveLife(t *testing.T) {
	for name, tt := range map[string]struct {
		// born is the start time of the process that answers.
		born int64
		// renew returns the end of the lease that the i-th poll renews, if any.
		renew func(i int, now time.Time) time.Time
	}{
		"renewed with each poll": {1, func(_ int, now time.Time) time.Time { return now.Add(6 * time.Second) }},
		"renewed once, and then the process was replaced": {2, func(i int, now time.Time) time.Time {
			if i > 0 {
				return time.Time{}
			}
			return now.Add(20 * time.Second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 2, worker("a", 8), worker("b", 8))
			for _, w := range d.workers {
				d.p.AddUnverifiedWorker(w)
			}
			d.add(job("1", step(1, 1)))
			d.p.SetWorkers(d.now, d.workers)
			d.poll("a")
			run := planner.RunStatus{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}}
			for i := range 20 {
				d.advance(700 * time.Millisecond)
				d.p.Leased("b", tt.renew(i, d.now))
				d.p.PollAnswered(d.now, "b", planner.PollResult{Sent: d.now, ProcessStart: tt.born, Running: []planner.RunStatus{run}, IsPartial: true})
				d.poll("a")
				d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("%s after the takeover", d.now.Sub(origin)))
			}
		})
	}
}
