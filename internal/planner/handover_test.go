package planner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// longRunningJob returns a job of long-running tasks.
func longRunningJob(id string, count int, cores int64) planner.Job {
	s := step(count, cores)
	s.LongRunning = true
	return job(id, s)
}

// newFullDriver returns a driver of a full shard in which all but one of the
// given long-running tasks wait for a place.
func newFullDriver(t *testing.T, tasks int) *driver {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(longRunningJob("1", tasks, 7))
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
	d.Assert(d.p.Unplaced(d.now), quicktest.HasLen, 0, quicktest.Commentf("a task may start here soon"))
	d.advance(time.Second)
	d.poll("a")
	d.startTasks()
	return d
}

// TestHandover guards against long-running tasks that wait indefinitely in a
// full shard, and against tasks that two shards consider their own.
func TestHandover(t *testing.T) {
	d := newFullDriver(t, 3)
	list := d.p.Unplaced(d.now)
	d.Assert(list, quicktest.DeepEquals, []planner.Unplaced{{Job: "1", Need: planner.Resources{CPU: 7000, Memory: 100}, Count: 2}})
	h, ok := d.p.HandOver(d.now, list[0], 1, "other")
	d.Assert(ok, quicktest.IsTrue)
	d.Assert(h.Job.IsPart, quicktest.IsTrue)
	d.Assert(h.Job.Arrived, quicktest.HasLen, 1)
	d.Assert(d.p.Unplaced(d.now)[0].Count, quicktest.Equals, 1)

	// With room for all tasks, only the task that was not handed over starts
	// here.
	d.workers = append(d.workers, worker("b", 64))
	d.registerWorkers()
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
	d.p.HandoverFailed(h)
	again := d.startTasks()
	d.Assert(again, quicktest.HasLen, 1, quicktest.Commentf("the handover was not stored"))
	d.Assert(again[0].Run.Index, quicktest.Equals, h.Job.Arrived[0].Index)
}

// TestArrival guards against reuse of attempt numbers that an earlier shard has
// used, and against a shard that starts tasks which were not handed over to it.
func TestArrival(t *testing.T) {
	d := newFullDriver(t, 3)
	h, _ := d.p.HandOver(d.now, d.p.Unplaced(d.now)[0], 2, "other")
	d.p.HandedOver(h)
	h.Job.Arrived[0].Attempt = 4003
	for name, tt := range map[string]struct {
		epoch    int64
		progress planner.Progress
		want     int
	}{
		"first owner": {1, planner.Progress{}, 2},
		"later owner": {3, planner.Progress{}, 2},
		"handed over again": {1, planner.Progress{Occurrences: []planner.OccurrenceProgress{{Tasks: []planner.TaskProgress{
			{Index: h.Job.Arrived[1].Index, Departure: &planner.Departure{Shard: "third", Move: 2}},
		}}}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			o := newDriver(t, tt.epoch, worker("b", 64)).registerWorkers()
			o.p.AddJob(o.now, h.Job, tt.progress)
			starts := o.startTasks()
			o.Assert(starts, quicktest.HasLen, tt.want)
			for _, s := range starts {
				if s.Run.Index == h.Job.Arrived[0].Index {
					o.Assert(s.Run.Attempt, quicktest.Equals, 4003+int(tt.epoch-1)*1000+1)
				}
			}
		})
	}
}

// TestReturn guards against the loss of a task that returns to a shard which
// had handed it over.
func TestReturn(t *testing.T) {
	d := newFullDriver(t, 2)
	h, _ := d.p.HandOver(d.now, d.p.Unplaced(d.now)[0], 1, "other")
	d.p.HandedOver(h)
	d.workers = append(d.workers, worker("b", 64))
	d.registerWorkers()
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	back := longRunningJob("1", 2, 7)
	back.Arrived = []planner.Arrival{{Index: h.Job.Arrived[0].Index, Attempt: 7, Move: 2}}
	d.add(back)
	starts := d.startTasks()
	d.Assert(starts, quicktest.HasLen, 1)
	d.Assert(starts[0].Run.Attempt, quicktest.Equals, 8)

	// A later owner reconstructs the same state from the stored progress, both
	// before and after the return.
	value, err := planner.Encode(h.Change.Progress)
	d.Assert(err, quicktest.IsNil)
	stored, err := planner.Decode[planner.Progress](value)
	d.Assert(err, quicktest.IsNil)
	before := newDriver(t, 2, worker("b", 64)).registerWorkers()
	before.p.AddJob(before.now, longRunningJob("1", 2, 7), stored)
	before.Assert(before.startTasks(), quicktest.HasLen, 1)
	o := newDriver(t, 2, worker("b", 64)).registerWorkers()
	o.p.AddJob(o.now, back, stored)
	o.Assert(o.startTasks(), quicktest.HasLen, 2)
}

