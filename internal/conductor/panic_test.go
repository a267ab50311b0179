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

// TestPanicGivesShardUp guards against an unexpected error in the state of one shard that
// ends the whole process, and against work that is lost or runs twice then.
func TestPanicGivesShardUp(t *testing.T) {
	s := newTestCluster(t, 3*time.Second)
	var isOdd atomic.Bool
	var c *conductor.Conductor
	c, err := conductor.New(conductor.Options{
		Shard: "0", Self: "daemon", Address: localAddress(1), Store: s.store(1), Workers: s.pool.calls(),
		Discover: func(ctx context.Context) { c.SetWorkers(ctx, []planner.Worker{s.worker(1, 64000)}, nil) },
		Limits:   conductor.Limits{MaxLease: time.Second, ViolationLimit: time.Minute, StateRetention: time.Minute},
		Log:      &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Registry: prometheus.NewRegistry(), Now: time.Now,
		WallTime: func(t time.Time) time.Time {
			if isOdd.CompareAndSwap(true, false) {
				panic("an odd record")
			}
			return t
		},
	})
	s.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	go conductor.Follow(ctx, s.store(1), time.Now, []*conductor.Conductor{c})
	c.SetConfig(planner.Config{})
	s.submit("a", 3)
	s.eventually("running", testTimeout, func() bool { return state(c, "a") == planner.Running })
	time.Sleep(200 * time.Millisecond)
	isOdd.Store(true)
	s.eventually("given up", testTimeout, func() bool { return !c.IsOwner() })
	s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
	s.checkEachStartedOnce("a", 3)
}
