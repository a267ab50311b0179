package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// TestCountsOfForgottenJob guards against a job that never counts as complete,
// because a shard that had forgotten it, and took over more tasks of it, counts
// these from zero.
func TestCountsOfForgottenJob(t *testing.T) {
	c := qt.New(t)
	away := New(Options{Shard: "b", Domain: "b", Charts: charts, Policy: placer.FirstFit()})
	now := epochStart
	config := &declarer.Config{Revision: 1, Preset: declarer.OrdinaryDay, Domains: []string{"a", "b"}, Teams: []declarer.Team{{Name: "team", Weight: 1}}}
	away.Step(now, Event{WorkerSeen: &WorkerSeen{ID: "w", Capacity: declarer.Resources{MilliCPU: 4000, MemoryMB: 4000}}})
	home := RemoteCounts{Shard: "b"}
	runTask := func(transfer string, id TaskID) {
		task := Task{ID: id, Class: declarer.ClassBatch, Owner: "j", Team: "team", Kind: "k", Home: "a", State: Pending, Declared: declarer.Resources{MilliCPU: 100, MemoryMB: 100}}
		away.Step(now, Event{Offered: &TransferOffered{TransferID: transfer, Task: task}})
		away.Step(now, Event{Config: &ConfigConfirmed{Config: config, At: now}})
		away.Step(now, Event{Tick: &Tick{}})
		away.Step(now, Event{Report: &WorkerReport{Worker: "w", Ended: []EndedAttempt{{Task: id, Attempt: 1, Outcome: OutcomeCompleted}}}})
		home = mergeCounts(home, away.counts(away.jobs["j"]))
		away.Step(now, Event{TotalsConfirmed: &TotalsConfirmed{JobID: "j", Counts: away.counts(away.jobs["j"])}})
	}
	runTask("a/b/1", "job/j/0")
	c.Assert(home.Done, qt.Equals, 1)
	for range 26 {
		now = now.Add(time.Hour)
		away.Step(now, Event{Tick: &Tick{}})
	}
	runTask("a/b/2", "job/j/1")
	c.Assert(home.Done, qt.Equals, 2)
}
