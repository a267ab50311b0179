package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

func started(t *testing.T, workers int) *world {
	w := newWorld(1, workers)
	w.until(w.settled, 40*time.Second)
	noProblem(t, w)
	return w
}

func noProblem(t *testing.T, w *world) {
	t.Helper()
	if w.problem != nil {
		t.Fatal(w.problem)
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
// also when the victims' checkpoints are slow or lost.
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
			w := started(t, 2)
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
			noProblem(t, w)
			c.Assert(running(), quicktest.IsTrue, quicktest.Commentf("%s", w.east()))
			took := w.now.Sub(begun)
			t.Logf("3 urgent tasks started after %s", took)
			c.Assert(took < 5500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %s", took))
			c.Assert(len(w.east().core.Explain(Query{Job: "now"})) > 0, quicktest.IsTrue)
		})
	}
}

// TestDrainMovesWorkInOrder guards against replicas that stop before others
// run elsewhere, batch that leaves out of order of deadline, and a drain above
// its rate.
func TestDrainMovesWorkInOrder(t *testing.T) {
	c := quicktest.New(t)
	w := started(t, 4)
	w.configure(func(cfg *declarer.Config) { cfg.Preset = declarer.Peak })
	for i, deadline := range []time.Duration{0, 3 * time.Hour, time.Hour, 2 * time.Hour} {
		w.submitJob(declarer.BatchJob{ID: fmt.Sprintf("d%d", i), Team: "two", Tasks: 2, Deadline: deadline, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 100}})
	}
	w.run(4 * time.Second)
	begun := w.now
	// The other domain starts its replica late.
	west := w.sites[1]
	west.holdConfig = true
	w.later(10*time.Second, func() { west.holdConfig = false })
	w.out(true)
	replicas := 0
	w.until(func() bool {
		replicas = 0
		for _, s := range w.sites {
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
	noProblem(t, w)
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
	// Back: starts are admitted at a growing rate.
	w.out(false)
	back := w.now
	w.run(step)
	w.submitJob(declarer.BatchJob{ID: "many", Team: "two", Tasks: 60, Resources: declarer.Resources{MilliCPU: 100, MemoryMB: 10}})
	w.run(5 * time.Second)
	early := len(w.east().core.byOwner["many"])
	w.until(func() bool { return len(w.east().core.byOwner["many"]) == 60 }, time.Minute)
	noProblem(t, w)
	t.Logf("%d of 60 started within 5 s, all within %s", early, w.now.Sub(back))
	c.Assert(early > 0 && early < 12, quicktest.IsTrue, quicktest.Commentf("%d started early", early))
	c.Assert(len(w.east().core.byOwner["many"]), quicktest.Equals, 60)
}

// TestQuarantineIsBounded guards against a wave of failures that takes more
// than a fifth of a domain out, and against a bad job that does.
func TestQuarantineIsBounded(t *testing.T) {
	c := quicktest.New(t)
	w := started(t, 10)
	w.failAll(true)
	for i := range 12 {
		w.submitJob(declarer.BatchJob{ID: fmt.Sprintf("w%d", i), Team: "two", Tasks: 4, Resources: declarer.Resources{MilliCPU: 1500, MemoryMB: 10}})
		w.run(2 * time.Second)
	}
	w.run(30 * time.Second)
	noProblem(t, w)
	c.Assert(len(w.east().core.excluded), quicktest.Equals, 2)
	w.failAll(false)
	c.Assert(w.settleWithin(), quicktest.IsNil)
	for id, x := range w.east().core.workers {
		c.Assert(x.State == Quarantined, quicktest.IsFalse, quicktest.Commentf("%s", id))
	}
}

func (w *world) settleWithin() error {
	for _, s := range w.sites {
		for _, x := range s.workers {
			for _, r := range x.running {
				r.start.RunTime = time.Second
			}
		}
	}
	w.release()
	w.cancelAll()
	return w.settle()
}

func (w *world) cancelAll() {
	for _, s := range w.sites {
		for id, j := range s.core.jobs {
			if j.Home == s.domain {
				s.step(Event{Cancelled: &JobCancelled{JobID: id}})
			}
		}
	}
}

// TestBadJobIsParked guards against a job that can never run keeping workers
// from other work, and against a bad job being held against the workers.
func TestBadJobIsParked(t *testing.T) {
	c := quicktest.New(t)
	w := started(t, 5)
	w.submitJob(declarer.BatchJob{ID: "huge", Team: "two", Tasks: 100, Resources: declarer.Resources{MilliCPU: 9000, MemoryMB: 10}})
	w.failAll(true)
	w.submitJob(declarer.BatchJob{ID: "bad", Team: "two", Tasks: 1, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}})
	w.run(30 * time.Second)
	noProblem(t, w)
	jobs := w.east().core.jobs
	c.Assert(jobs["huge"].Parked, quicktest.Matches, "needs milli_cpu 9000.*")
	c.Assert(jobs["bad"].Parked, quicktest.Matches, "failed on 3 distinct workers.*")
	c.Assert(len(w.east().core.excluded), quicktest.Equals, 0)
	c.Assert(w.east().core.Explain(Query{Job: "huge"})[0].Action, quicktest.Equals, "park")
	// A larger worker releases the job.
	x := *w.east().workers["east-0"]
	x.id, x.capacity = "east-large", declarer.Resources{MilliCPU: 16000, MemoryMB: 16000}
	x.attempts, x.running, x.ended = map[TaskID]uint64{}, map[TaskID]*fakeRun{}, map[string]EndedAttempt{}
	w.east().workers[x.id] = &x
	w.run(3 * time.Second)
	noProblem(t, w)
	c.Assert(jobs["huge"].Parked, quicktest.Equals, "")
}

// TestFairness guards against a team that takes more than its weighted share
// or its allowance.
func TestFairness(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(1, 4)
	w.config.Services, w.config.Watchers = nil, nil
	w.config.Teams = []declarer.Team{{Name: "one", Weight: 1}, {Name: "two", Weight: 2}, {Name: "three", Weight: 50, Quota: declarer.Resources{MilliCPU: 4000, MemoryMB: 100000}}}
	w.run(2 * time.Second)
	w.east().holdConfig = true
	w.run(3 * time.Second)
	for _, team := range []string{"one", "two", "three"} {
		w.submitJob(declarer.BatchJob{ID: team, Team: team, Tasks: 200, Resources: declarer.Resources{MilliCPU: 250, MemoryMB: 10}})
	}
	w.east().holdConfig = false
	w.run(3 * time.Second)
	noProblem(t, w)
	one, two, three := len(w.east().core.byOwner["one"]), len(w.east().core.byOwner["two"]), len(w.east().core.byOwner["three"])
	t.Logf("running: one %d, two %d, three %d", one, two, three)
	c.Assert(three, quicktest.Equals, 8, quicktest.Commentf("half of the quota of 4000 in one of two domains"))
	c.Assert(two >= 2*one-1 && two <= 2*one+1, quicktest.IsTrue)
	w.east().step(Event{Allowance: &AllowanceGiven{Team: "three", Amount: declarer.Resources{MilliCPU: 1000, MemoryMB: 1000}}})
	a, _ := w.east().core.Allowance("three")
	c.Assert(a.MilliCPU, quicktest.Equals, int64(1000))
}

// TestArrayJobIsSmall guards against storing a task for each index of a job
// that waits, and against losing some when the job is handed over in parts.
func TestArrayJobIsSmall(t *testing.T) {
	c := quicktest.New(t)
	w := started(t, 2)
	w.east().holdConfig = true
	w.run(3 * time.Second)
	w.submitJob(declarer.BatchJob{ID: "array", Team: "two", Tasks: 10_000, RunTime: time.Second, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}})
	w.advance(step)
	data, err := ledgerCoding.Marshal(w.east().core.Snapshot())
	c.Assert(err, quicktest.IsNil)
	t.Logf("snapshot with a job of 10,000 tasks: %d bytes", len(data))
	c.Assert(len(data) < 4000, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(data)))
	w.out(true)
	w.east().holdConfig = false
	w.run(3 * time.Second)
	noProblem(t, w)
	away := w.east().core.jobs["array"]
	c.Assert(away.HandedOver, quicktest.Equals, 10_000)
	c.Assert(w.sites[1].core.jobs["array"].TakenOver, quicktest.Equals, 10_000)
	// Cancelled at home, the tasks end where they are, and the totals return.
	w.cancel("array")
	w.run(20 * time.Second)
	noProblem(t, w)
	totals := w.east().core.jobs["array"].Totals()
	c.Assert(totals.Done+totals.Cancelled, quicktest.Equals, 10_000)
	c.Assert(w.sites[1].core.unsent["array"], quicktest.IsFalse)
}

