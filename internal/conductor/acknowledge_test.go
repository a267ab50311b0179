package conductor_test

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestLateAcknowledgement guards against a poll that acknowledges ends long after
// the answer that listed them, because the daemon was suspended during the plan: a
// new process with the worker's id would forget ends of its own.
func TestLateAcknowledgement(t *testing.T) {
	var isCommitted atomic.Bool
	checkAcknowledgements(t, func() { isCommitted.Store(true) }, func() time.Duration {
		if isCommitted.CompareAndSwap(true, false) {
			return time.Second
		}
		return 0
	})
}

// TestSlowDaemonAcknowledges guards against ends that a daemon never acknowledges
// because each of its plans takes longer than ends may be acknowledged after the
// answer that listed them.
func TestSlowDaemonAcknowledges(t *testing.T) {
	checkAcknowledgements(t, func() {}, func() time.Duration { return 200 * time.Millisecond })
}

// checkAcknowledgements checks that the ends of a job are acknowledged, each soon
// after an answer of their worker. planTime returns how long the next plan takes on
// the daemon's clock, and committed is called after each commit of progress.
func checkAcknowledgements(t *testing.T, committed func(), planTime func() time.Duration) {
	const limit = 150 * time.Millisecond
	s := newTestCluster(t, 20*time.Millisecond)
	var passed, answeredAt, latest atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }
	calls := s.pool.calls()
	poll := calls.Poll
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		if o.Acknowledge > 0 {
			latest.Store(max(latest.Load(), now().UnixNano()-answeredAt.Load()))
		}
		a, err := poll(ctx, w, o)
		answeredAt.Store(now().UnixNano())
		return a, err
	}
	store := s.store(1)
	transact := store.Transact
	store.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
		revision, err := transact(ctx, t)
		if err == nil && strings.Contains(t.Writes[0].Key, "/progress/") {
			committed()
		}
		return revision, err
	}
	var c *conductor.Conductor
	c, err := conductor.New(conductor.Options{
		Shard: "0", Self: "daemon", Address: localAddress(1), Store: store, Workers: calls,
		Discover: func(ctx context.Context) { c.SetWorkers(ctx, []planner.Worker{s.worker(1, 64000)}, nil) },
		Limits:   conductor.Limits{MaxLease: time.Hour, ViolationLimit: time.Hour, StateRetention: time.Hour},
		Log:      &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Registry: prometheus.NewRegistry(), Now: now,
		WallTime: func(t time.Time) time.Time {
			passed.Add(int64(planTime()))
			return t
		},
	})
	s.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	go conductor.Follow(ctx, store, now, []*conductor.Conductor{c})
	c.SetConfig(planner.Config{})
	s.submit("a", 4)
	s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
	s.eventually("acknowledged", testTimeout, func() bool { return s.pool.endCount() == 0 })
	s.Assert(latest.Load() > 0, quicktest.IsTrue)
	s.Assert(time.Duration(latest.Load()) <= limit, quicktest.IsTrue, quicktest.Commentf("acknowledged %s after the answer", time.Duration(latest.Load())))
}

// TestAcknowledgementNeedsAnsweredCommit guards against a task that runs again under the
// next owner, because its end was acknowledged on a commit that had no answer.
func TestAcknowledgementNeedsAnsweredCommit(t *testing.T) {
	lost := &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true}
	for name, fault := range map[string]keeper.Fault{"not applied": {Before: lost}, "applied": {After: lost}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 20*time.Millisecond)
			s.keeper.SetFault(func(op, key string) keeper.Fault {
				if op == "transact" && strings.HasPrefix(key, "th/0/progress/") {
					return fault
				}
				return keeper.Fault{}
			})
			_, stop := s.startDaemon(1)
			defer stop()
			s.submit("a", 2)
			s.eventually("ended", testTimeout, func() bool { return s.pool.endCount() == 2 })
			time.Sleep(1500 * time.Millisecond)
			s.Assert(s.pool.endCount(), quicktest.Equals, 2)
			s.keeper.SetFault(nil)
			s.eventually("acknowledged", testTimeout, func() bool { return s.pool.endCount() == 0 })
		})
	}
}