// TestCancelNamesShards guards against a cancelled job whose tasks continue in
// the shards that received some of them.
func TestCancelNamesShards(t *testing.T) {
	d := newFullDriver(t, 3)
	h, _ := d.p.HandOver(d.now, d.p.Unplaced(d.now)[0], 1, "other")
	d.p.HandedOver(h)
	d.p.Cancel(d.now, "1")
	changes := d.p.Changes(10)
	d.Assert(changes, quicktest.HasLen, 1)
	d.Assert(changes[0].Cancels, quicktest.DeepEquals, []string{"other"})
	back := longRunningJob("1", 3, 7)
	back.Arrived = []planner.Arrival{{Index: h.Job.Arrived[0].Index, Move: 2}}
	d.add(back)
	d.workers = append(d.workers, worker("b", 64))
	d.registerWorkers()
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
}

// TestUrgentTaskGetsWorker reproduces the end of a partition on a full fleet,
// when long-running tasks moved from one full shard to the next and short tasks
// took the released capacity in each. A long-running task that has waited long
// enough must get a worker reserved, start there once enough short tasks have
// ended, and not be handed over meanwhile.
func TestUrgentTaskGetsWorker(t *testing.T) {
	// The small workers have free capacity, but none of them has enough.
	d := newDriver(t, 1, worker("a", 40), worker("b", 15), worker("c", 15), worker("d", 15)).registerWorkers()
	short := step(40, 1)
	short.RequiredLabel = "rack-a"
	d.add(job("short", short))
	d.Assert(d.startTasks(), quicktest.HasLen, 40)
	d.Assert(d.p.Room(d.now).Largest.CPU, quicktest.Equals, int64(40_000), quicktest.Commentf("the short tasks end soon"))
	part := longRunningJob("lasting", 2, 20)
	part.IsPart, part.Arrived = true, []planner.Arrival{{Index: 1, Attempt: 3, Move: 1, Waited: 3 * time.Second}}
	d.add(part)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(2 * time.Second)
	d.registerWorkers()
	d.add(job("more", short))
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.Assert(d.p.Unplaced(d.now), quicktest.HasLen, 0, quicktest.Commentf("a worker is reserved for the task"))
	for _, s := range slices.Clone(d.running["a"])[:20] {
		d.endRun(planner.Command{Run: s.Run, WorkerID: "a"}, planner.EndDone)
	}
	started := d.startTasks()
	d.Assert(started, quicktest.HasLen, 1)
	d.Assert(started[0].Run.Job, quicktest.Equals, "lasting")
	for _, s := range slices.Clone(d.running["a"])[:5] {
		if s.Run.Job == "short" {
			d.endRun(planner.Command{Run: s.Run, WorkerID: "a"}, planner.EndDone)
		}
	}
	d.Assert(len(d.startTasks()) > 0, quicktest.IsTrue, quicktest.Commentf("the remaining capacity is available to short tasks again"))
}

// TestReservedWorkerTakesOtherTasks guards against a reservation that keeps
// other long-running tasks off a large worker although it needs only half of
// it, and against short tasks that take the reserved capacity.
func TestReservedWorkerTakesOtherTasks(t *testing.T) {
	d := newDriver(t, 1, worker("a", 40), worker("b", 15), worker("c", 15), worker("d", 15), worker("e", 15)).registerWorkers()
	short := step(30, 1)
	short.RequiredLabel = "rack-a"
	d.add(job("short", short))
	d.Assert(d.startTasks(), quicktest.HasLen, 30)
	d.add(longRunningJob("large", 1, 20))
	d.startTasks()
	d.advance(2 * time.Second)
	d.registerWorkers()
	d.startTasks()
	d.Assert(d.decisionCounts["worker_kept"], quicktest.Equals, 1)
	for name, tt := range map[string]struct {
		cores int64
		want  int
	}{"fits beside the reservation": {8, 1}, "too large": {25, 0}} {
		small := step(1, tt.cores)
		small.RequiredLabel, small.LongRunning = "rack-a", true
		d.add(job(name, small))
		byJob := map[string]int{}
		for _, o := range d.startTasks() {
			byJob[o.Run.Job]++
		}
		d.Assert(byJob[name], quicktest.Equals, tt.want, quicktest.Commentf("%s", name))
	}
	d.add(job("more", short))
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
}

