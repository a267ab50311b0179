package scheduler

import "tarragonhead.example/tarragonhead/internal/declarer"

// parameters are the figures of a preset that the core uses.
type parameters struct {
	// BatchShare is the most of a domain's processors that batch may reserve.
	BatchShare float64
	// Headroom is the share of a domain's processors that batch which is not
	// urgent leaves free.
	Headroom float64
	// EvictionThreshold is the slowdown from which batch is evicted.
	EvictionThreshold float64
	// DrainRate is the most tasks a second that leave a domain which is being
	// taken out of service.
	DrainRate float64
	// ReturnRate is the number of starts a second at which a domain is
	// admitted back; it doubles every 10 s.
	ReturnRate float64
}

var presets = map[declarer.Preset]parameters{
	declarer.OrdinaryDay: {BatchShare: 0.85, Headroom: 0.02, EvictionThreshold: 2.4, DrainRate: 4, ReturnRate: 2},
	declarer.Peak:        {BatchShare: 0.6, Headroom: 0.1, EvictionThreshold: 1.8, DrainRate: 2, ReturnRate: 1},
	declarer.Maintenance: {BatchShare: 0.9, Headroom: 0.02, EvictionThreshold: 3, DrainRate: 10, ReturnRate: 4},
}

func parametersOf(p declarer.Preset) parameters {
	if got, ok := presets[p]; ok {
		return got
	}
	return presets[declarer.OrdinaryDay]
}
