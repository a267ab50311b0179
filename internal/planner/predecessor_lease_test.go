package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestPredecessorLeaseOfVerifiedWorker guards against a second run of a task beside the
// first one, on a worker that leaves: it has answered this owner, which grants it short
// leases, and is cut off while the longer lease of the earlier owner lasts.
func TestPredecessorLeaseOfVerifiedWorker(t *testing.T) {
	a := worker("a", 8)
	a.Draining, a.Remaining = true, 500*time.Millisecond
	d := newDriver(t, 2, a, worker("b", 8))
	for _, w := range d.workers {
		d.p.AddUnverifiedWorker(w)
	}
	lasting := step(1, 1)
	lasting.LongRunning = true
	d.add(job("1", lasting))
	d.p.SetWorkers(d.now, d.workers)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}, Percent: 100}}
	d.poll("a")
	d.poll("b")
	d.p.Leased("a", d.now.Add(2500*time.Millisecond))
	d.p.Unanswered(d.now, "a")
	for range 40 {
		d.advance(300 * time.Millisecond)
		d.p.Answered(d.now, "b")
		if !d.now.Before(origin.Add(13 * time.Second)) {
			break
		}
		d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("%s after the takeover, the lease of the earlier owner may last for 13 s", d.now.Sub(origin)))
	}
}

// TestRunWithoutLeaseEnds guards against a task that never starts again after its worker
// is lost, because this owner adopted its run and granted no lease since.
func TestRunWithoutLeaseEnds(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8), worker("b", 8))
	for _, w := range d.workers {
		d.p.AddUnverifiedWorker(w)
	}
	lasting := step(1, 1)
	lasting.LongRunning = true
	d.add(job("1", lasting))
	d.p.SetWorkers(d.now, d.workers)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}, Percent: 100}}
	d.poll("a")
	d.poll("b")
	d.advance(10 * time.Millisecond)
	d.p.Unanswered(d.now, "a")
	d.list(d.workers[1])
	started := 0
	for range 200 {
		d.advance(300 * time.Millisecond)
		d.poll("b")
		started += len(d.startTasks())
	}
	d.Assert(started, quicktest.Equals, 1, quicktest.Commentf("60 s after the worker was lost"))
}

// TestPredecessorStartOnNextProcess guards against a second run of a task whose start an
// earlier owner sent to an ended process: it takes effect on the next one with the id, which
// the list shows and which answers only after every lease of that owner has expired.
func TestPredecessorStartOnNextProcess(t *testing.T) {
	w, other := worker("a", 8), worker("b", 8)
	for name, tt := range map[string]struct {
		listed []planner.Worker
		// expires is set if the entry of the worker expires while the leases last.
		expires bool
		after   time.Duration
		// again is set if the task starts again.
		again bool
	}{
		"next process is listed":                            {[]planner.Worker{successor("a", w), other}, false, time.Second, false},
		"next process is listed, no start can arrive":       {[]planner.Worker{successor("a", w), other}, false, planner.LateCallLimit + time.Second, true},
		"next process is listed no more":                    {[]planner.Worker{successor("a", w), other}, true, time.Second, false},
		"next process is listed no more, no start can come": {[]planner.Worker{successor("a", w), other}, true, planner.LateCallLimit + time.Second, true},
		"no process is listed":                              {[]planner.Worker{other}, false, time.Second, true},
		"the process is listed that the owner may use":      {[]planner.Worker{w, other}, false, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 2, w, other)
			for _, known := range d.workers {
				d.p.AddUnverifiedWorker(known)
			}
			d.add(job("1", step(1, 1)))
			d.list(tt.listed...)
			d.p.Unanswered(d.now, "a")
			d.poll("b")
			if tt.expires {
				d.advance(4 * time.Second)
				d.list(other)
			}
			d.now = origin.Add(13*time.Second + tt.after)
			d.poll("b")
			d.Assert(len(d.startTasks()) > 0, quicktest.Equals, tt.again)
			d.p.JobsRead(d.now)
			d.add(job("2", step(1, 1)))
			d.Assert(d.startTasks(), quicktest.HasLen, 1, quicktest.Commentf("a job that the earlier owner didn't know waits"))
		})
	}
}

// TestPredecessorStartOnUnprovedProcess guards against a second run of a task whose start an
// earlier owner sent to an ended process: it takes effect on the next one, which that owner
// has found and stored, but which was cut off before it rejected such starts.
func TestPredecessorStartOnUnprovedProcess(t *testing.T) {
	w, other := worker("a", 8), worker("b", 8)
	for name, tt := range map[string]struct {
		isProved bool
		after    time.Duration
		// again is set if the task starts again.
		again bool
	}{
		"not proved":                       {false, time.Second, false},
		"not proved, no start can arrive":  {false, planner.LateCallLimit + time.Second, true},
		"proved, so that it rejects calls": {true, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			first := newDriver(t, 1, w, other).registerWorkers()
			first.p.SetEvacuatedDomains([]string{other.Domain})
			first.add(job("1", step(1, 1)))
			first.Assert(first.p.Plan(first.now, first.proven()), quicktest.HasLen, 1)
			first.advance(time.Millisecond)
			first.answer(w, first.now, w.Born+1)
			first.p.SetRecorded(first.p.Recorded(first.now))
			first.Assert(first.p.NeedsRecord(first.now), quicktest.IsFalse)
			if tt.isProved {
				first.advance(time.Millisecond)
				first.answer(w, first.now, w.Born+1)
				first.Assert(first.p.NeedsRecord(first.now), quicktest.IsTrue)
			}
			d := newDriver(t, 2, other)
			for _, known := range first.p.Recorded(first.now) {
				d.p.AddUnverifiedWorker(known)
			}
			d.add(job("1", step(1, 1)))
			d.list(other)
			d.p.Unanswered(d.now, "a")
			d.poll("b")
			d.Assert(d.p.Unverified(), quicktest.DeepEquals, []string{"a"})
			d.now = origin.Add(13*time.Second + tt.after)
			d.poll("b")
			d.Assert(len(d.startTasks()) > 0, quicktest.Equals, tt.again)
		})
	}
}

// TestPredecessorRunOnUnprovedProcess guards against a second run of a task that the next
// process of an unverified worker has listed in part of its first answer, before it rejects
// the calls that were meant for the former one: these may still renew the lease.
func TestPredecessorRunOnUnprovedProcess(t *testing.T) {
	w, other := worker("a", 8), worker("b", 8)
	d := newDriver(t, 2, w, other)
	for _, known := range d.workers {
		d.p.AddUnverifiedWorker(known)
	}
	d.add(job("1", step(1, 1)))
	d.list(d.workers...)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.poll("b")
	d.advance(time.Millisecond)
	d.p.PollAnswered(d.now, "a", planner.PollResult{
		Sent: d.now, ProcessStart: w.Born + 1, IsPartial: true,
		Running: []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}, Percent: 1}},
	})
	d.p.Unanswered(d.now, "a")
	d.now = origin.Add(14 * time.Second)
	d.poll("b")
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(planner.LateCallLimit)
	d.poll("b")
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}
