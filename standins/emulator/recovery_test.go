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
	size     = declarer.Resources{MilliCPU: 1000, MemoryMB: 1000}
)

func job(id string, tasks int, runTime time.Duration) declarer.BatchJob {
	return declarer.BatchJob{ID: id, Team: "team", Kind: "kind", Tasks: tasks, Resources: size, RunTime: runTime}
}

// emulate runs f on a system with one or more domains in virtual time, then
// checks that no task ran twice at once.
func emulate(t *testing.T, o Options, f func(*quicktest.C, *System)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		level := log.FatalLevel
		if testing.Verbose() {
			level = log.InfoLevel
		}
		o.Log = &log.Logger{Level: level, Writer: &log.IOWriter{Writer: writer{t}}}
		o.Capacity = capacity
		s, err := Start(o)
		c.Assert(err, quicktest.IsNil)
		defer s.Stop()
		f(c, s)
		c.Assert(worker.Overlaps(s.Records(), time.Now()), quicktest.HasLen, 0)
	})
}

// writer gives log lines to a test.
type writer struct{ t *testing.T }

func (w writer) Write(p []byte) (int, error) {
	w.t.Logf("%s %s", time.Now().Format("04:05.000"), p)
	return len(p), nil
}

var one = Options{Domains: []string{"a"}, Workers: 3, Daemons: 2}

func completed(s *System, shard, id string) int {
	for _, j := range s.Report(shard).Jobs {
		if j.Job.ID == id {
			return j.Done
		}
	}
	return 0
}

