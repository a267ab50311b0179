package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestWorkerWithUnknownRunIsStored guards against a second run of a task under a
// successor that doesn't wait for its worker, because the worker got no more tasks
// and lists a run whose job its owner has not read yet.
func TestWorkerWithUnknownRunIsStored(t *testing.T) {
	for name, change := range map[string]func(d *driver){
		"draining": func(d *driver) {
			d.workers[0].Draining = true
			d.list(d.workers...)
		},
		"not answering": func(d *driver) {
			d.p.Unanswered(d.now, "a")
			d.advance(2 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 2, worker("a", 8)).registerWorkers()
			d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}}}
			d.poll("a")
			change(d)
			d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 1)
		})
	}
}
