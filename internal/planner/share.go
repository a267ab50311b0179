package planner

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// tailMargin is the logarithm of tail over target that placement stays
	// under.
	tailMargin = -0.2
	// paceLevel is the level from which tasks beside a lasting one are slowed,
	// and restoreLevel the one under which they get their share back.
	paceLevel    = -0.05
	restoreLevel = -0.35
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
	// harmWeight weighs predicted harm against load.
	harmWeight = 2.0
	// tailAge is how long a tail counts.
	tailAge = 2500 * time.Millisecond
	// violationShare of the limit for violations is when every task beside a
	// lasting one over its target is halted.
	violationShare = 0.35
	// cpuUnit scales cores in the regression, so that slopes are per ten cores.
	cpuUnit = 10.0
)

// sharer learns how much tasks disturb the lasting tasks beside them. For each
// image that serves it fits
//
//	log(tail / target) = level + sum over images of slope x cores beside it
//
// by recursive least squares with a prior.
type sharer struct{ models map[string]*model }

func newSharer() *sharer { return &sharer{models: map[string]*model{}} }

// model is the fit for one serving image.
type model struct {
	index map[string]int
	// coefficients has the level first, then a slope for each known image.
	coefficients []float64
	// covariance is the inverse of the weighted moment matrix.
	covariance [][]float64
}

func (s *sharer) model(image string) *model {
	m := s.models[image]
	if m == nil {
		m = &model{index: map[string]int{}}
		m.grow(-0.5)
		s.models[image] = m
	}
	return m
}

// grow adds a coefficient with its prior.
func (m *model) grow(prior float64) {
	for i := range m.covariance {
		m.covariance[i] = append(m.covariance[i], 0)
	}
	row := make([]float64, len(m.coefficients)+1)
	row[len(m.coefficients)] = 1 / priorWeight
	m.coefficients = append(m.coefficients, prior)
	m.covariance = append(m.covariance, row)
}

func (m *model) slot(image string) int {
	i, ok := m.index[image]
	if !ok {
		m.grow(priorSlope)
		i = len(m.coefficients) - 1
		m.index[image] = i
	}
	return i
}

// slope is the rise of the logarithm for ten cores of an image.
func (m *model) slope(image string) float64 { return max(0, m.coefficients[m.slot(image)]) }

// observe updates the fit with one tail beside the given cores by image.
func (m *model) observe(beside map[string]float64, tail float64) {
	for image := range beside {
		m.slot(image)
	}
	n := len(m.coefficients)
	x := make([]float64, n)
	x[0] = 1
	for image, cores := range beside {
		x[m.index[image]] = cores / cpuUnit
	}
	gain := make([]float64, n)
	scale := memory
	predicted := 0.0
	for i := range n {
		for k := range n {
			gain[i] += m.covariance[i][k] * x[k]
		}
		scale += x[i] * gain[i]
		predicted += x[i] * m.coefficients[i]
	}
	for i := range n {
		m.coefficients[i] += gain[i] / scale * (tail - predicted)
	}
	for i := range n {
		for k := range n {
			m.covariance[i][k] = (m.covariance[i][k] - gain[i]*gain[k]/scale) / memory
		}
	}
	// Without a bound, forgetting lets the variance of an image that isn't seen
	// grow until one observation moves it anywhere.
	for i := range n {
		m.covariance[i][i] = min(m.covariance[i][i], 1)
	}
}

// beside sums the cores that filling tasks use on a worker by image.
func beside(w *Worker) map[string]float64 {
	sum := map[string]float64{}
	for _, r := range w.runs {
		if r.task.step.Fills && r.state != "starting" {
			sum[r.task.step.Image] += float64(r.cpu) / 1000
		}
	}
	return sum
}

// observe learns from the tails that a look has brought.
func (p *Planner) observe(now time.Time, w *Worker) {
	var around map[string]float64
	for _, r := range w.runs {
		if r.task.step.LatencyTarget == 0 || r.tailAt != now {
			continue
		}
		if around == nil {
			around = beside(w)
		}
		p.share.model(r.task.step.Image).observe(around, r.tail)
	}
}

// level is the tail that is expected of a lasting task once what was placed or
// paced of late shows.
func (s *sharer) level(now time.Time, w *Worker, v *run) float64 {
	m := s.model(v.task.step.Image)
	if now.Sub(v.tailAt) > tailAge {
		level := m.coefficients[0]
		for image, cores := range beside(w) {
			level += m.slope(image) * cores / cpuUnit
		}
		return level
	}
	level := v.tail
	for _, r := range w.runs {
		if !r.task.step.Fills {
			continue
		}
		slope := m.slope(r.task.step.Image) / cpuUnit
		if now.Sub(r.began) < settleTime || r.state == "starting" {
			level += slope * (r.needCPU() - float64(r.cpu)/1000)
		} else if now.Sub(r.paceAt) < settleTime {
			level += slope * (float64(r.wanted)/100*float64(r.task.step.Need.CPU) - float64(r.cpu)) / 1000
		}
	}
	return level
}

