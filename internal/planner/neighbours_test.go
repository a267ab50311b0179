package planner_test

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// serving returns a step of long-running tasks of an image with a latency target.
func serving(count int, image string) planner.Step {
	return planner.Step{Count: count, Need: planner.Resources{CPU: 3200, Memory: 100}, LongRunning: true, Image: image, LatencyTarget: time.Second}
}

// report has the long-running tasks of all workers report a tail latency whose logarithm
// over the target is level.
func (d *driver) report(level float64) {
	for id, list := range d.running {
		for i := range list {
			list[i].Percent, list[i].Tail = 100, time.Duration(math.Exp(level)*float64(time.Second))
		}
		d.poll(id)
	}
}

// TestPacking guards against long-running tasks that spread over idle workers, so that
// best-effort tasks find no worker without them. Load: best-effort work has filled the
// worker with the long-running tasks when further long-running tasks arrive.
func TestPacking(t *testing.T) {
	for name, tt := range map[string]struct {
		isDisabled bool
		want       map[string]int
	}{"enabled": {false, map[string]int{"a": 4}}, "disabled": {true, map[string]int{"b": 4}}} {
		t.Run(name, func(t *testing.T) {
			d := newDriverWith(t, 1, func(o *planner.Options) { o.DisablePacking = tt.isDisabled }, worker("a", 16)).registerWorkers()
			d.add(job("first", serving(1, "image")))
			burst := step(10, 2)
			burst.BestEffort, burst.Image = true, "batch"
			d.add(job("burst", burst))
			d.Assert(d.startTasks(), quicktest.HasLen, 11)
			d.report(-2)
			d.workers = append(d.workers, worker("b", 16))
			d.registerWorkers()
			d.add(job("second", serving(4, "image")))
			starts := map[string]int{}
			for _, s := range d.startTasks() {
				starts[s.WorkerID]++
			}
			d.Assert(starts, quicktest.DeepEquals, tt.want)
		})
	}
}

// TestLastTasksFirst guards against a step that waits for its last task because that one
// is throttled like the others. Load: beside a long-running task that goes over its
// target run the last task of one step and the first ones of another.
func TestLastTasksFirst(t *testing.T) {
	for name, tt := range map[string]struct {
		isDisabled bool
		want       string
	}{"enabled": {false, "many"}, "disabled": {true, "few"}} {
		t.Run(name, func(t *testing.T) {
			d := newDriverWith(t, 1, func(o *planner.Options) { o.DisableLastTasksFirst = tt.isDisabled }, worker("a", 600)).registerWorkers()
			d.add(job("serving", serving(1, "image")))
			d.startTasks()
			for range 10 {
				d.advance(400 * time.Millisecond)
				d.report(-3)
			}
			few, many := step(3, 80), step(30, 60)
			few.BestEffort, few.Image, many.BestEffort, many.Image = true, "batch", true, "batch"
			f := job("few", few)
			f.Queue.Slack = time.Minute
			d.add(f)
			for range 2 {
				d.endRun(d.startTasks()[0], planner.EndDone)
			}
			d.Assert(d.startTasks(), quicktest.HasLen, 1)
			m := job("many", many)
			m.Queue.Slack = time.Minute
			d.add(m)
			d.Assert(len(d.startTasks()) > 0, quicktest.IsTrue)
			first := ""
			for level := -1.9; first == "" && level < 1; level += 0.01 {
				d.advance(400 * time.Millisecond)
				for i := range d.running["a"] {
					r := &d.running["a"][i]
					r.Percent, r.CPU = r.Percent+1, 60_000
					if r.Run.Job == "serving" {
						r.Percent, r.Tail = 100, time.Duration(math.Exp(level)*float64(time.Second))
					}
				}
				d.poll("a")
				for _, o := range d.p.Plan(d.now, d.proven()) {
					if o.Kind == planner.PaceRun && first == "" {
						first = o.Run.Job
					}
				}
			}
			d.Assert(first, quicktest.Equals, tt.want)
		})
	}
}

// TestPauseBesideLowTask guards against best-effort tasks that go on at their full pace
// beside a long-running task over its target, because the task's usual level is far below.
func TestPauseBesideLowTask(t *testing.T) {
	d := newDriver(t, 1, worker("a", 40)).registerWorkers()
	d.add(job("serving", serving(1, "image")))
	batch := step(4, 2)
	batch.BestEffort, batch.Image = true, "batch"
	j := job("batch", batch)
	j.Queue.Slack = time.Minute
	d.add(j)
	d.Assert(d.startTasks(), quicktest.HasLen, 5)
	for range 20 {
		d.advance(400 * time.Millisecond)
		d.report(-3)
		d.p.Plan(d.now, d.proven())
	}
	paused := map[planner.RunID]bool{}
	for range 8 {
		d.advance(400 * time.Millisecond)
		d.report(0)
		for _, o := range d.p.Plan(d.now, d.proven()) {
			if o.Kind == planner.PaceRun && o.Percent == 0 {
				paused[o.Run] = true
			}
		}
	}
	d.Assert(paused, quicktest.HasLen, 4)
}
