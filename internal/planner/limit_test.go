package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestStartLimit guards against more decided starts than can be sent, and against a gang
// of which only a part starts.
func TestStartLimit(t *testing.T) {
	d := newDriver(t, 1, worker("a", 64)).registerWorkers()
	d.add(job("1", step(10, 1)))
	d.p.LimitStarts(4)
	d.Assert(d.startTasks(), quicktest.HasLen, 4)
	d.Assert(d.startTasks(), quicktest.HasLen, 4)
	d.p.LimitStarts(0)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	gang := step(6, 1)
	gang.Gang = true
	d.add(job("2", gang))
	d.p.LimitStarts(3)
	members := 0
	for _, s := range d.startTasks() {
		if s.Run.Job == "2" {
			members++
		}
	}
	d.Assert(members, quicktest.Equals, 6)
}

// TestGangStopsWithoutMember guards against members of a gang that wait in vain for one whose
// start was refused, or dropped before it was sent, until they end by themselves.
func TestGangStopsWithoutMember(t *testing.T) {
	d := newDriver(t, 1, worker("a", 64)).registerWorkers()
	gang := step(4, 1)
	gang.Gang = true
	d.add(job("1", gang))
	starts := d.p.Plan(d.now, d.proven())
	d.Assert(starts, quicktest.HasLen, 4)
	d.p.StartAnswered(d.now, starts[0].Run, "a", planner.Started, "")
	d.p.StartAnswered(d.now, starts[1].Run, "a", planner.Refused, "")
	stops := map[planner.RunID]bool{}
	// The other starts are answered after the gang is stopped.
	for _, o := range d.p.Plan(d.now, d.proven()) {
		d.Assert(o.Kind, quicktest.Equals, planner.StopRun)
		stops[o.Run] = true
		d.p.StartAnswered(d.now, o.Run, "a", planner.Started, "")
		d.p.StopAnswered(d.now, o.Run, "a")
	}
	d.Assert(stops, quicktest.HasLen, 3)
	d.advance(time.Second)
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 4, quicktest.Commentf("all members start again together"))
}
