package replayer

import (
	"fmt"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// commandTimeout is how long an owner waits for the answer to a command.
const commandTimeout = 400 * time.Millisecond

// owner drives the planner of one ownership of the shard. An owner that was
// replaced can't reach the store, and reaches only the workers that its
// successor can't reach.
type owner struct {
	world   *World
	planner *planner.Planner
	epoch   int64
	polling map[string]bool
	// provenAt is when the store last confirmed the ownership.
	provenAt   time.Time
	nextCommit time.Time
}

func (o *owner) isCurrent() bool { return o == o.world.currentOwner() }

// canReach reports whether calls of the owner arrive at m.
func (o *owner) canReach(m *machine) bool {
	return m != nil && !m.silent && (len(o.world.partitioned) == 0 || o.world.partitioned[m.ID] != o.isCurrent())
}

// updateWorkers passes the workers listed by discovery to the planner.
func (o *owner) updateWorkers() {
	var all []planner.Worker
	for _, m := range o.world.machines {
		if !m.silent {
			all = append(all, m.Worker)
		}
	}
	o.planner.SetWorkers(o.world.now, all)
}

// step runs one iteration of the owner's control loop: it sends commands, polls
// workers and commits changes to the store.
func (o *owner) step() {
	w, p := o.world, o.planner
	isReachable := !w.storeDown && o.isCurrent()
	if isReachable {
		o.provenAt = w.now
	}
	for _, c := range p.Plan(w.now, o.provenAt) {
		o.send(c)
	}
	for _, c := range p.Contacts(w.now) {
		if c.NeedsPoll && !o.polling[c.ID] {
			o.polling[c.ID] = true
			o.poll(c)
		}
	}
	if !isReachable || w.now.Before(o.nextCommit) {
		return
	}
	if p.NeedsRecord(w.now) {
		w.recorded = p.Recorded(w.now)
		p.SetRecorded(w.recorded)
	}
	if changes := p.Changes(15); len(changes) > 0 {
		o.nextCommit = w.now.Add(20 * time.Millisecond)
		for _, c := range changes {
			w.progress[c.Job] = c.Progress
			if c.Progress.State == planner.Done {
				w.recordDone(c.Job)
			}
		}
		p.Committed(changes)
	}
}

// remove removes an owner whose call was rejected because of a higher epoch.
func (o *owner) remove() {
	o.world.owners = slices.DeleteFunc(o.world.owners, func(x *owner) bool { return x == o })
}

func (o *owner) isRemoved() bool { return !slices.Contains(o.world.owners, o) }

// isWithinHorizon reports whether the store confirmed the ownership within the
// horizon.
func (o *owner) isWithinHorizon() bool { return o.world.now.Sub(o.provenAt) < horizon }

func (w *World) machine(id string) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return w.machines[i]
}

// leaseEnd returns when a lease granted now has expired on every worker's
// clock.
func (w *World) leaseEnd() time.Time { return w.now.Add(time.Duration(slowClock * float64(maxLease))) }

// send sends a command to its worker. The command may arrive late, in which
// case its answer is lost, or not at all.
func (o *owner) send(c planner.Command) {
	w, p := o.world, o.planner
	lease := w.now.Add(maxLease)
	if !o.isWithinHorizon() {
		lease = time.Time{}
	}
	if c.Kind == planner.StartRun {
		p.Leased(c.WorkerID, w.leaseEnd())
	}
	isDelayed := w.noise.Float64() < w.delayedShare
	m := w.machine(c.WorkerID)
	if !o.canReach(m) || isDelayed {
		w.schedule(w.now.Add(commandTimeout), func() { o.handleTimeout(c) })
		if o.canReach(m) {
			w.schedule(w.now.Add(2*time.Second+time.Duration(w.noise.IntN(10000))*time.Millisecond), func() {
				if w.now.Before(lease) {
					o.execute(m, c, lease)
				}
			})
		}
		return
	}
	w.schedule(w.now.Add(delay), func() {
		ok := o.execute(m, c, lease)
		w.schedule(w.now.Add(delay), func() { o.handleAnswer(c, ok) })
	})
}

func (o *owner) handleTimeout(c planner.Command) {
	if o.isRemoved() {
		return
	}
	p, now := o.planner, o.world.now
	p.Unanswered(now, c.WorkerID)
	switch c.Kind {
	case planner.StartRun:
		p.StartAnswered(now, c.Run, c.WorkerID, planner.Unclear, "no answer")
	case planner.PaceRun:
		p.PaceUnanswered(c.Run, c.WorkerID)
	case planner.StopRun:
	}
}

