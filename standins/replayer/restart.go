package replayer

import (
	"net/netip"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

const (
	// heartbeat is the interval at which a process writes its entry in the list
	// of workers. The entry expires after entryHeartbeats intervals.
	heartbeat       = 1200 * time.Millisecond
	entryHeartbeats = 3
	// maxListingDelay is the longest time that a new process needs to write its
	// first entry.
	maxListingDelay = 300 * time.Millisecond
	// lateWriteShare is the share of the ended processes of which a late write
	// puts the entry back, up to maxLateWrite after it has expired.
	lateWriteShare = 0.4
	maxLateWrite   = 3 * time.Second
	// earlierShare is the share of the new processes that tell a start time
	// before that of the process that they replace, because the clock was set
	// back.
	earlierShare = 0.5
	// firstBorn is the start time of the initial processes. It leaves room for
	// processes with earlier ones.
	firstBorn = 1_000_000
	// minSeriesPause is the least time that a process runs between two restarts
	// of a series.
	minSeriesPause = 200 * time.Millisecond
)

// staleEntry is an entry of an ended process in the list of workers.
type staleEntry struct {
	planner.Worker
	until time.Time
}

// machineAt returns the machine with an address, whose process may have ended.
func (w *World) machineAt(address netip.AddrPort) *machine {
	return w.machines[slices.IndexFunc(w.machines, func(m *machine) bool { return m.Address == address })]
}

// listedWorkers returns the list of workers, in any order if it shows an ended
// process. Under one id it has one entry, the one that was written last.
func (w *World) listedWorkers() []planner.Worker {
	w.staleEntries = slices.DeleteFunc(w.staleEntries, func(e staleEntry) bool { return !w.now.Before(e.until) })
	var all []planner.Worker
	for _, m := range w.machines {
		isOverwritten := slices.ContainsFunc(w.staleEntries, func(e staleEntry) bool { return e.ID == m.ID })
		if !m.silent && !m.isDown && !w.now.Before(m.listedAt) && !isOverwritten {
			all = append(all, m.Worker)
		}
	}
	if len(w.staleEntries) > 0 {
		for _, e := range w.staleEntries {
			all = append(all, e.Worker)
		}
		w.restarts.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
		w.recordListing(all)
	}
	return all
}

// endProcess ends the process of a machine. Its ends that were not acknowledged
// are lost with it.
func (w *World) endProcess(m *machine) {
	w.recordLosses(m)
	m.isDown = true
	m.leaseEnd = time.Time{}
	w.voidUnacknowledgedEnds(m)
	ended := m.sortedRuns()
	clear(m.runs)
	m.sorted = nil
	for _, e := range ended {
		w.resetOverTarget(e)
		if e.step.Gang {
			w.endGang(e, planner.EndBroken)
		}
	}
}

// restart ends the process of machine i and starts a new one at its address
// after the given time, as often as times says. The list shows the entry of an
// ended process until it expires, and sometimes again later.
func (w *World) restart(i int, away time.Duration, keepsID bool, times int) {
	m := w.machines[i]
	if m.isDown {
		return
	}
	if w.isListedStale(m.Address) {
		w.recordMoment(RestartedAgain)
	}
	w.endProcess(m)
	expiry := w.now.Add((entryHeartbeats-1)*heartbeat + w.drawTime(heartbeat))
	if !w.now.Before(m.listedAt) {
		w.listStale(m, expiry)
	}
	if w.restarts.Float64() < lateWriteShare {
		w.schedule(expiry.Add(w.drawTime(maxLateWrite)), func() { w.writeLate(m) })
	}
	w.schedule(w.now.Add(away), func() {
		n := w.startProcess(i)
		if w.isListedStale(n.Address) {
			w.recordMoment(BackBeforeExpiry)
		} else {
			w.recordMoment(BackAfterExpiry)
		}
		if w.restarts.Float64() < earlierShare {
			n.Born = 2*firstBorn - n.Born
		}
		n.listedAt = w.now.Add(w.drawTime(maxListingDelay))
		if keepsID {
			n.ID = m.ID
			w.schedule(n.listedAt, func() {
				if !n.isDown {
					w.removeStale(n.ID)
				}
			})
		}
		if times > 1 {
			w.schedule(w.now.Add(minSeriesPause+w.drawTime(2*away)), func() {
				if w.machines[i] == n {
					w.restart(i, away, keepsID, times-1)
				}
			})
		}
	})
}

// writeLate puts the entry of the ended process m back. If a process that runs
// has the same id, its next write replaces the entry.
func (w *World) writeLate(m *machine) {
	until := w.now.Add(entryHeartbeats * heartbeat)
	if o := w.machineAt(m.Address); o.ID == m.ID && !o.isDown {
		until = w.now.Add(w.drawTime(heartbeat))
	}
	w.listStale(m, until)
	w.recordMoment(WrittenLate)
}

// listStale makes the list of workers show the ended process m until the given
// time.
func (w *World) listStale(m *machine, until time.Time) {
	w.removeStale(m.ID)
	w.staleEntries = append(w.staleEntries, staleEntry{m.Worker, until})
}

func (w *World) removeStale(id string) {
	w.staleEntries = slices.DeleteFunc(w.staleEntries, func(e staleEntry) bool { return e.ID == id })
}

// startProcess starts a new process on machine i, whose process has ended.
func (w *World) startProcess(i int) *machine {
	n := newMachine(w.pattern, i, w.machines[i].incarnation+1)
	n.clockStart = w.now
	n.silent = w.machines[i].silent
	w.machines[i] = n
	return n
}

// drawTime returns a random time below limit.
func (w *World) drawTime(limit time.Duration) time.Duration {
	return time.Duration(w.restarts.Int64N(int64(limit)))
}
