package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

func newSettledWorld(t *testing.T, workers int) *world {
	w := newWorld(1, workers)
	w.until(w.isSettled, 40*time.Second)
	requireNoError(t, w)
	return w
}

func requireNoError(t *testing.T, w *world) {
	t.Helper()
	if w.firstError != nil {
		t.Fatal(w.firstError)
	}
}

func (w *world) submitJob(j declarer.BatchJob) {
	if j.Kind == "" {
		j.Kind = "k"
	}
	if j.RunTime == 0 {
		j.RunTime = time.Hour
	}
	w.east().step(Event{Submitted: &JobSubmitted{Job: j}})
}

// TestUrgentStartsInTime guards against urgent work that waits for batch work,
// even when the victims' checkpoints or the reports are lost or slow.
func TestUrgentStartsInTime(t *testing.T) {
	for name, fault := range map[string]func(*world){
		"checkpoints work": func(*world) {},
		"reports are lost": func(w *world) { w.dropUntil = w.now.Add(2 * time.Second) },
		"checkpoints hang": func(w *world) {
			for _, x := range w.east().workers {
				x.stuck = true
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			w := newSettledWorld(t, 2)
			w.config.Preset = declarer.Maintenance
			w.submitJob(declarer.BatchJob{ID: "bulk", Team: "one", Tasks: 40, Resources: declarer.Resources{MilliCPU: 1000, MemoryMB: 900}})
			w.run(5 * time.Second)
			fault(w)
			begun := w.now
			w.submitJob(declarer.BatchJob{ID: "now", Team: "two", Tasks: 3, Urgent: true, Resources: declarer.Resources{MilliCPU: 3000, MemoryMB: 100}})
			running := func() bool {
				n := 0
				for _, x := range w.east().workers {
					for _, r := range x.running {
						if r.start.Class == declarer.ClassBatch && r.start.Kind == "k" && r.start.Reserved.MilliCPU == 3000 {
							n++
						}
					}
				}
				return n == 3
			}
			w.until(running, 20*time.Second)
			requireNoError(t, w)
			c.Assert(running(), quicktest.IsTrue, quicktest.Commentf("%s", w.east()))
			took := w.now.Sub(begun)
			t.Logf("3 urgent tasks started after %s", took)
			c.Assert(took < 5500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %s", took))
			c.Assert(len(w.east().core.Explain(Query{Job: "now"})) > 0, quicktest.IsTrue)
		})
	}
}

// TestDrainMovesWorkInOrder guards against replicas that stop before their
// successors in the other domain run, batch tasks that are moved out of order
// of deadline, and a drain that exceeds its rate.
func TestDrainMovesWorkInOrder(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 4)
	w.configure(func(cfg *declarer.Config) { cfg.Preset = declarer.Peak })
	for i, deadline := range []time.Duration{0, 3 * time.Hour, time.Hour, 2 * time.Hour} {
		w.submitJob(declarer.BatchJob{ID: fmt.Sprintf("d%d", i), Team: "two", Tasks: 2, Deadline: deadline, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 100}})
	}
	w.run(4 * time.Second)
	begun := w.now
	// Delays the start of the replica in the other domain.
	west := w.shards[1]
	west.withholdConfig = true
	w.schedule(10*time.Second, func() { west.withholdConfig = false })
	w.setEastOut(true)
	replicas := 0
	w.until(func() bool {
		replicas = 0
		for _, s := range w.shards {
			for _, x := range s.workers {
				for _, r := range x.running {
					if r.start.Class == declarer.ClassService {
						replicas++
					}
				}
			}
		}
		return replicas < 2 || len(w.east().core.tasks) == 0 && len(w.east().core.transfers) == 0
	}, 3*time.Minute)
	requireNoError(t, w)
	c.Assert(replicas, quicktest.Equals, 2, quicktest.Commentf("a replica stopped before its successor ran"))
	var order []string
	var last time.Time
	explanations := w.east().core.Explain(Query{})
	for i := len(explanations) - 1; i >= 0; i-- {
		if explanations[i].Action == "checkpoint" {
			order = append(order, explanations[i].Job)
			last = explanations[i].At
		}
	}
	c.Assert(order, quicktest.DeepEquals, []string{"d2", "d2", "d3", "d3", "d1", "d1", "d0", "d0"})
	c.Assert(last.Sub(begun) >= 3*time.Second, quicktest.IsTrue, quicktest.Commentf("8 attempts left within %s at 2 a second", last.Sub(begun)))
	// After the domain's return, starts are admitted at a growing rate.
	w.setEastOut(false)
	back := w.now
	w.run(step)
	w.submitJob(declarer.BatchJob{ID: "many", Team: "two", Tasks: 60, Resources: declarer.Resources{MilliCPU: 100, MemoryMB: 10}})
	w.run(5 * time.Second)
	early := len(w.east().core.tasksByOwner["many"])
	w.until(func() bool { return len(w.east().core.tasksByOwner["many"]) == 60 }, time.Minute)
	requireNoError(t, w)
	t.Logf("%d of 60 started within 5 s, all within %s", early, w.now.Sub(back))
	c.Assert(early > 0 && early < 12, quicktest.IsTrue, quicktest.Commentf("%d started early", early))
	c.Assert(len(w.east().core.tasksByOwner["many"]), quicktest.Equals, 60)
}

