package scheduler

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

const (
	// maxStarts and maxTries bound one pass over the queue, so that a long
	// queue does not hold up other events.
	maxStarts = 256
	maxTries  = 512
	// placeInterval is the longest time between passes while work waits: the
	// estimates behind a refusal change without an event.
	placeInterval = time.Second
)

// pass is one pass over the queue.
type pass struct {
	now           time.Time
	starts, tries int
	// refused has the sizes for which the policy found no room.
	refused map[refusedSize]string
}

type refusedSize struct {
	class    declarer.Class
	kind     string
	declared declarer.Resources
	urgent   bool
}

func (p *pass) full() bool { return p.starts <= 0 || p.tries <= 0 }

// mayStart reports whether tasks may start now: the configuration has been
// confirmed lately and the domain is in service.
func (c *Core) mayStart(now time.Time) bool {
	return c.config != nil && now.Sub(c.confirmedAt) <= ConfigMaxAge && !c.config.IsOut(c.options.Domain) && !c.domainOut && !c.isForeignOwner
}

// place starts pending tasks where the policy puts them.
func (c *Core) place(now time.Time) {
	c.queue.wake(now)
	if !c.mayStart(now) || (!c.queue.changed && now.Sub(c.lastPlace) < placeInterval) {
		return
	}
	p := &pass{now: now, starts: c.startBudget(now), tries: maxTries, refused: map[refusedSize]string{}}
	if p.starts <= 0 {
		return
	}
	c.queue.changed, c.lastPlace = false, now
	c.refreshView()
	c.placeLane(p, &c.queue.standing)
	c.placeTeams(p, c.queue.urgent)
	c.placeProbes(p)
	held := c.holdClaims()
	c.placeTeams(p, c.queue.ordinary)
	c.freeClaims(held)
	if p.full() {
		c.queue.changed = true
	}
}

func (c *Core) placeLane(p *pass, l *lane) {
	for i := 0; i < len(l.entries) && !p.full(); {
		e := l.entries[i]
		if !c.try(p, e) && i < len(l.entries) && l.entries[i] == e {
			i++
		}
	}
}

// waitingTeam is a team with work in a lane.
type waitingTeam struct {
	name string
	// share is the dominant share by weight, and at the next entry to try.
	share float64
	at    int
}

// placeTeams gives each start to the team with the smallest weighted dominant
// share that has work which can start. The first by name wins among equals.
func (c *Core) placeTeams(p *pass, lanes map[string]*lane) {
	teams := make([]waitingTeam, 0, len(lanes))
	for name := range lanes {
		teams = append(teams, waitingTeam{name: name, share: c.share(name)})
	}
	slices.SortFunc(teams, func(a, b waitingTeam) int { return cmp.Compare(a.name, b.name) })
	for len(teams) > 0 && !p.full() {
		best := 0
		for i := range teams {
			if teams[i].share < teams[best].share {
				best = i
			}
		}
		t := &teams[best]
		l := lanes[t.name]
		if l == nil || t.at >= len(l.entries) {
			teams = slices.Delete(teams, best, best+1)
			continue
		}
		e := l.entries[t.at]
		if c.try(p, e) {
			t.share = c.share(t.name)
		} else if t.at < len(l.entries) && l.entries[t.at] == e {
			t.at++
		}
	}
}

// try starts the next task of an entry, or explains why it can't.
func (c *Core) try(p *pass, e entry) bool {
	p.tries--
	t := e.head()
	if t.Cancelling && e.task != nil {
		c.end(e.task, "job cancelled")
		return false
	}
	if to := c.requiredDomain(&t); to != "" {
		c.handOverEntry(e, []string{to})
		return false
	}
	size := refusedSize{t.Class, t.Kind, t.Declared, t.Urgent}
	reason, known := p.refused[size]
	if !known {
		reason = c.refusal(&t)
	}
	if reason == "" {
		choice, err := c.choose(&t, &c.view.View)
		if err == nil {
			return c.start(p, &t, choice)
		}
		reason = err.Error()
		p.refused[size] = reason
		var full *placer.NoFitError
		if errors.As(err, &full) && c.parkImpossible(&t) {
			return false
		}
	}
	c.refuse(&t, reason)
	if t.Class == declarer.ClassService || (t.Urgent && t.Class == declarer.ClassBatch && c.allowed(&t)) {
		c.preempt(&t, e)
	}
	return false
}

