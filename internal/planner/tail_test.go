package planner_test

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestRelapseKeepsTimeOverTarget guards against a long-running task that
// best-effort tasks hold over its target beyond the violation limit, because one
// imprecise report took it for recovered and its time over the target was counted
// anew.
func TestRelapseKeepsTimeOverTarget(t *testing.T) {
	const over, recovered, interval = 0.02, -0.3, 200 * time.Millisecond
	for name, tt := range map[string]struct {
		// recoveredReports is how many reports in a row are below the target.
		recoveredReports int
		// isPaused is set if the best-effort task must be paused half a second
		// after the recovery at the latest.
		isPaused bool
	}{
		"one report":        {1, true},
		"for half a second": {3, true},
		"for over a second": {8, false},
		"never":             {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newBusyDriver(t, -0.5)
			s := step(1, 3)
			s.BestEffort, s.Image = true, "batch"
			j := job("batch", s)
			j.Queue.Slack = time.Minute
			d.add(j)
			d.Assert(d.startTasks(), quicktest.HasLen, 1)
			pace := 100
			report := func(level float64, count int) {
				for range count {
					d.advance(interval)
					d.running["a"][0].Tail = time.Duration(math.Exp(level) * float64(time.Second))
					d.running["a"][1].Percent++
					d.poll("a")
					for _, o := range d.p.Plan(d.now, d.proven()) {
						if o.Kind == planner.PaceRun {
							pace = o.Percent
						}
					}
				}
			}
			// The pause of all best-effort tasks is due after 2 s over the target.
			report(over, 9)
			report(recovered, tt.recoveredReports)
			report(over, 3)
			d.Assert(pace == 0, quicktest.Equals, tt.isPaused, quicktest.Commentf("pace %d%%", pace))
		})
	}
}
