package planner

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// tailMargin is the logarithm of tail over target to which tasks beside a
	// lasting one are slowed, and paceLevel the one from which they are.
	tailMargin = -0.25
	paceLevel  = -0.08
	// worthSlowing is the rise from which on a task is slowed at once, and
	// worthSlowingLate the one once the lasting task has been over its target
	// for slowAllShare of the limit. A lasting task is near its target now and
	// then by its own load, and what hardly disturbs it must not wait for that.
	worthSlowing     = 0.12
	worthSlowingLate = 0.03
	slowAllShare     = 0.2
	// overTail and calmTail are the levels at which a lasting task begins and
	// ends to count as over its target.
	overTail = -0.05
	calmTail = -0.15
	// leastPace is what a task gets that has no better place: one that has long
	// been slowed to nothing, as long as nothing beside it is over its target,
	// and one that has waited for anywhereLimit.
	leastPace      = 20
	leastPaceAfter = 4 * time.Second
	// tailSpread is the deviation of a tail a second later from the expected
	// one, and reversion the part of a tail's distance from its usual level that
	// is left then: the load of a serving task swings within seconds.
	tailSpread = 0.35
	reversion  = 0.7
	// disturbedSpread is the deviation of what filling tasks do, as a share of
	// it, and disturbedBias by how much more that is than the regression says.
	disturbedSpread = 0.7
	disturbedBias   = 0.3
	// harmLimit is the chance of pushing a lasting task over its target at which
	// a filling task waits, and waitedHarmLimit the one after it has waited for
	// waitLimit. After anywhereLimit it may start anywhere, and be slowed there.
	// A lasting task over its target for 2 s costs what two filling tasks earn.
	harmLimit       = 0.15
	waitedHarmLimit = 0.35
	// lateHarmLimit is the chance at which a task of a late job waits where its
	// service is busy: such a job earns a seventh at best.
	lateHarmLimit = 0.04
	// lateWaitLimit is how long it does so at most.
	lateWaitLimit = 10 * time.Second
	waitLimit     = 1500 * time.Millisecond
	anywhereLimit = 6 * time.Second
	// busyAnywhereLimit replaces anywhereLimit where the service is busy: tasks
	// that come one after the other to a lasting one over its target would hold it
	// there.
	busyAnywhereLimit = 30 * time.Second
	// slowedPace is the pace from which on a task has as good as no share, and
	// slowedLimit how long it stays so before it is moved.
	slowedPace  = 30
	slowedLimit = 1500 * time.Millisecond
	// repeatInterval is after what time the pace of a task is sent again that
	// works more or less than its pace: an earlier one may have been carried out
	// late.
	repeatInterval = 900 * time.Millisecond
	// overuse is the share of the processors by which a task may use more than
	// its pace before the pace is sent again.
	overuse = 0.25
	// leastSlope is what ten cores of any image do at least: many tasks that
	// hardly disturb do so together.
	leastSlope = 0.015
	// leastRise is the rise that counts as a disturbance at all.
	leastRise = 0.02
	// priorSlope is by how much ten cores of an unknown image raise the
	// logarithm of a tail.
	priorSlope = 0.08
	// priorWeight is how many observations the prior is worth, and memory the
	// share of the evidence that an observation leaves of the earlier ones.
	priorWeight = 4.0
	memory      = 0.9995
	// settleTime is how long the tail takes to show a change: a tail covers the
	// last half second.
	settleTime = 600 * time.Millisecond
	// harmWeight weighs the chance of harm against load.
	harmWeight = 4.0
	// observeInterval is the least time between two observations of a worker,
	// since a tail covers half a second.
	observeInterval = 350 * time.Millisecond
	// tailAge is how long a tail counts.
	tailAge = 2500 * time.Millisecond
	// violationShare of the limit for violations is when every task beside a
	// lasting one over its target is halted.
	violationShare = 0.5
	// cpuUnit scales cores in the regression, so that slopes are per ten cores.
	cpuUnit = 10.0
)

// beside sums the cores that filling tasks use on a worker by image.
func beside(w *Worker) map[string]float64 {
	sum := map[string]float64{}
	for _, r := range w.order {
		if r.task.step.Fills && r.state != "starting" {
			sum[r.task.step.Image] += float64(r.cpu) / 1000
		}
	}
	return sum
}

