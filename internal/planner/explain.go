package planner

import (
	"fmt"
	"strings"
	"time"
)

// Explain says what each unfinished task of a job waits for, one line a task.
func (p *Planner) Explain(now time.Time, id string) string {
	j := p.jobs[id]
	if j == nil {
		return "job " + id + " is not known"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "job %s of queue %s is %s, arrived %s ago, due in %s\n", id, j.Queue.Name, j.state, now.Sub(j.arrived), j.due().Sub(now))
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if !t.done {
					fmt.Fprintf(&b, "%s: %s\n", t.id, p.explainTask(now, t))
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
		return fmt.Sprintf("run %d is %s on %s since %s, at %d%%, pace %d%%", r.id.Attempt, r.state, r.worker.ID, now.Sub(r.began), r.percent, r.pace)
	case !s.open:
		return fmt.Sprintf("waits for steps %v", s.After)
	case s.occurrence.job.recovered && len(p.suspects) > 0 && !s.Speculative:
		return fmt.Sprintf("may run on one of %d workers that have not answered this owner", len(p.suspects))
	case now.Before(t.retryAt):
		return fmt.Sprintf("starts again in %s after %d failures", t.retryAt.Sub(now), len(t.failures))
	}
	room, fit := 0, 0
	list, limit := p.candidates(now, s), p.harmLimitOf(now, t)
	for _, w := range list {
		if w.free.Fits(s.reserved()) {
			room++
			if _, ok := p.cost(now, t, w, limit); ok && p.mayShare(t, w) {
				fit++
			}
		}
	}
	return fmt.Sprintf("waits for a place: of %d workers %d may take it, %d have room, %d also suit what runs there; it avoids %v", len(p.list), len(list), room, fit, t.avoid)
}
