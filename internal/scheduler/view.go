package scheduler

import (
	"maps"
	"slices"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// view is the input of the placement policy. Each change updates it.
type view struct {
	placer.View
	// indexByWorker has the index in Workers of each worker that accepts new
	// work.
	indexByWorker map[string]int
	// isStale is set when the set of workers has changed since the view was
	// built.
	isStale bool
	// milliCPU is the sum of the processors of Workers, and total is the sum of
	// all their resources.
	milliCPU int64
	total    declarer.Resources
}

// usage has the sums of all reservations: by team, of all tasks and of batch
// tasks.
type usage struct {
	teams                      map[string]declarer.Resources
	allMilliCPU, batchMilliCPU int64
}

func (u *usage) add(t *Task, r declarer.Resources) {
	u.teams[t.Team] = u.teams[t.Team].Add(r)
	u.allMilliCPU += r.MilliCPU
	if t.Class == declarer.ClassBatch {
		u.batchMilliCPU += r.MilliCPU
	}
}

func placerRunning(t *Task) placer.Running {
	return placer.Running{Kind: t.Kind, Class: t.Class, Reserved: t.Reserved}
}

// reserve adds the reservation of a task to its worker. The task's fields are
// already set.
func (c *Core) reserve(t *Task) {
	w := c.workers[t.Worker]
	w.Reserved = w.Reserved.Add(t.Reserved)
	c.usage.add(t, t.Reserved)
	if c.tasksByWorker[w.ID] == nil {
		c.tasksByWorker[w.ID] = map[TaskID]*Task{}
	}
	c.tasksByWorker[w.ID][t.ID] = t
	if i, ok := c.view.indexByWorker[w.ID]; ok && !c.view.isStale {
		slot := &c.view.Workers[i]
		slot.Reserved = w.Reserved
		slot.Running = append(slot.Running, placerRunning(t))
	}
}

// release removes the reservation of a task from its worker.
func (c *Core) release(t *Task) {
	w := c.workers[t.Worker]
	w.Reserved = w.Reserved.Sub(t.Reserved)
	c.usage.add(t, declarer.Resources{}.Sub(t.Reserved))
	delete(c.tasksByWorker[t.Worker], t.ID)
	if i, ok := c.view.indexByWorker[w.ID]; ok && !c.view.isStale {
		slot := &c.view.Workers[i]
		slot.Reserved = w.Reserved
		// Compare only the fields that placerRunning sets. Others, such as a
		// measured load, may change while the attempt runs.
		isTask := func(r placer.Running) bool { return r.Kind == t.Kind && r.Class == t.Class && r.Reserved == t.Reserved }
		if at := slices.IndexFunc(slot.Running, isTask); at >= 0 {
			slot.Running = slices.Delete(slot.Running, at, at+1)
		}
	}
	t.Worker, t.Reserved = "", declarer.Resources{}
	delete(c.attempts, t.ID)
	c.queue.needsPass = true
}

// refreshView rebuilds the view if the set of workers has changed.
func (c *Core) refreshView() {
	if !c.view.isStale {
		return
	}
	c.view = view{indexByWorker: map[string]int{}}
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		if w.State != Live && w.State != Suspect {
			continue
		}
		c.view.indexByWorker[id] = len(c.view.Workers)
		c.view.Workers = append(c.view.Workers, c.placerWorker(w))
		c.view.milliCPU += w.Capacity.MilliCPU
		c.view.total = c.view.total.Add(w.Capacity)
	}
}

func (c *Core) placerWorker(w *Worker) placer.Worker {
	s := placer.Worker{ID: w.ID, Rack: w.Rack, Capacity: w.Capacity, Reserved: w.Reserved}
	for _, t := range c.tasksOn(w.ID) {
		s.Running = append(s.Running, placerRunning(t))
	}
	return s
}

func (c *Core) tasksOn(worker string) []*Task { return sortedValues(c.tasksByWorker[worker]) }

func (c *Core) workerIDs() []string { return slices.Sorted(maps.Keys(c.workers)) }

func sortedValues(m map[TaskID]*Task) []*Task {
	tasks := make([]*Task, 0, len(m))
	for _, id := range slices.Sorted(maps.Keys(m)) {
		tasks = append(tasks, m[id])
	}
	return tasks
}
