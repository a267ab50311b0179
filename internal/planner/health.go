package planner

import "time"

const (
	// sickFailures is how many failures of different jobs in a row, without a
	// task that is done, make a worker sick. Two would be met by chance where
	// one task in twenty fails.
	sickFailures = 3
	// sickTime is how long a sick worker gets no task, doubled each time up to
	// maxSickTime.
	sickTime    = 4 * time.Second
	maxSickTime = 30 * time.Second
	// stillLimit is how long a run that is not paced may show no progress.
	stillLimit = 1500 * time.Millisecond
	// slowRate is the share of the expected rate below which a worker is slow.
	slowRate = 0.4
)

// health is what the runs of a worker tell about it.
type health struct {
	// failures has the jobs that failed here since a task was last done.
	failures map[string]bool
	// sickUntil is when the worker may get tasks again, and sickFor how long it
	// was sick last.
	sickUntil time.Time
	sickFor   time.Duration
	// speed is the smoothed rate of runs over the rate by their estimates; zero
	// before the first measurement.
	speed   float64
	speedAt time.Time
}

func (h *health) isSick(now time.Time) bool { return now.Before(h.sickUntil) }

// makeSick keeps tasks away from the worker for a while.
func (h *health) makeSick(now time.Time) {
	if h.isSick(now) {
		return
	}
	h.sickFor = min(max(sickTime, 2*h.sickFor), maxSickTime)
	h.sickUntil = now.Add(h.sickFor)
	clear(h.failures)
}

// noteDone records that a task was done on the worker.
func (h *health) noteDone() {
	clear(h.failures)
	h.sickFor = 0
}

// noteFailure records that a task of a job failed and reports whether the
// worker became sick by it.
func (h *health) noteFailure(now time.Time, job string) bool {
	if h.failures == nil {
		h.failures = map[string]bool{}
	}
	h.failures[job] = true
	if len(h.failures) < sickFailures || h.isSick(now) {
		return false
	}
	h.makeSick(now)
	return true
}

// speedWeight is the weight of a new measurement of a worker's speed.
const speedWeight = 0.3

// noteSpeed records the rate of a run over the expected one.
func (h *health) noteSpeed(now time.Time, ratio float64) {
	if h.speed == 0 {
		h.speed = 1
	}
	h.speed += speedWeight * (min(ratio, 1) - h.speed)
	h.speedAt = now
}

// speedMemory is how long a measured speed counts: a worker without tasks has
// no new one.
const speedMemory = 5 * time.Second

func (h *health) isSlow(now time.Time) bool {
	return h.speed > 0 && h.speed < slowRate && now.Sub(h.speedAt) < speedMemory
}
