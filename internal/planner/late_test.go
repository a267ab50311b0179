package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestLateStart guards against a task that starts again while an unanswered start of it may
// still be carried out by a later process with the id of the worker, which knows neither the
// stop of the run nor a fence, and against one that waits without need.
func TestLateStart(t *testing.T) {
	lasting, gang := step(1, 1), step(2, 1)
	lasting.LongRunning, gang.Gang = true, true
	withdraw := func(d *driver, w planner.Worker, start planner.Command) {
		d.p.Plan(d.now, d.proven())
		d.p.StopAnswered(d.now, start.Run, w.ID)
		d.advance(time.Millisecond)
		d.answer(w, d.now, w.Born)
	}
	for name, tt := range map[string]struct {
		step planner.Step
		// do is what becomes of the worker and of the start.
		do func(d *driver, w planner.Worker, start planner.Command)
		// atOnce and later are how many tasks start on the worker and elsewhere, before and
		// after the last time at which the start may be carried out.
		atOnce, later [2]int
	}{
		"worker has no run": {step(1, 1), withdraw, [2]int{}, [2]int{0, 1}},
		"worker is silent": {step(1, 1), func(d *driver, w planner.Worker, _ planner.Command) {
			d.p.Unanswered(d.now, w.ID)
			d.advance(4 * time.Second)
		}, [2]int{}, [2]int{0, 1}},
		"worker leaves": {step(1, 1), func(d *driver, w planner.Worker, start planner.Command) {
			w.Draining = true
			d.list(w, worker("b", 8))
			withdraw(d, w, start)
		}, [2]int{}, [2]int{0, 1}},
		"a later process answers": {step(1, 1), func(d *driver, w planner.Worker, _ planner.Command) {
			d.answer(w, d.now, 2)
			d.advance(time.Millisecond)
			d.p.PollAnswered(d.now, w.ID, planner.PollResult{Sent: d.now, FenceOffset: d.fence(w.ID), ProcessStart: 2})
		}, [2]int{}, [2]int{0, 1}},
		"a process with another id answers": {step(1, 1), func(d *driver, w planner.Worker, _ planner.Command) {
			d.p.OtherProcessAnswered(w.ID)
		}, [2]int{0, 1}, [2]int{}},
		"gang": {gang, func(d *driver, w planner.Worker, start planner.Command) {
			member := start
			member.Run.Index = 1
			d.p.StartAnswered(d.now, member.Run, w.ID, planner.Unclear, "no answer")
			d.p.Plan(d.now, d.proven())
			d.p.StopAnswered(d.now, member.Run, w.ID)
			withdraw(d, w, start)
		}, [2]int{}, [2]int{0, 2}},
		"worker lists the run": {step(1, 1), func(d *driver, w planner.Worker, start planner.Command) {
			d.running[w.ID] = []planner.RunStatus{{Run: start.Run}}
			d.poll(w.ID)
			d.running[w.ID] = nil
			d.advance(time.Millisecond)
			d.poll(w.ID)
		}, [2]int{0, 1}, [2]int{}},
		"answered late": {step(1, 1), func(d *driver, w planner.Worker, start planner.Command) {
			withdraw(d, w, start)
			d.p.StartAnswered(d.now, start.Run, w.ID, planner.Refused, "old")
			d.advance(time.Second)
		}, [2]int{0, 1}, [2]int{}},
		"not sent": {step(1, 1), func(d *driver, w planner.Worker, start planner.Command) {
			d.p.OtherProcessAnswered(w.ID)
			d.p.StartAnswered(d.now, start.Run, w.ID, planner.Refused, "")
			d.advance(time.Second)
		}, [2]int{0, 1}, [2]int{}},
		"speculative task": {speculative(step(1, 1)), withdraw, [2]int{0, 1}, [2]int{}},
		"long-running task, same worker": {lasting, func(d *driver, w planner.Worker, start planner.Command) {
			withdraw(d, w, start)
			d.p.SetEvacuatedDomains(nil)
		}, [2]int{1, 0}, [2]int{}},
		"long-running task, worker is out": {lasting, withdraw, [2]int{}, [2]int{0, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			w, other := worker("a", 8), worker("b", 8)
			d := newDriver(t, 1, w, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", tt.step))
			start := d.p.Plan(d.now, d.proven())[0]
			d.p.Leased(w.ID, d.now.Add(3*time.Second))
			d.advance(400 * time.Millisecond)
			d.p.StartAnswered(d.now, start.Run, w.ID, planner.Unclear, "no answer")
			d.p.SetEvacuatedDomains([]string{w.Domain})
			tt.do(d, w, start)
			d.commit()
			count := func() (n [2]int) {
				for _, o := range d.startTasks() {
					if o.WorkerID == w.ID {
						n[0]++
					} else {
						n[1]++
					}
				}
				return n
			}
			d.Assert(count(), quicktest.Equals, tt.atOnce)
			d.advance(origin.Add(planner.LateCallLimit).Sub(d.now))
			d.Assert(count(), quicktest.Equals, [2]int{}, quicktest.Commentf("the start may still be carried out"))
			d.advance(200 * time.Millisecond)
			d.commit()
			d.Assert(count(), quicktest.Equals, tt.later)
		})
	}
}

// TestSuccessorKnowsLateStarts guards against a successor that starts a task again while an
// unanswered start of its predecessor may still be carried out. Its worker has rejected the
// start to the successor, but a later process with the id would carry it out.
func TestSuccessorKnowsLateStarts(t *testing.T) {
	for name, note := range map[string]func(d *driver, start planner.Command){
		"start counts as unanswered": func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
		},
		"owner gives the shard up before": func(d *driver, _ planner.Command) { d.p.NoteUnanswered() },
		"owner is killed before": func(d *driver, start planner.Command) {
			d.p.StartSent(d.now, start.Run, start.WorkerID, d.now.Add(time.Second))
			d.advance(150 * time.Millisecond)
			d.p.Plan(d.now, d.proven())
		},
	} {
		t.Run(name, func(t *testing.T) {
			w, other := worker("a", 8), worker("b", 8)
			d := newDriver(t, 1, w, other).registerWorkers()
			d.add(job("1", step(1, 1)))
			start := d.p.Plan(d.now, d.proven())[0]
			note(d, start)
			changes := d.p.Changes(10)
			d.Assert(changes, quicktest.HasLen, 1)
			value, err := planner.Encode(changes[0].Progress)
			d.Assert(err, quicktest.IsNil)

			next := newDriver(t, 2, w, other)
			for _, known := range next.workers {
				next.p.AddUnverifiedWorker(known)
			}
			progress, err := planner.Decode[planner.Progress](value)
			next.Assert(err, quicktest.IsNil)
			next.p.AddJob(next.now, job("1", step(1, 1)), progress)
			next.registerWorkers()
			next.Assert(next.startTasks(), quicktest.HasLen, 0)
			next.advance(planner.LateCallLimit + time.Millisecond)
			next.Assert(next.startTasks(), quicktest.HasLen, 1)
		})
	}
}

