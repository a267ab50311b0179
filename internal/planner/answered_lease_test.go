package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestLeaseOfStartAnsweredWhileStopping guards against a second run of a task whose start
// was answered late, after its stop was decided, by the next process of the worker's id: the
// lease there counts from the arrival, not from the decision.
func TestLeaseOfStartAnsweredWhileStopping(t *testing.T) {
	const longest, answer = 10 * time.Second, 1900 * time.Millisecond
	d := newDriver(t, 1, worker("a", 1), worker("b", 1))
	p, err := planner.New(planner.Options{
		Epoch: 1, MaxFenceOffset: 15, Horizon: 7 * time.Second, ViolationLimit: 4 * time.Second, Retention: time.Minute,
		PredecessorLeaseEnd: origin, LongestLease: longest, WallTime: func(t time.Time) time.Time { return t },
	})
	d.Assert(err, quicktest.IsNil)
	d.p = p
	d.registerWorkers()
	gang := step(2, 1)
	gang.Gang = true
	d.add(job("1", gang))
	starts := d.p.Plan(d.now, d.proven())
	d.Assert(starts, quicktest.HasLen, 2)
	d.advance(100 * time.Millisecond)
	d.p.StartAnswered(d.now, starts[0].Run, starts[0].WorkerID, planner.Refused, "")
	d.advance(300 * time.Millisecond)
	d.p.Leased(starts[1].WorkerID, d.now.Add(8*time.Second))
	d.advance(answer - 400*time.Millisecond)
	arrived := d.now
	d.p.StartAnswered(d.now, starts[1].Run, starts[1].WorkerID, planner.Started, "")
	d.advance(time.Millisecond)
	d.p.Unanswered(d.now, starts[1].WorkerID)
	d.p.SetWorkers(d.now, []planner.Worker{worker("a", 1), worker("b", 1), worker("c", 1)})
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.poll("c")
	for d.now.Before(arrived.Add(longest)) {
		d.p.Answered(d.now, starts[0].WorkerID)
		d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("%s after the start arrived", d.now.Sub(arrived)))
		d.advance(100 * time.Millisecond)
	}
}