// TestExplanationRing guards against a ring that grows or forgets the latest.
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
// against a late copy of a submission that runs a forgotten job again.
func TestForgetsCompleteJobs(t *testing.T) {
	c := quicktest.New(t)
	w := started(t, 2)
	claimed := w.now
	j := declarer.BatchJob{ID: "once", Team: "two", Kind: "k", Tasks: 2, RunTime: time.Second, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}}
	w.submitJob(j)
	w.run(10 * time.Second)
	c.Assert(w.east().core.jobs["once"].Done, quicktest.Equals, 2)
	w.align()
	for range 26 * 60 * 2 {
		w.advance(30 * time.Second)
	}
	noProblem(t, w)
	c.Assert(w.east().core.jobs["once"], quicktest.IsNil)
	w.east().step(Event{Submitted: &JobSubmitted{Job: j, Claimed: claimed}})
	c.Assert(w.east().core.jobs["once"], quicktest.IsNil)
	c.Assert(w.east().core.Explain(Query{Job: "once"})[0].Action, quicktest.Equals, "submission_refused")
}

// TestClassesKeepTheirHorizons guards against a service replica that is started
// again while an owner that is cut off still renews its lease, because the
// leases of batch work on the same worker have run out.
func TestClassesKeepTheirHorizons(t *testing.T) {
	c := quicktest.New(t)
	w := started(t, 2)
	replica := replicaID("web", "east", 0)
	x := w.east().workers[w.east().core.tasks[replica].Worker]
	x.unreachable, x.replicasUntil = true, w.now.Add(time.Hour)
	w.east().own()
	w.coarse(50 * time.Minute)
	noProblem(t, w)
	c.Assert(w.east().core.tasks[replica].State, quicktest.Equals, Unknown)
	w.coarse(80 * time.Minute)
	noProblem(t, w)
	c.Assert(w.east().core.tasks[replica].State, quicktest.Equals, Running)
}

