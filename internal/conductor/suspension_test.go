package conductor_test

import (
	"sync/atomic"
	"testing"
	"time"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestSuspensionDuringStep guards against an owner that neither polls workers nor
// renews its entry for several times as long as it was suspended in a step, so that
// the leases of runs and its own expire.
func TestSuspensionDuringStep(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	var suspended, steps atomic.Int64
	var isSuspending atomic.Bool
	now := func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	c, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, maxLease: time.Hour, change: func(o *conductor.Options) {
		o.Now = now
		o.WallTime = func(t time.Time) time.Time {
			steps.Add(1)
			if isSuspending.CompareAndSwap(true, false) {
				suspended.Add(int64(time.Second))
			}
			return t
		}
	}}, 1)
	defer stop()
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return state(c, "a") == planner.Running })
	isSuspending.Store(true)
	s.eventually("suspended", time.Second, func() bool { return !isSuspending.Load() })
	before := steps.Load()
	s.eventually("next step", time.Second, func() bool { return steps.Load() > before })
}
