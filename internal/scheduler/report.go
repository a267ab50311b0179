package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// repeatAfter is how long a command may be without effect before it is
	// given again.
	repeatAfter = 3 * time.Second
	// checkpointLimit is how long an attempt may take to write a checkpoint
	// before it is stopped.
	checkpointLimit = 30 * time.Second
	// maxFailures is how many attempts of a batch task may fail.
	maxFailures = 5
	// updateWorker is the event of a WorkerChanged that keeps the state.
	updateWorker = "update"
)

// begin notes what an owner must look after from its first event on.
func (c *Core) begin(now time.Time) {
	c.begun = now
	for id, j := range c.jobs {
		if j.Home != c.options.Shard || (j.Ended && len(j.Sent) > 0) {
			c.unsent[id] = true
		}
	}
}

func (c *Core) seeWorker(e WorkerSeen) {
	w := c.workers[e.ID]
	seen := Worker{ID: e.ID, Rack: e.Rack, Addr: e.Addr, Capacity: e.Capacity, State: Live}
	switch {
	case w == nil:
		c.record(Change{WorkerChanged: &WorkerChanged{Worker: seen}})
		c.releaseFitting(e.Capacity)
	case (w.Addr != e.Addr || w.Rack != e.Rack || w.Capacity != e.Capacity) && w.Reserved.FitsIn(e.Capacity):
		c.record(Change{WorkerChanged: &WorkerChanged{Worker: Worker{ID: e.ID, Rack: e.Rack, Addr: e.Addr, Capacity: e.Capacity}, Event: updateWorker}})
		c.releaseFitting(e.Capacity)
	}
}

func (c *Core) moveWorker(id, event, reason string) bool {
	return c.moveWorkerUntil(id, event, reason, time.Time{})
}

// moveWorkerUntil moves a worker along its chart if its state allows it.
func (c *Core) moveWorkerUntil(id, event, reason string, probeAt time.Time) bool {
	w := c.workers[id]
	if w == nil || !c.options.Charts.Worker.Accepts(w.State, event) {
		return false
	}
	c.explain(Explanation{Action: "worker_" + event, Worker: id, Reason: reason, Figures: []Figure{{"failed_owners", float64(len(w.FailedOwners))}, {"probes", float64(w.Probes)}}})
	return c.record(Change{WorkerChanged: &WorkerChanged{Worker: Worker{ID: id, ProbeAt: probeAt}, Event: event, Reason: reason}})
}

// missWorker keeps an unreachable worker's attempts until their leases have
// run out.
func (c *Core) missWorker(id string) {
	if c.workers[id] == nil {
		return
	}
	c.moveWorker(id, "lose", "no answer")
	// A report that was requested before says nothing about the time after.
	c.reports[id] = c.now
	for _, t := range c.tasksOn(id) {
		if t.State != Unknown {
			c.moveAttempt(t, AttemptMoved{Event: "lose", Reason: "worker gives no answer"})
		}
	}
}

// loseWorker ends the attempts on a worker whose leases have run out.
func (c *Core) loseWorker(id string, class declarer.Class) {
	c.missWorker(id)
	for _, t := range c.tasksOn(id) {
		if class == "" || t.Class == class {
			c.endAttempt(t, EndedAttempt{Outcome: OutcomeExpired, Reason: "leases have run out"})
		}
	}
}

// takeReport compares what a worker runs with what it should run.
func (c *Core) takeReport(now time.Time, e *WorkerReport) {
	if !e.RequestedAt.IsZero() && !e.RequestedAt.After(c.reports[e.Worker]) {
		return
	}
	w := c.workers[e.Worker]
	if w == nil {
		for _, r := range e.Running {
			c.command(Command{Stop: &StopTask{e.Worker, r.Task, r.Attempt}})
		}
		return
	}
	if !e.RequestedAt.IsZero() {
		c.reports[e.Worker] = e.RequestedAt
	}
	if w.State == Lost {
		c.moveWorker(e.Worker, "return", "reached again")
	}
	listed := make(map[TaskID]bool, len(e.Running)+len(e.Ended))
	for _, a := range e.Ended {
		if t := c.current(e.Worker, a.Task, a.Attempt); t != nil {
			listed[a.Task] = true
			c.endAttempt(t, a)
		}
	}
	for _, r := range e.Running {
		if t := c.current(e.Worker, r.Task, r.Attempt); t != nil {
			listed[r.Task] = true
			c.keepRunning(now, t)
			continue
		}
		c.command(Command{Stop: &StopTask{e.Worker, r.Task, r.Attempt}})
	}
	if !e.RequestedAt.IsZero() {
		c.endMissing(e, listed)
	}
	if c.options.Interference != nil {
		c.options.Interference(c, now, e)
	}
}

