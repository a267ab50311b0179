package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// stopInterval is how often an unanswered stop is repeated.
	stopInterval = 500 * time.Millisecond
	// answerLimit is how long a worker's calls may go unanswered before it gets
	// no more tasks.
	answerLimit = 300 * time.Millisecond
	// copyLimit is how long they may before its speculative tasks are copied.
	copyLimit = 600 * time.Millisecond
	// moveGain is by how much a task must be done sooner elsewhere to be moved.
	moveGain = 1.5
	// moveCost is the time that a move takes besides the work: a stop, a look
	// and a start.
	moveCost = 300 * time.Millisecond
	// lateFactor times the objective is when a job is worth nothing any more.
	lateFactor = 3
	// drainMargin is how long before a worker leaves its last tasks are moved.
	drainMargin = 300 * time.Millisecond
)

// Plan returns the orders that are due, in the order in which they should be
// sent. Until proven this owner was not replaced: after more than the horizon it
// starts nothing.
func (p *Planner) Plan(now, proven time.Time) []Command {
	clear(p.candidatesFor)
	clear(p.hopeless)
	clear(p.busy)
	p.dropLost(now, proven)
	p.openOccurrences(now)
	p.stopFinal(now)
	for _, w := range p.list {
		if w.Draining {
			p.leave(now, w)
		}
		p.checkRuns(now, w)
	}
	p.resendStops(now)
	if now.Sub(proven) < p.options.Horizon {
		p.start(now)
	}
	p.pace(now)
	commands := p.commands
	p.commands = nil
	return commands
}

// dropLost ends the runs on workers whose leases have lapsed, and forgets
// workers that are gone. A successor that this owner doesn't know of may have
// renewed a lease, so only those count that ended before the last proof.
func (p *Planner) dropLost(now, proven time.Time) {
	for _, w := range slices.Clone(p.list) {
		switch {
		case p.suspects[w.ID] && proven.After(p.options.BlockedUntil):
			p.removeWorker(w, "no answer until every lease has lapsed")
		case !p.suspects[w.ID] && !w.failedSince.IsZero() && proven.After(w.leaseEnd) && len(w.runs) > 0 && w.answered.Before(w.leaseEnd):
			p.noteWorker("worker_lapsed", w, fmt.Sprintf("no answer for %s", now.Sub(w.failedSince)))
			for _, r := range runsOf(w) {
				p.endRun(r, "lapse", "lease lapsed")
			}
		case w.isGone(now) && len(w.runs) == 0 && !p.suspects[w.ID]:
			p.noteWorker("worker_gone", w, "not listed")
			p.forgetWorker(w)
		}
	}
}

// openOccurrences begins the occurrences that are due.
func (p *Planner) openOccurrences(now time.Time) {
	wall := p.options.WallTime(now)
	for _, j := range p.active {
		for k := 0; k < j.Times; k++ {
			if j.First.Add(time.Duration(k) * j.Interval).After(wall) {
				break
			}
			if !j.ended[k] {
				j.occurrence(k)
			}
		}
	}
}

func (p *Planner) stopFinal(now time.Time) {
	for _, w := range p.list {
		for _, r := range w.order {
			if r.task.step.occurrence.job.state.isFinal() {
				p.stop(now, r, "job is "+string(r.task.step.occurrence.job.state))
			}
		}
	}
}

// stop orders the stop of a run, once.
func (p *Planner) stop(now time.Time, r *run, why string) {
	if !p.move(r, "stop") {
		return
	}
	r.stopSent = now
	p.note("stop", r, why)
	p.commands = append(p.commands, Command{Kind: StopRun, Run: r.id, WorkerID: r.worker.ID})
}

func (p *Planner) resendStops(now time.Time) {
	for _, w := range p.list {
		for _, r := range w.order {
			if r.state == "stopping" && now.Sub(r.stopSent) > stopInterval {
				r.stopSent = now
				p.commands = append(p.commands, Command{Kind: StopRun, Run: r.id, WorkerID: w.ID})
			}
		}
	}
}

