package planner

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/apportioner"
)

const (
	// divideInterval is the least time between two divisions of the capacity among the
	// organisations. What each uses is counted in every plan.
	divideInterval = 200 * time.Millisecond
	// attainedHalfLife is the time in which the difference between the capacity that was
	// in use at most and the capacity in use now halves while tasks wait. Capacity that
	// is about to be used again after a wide job must not count as unusable.
	attainedHalfLife = 3 * time.Second
	// shareTolerance is the share of its part of the capacity by which an organisation
	// may exceed it before its work counts as beyond. Without it, each start and end of
	// a task would change the limits that apply to the others.
	shareTolerance = 0.1
	// holdTime is how long a long-running task within its share that finds no place
	// holds back those beyond theirs. Later they may use what it can't.
	holdTime = 3 * time.Second
	// longRunningRateTime is how long after its arrival a long-running job can count as
	// beyond its organisation's rate. It uses capacity for much longer than its
	// submission matters, so only the share counts then.
	longRunningRateTime = 30 * time.Second
)

// fairness decides whose work comes first among organisations. It holds nothing that a
// new owner can't derive from the jobs and runs.
type fairness struct {
	// meters holds the meter of each organisation with jobs.
	meters map[string]*apportioner.Meter
	// unmetered holds the jobs that arrived since the last plan.
	unmetered []*job
	// pools holds the workers of each service with jobs.
	pools     map[string]*pool
	dividedAt time.Time
}

// fairnessState is the part of fairness that concerns one job.
type fairnessState struct {
	// share is that of the job's organisation in its service; nil if the configuration
	// has no organisations.
	share *share
	// isBeyondRate is set if the organisation submitted the job beyond its rate.
	isBeyondRate bool
	// isReported is set once the job was passed to OnJobMetered.
	isReported bool
}

// pool is the capacity of one service in this shard. Parts of it are fractions of the
// capacity, of processors, memory or GPUs, whichever is largest. GPUs count only while the
// service has any.
type pool struct {
	service string
	// capacity is that of the workers on which tasks may start.
	capacity Resources
	// shares holds the share of each organisation that had jobs, by name. Jobs without
	// an organisation have the empty name.
	shares map[string]*share
	// level is the part, per unit of weight, that each organisation may use before its
	// work comes after that of the others. It is +Inf while the capacity suffices.
	level float64
	// reached is the part that was in use after any plan since the last division, and
	// attained the part that was in use at most lately, or the whole capacity if no ready
	// task waited. What has just become free and is about to be used counts as in use.
	reached, attained float64
	// hasWaiting is set if ready tasks were left waiting by an earlier plan.
	hasWaiting bool
	// isHeld is set if a long-running task within its share has found no place in the
	// present plan, and isOverdue if one has waited for more than holdTime. heldFor is
	// the last step that was examined for that.
	isHeld, isOverdue bool
	heldFor           *step
}

// share is what one organisation uses of a pool.
type share struct {
	pool   *pool
	name   string
	weight float64
	// used is the declared need of its runs, including the processors of best-effort
	// tasks, and wanted that of its waiting tasks as of the last division.
	used, wanted Resources
}

// part returns an amount as a part of the pool.
func (l *pool) part(r Resources) float64 {
	part := max(float64(r.CPU)/float64(max(1, l.capacity.CPU)), float64(r.Memory)/float64(max(1, l.capacity.Memory)))
	if l.capacity.GPU > 0 {
		part = max(part, float64(r.GPU)/float64(l.capacity.GPU))
	}
	return part
}

// limit returns the part of the pool that the organisation may use before its work comes
// after that of the others.
func (h *share) limit() float64 {
	if h.name == "" || math.IsInf(h.pool.level, 1) {
		return math.Inf(1)
	}
	return h.pool.level * h.weight
}

// isExceeded reports whether the organisation is beyond its weighted share of a service
// that is short of capacity.
func (h *share) isExceeded() bool { return h.pool.part(h.used) > h.limit()*(1+shareTolerance) }

