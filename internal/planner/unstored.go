package planner

import (
	"slices"
	"time"
)

// unacknowledgedEnd is an end that was read and whose effect may not be
// committed yet.
type unacknowledgedEnd struct {
	RunEnd
	// job is nil if it is not known, and task is set if the end made it done.
	job     *job
	task    *task
	version uint64
	seen    time.Time
}

// setTask sets the task whose run ended.
func (e *unacknowledgedEnd) setTask(t *task) {
	e.job = t.step.occurrence.job
	e.version = e.job.version
	if e.Kind == EndDone && t.done && !t.step.Speculative {
		e.task = t
	}
}

// isStartUnderWay reports whether another run of the task that the end made done
// may still start. An acknowledged end must not be followed by a start.
func (e *unacknowledgedEnd) isStartUnderWay() bool {
	return e.task != nil && slices.ContainsFunc(e.task.runs, func(r *run) bool { return r.id != e.Run })
}

// isStored reports whether the effect of the end is in the store. An unknown job may
// still arrive from the store until the end was read before jobsReadAt.
func (e *unacknowledgedEnd) isStored(jobsReadAt time.Time) bool {
	if e.job == nil {
		return jobsReadAt.After(e.seen)
	}
	return e.job.committed >= e.version
}

// unstoredEnds returns how many ends that the worker has listed are not in the store.
func (w *Worker) unstoredEnds(jobsReadAt time.Time) int {
	count := 0
	for i := range w.unacknowledgedEnds {
		if !w.unacknowledgedEnds[i].isStored(jobsReadAt) {
			count++
		}
	}
	return count
}

// updateAcknowledged advances the number of the last end whose effect is committed.
func (w *Worker) updateAcknowledged(jobsReadAt time.Time) {
	n := 0
	for ; n < len(w.unacknowledgedEnds); n++ {
		e := &w.unacknowledgedEnds[n]
		if !e.isStored(jobsReadAt) || e.isStartUnderWay() {
			break
		}
		w.acknowledged = e.Number
	}
	w.unacknowledgedEnds = w.unacknowledgedEnds[n:]
}