// leave moves tasks off a worker that leaves: lasting ones at once, others
// when they would not be done in time.
func (p *Planner) leave(now time.Time, w *Worker) {
	leaves := w.drainedAt.Add(w.Remaining)
	for _, r := range w.order {
		if r.state != "running" || !p.hasRoomElsewhere(now, r) {
			continue
		}
		s := r.task.step
		if s.Lasting || now.Add(p.remaining(r)).After(leaves.Add(-drainMargin)) {
			p.stop(now, r, "worker leaves")
		}
	}
}

// remaining estimates how long a run still takes where it is.
func (p *Planner) remaining(r *run) time.Duration {
	left := 1 - float64(r.percent)/100
	return time.Duration(left * float64(r.task.step.Estimate))
}

// hasRoomElsewhere reports whether the task of a run could start on another
// worker now.
func (p *Planner) hasRoomElsewhere(now time.Time, r *run) bool {
	return slices.ContainsFunc(p.candidates(now, r.task.step), func(w *Worker) bool {
		return w != r.worker && w.free.Fits(r.task.step.reserved()) && !slices.Contains(r.task.avoid, w.ID)
	})
}

// checkRuns finds runs that stand still or are far too slow, and moves them.
func (p *Planner) checkRuns(now time.Time, w *Worker) {
	if !w.failedSince.IsZero() {
		return
	}
	for _, r := range w.order {
		s := r.task.step
		if r.state == "running" && s.Fills && !s.Gang {
			p.checkFill(now, r)
		}
		if r.state != "running" || s.Lasting || s.Gang || r.pace < 100 || now.Sub(r.paceAt) < stillLimit {
			continue
		}
		// Filling tasks get what others leave, so they may wait on a full worker.
		if s.Fills && w.load() > fullLoad {
			continue
		}
		expected := 100 / max(s.knownWork().Seconds(), 0.1)
		switch {
		case now.Sub(r.movedAt) > max(stillLimit, s.Estimate/10) && now.Sub(r.began) > stillLimit && p.hasRoomElsewhere(now, r):
			if !w.isSick(now) {
				p.noteWorker("worker_sick", w, "a task stands still")
				w.makeSick(now)
			}
			r.task.avoid = append(r.task.avoid, w.ID)
			p.stop(now, r, fmt.Sprintf("no progress at %d%% for %s", r.percent, now.Sub(r.movedAt)))
		case r.rateAt == w.lookedAt && !r.rateAt.IsZero() && r.share() > leastShare:
			// A task that has less of the processors than it asks for is slower by
			// that without the worker being so.
			w.noteSpeed(now, r.rate/expected/r.share())
			if w.isSlow(now) && p.isSoonerElsewhere(r) && p.hasRoomElsewhere(now, r) {
				r.task.avoid = append(r.task.avoid, w.ID)
				p.stop(now, r, fmt.Sprintf("worker at %.2f of its speed", w.speed))
			}
			r.rateAt = time.Time{}
		}
	}
}

// leastShare is the share of its processors from which on a task's rate tells
// anything about its worker.
const leastShare = 0.2

// fullLoad is the load over which a filling task may get nothing.
const fullLoad = 1.0

// isSoonerElsewhere reports whether a run would be done sooner if it began
// again, from its checkpoint, on a sound worker.
func (p *Planner) isSoonerElsewhere(r *run) bool {
	if r.rate <= 0 {
		return true
	}
	here := time.Duration((100 - float64(r.percent)) / r.rate * r.share() * float64(time.Second))
	there := r.task.step.Estimate + moveCost
	return float64(here) > moveGain*float64(there)
}

// start starts waiting tasks, the most valuable work first.
func (p *Planner) start(now time.Time) {
	for _, s := range p.order(now) {
		if s.Gang {
			p.startGang(now, s)
			continue
		}
		p.startStep(now, s)
	}
	p.copyRuns(now)
}

