package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestListedWorkerIsKnownAgain guards against workers that the owner has dropped, or whose
// process was replaced, and that it never uses again because their entries in the list
// don't change any more.
func TestListedWorkerIsKnownAgain(t *testing.T) {
	first := worker("a", 8)
	next := successor("a", first)
	for name, tt := range map[string]struct {
		isUnverified bool
		// listed is the process in the list, and alive the one that answers in the end.
		listed, alive planner.Worker
		lose          func(d *driver)
	}{
		"dropped after every lease has expired":                {true, first, first, func(d *driver) { d.advance(14 * time.Second) }},
		"dropped while another process is listed under its id": {true, next, next, func(d *driver) { d.advance(14*time.Second + planner.LateCallLimit) }},
		"gone while another process is listed under its id":    {false, next, next, func(d *driver) { d.advance(3 * time.Second) }},
		"replaced by the listed process": {false, next, next, func(d *driver) {
			d.answer(first, d.now, next.Born)
			d.advance(3 * time.Second)
		}},
		"replaced by the listed process before it has answered the new owner": {true, next, next, func(d *driver) {
			d.answer(first, d.now, next.Born)
			d.advance(3 * time.Second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 2, first)
			if tt.isUnverified {
				d.p.AddUnverifiedWorker(first)
			} else {
				d.registerWorkers()
			}
			d.advance(time.Millisecond)
			d.list(tt.listed)
			tt.lose(d)
			d.startTasks()

			d.Assert(d.p.Contacts(d.now), quicktest.HasLen, 1)
			d.Assert(d.p.Contacts(d.now)[0].Born, quicktest.Equals, tt.alive.Born)
			d.answer(tt.alive, d.now, tt.alive.Born)
			d.p.SetRecorded(d.p.Recorded(d.now))
			d.add(job("1", step(1, 1)))
			d.Assert(d.startTasks(), quicktest.HasLen, 1)
		})
	}
}

// TestDroppedWorkerDelaysNoSuccessor guards against a successor that waits for the answer of
// a listed worker that has none, on which no lease is left.
func TestDroppedWorkerDelaysNoSuccessor(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8))
	d.p.AddUnverifiedWorker(d.workers[0])
	d.list(d.workers[0])
	d.p.Unanswered(d.now, "a")
	d.advance(14 * time.Second)
	d.startTasks()
	d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 0)
	d.poll("a")
	d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 1)
}

// TestDroppedWorkerLeavesAsAnnounced guards against tasks that are expected to end on a
// worker which has announced its end long before it was known again.
func TestDroppedWorkerLeavesAsAnnounced(t *testing.T) {
	leaving := worker("a", 8)
	leaving.Draining, leaving.Remaining = true, 20*time.Second
	d := newDriver(t, 2, leaving)
	d.p.AddUnverifiedWorker(leaving)
	d.list(leaving)
	until := d.now.Add(leaving.Remaining)
	d.advance(14 * time.Second)
	d.startTasks()
	w, ok := d.p.Worker("a")
	d.Assert(ok, quicktest.IsTrue)
	d.Assert(w.LeavesAt(), quicktest.Equals, until)
}

// TestLateEntryOfEndedProcess guards against a process that is added again, and contests
// the next one at its address, because a late write shows it after it was found to have
// ended and has left the list.
func TestLateEntryOfEndedProcess(t *testing.T) {
	ended := worker("a", 8)
	living := successor("b", ended)
	d := newDriver(t, 1, ended).registerWorkers()
	d.list(living)
	d.advance(time.Millisecond)
	d.poll(living.ID)
	d.startTasks()
	d.list(ended, living)
	d.Assert(d.p.Contacts(d.now), quicktest.HasLen, 1)
	d.Assert(d.p.Contacts(d.now)[0].IsContested, quicktest.IsFalse)
}
