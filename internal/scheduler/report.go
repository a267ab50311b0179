package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// commandRepeatInterval is how long a command may have no effect before it
	// is repeated.
	commandRepeatInterval = 3 * time.Second
	// checkpointTimeout is how long an attempt may take to write a checkpoint
	// before it is stopped.
	checkpointTimeout = 30 * time.Second
	// maxFailures is the number of failed attempts after which a batch task
	// fails.
	maxFailures = 5
	// workerUpdate is the event of a WorkerChanged that does not change the
	// worker's state.
	workerUpdate = "update"
)

// initOwner records the time of the owner's first event and the jobs with
// counts or cancellations to send.
func (c *Core) initOwner(now time.Time) {
	c.firstEventAt = now
	for id, j := range c.jobs {
		if j.Home != c.options.Shard || (j.Ended && len(j.Sent) > 0) {
			c.unsentJobs[id] = true
		}
	}
}

// registerWorker adds a worker or updates its address, rack and capacity. A
// capacity below the worker's reservations is not taken over.
func (c *Core) registerWorker(e WorkerSeen) {
	w := c.workers[e.ID]
	if w != nil && !w.Reserved.FitsIn(e.Capacity) {
		e.Capacity = w.Capacity
	}
	seen := Worker{ID: e.ID, Rack: e.Rack, Addr: e.Addr, Capacity: e.Capacity, State: Live}
	switch {
	case w == nil:
		c.record(Change{WorkerChanged: &WorkerChanged{Worker: seen}})
		c.releaseFitting(e.Capacity)
	case w.Addr != e.Addr || w.Rack != e.Rack || w.Capacity != e.Capacity:
		c.record(Change{WorkerChanged: &WorkerChanged{Worker: Worker{ID: e.ID, Rack: e.Rack, Addr: e.Addr, Capacity: e.Capacity}, Event: workerUpdate}})
		c.releaseFitting(e.Capacity)
	}
}

func (c *Core) transitionWorker(id, event, reason string) bool {
	return c.transitionWorkerWithProbe(id, event, reason, time.Time{})
}

// transitionWorkerWithProbe applies an event of the worker's chart, with the
// time of the worker's next probe, if the worker's state accepts the event.
func (c *Core) transitionWorkerWithProbe(id, event, reason string, probeAt time.Time) bool {
	w := c.workers[id]
	if w == nil || !c.options.Charts.Worker.Accepts(w.State, event) {
		return false
	}
	c.explain(Explanation{Action: "worker_" + event, Worker: id, Reason: reason, Figures: []Figure{{"failed_owners", float64(len(w.FailedOwners))}, {"probes", float64(w.Probes)}}})
	return c.record(Change{WorkerChanged: &WorkerChanged{Worker: Worker{ID: id, ProbeAt: probeAt}, Event: event, Reason: reason}})
}

// markLeaving records that a worker accepts no new work.
func (c *Core) markLeaving(id string) {
	if w := c.workers[id]; w != nil && !w.Leaving {
		c.transitionWorker(id, "leave", "worker is listed as leaving")
	}
}

// markUnreachable marks a worker as lost. Its attempts are kept in state
// unknown until their leases expire.
func (c *Core) markUnreachable(id string) {
	if c.workers[id] == nil {
		return
	}
	c.transitionWorker(id, "lose", "worker does not respond")
	// Reports requested before this time are out of date.
	c.reportsValidAfter[id] = c.now
	for _, t := range c.tasksOn(id) {
		if t.State != Unknown {
			c.transitionAttempt(t, AttemptMoved{Event: "lose", Reason: "worker does not respond"})
		}
	}
}

// expireLeases ends the attempts on a worker whose leases have expired.
func (c *Core) expireLeases(id string, class declarer.Class) {
	c.markUnreachable(id)
	for _, t := range c.tasksOn(id) {
		if class == "" || t.Class == class {
			c.endAttempt(t, EndedAttempt{Outcome: OutcomeExpired, Reason: "leases have expired"})
		}
	}
}

