package conductor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestJobIsDone checks the whole path of a job from the store to its
// completion.
func TestJobIsDone(t *testing.T) {
	s := newTestCluster(t, 50*time.Millisecond)
	c, stop := s.startDaemon(1)
	defer stop()
	s.submit("a", 4)
	s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
	s.checkEachStartedOnce("a", 4)
}

// TestOwnerStops guards against tasks that run again, or are lost, when the
// owner gives the shard up while they run.
func TestOwnerStops(t *testing.T) {
	s := newTestCluster(t, 400*time.Millisecond)
	first, stopFirst := s.startDaemon(1)
	s.submit("a", 4)
	s.eventually("running", testTimeout, func() bool { return state(first, "a") == planner.Running })
	second, stopSecond := s.startDaemon(2)
	defer stopSecond()
	stopFirst()
	s.eventually("done", testTimeout, func() bool { return state(second, "a") == planner.Done })
	s.checkEachStartedOnce("a", 4)
}

// TestStoreOutage guards against accepted jobs that stop during an outage of the
// store, and against a change of owner only because the owner's lease expired
// during the outage.
func TestStoreOutage(t *testing.T) {
	s := newTestCluster(t, 50*time.Millisecond)
	first, stopFirst := s.startDaemon(1)
	defer stopFirst()
	s.submit("a", 1)
	s.eventually("done", testTimeout, func() bool { return state(first, "a") == planner.Done })
	_, stopSecond := s.startDaemon(2)
	defer stopSecond()
	s.pool.mu.Lock()
	s.pool.taskDuration = 300 * time.Millisecond
	s.pool.mu.Unlock()
	s.submit("b", 2)
	s.eventually("running", testTimeout, func() bool { return state(first, "b") == planner.Running })
	s.keeper.SetFault(func(string, string) keeper.Fault {
		return keeper.Fault{Before: &storeclient.RefusedError{Op: "test", Status: 503}}
	})
	time.Sleep(2 * time.Second)
	s.Assert(state(first, "b"), quicktest.Equals, planner.Running, quicktest.Commentf("nothing can be committed"))
	// The owner reaches the store a little later than the other daemon.
	s.refuseGrants(1)
	s.keeper.SetFault(nil)
	time.Sleep(600 * time.Millisecond)
	s.refuseGrants(0)
	s.eventually("done", testTimeout, func() bool { return state(first, "b") == planner.Done })
	s.checkEachStartedOnce("b", 2)
	time.Sleep(time.Second)
	s.Assert(state(first, "b"), quicktest.Equals, planner.Done, quicktest.Commentf("the owner has changed"))
}

// TestNewDeploymentWaits guards against an instance that acquires all shards of
// a new deployment, or a weak one that acquires any, because it started first.
func TestNewDeploymentWaits(t *testing.T) {
	s := newTestCluster(t, 50*time.Millisecond)
	sh := testShard{name: "0", cpu: 64000, pool: s.pool}
	weak := sh
	weak.extraDelay = 500 * time.Millisecond
	first, stopFirst := s.startDaemonOf(weak, 1)
	defer stopFirst()
	time.Sleep(time.Second)
	second, stopSecond := s.startDaemonOf(sh, 2)
	s.eventually("owned", testTimeout, func() bool { return first.IsOwner() || second.IsOwner() })
	s.Assert(second.IsOwner(), quicktest.IsTrue)
	// A shard that has had an owner is acquired without the longer delay of a
	// new deployment.
	began := time.Now()
	stopSecond()
	s.eventually("owned again", testTimeout, first.IsOwner)
	s.Assert(time.Since(began) < 2*time.Second, quicktest.IsTrue)
}

