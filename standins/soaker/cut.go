package soaker

import (
	"syscall"
	"time"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// minCut and maxCut bound how long workers are cut off. A new owner drops a worker that
// hasn't answered for somewhat over 8 s.
const (
	minCut = 9 * time.Second
	maxCut = 12 * time.Second
)

// injectCuts kills owners, in rounds, while no worker can be reached until its successor
// has dropped them. Some workers start again under their ids just before. The workers
// write their heartbeats meanwhile, so that the list stays the same.
func (j *injector) injectCuts() {
	for time.Since(j.startedAt) < j.options.Duration {
		for _, w := range j.platform.Workers {
			if j.rng.IntN(2) == 0 {
				j.runRestarts(w, []workerRestart{{Restart: platformer.Restart{Downtime: j.randomDuration(50*time.Millisecond, 600*time.Millisecond), KeepsID: true}}})
			}
		}
		time.Sleep(j.randomDuration(700*time.Millisecond, 2*time.Second))
		if owner := j.owner(); owner != nil {
			j.restartAfter(owner, syscall.SIGKILL, j.randomDuration(0, 2*time.Second), nil)
		}
		for _, w := range j.platform.Workers {
			j.cutOff(w, j.randomDuration(minCut, maxCut))
		}
		time.Sleep(maxCut + j.randomDuration(0, 2*time.Second))
	}
}

// cutOff cuts a worker off from the instances, but not from the store.
func (j *injector) cutOff(w *platformer.Worker, length time.Duration) {
	j.mu.Lock()
	p := j.proxies[w.Name()]
	j.mu.Unlock()
	j.recordFault("%s is cut off for %s", w.Name(), length)
	j.endLater(length, p.Impair(Impairment{DropToServer: true, DropFromServer: true}))
}
