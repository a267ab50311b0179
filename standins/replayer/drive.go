package replayer

import (
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

const (
	// commandTimeout is how long an owner waits for the answer to a command, and
	// pollSlack how much longer than its wait for that to a poll.
	commandTimeout = 400 * time.Millisecond
	pollSlack      = 500 * time.Millisecond
	// minLateness and maxLateness bound how much later a call without an answer
	// takes effect.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
)

// drawLateness draws how much later a call takes effect.
func (w *World) drawLateness() time.Duration {
	return minLateness + time.Duration(w.noise.IntN(int((maxLateness-minLateness).Milliseconds())))*time.Millisecond
}

// owner drives the planner of one ownership of the shard. An owner that was
// replaced can't reach the store, and reaches only the workers that its
// successor can't reach.
type owner struct {
	world    *World
	planner  *planner.Planner
	epoch    int64
	sessions map[string]*session
	// provenAt is when the store last confirmed the ownership.
	provenAt   time.Time
	nextCommit time.Time
	// checkpoints holds the last checkpoint of each task that a worker has listed
	// to the owner.
	checkpoints map[planner.TaskID]string
}

// fencesPerEpoch is how many fences an owner has.
const fencesPerEpoch = 16

// fence returns the fence of the owner's calls to a worker.
func (o *owner) fence(known planner.Worker) int64 { return o.epoch*fencesPerEpoch + known.FenceOffset }

func (o *owner) isCurrent() bool { return o == o.world.currentOwner() }

// canReach reports whether calls of the owner arrive at m.
func (o *owner) canReach(m *machine) bool {
	return !m.silent && !m.isOff && (len(o.world.partitioned) == 0 || o.world.partitioned[m.Address] != o.isCurrent())
}

// updateWorkers passes the workers listed by discovery to the planner.
func (o *owner) updateWorkers() {
	o.planner.SetWorkers(o.world.now, o.world.listedWorkers())
	o.endUnusedSessions()
}

// step runs one iteration of the owner's control loop: it sends commands, polls
// workers and commits changes to the store.
func (o *owner) step() {
	w, p := o.world, o.planner
	isReachable := !w.storeDown && o.isCurrent()
	if isReachable {
		o.provenAt = w.now
		p.JobsRead(w.now)
	}
	for _, c := range p.Plan(w.now, o.provenAt) {
		o.send(c)
	}
	for _, c := range p.Contacts(w.now) {
		if s := o.session(c.Worker); c.NeedsPoll && !s.isPolling && !w.now.Before(s.nextPollAt) {
			s.isPolling = true
			o.poll(c, s)
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
			w.progress[c.Job] = w.store(c)
			if c.Progress.State == planner.Done {
				w.recordDone(c.Job)
			}
		}
		p.Committed(changes)
	}
}

// maxRecordBytes bounds the stored progress of a job, however long it has run and however often
// its tasks have failed. Jobs here have up to some hundred tasks.
const maxRecordBytes = 4000

// store returns the progress of a job as a successor reads it.
func (w *World) store(c planner.Change) planner.Progress {
	value, err := planner.Encode(c.Progress)
	if err != nil {
		w.recordViolation("record", "progress of %s: %v", c.Job, err)
		return c.Progress
	}
	if len(value) > maxRecordBytes {
		w.recordViolation("record", "the progress of %s has %d bytes", c.Job, len(value))
	}
	progress, err := planner.Decode[planner.Progress](value)
	if err != nil {
		w.recordViolation("record", "progress of %s: %v", c.Job, err)
	}
	return progress
}

// noteFenced handles a call that was rejected because the worker has seen a higher fence.
// If that is not one of the owner's own, the owner is removed.
func (o *owner) noteFenced(known planner.Worker) {
	if w, ok := o.planner.Worker(known.ID); ok && w.FenceOffset == known.FenceOffset {
		o.remove()
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

// leaseEnd returns when a lease granted now has expired on every worker's
// clock.
func (w *World) leaseEnd() time.Time { return w.now.Add(time.Duration(slowClock * float64(maxLease))) }

// send sends a command to its worker. The command may arrive late, in which
// case its answer is lost, or not at all.
func (o *owner) send(c planner.Command) {
	w, p := o.world, o.planner
	known, ok := p.Worker(c.WorkerID)
	if !ok {
		return
	}
	if c.Kind == planner.StartRun && c.Checkpoint == "" && o.checkpoints[c.Run.TaskID] != "" {
		w.recordViolation("checkpoint", "%s starts without the checkpoint %q", c.Run, o.checkpoints[c.Run.TaskID])
	}
	s := o.session(known)
	m := w.machineAt(known.Address)
	l := s.grant(w, m, o.isWithinHorizon())
	if c.Kind == planner.StartRun {
		p.StartSent(w.now, c.Run, c.WorkerID, w.leaseEnd())
	}
	isDelayed := w.noise.Float64() < w.delayedShare
	if !o.canReach(m) || isDelayed {
		w.schedule(w.now.Add(commandTimeout), func() { o.handleTimeout(c, s) })
		if o.canReach(m) {
			w.schedule(w.now.Add(w.drawLateness()), func() { o.execute(known, c, l, true) })
		}
		return
	}
	w.schedule(w.now.Add(delay), func() {
		outcome := o.execute(known, c, l, false)
		if outcome == unanswered {
			w.schedule(w.now.Add(delay), func() { o.handleRefusedConnection(c, s) })
			return
		}
		w.schedule(w.now.Add(delay), func() { o.handleAnswer(c, s, outcome) })
	})
}

func (o *owner) handleTimeout(c planner.Command, s *session) {
	if o.isRemoved() || s.isStale {
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

// handleRefusedConnection applies that no process has the worker's address, so that nothing
// of a command was sent.
func (o *owner) handleRefusedConnection(c planner.Command, s *session) {
	if c.Kind == planner.StartRun && !o.isRemoved() {
		o.planner.StartAnswered(o.world.now, c.Run, c.WorkerID, planner.Refused, "")
	}
	o.handleTimeout(c, s)
}

// callOutcome is the result of a command that has arrived at an address.
type callOutcome int

const (
	accepted callOutcome = iota
	refused
	// misdirected means that the process at the address has another id.
	misdirected
	// unanswered means that no process has the address.
	unanswered
)

// execute executes a command on the process that has the worker's address by
// now. IsLate is set if the command was held up.
func (o *owner) execute(known planner.Worker, c planner.Command, l lease, isLate bool) callOutcome {
	w := o.world
	m := w.machineAt(known.Address)
	switch {
	case m.isDown:
		return unanswered
	case m.ID != known.ID:
		w.recordArrival(c, known, m)
		return misdirected
	case o.fence(known) < m.fence:
		w.recordArrival(c, known, m)
		o.noteFenced(known)
		return refused
	}
	w.recordArrival(c, known, m)
	switch c.Kind {
	case planner.StartRun:
		if !m.start(w, c, o.fence(known), l.endOn(w, m), isLate || !o.isCurrent()) {
			return refused
		}
	case planner.StopRun:
		m.stop(w, c.Run)
	case planner.PaceRun:
		if e := m.runs[c.Run]; e != nil {
			e.pace = c.Percent
		}
	}
	return accepted
}

func (o *owner) handleAnswer(c planner.Command, s *session, outcome callOutcome) {
	if o.isRemoved() || s.isStale {
		return
	}
	p, now := o.planner, o.world.now
	if outcome == misdirected {
		if c.Kind == planner.StartRun {
			p.StartAnswered(now, c.Run, c.WorkerID, planner.Refused, "")
		}
		o.handleOtherProcess(c.WorkerID, s)
		return
	}
	p.Answered(now, c.WorkerID)
	switch {
	case c.Kind == planner.StopRun:
		p.StopAnswered(now, c.Run, c.WorkerID)
	case c.Kind == planner.StartRun && outcome == accepted:
		p.StartAnswered(now, c.Run, c.WorkerID, planner.Started, "")
	case c.Kind == planner.StartRun:
		p.StartAnswered(now, c.Run, c.WorkerID, planner.Refused, "old")
	}
}

// poll sends a long poll to a worker, which answers as soon as a run has ended
// and after pollWait at the latest. A worker that is contested,
// or didn't answer the last call, answers at once. If ends are
// acknowledged long after the answer that listed them, another poll goes first.
func (o *owner) poll(c planner.Contact, s *session) {
	w, p, sent := o.world, o.planner, o.world.now
	isLeased := o.isWithinHorizon() && !c.IsFailing
	if isLeased {
		p.Leased(c.ID, w.leaseEnd())
	}
	m := w.machineAt(c.Address)
	l := s.grant(w, m, isLeased)
	if !o.canReach(m) {
		w.schedule(w.now.Add(pollWait), func() { o.handlePollFailure(c.ID, s) })
		return
	}
	wait := pollWait
	if c.IsContested || c.IsFailing {
		wait = 0
	}
	acknowledge := c.Acknowledge
	if acknowledge == 0 && c.Committed > 0 && !m.isDown && m.ID == c.ID && m.Born == c.Born {
		acknowledge, sent = c.Committed, sent.Add(2*delay)
	}
	if w.delayedPollShare > 0 && w.noise.Float64() < w.delayedPollShare {
		w.schedule(sent.Add(wait+pollSlack), func() { o.handlePollFailure(c.ID, s) })
		w.schedule(sent.Add(w.drawLateness()), func() { o.executeLatePoll(c, l, acknowledge) })
		return
	}
	w.schedule(sent.Add(delay), func() {
		m := w.machineAt(c.Address)
		switch {
		case m.isDown:
			w.schedule(w.now.Add(delay), func() { o.handleConnectionFailure(c.ID, s) })
			return
		case m.ID != c.ID:
			w.schedule(w.now.Add(delay), func() { o.handleOtherProcess(c.ID, s) })
			return
		case o.fence(c.Worker) < m.fence:
			o.noteFenced(c.Worker)
			return
		}
		m.executePoll(w, o.fence(c.Worker), l, acknowledge)
		o.answerPoll(m, s, planner.PollResult{Sent: sent, FenceOffset: c.FenceOffset, Acknowledged: acknowledge}, w.now.Add(wait))
	})
}

// executeLatePoll executes a poll without an answer on the process that has the
// worker's address and id by now.
func (o *owner) executeLatePoll(c planner.Contact, l lease, acknowledge uint64) {
	w := o.world
	m := w.machineAt(c.Address)
	if m.isDown || m.ID != c.ID || o.fence(c.Worker) < m.fence {
		return
	}
	if c.Born != 0 && m.Born != c.Born {
		w.recordMoment(PollAtNextProcess)
	}
	m.executePoll(w, o.fence(c.Worker), l, acknowledge)
}

func (o *owner) handlePollFailure(id string, s *session) {
	if o.isRemoved() || s.isStale {
		return
	}
	s.isPolling = false
	o.planner.Unanswered(o.world.now, id)
}

// handleConnectionFailure handles a poll that failed because no process has the
// address.
func (o *owner) handleConnectionFailure(id string, s *session) {
	s.nextPollAt = o.world.now.Add(pollRetryDelay)
	o.handlePollFailure(id, s)
}

// answerPoll answers a poll once the worker has the end of a run to report or
// until has passed.
func (o *owner) answerPoll(m *machine, s *session, r planner.PollResult, until time.Time) {
	w := o.world
	if m.isDown {
		w.schedule(w.now.Add(delay), func() { o.handleConnectionFailure(m.ID, s) })
		return
	}
	if !o.canReach(m) {
		w.schedule(w.now.Add(pollWait), func() { o.handlePollFailure(m.ID, s) })
		return
	}
	if len(m.ends) == 0 && w.now.Before(until) {
		w.schedule(w.now.Add(tick), func() { o.answerPoll(m, s, r, until) })
		return
	}
	m.fillPollResult(w, &r)
	w.schedule(w.now.Add(delay), func() { o.handlePollAnswer(m, s, r) })
}
