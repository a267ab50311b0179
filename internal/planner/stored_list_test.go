package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestUnansweredListNamesGoneWorker guards against a successor that waits for a
// worker that never got a task: a list with it had no answer and may be stored, and the
// worker has left since.
func TestUnansweredListNamesGoneWorker(t *testing.T) {
	for name, quit := range map[string]func(d *driver){
		"draining":                 func(d *driver) { d.workers[1].Draining = true; d.list(d.workers...) },
		"silent":                   func(d *driver) { d.p.Unanswered(d.now, "b"); d.advance(2 * time.Second) },
		"another process answered": func(d *driver) { d.p.OtherProcessAnswered("b") },
		"gone": func(d *driver) {
			d.list(d.workers[0])
			d.advance(10 * time.Second)
			d.startTasks()
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 4)).registerWorkers()
			d.workers = append(d.workers, worker("b", 4))
			d.list(d.workers...)
			d.poll("b")
			d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue)
			// The write has no answer, and may be carried out.
			d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 2)
			quit(d)
			d.poll("a")
			d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 1)
			d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue, quicktest.Commentf("the stored list may name the worker"))
		})
	}
}

// TestReplacedProcessStaysInStoredList guards against a successor that waits for an ended
// process, because the process was replaced while the list with it was being stored.
func TestReplacedProcessStaysInStoredList(t *testing.T) {
	d := newDriver(t, 1, worker("a", 4), worker("b", 4)).registerWorkers()
	list := d.p.Recorded(d.now)
	d.answer(d.workers[1], d.now, 2)
	d.answer(d.workers[1], d.now, 2)
	d.workers[1].Born, d.workers[1].Draining = 2, true
	d.list(d.workers...)
	d.p.SetRecorded(list)
	d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 1)
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue, quicktest.Commentf("the stored list has b, born 1"))
}
