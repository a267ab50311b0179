package replayer

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// Cellarlog returns the load of the larger deployment, scaled by scale.
func Cellarlog(scale float64) Pattern {
	return Pattern{
		Workers: max(8, int(66*scale)), Domains: 4, Capacity: planner.Resources{CPU: 64000, Memory: 256000},
		Length: 30 * time.Second, Drain: 15 * time.Second, Load: 0.45,
		StopTime: 900 * time.Millisecond, CheckpointEvery: 2 * time.Second, ViolationLimit: 4 * time.Second,
		Classes: []Class{
			{
				Queue:     planner.Queue{Name: "report", Service: "service", Attempts: 2, Stretch: 1.5, Slack: 250 * time.Millisecond},
				PerSecond: 4.4 * scale, Steps: 2, Width: 6, Need: planner.Resources{CPU: 5800, Memory: 12000}, Work: time.Second,
				Step: planner.Step{Speculative: false}, AlwaysFailShare: 0.03, FailShare: 0.05,
			},
			{
				Queue:     planner.Queue{Name: "bundle", Service: "service", Priority: 2, Attempts: 3, Stretch: 2, Slack: time.Second},
				PerSecond: 8.8 * scale, Steps: 2, Width: 8, Need: planner.Resources{CPU: 7000, Memory: 13000}, Work: 1700 * time.Millisecond,
				Step: planner.Step{BestEffort: true, Checkpoints: true}, Images: 9, AlwaysFailShare: 0.03, FailShare: 0.005,
			},
			{
				Queue:     planner.Queue{Name: "probe", Service: "service", Attempts: 3, Stretch: 2.2, Slack: 2500 * time.Millisecond},
				PerSecond: 0.28 * scale, Initial: int(51 * scale), Width: 6, Need: planner.Resources{CPU: 13000, Memory: 26000}, Work: 70 * time.Second,
				Step: planner.Step{LongRunning: true, LatencyTarget: 50 * time.Millisecond, MaxUnavailable: 1}, Images: 5,
			},
		},
	}
}

// Tricahue returns the load of the smaller deployment, scaled by scale.
func Tricahue(scale float64) Pattern {
	p := Cellarlog(scale)
	p.Workers, p.Domains, p.Capacity = max(8, int(48*scale)), 3, planner.Resources{CPU: 32000, Memory: 128000}
	p.Classes[0].PerSecond, p.Classes[0].Need, p.Classes[0].Work = 5.6*scale, planner.Resources{CPU: 2100, Memory: 6000}, 800*time.Millisecond
	p.Classes[1].PerSecond, p.Classes[1].Need = 6.4*scale, planner.Resources{CPU: 3500, Memory: 7000}
	p.Classes[2].Initial, p.Classes[2].PerSecond, p.Classes[2].Need = int(37*scale), 0.2*scale, planner.Resources{CPU: 6400, Memory: 13000}
	return p
}

// Grown returns the load of one shard of the smaller deployment after its
// growth, with the usual rate of jobs multiplied by rate. Long-running tasks
// reserve nine tenths of the CPU, wide short jobs ask for the rest, and
// best-effort jobs use what is idle.
func Grown(rate float64) Pattern {
	p := Tricahue(1)
	p.Workers, p.Domains = 70, 4
	p.Length, p.Drain = 34*time.Second, 14*time.Second
	p.StopTime, p.CheckpointEvery, p.ViolationLimit = 400*time.Millisecond, time.Second, 4500*time.Millisecond
	p.Faults = []Fault{{Kind: "burst", At: 8 * time.Second, For: 6 * time.Second, Factor: 1.4}}
	short, batch, longRunning := &p.Classes[0], &p.Classes[1], &p.Classes[2]
	short.PerSecond, short.Width, short.WidthSpread, short.EstimateSpread = 2*rate, 10, 0.8, 0.5
	short.Need, short.Work = planner.Resources{CPU: 3800, Memory: 7600}, time.Second
	short.Queue.Slack, short.AlwaysFailShare, short.FailShare = 300*time.Millisecond, 0.01, 0.005
	batch.AlwaysFailShare, batch.FailShare = 0.03, 0.02
	batch.PerSecond, batch.Width, batch.WidthSpread, batch.EstimateSpread = 2.6*rate, 20, 0.6, 0.5
	batch.Need, batch.Work, batch.Images = planner.Resources{CPU: 3500, Memory: 6400}, 2200*time.Millisecond, 18
	longRunning.PerSecond, longRunning.Initial, longRunning.Width, longRunning.WidthSpread, longRunning.Lifetime = 0.13*rate, 23, 14, 0.4, 70*time.Second
	longRunning.Images = 10
	p.Fluctuation = 0.9
	return p
}

// With returns a copy of the pattern with faults added.
func (p Pattern) With(faults ...Fault) Pattern {
	p.Faults = append(p.Faults[:len(p.Faults):len(p.Faults)], faults...)
	return p
}

// lateWeight is the weight of a job that is done late relative to one in time.
const lateWeight = 0.15

// Worth returns the mean of the classes' results, weighted by their importance
// to the users, from 0 to 1. The result of a class of jobs is the share done in
// time, plus lateWeight times the share done late, of those that did not fail.
// That of the long-running tasks is their availability. A class in r.Classes
// without accepted jobs counts as 1, one that is not there as 0.
func (r Result) Worth() float64 {
	weights := map[string]float64{"report": 0.1, "bundle": 0.45, "probe": 0.45}
	sum := 0.0
	for name, o := range r.Classes {
		switch {
		case o.Accepted == 0:
			sum += weights[name]
		case name == "probe":
			sum += weights[name] * o.Availability
		default:
			sum += weights[name] * (float64(o.InTime) + lateWeight*float64(o.Late)) / float64(o.Accepted-o.Failed)
		}
	}
	return sum
}
