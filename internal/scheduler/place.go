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
	// maxStarts and maxTries limit one pass over the queue, so that a long
	// queue does not delay other events.
	maxStarts = 256
	maxTries  = 512
	// placeInterval is the longest time between passes while work waits. The
	// estimates behind a refusal can change without an event.
	placeInterval = time.Second
)

// pass is one pass over the queue.
type pass struct {
	now                   time.Time
	startsLeft, triesLeft int
	// refusalReasons has the reason for each kind of request that the policy
	// has refused in this pass.
	refusalReasons map[requestKey]string
}

type requestKey struct {
	class    declarer.Class
	kind     string
	declared declarer.Resources
	urgent   bool
}

func (p *pass) isExhausted() bool { return p.startsLeft <= 0 || p.triesLeft <= 0 }

// mayStart reports whether tasks may start now: the configuration was confirmed
// recently and the domain is in service.
func (c *Core) mayStart(now time.Time) bool {
	return c.config != nil && now.Sub(c.confirmedAt) <= ConfigMaxAge && !c.config.IsOut(c.options.Domain) && !c.isDomainOut && !c.isForeignOwner
}

// place starts pending tasks on the workers that the policy chooses.
func (c *Core) place(now time.Time) {
	c.queue.enqueueDue(now)
	if !c.mayStart(now) || (!c.queue.needsPass && now.Sub(c.lastPassAt) < placeInterval) {
		return
	}
	p := &pass{now: now, startsLeft: c.startBudget(now), triesLeft: maxTries, refusalReasons: map[requestKey]string{}}
	if p.startsLeft <= 0 {
		return
	}
	c.queue.needsPass, c.lastPassAt = false, now
	c.refreshView()
	c.placeLane(p, &c.queue.longRunning)
	c.placeTeams(p, c.queue.urgent)
	c.placeProbes(p)
	blocked := c.blockPreemptedWorkers()
	c.placeTeams(p, c.queue.ordinary)
	c.unblockWorkers(blocked)
	if p.isExhausted() {
		c.queue.needsPass = true
	}
}

func (c *Core) placeLane(p *pass, l *lane) {
	for i := 0; i < len(l.entries) && !p.isExhausted(); {
		e := l.entries[i]
		if !c.tryStart(p, e) && i < len(l.entries) && l.entries[i] == e {
			i++
		}
	}
}

// waitingTeam is a team with queued work.
type waitingTeam struct {
	name string
	// share is the team's weighted dominant share, and next is the index of the
	// next entry to try.
	share float64
	next  int
}

// placeTeams gives each start to the team with the smallest weighted dominant
// share among those with work that can start. Ties go to the team whose name
// sorts first.
func (c *Core) placeTeams(p *pass, lanes map[string]*lane) {
	teams := make([]waitingTeam, 0, len(lanes))
	for name := range lanes {
		teams = append(teams, waitingTeam{name: name, share: c.dominantShare(name)})
	}
	slices.SortFunc(teams, func(a, b waitingTeam) int { return cmp.Compare(a.name, b.name) })
	for len(teams) > 0 && !p.isExhausted() {
		best := 0
		for i := range teams {
			if teams[i].share < teams[best].share {
				best = i
			}
		}
		t := &teams[best]
		l := lanes[t.name]
		if l == nil || t.next >= len(l.entries) {
			teams = slices.Delete(teams, best, best+1)
			continue
		}
		e := l.entries[t.next]
		if c.tryStart(p, e) {
			t.share = c.dominantShare(t.name)
		} else if t.next < len(l.entries) && l.entries[t.next] == e {
			t.next++
		}
	}
}