// handleReport compares the attempts that a worker runs with those that it
// should run.
func (c *Core) handleReport(now time.Time, e *WorkerReport) {
	if !e.RequestedAt.IsZero() && !e.RequestedAt.After(c.reportsValidAfter[e.Worker]) {
		return
	}
	w := c.workers[e.Worker]
	if w == nil {
		for _, r := range e.Running {
			c.emit(Command{Stop: &StopTask{e.Worker, r.Task, r.Attempt}})
		}
		return
	}
	if !e.RequestedAt.IsZero() {
		c.reportsValidAfter[e.Worker] = e.RequestedAt
	}
	if w.State == Lost {
		c.transitionWorker(e.Worker, "return", "worker responds again")
		if w.Leaving {
			c.transitionWorker(e.Worker, "leave", "worker was listed as leaving")
		}
	}
	listed := make(map[TaskID]bool, len(e.Running)+len(e.Ended))
	for _, a := range e.Ended {
		if t := c.currentTask(e.Worker, a.Task, a.Attempt); t != nil {
			listed[a.Task] = true
			c.endAttempt(t, a)
			continue
		}
		c.completeExpired(a)
	}
	for _, r := range e.Running {
		if t := c.currentTask(e.Worker, r.Task, r.Attempt); t != nil {
			listed[r.Task] = true
			c.handleRunning(now, t)
			continue
		}
		c.emit(Command{Stop: &StopTask{e.Worker, r.Task, r.Attempt}})
	}
	if !e.RequestedAt.IsZero() {
		c.endMissingAttempts(e, listed)
	}
	if c.options.Interference != nil {
		c.options.Interference(c, now, e)
	}
}

// completeExpired ends a task whose last attempt has completed, although its
// leases had expired before its worker reported that, unless the task has
// another attempt by now.
func (c *Core) completeExpired(a EndedAttempt) {
	t := c.tasks[a.Task]
	if t == nil || t.Class != declarer.ClassBatch || t.Attempt != a.Attempt || HoldsReservation(t.State) || a.Outcome != OutcomeCompleted {
		return
	}
	c.explain(Explanation{Action: "attempt_complete", Task: t.ID, Job: t.Owner, Reason: "reported after its leases had expired", Figures: []Figure{{"attempt", float64(t.Attempt)}}})
	c.record(Change{TaskMoved: &TaskMoved{Task: t.ID, Event: "complete", Reason: "reported after its leases had expired"}})
}

// handleRunning handles an attempt that its worker reports as running.
func (c *Core) handleRunning(now time.Time, t *Task) {
	a := c.attempt(t)
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	switch t.State {
	case Starting:
		c.transitionAttempt(t, AttemptMoved{Event: "started"})
	case Unknown:
		event := "found"
		if t.Cancelling || t.Evicting {
			event = "found_stopping"
		}
		c.transitionAttempt(t, AttemptMoved{Event: event})
	}
	switch {
	case t.State == Stopping:
		c.emit(Command{Stop: &StopTask{t.Worker, t.ID, t.Attempt}})
	case t.State == Checkpointing && a.checkpointSince.IsZero():
		a.checkpointSince, a.checkpointSentAt = now, now
		c.emit(Command{Checkpoint: &CheckpointTask{t.Worker, t.ID, t.Attempt}})
	case t.State == Checkpointing && now.Sub(a.checkpointSince) > checkpointTimeout:
		c.evict(t, "no checkpoint within the time limit")
	case t.State == Checkpointing && now.Sub(a.checkpointSentAt) >= commandRepeatInterval:
		a.checkpointSentAt = now
		c.emit(Command{Checkpoint: &CheckpointTask{t.Worker, t.ID, t.Attempt}})
	case t.State == Running && a.isProbe && now.Sub(a.startedAt) >= probeSuccessTime:
		c.transitionWorker(t.Worker, "clear", "a probe has run long enough")
	}
}

