package allotter_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/allotter"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestTurnOfLargerTask guards against a shard whose turn has room only for a task that no
// longer waits. Load: the smallest waiting task is cancelled before it has started, and the
// next one needs more than the shard's share of a cap that other shards use up.
func TestTurnOfLargerTask(t *testing.T) {
	c := quicktest.New(t)
	cpu := func(n int64) planner.Resources { return planner.Resources{CPU: n} }
	record := allotter.Record{Parts: map[string]planner.Resources{"other": cpu(100)}}
	used, part, isFirst := cpu(100), int64(0), true
	for range 12 {
		demand := planner.CapDemand{Blocked: cpu(80), Smallest: cpu(80)}
		if isFirst {
			demand.Smallest, isFirst = cpu(60), false
		}
		own := allotter.Decide(record, "own", cpu(100), demand)
		record, part = own.Record, own.Part.CPU
		other := allotter.Decide(record, "other", cpu(100), planner.CapDemand{Used: used, Blocked: cpu(100), Smallest: cpu(1)})
		record = other.Record
		// Its runs end as soon as they may not be replaced.
		used = used.Least(other.Part)
	}
	c.Assert(part, quicktest.Equals, int64(80))
	// The turn stays as it is while the need does, so that nothing is written for it.
	c.Assert(allotter.Decide(record, "own", cpu(100), planner.CapDemand{Blocked: cpu(80), Smallest: cpu(80)}).HasChanged, quicktest.IsFalse)
}
