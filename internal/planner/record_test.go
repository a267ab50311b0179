package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestNothingStartsWhileLeftOutOfStore guards against a second run of a task under
// a successor that doesn't know its worker. A list without the worker that is
// being stored may take effect at any time, also if the write isn't answered.
func TestNothingStartsWhileLeftOutOfStore(t *testing.T) {
	w, b := worker("a", 8), worker("b", 8)
	for name, tt := range map[string]struct {
		workers []planner.Worker
		// leave makes the stored list leave the worker out, and comeBack makes
		// it usable again.
		leave, comeBack func(d *driver)
	}{
		"its leases expired and then it answers": {
			[]planner.Worker{w, b},
			func(d *driver) {
				d.add(job("1", step(1, 1)))
				start := d.startTasks()[0]
				d.p.Leased(start.WorkerID, d.now.Add(6*time.Second))
				d.p.Unanswered(d.now, start.WorkerID)
				d.advance(7 * time.Second)
				d.p.Cancel(d.now, "1")
				d.startTasks()
			},
			func(d *driver) {
				d.running["a"] = nil
				d.poll("a")
			},
		},
		"an ended process is listed at its address": {
			[]planner.Worker{b},
			func(d *driver) {
				d.list(w, b)
				d.p.SetRecorded(d.p.Recorded(d.now))
				d.list(successor("late", w), w, b)
			},
			func(d *driver) {
				d.advance(time.Millisecond)
				d.answer(w, d.now, w.Born)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, tt.workers...).registerWorkers()
			d.p.SetEvacuatedDomains([]string{b.Domain})
			tt.leave(d)
			stored := d.p.Recorded(d.now)
			d.Assert(stored, quicktest.HasLen, 1)
			d.Assert(stored[0].ID, quicktest.Equals, "b")
			d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue, quicktest.Commentf("the write is not answered"))
			tt.comeBack(d)
			d.add(job("2", step(1, 1)))
			d.Assert(d.startTasks(), quicktest.HasLen, 0)
			d.p.SetRecorded(stored)
			d.Assert(d.startTasks(), quicktest.HasLen, 0)
			d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue)
			d.p.SetRecorded(d.p.Recorded(d.now))
			d.Assert(d.startTasks(), quicktest.HasLen, 1)
		})
	}
}

// TestLapsedWorkerIsPolled guards against a worker that is never used again, and
// whose ends are never acknowledged, because it didn't answer until its leases had
// expired and is then not called any more.
func TestLapsedWorkerIsPolled(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", step(1, 1)))
	start := d.startTasks()[0]
	d.p.Leased(start.WorkerID, d.now.Add(6*time.Second))
	d.p.Unanswered(d.now, start.WorkerID)
	d.advance(7 * time.Second)
	d.list(d.workers...)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.Assert(d.decisionCounts["worker_lapsed"], quicktest.Equals, 1)
	d.Assert(d.p.Contacts(d.now)[0].NeedsPoll, quicktest.IsTrue)
}

// TestLastEndsAreAcknowledged guards against ends that a worker lists for ever
// because it has no more runs, so that no poll tells it that they are committed.
func TestLastEndsAreAcknowledged(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", step(1, 1)))
	d.endRun(d.startTasks()[0], planner.EndDone)
	d.commit()
	c := d.p.Contacts(d.now)[0]
	d.Assert(c.Acknowledge, quicktest.Equals, uint64(1))
	d.Assert(c.NeedsPoll, quicktest.IsTrue)
}

// TestNewProcessIsStoredFirst guards against starts on a process that the stored
// list of workers doesn't have, because the process that had its id before is there.
func TestNewProcessIsStoredFirst(t *testing.T) {
	w := worker("a", 8)
	d := newDriver(t, 1, w).registerWorkers()
	d.add(job("1", step(1, 1)))
	stored := d.p.Recorded(d.now)
	d.answer(w, d.now, 2)
	d.answer(w, d.now, 2)
	d.list(successor("a", w))
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.p.SetRecorded(stored)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}