// TestTasksReserveDifferentWorkers guards against two tasks that take over each
// other's reservation in every plan, so that neither starts and neither is
// handed over.
func TestTasksReserveDifferentWorkers(t *testing.T) {
	d := newDriver(t, 1, worker("a", 40), worker("b", 15), worker("c", 15), worker("d", 15), worker("e", 15), worker("f", 15), worker("g", 15)).registerWorkers()
	short := step(40, 1)
	short.RequiredLabel = "rack-a"
	d.add(job("short", short))
	d.Assert(d.startTasks(), quicktest.HasLen, 40)
	d.add(longRunningJob("lasting", 2, 20))
	d.startTasks()
	d.advance(2 * time.Second)
	d.registerWorkers()
	d.startTasks()
	d.startTasks()
	d.Assert(d.decisionCounts["worker_kept"], quicktest.Equals, 1)
	list := d.p.Unplaced(d.now)
	d.Assert(list, quicktest.HasLen, 1)
	d.Assert(list[0].Count, quicktest.Equals, 1, quicktest.Commentf("a worker is reserved for the other task"))
	d.advance(4 * time.Second)
	d.registerWorkers()
	d.startTasks()
	d.Assert(d.p.Unplaced(d.now)[0].Count, quicktest.Equals, 2, quicktest.Commentf("the reservation has not led to a start in time"))
}

// TestRoomOfSuccessor guards against a new owner that announces the room which its own
// tasks need, while it holds them back because some workers have not answered. All
// other shards handed their tasks over to it at once.
func TestRoomOfSuccessor(t *testing.T) {
	d := newDriver(t, 2, worker("a", 40), worker("b", 40))
	for _, w := range d.workers {
		d.p.AddUnverifiedWorker(w)
	}
	d.add(longRunningJob("1", 4, 9))
	d.p.SetWorkers(d.now, d.workers)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("the tasks may run on the other worker"))
	r := d.p.Room(d.now)
	d.Assert(r.Free, quicktest.Equals, int64(40_000))
	d.Assert(r.Spare <= 4000, quicktest.IsTrue, quicktest.Commentf("%d", r.Spare))
	d.Assert(r.Largest.CPU, quicktest.Equals, int64(40_000))
	d.Assert(r.Rooms, quicktest.HasLen, 1)
	d.Assert(r.Rooms[0].CPU, quicktest.Equals, int64(4000), quicktest.Commentf("less the need of the tasks that wait"))

	d.add(longRunningJob("2", 1, 9))
	d.Assert(d.p.Room(d.now).Largest.CPU, quicktest.Equals, int64(0), quicktest.Commentf("the tasks of the shard need all of it"))
	d.poll("b")
	d.Assert(d.startTasks(), quicktest.HasLen, 5)
	r = d.p.Room(d.now)
	d.Assert(r.Spare > 0 && r.Largest.CPU > 0, quicktest.IsTrue, quicktest.Commentf("%+v", r))
}

// TestRoomBesideWiderTasks guards against room that is not announced because tasks
// wait which fit on no worker.
func TestRoomBesideWiderTasks(t *testing.T) {
	d := newFullDriver(t, 3)
	d.workers = append(d.workers, worker("b", 6))
	d.registerWorkers()
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.Assert(d.p.Room(d.now).Largest.CPU, quicktest.Equals, int64(6000))
}

// TestLateRunOfHandedOverTask guards against a run that a delayed start command
// creates in a shard which has handed over the task.
func TestLateRunOfHandedOverTask(t *testing.T) {
	d := newFullDriver(t, 2)
	h, _ := d.p.HandOver(d.now, d.p.Unplaced(d.now)[0], 1, "other")
	d.p.HandedOver(h)
	late := planner.RunID{TaskID: planner.TaskID{Job: "1", Index: h.Job.Arrived[0].Index}, Attempt: 1}
	d.running["a"] = append(d.running["a"], planner.RunStatus{Run: late, Percent: 100})
	d.poll("a")
	commands := d.p.Plan(d.now, d.proven())
	d.Assert(commands, quicktest.HasLen, 1)
	d.Assert(commands[0].Kind, quicktest.Equals, planner.StopRun)
	d.Assert(commands[0].Run, quicktest.Equals, late)
}

