package emulator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/standins/storekeeper"
	"tarragonhead.example/tarragonhead/standins/worker"
)

var (
	capacity = declarer.Resources{MilliCPU: 4000, MemoryMB: 4000}
	taskSize = declarer.Resources{MilliCPU: 1000, MemoryMB: 1000}
)

func job(id string, tasks int, runTime time.Duration) declarer.BatchJob {
	return declarer.BatchJob{ID: id, Team: "team", Kind: "kind", Tasks: tasks, Resources: taskSize, RunTime: runTime}
}

// runSystem runs f on a new system in virtual time. It then checks that no task
// had two attempts at the same time.
func runSystem(t *testing.T, o Options, f func(*quicktest.C, *System)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		level := log.FatalLevel
		if testing.Verbose() {
			level = log.InfoLevel
		}
		o.Log = &log.Logger{Level: level, Writer: &log.IOWriter{Writer: testWriter{t}}}
		o.Capacity = capacity
		s, err := Start(o)
		c.Assert(err, quicktest.IsNil)
		defer s.Stop()
		f(c, s)
		c.Assert(worker.Overlaps(s.Records(), time.Now()), quicktest.HasLen, 0)
	})
}

// testWriter writes log lines to the log of a test.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s %s", time.Now().Format("04:05.000"), p)
	return len(p), nil
}

var oneDomain = Options{Domains: []string{"a"}, Workers: 3, Daemons: 2}

// countDone returns how many tasks of a job are done.
func countDone(s *System, shard, id string) int {
	for _, j := range s.Report(shard).Jobs {
		if j.Job.ID == id {
			return j.Done
		}
	}
	return 0
}

// countInStates returns how many tasks of a shard are in one of the states.
func countInStates(s *System, shard string, states ...string) int {
	n := 0
	for _, t := range s.Report(shard).Tasks {
		for _, state := range states {
			if string(t.State) == state {
				n++
			}
		}
	}
	return n
}

// startJob submits job "j" of n tasks and waits until min(n, 10) of them run. The
// workers have room for 12 tasks, of which part is kept as headroom.
func startJob(c *quicktest.C, s *System, shard string, n int, runTime time.Duration) {
	s.Submit(shard, job("j", n, runTime))
	_, ok := WaitUntil(10*time.Second, func() bool { return countInStates(s, shard, "running") >= min(n, 10) })
	c.Assert(ok, quicktest.IsTrue)
}

// awaitJob waits until all n tasks of job "j" are done and returns how long that
// took.
func awaitJob(c *quicktest.C, s *System, shard string, n int, within time.Duration) time.Duration {
	took, ok := WaitUntil(within, func() bool { return countDone(s, shard, "j") == n })
	c.Assert(ok, quicktest.IsTrue, quicktest.Commentf("%d of %d done", countDone(s, shard, "j"), n))
	return took
}

// countStarts returns how many attempts were started. Each has one record without
// an end.
func countStarts(s *System) int {
	n := 0
	for _, r := range s.Records() {
		if r.End.IsZero() {
			n++
		}
	}
	return n
}

// awaitTakeover waits until the shard has an owner other than old and returns
// how long that took.
func awaitTakeover(c *quicktest.C, s *System, shard string, old *Daemon, within time.Duration) time.Duration {
	took, ok := WaitUntil(within, func() bool { o := s.Owner(shard); return o != nil && o != old })
	c.Assert(ok, quicktest.IsTrue)
	return took
}

// TestOwnerFaults guards against tasks that are lost, run again or run
// concurrently when the owner of a shard fails.
func TestOwnerFaults(t *testing.T) {
	for name, fault := range map[string]func(*Daemon){
		"killed":               (*Daemon).Kill,
		"stopped as planned":   (*Daemon).Stop,
		"cut off from store":   func(d *Daemon) { d.StoreDown.Store(true) },
		"paused for a minute":  func(d *Daemon) { d.Pause(); time.AfterFunc(time.Minute, d.Resume) },
		"paused for 7 seconds": func(d *Daemon) { d.Pause(); time.AfterFunc(7*time.Second, d.Resume) },
	} {
		t.Run(name, func(t *testing.T) {
			runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
				startJob(c, s, "a", 30, 40*time.Second)
				old := s.Owner("a")
				began := time.Now()
				fault(old)
				took := awaitTakeover(c, s, "a", old, 10*time.Second)
				c.Logf("%s: new owner after %s", name, time.Since(began))
				if name == "stopped as planned" {
					c.Assert(took < time.Second, quicktest.IsTrue)
				}
				awaitJob(c, s, "a", 30, 5*time.Minute)
				// No attempt lost its lease during the change of owners.
				c.Assert(countStarts(s), quicktest.Equals, 30)
				time.Sleep(time.Minute)
				if name != "killed" && name != "stopped as planned" {
					c.Assert(old.Controller.Epoch("a"), quicktest.Equals, uint64(0))
				}
			})
		})
	}
}