// execute executes a command on a machine and reports whether the machine
// accepted it.
func (o *owner) execute(m *machine, c planner.Command, lease time.Time) bool {
	w := o.world
	if w.machine(c.WorkerID) != m {
		return false
	}
	if o.epoch < m.epoch {
		o.remove()
		return false
	}
	switch c.Kind {
	case planner.StartRun:
		return m.start(w, c, o.epoch, lease)
	case planner.StopRun:
		m.stop(w, c.Run)
	case planner.PaceRun:
		if e := m.runs[c.Run]; e != nil {
			e.pace = c.Percent
		}
	}
	return true
}

func (o *owner) handleAnswer(c planner.Command, ok bool) {
	if o.isRemoved() {
		return
	}
	p, now := o.planner, o.world.now
	p.Answered(now, c.WorkerID)
	switch {
	case c.Kind == planner.StopRun:
		p.StopAnswered(now, c.Run, c.WorkerID)
	case c.Kind == planner.StartRun && ok:
		p.StartAnswered(now, c.Run, c.WorkerID, planner.Started, "")
	case c.Kind == planner.StartRun:
		p.StartAnswered(now, c.Run, c.WorkerID, planner.Refused, "old")
	}
}

// poll sends a long poll to a worker, which answers as soon as a run has ended
// and after pollWait at the latest.
func (o *owner) poll(c planner.Contact) {
	w, p, sent := o.world, o.planner, o.world.now
	isLeased := o.isWithinHorizon() && !c.IsFailing
	if isLeased {
		p.Leased(c.ID, w.leaseEnd())
	}
	m := w.machine(c.ID)
	if !o.canReach(m) {
		w.schedule(w.now.Add(pollWait), func() { o.handlePollFailure(c.ID) })
		return
	}
	w.schedule(w.now.Add(delay), func() {
		if o.epoch < m.epoch {
			o.remove()
			return
		}
		if w.machine(c.ID) != m {
			o.handlePollFailure(c.ID)
			return
		}
		m.epoch = o.epoch
		if lease := w.now.Add(maxLease); isLeased && lease.After(m.leaseEnd) {
			m.leaseEnd = lease
		}
		m.ends = slices.DeleteFunc(m.ends, func(e planner.RunEnd) bool { return e.Number <= c.Acknowledge })
		o.answerPoll(m, c.Acknowledge, sent, w.now.Add(pollWait))
	})
}

func (o *owner) handlePollFailure(id string) {
	if !o.isRemoved() {
		o.polling[id] = false
		o.planner.Unanswered(o.world.now, id)
	}
}

// answerPoll answers a poll once the worker has the end of a run to report or
// until has passed.
func (o *owner) answerPoll(m *machine, acknowledged uint64, sent, until time.Time) {
	w := o.world
	if !o.canReach(m) {
		w.schedule(w.now.Add(pollWait), func() { o.handlePollFailure(m.ID) })
		return
	}
	if len(m.ends) == 0 && w.now.Before(until) {
		w.schedule(w.now.Add(tick), func() { o.answerPoll(m, acknowledged, sent, until) })
		return
	}
	r := m.pollResult(w, sent)
	r.Acknowledged = acknowledged
	w.schedule(w.now.Add(delay), func() {
		if !o.isRemoved() {
			o.polling[m.ID] = false
			o.planner.PollAnswered(w.now, m.ID, r)
		}
	})
}

