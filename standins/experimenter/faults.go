package experimenter

import "math/rand/v2"

// fault is something that happens at a second of a run.
type fault struct {
	at    int
	apply func(now int)
}

const (
	// singleFailures machines fail for singleOutage seconds each; one machine
	// fails every task for failingTime seconds.
	singleFailures = 3
	singleOutage   = 120
	failingTime    = 180
	waves          = 3
)

// planFaults draws the faults of a run: single machines, a machine that fails
// everything, waves of noisy tasks, and a domain that leaves and returns.
func (r *run) planFaults(random *rand.Rand) {
	length := r.end - r.begin
	pick := func() (*domain, *machine) {
		d := r.domains[random.IntN(len(r.domains))]
		return d, d.machines[random.IntN(len(d.machines))]
	}
	for range singleFailures {
		d, m := pick()
		at := r.begin + random.IntN(length)
		r.plan(at, func(int) { d.lose(m) })
		r.plan(at+leaseTime, func(now int) { d.expire(r.fleet, now, m) })
		r.plan(at+singleOutage, func(int) { m.up = d.lostAt == 0 })
	}
	_, m := pick()
	at := r.begin + random.IntN(length/2)
	r.plan(at, func(int) { m.working = false })
	r.plan(at+failingTime, func(int) { m.working = true })
	for i := range waves {
		r.plan(r.begin+length*(2*i+1)/(2*waves)+random.IntN(30), r.wave)
	}
	r.planOutage(random, length)
}

// planOutage takes one domain out, loses its machines after the grace time,
// and brings it back.
func (r *run) planOutage(random *rand.Rand, length int) {
	d := r.domains[random.IntN(len(r.domains))]
	leave := r.begin + length/2
	lost, back := leave+graceTime, leave+length/5+graceTime
	r.plan(leave, func(int) {
		r.config.DomainsOut, r.away = []string{d.name}, true
		r.config.Revision++
	})
	r.plan(lost, func(now int) {
		d.lostAt = now
		for _, m := range d.machines {
			d.lose(m)
		}
	})
	r.plan(lost+leaseTime, func(now int) {
		for _, m := range d.machines {
			d.expire(r.fleet, now, m)
		}
	})
	r.plan(back, func(int) {
		d.lostAt = 0
		for _, m := range d.machines {
			m.up = true
		}
		r.config.DomainsOut = nil
		r.config.Revision++
	})
	r.plan(back+graceTime, func(int) { r.away = false })
}

func (r *run) plan(at int, apply func(int)) { r.faults = append(r.faults, fault{at, apply}) }

func (r *run) applyFaults(now int) {
	for _, f := range r.faults {
		if f.at == now {
			f.apply(now)
		}
	}
}

// wave submits noisy tasks to every domain in service.
func (r *run) wave(now int) {
	j := r.options.Workload.Jobs[0]
	j.Kind = waveKind
	for _, d := range r.domains {
		if r.config.IsOut(d.name) {
			continue
		}
		total := float64(len(d.machines)) * float64(d.machines[0].capacity.MilliCPU)
		j.Tasks = int(waveShare * total / float64(j.Resources.MilliCPU))
		r.add(now, d, j)
	}
}