// room returns how many more tasks with the given need a fraction of the share has room
// for. A share that is smaller than one task has room for the first.
func (h *share) room(need Resources, fraction float64) int {
	limit := fraction * h.limit()
	if math.IsInf(limit, 1) {
		return math.MaxInt
	}
	count := min(tasksIn(limit*float64(h.pool.capacity.CPU)-float64(h.used.CPU), need.CPU), tasksIn(limit*float64(h.pool.capacity.Memory)-float64(h.used.Memory), need.Memory))
	if h.pool.capacity.GPU > 0 {
		count = min(count, tasksIn(limit*float64(h.pool.capacity.GPU)-float64(h.used.GPU), need.GPU))
	}
	if h.used == (Resources{}) {
		return max(1, count)
	}
	return count
}

// tasksIn returns how many tasks with the given need fit into an amount.
func tasksIn(amount float64, need int64) int {
	switch {
	case amount < 0:
		return 0
	case need <= 0:
		return math.MaxInt
	default:
		// A part of exactly n tasks may be computed as slightly less.
		return int(min(amount/float64(need)+1e-6, math.MaxInt32))
	}
}

// resetFairness discards what was derived from the organisations of an earlier
// configuration. It is called before the new configuration is in force.
func (p *Planner) resetFairness(organisations map[string]Organisation) {
	if maps.Equal(p.config.Organisations, organisations) {
		return
	}
	p.fairness = fairness{unmetered: slices.Clone(p.allJobs)}
	for _, j := range p.allJobs {
		j.share, j.isBeyondRate = nil, false
	}
}

// updateShares meters the jobs that have arrived, counts what each organisation uses,
// and divides the capacity anew if that is due.
func (p *Planner) updateShares(now time.Time) {
	f := &p.fairness
	if len(p.config.Organisations) == 0 {
		f.unmetered = nil
		return
	}
	if f.pools == nil {
		f.pools, f.meters = map[string]*pool{}, map[string]*apportioner.Meter{}
	}
	for _, l := range f.pools {
		l.isHeld, l.isOverdue, l.heldFor = false, false, nil
		inUse := 0.0
		for _, h := range l.shares {
			inUse += l.part(h.used)
			h.used = Resources{}
		}
		l.reached = max(l.reached, inUse)
	}
	for _, j := range p.activeJobs {
		if j.share == nil || j.share.pool.service != j.Queue.Service {
			j.share = p.shareOf(j)
		}
	}
	for _, w := range p.sortedWorkers {
		for _, r := range w.runsInOrder {
			if j := r.task.step.occurrence.job; j.share != nil {
				j.share.used = j.share.used.plus(r.task.step.Need)
			}
		}
	}
	if f.dividedAt.IsZero() || now.Sub(f.dividedAt) >= divideInterval {
		p.divideCapacity(now)
		f.dividedAt = now
	}
	p.meterJobs()
}

// shareOf returns the share of the job's organisation in its service. An organisation
// that the configuration doesn't have, perhaps not yet, counts as none.
func (p *Planner) shareOf(j *job) *share {
	l := p.fairness.pools[j.Queue.Service]
	if l == nil {
		l = &pool{service: j.Queue.Service, shares: map[string]*share{}, level: math.Inf(1)}
		p.fairness.pools[l.service] = l
	}
	o, ok := p.config.Organisations[j.Organisation]
	name := j.Organisation
	if !ok {
		name = ""
	}
	h := l.shares[name]
	if h == nil {
		h = &share{pool: l, name: name, weight: o.Weight}
		l.shares[name] = h
	}
	return h
}

