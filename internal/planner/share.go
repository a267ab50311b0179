package planner

import (
	"maps"
	"math"
	"slices"
	"time"
)

// A level is the natural logarithm of the tail latency of a long-running task
// over its target. A rise is the increase of a level that best-effort tasks
// cause. Harm is the expected number of long-running tasks that are over their
// target because of best-effort tasks. Paces are in percent of a task's CPU
// need.
const (
	// Throttling of best-effort tasks.

	// Best-effort tasks are throttled once the level of a long-running task
	// beside them rises above throttleLevel, until the level is expected to
	// fall to throttleGoalLevel.
	throttleGoalLevel = -0.25
	throttleLevel     = -0.08
	// minThrottleRise is the least rise for which a task is throttled
	// immediately. prolongedMinThrottleRise replaces minThrottleRise once the
	// long-running task has been over its target for prolongedViolationShare of
	// the ViolationLimit. A long-running task comes near its target from time to
	// time because of its own load, and tasks that hardly disturb it should not
	// be throttled for that.
	minThrottleRise          = 0.12
	prolongedMinThrottleRise = 0.03
	prolongedViolationShare  = 0.2

	// overTargetLevel and recoveredLevel are the levels above and below which a
	// long-running task starts and stops counting as over its target.
	overTargetLevel = -0.05
	recoveredLevel  = -0.15

	// minPace is the pace of a task that has no better place: a task that was
	// slowed more than minPaceDelay ago, as long as no long-running task on its
	// worker is over its target, or a task that has waited for ignoreHarmAfter and
	// would do too much harm at its full pace.
	minPace      = 20
	minPaceDelay = 4 * time.Second

	// Prediction of tail latencies.

	// tailDeviation is the standard deviation of a level one second later from
	// its prediction, and reversion is the share of a level's distance from its
	// usual value that remains after that second. The load of a serving task
	// varies within seconds.
	tailDeviation = 0.35
	reversion     = 0.7
	// disturbanceDeviation is the standard deviation of a rise, as a share of
	// the rise, and disturbanceBias is the share by which the regression
	// underestimates the rise.
	disturbanceDeviation = 0.7
	disturbanceBias      = 0.3

	// Limits of the harm that the start of a best-effort task may do.

	// harmLimit is the harm above which a best-effort task waits, and
	// relaxedHarmLimit replaces it after a wait of relaxHarmAfter. After
	// ignoreHarmAfter the task may start anywhere, and be throttled there. A
	// long-running task that is over its target for 2 s costs as much as two
	// best-effort tasks earn.
	harmLimit        = 0.15
	relaxedHarmLimit = 0.35
	// lateHarmLimit replaces harmLimit for a task of a late job if its service is busy:
	// such a job earns at most a seventh of the full value. So it does for work beyond
	// its organisation's rate or share.
	lateHarmLimit = 0.04
	// lateWaitLimit is the longest wait of a task during which lateHarmLimit
	// applies.
	lateWaitLimit   = 10 * time.Second
	relaxHarmAfter  = 1500 * time.Millisecond
	ignoreHarmAfter = 6 * time.Second
	// busyIgnoreHarmAfter replaces ignoreHarmAfter if the service is busy. A
	// sequence of tasks that start beside a long-running task over its target
	// would keep it there. Where minPace does little harm, a task does not wait
	// as long.
	busyIgnoreHarmAfter = 30 * time.Second

	// Supervision of running best-effort tasks.

	// starvedPace is the pace at or below which a task makes practically no
	// progress, and starvedLimit is how long the task stays there before it is
	// moved.
	starvedPace  = 30
	starvedLimit = 1500 * time.Millisecond
	// paceResendInterval is the time after which the pace is sent again to a
	// task that does not follow it, because an earlier command may have been
	// carried out late.
	paceResendInterval = 900 * time.Millisecond
	// maxOveruse is the share of its CPU need by which a task may exceed its
	// pace before the pace is sent again.
	maxOveruse = 0.25

	// Regression of levels on the cores that best-effort images use.

	// minSlope is the least rise that ten cores of any image cause: many tasks
	// that each hardly disturb can do so together.
	minSlope = 0.015
	// minRise is the least rise that counts as a disturbance.
	minRise = 0.02
	// priorSlope is the assumed rise for ten cores of an unknown image.
	priorSlope = 0.08
	// priorWeight is the weight of the prior in observations, and
	// forgettingFactor is the share of the earlier evidence that remains after
	// each observation.
	priorWeight      = 4.0
	forgettingFactor = 0.9995

	// Timing and scales.

	// settleTime is how long a reported tail latency takes to reflect a change,
	// since it covers the last half second.
	settleTime = 600 * time.Millisecond
	// harmWeight is the placement cost of a harm of 1. The load of a worker
	// counts with a weight of 1.
	harmWeight = 4.0
	// observeInterval is the least time between two observations of a worker,
	// since a tail latency covers half a second.
	observeInterval = 350 * time.Millisecond
	// maxTailAge is how long a reported tail latency stays valid.
	maxTailAge = 2500 * time.Millisecond
	// pauseAllShare is the share of the ViolationLimit after which every
	// best-effort task beside a long-running task over its target is paused.
	pauseAllShare = 0.5
	// coresPerUnit scales cores in the regression, so that slopes are per ten
	// cores.
	coresPerUnit = 10.0
)

