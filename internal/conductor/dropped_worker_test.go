package conductor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestWorkerIsUsedAfterItWasDropped guards against a listed worker that a new owner couldn't
// reach until every lease had expired, and doesn't use once it answers.
func TestWorkerIsUsedAfterItWasDropped(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 50*time.Millisecond)
	first, stopFirst := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool}, 1)
	s.eventually("owned", testTimeout, first.IsOwner)
	s.submit("a", 1)
	s.eventually("done", testTimeout, func() bool { return state(first, "a") == planner.Done })
	stopFirst()

	var isBack atomic.Bool
	calls := s.pool.calls()
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		if !isBack.Load() {
			return conductor.PollAnswer{}, errors.New("no answer")
		}
		return s.pool.poll(ctx, w, o)
	}
	second, stopSecond := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, calls: &calls}, 1)
	defer stopSecond()
	s.eventually("owned", testTimeout, second.IsOwner)
	s.submit("b", 1)
	time.Sleep(10 * time.Second)
	isBack.Store(true)
	s.eventually("done", 2*time.Second, func() bool { return state(second, "b") == planner.Done })
	s.Assert(s.pool.startsOf("a"), quicktest.HasLen, 1)
}
