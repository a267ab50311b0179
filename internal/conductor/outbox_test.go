package conductor_test

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestOvertakenStartIsNotSent guards against starts that wait until others are answered
// and are sent although their job has been cancelled meanwhile, and against stops of
// runs whose starts were never sent.
func TestOvertakenStartIsNotSent(t *testing.T) {
	const tasks = 12
	s := newTestCluster(t, time.Minute)
	release := make(chan struct{})
	calls := s.pool.calls()
	var starts, stops atomic.Int64
	calls.Start = func(ctx context.Context, w planner.Worker, o conductor.StartOrder) error {
		starts.Add(1)
		select {
		case <-release:
		case <-ctx.Done():
			return ctx.Err()
		}
		return s.pool.start(ctx, w, o)
	}
	calls.Stop = func(ctx context.Context, w planner.Worker, o conductor.StopOrder) error {
		stops.Add(1)
		return s.pool.stop(ctx, w, o)
	}
	c, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, calls: &calls}, 1)
	defer stop()
	s.submit("a", tasks)
	s.eventually("starts under way", testTimeout, func() bool { return starts.Load() > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := c.Cancel(ctx, "a")
	s.Assert(err, quicktest.IsNil)
	close(release)
	s.eventually("stopped", testTimeout, func() bool { return stops.Load() >= starts.Load() })
	time.Sleep(300 * time.Millisecond)
	s.Assert(starts.Load() < tasks, quicktest.IsTrue, quicktest.Commentf("%d starts", starts.Load()))
	s.Assert(stops.Load(), quicktest.Equals, starts.Load())
}

// suspendingWriter suspends the process at the first decision to start a run.
type suspendingWriter struct {
	once    sync.Once
	suspend func()
}

// WriteEntry writes an entry of the log.
func (w *suspendingWriter) WriteEntry(e *log.Entry) (int, error) {
	line := e.Value()
	if bytes.Contains(line, []byte(`"event":"start"`)) {
		w.once.Do(w.suspend)
	}
	return len(line), nil
}

// TestStartAfterSuspensionIsNotSent guards against a start that is sent although this
// instance was suspended since its decision, so that the worker's runs may have ended
// or another owner may have started the task.
func TestStartAfterSuspensionIsNotSent(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	var suspended atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	var mu sync.Mutex
	var attempts []int
	calls := s.pool.calls()
	calls.Start = func(ctx context.Context, w planner.Worker, o conductor.StartOrder) error {
		mu.Lock()
		attempts = append(attempts, o.Run.Attempt)
		mu.Unlock()
		return s.pool.start(ctx, w, o)
	}
	writer := &suspendingWriter{suspend: func() { suspended.Add(int64(3 * time.Second)) }}
	c, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, calls: &calls, change: func(o *conductor.Options) {
		o.Now, o.Log = now, &log.Logger{Writer: writer}
	}}, 1)
	defer stop()
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return state(c, "a") == planner.Running })
	mu.Lock()
	defer mu.Unlock()
	s.Assert(attempts, quicktest.DeepEquals, []int{2})
}
