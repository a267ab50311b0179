package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestSilentDomain guards against tasks that go on being sent into a failure domain that is
// cut off until each of its workers has failed to answer, and against a domain that gets none
// because single starts there have no answer.
func TestSilentDomain(t *testing.T) {
	for name, tt := range map[string]struct {
		// silent is how many of the four workers of the domain leave a start unanswered, and
		// isAnswered is set if one of them answers another call since.
		silent     int
		isAnswered bool
		want       bool
	}{
		"three are silent":            {3, false, false},
		"all are silent, one answers": {4, true, true},
		"two of four are silent":      {2, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			var workers []planner.Worker
			for i := range 4 {
				w := worker(fmt.Sprint("a", i), 1)
				w.Domain = "cut"
				workers = append(workers, w)
			}
			d := newDriver(t, 1, workers...).registerWorkers()
			d.advance(time.Millisecond)
			d.add(job("1", step(4, 1)))
			for i, o := range d.p.Plan(d.now, d.proven()) {
				d.p.StartSent(d.now, o.Run, o.WorkerID, d.now.Add(time.Minute))
				if i >= tt.silent {
					d.p.StartAnswered(d.now, o.Run, o.WorkerID, planner.Refused, "")
				}
			}
			d.advance(150 * time.Millisecond)
			if tt.isAnswered {
				d.p.Answered(d.now, "a0")
			}
			larger := worker("a4", 8)
			larger.Domain = "cut"
			d.list(append(workers, larger)...)
			d.p.SetRecorded(d.p.Recorded(d.now))
			sent := d.now.Add(-time.Millisecond)
			d.p.PollAnswered(sent, "a4", planner.PollResult{Sent: sent})
			if !tt.isAnswered {
				// The answer was the last one before the domain was cut off.
				d.p.Answered(origin, "a4")
			}
			d.p.SetRecorded(d.p.Recorded(d.now))
			d.add(job("2", step(1, 2)))
			starts := 0
			for _, o := range d.p.Plan(d.now, d.proven()) {
				if o.Kind == planner.StartRun && o.Run.Job == "2" {
					starts++
				}
			}
			d.Assert(starts == 1, quicktest.Equals, tt.want)
			d.p.Answered(d.now, "a1")
			for _, o := range d.p.Plan(d.now, d.proven()) {
				if o.Kind == planner.StartRun && o.Run.Job == "2" {
					starts++
				}
			}
			d.Assert(starts, quicktest.Equals, 1)
		})
	}
}