// TestOwnerReacquiresDuringCommit guards against an owner that commits nothing
// any more because it lost the shard during a commit and then acquired it
// again. Found by the soak (seeds 30 and 47).
func TestOwnerReacquiresDuringCommit(t *testing.T) {
	s := newTestCluster(t, 50*time.Millisecond)
	c, stop := s.startDaemon(1)
	defer stop()
	s.submit("a", 1)
	s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
	hold := func(held chan struct{}) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.heldUntil = held
	}
	held := make(chan struct{})
	hold(held)
	s.submit("b", 1)
	s.eventually("ended, not committed", testTimeout, func() bool { return len(s.pool.startsOf("b")) == 1 })
	time.Sleep(200 * time.Millisecond)
	head, err := s.keeper.Store().Get(context.Background(), "th/0/head")
	s.Assert(err, quicktest.IsNil)
	s.keeper.Put("th/0/head", head.Value)
	s.eventually("lost", testTimeout, func() bool { return !c.IsOwner() })
	hold(nil)
	s.eventually("owner again", testTimeout, c.IsOwner)
	close(held)
	s.eventually("done", testTimeout, func() bool { return state(c, "b") == planner.Done })
}

// TestLostAnswers guards against commits that are applied without an answer and
// then make all later commits fail.
func TestLostAnswers(t *testing.T) {
	s := newTestCluster(t, 20*time.Millisecond)
	c, stop := s.startDaemon(1)
	defer stop()
	s.submit("a", 1)
	s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
	n := 0
	s.keeper.SetFault(func(op, _ string) keeper.Fault {
		if n++; op == "transact" && n%2 == 0 {
			return keeper.Fault{After: &storeclient.UnavailableError{Op: op, MayHaveApplied: true, Err: errors.New("lost")}}
		}
		return keeper.Fault{}
	})
	for i := range 5 {
		id := fmt.Sprint("b", i)
		s.putJob(id)
		s.eventually("done", testTimeout, func() bool { return state(c, id) == planner.Done })
		s.checkEachStartedOnce(id, 2)
	}
}

// TestUnansweredStart guards against a second run of a task whose start was not
// answered, while the worker refuses the stop because it is unhealthy.
func TestUnansweredStart(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 50*time.Millisecond)
	isLost, refuse := false, true
	s.pool.intercept = func(kind string) error {
		switch {
		case kind == "start" && !isLost:
			isLost = true
			return errors.New("no answer")
		case kind == "stop" && refuse:
			return &conductor.RefusedError{Reason: "unhealthy", IsUnhealthy: true}
		}
		return nil
	}
	c, stop := s.startDaemon(1)
	defer stop()
	s.submit("a", 1)
	time.Sleep(1500 * time.Millisecond)
	s.Assert(s.pool.startsOf("a"), quicktest.HasLen, 0, quicktest.Commentf("started again though the first start may still be carried out"))
	s.pool.mu.Lock()
	refuse = false
	s.pool.mu.Unlock()
	s.eventually("done", planner.LateCallLimit+testTimeout, func() bool { return state(c, "a") == planner.Done })
	s.checkEachStartedOnce("a", 1)
}

// TestCancel guards against a cancellation that is answered before it is stored.
func TestCancel(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	c, stop := s.startDaemon(1)
	defer stop()
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return state(c, "a") == planner.Running })
	s.keeper.SetFault(func(op, _ string) keeper.Fault {
		if op == "transact" {
			return keeper.Fault{Before: &storeclient.RefusedError{Op: op, Status: 503}}
		}
		return keeper.Fault{}
	})
	short, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := c.Cancel(short, "a")
	s.Assert(err, quicktest.IsNotNil)
	s.keeper.SetFault(nil)
	ctx, cancelAll := context.WithTimeout(context.Background(), testTimeout)
	defer cancelAll()
	a, err := c.Cancel(ctx, "a")
	s.Assert(err, quicktest.IsNil)
	s.Assert(a, quicktest.Equals, conductor.Answer{State: planner.Cancelled, Known: true})
	unknown, err := c.Cancel(ctx, "b")
	s.Assert(err, quicktest.IsNil)
	s.Assert(unknown.Known, quicktest.IsFalse)
}

// TestStoppedDaemonAnswers guards against clients of a stopping daemon that
// wait for its control goroutine, which has ended.
func TestStoppedDaemonAnswers(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	c, stop := s.startDaemon(1)
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return state(c, "a") == planner.Running })
	stop()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := c.JobState(ctx, "a")
	var other *conductor.NotOwnerError
	s.Assert(errors.As(err, &other), quicktest.IsTrue)
	s.Assert(time.Since(began) < time.Second, quicktest.IsTrue)
}
