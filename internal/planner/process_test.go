package planner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// successor returns the process that follows an ended one at its address.
func successor(id string, ended planner.Worker) planner.Worker {
	w := ended
	w.ID, w.Born = id, ended.Born+1
	return w
}

// TestListedEndedProcessEndsNoRun guards against a second run of a task whose
// worker is removed because the list still shows the process that had its
// address before.
func TestListedEndedProcessEndsNoRun(t *testing.T) {
	ended := worker("a", 8)
	living := successor("b", ended)
	other := worker("c", 8)
	for name, list := range map[string][]planner.Worker{
		"ended process first": {ended, living, other},
		"ended process last":  {living, ended, other},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, living, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", step(1, 1)))
			d.Assert(d.startTasks(), quicktest.HasLen, 1)
			d.p.SetEvacuatedDomains(nil)
			for range 10 {
				d.advance(700 * time.Millisecond)
				d.p.SetWorkers(d.now, list)
				d.Assert(d.startTasks(), quicktest.HasLen, 0)
				d.poll(living.ID)
				d.Assert(d.decisionCounts["run_ended"], quicktest.Equals, 0)
			}
		})
	}
}

// answer answers a poll, sent at a given time, as the process started at born,
// which has no runs unless it is the worker's own.
func (d *driver) answer(w planner.Worker, sent time.Time, born int64) {
	result := planner.PollResult{Sent: sent, FenceOffset: d.fence(w.ID), ProcessStart: born}
	if born == w.Born {
		result.Running = d.running[w.ID]
	}
	d.p.PollAnswered(d.now, w.ID, result)
}

// TestEvidenceOfEndedProcess guards against runs that are taken for ended while
// their worker's process is alive, and against tasks that wait although it has
// ended.
func TestEvidenceOfEndedProcess(t *testing.T) {
	w, other := worker("a", 8), worker("c", 8)
	next := successor("b", w)
	lateEntry := w
	lateEntry.ID, lateEntry.EntryCreated = "late", 9
	sameID := successor("a", w)
	earlier := w
	earlier.Born = -1
	for name, tt := range map[string]struct {
		do func(d *driver)
		// again is set if the task starts again.
		again bool
	}{
		"another process is listed at its address":     {func(d *driver) { d.list(w, next, other) }, false},
		"only another process is listed":               {func(d *driver) { d.list(next, other) }, false},
		"an entry at its address was created later":    {func(d *driver) { d.list(w, lateEntry, other) }, false},
		"another process is listed under its id":       {func(d *driver) { d.list(sameID, other) }, false},
		"one started earlier is listed under its id":   {func(d *driver) { d.list(earlier, other) }, false},
		"another process at its address answers":       {func(d *driver) { d.list(w, next, other); d.answer(next, d.now, next.Born) }, true},
		"another process answered before it was known": {func(d *driver) { d.list(w, next, other); d.answer(next, origin.Add(-time.Second), next.Born) }, false},
		"another process answers a call for it":        {func(d *driver) { d.p.OtherProcessAnswered("a") }, true},
		"another process answers under its id":         {func(d *driver) { d.answer(w, d.now, sameID.Born) }, true},
		"one started earlier answers under its id":     {func(d *driver) { d.answer(w, d.now, earlier.Born) }, true},
		"another process answers in part":              {func(d *driver) { d.answerInPart(w, sameID.Born) }, true},
		"one started earlier answers in part":          {func(d *driver) { d.answerInPart(w, earlier.Born) }, true},
		"it answers in part":                           {func(d *driver) { d.answerInPart(w, w.Born) }, false},
		"it answers while another is listed under its id": {func(d *driver) {
			d.list(sameID, other)
			d.answer(w, d.now, w.Born)
			d.list(sameID, other)
		}, false},
		"it answers while another is listed at its address": {func(d *driver) {
			d.list(w, next, other)
			d.answer(w, d.now, w.Born)
			d.list(w, next, other)
			d.p.OtherProcessAnswered("b")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, w, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", step(1, 1)))
			d.Assert(d.startTasks(), quicktest.HasLen, 1)
			d.poll(w.ID)
			d.p.SetEvacuatedDomains([]string{w.Domain})
			d.advance(100 * time.Millisecond)
			tt.do(d)
			want := 0
			if tt.again {
				want = 1
			}
			d.Assert(d.startTasks(), quicktest.HasLen, want)
		})
	}
}