// TestQuarantineIsBounded guards against many failures, or one failing job,
// that quarantine more than a fifth of a domain.
func TestQuarantineIsBounded(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 10)
	w.failAll(true)
	for i := range 12 {
		w.submitJob(declarer.BatchJob{ID: fmt.Sprintf("w%d", i), Team: "two", Tasks: 4, Resources: declarer.Resources{MilliCPU: 1500, MemoryMB: 10}})
		w.run(2 * time.Second)
	}
	w.run(30 * time.Second)
	requireNoError(t, w)
	c.Assert(len(w.east().core.excluded), quicktest.Equals, 2)
	w.failAll(false)
	c.Assert(w.finishAndSettle(), quicktest.IsNil)
	for id, x := range w.east().core.workers {
		c.Assert(x.State == Quarantined, quicktest.IsFalse, quicktest.Commentf("%s", id))
	}
}

func (w *world) finishAndSettle() error {
	for _, s := range w.shards {
		for _, x := range s.workers {
			for _, r := range x.running {
				r.start.RunTime = time.Second
			}
		}
	}
	w.releaseParked()
	w.cancelAll()
	return w.settle()
}

func (w *world) cancelAll() {
	for _, s := range w.shards {
		for id, j := range s.core.jobs {
			if j.Home == s.domain {
				s.step(Event{Cancelled: &JobCancelled{JobID: id}})
			}
		}
	}
}

// TestBadJobIsParked guards against a job that can never run keeping workers
// from other work, and against the failures of one job counting against its
// workers.
func TestBadJobIsParked(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 5)
	w.submitJob(declarer.BatchJob{ID: "huge", Team: "two", Tasks: 100, Resources: declarer.Resources{MilliCPU: 9000, MemoryMB: 10}})
	w.failAll(true)
	w.submitJob(declarer.BatchJob{ID: "bad", Team: "two", Tasks: 1, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}})
	w.run(30 * time.Second)
	requireNoError(t, w)
	jobs := w.east().core.jobs
	c.Assert(jobs["huge"].Parked, quicktest.Matches, "needs milli_cpu 9000.*")
	c.Assert(jobs["bad"].Parked, quicktest.Matches, "failed on 3 distinct workers.*")
	c.Assert(len(w.east().core.excluded), quicktest.Equals, 0)
	c.Assert(w.east().core.Explain(Query{Job: "huge"})[0].Action, quicktest.Equals, "park")
	// A worker that is large enough releases the job.
	x := *w.east().workers["east-0"]
	x.id, x.capacity = "east-large", declarer.Resources{MilliCPU: 16000, MemoryMB: 16000}
	x.attempts, x.running, x.ended = map[TaskID]uint64{}, map[TaskID]*fakeRun{}, map[string]EndedAttempt{}
	w.east().workers[x.id] = &x
	w.run(3 * time.Second)
	requireNoError(t, w)
	c.Assert(jobs["huge"].Parked, quicktest.Equals, "")
}

// TestFairness guards against a team that exceeds its weighted share or its
// allowance.
func TestFairness(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(1, 4)
	w.config.Services, w.config.Watchers = nil, nil
	w.config.Teams = []declarer.Team{{Name: "one", Weight: 1}, {Name: "two", Weight: 2}, {Name: "three", Weight: 50, Quota: declarer.Resources{MilliCPU: 4000, MemoryMB: 100000}}}
	w.run(2 * time.Second)
	w.east().withholdConfig = true
	w.run(3 * time.Second)
	for _, team := range []string{"one", "two", "three"} {
		w.submitJob(declarer.BatchJob{ID: team, Team: team, Tasks: 200, Resources: declarer.Resources{MilliCPU: 250, MemoryMB: 10}})
	}
	w.east().withholdConfig = false
	w.run(3 * time.Second)
	requireNoError(t, w)
	one, two, three := len(w.east().core.tasksByOwner["one"]), len(w.east().core.tasksByOwner["two"]), len(w.east().core.tasksByOwner["three"])
	t.Logf("running: one %d, two %d, three %d", one, two, three)
	c.Assert(three, quicktest.Equals, 8, quicktest.Commentf("half of the quota of 4000 in one of two domains"))
	c.Assert(two >= 2*one-1 && two <= 2*one+1, quicktest.IsTrue)
	w.east().step(Event{Allowance: &AllowanceGiven{Team: "three", Amount: declarer.Resources{MilliCPU: 1000, MemoryMB: 1000}}})
	a, _ := w.east().core.Allowance("three")
	c.Assert(a.MilliCPU, quicktest.Equals, int64(1000))
}