// TestStoreOutage guards against starts during an outage of the store, attempts
// that end before the horizon or continue after it, and lost results.
func TestStoreOutage(t *testing.T) {
	for name, o := range map[string]struct {
		fault    storekeeper.Fault
		duration time.Duration
		// attempts is the largest number of attempts, of tasks of 10 minutes, that
		// may have started by the end of the fault.
		attempts int
	}{
		"down for 12 minutes": {storekeeper.Fault{Mode: storekeeper.Down}, 12 * time.Minute, 12},
		"down for 30 minutes": {storekeeper.Fault{Mode: storekeeper.Down}, 30 * time.Minute, 12},
		"answers lost":        {storekeeper.Fault{Mode: storekeeper.Lost, Op: "compare_and_swap"}, 12 * time.Minute, 24},
		"slow":                {storekeeper.Fault{Mode: storekeeper.Slow, Delay: 1500 * time.Millisecond}, 12 * time.Minute, 24},
	} {
		t.Run(name, func(t *testing.T) {
			runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
				startJob(c, s, "a", 24, 10*time.Minute)
				s.Store.AddFault(o.fault)
				time.Sleep(o.duration)
				c.Assert(countStarts(s) <= o.attempts, quicktest.IsTrue, quicktest.Commentf("%d attempts", countStarts(s)))
				s.Store.ClearFaults()
				awaitJob(c, s, "a", 24, time.Hour)
				c.Assert(countStarts(s), quicktest.Equals, 24)
			})
		})
	}
}

// TestHorizon guards against leases that are renewed beyond the horizon or
// expire before it.
func TestHorizon(t *testing.T) {
	runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
		startJob(c, s, "a", 3, 2*time.Hour)
		time.Sleep(7 * time.Minute)
		outageStart := time.Now()
		s.Store.AddFault(storekeeper.Fault{Mode: storekeeper.Down})
		time.Sleep(40 * time.Minute)
		ended := 0
		for _, r := range s.Records() {
			if r.End.IsZero() {
				continue
			}
			ended++
			after := r.End.Sub(outageStart)
			c.Logf("ended %s after the outage began", after)
			// The last record in the store is at most a third of the horizon old.
			c.Assert(after > 9*time.Minute && after <= 15*time.Minute, quicktest.IsTrue)
		}
		c.Assert(ended, quicktest.Equals, 3)
		s.Store.ClearFaults()
	})
}

// TestUnreachableWorker guards against a successor that starts a task again
// while the previous owner, cut off from the store, still renews its lease on a
// worker that the successor can't reach.
func TestUnreachableWorker(t *testing.T) {
	runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
		startJob(c, s, "a", 3, time.Hour)
		old := s.Owner("a")
		for _, d := range s.Daemons() {
			if d != old {
				d.Link("a-w0").DropRequests.Store(true)
			}
		}
		old.StoreDown.Store(true)
		began := time.Now()
		awaitTakeover(c, s, "a", old, 10*time.Second)
		// New tasks must not be placed on the worker that does not answer.
		s.Submit("a", job("k", 3, 10*time.Second))
		_, ok := WaitUntil(30*time.Second, func() bool { return countDone(s, "a", "k") == 3 })
		c.Assert(ok, quicktest.IsTrue)
		time.Sleep(10 * time.Minute)
		c.Assert(countStarts(s), quicktest.Equals, 6)
		_, ok = WaitUntil(10*time.Minute, func() bool { return countStarts(s) == 9 })
		c.Assert(ok, quicktest.IsTrue)
		c.Logf("started again %s after the fault", time.Since(began))
	})
}