// TestTaskWithLateStartIsNotHandedOver guards against a run in another shard, which doesn't
// know of the start, beside one that is carried out late in this shard.
func TestTaskWithLateStartIsNotHandedOver(t *testing.T) {
	w := worker("a", 8)
	d := newDriver(t, 1, w).registerWorkers()
	*d.hasRoom = true
	s := step(1, 1)
	s.LongRunning = true
	d.add(job("1", s))
	start := d.p.Plan(d.now, d.proven())[0]
	d.p.StartAnswered(d.now, start.Run, w.ID, planner.Unclear, "no answer")
	d.p.SetEvacuatedDomains([]string{w.Domain})
	d.p.Plan(d.now, d.proven())
	d.p.StopAnswered(d.now, start.Run, w.ID)
	d.advance(time.Millisecond)
	d.answer(w, d.now, w.Born)
	d.commit()
	for range 10 {
		d.Assert(d.startTasks(), quicktest.HasLen, 0)
		d.Assert(d.p.Unplaced(d.now), quicktest.HasLen, 0)
		d.advance(time.Second)
	}
	d.advance(6 * time.Second)
	d.commit()
	for range 2 {
		d.Assert(d.startTasks(), quicktest.HasLen, 0)
		d.advance(time.Second)
	}
	d.Assert(d.p.Unplaced(d.now), quicktest.HasLen, 1)
}

// TestWaitForLateStartIsNotProlonged guards against a task that waits anew for a start without
// an answer at each change of owner.
func TestWaitForLateStartIsNotProlonged(t *testing.T) {
	w, other := worker("a", 8), worker("b", 8)
	d := newDriver(t, 1, w, other).registerWorkers()
	d.add(job("1", step(1, 1)))
	start := d.p.Plan(d.now, d.proven())[0]
	d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
	progress := d.p.Changes(1)[0].Progress
	for epoch, age := range map[int64]time.Duration{2: 8 * time.Second, 3: 16 * time.Second} {
		value, err := planner.Encode(progress)
		d.Assert(err, quicktest.IsNil)
		stored, err := planner.Decode[planner.Progress](value)
		d.Assert(err, quicktest.IsNil)
		next := newDriver(t, epoch, w, other)
		for _, known := range next.workers {
			next.p.AddUnverifiedWorker(known)
		}
		next.now = origin.Add(age)
		next.p.AddJob(next.now, job("1", step(1, 1)), stored)
		next.registerWorkers()
		next.Assert(next.startTasks(), quicktest.HasLen, 0)
		next.now = origin.Add(planner.LateCallLimit)
		next.Assert(next.startTasks(), quicktest.HasLen, 0)
		next.now = origin.Add(planner.LateCallLimit + 3*time.Second + time.Millisecond)
		next.Assert(next.startTasks(), quicktest.HasLen, 1)
	}
}
