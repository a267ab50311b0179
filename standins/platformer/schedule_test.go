package platformer_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// TestOccurrencesAreNotEarly guards against occurrences that start before their time,
// because its fraction of a second is lost in the store or on the way to another instance
// (issue 33, ORDER).
func TestOccurrencesAreNotEarly(t *testing.T) {
	for name, fraction := range map[string]time.Duration{
		"whole second":     0,
		"one millisecond":  time.Millisecond,
		"half a second":    500 * time.Millisecond,
		"last millisecond": 999 * time.Millisecond,
	} {
		for _, isInstanceKilled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, an instance killed: %v", name, isInstanceKilled), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				startedAt := map[string]time.Time{}
				s := newTestPlatformWith(t, platformer.Options{TaskDuration: 100 * time.Millisecond, Observe: func(e platformer.Event) {
					mu.Lock()
					defer mu.Unlock()
					if e.Kind == "start" && startedAt[e.Task].IsZero() {
						startedAt[e.Task] = time.Now()
					}
				}})
				stop := make(chan struct{})
				t.Cleanup(func() { close(stop) })
				for _, w := range s.Workers {
					go w.Advance(stop)
				}
				a := s.startInstance("edge-1")
				b := s.startInstance("edge-2")
				const times, interval = 3, 1250 * time.Millisecond
				first := time.Now().Truncate(time.Second).Add(4*time.Second + fraction)
				status, body := s.call(b, "POST", jobID(1), fmt.Sprintf(
					`{"spec":"x","phases":[{"count":2,"cpu":500,"memMb":100,"estimateMs":100}],"times":%d,"startMs":%d,"intervalMs":%d}`,
					times, first.UnixMilli(), interval.Milliseconds()))
				s.Assert(status, quicktest.Equals, fasthttp.StatusOK, quicktest.Commentf("%s", body))
				if isInstanceKilled {
					s.Assert(a.Signal(syscall.SIGKILL), quicktest.IsNil)
				}
				s.eventually("done", func() bool { return s.isDone(b, jobID(1)) })
				mu.Lock()
				defer mu.Unlock()
				s.Assert(startedAt, quicktest.HasLen, 2*times)
				for task, at := range startedAt {
					var k, index int
					_, err := fmt.Sscanf(task, jobID(1)+".%d.0.%d", &k, &index)
					s.Assert(err, quicktest.IsNil)
					due := first.Add(time.Duration(k) * interval)
					s.Check(at.Before(due), quicktest.IsFalse, quicktest.Commentf("%s started %s before its time", task, due.Sub(at)))
				}
			})
		}
	}
}