// TestReleasedShard guards against a successor that waits for the horizon of the
// previous owner although that owner shut down gracefully.
func TestReleasedShard(t *testing.T) {
	runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
		startJob(c, s, "a", 3, time.Hour)
		old := s.Owner("a")
		for _, d := range s.Daemons() {
			if d != old {
				d.Link("a-w0").DropRequests.Store(true)
			}
		}
		old.Stop()
		took, ok := WaitUntil(time.Minute, func() bool { return countStarts(s) == 6 })
		c.Assert(ok && took < 20*time.Second, quicktest.IsTrue)
	})
}

// TestWorkerFaults guards against tasks that stay in one state forever, or run
// twice, when calls to a worker are lost for a while.
func TestWorkerFaults(t *testing.T) {
	for name, cut := range map[string]func(*worker.Link, bool){
		"requests lost": func(l *worker.Link, on bool) { l.DropRequests.Store(on) },
		"answers lost":  func(l *worker.Link, on bool) { l.DropResponses.Store(on) },
	} {
		for _, duration := range []time.Duration{1500 * time.Millisecond, 5 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprintf("%s for %s", name, duration), func(t *testing.T) {
				runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
					startJob(c, s, "a", 30, 20*time.Second)
					owner := s.Owner("a")
					// The fault starts just before the first tasks end, so that
					// their ends and the next starts are lost.
					time.Sleep(18 * time.Second)
					cut(owner.Link("a-w0"), true)
					time.Sleep(duration)
					cut(owner.Link("a-w0"), false)
					awaitJob(c, s, "a", 30, 3*time.Minute)
				})
			})
		}
	}
}

// TestLostWorker guards against tasks of a lost worker that are started again
// before their leases expire, and against tasks that are never started again
// because renewals that were not answered still extend the leases.
func TestLostWorker(t *testing.T) {
	for name, cut := range map[string]func(*worker.Link){
		"requests lost": func(l *worker.Link) { l.DropRequests.Store(true) },
		"answers lost":  func(l *worker.Link) { l.DropResponses.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
				startJob(c, s, "a", 3, time.Hour)
				time.Sleep(time.Minute)
				cut(s.Owner("a").Link("a-w0"))
				took, ok := WaitUntil(30*time.Second, func() bool { return countStarts(s) == 6 })
				c.Assert(ok && took > 8*time.Second && took < 18*time.Second, quicktest.IsTrue, quicktest.Commentf("started again after %s", took))
				c.Logf("%s: started again after %s", name, took)
			})
		})
	}
}

// TestLostStarts guards against assumptions about a start that was not answered:
// the worker may or may not have executed it.
func TestLostStarts(t *testing.T) {
	for name, cut := range map[string]func(*worker.Link, bool){
		"requests lost": func(l *worker.Link, on bool) { l.DropRequests.Store(on) },
		"answers lost":  func(l *worker.Link, on bool) { l.DropResponses.Store(on) },
	} {
		for _, duration := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprintf("%s for %s", name, duration), func(t *testing.T) {
				runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
					startJob(c, s, "a", 1, time.Second)
					awaitJob(c, s, "a", 1, 20*time.Second)
					owner := s.Owner("a")
					cut(owner.Link("a-w0"), true)
					s.Submit("a", job("k", 9, time.Minute))
					time.Sleep(duration)
					cut(owner.Link("a-w0"), false)
					_, ok := WaitUntil(3*time.Minute, func() bool { return countDone(s, "a", "k") == 9 })
					c.Assert(ok, quicktest.IsTrue)
				})
			})
		}
	}
}

