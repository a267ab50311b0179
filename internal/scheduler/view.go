package scheduler

import (
	"maps"
	"slices"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// view is what the policy sees, kept up to date with each change.
type view struct {
	placer.View
	// slots has the index in Workers of each worker that takes new work.
	slots map[string]int
	// stale is set when the set of workers has changed.
	stale bool
	// milliCPU is the sum over the workers.
	milliCPU int64
	total    declarer.Resources
}

// usage sums the reservations.
type usage struct {
	teams                 map[string]declarer.Resources
	allMilliCPU, batchCPU int64
}

func (u *usage) add(t *Task, r declarer.Resources) {
	u.teams[t.Team] = u.teams[t.Team].Add(r)
	u.allMilliCPU += r.MilliCPU
	if t.Class == declarer.ClassBatch {
		u.batchCPU += r.MilliCPU
	}
}

func runningOf(t *Task) placer.Running {
	return placer.Running{Kind: t.Kind, Class: t.Class, Reserved: t.Reserved}
}

// hold gives a worker's resources to a task, whose fields are already set.
func (c *Core) hold(t *Task) {
	w := c.workers[t.Worker]
	w.Reserved = w.Reserved.Add(t.Reserved)
	c.usage.add(t, t.Reserved)
	if c.onWorker[w.ID] == nil {
		c.onWorker[w.ID] = map[TaskID]*Task{}
	}
	c.onWorker[w.ID][t.ID] = t
	if i, ok := c.view.slots[w.ID]; ok && !c.view.stale {
		slot := &c.view.Workers[i]
		slot.Reserved = w.Reserved
		slot.Running = append(slot.Running, runningOf(t))
	}
}

// release gives a task's resources back to its worker.
func (c *Core) release(t *Task) {
	w := c.workers[t.Worker]
	w.Reserved = w.Reserved.Sub(t.Reserved)
	c.usage.add(t, declarer.Resources{}.Sub(t.Reserved))
	delete(c.onWorker[t.Worker], t.ID)
	if i, ok := c.view.slots[w.ID]; ok && !c.view.stale {
		slot := &c.view.Workers[i]
		slot.Reserved = w.Reserved
		// Other fields of an entry, such as a measured load, change while it
		// runs.
		same := func(r placer.Running) bool { return r.Kind == t.Kind && r.Class == t.Class && r.Reserved == t.Reserved }
		if at := slices.IndexFunc(slot.Running, same); at >= 0 {
			slot.Running = slices.Delete(slot.Running, at, at+1)
		}
	}
	t.Worker, t.Reserved = "", declarer.Resources{}
	delete(c.attempts, t.ID)
	c.queue.changed = true
}

// refreshView makes the view anew when the set of workers has changed.
func (c *Core) refreshView() {
	if !c.view.stale {
		return
	}
	c.view = view{slots: map[string]int{}}
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		if w.State != Live && w.State != Suspect {
			continue
		}
		c.view.slots[id] = len(c.view.Workers)
		c.view.Workers = append(c.view.Workers, c.slot(w))
		c.view.milliCPU += w.Capacity.MilliCPU
		c.view.total = c.view.total.Add(w.Capacity)
	}
}

func (c *Core) slot(w *Worker) placer.Worker {
	s := placer.Worker{ID: w.ID, Rack: w.Rack, Capacity: w.Capacity, Reserved: w.Reserved}
	for _, t := range c.tasksOn(w.ID) {
		s.Running = append(s.Running, runningOf(t))
	}
	return s
}

func (c *Core) tasksOn(worker string) []*Task { return sortedValues(c.onWorker[worker]) }

func (c *Core) workerIDs() []string { return slices.Sorted(maps.Keys(c.workers)) }

func sortedValues(m map[TaskID]*Task) []*Task {
	tasks := make([]*Task, 0, len(m))
	for _, id := range slices.Sorted(maps.Keys(m)) {
		tasks = append(tasks, m[id])
	}
	return tasks
}
