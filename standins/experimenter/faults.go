package experimenter

import "math/rand/v2"

// fault is an event that is injected at a given second of a run.
type fault struct {
	at    int
	apply func(now int)
}

const (
	// machineFailures is how many machines fail, and machineOutage how long each
	// is down, in seconds.
	machineFailures = 3
	machineOutage   = 120
	// failingDuration is how long one machine fails every task, in seconds.
	failingDuration = 180
	// waveCount is how many waves of noisy tasks are submitted.
	waveCount = 3
)

// planFaults draws the faults of a run: failures of single machines, a machine
// that fails every task, waves of noisy tasks, and the planned outage of a
// domain.
func (r *run) planFaults(random *rand.Rand) {
	length := r.end - r.begin
	pick := func() (*domain, *machine) {
		d := r.domains[random.IntN(len(r.domains))]
		return d, d.machines[random.IntN(len(d.machines))]
	}
	for range machineFailures {
		d, m := pick()
		at := r.begin + random.IntN(length)
		r.scheduleFault(at, func(int) { d.stopMachine(m) })
		r.scheduleFault(at+leaseDuration, func(now int) { d.reportLost(r.fleet, now, m) })
		r.scheduleFault(at+machineOutage, func(int) { m.isUp = d.outageStart == 0 })
	}
	_, m := pick()
	at := r.begin + random.IntN(length/2)
	r.scheduleFault(at, func(int) { m.isHealthy = false })
	r.scheduleFault(at+failingDuration, func(int) { m.isHealthy = true })
	for i := range waveCount {
		r.scheduleFault(r.begin+length*(2*i+1)/(2*waveCount)+random.IntN(30), r.submitWave)
	}
	r.planOutage(random, length)
}

// planOutage takes one domain out of service, stops its machines after the grace
// period, and later returns the domain to service.
func (r *run) planOutage(random *rand.Rand, length int) {
	d := r.domains[random.IntN(len(r.domains))]
	leaveAt := r.begin + length/2
	lossAt, returnAt := leaveAt+gracePeriod, leaveAt+length/5+gracePeriod
	r.scheduleFault(leaveAt, func(int) {
		r.config.DomainsOut, r.duringOutage = []string{d.name}, true
		r.config.Revision++
	})
	r.scheduleFault(lossAt, func(now int) {
		d.outageStart = now
		for _, m := range d.machines {
			d.stopMachine(m)
		}
	})
	r.scheduleFault(lossAt+leaseDuration, func(now int) {
		for _, m := range d.machines {
			d.reportLost(r.fleet, now, m)
		}
	})
	r.scheduleFault(returnAt, func(int) {
		d.outageStart = 0
		for _, m := range d.machines {
			m.isUp = true
		}
		r.config.DomainsOut = nil
		r.config.Revision++
	})
	r.scheduleFault(returnAt+gracePeriod, func(int) { r.duringOutage = false })
}

// scheduleFault calls apply at the given second of the run.
func (r *run) scheduleFault(at int, apply func(int)) { r.faults = append(r.faults, fault{at, apply}) }

func (r *run) applyFaults(now int) {
	for _, f := range r.faults {
		if f.at == now {
			f.apply(now)
		}
	}
}

// submitWave submits a job of noisy tasks to every domain in service.
func (r *run) submitWave(now int) {
	j := r.options.Workload.Jobs[0]
	j.Kind = waveKind
	for _, d := range r.domains {
		if r.config.IsOut(d.name) {
			continue
		}
		total := float64(len(d.machines)) * float64(d.machines[0].capacity.MilliCPU)
		j.Tasks = int(waveShare * total / float64(j.Resources.MilliCPU))
		r.submitJob(now, d, j)
	}
}
