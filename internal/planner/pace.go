package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// paceWorkers throttles best-effort tasks beside long-running tasks that are
// near their target, and raises the paces again once the tail latencies have
// fallen.
func (p *Planner) paceWorkers(now time.Time) {
	for _, w := range p.sortedWorkers {
		if w.needsPacing && w.failedSince.IsZero() {
			w.needsPacing = false
			p.paceWorker(now, w)
		}
	}
}

// paceWorker sets the paces of the best-effort tasks on one worker.
func (p *Planner) paceWorker(now time.Time, w *Worker) {
	var bestEffort []*run
	for _, r := range w.runsInOrder {
		if r.task.step.BestEffort && r.state == "running" {
			bestEffort = append(bestEffort, r)
		}
	}
	if len(bestEffort) == 0 {
		return
	}
	slices.SortFunc(bestEffort, func(a, b *run) int { return compareRuns(a.id, b.id) })
	for _, v := range p.interference.victimsOf(now, w) {
		// A task whose usual level is low is expected to return to it, and may stay over its
		// target meanwhile.
		if now.Sub(v.run.tailAt) <= maxTailAge && (v.level > throttleLevel || v.run.violation(now) > p.pauseAllAfter()) {
			p.throttleFor(now, v, bestEffort)
		}
	}
	p.raisePaces(now, w, bestEffort)
}

// throttleFor throttles the tasks that disturb v most until the expected level
// of v is at most throttleGoalLevel. If v has violated its target for more than
// pauseAllAfter, throttleFor pauses every best-effort task beside v.
func (p *Planner) throttleFor(now time.Time, v victim, bestEffort []*run) {
	var over time.Duration
	if !v.run.overTargetSince.IsZero() {
		over = now.Sub(v.run.overTargetSince)
	}
	violating := v.run.violation(now)
	if violating > p.pauseAllAfter() {
		for _, f := range bestEffort {
			p.setPace(now, f, 0, fmt.Sprintf("%s over its target for %s", v.run.id, violating))
		}
		return
	}
	threshold := minThrottleRise
	if over > time.Duration(prolongedViolationShare*float64(p.options.ViolationLimit)) {
		threshold = prolongedMinThrottleRise
	}
	// Tasks of late jobs, which earn little, and those beyond a share are throttled first,
	// the last tasks of a step last.
	weight := func(r *run) float64 {
		rise := v.rise(r.task.step, r.expectedCores())
		if p.rank(now, r.task.step) != rankInTime || p.isBeyondInBusyService(now, r.task.step) {
			rise *= lateWeight
		} else if p.hasLastTasks(r.task.step) {
			rise /= lateWeight
		}
		return rise
	}
	slices.SortStableFunc(bestEffort, func(a, b *run) int { return cmp.Compare(weight(b), weight(a)) })
	excess := v.level - throttleGoalLevel
	for _, f := range bestEffort {
		taskRise := v.rise(f.task.step, f.expectedCores())
		if excess <= 0 || taskRise < threshold {
			return
		}
		share := max(0, 1-excess/taskRise)
		p.setPace(now, f, int(share*float64(f.targetPace)/paceStep)*paceStep, fmt.Sprintf("%s at %.2f of its target", v.run.id, math.Exp(v.run.tailLevel)))
		excess -= taskRise
	}
}

// pauseAllAfter returns how long a long-running task may be over its target
// before every best-effort task beside it is paused.
func (p *Planner) pauseAllAfter() time.Duration {
	return time.Duration(pauseAllShare * float64(p.options.ViolationLimit))
}

const (
	// lateWeight multiplies the rise of a task of a late job, and divides that of the last
	// tasks of a step, when tasks are chosen for throttling.
	lateWeight = 4.0
	// raiseInterval is the least time between two increases of a task's pace,
	// since a tail latency reflects a change late.
	raiseInterval = 600 * time.Millisecond
	// paceStep is the granularity of paces, in percent.
	paceStep = 10
)

