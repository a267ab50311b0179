package platformer_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// TestDeadlyTask guards against a task that crashes worker after worker, with real
// processes: its job fails, and the jobs beside it are done.
func TestDeadlyTask(t *testing.T) {
	const deadlyTask = "00000000000000dd.0.0.2"
	for name, restart := range map[string]platformer.Restart{
		"workers with new ids":  {Downtime: time.Second},
		"workers keep their id": {Downtime: 500 * time.Millisecond, KeepsID: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var s *testPlatform
			starts := 0
			var restarts sync.WaitGroup
			s = newTestPlatformWith(t, platformer.Options{TaskDuration: 300 * time.Millisecond, Observe: func(e platformer.Event) {
				if e.Kind != "start" || !strings.HasPrefix(e.Task, deadlyTask) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				starts++
				for _, w := range s.Workers {
					if w.Name() == e.Worker {
						restarts.Go(func() { _ = w.Restart(restart) })
					}
				}
			}})
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			for _, w := range s.Workers {
				go w.Advance(stop)
			}
			a := s.startInstance("edge-1")
			status, body := s.call(a, "POST", "00000000000000dd", restartJob)
			s.Assert(status/100, quicktest.Equals, 2, quicktest.Commentf("%s", body))
			for n := range 8 {
				status, body = s.call(a, "POST", jobID(n), restartJob)
				s.Assert(status/100, quicktest.Equals, 2, quicktest.Commentf("%s", body))
				time.Sleep(200 * time.Millisecond)
			}
			s.eventually("failed", func() bool {
				_, body := s.call(a, "GET", "00000000000000dd", "")
				return strings.Contains(body, "failed")
			})
			for n := range 8 {
				s.eventually("done", func() bool { return s.isDone(a, jobID(n)) })
			}
			restarts.Wait()
			mu.Lock()
			defer mu.Unlock()
			s.Assert(starts <= 5, quicktest.IsTrue, quicktest.Commentf("%d starts", starts))
			t.Logf("%d starts", starts)
		})
	}
}
