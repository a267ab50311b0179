package planner

import "time"

const (
	// estimateWeight is the share of a new measurement of a step's work in the
	// updated estimate.
	estimateWeight = 0.3
	// minEstimateShare is the least share of its CPU need that a task must have
	// had for its work to be derived from its rate, and minEstimateSpeed is the
	// least speed of its worker, as a share of the normal speed.
	minEstimateShare = 0.7
	minEstimateSpeed = 0.7
	// A service counts as busy if more than busyShare of its processors are
	// reserved. While less than half of them are, all waiting tasks have to run.
	busyShare = 0.6
)

// minRateInterval is the shortest interval over which the rate of a run is
// measured.
const minRateInterval = 600 * time.Millisecond

// updateRate measures the rate of a run. An interval in which the pace changed
// is discarded.
func (r *run) updateRate(now time.Time) {
	if r.measuredAt.IsZero() || now.Sub(r.measuredAt) < minRateInterval {
		if r.measuredAt.IsZero() {
			r.measuredAt, r.measuredPercent = now, r.percent
		}
		return
	}
	if r.paceAt.Before(r.measuredAt) && r.pace == 100 {
		r.rate = float64(r.percent-r.measuredPercent) / now.Sub(r.measuredAt).Seconds()
		r.rateAt = now
		r.learnEstimate()
	}
	r.measuredAt, r.measuredPercent = now, r.percent
}

// cpuShare returns the CPU that the run uses as a share of its need.
func (r *run) cpuShare() float64 {
	if r.task.step.Need.CPU == 0 {
		return 1
	}
	return min(1, float64(r.usedCPU)/float64(r.task.step.Need.CPU))
}

// expectedCores returns the cores that the run is expected to use at its pace.
func (r *run) expectedCores() float64 {
	return float64(r.task.step.Need.CPU) / 1000 * float64(r.pace) / 100
}

// learnEstimate updates the estimated work of the run's step from the rate of
// the run, because the estimates that clients give are rough.
func (r *run) learnEstimate() {
	s := r.task.step
	if s.LongRunning || r.rate <= 0 || r.cpuShare() < minEstimateShare || (r.worker.speed > 0 && r.worker.speed < minEstimateSpeed) {
		return
	}
	measured := 100 / r.rate * r.cpuShare()
	if s.measurements++; s.measurements == 1 {
		s.measuredSeconds = measured
	}
	s.measuredSeconds += estimateWeight * (measured - s.measuredSeconds)
	s.occurrence.job.cachedObjective = 0
}

// estimate returns how long a task of the step is expected to take.
func (s *step) estimate() time.Duration {
	if s.measurements > 0 {
		return time.Duration(s.measuredSeconds * float64(time.Second))
	}
	return s.Estimate
}

// trustedMeasurements is how many measurements of a step are needed to
// distinguish a wrong estimate from a slow worker.
const trustedMeasurements = 4

// trustedWork returns the work of a task against which the speed of its worker
// is measured.
func (s *step) trustedWork() time.Duration {
	if s.measurements >= trustedMeasurements {
		return s.estimate()
	}
	return s.Estimate
}

// isBusy reports whether so many processors of a service are reserved that late
// tasks should wait rather than disturb long-running tasks.
func (p *Planner) isBusy(service string) bool {
	busy, ok := p.busyServices[service]
	if ok {
		return busy
	}
	var all, free int64
	for _, w := range p.sortedWorkers {
		if w.Service == service {
			all += w.Capacity.CPU
			free += w.freeCPU()
		}
	}
	busy = float64(all-free) > busyShare*float64(all)
	p.busyServices[service] = busy
	return busy
}

// longestChain returns the duration of the longest chain of dependent steps.
func (j *job) longestChain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, a := range j.Steps[i].After {
			start = max(start, ends[a])
		}
		work := j.Steps[i].Estimate
		if len(j.occurrences) > 0 {
			work = j.occurrences[0].steps[i].estimate()
		}
		ends[i] = start + work
		longest = max(longest, ends[i])
	}
	return longest
}

// due returns the time by which the job must finish to be on time.
func (j *job) due() time.Time { return j.arrived.Add(j.objective()) }

// objective returns how long after its arrival the job may finish and still be
// on time.
func (j *job) objective() time.Duration {
	if j.cachedObjective == 0 {
		j.cachedObjective = time.Duration(j.Queue.Stretch*float64(j.longestChain())) + j.Queue.Slack
	}
	return j.cachedObjective
}
