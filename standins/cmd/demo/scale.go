package main

import (
	"math"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// scale returns the workload with its replicas and tasks multiplied by f. At least
// one replica per domain and one task per job remain.
func scale(w declarer.Workload, f float64) declarer.Workload {
	scaleCount := func(n int) int { return max(1, int(math.Ceil(float64(n)*f))) }
	scaled := w
	scaled.Services, scaled.Jobs = nil, nil
	for _, s := range w.Services {
		s.Replicas = max(scaleCount(s.Replicas), len(w.Platform.Domains))
		scaled.Services = append(scaled.Services, s)
	}
	for _, j := range w.Jobs {
		j.Tasks = scaleCount(j.Tasks)
		scaled.Jobs = append(scaled.Jobs, j)
	}
	return scaled
}
