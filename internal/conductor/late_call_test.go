package conductor_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// heldCalls are calls to a worker that is dark. They get no answer and are carried out
// later.
type heldCalls struct {
	isDark atomic.Bool

	mu   sync.Mutex
	held map[string][]func() error
}

// hold reports whether a call is held.
func (h *heldCalls) hold(kind string, call func() error) bool {
	if !h.isDark.Load() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[kind] = append(h.held[kind], call)
	return true
}

func (h *heldCalls) count(kind string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held[kind])
}

// around returns calls to a worker that are held while it is dark.
func (h *heldCalls) around(calls conductor.WorkerCalls) conductor.WorkerCalls {
	later, noAnswer := context.Background(), errors.New("no answer")
	return conductor.WorkerCalls{
		Pace: calls.Pace,
		Start: func(ctx context.Context, w planner.Worker, o conductor.StartOrder) error {
			if h.hold("start", func() error { return calls.Start(later, w, o) }) {
				return noAnswer
			}
			return calls.Start(ctx, w, o)
		},
		Stop: func(ctx context.Context, w planner.Worker, o conductor.StopOrder) error {
			if h.hold("stop", func() error { return calls.Stop(later, w, o) }) {
				return noAnswer
			}
			return calls.Stop(ctx, w, o)
		},
		Poll: func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
			if h.hold("poll", func() error { _, err := calls.Poll(later, w, o); return err }) {
				return conductor.PollAnswer{}, noAnswer
			}
			return calls.Poll(ctx, w, o)
		},
	}
}

// TestLateCallsToEndedProcess guards against tasks that run twice because a call that was
// sent to a worker's ended process takes effect on the next one with its id: a poll renews
// leases there that the owner takes for expired, and a start runs its task again.
func TestLateCallsToEndedProcess(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	s.pool.born = 10
	h := &heldCalls{held: map[string][]func() error{}}
	calls := h.around(s.pool.calls())
	c, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, calls: &calls, maxLease: 10 * time.Second}, 1)
	defer stop()
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return s.pool.runCount() == 1 })
	h.isDark.Store(true)
	s.submitSpeculative("b")
	for _, kind := range []string{"start", "poll"} {
		s.eventually(kind+" held", testTimeout, func() bool { return h.count(kind) > 0 })
	}
	s.pool.restart(20)
	h.isDark.Store(false)
	s.listWorker(c, 20)
	s.eventually("running on the next process", testTimeout, func() bool { return s.pool.runCount() == 2 })

	h.mu.Lock()
	defer h.mu.Unlock()
	for kind, all := range h.held {
		for _, call := range all {
			var fenced *conductor.FencedError
			s.Assert(errors.As(call(), &fenced), quicktest.IsTrue, quicktest.Commentf("%s", kind))
		}
	}
	time.Sleep(200 * time.Millisecond)
	s.Assert(c.IsOwner(), quicktest.IsTrue)
	s.Assert(s.pool.runCount(), quicktest.Equals, 2)
}

// TestFencesOfSuccessorAreHigher guards against a successor whose calls a worker rejects,
// also one of the version before, which uses the number after the stored one.
func TestFencesOfSuccessorAreHigher(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	s.pool.born = 10
	last := int64(0)
	for i, job := range []string{"a", "b", "c"} {
		c, stop := s.startDaemon(uint16(i + 1))
		s.submit(job, 1)
		s.eventually("running", testTimeout, func() bool { return state(c, job) == planner.Running })
		s.Assert(s.pool.fence() > last, quicktest.IsTrue, quicktest.Commentf("%d after %d", s.pool.fence(), last))
		for range 3 {
			last = s.pool.fence()
			born := s.pool.born + 1
			s.pool.restart(born)
			s.listWorker(c, born)
			s.eventually("higher fence", testTimeout, func() bool { return s.pool.fence() > last })
		}
		last = s.pool.fence()
		entry, err := s.keeper.Store().Get(context.Background(), "th/0/head")
		s.Assert(err, quicktest.IsNil)
		var head struct {
			Epoch int64 `cbor:"epoch"`
		}
		s.Assert(marshaler.Unmarshal(entry.Value, &head), quicktest.IsNil)
		s.Assert(head.Epoch >= last, quicktest.IsTrue, quicktest.Commentf("%d is stored, %d was used", head.Epoch, last))
		stop()
	}
}
