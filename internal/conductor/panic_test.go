package conductor_test

import (
	"sync/atomic"
	"testing"
	"time"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestPanicGivesShardUp guards against an unexpected error in the state of one shard that
// ends the whole process, and against work that is lost or runs twice then.
func TestPanicGivesShardUp(t *testing.T) {
	s := newTestCluster(t, 3*time.Second)
	var isOdd atomic.Bool
	c, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, change: func(o *conductor.Options) {
		o.WallTime = func(t time.Time) time.Time {
			if isOdd.CompareAndSwap(true, false) {
				panic("an odd record")
			}
			return t
		}
	}}, 1)
	defer stop()
	s.submit("a", 3)
	s.eventually("running", testTimeout, func() bool { return state(c, "a") == planner.Running })
	time.Sleep(200 * time.Millisecond)
	isOdd.Store(true)
	s.eventually("given up", testTimeout, func() bool { return !c.IsOwner() })
	s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
	s.checkEachStartedOnce("a", 3)
}
