package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

const (
	// jobParkThreshold is the number of distinct workers on which a job must
	// have failed, without a success in between, to be parked.
	jobParkThreshold = 3
	// workerSuspectThreshold and workerQuarantineThreshold are the numbers of
	// distinct jobs, services and watchers that must have failed on a worker,
	// without a success in between, for the worker to become suspect and then
	// quarantined.
	workerSuspectThreshold    = 2
	workerQuarantineThreshold = 3
	// maxExcludedDivisor limits quarantine to the fraction 1/maxExcludedDivisor
	// of a domain's workers.
	maxExcludedDivisor = 5
	// firstProbeDelay is the time to the first probe of a quarantined worker.
	// The delay doubles with each failed probe, up to maxProbeDelay.
	firstProbeDelay = 30 * time.Second
	maxProbeDelay   = time.Hour
	// probeSuccessTime is how long a probe must run to count as a success.
	probeSuccessTime = time.Minute
)

// attributeOutcome updates the states of a worker and a job after an attempt
// has ended. Failures of distinct jobs on one worker count against the worker.
// Failures of one job on distinct workers count against the job.
func (c *Core) attributeOutcome(worker, owner string, o Outcome) {
	w, j := c.workers[worker], c.jobs[owner]
	if w == nil {
		return
	}
	if o == OutcomeCompleted && (w.State == Suspect || w.State == Probing) {
		c.transitionWorker(worker, "clear", "an attempt completed")
		return
	}
	if o != OutcomeFailed {
		return
	}
	if w.State == Probing {
		c.quarantine(w, "a probe failed")
		return
	}
	if j != nil {
		if n := c.countFailedWorkers(j); n >= jobParkThreshold {
			c.parkJob(j, fmt.Sprintf("failed on %d distinct workers without a success: %v", n, j.FailedOn), Figure{"workers", float64(n)})
		}
	}
	n := c.countFailedOwners(w)
	if n >= workerSuspectThreshold && w.State == Live {
		c.transitionWorker(worker, "suspect", fmt.Sprintf("%d distinct owners failed on the worker without a success: %v", n, w.FailedOwners))
	}
	if n >= workerQuarantineThreshold && w.State == Suspect {
		c.quarantine(w, fmt.Sprintf("%d distinct owners failed on the worker without a success: %v", n, w.FailedOwners))
	}
}

// countFailedOwners returns the number of owners that failed on a worker,
// without parked jobs, whose failures are their own fault.
func (c *Core) countFailedOwners(w *Worker) int {
	n := 0
	for _, owner := range w.FailedOwners {
		if j := c.jobs[owner]; j == nil || j.Parked == "" {
			n++
		}
	}
	return n
}

// countFailedWorkers returns the number of workers on which a job failed,
// without quarantined workers, which may have caused the failures.
func (c *Core) countFailedWorkers(j *Job) int {
	n := 0
	for _, id := range j.FailedOn {
		if !c.excluded[id] {
			n++
		}
	}
	return n
}

// mayQuarantine reports whether the given number of additional workers may be
// quarantined.
func (c *Core) mayQuarantine(more int) bool {
	return (len(c.excluded)+more)*maxExcludedDivisor <= len(c.workers)
}

func (c *Core) quarantine(w *Worker, reason string) {
	if !c.excluded[w.ID] && !c.mayQuarantine(1) {
		c.explain(Explanation{Action: "quarantine_refused", Worker: w.ID, Reason: reason + "; at most a fifth of the domain's workers may be quarantined", Figures: []Figure{{"excluded", float64(len(c.excluded))}, {"workers", float64(len(c.workers))}}})
		return
	}
	delay := min(firstProbeDelay<<min(w.Probes, 16), maxProbeDelay)
	c.transitionWorkerWithProbe(w.ID, "quarantine", reason, c.timestamp().Add(delay))
}

// probeWorkers moves the quarantined workers whose probe is due to the probing
// state.
func (c *Core) probeWorkers(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.excluded)) {
		if w := c.workers[id]; w.State == Quarantined && !now.Before(w.ProbeAt) {
			c.transitionWorker(id, "probe", "probe is due")
		}
	}
}

// runsBatch reports whether a worker has an attempt of a batch task. Services
// that ran on the worker before its quarantine continue to run.
func (c *Core) runsBatch(worker string) bool {
	for _, t := range c.tasksByWorker[worker] {
		if t.Class == declarer.ClassBatch {
			return true
		}
	}
	return false
}

// placeProbes starts one batch task on each probing worker that has no batch
// attempt.
func (c *Core) placeProbes(p *pass) {
	for _, id := range slices.Sorted(maps.Keys(c.excluded)) {
		w := c.workers[id]
		if w.State != Probing || c.runsBatch(id) || p.isExhausted() {
			continue
		}
		v := &placer.View{Workers: []placer.Worker{c.placerWorker(w)}}
		for _, team := range slices.Sorted(maps.Keys(c.queue.ordinary)) {
			l := c.queue.ordinary[team]
			if l == nil || len(l.entries) == 0 {
				continue
			}
			t := l.entries[0].head()
			if t.Cancelling || c.refusalReason(&t) != "" {
				continue
			}
			if choice, err := c.chooseWorker(&t, v); err == nil {
				choice.Reason = "probe of a quarantined worker; " + choice.Reason
				if c.startTask(p, &t, choice) {
					c.attempt(&t).isProbe = true
				}
				break
			}
		}
	}
}
