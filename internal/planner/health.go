package planner

import "time"

const (
	// sickFailures is the number of consecutive failures of different jobs,
	// with no task done in between, that make a worker sick. Two occur by
	// chance if one task in twenty fails.
	sickFailures = 3
	// minSickTime is how long a worker stays sick the first time. The time
	// doubles with each recurrence, up to maxSickTime.
	minSickTime = 4 * time.Second
	maxSickTime = 30 * time.Second
	// stallLimit is how long an unpaced run may show no progress.
	stallLimit = 1500 * time.Millisecond
	// slowSpeed is the speed below which a worker counts as slow, as a share of
	// the normal speed.
	slowSpeed = 0.4
)

// health tracks the health of a worker as observed from its runs.
type health struct {
	// failures holds the jobs of which a task failed on the worker since a task
	// was last done there.
	failures map[string]bool
	// sickUntil is when the worker may get tasks again, and sickFor is the
	// length of its last sick time.
	sickUntil time.Time
	sickFor   time.Duration
	// speed is the smoothed ratio of the measured rate of runs to their
	// expected rate; zero before the first measurement.
	speed   float64
	speedAt time.Time
}

func (h *health) isSick(now time.Time) bool { return now.Before(h.sickUntil) }

// markSick keeps new tasks off the worker for a while.
func (h *health) markSick(now time.Time) {
	if h.isSick(now) {
		return
	}
	h.sickFor = min(max(minSickTime, 2*h.sickFor), maxSickTime)
	h.sickUntil = now.Add(h.sickFor)
	clear(h.failures)
}

// recordDone records that a task was done on the worker.
func (h *health) recordDone() {
	clear(h.failures)
	h.sickFor = 0
}

// recordFailure records that a task of a job failed, and reports whether this
// made the worker sick.
func (h *health) recordFailure(now time.Time, job string) bool {
	if h.failures == nil {
		h.failures = map[string]bool{}
	}
	h.failures[job] = true
	if len(h.failures) < sickFailures || h.isSick(now) {
		return false
	}
	h.markSick(now)
	return true
}

// speedWeight is the share of a new measurement in the updated speed of a
// worker.
const speedWeight = 0.3

// recordSpeed records the ratio of the rate of a run to its expected rate.
func (h *health) recordSpeed(now time.Time, ratio float64) {
	if h.speed == 0 {
		h.speed = 1
	}
	h.speed += speedWeight * (min(ratio, 1) - h.speed)
	h.speedAt = now
}

// maxSpeedAge is how long a measured speed stays valid; a worker without tasks
// yields no new measurement.
const maxSpeedAge = 5 * time.Second

func (h *health) isSlow(now time.Time) bool {
	return h.speed > 0 && h.speed < slowSpeed && now.Sub(h.speedAt) < maxSpeedAge
}
