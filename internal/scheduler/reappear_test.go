package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// TestReappearingTask guards against a replica that never starts after its
// failure domain was taken out of service and brought back. Its attempt numbers
// started at 1 again, so the workers that had run it before refused them.
func TestReappearingTask(t *testing.T) {
	c := qt.New(t)
	core := New(Options{Shard: "a", Domain: "a", Charts: charts, Policy: placer.FirstFit()})
	now := epochStart
	added := map[uint64]uint64{}
	for revision := uint64(1); revision <= 3; revision++ {
		config := &declarer.Config{
			Revision: revision, Preset: declarer.OrdinaryDay, Domains: []string{"a", "b"}, Teams: []declarer.Team{{Name: "team", Weight: 1}},
			Services: []declarer.Service{{Name: "web", Team: "team", Replicas: 2, Resources: declarer.Resources{MilliCPU: 1, MemoryMB: 1}}},
		}
		if revision == 2 {
			config.DomainsOut = []string{"a"}
		}
		for range 4 * 180 {
			now = now.Add(250 * time.Millisecond)
			core.Step(now, Event{Config: &ConfigConfirmed{Config: config, At: now}})
			core.Step(now, Event{Tick: &Tick{}})
			if task, ok := core.tasks["service/web/a/0"]; ok {
				added[revision] = max(added[revision], task.Attempt)
			}
		}
		if _, ok := core.tasks["service/web/a/0"]; revision == 2 {
			c.Assert(ok, qt.IsFalse)
		}
	}
	c.Assert(added[3] >= added[1]+1<<attemptNumberBits, qt.IsTrue, qt.Commentf("%v", added))
}
