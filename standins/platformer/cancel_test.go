package platformer_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// TestCancelBeforeLateAcceptance guards against a job that starts after its cancellation
// was answered, because the write that accepts it takes effect later (issue 33, UNASKED).
func TestCancelBeforeLateAcceptance(t *testing.T) {
	for name, tt := range map[string]struct{ submitAt, cancelAt int }{
		"at the same instance": {0, 0},
		"at another instance":  {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const delay = 4 * time.Second
			var isLate atomic.Bool
			r := newRunRecorder()
			s := newTestPlatformWith(t, platformer.Options{
				TaskDuration: restartTaskDuration / 10, Observe: r.observe,
				TransactionDelay: func(string) time.Duration {
					if isLate.Load() {
						return delay
					}
					return 0
				},
			})
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			for _, w := range s.Workers {
				go w.Advance(stop)
			}
			instances := []*platformer.Instance{s.startInstance("edge-1"), s.startInstance("edge-2")}
			isLate.Store(true)
			status, body := s.call(instances[tt.submitAt], "POST", jobID(1), restartJob)
			isLate.Store(false)
			s.Assert(status, quicktest.Equals, fasthttp.StatusGatewayTimeout, quicktest.Commentf("%s", body))
			s.eventually("cancelled", func() bool {
				status, _ := s.call(instances[tt.cancelAt], "DELETE", jobID(1), "")
				return status == fasthttp.StatusGone
			})
			time.Sleep(delay + time.Second)
			for _, i := range instances {
				status, body := s.call(i, "GET", jobID(1), "")
				s.Assert(status, quicktest.Equals, fasthttp.StatusGone, quicktest.Commentf("%s", body))
				// A repeated submission doesn't bring the job back.
				status, body = s.call(i, "POST", jobID(1), restartJob)
				s.Assert(status, quicktest.Equals, fasthttp.StatusServiceUnavailable, quicktest.Commentf("%s", body))
			}
			starts, _ := r.summary()
			s.Assert(starts, quicktest.Equals, 0)
		})
	}
}
