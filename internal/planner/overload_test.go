package planner_test

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// filling is a job of one filling task that asks for ten cores.
func filling(id string) planner.Job {
	s := step(1, 10)
	s.Fills, s.Image = true, "batch"
	return job(id, s)
}

// busyDesk is a worker most of which a lasting task has reserved, whose tail is
// at the given logarithm over its target.
func busyDesk(t *testing.T, tail float64) *desk {
	d := newDesk(t, 1, worker("a", 32)).ready()
	serving := step(1, 24)
	serving.Lasting, serving.Image, serving.LatencyTarget = true, "serving", time.Second
	d.add(job("serving", serving))
	d.Assert(d.starts(), quicktest.HasLen, 1)
	d.running["a"][0].Percent = 100
	d.running["a"][0].Tail = time.Duration(math.Exp(tail) * float64(time.Second))
	d.look("a")
	return d
}

// TestLateWorkWaits replays a service whose filling work is more than the lasting
// tasks beside it bear: work that is late disturbed them as much as work in time,
// and all of it became late.
func TestLateWorkWaits(t *testing.T) {
	for name, tt := range map[string]struct {
		tail float64
		late time.Duration
		want int
	}{
		"in time":           {-0.35, 0, 1},
		"late":              {-0.35, 20 * time.Second, 0},
		"late, no harm":     {-1.5, 20 * time.Second, 1},
		"in time, too much": {0.1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := busyDesk(t, tt.tail)
			j := filling("batch")
			j.Received = j.Received.Add(-tt.late)
			d.add(j)
			d.Assert(d.starts(), quicktest.HasLen, tt.want)
		})
	}
}

// TestLateWorkRuns guards against late work that waits on for a better place while
// its service is empty.
func TestLateWorkRuns(t *testing.T) {
	d := busyDesk(t, -0.35)
	d.workers = append(d.workers, worker("b", 640))
	d.workers[1].Domain = "out"
	d.ready()
	d.p.SetEmptied([]string{"out"})
	j := filling("batch")
	j.Received = j.Received.Add(-20 * time.Second)
	d.add(j)
	d.Assert(d.starts(), quicktest.HasLen, 1)
}

// TestEstimateIsLearned guards against an order by estimates that the tasks have
// shown to be wrong: the job that has least left goes first.
func TestEstimateIsLearned(t *testing.T) {
	d := newDesk(t, 1, worker("a", 4)).ready()
	long, short := step(8, 1), step(8, 1)
	long.Estimate, short.Estimate = 500*time.Millisecond, time.Second
	l := job("long", long)
	l.Queue.Slack = time.Minute
	d.add(l)
	d.Assert(d.starts(), quicktest.HasLen, 4)
	for range 4 {
		// A tenth in a second: the tasks take ten seconds, not half of one.
		d.pass(time.Second)
		for i := range d.running["a"] {
			d.running["a"][i].Percent += 10
			d.running["a"][i].CPU = 1000
		}
		d.look("a")
	}
	j := job("short", short)
	j.Queue.Slack = time.Minute
	j.Received = d.now
	d.add(j)
	first := d.running["a"][0].Run
	d.end(planner.Command{Run: first, WorkerID: "a"}, planner.EndDone)
	next := d.starts()
	d.Assert(next, quicktest.HasLen, 1)
	d.Assert(next[0].Run.Job, quicktest.Equals, "short", quicktest.Commentf("%s %s", d.p.Explain(d.now, "long"), d.p.Explain(d.now, "short")))
}

// TestBacklogKeepsNoHeadroom replays the time after a disturbance: short work
// that has waited until it was late kept a third of the service free of lasting
// tasks for half a minute.
func TestBacklogKeepsNoHeadroom(t *testing.T) {
	d := newDesk(t, 1, worker("a", 40), worker("b", 40)).ready()
	// Ten tasks of which none fits anywhere.
	backlog := job("backlog", step(10, 48))
	backlog.Received = backlog.Received.Add(-time.Minute)
	d.add(backlog)
	d.add(lasting("lasting", 8, 8))
	d.Assert(d.starts(), quicktest.HasLen, 8)
}

// TestWideJobIsForgotten replays a short job that is as wide as a third of its
// service: for half a minute after it lasting tasks did not get back what it had
// used.
func TestWideJobIsForgotten(t *testing.T) {
	d := newDesk(t, 1, worker("a", 50), worker("b", 50)).ready()
	d.add(job("wide", step(33, 1)))
	wide := d.starts()
	d.Assert(wide, quicktest.HasLen, 33)
	d.add(lasting("lasting", 18, 5))
	before := len(d.starts())
	for _, o := range wide {
		d.end(o, planner.EndDone)
	}
	d.pass(15 * time.Second)
	d.look("a")
	d.look("b")
	d.Assert(before+len(d.starts()), quicktest.Equals, 18)
}

// TestNoCompanyOverTarget replays filling tasks that have waited for long in a
// busy service: one after the other started beside a lasting task over its target,
// which stayed there for as long as the rules allow, and longer.
func TestNoCompanyOverTarget(t *testing.T) {
	d := busyDesk(t, 0.5)
	j := filling("batch")
	j.Queue.Slack = time.Minute
	d.add(j)
	d.Assert(d.starts(), quicktest.HasLen, 0)
	d.pass(8 * time.Second)
	d.look("a")
	d.Assert(d.starts(), quicktest.HasLen, 0)
	d.pass(30 * time.Second)
	d.look("a")
	d.Assert(d.starts(), quicktest.HasLen, 1, quicktest.Commentf("it must not wait for ever"))
}

// TestObjectiveIsCurrent guards against an objective that is kept after what it
// follows from has changed: the queue, or the estimates of the tasks.
func TestObjectiveIsCurrent(t *testing.T) {
	t.Run("queue", func(t *testing.T) {
		d := busyDesk(t, -0.35)
		j := filling("batch")
		j.Received = j.Received.Add(-20 * time.Second)
		d.add(j)
		d.Assert(d.starts(), quicktest.HasLen, 0)
		q := j.Queue
		q.Slack = time.Hour
		d.p.SetConfig(planner.Config{Queues: map[string]planner.Queue{q.Name: q}})
		d.Assert(d.starts(), quicktest.HasLen, 1)
	})
	t.Run("estimate", func(t *testing.T) {
		d := newDesk(t, 1, worker("a", 1)).ready()
		s := step(2, 1)
		s.Estimate = 100 * time.Millisecond
		d.add(job("long", s))
		d.Assert(d.starts(), quicktest.HasLen, 1)
		d.Assert(d.p.Explain(d.now, "long"), quicktest.Contains, "due in 1.2s")
		for range 3 {
			// A tenth in a second: the tasks take ten seconds.
			d.pass(time.Second)
			d.running["a"][0].Percent += 10
			d.running["a"][0].CPU = 1000
			d.look("a")
		}
		d.Assert(d.p.Explain(d.now, "long"), quicktest.Contains, "due in 18s")
	})
}
