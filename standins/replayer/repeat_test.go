package replayer_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/standins/replayer"
)

// TestReplayIsDeterministic guards against decisions that depend on the
// iteration order of a map: a replay that finds a fault must find it again.
func TestReplayIsDeterministic(t *testing.T) {
	c := quicktest.New(t)
	run := func() (decisions []planner.Decision) {
		replayer.New(patterns["new owner while commands are late"], 1, func(_ time.Duration, d planner.Decision) {
			decisions = append(decisions, d)
		}).Run()
		return decisions
	}
	first, second := run(), run()
	for i := range min(len(first), len(second)) {
		c.Assert(second[i], quicktest.Equals, first[i], quicktest.Commentf("decision %d", i))
	}
	c.Assert(len(second), quicktest.Equals, len(first))
}
