package scheduler

import (
	"fmt"
	"maps"
	"slices"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/interpreter"
)

func interpreterEvent(e string) interpreter.Event { return interpreter.Event(e) }

// Apply applies one change. The error is an InvariantError, or a
// TransitionError of a chart, and the state is then unchanged.
func (c *Core) Apply(ch Change) error {
	switch {
	case ch.JobAccepted != nil:
		return c.applyJob(*ch.JobAccepted)
	case ch.TaskAdded != nil:
		return c.addTask(ch.TaskAdded.Task)
	case ch.AttemptPlaced != nil:
		return c.applyPlacement(*ch.AttemptPlaced)
	case ch.AttemptMoved != nil:
		return c.applyAttemptMove(*ch.AttemptMoved)
	case ch.TaskParked != nil:
		return c.applyTaskMove(TaskMoved{ch.TaskParked.Task, "park", ch.TaskParked.Reason})
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
		if j := c.jobs[ch.JobCancelled.JobID]; j != nil {
			j.Ended = true
		}
	}
	return nil
}

func (c *Core) applyJob(ch JobAccepted) error {
	if c.jobs[ch.Job.ID] != nil {
		return &InvariantError{Invariant: 2, Problem: "job " + ch.Job.ID + " accepted twice"}
	}
	c.jobs[ch.Job.ID] = &Job{Job: ch.Job, Submitted: ch.At}
	for i := range ch.Job.Tasks {
		t := Task{
			ID: jobTaskID(ch.Job.ID, i), Class: declarer.ClassBatch, Owner: ch.Job.ID, Team: ch.Job.Team, Kind: ch.Job.Kind,
			Declared: ch.Job.Resources, RunTime: ch.Job.RunTime, Urgent: ch.Job.Urgent, Submitted: ch.At, State: Pending,
		}
		if ch.Job.Deadline > 0 {
			t.Deadline = ch.At.Add(ch.Job.Deadline)
		}
		c.tasks[t.ID] = &t
	}
	return nil
}

func (c *Core) addTask(t Task) error {
	if c.tasks[t.ID] != nil {
		return &InvariantError{Invariant: 2, Task: t.ID, Problem: "task added twice"}
	}
	c.tasks[t.ID] = &t
	return nil
}

func (c *Core) applyPlacement(ch AttemptPlaced) error {
	t, w := c.tasks[ch.Task], c.workers[ch.Worker]
	if t == nil || w == nil {
		return &InvariantError{Invariant: 2, Task: ch.Task, Worker: ch.Worker, Problem: "placement of an unknown task or on an unknown worker"}
	}
	if Holds(t.State) || ch.Attempt != t.Attempt+1 {
		return &InvariantError{Invariant: 2, Task: ch.Task, Worker: ch.Worker, Problem: fmt.Sprintf("attempt %d placed while attempt %d is %s", ch.Attempt, t.Attempt, t.State)}
	}
	next, err := c.options.Charts.Task.Next(t.State, "place")
	if err != nil {
		return err
	}
	if reserved := w.Reserved.Add(ch.Reserved); !reserved.FitsIn(w.Capacity) || ch.Reserved.IsNegative() {
		return &InvariantError{Invariant: 1, Task: ch.Task, Worker: ch.Worker, Problem: fmt.Sprintf("reservation %v over capacity %v", reserved, w.Capacity)}
	}
	t.State, t.Attempt, t.Worker, t.Reserved, t.Reason, t.Checkpoint = next, ch.Attempt, ch.Worker, ch.Reserved, ch.Reason, ""
	w.Reserved = w.Reserved.Add(ch.Reserved)
	if c.onWorker[w.ID] == nil {
		c.onWorker[w.ID] = map[TaskID]*Task{}
	}
	c.onWorker[w.ID][t.ID] = t
	return nil
}

func (c *Core) applyAttemptMove(ch AttemptMoved) error {
	t := c.tasks[ch.Task]
	if t == nil || t.Attempt != ch.Attempt || !Holds(t.State) {
		return &InvariantError{Invariant: 2, Task: ch.Task, Problem: fmt.Sprintf("event %s for attempt %d, which is not current", ch.Event, ch.Attempt)}
	}
	next, err := c.options.Charts.Task.Next(t.State, interpreterEvent(ch.Event))
	if err != nil {
		return err
	}
	t.State = next
	if ch.Reason != "" {
		t.Reason = ch.Reason
	}
	if !Holds(next) {
		c.release(t)
	}
	if ch.Checkpoint != "" {
		t.Checkpoint = ch.Checkpoint
	}
	if ch.Outcome == OutcomeFailed {
		t.Failures++
	}
	c.finish(t)
	return nil
}

