package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestEndOfEarlierJobOfSameID guards against a task that counts as done without a
// run, because its worker was cut off for longer than the retention of an earlier
// job with the same id, and then lists an end of that job.
func TestEndOfEarlierJobOfSameID(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
	d.p.SetEvacuatedDomains([]string{"domain-b"})
	d.add(job("1", step(1, 1)))
	start := d.startTasks()[0]
	d.p.SetEvacuatedDomains([]string{"domain-a"})
	d.p.Leased("a", d.now.Add(6*time.Second))
	d.p.Unanswered(d.now, "a")
	d.advance(7 * time.Second)
	again := d.startTasks()
	d.Assert(again, quicktest.HasLen, 1)
	d.endRun(again[0], planner.EndDone)
	d.commit()
	d.advance(2 * time.Minute)
	d.Assert(d.p.Expired(d.now), quicktest.HasLen, 1)
	d.add(job("1", step(1, 1)))
	// The end of the first run is void, since its lease has expired.
	d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, Ended: []planner.RunEnd{{Number: 1, Run: start.Run, Kind: planner.EndDone}}})
	d.p.SetEvacuatedDomains(nil)
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}
