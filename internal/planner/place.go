package planner

import (
	"slices"
	"time"
)

const (
	// remotePenalty is what a place away from the data costs, in the unit of
	// load; it outweighs every difference of load.
	remotePenalty = 10.0
	// slowPenalty is what a slow worker costs.
	slowPenalty = 5.0
	// avoidPenalty is what a worker costs on which the task failed before.
	avoidPenalty = 20.0
)

// candidateKey is what decides whether tasks may start on a worker at all.
type candidateKey struct{ service, label string }

// candidates returns the workers on which tasks of a step may start now,
// whether they have room or not.
func (p *Planner) candidates(now time.Time, s *step) []*Worker {
	key := candidateKey{s.occurrence.job.Queue.Service, s.RequiredLabel}
	list, ok := p.candidatesFor[key]
	if ok {
		return list
	}
	for _, w := range p.list {
		if w.Service == key.service && p.isUsable(now, w) && (key.label == "" || slices.Contains(w.Labels, key.label)) {
			list = append(list, w)
		}
	}
	p.candidatesFor[key] = list
	return list
}

// isUsable reports whether tasks may start on a worker now.
func (p *Planner) isUsable(now time.Time, w *Worker) bool {
	isSilent := !w.failedSince.IsZero() && now.Sub(w.failedSince) > answerLimit
	return w.fenced && w.recorded && w.listed && !w.Draining && !p.emptied[w.Domain] && !w.isSick(now) && !w.hasStrangers && !isSilent
}

// placeKey is what decides besides its resources where a task may be placed.
type placeKey struct {
	candidateKey
	image string
	limit float64
}

func (p *Planner) keyOf(now time.Time, t *task) placeKey {
	s := t.step
	k := placeKey{candidateKey: candidateKey{s.occurrence.job.Queue.Service, s.RequiredLabel}}
	if s.Fills {
		k.image, k.limit = s.Image, p.harmLimitOf(now, t)
	}
	return k
}

// isHopeless reports whether a task that needs no more has found no place in
// this plan. With a long backlog this saves most of the work.
func (p *Planner) isHopeless(now time.Time, t *task) bool {
	least, ok := p.hopeless[p.keyOf(now, t)]
	return ok && t.step.Need.Fits(least)
}

// noteHopeless records that a task found no place. A bound on tasks of one step
// on one worker says nothing about other steps.
func (p *Planner) noteHopeless(now time.Time, t *task) {
	if t.step.MaxPerWorker > 0 {
		return
	}
	key := p.keyOf(now, t)
	if least, ok := p.hopeless[key]; !ok || least.Fits(t.step.Need) {
		p.hopeless[key] = t.step.Need
	}
}

// choose returns the worker on which a task should start, nil if none has room.
func (p *Planner) choose(now time.Time, t *task, candidates []*Worker) *Worker {
	s := t.step
	need := s.reserved()
	limit := p.harmLimitOf(now, t)
	var best *Worker
	var lowest float64
	for _, w := range candidates {
		if !w.free.Fits(need) || !p.mayShare(t, w) || w.isKeptFrom(now, t) {
			continue
		}
		cost, ok := p.cost(now, t, w, limit)
		if ok && (best == nil || cost < lowest) {
			best, lowest = w, cost
		}
	}
	return best
}

// mayShare reports whether the bound on tasks of one step on one worker lets t
// start on w, and that no other run of t is there.
func (p *Planner) mayShare(t *task, w *Worker) bool {
	count := 0
	for _, r := range w.order {
		if r.task == t {
			return false
		}
		if r.task.step == t.step {
			count++
		}
	}
	return t.step.MaxPerWorker == 0 || count < t.step.MaxPerWorker
}

// cost rates a place for a task, lower is better. It reports false where the
// task would push a lasting one over its target.
func (p *Planner) cost(now time.Time, t *task, w *Worker, limit float64) (float64, bool) {
	s := t.step
	cost := w.load() + float64(s.Need.CPU)/float64(max(1, w.Capacity.CPU))
	if s.PreferredRack != "" && w.Rack != s.PreferredRack {
		cost += remotePenalty
	}
	if s.SameRack && !p.isInRackOf(t, w) {
		cost += remotePenalty
	}
	if w.isSlow(now) {
		cost += slowPenalty
	}
	if slices.Contains(t.avoid, w.ID) {
		cost += avoidPenalty
	}
	harm, ok := p.costOf(now, w, t, limit)
	return cost + harm, ok
}

// isInRackOf reports whether w is in the rack of the runs of t's step, or the
// step has none.
func (p *Planner) isInRackOf(t *task, w *Worker) bool {
	for _, o := range t.step.tasks {
		for _, r := range o.runs {
			return r.worker.Rack == w.Rack
		}
	}
	return true
}

// chooseGang returns a worker for each task of a gang, nil if not all have
// room. A gang that wants one rack gets it where any rack has room.
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
			if chosen := p.fitGang(now, s, racks[name]); chosen != nil {
				return chosen
			}
		}
	}
	return p.fitGang(now, s, candidates)
}

// fitGang places all tasks of a gang on the given workers. The room is only
// taken while it chooses.
func (p *Planner) fitGang(now time.Time, s *step, candidates []*Worker) []*Worker {
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
		w := p.choose(now, t, open)
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
