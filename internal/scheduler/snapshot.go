package scheduler

import (
	"maps"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Snapshot is the whole committed state of a shard. It shares no memory that
// the core modifies, so it can be encoded while the core continues.
type Snapshot struct {
	Tasks      []Task           `cbor:"1,keyasint"`
	Jobs       []Job            `cbor:"2,keyasint"`
	Workers    []Worker         `cbor:"3,keyasint"`
	TakenOver  []TakenTransfers `cbor:"4,keyasint"`
	Transfers  []Task           `cbor:"5,keyasint,omitempty"`
	Sent       []SentTransfers  `cbor:"6,keyasint,omitempty"`
	Allowances []AllowanceSet   `cbor:"7,keyasint,omitempty"`
	DomainOut  bool             `cbor:"9,keyasint,omitempty"`
	DomainAt   time.Time        `cbor:"10,keyasint,omitzero"`
	// ConfigRevision is the highest revision of the configuration that an owner
	// has followed.
	ConfigRevision uint64 `cbor:"11,keyasint,omitempty"`
}

// TakenTransfers are the numbers of the transfers taken over on one path, which
// is SOURCE/DESTINATION: all numbers up to Through, and those in Above.
type TakenTransfers struct {
	Path    string   `cbor:"1,keyasint"`
	Through uint64   `cbor:"2,keyasint"`
	Above   []uint64 `cbor:"3,keyasint,omitempty"`
}

// SentTransfers is the number of the last transfer on one path, which is
// SOURCE/DESTINATION.
type SentTransfers struct {
	Path string `cbor:"1,keyasint"`
	Last uint64 `cbor:"2,keyasint"`
}

// Snapshot returns a copy of the state in a deterministic order.
func (c *Core) Snapshot() Snapshot {
	s := Snapshot{Tasks: c.Tasks(), Jobs: c.Jobs(), Workers: c.Workers(), DomainOut: c.isDomainOut, DomainAt: c.domainChangedAt, ConfigRevision: c.configRevision}
	for _, path := range slices.Sorted(maps.Keys(c.takenOver)) {
		n := c.takenOver[path]
		s.TakenOver = append(s.TakenOver, TakenTransfers{path, n.through, slices.Sorted(maps.Keys(n.above))})
	}
	for _, id := range slices.Sorted(maps.Keys(c.transfers)) {
		s.Transfers = append(s.Transfers, *c.transfers[id])
	}
	for _, path := range slices.Sorted(maps.Keys(c.lastTransfer)) {
		s.Sent = append(s.Sent, SentTransfers{path, c.lastTransfer[path]})
	}
	for _, team := range slices.Sorted(maps.Keys(c.allowances)) {
		s.Allowances = append(s.Allowances, AllowanceSet{Team: team, Amount: c.allowances[team]})
	}
	return s
}

// Restore replaces the state by a snapshot. The error is an InvariantError. On
// an error the state is unchanged.
func (c *Core) Restore(s Snapshot) error {
	fresh := New(c.options)
	for _, w := range s.Workers {
		w.Reserved = declarer.Resources{}
		fresh.workers[w.ID] = &w
		fresh.setWorkerState(&w, w.State)
	}
	fresh.view.isStale = true
	for _, j := range s.Jobs {
		j.Unstarted, j.Remote = slices.Clone(j.Unstarted), slices.Clone(j.Remote)
		fresh.jobs[j.Job.ID] = &j
		fresh.queue.updateJob(&j)
	}
	for _, t := range s.Tasks {
		if err := fresh.restoreTask(&t); err != nil {
			return err
		}
	}
	for _, t := range s.Transfers {
		fresh.transfers[t.TransferID] = &t
	}
	fresh.restoreSettings(s)
	*c = *fresh
	return nil
}

func (c *Core) restoreTask(t *Task) error {
	if !HoldsReservation(t.State) {
		c.addTask(t)
		return nil
	}
	w := c.workers[t.Worker]
	if w == nil {
		return &InvariantError{Invariant: 1, Task: t.ID, Worker: t.Worker, Problem: "snapshot has a task on an unknown worker"}
	}
	if !w.Reserved.Add(t.Reserved).FitsIn(w.Capacity) {
		return &InvariantError{Invariant: 1, Task: t.ID, Worker: t.Worker, Problem: "reservations in the snapshot exceed the worker's capacity"}
	}
	c.addTask(t)
	c.reserve(t)
	return nil
}

func (c *Core) restoreSettings(s Snapshot) {
	for _, n := range s.TakenOver {
		above := make(map[uint64]bool, len(n.Above))
		for _, a := range n.Above {
			above[a] = true
		}
		c.takenOver[n.Path] = &sequenceSet{n.Through, above}
	}
	for _, n := range s.Sent {
		c.lastTransfer[n.Path] = n.Last
	}
	for _, a := range s.Allowances {
		c.allowances[a.Team] = a.Amount
	}
	c.isDomainOut, c.domainChangedAt, c.configRevision = s.DomainOut, s.DomainAt, s.ConfigRevision
}

// Tasks returns a copy of every task that is not final, not unstarted and not
// being handed over, sorted by id.
func (c *Core) Tasks() []Task {
	tasks := make([]Task, 0, len(c.tasks))
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		tasks = append(tasks, *c.tasks[id])
	}
	return tasks
}

// Jobs returns a copy of every job, sorted by id.
func (c *Core) Jobs() []Job {
	jobs := make([]Job, 0, len(c.jobs))
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := *c.jobs[id]
		j.Unstarted, j.Remote = slices.Clone(j.Unstarted), slices.Clone(j.Remote)
		jobs = append(jobs, j)
	}
	return jobs
}

// Workers returns a copy of every worker, sorted by id.
func (c *Core) Workers() []Worker {
	workers := make([]Worker, 0, len(c.workers))
	for _, id := range c.workerIDs() {
		workers = append(workers, *c.workers[id])
	}
	return workers
}