// bestEffortCores returns the cores that best-effort tasks use on a worker, by
// image.
func bestEffortCores(w *Worker) map[string]float64 {
	sum := map[string]float64{}
	for _, r := range w.runsInOrder {
		if r.task.step.BestEffort && r.state != "starting" {
			sum[r.task.step.Image] += float64(r.usedCPU) / 1000
		}
	}
	return sum
}

// observeTails updates the models with the tail latencies of the last poll.
func (p *Planner) observeTails(now time.Time, w *Worker) {
	if now.Sub(w.observedAt) < observeInterval {
		return
	}
	w.observedAt = now
	var neighbours map[string]float64
	for _, r := range w.runsInOrder {
		if r.task.step.LatencyTarget == 0 || r.tailAt != now {
			continue
		}
		if neighbours == nil {
			neighbours = bestEffortCores(w)
		}
		p.interference.modelFor(r.task.step.Image).observe(neighbours, r.tailLevel)
	}
}

// predictVictim predicts the level of a long-running task in about one second,
// taking into account recent starts and changes of pace.
func (s *tailModels) predictVictim(now time.Time, w *Worker, v *run) victim {
	m := s.modelFor(v.task.step.Image)
	base := m.coefficients[0]
	measured, expected := 0.0, 0.0
	for _, r := range w.runsInOrder {
		if !r.task.step.BestEffort {
			continue
		}
		slope := m.slope(r.task.step.Image) / coresPerUnit
		cores := float64(r.usedCPU) / 1000
		measured += slope * cores
		if now.Sub(r.startedAt) < settleTime || now.Sub(r.paceAt) < settleTime || r.state == "starting" {
			cores = r.expectedCores()
		}
		expected += slope * cores
	}
	if now.Sub(v.tailAt) > maxTailAge {
		return victim{v, m, base + expected, expected}
	}
	return victim{v, m, base + reversion*(v.tailLevel-measured-base) + expected, expected}
}

// interferenceCost returns the cost of the harm that a task does to the
// long-running tasks of a worker or, for a long-running task, of the
// disturbance that it meets there. It reports false if the harm exceeds limit.
func (p *Planner) interferenceCost(now time.Time, w *Worker, st *step, pace int, limit float64) (float64, bool) {
	switch {
	case st.BestEffort:
		return p.interference.bestEffortCost(now, w, st, pace, limit)
	case st.LatencyTarget > 0:
		return p.interference.colocationCost(w, st), true
	default:
		return 0, true
	}
}

const (
	// mixedImageCost is the cost of each long-running task of a maximally
	// dissimilar image on the worker, and emptyWorkerCost is the cost of a
	// worker without long-running tasks, both in units of load. Images differ
	// in what disturbs them. If the long-running tasks of a worker are similar,
	// more best-effort tasks disturb none of them.
	mixedImageCost  = 2.0
	emptyWorkerCost = 1.0
)

// colocationCost returns the cost of placing a long-running task beside the
// long-running and best-effort tasks of a worker.
func (s *tailModels) colocationCost(w *Worker, st *step) float64 {
	cost, longRunning := 0.0, 0
	for _, r := range w.runsInOrder {
		if r.task.step.LatencyTarget == 0 {
			continue
		}
		longRunning++
		if r.task.step.Image != st.Image {
			cost += mixedImageCost * s.dissimilarity(r.task.step.Image, st.Image)
		}
	}
	if longRunning == 0 {
		cost += emptyWorkerCost
	}
	m := s.modelFor(st.Image)
	neighbours := bestEffortCores(w)
	for _, image := range slices.Sorted(maps.Keys(neighbours)) {
		cost += m.slope(image) * neighbours[image] / coresPerUnit
	}
	return cost
}

