package conductor_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

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

// listWorker lists the worker with the given start time of its process.
func (s *testCluster) listWorker(c *conductor.Conductor, born int64) {
	w := s.worker(1, 64000)
	w.Born = born
	c.SetWorkers(context.Background(), []planner.Worker{w}, nil)
}