// answerInPart answers a poll of a worker as the process started at born, which
// lists no runs and has more ends to list.
func (d *driver) answerInPart(w planner.Worker, born int64) {
	d.p.PollAnswered(d.now, w.ID, planner.PollResult{Sent: d.now, FenceOffset: d.fence(w.ID), ProcessStart: born, IsPartial: true})
}

func (d *driver) list(workers ...planner.Worker) { d.p.SetWorkers(d.now, workers) }

// TestContestedWorkerGetsNoTask guards against starts on a process that may have
// ended, and against a worker that gets no task as long as the list shows another
// process that has ended.
func TestContestedWorkerGetsNoTask(t *testing.T) {
	w := worker("a", 8)
	next := successor("b", w)
	for name, list := range map[string][]planner.Worker{
		"same address": {w, next},
		"same id":      {successor("a", w)},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, w).registerWorkers()
			sent := d.now
			d.advance(100 * time.Millisecond)
			d.list(list...)
			// The other process may have started since this poll was sent.
			d.answer(w, sent, w.Born)
			d.add(job("1", step(1, 1)))
			d.Assert(d.startTasks(), quicktest.HasLen, 0)
			for _, c := range d.p.Contacts(d.now) {
				d.Assert(c.NeedsPoll && c.IsContested, quicktest.IsTrue)
			}
			d.answer(w, d.now, w.Born)
			for range 3 {
				d.list(append([]planner.Worker{w}, list...)...)
			}
			d.Assert(d.startTasks(), quicktest.HasLen, 1)
		})
	}
}

// TestStartReachesNewProcessOfSameID guards against a second run of a task whose
// first start was sent to an ended process and reaches the one that has its id.
func TestStartReachesNewProcessOfSameID(t *testing.T) {
	for name, outcome := range map[string]planner.StartOutcome{
		"start answered":   planner.Started,
		"start unanswered": planner.Unclear,
	} {
		t.Run(name, func(t *testing.T) {
			w, other := worker("a", 8), worker("c", 8)
			d := newDriver(t, 1, w, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", step(1, 1)))
			start := d.p.Plan(d.now, d.proven())[0]
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, outcome, "")
			d.p.Plan(d.now, d.proven())
			d.p.SetEvacuatedDomains([]string{w.Domain})
			d.advance(time.Millisecond)
			d.answer(w, d.now, 2)
			commands := d.p.Plan(d.now, d.proven())
			d.Assert(commands, quicktest.HasLen, 1)
			d.Assert(commands[0].Kind, quicktest.Equals, planner.StopRun)
			d.Assert(commands[0].Run, quicktest.Equals, start.Run)
			// The polls have the fence of the ended process.
			unfenced := planner.PollResult{ProcessStart: 2}
			d.advance(time.Millisecond)
			unfenced.Sent = d.now
			d.p.PollAnswered(d.now, w.ID, unfenced)
			d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("the stop is not confirmed"))
			d.p.StopAnswered(d.now, start.Run, start.WorkerID)
			d.advance(time.Millisecond)
			unfenced.Sent = d.now
			d.p.PollAnswered(d.now, w.ID, unfenced)
			if outcome == planner.Unclear {
				d.Assert(d.startTasks(), quicktest.HasLen, 0, quicktest.Commentf("a third process may get the start"))
				d.advance(planner.LateCallLimit)
			}
			d.Assert(d.startTasks(), quicktest.HasLen, 1)
		})
	}
}

