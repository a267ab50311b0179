package scheduler

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/interpreter"
)

const target TaskID = "job/j/0"

func (w *world) east() *simShard { return w.shards[0] }

func (w *world) submit(id string, tasks int) {
	w.east().step(Event{Submitted: &JobSubmitted{Job: declarer.BatchJob{
		ID: id, Team: "two", Kind: "k", Tasks: tasks, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 50}, RunTime: 3 * time.Second,
	}}})
}

func (w *world) setSlow(slow bool) {
	for _, s := range w.shards {
		for _, x := range s.workers {
			x.slow = slow
		}
	}
}

func (w *world) failAll(fail bool) {
	for _, x := range w.east().workers {
		x.failAll = fail
	}
}

func (w *world) targetIn(state interpreter.State) func() bool {
	return func() bool { t := w.east().core.tasks[target]; return t != nil && t.State == state }
}

// targetWorker returns the worker that runs the target task, or the first
// worker if none does.
func (w *world) targetWorker() *fakeWorker {
	for _, x := range w.east().workers {
		if x.running[target] != nil {
			return x
		}
	}
	return w.east().workers["east-0"]
}

// actOnTarget calls f with the target task within the next tick.
func (w *world) actOnTarget(f func(*Core, *Task)) {
	w.east().onTick = func(c *Core) {
		if t := c.tasks[target]; t != nil {
			f(c, t)
		}
	}
	w.advance(step)
}

func (w *world) cancel(id string) { w.east().step(Event{Cancelled: &JobCancelled{JobID: id}}) }

func (w *world) setEastOut(out bool) {
	w.configure(func(c *declarer.Config) {
		c.DomainsOut = nil
		if out {
			c.DomainsOut = []string{"east"}
		}
	})
}

// reachState has, for each state, the function that moves the target task to
// it.
var reachState = map[interpreter.State]func(*world){
	Pending: func(w *world) {
		w.east().withholdConfig = true
		w.run(3 * time.Second)
		w.submit("j", 2)
		w.advance(step)
	},
	Parked: func(w *world) {
		w.failAll(true)
		w.submit("j", 2)
		w.until(w.targetIn(Parked), time.Minute)
	},
	HandingOver: func(w *world) {
		w.east().withholdConfig = true
		w.run(3 * time.Second)
		w.submit("j", 2)
		w.setEastOut(true)
		w.dropPeerMessages, w.east().withholdConfig = true, false
		w.run(time.Second)
	},
	Starting: func(w *world) {
		w.east().dropReports = true
		w.submit("j", 2)
		w.advance(step)
	},
	Running: func(w *world) {
		w.submit("j", 2)
		w.until(w.targetIn(Running), 10*time.Second)
	},
	Checkpointing: func(w *world) {
		w.submit("j", 2)
		w.until(w.targetIn(Running), 10*time.Second)
		w.east().dropReports = true
		w.actOnTarget(func(c *Core, t *Task) { c.checkpoint(t, "test") })
	},
	Stopping: func(w *world) {
		w.submit("j", 2)
		w.until(w.targetIn(Running), 10*time.Second)
		w.east().dropReports = true
		w.cancel("j")
		w.advance(step)
	},
	Unknown: func(w *world) {
		w.submit("j", 2)
		w.until(w.targetIn(Running), 10*time.Second)
		w.isolateTarget()
		w.until(w.targetIn(Unknown), 20*time.Second)
	},
}

// isolateTarget starts a new owner that can't reach the target's worker, while
// the old owner continues to renew the worker's leases.
func (w *world) isolateTarget() {
	x := w.targetWorker()
	x.unreachable, x.renewedUntil = true, w.now.Add(10*time.Minute)
	w.east().startOwner()
}

func (w *world) finishTarget(o Outcome) {
	w.targetWorker().finish(target, o)
	w.clearFaults()
}

