package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// stopInterval is the time after which an unconfirmed stop is sent again.
	stopInterval = 500 * time.Millisecond
	// maxStopInterval is the longest such time for a worker that doesn't answer.
	maxStopInterval = 4 * time.Second
	// answerLimit is how long calls to a worker may go unanswered before no
	// more tasks start there.
	answerLimit = 300 * time.Millisecond
	// speculationDelay is how long calls to a worker may go unanswered before
	// its speculative tasks get a second run elsewhere.
	speculationDelay = 600 * time.Millisecond
	// minMoveGain is the least factor by which a move must shorten the
	// remaining time of a run.
	minMoveGain = 1.5
	// moveCost is the overhead of a move: a stop, a poll and a start.
	moveCost = 300 * time.Millisecond
	// worthlessFactor times the objective is the age at which finishing a job
	// no longer has any value.
	worthlessFactor = 3
	// moveOutInterval is the time between two tasks that are stopped on draining
	// workers in order to be handed over to another shard.
	moveOutInterval = 250 * time.Millisecond
	// drainMargin is how long before the shutdown of a draining worker a task
	// must be expected to finish in order not to be moved.
	drainMargin = 300 * time.Millisecond
)

// Plan returns the commands that are due, in the order in which they should be
// sent. proven is the latest time at which this owner is known to have held the
// shard. If Horizon or more has passed since then, Plan starts no tasks.
func (p *Planner) Plan(now, proven time.Time) []Command {
	p.provenAt = proven
	clear(p.candidateCache)
	clear(p.unplaceable)
	clear(p.busyServices)
	p.dropUnknownWorkers(proven)
	p.dropLost(now, proven)
	if len(p.forgotten) > 0 {
		p.applyDiscovered(now)
	}
	p.expireLateStarts(now)
	p.recordCrashes(now)
	p.giveUpDeadlyTasks(now)
	p.pruneOccurrences()
	p.openOccurrences(now)
	p.stopFinalJobs(now)
	for _, w := range p.sortedWorkers {
		if w.Draining {
			p.drainWorker(now, w)
		}
		p.checkOverdueStarts(now, w)
		p.checkRuns(now, w)
	}
	p.resendStops(now)
	p.updateSilentDomains(now)
	p.countCaps()
	if now.Sub(proven) < p.options.Horizon {
		p.startWaiting(now)
	}
	p.paceWorkers(now)
	commands := p.commands
	p.commands = nil
	return commands
}

// dropLost ends the runs on workers whose leases have expired, and removes
// workers that are gone. A successor that this owner does not know of may have
// renewed a lease, so only leases that expired before proven count.
func (p *Planner) dropLost(now, proven time.Time) {
	for _, w := range slices.Clone(p.sortedWorkers) {
		switch {
		case w.isUnverified && w.unstoredEnds(p.jobsReadAt) == 0 && proven.After(w.leaseEnd):
			switch {
			case !w.mayStartLate(proven):
				p.removeWorker(w, "leases_expired", fmt.Sprintf("no answer before every lease expired, %s ago", proven.Sub(w.leaseEnd)))
			case !w.isOverdue:
				p.reportWorker("worker_overdue", w, "every lease expired, a start that was meant for it may take effect on the next process")
			}
			w.isOverdue = true
		case !w.isUnverified && w.areLeasesExpired(proven):
			p.endLapsed(now, proven, w)
		case w.isGone(now) && !w.isNeeded(p.jobsReadAt) && len(w.withdrawnStarts) == 0:
			p.reportWorker("worker_gone", w, fmt.Sprintf("not listed, %d ends not stored", w.unstoredEnds(p.jobsReadAt)))
			p.applyProcessEvent(w, "entry_expired")
			p.forgetWorker(w)
		}
	}
}