// TestArrayJobSnapshotSize guards against storing a task for each index of a
// pending job, and against losing tasks when the job is handed over in parts.
func TestArrayJobSnapshotSize(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 2)
	w.east().withholdConfig = true
	w.run(3 * time.Second)
	w.submitJob(declarer.BatchJob{ID: "array", Team: "two", Tasks: 10_000, RunTime: time.Second, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}})
	w.advance(step)
	data, err := ledgerCoding.Marshal(w.east().core.Snapshot())
	c.Assert(err, quicktest.IsNil)
	t.Logf("snapshot with a job of 10,000 tasks: %d bytes", len(data))
	c.Assert(len(data) < 4000, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(data)))
	w.setEastOut(true)
	w.east().withholdConfig = false
	w.run(3 * time.Second)
	requireNoError(t, w)
	homeJob := w.east().core.jobs["array"]
	c.Assert(homeJob.HandedOver, quicktest.Equals, 10_000)
	c.Assert(w.shards[1].core.jobs["array"].TakenOver, quicktest.Equals, 10_000)
	// The job is cancelled at its home shard: the tasks end in the shards that
	// have them, and these report the totals.
	w.cancel("array")
	w.run(20 * time.Second)
	requireNoError(t, w)
	totals := w.east().core.jobs["array"].Totals()
	c.Assert(totals.Done+totals.Cancelled, quicktest.Equals, 10_000)
	c.Assert(w.shards[1].core.unsentJobs["array"], quicktest.IsFalse)
}

// TestExplanationRing guards against a ring that grows without limit or loses
// the latest explanations.
func TestExplanationRing(t *testing.T) {
	c := quicktest.New(t)
	core := New(Options{Charts: charts})
	for i := range ringSize + 10 {
		core.explain(Explanation{Task: TaskID(fmt.Sprint(i)), Worker: "x"})
	}
	found := core.Explain(Query{Worker: "x"})
	c.Assert(found, quicktest.HasLen, ringSize)
	c.Assert(found[0].Task, quicktest.Equals, TaskID(fmt.Sprint(ringSize+9)))
	c.Assert(core.Explain(Query{Task: "3"}), quicktest.HasLen, 0)
}

// TestForgetsCompleteJobs guards against a state that grows with each job, and
// against a late duplicate of a submission that runs a forgotten job again.
func TestForgetsCompleteJobs(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 2)
	claimed := w.now
	j := declarer.BatchJob{ID: "once", Team: "two", Kind: "k", Tasks: 2, RunTime: time.Second, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}}
	w.submitJob(j)
	w.run(10 * time.Second)
	c.Assert(w.east().core.jobs["once"].Done, quicktest.Equals, 2)
	w.alignToRenewal()
	for range 26 * 60 * 2 {
		w.advance(30 * time.Second)
	}
	requireNoError(t, w)
	c.Assert(w.east().core.jobs["once"], quicktest.IsNil)
	w.east().step(Event{Submitted: &JobSubmitted{Job: j, Claimed: claimed}})
	c.Assert(w.east().core.jobs["once"], quicktest.IsNil)
	c.Assert(w.east().core.Explain(Query{Job: "once"})[0].Action, quicktest.Equals, "submission_refused")
}

// TestHorizonPerClass guards against restarting a service replica because the
// leases of batch work on its worker have expired, while an owner that is cut
// off still renews the replica's lease.
func TestHorizonPerClass(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 2)
	replica := replicaID("web", "east", 0)
	x := w.east().workers[w.east().core.tasks[replica].Worker]
	x.unreachable, x.servicesRenewedUntil = true, w.now.Add(time.Hour)
	w.east().startOwner()
	w.runCoarse(50 * time.Minute)
	requireNoError(t, w)
	c.Assert(w.east().core.tasks[replica].State, quicktest.Equals, Unknown)
	w.runCoarse(80 * time.Minute)
	requireNoError(t, w)
	c.Assert(w.east().core.tasks[replica].State, quicktest.Equals, Running)
}

