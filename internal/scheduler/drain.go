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
	// drainDeadline is how long a domain that is taken out waits for
	// checkpoints and for replicas elsewhere before it stops what is left.
	drainDeadline = 2 * time.Minute
	// returnTime is how long the starts in a domain that is back are limited.
	returnTime = time.Minute
	// returnDoubling is the time in which the rate of starts doubles.
	returnDoubling = 10 * time.Second
)

// drainer has the tokens that bound the rates of a drain and a return.
type drainer struct {
	drainTokens, startTokens float64
	drainAt, startAt         time.Time
}

// refill adds the tokens of the time since at, up to those of one second.
func refill(tokens *float64, at *time.Time, now time.Time, rate float64) {
	if !at.IsZero() {
		*tokens = min(*tokens+rate*now.Sub(*at).Seconds(), max(rate, 1))
	}
	*at = now
}

func (c *Core) spendDrain() bool {
	if c.drainTokens < 1 {
		return false
	}
	c.drainTokens--
	return true
}

// startBudget returns how many tasks may start in this pass. A domain that is
// back in service is admitted at a rate that doubles every returnDoubling.
func (c *Core) startBudget(now time.Time) int {
	since := now.Sub(c.domainAt)
	if c.domainAt.IsZero() || since >= returnTime {
		return maxStarts
	}
	rate := placer.ParametersOf(c.config.Preset).ReturnRate * math.Exp2(max(since, 0).Seconds()/returnDoubling.Seconds())
	refill(&c.startTokens, &c.startAt, now, rate)
	return min(int(c.startTokens), maxStarts)
}

// setDomain records that operators have taken the domain out or brought it
// back.
func (c *Core) setDomain() {
	out := c.config.IsOut(c.options.Domain)
	if out == c.domainOut {
		return
	}
	reason := "domain is back in service"
	if out {
		reason = "domain is taken out of service"
	}
	c.explain(Explanation{Action: "domain", Reason: reason, Figures: []Figure{{"revision", float64(c.config.Revision)}}})
	c.record(Change{DomainSet: &DomainSet{out, c.stamp()}})
	c.drainTokens, c.startTokens, c.drainAt, c.startAt = 0, 0, time.Time{}, time.Time{}
	c.queue.changed = true
}

// drain moves work away from a domain that is out and from leaving workers.
func (c *Core) drain(now time.Time) {
	if c.config == nil {
		return
	}
	if !c.domainOut && len(c.leaving) == 0 {
		c.drainAt = time.Time{}
		return
	}
	refill(&c.drainTokens, &c.drainAt, now, placer.ParametersOf(c.config.Preset).DrainRate)
	if !c.domainOut {
		c.drainLeaving()
		return
	}
	c.handOverPending(c.config.DomainsIn())
	late := now.Sub(c.domainAt) >= drainDeadline
	for _, t := range c.batchByDeadline() {
		switch {
		case late:
			c.evict(t, "the drain's deadline has passed")
		case t.State == Running && c.spendDrain():
			c.checkpoint(t, "domain is taken out of service")
		}
	}
}

// drainLeaving moves work away from leaving workers at the drain's rate.
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

// batchByDeadline returns the batch tasks with an attempt.
func (c *Core) batchByDeadline() []*Task {
	var tasks []*Task
	for _, on := range c.onWorker {
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

// handOverAll gives pending batch work to other shards while the owner belongs to
// another domain; nothing starts here.
func (c *Core) handOverAll(to []string) {
	c.isForeignOwner = true
	c.handOverPending(to)
}

// handOverPending gives pending batch work to shards in order of deadline.
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
		if !c.isBound(e) {
			c.handOverEntry(e, to)
		}
	}
}

// isBound reports whether work may run in this domain only.
func (c *Core) isBound(e entry) bool {
	j := e.job
	if j == nil {
		j = c.jobs[e.task.Owner]
	}
	return j != nil && j.Job.Domain == c.options.Domain
}
