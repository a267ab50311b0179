package emulator

import (
	"fmt"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

const (
	// quotaOverage is the fraction by which the runs of an organisation may exceed its cap,
	// beyond one task.
	quotaOverage = 0.1
	// configBound is how long a configuration that was replaced may still be in force.
	configBound = 3 * time.Second
	// maxWait is how long a task may wait whose organisation uses less than half of its cap.
	maxWait = 3 * time.Second
	// traceLength is how many of the last events the trace of a violation has.
	traceLength = 60
)

// submission is a job with the state of its tasks.
type submission struct {
	planner.Job
	shard string
	// waitsSince is since when a task has waited while its organisation used less than half
	// of its cap and there was room; zero if it doesn't.
	waitsSince    []time.Time
	started, done []bool
}

// ledger records what the organisations have running and the rules that are violated. It
// is guarded by the deployment's mutex.
type ledger struct {
	used map[string]planner.Resources
	// peaks has, by organisation, the most that its runs have used together.
	peaks map[string]planner.Resources
	// replaced holds, by organisation, the former caps.
	replaced map[string][]formerCap
	events   []string
	// OverCap and LongWaits describe the violations of the two rules. Trace and WaitTrace
	// have the last events before the first violation of each.
	OverCap, LongWaits, Trace, WaitTrace []string
	lapses                               int
}

// formerCap is a cap and when another one replaced it.
type formerCap struct {
	limit planner.Resources
	at    time.Time
}

func newLedger(organisations map[string]planner.Organisation) ledger {
	l := ledger{used: map[string]planner.Resources{}, peaks: map[string]planner.Resources{}, replaced: map[string][]formerCap{}}
	l.note("organisations: %+v", organisations)
	return l
}

func (l *ledger) note(format string, values ...any) {
	l.events = append(l.events, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, values...))
	l.events = l.events[max(0, len(l.events)-traceLength):]
}

func (l *ledger) replaceCap(organisation string, limit planner.Resources) {
	l.replaced[organisation] = append(l.replaced[organisation], formerCap{limit, time.Now()})
}

// amounts returns the amounts of each kind of resource.
func amounts(r planner.Resources) [3]int64 { return [3]int64{r.CPU, r.Memory, r.GPU} }

// add adds sign times need to what an organisation uses.
func (l *ledger) add(organisation string, need planner.Resources, sign int64) {
	u := l.used[organisation]
	u = planner.Resources{CPU: u.CPU + sign*need.CPU, Memory: u.Memory + sign*need.Memory, GPU: u.GPU + sign*need.GPU}
	l.used[organisation] = u
	p := l.peaks[organisation]
	l.peaks[organisation] = planner.Resources{CPU: max(p.CPU, u.CPU), Memory: max(p.Memory, u.Memory), GPU: max(p.GPU, u.GPU)}
}

func (l *ledger) ended(m *machine, j *submission, run planner.RunID, how planner.EndKind) {
	l.add(j.Organisation, j.Steps[0].Need, -1)
	if how == planner.EndLapsed {
		l.lapses++
	}
	l.note("%s ends on %s: %s, %s uses %+v", run, m.ID, how, j.Organisation, l.used[j.Organisation])
}

// limits returns the caps of an organisation that may be in force at an owner: the present
// one, those that were replaced lately, and the one that the owner has read last if it is
// cut off from the store.
func (d *Deployment) limits(by *Owner, organisation string) []planner.Resources {
	list := []planner.Resources{d.config[organisation].Cap}
	for _, f := range d.ledger.replaced[organisation] {
		if time.Since(f.at) <= configBound {
			list = append(list, f.limit)
		}
	}
	if by.isCutOff {
		list = append(list, by.inForce[organisation].Cap)
	}
	return list
}

// checkStart counts a run that has started, and checks that it doesn't bring the runs of
// its organisation on all workers above the highest of its caps by more than the overage
// and one task. The caller holds the mutex.
func (d *Deployment) checkStart(by *Owner, m *machine, j *submission, run planner.RunID) {
	l, name, need := &d.ledger, j.Organisation, j.Steps[0].Need
	l.add(name, need, 1)
	l.note("%s starts on %s of shard %s by %s, %s uses %+v", run, m.ID, m.shard, by.address, name, l.used[name])
	for i, used := range amounts(l.used[name]) {
		highest, isUnlimited := int64(0), false
		for _, limit := range d.limits(by, name) {
			highest = max(highest, amounts(limit)[i])
			isUnlimited = isUnlimited || amounts(limit)[i] == 0
		}
		if task := amounts(need)[i]; !isUnlimited && task > 0 && float64(used) > (1+quotaOverage)*float64(highest)+float64(task) {
			l.OverCap = append(l.OverCap, fmt.Sprintf("%s: %s uses %d of resource %d, its cap is %d: %s on %s", time.Now().Format("04:05.000"), name, used, i, highest, run, m.ID))
			if l.Trace == nil {
				l.Trace = append(l.Trace, l.events...)
			}
		}
	}
}

// hasRoom reports whether a worker of a shard has room for a task.
func (d *Deployment) hasRoom(shard string, need planner.Resources) bool {
	for _, m := range d.machines {
		free := m.Capacity
		for _, e := range m.runs {
			n := e.job.Steps[0].Need
			free = planner.Resources{CPU: free.CPU - n.CPU, Memory: free.Memory - n.Memory, GPU: free.GPU - n.GPU}
		}
		if m.shard == shard && free.Fits(need) {
			return true
		}
	}
	return false
}

// checkWaits records the tasks that have waited for too long before their first start,
// although their organisation used less than half of its cap and there was room. The
// caller holds the mutex.
func (d *Deployment) checkWaits() {
	now := time.Now()
	for _, j := range d.jobs {
		var isEntitled, isKnown bool
		for i, since := range j.waitsSince {
			if j.started[i] {
				continue
			}
			if !isKnown {
				isEntitled, isKnown = d.usesLessThanHalf(j) && d.hasRoom(j.shard, j.Steps[0].Need), true
			}
			switch {
			case !isEntitled:
				j.waitsSince[i] = time.Time{}
			case since.IsZero():
				j.waitsSince[i] = now
			case now.Sub(since) > maxWait:
				d.ledger.LongWaits = append(d.ledger.LongWaits, fmt.Sprintf("%s: task %d of %s in shard %s waits since %s", now.Format("04:05.000"), i, j.ID, j.shard, since.Format("04:05.000")))
				j.waitsSince[i] = now
				if d.ledger.WaitTrace == nil {
					d.ledger.WaitTrace = append(d.ledger.WaitTrace, d.ledger.events...)
				}
			}
		}
	}
}

// usesLessThanHalf reports whether the organisation of a job uses less than half of its
// cap, which has room for a task of the job.
func (d *Deployment) usesLessThanHalf(j *submission) bool {
	used, need, limits := amounts(d.ledger.used[j.Organisation]), amounts(j.Steps[0].Need), amounts(d.config[j.Organisation].Cap)
	for i, limit := range limits {
		if limit > 0 && (2*used[i] >= limit || used[i]+need[i] > limit) {
			return false
		}
	}
	return true
}

// unfinished returns how many tasks of an organisation are not done, of all organisations
// if the name is empty.
func (d *Deployment) unfinished(organisation string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, j := range d.jobs {
		for _, isDone := range j.done {
			if !isDone && (organisation == "" || j.Organisation == organisation) {
				n++
			}
		}
	}
	return n
}