func inState(s *System, shard string, states ...string) int {
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

// begin submits a job of n tasks and waits until they run, as far as the
// workers' 12 places less the headroom allow.
func begin(c *quicktest.C, s *System, shard string, n int, runTime time.Duration) {
	s.Submit(shard, job("j", n, runTime))
	_, ok := Until(10*time.Second, func() bool { return inState(s, shard, "running") >= min(n, 10) })
	c.Assert(ok, quicktest.IsTrue)
}

// finish waits until all n tasks are done.
func finish(c *quicktest.C, s *System, shard string, n int, within time.Duration) time.Duration {
	took, ok := Until(within, func() bool { return completed(s, shard, "j") == n })
	c.Assert(ok, quicktest.IsTrue, quicktest.Commentf("%d of %d done", completed(s, shard, "j"), n))
	return took
}

// count returns how many attempts of batch tasks were started.
func count(s *System) int {
	n := 0
	for _, r := range s.Records() {
		if r.End.IsZero() {
			n++
		}
	}
	return n
}

// takeover waits for an owner other than old.
func takeover(c *quicktest.C, s *System, shard string, old *Daemon, within time.Duration) time.Duration {
	took, ok := Until(within, func() bool { o := s.Owner(shard); return o != nil && o != old })
	c.Assert(ok, quicktest.IsTrue)
	return took
}

// TestOwnerFaults guards against tasks that are lost, run again or run twice
// at once when the owner of a shard fails in one of several ways.
func TestOwnerFaults(t *testing.T) {
	for name, fault := range map[string]func(*Daemon){
		"killed":               (*Daemon).Kill,
		"stopped as planned":   (*Daemon).Stop,
		"cut off from store":   func(d *Daemon) { d.StoreDown.Store(true) },
		"paused for a minute":  func(d *Daemon) { d.Pause(); time.AfterFunc(time.Minute, d.Resume) },
		"paused for 7 seconds": func(d *Daemon) { d.Pause(); time.AfterFunc(7*time.Second, d.Resume) },
	} {
		t.Run(name, func(t *testing.T) {
			emulate(t, one, func(c *quicktest.C, s *System) {
				begin(c, s, "a", 30, 40*time.Second)
				old := s.Owner("a")
				begun := time.Now()
				fault(old)
				took := takeover(c, s, "a", old, 10*time.Second)
				c.Logf("%s: next owner after %s", name, time.Since(begun))
				if name == "stopped as planned" {
					c.Assert(took < time.Second, quicktest.IsTrue)
				}
				finish(c, s, "a", 30, 5*time.Minute)
				// No attempt lost its lease over the change of owners.
				c.Assert(count(s), quicktest.Equals, 30)
				time.Sleep(time.Minute)
				if name != "killed" && name != "stopped as planned" {
					c.Assert(old.Controller.Epoch("a"), quicktest.Equals, uint64(0))
				}
			})
		})
	}
}

// TestStoreOutage guards against starts during an outage, running work that
// ends before its horizon or outlives it, and results that are lost.
func TestStoreOutage(t *testing.T) {
	for name, o := range map[string]struct {
		fault   storekeeper.Fault
		lasting time.Duration
		// attempts is the number of attempts of 12 tasks of 10 min.
		attempts int
	}{
		"down for 12 minutes": {storekeeper.Fault{Mode: storekeeper.Down}, 12 * time.Minute, 12},
		"down for 30 minutes": {storekeeper.Fault{Mode: storekeeper.Down}, 30 * time.Minute, 12},
		"answers lost":        {storekeeper.Fault{Mode: storekeeper.Lost, Op: "compare_and_swap"}, 12 * time.Minute, 24},
		"slow":                {storekeeper.Fault{Mode: storekeeper.Slow, Delay: 1500 * time.Millisecond}, 12 * time.Minute, 24},
	} {
		t.Run(name, func(t *testing.T) {
			emulate(t, one, func(c *quicktest.C, s *System) {
				begin(c, s, "a", 24, 10*time.Minute)
				s.Store.AddFault(o.fault)
				time.Sleep(o.lasting)
				c.Assert(count(s) <= o.attempts, quicktest.IsTrue, quicktest.Commentf("%d attempts", count(s)))
				s.Store.ClearFaults()
				finish(c, s, "a", 24, time.Hour)
				c.Assert(count(s), quicktest.Equals, 24)
			})
		})
	}
}

// TestHorizon guards against renewals beyond the horizon, and against leases
// that end before it.
func TestHorizon(t *testing.T) {
	emulate(t, one, func(c *quicktest.C, s *System) {
		begin(c, s, "a", 3, 2*time.Hour)
		time.Sleep(7 * time.Minute)
		cut := time.Now()
		s.Store.AddFault(storekeeper.Fault{Mode: storekeeper.Down})
		time.Sleep(40 * time.Minute)
		ended := 0
		for _, r := range s.Records() {
			if r.End.IsZero() {
				continue
			}
			ended++
			after := r.End.Sub(cut)
			c.Logf("ended %s after the cut", after)
			// The last record is at most a third of the horizon old.
			c.Assert(after > 9*time.Minute && after <= 15*time.Minute, quicktest.IsTrue)
		}
		c.Assert(ended, quicktest.Equals, 3)
		s.Store.ClearFaults()
	})
}

// TestUnreachableWorker guards against a successor that starts a task again
// while the old owner, cut off from the store, still renews it.
func TestUnreachableWorker(t *testing.T) {
	emulate(t, one, func(c *quicktest.C, s *System) {
		begin(c, s, "a", 3, time.Hour)
		old := s.Owner("a")
		for _, d := range s.Daemons() {
			if d != old {
				d.Link("a-w0").DropRequests.Store(true)
			}
		}
		old.StoreDown.Store(true)
		begun := time.Now()
		takeover(c, s, "a", old, 10*time.Second)
		// New work must not be placed on the worker that gives no answer.
		s.Submit("a", job("k", 3, 10*time.Second))
		_, ok := Until(30*time.Second, func() bool { return completed(s, "a", "k") == 3 })
		c.Assert(ok, quicktest.IsTrue)
		time.Sleep(10 * time.Minute)
		c.Assert(count(s), quicktest.Equals, 6)
		_, ok = Until(10*time.Minute, func() bool { return count(s) == 9 })
		c.Assert(ok, quicktest.IsTrue)
		c.Logf("placed again %s after the cut", time.Since(begun))
	})
}

// TestReleasedShard guards against a successor that waits for the horizon
// although the owner stopped as planned.
func TestReleasedShard(t *testing.T) {
	emulate(t, one, func(c *quicktest.C, s *System) {
		begin(c, s, "a", 3, time.Hour)
		old := s.Owner("a")
		for _, d := range s.Daemons() {
			if d != old {
				d.Link("a-w0").DropRequests.Store(true)
			}
		}
		old.Stop()
		took, ok := Until(time.Minute, func() bool { return count(s) == 6 })
		c.Assert(ok && took < 20*time.Second, quicktest.IsTrue)
	})
}

// TestWorkerFaults guards against tasks that stay in a state for ever, or run
// twice, when a worker's messages are lost.
func TestWorkerFaults(t *testing.T) {
	for name, cut := range map[string]func(*worker.Link, bool){
		"requests lost": func(l *worker.Link, on bool) { l.DropRequests.Store(on) },
		"answers lost":  func(l *worker.Link, on bool) { l.DropResponses.Store(on) },
	} {
		for _, lasting := range []time.Duration{1500 * time.Millisecond, 5 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprintf("%s for %s", name, lasting), func(t *testing.T) {
				emulate(t, one, func(c *quicktest.C, s *System) {
					begin(c, s, "a", 30, 20*time.Second)
					owner := s.Owner("a")
					// The cut begins just before the first tasks end, so that
					// their ends and the next starts are lost.
					time.Sleep(18 * time.Second)
					cut(owner.Link("a-w0"), true)
					time.Sleep(lasting)
					cut(owner.Link("a-w0"), false)
					finish(c, s, "a", 30, 3*time.Minute)
				})
			})
		}
	}
}

