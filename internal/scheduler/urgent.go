package scheduler

import (
	"cmp"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// claimLimit is how long urgent work waits for a checkpoint before the
	// attempt that writes it is stopped. With a pass every 250 ms and the
	// start itself, it keeps the start of urgent work within 5.5 s.
	claimLimit = 3 * time.Second
	// claimExpiry is how long room is kept for urgent work.
	claimExpiry = 10 * time.Second
	maxClaims   = 64
	// checkpointPerMB is the time to write a megabyte of a checkpoint, for
	// kinds of which no checkpoint has been measured.
	checkpointPerMB = time.Millisecond
	// evictionPenalty makes work that was evicted before a victim later.
	evictionPenalty = 5 * time.Second
)

// claim is room on a worker that is being made for an urgent task or a replica.
type claim struct {
	task    TaskID
	worker  string
	need    declarer.Resources
	at      time.Time
	victims []TaskID
}

func (c *Core) learnSpeed(kind string, d time.Duration) {
	if old, ok := c.speed[kind]; ok {
		d = (3*old + d) / 4
	}
	c.speed[kind] = d
}

// checkpointTime is how long a task is expected to take for a checkpoint.
func (c *Core) checkpointTime(t *Task) time.Duration {
	d, ok := c.speed[t.Kind]
	if !ok {
		d = time.Duration(t.Reserved.MemoryMB) * checkpointPerMB
	}
	return d + time.Duration(t.Evictions)*evictionPenalty
}

// preempt makes room for the tasks of an entry, of which t is the first: urgent
// batch, or a replica.
func (c *Core) preempt(t *Task, e entry) {
	if e.job == nil {
		c.preemptFor(t)
		return
	}
	for _, r := range e.job.Untouched {
		for i := range r.Count {
			if len(c.claims) >= maxClaims {
				return
			}
			next := e.job.task(r.First + i)
			if !c.preemptFor(&next) {
				return
			}
		}
	}
}

// preemptFor checkpoints the batch work on one worker that gives an urgent
// task its room soonest. It reports whether the task has a claim afterwards.
func (c *Core) preemptFor(t *Task) bool {
	if slices.ContainsFunc(c.claims, func(k claim) bool { return k.task == t.ID }) {
		return true
	}
	var best claim
	var least time.Duration
	for i := range c.view.Workers {
		k, wait, ok := c.claimOn(c.view.Workers[i].ID, t)
		if ok && (best.worker == "" || wait < least || (wait == least && len(k.victims) < len(best.victims))) {
			best, least = k, wait
		}
	}
	if best.worker == "" {
		return false
	}
	c.claims = append(c.claims, best)
	c.explain(Explanation{Action: "preempt", Task: t.ID, Job: t.Owner, Worker: best.worker, Reason: "urgent work takes the room of batch work that checkpoints fastest", Figures: []Figure{
		{"victims", float64(len(best.victims))},
		{"checkpoint_seconds", least.Seconds()},
	}})
	for _, id := range best.victims {
		c.checkpoint(c.tasks[id], "room for urgent work "+string(t.ID))
	}
	return true
}

// claimOn chooses victims on a worker and returns how long they take.
func (c *Core) claimOn(worker string, t *Task) (claim, time.Duration, bool) {
	w := c.workers[worker]
	free := w.Capacity.Sub(w.Reserved)
	var victims []*Task
	var wait time.Duration
	for _, o := range c.onWorker[worker] {
		switch {
		case o.State == Checkpointing, o.State == Stopping:
			free = free.Add(o.Reserved)
			wait = max(wait, c.checkpointTime(o))
		case o.State == Running && o.Class == declarer.ClassBatch && !o.Urgent:
			victims = append(victims, o)
		}
	}
	for _, k := range c.claims {
		if k.worker == worker {
			free = free.Sub(k.need)
		}
	}
	slices.SortFunc(victims, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(c.checkpointTime(a), c.checkpointTime(b)), cmp.Compare(a.ID, b.ID))
	})
	k := claim{task: t.ID, worker: worker, need: t.Declared, at: c.now}
	for _, v := range victims {
		if t.Declared.FitsIn(free) {
			break
		}
		free = free.Add(v.Reserved)
		wait = max(wait, c.checkpointTime(v))
		k.victims = append(k.victims, v.ID)
	}
	return k, wait, t.Declared.FitsIn(free)
}

// expireClaims stops victims that take too long and forgets old claims.
func (c *Core) expireClaims(now time.Time) {
	c.claims = slices.DeleteFunc(c.claims, func(k claim) bool {
		if now.Sub(k.at) < claimLimit {
			return false
		}
		for _, id := range k.victims {
			if t := c.tasks[id]; t != nil && t.Worker == k.worker && t.State == Checkpointing {
				c.evict(t, "urgent work "+string(k.task)+" can't wait for the checkpoint")
			}
		}
		return now.Sub(k.at) >= claimExpiry
	})
}

func (c *Core) dropClaim(t *Task) {
	if len(c.claims) > 0 {
		c.claims = slices.DeleteFunc(c.claims, func(k claim) bool { return k.task == t.ID })
	}
}

// holdClaims makes claimed workers look full to work that is not urgent, and
// returns them.
func (c *Core) holdClaims() []string {
	var held []string
	for _, k := range c.claims {
		if i, ok := c.view.slots[k.worker]; ok {
			c.view.Workers[i].Reserved = c.view.Workers[i].Capacity
			held = append(held, k.worker)
		}
	}
	return held
}

func (c *Core) freeClaims(held []string) {
	for _, id := range held {
		if i, ok := c.view.slots[id]; ok {
			c.view.Workers[i].Reserved = c.workers[id].Reserved
		}
	}
}
