package planner

import (
	"math"
	"time"
)

// relapseTime is how soon after a recovery a long-running task that is over its
// target again counts as having been over it before. A single report of a tail
// latency may be far off, and the next one follows within a poll's wait.
const relapseTime = time.Second

// recordTail records a reported tail latency of a long-running task. Reported
// tail latencies are imprecise. Hysteresis counts the task as over its target
// slightly below the target, and as recovered only well below.
func (r *run) recordTail(now time.Time, tail time.Duration) {
	r.tailLevel, r.tailAt = math.Log(float64(tail)/float64(r.task.step.LatencyTarget)), now
	switch {
	case r.tailLevel < recoveredLevel && !r.overTargetSince.IsZero():
		r.lastViolation, r.recoveredAt = now.Sub(r.overTargetSince), now
		r.overTargetSince = time.Time{}
	case r.tailLevel > overTargetLevel && r.overTargetSince.IsZero():
		r.overTargetSince, r.violatingSince = now, now
		if now.Sub(r.recoveredAt) <= relapseTime {
			r.violatingSince = now.Add(-r.lastViolation)
		}
	}
}

// violation returns for how long a long-running task has been over its target, with what
// came shortly before; zero if it is not.
func (r *run) violation(now time.Time) time.Duration {
	if r.overTargetSince.IsZero() {
		return 0
	}
	return now.Sub(r.violatingSince)
}