// observe learns from the tails that a look has brought.
func (p *Planner) observe(now time.Time, w *Worker) {
	if now.Sub(w.observedAt) < observeInterval {
		return
	}
	w.observedAt = now
	var around map[string]float64
	for _, r := range w.order {
		if r.task.step.LatencyTarget == 0 || r.tailAt != now {
			continue
		}
		if around == nil {
			around = beside(w)
		}
		p.share.model(r.task.step.Image).observe(around, r.tail)
	}
}

// victim returns a lasting task with the tail that is expected about a second
// later, with what was placed or paced of late.
func (s *sharer) victim(now time.Time, w *Worker, v *run) victim {
	m := s.model(v.task.step.Image)
	base := m.coefficients[0]
	measured, expected := 0.0, 0.0
	for _, r := range w.order {
		if !r.task.step.Fills {
			continue
		}
		slope := m.slope(r.task.step.Image) / cpuUnit
		cores := float64(r.cpu) / 1000
		measured += slope * cores
		if now.Sub(r.began) < settleTime || now.Sub(r.paceAt) < settleTime || r.state == "starting" {
			cores = r.needCPU()
		}
		expected += slope * cores
	}
	if now.Sub(v.tailAt) > tailAge {
		return victim{v, m, base + expected, expected}
	}
	return victim{v, m, base + reversion*(v.tail-measured-base) + expected, expected}
}

// costOf rates the harm of a task to the lasting ones of a worker, and for a
// lasting task the harm that it would meet there. It reports false where a
// lasting task would go over its target.
func (p *Planner) costOf(now time.Time, w *Worker, t *task, limit float64) (float64, bool) {
	st := t.step
	switch {
	case st.Fills:
		return p.share.fillCost(now, w, t, limit)
	case st.LatencyTarget > 0:
		return p.share.companyCost(w, st), true
	default:
		return 0, true
	}
}

const (
	// foreignCost is what each lasting task of another image costs where one
	// wants to go, and emptyCost a worker that has none yet. Images differ in
	// what disturbs them, so a worker whose lasting tasks are alike leaves more
	// filling tasks that disturb none of them.
	foreignCost = 2.0
	emptyCost   = 1.0
)

// companyCost rates the lasting tasks that a worker has as company for one
// more, and the filling tasks that disturb it there.
func (s *sharer) companyCost(w *Worker, st *step) float64 {
	cost, lasting := 0.0, 0
	for _, r := range w.order {
		if r.task.step.LatencyTarget == 0 {
			continue
		}
		lasting++
		if r.task.step.Image != st.Image {
			cost += foreignCost * s.difference(r.task.step.Image, st.Image)
		}
	}
	if lasting == 0 {
		cost += emptyCost
	}
	m := s.model(st.Image)
	around := beside(w)
	for _, image := range slices.Sorted(maps.Keys(around)) {
		cost += m.slope(image) * around[image] / cpuUnit
	}
	return cost
}

// difference is how differently two serving images are disturbed, from 0 to 1.
// Images of which little is known count as different.
func (s *sharer) difference(a, b string) float64 {
	m, n := s.model(a), s.model(b)
	both, each := 0.0, 0.0
	known := 0
	for _, image := range slices.Sorted(maps.Keys(m.index)) {
		if _, ok := n.index[image]; !ok {
			continue
		}
		known++
		x, y := m.slope(image), n.slope(image)
		both += math.Abs(x - y)
		each += x + y
	}
	if known < leastKnown || each == 0 {
		return 1
	}
	return both / each
}

// leastKnown is how many filling images two serving images must both have met
// before they can count as alike.
const leastKnown = 4

// victim is a lasting task with a target and its expected tail.
type victim struct {
	run   *run
	model *model
	// level is the expected logarithm of its tail over its target, and disturbed
	// the part of it that comes from the filling tasks beside it.
	level, disturbed float64
}

// chanceOver is the chance that the tail is over its target when the filling
// tasks raise it by rise more. What they do swings within seconds, the more so
// the more they do, and it is more than the regression says, since the
// processors that it learns from are rough figures.
func (v *victim) chanceOver(rise float64) float64 {
	disturbed := v.disturbed + rise
	spread := math.Hypot(tailSpread, disturbedSpread*disturbed)
	return 0.5 * (1 + math.Erf((v.level+rise+disturbedBias*disturbed)/spread/math.Sqrt2))
}

