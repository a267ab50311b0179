package observer

import "time"

const (
	// The weights of a new round trip in the mean and the deviation, and the number of
	// deviations in a timeout, are those of RFC 6298.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
	// maxBackoff bounds how often a timeout is doubled.
	maxBackoff = 4
)

// Estimator derives the timeout of a call from the round trips of earlier ones, as RFC
// 6298 does for TCP. The zero value has seen none. It must be used by one goroutine at
// a time.
type Estimator struct {
	mean, deviation time.Duration
	// backoff is how often the timeout is doubled. Unanswered calls have no round
	// trip, so that only longer timeouts show how long the answers take now.
	backoff int
}

// Answered adds the round trip of an answered call.
func (e *Estimator) Answered(roundTrip time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation, e.backoff = roundTrip, roundTrip/2, 0
		return
	}
	distance := (e.mean - roundTrip).Abs()
	e.deviation += time.Duration(deviationWeight * float64(distance-e.deviation))
	e.mean += time.Duration(meanWeight * float64(roundTrip-e.mean))
	e.backoff = 0
}

// Unanswered records a call without an answer within the timeout.
func (e *Estimator) Unanswered() { e.backoff = min(e.backoff+1, maxBackoff) }

// Timeout returns the time to wait for an answer, between shortest and longest.
func (e *Estimator) Timeout(shortest, longest time.Duration) time.Duration {
	t := max(shortest, e.mean+deviations*e.deviation)
	return min(t<<e.backoff, longest)
}
