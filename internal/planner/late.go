package planner

import (
	"slices"
	"time"
)

// lateStart is a start of a task that has had no answer and may still be carried out. The
// process that it was sent to rejects it once it has confirmed a stop of the run, but a
// later process with the same id has seen neither the stop nor a fence. Until LateCallLimit
// after it was sent, the task therefore runs nowhere but on a worker with that id, whose
// processes never run at the same time.
type lateStart struct {
	attempt  int
	workerID string
	// sentAt is when the start was sent. Of a start of an earlier owner it is no earlier than
	// that, and sentAtWall is the wall-clock time that the record has.
	sentAt, sentAtWall time.Time
}

// LateStart is the stored form of a start that may still be carried out.
type LateStart struct {
	Attempt  int    `cbor:"attempt"`
	WorkerID string `cbor:"worker"`
	// SentAt is the wall-clock time at which the start was sent.
	SentAt time.Time `cbor:"sent_at"`
}

// maxClockSkew bounds the difference between the clocks of two owners. LateCallLimit allows
// for as much again.
const maxClockSkew = 3 * time.Second

// lateNoteAge is the age from which a start without an answer is stored. It is far longer than
// an answer takes on an idle link, and far shorter than the timeout of a start, so that few
// starts of an owner that is killed are unknown to its successor.
const lateNoteAge = 100 * time.Millisecond

// maxLateStarts bounds the starts of a task that may still be carried out. Each start that
// a worker leaves unanswered prolongs the time for which the task is bound to it.
const maxLateStarts = 3

// noteLateStart records that the start of a run may be carried out late.
func (p *Planner) noteLateStart(r *run) {
	t := r.task
	j := t.step.occurrence.job
	if r.isAnswered() || r.isListed || r.isSettled || t.step.Speculative || t.done || j.state.IsFinal() {
		return
	}
	if slices.ContainsFunc(t.lateStarts, func(o lateStart) bool { return o.attempt == r.id.Attempt }) {
		return
	}
	p.addLateStart(t, lateStart{r.id.Attempt, r.worker.ID, r.startedAt, p.options.WallTime(r.startedAt)})
	p.reportRun("late_start", r, "may still be carried out")
}

func (p *Planner) addLateStart(t *task, s lateStart) {
	p.appendLateStart(t, s)
	j := t.step.occurrence.job
	j.markChanged()
	t.lateVersion = j.version
}

func (p *Planner) appendLateStart(t *task, s lateStart) {
	if !slices.Contains(p.lateTasks, t) {
		p.lateTasks = append(p.lateTasks, t)
	}
	t.lateStarts = append(t.lateStarts, s)
}

// settleLateStart records that the start of a run has been carried out, or will not be.
func (p *Planner) settleLateStart(id RunID, reason string) {
	for _, t := range p.lateTasks {
		if t.id != id.TaskID {
			continue
		}
		count := len(t.lateStarts)
		t.lateStarts = slices.DeleteFunc(t.lateStarts, func(s lateStart) bool { return s.attempt == id.Attempt })
		if len(t.lateStarts) < count {
			t.step.occurrence.job.markChanged()
			p.reportTask("late_start_settled", t, reason)
		}
		return
	}
}

// settleStartsTo records that the starts which were sent to a worker won't be carried out,
// because a process with another id has its address. It refuses them. The machine may start
// again under that id, but not under the one before.
func (p *Planner) settleStartsTo(w *Worker) {
	for _, t := range p.lateTasks {
		count := len(t.lateStarts)
		t.lateStarts = slices.DeleteFunc(t.lateStarts, func(s lateStart) bool { return s.workerID == w.ID })
		if len(t.lateStarts) < count {
			t.step.occurrence.job.markChanged()
			p.reportTask("late_start_settled", t, "another process has the address")
		}
	}
}

// expireLateStarts forgets the starts that can't be carried out any more.
func (p *Planner) expireLateStarts(now time.Time) {
	p.lateTasks = slices.DeleteFunc(p.lateTasks, func(t *task) bool {
		count := len(t.lateStarts)
		t.lateStarts = slices.DeleteFunc(t.lateStarts, func(s lateStart) bool { return now.Sub(s.sentAt) > LateCallLimit })
		if j := t.step.occurrence.job; len(t.lateStarts) < count && !j.state.IsFinal() {
			j.markChanged()
			p.reportTask("late_start_expired", t, "not carried out")
		}
		return len(t.lateStarts) == 0 || t.step.occurrence.job.state.IsFinal()
	})
}

