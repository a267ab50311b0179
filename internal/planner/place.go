package planner

import (
	"slices"
	"time"
)

const (
	// remotePenalty is the cost of a worker outside the rack of the data or of
	// the rest of the step, in units of load. It outweighs any difference in
	// load.
	remotePenalty = 10.0
	// slowPenalty is the cost of a slow worker, in units of load.
	slowPenalty = 5.0
	// avoidPenalty is the cost of a worker on which the task failed, stalled,
	// was slow or was refused before, in units of load.
	avoidPenalty = 20.0
)

// candidateKey holds the properties of a step that determine its candidate
// workers.
type candidateKey struct{ service, label string }

// candidates returns the workers on which tasks of a step may start now,
// regardless of free capacity.
func (p *Planner) candidates(now time.Time, s *step) []*Worker {
	key := candidateKey{s.occurrence.job.Queue.Service, s.RequiredLabel}
	list, ok := p.candidateCache[key]
	if ok {
		return list
	}
	for _, w := range p.sortedWorkers {
		if w.Service == key.service && p.isUsable(now, w) && (key.label == "" || slices.Contains(w.Labels, key.label)) {
			list = append(list, w)
		}
	}
	p.candidateCache[key] = list
	return list
}

// isUsable reports whether tasks may start on a worker now.
func (p *Planner) isUsable(now time.Time, w *Worker) bool {
	isUnresponsive := !w.failedSince.IsZero() && now.Sub(w.failedSince) > answerLimit
	return w.isProved() && w.replacedAt.IsZero() && !w.isContested && w.isRecorded && w.isListed && !w.Draining && !p.evacuatedDomains[w.Domain] && !p.silentDomains[w.Domain] && !w.isSick(now) && !w.hasUnknownRuns && !isUnresponsive
}

// placeKey holds the properties of a task, apart from its resource needs, that
// determine where it may be placed.
type placeKey struct {
	candidateKey
	image string
	limit float64
	// maySlow is set if the task may also start at minPace.
	maySlow bool
}

func (p *Planner) keyOf(now time.Time, t *task) placeKey {
	s := t.step
	k := placeKey{candidateKey: candidateKey{s.occurrence.job.Queue.Service, s.RequiredLabel}}
	if s.BestEffort {
		k.image, k.limit, k.maySlow = s.Image, p.harmLimitFor(now, t), p.mayStartSlowly(now, t)
	}
	return k
}

// isUnplaceable reports whether this plan has already found no place for a task
// that needs as much or less. With a long backlog this check saves most of the
// planning time.
func (p *Planner) isUnplaceable(now time.Time, t *task) bool {
	smallest, ok := p.unplaceable[p.keyOf(now, t)]
	return ok && t.step.Need.Fits(smallest)
}

// markUnplaceable records that no worker has room for a task. Tasks of steps
// with MaxPerWorker are not recorded, because that limit does not apply to
// other steps.
func (p *Planner) markUnplaceable(now time.Time, t *task) {
	if t.step.MaxPerWorker > 0 {
		return
	}
	key := p.keyOf(now, t)
	if smallest, ok := p.unplaceable[key]; !ok || smallest.Fits(t.step.Need) {
		p.unplaceable[key] = t.step.Need
	}
}

// chooseWorker returns the worker with the lowest cost on which the task can
// start, or nil if there is none.
func (p *Planner) chooseWorker(now time.Time, t *task, candidates []*Worker) *Worker {
	w := p.cheapestWorker(now, t, candidates, 100, p.harmLimitFor(now, t))
	if w == nil && p.mayStartSlowly(now, t) {
		w = p.cheapestWorker(now, t, candidates, minPace, harmLimit)
	}
	return w
}

// mayStartSlowly reports whether a best-effort task has waited for so long for a
// place at its full pace that it may start at minPace.
func (p *Planner) mayStartSlowly(now time.Time, t *task) bool {
	return t.step.BestEffort && now.Sub(t.readyAt) > ignoreHarmAfter && p.harmLimitFor(now, t) > harmLimit
}

