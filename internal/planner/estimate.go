package planner

import "time"

const (
	// estimateWeight is the weight of a new measurement of the work of a step's
	// tasks against the earlier ones.
	estimateWeight = 0.3
	// estimateShare is the least share of its processors that a task must have had
	// for its rate to tell how much work it is, and estimateSpeed the least speed
	// of its worker.
	estimateShare = 0.7
	estimateSpeed = 0.7
	// busyShare is the share of a service's processors that are reserved from
	// which on it is busy. Under half of them everything that waits has to run.
	busyShare = 0.6
)

// learnEstimate brings the estimate of the run's step up to date from the rate at
// which the run works: clients know only roughly how much work their tasks are.
func (r *run) learnEstimate() {
	s := r.task.step
	if s.Lasting || r.rate <= 0 || r.share() < estimateShare || (r.worker.speed > 0 && r.worker.speed < estimateSpeed) {
		return
	}
	measured := 100 / r.rate * r.share()
	if s.measurements++; s.measurements == 1 {
		s.measured = measured
	}
	s.measured += estimateWeight * (measured - s.measured)
	s.occurrence.job.known = 0
}

// estimate is how long a task of the step is expected to take.
func (s *step) estimate() time.Duration {
	if s.measurements > 0 {
		return time.Duration(s.measured * float64(time.Second))
	}
	return s.Estimate
}

// knownMeasurements is how many measurements it takes to tell a wrong estimate
// from a slow worker.
const knownMeasurements = 4

// knownWork is the work of a task by which the speed of its worker is judged.
func (s *step) knownWork() time.Duration {
	if s.measurements >= knownMeasurements {
		return s.estimate()
	}
	return s.Estimate
}

// isBusy reports whether so much of a service is reserved that work of little
// worth should wait rather than disturb.
func (p *Planner) isBusy(service string) bool {
	busy, ok := p.busy[service]
	if ok {
		return busy
	}
	var all, free int64
	for _, w := range p.list {
		if w.Service == service {
			all += w.Capacity.CPU
			free += w.free.CPU
		}
	}
	busy = float64(all-free) > busyShare*float64(all)
	p.busy[service] = busy
	return busy
}

// chain is the longest chain of estimated work.
func (j *job) chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var from time.Duration
		for _, a := range j.Steps[i].After {
			from = max(from, ends[a])
		}
		work := j.Steps[i].Estimate
		if len(j.occurrences) > 0 {
			work = j.occurrences[0].steps[i].estimate()
		}
		ends[i] = from + work
		longest = max(longest, ends[i])
	}
	return longest
}

// due is when the job's objective ends.
func (j *job) due() time.Time { return j.arrived.Add(j.objective()) }

// objective is how long the job may take from its arrival and be on time.
func (j *job) objective() time.Duration {
	if j.known == 0 {
		j.known = time.Duration(j.Queue.Stretch*float64(j.chain())) + j.Queue.Slack
	}
	return j.known
}
