package worker

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
)

// TestRequestForOtherProcess guards against a request that is carried out by a
// process other than the one that it is meant for, and against an epoch of
// another shard that the process takes over from such a request.
func TestRequestForOtherProcess(t *testing.T) {
	const epoch = 9
	calls := map[string]func(*Worker, dispatcher.Process) error{
		"renew": func(w *Worker, p dispatcher.Process) error {
			_, err := w.Renew(dispatcher.RenewRequest{Process: p, Epoch: epoch, SentAt: time.Now(), Lease: time.Minute, Horizons: map[declarer.Class]time.Duration{declarer.ClassBatch: time.Minute}})
			return err
		},
		"acknowledge": func(w *Worker, p dispatcher.Process) error {
			_, err := w.Renew(dispatcher.RenewRequest{Process: p, Epoch: epoch, SentAt: time.Now(), Acknowledged: []dispatcher.AttemptName{{Task: "ended", Attempt: 1}}})
			return err
		},
		"start": func(w *Worker, p dispatcher.Process) error {
			return w.Start(dispatcher.StartRequest{Process: p, Epoch: epoch, SentAt: time.Now(), ValidFor: time.Second, Task: "other", Attempt: 1, Class: declarer.ClassBatch, Lease: time.Second})
		},
		"stop": func(w *Worker, p dispatcher.Process) error {
			return w.Stop(dispatcher.AttemptRequest{Process: p, Epoch: epoch, Task: "t", Attempt: 1})
		},
		"checkpoint": func(w *Worker, p dispatcher.Process) error {
			return w.Checkpoint(dispatcher.AttemptRequest{Process: p, Epoch: epoch, Task: "t", Attempt: 1})
		},
		"throttle": func(w *Worker, p dispatcher.Process) error {
			return w.Throttle(dispatcher.AttemptRequest{Process: p, Epoch: epoch, Task: "t", Attempt: 1, Share: 0.5})
		},
	}
	ended := New(Options{ID: "w"}).Process()
	for call, f := range calls {
		for name, p := range map[string]dispatcher.Process{
			"ended process of the worker": ended,
			"process of another worker":   {Worker: "v", Incarnation: "1"},
			"any process of the worker":   {Worker: "w"},
			"no process":                  {},
		} {
			t.Run(call+" for "+name, func(t *testing.T) {
				c := quicktest.New(t)
				w := New(Options{ID: "w", Capacity: declarer.Resources{MilliCPU: 1}, TimeScale: 1})
				for _, task := range []string{"ended", "t"} {
					c.Assert(w.Start(dispatcher.StartRequest{
						Process: w.Process(), Epoch: 1, SentAt: time.Now(), ValidFor: time.Second, Task: task, Attempt: 1,
						Class: declarer.ClassBatch, RunTime: time.Hour, Lease: time.Second,
					}), quicktest.IsNil)
				}
				c.Assert(w.Stop(dispatcher.AttemptRequest{Process: w.Process(), Epoch: 1, Task: "ended", Attempt: 1}), quicktest.IsNil)
				before := *w.running["t"]
				err := f(w, p)
				var other *OtherProcessError
				c.Assert(errors.As(err, &other), quicktest.IsTrue, quicktest.Commentf("%v", err))
				c.Assert(other.Process, quicktest.Equals, w.Process())
				c.Assert(w.epoch, quicktest.Equals, uint64(1))
				c.Assert(w.ended, quicktest.HasLen, 1)
				c.Assert(w.running, quicktest.HasLen, 1)
				c.Assert(w.running["t"].leaseEnd, quicktest.Equals, before.leaseEnd)
				c.Assert(w.running["t"].speed, quicktest.Equals, before.speed)
			})
		}
	}
}

// TestStatusOfAnyProcess guards against a status request that names no process
// and is refused by the worker or answered by another one.
func TestStatusOfAnyProcess(t *testing.T) {
	c := quicktest.New(t)
	w := New(Options{ID: "w"})
	s, err := w.Renew(dispatcher.RenewRequest{Process: dispatcher.Process{Worker: "w"}, Epoch: 1, SentAt: time.Now()})
	c.Assert(err, quicktest.IsNil)
	c.Assert(s.Process, quicktest.Equals, w.Process())
	_, err = w.Renew(dispatcher.RenewRequest{Process: dispatcher.Process{Worker: "v"}, Epoch: 1, SentAt: time.Now()})
	var other *OtherProcessError
	c.Assert(errors.As(err, &other), quicktest.IsTrue)
}

// TestOwnersWithDifferentClocks guards against a start that is refused as late
// because the clock of an earlier owner was ahead.
func TestOwnersWithDifferentClocks(t *testing.T) {
	c := quicktest.New(t)
	w := New(Options{ID: "w"})
	const ahead = 10 * time.Second
	renew := func(epoch uint64, at time.Time) {
		_, err := w.Renew(dispatcher.RenewRequest{Process: w.Process(), Epoch: epoch, SentAt: at})
		c.Assert(err, quicktest.IsNil)
	}
	start := func(epoch, attempt uint64, at time.Time) error {
		return w.Start(dispatcher.StartRequest{Process: w.Process(), Epoch: epoch, SentAt: at, ValidFor: time.Second, Task: "t", Attempt: attempt, Class: declarer.ClassBatch, Lease: time.Minute})
	}
	renew(1, time.Now().Add(ahead))
	renew(2, time.Now())
	c.Assert(start(2, 1, time.Now().Add(-2*time.Second)), quicktest.ErrorMatches, ".*longer than its validity.*")
	c.Assert(start(2, 1, time.Now()), quicktest.IsNil)
}