// TestStartedJobStaysStarted guards against a job that a new owner shows as queued
// although a task of it has ended under the earlier owner.
func TestStartedJobStaysStarted(t *testing.T) {
	for name, kind := range map[string]planner.EndKind{"done": planner.EndDone, "failed": planner.EndFailed} {
		t.Run(name, func(t *testing.T) {
			second := step(1, 100)
			second.After = []int{0}
			j := job("1", step(1, 1), second)
			d := newDriver(t, 1, worker("a", 8)).registerWorkers()
			d.add(j)
			d.endRun(d.startTasks()[0], kind)
			changes := d.p.Changes(1)
			d.Assert(changes, quicktest.HasLen, 1)
			next := newDriver(t, 2, worker("a", 8)).registerWorkers()
			next.p.AddJob(next.now, j, changes[0].Progress)
			state, _ := next.p.JobState("1")
			next.Assert(state, quicktest.Equals, planner.Running)
			next.Assert(next.p.Pending()["queue"], quicktest.Equals, 0)
		})
	}
}

// TestJobRecordKeepsTimes guards against occurrences that are due too early for an owner
// that reads their job from the store. Records of earlier versions have whole seconds.
func TestJobRecordKeepsTimes(t *testing.T) {
	c := quicktest.New(t)
	j := job("1", step(1, 1))
	j.Times, j.First, j.Interval = 2, origin.Add(999*time.Millisecond), 1500*time.Millisecond
	j.Received = origin.Add(time.Microsecond)
	data, err := planner.Encode(j)
	c.Assert(err, quicktest.IsNil)
	read, err := planner.Decode[planner.Job](data)
	c.Assert(err, quicktest.IsNil)
	c.Assert(read.First.Equal(j.First), quicktest.IsTrue, quicktest.Commentf("%s", read.First))
	c.Assert(read.Received.Equal(j.Received), quicktest.IsTrue, quicktest.Commentf("%s", read.Received))

	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(read)
	d.advance(998 * time.Millisecond)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(time.Millisecond)
	d.Assert(d.startTasks(), quicktest.HasLen, 1)

	earlier, err := cbor.Marshal(j)
	c.Assert(err, quicktest.IsNil)
	read, err = planner.Decode[planner.Job](earlier)
	c.Assert(err, quicktest.IsNil)
	c.Assert(read.First.Unix(), quicktest.Equals, j.First.Unix())
	c.Assert(read.Interval, quicktest.Equals, j.Interval)
}

// TestAttemptsAfterLongOwnership guards against a successor whose attempts workers reject
// as old, because a task was started more often under its predecessors than there are
// attempts to an epoch.
func TestAttemptsAfterLongOwnership(t *testing.T) {
	j := longRunningJob("1", 1, 1)
	var stored planner.Progress
	last := 0
	for epoch := range int64(3) {
		d := newDriver(t, epoch+1, worker("a", 8)).registerWorkers()
		d.p.AddJob(d.now, j, stored)
		for i := range 2500 {
			d.advance(500 * time.Millisecond)
			for _, o := range d.p.Plan(d.now, d.proven()) {
				if o.Kind == planner.StartRun {
					d.Assert(o.Run.Attempt > last, quicktest.IsTrue, quicktest.Commentf("start %d of epoch %d: %d after %d", i, epoch+1, o.Run.Attempt, last))
					last = o.Run.Attempt
					d.p.StartAnswered(d.now, o.Run, o.WorkerID, planner.Refused, "")
				}
			}
			if changes := d.p.Changes(1); len(changes) > 0 && i%2 == 0 {
				stored = changes[0].Progress
				d.p.Committed(changes)
			}
		}
		d.Assert(last > int(epoch)*2000+2000, quicktest.IsTrue, quicktest.Commentf("only %d starts", last))
	}
}

// TestGangAfterAttemptsOfEpoch guards against a gang whose members each wait for a commit
// of their own once the attempts of an epoch are used up.
func TestGangAfterAttemptsOfEpoch(t *testing.T) {
	gang := step(4, 1)
	gang.Gang = true
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", gang))
	var ends []planner.RunEnd
	for i := range 4 {
		ends = append(ends, planner.RunEnd{Number: uint64(i + 1), Run: planner.RunID{TaskID: planner.TaskID{Job: "1", Index: i}, Attempt: 1000}, Kind: planner.EndStopped})
	}
	d.ends["a"] = ends
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	commits := 0
	for len(d.startTasks()) == 0 {
		d.commit()
		commits++
		d.advance(50 * time.Millisecond)
		d.Assert(commits < 50, quicktest.IsTrue)
	}
	d.Assert(commits, quicktest.Equals, 1)
}
