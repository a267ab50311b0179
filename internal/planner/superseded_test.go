package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestStartIsWithdrawnWhenEarlierRunIsDone guards against a task that runs again
// after it is done: the worker of its first run was silent until the leases had
// expired, and lists the end of that run while the start of the second is under way.
func TestStartIsWithdrawnWhenEarlierRunIsDone(t *testing.T) {
	for name, tt := range map[string]struct {
		// isStarted is set if the second start is answered before the end is listed.
		isStarted bool
	}{"start under way": {false}, "start answered": {true}} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 8)).registerWorkers()
			// The second step is too large for the workers, so the job isn't done.
			later := step(1, 9)
			later.After = []int{0}
			d.add(job("1", step(1, 1), later))
			first := d.startTasks()[0]
			d.p.Leased("a", d.now.Add(6*time.Second))
			d.poll("a")
			d.p.Unanswered(d.now, "a")
			d.advance(7 * time.Second)
			d.workers = append(d.workers, worker("b", 8))
			d.p.SetWorkers(d.now, d.workers)
			d.p.SetRecorded(d.p.Recorded(d.now))
			d.poll("b")
			var second planner.Command
			for _, o := range d.p.Plan(d.now, d.proven()) {
				if o.Kind == planner.StartRun {
					second = o
				}
			}
			d.Assert(second.WorkerID, quicktest.Equals, "b")
			if tt.isStarted {
				d.p.StartAnswered(d.now, second.Run, "b", planner.Started, "")
				d.running["b"] = []planner.RunStatus{{Run: second.Run, Percent: 1}}
				d.poll("b")
			}
			d.running["a"] = nil
			d.ends["a"] = []planner.RunEnd{{Number: 1, Run: first.Run, Kind: planner.EndDone}}
			d.poll("a")
			d.Assert(d.stopsOn("b", second.Run), quicktest.IsTrue)
			d.commit()
			acknowledged := func() uint64 { return d.p.Contacts(d.now)[0].Acknowledge }
			d.Assert(acknowledged(), quicktest.Equals, uint64(0), quicktest.Commentf("the end is acknowledged while the second start may be carried out"))
			d.p.StopAnswered(d.now, second.Run, "b")
			d.advance(10 * time.Millisecond)
			d.running["b"] = nil
			d.poll("b")
			d.commit()
			d.poll("a")
			d.Assert(acknowledged(), quicktest.Equals, uint64(1))
			d.Assert(d.startTasks(), quicktest.HasLen, 0)
		})
	}
}