// victimsOf returns the lasting tasks with a target on a worker.
func (s *sharer) victimsOf(now time.Time, w *Worker) []victim {
	if w.victims == nil {
		w.victims = []victim{}
		for _, r := range w.order {
			if r.task.step.LatencyTarget > 0 {
				w.victims = append(w.victims, s.victim(now, w, r))
			}
		}
		slices.SortFunc(w.victims, func(a, b victim) int { return compareRuns(a.run.id, b.run.id) })
	}
	return w.victims
}

// harm is the expected number of lasting tasks of a worker that are pushed over
// their target when tasks of a step get so many more cores there.
func (s *sharer) harm(now time.Time, w *Worker, st *step, cores float64) float64 {
	sum := 0.0
	for _, v := range s.victimsOf(now, w) {
		sum += v.chanceOver(v.rise(st, cores)) - v.chanceOver(0)
	}
	return sum
}

// rise is by how much a victim's level rises when a task gets so many cores.
func (v *victim) rise(st *step, cores float64) float64 {
	return v.model.slope(st.Image) * cores / cpuUnit
}

// harmLimitOf is the chance of harm that a filling task may bring. It grows with
// the time for which the task has waited, unless its job is late and others need
// the room.
func (p *Planner) harmLimitOf(now time.Time, t *task) float64 {
	switch waited := now.Sub(t.readyAt); {
	case waited < lateWaitLimit && p.rank(now, t.step) != rankInTime && p.isBusy(t.step.occurrence.job.Queue.Service):
		return lateHarmLimit
	case waited > busyAnywhereLimit, waited > anywhereLimit && !p.isBusy(t.step.occurrence.job.Queue.Service):
		return math.Inf(1)
	case waited > waitLimit:
		return waitedHarmLimit
	default:
		return harmLimit
	}
}

// fillCost rates the harm of one more filling task on a worker.
func (s *sharer) fillCost(now time.Time, w *Worker, t *task, limit float64) (float64, bool) {
	cores := float64(t.step.Need.CPU) / 1000
	harm := s.harm(now, w, t.step, cores)
	// While a lasting task is over its target, its model is of no use: what the
	// tasks beside it do is more than was expected.
	for _, v := range s.victimsOf(now, w) {
		over := v.run.since
		if !over.IsZero() && (now.Sub(over) > settleTime || v.rise(t.step, cores) > leastRise) {
			harm++
		}
	}
	return harmWeight * harm, harm <= limit
}

// pace slows filling tasks beside lasting ones that are near their target, and
// lets them go on when there is room again.
func (p *Planner) pace(now time.Time) {
	for _, w := range p.list {
		if w.touched && w.failedSince.IsZero() {
			w.touched = false
			p.paceWorker(now, w)
		}
	}
}

func (p *Planner) paceWorker(now time.Time, w *Worker) {
	var fills []*run
	for _, r := range w.order {
		if r.task.step.Fills && r.state == "running" {
			fills = append(fills, r)
		}
	}
	if len(fills) == 0 {
		return
	}
	slices.SortFunc(fills, func(a, b *run) int { return compareRuns(a.id, b.id) })
	for _, v := range p.share.victimsOf(now, w) {
		if now.Sub(v.run.tailAt) <= tailAge && v.level > paceLevel {
			p.slowFor(now, v, fills)
		}
	}
	p.restore(now, w, fills)
}

// slowFor slows the tasks that disturb v most until its level is under the
// margin. Once v has been over its target for long, everything beside it halts.
func (p *Planner) slowFor(now time.Time, v victim, fills []*run) {
	var over time.Duration
	if !v.run.since.IsZero() {
		over = now.Sub(v.run.since)
	}
	if over > p.haltAfter() {
		for _, f := range fills {
			p.setPace(now, f, 0, fmt.Sprintf("%s over its target for %s", v.run.id, over))
		}
		return
	}
	least := worthSlowing
	if over > time.Duration(slowAllShare*float64(p.options.ViolationLimit)) {
		least = worthSlowingLate
	}
	// What earns little goes first.
	weight := func(r *run) float64 {
		rise := v.rise(r.task.step, r.needCPU())
		if p.rank(now, r.task.step) != rankInTime {
			rise *= lateWeight
		}
		return rise
	}
	slices.SortStableFunc(fills, func(a, b *run) int { return cmp.Compare(weight(b), weight(a)) })
	excess := v.level - tailMargin
	for _, f := range fills {
		part := v.rise(f.task.step, f.needCPU())
		if excess <= 0 || part < least {
			return
		}
		keep := max(0, 1-excess/part)
		p.setPace(now, f, int(keep*float64(f.wanted)/paceStep)*paceStep, fmt.Sprintf("%s at %.2f of its target", v.run.id, math.Exp(v.run.tail)))
		excess -= part
	}
}