// TestLostWorker guards against a worker's tasks that are started again while
// their leases run, or that never are, because renewals without an answer go
// on to extend them.
func TestLostWorker(t *testing.T) {
	for name, cut := range map[string]func(*worker.Link){
		"requests lost": func(l *worker.Link) { l.DropRequests.Store(true) },
		"answers lost":  func(l *worker.Link) { l.DropResponses.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			emulate(t, one, func(c *quicktest.C, s *System) {
				begin(c, s, "a", 3, time.Hour)
				time.Sleep(time.Minute)
				cut(s.Owner("a").Link("a-w0"))
				took, ok := Until(30*time.Second, func() bool { return count(s) == 6 })
				c.Assert(ok && took > 8*time.Second && took < 18*time.Second, quicktest.IsTrue, quicktest.Commentf("placed again after %s", took))
				c.Logf("%s: placed again after %s", name, took)
			})
		})
	}
}

// TestLostStarts guards against starts whose fate is guessed: one without an
// answer may have been carried out or not.
func TestLostStarts(t *testing.T) {
	for name, cut := range map[string]func(*worker.Link, bool){
		"requests lost": func(l *worker.Link, on bool) { l.DropRequests.Store(on) },
		"answers lost":  func(l *worker.Link, on bool) { l.DropResponses.Store(on) },
	} {
		for _, lasting := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprintf("%s for %s", name, lasting), func(t *testing.T) {
				emulate(t, one, func(c *quicktest.C, s *System) {
					begin(c, s, "a", 1, time.Second)
					finish(c, s, "a", 1, 20*time.Second)
					owner := s.Owner("a")
					cut(owner.Link("a-w0"), true)
					s.Submit("a", job("k", 9, time.Minute))
					time.Sleep(lasting)
					cut(owner.Link("a-w0"), false)
					_, ok := Until(3*time.Minute, func() bool { return completed(s, "a", "k") == 9 })
					c.Assert(ok, quicktest.IsTrue)
				})
			})
		}
	}
}