// TestHandoverAfterTakeover guards against reuse of attempt numbers by another
// shard after an earlier owner of this shard has used them.
func TestHandoverAfterTakeover(t *testing.T) {
	first := newDriver(t, 1, worker("a", 8)).registerWorkers()
	first.add(longRunningJob("1", 1, 7))
	used := first.startTasks()
	first.Assert(used, quicktest.HasLen, 1)

	// The worker is lost before the next owner has polled it.
	d := newDriver(t, 2, worker("b", 4))
	d.p.AddUnverifiedWorker(worker("a", 8))
	d.add(longRunningJob("1", 1, 7))
	d.registerWorkers()
	d.p.OtherProcessAnswered("a")
	d.startTasks()
	d.advance(time.Second)
	d.poll("b")
	d.startTasks()
	h, ok := d.p.HandOver(d.now, d.p.Unplaced(d.now)[0], 1, "other")
	d.Assert(ok, quicktest.IsTrue)
	o := newDriver(t, 1, worker("c", 8)).registerWorkers()
	o.p.AddJob(o.now, h.Job, planner.Progress{})
	again := o.startTasks()
	o.Assert(again, quicktest.HasLen, 1)
	o.Assert(again[0].Run.Attempt > used[0].Run.Attempt, quicktest.IsTrue, quicktest.Commentf("attempt %d after %d", again[0].Run.Attempt, used[0].Run.Attempt))
}

// TestTasksOfDrainingWorkerMoveOut guards against long-running tasks that stay on a worker
// until it is gone, and then wait for its leases to expire, although another shard has
// room for them; and against all of them moving for the room of one.
func TestTasksOfDrainingWorkerMoveOut(t *testing.T) {
	for name, tt := range map[string]struct {
		hasRoom, isDraining bool
		// stops is the number of tasks stopped within two plans at once, and later
		// that within a further second.
		stops, later int
	}{
		"room in another shard": {true, true, 1, 3},
		"no room":               {false, true, 0, 0},
		"not draining":          {true, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 16)).registerWorkers()
			d.add(longRunningJob("1", 4, 2))
			d.Assert(d.startTasks(), quicktest.HasLen, 4)
			d.poll("a")
			*d.hasRoom = tt.hasRoom
			d.workers[0].Draining, d.workers[0].Remaining = tt.isDraining, 7*time.Second
			d.p.SetWorkers(d.now, d.workers)
			stopped := map[planner.RunID]bool{}
			countStops := func() int {
				before := len(stopped)
				for _, o := range d.p.Plan(d.now, d.proven()) {
					if o.Kind == planner.StopRun {
						stopped[o.Run] = true
					}
				}
				return len(stopped) - before
			}
			d.Assert(countStops()+countStops(), quicktest.Equals, tt.stops)
			stops := 0
			for range 10 {
				d.advance(100 * time.Millisecond)
				stops += countStops()
			}
			d.Assert(stops, quicktest.Equals, tt.later)
		})
	}
}

// TestLeavesAt guards against a worker that is taken for gone too early, because what
// remains is counted from its first announcement, or too late, because an announcement
// counts again each time that it is read.
func TestLeavesAt(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	announce := func(remaining time.Duration) time.Duration {
		d.workers[0].Draining, d.workers[0].Remaining = true, remaining
		d.p.SetWorkers(d.now, d.workers)
		w, _ := d.p.Worker("a")
		return w.LeavesAt().Sub(d.now)
	}
	w, _ := d.p.Worker("a")
	d.Assert(w.LeavesAt().IsZero(), quicktest.IsTrue)
	d.Assert(announce(7*time.Second), quicktest.Equals, 7*time.Second)
	d.advance(time.Second)
	d.Assert(announce(7*time.Second), quicktest.Equals, 6*time.Second)
	d.advance(time.Second)
	d.Assert(announce(5500*time.Millisecond), quicktest.Equals, 5500*time.Millisecond)
}