// order returns the open steps with waiting tasks in the order in which they
// should get room. Lasting work comes first since it earns all the time, then
// by the operators' priority. Within one priority, work that can still meet
// its objective comes before work that is late, and work that is worth nothing
// any more comes last; then what has least left to do, since that yields most
// finished jobs for the same room.
func (p *Planner) order(now time.Time) []*step {
	type ranked struct {
		step     *step
		rank     int
		priority int
		left     time.Duration
	}
	var all []ranked
	for _, j := range p.active {
		if j.recovered && len(p.suspects) == 0 {
			j.recovered = false
		}
		for _, o := range j.occurrences {
			left := o.workLeft()
			for _, s := range o.steps {
				if !s.open || len(s.waiting) == 0 || (j.recovered && !s.Speculative) {
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
	rankLasting = iota
	rankInTime
	rankLate
	rankWorthless
)

func (p *Planner) rank(now time.Time, s *step) int {
	if s.Lasting {
		return rankLasting
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
	case now.Before(j.arrived.Add(lateFactor * objective)):
		return rankLate
	default:
		return rankWorthless
	}
}

// startStep starts as many waiting tasks of a step as have room.
func (p *Planner) startStep(now time.Time, s *step) {
	candidates := p.candidates(now, s)
	if s.Lasting {
		p.measureUrgent(now, candidates)
	}
	waiting := slices.Clone(s.waiting)
	for _, t := range waiting {
		if t.done || len(t.runs) > 0 {
			s.waiting = slices.DeleteFunc(s.waiting, func(o *task) bool { return o == t })
			continue
		}
		if now.Before(t.retryAt) {
			continue
		}
		if t.readyAt.IsZero() {
			t.readyAt = now
		}
		if s.Lasting && !p.leavesHeadroom(now, t) {
			continue
		}
		if !s.Lasting && p.isHopeless(now, t) {
			return
		}
		w := p.choose(now, t, candidates)
		if w == nil && s.Lasting {
			p.reserve(now, t, candidates)
			continue
		}
		if w == nil {
			p.noteHopeless(now, t)
			return
		}
		p.startRun(now, t, w, p.nextAttempt(t))
	}
}

// nextAttempt numbers the next run of a task above all that it had under this
// and earlier owners, and in earlier shards.
func (p *Planner) nextAttempt(t *task) int {
	return max(t.attempt+1, t.floor+int(p.options.Epoch-1)*attemptsPerEpoch+1)
}

func (p *Planner) startRun(now time.Time, t *task, w *Worker, attempt int) {
	t.attempt = attempt
	r := &run{id: RunID{t.id, attempt}, task: t, worker: w, state: p.chart.Start(), began: now, pace: 100, wanted: 100}
	if t.step.Fills && now.Sub(t.readyAt) > anywhereLimit && !t.readyAt.IsZero() {
		if harm := p.share.harm(now, w, t.step, float64(t.step.Need.CPU)/1000); harm > waitedHarmLimit {
			r.wanted, r.pace = leastPace, leastPace
		}
	}
	w.take(r)
	t.runs = append(t.runs, r)
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(o *task) bool { return o == t })
	harm, _ := p.costOf(now, w, t, p.harmLimitOf(now, t))
	p.note("start", r, fmt.Sprintf("needs %d, load %.2f, harm %.2f, image %s, waited %s, job waited %s, due in %s", t.step.Need.CPU, w.load(), harm, t.step.Image, now.Sub(t.readyAt), now.Sub(t.step.occurrence.job.arrived), t.step.occurrence.job.due().Sub(now)))
	p.commands = append(p.commands, Command{
		Kind: StartRun, Run: r.id, WorkerID: w.ID, Payload: t.step.occurrence.job.Payload, Checkpoint: t.checkpoint,
	})
}

// startGang starts all tasks of a gang, or none.
func (p *Planner) startGang(now time.Time, s *step) {
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.retryAt) {
			return
		}
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

// copyRuns starts a second run of speculative tasks whose worker doesn't answer
// or is sick.
func (p *Planner) copyRuns(now time.Time) {
	for _, w := range p.list {
		isLate := !w.failedSince.IsZero() && now.Sub(w.failedSince) > copyLimit
		if !isLate && !w.isSick(now) && !w.isSlow(now) {
			continue
		}
		for _, r := range runsOf(w) {
			t := r.task
			if !t.step.Speculative || len(t.runs) > 1 || t.done || t.step.occurrence.job.state.isFinal() || now.Before(t.retryAt) {
				continue
			}
			if c := p.choose(now, t, p.candidates(now, t.step)); c != nil {
				p.startRun(now, t, c, p.nextAttempt(t))
			}
		}
	}
}