// startFault starts a fault and schedules its end.
func (w *World) startFault(f Fault) {
	n := int(f.Share * float64(len(w.machines)))
	affected := w.rng.Perm(len(w.machines))[:n]
	end := func(do func()) { w.schedule(w.now.Add(f.For), do) }
	each := func(do func(m *machine, on bool)) {
		for _, i := range affected {
			m := w.machines[i]
			do(m, true)
			end(func() { do(m, false) })
		}
	}
	switch f.Kind {
	case "silent":
		each(func(m *machine, on bool) { m.silent = on })
	case "hang":
		each(func(m *machine, on bool) { m.hangs = on })
	case "fail":
		each(func(m *machine, on bool) { m.fails = on })
	case "slow":
		each(func(m *machine, on bool) { m.slowness = map[bool]float64{true: f.Factor, false: 1}[on] })
	case "drain":
		each(func(m *machine, on bool) { m.Draining, m.Remaining = on, f.For })
	case "crash":
		for _, i := range affected {
			m := w.machines[i]
			m.silent = true
			// Ends that were not acknowledged are lost with the process.
			w.voidUnacknowledgedEnds(m)
			for _, e := range m.runs {
				w.resetOverTarget(e)
			}
			clear(m.runs)
			end(func() { w.machines[i] = newMachine(w.pattern, i, int(m.Born)) })
		}
	case "late":
		w.delayedShare = f.Share
		end(func() { w.delayedShare = 0 })
	case "outage":
		w.storeDown = true
		end(func() { w.storeDown = false })
	case "burst":
		w.burst = f.Factor
		end(func() { w.burst = 1 })
	case "takeover":
		w.owners = nil
		w.addOwner()
	case "split":
		// The owner and the affected workers are partitioned from the other workers,
		// which get a new owner 2 s later.
		w.partitioned = map[string]bool{}
		for _, i := range affected {
			w.partitioned[w.machines[i].ID] = true
		}
		w.schedule(w.now.Add(2*time.Second), w.addOwner)
		end(func() { w.partitioned = nil })
	default:
		panic("unknown fault " + f.Kind)
	}
}

// recordViolation counts a violation of an invariant and keeps the message of
// the first one.
func (w *World) recordViolation(name, format string, args ...any) {
	w.result.Violations[name]++
	if w.result.First[name] == "" {
		w.result.First[name] = fmt.Sprintf("at %s: ", w.now.Sub(w.origin)) + fmt.Sprintf(format, args...)
	}
}

// checkStart counts the start of a run and checks capacity, the order of steps,
// and that no other run of the task is active or has completed it.
func (w *World) checkStart(m *machine, e *execution) {
	w.result.Starts++
	if u := m.used(); !m.Capacity.Fits(u) {
		w.recordViolation("capacity", "%s on %s: reserved %v exceeds capacity %v", e.run, m.ID, u, m.Capacity)
	}
	if w.done[e.run.TaskID] && !w.voided[e.run.TaskID] && !e.step.Speculative {
		w.recordViolation("twice", "%s starts after the task was done", e.run)
	}
	for _, o := range w.machines {
		for _, other := range o.runs {
			if other != e && other.run.TaskID == e.run.TaskID && !e.step.Speculative && !w.now.After(o.leaseEnd) {
				w.recordViolation("twice", "%s starts on %s while %s runs on %s", e.run, m.ID, other.run, o.ID)
			}
		}
	}
	for _, a := range e.step.After {
		for i := range e.job.Steps[a].Count {
			if !w.done[planner.TaskID{Job: e.run.Job, Occurrence: e.run.Occurrence, Step: a, Index: i}] {
				w.recordViolation("order", "%s starts before step %d is done", e.run, a)
				return
			}
		}
	}
}

// voidUnacknowledgedEnds voids the ends that were not acknowledged when the
// lease of a worker expired, so that their tasks may start again.
func (w *World) voidUnacknowledgedEnds(m *machine) {
	for _, e := range m.ends {
		if e.Kind == planner.EndDone {
			w.voided[e.Run.TaskID] = true
		}
	}
}

// recordEnd records the end of a run.
func (w *World) recordEnd(e *execution, kind planner.EndKind) {
	if kind == planner.EndDone {
		w.done[e.run.TaskID] = true
		delete(w.voided, e.run.TaskID)
	}
	w.resetOverTarget(e)
}

// resetOverTarget discards the time since which a run is over its target.
func (w *World) resetOverTarget(e *execution) {
	delete(w.overTargetSince, e.run)
}

// recordDone checks that every task of a job reported as done has completed, and
// counts the job by its response time.
func (w *World) recordDone(id string) {
	j := w.accepted[id]
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if !w.done[planner.TaskID{Job: id, Step: s, Index: i}] {
				w.recordViolation("mixed", "%s is reported as done before task %d.%d", id, s, i)
				return
			}
		}
	}
	if !w.reportedDone[id] {
		w.reportedDone[id] = true
		o := w.result.Classes[j.Queue.Name]
		o.Done++
		switch elapsed := w.now.Sub(w.arrivedAt[id]); {
		case elapsed <= w.objective(j):
			o.InTime++
		case elapsed <= 3*w.objective(j):
			o.Late++
		}
		w.result.Classes[j.Queue.Name] = o
	}
}

