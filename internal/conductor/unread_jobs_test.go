package conductor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestEndOfUnreadJob guards against a second run of a task whose end was acknowledged
// before its job was read, while the watch on the jobs was silent and the head was read.
func TestEndOfUnreadJob(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 20*time.Millisecond)
	var isSilent, isWatching atomic.Bool
	isSilent.Store(true)
	d, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, change: func(o *conductor.Options) {
		watch := o.Store.Watch
		o.Store.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storeclient.Event, uint64, error) {
			isWatching.Store(true)
			if isSilent.Load() {
				<-ctx.Done()
				return nil, 0, errors.New("no answer")
			}
			return watch(ctx, prefix, after, wait)
		}
	}}, 1)
	defer stop()
	s.eventually("jobs followed", testTimeout, isWatching.Load)
	s.putJob("a")
	s.pool.mu.Lock()
	for i := range 2 {
		run := planner.RunID{TaskID: planner.TaskID{Job: "a", Index: i}, Attempt: 1}
		s.pool.runs[run] = time.Now()
		s.pool.starts[run.TaskID]++
	}
	s.pool.mu.Unlock()
	time.Sleep(7 * time.Second)
	isSilent.Store(false)
	s.eventually("done", testTimeout, func() bool { return state(d, "a") == planner.Done })
	s.checkEachStartedOnce("a", 2)
	s.eventually("acknowledged", testTimeout, func() bool { return s.pool.endCount() == 0 })
}

// TestEndOfUnusableJobIsKept guards against a task that runs again after it was done,
// because an owner that can't use the stored progress of its job acknowledged the end.
// The next owner can use it, as in a rolling replacement.
func TestEndOfUnusableJobIsKept(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, time.Hour)
	s.submit("a", 1)
	s.keeper.Put("th/0/progress/a", []byte("of another version"))
	run := planner.RunID{TaskID: planner.TaskID{Job: "a"}, Attempt: 1}
	s.pool.runs[run] = time.Now()
	s.pool.starts[run.TaskID]++
	s.pool.end(run, planner.EndDone)
	d, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool}, 1)
	defer stop()
	s.eventually("owned", testTimeout, d.IsOwner)
	time.Sleep(7 * time.Second)
	s.Assert(s.pool.endCount(), quicktest.Equals, 1, quicktest.Commentf("the end is not stored"))
}
