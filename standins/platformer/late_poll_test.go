package platformer_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// TestTaskOutlivesLeaseOfLatePoll guards against a task that runs twice because a poll
// for the ended process of a worker renewed the lease on the next one of its id.
func TestTaskOutlivesLeaseOfLatePoll(t *testing.T) {
	t.Parallel()
	const (
		maxLease = 4 * time.Second
		job      = `{"spec":"x","phases":[{"count":6,"cpu":500,"memMb":100,"estimateMs":20000}]}`
	)
	// callDelay is that of the calls to the restarted worker.
	var callDelay atomic.Int64
	r := newRunRecorder()
	started := make(chan struct{}, 6)
	s := newTestPlatformWith(t, platformer.Options{
		TaskDuration: 20 * time.Second, MaxLease: maxLease, OrderSilence: 2 * time.Second,
		OrderDelay: func(worker string) time.Duration {
			if worker == "i-0" {
				return time.Duration(callDelay.Load())
			}
			return 0
		},
		Observe: func(e platformer.Event) {
			r.observe(e)
			if e.Worker == "i-0" && e.Process == 2 && e.Kind == "start" {
				started <- struct{}{}
			}
		},
	})
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	for _, w := range s.Workers {
		go w.Advance(stop)
	}
	a := s.startInstance("edge-1")
	status, body := s.call(a, "POST", jobID(1), job)
	s.Assert(status, quicktest.Equals, fasthttp.StatusOK, quicktest.Commentf("%s", body))
	// The deadline of a late poll is further ahead on the next process's clock.
	time.Sleep(5 * time.Second)
	callDelay.Store(int64(5500 * time.Millisecond))
	time.Sleep(800 * time.Millisecond)
	s.Assert(s.Workers[0].Restart(platformer.Restart{Downtime: 100 * time.Millisecond, KeepsID: true}), quicktest.IsNil)
	callDelay.Store(0)
	// By then the next process has answered a poll.
	time.Sleep(2 * time.Second)
	status, body = s.call(a, "POST", jobID(2), job)
	s.Assert(status, quicktest.Equals, fasthttp.StatusOK, quicktest.Commentf("%s", body))
	select {
	case <-started:
	case <-time.After(5 * time.Second):
		s.Fatal("no task starts on the next process")
	}
	// The late polls take effect before the lease ends that the owner knows of.
	callDelay.Store(int64(platformer.Lost))
	time.Sleep(3 * maxLease)
	_, repeated := r.summary()
	s.Assert(repeated, quicktest.HasLen, 0)
}
