package scheduler

import (
	"cmp"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// preemptionTimeout is how long a preemption waits for a checkpoint before
	// the attempt that writes it is stopped. With a pass every 250 ms and the
	// start itself, urgent work starts within 5.5 s.
	preemptionTimeout = 3 * time.Second
	// preemptionExpiry is how long capacity is kept for a preemption.
	preemptionExpiry = 10 * time.Second
	// maxPreemptions is the number of preemptions at which preempt makes no
	// further ones for the tasks of a job.
	maxPreemptions = 64
	// checkpointPerMB is the assumed time to write a megabyte of a checkpoint,
	// for kinds of tasks without a measured checkpoint.
	checkpointPerMB = time.Millisecond
	// evictionPenalty is added to the expected checkpoint time of a task for
	// each of its evictions, so that tasks that were evicted before are chosen
	// last.
	evictionPenalty = 5 * time.Second
)

// preemption reserves capacity on a worker for an urgent task or a replica
// while the victims are checkpointed.
type preemption struct {
	task      TaskID
	worker    string
	need      declarer.Resources
	startedAt time.Time
	victims   []TaskID
}

// recordCheckpointTime updates the smoothed checkpoint time of a kind, in which a
// new measurement has a weight of a quarter.
func (c *Core) recordCheckpointTime(kind string, d time.Duration) {
	if old, ok := c.checkpointTimes[kind]; ok {
		d = (3*old + d) / 4
	}
	c.checkpointTimes[kind] = d
}

// expectedCheckpointTime returns the expected time of a task's checkpoint, plus
// evictionPenalty for each of its evictions.
func (c *Core) expectedCheckpointTime(t *Task) time.Duration {
	d, ok := c.checkpointTimes[t.Kind]
	if !ok {
		d = time.Duration(t.Reserved.MemoryMB) * checkpointPerMB
	}
	return d + time.Duration(t.Evictions)*evictionPenalty
}

// preempt makes capacity available for the tasks of an entry, of which t is the
// first: urgent batch tasks, or a replica.
func (c *Core) preempt(t *Task, e entry) {
	if e.job == nil {
		c.preemptFor(t)
		return
	}
	for _, r := range e.job.Unstarted {
		for i := range r.Count {
			if len(c.preemptions) >= maxPreemptions {
				return
			}
			next := e.job.task(r.First + i)
			if !c.preemptFor(&next) {
				return
			}
		}
	}
}

// preemptFor checkpoints batch tasks on the worker where the capacity for t is
// available soonest. It reports whether there is a preemption for t afterwards.
func (c *Core) preemptFor(t *Task) bool {
	if slices.ContainsFunc(c.preemptions, func(k preemption) bool { return k.task == t.ID }) {
		return true
	}
	var best preemption
	var least time.Duration
	for i := range c.view.Workers {
		k, wait, ok := c.planPreemption(c.view.Workers[i].ID, t)
		if ok && (best.worker == "" || wait < least || (wait == least && len(k.victims) < len(best.victims))) {
			best, least = k, wait
		}
	}
	if best.worker == "" {
		return false
	}
	c.preemptions = append(c.preemptions, best)
	c.explain(Explanation{Action: "preempt", Task: t.ID, Job: t.Owner, Worker: best.worker, Reason: "urgent work takes the capacity of the batch tasks with the fastest checkpoints", Figures: []Figure{
		{"victims", float64(len(best.victims))},
		{"checkpoint_seconds", least.Seconds()},
	}})
	for _, id := range best.victims {
		c.checkpoint(c.tasks[id], "frees capacity for urgent work "+string(t.ID))
	}
	return true
}

// planPreemption chooses victims on a worker. It returns the preemption, the
// expected time until the capacity is free, and whether t will fit.
func (c *Core) planPreemption(worker string, t *Task) (preemption, time.Duration, bool) {
	w := c.workers[worker]
	free := w.Capacity.Sub(w.Reserved)
	var victims []*Task
	var wait time.Duration
	for _, o := range c.tasksByWorker[worker] {
		switch {
		case o.State == Checkpointing, o.State == Stopping:
			free = free.Add(o.Reserved)
			wait = max(wait, c.expectedCheckpointTime(o))
		case o.State == Running && o.Class == declarer.ClassBatch && !o.Urgent:
			victims = append(victims, o)
		}
	}
	for _, k := range c.preemptions {
		if k.worker == worker {
			free = free.Sub(k.need)
		}
	}
	slices.SortFunc(victims, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(c.expectedCheckpointTime(a), c.expectedCheckpointTime(b)), cmp.Compare(a.ID, b.ID))
	})
	k := preemption{task: t.ID, worker: worker, need: t.Declared, startedAt: c.now}
	for _, v := range victims {
		if t.Declared.FitsIn(free) {
			break
		}
		free = free.Add(v.Reserved)
		wait = max(wait, c.expectedCheckpointTime(v))
		k.victims = append(k.victims, v.ID)
	}
	return k, wait, t.Declared.FitsIn(free)
}

// expirePreemptions stops victims whose checkpoint takes too long and drops old
// preemptions.
func (c *Core) expirePreemptions(now time.Time) {
	c.preemptions = slices.DeleteFunc(c.preemptions, func(k preemption) bool {
		if now.Sub(k.startedAt) < preemptionTimeout {
			return false
		}
		for _, id := range k.victims {
			if t := c.tasks[id]; t != nil && t.Worker == k.worker && t.State == Checkpointing {
				c.evict(t, "urgent work "+string(k.task)+" can't wait for the checkpoint")
			}
		}
		return now.Sub(k.startedAt) >= preemptionExpiry
	})
}

func (c *Core) dropPreemption(t *Task) {
	if len(c.preemptions) > 0 {
		c.preemptions = slices.DeleteFunc(c.preemptions, func(k preemption) bool { return k.task == t.ID })
	}
}

// blockPreemptedWorkers marks the workers with a preemption as full in the
// view, so that work that is not urgent is not placed there. It returns these
// workers.
func (c *Core) blockPreemptedWorkers() []string {
	var blocked []string
	for _, k := range c.preemptions {
		if i, ok := c.view.indexByWorker[k.worker]; ok {
			c.view.Workers[i].Reserved = c.view.Workers[i].Capacity
			blocked = append(blocked, k.worker)
		}
	}
	return blocked
}

func (c *Core) unblockWorkers(blocked []string) {
	for _, id := range blocked {
		if i, ok := c.view.indexByWorker[id]; ok {
			c.view.Workers[i].Reserved = c.workers[id].Reserved
		}
	}
}
