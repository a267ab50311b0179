package conductor_test

import (
	"context"
	"testing"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestEndedDiscovery guards against workers that get no more tasks because the list
// of workers that an earlier ownership was still reading is applied after the first
// list of the present one.
func TestEndedDiscovery(t *testing.T) {
	s := newTestCluster(t, 20*time.Millisecond)
	c, stop := s.startDaemon(1)
	defer stop()
	s.submit("a", 1)
	s.eventually("done", testTimeout, func() bool { return state(c, "a") == planner.Done })
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 {
		c.SetWorkers(ended, nil, []string{"w"})
	}
	s.submit("b", 1)
	s.eventually("done", testTimeout, func() bool { return state(c, "b") == planner.Done })
}
