package planner_test

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestUnlistedRunMayStillStart guards against a second run of a task when an
// answer to a poll doesn't list the first one, although its start may still be
// under way: answers overtake each other, and an unanswered start may be carried
// out seconds later until the worker has confirmed a stop of the run.
func TestUnlistedRunMayStillStart(t *testing.T) {
	for name, tt := range map[string]struct {
		do func(d *driver, start planner.Command)
		// again is set if the task may start again.
		again bool
	}{
		"start not answered yet": {func(d *driver, start planner.Command) {
			d.answerEmpty(start, d.now)
		}, false},
		"poll sent before the start was answered": {func(d *driver, start planner.Command) {
			sent := d.now
			d.advance(100 * time.Millisecond)
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Started, "")
			d.answerEmpty(start, sent)
		}, false},
		"partial answer after the start was answered": {func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Started, "")
			d.advance(100 * time.Millisecond)
			d.p.PollAnswered(d.now, start.WorkerID, planner.PollResult{Sent: d.now, IsPartial: true})
		}, false},
		"poll sent after the start was answered": {func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Started, "")
			d.advance(100 * time.Millisecond)
			d.answerEmpty(start, d.now)
		}, true},
		"no answer, stop not confirmed": {func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
			d.advance(12 * time.Second)
			d.answerEmpty(start, d.now)
		}, false},
		"no answer, poll sent before the stop was confirmed": {func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
			sent := d.now
			d.advance(100 * time.Millisecond)
			d.p.StopAnswered(d.now, start.Run, start.WorkerID)
			d.answerEmpty(start, sent)
		}, false},
		"no answer, partial answer after the stop": {func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
			d.p.StopAnswered(d.now, start.Run, start.WorkerID)
			d.advance(100 * time.Millisecond)
			d.p.PollAnswered(d.now, start.WorkerID, planner.PollResult{Sent: d.now, IsPartial: true})
		}, false},
		"no answer, poll sent after the stop was confirmed": {func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
			d.p.StopAnswered(d.now, start.Run, start.WorkerID)
			d.advance(100 * time.Millisecond)
			d.answerEmpty(start, d.now)
		}, false},
		"no answer, and it can't arrive any more": {func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
			d.advance(planner.LateCallLimit + time.Millisecond)
			d.answerEmpty(start, d.now)
		}, true},
		"listed, and then the start has no answer": {func(d *driver, start planner.Command) {
			d.running[start.WorkerID] = []planner.RunStatus{{Run: start.Run}}
			d.poll(start.WorkerID)
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
			d.advance(100 * time.Millisecond)
			d.answerEmpty(start, d.now)
		}, false},
		"start not answered yet, poll sent later": {func(d *driver, start planner.Command) {
			d.advance(300 * time.Millisecond)
			d.answerEmpty(start, d.now)
		}, false},
		"listed, and the answer to an earlier poll arrives later": {func(d *driver, start planner.Command) {
			sent := d.now
			d.advance(100 * time.Millisecond)
			d.running[start.WorkerID] = []planner.RunStatus{{Run: start.Run}}
			d.poll(start.WorkerID)
			d.answerEmpty(start, sent)
		}, false},
		"listed, and a later poll doesn't list it": {func(d *driver, start planner.Command) {
			d.running[start.WorkerID] = []planner.RunStatus{{Run: start.Run}}
			d.poll(start.WorkerID)
			d.advance(100 * time.Millisecond)
			d.answerEmpty(start, d.now)
		}, true},
		"listed, and then the start is refused": {func(d *driver, start planner.Command) {
			d.running[start.WorkerID] = []planner.RunStatus{{Run: start.Run}}
			d.poll(start.WorkerID)
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Refused, "old")
			d.advance(200 * time.Millisecond)
		}, false},
		"refused": {func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Refused, "room")
			d.advance(200 * time.Millisecond)
		}, true},
		"no answer, listed after the stop was confirmed": {func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
			d.p.StopAnswered(d.now, start.Run, start.WorkerID)
			d.advance(100 * time.Millisecond)
			d.running[start.WorkerID] = []planner.RunStatus{{Run: start.Run}}
			d.poll(start.WorkerID)
		}, false},
		"no answer, and it is listed as stopped": {func(d *driver, start planner.Command) {
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
			d.endRun(start, planner.EndStopped)
		}, true},
		"listed as stopped, and then the start has no answer": {func(d *driver, start planner.Command) {
			d.endRun(start, planner.EndStopped)
			d.p.StartAnswered(d.now, start.Run, start.WorkerID, planner.Unclear, "no answer")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
			d.add(job("1", step(1, 1)))
			tt.do(d, d.p.Plan(d.now, d.proven())[0])
			d.Assert(len(d.startTasks()) > 0, quicktest.Equals, tt.again)
		})
	}
}

