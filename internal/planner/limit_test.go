package planner_test

import (
	"testing"

	"github.com/frankban/quicktest"
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
