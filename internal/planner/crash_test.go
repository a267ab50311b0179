package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

const (
	// lifetime is how long after its start a deadly task ends its worker, which is
	// back after downtime as another process.
	lifetime = 10 * time.Millisecond
	downtime = 3 * time.Second
	// maxDeadlyStarts is how often a deadly task may start: after three crashes twice.
	maxDeadlyStarts = 5
)

// fleet simulates workers, some of whose tasks end them.
type fleet struct {
	*driver
	epoch    int64
	isDeadly func(planner.TaskID) bool
	// keepsID is set if a restarted worker has the id that it had.
	keepsID bool
	// isGang is set if the tasks of the job "deadly" end when one of them does.
	isGang bool
	// endless is set if no task ends by itself.
	endless bool
	// isUnanswered is set if starts of deadly tasks get no answer.
	isUnanswered bool
	// sent holds the start commands of the runs that are at work.
	sent map[planner.RunID]planner.Command
	// startedAt is when each of these runs started.
	startedAt map[planner.RunID]time.Time
	// backAt is when each worker that is down is back.
	backAt map[string]time.Time
	// starts counts the starts of each deadly task, and lost the runs of other
	// tasks that ended with a worker.
	starts map[planner.TaskID]int
	lost   int
	jobs   []planner.Job
	stored map[string]planner.Progress
}

func newFleet(t *testing.T, workers int, isDeadly func(planner.TaskID) bool) *fleet {
	var list []planner.Worker
	for n := range workers {
		list = append(list, worker(fmt.Sprintf("w%02d", n), 8))
	}
	return &fleet{
		driver: newDriver(t, 1, list...).registerWorkers(), epoch: 1, isDeadly: isDeadly, sent: map[planner.RunID]planner.Command{}, startedAt: map[planner.RunID]time.Time{},
		backAt: map[string]time.Time{}, starts: map[planner.TaskID]int{}, stored: map[string]planner.Progress{},
	}
}

func (f *fleet) submit(j planner.Job) {
	j.Received = f.now
	f.jobs = append(f.jobs, j)
	f.add(j)
}

// crash ends a worker: its calls fail at once until it is back.
func (f *fleet) crash(id string) {
	f.backAt[id] = f.now.Add(downtime)
	f.p.Disconnected(f.now, id)
	for run, c := range f.sent {
		if c.WorkerID == id {
			if !f.isDeadly(run.TaskID) {
				f.lost++
			}
			delete(f.sent, run)
		}
	}
	delete(f.running, id)
	delete(f.ends, id)
	for run, c := range f.sent {
		if _, isDown := f.backAt[c.WorkerID]; f.isGang && run.Job == "deadly" && !isDown {
			delete(f.sent, run)
			f.endRun(c, planner.EndBroken)
		}
	}
}

// restart starts another process at the address of a worker.
func (f *fleet) restart(id string) {
	delete(f.backAt, id)
	n := slices.IndexFunc(f.workers, func(w planner.Worker) bool { return w.ID == id })
	f.workers[n].Born++
	if !f.keepsID {
		f.workers[n].ID = fmt.Sprintf("%.3s-%d", id, f.workers[n].Born)
		f.p.OtherProcessAnswered(id)
	}
	f.p.PollAnswered(f.now, id, planner.PollResult{Sent: f.now, ProcessStart: f.workers[n].Born})
	f.p.SetWorkers(f.now, f.workers)
	f.p.SetRecorded(f.p.Recorded(f.now))
	f.pollProcess(f.workers[n])
}

func (f *fleet) pollProcess(w planner.Worker) {
	f.p.PollAnswered(f.now, w.ID, planner.PollResult{Sent: f.now, ProcessStart: w.Born, Running: f.running[w.ID], Ended: f.ends[w.ID]})
}