// TestWithdrawnStartReachesNewProcessOfSameID guards against a run of a task whose
// start was withdrawn from a process that has ended and then reaches the one that
// has its id, which knows nothing of the stop.
func TestWithdrawnStartReachesNewProcessOfSameID(t *testing.T) {
	for name, tt := range map[string]struct {
		// do acts on the second start of the task.
		do     func(d *driver, again planner.Command)
		age    time.Duration
		isSent bool
	}{
		"task runs elsewhere": {func(*driver, planner.Command) {}, time.Second, true},
		"task is done":        {func(d *driver, again planner.Command) { d.endRun(again, planner.EndDone); d.commit() }, time.Second, true},
		"long ago":            {func(*driver, planner.Command) {}, 20 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			w, other := worker("a", 8), worker("c", 8)
			d := newDriver(t, 1, w, other).registerWorkers()
			d.p.SetEvacuatedDomains([]string{other.Domain})
			d.add(job("1", speculative(step(1, 1))))
			start := d.p.Plan(d.now, d.proven())[0]
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "")
			d.p.StopAnswered(d.now, start.Run, start.WorkerID)
			d.advance(time.Millisecond)
			d.answer(w, d.now, 1)
			d.p.SetEvacuatedDomains([]string{w.Domain})
			again := d.startTasks()
			d.Assert(again, quicktest.HasLen, 1)
			tt.do(d, again[0])
			d.advance(tt.age)
			d.answer(w, d.now, 1)
			d.p.Plan(d.now, d.proven())
			isPolled := slices.ContainsFunc(d.p.Contacts(d.now), func(c planner.Contact) bool { return c.ID == w.ID && c.NeedsPoll })
			d.Assert(isPolled, quicktest.Equals, tt.isSent)
			d.answer(w, d.now, 2)
			isSent := slices.ContainsFunc(d.p.Plan(d.now, d.proven()), func(o planner.Command) bool {
				return o.Kind == planner.StopRun && o.Run == start.Run && o.WorkerID == w.ID
			})
			d.Assert(isSent, quicktest.Equals, tt.isSent)
		})
	}
}

// TestEndsOfNewProcessAreRead guards against ends that are skipped because the
// worker's earlier process had listed more of them.
func TestEndsOfNewProcessAreRead(t *testing.T) {
	w := worker("a", 8)
	d := newDriver(t, 1, w).registerWorkers()
	d.add(job("1", step(2, 1)))
	for _, o := range d.startTasks() {
		d.endRun(o, planner.EndFailed)
	}
	d.commit()
	d.advance(time.Second)
	d.answer(w, d.now, 2)
	d.answer(w, d.now, 2)
	d.list(successor("a", w))
	d.p.SetRecorded(d.p.Recorded(d.now))
	again := d.startTasks()
	d.Assert(again, quicktest.HasLen, 2)
	d.advance(time.Second)
	d.p.PollAnswered(d.now, "a", planner.PollResult{Sent: d.now, ProcessStart: 2, Ended: []planner.RunEnd{
		{Number: 1, Run: again[0].Run, Kind: planner.EndDone}, {Number: 2, Run: again[1].Run, Kind: planner.EndDone},
	}})
	d.commit()
	state, _ := d.p.JobState("1")
	d.Assert(state, quicktest.Equals, planner.Done)
}

// TestEndedProcessIsNotAddedAgain guards against a process that gets no tasks as
// long as the list shows the ended one that had its address.
func TestEndedProcessIsNotAddedAgain(t *testing.T) {
	ended := worker("a", 8)
	living := successor("b", ended)
	d := newDriver(t, 1, ended).registerWorkers()
	d.list(ended, living)
	d.answer(living, d.now, living.Born)
	d.p.SetRecorded(d.p.Recorded(d.now))
	for range 3 {
		d.advance(700 * time.Millisecond)
		d.list(ended, living)
		d.add(job(d.now.String(), step(1, 1)))
		d.Assert(d.startTasks(), quicktest.HasLen, 1)
	}
}

// TestStoredListNamesProcess guards against tasks that start on a process while the
// stored list of workers names the one that had its id before.
func TestStoredListNamesProcess(t *testing.T) {
	w := worker("a", 8)
	d := newDriver(t, 1, w).registerWorkers()
	stored := d.p.Recorded(d.now)
	d.advance(time.Second)
	d.answer(w, d.now, w.Born+1)
	d.answer(w, d.now, w.Born+1)
	d.list(successor("a", w))
	d.p.SetRecorded(stored)
	d.add(job("1", step(1, 1)))
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}