// TestLostDomain guards against work that stays behind, or runs twice, when
// every daemon of a domain is gone and answers to transfers are lost.
func TestLostDomain(t *testing.T) {
	for name, mute := range map[string]bool{"answers": false, "answers lost for a while": true} {
		t.Run(name, func(t *testing.T) {
			emulate(t, Options{Domains: []string{"a", "b", "c"}, Workers: 3, Daemons: 1}, func(c *quicktest.C, s *System) {
				begin(c, s, "a", 30, 30*time.Second)
				begun := time.Now()
				for _, d := range s.Daemons() {
					if d.Domain == "a" {
						d.Kill()
					}
					d.PeersMute.Store(mute)
				}
				takeover(c, s, "a", nil, time.Minute)
				took := time.Since(begun)
				c.Logf("taken over after %s", took)
				c.Assert(took > 19*time.Second && took < 30*time.Second, quicktest.IsTrue)
				time.Sleep(20 * time.Second)
				for _, d := range s.Daemons() {
					d.PeersMute.Store(false)
				}
				_, ok := Until(5*time.Minute, func() bool { return len(s.Report("b").Tasks)+len(s.Report("c").Tasks) > 0 })
				c.Assert(ok, quicktest.IsTrue)
				_, ok = Until(10*time.Minute, func() bool { return len(s.Report("a").Tasks)+len(s.Report("b").Tasks)+len(s.Report("c").Tasks) == 0 })
				c.Assert(ok, quicktest.IsTrue)
				c.Assert(whole(s), quicktest.Equals, 30)
				j := s.Report("a").Jobs[0]
				c.Assert(j.Done+j.HandedOver, quicktest.Equals, 30)
				// The domain's own daemons get the shard back.
				back := s.StartDaemon("a-d9", "a")
				_, ok = Until(time.Minute, func() bool { return s.Owner("a") == back })
				c.Assert(ok, quicktest.IsTrue)
			})
		})
	}
}

// whole counts the tasks that completed, and fails on none that did so twice.
func whole(s *System) int {
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
// out of service, when the commit of the start or the start itself is late.
func TestDomainOut(t *testing.T) {
	for name, f := range map[string]storekeeper.Fault{
		"store as usual": {Mode: storekeeper.Slow},
		"commit late":    {Mode: storekeeper.Slow, Prefix: "ledger/", Op: "compare_and_swap", Delay: 5 * time.Second, Count: 1},
		"answer lost":    {Mode: storekeeper.Lost, Prefix: "ledger/"},
	} {
		t.Run(name, func(t *testing.T) {
			emulate(t, one, func(c *quicktest.C, s *System) {
				begin(c, s, "a", 1, time.Second)
				finish(c, s, "a", 1, 20*time.Second)
				s.Store.AddFault(f)
				go s.Submit("a", job("late", 9, time.Second))
				time.Sleep(400 * time.Millisecond)
				c.Assert(s.SetOut("a"), quicktest.IsNil)
				out := time.Now()
				time.Sleep(8 * time.Second)
				s.Store.ClearFaults()
				time.Sleep(time.Minute)
				for _, r := range s.Records() {
					c.Assert(r.Start.Sub(out) < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("started %s after", r.Start.Sub(out)))
				}
			})
		})
	}
}

// TestMovedWorker guards against a task that is started again while the
// process at the worker's former address still runs it under its lease.
func TestMovedWorker(t *testing.T) {
	emulate(t, one, func(c *quicktest.C, s *System) {
		begin(c, s, "a", 3, 20*time.Second)
		s.Move("a-w0")
		finish(c, s, "a", 3, 2*time.Minute)
		c.Assert(count(s), quicktest.Equals, 6)
	})
}

// TestLeavingRoutes guards against a routing table without the runners that
// are leaving, or that doesn't mark them.
func TestLeavingRoutes(t *testing.T) {
	o := one
	o.Services = []declarer.Service{{Name: "web", Team: "team", Replicas: 8, Resources: size}}
	emulate(t, o, func(c *quicktest.C, s *System) {
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
		_, ok := Until(20*time.Second, func() bool { all, _ := routes(); return all == 8 })
		c.Assert(ok, quicktest.IsTrue)
		s.Store.SetLeaving("a-w0", true)
		took, ok := Until(10*time.Second, func() bool { _, leaving := routes(); return leaving == 4 })
		c.Assert(ok, quicktest.IsTrue)
		c.Logf("leaving after %s", took)
		all, _ := routes()
		c.Assert(all >= 8, quicktest.IsTrue)
	})
}
