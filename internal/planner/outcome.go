package planner

import "time"

// StartOutcome is the outcome of a start command.
type StartOutcome int

// The outcomes of a start command.
const (
	// Started means that the worker has the run.
	Started StartOutcome = iota
	// Refused means that the worker does not have the run and will not start
	// it.
	Refused
	// Unclear means that the worker may have the run or may still start it.
	Unclear
	// Misplaced means that a later process with the worker's id has the run.
	Misplaced
)

// StartAnswered applies the outcome of a start command. Another outcome than Unclear may
// follow later, also when the run has ended: the command can't be carried out any more then.
func (p *Planner) StartAnswered(now time.Time, id RunID, workerID string, o StartOutcome, reason string) {
	w := p.workers[workerID]
	if o != Unclear {
		p.settleLateStart(id, "answered")
		if w != nil {
			w.forgetWithdrawn(id)
		}
	}
	if w == nil || w.runs[id] == nil {
		return
	}
	r := w.runs[id]
	switch o {
	case Started, Refused:
		r.answeredAt = now
	case Misplaced:
		r.isSettled = true
	}
	j := r.task.step.occurrence.job
	switch o {
	case Started:
		p.confirmStart(now, r)
		j.hasStarted = true
	case Refused:
		r.task.retryAt = now.Add(retryDelay)
		if reason != "" {
			r.task.avoid(w)
		}
		p.endRun(r, "refuse", "start refused: "+reason)
		p.stopGang(now, r.task.step)
	case Unclear:
		p.noteLateStart(r)
		if p.mayAwaitLateStart(r) {
			r.isOverdue = true
			return
		}
		p.stop(now, r, "start without an answer")
	case Misplaced:
		r.wasSentToEnded, w.replacedAt = true, now
		p.stop(now, r, "start answered by a later process")
	}
}

// StartSent records that a start command is sent with a lease that expires at the given time
// or earlier.
func (p *Planner) StartSent(now time.Time, id RunID, workerID string, leaseEnd time.Time) {
	p.Leased(workerID, leaseEnd)
	if w := p.workers[workerID]; w != nil && w.runs[id] != nil {
		r := w.runs[id]
		r.startedAt, r.startLeaseEnd, r.isSent = now, leaseEnd, true
	}
}

// stopGang stops the runs of a gang of which a member doesn't start, since the others would
// wait for it in vain.
func (p *Planner) stopGang(now time.Time, s *step) {
	if !s.Gang {
		return
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			p.stop(now, r, "a member of the gang doesn't start")
		}
	}
}

// IsStarting reports whether the start of a run on a worker is still wanted and not
// answered yet.
func (p *Planner) IsStarting(id RunID, workerID string) bool {
	w := p.workers[workerID]
	return w != nil && w.runs[id] != nil && w.runs[id].state == "starting"
}

// confirmStart records that a worker has a run, which works at full pace until
// the worker is told otherwise.
func (p *Planner) confirmStart(now time.Time, r *run) {
	if !p.transition(r, "confirm") {
		return
	}
	r.startedAt, r.progressAt = now, now
	if r.targetPace != 100 {
		r.paceAt, r.slowedAt = now, now
		p.commands = append(p.commands, Command{Kind: PaceRun, Run: r.id, WorkerID: r.worker.ID, Percent: r.targetPace})
	}
}

// StopAnswered records that a worker confirmed a stop.
func (p *Planner) StopAnswered(now time.Time, id RunID, workerID string) {
	if w := p.workers[workerID]; w != nil {
		w.confirmWithdrawal(id)
		if r := w.runs[id]; r != nil && p.transition(r, "confirm_stop") {
			r.stopConfirmed = now
		}
	}
}
