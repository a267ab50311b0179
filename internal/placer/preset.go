package placer

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Parameters are the limits and thresholds of a preset. Shares are between 0 and
// 1.
type Parameters struct {
	// BatchShare is the largest share of a domain's processors that batch may
	// reserve.
	BatchShare float64
	// Headroom is the share of a domain's processors that non-urgent batch leaves
	// free, so that urgent work starts without an eviction.
	Headroom float64
	// HarmLimit is the most that one batch task may add to the expected queueing
	// at the runners on a worker, in waiting requests per slot.
	HarmLimit float64
	// HarmPatience is the waiting time after which HarmLimit has doubled for a
	// task. The limit rises with the waiting time, so that every task is placed
	// in the end.
	HarmPatience time.Duration
	// ThrottleThreshold, CheckpointThreshold and EvictionThreshold are the
	// measured slowdowns of a runner from which batch on the same worker is
	// throttled, checkpointed and evicted. They increase in this order.
	ThrottleThreshold   float64
	CheckpointThreshold float64
	EvictionThreshold   float64
	// ReleaseThreshold is the slowdown below which a throttled task gets its
	// processors back. It is below ThrottleThreshold for hysteresis.
	ReleaseThreshold float64
	// ThrottleShare is the share of its reserved processors that a throttled
	// task may use.
	ThrottleShare float64
	// EvictionBudget is the maximum number of evictions of one job within
	// EvictionWindow.
	EvictionBudget int
	// TaskEvictions is the maximum number of evictions of one task.
	TaskEvictions int
	// DrainRate is the maximum number of tasks per second that leave a domain
	// that is being taken out of service.
	DrainRate float64
	// ReturnRate is the number of task starts per second in a domain that has
	// just been brought back into service; it doubles every 10 s.
	ReturnRate float64
}

// EvictionWindow is the period that Parameters.EvictionBudget applies to.
const EvictionWindow = time.Minute

// presets holds the parameters of each preset, which are defined only here. Peak
// trades batch throughput for latency. Maintenance moves work quickly and lets
// batch use free capacity.
var presets = map[declarer.Preset]Parameters{
	declarer.OrdinaryDay: {
		BatchShare: 0.85, Headroom: 0.02, HarmLimit: 0.6, HarmPatience: time.Minute,
		ThrottleThreshold: 1.7, CheckpointThreshold: 2.2, EvictionThreshold: 2.8, ReleaseThreshold: 1.45,
		ThrottleShare: 0.6, EvictionBudget: 4, TaskEvictions: 2, DrainRate: 4, ReturnRate: 2,
	},
	declarer.Peak: {
		BatchShare: 0.6, Headroom: 0.1, HarmLimit: 0.2, HarmPatience: 2 * time.Minute,
		ThrottleThreshold: 1.25, CheckpointThreshold: 1.5, EvictionThreshold: 1.8, ReleaseThreshold: 1.1,
		ThrottleShare: 0.3, EvictionBudget: 8, TaskEvictions: 3, DrainRate: 2, ReturnRate: 1,
	},
	declarer.Maintenance: {
		BatchShare: 0.9, Headroom: 0.02, HarmLimit: 0.8, HarmPatience: 30 * time.Second,
		ThrottleThreshold: 1.9, CheckpointThreshold: 2.4, EvictionThreshold: 3, ReleaseThreshold: 1.4,
		ThrottleShare: 0.5, EvictionBudget: 4, TaskEvictions: 2, DrainRate: 10, ReturnRate: 4,
	},
}

// ParametersOf returns the parameters of a preset, those of OrdinaryDay for an
// unknown preset.
func ParametersOf(p declarer.Preset) Parameters {
	if parameters, ok := presets[p]; ok {
		return parameters
	}
	return presets[declarer.OrdinaryDay]
}
