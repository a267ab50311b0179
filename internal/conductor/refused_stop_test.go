package conductor_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestRefusedStop guards against a second run of a task whose first start was not
// answered, when the worker refuses the stop. The worker has done nothing then,
// so it may still carry out the first start.
func TestRefusedStop(t *testing.T) {
	for name, refusal := range map[string]conductor.RefusedError{
		"conflict":          {Reason: "room"},
		"lower attempt":     {Reason: "old"},
		"malformed":         {Reason: "status 400"},
		"unhealthy":         {Reason: "status 503", IsUnhealthy: true},
		"too many requests": {Reason: "status 429", IsUnhealthy: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestCluster(t, 50*time.Millisecond)
			isLost, isRefusing := false, true
			s.pool.intercept = func(kind string) error {
				switch {
				case kind == "start" && !isLost:
					isLost = true
					return errors.New("no answer")
				case kind == "stop" && isRefusing:
					return &refusal
				}
				return nil
			}
			c, stop := s.startDaemon(1)
			defer stop()
			s.submitSpeculative("a")
			time.Sleep(1500 * time.Millisecond)
			s.Assert(s.pool.startsOf("a"), quicktest.HasLen, 0, quicktest.Commentf("started again though the first start may still be carried out"))
			s.pool.mu.Lock()
			isRefusing = false
			s.pool.mu.Unlock()
			s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
			s.checkEachStartedOnce("a", 1)
		})
	}
}

// TestFencedStop guards against a second run of a task whose first start was not
// answered, when the worker has seen a higher epoch: the task may start again only
// under an epoch with which the worker refuses the first start.
func TestFencedStop(t *testing.T) {
	s := newTestCluster(t, 50*time.Millisecond)
	isLost, isFenced := false, false
	var lostEpoch int64
	s.pool.intercept = func(kind string) error {
		switch {
		case kind == "start" && !isLost:
			isLost, lostEpoch = true, s.pool.epoch
			return errors.New("no answer")
		case kind == "stop" && !isFenced:
			isFenced = true
			return &conductor.FencedError{Worker: "w"}
		}
		return nil
	}
	c, stop := s.startDaemon(1)
	defer stop()
	s.submitSpeculative("a")
	s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
	s.checkEachStartedOnce("a", 1)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.Assert(isFenced, quicktest.IsTrue)
	s.Assert(s.pool.epoch > lostEpoch, quicktest.IsTrue, quicktest.Commentf("the worker would carry the first start out"))
}
