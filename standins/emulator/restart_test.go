package emulator

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// TestRestartedWorker guards against tasks that are lost or run twice when the
// process of a worker is replaced at its address within its leases, once or
// again and again, under the same id or another one. It also guards against a
// process that gets no work at an address or under an id that was used before.
func TestRestartedWorker(t *testing.T) {
	for name, ids := range map[string][]string{
		"once":                   {"a-w0"},
		"under another id":       {"other"},
		"three times":            {"a-w0", "a-w0", "a-w0"},
		"to another id and back": {"other", "a-w0"},
	} {
		for _, pause := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
			t.Run(name+" after "+pause.String(), func(t *testing.T) {
				runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
					startJob(c, s, "a", 20, 20*time.Second)
					id := "a-w0"
					for _, next := range ids {
						time.Sleep(pause)
						s.Restart(id, next)
						id = next
					}
					awaitJob(c, s, "a", 20, 5*time.Minute)
					c.Assert(countCompletedOnce(s), quicktest.Equals, 20)
					s.Submit("a", job("k", 30, time.Second))
					_, ok := WaitUntil(time.Minute, func() bool { return countDone(s, "a", "k") == 30 })
					c.Assert(ok, quicktest.IsTrue)
					for _, w := range s.workers {
						c.Assert(len(w.Recorded()) > 0, quicktest.IsTrue, quicktest.Commentf("%s has run nothing", w.Process()))
					}
				})
			})
		}
	}
}

// TestReplacementOfLeavingWorker guards against a worker that gets no work because
// an earlier process with its id was leaving, or because the platform had listed
// it as leaving for a while.
func TestReplacementOfLeavingWorker(t *testing.T) {
	for name, restart := range map[string]bool{"restarted": true, "not restarted": false} {
		t.Run(name, func(t *testing.T) {
			runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
				startJob(c, s, "a", 20, 20*time.Second)
				isLeaving := func() bool {
					return slices.ContainsFunc(s.Report("a").Workers, func(w scheduler.Worker) bool { return w.ID == "a-w0" && w.State == scheduler.Leaving })
				}
				s.Store.SetLeaving("a-w0", true)
				_, ok := WaitUntil(10*time.Second, isLeaving)
				c.Assert(ok, quicktest.IsTrue)
				if restart {
					s.Restart("a-w0", "a-w0")
				}
				s.Store.SetLeaving("a-w0", false)
				time.Sleep(5 * time.Second)
				c.Assert(isLeaving(), quicktest.IsFalse)
				awaitJob(c, s, "a", 20, 5*time.Minute)
				before := countStartsOn(s, "a-w0")
				s.Submit("a", job("k", 30, time.Second))
				_, ok = WaitUntil(time.Minute, func() bool { return countDone(s, "a", "k") == 30 })
				c.Assert(ok, quicktest.IsTrue)
				c.Assert(countStartsOn(s, "a-w0") > before, quicktest.IsTrue)
			})
		})
	}
}

// countStartsOn returns how many attempts the present processes with a worker's
// id have started.
func countStartsOn(s *System, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, w := range s.workers {
		if w.Process().Worker != id {
			continue
		}
		for _, r := range w.Recorded() {
			if r.End.IsZero() {
				n++
			}
		}
	}
	return n
}

// TestLeavingRoutesOfUnreachableWorker guards against a runner that gets new
// requests again because its worker, which was leaving, has become unreachable.
func TestLeavingRoutesOfUnreachableWorker(t *testing.T) {
	o := oneDomain
	o.Services = []declarer.Service{{Name: "web", Team: "team", Replicas: 8, Resources: taskSize}}
	runSystem(t, o, func(c *quicktest.C, s *System) {
		count := func() (all, leaving int) {
			owner := s.Owner("a")
			if owner == nil {
				return 0, 0
			}
			for _, r := range owner.Controller.Routes("a").GetRoutes() {
				if r.Worker != "a-w0" {
					continue
				}
				all++
				if r.Leaving {
					leaving++
				}
			}
			return all, leaving
		}
		_, ok := WaitUntil(20*time.Second, func() bool { all, _ := count(); return all == 4 })
		c.Assert(ok, quicktest.IsTrue)
		s.Store.SetLeaving("a-w0", true)
		_, ok = WaitUntil(10*time.Second, func() bool { _, leaving := count(); return leaving == 4 })
		c.Assert(ok, quicktest.IsTrue)
		s.Owner("a").Link("a-w0").DropRequests.Store(true)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			all, leaving := count()
			c.Assert(leaving, quicktest.Equals, all)
		}
	})
}
