package conductor_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestNewOwnerWaitsForStoredWorkers guards against a second run of a task after a
// change of owner: the task may still run on a worker that the stored list names,
// and that neither answers the new owner nor is listed any more.
func TestNewOwnerWaitsForStoredWorkers(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, time.Minute)
	first, stopFirst := s.startDaemon(1)
	s.submit("a", 2)
	s.eventually("running", testTimeout, func() bool { return state(first, "a") == planner.Running })
	stopFirst()
	other := newPool(time.Minute)
	calls := other.calls()
	poll := calls.Poll
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		if w.ID != "v" {
			return conductor.PollAnswer{}, errors.New("no answer")
		}
		return poll(ctx, w, o)
	}
	second, stopSecond := s.startDaemonOf(testShard{name: "0", workerID: "v", cpu: 64000, pool: other, calls: &calls}, 2)
	defer stopSecond()
	s.eventually("owned", testTimeout, second.IsOwner)
	// An owner may start tasks for 7 s without a proof of its ownership, and its
	// last leases last 1 s.
	time.Sleep(7 * time.Second)
	s.Assert(other.startsOf("a"), quicktest.HasLen, 0, quicktest.Commentf("started before every lease has expired"))
	s.eventually("started again", testTimeout, func() bool { return len(other.startsOf("a")) == 2 })
}