// TestLateReportOfLostWorker guards against a report that was requested before
// the loss of a worker and marks the worker as live.
func TestLateReportOfLostWorker(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 2)
	core, before := w.east().core, w.now.Add(-time.Millisecond)
	core.Step(w.now, Event{WorkerLost: &WorkerLost{ID: "east-0"}})
	core.Step(w.now, Event{Report: &WorkerReport{Worker: "east-0", RequestedAt: before}})
	c.Assert(core.workers["east-0"].State, quicktest.Equals, Lost)
	core.Step(w.now, Event{Report: &WorkerReport{Worker: "east-0", RequestedAt: w.now.Add(time.Millisecond)}})
	c.Assert(core.workers["east-0"].State, quicktest.Equals, Live)
}

// TestTotalsDoNotDecrease guards against a late report with smaller counts that
// replaces a newer one.
func TestTotalsDoNotDecrease(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 2)
	w.submitJob(declarer.BatchJob{ID: "j", Team: "two", Tasks: 9, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}})
	for _, done := range []int{5, 3} {
		w.east().step(Event{Totals: &TotalsReported{"j", RemoteCounts{Shard: "west", Done: done}}})
	}
	c.Assert(w.east().core.jobs["j"].Totals().Done, quicktest.Equals, 5)
}

// TestRollingUpdateOfSize guards against a changed declared size that is never
// applied to running replicas, and against all replicas stopping for it at
// once.
func TestRollingUpdateOfSize(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 3)
	w.configure(func(cfg *declarer.Config) {
		cfg.Services = []declarer.Service{{Name: "web", Team: "one", Replicas: 6, Resources: cfg.Services[0].Resources}}
	})
	w.until(w.isSettled, time.Minute)
	size := declarer.Resources{MilliCPU: 1500, MemoryMB: 100}
	w.configure(func(cfg *declarer.Config) {
		cfg.Services = []declarer.Service{{Name: "web", Team: "one", Replicas: 6, Resources: size}}
	})
	least := 3
	isNew := func() bool {
		running, current := 0, 0
		for _, x := range w.east().core.tasksByOwner["web"] {
			if x.State == Running {
				running++
			}
			if x.State == Running && x.Reserved == size {
				current++
			}
		}
		least = min(least, running)
		return current == 3
	}
	c.Assert(w.until(isNew, time.Minute), quicktest.IsTrue)
	requireNoError(t, w)
	c.Assert(least, quicktest.Equals, 2)
}

// TestManyCancellations guards against a cost proportional to the number of
// pending tasks when many jobs are cancelled at once, and against starts of
// cancelled work.
func TestManyCancellations(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 3)
	const jobs = 200
	for i := range jobs {
		w.submitJob(declarer.BatchJob{ID: fmt.Sprintf("c%d", i), Team: "two", Tasks: 1000, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}})
	}
	w.run(3 * time.Second)
	core, live, changes := w.east().core, 0, 0
	for i := range jobs {
		live += len(core.tasksByOwner[fmt.Sprintf("c%d", i)])
		w.cancel(fmt.Sprintf("c%d", i))
	}
	changes = len(w.east().uncommitted)
	t.Logf("%d changes cancel %d jobs of 1000 tasks, of which %d have an attempt", changes, jobs, live)
	c.Assert(live > 0, quicktest.IsTrue)
	c.Assert(changes, quicktest.Equals, jobs+live)
	w.run(5 * time.Second)
	requireNoError(t, w)
	for _, x := range w.east().workers {
		for id, r := range x.running {
			c.Assert(r.start.Class == declarer.ClassBatch, quicktest.IsFalse, quicktest.Commentf("%s runs", id))
		}
	}
}

// TestCancelBeforeSubmission guards against a job that runs although its cancellation was
// answered, because the submission reaches the owner later.
func TestCancelBeforeSubmission(t *testing.T) {
	c := quicktest.New(t)
	w := newSettledWorld(t, 3)
	w.cancel("late")
	w.run(time.Second)
	w.submitJob(declarer.BatchJob{ID: "late", Team: "two", Tasks: 4, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}})
	w.run(3 * time.Second)
	requireNoError(t, w)
	c.Assert(w.east().core.tasksByOwner["late"], quicktest.HasLen, 0)
	c.Assert(w.east().core.jobs["late"].Ended, quicktest.IsTrue)
}