// run simulates the workers for a while.
func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.advance(lifetime) {
		for run, c := range f.sent {
			switch age := f.now.Sub(f.startedAt[run]); {
			case f.isDeadly(run.TaskID) && age >= lifetime:
				f.crash(c.WorkerID)
			case age >= time.Second && !f.endless:
				delete(f.sent, run)
				f.endRun(c, planner.EndDone)
			}
		}
		for _, w := range slices.Clone(f.workers) {
			if at, isDown := f.backAt[w.ID]; isDown && !f.now.Before(at) {
				f.restart(w.ID)
			} else if !isDown {
				f.pollProcess(w)
			} else {
				f.p.Disconnected(f.now, w.ID)
			}
		}
		for _, c := range f.p.Plan(f.now, f.proven()) {
			f.execute(c)
		}
		for _, c := range f.p.Changes(100) {
			f.stored[c.Job] = c.Progress
			f.p.Committed([]planner.Change{c})
		}
		f.p.SetRecorded(f.p.Recorded(f.now))
	}
}

// execute carries out a command, unless its worker is down.
func (f *fleet) execute(c planner.Command) {
	_, isDown := f.backAt[c.WorkerID]
	switch {
	case isDown:
		if c.Kind == planner.StartRun {
			f.p.StartAnswered(f.now, c.Run, c.WorkerID, planner.Unclear, "disconnected")
		}
	case c.Kind == planner.StartRun:
		f.sent[c.Run], f.startedAt[c.Run] = c, f.now
		if !f.isDeadly(c.Run.TaskID) {
			f.running[c.WorkerID] = append(f.running[c.WorkerID], planner.RunStatus{Run: c.Run, Percent: 1})
			f.p.StartAnswered(f.now, c.Run, c.WorkerID, planner.Started, "")
			return
		}
		f.starts[c.Run.TaskID]++
		if f.isUnanswered {
			f.p.StartAnswered(f.now, c.Run, c.WorkerID, planner.Unclear, "disconnected")
		} else {
			f.p.StartAnswered(f.now, c.Run, c.WorkerID, planner.Started, "")
		}
	case c.Kind == planner.StopRun:
		if _, ok := f.sent[c.Run]; ok && !f.isDeadly(c.Run.TaskID) {
			delete(f.sent, c.Run)
			f.endRun(c, planner.EndStopped)
		}
		f.p.StopAnswered(f.now, c.Run, c.WorkerID)
	}
}

// takeOver replaces the owner by one that knows what is stored.
func (f *fleet) takeOver(t *testing.T) {
	next := newDriver(t, f.epoch+1)
	f.epoch++
	recorded := f.p.Recorded(f.now)
	f.p = next.p
	for _, w := range recorded {
		f.p.AddUnverifiedWorker(w)
	}
	for _, j := range f.jobs {
		f.p.AddJob(f.now, j, f.stored[j.ID])
	}
	f.p.SetWorkers(f.now, f.workers)
	f.p.SetRecorded(f.p.Recorded(f.now))
}

