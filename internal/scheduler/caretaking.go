package scheduler

// Lookup returns a copy of a task that is not final, untouched or being handed
// over.
func (c *Core) Lookup(id TaskID) (Task, bool) {
	t := c.tasks[id]
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
