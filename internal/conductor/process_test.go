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
)

// restart replaces the workers' process: its runs, its ends and the epoch that it
// has seen are gone.
func (p *pool) restart(born int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.born, p.epoch, p.lastEnd, p.ends = born, 0, 0, nil
	clear(p.runs)
	clear(p.barredAttempts)
}

// fence returns the highest fence that the workers' process has seen.
func (p *pool) fence() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

func (p *pool) runCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs)
}

// TestNewProcessOfSameID guards against jobs that never end because the ends of a
// new process are taken for those of the process that had its id before, and
// against tasks that run more often than the process was replaced.
func TestNewProcessOfSameID(t *testing.T) {
	for name, born := range map[string]int64{"later start time": 20, "earlier start time": 5} {
		t.Run(name, func(t *testing.T) {
			s := newTestCluster(t, 50*time.Millisecond)
			s.pool.born = 10
			c, stop := s.startDaemon(1)
			defer stop()
			s.submit("a", 4)
			s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
			s.pool.mu.Lock()
			s.pool.taskDuration = 400 * time.Millisecond
			s.pool.mu.Unlock()
			s.submit("b", 2)
			s.eventually("running", testTimeout, func() bool { return s.pool.runCount() == 2 })
			time.Sleep(100 * time.Millisecond)
			s.pool.restart(born)
			time.Sleep(100 * time.Millisecond)
			s.listWorker(c, born)
			s.eventually("done", testTimeout, func() bool { return state(c, "b") == planner.Done })
			for _, n := range s.pool.startsOf("b") {
				s.Assert(n, quicktest.Equals, 2)
			}
		})
	}
}

// TestStopOfEndedProcessConfirmsNothing guards against a second run of a task whose
// unanswered start may be carried out by a new process with the worker's id: the
// answer of the ended process to a stop, which arrives late, doesn't tell what the
// new one does.
func TestStopOfEndedProcessConfirmsNothing(t *testing.T) {
	s := newTestCluster(t, 50*time.Millisecond)
	s.pool.born = 10
	calls := s.pool.calls()
	var starts, stops atomic.Int64
	var hasStopped atomic.Bool
	stopSent, answerStop := make(chan bool), make(chan bool)
	lost := errors.New("no answer")
	var fence atomic.Int64
	c, end := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, calls: &conductor.WorkerCalls{
		Pace: calls.Pace,
		Poll: func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
			fence.CompareAndSwap(0, o.Fence)
			// The new process answers no poll that makes it reject the start.
			if o.Fence > fence.Load() && !hasStopped.Load() {
				return conductor.PollAnswer{}, lost
			}
			return calls.Poll(ctx, w, o)
		},
		Start: func(ctx context.Context, w planner.Worker, o conductor.StartOrder) error {
			if starts.Add(1) == 1 {
				return lost
			}
			return calls.Start(ctx, w, o)
		},
		Stop: func(ctx context.Context, w planner.Worker, o conductor.StopOrder) error {
			if stops.Add(1) == 1 {
				close(stopSent)
				<-answerStop
				return nil
			}
			if !hasStopped.Load() {
				return lost
			}
			return calls.Stop(ctx, w, o)
		},
	}}, 1)
	defer end()
	s.submitSpeculative("a")
	<-stopSent
	s.pool.restart(20)
	s.eventually("stop sent to the new process", testTimeout, func() bool { return stops.Load() > 1 })
	close(answerStop)
	time.Sleep(100 * time.Millisecond)
	s.listWorker(c, 20)
	time.Sleep(time.Second)
	s.Assert(starts.Load(), quicktest.Equals, int64(1))
	hasStopped.Store(true)
	s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
	s.checkEachStartedOnce("a", 1)
}

// listWorker lists the worker with the given start time of its process.
func (s *testCluster) listWorker(c *conductor.Conductor, born int64) {
	w := s.worker(1, 64000)
	w.Born = born
	c.SetWorkers(context.Background(), []planner.Worker{w}, nil)
}

// TestSilentWorkerIsPolledWithoutWait guards against a second run of a task whose
// late start reaches a new process with the worker's id, while the poll that would
// tell of the process waits there for the end of a run.
func TestSilentWorkerIsPolledWithoutWait(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	calls := s.pool.calls()
	poll := calls.Poll
	var isLost, isChecked atomic.Bool
	var wait atomic.Int64
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		if isLost.CompareAndSwap(true, false) {
			isChecked.Store(true)
			return conductor.PollAnswer{}, errors.New("no answer")
		}
		if isChecked.CompareAndSwap(true, false) {
			wait.Store(int64(o.Wait))
		}
		return poll(ctx, w, o)
	}
	c, end := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, calls: &calls}, 1)
	defer end()
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return state(c, "a") == planner.Running })
	time.Sleep(200 * time.Millisecond)
	wait.Store(-1)
	isLost.Store(true)
	s.eventually("polled again", testTimeout, func() bool { return wait.Load() >= 0 })
	s.Assert(time.Duration(wait.Load()), quicktest.Equals, time.Duration(0))
}
