package soaker

import (
	"strings"
	"syscall"
	"time"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

const (
	// transactionSilence exceeds the time for which an owner waits for a response of
	// the store.
	transactionSilence = 3 * time.Second
	// unstoredMaxLease outlasts a change of owner, so that the end of a run counts if
	// the successor acknowledges it.
	unstoredMaxLease = 8 * time.Second
	// drainTime outlasts a round of injectUnstoredEnds.
	drainTime = 10 * time.Second
	// progressDelayFactor makes most of the late transactions with progress take
	// effect after a takeover, which makes them void.
	progressDelayFactor = 3
)

// transactionDelay returns how much later a transaction takes effect.
func (s *soak) transactionDelay(key string) time.Duration {
	if strings.Contains(key, "/progress/") {
		if d := s.delay(&s.shares.lateProgress); d > 0 {
			return progressDelayFactor * d
		}
	}
	return s.delay(&s.shares.lateTransactions)
}

// injectUnstoredEnds kills owners, in rounds, while the store gives most of the
// transactions that write progress no response, so that ends which the owner has read
// are not stored. Workers drain, are missing from the list or are cut off one way
// before that, and are cut off while the successor takes the shard over.
func (j *injector) injectUnstoredEnds() {
	for time.Since(j.startedAt) < j.options.Duration {
		progress, other := 0.7+0.3*j.rng.Float64(), 0.2*j.rng.Float64()
		j.recordFault("%.2f of the transactions with progress and %.2f of the others take effect late", progress, other)
		endProgress, endOther := j.shares.lateProgress.add(progress), j.shares.lateTransactions.add(other)
		kind := j.rng.IntN(3)
		var separated []*platformer.Worker
		for _, w := range j.platform.Workers {
			if j.rng.IntN(2) == 0 {
				separated = append(separated, w)
				j.separateWorker(w, kind)
			}
		}
		// The stored list may lose a draining worker at once, a silent one after a
		// second, and a missing one after 2.5 s and a reading of the list.
		limits := [...][2]time.Duration{{300 * time.Millisecond, 2 * time.Second}, {1500 * time.Millisecond, 3 * time.Second}, {3300 * time.Millisecond, 4500 * time.Millisecond}}[kind]
		time.Sleep(j.randomDuration(limits[0], limits[1]))
		if owner := j.owner(); owner != nil {
			j.restartAfter(owner, syscall.SIGKILL, j.randomDuration(0, 2*time.Second), nil)
		}
		endProgress()
		endOther()
		for _, w := range separated {
			j.cutAnswers(w, j.randomDuration(2*time.Second, 3*time.Second))
		}
		time.Sleep(j.randomDuration(5*time.Second, 7*time.Second))
	}
}

// separateWorker makes a worker drain, cuts it off one way or takes it from the list.
func (j *injector) separateWorker(w *platformer.Worker, kind int) {
	switch kind {
	case 0:
		j.runRestarts(w, []workerRestart{{Restart: platformer.Restart{DrainTime: drainTime}}})
	case 1:
		j.cutAnswers(w, j.randomDuration(2*time.Second, 4*time.Second))
	case 2:
		length := j.randomDuration(3*time.Second, 6*time.Second)
		j.recordFault("%s is missing from the list for %s", w.Name(), length)
		w.Unlist(length)
	}
}

// cutAnswers cuts a worker off one way: calls reach it, and no answer comes back.
func (j *injector) cutAnswers(w *platformer.Worker, length time.Duration) {
	j.mu.Lock()
	p := j.proxies[w.Name()]
	j.mu.Unlock()
	j.recordFault("answers of %s are lost for %s", w.Name(), length)
	j.endLater(length, p.Impair(Impairment{DropFromServer: true}))
}
