package planner

import (
	"slices"
	"time"
)

// Suspect adds a worker on which an earlier owner may have started tasks.
func (p *Planner) Suspect(w Worker) {
	w.recorded, w.suspected = true, true
	p.addWorker(&w)
	p.suspects[w.ID] = true
	p.hasSuspected = true
}

func (p *Planner) addWorker(w *Worker) {
	w.free, w.runs, w.order = w.Capacity, map[RunID]*run{}, nil
	p.workers[w.ID] = w
	at, _ := slices.BinarySearchFunc(p.list, w, func(a, b *Worker) int { return compareStrings(a.ID, b.ID) })
	p.list = slices.Insert(p.list, at, w)
}

func (p *Planner) forgetWorker(w *Worker) {
	p.isRecordStale = p.isRecordStale || w.recorded
	delete(p.workers, w.ID)
	p.list = slices.DeleteFunc(p.list, func(o *Worker) bool { return o == w })
}

// SetWorkers replaces what discovery knows of the workers.
func (p *Planner) SetWorkers(now time.Time, list []Worker) {
	listed := map[string]bool{}
	for _, n := range list {
		listed[n.ID] = true
		w := p.workers[n.ID]
		if w != nil && w.Born != n.Born {
			if w.Born != 0 && n.Born < w.Born {
				continue
			}
			p.removeWorker(w, "restarted under its id")
			w = nil
		}
		if w == nil {
			p.replaceAt(n)
			w = &n
			p.addWorker(w)
			p.noteWorker("worker_found", w, w.Domain)
		}
		w.listed, w.missingSince = true, time.Time{}
		if n.Draining && !w.Draining {
			p.noteWorker("worker_draining", w, n.Remaining.String())
		}
		w.Draining, w.Remaining = n.Draining, n.Remaining
		if w.Draining && w.drainedAt.IsZero() {
			w.drainedAt = now
		}
	}
	for _, w := range p.list {
		if !listed[w.ID] && (w.listed || w.missingSince.IsZero()) {
			w.listed, w.missingSince = false, now
		}
	}
}

// replaceAt removes the worker that had the address of a new one: its process
// has ended, since two can't listen there.
func (p *Planner) replaceAt(n Worker) {
	for _, w := range slices.Clone(p.list) {
		if w.Address == n.Address && w.ID != n.ID {
			p.removeWorker(w, "address used by "+n.ID)
		}
	}
}

// Restarted removes the runs of a worker whose process turns out to be another
// than the one that was addressed.
func (p *Planner) Restarted(workerID string) {
	if w := p.workers[workerID]; w != nil {
		p.removeWorker(w, "another process answered")
	}
}

func (p *Planner) removeWorker(w *Worker, why string) {
	p.noteWorker("worker_lost", w, why)
	for _, r := range runsOf(w) {
		p.endRun(r, "lapse", "worker lost: "+why)
	}
	delete(p.suspects, w.ID)
	p.forgetWorker(w)
}

// runsOf returns a copy of the runs of a worker, for loops that end some.
func runsOf(w *Worker) []*run { return slices.Clone(w.order) }

// NeedsRecord reports whether the stored list of workers differs from that of
// the workers which may have runs. A worker gets none before it is stored, and
// one that stays stored would hold up a successor, which can't ask it.
func (p *Planner) NeedsRecord(now time.Time) bool {
	return p.isRecordStale || slices.ContainsFunc(p.list, func(w *Worker) bool { return w.recorded != w.mayHaveRuns(now) })
}

// Recorded returns the workers to store: those listed and those that may still
// have runs.
func (p *Planner) Recorded(now time.Time) []Worker {
	var list []Worker
	for _, w := range p.list {
		if !w.mayHaveRuns(now) {
			continue
		}
		list = append(list, Worker{ID: w.ID, Born: w.Born, Address: w.Address, Service: w.Service, Domain: w.Domain, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity})
	}
	slices.SortFunc(list, func(a, b Worker) int { return compareStrings(a.ID, b.ID) })
	return list
}

// SetRecorded notes that the store has these workers.
func (p *Planner) SetRecorded(list []Worker) {
	p.isRecordStale = slices.ContainsFunc(list, func(n Worker) bool { return p.workers[n.ID] == nil })
	stored := map[string]int64{}
	for _, n := range list {
		stored[n.ID] = n.Born
	}
	for _, w := range p.list {
		born, ok := stored[w.ID]
		w.recorded = ok && born == w.Born
	}
}
