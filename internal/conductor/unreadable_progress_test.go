package conductor_test

import (
	"testing"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestUnreadableProgress guards against tasks that run again after they were done
// because a new owner can't decode the stored progress of their job, and takes the
// job for a new one when its watch on the jobs delivers it.
func TestUnreadableProgress(t *testing.T) {
	s := newTestCluster(t, 20*time.Millisecond)
	first, stopFirst := s.startDaemon(1)
	s.submit("a", 2)
	s.eventually("done", testTimeout, func() bool { return state(first, "a") == planner.Done })
	s.eventually("ends acknowledged", testTimeout, func() bool { return s.pool.endCount() == 0 })
	stopFirst()
	s.keeper.Put("th/0/progress/a", []byte("not a record"))
	second, stopSecond := s.startDaemon(2)
	defer stopSecond()
	s.eventually("owned", testTimeout, second.IsOwner)
	s.submit("b", 1)
	s.eventually("done", testTimeout, func() bool { return state(second, "b") == planner.Done })
	time.Sleep(200 * time.Millisecond)
	s.checkEachStartedOnce("a", 2)
}

func (p *pool) endCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ends)
}