// endMissingAttempts ends the attempts that a worker should run but that its
// report does not list. It skips an attempt that the worker could still have
// started after the report was requested.
func (c *Core) endMissingAttempts(e *WorkerReport, listed map[TaskID]bool) {
	if len(c.tasksByWorker[e.Worker]) <= len(listed) {
		return
	}
	for _, t := range c.tasksOn(e.Worker) {
		a := c.attempts[t.ID]
		if listed[t.ID] || (a != nil && !e.RequestedAt.After(a.latestStart)) {
			continue
		}
		if t.State == Starting {
			// The worker may have run the attempt and then lost its memory, so the
			// checkpoint that the attempt consumed must not be used again.
			c.transitionAttempt(t, AttemptMoved{Event: "refused", Reason: "not started in time", NotBefore: c.timestamp().Add(startRetryDelay), Outcome: OutcomeExpired})
			continue
		}
		c.endAttempt(t, EndedAttempt{Outcome: OutcomeExpired, Reason: "worker no longer reports the attempt"})
	}
}

// startRetryDelay is how long a task waits after an attempt that was not
// started in time.
const startRetryDelay = time.Second

func (c *Core) attempt(t *Task) *attempt {
	a := c.attempts[t.ID]
	if a == nil {
		a = &attempt{}
		c.attempts[t.ID] = a
	}
	return a
}

func (c *Core) transitionAttempt(t *Task, ch AttemptMoved) bool {
	ch.Task, ch.Attempt = t.ID, t.Attempt
	return c.record(Change{AttemptMoved: &ch})
}

// endAttempt ends the current attempt of a task because its worker reported the
// end or its leases have expired.
func (c *Core) endAttempt(t *Task, a EndedAttempt) {
	worker, owner, kind := t.Worker, t.Owner, t.Kind
	since := c.attempt(t).checkpointSince
	ch := AttemptMoved{Checkpoint: a.Checkpoint, Reason: a.Reason, Outcome: a.Outcome}
	switch {
	case a.Outcome == OutcomeCompleted && t.Class == declarer.ClassBatch:
		ch.Event = "complete"
	case t.Cancelling && t.State == Stopping, t.Cancelling && t.State == Unknown:
		ch.Event, ch.Outcome = "stopped", OutcomeStopped
	case t.State == Stopping:
		ch.Event, ch.Outcome = "evicted", OutcomeStopped
	case a.Outcome == OutcomeFailed && t.Class == declarer.ClassBatch && t.Failures+1 >= maxFailures:
		ch.Event = "exhaust"
	case a.Outcome == OutcomeFailed:
		ch.Event, ch.NotBefore = "fail", c.timestamp().Add(failureDelay(t))
	case a.Outcome == OutcomeCheckpointed && t.State == Checkpointing:
		ch.Event = "checkpointed"
		if !since.IsZero() {
			c.recordCheckpointTime(kind, c.now.Sub(since))
		}
	case a.Outcome == OutcomeExpired && t.State == Unknown:
		ch.Event = "expire"
	default:
		ch.Event = "ended"
	}
	c.explain(Explanation{Action: "attempt_" + ch.Event, Task: t.ID, Job: owner, Worker: worker, Reason: a.Reason, Figures: []Figure{{"attempt", float64(t.Attempt)}, {"failures", float64(t.Failures)}}})
	if !c.transitionAttempt(t, ch) {
		return
	}
	c.attributeOutcome(worker, owner, ch.Outcome)
	if j := c.jobs[owner]; t.State == Pending && t.Class == declarer.ClassBatch && j != nil && j.Parked != "" {
		c.record(Change{TaskParked: &TaskParked{t.ID, j.Parked}})
	}
}

// failureDelay returns how long a task waits after a failure. The delay doubles
// with each failure. Its limit is lower for services and watchers, since
// callers wait for services.
func failureDelay(t *Task) time.Duration {
	maxDelay := 5 * time.Minute
	if t.Class != declarer.ClassBatch {
		maxDelay = 30 * time.Second
	}
	return min(time.Second<<min(t.Failures, 10), maxDelay)
}