// release gives a task's resources back to its worker.
func (c *Core) release(t *Task) {
	w := c.workers[t.Worker]
	w.Reserved = w.Reserved.Sub(t.Reserved)
	delete(c.onWorker[t.Worker], t.ID)
	t.Worker, t.Reserved = "", declarer.Resources{}
}

// finish forgets a task in a final state and counts it in its job.
func (c *Core) finish(t *Task) {
	if !c.options.Charts.Task.IsFinal(t.State) {
		return
	}
	delete(c.tasks, t.ID)
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
	case HandedAway:
		j.HandedOver++
	}
}

func (c *Core) applyTaskMove(ch TaskMoved) error {
	t := c.tasks[ch.Task]
	if t == nil || Holds(t.State) {
		return &InvariantError{Invariant: 2, Task: ch.Task, Problem: "event " + ch.Event + " for a task that is unknown or has an attempt"}
	}
	next, err := c.options.Charts.Task.Next(t.State, interpreterEvent(ch.Event))
	if err != nil {
		return err
	}
	t.State, t.Reason = next, ch.Reason
	c.finish(t)
	return nil
}

func (c *Core) applyReservation(ch ReservationSet) error {
	t := c.current(ch.Task, ch.Attempt)
	if t == nil {
		return &InvariantError{Invariant: 2, Task: ch.Task, Problem: "reservation for an attempt that is not current"}
	}
	w := c.workers[t.Worker]
	if reserved := w.Reserved.Sub(t.Reserved).Add(ch.Reserved); !reserved.FitsIn(w.Capacity) || ch.Reserved.IsNegative() {
		return &InvariantError{Invariant: 1, Task: ch.Task, Worker: w.ID, Problem: fmt.Sprintf("reservation %v over capacity %v", reserved, w.Capacity)}
	}
	w.Reserved = w.Reserved.Sub(t.Reserved).Add(ch.Reserved)
	t.Reserved = ch.Reserved
	return nil
}

func (c *Core) applyHandOver(ch HandedOver) error {
	if err := c.applyTaskMove(TaskMoved{ch.Task, "hand_over", "handed over to " + ch.ToShard}); err != nil {
		return err
	}
	t := c.tasks[ch.Task]
	t.TransferID, t.ToShard = ch.TransferID, ch.ToShard
	return nil
}

func (c *Core) applyTakeOver(ch TakenOver) error {
	if c.takenOver[ch.TransferID] {
		return &InvariantError{Invariant: 3, Task: ch.Task.ID, Problem: "transfer " + ch.TransferID + " taken over twice"}
	}
	t := ch.Task
	t.State, t.TransferID, t.ToShard, t.Worker, t.Reserved = Pending, "", "", "", declarer.Resources{}
	if err := c.addTask(t); err != nil {
		return err
	}
	c.takenOver[ch.TransferID] = true
	return nil
}

func (c *Core) applyWorker(ch WorkerChanged) error {
	w := c.workers[ch.Worker.ID]
	if ch.Event == "" {
		added := ch.Worker
		added.Reserved = declarer.Resources{}
		if w != nil {
			return &InvariantError{Invariant: 1, Worker: w.ID, Problem: "worker added twice"}
		}
		c.workers[added.ID] = &added
		return nil
	}
	if w == nil {
		return &InvariantError{Invariant: 1, Worker: ch.Worker.ID, Problem: "event " + ch.Event + " for an unknown worker"}
	}
	next, err := c.options.Charts.Worker.Next(w.State, interpreterEvent(ch.Event))
	if err != nil {
		return err
	}
	w.State = next
	return nil
}

func replicaID(service, domain string, n int) TaskID {
	return TaskID(fmt.Sprintf("service/%s/%s/%d", service, domain, n))
}

func jobTaskID(job string, n int) TaskID { return TaskID(fmt.Sprintf("job/%s/%d", job, n)) }

func (c *Core) sortedTasks() []*Task {
	tasks := make([]*Task, 0, len(c.tasks))
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		tasks = append(tasks, c.tasks[id])
	}
	return tasks
}

func (c *Core) tasksOn(worker string) []*Task {
	tasks := make([]*Task, 0, len(c.onWorker[worker]))
	for _, id := range slices.Sorted(maps.Keys(c.onWorker[worker])) {
		tasks = append(tasks, c.onWorker[worker][id])
	}
	return tasks
}

func (c *Core) workerIDs() []string { return slices.Sorted(maps.Keys(c.workers)) }