// cheapestWorker returns the worker with the lowest cost on which the task can
// start at the given pace with a harm within limit, or nil if there is none.
func (p *Planner) cheapestWorker(now time.Time, t *task, candidates []*Worker, pace int, limit float64) *Worker {
	need := t.step.reserved()
	var best *Worker
	var lowest float64
	for _, w := range candidates {
		if !w.free.Fits(need) || !p.isWithinWorkerLimit(t, w) || w.isReservedAgainst(now, t) || !w.isSeparate(t) || t.isBoundElsewhere(w) {
			continue
		}
		cost, ok := p.placementCost(now, t, w, pace, limit)
		if ok && (best == nil || cost < lowest) {
			best, lowest = w, cost
		}
	}
	return best
}

// isWithinWorkerLimit reports whether w has no other run of t and fewer runs of
// its step than MaxPerWorker allows.
func (p *Planner) isWithinWorkerLimit(t *task, w *Worker) bool {
	count := 0
	for _, r := range w.runsInOrder {
		if r.task == t {
			return false
		}
		if r.task.step == t.step {
			count++
		}
	}
	return t.step.MaxPerWorker == 0 || count < t.step.MaxPerWorker
}

// placementCost returns the cost of placing a task on a worker, and whether the
// harm that it does at the given pace to long-running tasks there is within limit.
func (p *Planner) placementCost(now time.Time, t *task, w *Worker, pace int, limit float64) (float64, bool) {
	s := t.step
	cost := w.load() + float64(s.Need.CPU)/float64(max(1, w.Capacity.CPU))
	if s.LatencyTarget > 0 && !p.options.DisablePacking {
		cost = p.packingCost(w)
	}
	if s.PreferredRack != "" && w.Rack != s.PreferredRack {
		cost += remotePenalty
	}
	if s.SameRack && !p.isInStepRack(t, w) {
		cost += remotePenalty
	}
	if w.isSlow(now) {
		cost += slowPenalty
	}
	if slices.Contains(t.avoidedWorkers, w.ID) {
		cost += avoidPenalty
	}
	harm, ok := p.interferenceCost(now, w, s, pace, limit)
	return cost + harm + w.companionCost(t), ok
}

// isInStepRack reports whether w is in the rack of the runs of t's step, or
// whether the step has no runs.
func (p *Planner) isInStepRack(t *task, w *Worker) bool {
	for _, o := range t.step.tasks {
		for _, r := range o.runs {
			return r.worker.Rack == w.Rack
		}
	}
	return true
}

// avoid records a worker on which the task failed, stalled, was slow or was refused.
func (t *task) avoid(w *Worker) {
	if !slices.Contains(t.avoidedWorkers, w.ID) {
		t.avoidedWorkers = append(t.avoidedWorkers, w.ID)
	}
}

// chooseGang returns one worker for each task of a gang, or nil if not all
// tasks fit. A gang with SameRack is placed in one rack if any rack has room
// for it.
func (p *Planner) chooseGang(now time.Time, s *step) []*Worker {
	candidates := p.candidates(now, s)
	if s.SameRack {
		racks := map[string][]*Worker{}
		var names []string
		for _, w := range candidates {
			if racks[w.Rack] == nil {
				names = append(names, w.Rack)
			}
			racks[w.Rack] = append(racks[w.Rack], w)
		}
		for _, name := range names {
			if chosen := p.placeGang(now, s, racks[name]); chosen != nil {
				return chosen
			}
		}
	}
	return p.placeGang(now, s, candidates)
}

// placeGang chooses a worker for each task of a gang from the candidates. It
// reserves capacity only while choosing.
func (p *Planner) placeGang(now time.Time, s *step, candidates []*Worker) []*Worker {
	need := s.reserved()
	var chosen []*Worker
	perWorker := map[*Worker]int{}
	for _, t := range s.tasks {
		var open []*Worker
		for _, w := range candidates {
			if s.MaxPerWorker == 0 || perWorker[w] < s.MaxPerWorker {
				open = append(open, w)
			}
		}
		w := p.chooseWorker(now, t, open)
		if w == nil {
			break
		}
		w.free = w.free.minus(need)
		perWorker[w]++
		chosen = append(chosen, w)
	}
	for _, w := range chosen {
		w.free = w.free.plus(need)
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}