// TestLateReportOfLostWorker guards against a report from before the loss of a
// worker that brings it back.
func TestLateReportOfLostWorker(t *testing.T) {
	c := quicktest.New(t)
	w := started(t, 2)
	core, before := w.east().core, w.now.Add(-time.Millisecond)
	core.Step(w.now, Event{WorkerLost: &WorkerLost{ID: "east-0"}})
	core.Step(w.now, Event{Report: &WorkerReport{Worker: "east-0", RequestedAt: before}})
	c.Assert(core.workers["east-0"].State, quicktest.Equals, Lost)
	core.Step(w.now, Event{Report: &WorkerReport{Worker: "east-0", RequestedAt: w.now.Add(time.Millisecond)}})
	c.Assert(core.workers["east-0"].State, quicktest.Equals, Live)
}

// TestTotalsDoNotFall guards against a late report with smaller counts that
// replaces a newer one.
func TestTotalsDoNotFall(t *testing.T) {
	c := quicktest.New(t)
	w := started(t, 2)
	w.submitJob(declarer.BatchJob{ID: "j", Team: "two", Tasks: 9, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}})
	for _, done := range []int{5, 3} {
		w.east().step(Event{Totals: &TotalsReported{"j", RemoteCounts{Shard: "west", Done: done}}})
	}
	c.Assert(w.east().core.jobs["j"].Totals().Done, quicktest.Equals, 5)
}

// TestNewSizeRollsOver guards against a declared size that never takes effect
// on running replicas, and against all replicas stopping for it at once.
func TestNewSizeRollsOver(t *testing.T) {
	c := quicktest.New(t)
	w := started(t, 3)
	w.configure(func(cfg *declarer.Config) {
		cfg.Services = []declarer.Service{{Name: "web", Team: "one", Replicas: 6, Resources: cfg.Services[0].Resources}}
	})
	w.until(w.settled, time.Minute)
	size := declarer.Resources{MilliCPU: 1500, MemoryMB: 100}
	w.configure(func(cfg *declarer.Config) {
		cfg.Services = []declarer.Service{{Name: "web", Team: "one", Replicas: 6, Resources: size}}
	})
	least := 3
	isNew := func() bool {
		running, current := 0, 0
		for _, x := range w.east().core.byOwner["web"] {
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
	noProblem(t, w)
	c.Assert(least, quicktest.Equals, 2)
}

// TestCancellationWave guards against a cost in proportion to the waiting tasks
// when many jobs are cancelled at once, and against starts of cancelled work.
func TestCancellationWave(t *testing.T) {
	c := quicktest.New(t)
	w := started(t, 3)
	const jobs = 200
	for i := range jobs {
		w.submitJob(declarer.BatchJob{ID: fmt.Sprintf("c%d", i), Team: "two", Tasks: 1000, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 10}})
	}
	w.run(3 * time.Second)
	core, live, changes := w.east().core, 0, 0
	for i := range jobs {
		live += len(core.byOwner[fmt.Sprintf("c%d", i)])
		w.cancel(fmt.Sprintf("c%d", i))
	}
	changes = len(w.east().group)
	t.Logf("%d changes cancel %d jobs of 1000 tasks, of which %d have an attempt", changes, jobs, live)
	c.Assert(live > 0, quicktest.IsTrue)
	c.Assert(changes, quicktest.Equals, jobs+live)
	w.run(5 * time.Second)
	noProblem(t, w)
	for _, x := range w.east().workers {
		for id, r := range x.running {
			c.Assert(r.start.Class == declarer.ClassBatch, quicktest.IsFalse, quicktest.Commentf("%s runs", id))
		}
	}
}