// triggerEvent has, for each event, the function that causes it.
var triggerEvent = map[string]func(*world){
	"place": func(w *world) { w.east().withholdConfig = false },
	"park": func(w *world) {
		w.failAll(true)
		w.east().withholdConfig = false
		w.until(w.targetIn(Parked), time.Minute)
	},
	"cancel":           func(w *world) { w.cancel("j") },
	"hand_over":        func(w *world) { w.setEastOut(true); w.east().withholdConfig = false; w.run(time.Second) },
	"release":          func(w *world) { w.failAll(false); w.east().step(Event{Released: &JobReleased{"j"}}) },
	"confirm_transfer": func(w *world) { w.dropPeerMessages = false },
	"started":          func(w *world) { w.east().dropReports = false },
	"complete":         func(w *world) { w.finishTarget(OutcomeCompleted) },
	"fail":             func(w *world) { w.finishTarget(OutcomeFailed) },
	"exhaust":          func(w *world) { w.finishTarget(OutcomeFailed) },
	"ended":            func(w *world) { w.finishTarget(OutcomeStopped) },
	"stop":             func(w *world) { w.cancel("j"); w.advance(step) },
	"evict":            func(w *world) { w.actOnTarget(func(c *Core, t *Task) { c.evict(t, "test") }) },
	"checkpoint":       func(w *world) { w.actOnTarget(func(c *Core, t *Task) { c.checkpoint(t, "test") }) },
	"checkpointed":     func(w *world) { w.clearFaults() },
	"stopped":          func(w *world) { w.clearFaults() },
	"evicted":          func(w *world) { w.clearFaults() },
	"found":            func(w *world) { w.clearFaults() },
	"found_stopping":   func(w *world) { w.cancel("j"); w.advance(step); w.clearFaults() },
	"lose":             func(w *world) { w.targetWorker().unreachable = true; w.run(16 * time.Second) },
	"refused":          func(w *world) { w.clearFaults(); w.run(6 * time.Second) },
	"expire":           func(w *world) { w.runCoarse(16 * time.Minute) },
}

// overrides has the transitions that need another function to reach the state
// or to trigger the event.
var overrides = map[string]struct{ reach, trigger func(*world) }{
	"starting refused": {reach: func(w *world) {
		for _, x := range w.east().workers {
			x.refuse = true
		}
		reachState[Starting](w)
	}},
	"stopping evicted": {reach: func(w *world) {
		reachState[Running](w)
		w.east().dropReports = true
		triggerEvent["evict"](w)
	}},
	"stopping stop": {reach: func(w *world) {
		reachState[Running](w)
		w.east().dropReports = true
		triggerEvent["evict"](w)
	}},
	"stopping complete": {reach: func(w *world) {
		reachState[Running](w)
		w.targetWorker().finish(target, OutcomeCompleted)
		w.east().dropReports = true
		w.cancel("j")
		w.advance(step)
	}},
	"stopping lose": {reach: func(w *world) {
		reachState[Running](w)
		w.targetWorker().unreachable = true
		w.cancel("j")
		w.advance(step)
	}},
	"checkpointing complete": {reach: func(w *world) {
		reachState[Running](w)
		w.east().dropReports = true
		w.targetWorker().finish(target, OutcomeCompleted)
		w.actOnTarget(func(c *Core, t *Task) { c.checkpoint(t, "test") })
	}},
	"checkpointing fail":    {reach: func(w *world) { endBeforeCheckpoint(w, OutcomeFailed) }},
	"checkpointing ended":   {reach: func(w *world) { endBeforeCheckpoint(w, OutcomeStopped) }},
	"checkpointing exhaust": {reach: func(w *world) { failToLastAttempt(w); endBeforeCheckpoint(w, OutcomeFailed) }},
	"checkpointing lose": {reach: func(w *world) {
		reachState[Running](w)
		w.targetWorker().unreachable = true
		w.actOnTarget(func(c *Core, t *Task) { c.checkpoint(t, "test") })
	}},
	"starting exhaust": {reach: func(w *world) {
		failToLastAttempt(w)
		w.until(w.targetIn(Starting), 20*time.Second)
		w.east().dropReports = true
	}},
	"running exhaust": {reach: func(w *world) { failToLastAttempt(w); w.until(w.targetIn(Running), 20*time.Second) }},
	"unknown exhaust": {reach: func(w *world) {
		failToLastAttempt(w)
		w.until(w.targetIn(Running), 20*time.Second)
		w.isolateTarget()
		w.until(w.targetIn(Unknown), 20*time.Second)
	}},
	"pending complete": {reach: completeUnseen, trigger: reachWorkers},
	"parked complete": {reach: func(w *world) {
		completeUnseen(w)
		w.actOnTarget(func(c *Core, _ *Task) { c.parkJob(c.jobs["j"], "test") })
	}, trigger: reachWorkers},
	"unknown stopped": {trigger: func(w *world) { w.cancel("j"); w.finishTarget(OutcomeStopped) }},
}

