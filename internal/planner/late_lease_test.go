package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestLeaseOnNewProcessOfSameID guards against a second run of a task whose start
// reached a new process with the worker's id: its clock started anew, so that a lease
// on the clock of the ended process counts there from its arrival.
func TestLeaseOnNewProcessOfSameID(t *testing.T) {
	const lease = 3 * time.Second
	for name, tt := range map[string]struct {
		isListed, isRelisted bool
		outcome              planner.StartOutcome
		after                time.Duration
		// again is set if the task starts again.
		again bool
	}{
		"another process is listed, start answered":            {false, true, planner.Started, lease, false},
		"another process is listed, start unanswered":          {false, true, planner.Unclear, lease, false},
		"another process is listed, last lease has expired":    {false, true, planner.Unclear, lease + 15*time.Second, true},
		"another process is listed, the ended one had the run": {true, true, planner.Started, lease, true},
		"no other process is listed, last lease has expired":   {false, false, planner.Unclear, lease, false},
		"no other process is listed, no start can arrive":      {false, false, planner.Unclear, planner.LateCallLimit, true},
	} {
		t.Run(name, func(t *testing.T) {
			w, other := worker("a", 8), worker("c", 8)
			d := newDriver(t, 1, w, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", step(1, 1)))
			start := d.p.Plan(d.now, d.proven())[0]
			d.p.Leased(w.ID, d.now.Add(lease))
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, tt.outcome, "")
			if tt.isListed {
				d.running[w.ID] = []planner.RunStatus{{Run: start.Run, Percent: 1}}
				d.poll(w.ID)
			}
			d.p.SetEvacuatedDomains([]string{w.Domain})
			if tt.isRelisted {
				d.list(successor(w.ID, w), other)
			}
			d.advance(time.Millisecond)
			d.p.Unanswered(d.now, w.ID)
			d.advance(tt.after)
			want := 0
			if tt.again {
				want = 1
			}
			d.Assert(d.startTasks(), quicktest.HasLen, want)
		})
	}
}

// TestLeaseOfStartForEndedProcess guards against a second run of a task whose start
// was sent to an ended process and reaches the next one with its id, which was found
// and then stopped answering: a lease counts there from the arrival of the start.
func TestLeaseOfStartForEndedProcess(t *testing.T) {
	const lease = 3 * time.Second
	for name, tt := range map[string]struct {
		after                 time.Duration
		isListed, isConfirmed bool
		// again is set if the task starts again.
		again bool
	}{
		"start may arrive":                       {lease + time.Second, false, false, false},
		"start and its lease have expired":       {lease + 15*time.Second, false, false, true},
		"start has arrived, lease has expired":   {lease, true, false, true},
		"start has arrived, lease continues":     {lease - time.Second, true, false, false},
		"stop is confirmed, lease has expired":   {lease, false, true, false},
		"stop is confirmed, no start can arrive": {planner.LateCallLimit, false, true, true},
		"stop is confirmed, another lease lasts": {lease - time.Second, false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			w, other := worker("a", 8), worker("c", 8)
			d := newDriver(t, 1, w, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", step(1, 1)))
			start := d.p.Plan(d.now, d.proven())[0]
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
			d.p.SetEvacuatedDomains([]string{w.Domain})
			d.advance(time.Millisecond)
			d.p.Leased(w.ID, d.now.Add(lease))
			d.answer(w, d.now, 2)
			if tt.isListed {
				d.p.PollAnswered(d.now, w.ID, planner.PollResult{Sent: d.now, FenceOffset: d.fence(w.ID), ProcessStart: 2, Running: []planner.RunStatus{{Run: start.Run}}})
			}
			if tt.isConfirmed {
				d.p.StopAnswered(d.now, start.Run, w.ID)
			}
			d.advance(time.Millisecond)
			d.p.Unanswered(d.now, w.ID)
			d.advance(tt.after)
			want := 0
			if tt.again {
				want = 1
			}
			d.Assert(d.startTasks(), quicktest.HasLen, want)
		})
	}
}
