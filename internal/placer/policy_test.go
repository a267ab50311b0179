package placer_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// Guards against a policy that exceeds the capacity of a worker in one resource.
func TestPoliciesKeepWithinCapacity(t *testing.T) {
	full := placer.Worker{ID: "a", Capacity: declarer.Resources{MilliCPU: 4000, MemoryMB: 8000}, Reserved: declarer.Resources{MilliCPU: 1000, MemoryMB: 7500}}
	free := placer.Worker{ID: "b", Capacity: declarer.Resources{MilliCPU: 4000, MemoryMB: 8000}}
	for name, tt := range map[string]struct {
		needs declarer.Resources
		want  string
	}{
		"fits tightest":       {declarer.Resources{MilliCPU: 1000, MemoryMB: 100}, "a"},
		"memory is short":     {declarer.Resources{MilliCPU: 1000, MemoryMB: 1000}, "b"},
		"processors short":    {declarer.Resources{MilliCPU: 3500, MemoryMB: 100}, "b"},
		"no accelerator":      {declarer.Resources{MilliCPU: 1000, MemoryMB: 100, Accelerators: 1}, ""},
		"larger than any one": {declarer.Resources{MilliCPU: 5000, MemoryMB: 100}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			for _, p := range []placer.Policy{placer.FirstFit(), placer.BestFit()} {
				v := &placer.View{Workers: []placer.Worker{full, free}}
				choice, err := p.Place(v, placer.Request{Task: "t", Declared: tt.needs})
				quicktest.Check(t, err != nil, quicktest.Equals, tt.want == "", quicktest.Commentf("%s", p.Name))
				quicktest.Check(t, choice.Worker, quicktest.Equals, tt.want, quicktest.Commentf("%s", p.Name))
			}
		})
	}
}

// Guards against presets without hysteresis or with thresholds that are not in
// the order of escalation.
func TestPresetsAreOrdered(t *testing.T) {
	for _, p := range declarer.Presets {
		got := placer.ParametersOf(p)
		quicktest.Check(t, got.ReleaseThreshold < got.ThrottleThreshold, quicktest.IsTrue)
		quicktest.Check(t, got.ThrottleThreshold < got.CheckpointThreshold, quicktest.IsTrue)
		quicktest.Check(t, got.CheckpointThreshold < got.EvictionThreshold, quicktest.IsTrue)
		quicktest.Check(t, got.BatchShare > 0 && got.Headroom < 1 && got.DrainRate > 0 && got.EvictionBudget > 0, quicktest.IsTrue)
	}
}
