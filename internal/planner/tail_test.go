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
// anew. It also guards against tasks that are paused because short violations, each
// followed by a recovery, count as one.
func TestRelapseKeepsTimeOverTarget(t *testing.T) {
	const over, recovered, interval = 0.02, -0.3, 200 * time.Millisecond
	for name, tt := range map[string]struct {
		// earlier is how often the task is over its target for 0.8 s and recovers
		// for 0.6 s at first. overReports is how many reports in a row are then over
		// the target, and recoveredReports how many after them are below it.
		earlier, overReports, recoveredReports int
		// isPaused is set if the best-effort task must be paused half a second
		// after the recovery at the latest.
		isPaused bool
	}{
		"one report":        {0, 9, 1, true},
		"for half a second": {0, 9, 3, true},
		"for over a second": {0, 9, 8, false},
		"never":             {0, 9, 0, true},
		"many times":        {4, 4, 3, false},
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
			for range tt.earlier {
				report(over, 4)
				report(recovered, 3)
			}
			report(over, tt.overReports)
			report(recovered, tt.recoveredReports)
			report(over, 3)
			d.Assert(pace == 0, quicktest.Equals, tt.isPaused, quicktest.Commentf("pace %d%%", pace))
		})
	}
}
