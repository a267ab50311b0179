package planner

import "time"

// Usage holds the numbers of unfinished jobs, waiting tasks, runs, workers, sick
// workers, ends whose effect is not in the store, and tasks of which a start may still be
// carried out, for metrics.
type Usage struct{ Jobs, Waiting, Runs, Workers, Sick, UnstoredEnds, LateTasks int }

// Usage returns the current counts.
func (p *Planner) Usage(now time.Time) Usage {
	u := Usage{Jobs: len(p.activeJobs), Workers: len(p.workers), LateTasks: len(p.lateTasks)}
	for _, w := range p.sortedWorkers {
		u.Runs += len(w.runs)
		u.UnstoredEnds += w.unstoredEnds(p.jobsReadAt)
		if w.isSick(now) {
			u.Sick++
		}
	}
	for _, j := range p.activeJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.isOpen {
					u.Waiting += len(s.waiting)
				}
			}
		}
	}
	return u
}
