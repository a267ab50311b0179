package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestWithdrawnStartIsStoppedOnNewProcess guards against a second run of a task
// whose unanswered start was stopped, and is carried out late by a new process
// with the worker's id, which doesn't know of the stop.
func TestWithdrawnStartIsStoppedOnNewProcess(t *testing.T) {
	for name, tt := range map[string]struct {
		restartAfter time.Duration
		restarts     int
		isStopped    bool
	}{
		"restarts at once":              {time.Second, 1, true},
		"restarts twice":                {time.Second, 2, true},
		"start can't arrive any longer": {16 * time.Second, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			w, other := worker("a", 8), worker("b", 8)
			d := newDriver(t, 1, w, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", speculative(step(1, 1))))
			start := d.p.Plan(d.now, d.proven())[0]
			d.p.SetEvacuatedDomains([]string{w.Domain})
			d.advance(400 * time.Millisecond)
			d.p.StartAnswered(d.now, start.Run, "a", planner.Unclear, "no answer")
			d.p.Plan(d.now, d.proven())
			d.p.StopAnswered(d.now, start.Run, "a")
			d.advance(100 * time.Millisecond)
			d.poll("a")
			again := d.startTasks()
			d.Assert(again, quicktest.HasLen, 1)
			d.Assert(again[0].WorkerID, quicktest.Equals, "b")
			d.advance(tt.restartAfter)
			for i := range tt.restarts {
				d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, ProcessStart: int64(i + 2)})
				isStopped := d.stops(start.Run)
				d.Assert(isStopped, quicktest.Equals, tt.isStopped, quicktest.Commentf("restart %d", i+1))
				if !isStopped {
					continue
				}
				// An unanswered stop is sent again, and a confirmed one is not.
				d.advance(time.Second)
				d.Assert(d.stops(start.Run), quicktest.IsTrue)
				d.p.StopAnswered(d.now, start.Run, "a")
				d.advance(time.Second)
				d.Assert(d.stops(start.Run), quicktest.IsFalse)
			}
			d.Assert(d.decisionCounts["start"], quicktest.Equals, 2)
		})
	}
}

// TestGoneWorkerKeepsWithdrawnStarts guards against a second run of a task whose
// withdrawn start reaches a new process with the id of a worker that was not listed
// for a while.
func TestGoneWorkerKeepsWithdrawnStarts(t *testing.T) {
	w, other := worker("a", 8), worker("c", 8)
	d := newDriver(t, 1, w, other).registerWorkers()
	d.p.SetEvacuatedDomains([]string{other.Domain})
	d.add(job("1", speculative(step(1, 1))))
	start := d.p.Plan(d.now, d.proven())[0]
	d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "")
	d.p.StopAnswered(d.now, start.Run, start.WorkerID)
	d.advance(time.Millisecond)
	d.answer(w, d.now, w.Born)
	d.p.SetEvacuatedDomains([]string{w.Domain})
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
	d.list(other)
	d.advance(3 * time.Second)
	d.p.Plan(d.now, d.proven())
	d.list(successor(w.ID, w), other)
	d.answer(w, d.now, w.Born+1)
	d.Assert(d.stops(start.Run), quicktest.IsTrue)
	// No start of it can arrive any more.
	d.list(other)
	for range 2 {
		d.advance(16 * time.Second)
		d.p.Plan(d.now, d.proven())
	}
	_, isKnown := d.p.Worker(w.ID)
	d.Assert(isKnown, quicktest.IsFalse)
}

// stops plans, and reports whether a stop of the run is sent to worker a.
func (d *driver) stops(run planner.RunID) bool { return d.stopsOn("a", run) }

// stopsOn plans and reports whether a stop of a run is sent to a worker.
func (d *driver) stopsOn(workerID string, run planner.RunID) bool {
	isStopped := false
	for _, o := range d.p.Plan(d.now, d.proven()) {
		isStopped = isStopped || (o.Kind == planner.StopRun && o.Run == run && o.WorkerID == workerID)
	}
	return isStopped
}