// areLeasesExpired reports whether the worker has runs, but hasn't answered since
// before its leases expired.
func (w *Worker) areLeasesExpired(proven time.Time) bool {
	hasRuns := len(w.runs) > 0 || w.hasUnknownRuns
	return hasRuns && !w.failedSince.IsZero() && proven.After(w.leaseEnd) && w.answeredAt.Before(w.leaseEnd)
}

// endLapsed ends the runs of an unresponsive worker whose leases have expired.
func (p *Planner) endLapsed(now, proven time.Time, w *Worker) {
	w.hasUnknownRuns = false
	p.forgetUnknownRuns(w, nil)
	lapsed := slices.DeleteFunc(runsOf(w), func(r *run) bool { return !proven.After(p.leaseEndOf(r)) })
	if len(lapsed) > 0 {
		p.reportWorker("worker_lapsed", w, fmt.Sprintf("no answer for %s, leases ended %s ago, %d of %d runs", now.Sub(w.failedSince), now.Sub(w.leaseEnd), len(lapsed), len(w.runs)))
	}
	p.recordCrash(w, lapsed)
	for _, r := range lapsed {
		p.endRun(r, "lapse", "lease expired")
	}
}

func (p *Planner) stopFinalJobs(now time.Time) {
	for _, w := range p.sortedWorkers {
		for _, r := range w.runsInOrder {
			if r.task.step.occurrence.job.state.IsFinal() {
				p.stop(now, r, "job is "+string(r.task.step.occurrence.job.state))
			}
		}
	}
}

// stop sends a stop command for a run, unless one was sent before.
func (p *Planner) stop(now time.Time, r *run, reason string) {
	if !p.transition(r, "stop") {
		return
	}
	r.stopSent = now
	p.reportRun("stop", r, reason)
	p.commands = append(p.commands, Command{Kind: StopRun, Run: r.id, WorkerID: r.worker.ID})
}

func (p *Planner) resendStops(now time.Time) {
	for _, w := range p.sortedWorkers {
		for _, r := range w.runsInOrder {
			if r.state == "stopping" && r.isStopDue(now) {
				r.stopSent = now
				r.stopRepeats++
				p.commands = append(p.commands, Command{Kind: StopRun, Run: r.id, WorkerID: w.ID})
			}
		}
		p.sendWithdrawals(now, w)
	}
}

// isStopDue reports whether an unconfirmed stop is to be sent again. A worker that has
// answered since the last one gets it soon, another one less and less often.
func (r *run) isStopDue(now time.Time) bool {
	interval := stopInterval
	if !r.worker.answeredAt.After(r.stopSent) {
		interval = min(stopInterval<<min(r.stopRepeats, 8), maxStopInterval)
	}
	return now.Sub(r.stopSent) > interval
}

// drainWorker moves tasks off a draining worker: long-running tasks
// immediately, other tasks if they would not finish before the worker shuts
// down.
func (p *Planner) drainWorker(now time.Time, w *Worker) {
	shutdownAt := w.LeavesAt()
	for _, r := range w.runsInOrder {
		if r.state != "running" {
			continue
		}
		if !p.hasRoomElsewhere(now, r) {
			p.moveOut(now, r)
			continue
		}
		s := r.task.step
		if s.LongRunning || now.Add(p.remainingTime(r)).After(shutdownAt.Add(-drainMargin)) {
			p.stop(now, r, "worker leaves")
		}
	}
}

// moveOut stops a long-running task on a draining worker for which only another shard has
// room, so that it is handed over before the worker is gone. The rooms of other shards are
// known late, so one task moves after the other.
func (p *Planner) moveOut(now time.Time, r *run) {
	if !r.task.step.LongRunning || p.options.HasRoom == nil || now.Sub(p.movedOutAt) < moveOutInterval || !p.options.HasRoom(r.task.step.reserved()) {
		return
	}
	p.movedOutAt = now
	p.stop(now, r, "worker leaves, another shard has room")
}

