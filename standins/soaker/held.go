package soaker

import (
	"syscall"
	"time"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// minHold and maxHold bound how long calls to an ended process are held, and
// minHeldCut and maxHeldCut how long its worker is then cut off. A cut outlasts the
// longest lease.
const (
	minHold    = time.Second
	maxHold    = 6 * time.Second
	minHeldCut = 4 * time.Second
	maxHeldCut = 7 * time.Second
)

// injectHeldCalls restarts workers under their ids, in rounds, while calls to them are
// held, and cuts them off soon after. Some owners end between the two.
func (j *injector) injectHeldCalls() {
	for time.Since(j.startedAt) < j.options.Duration {
		// Clients submit long-running jobs.
		time.Sleep(j.randomDuration(2*time.Second, 3*time.Second))
		restarted := j.restartSomeHeld(minHold, maxHold)
		time.Sleep(j.randomDuration(time.Second, 3*time.Second))
		if owner := j.owner(); owner != nil && j.rng.IntN(4) == 0 {
			j.restartAfter(owner, syscall.SIGKILL, j.randomDuration(0, 2*time.Second), nil)
		}
		for _, w := range restarted {
			j.cutOff(w, j.randomDuration(minHeldCut, maxHeldCut))
		}
		time.Sleep(maxHeldCut)
	}
}

// The times of a late hold, after which calls take effect when a new owner has dropped a
// worker that hasn't answered for somewhat over 8 s, and of the cut, which outlasts it.
const (
	minLateHold = 9 * time.Second
	maxLateHold = 11 * time.Second
	minLateCut  = 14 * time.Second
	maxLateCut  = 16 * time.Second
	// unlistDelay is how long after its cut the entry of a worker expires.
	unlistDelay = 3 * time.Second
)

// injectHeldTakeovers kills or stops owners, in rounds, just after workers have started again
// under their ids. These are cut off, also from the store, before the successor has reached
// them, and take the calls that were held for the ended processes.
func (j *injector) injectHeldTakeovers() {
	for time.Since(j.startedAt) < j.options.Duration {
		time.Sleep(j.randomDuration(2*time.Second, 3*time.Second))
		restarted := j.restartSomeHeld(minLateHold, maxLateHold)
		time.Sleep(j.randomDuration(400*time.Millisecond, time.Second))
		if owner := j.owner(); owner != nil {
			signal := syscall.SIGKILL
			if j.rng.IntN(2) == 0 {
				signal = syscall.SIGTERM
			}
			j.restartAfter(owner, signal, j.randomDuration(0, 2*time.Second), nil)
		}
		for _, w := range restarted {
			j.cutOff(w, j.randomDuration(minLateCut, maxLateCut))
			j.endLater(unlistDelay, func() { w.Unlist(minLateCut - unlistDelay) })
		}
		time.Sleep(maxLateCut)
	}
}

// restartSomeHeld restarts half of the workers under their ids, each with a length between
// the two for which calls to its ended process are held, and returns them.
func (j *injector) restartSomeHeld(minLength, maxLength time.Duration) []*platformer.Worker {
	var restarted []*platformer.Worker
	for _, w := range j.platform.Workers {
		if j.rng.IntN(2) == 0 {
			restarted = append(restarted, w)
			j.restartHeld(w, j.randomDuration(minLength, maxLength))
		}
	}
	return restarted
}

// restartHeld restarts a worker under its id and holds the calls to the ended process.
func (j *injector) restartHeld(w *platformer.Worker, length time.Duration) {
	released := make(chan struct{})
	r := platformer.Restart{Downtime: j.randomDuration(50*time.Millisecond, 600*time.Millisecond), KeepsID: true, Released: released}
	j.recordFault("calls to the present process of %s are held for %s", w.Name(), length)
	j.runRestarts(w, []workerRestart{{Restart: r}})
	j.endLater(length, func() { close(released) })
}