// objective returns the target response time of a job: the work of its critical
// path times the queue's stretch, plus the queue's slack.
func (w *World) objective(j *planner.Job) time.Duration {
	var chain time.Duration
	for i := range j.Steps {
		var longest time.Duration
		for n := range j.Steps[i].Count {
			longest = max(longest, w.workOf(j, planner.TaskID{Job: j.ID, Step: i, Index: n}))
		}
		chain += longest
	}
	return time.Duration(j.Queue.Stretch*float64(chain)) + j.Queue.Slack
}

// recordTail counts the time that a long-running task is within its latency
// target, and the violations of the target that best-effort tasks cause.
// Baseline is the tail level without best-effort tasks. While isUnreachable is
// set, violations are not counted, because no owner can end them on a worker
// that has not answered recently.
func (w *World) recordTail(e *execution, baseline float64, isUnreachable bool) {
	name := e.job.Queue.Name
	if w.targetTimes[name] == nil {
		w.targetTimes[name] = &[2]time.Duration{}
	}
	w.targetTimes[name][1] += tick
	if e.isReady(w.now) && e.tailLevel <= 0 {
		w.targetTimes[name][0] += tick
	}
	if e.isReady(w.now) && !w.cancelled[e.run.Job] && w.now.Sub(w.origin) < w.pattern.Length {
		w.creditedTime[name] += tick
		switch {
		case e.tailLevel > 0 && baseline > 0:
			w.creditedTime[name] -= tick
		case e.tailLevel > 0:
			w.creditedTime[name] -= interferencePenalty * tick
		}
	}
	if e.tailLevel <= 0 || baseline > 0 || isUnreachable {
		delete(w.overTargetSince, e.run)
		delete(w.harmCounted, e.run)
		return
	}
	if w.overTargetSince[e.run].IsZero() {
		w.overTargetSince[e.run] = w.now
	}
	if w.now.Sub(w.overTargetSince[e.run]) > w.pattern.ViolationLimit && !w.harmCounted[e.run] {
		w.harmCounted[e.run] = true
		w.recordViolation("harm", "%s has exceeded its target since %s", e.run, w.overTargetSince[e.run].Sub(w.origin))
	}
}

// interferencePenalty is the weight of the time over the target that best-effort
// tasks cause.
const interferencePenalty = 4

const (
	// unfinishedLimit is the age from which a job must have a run if less than
	// half of the CPU is reserved.
	unfinishedLimit = 25 * time.Second
	// stuckLimit is how long a run may make no progress.
	stuckLimit = 10 * time.Second
)

// summarize counts the jobs by class and reports lost, stuck and unfinished
// jobs as violations.
func (w *World) summarize() {
	runs := map[string]bool{}
	var used, capacity int64
	for _, m := range w.machines {
		used += m.used().CPU
		capacity += m.Capacity.CPU
		for _, e := range m.runs {
			runs[e.run.Job] = true
			if !e.step.LongRunning && w.now.Sub(e.lastProgress) > stuckLimit {
				w.recordViolation("stuck", "%s on %s has made no progress for %s", e.run, m.ID, w.now.Sub(e.lastProgress))
			}
		}
	}
	for id, j := range w.accepted {
		o := w.result.Classes[j.Queue.Name]
		o.Accepted++
		state, ok := w.currentOwner().planner.JobState(id)
		switch {
		case !ok:
			w.recordViolation("lost", "%s is unknown to the owner", id)
		case state == planner.Failed:
			o.Failed++
		case state == planner.Queued && !j.Steps[0].LongRunning:
			w.recordViolation("lost", "%s was never started", id)
		}
		if !j.Steps[0].LongRunning && state != planner.Done && state != planner.Failed && w.now.Sub(w.arrivedAt[id]) > unfinishedLimit && !runs[id] && used < capacity/2 {
			w.recordViolation("unfinished", "%s", w.currentOwner().planner.Explain(w.now, id))
		}
		w.result.Classes[j.Queue.Name] = o
	}
	for name, t := range w.targetTimes {
		o := w.result.Classes[name]
		if t[1] > 0 {
			o.OnTarget = float64(t[0]) / float64(t[1])
		}
		if w.requiredTime[name] > 0 {
			o.Availability = max(0, float64(w.creditedTime[name])/float64(w.requiredTime[name]))
		}
		w.result.Classes[name] = o
	}
}
