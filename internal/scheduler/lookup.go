package scheduler

// Lookup returns a copy of a task that is not final. An unstarted task is found
// only while it is being handed over.
func (c *Core) Lookup(id TaskID) (Task, bool) {
	t := c.tasks[id]
	for _, moving := range c.transfers {
		if moving.ID == id {
			t = moving
		}
	}
	if t == nil {
		return Task{}, false
	}
	return *t, true
}

// LookupWorker returns a copy of a worker.
func (c *Core) LookupWorker(id string) (Worker, bool) {
	w := c.workers[id]
	if w == nil {
		return Worker{}, false
	}
	return *w, true
}
