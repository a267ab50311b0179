package planner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/interpreter"
)

// AddUnverifiedWorker adds a worker on which an earlier owner may have started
// tasks.
func (p *Planner) AddUnverifiedWorker(w Worker) {
	w.isRecorded, w.isUnverified, w.leaseEnd = true, true, p.options.PredecessorLeaseEnd
	if w.EarlierCalls.MayHoldLease {
		w.lateLeaseEnd = w.leaseEnd.Add(p.options.LongestLease - p.options.OwnerLease)
		w.leaseEnd = w.lateLeaseEnd
	}
	p.addWorker(time.Time{}, &w)
	p.unverified[w.ID] = true
	p.hadPredecessor = true
}

// AddUnknownWorkers records that an earlier owner may have started tasks on
// workers that this owner can't identify. Only the end of every lease that the
// earlier owner may have granted shows that these tasks have ended.
func (p *Planner) AddUnknownWorkers() { p.hasUnknownWorkers, p.hadPredecessor = true, true }

// dropUnknownWorkers treats the unknown workers as lost once every lease has
// expired.
func (p *Planner) dropUnknownWorkers(proven time.Time) {
	if p.hasUnknownWorkers && proven.After(p.options.PredecessorLeaseEnd) {
		p.hasUnknownWorkers = false
	}
}

// hasUnverifiedWorkers reports whether an earlier owner may have started tasks of
// a job on workers that have not answered this owner.
func (p *Planner) hasUnverifiedWorkers(j *job) bool {
	if p.hasUnknownWorkers {
		return true
	}
	for id := range p.unverified {
		if j.wasLoaded || !p.workers[id].isOverdue {
			return true
		}
	}
	return false
}

func (p *Planner) addWorker(now time.Time, w *Worker) {
	w.free, w.runs, w.runsInOrder = w.Capacity, map[RunID]*run{}, nil
	w.process, w.knownSince = p.processChart.Start(), now
	p.setFence(now, w)
	p.workers[w.ID] = w
	at, _ := slices.BinarySearchFunc(p.sortedWorkers, w, func(a, b *Worker) int { return compareStrings(a.ID, b.ID) })
	p.sortedWorkers = slices.Insert(p.sortedWorkers, at, w)
	p.updateContested(w)
}

func (p *Planner) forgetWorker(w *Worker) {
	p.isRecordStale = p.isRecordStale || w.isRecorded
	delete(p.workers, w.ID)
	p.forgotten[w.ID] = w
	p.fences[w.ID] = fence{born: w.Born, offset: w.FenceOffset}
	p.forgetUnknownRuns(w, nil)
	p.sortedWorkers = slices.DeleteFunc(p.sortedWorkers, func(o *Worker) bool { return o == w })
	p.updateContested(w)
}

// SetWorkers applies a change of the list of workers from discovery. The list adds
// workers, but ends no process: see process.go.
func (p *Planner) SetWorkers(now time.Time, list []Worker) {
	list = slices.Clone(list)
	dateAnnouncements(now, list, p.discovered)
	p.discovered = list
	listed := map[processID]bool{}
	for i := range list {
		listed[list[i].processID()] = true
	}
	maps.DeleteFunc(p.endedProcesses, func(id processID, _ bool) bool { return !listed[id] })
	p.applyDiscovered(now)
}

// dateAnnouncements sets when the draining workers of a list announced that they leave,
// and until when they stay. An announcement that the earlier list has counts from then.
func dateAnnouncements(now time.Time, list, earlier []Worker) {
	known := map[processID]Worker{}
	for _, w := range earlier {
		if w.Draining {
			known[w.processID()] = w
		}
	}
	for i := range list {
		w := &list[i]
		if !w.Draining {
			continue
		}
		w.drainingSince, w.leavesAt = now, now.Add(w.Remaining)
		if e, ok := known[w.processID()]; ok {
			w.drainingSince = e.drainingSince
			if e.Remaining == w.Remaining {
				w.leavesAt = e.leavesAt
			}
		}
	}
}

