package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// newSuccessorDriver returns a driver of a new owner whose predecessor has used the
// workers a and b, of which a has answered, and accepted a job of one task.
func newSuccessorDriver(t *testing.T) (*driver, planner.RunEnd) {
	d := newDriver(t, 2, worker("a", 8), worker("b", 8))
	for _, w := range d.workers {
		d.p.AddUnverifiedWorker(w)
	}
	// The second step is too large for the workers, so the job isn't done.
	later := step(1, 9)
	later.After = []int{0}
	d.add(job("1", step(1, 1), later))
	d.p.SetWorkers(d.now, d.workers)
	d.poll("a")
	return d, planner.RunEnd{Number: 501, Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}, Kind: planner.EndDone}
}

// TestEndOfDroppedWorker guards against a second run that goes on, or a third one, after
// the end of the first is listed by a worker that had not answered this owner before every
// lease had expired.
func TestEndOfDroppedWorker(t *testing.T) {
	d, end := newSuccessorDriver(t)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(14 * time.Second)
	d.poll("a")
	starts := d.startTasks()
	d.Assert(starts, quicktest.HasLen, 1)
	d.list(d.workers...)
	d.ends["b"] = []planner.RunEnd{end}
	d.poll("b")
	d.Assert(d.stopsOn("a", starts[0].Run), quicktest.IsTrue)
	d.commit()
	d.Assert(d.p.Contacts(d.now)[1].Acknowledge, quicktest.Equals, uint64(0), quicktest.Commentf("the second run may go on"))
	d.endRun(starts[0], planner.EndStopped)
	d.commit()
	d.poll("b")
	d.Assert(d.p.Contacts(d.now)[1].Acknowledge, quicktest.Equals, uint64(501))
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
}

// TestEndBeyondPartialAnswer guards against a second run of a task whose end is not among
// those in the first answer of its worker to a new owner.
func TestEndBeyondPartialAnswer(t *testing.T) {
	d, end := newSuccessorDriver(t)
	other := end
	other.Run.Job = "removed"
	var first []planner.RunEnd
	for n := range uint64(500) {
		other.Number, other.Run.Index = n+1, int(n)
		first = append(first, other)
	}
	d.p.Leased("b", d.now.Add(30*time.Second))
	for range 20 {
		d.advance(time.Second)
		d.p.PollAnswered(d.now, "b", planner.PollResult{Sent: d.now, Ended: first, IsPartial: true})
		d.poll("a")
		d.Assert(d.startTasks(), quicktest.HasLen, 0)
	}
	d.p.JobsRead(d.now.Add(time.Millisecond))
	d.commit()
	d.Assert(d.p.Contacts(d.now)[1].Acknowledge, quicktest.Equals, uint64(500))
	d.p.PollAnswered(d.now, "b", planner.PollResult{Sent: d.now, Acknowledged: 500, Ended: []planner.RunEnd{end}})
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
}

// TestUnreadableListDoesNotWaitForPartialAnswers guards against a second run of a task
// whose end is on a worker that answers and has renewed leases, but lists more ends than
// fit into an answer, while the list of workers can't be decoded.
func TestUnreadableListDoesNotWaitForPartialAnswers(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8), worker("b", 8))
	d.p.AddUnknownWorkers()
	d.add(job("1", step(1, 1)))
	d.p.SetWorkers(d.now, d.workers)
	run := planner.RunID{TaskID: planner.TaskID{Job: "other"}, Attempt: 1}
	for i := range 25 {
		d.advance(700 * time.Millisecond)
		d.p.Leased("b", d.now.Add(6*time.Second))
		d.p.PollAnswered(d.now, "b", planner.PollResult{Sent: d.now, ProcessStart: 1, Ended: []planner.RunEnd{{Number: 1, Run: run, Kind: planner.EndDone}}, IsPartial: true})
		d.poll("a")
		if d.p.NeedsRecord(d.now) {
			d.p.SetRecorded(d.p.Recorded(d.now))
		}
		d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("answer %d, %s after the takeover: further ends of b are not read", i, d.now.Sub(origin)))
	}
}

// TestSilentWorkerStaysUntilEndsAreStored guards against a second run of a task under the
// owner after next, because a worker that listed in part and went silent was taken out of
// the stored list before the effect of its ends was stored.
func TestSilentWorkerStaysUntilEndsAreStored(t *testing.T) {
	d, end := newSuccessorDriver(t)
	d.p.PollAnswered(d.now, "b", planner.PollResult{Sent: d.now, Ended: []planner.RunEnd{end}, IsPartial: true})
	d.p.Unanswered(d.now, "b")
	d.advance(14 * time.Second)
	d.poll("a")
	d.startTasks()
	d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 2)
	d.commit()
	d.startTasks()
	d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 1)
}