// meterJobs determines which of the new jobs are beyond their organisation's rate, in
// the order of their acceptance. A new owner reads all jobs before its first plan, in no
// particular order. Parts of jobs count where the job was submitted.
func (p *Planner) meterJobs() {
	f := &p.fairness
	slices.SortFunc(f.unmetered, func(a, b *job) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range f.unmetered {
		o, ok := p.config.Organisations[j.Organisation]
		if !ok || j.IsPart {
			continue
		}
		m := f.meters[j.Organisation]
		if m == nil {
			m = apportioner.NewMeter(o.Weight, p.options.Shards)
			f.meters[j.Organisation] = m
		}
		j.isBeyondRate = !m.Admit(j.arrived)
		if p.options.OnJobMetered != nil && !j.isReported && !j.wasLoaded {
			p.options.OnJobMetered(j.Organisation, !j.isBeyondRate && (j.share == nil || !j.share.isExceeded()))
		}
		j.isReported = true
	}
	f.unmetered = nil
}

// divideCapacity determines the level of each pool.
func (p *Planner) divideCapacity(now time.Time) {
	f := &p.fairness
	for _, l := range f.pools {
		l.capacity, l.hasWaiting = Resources{}, false
		for _, h := range l.shares {
			h.wanted = Resources{}
		}
	}
	for _, w := range p.sortedWorkers {
		if l := f.pools[w.Service]; l != nil && p.isUsable(now, w) {
			l.capacity = l.capacity.plus(w.Capacity)
		}
	}
	for _, j := range p.activeJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.isOpen {
					j.share.addWaiting(now, s, p.caps.plan-1)
				}
			}
		}
	}
	for _, l := range f.pools {
		l.divide(now.Sub(f.dividedAt), p.isBusy(l.service))
	}
}

// addWaiting adds the waiting tasks of a step to what the organisation wants, but for those
// that its cap has blocked in the last plan, which has the given number.
func (h *share) addWaiting(now time.Time, s *step, plan uint64) {
	for _, t := range s.waiting {
		if t.blockedIn != 0 && t.blockedIn == plan {
			continue
		}
		if t.done || t.isElsewhere || len(t.runs) > 0 || now.Before(t.retryAt) {
			continue
		}
		h.wanted = h.wanted.plus(s.Need)
		h.pool.hasWaiting = h.pool.hasWaiting || !t.readyAt.IsZero()
	}
}

// divide determines the level of the pool. elapsed is the time since the last division.
// While tasks wait in a service that is busy or has work for more than all of its
// workers, the capacity to divide is what has been in use lately: headroom, scattered
// rooms and the limits of harm leave the rest unused.
func (l *pool) divide(elapsed time.Duration, isBusy bool) {
	l.level = math.Inf(1)
	if l.capacity.CPU == 0 && l.capacity.Memory == 0 {
		return
	}
	var claims []apportioner.Claim
	inUse, demand, unowned := 0.0, 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(l.shares)) {
		h := l.shares[name]
		used, total := l.part(h.used), l.part(h.used.plus(h.wanted))
		inUse += used
		demand += total
		if name == "" {
			unowned = used
		} else {
			claims = append(claims, apportioner.Claim{Name: name, Weight: h.weight, Used: used, Wanted: total - used})
		}
	}
	capacity := max(1, inUse)
	l.reached = max(l.reached, inUse)
	switch {
	case !l.hasWaiting || l.attained == 0 || !isBusy && demand <= capacity:
		l.attained = capacity
	default:
		rest := max(0, l.attained-l.reached) * math.Exp2(-float64(elapsed)/float64(attainedHalfLife))
		l.attained = l.reached + rest
	}
	l.reached = 0
	l.level = apportioner.Level(l.attained-unowned, claims)
}

// startSteps starts waiting tasks of the given steps, which are ordered by rank. Among
// those of the same rank, work within its organisation's rate and share comes first. It
// reports whether the plan may decide further starts.
func (p *Planner) startSteps(now time.Time, steps []*step) bool {
	for len(steps) > 0 {
		rank := p.rank(now, steps[0])
		n := 1
		for n < len(steps) && p.rank(now, steps[n]) == rank {
			n++
		}
		left := steps[:n]
		for _, fraction := range shareFractions {
			var next []*step
			for _, s := range left {
				room := p.roomInShare(now, s, fraction)
				if room < len(s.waiting) {
					next = append(next, s)
				}
				if room > 0 && !p.startUpTo(now, s, room) {
					return false
				}
			}
			left = next
		}
		steps = steps[n:]
	}
	return true
}

// shareFractions holds the fractions of its share up to which each organisation starts
// tasks before any goes on to the next. With the first, the organisations that come last
// get something even if less can be used than was divided.
var shareFractions = [...]float64{0.5, 1, math.Inf(1)}