// TestDeadlyTaskIsGivenUp guards against a task that crashes worker after worker, and
// against other tasks that are given up or lost with it.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	speculative := step(6, 1)
	speculative.Speculative = true
	longRunning := step(6, 1)
	longRunning.LongRunning = true
	gang := step(4, 1)
	gang.Gang = true
	for name, tt := range map[string]struct {
		step   planner.Step
		deadly func(planner.TaskID) bool
		change func(f *fleet)
		// takeOverEach is the time between two changes of the owner; 0 for none.
		takeOverEach time.Duration
	}{
		"one task":              {step(6, 1), func(id planner.TaskID) bool { return id.Index == 0 }, nil, 0},
		"all tasks":             {step(6, 1), func(planner.TaskID) bool { return true }, nil, 0},
		"with copies":           {speculative, func(id planner.TaskID) bool { return id.Index == 0 }, nil, 0},
		"all tasks with copies": {speculative, func(planner.TaskID) bool { return true }, nil, 0},
		"long-running":          {longRunning, func(id planner.TaskID) bool { return id.Index == 3 }, nil, 0},
		"gang":                  {gang, func(id planner.TaskID) bool { return id.Index == 1 }, func(f *fleet) { f.isGang = true }, 0},
		"workers keep their ids": {step(6, 1), func(id planner.TaskID) bool { return id.Index == 0 }, func(f *fleet) {
			f.keepsID = true
		}, 0},
		"starts without an answer": {step(6, 1), func(id planner.TaskID) bool { return id.Index == 0 }, func(f *fleet) {
			f.isUnanswered = true
		}, 0},
		"the owner changes": {step(6, 1), func(id planner.TaskID) bool { return id.Index == 0 }, nil, 4500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 16, func(id planner.TaskID) bool { return id.Job == "deadly" && tt.deadly(id) })
			if tt.change != nil {
				tt.change(f)
			}
			f.submit(job("beside", step(40, 1)))
			f.submit(job("deadly", tt.step))
			takeOverAt := f.now.Add(tt.takeOverEach)
			for n := range 40 {
				f.submit(job(fmt.Sprintf("later-%d", n), step(2, 1)))
				f.run(time.Second)
				if tt.takeOverEach > 0 && f.now.After(takeOverAt) && n < 12 {
					f.takeOver(t)
					takeOverAt = f.now.Add(tt.takeOverEach)
				}
			}
			for id, count := range f.starts {
				f.Assert(count <= maxDeadlyStarts, quicktest.IsTrue, quicktest.Commentf("%s started %d times", id, count))
			}
			state, _ := f.p.JobState("deadly")
			f.Assert(state, quicktest.Equals, planner.Failed)
			for _, j := range f.jobs[:len(f.jobs)-3] {
				if state, _ := f.p.JobState(j.ID); j.ID != "deadly" {
					f.Assert(state, quicktest.Equals, planner.Done, quicktest.Commentf("%s", j.ID))
				}
			}
			t.Logf("starts %v, %d runs of other tasks lost", f.starts, f.lost)
		})
	}
}

// TestCrashesFromOutsideGiveNothingUp guards against tasks that are given up because
// their workers crashed for a cause of their own.
func TestCrashesFromOutsideGiveNothingUp(t *testing.T) {
	for name, tt := range map[string]struct {
		crash func(f *fleet, round int)
	}{
		"half of the workers at once": {func(f *fleet, round int) {
			for n := range f.workers {
				if n%2 == round%2 {
					f.crash(f.workers[n].ID)
				}
			}
		}},
		"one worker after another": {func(f *fleet, round int) { f.crash(f.workers[round%len(f.workers)].ID) }},
		"silent workers": {func(f *fleet, round int) {
			id := f.workers[round%len(f.workers)].ID
			f.p.Unanswered(f.now, id)
			f.crash(id)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 16, func(planner.TaskID) bool { return false })
			for n := range 40 {
				f.submit(job(fmt.Sprintf("job-%d", n), step(20, 1)))
				f.run(500 * time.Millisecond)
				if n%8 == 7 {
					tt.crash(f, n/8)
				}
				f.run(500 * time.Millisecond)
			}
			f.run(20 * time.Second)
			for _, j := range f.jobs {
				state, _ := f.p.JobState(j.ID)
				f.Assert(state, quicktest.Equals, planner.Done, quicktest.Commentf("%s", j.ID))
			}
		})
	}
}

// TestCrashesMoveWithTask guards against a task that begins anew to crash workers in
// each shard that it is handed over to.
func TestCrashesMoveWithTask(t *testing.T) {
	f := newFleet(t, 4, func(planner.TaskID) bool { return true })
	s := step(1, 1)
	s.LongRunning = true
	j := job("deadly", s)
	j.IsPart = true
	j.Arrived = []planner.Arrival{{Move: 1, Attempt: 2, Crashes: []planner.Crash{{Worker: "x", Born: 1, IsPrompt: true}, {Worker: "y", Born: 1, IsPrompt: true}}}}
	f.submit(j)
	f.run(8 * time.Second)
	f.Assert(f.starts, quicktest.DeepEquals, map[planner.TaskID]int{{Job: "deadly"}: 1})
	state, _ := f.p.JobState("deadly")
	f.Assert(state, quicktest.Equals, planner.Failed)
}