// TestLostDomain guards against tasks that are not transferred, or run twice,
// when every daemon of a domain is gone and answers to transfers are lost.
func TestLostDomain(t *testing.T) {
	for name, mute := range map[string]bool{"answers": false, "answers lost for a while": true} {
		t.Run(name, func(t *testing.T) {
			runSystem(t, Options{Domains: []string{"a", "b", "c"}, Workers: 3, Daemons: 1}, func(c *quicktest.C, s *System) {
				startJob(c, s, "a", 30, 30*time.Second)
				began := time.Now()
				for _, d := range s.Daemons() {
					if d.Domain == "a" {
						d.Kill()
					}
					d.DropPeerAnswers.Store(mute)
				}
				awaitTakeover(c, s, "a", nil, time.Minute)
				took := time.Since(began)
				c.Logf("taken over after %s", took)
				c.Assert(took > 19*time.Second && took < 30*time.Second, quicktest.IsTrue)
				time.Sleep(20 * time.Second)
				for _, d := range s.Daemons() {
					d.DropPeerAnswers.Store(false)
				}
				_, ok := WaitUntil(5*time.Minute, func() bool { return len(s.Report("b").Tasks)+len(s.Report("c").Tasks) > 0 })
				c.Assert(ok, quicktest.IsTrue)
				_, ok = WaitUntil(10*time.Minute, func() bool { return len(s.Report("a").Tasks)+len(s.Report("b").Tasks)+len(s.Report("c").Tasks) == 0 })
				c.Assert(ok, quicktest.IsTrue)
				c.Assert(countCompletedOnce(s), quicktest.Equals, 30)
				j := s.Report("a").Jobs[0]
				c.Assert(j.Done+j.HandedOver, quicktest.Equals, 30)
				// A daemon of the domain takes the shard back.
				back := s.StartDaemon("a-d9", "a")
				_, ok = WaitUntil(time.Minute, func() bool { return s.Owner("a") == back })
				c.Assert(ok, quicktest.IsTrue)
			})
		})
	}
}

// countCompletedOnce returns how many tasks completed exactly once.
func countCompletedOnce(s *System) int {
	done := map[string]int{}
	for _, r := range s.Records() {
		if r.Outcome == string(scheduler.OutcomeCompleted) {
			done[r.Task]++
		}
	}
	n := 0
	for _, times := range done {
		if times == 1 {
			n++
		}
	}
	return n
}

// TestDomainOut guards against a start more than 3 s after a domain was taken
// out of service, when the commit of the start or the call itself is delayed.
func TestDomainOut(t *testing.T) {
	for name, f := range map[string]storekeeper.Fault{
		"store as usual": {Mode: storekeeper.Slow},
		"commit late":    {Mode: storekeeper.Slow, Prefix: "ledger/", Op: "compare_and_swap", Delay: 5 * time.Second, Count: 1},
		"answer lost":    {Mode: storekeeper.Lost, Prefix: "ledger/"},
	} {
		t.Run(name, func(t *testing.T) {
			runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
				startJob(c, s, "a", 1, time.Second)
				awaitJob(c, s, "a", 1, 20*time.Second)
				s.Store.AddFault(f)
				go s.Submit("a", job("late", 9, time.Second))
				time.Sleep(400 * time.Millisecond)
				c.Assert(s.TakeDomainOut("a"), quicktest.IsNil)
				out := time.Now()
				time.Sleep(8 * time.Second)
				s.Store.ClearFaults()
				time.Sleep(time.Minute)
				for _, r := range s.Records() {
					c.Assert(r.Start.Sub(out) < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("started %s after the domain was taken out", r.Start.Sub(out)))
				}
			})
		})
	}
}

// TestMovedWorker guards against a task that is started again while the
// process at the worker's former address still runs it under its lease.
func TestMovedWorker(t *testing.T) {
	runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
		startJob(c, s, "a", 3, 20*time.Second)
		s.Move("a-w0")
		awaitJob(c, s, "a", 3, 2*time.Minute)
		c.Assert(countStarts(s), quicktest.Equals, 6)
	})
}

// TestLeavingRoutes guards against a routing table without the runners that
// are leaving, or that doesn't mark them.
func TestLeavingRoutes(t *testing.T) {
	o := oneDomain
	o.Services = []declarer.Service{{Name: "web", Team: "team", Replicas: 8, Resources: taskSize}}
	runSystem(t, o, func(c *quicktest.C, s *System) {
		routes := func() (all, leaving int) {
			owner := s.Owner("a")
			if owner == nil {
				return 0, 0
			}
			for _, r := range owner.Controller.Routes("a").GetRoutes() {
				all++
				if r.Leaving {
					leaving++
				}
			}
			return all, leaving
		}
		_, ok := WaitUntil(20*time.Second, func() bool { all, _ := routes(); return all == 8 })
		c.Assert(ok, quicktest.IsTrue)
		s.Store.SetLeaving("a-w0", true)
		took, ok := WaitUntil(10*time.Second, func() bool { _, leaving := routes(); return leaving == 4 })
		c.Assert(ok, quicktest.IsTrue)
		c.Logf("leaving after %s", took)
		all, _ := routes()
		c.Assert(all >= 8, quicktest.IsTrue)
	})
}
