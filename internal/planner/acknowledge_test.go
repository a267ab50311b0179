package planner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestStoppedEndIsAcknowledged guards against an end that a worker lists until
// another job changes, because the job of the ended run has nothing to commit.
func TestStoppedEndIsAcknowledged(t *testing.T) {
	for name, tt := range map[string]struct {
		job string
		// isUnread is set if the job may still arrive from the store.
		isUnread bool
	}{"job is cancelled": {"1", false}, "job is not known": {"unknown", true}} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 8)).registerWorkers()
			d.add(job("1", step(1, 1)))
			run := d.startTasks()[0].Run
			d.poll("a")
			d.p.Cancel(d.now, "1")
			d.commit()
			run.Job = tt.job
			d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, Ended: []planner.RunEnd{{Number: 1, Run: run, Kind: planner.EndStopped}}})
			if tt.isUnread {
				d.advance(time.Millisecond)
				d.p.JobsRead(d.now)
				d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now})
			}
			d.Assert(d.p.Changes(100), quicktest.HasLen, 0)
			d.Assert(d.p.Contacts(d.now)[0].Acknowledge, quicktest.Equals, uint64(1))
		})
	}
}

// TestEndsAreAcknowledgedWhileMoreArrive guards against ends that a worker lists
// for ever because each of its answers has a new end, and the window in which a
// poll may acknowledge has passed when that end is committed.
func TestEndsAreAcknowledgedWhileMoreArrive(t *testing.T) {
	const (
		commitTime = 200 * time.Millisecond
		planTime   = 10 * time.Millisecond
	)
	d := newDriver(t, 1, worker("a", 40)).registerWorkers()
	d.add(job("1", step(40, 1)))
	starts := d.startTasks()
	d.poll("a")
	var ends []planner.RunEnd
	var changes []planner.Change
	var committedAt time.Time
	for i := range 300 {
		d.advance(planTime)
		if i%10 == 0 {
			ends = append(ends, planner.RunEnd{Number: uint64(i/10 + 1), Run: starts[i/10].Run, Kind: planner.EndDone})
			d.running["a"] = d.running["a"][1:]
		}
		if len(changes) > 0 && !d.now.Before(committedAt) {
			d.p.Committed(changes)
			changes = nil
		}
		if c := d.p.Contacts(d.now)[0]; c.NeedsPoll && len(ends) > 0 {
			ends = slices.DeleteFunc(ends, func(e planner.RunEnd) bool { return e.Number <= c.Acknowledge })
			d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, Acknowledged: c.Acknowledge, Running: d.running["a"], Ended: ends})
		}
		if len(changes) == 0 {
			changes, committedAt = d.p.Changes(100), d.now.Add(commitTime)
		}
	}
	// An end is read within one poll, committed within two commits and
	// acknowledged by one of the next polls.
	d.Assert(len(ends) < 10, quicktest.IsTrue, quicktest.Commentf("%d of 30 ends are not acknowledged", len(ends)))
}

// TestEndsOfNewProcessAreAcknowledged guards against ends that a new process lists
// for ever because a poll of the ended process with its id acknowledged as many.
func TestEndsOfNewProcessAreAcknowledged(t *testing.T) {
	w := worker("a", 8)
	d := newDriver(t, 1, w).registerWorkers()
	d.add(job("1", step(3, 1)))
	starts := d.startTasks()
	d.endRun(starts[0], planner.EndDone)
	d.endRun(starts[1], planner.EndDone)
	d.commit()
	end := planner.RunEnd{Number: 1, Run: starts[2].Run, Kind: planner.EndDone}
	d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, ProcessStart: 2, Acknowledged: 2, Ended: []planner.RunEnd{end}})
	d.commit()
	c := d.p.Contacts(d.now)[0]
	d.Assert(c.Acknowledge, quicktest.Equals, uint64(1))
	d.Assert(c.NeedsPoll, quicktest.IsTrue)
}

// TestAcknowledgementIsNotRepeated guards against ends that are lost because a poll which
// acknowledges ends of an earlier process reaches the next one with its id.
func TestAcknowledgementIsNotRepeated(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", step(2, 1)))
	starts := d.startTasks()
	d.endRun(starts[0], planner.EndDone)
	d.commit()
	d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, Acknowledged: 1, Running: d.running["a"]})
	c := d.p.Contacts(d.now)[0]
	d.Assert(c.NeedsPoll, quicktest.IsTrue)
	d.Assert(c.Acknowledge, quicktest.Equals, uint64(0))
}