// TestWithdrawnStartBeforeItsTimeout guards against a task of a cancelled job that
// runs on a new process with the worker's id. The stop was confirmed, and a poll
// didn't list the run, before the start of the run counted as unanswered.
func TestWithdrawnStartBeforeItsTimeout(t *testing.T) {
	for name, tt := range map[string]struct {
		outcome   planner.StartOutcome
		isStopped bool
	}{
		"start unanswered": {planner.Unclear, true},
		"start refused":    {planner.Refused, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 8)).registerWorkers()
			d.add(job("1", step(1, 1)))
			start := d.p.Plan(d.now, d.proven())[0]
			if tt.outcome == planner.Refused {
				d.p.StartAnswered(d.now, start.Run, "a", tt.outcome, "room")
			}
			d.p.Cancel(d.now, "1")
			d.p.Plan(d.now, d.proven())
			d.advance(10 * time.Millisecond)
			d.p.StopAnswered(d.now, start.Run, "a")
			d.advance(10 * time.Millisecond)
			d.poll("a")
			if tt.outcome == planner.Unclear {
				d.advance(380 * time.Millisecond)
				d.p.StartAnswered(d.now, start.Run, "a", tt.outcome, "no answer")
			}
			d.commit()
			d.Assert(d.p.Contacts(d.now)[0].NeedsPoll, quicktest.Equals, tt.isStopped)
			d.advance(time.Second)
			d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, ProcessStart: 2})
			d.Assert(d.stops(start.Run), quicktest.Equals, tt.isStopped)
		})
	}
}

// TestWithdrawnStartOfForgottenWorker guards against a second run of a task whose
// unanswered start is carried out late by a new process with the worker's id, which
// was listed after the worker had been forgotten.
func TestWithdrawnStartOfForgottenWorker(t *testing.T) {
	w, other := worker("a", 8), worker("b", 8)
	d := newDriver(t, 1, w, other).registerWorkers()
	d.p.SetEvacuatedDomains([]string{other.Domain})
	d.add(job("1", speculative(step(1, 1))))
	start := d.p.Plan(d.now, d.proven())[0]
	d.p.SetEvacuatedDomains([]string{w.Domain})
	d.p.Leased("a", d.now.Add(6*time.Second))
	d.advance(400 * time.Millisecond)
	d.p.StartAnswered(d.now, start.Run, "a", planner.Unclear, "no answer")
	d.p.Unanswered(d.now, "a")
	for range 12 {
		d.list(other)
		d.advance(700 * time.Millisecond)
		d.p.Plan(d.now, d.proven())
	}
	d.Assert(d.decisionCounts["start"], quicktest.Equals, 2)
	d.list(successor("a", w), other)
	d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, ProcessStart: 2})
	d.Assert(d.stops(start.Run), quicktest.IsTrue)
	// The worker is forgotten once the start can't arrive any more.
	for range 12 {
		d.list(other)
		d.advance(700 * time.Millisecond)
		d.p.Plan(d.now, d.proven())
	}
	_, isKnown := d.p.Worker("a")
	d.Assert(isKnown, quicktest.IsFalse)
}

// TestStopOfSilentWorkerIsRepeatedLess guards against stops that fill the link because
// each is repeated twice a second for as long as its worker doesn't answer, and against a
// worker that answers again and gets its stop only seconds later.
func TestStopOfSilentWorkerIsRepeatedLess(t *testing.T) {
	for name, tt := range map[string]struct {
		answers   bool
		most, min int
	}{"silent": {false, 5, 3}, "answers other calls": {true, 20, 15}} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 8)).registerWorkers()
			d.add(job("1", step(1, 1)))
			run := d.startTasks()[0].Run
			d.p.Leased("a", d.now.Add(time.Hour))
			d.p.Cancel(d.now, "1")
			stops := 0
			for range 100 {
				if d.stops(run) {
					stops++
				}
				if tt.answers {
					d.p.Answered(d.now, "a")
				}
				d.advance(100 * time.Millisecond)
			}
			d.Assert(stops >= tt.min && stops <= tt.most, quicktest.IsTrue, quicktest.Commentf("%d stops in 10 s", stops))
			d.p.Answered(d.now, "a")
			d.advance(600 * time.Millisecond)
			d.Assert(d.stops(run), quicktest.IsTrue)
		})
	}
}

// speculative returns the step with tasks that may run twice at the same time, so that they
// start again while a start without an answer may still be carried out.
func speculative(s planner.Step) planner.Step {
	s.Speculative = true
	return s
}