// remainingTime estimates how long a run takes to finish, from its progress and
// the estimate of its step.
func (p *Planner) remainingTime(r *run) time.Duration {
	left := 1 - float64(r.percent)/100
	return time.Duration(left * float64(r.task.step.Estimate))
}

// hasRoomElsewhere reports whether another worker has room for the task of a
// run.
func (p *Planner) hasRoomElsewhere(now time.Time, r *run) bool {
	return slices.ContainsFunc(p.candidates(now, r.task.step), func(w *Worker) bool {
		return w != r.worker && w.free.Fits(r.task.step.reserved()) && !slices.Contains(r.task.avoidedWorkers, w.ID)
	})
}

// checkRuns detects stalled and slow runs and moves them.
func (p *Planner) checkRuns(now time.Time, w *Worker) {
	if !w.failedSince.IsZero() {
		return
	}
	for _, r := range w.runsInOrder {
		s := r.task.step
		if r.state == "running" && s.BestEffort && !s.Gang {
			p.checkBestEffort(now, r)
		}
		if r.state != "running" || s.LongRunning || s.Gang || r.pace < 100 || now.Sub(r.paceAt) < stallLimit {
			continue
		}
		// Best-effort tasks only get idle processors, so they may starve on a
		// fully loaded worker.
		if s.BestEffort && w.load() > fullLoad {
			continue
		}
		expected := 100 / max(s.trustedWork().Seconds(), 0.1)
		switch {
		case now.Sub(r.progressAt) > max(stallLimit, s.Estimate/10) && now.Sub(r.startedAt) > stallLimit && p.hasRoomElsewhere(now, r):
			if !w.isSick(now) {
				p.reportWorker("worker_sick", w, "a task stands still")
				w.markSick(now)
			}
			r.task.avoid(w)
			p.stop(now, r, fmt.Sprintf("no progress at %d%% for %s", r.percent, now.Sub(r.progressAt)))
		case r.rateAt == w.polledAt && !r.rateAt.IsZero() && r.cpuShare() > minRateShare:
			// A run that gets less CPU than it needs is slower for that reason,
			// so its rate is corrected by its CPU share.
			w.recordSpeed(now, r.rate/expected/r.cpuShare())
			if w.isSlow(now) && p.isSoonerElsewhere(r) && p.hasRoomElsewhere(now, r) {
				r.task.avoid(w)
				p.stop(now, r, fmt.Sprintf("worker at %.2f of its speed", w.speed))
			}
			r.rateAt = time.Time{}
		}
	}
}

// minRateShare is the least share of its CPU need that a run must get for its
// rate to tell the speed of its worker.
const minRateShare = 0.2

// fullLoad is the load above which a best-effort task may get no CPU at all.
const fullLoad = 1.0

// isSoonerElsewhere reports whether a run needs more than minMoveGain times as
// long to finish as its task would need on a healthy worker. The time there is
// the whole estimate plus moveCost, even if a checkpoint would shorten it.
func (p *Planner) isSoonerElsewhere(r *run) bool {
	if r.rate <= 0 {
		return true
	}
	here := time.Duration((100 - float64(r.percent)) / r.rate * r.cpuShare() * float64(time.Second))
	there := r.task.step.Estimate + moveCost
	return float64(here) > minMoveGain*float64(there)
}

// startWaiting starts waiting tasks, the most valuable work first.
func (p *Planner) startWaiting(now time.Time) {
	p.startsLeft = p.startLimit
	p.updateShares(now)
	if p.startSteps(now, p.orderSteps(now)) {
		p.startSpeculativeCopies(now)
	}
}