// tryStart starts the next task of an entry. If it can't, it records the reason
// and returns false.
func (c *Core) tryStart(p *pass, e entry) bool {
	p.triesLeft--
	t := e.head()
	if t.Cancelling && e.task != nil {
		c.cancelTask(e.task, "job cancelled")
		return false
	}
	if to := c.requiredDomain(&t); to != "" {
		c.handOverEntry(e, []string{to})
		return false
	}
	key := requestKey{t.Class, t.Kind, t.Declared, t.Urgent}
	reason, known := p.refusalReasons[key]
	if !known {
		reason = c.refusalReason(&t)
	}
	if reason == "" {
		choice, err := c.chooseWorker(&t, &c.view.View)
		if err == nil {
			return c.startTask(p, &t, choice)
		}
		reason = err.Error()
		p.refusalReasons[key] = reason
		var full *placer.NoFitError
		if errors.As(err, &full) && c.parkOversized(&t) {
			return false
		}
	}
	c.explainRefusal(&t, reason)
	if t.Class == declarer.ClassService || (t.Urgent && t.Class == declarer.ClassBatch && c.isWithinAllowance(&t)) {
		c.preempt(&t, e)
	}
	return false
}

// requiredDomain returns the domain to which a job is restricted if it is
// another domain that is in service, or "".
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

// explainRefusal records why a task waits, at most once per refusalInterval.
func (c *Core) explainRefusal(t *Task, reason string) {
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
		{"batch_milli_cpu", float64(c.usage.batchMilliCPU)},
		{"domain_milli_cpu", float64(c.view.milliCPU)},
		{"waiting_seconds", c.now.Sub(t.Submitted).Seconds()},
	}})
}

func (c *Core) chooseWorker(t *Task, v *placer.View) (placer.Choice, error) {
	r := placer.Request{Task: string(t.ID), Kind: t.Kind, Class: t.Class, Team: t.Team, Owner: t.Owner, Declared: t.Declared, Urgent: t.Urgent, Waiting: c.now.Sub(t.Submitted)}
	if c.options.Prepare != nil {
		c.options.Prepare(c, t, &r)
	}
	avoided := c.blockFailedWorkers(t)
	choice, err := c.options.Policy.Place(v, r)
	c.unblockWorkers(avoided)
	if err != nil && len(avoided) > 0 {
		choice, err = c.options.Policy.Place(v, r)
	}
	if err != nil {
		return choice, err
	}
	// A faulty policy must not exceed the capacity of a worker.
	w := c.workers[choice.Worker]
	if w == nil || !w.Reserved.Add(choice.Reserved).FitsIn(w.Capacity) {
		return choice, &placer.NoFitError{Task: r.Task, Needed: choice.Reserved, Workers: len(v.Workers)}
	}
	return choice, nil
}

// blockFailedWorkers marks the workers on which the task's job has failed as
// full in the view and returns them. Workers that are blocked for a preemption
// are already full.
func (c *Core) blockFailedWorkers(t *Task) []string {
	j := c.jobs[t.Owner]
	if t.Class != declarer.ClassBatch || j == nil {
		return nil
	}
	var avoided []string
	for _, id := range j.FailedOn {
		if i, ok := c.view.indexByWorker[id]; ok && c.view.Workers[i].Reserved == c.workers[id].Reserved {
			c.view.Workers[i].Reserved = c.view.Workers[i].Capacity
			avoided = append(avoided, id)
		}
	}
	return avoided
}

// startTask records an attempt and issues its start command.
func (c *Core) startTask(p *pass, pending *Task, choice placer.Choice) bool {
	id, checkpoint := pending.ID, pending.Checkpoint
	if !c.record(Change{AttemptPlaced: &AttemptPlaced{id, pending.Attempt + 1, choice.Worker, choice.Reserved, choice.Reason}}) {
		return false
	}
	p.startsLeft--
	c.startTokens--
	t := c.tasks[id]
	c.attempt(t).latestStart = c.confirmedAt.Add(addDriftMargin(ConfigMaxAge + StartValidity))
	c.dropPreemption(t)
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
	c.emit(Command{Start: &StartTask{
		Worker: choice.Worker, Task: t.ID, Attempt: t.Attempt, Class: t.Class, Kind: t.Kind, Service: service,
		Reserved: choice.Reserved, RunTime: t.RunTime, Checkpoint: checkpoint, ConfirmedAt: c.confirmedAt,
	}})
	return true
}
