package emulator

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
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
