package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestPlaceOfMovedTask guards against a task that is stopped because another worker has a
// place for it, and then waits while a task that came later takes the place. Load: a
// best-effort task stands still beside a long-running task over its target, and further
// work arrives while it is being moved.
func TestPlaceOfMovedTask(t *testing.T) {
	for name, tt := range map[string]struct {
		isDisabled bool
		want       []string
	}{"kept": {false, []string{"", "begun"}}, "disabled": {true, []string{"later", ""}}} {
		t.Run(name, func(t *testing.T) {
			d := newDriverWith(t, 1, func(o *planner.Options) { o.DisableMovePlaces = tt.isDisabled }, worker("a", 16)).registerWorkers()
			d.add(job("serving", serving(1, "image")))
			d.startTasks()
			d.report(-3)
			batch := step(1, 10)
			batch.BestEffort, batch.Image, batch.Checkpoints, batch.Need.Memory = true, "batch", true, 60_000
			addBatch := func(id string) {
				j := job(id, batch)
				j.Queue.Slack = time.Minute
				d.add(j)
			}
			addBatch("begun")
			begun := d.startTasks()
			d.Assert(begun, quicktest.HasLen, 1)
			d.workers = append(d.workers, worker("b", 16))
			d.registerWorkers()
			isStopped := false
			for range 20 {
				d.advance(300 * time.Millisecond)
				d.report(1)
				for _, o := range d.p.Plan(d.now, d.proven()) {
					isStopped = isStopped || o.Kind == planner.StopRun
				}
				if isStopped {
					break
				}
			}
			d.Assert(isStopped, quicktest.IsTrue)
			addBatch("later")
			first := func() string {
				for _, o := range d.startTasks() {
					d.Assert(o.WorkerID, quicktest.Equals, "b")
					return o.Run.Job
				}
				return ""
			}
			got := []string{first()}
			d.p.StopAnswered(d.now, begun[0].Run, "a")
			d.endRun(begun[0], planner.EndStopped)
			d.Assert(append(got, first()), quicktest.DeepEquals, tt.want)
		})
	}
}
