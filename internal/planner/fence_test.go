package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestFenceOfNextProcess guards against calls to a worker's ended process that take effect
// on the next one with its id.
func TestFenceOfNextProcess(t *testing.T) {
	w, other := worker("a", 8), worker("b", 8)
	next := successor(w.ID, w)
	forget := func(d *driver) {
		d.list(other)
		d.advance(6 * time.Second)
		d.startTasks()
	}
	for name, tt := range map[string]struct {
		do   func(d *driver)
		want int64
	}{
		"same process answers":              {func(d *driver) { d.answer(w, d.now, w.Born) }, 0},
		"next process answers":              {func(d *driver) { d.answer(w, d.now, next.Born) }, 1},
		"one started earlier answers":       {func(d *driver) { d.answer(w, d.now, -1) }, 1},
		"next process is listed":            {func(d *driver) { d.list(next, other) }, 0},
		"next process is listed later":      {func(d *driver) { forget(d); d.list(next, other) }, 1},
		"same process is listed again":      {func(d *driver) { forget(d); d.list(w, other) }, 0},
		"next process is listed again":      {func(d *driver) { d.answer(w, d.now, next.Born); forget(d); d.advance(time.Hour); d.list(next, other) }, 1},
		"next process is listed long after": {func(d *driver) { forget(d); d.advance(time.Hour); d.list(other); forget(d); d.list(next, other) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, w, other).registerWorkers()
			d.advance(time.Millisecond)
			tt.do(d)
			_, isKnown := d.p.Worker(w.ID)
			d.Assert(isKnown, quicktest.IsTrue)
			d.Assert(d.fence(w.ID), quicktest.Equals, tt.want)
		})
	}
}

// TestNextProcessIsUsedOnceFenced guards against tasks on a process that still accepts
// calls which were meant for the one that had its id before.
func TestNextProcessIsUsedOnceFenced(t *testing.T) {
	w := worker("a", 8)
	d := newDriver(t, 1, w).registerWorkers()
	d.advance(time.Millisecond)
	d.answer(w, d.now, 2)
	d.list(successor("a", w))
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.add(job("1", step(1, 1)))
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	contact := d.p.Contacts(d.now)[0]
	d.Assert(contact.NeedsPoll && contact.MayHoldUnknownLease, quicktest.IsTrue)
	d.answer(w, d.now, 2)
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
	d.Assert(d.p.Contacts(d.now)[0].MayHoldUnknownLease, quicktest.IsFalse)
}

// TestRejectedStart guards against a task that starts again on another worker while a third
// process of the id, which knows no fence, may still get its rejected start, and against a
// long-running one that waits although it may start on the process that rejects the start.
func TestRejectedStart(t *testing.T) {
	for name, tt := range map[string]struct {
		isListed, isLongRunning bool
		// atOnce and later are the numbers of starts before and after the last time at which
		// the start may be carried out.
		atOnce, later int
	}{
		"start was carried out":                 {true, false, 0, 0},
		"start is rejected":                     {false, false, 0, 1},
		"long-running task, start was rejected": {false, true, 1, 0},
		"long-running task, start carried out":  {true, true, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w, other := worker("a", 8), worker("b", 8)
			d := newDriver(t, 1, w, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			s := step(1, 1)
			s.LongRunning = tt.isLongRunning
			d.add(job("1", s))
			start := d.p.Plan(d.now, d.proven())[0]
			d.p.SetEvacuatedDomains(nil)
			d.advance(time.Millisecond)
			d.answer(w, d.now, 2)
			d.list(successor(w.ID, w), other)
			d.advance(time.Millisecond)
			result := planner.PollResult{Sent: d.now, FenceOffset: 1, ProcessStart: 2}
			if tt.isListed {
				result.Running = []planner.RunStatus{{Run: start.Run}}
			}
			d.p.PollAnswered(d.now, w.ID, result)
			d.p.SetRecorded(d.p.Recorded(d.now))
			d.commit()
			again := d.startTasks()
			d.Assert(again, quicktest.HasLen, tt.atOnce)
			for _, o := range again {
				d.Assert(o.WorkerID, quicktest.Equals, w.ID)
			}
			d.advance(planner.LateCallLimit)
			d.Assert(d.startTasks(), quicktest.HasLen, tt.later)
		})
	}
}

// TestUsedUpFences guards against calls to ended processes that take effect on the next one
// because no higher fence was left for it.
func TestUsedUpFences(t *testing.T) {
	w := worker("a", 8)
	d := newDriver(t, 1, w).registerWorkers()
	d.add(job("1", step(1, 1)))
	born := w.Born
	for range 16 {
		born++
		d.advance(time.Second)
		d.answer(w, d.now, born)
	}
	w.Born = born
	d.list(w)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.Assert(d.fence("a"), quicktest.Equals, int64(15))
	d.Assert(d.p.Contacts(d.now)[0].NeedsPoll, quicktest.IsFalse)
	d.answer(w, d.now, born)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(planner.LateCallLimit)
	d.Assert(d.p.Contacts(d.now)[0].NeedsPoll, quicktest.IsTrue)
	d.answer(w, d.now, born)
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}

// TestWithdrawnStartIsWatchedOnThirdProcess guards against a third process of a worker's id
// that isn't noticed while a withdrawn start may still reach it: the second one rejects the
// start, but the third has seen no fence.
func TestWithdrawnStartIsWatchedOnThirdProcess(t *testing.T) {
	w, other := worker("a", 8), worker("b", 8)
	d := newDriver(t, 1, w, other).registerWorkers()
	d.p.SetEvacuatedDomains([]string{other.Domain})
	d.add(job("1", speculative(step(1, 1))))
	start := d.p.Plan(d.now, d.proven())[0]
	d.p.SetEvacuatedDomains([]string{w.Domain})
	d.p.StartAnswered(d.now, start.Run, w.ID, planner.Unclear, "no answer")
	d.p.StopAnswered(d.now, start.Run, w.ID)
	d.advance(time.Millisecond)
	d.answer(w, d.now, 1)
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
	d.Assert(d.p.Contacts(d.now)[0].NeedsPoll, quicktest.IsTrue)
	for range 2 {
		d.advance(time.Second)
		d.answer(w, d.now, 2)
		d.p.Plan(d.now, d.proven())
	}
	d.Assert(d.p.Contacts(d.now)[0].NeedsPoll, quicktest.IsTrue, quicktest.Commentf("%s after the start was sent", 2*time.Second))
}