// costOf rates the harm of a task to the lasting ones of a worker, and for a
// lasting task the harm that it would meet there. It reports false where a
// lasting task would go over its target.
func (s *sharer) costOf(now time.Time, w *Worker, t *task) (float64, bool) {
	st := t.step
	switch {
	case st.Fills:
		return s.fillCost(now, w, st)
	case st.LatencyTarget > 0:
		m := s.model(st.Image)
		sum := 0.0
		for image, cores := range beside(w) {
			sum += m.slope(image) * cores / cpuUnit
		}
		return harmWeight * sum, true
	default:
		return 0, true
	}
}

// victim is a lasting task with a target and its expected tail.
type victim struct {
	run   *run
	model *model
	level float64
}

// victimsOf returns the lasting tasks with a target on a worker.
func (s *sharer) victimsOf(now time.Time, w *Worker) []victim {
	if w.victims == nil {
		w.victims = []victim{}
		for _, r := range w.runs {
			if r.task.step.LatencyTarget > 0 {
				w.victims = append(w.victims, victim{r, s.model(r.task.step.Image), s.level(now, w, r)})
			}
		}
		slices.SortFunc(w.victims, func(a, b victim) int { return compareRuns(a.run.id, b.run.id) })
	}
	return w.victims
}

func (s *sharer) fillCost(now time.Time, w *Worker, st *step) (float64, bool) {
	cost := 0.0
	for _, v := range s.victimsOf(now, w) {
		rise := v.model.slope(st.Image) * float64(st.Need.CPU) / 1000 / cpuUnit
		after := v.level + rise
		if rise > 0.01 && after > tailMargin {
			return 0, false
		}
		cost += harmWeight * rise
	}
	return cost, true
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
	for _, r := range w.runs {
		if r.task.step.Fills && r.state == "running" {
			fills = append(fills, r)
		}
	}
	if len(fills) == 0 {
		return
	}
	slices.SortFunc(fills, func(a, b *run) int { return compareRuns(a.id, b.id) })
	isQuiet := true
	for _, v := range p.share.victimsOf(now, w) {
		if now.Sub(v.run.tailAt) > tailAge {
			continue
		}
		if v.level > paceLevel {
			p.slowFor(now, w, v.run, fills, v.level-tailMargin)
			isQuiet = false
		} else if v.level > restoreLevel {
			isQuiet = false
		}
	}
	if isQuiet {
		p.restore(now, fills)
	}
}

// slowFor slows the tasks that disturb v most until its level has fallen by
// excess. Once v has been over its target for long, everything beside it halts.
func (p *Planner) slowFor(now time.Time, w *Worker, v *run, fills []*run, excess float64) {
	if !v.since.IsZero() && now.Sub(v.since) > time.Duration(violationShare*float64(p.options.ViolationLimit)) {
		for _, f := range fills {
			p.setPace(now, f, 0, fmt.Sprintf("%s over its target for %s", v.id, now.Sub(v.since)))
		}
		return
	}
	m := p.share.model(v.task.step.Image)
	slices.SortStableFunc(fills, func(a, b *run) int {
		x, y := m.slope(a.task.step.Image)*a.needCPU(), m.slope(b.task.step.Image)*b.needCPU()
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	for _, f := range fills {
		part := m.slope(f.task.step.Image) * f.needCPU() / cpuUnit
		if excess <= 0 || part < 0.01 {
			return
		}
		keep := max(0, 1-excess/part)
		p.setPace(now, f, int(math.Floor(keep*float64(f.wanted)/10))*10, fmt.Sprintf("%s at %.2f of its target", v.id, math.Exp(v.tail)))
		excess -= part
	}
}

// restoreInterval spaces the steps in which a slowed task gets its share back.
const restoreInterval = 700 * time.Millisecond

// restore raises the pace of the task that was slowed first.
func (p *Planner) restore(now time.Time, fills []*run) {
	for _, f := range fills {
		if f.wanted < 100 && now.Sub(f.paceAt) > restoreInterval {
			p.setPace(now, f, min(100, f.wanted+50), "tails have room")
			return
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
	r.wanted, r.pace, r.paceAt = percent, percent, now
	r.worker.victims = nil
	p.note("pace", r, fmt.Sprintf("%d%%: %s", percent, why))
	p.commands = append(p.commands, Command{Kind: PaceRun, Run: r.id, WorkerID: r.worker.ID, Percent: percent})
}
