package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestRestartKeepsAttemptLimit guards against a start after all attempts of a
// task have failed. A worker that is removed because the list still shows the
// process that had its address before goes on with its runs, and a run that fails
// there isn't counted before its task starts again elsewhere.
func TestRestartKeepsAttemptLimit(t *testing.T) {
	ended := worker("a", 8)
	living := successor("b", ended)
	other := worker("c", 8)
	d := newDriver(t, 1, living, other).registerWorkers()
	d.p.SetEvacuatedDomains([]string{other.Domain})
	d.add(job("1", step(1, 1)))
	d.endRun(d.startTasks()[0], planner.EndFailed)
	d.advance(time.Second)
	last := d.startTasks()
	d.Assert(last, quicktest.HasLen, 1)
	d.advance(time.Second)
	d.poll(living.ID)
	d.p.SetEvacuatedDomains(nil)

	d.p.SetWorkers(d.now, []planner.Worker{ended, living, other})
	// The second of two attempts fails before the next poll.
	d.running[living.ID] = nil
	d.ends[living.ID] = append(d.ends[living.ID], planner.RunEnd{Number: 2, Run: last[0].Run, Kind: planner.EndFailed})
	d.advance(200 * time.Millisecond)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.poll(living.ID)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.commit()
	state, _ := d.p.JobState("1")
	d.Assert(state, quicktest.Equals, planner.Failed)
}

// TestRestartKeepsReservation guards against starts beyond a worker's capacity. A
// worker that is removed because the list still shows the process that had its
// address before, and added again, has a start under way that its next answer
// doesn't list.
func TestRestartKeepsReservation(t *testing.T) {
	ended := worker("a", 8)
	living := successor("b", ended)
	for name, isAnswered := range map[string]bool{
		"start not answered":             false,
		"start answered during the poll": true,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, living).registerWorkers()
			d.add(job("1", step(1, 8)))
			first := d.p.Plan(d.now, d.proven())
			d.Assert(first, quicktest.HasLen, 1)
			d.advance(100 * time.Millisecond)
			d.p.SetWorkers(d.now, []planner.Worker{ended, living})
			d.p.SetRecorded(d.p.Recorded(d.now))
			sent := d.now
			d.advance(100 * time.Millisecond)
			if isAnswered {
				d.p.StartAnswered(d.now, first[0].Run, living.ID, planner.Started, "")
			}
			d.p.PollAnswered(d.now, living.ID, planner.PollResult{Sent: sent})
			d.add(job("2", step(1, 8)))
			d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("the worker's capacity is used twice"))
		})
	}
}
