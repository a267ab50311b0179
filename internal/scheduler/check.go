package scheduler

import (
	"fmt"
	"maps"
	"slices"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

func sortedOwners(m map[string]map[TaskID]*Task) []string { return slices.Sorted(maps.Keys(m)) }

// Check verifies the invariants and the indexes of the whole state. Its cost is
// proportional to the size of the state: tests call it after each step, and a
// driver after a replay. The error is an InvariantError.
func (c *Core) Check() error {
	reserved := map[string]declarer.Resources{}
	u := usage{teams: map[string]declarer.Resources{}}
	pending := 0
	live := map[string]int{}
	for id, t := range c.tasks {
		if (t.Worker != "") != HoldsReservation(t.State) || id != t.ID || c.tasksByOwner[t.Owner][id] != t {
			return &InvariantError{Invariant: 2, Task: id, Worker: t.Worker, Problem: "worker, state and indexes of the task are inconsistent"}
		}
		if t.Class == declarer.ClassBatch {
			live[t.Owner]++
		}
		if t.State == Pending {
			pending++
		}
		if !HoldsReservation(t.State) {
			continue
		}
		if t.Checkpoint != "" {
			return &InvariantError{Invariant: 3, Task: id, Problem: "task has an unconsumed checkpoint during an attempt"}
		}
		if c.tasksByWorker[t.Worker][id] != t {
			return &InvariantError{Invariant: 1, Task: id, Worker: t.Worker, Problem: "task is not in its worker's index"}
		}
		reserved[t.Worker] = reserved[t.Worker].Add(t.Reserved)
		u.add(t, t.Reserved)
	}
	for _, t := range c.transfers {
		live[t.Owner] += max(t.Count, 1)
	}
	if err := c.checkWorkers(reserved); err != nil {
		return err
	}
	if u.allMilliCPU != c.usage.allMilliCPU || u.batchMilliCPU != c.usage.batchMilliCPU {
		return &InvariantError{Invariant: 1, Problem: "sums of reservations differ from those of the tasks"}
	}
	if err := c.checkJobs(live); err != nil {
		return err
	}
	return c.checkQueue(pending)
}

func (c *Core) checkWorkers(reserved map[string]declarer.Resources) error {
	for id, w := range c.workers {
		if w.Reserved != reserved[id] {
			return &InvariantError{Invariant: 1, Worker: id, Problem: fmt.Sprintf("reserved %v, but its tasks reserve %v", w.Reserved, reserved[id])}
		}
		if !w.Reserved.FitsIn(w.Capacity) {
			return &InvariantError{Invariant: 1, Worker: id, Problem: "reservations exceed the capacity"}
		}
	}
	if !c.mayQuarantine(0) {
		return &InvariantError{Problem: fmt.Sprintf("%d of %d workers are quarantined, which exceeds the limit", len(c.excluded), len(c.workers))}
	}
	return nil
}

func (c *Core) checkJobs(live map[string]int) error {
	for id, j := range c.jobs {
		accepted := j.TakenOver
		if j.Home == c.options.Shard {
			accepted += j.Job.Tasks
		}
		if counted := j.Done + j.Failed + j.Cancelled + j.HandedOver + j.Unstarted.Len() + live[id]; counted != accepted {
			return &InvariantError{Invariant: 3, Problem: fmt.Sprintf("job %s has %d tasks, but %d are counted", id, accepted, counted)}
		}
	}
	return nil
}

// checkQueue verifies that the queue has every pending task and job exactly
// once and in order.
func (c *Core) checkQueue(pending int) error {
	lanes := []*lane{&c.queue.longRunning, &c.queue.delayed}
	for _, m := range []map[string]*lane{c.queue.urgent, c.queue.ordinary} {
		for _, l := range m {
			lanes = append(lanes, l)
		}
	}
	tasks, jobs := 0, 0
	for _, l := range lanes {
		for _, e := range l.entries {
			switch {
			case e.job != nil:
				jobs++
			case c.tasks[e.task.ID] != e.task || e.task.State != Pending:
				return &InvariantError{Invariant: 2, Task: e.task.ID, Problem: "the queue has a task that is not pending"}
			default:
				tasks++
			}
		}
		if !slices.IsSortedFunc(l.entries, l.compare) {
			return &InvariantError{Invariant: 2, Problem: "the queue is out of order"}
		}
	}
	if tasks != pending || jobs != len(c.queue.queuedJobs) {
		return &InvariantError{Invariant: 2, Problem: fmt.Sprintf("the queue has %d tasks and %d jobs, want %d and %d", tasks, jobs, pending, len(c.queue.queuedJobs))}
	}
	return nil
}