// completeUnseen completes the target on a worker that is unreachable until the
// leases have expired.
func completeUnseen(w *world) {
	reachState[Running](w)
	x := w.targetWorker()
	x.finish(target, OutcomeCompleted)
	x.unreachable, w.east().withholdConfig = true, true
	w.until(w.targetIn(Pending), 20*time.Second)
}

// reachWorkers makes the workers reachable before anything can start.
func reachWorkers(w *world) {
	for _, x := range w.east().workers {
		x.unreachable = false
	}
	w.run(4 * time.Second)
	w.clearFaults()
}

func endBeforeCheckpoint(w *world, o Outcome) {
	w.until(w.targetIn(Running), 20*time.Second)
	if w.east().core.tasks[target] == nil {
		reachState[Running](w)
	}
	w.east().dropReports = true
	w.targetWorker().finish(target, o)
	w.actOnTarget(func(c *Core, t *Task) { c.checkpoint(t, "test") })
}

// failToLastAttempt makes the target fail as often as it may without becoming
// failed.
func failToLastAttempt(w *world) {
	w.failAll(true)
	w.submit("j", 1)
	w.until(func() bool { t := w.east().core.tasks[target]; return t != nil && t.Failures == maxFailures-1 }, time.Minute)
	w.failAll(false)
}

// clearFaults ends all faults of the network, the stores and the workers.
func (w *world) clearFaults() {
	w.dropUntil, w.duplicateUntil, w.delayUntil, w.dropPeerMessages = time.Time{}, time.Time{}, time.Time{}, false
	for _, s := range w.shards {
		s.dropReports, s.withholdConfig, s.storeDownUntil, s.answersLostUntil = false, false, time.Time{}, time.Time{}
		for _, x := range s.workers {
			x.unreachable, x.dead, x.failAll, x.refuse = false, false, false, false
		}
	}
}

// alignToRenewal advances the time to a full second, at which sessions renew
// leases, so that larger steps don't skip renewals.
func (w *world) alignToRenewal() {
	for w.now.UnixMilli()%1000 != 0 && w.firstError == nil {
		w.advance(step)
	}
}

// coarseStep is the longest step for which sessions keep their leases.
const coarseStep = 5 * time.Second

// runCoarse advances the time by d in steps of coarseStep.
func (w *world) runCoarse(d time.Duration) {
	w.alignToRenewal()
	for end := w.now.Add(d); w.now.Before(end) && w.firstError == nil; {
		w.advance(coarseStep)
	}
}

// settle clears all faults and waits until all work has ended or runs.
func (w *world) settle() error {
	w.run(8 * time.Second) // no owner is paused for longer
	w.clearFaults()
	w.setSlow(false)
	if len(w.config.DomainsOut) > 0 {
		w.setEastOut(false)
	}
	w.releaseParked()
	w.until(w.isSettled, 20*time.Second)
	w.alignToRenewal()
	for i := 0; i < 4000 && w.firstError == nil && !w.isSettled(); i++ {
		w.releaseParked()
		w.advance(coarseStep)
	}
	if w.firstError == nil && !w.isSettled() {
		w.recordError(fmt.Errorf("not settled: %s%s", w.shards[0], w.shards[1]))
	}
	return w.firstError
}

// releaseParked releases all parked jobs, as an operator would.
func (w *world) releaseParked() {
	for _, s := range w.shards {
		for id, j := range s.core.jobs {
			if j.Parked != "" {
				s.step(Event{Released: &JobReleased{id}})
			}
		}
	}
}