// applyDiscovered brings the known workers in line with the list. It is also due when
// a worker was forgotten, since the list may still show its process or another one
// under its id, and need not change any more.
func (p *Planner) applyDiscovered(now time.Time) {
	listed := map[string]bool{}
	for _, n := range p.discovered {
		if p.endedProcesses[n.processID()] {
			continue
		}
		w := p.workers[n.ID]
		if w != nil && IsOtherProcess(w.Born, n.Born) {
			p.noteRelisted(now, w, n)
			continue
		}
		listed[n.ID] = true
		if w == nil {
			w = p.discover(now, n)
		}
		w.update(n)
		w.isListed, w.missingSince = true, time.Time{}
		if n.Draining && !w.Draining {
			p.reportWorker("worker_draining", w, n.Remaining.String())
		}
		w.Draining, w.Remaining = n.Draining, n.Remaining
		if n.Draining {
			w.leavesAt, w.drainingSince = n.leavesAt, n.drainingSince
		}
	}
	p.pruneFences(now)
	clear(p.forgotten)
	for _, w := range p.sortedWorkers {
		if !listed[w.ID] && (w.isListed || w.missingSince.IsZero()) {
			w.isListed, w.missingSince = false, now
		}
	}
}

// discover adds a worker from its entry in the list.
func (p *Planner) discover(now time.Time, n Worker) *Worker {
	w := &n
	if f := p.forgotten[n.ID]; f != nil && f.Address == n.Address {
		// The worker is as silent as before it was forgotten.
		w.failedSince = f.failedSince
	}
	p.addWorker(now, w)
	p.reportWorker("worker_found", w, w.describe())
	return w
}

// removeWorker removes a worker and ends its runs. The event ends the life cycle
// of the worker's process.
func (p *Planner) removeWorker(w *Worker, event interpreter.Event, reason string) {
	p.applyProcessEvent(w, event)
	p.reportWorker("worker_lost", w, fmt.Sprintf("%s; %s, listed %t, %d runs, %s", reason, w.describe(), w.isListed || w.relisted != nil, len(w.runs), w.describeFailure()))
	for _, r := range runsOf(w) {
		p.endRun(r, "lapse", "worker lost: "+reason)
	}
	delete(p.unverified, w.ID)
	p.forgetWorker(w)
}

// runsOf returns a copy of the worker's runs, for loops that end some of them.
func runsOf(w *Worker) []*run { return slices.Clone(w.runsInOrder) }

// NeedsRecord reports whether the stored list of workers differs from the workers that
// must be stored. No task starts on a worker that is not stored, and a worker that stays
// stored after it is gone delays a successor, which waits for its answer. A list that
// this owner could not use is kept while it may name workers with tasks, so that a
// successor waits for them too.
func (p *Planner) NeedsRecord(now time.Time) bool {
	if p.hasUnknownWorkers {
		return false
	}
	return p.isRecordStale || slices.ContainsFunc(p.sortedWorkers, func(w *Worker) bool {
		return w.isRecorded != w.mustBeStored(now, p.jobsReadAt) || w.isRecorded && w.EarlierCalls != p.earlierCalls(now, w)
	})
}

// Recorded returns the workers to store: those that a successor has to ask, and those
// that may get runs. The others count as not stored from now on, since the write may
// take effect at any time, also if it is not answered. NeedsRecord is true until
// SetRecorded is called.
func (p *Planner) Recorded(now time.Time) []Worker {
	p.isRecordStale = true
	var list []Worker
	for _, w := range p.sortedWorkers {
		if !w.mustBeStored(now, p.jobsReadAt) {
			if w.isRecorded {
				p.reportWorker("worker_left_out", w, fmt.Sprintf("draining %v, %s, %d ends not stored", w.Draining, w.describeFailure(), w.unstoredEnds(p.jobsReadAt)))
			}
			w.isRecorded = false
			continue
		}
		list = append(list, Worker{ID: w.ID, Born: w.Born, Address: w.Address, Service: w.Service, Domain: w.Domain, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, EarlierCalls: p.earlierCalls(now, w)})
	}
	slices.SortFunc(list, func(a, b Worker) int { return compareStrings(a.ID, b.ID) })
	return list
}

// SetRecorded records that the stored list of workers is now list.
func (p *Planner) SetRecorded(list []Worker) {
	p.isRecordStale = slices.ContainsFunc(list, func(n Worker) bool {
		w := p.workers[n.ID]
		return w == nil || IsOtherProcess(w.Born, n.Born)
	})
	stored := map[string]Worker{}
	for _, n := range list {
		stored[n.ID] = n
	}
	for _, w := range p.sortedWorkers {
		n, ok := stored[w.ID]
		w.isRecorded = ok && n.Born == w.Born
		if w.isRecorded {
			w.EarlierCalls = n.EarlierCalls
		}
	}
}
