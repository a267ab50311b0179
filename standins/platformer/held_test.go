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
	// heldTasks is the number of tasks of a heldJob.
	heldTasks = 6
	heldJob   = `{"spec":"x","phases":[{"count":6,"cpu":500,"memMb":100,"estimateMs":2000}]}`
)

// heldPlatform is a platform with an instance, on which a worker starts again under its
// id, while calls to it are held, and is then cut off.
type heldPlatform struct {
	*testPlatform
	*runRecorder
	proxies  map[string]*soaker.Proxy
	instance *platformer.Instance
	// worker is the worker that starts again.
	worker   *platformer.Worker
	jobs     int
	released chan struct{}
}

func newHeldPlatform(t *testing.T, taskDuration time.Duration) *heldPlatform {
	h := &heldPlatform{runRecorder: newRunRecorder(), proxies: map[string]*soaker.Proxy{}, released: make(chan struct{})}
	h.testPlatform = newTestPlatformWith(t, platformer.Options{
		TaskDuration: taskDuration, MaxLease: heldMaxLease, Observe: h.observe,
		ProxyAddress: func(name, address string) (string, error) {
			if strings.HasPrefix(name, "edge-") {
				return address, nil
			}
			p, err := soaker.NewProxy(address)
			if err != nil {
				return "", err
			}
			h.proxies[name] = p
			return p.Address(), nil
		},
	})
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		for _, p := range h.proxies {
			p.Close()
		}
	})
	for _, w := range h.Workers {
		go w.Advance(stop)
	}
	h.worker, h.instance = h.Workers[0], h.startInstance("edge-1")
	return h
}

// submit submits a job, again if its outcome is unknown.
func (h *heldPlatform) submit() {
	h.eventually("accepted", func() bool {
		status, body := h.call(h.instance, "POST", jobID(h.jobs), heldJob)
		h.Assert(status == fasthttp.StatusOK || status == fasthttp.StatusGatewayTimeout, quicktest.IsTrue, quicktest.Commentf("%d %s", status, body))
		return status == fasthttp.StatusOK
	})
	h.jobs++
}

// submitUntil submits jobs until f returns true.
func (h *heldPlatform) submitUntil(what string, f func() bool) {
	h.Helper()
	h.eventually(what, func() bool {
		h.submit()
		time.Sleep(200 * time.Millisecond)
		return f()
	})
}

// countOn returns the number of events of one kind on a process of the worker.
func (h *heldPlatform) countOn(process int, kind string) int {
	return h.count(func(e platformer.Event) bool {
		return e.Kind == kind && e.Worker == h.worker.Name() && e.Process == process
	})
}

// lateCalls returns the number of calls to a path that reached a later process.
func (h *heldPlatform) lateCalls(path string) int {
	return h.count(func(e platformer.Event) bool { return e.Kind == "late" && e.Call == path })
}

// restartHeld starts the worker again and returns when the owner knows that the former
// process has ended and tasks run on the next one. It calls meanwhile while calls to
// the former process are held.
func (h *heldPlatform) restartHeld(meanwhile func()) {
	restarted := make(chan error, 1)
	h.note("the process ends")
	go func() {
		restarted <- h.worker.Restart(platformer.Restart{Downtime: 600 * time.Millisecond, KeepsID: true, Released: h.released})
	}()
	time.Sleep(100 * time.Millisecond)
	meanwhile()
	h.Assert(<-restarted, quicktest.IsNil)
	h.note("the next process listens")
	h.eventually("tasks of the former process start again", func() bool {
		return h.count(func(e platformer.Event) bool { return e.Kind == "start" && e.Attempt > 1 }) > 0
	})
	h.submitUntil("tasks run on the next process", func() bool { return h.countOn(2, "start") > 0 })
}

// cutAndRelease cuts the worker off, releases the held calls before the leases that the
// owner granted have expired, and returns when every lease has expired.
func (h *heldPlatform) cutAndRelease() {
	h.note("the worker is cut off")
	h.proxies[h.worker.Name()].Impair(soaker.Impairment{DropToServer: true, DropFromServer: true})
	time.Sleep(heldMaxLease * 3 / 4)
	h.note("the held calls are released")
	close(h.released)
	time.Sleep(heldMaxLease + time.Second)
}

func (h *heldPlatform) assertNoneTwice() {
	h.Helper()
	starts, repeated := h.summary()
	h.Assert(repeated, quicktest.HasLen, 0, quicktest.Commentf("%d of %d starts\n%s", len(repeated), starts, h.text()))
	h.Assert(h.lateCalls("/v1/hold") > 0, quicktest.IsTrue, quicktest.Commentf("%s", h.text()))
}

// TestHeldCallsRunNoTaskTwice guards against tasks that run twice at once because a call
// to the former process of a worker reaches the next one under its id, which is cut off
// by then, and renews the lease there (issue 41).
func TestHeldCallsRunNoTaskTwice(t *testing.T) {
	t.Parallel()
	for name, submitsMeanwhile := range map[string]bool{"polls": false, "polls and orders": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The tasks outlast the test.
			h := newHeldPlatform(t, time.Minute)
			h.submitUntil("tasks run on the worker", func() bool { return h.countOn(1, "start") > 0 })
			h.restartHeld(func() {
				if submitsMeanwhile {
					h.submit()
				}
			})
			// The owner learns of the runs.
			time.Sleep(500 * time.Millisecond)
			h.cutAndRelease()
			h.assertNoneTwice()
			h.Assert(h.lateCalls("/v1/run-start") > 0, quicktest.Equals, submitsMeanwhile, quicktest.Commentf("%s", h.text()))
			h.eventually("each task runs again", func() bool { return h.runningTasks() == h.jobs*heldTasks })
		})
	}
}

// TestHeldAcknowledgementRunsNoTaskTwice guards against tasks that run again after a poll
// to the former process of a worker has acknowledged their ends on the next one under its
// id, where no owner has read them (issue 41).
func TestHeldAcknowledgementRunsNoTaskTwice(t *testing.T) {
	t.Parallel()
	h := newHeldPlatform(t, 1500*time.Millisecond)
	h.submitUntil("ends are acknowledged", func() bool { return h.countOn(1, "noted") >= heldTasks })
	h.restartHeld(func() {})
	h.cutAndRelease()
	h.assertNoneTwice()
	for n := range h.jobs {
		h.eventually("done", func() bool { return h.isDone(h.instance, jobID(n)) })
	}
}