// currentTask returns the task if attempt is its current attempt and runs on
// worker, and nil otherwise.
func (c *Core) currentTask(worker string, id TaskID, attempt uint64) *Task {
	t := c.tasks[id]
	if t == nil || t.Attempt != attempt || t.Worker != worker || !HoldsReservation(t.State) {
		return nil
	}
	return t
}

// handleRefusedStart handles a start that a worker refused or that was
// withdrawn. Only a withdrawn start proves that the attempt does not run.
func (c *Core) handleRefusedStart(e StartRefused) {
	t := c.tasks[e.Task]
	if t == nil || t.Attempt != e.Attempt || !HoldsReservation(t.State) {
		return
	}
	c.explain(Explanation{Action: "start_refused", Task: t.ID, Job: t.Owner, Worker: t.Worker, Reason: e.Reason, Figures: []Figure{{"attempt", float64(t.Attempt)}}})
	if !e.Withdrawn {
		return
	}
	if t.State == Starting {
		c.transitionAttempt(t, AttemptMoved{Event: "refused", Reason: e.Reason})
		return
	}
	c.endAttempt(t, EndedAttempt{Outcome: OutcomeStopped, Reason: e.Reason})
}

// checkpoint makes a running attempt write a checkpoint and end.
func (c *Core) checkpoint(t *Task, reason string) {
	if t.State != Running || !c.transitionAttempt(t, AttemptMoved{Event: "checkpoint", Reason: reason}) {
		return
	}
	a := c.attempt(t)
	a.checkpointSince, a.checkpointSentAt = c.now, c.now
	c.explain(Explanation{Action: "checkpoint", Task: t.ID, Job: t.Owner, Worker: t.Worker, Reason: reason, Figures: []Figure{{"evictions", float64(t.Evictions)}}})
	c.emit(Command{Checkpoint: &CheckpointTask{t.Worker, t.ID, t.Attempt}})
}

// evict stops an attempt and returns the task to the queue.
func (c *Core) evict(t *Task, reason string) {
	if !c.options.Charts.Task.Accepts(t.State, "evict") || !c.transitionAttempt(t, AttemptMoved{Event: "evict", Reason: reason}) {
		return
	}
	c.explain(Explanation{Action: "evict", Task: t.ID, Job: t.Owner, Worker: t.Worker, Reason: reason, Figures: []Figure{{"evictions", float64(t.Evictions)}}})
	c.emit(Command{Stop: &StopTask{t.Worker, t.ID, t.Attempt}})
}

// cancelTask cancels a task. If the task has an attempt, it stops the attempt
// first.
func (c *Core) cancelTask(t *Task, reason string) {
	switch {
	case t.State == Pending || t.State == Parked:
		c.record(Change{TaskMoved: &TaskMoved{Task: t.ID, Event: "cancel", Reason: reason}})
	case !t.Cancelling && c.options.Charts.Task.Accepts(t.State, "stop"):
		c.transitionAttempt(t, AttemptMoved{Event: "stop", Reason: reason})
		c.emit(Command{Stop: &StopTask{t.Worker, t.ID, t.Attempt}})
	}
}

// lostWorkerRetention is how long a lost worker is kept.
const lostWorkerRetention = time.Hour

// prune deletes old complete jobs and lost workers, at most once a minute.
func (c *Core) prune(now time.Time) {
	if now.Sub(c.prunedAt) < time.Minute {
		return
	}
	c.prunedAt = now
	c.pruneJobs(now)
	for _, id := range c.workerIDs() {
		since := c.reportsValidAfter[id]
		if since.IsZero() {
			since = c.firstEventAt
		}
		if c.workers[id].State == Lost && len(c.tasksByWorker[id]) == 0 && now.Sub(since) >= lostWorkerRetention && c.mayRemoveWorker() && c.transitionWorker(id, "forget", "worker was lost for an hour") {
			delete(c.reportsValidAfter, id)
		}
	}
}

// mayRemoveWorker reports whether the quarantined workers stay within their
// limit if the domain loses a worker.
func (c *Core) mayRemoveWorker() bool {
	return len(c.excluded)*maxExcludedDivisor <= len(c.workers)-1
}
