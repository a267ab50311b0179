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
	// jobSuspicion is the number of distinct workers on which a job must have
	// failed, without a success between, to be parked.
	jobSuspicion = 3
	// workerSuspicion and workerQuarantine are the numbers of distinct jobs,
	// services and watchers that must have failed on a worker, without a
	// success between, for it to be suspected and quarantined.
	workerSuspicion  = 2
	workerQuarantine = 3
	// excludedParts bounds the quarantine: at most one part in that many of a
	// domain's workers.
	excludedParts = 5
	// firstProbe is the time to the first probe of a quarantined worker; it
	// doubles with each probe that fails, up to longestProbe.
	firstProbe   = 30 * time.Second
	longestProbe = time.Hour
	// probeSuccess is how long a probe must run to count as a success.
	probeSuccess = time.Minute
)

// attributeOutcome looks at the evidence against a worker and a job after an attempt.
// Distinct jobs that fail on one worker count against the worker, distinct
// workers on which one job fails count against the job.
func (c *Core) attributeOutcome(worker, owner string, o Outcome) {
	w, j := c.workers[worker], c.jobs[owner]
	if w == nil {
		return
	}
	if o == OutcomeCompleted && (w.State == Suspect || w.State == Probing) {
		c.moveWorker(worker, "clear", "an attempt completed")
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
		if n := c.countWorkers(j); n >= jobSuspicion {
			c.parkJob(j, fmt.Sprintf("failed on %d distinct workers without a success: %v", n, j.FailedOn), Figure{"workers", float64(n)})
		}
	}
	n := c.countOwners(w)
	if n >= workerSuspicion && w.State == Live {
		c.moveWorker(worker, "suspect", fmt.Sprintf("%d distinct owners failed on it without a success: %v", n, w.FailedOwners))
	}
	if n >= workerQuarantine && w.State == Suspect {
		c.quarantine(w, fmt.Sprintf("%d distinct owners failed on it without a success: %v", n, w.FailedOwners))
	}
}

// countOwners leaves out jobs that are parked, since their failures are their
// own.
func (c *Core) countOwners(w *Worker) int {
	n := 0
	for _, owner := range w.FailedOwners {
		if j := c.jobs[owner]; j == nil || j.Parked == "" {
			n++
		}
	}
	return n
}

// countWorkers leaves out workers that are quarantined, since the failures on
// them are their own.
func (c *Core) countWorkers(j *Job) int {
	n := 0
	for _, id := range j.FailedOn {
		if !c.excluded[id] {
			n++
		}
	}
	return n
}

// mayExclude reports whether that many more workers may be quarantined.
func (c *Core) mayExclude(more int) bool {
	return (len(c.excluded)+more)*excludedParts <= len(c.workers)
}

func (c *Core) quarantine(w *Worker, reason string) {
	if !c.excluded[w.ID] && !c.mayExclude(1) {
		c.explain(Explanation{Action: "quarantine_refused", Worker: w.ID, Reason: reason + "; a fifth of the domain is quarantined", Figures: []Figure{{"excluded", float64(len(c.excluded))}, {"workers", float64(len(c.workers))}}})
		return
	}
	pause := min(firstProbe<<min(w.Probes, 16), longestProbe)
	c.moveWorkerUntil(w.ID, "quarantine", reason, c.stamp().Add(pause))
}

// probeWorkers lets quarantined workers whose time has come run one task.
func (c *Core) probeWorkers(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.excluded)) {
		if w := c.workers[id]; w.State == Quarantined && !now.Before(w.ProbeAt) {
			c.moveWorker(id, "probe", "probe due")
		}
	}
}

// runsBatch reports whether a worker has an attempt of a batch task. Services
// that ran on it before its quarantine go on.
func (c *Core) runsBatch(worker string) bool {
	for _, t := range c.onWorker[worker] {
		if t.Class == declarer.ClassBatch {
			return true
		}
	}
	return false
}

// placeProbes gives each probing worker without batch attempts one batch task.
func (c *Core) placeProbes(p *pass) {
	for _, id := range slices.Sorted(maps.Keys(c.excluded)) {
		w := c.workers[id]
		if w.State != Probing || c.runsBatch(id) || p.full() {
			continue
		}
		v := &placer.View{Workers: []placer.Worker{c.slot(w)}}
		for _, team := range slices.Sorted(maps.Keys(c.queue.ordinary)) {
			l := c.queue.ordinary[team]
			if l == nil || len(l.entries) == 0 {
				continue
			}
			t := l.entries[0].head()
			if t.Cancelling || c.refusal(&t) != "" {
				continue
			}
			if choice, err := c.choose(&t, v); err == nil {
				choice.Reason = "probe of a quarantined worker; " + choice.Reason
				if c.start(p, &t, choice) {
					c.attempt(&t).probe = true
				}
				break
			}
		}
	}
}
