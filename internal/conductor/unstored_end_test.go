package conductor_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestUnstoredEndSurvivesOwner guards against a second run of a task whose end the
// last owner had read and not stored, on a worker with no other run (issue 36).
func TestUnstoredEndSurvivesOwner(t *testing.T) {
	for name, tt := range map[string]unstoredEnd{
		"worker listed":                          {wait: 300 * time.Millisecond},
		"worker drains":                          {isDraining: true, wait: 300 * time.Millisecond},
		"worker drains, progress comes late":     {isDraining: true, isLate: true, wait: 300 * time.Millisecond},
		"worker is silent":                       {isSilent: true, wait: 2500 * time.Millisecond},
		"worker is silent, progress comes late":  {isSilent: true, isLate: true, wait: 2500 * time.Millisecond},
		"worker is missing":                      {isMissing: true, wait: 5 * time.Second},
		"worker is missing, progress comes late": {isMissing: true, isLate: true, wait: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tt.check(t)
		})
	}
}

// unstoredEnd says what happens between the end of a run and that of its owner, which
// comes after wait. The store gives transactions of progress no answer, and carries
// them out after the takeover if isLate is set, else never.
type unstoredEnd struct {
	isDraining, isSilent, isMissing, isLate bool
	wait                                    time.Duration
}

func (e unstoredEnd) check(t *testing.T) {
	s := newTestCluster(t, 50*time.Millisecond)
	lost := errors.New("no answer")
	var isRead, isKilled atomic.Bool
	takenOver := make(chan struct{})
	calls := s.pool.calls()
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		if isKilled.Load() || e.isSilent && isRead.Load() {
			return conductor.PollAnswer{}, lost
		}
		a, err := s.pool.poll(ctx, w, o)
		isRead.Store(isRead.Load() || len(a.Ended) > 0)
		return a, err
	}
	first, stopFirst := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, calls: &calls, maxLease: testTimeout, change: func(o *conductor.Options) {
		transact, revoke := o.Store.Transact, o.Store.Revoke
		o.Store.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
			isProgress := slices.ContainsFunc(t.Writes, func(w storeclient.Write) bool { return strings.HasPrefix(w.Key, "th/0/progress/") })
			switch {
			case !isProgress && !isKilled.Load():
				return transact(ctx, t)
			case e.isLate && !isKilled.Load():
				go func() {
					<-takenOver
					_, _ = transact(context.Background(), t)
				}()
			}
			return 0, &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true, Err: lost}
		}
		o.Store.Revoke = func(ctx context.Context, id storeclient.LeaseID) error {
			if isKilled.Load() {
				return &storeclient.UnavailableError{Op: "revoke", Err: lost}
			}
			return revoke(ctx, id)
		}
	}}, 1)
	s.eventually("owned", testTimeout, first.IsOwner)
	s.submit("a", 1)
	w := s.worker(1, 64000)
	s.eventually("running", testTimeout, func() bool { return s.pool.runCount() == 1 })
	if w.Draining = e.isDraining; e.isDraining {
		w.Remaining = testTimeout
		first.SetWorkers(context.Background(), []planner.Worker{w}, nil)
	}
	s.eventually("end read", testTimeout, isRead.Load)
	if e.isMissing {
		first.SetWorkers(context.Background(), nil, []string{w.ID})
	}
	time.Sleep(e.wait)
	isKilled.Store(true)
	stopFirst()
	_, err := s.keeper.Store().Get(context.Background(), "th/0/progress/a")
	var missing *storeclient.NotFoundError
	s.Assert(errors.As(err, &missing), quicktest.IsTrue, quicktest.Commentf("%v", err))

	// The worker of the first run answers, and is listed, a second after the takeover.
	other := newPool(s.pool.taskDuration)
	var isBack atomic.Bool
	calls = other.calls()
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		switch {
		case w.ID != "w":
			return other.poll(ctx, w, o)
		case !isBack.Load():
			return conductor.PollAnswer{}, lost
		default:
			return s.pool.poll(ctx, w, o)
		}
	}
	second, stopSecond := s.startDaemonOf(testShard{name: "0", workerID: "v", cpu: 64000, pool: other, calls: &calls, maxLease: testTimeout}, 2)
	defer stopSecond()
	s.eventually("owned", testTimeout, second.IsOwner)
	close(takenOver)
	time.AfterFunc(time.Second, func() {
		isBack.Store(true)
		second.SetWorkers(context.Background(), []planner.Worker{w}, nil)
	})
	s.eventually("done", testTimeout, func() bool { return state(second, "a") == planner.Done })
	s.Assert(other.startsOf("a"), quicktest.HasLen, 0, quicktest.Commentf("started again"))
	s.checkEachStartedOnce("a", 1)
}
