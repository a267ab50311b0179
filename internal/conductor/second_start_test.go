package conductor_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestStartAfterRestartedError guards against a second run of a task that starts on a worker
// just after another start there was answered by a later process, before a poll tells of that
// one: a poll that was meant for the ended process renews the lease there.
func TestStartAfterRestartedError(t *testing.T) {
	t.Parallel()
	const maxLease, late = 10 * time.Second, 9 * time.Second
	s := newTestCluster(t, time.Minute)
	s.pool.born = 10
	k := &cutCalls{pool: s.pool, other: newPool(time.Minute)}
	calls := k.calls()
	var mu sync.Mutex
	var misplaced, taken, again time.Time
	start := calls.Start
	calls.Start = func(ctx context.Context, w planner.Worker, o conductor.StartOrder) error {
		if o.Run.Job != "b" {
			return start(ctx, w, o)
		}
		mu.Lock()
		defer mu.Unlock()
		switch {
		case w.ID == "other":
			if again.IsZero() {
				again = time.Now()
			}
			return k.other.start(ctx, w, o)
		case !misplaced.IsZero() || !taken.IsZero():
			return errNoAnswer
		}
		if err := s.pool.start(ctx, w, o); err != nil {
			return err
		}
		// As the adapter to the workers does it; the next process is young.
		if !o.Clock.Contains(100 * time.Millisecond) {
			misplaced = time.Now()
			return &conductor.RestartedError{Worker: w.ID, Clock: 100 * time.Millisecond}
		}
		taken = time.Now()
		return nil
	}
	var c *conductor.Conductor
	c, end := s.startDaemonOf(testShard{name: "0", pool: s.pool, calls: &calls, maxLease: maxLease, change: func(o *conductor.Options) {
		o.Discover = func(ctx context.Context) {
			first, second := s.worker(1, 64000), s.worker(2, 64000)
			first.Born, second.Born = 10, 10
			second.ID, second.Domain = "other", "evacuated"
			c.SetWorkers(ctx, []planner.Worker{first, second}, nil)
		}
	}}, 1)
	t.Cleanup(end)
	c.SetEvacuatedDomains([]string{"evacuated"})
	s.eventually("owned", testTimeout, c.IsOwner)
	s.submit("x", 1)
	s.eventually("x runs", testTimeout, func() bool { return s.pool.runCount() == 1 })
	time.Sleep(maxLease / 2)
	k.mu.Lock()
	k.isHeld = true
	k.mu.Unlock()
	s.eventually("poll held", testTimeout, k.get(func() bool { return len(k.held) > 0 && k.held[0].Deadline > 0 }))
	s.submit("a", 1)
	s.eventually("a started", testTimeout, k.get(func() bool { return !k.started.IsZero() }))
	time.Sleep(50 * time.Millisecond)
	s.submit("b", 1)
	time.Sleep(time.Second)
	c.SetEvacuatedDomains(nil)
	mu.Lock()
	isTaken := !taken.IsZero()
	mu.Unlock()
	if !isTaken {
		// Nothing starts there, or the start is known to be on a later process.
		return
	}
	time.Sleep(late - time.Second)
	k.mu.Lock()
	o := k.held[0]
	k.mu.Unlock()
	arrived := time.Now()
	_, err := s.pool.poll(context.Background(), planner.Worker{ID: "w"}, o)
	s.Assert(err, quicktest.IsNil)
	s.eventually("b started again", maxLease+2*lateCallLimit, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !again.IsZero()
	})
	mu.Lock()
	defer mu.Unlock()
	s.Assert(again.Sub(arrived) >= maxLease, quicktest.IsTrue, quicktest.Commentf("started again %s after the late poll, %s after the start", again.Sub(arrived), again.Sub(taken)))
}
