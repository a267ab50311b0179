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

func (w *world) east() *site { return w.sites[0] }

func (w *world) submit(id string, tasks int) {
	w.east().step(Event{Submitted: &JobSubmitted{Job: declarer.BatchJob{
		ID: id, Team: "two", Kind: "k", Tasks: tasks, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 50}, RunTime: 3 * time.Second,
	}}})
}

func (w *world) slow(slow bool) {
	for _, s := range w.sites {
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

// targetWorker returns the worker that runs the target, or the first.
func (w *world) targetWorker() *fakeWorker {
	for _, x := range w.east().workers {
		if x.running[target] != nil {
			return x
		}
	}
	return w.east().workers["east-0"]
}

// act does something with the target inside the next tick.
func (w *world) act(f func(*Core, *Task)) {
	w.east().act = func(c *Core) {
		if t := c.tasks[target]; t != nil {
			f(c, t)
		}
	}
	w.advance(step)
}

func (w *world) cancel(id string) { w.east().step(Event{Cancelled: &JobCancelled{JobID: id}}) }

func (w *world) out(out bool) {
	w.configure(func(c *declarer.Config) {
		c.DomainsOut = nil
		if out {
			c.DomainsOut = []string{"east"}
		}
	})
}

// reach has, for each state, how the target gets there.
var reach = map[interpreter.State]func(*world){
	Pending: func(w *world) {
		w.east().holdConfig = true
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
		w.east().holdConfig = true
		w.run(3 * time.Second)
		w.submit("j", 2)
		w.out(true)
		w.holdPeers, w.east().holdConfig = true, false
		w.run(time.Second)
	},
	Starting: func(w *world) {
		w.east().muted = true
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
		w.east().muted = true
		w.act(func(c *Core, t *Task) { c.checkpoint(t, "test") })
	},
	Stopping: func(w *world) {
		w.submit("j", 2)
		w.until(w.targetIn(Running), 10*time.Second)
		w.east().muted = true
		w.cancel("j")
		w.advance(step)
	},
	Unknown: func(w *world) {
		w.submit("j", 2)
		w.until(w.targetIn(Running), 10*time.Second)
		w.cutTarget()
		w.until(w.targetIn(Unknown), 20*time.Second)
	},
}

// cutTarget makes a new owner that can't reach the target's worker, which the
// old owner keeps alive.
func (w *world) cutTarget() {
	x := w.targetWorker()
	x.unreachable, x.keptUntil = true, w.now.Add(10*time.Minute)
	w.east().own()
}

func (w *world) finishTarget(o Outcome) {
	w.targetWorker().finish(target, o)
	w.heal()
}

// trigger has, for each event, what makes it happen.
var trigger = map[string]func(*world){
	"place": func(w *world) { w.east().holdConfig = false },
	"park": func(w *world) {
		w.failAll(true)
		w.east().holdConfig = false
		w.until(w.targetIn(Parked), time.Minute)
	},
	"cancel":           func(w *world) { w.cancel("j") },
	"hand_over":        func(w *world) { w.out(true); w.east().holdConfig = false; w.run(time.Second) },
	"release":          func(w *world) { w.failAll(false); w.east().step(Event{Released: &JobReleased{"j"}}) },
	"confirm_transfer": func(w *world) { w.holdPeers = false },
	"started":          func(w *world) { w.east().muted = false },
	"complete":         func(w *world) { w.finishTarget(OutcomeCompleted) },
	"fail":             func(w *world) { w.finishTarget(OutcomeFailed) },
	"exhaust":          func(w *world) { w.finishTarget(OutcomeFailed) },
	"ended":            func(w *world) { w.finishTarget(OutcomeStopped) },
	"stop":             func(w *world) { w.cancel("j"); w.advance(step) },
	"evict":            func(w *world) { w.act(func(c *Core, t *Task) { c.evict(t, "test") }) },
	"checkpoint":       func(w *world) { w.act(func(c *Core, t *Task) { c.checkpoint(t, "test") }) },
	"checkpointed":     func(w *world) { w.heal() },
	"stopped":          func(w *world) { w.heal() },
	"evicted":          func(w *world) { w.heal() },
	"found":            func(w *world) { w.heal() },
	"found_stopping":   func(w *world) { w.cancel("j"); w.advance(step); w.heal() },
	"lose":             func(w *world) { w.targetWorker().unreachable = true; w.run(16 * time.Second) },
	"refused":          func(w *world) { w.heal(); w.run(6 * time.Second) },
	"expire":           func(w *world) { w.coarse(16 * time.Minute) },
}

// special has what differs for some transitions.
var special = map[string]struct{ reach, trigger func(*world) }{
	"starting refused": {reach: func(w *world) {
		for _, x := range w.east().workers {
			x.refuse = true
		}
		reach[Starting](w)
	}},
	"stopping evicted": {reach: func(w *world) {
		reach[Running](w)
		w.east().muted = true
		trigger["evict"](w)
	}},
	"stopping stop": {reach: func(w *world) {
		reach[Running](w)
		w.east().muted = true
		trigger["evict"](w)
	}},
	"stopping complete": {reach: func(w *world) {
		reach[Running](w)
		w.targetWorker().finish(target, OutcomeCompleted)
		w.east().muted = true
		w.cancel("j")
		w.advance(step)
	}},
	"stopping lose": {reach: func(w *world) {
		reach[Running](w)
		w.targetWorker().unreachable = true
		w.cancel("j")
		w.advance(step)
	}},
	"checkpointing complete": {reach: func(w *world) {
		reach[Running](w)
		w.east().muted = true
		w.targetWorker().finish(target, OutcomeCompleted)
		w.act(func(c *Core, t *Task) { c.checkpoint(t, "test") })
	}},
	"checkpointing fail":    {reach: func(w *world) { endBeforeCheckpoint(w, OutcomeFailed) }},
	"checkpointing ended":   {reach: func(w *world) { endBeforeCheckpoint(w, OutcomeStopped) }},
	"checkpointing exhaust": {reach: func(w *world) { failFour(w); endBeforeCheckpoint(w, OutcomeFailed) }},
	"checkpointing lose": {reach: func(w *world) {
		reach[Running](w)
		w.targetWorker().unreachable = true
		w.act(func(c *Core, t *Task) { c.checkpoint(t, "test") })
	}},
	"starting exhaust": {reach: func(w *world) {
		failFour(w)
		w.until(w.targetIn(Starting), 20*time.Second)
		w.east().muted = true
	}},
	"running exhaust": {reach: func(w *world) { failFour(w); w.until(w.targetIn(Running), 20*time.Second) }},
	"unknown exhaust": {reach: func(w *world) {
		failFour(w)
		w.until(w.targetIn(Running), 20*time.Second)
		w.cutTarget()
		w.until(w.targetIn(Unknown), 20*time.Second)
	}},
	"unknown stopped": {trigger: func(w *world) { w.cancel("j"); w.finishTarget(OutcomeStopped) }},
}

func endBeforeCheckpoint(w *world, o Outcome) {
	w.until(w.targetIn(Running), 20*time.Second)
	if w.east().core.tasks[target] == nil {
		reach[Running](w)
	}
	w.east().muted = true
	w.targetWorker().finish(target, o)
	w.act(func(c *Core, t *Task) { c.checkpoint(t, "test") })
}

// failFour leaves the target with one failure less than it may have.
func failFour(w *world) {
	w.failAll(true)
	w.submit("j", 1)
	w.until(func() bool { t := w.east().core.tasks[target]; return t != nil && t.Failures == maxFailures-1 }, time.Minute)
	w.failAll(false)
}

// heal ends every fault of the network and the workers.
func (w *world) heal() {
	w.dropUntil, w.doubleUntil, w.lateUntil, w.holdPeers = time.Time{}, time.Time{}, time.Time{}, false
	for _, s := range w.sites {
		s.muted, s.holdConfig, s.storeDown, s.answerLost = false, false, time.Time{}, time.Time{}
		for _, x := range s.workers {
			x.unreachable, x.dead, x.failAll, x.refuse = false, false, false, false
		}
	}
}

// align lets time pass up to a second at which sessions renew leases, so that
// larger steps don't miss them.
func (w *world) align() {
	for w.now.UnixMilli()%1000 != 0 && w.problem == nil {
		w.advance(step)
	}
}

// coarseStep is the longest step in which sessions keep their leases.
const coarseStep = 5 * time.Second

// coarse lets a long time pass in larger steps.
func (w *world) coarse(d time.Duration) {
	w.align()
	for end := w.now.Add(d); w.now.Before(end) && w.problem == nil; {
		w.advance(coarseStep)
	}
}

// settle heals the world and waits until all work has ended or runs.
func (w *world) settle() error {
	w.run(8 * time.Second) // no owner is paused for longer
	w.heal()
	w.slow(false)
	if len(w.config.DomainsOut) > 0 {
		w.out(false)
	}
	w.release()
	w.until(w.settled, 20*time.Second)
	w.align()
	for i := 0; i < 4000 && w.problem == nil && !w.settled(); i++ {
		w.release()
		w.advance(coarseStep)
	}
	if w.problem == nil && !w.settled() {
		w.fail(fmt.Errorf("not settled: %s%s", w.sites[0], w.sites[1]))
	}
	return w.problem
}

// release is an operator who releases what is parked.
func (w *world) release() {
	for _, s := range w.sites {
		for id, j := range s.core.jobs {
			if j.Parked != "" {
				s.step(Event{Released: &JobReleased{id}})
			}
		}
	}
}

// faults are what can go wrong at any moment.
var faults = map[string]func(*world){
	"process killed": func(w *world) { w.east().own() },
	"process paused": func(w *world) {
		s := w.east()
		commands, epoch := s.waiting, s.epoch
		if w.random.IntN(2) == 0 {
			s.append(s.group)
		} else {
			commands = nil
		}
		s.group, s.waiting = nil, nil
		s.pausedUntil = w.now.Add(7 * time.Second)
		for _, k := range commands {
			s.zombie = append(s.zombie, func() { s.carryOut(k, epoch) })
		}
	},
	"message lost":      func(w *world) { w.dropUntil = w.now.Add(2 * time.Second) },
	"message doubled":   func(w *world) { w.doubleUntil = w.now.Add(4 * time.Second) },
	"message late":      func(w *world) { w.lateUntil = w.now.Add(4 * time.Second) },
	"store answer lost": func(w *world) { w.east().answerLost = w.now.Add(3 * time.Second) },
	"store down":        func(w *world) { w.east().storeDown = w.now.Add(5 * time.Second) },
	"domain cut off": func(w *world) {
		s := w.east()
		s.storeDown, w.holdPeers = w.now.Add(15*time.Second), true
		w.later(15*time.Second, func() { w.holdPeers = false })
		if w.random.IntN(2) == 0 {
			s.own()
			s.storeDown = time.Time{}
			for _, x := range s.workers {
				x.unreachable, x.keptUntil = true, w.now.Add(15*time.Second)
				w.later(15*time.Second, func() { x.unreachable = false })
			}
		}
	},
	"operators racing": func(w *world) {
		w.out(true)
		w.east().step(Event{Config: &ConfigConfirmed{Config: w.config, At: w.now}})
		w.submit("j", 2)
		w.later(time.Second, func() { w.out(false) })
		w.later(1500*time.Millisecond, func() {
			w.east().step(Event{Config: &ConfigConfirmed{Config: w.stale, At: w.now}})
		})
	},
	"worker lost": func(w *world) {
		x := w.targetWorker()
		x.dead = true
		clear(x.running)
		w.later(15*time.Second, func() { x.dead = false })
	},
}

func (w *world) later(d time.Duration, f func()) {
	w.mail = append(w.mail, letter{w.now.Add(d), f})
}

// transition is one edge of a chart with the way to take it.
type transition struct {
	name           string
	workers        int
	reach, trigger func(*world)
}

func taskTransitions() []transition {
	var list []transition
	for _, e := range charts.Task.Transitions() {
		name := string(e.From) + " " + string(e.Event)
		t := transition{name: "task " + name, workers: 3, reach: reach[e.From], trigger: trigger[string(e.Event)]}
		if s := special[name]; s.reach != nil {
			t.reach = s.reach
		}
		if s := special[name]; s.trigger != nil {
			t.trigger = s.trigger
		}
		if e.Event == "exhaust" {
			t.workers = 1
		}
		list = append(list, t)
	}
	return list
}

// play takes a transition with a fault before and one after its trigger.
func play(t transition, before, after string) *world {
	seed := fnv.New64a()
	fmt.Fprint(seed, t.name, before, after)
	w := newWorld(seed.Sum64(), t.workers)
	w.slow(true)
	w.until(w.settled, 40*time.Second)
	if w.problem == nil && !w.settled() {
		w.fail(fmt.Errorf("the world does not start"))
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

// TestFaultMatrix takes every transition of the charts without a fault, with
// each fault, and with each pair of faults. It guards against work that is
// lost, runs twice or never ends, and against a replay that differs.
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
					w := play(x, before, after)
					if before == "" && after == "" {
						c.Check(w.seen[x.name], quicktest.IsTrue, quicktest.Commentf("not taken: %s", x.name))
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