// TestSuccessorKeepsCrashesSinceArrival guards against a task that goes on to crash
// workers because each owner of the shard that it was handed over to begins with the
// crashes from before the handover.
func TestSuccessorKeepsCrashesSinceArrival(t *testing.T) {
	crash := func(id string) planner.Crash { return planner.Crash{Worker: id, Born: 1, IsPrompt: true} }
	stored := []planner.Crash{crash("x"), crash("y"), crash("z")}
	for name, tt := range map[string]struct {
		progress planner.TaskProgress
		want     planner.State
	}{
		"crashed here":         {planner.TaskProgress{Crashes: stored}, planner.Failed},
		"not crashed here":     {planner.TaskProgress{Checkpoint: "c"}, planner.Running},
		"crashed here earlier": {planner.TaskProgress{Crashes: stored, Departure: &planner.Departure{Shard: "2", Move: 2}}, planner.Running},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 2)
			j := longRunningJob("1", 1, 1)
			j.IsPart = true
			j.Arrived = []planner.Arrival{{Move: 1, Crashes: stored[:1]}, {Move: 3, Crashes: stored[:2]}}
			d.p.AddJob(d.now, j, planner.Progress{Occurrences: []planner.OccurrenceProgress{{Tasks: []planner.TaskProgress{tt.progress}}}})
			d.p.Plan(d.now, d.proven())
			d.commit()
			state, _ := d.p.JobState("1")
			d.Assert(state, quicktest.Equals, tt.want)
		})
	}
}

// TestCancelNamesShardsOfReturnedTasks guards against records of a job that stay in another
// shard for ever, because all tasks had come back from it when the job was cancelled.
func TestCancelNamesShardsOfReturnedTasks(t *testing.T) {
	for name, change := range map[string]func(d *driver, back planner.Job, stored planner.Progress) *driver{
		"same owner": func(d *driver, back planner.Job, _ planner.Progress) *driver {
			d.add(back)
			return d
		},
		"later owner": func(_ *driver, back planner.Job, stored planner.Progress) *driver {
			o := newDriver(t, 3)
			o.p.AddJob(o.now, back, stored)
			return o
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newFullDriver(t, 2)
			failed, _ := d.p.HandOver(d.now, d.p.Unplaced(d.now)[0], 1, "failed")
			d.p.HandoverFailed(failed)
			h, _ := d.p.HandOver(d.now, d.p.Unplaced(d.now)[0], 1, "other")
			d.p.HandedOver(h)
			back := longRunningJob("1", 2, 7)
			back.Arrived = []planner.Arrival{{Index: h.Job.Arrived[0].Index, Attempt: 7, Move: 2}}
			d = change(d, back, h.Change.Progress)
			d.p.Cancel(d.now, "1")
			d.Assert(d.p.Changes(1)[0].Cancels, quicktest.DeepEquals, []string{"other"})
		})
	}
}

// TestRunOfUnreadArrival guards against the stop of a run whose task has arrived in this
// shard, because its owner has not read the arrival yet.
func TestRunOfUnreadArrival(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8)).registerWorkers()
	j := longRunningJob("1", 4, 1)
	j.IsPart = true
	j.Arrived = []planner.Arrival{{Index: 0, Move: 1}}
	d.add(j)
	d.startTasks()
	run := planner.RunID{TaskID: planner.TaskID{Job: "1", Index: 1}, Attempt: 1}
	d.running["a"] = append(d.running["a"], planner.RunStatus{Run: run, Percent: 100})
	d.poll("a")
	d.Assert(d.stopsOn("a", run), quicktest.IsFalse)
	j.Arrived = append(j.Arrived, planner.Arrival{Index: 1, Move: 1})
	d.add(j)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	// A run whose task has not arrived by the time the jobs are read again isn't needed.
	late := planner.RunID{TaskID: planner.TaskID{Job: "1", Index: 2}, Attempt: 1}
	d.running["a"] = append(d.running["a"], planner.RunStatus{Run: late, Percent: 100})
	d.poll("a")
	d.advance(time.Millisecond)
	d.p.JobsRead(d.now)
	d.poll("a")
	d.Assert(d.stopsOn("a", late), quicktest.IsTrue)
	// Nor is one of a job that is cancelled.
	cancelled := planner.RunID{TaskID: planner.TaskID{Job: "1", Index: 3}, Attempt: 1}
	d.running["a"] = append(d.running["a"], planner.RunStatus{Run: cancelled, Percent: 100})
	d.poll("a")
	d.p.Cancel(d.now, "1")
	d.poll("a")
	d.Assert(d.stopsOn("a", cancelled), quicktest.IsTrue)
	d.add(j)
	d.poll("a")
	d.Assert(d.p.Usage(d.now).Runs, quicktest.Equals, 4)
}
