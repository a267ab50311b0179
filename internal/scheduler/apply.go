package scheduler

import (
	"fmt"
	"slices"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/interpreter"
)

// Apply applies one change. The error is an InvariantError, or a
// TransitionError if the change is not a transition of its chart. On an error
// the state is unchanged.
func (c *Core) Apply(ch Change) error {
	switch {
	case ch.JobAccepted != nil:
		return c.applyJob(*ch.JobAccepted)
	case ch.TaskAdded != nil:
		return c.applyTaskAdded(ch.TaskAdded.Task)
	case ch.AttemptPlaced != nil:
		return c.applyPlacement(*ch.AttemptPlaced)
	case ch.AttemptMoved != nil:
		return c.applyAttemptMove(*ch.AttemptMoved)
	case ch.TaskParked != nil:
		return c.applyTaskMove(TaskMoved{Task: ch.TaskParked.Task, Event: "park", Reason: ch.TaskParked.Reason})
	case ch.TaskMoved != nil:
		return c.applyTaskMove(*ch.TaskMoved)
	case ch.ReservationSet != nil:
		return c.applyReservation(*ch.ReservationSet)
	case ch.HandedOver != nil:
		return c.applyHandOver(*ch.HandedOver)
	case ch.TakenOver != nil:
		return c.applyTakeOver(*ch.TakenOver)
	case ch.WorkerChanged != nil:
		return c.applyWorker(*ch.WorkerChanged)
	case ch.JobCancelled != nil:
		return c.applyJobCancelled(*ch.JobCancelled)
	case ch.JobParked != nil:
		return c.applyJobParked(*ch.JobParked)
	case ch.JobForgotten != nil:
		return c.applyJobForgotten(ch.JobForgotten.JobID)
	case ch.TotalsSet != nil:
		return c.applyTotals(*ch.TotalsSet)
	}
	return c.applySetting(ch)
}

// applySetting applies a change that concerns neither tasks, jobs nor workers.
func (c *Core) applySetting(ch Change) error {
	switch {
	case ch.HorizonSet != nil:
		// The ledger keeps the horizons. They limit the owner's renewals of
		// leases and have no effect on the state.
	case ch.DomainSet != nil:
		c.isDomainOut, c.domainChangedAt = ch.DomainSet.Out, ch.DomainSet.At
	case ch.ConfigSet != nil:
		c.configRevision = ch.ConfigSet.Revision
	case ch.AllowanceSet != nil && ch.AllowanceSet.Reset:
		delete(c.allowances, ch.AllowanceSet.Team)
	case ch.AllowanceSet != nil:
		c.allowances[ch.AllowanceSet.Team] = ch.AllowanceSet.Amount
	default:
		return &InvariantError{Problem: "change has no field set"}
	}
	return nil
}

func (c *Core) addTask(t *Task) {
	c.tasks[t.ID] = t
	if c.tasksByOwner[t.Owner] == nil {
		c.tasksByOwner[t.Owner] = map[TaskID]*Task{}
	}
	c.tasksByOwner[t.Owner][t.ID] = t
	if t.State == Pending {
		c.queue.addTask(t)
	}
}

func (c *Core) removeTask(t *Task) {
	delete(c.tasks, t.ID)
	delete(c.tasksByOwner[t.Owner], t.ID)
	if len(c.tasksByOwner[t.Owner]) == 0 {
		delete(c.tasksByOwner, t.Owner)
	}
}

// setState sets the state of a task and adds it to the queue or removes it.
func (c *Core) setState(t *Task, s interpreter.State) {
	if t.State == Pending && s != Pending {
		c.queue.removeTask(t)
	}
	was := t.State
	t.State = s
	if s == Pending && was != Pending {
		c.queue.addTask(t)
	}
}

func (c *Core) applyTaskAdded(t Task) error {
	if c.tasks[t.ID] != nil || t.State != Pending {
		return &InvariantError{Invariant: 2, Task: t.ID, Problem: "task already exists or is added in state " + string(t.State)}
	}
	c.addTask(&t)
	return nil
}

// findUnstarted returns the job and the index of the unstarted task with this id.
func (c *Core) findUnstarted(id TaskID) (*Job, int) {
	name, n, ok := jobTaskIndex(id)
	if j := c.jobs[name]; ok && j != nil && j.Unstarted.Has(IndexRange{n, 1}) {
		return j, n
	}
	return nil, 0
}

// materialise moves an unstarted task from its job's ranges into the task map.
func (c *Core) materialise(j *Job, n int) *Task {
	t := j.task(n)
	j.Unstarted = j.Unstarted.Remove(IndexRange{n, 1})
	c.queue.updateJob(j)
	c.addTask(&t)
	return &t
}