// orderSteps returns the open steps with waiting tasks in the order in which
// they get capacity. Long-running steps come first, because they are worth
// something as long as they run. The other steps are ordered by whether they
// can still meet their objective, are late, or are no longer worth anything.
// Steps of the same rank are ordered by the operators' priority, and then by
// the least remaining work, because that finishes the most jobs with the same
// capacity. Among steps of the same rank, startSteps puts the work of organisations
// that is beyond their rates and shares behind the other.
func (p *Planner) orderSteps(now time.Time) []*step {
	type ranked struct {
		step     *step
		rank     int
		priority int
		left     time.Duration
	}
	var all []ranked
	for _, j := range p.activeJobs {
		if j.mayHaveUnverifiedRuns && !p.hasUnverifiedWorkers(j) {
			j.mayHaveUnverifiedRuns = false
		}
		for _, o := range j.occurrences {
			left := o.remainingWork()
			for _, s := range o.steps {
				if !s.isOpen || len(s.waiting) == 0 || (j.mayHaveUnverifiedRuns && !s.Speculative) {
					continue
				}
				all = append(all, ranked{s, p.rank(now, s), j.Queue.Priority, left})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.priority, b.priority), cmp.Compare(a.left, b.left))
	})
	steps := make([]*step, len(all))
	for i := range all {
		steps[i] = all[i].step
	}
	return steps
}

// The ranks of steps, best first.
const (
	rankLongRunning = iota
	rankInTime
	rankLate
	rankWorthless
)

// rank returns the rank of a step. An occurrence of a scheduled job counts as if
// it had arrived now, so it is always in time if its estimate meets the
// objective.
func (p *Planner) rank(now time.Time, s *step) int {
	if s.LongRunning {
		return rankLongRunning
	}
	j := s.occurrence.job
	objective := j.objective()
	due := j.arrived.Add(objective)
	if j.Times > 0 {
		due = now.Add(objective)
	}
	switch {
	case now.Add(s.estimate()).Before(due):
		return rankInTime
	case now.Before(j.arrived.Add(worthlessFactor * objective)):
		return rankLate
	default:
		return rankWorthless
	}
}

// startStep starts as many waiting tasks of a step as there is room for. The
// waits of those for which there is none begin at the same time.
func (p *Planner) startStep(now time.Time, s *step) {
	candidates := p.candidates(now, s)
	if s.LongRunning {
		p.updateHeadroom(now, candidates)
	}
	waiting := slices.Clone(s.waiting)
	isFull := false
	for _, t := range waiting {
		if t.done || len(t.runs) > 0 {
			s.waiting = slices.DeleteFunc(s.waiting, func(o *task) bool { return o == t })
			continue
		}
		if p.startsLeft <= 0 {
			return
		}
		if now.Before(t.retryAt) || t.mustWait() || !p.isSafeToStart(now, t) {
			continue
		}
		if p.isBlockedByCap(s, t) {
			continue
		}
		if t.readyAt.IsZero() {
			t.readyAt = now
		}
		if s.LongRunning && !p.admitLongRunning(now, t) {
			continue
		}
		if isFull {
			continue
		}
		if t.soughtAt.IsZero() {
			t.soughtAt = now
		}
		if !s.LongRunning && p.isUnplaceable(now, t) {
			isFull = true
			continue
		}
		w := p.chooseWorker(now, t, candidates)
		if w == nil && s.LongRunning {
			p.reserveWorker(now, t, candidates)
			continue
		}
		if w == nil && (t.suspicion() > notSuspected || len(t.lateStarts) > 0) {
			continue
		}
		if w == nil {
			p.markUnplaceable(now, t)
			isFull = true
			continue
		}
		p.startRun(now, t, w, p.nextAttempt(t))
	}
}

// nextAttempt returns an attempt number above all that the task has used under
// this and earlier owners and in earlier shards.
func (p *Planner) nextAttempt(t *task) int { return max(t.attempt, p.attemptBase(t)) + 1 }

// attemptBase returns the number above which this owner's attempts at a task begin.
func (p *Planner) attemptBase(t *task) int {
	return t.attemptFloor + int(p.options.Epoch-1)*attemptsPerEpoch
}