// haltAfter is how long a lasting task may be over its target before all that
// fills beside it halts.
func (p *Planner) haltAfter() time.Duration {
	return time.Duration(violationShare * float64(p.options.ViolationLimit))
}

const (
	// lateWeight is how many times more a task of a late job counts when one is
	// chosen to be slowed.
	lateWeight = 4.0
	// restoreInterval spaces the steps in which a slowed task gets its share
	// back, since a tail shows a change late.
	restoreInterval = 600 * time.Millisecond
	// paceStep is the unit of paces, in percent.
	paceStep = 10
)

// restore gives slowed tasks their share back as far as that is unlikely to
// push a lasting task over its target.
func (p *Planner) restore(now time.Time, w *Worker, fills []*run) {
	isCalm := !slices.ContainsFunc(p.share.victimsOf(now, w), func(v victim) bool { return !v.run.since.IsZero() })
	if !isCalm {
		return
	}
	for _, f := range fills {
		if f.wanted < leastPace && now.Sub(f.slowedAt) > leastPaceAfter {
			p.setPace(now, f, leastPace, "no other place")
		}
		if f.wanted == 100 || now.Sub(f.paceAt) < restoreInterval {
			continue
		}
		need := float64(f.task.step.Need.CPU) / 1000
		limit := min(harmLimit, p.harmLimitOf(now, f.task))
		for _, percent := range [...]int{100, (f.wanted + 100) / 2 / paceStep * paceStep} {
			if percent > f.wanted && p.share.harm(now, w, f.task.step, need*float64(percent-f.wanted)/100) <= limit {
				p.setPace(now, f, percent, "tails have room")
				break
			}
		}
	}
}

// checkFill repeats the pace of a filling task that stands still, and moves one
// that has as good as no share to a worker where it harms nobody.
func (p *Planner) checkFill(now time.Time, r *run) {
	slowedFor := now.Sub(r.paceAt)
	switch {
	case slowedFor > repeatInterval && float64(r.cpu) > (float64(r.wanted)/100+overuse)*float64(r.task.step.Need.CPU):
		p.note("pace_repeated", r, fmt.Sprintf("uses %d of %d thousandths at a pace of %d%%", r.cpu, r.task.step.Need.CPU, r.wanted))
		r.paceAt = now
		p.commands = append(p.commands, Command{Kind: PaceRun, Run: r.id, WorkerID: r.worker.ID, Percent: r.wanted})
	case r.wanted > slowedPace:
		if slowedFor > repeatInterval && now.Sub(r.movedAt) > repeatInterval {
			r.paceAt = now
			p.commands = append(p.commands, Command{Kind: PaceRun, Run: r.id, WorkerID: r.worker.ID, Percent: r.wanted})
		}
	case slowedFor > slowedLimit && len(r.task.runs) == 1 && (r.task.step.Checkpoints || r.percent < 50):
		// The place is chosen as for a task that has not waited.
		r.task.readyAt = now
		if w := p.choose(now, r.task, p.candidates(now, r.task.step)); w != nil {
			p.stop(now, r, fmt.Sprintf("at a pace of %d%% for %s, has a place on %s", r.wanted, slowedFor, w.ID))
		} else {
			r.paceAt = now
		}
	}
}

// PaceLost notes that it isn't known whether a worker applied a pace.
func (p *Planner) PaceLost(id RunID, workerID string) {
	if w := p.workers[workerID]; w != nil && w.runs[id] != nil {
		r := w.runs[id]
		p.commands = append(p.commands, Command{Kind: PaceRun, Run: id, WorkerID: workerID, Percent: r.wanted})
	}
}

func (p *Planner) setPace(now time.Time, r *run, percent int, why string) {
	if r.wanted == percent {
		return
	}
	if r.wanted == 100 {
		r.slowedAt = now
	}
	r.wanted, r.pace, r.paceAt = percent, percent, now
	r.worker.victims = nil
	p.note("pace", r, fmt.Sprintf("%d%%: %s", percent, why))
	p.commands = append(p.commands, Command{Kind: PaceRun, Run: r.id, WorkerID: r.worker.ID, Percent: percent})
}