func (c *Core) applyPlacement(ch AttemptPlaced) error {
	t, w := c.tasks[ch.Task], c.workers[ch.Worker]
	var job *Job
	index := 0
	if t == nil {
		if job, index = c.findUnstarted(ch.Task); job != nil {
			unstarted := job.task(index)
			t = &unstarted
		}
	}
	if t == nil || w == nil {
		return &InvariantError{Invariant: 2, Task: ch.Task, Worker: ch.Worker, Problem: "placement of an unknown task or on an unknown worker"}
	}
	if HoldsReservation(t.State) || ch.Attempt != t.Attempt+1 {
		return &InvariantError{Invariant: 2, Task: ch.Task, Worker: ch.Worker, Problem: fmt.Sprintf("attempt %d placed while attempt %d is %s", ch.Attempt, t.Attempt, t.State)}
	}
	next, err := c.options.Charts.Task.Next(t.State, "place")
	if err != nil {
		return err
	}
	if reserved := w.Reserved.Add(ch.Reserved); !reserved.FitsIn(w.Capacity) || ch.Reserved.IsNegative() {
		return &InvariantError{Invariant: 1, Task: ch.Task, Worker: ch.Worker, Problem: fmt.Sprintf("reservation %v exceeds capacity %v", reserved, w.Capacity)}
	}
	if job != nil {
		t = c.materialise(job, index)
	}
	c.setState(t, next)
	t.Attempt, t.Worker, t.Reserved, t.Reason = ch.Attempt, ch.Worker, ch.Reserved, ch.Reason
	t.Resumed, t.Checkpoint = t.Checkpoint, ""
	t.Evicting = false
	c.reserve(t)
	return nil
}

func (c *Core) applyAttemptMove(ch AttemptMoved) error {
	t := c.tasks[ch.Task]
	if t == nil || t.Attempt != ch.Attempt || !HoldsReservation(t.State) {
		return &InvariantError{Invariant: 2, Task: ch.Task, Problem: fmt.Sprintf("event %s for attempt %d, which is not current", ch.Event, ch.Attempt)}
	}
	next, err := c.options.Charts.Task.Next(t.State, interpreter.Event(ch.Event))
	if err != nil {
		return err
	}
	switch ch.Event {
	case "stop":
		t.Cancelling = true
	case "checkpoint":
		t.Evictions++
	case "evict":
		t.Evicting = true
		if t.State != Checkpointing {
			t.Evictions++
		}
	}
	if ch.Reason != "" {
		t.Reason = ch.Reason
	}
	if ch.Checkpoint != "" {
		t.Checkpoint = ch.Checkpoint
	} else if ch.Event == "refused" && ch.Outcome == "" {
		t.Checkpoint = t.Resumed
	}
	c.recordOutcome(t, ch.Outcome)
	if !HoldsReservation(next) {
		t.Resumed, t.Moved = "", false
		t.NotBefore = ch.NotBefore
		c.release(t)
	}
	c.setState(t, next)
	c.retireIfFinal(t)
	return nil
}

// recordOutcome updates the failure records of the task's worker and job.
func (c *Core) recordOutcome(t *Task, o Outcome) {
	w, j := c.workers[t.Worker], c.jobs[t.Owner]
	switch o {
	case OutcomeFailed:
		t.Failures++
		w.FailedOwners = addDistinct(w.FailedOwners, t.Owner)
		if j != nil && t.Class == declarer.ClassBatch {
			j.FailedOn = addDistinct(j.FailedOn, w.ID)
		}
	case OutcomeCompleted:
		w.FailedOwners = nil
		if j != nil && t.Class == declarer.ClassBatch {
			j.FailedOn = nil
		}
	}
}

// addDistinct returns list with name added, unless the list has the name or
// maxFailureSources names.
func addDistinct(list []string, name string) []string {
	if len(list) >= maxFailureSources || slices.Contains(list, name) {
		return list
	}
	return append(slices.Clone(list), name)
}

// retireIfFinal removes a task in a final state and counts it in its job.
func (c *Core) retireIfFinal(t *Task) {
	if !c.options.Charts.Task.IsFinal(t.State) {
		return
	}
	c.removeTask(t)
	c.needsReconcile = c.needsReconcile || t.Class != declarer.ClassBatch
	j := c.jobs[t.Owner]
	if t.Class != declarer.ClassBatch || j == nil {
		return
	}
	switch t.State {
	case Done:
		j.Done++
	case Failed:
		j.Failed++
	case Cancelled:
		j.Cancelled++
	}
	c.unsentJobs[j.Job.ID] = true
}

func (c *Core) applyTaskMove(ch TaskMoved) error {
	if ch.TransferID != "" {
		return c.applyTransferEnd(ch)
	}
	t := c.tasks[ch.Task]
	if t == nil || HoldsReservation(t.State) {
		return &InvariantError{Invariant: 2, Task: ch.Task, Problem: "event " + ch.Event + " for a task that is unknown or has an attempt"}
	}
	next, err := c.options.Charts.Task.Next(t.State, interpreter.Event(ch.Event))
	if err != nil {
		return err
	}
	t.Reason = ch.Reason
	c.setState(t, next)
	c.retireIfFinal(t)
	return nil
}

func (c *Core) applyReservation(ch ReservationSet) error {
	t := c.tasks[ch.Task]
	if t == nil || t.Attempt != ch.Attempt || !HoldsReservation(t.State) {
		return &InvariantError{Invariant: 2, Task: ch.Task, Problem: "reservation for an attempt that is not current"}
	}
	w := c.workers[t.Worker]
	if reserved := w.Reserved.Sub(t.Reserved).Add(ch.Reserved); !reserved.FitsIn(w.Capacity) || ch.Reserved.IsNegative() {
		return &InvariantError{Invariant: 1, Task: ch.Task, Worker: w.ID, Problem: fmt.Sprintf("reservation %v exceeds capacity %v", reserved, w.Capacity)}
	}
	known := c.attempts[t.ID]
	c.release(t)
	t.Worker, t.Reserved = w.ID, ch.Reserved
	c.reserve(t)
	if known != nil {
		c.attempts[t.ID] = known
	}
	return nil
}
