package scheduler

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Lookup returns a copy of a task that is not final.
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

// handOverWaiting offers every waiting batch task to one of the given shards,
// which follows from the task's id.
func (c *Core) handOverWaiting(now time.Time, to []string) {
	if len(to) == 0 {
		return
	}
	for _, t := range c.sortedTasks() {
		if t.State != Pending || t.Class != declarer.ClassBatch {
			continue
		}
		shard := to[xxhash.Sum64String(string(t.ID))%uint64(len(to))]
		// The time tells this transfer from an earlier one of the same task.
		id := fmt.Sprintf("%s/%s/%d", c.options.Shard, t.ID, now.UnixNano())
		offered := *t
		c.record(Change{HandedOver: &HandedOver{t.ID, id, shard}})
		c.commands = append(c.commands, Command{HandOver: &HandOverTask{id, shard, offered}})
	}
}
