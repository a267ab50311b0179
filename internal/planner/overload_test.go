package planner_test

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// bestEffortJob returns a job of one best-effort task that needs ten cores.
func bestEffortJob(id string) planner.Job {
	s := step(1, 10)
	s.BestEffort, s.Image = true, "batch"
	return job(id, s)
}

// newBusyDriver returns a driver of one worker on which a long-running task has
// reserved most of the CPU. The logarithm of the task's tail latency over its
// target is level.
func newBusyDriver(t *testing.T, level float64) *driver {
	d := newDriver(t, 1, worker("a", 32)).registerWorkers()
	serving := step(1, 24)
	serving.LongRunning, serving.Image, serving.LatencyTarget = true, "serving", time.Second
	d.add(job("serving", serving))
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
	d.running["a"][0].Percent = 100
	d.running["a"][0].Tail = time.Duration(math.Exp(level) * float64(time.Second))
	d.poll("a")
	return d
}

// TestLateWorkWaits guards against late jobs that disturb long-running tasks as
// much as jobs in time do. When a service had more best-effort work than its
// long-running tasks tolerated, all of that work became late.
func TestLateWorkWaits(t *testing.T) {
	for name, tt := range map[string]struct {
		level float64
		late  time.Duration
		want  int
	}{
		"in time":              {-0.35, 0, 1},
		"late":                 {-0.35, 20 * time.Second, 0},
		"late, little harm":    {-1.5, 20 * time.Second, 1},
		"in time, over target": {0.1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newBusyDriver(t, tt.level)
			j := bestEffortJob("batch")
			j.Received = j.Received.Add(-tt.late)
			d.add(j)
			d.Assert(d.startTasks(), quicktest.HasLen, tt.want)
		})
	}
}

// TestLateWorkRuns guards against late jobs that wait for a better place
// although their service is mostly idle.
func TestLateWorkRuns(t *testing.T) {
	d := newBusyDriver(t, -0.35)
	d.workers = append(d.workers, worker("b", 640))
	d.workers[1].Domain = "out"
	d.registerWorkers()
	d.p.SetEvacuatedDomains([]string{"out"})
	j := bestEffortJob("batch")
	j.Received = j.Received.Add(-20 * time.Second)
	d.add(j)
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}

// TestEstimateIsLearned guards against ordering jobs by estimates that the runs
// have disproved. The job with the least remaining work goes first.
func TestEstimateIsLearned(t *testing.T) {
	d := newDriver(t, 1, worker("a", 4)).registerWorkers()
	long, short := step(8, 1), step(8, 1)
	long.Estimate, short.Estimate = 500*time.Millisecond, time.Second
	l := job("long", long)
	l.Queue.Slack = time.Minute
	d.add(l)
	d.Assert(d.startTasks(), quicktest.HasLen, 4)
	for range 4 {
		// At 10% per second the tasks take ten seconds instead of half a
		// second.
		d.advance(time.Second)
		for i := range d.running["a"] {
			d.running["a"][i].Percent += 10
			d.running["a"][i].CPU = 1000
		}
		d.poll("a")
	}
	j := job("short", short)
	j.Queue.Slack = time.Minute
	j.Received = d.now
	d.add(j)
	first := d.running["a"][0].Run
	d.endRun(planner.Command{Run: first, WorkerID: "a"}, planner.EndDone)
	next := d.startTasks()
	d.Assert(next, quicktest.HasLen, 1)
	d.Assert(next[0].Run.Job, quicktest.Equals, "short", quicktest.Commentf("%s %s", d.p.Explain(d.now, "long"), d.p.Explain(d.now, "short")))
}

// TestLateBacklogNeedsNoHeadroom reproduces the aftermath of an outage, when
// short jobs that had become late kept a third of the service free of
// long-running tasks for half a minute.
func TestLateBacklogNeedsNoHeadroom(t *testing.T) {
	d := newDriver(t, 1, worker("a", 40), worker("b", 40)).registerWorkers()
	// None of the ten tasks fits on any worker.
	backlog := job("backlog", step(10, 48))
	backlog.Received = backlog.Received.Add(-time.Minute)
	d.add(backlog)
	d.add(longRunningJob("lasting", 8, 8))
	d.Assert(d.startTasks(), quicktest.HasLen, 8)
}

