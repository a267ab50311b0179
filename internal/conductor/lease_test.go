package conductor_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestWorkersGoneWithOwner guards against tasks that wait for a lease and the
// whole horizon when their worker and the owner are lost at the same time.
func TestWorkersGoneWithOwner(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	lost := testShard{name: "0", cpu: 64000, pool: s.pool, maxLease: 10 * time.Second}
	first, stopFirst := s.startDaemonOf(lost, 1)
	s.submit("a", 2)
	s.eventually("running", testTimeout, func() bool { return state(first, "a") == planner.Running })
	stopFirst()

	other := testShard{name: "0", cpu: 64000, pool: newPool(time.Minute), maxLease: 10 * time.Second, workerID: "other"}
	calls := other.pool.calls()
	poll := calls.Poll
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		if w.ID != "other" {
			return conductor.PollAnswer{}, errors.New("no answer")
		}
		return poll(ctx, w, o)
	}
	other.calls = &calls
	second, stopSecond := s.startDaemonOf(other, 2)
	defer stopSecond()
	s.eventually("owned", testTimeout, second.IsOwner)
	// The leases of the first owner end 8 s after its last proof of ownership.
	time.Sleep(8 * time.Second)
	s.Assert(other.pool.startsOf("a"), quicktest.HasLen, 0, quicktest.Commentf("started before every lease has expired"))
	s.eventually("started again", time.Second, func() bool { return len(other.pool.startsOf("a")) == 2 })
}

// TestLeasesEndWithProof guards against leases of an owner without the store that
// a successor takes for expired.
func TestLeasesEndWithProof(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	shard := testShard{name: "0", cpu: 64000, pool: s.pool, maxLease: 10 * time.Second}
	calls := s.pool.calls()
	var mu sync.Mutex
	var answered, leaseEnd time.Time
	poll := calls.Poll
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		mu.Lock()
		if o.Deadline > 0 {
			// Each answer of the pool has the same clock.
			if end := answered.Add(o.Deadline - poolClock); end.After(leaseEnd) {
				leaseEnd = end
			}
		}
		mu.Unlock()
		a, err := poll(ctx, w, o)
		mu.Lock()
		defer mu.Unlock()
		answered = time.Now()
		return a, err
	}
	shard.calls = &calls
	c, stop := s.startDaemonOf(shard, 1)
	defer stop()
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return state(c, "a") == planner.Running })
	time.Sleep(time.Second)
	s.keeper.SetFault(func(string, string) keeper.Fault {
		return keeper.Fault{Before: &storeclient.RefusedError{Op: "test", Status: 503}}
	})
	lost := time.Now()
	time.Sleep(8 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	s.Assert(leaseEnd.Sub(lost) > 6*time.Second, quicktest.IsTrue, quicktest.Commentf("the last lease ends after %s", leaseEnd.Sub(lost)))
	s.Assert(leaseEnd.Sub(lost) <= 8*time.Second, quicktest.IsTrue, quicktest.Commentf("the last lease ends after %s", leaseEnd.Sub(lost)))
}

// TestLeasesOfLeavingWorker guards against tasks of a worker that has announced its end
// and is gone, which wait until a lease of the full length has expired, and against leases
// that are short while the worker is certain to stay.
func TestLeasesOfLeavingWorker(t *testing.T) {
	const maxLease, remaining = 6 * time.Second, 2 * time.Second
	s := newTestCluster(t, time.Minute)
	var mu sync.Mutex
	var longest, last time.Duration
	calls := s.pool.calls()
	poll := calls.Poll
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		mu.Lock()
		if o.Deadline > 0 {
			last = o.Deadline - poolClock
			longest = max(longest, last)
		}
		mu.Unlock()
		return poll(ctx, w, o)
	}
	c, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, calls: &calls, maxLease: maxLease}, 1)
	defer stop()
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return state(c, "a") == planner.Running })
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	s.Assert(longest > maxLease-time.Second, quicktest.IsTrue, quicktest.Commentf("%s", longest))
	mu.Unlock()
	w := s.worker(1, 64000)
	w.Draining, w.Remaining = true, remaining
	c.SetWorkers(context.Background(), []planner.Worker{w}, nil)
	time.Sleep(remaining)
	mu.Lock()
	defer mu.Unlock()
	s.Assert(last > 2*time.Second && last < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", last))
}
