package scheduler

import (
	"maps"
	"slices"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Snapshot is the whole committed state of a shard.
type Snapshot struct {
	Tasks     []Task   `cbor:"1,keyasint"`
	Jobs      []Job    `cbor:"2,keyasint"`
	Workers   []Worker `cbor:"3,keyasint"`
	TakenOver []string `cbor:"4,keyasint"`
}

// Snapshot copies the state, in a fixed order.
func (c *Core) Snapshot() Snapshot {
	var s Snapshot
	for _, t := range c.sortedTasks() {
		s.Tasks = append(s.Tasks, *t)
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		s.Jobs = append(s.Jobs, *c.jobs[id])
	}
	for _, id := range c.workerIDs() {
		s.Workers = append(s.Workers, *c.workers[id])
	}
	s.TakenOver = slices.Sorted(maps.Keys(c.takenOver))
	return s
}

// Restore replaces the state by a snapshot.
func (c *Core) Restore(s Snapshot) error {
	fresh := New(c.options)
	for _, w := range s.Workers {
		w.Reserved = declarer.Resources{}
		fresh.workers[w.ID] = &w
	}
	for _, j := range s.Jobs {
		fresh.jobs[j.Job.ID] = &j
	}
	for _, id := range s.TakenOver {
		fresh.takenOver[id] = true
	}
	for _, t := range s.Tasks {
		fresh.tasks[t.ID] = &t
		if !Holds(t.State) {
			continue
		}
		w := fresh.workers[t.Worker]
		if w == nil {
			return &InvariantError{Invariant: 1, Task: t.ID, Worker: t.Worker, Problem: "snapshot has a task on an unknown worker"}
		}
		w.Reserved = w.Reserved.Add(t.Reserved)
		if !w.Reserved.FitsIn(w.Capacity) {
			return &InvariantError{Invariant: 1, Task: t.ID, Worker: t.Worker, Problem: "snapshot is over the worker's capacity"}
		}
		if fresh.onWorker[w.ID] == nil {
			fresh.onWorker[w.ID] = map[TaskID]*Task{}
		}
		fresh.onWorker[w.ID][t.ID] = &t
	}
	*c = *fresh
	return nil
}

// Tasks returns a copy of every task that is not final, by id.
func (c *Core) Tasks() []Task { return c.Snapshot().Tasks }

// Jobs returns a copy of every job, by id.
func (c *Core) Jobs() []Job { return c.Snapshot().Jobs }

// Workers returns a copy of every worker, by id.
func (c *Core) Workers() []Worker { return c.Snapshot().Workers }