// TestDisconnectedWorkerIsBack guards against tasks that are suspected, or given up,
// because connections to their worker were reset, also by an earlier owner.
func TestDisconnectedWorkerIsBack(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", step(1, 1)))
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
	crashes := func() (list []planner.Crash) {
		for _, c := range d.p.Changes(10) {
			for _, o := range c.Progress.Occurrences {
				for _, task := range o.Tasks {
					list = append(list, task.Crashes...)
				}
			}
		}
		return list
	}
	d.advance(10 * time.Millisecond)
	d.p.Disconnected(d.now, "a")
	d.advance(300 * time.Millisecond)
	d.startTasks()
	d.Assert(crashes(), quicktest.DeepEquals, []planner.Crash{{Worker: "a", Born: 1, IsPrompt: true}})
	stored := d.p.Changes(10)[0].Progress
	d.commit()
	d.advance(100 * time.Millisecond)
	d.poll("a")
	d.Assert(d.p.Changes(10), quicktest.HasLen, 1)
	d.Assert(crashes(), quicktest.HasLen, 0)

	next := newDriver(t, 2, worker("a", 8))
	next.running = d.running
	next.p.AddUnverifiedWorker(next.workers[0])
	next.p.AddJob(next.now, job("1", step(1, 1)), stored)
	next.registerWorkers()
	next.Assert(next.decisionCounts["not_suspected"], quicktest.Equals, 1)
	next.Assert(next.startTasks(), quicktest.HasLen, 0)
}

// TestCrashIsStoredBeforeRestart guards against a task that is started again although a
// new owner would not know of the crash under it.
func TestCrashIsStoredBeforeRestart(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
	d.add(job("1", step(1, 1)))
	start := d.startTasks()[0]
	d.advance(10 * time.Millisecond)
	d.p.Disconnected(d.now, start.WorkerID)
	d.advance(300 * time.Millisecond)
	d.p.OtherProcessAnswered(start.WorkerID)
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("the crash is not stored"))
	d.advance(time.Second)
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("the crash is not stored"))
	d.commit()
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}

// TestSuspectsKeepNoWorkerForLong guards against long-running tasks that find no place
// because tasks that were suspected once keep the workers for themselves.
func TestSuspectsKeepNoWorkerForLong(t *testing.T) {
	f := newFleet(t, 2, func(planner.TaskID) bool { return false })
	s := step(4, 1)
	s.LongRunning = true
	suspect := planner.Progress{Occurrences: []planner.OccurrenceProgress{{Tasks: []planner.TaskProgress{
		{Index: 0, Crashes: []planner.Crash{{Worker: "x"}}},
		{Index: 1, Crashes: []planner.Crash{{Worker: "y"}}},
		{Index: 2, Crashes: []planner.Crash{{Worker: "x"}, {Worker: "y"}}},
		{Index: 3, Crashes: []planner.Crash{{Worker: "x"}, {Worker: "y"}}},
	}}}}
	f.p.AddJob(f.now, job("suspects", s), suspect)
	f.submit(job("beside", s))
	f.endless = true
	f.run(4 * time.Second)
	f.Assert(f.sent, quicktest.HasLen, 8)
	f.run(6 * time.Second)
	f.Assert(f.stored["suspects"].Occurrences, quicktest.HasLen, 0, quicktest.Commentf("still suspected"))
}