// ensureAttempt reports whether a successor's attempts at a task would be above the next one.
// If not, it raises the floor of the task, which then waits until that is stored.
func (p *Planner) ensureAttempt(t *task) bool {
	j := t.step.occurrence.job
	if over := t.attempt - p.attemptBase(t); over >= attemptsPerEpoch {
		t.attemptFloor += over
		t.raisedFloor = t.attemptFloor
		j.markChanged()
		t.floorVersion = j.version
	}
	return j.committed >= t.floorVersion
}

// startRun adds a run of a task to a worker and queues its start command. A
// best-effort task that has waited for ignoreHarmAfter gets minPace if its harm
// at the full pace exceeds relaxedHarmLimit.
func (p *Planner) startRun(now time.Time, t *task, w *Worker, attempt int) {
	p.startsLeft--
	t.attempt = attempt
	r := &run{id: RunID{t.id, attempt}, task: t, worker: w, state: p.chart.Start(), startedAt: now, decidedAt: now, pace: 100, targetPace: 100}
	if t.step.BestEffort && now.Sub(t.readyAt) > ignoreHarmAfter && !t.readyAt.IsZero() {
		if _, ok := p.interference.bestEffortCost(now, w, t.step, 100, relaxedHarmLimit); !ok {
			r.targetPace, r.pace = minPace, minPace
		}
	}
	w.addRun(r)
	p.caps.addUse(t.step)
	t.runs = append(t.runs, r)
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(o *task) bool { return o == t })
	harm, _ := p.interferenceCost(now, w, t.step, r.pace, p.harmLimitFor(now, t))
	p.reportRun("start", r, fmt.Sprintf("needs %d, load %.2f, harm %.2f, image %s, waited %s, job waited %s, due in %s", t.step.Need.CPU, w.load(), harm, t.step.Image, now.Sub(t.readyAt), now.Sub(t.step.occurrence.job.arrived), t.step.occurrence.job.due().Sub(now)))
	p.commands = append(p.commands, Command{
		Kind: StartRun, Run: r.id, WorkerID: w.ID, Payload: t.step.occurrence.job.Payload, Checkpoint: t.checkpoint,
	})
}

// startGang starts all tasks of a gang or none. All tasks get the same attempt
// number and resume from the same checkpoint.
func (p *Planner) startGang(now time.Time, s *step) {
	areSafe := true
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.retryAt) || t.mustWait() {
			return
		}
		// One commit stores what is missing of all members.
		areSafe = p.isSafeToStart(now, t) && areSafe
	}
	if !areSafe || p.isBlockedByCap(s, s.tasks...) {
		return
	}
	attempt := 0
	checkpoint := ""
	for _, t := range s.tasks {
		attempt = max(attempt, p.nextAttempt(t))
		checkpoint = max(checkpoint, t.checkpoint)
	}
	chosen := p.chooseGang(now, s)
	if chosen == nil {
		return
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		p.startRun(now, t, chosen[i], attempt)
	}
}

// startSpeculativeCopies starts a second run of each speculative task whose
// worker is unresponsive, sick or slow.
func (p *Planner) startSpeculativeCopies(now time.Time) {
	for _, w := range p.sortedWorkers {
		isUnresponsive := !w.failedSince.IsZero() && now.Sub(w.failedSince) > speculationDelay
		if !isUnresponsive && !w.isSick(now) && !w.isSlow(now) {
			continue
		}
		for _, r := range runsOf(w) {
			t := r.task
			if !t.step.Speculative || len(t.runs) > 1 || t.done || t.step.occurrence.job.state.IsFinal() || now.Before(t.retryAt) || !p.mayBeCopied(now, r) || !p.isWithinCap(t.step, 1) {
				continue
			}
			if c := p.chooseWorker(now, t, p.candidates(now, t.step)); c != nil {
				p.startRun(now, t, c, p.nextAttempt(t))
			}
		}
	}
}
