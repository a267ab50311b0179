package platformer_test

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// TestLateStartOfPredecessorRunsTaskTwice guards against a task that runs twice because a
// start that the predecessor sent to the ended process of a worker takes effect on the
// next one, after the successor has dropped the worker.
func TestLateStartOfPredecessorRunsTaskTwice(t *testing.T) {
	t.Parallel()
	// callDelay is that of the calls to the restarted worker.
	var callDelay atomic.Int64
	r := newRunRecorder()
	s := newTestPlatformWith(t, platformer.Options{
		TaskDuration: 20 * time.Second, MaxLease: 4 * time.Second, OrderSilence: 2 * time.Second,
		OrderDelay: func(worker string) time.Duration {
			if worker == "i-0" {
				return time.Duration(callDelay.Load())
			}
			return 0
		},
		Observe: r.observe,
	})
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	for _, w := range s.Workers {
		go w.Advance(stop)
	}
	owner, successor := s.startInstance("edge-1"), s.startInstance("edge-2")
	// The deadline of a late start is further ahead on the next process's clock.
	time.Sleep(12 * time.Second)
	callDelay.Store(int64(11500 * time.Millisecond))
	status, body := s.call(successor, "POST", jobID(1), `{"spec":"x","phases":[{"count":6,"cpu":500,"memMb":100,"estimateMs":20000}]}`)
	s.Assert(status, quicktest.Equals, fasthttp.StatusOK, quicktest.Commentf("%s", body))
	time.Sleep(300 * time.Millisecond)
	s.Assert(s.Workers[0].Restart(platformer.Restart{Downtime: 100 * time.Millisecond, KeepsID: true}), quicktest.IsNil)
	callDelay.Store(int64(platformer.Lost))
	s.Assert(owner.Signal(syscall.SIGKILL), quicktest.IsNil)
	time.Sleep(14 * time.Second)
	starts, repeated := r.summary()
	s.Assert(repeated, quicktest.HasLen, 0)
	s.Assert(starts > 0, quicktest.IsTrue)
}
