package conductor

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestHeldUpConductorDelaysNoConfiguration guards against an instance that stops
// reading configurations because one of its conductors is held up and its queue is
// full.
func TestHeldUpConductorDelaysNoConfiguration(t *testing.T) {
	c := quicktest.New(t)
	conductor, err := New(Options{Shard: "0", Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Registry: prometheus.NewRegistry(), Now: time.Now})
	c.Assert(err, quicktest.IsNil)
	const changes = 2 * callbackBuffer
	discovery, cancel := context.WithCancel(context.Background())
	defer cancel()
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		for n := 1; n <= changes; n++ {
			conductor.SetConfig(planner.Config{Queues: map[string]planner.Queue{"q": {Attempts: n}}})
			conductor.SetEvacuatedDomains([]string{"a", "b"}[:n%2+1])
			conductor.SetWorkers(discovery, []planner.Worker{{ID: "w", Born: int64(n)}, {ID: "gone"}}, nil)
		}
		conductor.SetWorkers(discovery, nil, []string{"gone"})
	}()
	select {
	case <-returned:
	case <-time.After(10 * time.Second):
		c.Fatal("the caller is held up")
	}
	conductor.applyInbox()
	c.Assert(conductor.config.Queues["q"].Attempts, quicktest.Equals, changes)
	c.Assert(conductor.evacuatedDomains, quicktest.DeepEquals, []string{"a"})
	c.Assert(conductor.workers, quicktest.HasLen, 1)
	c.Assert(conductor.workers["w"].Born, quicktest.Equals, int64(changes))
}

// TestInboxOfEndedDiscovery guards against workers of an earlier ownership that are
// applied in the present one.
func TestInboxOfEndedDiscovery(t *testing.T) {
	c := quicktest.New(t)
	conductor, err := New(Options{Shard: "0", Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Registry: prometheus.NewRegistry(), Now: time.Now})
	c.Assert(err, quicktest.IsNil)
	earlier, end := context.WithCancel(context.Background())
	conductor.SetWorkers(earlier, []planner.Worker{{ID: "old"}}, nil)
	present, cancel := context.WithCancel(context.Background())
	defer cancel()
	conductor.SetWorkers(present, []planner.Worker{{ID: "new"}}, nil)
	end()
	conductor.SetWorkers(earlier, nil, []string{"new"})
	conductor.applyInbox()
	c.Assert(conductor.workers, quicktest.HasLen, 1)
	c.Assert(conductor.workers["new"].ID, quicktest.Equals, "new")
}