// faults has the faults that can occur at any time. Their names are part of the
// seeds in runCase.
var faults = map[string]func(*world){
	"process killed": func(w *world) { w.east().startOwner() },
	"process paused": func(w *world) {
		s := w.east()
		commands, epoch := s.uncommittedCommands, s.epoch
		if w.random.IntN(2) == 0 {
			s.append(s.uncommitted)
		} else {
			commands = nil
		}
		s.uncommitted, s.uncommittedCommands = nil, nil
		s.pausedUntil = w.now.Add(7 * time.Second)
		for _, k := range commands {
			s.pausedSends = append(s.pausedSends, func() { s.sendCommand(k, epoch) })
		}
	},
	"message lost":      func(w *world) { w.dropUntil = w.now.Add(2 * time.Second) },
	"message doubled":   func(w *world) { w.duplicateUntil = w.now.Add(4 * time.Second) },
	"message late":      func(w *world) { w.delayUntil = w.now.Add(4 * time.Second) },
	"store answer lost": func(w *world) { w.east().answersLostUntil = w.now.Add(3 * time.Second) },
	"store down":        func(w *world) { w.east().storeDownUntil = w.now.Add(5 * time.Second) },
	"domain cut off": func(w *world) {
		s := w.east()
		s.storeDownUntil, w.dropPeerMessages = w.now.Add(15*time.Second), true
		w.schedule(15*time.Second, func() { w.dropPeerMessages = false })
		if w.random.IntN(2) == 0 {
			s.startOwner()
			s.storeDownUntil = time.Time{}
			for _, x := range s.workers {
				x.unreachable, x.renewedUntil = true, w.now.Add(15*time.Second)
				w.schedule(15*time.Second, func() { x.unreachable = false })
			}
		}
	},
	"operators racing": func(w *world) {
		w.setEastOut(true)
		w.east().step(Event{Config: &ConfigConfirmed{Config: w.config, At: w.now}})
		w.submit("j", 2)
		w.schedule(time.Second, func() { w.setEastOut(false) })
		w.schedule(1500*time.Millisecond, func() {
			w.east().step(Event{Config: &ConfigConfirmed{Config: w.previousConfig, At: w.now}})
		})
	},
	"worker lost": func(w *world) {
		x := w.targetWorker()
		x.dead = true
		clear(x.running)
		w.schedule(15*time.Second, func() { x.dead = false })
	},
}

func (w *world) schedule(d time.Duration, f func()) {
	w.messages = append(w.messages, message{w.now.Add(d), f})
}

// transition is a transition of a chart with the functions that cause it.
type transition struct {
	name           string
	workers        int
	reach, trigger func(*world)
}

func taskTransitions() []transition {
	var list []transition
	for _, e := range charts.Task.Transitions() {
		name := string(e.From) + " " + string(e.Event)
		t := transition{name: "task " + name, workers: 3, reach: reachState[e.From], trigger: triggerEvent[string(e.Event)]}
		if s := overrides[name]; s.reach != nil {
			t.reach = s.reach
		}
		if s := overrides[name]; s.trigger != nil {
			t.trigger = s.trigger
		}
		if e.Event == "exhaust" {
			t.workers = 1
		}
		list = append(list, t)
	}
	return list
}

// runCase causes a transition, with one fault before its trigger and one after.
func runCase(t transition, before, after string) *world {
	seed := fnv.New64a()
	fmt.Fprint(seed, t.name, before, after)
	w := newWorld(seed.Sum64(), t.workers)
	w.setSlow(true)
	w.until(w.isSettled, 40*time.Second)
	if w.firstError == nil && !w.isSettled() {
		w.recordError(fmt.Errorf("the world has not settled before the transition"))
	}
	t.reach(w)
	if before != "" {
		faults[before](w)
	}
	t.trigger(w)
	if after != "" {
		w.advance(step)
		faults[after](w)
	}
	w.run(2 * time.Second)
	return w
}

// TestFaultMatrix causes every transition of the charts without a fault, with
// each fault, and with each pair of faults. It guards against work that is
// lost, runs twice or never ends, and against a replay that differs from the
// live state.
func TestFaultMatrix(t *testing.T) {
	names := []string{""}
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	transitions := append(taskTransitions(), workerTransitions()...)
	for _, x := range transitions {
		t.Run(strings.ReplaceAll(x.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			c.Assert(x.reach, quicktest.IsNotNil)
			c.Assert(x.trigger, quicktest.IsNotNil)
			for _, before := range names {
				for _, after := range names {
					w := runCase(x, before, after)
					if before == "" && after == "" {
						c.Check(w.seenTransitions[x.name], quicktest.IsTrue, quicktest.Commentf("not taken: %s", x.name))
					}
					if err := w.settle(); err != nil {
						t.Errorf("%s, %q then %q: %v", x.name, before, after, err)
					}
				}
			}
		})
	}
	t.Logf("%d transitions with %d choices of faults: %d cases", len(transitions), len(names)*len(names), len(transitions)*len(names)*len(names))
}
