package platformer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
	"tarragonhead.example/tarragonhead/standins/soaker"
)

const (
	heldMaxLease = 5 * time.Second
	// heldTaskDuration outlasts the test.
	heldTaskDuration = time.Minute
	// heldTasks is the number of tasks of a heldJob.
	heldTasks = 6
	heldJob   = `{"spec":"x","phases":[{"count":6,"cpu":500,"memMb":100,"estimateMs":60000}]}`
)

// TestHeldCallsRunNoTaskTwice guards against tasks that run twice at once because a call
// to the former process of a worker reaches the next one under its id, which is cut off
// by then, and renews the lease there (issue 41).
func TestHeldCallsRunNoTaskTwice(t *testing.T) {
	for name, submitsMeanwhile := range map[string]bool{"polls": false, "polls and orders": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testHeldCalls(t, submitsMeanwhile)
		})
	}
}

// testHeldCalls submits a job while the calls to the ended process are held, so that
// some of them are orders, if submitsMeanwhile is set.
func testHeldCalls(t *testing.T, submitsMeanwhile bool) {
	r := newRunRecorder()
	proxies := map[string]*soaker.Proxy{}
	s := newTestPlatformWith(t, platformer.Options{
		TaskDuration: heldTaskDuration, MaxLease: heldMaxLease, Observe: r.observe,
		ProxyAddress: func(name, address string) (string, error) {
			if strings.HasPrefix(name, "edge-") {
				return address, nil
			}
			p, err := soaker.NewProxy(address)
			if err != nil {
				return "", err
			}
			proxies[name] = p
			return p.Address(), nil
		},
	})
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		for _, p := range proxies {
			p.Close()
		}
	})
	for _, w := range s.Workers {
		go w.Advance(stop)
	}
	a := s.startInstance("edge-1")
	jobs := 0
	submit := func() {
		status, body := s.call(a, "POST", jobID(jobs), heldJob)
		s.Assert(status, quicktest.Equals, fasthttp.StatusOK, quicktest.Commentf("%s", body))
		jobs++
	}
	w := s.Workers[0]
	hasStarted := func(process int) bool {
		return r.count(func(e platformer.Event) bool {
			return e.Kind == "start" && e.Worker == w.Name() && e.Process == process
		}) > 0
	}
	submit()
	s.eventually("tasks run on the worker", func() bool { return hasStarted(1) })
	released, restarted := make(chan struct{}), make(chan error, 1)
	r.note("the process ends")
	go func() {
		restarted <- w.Restart(platformer.Restart{Downtime: 600 * time.Millisecond, KeepsID: true, Released: released})
	}()
	time.Sleep(100 * time.Millisecond)
	if submitsMeanwhile {
		submit()
	}
	s.Assert(<-restarted, quicktest.IsNil)
	r.note("the next process listens")
	s.eventually("tasks of the first job start again", func() bool {
		return r.count(func(e platformer.Event) bool {
			return e.Kind == "start" && e.Attempt > 1 && strings.HasPrefix(e.Task, jobID(0))
		}) > 0
	})
	s.eventually("tasks run on the next process", func() bool {
		submit()
		time.Sleep(200 * time.Millisecond)
		return hasStarted(2)
	})
	// The owner learns of the runs.
	time.Sleep(500 * time.Millisecond)
	r.note("the worker is cut off")
	defer proxies[w.Name()].Impair(soaker.Impairment{DropToServer: true, DropFromServer: true})()
	// The leases that the owner granted before the cut have not expired yet.
	time.Sleep(heldMaxLease * 3 / 4)
	r.note("the held calls are released")
	close(released)
	time.Sleep(heldMaxLease + time.Second)
	starts, repeated := r.summary()
	timeline := r.text()
	s.Assert(repeated, quicktest.HasLen, 0, quicktest.Commentf("%d of %d starts\n%s", len(repeated), starts, timeline))
	for call, isExpected := range map[string]bool{"/v1/hold": true, "/v1/run-start": submitsMeanwhile} {
		late := r.count(func(e platformer.Event) bool { return e.Kind == "late" && e.Call == call })
		s.Assert(late > 0, quicktest.Equals, isExpected, quicktest.Commentf("%s\n%s", call, timeline))
	}
	s.eventually("each task runs again", func() bool { return r.runningTasks() == jobs*heldTasks })
}
