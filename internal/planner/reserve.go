package planner

import (
	"slices"
	"time"
)

const (
	// reserveAfter is how long a lasting task waits for a place before a worker
	// is kept free for it, and reserveTime for how long that is at most.
	reserveAfter = 1500 * time.Millisecond
	reserveTime  = 6 * time.Second
	// reserveTrust is how long the task is not offered to other shards then.
	reserveTrust = 3 * time.Second
	// reserveFactor is how many times the processors that the task needs must be
	// free over all workers.
	reserveFactor = 2
)

// reservation keeps the processors of a worker for a task that is too large for
// what short tasks leave at any one time.
type reservation struct {
	task  *task
	since time.Time
}

// isKeptFrom reports whether a worker is kept for another task than t. Filling
// tasks take no processors, so they may go there.
func (w *Worker) isKeptFrom(now time.Time, t *task) bool {
	if w.reserved.task == t || t.step.Fills || !w.isKept(now) {
		return false
	}
	// Short tasks would take each part as soon as it is free. A lasting one may
	// have what the kept task doesn't need once the short ones have ended.
	left := w.roomForLasting().minus(w.reserved.task.step.reserved())
	return !t.step.Lasting || !left.Fits(t.step.reserved())
}

// isKept reports whether a worker is kept for any task.
func (w *Worker) isKept(now time.Time) bool {
	r := w.reserved
	if r.task == nil {
		return false
	}
	isOver := r.task.done || r.task.away || len(r.task.runs) > 0 || r.task.step.occurrence.job.state.isFinal() || now.Sub(r.since) > reserveTime
	if isOver {
		w.reserved = reservation{}
	}
	return !isOver
}

// hasWorkerKept reports whether a worker is kept for the task.
func (t *task) hasWorkerKept(now time.Time) bool {
	return t.kept != nil && t.kept.reserved.task == t && t.kept.isKept(now)
}

// roomForLasting is what a lasting task can get once the short tasks have ended.
func (w *Worker) roomForLasting() Resources {
	room := w.free
	for _, r := range w.order {
		if s := r.task.step; !s.Lasting && !s.Fills {
			room = room.plus(s.reserved())
		}
	}
	return room
}

// reserve keeps the worker for a lasting task on which it will fit soonest: that
// with the most processors besides what lasting tasks hold. It does nothing when
// the task has a worker, has not waited for long, or fits nowhere.
func (p *Planner) reserve(now time.Time, t *task, candidates []*Worker) {
	// On a full fleet a kept worker would be taken from short work.
	if now.Sub(t.readyAt) < reserveAfter || p.headroom.free < reserveFactor*t.step.Need.CPU {
		return
	}
	if t.hasWorkerKept(now) {
		return
	}
	var best *Worker
	var most int64
	for _, w := range candidates {
		if w.isKept(now) || !p.mayShare(t, w) || slices.Contains(t.avoid, w.ID) {
			continue
		}
		room := w.roomForLasting()
		if room.Fits(t.step.reserved()) && room.CPU > most {
			best, most = w, room.CPU
		}
	}
	if best != nil {
		best.reserved, t.kept = reservation{t, now}, best
		if t.keptAt.IsZero() {
			t.keptAt = now
		}
		p.noteWorker("worker_kept", best, "for "+t.id.String())
	}
}
