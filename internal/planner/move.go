package planner

import (
	"slices"
	"time"
)

// moveLimit is how long a place is kept for a task that is being moved. A stop and a
// start take 0.3 s.
const moveLimit = 2 * time.Second

// move is a best-effort task that was stopped where it made no progress, in order to
// continue on a worker with a place for it. Other tasks would take the place before the
// stop is confirmed. No place is kept for a task that can't be in time any more, nor for one
// beyond its organisation's rate or share, since work within them comes first.
type move struct {
	task *task
	to   *Worker
	at   time.Time
}

// planMove keeps a place for a task whose run is being stopped, if it can be in time.
func (p *Planner) planMove(now time.Time, t *task, to *Worker) {
	if p.options.DisableMovePlaces || p.rank(now, t.step) != rankInTime || p.isBeyond(now, t.step) {
		return
	}
	p.moves = append(p.moves, move{t, to, now})
	to.expected = append(to.expected, t)
	to.free = to.free.minus(t.step.reserved())
	to.victims = nil
}

// forgetExpected releases the place that the worker keeps for a task.
func (w *Worker) forgetExpected(t *task) {
	w.expected = slices.DeleteFunc(w.expected, func(o *task) bool { return o == t })
	w.free = w.free.plus(t.step.reserved())
	w.victims = nil
}

// roomFor returns what tasks of a step may reserve on the worker. Places that are kept for
// best-effort tasks don't keep a long-running task waiting.
func (w *Worker) roomFor(s *step) Resources {
	room := w.free
	if s.LongRunning {
		for _, t := range w.expected {
			room = room.plus(t.step.reserved())
		}
	}
	return room
}

// expectedRise returns by how much the tasks that are being moved to the worker will raise
// a level, which slope gives by image for ten cores.
func (w *Worker) expectedRise(slope func(image string) float64) float64 {
	sum := 0.0
	for _, t := range w.expected {
		sum += slope(t.step.Image) / coresPerUnit * float64(t.step.Need.CPU) / 1000
	}
	return sum
}

// startMoves starts the tasks whose former runs have ended, before all others: what they
// have done so far is of no use to their jobs until they are done.
func (p *Planner) startMoves(now time.Time) {
	p.moves = slices.DeleteFunc(p.moves, func(m move) bool {
		t := m.task
		isOver := now.Sub(m.at) > moveLimit || t.done || t.isElsewhere || t.step.occurrence.job.state.isFinal() || p.workers[m.to.ID] != m.to
		if !isOver && len(t.runs) > 0 {
			return false
		}
		m.to.forgetExpected(t)
		if !isOver {
			p.startMoved(now, t, m.to)
		}
		return true
	})
}

// startMoved starts a task that was stopped in order to be moved, on the worker with a
// place for it or, if it has none any more, on another one. If there is none, the task
// waits like others.
func (p *Planner) startMoved(now time.Time, t *task, to *Worker) {
	s := t.step
	if j := s.occurrence.job; j.mayHaveUnverifiedRuns && p.hasUnverifiedWorkers(j) && !s.Speculative {
		// An earlier owner may have the task running on a worker that has not answered yet.
		return
	}
	if p.startsLeft <= 0 || !s.isOpen || !slices.Contains(s.waiting, t) || now.Before(t.retryAt) || p.rank(now, s) != rankInTime || p.isBeyond(now, s) ||
		t.suspicion() != notSuspected || !p.isSafeToStart(now, t) || !p.isWithinCap(s, 1) {
		return
	}
	t.readyAt, t.soughtAt = now, now
	candidates := p.candidates(now, s)
	var w *Worker
	if slices.Contains(candidates, to) {
		w = p.chooseWorker(now, t, []*Worker{to})
	}
	if w == nil {
		w = p.chooseWorker(now, t, candidates)
	}
	if w == nil {
		return
	}
	p.startRun(now, t, w, p.nextAttempt(t))
	if h := s.occurrence.job.share; h != nil {
		h.used = h.used.plus(s.Need)
	}
}
