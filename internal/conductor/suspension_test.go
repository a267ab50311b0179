package conductor_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestSuspensionDuringStep guards against an owner that neither polls workers nor
// renews its entry for several times as long as it was suspended in a step, so that
// the leases of runs and its own expire.
func TestSuspensionDuringStep(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	var suspended, steps atomic.Int64
	var isSuspending atomic.Bool
	now := func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	var c *conductor.Conductor
	c, err := conductor.New(conductor.Options{
		Shard: "0", Self: "daemon", Address: localAddress(1), Store: s.store(1), Workers: s.pool.calls(),
		Discover: func(ctx context.Context) { c.SetWorkers(ctx, []planner.Worker{s.worker(1, 64000)}, nil) },
		Limits:   conductor.Limits{MaxLease: time.Hour, ViolationLimit: time.Hour, StateRetention: time.Hour},
		Log:      &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Registry: prometheus.NewRegistry(), Now: now,
		WallTime: func(t time.Time) time.Time {
			steps.Add(1)
			if isSuspending.CompareAndSwap(true, false) {
				suspended.Add(int64(time.Second))
			}
			return t
		},
	})
	s.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	go conductor.Follow(ctx, s.store(1), now, []*conductor.Conductor{c})
	c.SetConfig(planner.Config{})
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return state(c, "a") == planner.Running })
	isSuspending.Store(true)
	s.eventually("suspended", time.Second, func() bool { return !isSuspending.Load() })
	before := steps.Load()
	s.eventually("next step", time.Second, func() bool { return steps.Load() > before })
}
