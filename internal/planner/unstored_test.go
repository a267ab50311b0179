package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestSuccessorAsksForUnstoredEnds guards against a second run of a task whose end its
// owner had read and not stored, because a worker without runs was left out of the stored
// list and the successor didn't ask it.
func TestSuccessorAsksForUnstoredEnds(t *testing.T) {
	for name, quit := range map[string]func(d *driver, id string){
		"listed": func(*driver, string) {},
		"draining": func(d *driver, id string) {
			list := []planner.Worker{d.workers[0], d.workers[1]}
			for i := range list {
				list[i].Draining = list[i].ID == id
			}
			d.list(list...)
		},
		"silent": func(d *driver, id string) {
			d.p.Unanswered(d.now, id)
			d.advance(1100 * time.Millisecond)
		},
		"not listed": func(d *driver, id string) {
			d.list(d.other(id))
			d.advance(5 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 4), worker("b", 4)).registerWorkers()
			j := job("1", step(1, 4))
			d.add(j)
			start := d.startTasks()[0]
			d.endRun(start, planner.EndDone)
			quit(d, start.WorkerID)
			d.startTasks()

			next := newDriver(t, 2, d.workers...)
			next.now, next.running, next.ends = d.now, d.running, d.ends
			for _, w := range d.p.Recorded(d.now) {
				next.p.AddUnverifiedWorker(w)
			}
			next.add(j)
			next.list(d.other(start.WorkerID))
			next.p.SetRecorded(next.p.Recorded(next.now))
			next.poll(d.other(start.WorkerID).ID)
			next.Assert(next.startTasks(), quicktest.HasLen, 0)
			next.poll(start.WorkerID)
			next.Assert(next.startTasks(), quicktest.HasLen, 0)

			d.commit()
			d.startTasks()
			list := d.p.Recorded(d.now)
			d.Assert(list, quicktest.HasLen, map[bool]int{true: 2, false: 1}[name == "listed"], quicktest.Commentf("once the end is stored"))
		})
	}
}

// other returns the worker that hasn't the id.
func (d *driver) other(id string) planner.Worker {
	if d.workers[0].ID == id {
		return d.workers[1]
	}
	return d.workers[0]
}