// requiredDomain returns the domain in service that a job is restricted to, when it
// is another one.
func (c *Core) requiredDomain(t *Task) string {
	j := c.jobs[t.Owner]
	if t.Class != declarer.ClassBatch || j == nil || j.Job.Domain == "" || j.Job.Domain == c.options.Domain || len(c.transfers) >= maxTransfers {
		return ""
	}
	if !slices.Contains(c.config.DomainsIn(), j.Job.Domain) {
		return ""
	}
	return j.Job.Domain
}

// refuse keeps the reason why a task waits, at most every few seconds.
func (c *Core) refuse(t *Task, reason string) {
	id := string(t.ID)
	if c.now.Sub(c.refusedAt[id]) < refusalInterval {
		return
	}
	if len(c.refusedAt) > 2*ringSize {
		clear(c.refusedAt)
	}
	c.refusedAt[id] = c.now
	c.explain(Explanation{Action: "refuse", Task: t.ID, Job: t.Owner, Reason: reason, Figures: []Figure{
		{"milli_cpu", float64(t.Declared.MilliCPU)},
		{"memory_mb", float64(t.Declared.MemoryMB)},
		{"accelerators", float64(t.Declared.Accelerators)},
		{"batch_milli_cpu", float64(c.usage.batchCPU)},
		{"domain_milli_cpu", float64(c.view.milliCPU)},
		{"waiting_seconds", c.now.Sub(t.Submitted).Seconds()},
	}})
}

func (c *Core) choose(t *Task, v *placer.View) (placer.Choice, error) {
	r := placer.Request{Task: string(t.ID), Kind: t.Kind, Class: t.Class, Team: t.Team, Owner: t.Owner, Declared: t.Declared, Urgent: t.Urgent, Waiting: c.now.Sub(t.Submitted)}
	if c.options.Prepare != nil {
		c.options.Prepare(c, t, &r)
	}
	avoided := c.avoid(t)
	choice, err := c.options.Policy.Place(v, r)
	c.freeClaims(avoided)
	if err != nil && len(avoided) > 0 {
		choice, err = c.options.Policy.Place(v, r)
	}
	if err != nil {
		return choice, err
	}
	// A policy with a fault must not break the capacity of a worker.
	w := c.workers[choice.Worker]
	if w == nil || !w.Reserved.Add(choice.Reserved).FitsIn(w.Capacity) {
		return choice, &placer.NoFitError{Task: r.Task, Needed: choice.Reserved, Workers: len(v.Workers)}
	}
	return choice, nil
}

// avoid makes the workers on which a job has failed look full to it, and
// returns them. Workers that are claimed look full already.
func (c *Core) avoid(t *Task) []string {
	j := c.jobs[t.Owner]
	if t.Class != declarer.ClassBatch || j == nil {
		return nil
	}
	var avoided []string
	for _, id := range j.FailedOn {
		if i, ok := c.view.slots[id]; ok && c.view.Workers[i].Reserved == c.workers[id].Reserved {
			c.view.Workers[i].Reserved = c.view.Workers[i].Capacity
			avoided = append(avoided, id)
		}
	}
	return avoided
}

// start records an attempt and gives the command for it.
func (c *Core) start(p *pass, pending *Task, choice placer.Choice) bool {
	id, checkpoint := pending.ID, pending.Checkpoint
	if !c.record(Change{AttemptPlaced: &AttemptPlaced{id, pending.Attempt + 1, choice.Worker, choice.Reserved, choice.Reason}}) {
		return false
	}
	p.starts--
	c.startTokens--
	t := c.tasks[id]
	c.attempt(t).latestStart = c.confirmedAt.Add(lengthened(ConfigMaxAge + StartValidity))
	c.dropClaim(t)
	delete(c.refusedAt, string(id))
	c.explain(Explanation{Action: "place", Task: id, Job: t.Owner, Worker: choice.Worker, Reason: choice.Reason, Figures: []Figure{
		{"attempt", float64(t.Attempt)},
		{"milli_cpu", float64(choice.Reserved.MilliCPU)},
		{"memory_mb", float64(choice.Reserved.MemoryMB)},
	}})
	service := ""
	if t.Class == declarer.ClassService {
		service = t.Owner
	}
	c.command(Command{Start: &StartTask{
		Worker: choice.Worker, Task: t.ID, Attempt: t.Attempt, Class: t.Class, Kind: t.Kind, Service: service,
		Reserved: choice.Reserved, RunTime: t.RunTime, Checkpoint: checkpoint, ConfirmedAt: c.confirmedAt,
	}})
	return true
}
