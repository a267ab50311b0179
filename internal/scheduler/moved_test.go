package scheduler

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// runLastTask returns a core whose only task runs on its only worker.
func runLastTask(c *qt.C) (core *Core, now time.Time, seen WorkerSeen) {
	core = New(Options{Shard: "a", Domain: "a", Charts: charts, Policy: placer.FirstFit()})
	now = epochStart
	seen = WorkerSeen{ID: "w", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Capacity: declarer.Resources{MilliCPU: 4000, MemoryMB: 4000}}
	config := &declarer.Config{Revision: 1, Preset: declarer.OrdinaryDay, Domains: []string{"a"}, Teams: []declarer.Team{{Name: "team", Weight: 1}}}
	job := declarer.BatchJob{ID: "j", Team: "team", Kind: "k", Tasks: 1, Resources: declarer.Resources{MilliCPU: 2000, MemoryMB: 2000}, RunTime: time.Second}
	for _, e := range []Event{{WorkerSeen: &seen}, {Config: &ConfigConfirmed{Config: config, At: now}}, {Submitted: &JobSubmitted{Job: job}}, {Tick: &Tick{}}} {
		core.Step(now, e)
	}
	core.Step(now, Event{Report: &WorkerReport{Worker: "w", Running: []RunningAttempt{{Task: target, Attempt: 1}}}})
	c.Assert(core.tasks[target].State, qt.Equals, Running)
	return core, now, seen
}

// TestAddressOfShrunkWorker guards against a worker whose new address isn't
// recorded because its capacity is less than its reservations.
func TestAddressOfShrunkWorker(t *testing.T) {
	c := qt.New(t)
	core, now, seen := runLastTask(c)
	seen.Addr, seen.Capacity = netip.MustParseAddrPort("10.0.0.1:2"), declarer.Resources{MilliCPU: 1000, MemoryMB: 1000}
	core.Step(now, Event{WorkerSeen: &seen})
	w, _ := core.LookupWorker("w")
	c.Check(w.Addr, qt.Equals, seen.Addr)
	c.Check(w.Capacity, qt.Equals, declarer.Resources{MilliCPU: 4000, MemoryMB: 4000})
	changes, _ := core.Step(now, Event{WorkerSeen: &seen})
	c.Check(changes, qt.HasLen, 0)
}

// TestCompletionAfterExpiry guards against a task that runs again although its
// worker, unreachable until the lease had expired, reports that it is done before
// the next attempt.
func TestCompletionAfterExpiry(t *testing.T) {
	for name, state := range map[string]func(*Core, time.Time){
		"pending": func(*Core, time.Time) {},
		"parked":  func(core *Core, _ time.Time) { core.parkJob(core.jobs["j"], "test") },
		"restored": func(core *Core, _ time.Time) {
			if err := core.Restore(core.Snapshot()); err != nil {
				panic(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core, now, seen := runLastTask(c)
			core.Step(now, Event{WorkerLost: &WorkerLost{ID: "w"}})
			c.Assert(core.tasks[target].State, qt.Equals, Pending)
			state(core, now)
			core.Step(now, Event{WorkerSeen: &seen})
			changes, _ := core.Step(now, Event{Report: &WorkerReport{Worker: "w", Ended: []EndedAttempt{{Task: target, Attempt: 1, Outcome: OutcomeCompleted}}}})
			c.Assert(core.jobs["j"].Done, qt.Equals, 1, qt.Commentf("%+v", changes))
			c.Assert(core.tasks[target], qt.IsNil)
		})
	}
}
