package planner

import (
	"fmt"
	"strings"
	"time"
)

// Explain describes what each unfinished task of a job waits for, one line per
// task.
func (p *Planner) Explain(now time.Time, id string) string {
	j := p.jobs[id]
	if j == nil {
		return "job " + id + " is not known"
	}
	var b strings.Builder
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.isDeadly() {
					fmt.Fprintf(&b, "%s: given up, since workers crashed under it: %v\n", t.id, t.crashedWorkers())
				}
			}
		}
	}
	fmt.Fprintf(&b, "job %s of queue %s is %s, arrived %s ago, due in %s\n", id, j.Queue.Name, j.state, now.Sub(j.arrived), j.due().Sub(now))
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if !t.done {
					fmt.Fprintf(&b, "%s: %s%s\n", t.id, p.explainTask(now, t), p.explainShare(now, t))
				}
			}
		}
	}
	return b.String()
}

func (p *Planner) explainTask(now time.Time, t *task) string {
	s := t.step
	switch {
	case len(t.runs) > 0:
		r := t.runs[0]
		return fmt.Sprintf("run %d is %s on %s since %s, at %d%%, pace %d%%", r.id.Attempt, r.state, r.worker.ID, now.Sub(r.startedAt), r.percent, r.pace)
	case !s.isOpen:
		return fmt.Sprintf("waits for steps %v", s.After)
	case p.hasUnknownWorkers:
		return "may run on workers that this owner can't identify"
	case s.occurrence.job.mayHaveUnverifiedRuns && p.hasUnverifiedWorkers(s.occurrence.job) && !s.Speculative:
		return fmt.Sprintf("may run on one of %d workers that have not answered this owner", len(p.unverified))
	case t.mustWait():
		return fmt.Sprintf("starts again once %d starts without an answer can't be carried out any more", len(t.lateStarts))
	case !t.areLateStartsStored():
		return "starts again once the store answers, since a start of it may still be carried out"
	case !p.isSafeToStart(now, t):
		return fmt.Sprintf("starts again once the store answers, since workers crashed under it: %v", t.crashedWorkers())
	case now.Before(t.retryAt):
		return fmt.Sprintf("starts again in %s after %d failures", t.retryAt.Sub(now), len(t.failures))
	}
	if reason := p.explainCap(s); reason != "" {
		return reason
	}
	withRoom, suitable := 0, 0
	list, limit := p.candidates(now, s), p.harmLimitFor(now, t)
	for _, w := range list {
		if w.free.Fits(s.reserved()) {
			withRoom++
			_, ok := p.placementCost(now, t, w, 100, limit)
			if !ok && p.mayStartSlowly(now, t) {
				_, ok = p.placementCost(now, t, w, minPace, harmLimit)
			}
			if ok && p.isWithinWorkerLimit(t, w) && w.isSeparate(t) {
				suitable++
			}
		}
	}
	return fmt.Sprintf("waits for a place: of %d workers %d are candidates, %d have room, %d also meet its harm and placement limits; avoided workers: %v; crashed under it: %v", len(p.sortedWorkers), len(list), withRoom, suitable, t.avoidedWorkers, t.crashedWorkers())
}