// raisePaces raises the pace of throttled tasks as far as this is unlikely to
// push a long-running task over its target.
func (p *Planner) raisePaces(now time.Time, w *Worker, bestEffort []*run) {
	isOnTarget := !slices.ContainsFunc(p.interference.victimsOf(now, w), func(v victim) bool { return !v.run.overTargetSince.IsZero() })
	if !isOnTarget {
		return
	}
	p.sortLastTasksFirst(bestEffort)
	for _, f := range bestEffort {
		if f.targetPace < minPace && now.Sub(f.slowedAt) > minPaceDelay {
			p.setPace(now, f, minPace, "no other place")
		}
		if f.targetPace == 100 || now.Sub(f.paceAt) < raiseInterval {
			continue
		}
		need := float64(f.task.step.Need.CPU) / 1000
		limit := min(harmLimit, p.harmLimitFor(now, f.task))
		for _, percent := range [...]int{100, (f.targetPace + 100) / 2 / paceStep * paceStep} {
			if percent > f.targetPace && p.interference.harm(now, w, f.task.step, need*float64(percent-f.targetPace)/100) <= limit {
				p.setPace(now, f, percent, "tails have room")
				break
			}
		}
	}
}

// checkBestEffort sends the pace again to a best-effort task that does not
// follow it, and moves a starved task if another worker has a place for it.
func (p *Planner) checkBestEffort(now time.Time, r *run) {
	sincePaced := now.Sub(r.paceAt)
	switch {
	case sincePaced > paceResendInterval && float64(r.usedCPU) > (float64(r.targetPace)/100+maxOveruse)*float64(r.task.step.Need.CPU):
		p.reportRun("pace_repeated", r, fmt.Sprintf("uses %d of %d millicores at a pace of %d%%", r.usedCPU, r.task.step.Need.CPU, r.targetPace))
		p.repeatPace(now, r)
	case r.targetPace > starvedPace:
		if sincePaced > paceResendInterval && now.Sub(r.progressAt) > paceResendInterval {
			p.repeatPace(now, r)
		}
	case sincePaced > starvedLimit:
		// A task without checkpoints is only moved in the first half of its work,
		// which the move discards. The harm limit at the new place is that of a
		// task that has not waited.
		if len(r.task.runs) == 1 && (r.task.step.Checkpoints || r.percent < 50) {
			r.task.readyAt, r.task.soughtAt = now, now
			if w := p.chooseWorker(now, r.task, p.candidates(now, r.task.step)); w != nil {
				p.stop(now, r, fmt.Sprintf("at a pace of %d%% for %s, has a place on %s", r.targetPace, sincePaced, w.ID))
				return
			}
			r.paceAt = now
		}
		// A pause that was carried out late may have replaced the pace.
		if r.targetPace > 0 && now.Sub(r.progressAt) > starvedLimit {
			p.repeatPace(now, r)
		}
	}
}

// repeatPace sends the target pace of a run again.
func (p *Planner) repeatPace(now time.Time, r *run) {
	r.paceAt = now
	p.commands = append(p.commands, Command{Kind: PaceRun, Run: r.id, WorkerID: r.worker.ID, Percent: r.targetPace})
}

// PaceUnanswered requests that a pace be sent again if it is not known whether
// the worker applied it.
func (p *Planner) PaceUnanswered(id RunID, workerID string) {
	if w := p.workers[workerID]; w != nil && w.runs[id] != nil {
		r := w.runs[id]
		p.commands = append(p.commands, Command{Kind: PaceRun, Run: id, WorkerID: workerID, Percent: r.targetPace})
	}
}

// setPace sets the target pace of a run and queues the command for its worker,
// unless the run already has that pace.
func (p *Planner) setPace(now time.Time, r *run, percent int, reason string) {
	if r.targetPace == percent {
		return
	}
	if r.targetPace == 100 {
		r.slowedAt = now
	}
	r.targetPace, r.pace, r.paceAt = percent, percent, now
	r.worker.victims = nil
	p.reportRun("pace", r, fmt.Sprintf("%d%%: %s", percent, reason))
	p.commands = append(p.commands, Command{Kind: PaceRun, Run: r.id, WorkerID: r.worker.ID, Percent: percent})
}