// roomInShare returns how many tasks of a step are within its organisation's rate and a
// fraction of its share, all or none for a gang.
func (p *Planner) roomInShare(now time.Time, s *step, fraction float64) int {
	h := s.occurrence.job.share
	switch {
	case h == nil || math.IsInf(fraction, 1):
		return math.MaxInt
	case p.isBeyondRate(now, s):
		return 0
	}
	room := h.room(s.Need, fraction)
	switch {
	case !s.Gang:
		return room
	case room >= len(s.tasks) || h.used == (Resources{}):
		return math.MaxInt
	default:
		return 0
	}
}

// startUpTo starts up to limit waiting tasks of a step. It does nothing and returns
// false if the plan may decide no further starts.
func (p *Planner) startUpTo(now time.Time, s *step, limit int) bool {
	if p.startsLeft <= 0 {
		return false
	}
	rest := max(0, p.startsLeft-limit)
	p.startsLeft -= rest
	before := p.startsLeft
	if s.Gang {
		p.startGang(now, s)
	} else {
		p.startStep(now, s)
	}
	if h := s.occurrence.job.share; h != nil {
		started := int64(before - p.startsLeft)
		h.used = h.used.plus(Resources{CPU: started * s.Need.CPU, Memory: started * s.Need.Memory, GPU: started * s.Need.GPU})
	}
	p.startsLeft += rest
	return true
}

// isBeyondRate reports whether a step belongs to a job beyond its organisation's rate.
func (p *Planner) isBeyondRate(now time.Time, s *step) bool {
	j := s.occurrence.job
	return j.isBeyondRate && !(s.LongRunning && now.Sub(j.arrived) > longRunningRateTime)
}

// isBeyond reports whether a step is beyond its organisation's rate or share.
func (p *Planner) isBeyond(now time.Time, s *step) bool {
	h := s.occurrence.job.share
	return h != nil && (h.isExceeded() || p.isBeyondRate(now, s))
}

func (p *Planner) isBeyondInBusyService(now time.Time, s *step) bool {
	return p.isBeyond(now, s) && p.isBusy(s.occurrence.job.Queue.Service)
}

// holdBack makes long-running tasks beyond their share wait behind t, which is within
// its share and has found no place, if a worker has room for t once its short tasks
// have ended. Each step is examined once in a plan.
func (p *Planner) holdBack(now time.Time, t *task) {
	h := t.step.occurrence.job.share
	if h == nil || math.IsInf(h.pool.level, 1) || h.pool.isOverdue || h.pool.heldFor == t.step || p.isBeyond(now, t.step) {
		return
	}
	h.pool.heldFor = t.step
	isPossible := slices.ContainsFunc(p.candidates(now, t.step), func(w *Worker) bool {
		return w.roomForLongRunning().Fits(t.step.reserved())
	})
	if isPossible {
		h.pool.isHeld, h.pool.isOverdue = true, now.Sub(t.readyAt) > holdTime
	}
}

// waitsBehind reports whether a long-running task waits because it is beyond its share
// and another one isn't. A task that may have run serves users already, so it doesn't.
func (p *Planner) waitsBehind(now time.Time, t *task) bool {
	h := t.step.occurrence.job.share
	return h != nil && h.pool.isHeld && !h.pool.isOverdue && !t.mayHaveRun() && p.isBeyond(now, t.step)
}

// explainShare returns why work of other organisations comes before a waiting task;
// empty if it doesn't.
func (p *Planner) explainShare(now time.Time, t *task) string {
	h := t.step.occurrence.job.share
	if h == nil || len(t.runs) > 0 || !t.step.isOpen {
		return ""
	}
	switch {
	case p.isBeyondRate(now, t.step):
		return fmt.Sprintf("; other work comes first: submitted beyond the rate of organisation %s (%g jobs a second, shards: %d)", h.name, h.weight, max(1, p.options.Shards))
	case h.isExceeded():
		return fmt.Sprintf("; other work comes first: organisation %s uses %.1f%% of service %s in this shard, its share is %.1f%%", h.name, 100*h.pool.part(h.used), h.pool.service, 100*h.limit())
	default:
		return ""
	}
}
