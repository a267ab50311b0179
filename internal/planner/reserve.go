package planner

import (
	"slices"
	"time"
)

const (
	// reserveAfter is how long a long-running task waits for a place before a
	// worker is reserved for it, and reserveTime is how long the reservation
	// lasts at most.
	reserveAfter = 1500 * time.Millisecond
	reserveTime  = 6 * time.Second
	// reserveHandoverDelay is how long after its first reservation the task is
	// not offered to other shards.
	reserveHandoverDelay = 3 * time.Second
	// reserveFreeFactor times the CPU need of the task must be free across all
	// candidates before a worker is reserved.
	reserveFreeFactor = 2
)

// reservation keeps a worker for a long-running task. Without it, other tasks
// would use the capacity that short tasks release before there is enough for
// the long-running task.
type reservation struct {
	task  *task
	since time.Time
}

// isReservedAgainst reports whether t may not start on the worker because of a
// reservation for another task. Best-effort tasks reserve no CPU, so they may
// start there.
func (w *Worker) isReservedAgainst(now time.Time, t *task) bool {
	if w.reservation.task == t || t.step.BestEffort || !w.isReserved(now) {
		return false
	}
	// Short tasks would take each part of the capacity as soon as it is free. A
	// long-running task may use what the reservation does not need once the
	// short tasks have ended.
	left := w.roomForLongRunning().minus(w.reservation.task.step.reserved())
	return !t.step.LongRunning || !left.Fits(t.step.reserved())
}

// isReserved reports whether the worker is reserved for any task. It clears a
// reservation that is over.
func (w *Worker) isReserved(now time.Time) bool {
	r := w.reservation
	if r.task == nil {
		return false
	}
	isOver := r.task.done || r.task.isElsewhere || len(r.task.runs) > 0 || r.task.step.occurrence.job.state.IsFinal() || now.Sub(r.since) > reserveTime
	if isOver {
		w.reservation = reservation{}
	}
	return !isOver
}

// hasReservedWorker reports whether a worker is reserved for the task.
func (t *task) hasReservedWorker(now time.Time) bool {
	return t.reservedWorker != nil && t.reservedWorker.reservation.task == t && t.reservedWorker.isReserved(now)
}

// roomForLongRunning returns the capacity that a long-running task can get once
// the short tasks have ended.
func (w *Worker) roomForLongRunning() Resources {
	room := w.free
	for _, r := range w.runsInOrder {
		if s := r.task.step; !s.LongRunning && !s.BestEffort {
			room = room.plus(s.reserved())
		}
	}
	return room
}

// reserveWorker reserves, for a long-running task, the worker with the most
// processors not held by long-running tasks, since the task will fit there
// soonest. It does nothing if the task already has a reserved worker, has not
// waited long enough, or fits on no candidate.
func (p *Planner) reserveWorker(now time.Time, t *task, candidates []*Worker) {
	p.holdBack(now, t)
	// When the fleet is full, a reservation would take the worker from short
	// work.
	if now.Sub(t.readyAt) < reserveAfter || p.headroom.free < reserveFreeFactor*t.step.Need.CPU {
		return
	}
	if t.hasReservedWorker(now) {
		return
	}
	var best *Worker
	var most int64
	for _, w := range candidates {
		if w.isReserved(now) || !p.isWithinWorkerLimit(t, w) || slices.Contains(t.avoidedWorkers, w.ID) || t.isBoundElsewhere(w) {
			continue
		}
		room := w.roomForLongRunning()
		if room.Fits(t.step.reserved()) && room.CPU > most {
			best, most = w, room.CPU
		}
	}
	if best != nil {
		best.reservation, t.reservedWorker = reservation{t, now}, best
		if t.reservedAt.IsZero() {
			t.reservedAt = now
		}
		p.reportWorker("worker_kept", best, "for "+t.id.String())
	}
}
