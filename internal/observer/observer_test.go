package observer_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/observer"
)

// TestLinkIsFull guards against calls whose answers wait for this instance's own link
// and are taken for calls to a silent server, and the other way round.
func TestLinkIsFull(t *testing.T) {
	const rate = 100_000
	for name, tt := range map[string]struct {
		rate float64
		// bytes are sent and received in each 10 ms from 0 to 1 s.
		sent, received int
		// since and now are relative to the beginning.
		since, now time.Duration
		want       bool
	}{
		"full when receiving":      {rate, 0, 700, 500 * time.Millisecond, time.Second, true},
		"full when sending":        {rate, 700, 0, 500 * time.Millisecond, time.Second, true},
		"a third is used":          {rate, 300, 300, 500 * time.Millisecond, time.Second, false},
		"full a while ago":         {rate, 0, 900, 1100 * time.Millisecond, 2 * time.Second, false},
		"full long ago":            {rate, 0, 900, 20 * time.Second, 21 * time.Second, false},
		"full for a short call":    {rate, 0, 900, 999 * time.Millisecond, time.Second, true},
		"one burst in a long call": {rate, 0, 900, 0, 3 * time.Second, false},
		"rate is not known":        {0, 0, 9000, 500 * time.Millisecond, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			began := time.Unix(1_000_000, 0)
			now := began
			link := observer.New(tt.rate, func() time.Time { return now })
			for ; now.Before(began.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
				link.Add(tt.sent, tt.received)
			}
			now = began.Add(tt.now)
			c.Assert(link.IsFull(tt.now-tt.since), quicktest.Equals, tt.want)
		})
	}
}

// TestEstimator guards against timeouts that are shorter than the answers take, and
// against ones that stay long after answers have become quick again.
func TestEstimator(t *testing.T) {
	const shortest, longest = 400 * time.Millisecond, 1500 * time.Millisecond
	c := quicktest.New(t)
	var e observer.Estimator
	timeout := func() time.Duration { return e.Timeout(shortest, longest) }
	c.Assert(timeout(), quicktest.Equals, shortest)
	for range 20 {
		e.Answered(5 * time.Millisecond)
	}
	c.Assert(timeout(), quicktest.Equals, shortest)
	e.Unanswered()
	c.Assert(timeout(), quicktest.Equals, 2*shortest)
	for range 10 {
		e.Unanswered()
	}
	c.Assert(timeout(), quicktest.Equals, longest)
	for range 20 {
		e.Answered(500 * time.Millisecond)
	}
	c.Assert(timeout() > 500*time.Millisecond, quicktest.IsTrue)
	for range 50 {
		e.Answered(5 * time.Millisecond)
	}
	c.Assert(timeout(), quicktest.Equals, shortest)
}