// dissimilarity returns how differently two serving images react to best-effort
// tasks, from 0 to 1. It is 1 if too little is known about them.
func (s *tailModels) dissimilarity(a, b string) float64 {
	m, n := s.modelFor(a), s.modelFor(b)
	difference, total := 0.0, 0.0
	common := 0
	for _, image := range slices.Sorted(maps.Keys(m.index)) {
		if _, ok := n.index[image]; !ok {
			continue
		}
		common++
		x, y := m.slope(image), n.slope(image)
		difference += math.Abs(x - y)
		total += x + y
	}
	if common < minCommonImages || total == 0 {
		return 1
	}
	return difference / total
}

// minCommonImages is how many best-effort images both serving images must have
// been observed with before they can count as similar.
const minCommonImages = 4

// victim is a long-running task with a latency target, and its predicted level.
type victim struct {
	run   *run
	model *model
	// level is the predicted logarithm of the tail latency over its target, and
	// disturbance is the part of it that best-effort tasks cause.
	level, disturbance float64
}

// overTargetProbability returns the probability that the tail latency exceeds
// its target if best-effort tasks raise the level by rise. The disturbance
// varies within seconds, in proportion to its size, and exceeds the estimate of
// the regression, which learns from imprecise reports of CPU use.
func (v *victim) overTargetProbability(rise float64) float64 {
	disturbance := v.disturbance + rise
	deviation := math.Hypot(tailDeviation, disturbanceDeviation*disturbance)
	return 0.5 * (1 + math.Erf((v.level+rise+disturbanceBias*disturbance)/deviation/math.Sqrt2))
}

// victimsOf returns the long-running tasks with a latency target on a worker.
func (s *tailModels) victimsOf(now time.Time, w *Worker) []victim {
	if w.victims == nil {
		w.victims = []victim{}
		for _, r := range w.runsInOrder {
			if r.task.step.LatencyTarget > 0 {
				w.victims = append(w.victims, s.predictVictim(now, w, r))
			}
		}
		slices.SortFunc(w.victims, func(a, b victim) int { return compareRuns(a.run.id, b.run.id) })
	}
	return w.victims
}

// harm returns the expected number of long-running tasks of a worker that
// exceed their target because tasks of a step get the given additional cores
// there.
func (s *tailModels) harm(now time.Time, w *Worker, st *step, cores float64) float64 {
	sum := 0.0
	for _, v := range s.victimsOf(now, w) {
		sum += v.overTargetProbability(v.rise(st, cores)) - v.overTargetProbability(0)
	}
	return sum
}

// rise returns by how much the victim's level rises if tasks of a step get the
// given additional cores.
func (v *victim) rise(st *step, cores float64) float64 {
	return v.model.slope(st.Image) * cores / coresPerUnit
}

// harmLimitFor returns the harm that a best-effort task may do. The limit grows
// with the time that a place has been sought for the task, so that the tasks of a
// step do it one after the other, except that a late job has a low limit at first if
// its service is busy. It ends with the whole wait of the task.
func (p *Planner) harmLimitFor(now time.Time, t *task) float64 {
	isBusy := p.isBusy(t.step.occurrence.job.Queue.Service)
	switch waited, sought := now.Sub(t.readyAt), now.Sub(t.soughtAt); {
	case waited > busyIgnoreHarmAfter, waited > ignoreHarmAfter && !isBusy:
		return math.Inf(1)
	case sought < lateWaitLimit && isBusy && (p.rank(now, t.step) != rankInTime || p.isBeyond(now, t.step)):
		return lateHarmLimit
	case sought > relaxHarmAfter, p.hasLastTasks(t.step):
		return relaxedHarmLimit
	default:
		return harmLimit
	}
}

// bestEffortCost returns the cost of the harm of one more best-effort task on a
// worker at the given pace, and whether the harm is within limit.
func (s *tailModels) bestEffortCost(now time.Time, w *Worker, st *step, pace int, limit float64) (float64, bool) {
	cores := float64(st.Need.CPU) / 1000 * float64(pace) / 100
	harm := s.harm(now, w, st, cores)
	// While a long-running task is over its target, its model underestimates
	// what the tasks beside it do, so a further task counts as one more
	// violation.
	for _, v := range s.victimsOf(now, w) {
		over := v.run.overTargetSince
		if !over.IsZero() && (now.Sub(over) > settleTime || v.rise(st, cores) > minRise) {
			harm++
		}
	}
	return harmWeight * harm, harm <= limit
}
