package apportioner

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstJobs is the number of jobs that an organisation may always submit at once,
	// and burstDeviations is how many standard deviations of the jobs of one second it
	// may submit in addition. A shard sees a random part of the jobs, so their number
	// varies like that of independent events, whose deviation is the root of their
	// mean.
	burstJobs       = 10
	burstDeviations = 5
)

// Meter tells which jobs of one organisation, as one shard sees them, lie within its
// rate. Jobs beyond the rate don't count against it.
type Meter struct {
	limiter *rate.Limiter
	// latest is the latest time of a job so far.
	latest time.Time
}

// NewMeter returns the meter of one shard for an organisation that may submit the given
// number of jobs a second to all shards together. If that isn't positive, no job is
// within the rate.
func NewMeter(jobsPerSecond float64, shards int) *Meter {
	if !(jobsPerSecond > 0) {
		return &Meter{limiter: rate.NewLimiter(0, 0)}
	}
	allowance := jobsPerSecond / float64(max(1, shards))
	burst := math.Ceil(burstJobs + burstDeviations*math.Sqrt(allowance))
	return &Meter{limiter: rate.NewLimiter(rate.Limit(allowance), int(min(burst, math.MaxInt32)))}
}

// Admit counts a job that was accepted at the given time and reports whether it is
// within the rate. A time before the latest one so far counts as that one, so the
// result depends only little on the order of jobs that were accepted at nearly the same
// time.
func (m *Meter) Admit(accepted time.Time) bool {
	if accepted.After(m.latest) {
		m.latest = accepted
	}
	return m.limiter.AllowN(m.latest, 1)
}