// TestAdoptedRunIsNotEndedByEarlierPoll guards against a second run of a task
// that a new owner has adopted, when the answer to a poll sent before that
// doesn't list it.
func TestAdoptedRunIsNotEndedByEarlierPoll(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8), worker("b", 8))
	for _, w := range d.workers {
		d.p.AddUnverifiedWorker(w)
	}
	d.add(job("1", step(1, 1)))
	run := planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}
	d.running["a"] = []planner.RunStatus{{Run: run}}
	d.registerWorkers()
	adopted := planner.Command{Run: run, WorkerID: "a"}
	for sent, want := range map[time.Time]int{d.now.Add(-time.Millisecond): 0, d.now: 0} {
		d.answerEmpty(adopted, sent)
		d.Assert(d.startTasks(), quicktest.HasLen, want)
	}
	d.advance(time.Second)
	d.answerEmpty(adopted, d.now)
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}

// answerEmpty answers a poll of the worker of a run, sent at a given time, with
// empty lists.
func (d *driver) answerEmpty(o planner.Command, sent time.Time) {
	d.p.PollAnswered(d.now, o.WorkerID, planner.PollResult{Sent: sent})
}

// TestLatePauseOfSlowTask guards against a slowed task that stands still for ever,
// because an earlier pause was carried out late and its pace is not sent again.
func TestLatePauseOfSlowTask(t *testing.T) {
	const interval, over, recovered = 200 * time.Millisecond, 0.02, -0.16
	for name, percent := range map[string]int{"in the first half of its work": 20, "in the second half of its work": 70} {
		t.Run(name, func(t *testing.T) {
			d := newBusyDriver(t, -1.5)
			others := step(3, 1)
			others.LongRunning, others.Image, others.LatencyTarget = true, "serving", time.Second
			d.add(job("others", others))
			d.Assert(d.startTasks(), quicktest.HasLen, 3)
			for i := range d.running["a"] {
				d.running["a"][i].Percent, d.running["a"][i].Tail = 100, 200*time.Millisecond
			}
			d.poll("a")
			s := step(1, 8)
			s.BestEffort, s.Image = true, "batch"
			j := job("batch", s)
			j.Queue.Slack = time.Minute
			d.add(j)
			d.Assert(d.startTasks(), quicktest.HasLen, 1)
			var paces []int
			report := func(level float64, cpu int64) {
				d.advance(interval)
				for i := range d.running["a"] {
					r := &d.running["a"][i]
					if r.Run.Job == "batch" {
						r.Percent, r.CPU = percent, cpu
					} else {
						r.Percent, r.Tail = 100, time.Duration(math.Exp(level)*float64(time.Second))
					}
				}
				d.poll("a")
				for _, o := range d.p.Plan(d.now, d.proven()) {
					if o.Kind == planner.PaceRun {
						paces = append(paces, o.Percent)
					}
				}
			}
			for range 15 {
				report(over, 8000)
			}
			d.Assert(paces[len(paces)-1], quicktest.Equals, 0)
			for range 25 {
				report(recovered, 0)
			}
			d.Assert(paces[len(paces)-1], quicktest.Equals, 20)
			paces = nil
			for range 15 {
				report(recovered, 0)
			}
			d.Assert(paces, quicktest.Contains, 20)
		})
	}
}
