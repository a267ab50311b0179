package planner

import (
	"math"
	"time"
)

const (
	// headroomHalfLife is the time in which the remembered peak of short work
	// decays by half, since a wide job need not be followed by another one.
	headroomHalfLife = 6 * time.Second
	// headroomFactor is the ratio of the headroom to the remembered peak.
	headroomFactor = 1.25
	// headroomMinShare is the share of all processors that is kept free before
	// any short work has been seen, because a new deployment starts its
	// long-running tasks first.
	headroomMinShare = 0.06
	// headroomMaxShare limits the headroom to a share of all processors.
	headroomMaxShare = 0.33
	// headroomWait is how long a long-running task that may have run before
	// waits for headroom before it starts regardless, because it serves users
	// continuously. It must be running again within 9 s, which may include a
	// handover to another shard and a wait for short tasks to end there.
	headroomWait = 2500 * time.Millisecond
)

// headroom keeps processors free for short tasks that reserve CPU. Long-running
// tasks hold their processors for minutes. Without headroom they take what
// short tasks release whenever capacity is lost, until no short task can start.
type headroom struct {
	// peak is the decaying maximum of the CPU that short tasks use and wait
	// for, in millicores.
	peak      float64
	updatedAt time.Time
	// free is the CPU that is free on the workers that may take long-running
	// tasks, and capacity is their total CPU. shortInUse is the CPU that short
	// tasks use on all workers. All are in millicores.
	free, shortInUse, capacity int64
}

// update applies a new measurement of the demand of short tasks.
func (h *headroom) update(now time.Time, demand int64) {
	if !h.updatedAt.IsZero() {
		h.peak *= math.Exp2(-float64(now.Sub(h.updatedAt)) / float64(headroomHalfLife))
	}
	h.updatedAt = now
	h.peak = max(h.peak, float64(demand))
}

// required returns the CPU that long-running tasks must leave free, in
// millicores. It is negative if short tasks already use more than the headroom.
func (h *headroom) required() float64 {
	capacity := float64(h.capacity)
	return min(max(headroomFactor*h.peak, headroomMinShare*capacity), headroomMaxShare*capacity) - float64(h.shortInUse)
}

// updateHeadroom measures the headroom on the given workers before long-running
// tasks start.
func (p *Planner) updateHeadroom(now time.Time, candidates []*Worker) {
	h := &p.headroom
	h.free, h.shortInUse, h.capacity = 0, 0, 0
	for _, w := range candidates {
		h.free += w.freeCPU()
		h.capacity += w.Capacity.CPU
	}
	for _, w := range p.sortedWorkers {
		for _, r := range w.runsInOrder {
			if s := r.task.step; !s.LongRunning && !s.BestEffort {
				h.shortInUse += s.Need.CPU
			}
		}
	}
	demand := int64(0)
	for _, j := range p.activeJobs {
		demand += p.shortDemand(now, j)
	}
	h.update(now, demand)
}

// shortDemand returns the CPU that the short tasks of a job use and wait for,
// in millicores. Late tasks that wait are not counted, because a backlog does
// not predict demand.
func (p *Planner) shortDemand(now time.Time, j *job) int64 {
	var demand int64
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !s.isOpen || s.LongRunning || s.BestEffort {
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

// mayHaveRun reports whether the task may have run under this or an earlier owner, or
// in another shard.
func (t *task) mayHaveRun() bool {
	return t.attempt > 0 || t.attemptFloor > 0 || t.step.occurrence.job.mayPredateOwner
}

// admitLongRunning reports whether a long-running task may start without using
// up the headroom, and deducts its CPU need from the free CPU if so. A task
// that has waited headroomWait and may have run before is always admitted. A task
// beyond its organisation's share waits behind the others.
func (p *Planner) admitLongRunning(now time.Time, t *task) bool {
	h := &p.headroom
	if t.mayHaveRun() && now.Sub(t.readyAt) > headroomWait {
		return true
	}
	if p.waitsBehind(now, t) {
		return false
	}
	if float64(h.free-t.step.Need.CPU) < h.required() {
		p.holdBack(now, t)
		return false
	}
	h.free -= t.step.Need.CPU
	return true
}
