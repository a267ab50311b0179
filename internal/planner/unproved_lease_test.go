package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestLeaseOnProcessFoundOnce guards against a second run of a task that a new process
// with the worker's id lists in the answer by which it is found, after which it stops
// answering: calls that were meant for the ended process may still renew the lease there,
// since no call has told the process to reject them.
func TestLeaseOnProcessFoundOnce(t *testing.T) {
	const lease, lateCallLimit = 3 * time.Second, planner.LateCallLimit
	for name, tt := range map[string]struct {
		outcome planner.StartOutcome
		after   time.Duration
		// again is set if the task starts again.
		again bool
	}{
		"start answered, lease has expired":          {planner.Started, lease, false},
		"start unanswered, lease has expired":        {planner.Unclear, lease, false},
		"start answered, no call can arrive there":   {planner.Started, lease + lateCallLimit, true},
		"start unanswered, no call can arrive there": {planner.Unclear, lease + lateCallLimit, true},
	} {
		t.Run(name, func(t *testing.T) {
			w, other := worker("a", 8), worker("c", 8)
			d := newDriver(t, 1, w, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", step(1, 1)))
			start := d.p.Plan(d.now, d.proven())[0]
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, tt.outcome, "")
			d.p.SetEvacuatedDomains([]string{w.Domain})
			d.advance(time.Millisecond)
			d.p.Leased(w.ID, d.now.Add(lease))
			d.p.PollAnswered(d.now, w.ID, planner.PollResult{Sent: d.now, ProcessStart: 2, Running: []planner.RunStatus{{Run: start.Run}}})
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