// keepRunning handles an attempt that its worker reports as running.
func (c *Core) keepRunning(now time.Time, t *Task) {
	a := c.attempt(t)
	if a.started.IsZero() {
		a.started = now
	}
	switch t.State {
	case Starting:
		c.moveAttempt(t, AttemptMoved{Event: "started"})
	case Unknown:
		event := "found"
		if t.Cancelling || t.Evicting {
			event = "found_stopping"
		}
		c.moveAttempt(t, AttemptMoved{Event: event})
	}
	switch {
	case t.State == Stopping:
		c.command(Command{Stop: &StopTask{t.Worker, t.ID, t.Attempt}})
	case t.State == Checkpointing && a.since.IsZero():
		a.since, a.asked = now, now
		c.command(Command{Checkpoint: &CheckpointTask{t.Worker, t.ID, t.Attempt}})
	case t.State == Checkpointing && now.Sub(a.since) > checkpointLimit:
		c.evict(t, "no checkpoint in time")
	case t.State == Checkpointing && now.Sub(a.asked) >= repeatAfter:
		a.asked = now
		c.command(Command{Checkpoint: &CheckpointTask{t.Worker, t.ID, t.Attempt}})
	case t.State == Running && a.probe && now.Sub(a.started) >= probeSuccess:
		c.moveWorker(t.Worker, "clear", "a probe runs")
	}
}

// endMissing ends the attempts that a worker should run but neither runs nor
// remembers: their start can't arrive any more.
func (c *Core) endMissing(e *WorkerReport, listed map[TaskID]bool) {
	if len(c.onWorker[e.Worker]) <= len(listed) {
		return
	}
	for _, t := range c.tasksOn(e.Worker) {
		a := c.attempts[t.ID]
		if listed[t.ID] || (a != nil && !e.RequestedAt.After(a.latestStart)) {
			continue
		}
		if t.State == Starting {
			// A worker that lost its memory may have run the attempt, so the
			// checkpoint that it consumed is not available again.
			c.moveAttempt(t, AttemptMoved{Event: "refused", Reason: "not started in time", NotBefore: c.stamp().Add(retryPause), Outcome: OutcomeExpired})
			continue
		}
		c.endAttempt(t, EndedAttempt{Outcome: OutcomeExpired, Reason: "no longer on the worker"})
	}
}

// retryPause is how long a task waits after a start that did not happen.
const retryPause = time.Second

func (c *Core) attempt(t *Task) *attempt {
	a := c.attempts[t.ID]
	if a == nil {
		a = &attempt{}
		c.attempts[t.ID] = a
	}
	return a
}

func (c *Core) moveAttempt(t *Task, ch AttemptMoved) bool {
	ch.Task, ch.Attempt = t.ID, t.Attempt
	return c.record(Change{AttemptMoved: &ch})
}

// endAttempt ends the current attempt of a task as a worker reported it, or
// because its leases have run out.
func (c *Core) endAttempt(t *Task, a EndedAttempt) {
	worker, owner, kind := t.Worker, t.Owner, t.Kind
	since := c.attempt(t).since
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
		ch.Event, ch.NotBefore = "fail", c.stamp().Add(pauseAfter(t))
	case a.Outcome == OutcomeCheckpointed && t.State == Checkpointing:
		ch.Event = "checkpointed"
		if !since.IsZero() {
			c.learnSpeed(kind, c.now.Sub(since))
		}
	case a.Outcome == OutcomeExpired && t.State == Unknown:
		ch.Event = "expire"
	default:
		ch.Event = "ended"
	}
	c.explain(Explanation{Action: "attempt_" + ch.Event, Task: t.ID, Job: owner, Worker: worker, Reason: a.Reason, Figures: []Figure{{"attempt", float64(t.Attempt)}, {"failures", float64(t.Failures)}}})
	if !c.moveAttempt(t, ch) {
		return
	}
	c.attributeOutcome(worker, owner, ch.Outcome)
	if j := c.jobs[owner]; t.State == Pending && t.Class == declarer.ClassBatch && j != nil && j.Parked != "" {
		c.record(Change{TaskParked: &TaskParked{t.ID, j.Parked}})
	}
}