// TestRepeatedCommonCrashes guards against tasks that are given up because many workers
// crash at once, again and again.
func TestRepeatedCommonCrashes(t *testing.T) {
	f := newFleet(t, 16, func(planner.TaskID) bool { return false })
	for n := range 6 {
		for range 4 {
			f.submit(job(fmt.Sprintf("job-%d", len(f.jobs)), step(20, 1)))
		}
		f.run(400 * time.Millisecond)
		for i := range f.workers {
			if (i+n)%2 == 0 && f.backAt[f.workers[i].ID].IsZero() {
				f.crash(f.workers[i].ID)
			}
		}
		f.run(3200 * time.Millisecond)
	}
	f.run(30 * time.Second)
	for _, j := range f.jobs {
		state, _ := f.p.JobState(j.ID)
		f.Assert(state, quicktest.Equals, planner.Done, quicktest.Commentf("%s", j.ID))
	}
}

// TestCrashBeforeOwnerEnds guards against a crash that a new owner doesn't know of
// although the last one lived on for a moment, and against starts by an owner that could
// not store a further crash.
func TestCrashBeforeOwnerEnds(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
	d.add(job("1", step(1, 1)))
	start := d.startTasks()[0]
	d.advance(10 * time.Millisecond)
	d.p.Disconnected(d.now, start.WorkerID)
	d.advance(30 * time.Millisecond)
	d.startTasks()
	d.Assert(d.p.Changes(10), quicktest.HasLen, 1)
	d.commit()
	d.advance(time.Second)
	d.p.OtherProcessAnswered(start.WorkerID)
	d.unprovenFor = 2 * time.Second
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("the ownership is not proven"))
	d.unprovenFor = 0
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}

// TestRollingCrashesGiveNothingUp guards against tasks that are given up because the few
// workers of a service crash one after another, each while the task has just started.
func TestRollingCrashesGiveNothingUp(t *testing.T) {
	f := newFleet(t, 3, func(planner.TaskID) bool { return false })
	f.submit(job("1", step(6, 1)))
	ages := []time.Duration{800 * time.Millisecond, 800 * time.Millisecond, 50 * time.Millisecond, 800 * time.Millisecond}
	id := planner.TaskID{Job: "1"}
	hits := 0
	for range 400 {
		f.run(20 * time.Millisecond)
		for run, c := range f.sent {
			if run.TaskID == id && hits < len(ages) && f.now.Sub(f.startedAt[run]) >= ages[hits] {
				hits++
				f.crash(c.WorkerID)
				f.run(downtime + 200*time.Millisecond)
			}
		}
	}
	f.Assert(hits, quicktest.Equals, len(ages))
	f.run(10 * time.Second)
	state, _ := f.p.JobState("1")
	f.Assert(state, quicktest.Equals, planner.Done)
}

// TestCrashBeforeAnswerIsApplied guards against a task that crashes its worker and isn't
// suspected, because the answer to its start is applied after the disconnection.
func TestCrashBeforeAnswerIsApplied(t *testing.T) {
	for name, tt := range map[string]struct {
		// decidedLater is set if the start was decided after the disconnection.
		decidedLater bool
		want         int
	}{"answered before the crash": {false, 1}, "decided after it": {true, 0}} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 8)).registerWorkers()
			d.add(longRunningJob("other", 1, 1))
			d.startTasks()
			d.poll("a")
			d.advance(10 * time.Second)
			d.poll("a")
			disconnect := func() {
				d.advance(time.Millisecond)
				d.p.Disconnected(d.now, "a")
				d.advance(time.Millisecond)
			}
			if tt.decidedLater {
				disconnect()
			}
			d.add(job("1", step(1, 1)))
			starts := d.p.Plan(d.now, d.proven())
			d.Assert(starts, quicktest.HasLen, 1)
			if !tt.decidedLater {
				disconnect()
			}
			d.p.StartAnswered(d.now, starts[0].Run, "a", planner.Started, "")
			d.advance(100 * time.Millisecond)
			d.p.Plan(d.now, d.proven())
			d.Assert(d.decisionCounts["suspected"], quicktest.Equals, tt.want)
		})
	}
}
