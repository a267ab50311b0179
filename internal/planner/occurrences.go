package planner

import (
	"slices"
	"time"
)

// openOccurrences creates the occurrences that are due. At most MaxTasks tasks of a job
// are open at a time, or one occurrence.
func (p *Planner) openOccurrences(now time.Time) {
	wall := p.options.WallTime(now)
	for _, j := range p.activeJobs {
		open := 0
		for k := j.ended.nextMissing(0); k < j.Times && (open == 0 || (open+1)*j.taskCount() <= MaxTasks); k = j.ended.nextMissing(k + 1) {
			if j.First.Add(time.Duration(k) * j.Interval).After(wall) {
				break
			}
			j.occurrence(k)
			open++
		}
	}
}

// pruneOccurrences forgets the occurrences that are done, unless a task of them has a run or
// an end that is not acknowledged. A run that a worker lists later brings one back as done.
func (p *Planner) pruneOccurrences() {
	var listed map[*occurrence]bool
	for _, j := range p.activeJobs {
		if j.Times == 0 || !slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return j.ended.has(o.number) }) {
			continue
		}
		if listed == nil {
			listed = p.occurrencesOfEnds()
		}
		j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool {
			isOver := j.ended.has(o.number) && !listed[o] && !o.hasRuns()
			if isOver {
				delete(j.byNumber, o.number)
			}
			return isOver
		})
	}
}

// occurrencesOfEnds returns the occurrences that have ends which are not acknowledged.
func (p *Planner) occurrencesOfEnds() map[*occurrence]bool {
	all := map[*occurrence]bool{}
	for _, w := range p.sortedWorkers {
		for i := range w.unacknowledgedEnds {
			if t := w.unacknowledgedEnds[i].task; t != nil {
				all[t.step.occurrence] = true
			}
		}
	}
	return all
}

// hasRuns reports whether a task of the occurrence has a run.
func (o *occurrence) hasRuns() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool {
		return slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.runs) > 0 })
	})
}