// pauseAfter returns how long a task waits after a failure: twice as long each
// time, and less for services, whose callers wait.
func pauseAfter(t *Task) time.Duration {
	longest := 5 * time.Minute
	if t.Class != declarer.ClassBatch {
		longest = 30 * time.Second
	}
	return min(time.Second<<min(t.Failures, 10), longest)
}

// current returns the task if attempt is its current one, on worker.
func (c *Core) current(worker string, id TaskID, attempt uint64) *Task {
	t := c.tasks[id]
	if t == nil || t.Attempt != attempt || t.Worker != worker || !Holds(t.State) {
		return nil
	}
	return t
}

// refuseStart handles a start that a worker has refused or that was never
// sent. Only the second proves that the attempt does not run.
func (c *Core) refuseStart(e StartRefused) {
	t := c.tasks[e.Task]
	if t == nil || t.Attempt != e.Attempt || !Holds(t.State) {
		return
	}
	c.explain(Explanation{Action: "start_refused", Task: t.ID, Job: t.Owner, Worker: t.Worker, Reason: e.Reason, Figures: []Figure{{"attempt", float64(t.Attempt)}}})
	if !e.Withdrawn {
		return
	}
	if t.State == Starting {
		c.moveAttempt(t, AttemptMoved{Event: "refused", Reason: e.Reason})
		return
	}
	c.endAttempt(t, EndedAttempt{Outcome: OutcomeStopped, Reason: e.Reason})
}

// checkpoint ends a running attempt after it has written a checkpoint.
func (c *Core) checkpoint(t *Task, reason string) {
	if t.State != Running || !c.moveAttempt(t, AttemptMoved{Event: "checkpoint", Reason: reason}) {
		return
	}
	a := c.attempt(t)
	a.since, a.asked = c.now, c.now
	c.explain(Explanation{Action: "checkpoint", Task: t.ID, Job: t.Owner, Worker: t.Worker, Reason: reason, Figures: []Figure{{"evictions", float64(t.Evictions)}}})
	c.command(Command{Checkpoint: &CheckpointTask{t.Worker, t.ID, t.Attempt}})
}

// evict stops an attempt; the task goes back to the queue.
func (c *Core) evict(t *Task, reason string) {
	if !c.options.Charts.Task.Accepts(t.State, "evict") || !c.moveAttempt(t, AttemptMoved{Event: "evict", Reason: reason}) {
		return
	}
	c.explain(Explanation{Action: "evict", Task: t.ID, Job: t.Owner, Worker: t.Worker, Reason: reason, Figures: []Figure{{"evictions", float64(t.Evictions)}}})
	c.command(Command{Stop: &StopTask{t.Worker, t.ID, t.Attempt}})
}

// end cancels a task, stopping its attempt first when there is one.
func (c *Core) end(t *Task, reason string) {
	switch {
	case t.State == Pending || t.State == Parked:
		c.record(Change{TaskMoved: &TaskMoved{Task: t.ID, Event: "cancel", Reason: reason}})
	case !t.Cancelling && c.options.Charts.Task.Accepts(t.State, "stop"):
		c.moveAttempt(t, AttemptMoved{Event: "stop", Reason: reason})
		c.command(Command{Stop: &StopTask{t.Worker, t.ID, t.Attempt}})
	}
}

// forgetAfter is how long a lost worker is remembered.
const forgetAfter = time.Hour

// forget drops what has ended for good, at most once a minute.
func (c *Core) forget(now time.Time) {
	if now.Sub(c.forgotten) < time.Minute {
		return
	}
	c.forgotten = now
	c.forgetJobs(now)
	for _, id := range c.workerIDs() {
		since := c.reports[id]
		if since.IsZero() {
			since = c.begun
		}
		if c.workers[id].State == Lost && len(c.onWorker[id]) == 0 && now.Sub(since) >= forgetAfter && c.mayForget() && c.moveWorker(id, "forget", "lost for an hour") {
			delete(c.reports, id)
		}
	}
}

// mayForget keeps the quarantined workers within their part of the domain.
func (c *Core) mayForget() bool {
	return len(c.excluded)*excludedParts <= len(c.workers)-1
}
