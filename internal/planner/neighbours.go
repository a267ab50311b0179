package planner

import (
	"cmp"
	"slices"
)

const (
	// packingWeight is the weight of the share of a worker that long-running tasks hold,
	// in units of load, when a long-running task with a latency target is placed. Best-effort
	// tasks disturb only such tasks, so they need workers without them. The weight exceeds
	// mixedImageCost, so that images that react alike share workers before an empty one is
	// used.
	packingWeight = 5.0
	// lastTasksShare is the part of a step's tasks, as a divisor, up to which the tasks that
	// are left count as its last ones.
	lastTasksShare = 8
)

// packingCost returns the cost of placing a long-running task with a latency target on a
// worker: the less, the more long-running tasks hold of it already.
func (p *Planner) packingCost(w *Worker) float64 {
	var held int64
	for _, r := range w.runsInOrder {
		if r.task.step.LongRunning {
			held += r.task.step.Need.CPU
		}
	}
	return -packingWeight * float64(held) / float64(max(1, w.Capacity.CPU))
}

// hasLastTasks reports whether only the last tasks of a step are left. The next step, or
// the end of the job, waits for the slowest of them, so that a delay of one of them costs
// more than that of any other task.
func (p *Planner) hasLastTasks(s *step) bool {
	return !p.options.DisableLastTasksFirst && s.Count > 2 && s.unfinished <= max(1, s.Count/lastTasksShare)
}

// sortLastTasksFirst moves the runs of the last tasks of a step to the front.
func (p *Planner) sortLastTasksFirst(list []*run) {
	order := func(r *run) int {
		if p.hasLastTasks(r.task.step) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b *run) int { return cmp.Compare(order(a), order(b)) })
}