// mayAwaitLateStart reports whether the run of an unanswered start stays where it is until
// its worker carries the start out. Its task could not start again sooner than LateCallLimit
// after the start, while late starts are usually carried out before. A long-running task
// starts again on the same worker at once, a speculative one anywhere, and the other members
// of a gang would wait in vain.
func (p *Planner) mayAwaitLateStart(r *run) bool {
	s := r.task.step
	return r.isStarting() && !s.LongRunning && !s.Speculative && !s.Gang && p.acceptsLateStart(r.worker)
}

// acceptsLateStart reports whether a task may still start on the worker.
func (p *Planner) acceptsLateStart(w *Worker) bool {
	return !w.Draining && !p.evacuatedDomains[w.Domain]
}

// checkOverdueStarts notes the starts that have had no answer for a while. It withdraws those
// that the worker won't carry out or that are no longer wanted there, and ends the runs of
// those that no process can carry out any more.
func (p *Planner) checkOverdueStarts(now time.Time, w *Worker) {
	// Most workers have no start under way.
	if !slices.ContainsFunc(w.runsInOrder, (*run).isStarting) {
		return
	}
	for _, r := range runsOf(w) {
		switch {
		case !r.isStarting():
		case !r.isOverdue:
			if r.isSent && now.Sub(r.startedAt) > lateNoteAge {
				p.noteLateStart(r)
			}
		case now.Sub(r.startedAt) > LateCallLimit:
			r.isSettled = true
			r.task.avoid(w)
			p.endRun(r, "lapse", "the start was not carried out")
		case !p.acceptsLateStart(w):
			p.stop(now, r, "start without an answer, no task may start on the worker")
		case !r.startLeaseEnd.IsZero() && now.After(r.startLeaseEnd):
			p.stop(now, r, "start without an answer, its lease has expired")
		}
	}
}

// mustWait reports whether the task may not start on any worker, because a start of it may
// still be carried out. A long-running task may start on the worker with the same id. The
// end of another task there would have to stay unacknowledged until then, and with it all
// later ends of the worker.
func (t *task) mustWait() bool {
	return len(t.lateStarts) > 0 && (!t.step.LongRunning || len(t.lateStarts) >= maxLateStarts)
}

// isBoundElsewhere reports whether a start of the task may still be carried out by a process
// with another id than that of the worker.
func (t *task) isBoundElsewhere(w *Worker) bool {
	return slices.ContainsFunc(t.lateStarts, func(s lateStart) bool { return s.workerID != w.ID })
}

// areLateStartsStored reports whether a successor would know of the starts that may still be
// carried out.
func (t *task) areLateStartsStored() bool {
	return len(t.lateStarts) == 0 || t.step.occurrence.job.committed >= t.lateVersion
}

// storedLateStarts returns the stored form of the late starts.
func (t *task) storedLateStarts() []LateStart {
	var list []LateStart
	for _, s := range t.lateStarts {
		list = append(list, LateStart{s.attempt, s.workerID, s.sentAtWall})
	}
	return list
}

// restoreLateStarts takes over the late starts that an earlier owner has stored, each with its
// age, so that the wait doesn't begin anew with each change of owner.
func (p *Planner) restoreLateStarts(now time.Time, t *task, list []LateStart) {
	for _, s := range list {
		age := p.options.WallTime(now).Sub(s.SentAt) - maxClockSkew
		p.appendLateStart(t, lateStart{s.Attempt, s.WorkerID, now.Add(-max(0, age)), s.SentAt})
	}
}

// NoteUnanswered records the starts that have no answer yet, so that the progress of their
// jobs tells a successor of them.
func (p *Planner) NoteUnanswered() {
	for _, w := range p.sortedWorkers {
		for _, r := range w.runsInOrder {
			p.noteLateStart(r)
		}
	}
}
