package planner

import (
	"math"
	"time"
)

const (
	// headroomMemory is the time in which the remembered peak of short work
	// falls to a half: one wide job is no sign that another one comes.
	headroomMemory = 6 * time.Second
	// headroomFactor is how much more than that peak is kept free.
	headroomFactor = 1.25
	// headroomShare is the share of all processors that is kept free before any
	// short work has been seen: lasting work of a new deployment comes first.
	headroomShare = 0.06
	// headroomLimit is the most that is kept free, as a share of all processors.
	headroomLimit = 0.33
	// headroomWait is how long a lasting task that has run before may wait for
	// the headroom: it serves users all the time, so it goes first then. It has to
	// be at work again within 9 s, and may have to go to another shard and wait for
	// short tasks to end there.
	headroomWait = 2500 * time.Millisecond
)

// headroom keeps processors free for short work that reserves them. Lasting
// tasks hold theirs for minutes, so without it they take what short tasks give
// back whenever capacity is lost, until no short task can start.
type headroom struct {
	// peak is the decaying maximum of what short work uses and waits for, in
	// thousandths of a core.
	peak float64
	at   time.Time
	// free, short and all are the processors that are free on the workers that
	// may take lasting tasks, those that short work uses, and those that there are.
	free, short, all int64
}

// note takes a new measurement of the demand of short work.
func (h *headroom) note(now time.Time, demand int64) {
	if !h.at.IsZero() {
		h.peak *= math.Exp2(-float64(now.Sub(h.at)) / float64(headroomMemory))
	}
	h.at = now
	h.peak = max(h.peak, float64(demand))
}

// kept is the processors that lasting tasks leave free, in thousandths.
func (h *headroom) kept() float64 {
	all := float64(h.all)
	return min(max(headroomFactor*h.peak, headroomShare*all), headroomLimit*all) - float64(h.short)
}

// measureUrgent brings the headroom up to date before lasting tasks start.
func (p *Planner) measureUrgent(now time.Time, candidates []*Worker) {
	h := &p.headroom
	h.free, h.short, h.all = 0, 0, 0
	for _, w := range candidates {
		h.free += w.free.CPU
		h.all += w.Capacity.CPU
	}
	for _, w := range p.list {
		for _, r := range w.order {
			if s := r.task.step; !s.Lasting && !s.Fills {
				h.short += s.Need.CPU
			}
		}
	}
	demand := int64(0)
	for _, j := range p.active {
		demand += p.shortDemand(now, j)
	}
	h.note(now, demand)
}

// shortDemand is what the short tasks of a job use and wait for. Late work is a
// backlog, and no sign of what is to come.
func (p *Planner) shortDemand(now time.Time, j *job) int64 {
	var demand int64
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !s.open || s.Lasting || s.Fills {
				continue
			}
			count := 0
			for _, t := range s.tasks {
				count += len(t.runs)
			}
			if p.rank(now, s) == rankInTime {
				count += len(s.waiting)
			}
			demand += int64(count) * s.Need.CPU
		}
	}
	return demand
}

// leavesHeadroom reports whether a lasting task may take processors now.
func (p *Planner) leavesHeadroom(now time.Time, t *task) bool {
	h := &p.headroom
	mayHaveRun := t.attempt > 0 || t.floor > 0 || t.step.occurrence.job.wasRead
	if mayHaveRun && now.Sub(t.readyAt) > headroomWait {
		return true
	}
	if float64(h.free-t.step.Need.CPU) < h.kept() {
		return false
	}
	h.free -= t.step.Need.CPU
	return true
}
