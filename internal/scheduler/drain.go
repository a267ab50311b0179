package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

const (
	// drainDeadline is how long a domain that is taken out of service waits for
	// checkpoints and for replicas in other domains before it stops the
	// remaining attempts.
	drainDeadline = 2 * time.Minute
	// returnRampTime is how long the rate of starts is limited in a domain that
	// is back in service.
	returnRampTime = time.Minute
	// returnDoublingTime is the time in which the rate of starts doubles.
	returnDoublingTime = 10 * time.Second
)

// drainLimiter has the token buckets that limit the rate of a drain and the
// rate of starts after a domain's return.
type drainLimiter struct {
	drainTokens, startTokens         float64
	drainRefilledAt, startRefilledAt time.Time
}

// refill adds the tokens for the time since at. The bucket holds the tokens of
// one second, and at least one token.
func refill(tokens *float64, at *time.Time, now time.Time, rate float64) {
	if !at.IsZero() {
		*tokens = min(*tokens+rate*now.Sub(*at).Seconds(), max(rate, 1))
	}
	*at = now
}

func (c *Core) takeDrainToken() bool {
	if c.drainTokens < 1 {
		return false
	}
	c.drainTokens--
	return true
}

// startBudget returns how many tasks may start in this pass. In a domain that
// is back in service, the rate of starts doubles every returnDoublingTime.
func (c *Core) startBudget(now time.Time) int {
	since := now.Sub(c.domainChangedAt)
	if c.domainChangedAt.IsZero() || since >= returnRampTime {
		return maxStarts
	}
	rate := placer.ParametersOf(c.config.Preset).ReturnRate * math.Exp2(max(since, 0).Seconds()/returnDoublingTime.Seconds())
	refill(&c.startTokens, &c.startRefilledAt, now, rate)
	return min(int(c.startTokens), maxStarts)
}

// updateDomain records that operators have taken the domain out of service or
// have brought it back.
func (c *Core) updateDomain() {
	out := c.config.IsOut(c.options.Domain)
	if out == c.isDomainOut {
		return
	}
	reason := "domain is back in service"
	if out {
		reason = "domain is taken out of service"
	}
	c.explain(Explanation{Action: "domain", Reason: reason, Figures: []Figure{{"revision", float64(c.config.Revision)}}})
	c.record(Change{DomainSet: &DomainSet{out, c.timestamp()}})
	c.drainTokens, c.startTokens, c.drainRefilledAt, c.startRefilledAt = 0, 0, time.Time{}, time.Time{}
	c.queue.needsPass = true
}

// drain moves work away from a domain that is out of service and from leaving
// workers.
func (c *Core) drain(now time.Time) {
	if c.config == nil {
		return
	}
	if !c.isDomainOut && len(c.leaving) == 0 {
		c.drainRefilledAt = time.Time{}
		return
	}
	refill(&c.drainTokens, &c.drainRefilledAt, now, placer.ParametersOf(c.config.Preset).DrainRate)
	if !c.isDomainOut {
		c.drainLeaving()
		return
	}
	c.handOverPending(c.config.DomainsIn())
	late := now.Sub(c.domainChangedAt) >= drainDeadline
	for _, t := range c.batchByDeadline() {
		switch {
		case late:
			c.evict(t, "drain deadline has passed")
		case t.State == Running && c.takeDrainToken():
			c.checkpoint(t, "domain is taken out of service")
		}
	}
}

// drainLeaving moves work away from leaving workers at the drain rate.
func (c *Core) drainLeaving() {
	for id := range c.leaving {
		for _, t := range c.tasksOn(id) {
			switch {
			case t.State != Running || c.drainTokens < 1:
			case t.Class == declarer.ClassBatch:
				c.drainTokens--
				c.checkpoint(t, "worker is leaving")
			default:
				c.drainTokens--
				c.evict(t, "worker is leaving")
			}
		}
	}
}

// batchByDeadline returns the batch tasks that have an attempt, in order of
// deadline.
func (c *Core) batchByDeadline() []*Task {
	var tasks []*Task
	for _, on := range c.tasksByWorker {
		for _, t := range on {
			if t.Class == declarer.ClassBatch {
				tasks = append(tasks, t)
			}
		}
	}
	slices.SortFunc(tasks, func(a, b *Task) int {
		return cmp.Or(compareDeadlines(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	return tasks
}

// handOverAll hands pending batch work over to other shards while the owner
// belongs to another failure domain. Nothing starts in this shard during that
// time.
func (c *Core) handOverAll(to []string) {
	c.isForeignOwner = true
	c.handOverPending(to)
}

// handOverPending hands pending batch work over to other shards in order of
// deadline.
func (c *Core) handOverPending(to []string) {
	if len(to) == 0 || len(c.transfers) >= maxTransfers {
		return
	}
	var entries []entry
	for _, lanes := range []map[string]*lane{c.queue.urgent, c.queue.ordinary} {
		for _, l := range lanes {
			entries = append(entries, l.entries...)
		}
	}
	slices.SortFunc(entries, compareUrgency)
	for _, e := range entries {
		if len(c.transfers) >= maxTransfers {
			return
		}
		if !c.isPinned(e) {
			c.handOverEntry(e, to)
		}
	}
}

// isPinned reports whether the work may run in this domain only.
func (c *Core) isPinned(e entry) bool {
	j := e.job
	if j == nil {
		j = c.jobs[e.task.Owner]
	}
	return j != nil && j.Job.Domain == c.options.Domain
}
