package conductor_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestOwnerRestartsUnderSameName guards against a daemon that takes the owner's
// entry of its earlier process, with the same name and address, for its own: it
// must become the owner under a higher epoch and adopt the runs, like any other
// successor. Until then it answers no question for the earlier process.
func TestOwnerRestartsUnderSameName(t *testing.T) {
	s := newTestCluster(t, 3*time.Second)
	first, stopFirst := s.startDaemon(1)
	s.submit("a", 4)
	s.eventually("running", testTimeout, func() bool { return state(first, "a") == planner.Running })
	s.pool.mu.Lock()
	epoch := s.pool.epoch
	s.pool.mu.Unlock()
	// The process ends without giving up its entry, which stays until the lease
	// expires.
	s.keeper.SetFault(func(op, _ string) keeper.Fault {
		if op == "revoke" {
			return keeper.Fault{Before: &storeclient.RefusedError{Op: op, Status: 503}}
		}
		return keeper.Fault{}
	})
	stopFirst()
	s.keeper.SetFault(nil)
	second, stopSecond := s.startDaemon(1)
	defer stopSecond()
	time.Sleep(500 * time.Millisecond)
	s.Assert(second.IsOwner(), quicktest.IsFalse, quicktest.Commentf("the entry of the earlier process has not expired"))
	for _, kind := range []conductor.QuestionKind{conductor.AskAlive, conductor.AskState, conductor.AskCancel, conductor.AskPending} {
		_, err := second.ServeQuestion(context.Background(), conductor.Question{Kind: kind, Shard: "0", Job: "a"})
		var notOwner *conductor.NotOwnerError
		s.Assert(errors.As(err, &notOwner), quicktest.IsTrue, quicktest.Commentf("%s: %v", kind, err))
	}
	s.eventually("owner", testTimeout, second.IsOwner)
	s.eventually("done", testTimeout, func() bool { return state(second, "a") == planner.Done })
	s.checkEachStartedOnce("a", 4)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.Assert(s.pool.epoch > epoch, quicktest.IsTrue)
}