// TestHeadroomDecaysAfterWideJob guards against headroom that outlasts a short
// job as wide as a third of its service: for half a minute after the job,
// long-running tasks could not use its processors.
func TestHeadroomDecaysAfterWideJob(t *testing.T) {
	d := newDriver(t, 1, worker("a", 50), worker("b", 50)).registerWorkers()
	d.add(job("wide", step(33, 1)))
	wide := d.startTasks()
	d.Assert(wide, quicktest.HasLen, 33)
	d.add(longRunningJob("lasting", 18, 5))
	before := len(d.startTasks())
	for _, o := range wide {
		d.endRun(o, planner.EndDone)
	}
	d.advance(15 * time.Second)
	d.poll("a")
	d.poll("b")
	d.Assert(before+len(d.startTasks()), quicktest.Equals, 18)
}

// TestNoStartBesideTaskOverTarget guards against best-effort tasks of a busy
// service that have waited for long and start one after the other beside a
// long-running task over its target. They kept it over its target beyond the
// violation limit.
func TestNoStartBesideTaskOverTarget(t *testing.T) {
	d := newBusyDriver(t, 0.5)
	j := bestEffortJob("batch")
	j.Queue.Slack = time.Minute
	d.add(j)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(8 * time.Second)
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(30 * time.Second)
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 1, quicktest.Commentf("the task must not wait forever"))
}

// TestSlowStartInBusyService guards against a job of best-effort tasks that starts
// nothing for half a minute in a busy service, because its tasks would do too much
// harm at their full pace on every worker.
func TestSlowStartInBusyService(t *testing.T) {
	d := newBusyDriver(t, -0.35)
	j := bestEffortJob("batch")
	j.Steps[0].Need.CPU = 60000
	j.Queue.Slack = time.Minute
	d.add(j)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(5 * time.Second)
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("it waits for a place at its full pace first"))
	d.advance(2 * time.Second)
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 1, quicktest.Commentf("%s", d.p.Explain(d.now, "batch")))
	var paces []int
	for _, c := range d.p.Plan(d.now, d.proven()) {
		if c.Kind == planner.PaceRun {
			paces = append(paces, c.Percent)
		}
	}
	d.Assert(paces, quicktest.DeepEquals, []int{20})
}

// TestWaitsOfTasksDoNotAddUp guards against a step of a late job that takes the
// longest wait once for each of its tasks. Only the first task of a step was seen
// to wait.
func TestWaitsOfTasksDoNotAddUp(t *testing.T) {
	for name, tt := range map[string]struct {
		isBusy bool
		wait   time.Duration
	}{
		"busy service": {true, 31 * time.Second},
		"idle service": {false, 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			d := newBusyDriver(t, 0.5)
			if !tt.isBusy {
				d.workers = append(d.workers, worker("b", 640))
				d.workers[1].Domain = "out"
				d.registerWorkers()
				d.p.SetEvacuatedDomains([]string{"out"})
			}
			j := bestEffortJob("batch")
			j.Steps[0].Count = 4
			d.add(j)
			d.Assert(d.startTasks(), quicktest.HasLen, 0)
			d.advance(tt.wait)
			d.poll("a")
			d.Assert(d.startTasks(), quicktest.HasLen, 4)
		})
	}
}

// TestObjectiveIsCurrent guards against a cached objective that outlives a
// change of the queue or of the estimates.
func TestObjectiveIsCurrent(t *testing.T) {
	t.Run("queue", func(t *testing.T) {
		d := newBusyDriver(t, -0.35)
		j := bestEffortJob("batch")
		j.Received = j.Received.Add(-20 * time.Second)
		d.add(j)
		d.Assert(d.startTasks(), quicktest.HasLen, 0)
		q := j.Queue
		q.Slack = time.Hour
		d.p.SetConfig(planner.Config{Queues: map[string]planner.Queue{q.Name: q}})
		d.Assert(d.startTasks(), quicktest.HasLen, 1)
	})
	t.Run("estimate", func(t *testing.T) {
		d := newDriver(t, 1, worker("a", 1)).registerWorkers()
		s := step(2, 1)
		s.Estimate = 100 * time.Millisecond
		d.add(job("long", s))
		d.Assert(d.startTasks(), quicktest.HasLen, 1)
		d.Assert(d.p.Explain(d.now, "long"), quicktest.Contains, "due in 1.2s")
		for range 3 {
			// At 10% per second the tasks take ten seconds.
			d.advance(time.Second)
			d.running["a"][0].Percent += 10
			d.running["a"][0].CPU = 1000
			d.poll("a")
		}
		d.Assert(d.p.Explain(d.now, "long"), quicktest.Contains, "due in 18s")
	})
}
