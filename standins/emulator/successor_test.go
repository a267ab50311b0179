package emulator

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/configurer"
	"tarragonhead.example/tarragonhead/internal/declarer"
)

// TestReleaseBeforeAnswer guards against tasks that start again while an owner
// that is cut off from the store still renews their leases, because a successor
// that never reached their worker has shut down gracefully.
func TestReleaseBeforeAnswer(t *testing.T) {
	o := oneDomain
	o.Daemons = 3
	runSystem(t, o, func(c *quicktest.C, s *System) {
		startJob(c, s, "a", 3, time.Hour)
		first := s.Owner("a")
		for _, d := range s.Daemons() {
			if d != first {
				d.Link("a-w0").DropRequests.Store(true)
			}
		}
		first.StoreDown.Store(true)
		awaitTakeover(c, s, "a", first, 10*time.Second)
		second := s.Owner("a")
		time.Sleep(5 * time.Second)
		second.Stop()
		awaitTakeover(c, s, "a", second, 10*time.Second)
		time.Sleep(5 * time.Minute)
		c.Assert(countStarts(s), quicktest.Equals, 3)
	})
}

// TestMovedWorkerOfCutOffOwner guards against tasks that start again while an
// owner that is cut off from the store renews their leases at their worker's
// former address, because the successor has reached the worker's new process.
func TestMovedWorkerOfCutOffOwner(t *testing.T) {
	runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
		startJob(c, s, "a", 3, 10*time.Minute)
		old := s.Owner("a")
		for _, d := range s.Daemons() {
			if d != old {
				d.Link("a-w0").DropRequests.Store(true)
			}
		}
		old.StoreDown.Store(true)
		s.Move("a-w0")
		awaitTakeover(c, s, "a", old, 10*time.Second)
		time.Sleep(5 * time.Second)
		link := s.Owner("a").Link("a-w0")
		link.DropRequests.Store(false)
		time.Sleep(5 * time.Second)
		link.DropRequests.Store(true)
		time.Sleep(time.Minute)
		link.DropRequests.Store(false)
		c.Assert(countStarts(s), quicktest.Equals, 3)
	})
}

// TestOwnerChangeAfterMove guards against a successor that takes the first report
// of a worker's new process for that of the process at the former address, which
// still runs the attempts.
func TestOwnerChangeAfterMove(t *testing.T) {
	runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
		startJob(c, s, "a", 3, 30*time.Second)
		owner := s.Owner("a")
		s.Move("a-w0")
		_, ok := WaitUntil(5*time.Second, func() bool {
			for _, w := range s.Report("a").Workers {
				if w.ID == "a-w0" {
					return w.Addr.Port() == 2
				}
			}
			return false
		})
		c.Assert(ok, quicktest.IsTrue)
		time.Sleep(300 * time.Millisecond)
		owner.Stop()
		awaitTakeover(c, s, "a", owner, 10*time.Second)
		awaitJob(c, s, "a", 3, 2*time.Minute)
	})
}

// TestLeavingWorkerAnswersAgain guards against new work on a leaving worker that
// was unreachable for a while.
func TestLeavingWorkerAnswersAgain(t *testing.T) {
	runSystem(t, oneDomain, func(c *quicktest.C, s *System) {
		startJob(c, s, "a", 60, 5*time.Second)
		s.Store.SetLeaving("a-w0", true)
		time.Sleep(6 * time.Second)
		link := s.Owner("a").Link("a-w0")
		before := countStartsOn(s, "a-w0")
		for range 5 {
			link.DropRequests.Store(true)
			time.Sleep(7 * time.Second)
			link.DropRequests.Store(false)
			time.Sleep(7*time.Second + 130*time.Millisecond)
		}
		c.Assert(countStartsOn(s, "a-w0"), quicktest.Equals, before)
	})
}

// TestSuccessorWithOldConfig guards against a successor that reverts what its
// predecessor did under a configuration that the successor hasn't read yet.
func TestSuccessorWithOldConfig(t *testing.T) {
	web := declarer.Service{Name: "web", Team: "team", Replicas: 2, Resources: taskSize}
	o := oneDomain
	o.Services = []declarer.Service{web}
	runSystem(t, o, func(c *quicktest.C, s *System) {
		running := func(n int) func() bool { return func() bool { return countInStates(s, "a", "running") == n } }
		_, ok := WaitUntil(20*time.Second, running(2))
		c.Assert(ok, quicktest.IsTrue)
		old := s.Owner("a")
		for _, d := range s.Daemons() {
			d.ConfigDown.Store(d != old)
		}
		_, err := old.config.Propose(s.ctx, configurer.Change{ID: "more", Operator: "emulator", Summary: "more replicas", Edit: func(c *declarer.Config) error {
			c.Services[0].Replicas = 6
			return nil
		}})
		c.Assert(err, quicktest.IsNil)
		_, ok = WaitUntil(20*time.Second, running(6))
		c.Assert(ok, quicktest.IsTrue)
		old.Stop()
		awaitTakeover(c, s, "a", old, 10*time.Second)
		time.Sleep(10 * time.Second)
		s.Owner("a").ConfigDown.Store(false)
		time.Sleep(10 * time.Second)
		c.Assert(countInStates(s, "a", "running"), quicktest.Equals, 6)
		c.Assert(countStarts(s), quicktest.Equals, 6)
	})
}

// TestRoutesOfSlowWorker guards against a routing table of a new owner that lacks
// the runners of a worker which hasn't answered yet.
func TestRoutesOfSlowWorker(t *testing.T) {
	o := oneDomain
	o.Services = []declarer.Service{{Name: "web", Team: "team", Replicas: 8, Resources: taskSize}}
	runSystem(t, o, func(c *quicktest.C, s *System) {
		awaitTakeover(c, s, "a", nil, 10*time.Second)
		old := s.Owner("a")
		_, ok := WaitUntil(20*time.Second, func() bool { return len(old.Controller.Routes("a").GetRoutes()) == 8 })
		c.Assert(ok, quicktest.IsTrue)
		for _, d := range s.Daemons() {
			d.Link("a-w0").DropRequests.Store(d != old)
		}
		old.Stop()
		awaitTakeover(c, s, "a", old, 10*time.Second)
		next := s.Owner("a")
		time.AfterFunc(800*time.Millisecond, func() { next.Link("a-w0").DropRequests.Store(false) })
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if table := next.Controller.Routes("a"); table.GetVersion() > 0 {
				c.Assert(table.GetRoutes(), quicktest.HasLen, 8)
			}
		}
		c.Assert(next.Controller.Routes("a").GetVersion() > 0, quicktest.IsTrue)
	})
}
