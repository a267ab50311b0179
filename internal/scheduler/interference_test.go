package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// learnerHarness drives a core with a Learner and one worker.
type learnerHarness struct {
	core     *Core
	now      time.Time
	commands []Command
	changes  []Change
}

func newLearnerHarness(t *testing.T, services []declarer.Service) *learnerHarness {
	t.Helper()
	charts, err := LoadCharts()
	quicktest.Assert(t, err, quicktest.IsNil)
	l := &learnerHarness{core: New(WithInterference(Options{Shard: "d", Domain: "d", Charts: charts})), now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)}
	l.step(Event{WorkerSeen: &WorkerSeen{ID: "w", Rack: "r", Capacity: declarer.Resources{MilliCPU: 32000, MemoryMB: 100000}}})
	config := declarer.Config{Revision: 1, Preset: declarer.OrdinaryDay, Domains: []string{"d"}, Services: services}
	l.step(Event{Config: &ConfigConfirmed{Config: &config, At: l.now}})
	return l
}

func (l *learnerHarness) step(e Event) {
	changes, commands := l.core.Step(l.now, e)
	l.changes, l.commands = append(l.changes, changes...), append(l.commands, commands...)
}

// report reports every attempt as running with the measurements that use
// returns.
func (l *learnerHarness) report(use func(Task) RunningAttempt) {
	l.now = l.now.Add(3 * time.Second)
	r := WorkerReport{Worker: "w", RequestedAt: l.now, MeasuredAt: l.now.Add(-time.Second)}
	for _, t := range l.core.Tasks() {
		if HoldsReservation(t.State) {
			a := use(t)
			a.Task, a.Attempt = t.ID, t.Attempt
			r.Running = append(r.Running, a)
		}
	}
	l.step(Event{Report: &r})
	l.step(Event{Config: &ConfigConfirmed{Config: l.core.config, At: l.now}})
	l.step(Event{Tick: &Tick{}})
}

func (l *learnerHarness) submit(kind string, tasks int, size declarer.Resources) {
	l.step(Event{Submitted: &JobSubmitted{Job: declarer.BatchJob{ID: kind, Team: "team", Kind: kind, Tasks: tasks, Resources: size, RunTime: time.Hour}}})
}

var (
	replica  = declarer.Service{Name: "s", Team: "team", Replicas: 1, Resources: declarer.Resources{MilliCPU: 8000, MemoryMB: 20000}}
	taskSize = declarer.Resources{MilliCPU: 4000, MemoryMB: 19000}
)

// TestReservationsFollowUse guards against reservations that stay at a wrong
// declared size.
func TestReservationsFollowUse(t *testing.T) {
	l := newLearnerHarness(t, nil)
	l.submit("j", 1, taskSize)
	l.step(Event{Tick: &Tick{}})
	for range 100 {
		l.report(func(Task) RunningAttempt {
			return RunningAttempt{Usage: declarer.Resources{MilliCPU: 2000, MemoryMB: 9000}}
		})
	}
	got := l.core.Tasks()[0].Reserved
	quicktest.Check(t, got.MilliCPU < 2500 && got.MilliCPU >= 2000, quicktest.IsTrue, quicktest.Commentf("%v", got))
	quicktest.Check(t, got.MemoryMB < 12500 && got.MemoryMB >= 9000, quicktest.IsTrue, quicktest.Commentf("%v", got))
}

// TestRaiseReleasesBatchFirst guards against an increase of a service's
// reservation that is never made, or that is made before batch tasks have
// released the capacity.
func TestRaiseReleasesBatchFirst(t *testing.T) {
	l := newLearnerHarness(t, []declarer.Service{replica})
	l.step(Event{Tick: &Tick{}})
	l.submit("j", 4, taskSize)
	l.step(Event{Tick: &Tick{}})
	quicktest.Assert(t, len(l.core.tasksOn("w")), quicktest.Equals, 5)
	use := func(x Task) RunningAttempt {
		if x.Class == declarer.ClassService {
			return RunningAttempt{Usage: declarer.Resources{MilliCPU: 8000, MemoryMB: 40000}}
		}
		return RunningAttempt{Usage: taskSize}
	}
	l.report(use)
	l.report(use)
	l.report(use)
	checkpoints := 0
	for _, c := range l.commands {
		if c.Checkpoint != nil {
			checkpoints++
		}
	}
	quicktest.Check(t, checkpoints > 0, quicktest.IsTrue)
	for _, x := range l.core.tasksOn("w") {
		if x.State == Checkpointing {
			l.step(Event{Report: &WorkerReport{Worker: "w", Ended: []EndedAttempt{{Task: x.ID, Attempt: x.Attempt, Outcome: OutcomeCheckpointed, Checkpoint: "c"}}}})
		}
	}
	l.report(use)
	for _, x := range l.core.tasksOn("w") {
		if x.Class == declarer.ClassService {
			quicktest.Check(t, x.Reserved.MemoryMB >= 40000, quicktest.IsTrue, quicktest.Commentf("%v", x.Reserved))
		}
	}
}

// TestSlowServiceThrottlesBatch guards against a measured slowdown that causes
// no command.
func TestSlowServiceThrottlesBatch(t *testing.T) {
	l := newLearnerHarness(t, []declarer.Service{replica})
	l.step(Event{Tick: &Tick{}})
	l.submit("j", 1, taskSize)
	l.step(Event{Tick: &Tick{}})
	for range 3 {
		l.report(func(x Task) RunningAttempt {
			a := RunningAttempt{Usage: x.Reserved}
			if x.Class == declarer.ClassService {
				a.Slowdown, a.Load = 3, 0.6
			}
			return a
		})
	}
	var shares []float64
	for _, c := range l.commands {
		if c.Throttle != nil {
			shares = append(shares, c.Throttle.Share)
		}
	}
	quicktest.Assert(t, len(shares) > 0, quicktest.IsTrue)
	quicktest.Check(t, shares[0], quicktest.Equals, placer.ParametersOf(declarer.OrdinaryDay).ThrottleShare)
	quicktest.Check(t, len(l.core.Explain(Query{Job: "j"})) > 1, quicktest.IsTrue)
}

// TestReplicaPreemptsBatch guards against a replica that waits for batch tasks
// to end in a domain that they fill, while callers wait for the replica.
func TestReplicaPreemptsBatch(t *testing.T) {
	l := newLearnerHarness(t, nil)
	l.submit("j", 5, taskSize)
	l.step(Event{Tick: &Tick{}})
	use := func(Task) RunningAttempt { return RunningAttempt{Usage: taskSize} }
	l.report(use)
	config := *l.core.config
	config.Revision, config.Services = 2, []declarer.Service{replica}
	l.step(Event{Config: &ConfigConfirmed{Config: &config, At: l.now}})
	l.now = l.now.Add(time.Second)
	l.step(Event{Tick: &Tick{}})
	checkpoints := 0
	for _, c := range l.commands {
		if c.Checkpoint != nil {
			checkpoints++
		}
	}
	quicktest.Check(t, checkpoints, quicktest.Equals, 1)
}
