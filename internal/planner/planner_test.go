package planner_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// driver drives one planner and simulates the workers.
type driver struct {
	*quicktest.C
	p   *planner.Planner
	now time.Time
	// running holds the runs that each worker lists.
	running map[string][]planner.RunStatus
	workers []planner.Worker
	ends    map[string][]planner.RunEnd
	// unprovenFor is how long ago the ownership was last proven.
	unprovenFor time.Duration
	// decisionCounts counts the decisions by event.
	decisionCounts map[string]int
	// hasRoom is set while another shard has room for any task.
	hasRoom *bool
}

func (d *driver) proven() time.Time { return d.now.Add(-d.unprovenFor) }

var origin = time.Unix(1_000_000, 0)

func newDriver(t *testing.T, epoch int64, workers ...planner.Worker) *driver {
	return newDriverWith(t, epoch, func(*planner.Options) {}, workers...)
}

// newDriverWith returns a driver whose planner has changed options.
func newDriverWith(t *testing.T, epoch int64, change func(*planner.Options), workers ...planner.Worker) *driver {
	c := quicktest.New(t)
	decisionCounts, hasRoom := map[string]int{}, new(bool)
	o := planner.Options{
		OnDecision: func(d planner.Decision) { decisionCounts[d.Event]++ },
		HasRoom:    func(planner.Resources) bool { return *hasRoom },
		Epoch:      epoch, MaxFenceOffset: 15, Horizon: 7 * time.Second, ViolationLimit: 4 * time.Second, Retention: time.Minute,
		PredecessorLeaseEnd: origin.Add(13 * time.Second), WallTime: func(t time.Time) time.Time { return t },
	}
	change(&o)
	p, err := planner.New(o)
	c.Assert(err, quicktest.IsNil)
	return &driver{c, p, origin, map[string][]planner.RunStatus{}, workers, map[string][]planner.RunEnd{}, 0, decisionCounts, hasRoom}
}

// registerWorkers makes the workers known and recorded, and polls each of them.
func (d *driver) registerWorkers() *driver {
	d.p.SetWorkers(d.now, d.workers)
	d.p.SetRecorded(d.p.Recorded(d.now))
	for _, w := range d.workers {
		d.poll(w.ID)
	}
	return d
}

func (d *driver) poll(id string) {
	d.p.PollAnswered(d.now, id, planner.PollResult{Sent: d.now, FenceOffset: d.fence(id), Running: d.running[id], Ended: d.ends[id]})
}

// fence returns the fence of the calls to a worker.
func (d *driver) fence(id string) int64 {
	w, _ := d.p.Worker(id)
	return w.FenceOffset
}

func (d *driver) advance(t time.Duration) { d.now = d.now.Add(t) }

// startTasks plans, confirms the start commands and returns them. The workers
// list the runs from then on.
func (d *driver) startTasks() []planner.Command {
	var list []planner.Command
	for _, o := range d.p.Plan(d.now, d.proven()) {
		if o.Kind == planner.StartRun {
			list = append(list, o)
			d.running[o.WorkerID] = append(d.running[o.WorkerID], planner.RunStatus{Run: o.Run, Percent: 1})
			d.p.StartAnswered(d.now, o.Run, o.WorkerID, planner.Started, "")
		}
	}
	return list
}

// endRun ends a run on its worker.
func (d *driver) endRun(o planner.Command, kind planner.EndKind) {
	var left []planner.RunStatus
	for _, s := range d.running[o.WorkerID] {
		if s.Run != o.Run {
			left = append(left, s)
		}
	}
	d.running[o.WorkerID] = left
	d.ends[o.WorkerID] = append(d.ends[o.WorkerID], planner.RunEnd{Number: uint64(len(d.ends[o.WorkerID]) + 1), Run: o.Run, Kind: kind})
	d.poll(o.WorkerID)
}

func (d *driver) commit() {
	d.p.Committed(d.p.Changes(100))
}

func worker(id string, cores int64) planner.Worker {
	var last byte
	for _, c := range []byte(id) {
		last = last*31 + c
	}
	return planner.Worker{
		ID: id, Born: 1, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 80), Service: "service",
		Domain: "domain-" + id, Rack: "rack-" + id, Labels: []string{"kind", "rack-" + id},
		Capacity: planner.Resources{CPU: cores * 1000, Memory: 100_000},
	}
}

func step(count int, cores int64) planner.Step {
	return planner.Step{Count: count, Need: planner.Resources{CPU: cores * 1000, Memory: 100}, Estimate: time.Second}
}

func job(id string, steps ...planner.Step) planner.Job {
	q := planner.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2, Slack: time.Second}
	return planner.Job{ID: id, Queue: q, Payload: "payload", Steps: steps, Received: origin}
}

func (d *driver) add(j planner.Job) { d.p.AddJob(d.now, j, planner.Progress{}) }

// TestPlacement guards against starts on workers that can't or must not take
// the tasks.
func TestPlacement(t *testing.T) {
	labelled := step(1, 1)
	labelled.RequiredLabel = "special"
	few := step(4, 1)
	few.MaxPerWorker = 1
	for name, tt := range map[string]struct {
		step   planner.Step
		change func(d *driver)
		want   int
	}{
		"plain":               {step(2, 1), func(*driver) {}, 2},
		"full":                {step(9, 2), func(*driver) {}, 8},
		"too large":           {step(1, 9), func(*driver) {}, 0},
		"missing label":       {labelled, func(*driver) {}, 0},
		"one task per worker": {few, func(*driver) {}, 2},
		"domain taken out":    {step(8, 1), func(d *driver) { d.p.SetEvacuatedDomains([]string{"domain-a", "domain-b"}) }, 0},
		"draining": {step(16, 1), func(d *driver) {
			d.workers[0].Draining, d.workers[1].Draining = true, true
			d.p.SetWorkers(d.now, d.workers)
		}, 0},
		"not answering": {step(16, 1), func(d *driver) {
			d.p.Unanswered(d.now, "a")
			d.p.Unanswered(d.now, "b")
			d.advance(time.Second)
		}, 0},
		"lists a run of an unknown job": {step(16, 1), func(d *driver) {
			unknown := planner.RunStatus{Run: planner.RunID{TaskID: planner.TaskID{Job: "unknown"}, Attempt: 1}}
			d.running["a"] = append(d.running["a"], unknown)
			d.poll("a")
		}, 8},
		"other service": {step(1, 1), func(d *driver) {
			d.p.SetConfig(planner.Config{Queues: map[string]planner.Queue{"queue": {Name: "queue", Service: "other"}}})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
			d.add(job("1", tt.step))
			tt.change(d)
			d.Assert(d.startTasks(), quicktest.HasLen, tt.want)
		})
	}
}

// TestNothingStartsUnrecorded guards against a start on a worker that is not
// stored, which a successor would not know of.
func TestNothingStartsUnrecorded(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8))
	d.p.SetWorkers(d.now, d.workers)
	d.poll("a")
	d.add(job("1", step(1, 1)))
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
}

// TestGoneWorkerIsRemovedFromStore guards against a successor that waits for
// the answer of a worker which is long gone.
func TestGoneWorkerIsRemovedFromStore(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsFalse)
	d.p.SetWorkers(d.now, d.workers[:1])
	d.advance(3 * time.Second)
	d.startTasks()
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue)
	d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 1)
}

// TestDrainingWorkerIsRemovedFromStore guards against a successor that waits
// for the answer of a worker which was already idle when it shut down.
func TestDrainingWorkerIsRemovedFromStore(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
	d.add(job("1", step(2, 1)))
	starts := d.startTasks()
	d.Assert(starts, quicktest.HasLen, 2)
	d.workers[0].Draining, d.workers[1].Draining = true, true
	d.p.SetWorkers(d.now, d.workers)
	for _, o := range starts {
		d.Assert(d.p.NeedsRecord(d.now), quicktest.IsFalse)
		d.endRun(o, planner.EndDone)
		d.Assert(d.p.NeedsRecord(d.now), quicktest.IsFalse, quicktest.Commentf("the end is not stored"))
		d.commit()
		d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue)
		d.p.SetRecorded(d.p.Recorded(d.now))
	}
	d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 0)
}

// TestLostWorkerIsRemovedFromStore guards against a successor that waits for
// the answer of a worker whose leases have expired.
func TestLostWorkerIsRemovedFromStore(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
	d.add(job("1", step(1, 1)))
	start := d.startTasks()[0]
	d.p.Leased(start.WorkerID, d.now.Add(6*time.Second))
	d.p.Unanswered(d.now, start.WorkerID)
	d.advance(5 * time.Second)
	d.startTasks()
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsFalse, quicktest.Commentf("the run may still be on the worker"))
	d.advance(2 * time.Second)
	d.startTasks()
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue)
	d.p.SetRecorded(d.p.Recorded(d.now))
	d.Assert(d.p.Recorded(d.now), quicktest.HasLen, 1)
	d.running[start.WorkerID] = nil
	d.poll(start.WorkerID)
	d.Assert(d.p.NeedsRecord(d.now), quicktest.IsTrue, quicktest.Commentf("the worker may get tasks again"))
}

// TestSteps guards against a step that starts before the steps it depends on
// are done.
func TestSteps(t *testing.T) {
	second := step(1, 1)
	second.After = []int{0}
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", step(2, 1), second))
	first := d.startTasks()
	d.Assert(first, quicktest.HasLen, 2)
	d.endRun(first[0], planner.EndDone)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.endRun(first[1], planner.EndDone)
	last := d.startTasks()
	d.Assert(last, quicktest.HasLen, 1)
	d.endRun(last[0], planner.EndDone)
	state, _ := d.p.JobState("1")
	d.Assert(state, quicktest.Equals, planner.Running, quicktest.Commentf("done is shown before it is committed"))
	d.commit()
	state, _ = d.p.JobState("1")
	d.Assert(state, quicktest.Equals, planner.Done)
}

// TestEndsAreAcknowledgedAfterTheCommit guards against acknowledging the end of
// a task before its commit, after which a successor would run the task again.
func TestEndsAreAcknowledgedAfterTheCommit(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", step(2, 1)))
	d.endRun(d.startTasks()[0], planner.EndDone)
	d.Assert(d.p.Contacts(d.now)[0].Acknowledge, quicktest.Equals, uint64(0))
	d.commit()
	d.Assert(d.p.Contacts(d.now)[0].Acknowledge, quicktest.Equals, uint64(1))
}

// TestEndsOfOtherJobsWait guards against an end that is acknowledged by the
// commit of another job, whose task ended later on the same worker.
func TestEndsOfOtherJobsWait(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", step(1, 1)))
	d.add(job("2", step(1, 1)))
	for _, o := range d.startTasks() {
		d.endRun(o, planner.EndDone)
	}
	changes := d.p.Changes(2)
	d.Assert(changes, quicktest.HasLen, 2)
	d.p.Committed(changes[1:])
	d.Assert(d.p.Contacts(d.now)[0].Acknowledge, quicktest.Equals, uint64(0))
	d.p.Committed(changes[:1])
	d.Assert(d.p.Contacts(d.now)[0].Acknowledge, quicktest.Equals, uint64(2))
}

// TestFailures guards against counting a failure twice when a worker lists it
// again, and against more attempts than the queue allows.
func TestFailures(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
	d.add(job("1", step(1, 1)))
	first := d.startTasks()[0]
	d.endRun(first, planner.EndFailed)
	changes := d.p.Changes(10)
	d.Assert(changes[0].Progress.Occurrences[0].Tasks[0].Failures, quicktest.DeepEquals, []int{1})

	successor := newDriver(t, 2, d.workers...)
	for _, w := range d.workers {
		successor.p.AddUnverifiedWorker(w)
	}
	successor.p.AddJob(d.now, job("1", step(1, 1)), changes[0].Progress)
	successor.ends = d.ends
	successor.registerWorkers()
	successor.advance(time.Second)
	second := successor.startTasks()
	successor.Assert(second, quicktest.HasLen, 1)
	successor.Assert(second[0].WorkerID, quicktest.Not(quicktest.Equals), first.WorkerID)
	successor.Assert(second[0].Run.Attempt > 1000, quicktest.IsTrue)
	successor.endRun(second[0], planner.EndFailed)
	successor.advance(time.Second)
	successor.Assert(successor.startTasks(), quicktest.HasLen, 0)
	successor.commit()
	state, _ := successor.p.JobState("1")
	successor.Assert(state, quicktest.Equals, planner.Failed)
}

// TestRunsOfEndedJobsKeepReservation guards against an overcommitted worker: a
// run of an ended job holds its resources until the worker has stopped it.
func TestRunsOfEndedJobsKeepReservation(t *testing.T) {
	d := newDriver(t, 2, worker("a", 8))
	d.p.AddUnverifiedWorker(d.workers[0])
	d.p.AddJob(d.now, job("1", step(1, 6)), planner.Progress{State: planner.Done})
	d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "1"}, Attempt: 1}}}
	d.registerWorkers()
	d.add(job("2", step(1, 4)))
	commands := d.p.Plan(d.now, d.proven())
	d.Assert(commands, quicktest.HasLen, 1)
	d.Assert(commands[0].Kind, quicktest.Equals, planner.StopRun)
}

// TestCancel guards against a cancellation that clients see before it is
// stored, and against runs that continue after it.
func TestCancel(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", step(2, 1)))
	d.Assert(d.startTasks(), quicktest.HasLen, 2)
	d.Assert(d.p.Cancel(d.now, "1"), quicktest.IsTrue)
	d.Assert(d.p.Cancel(d.now, "2"), quicktest.IsFalse)
	state, _ := d.p.JobState("1")
	d.Assert(state, quicktest.Equals, planner.Running)
	commands := d.p.Plan(d.now, d.proven())
	d.Assert(commands, quicktest.HasLen, 2)
	for _, o := range commands {
		d.Assert(o.Kind, quicktest.Equals, planner.StopRun)
	}
	d.commit()
	state, _ = d.p.JobState("1")
	d.Assert(state, quicktest.Equals, planner.Cancelled)
}

// TestGang guards against a gang that starts only in part.
func TestGang(t *testing.T) {
	gang := step(4, 3)
	gang.Gang = true
	d := newDriver(t, 1, worker("a", 8), worker("b", 4)).registerWorkers()
	d.add(job("1", gang))
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	more := worker("c", 8)
	d.workers = append(d.workers, more)
	d.registerWorkers()
	all := d.startTasks()
	d.Assert(all, quicktest.HasLen, 4)
	for _, o := range all {
		d.Assert(o.Run.Attempt, quicktest.Equals, all[0].Run.Attempt)
	}
	d.endRun(all[0], planner.EndDone)
	d.commit()
	state, _ := d.p.JobState("1")
	d.Assert(state, quicktest.Equals, planner.Done)
}

// TestGangFailures guards against a gang that starts again after its last attempt
// because another task of it has failed each time.
func TestGangFailures(t *testing.T) {
	gang := step(3, 1)
	gang.Gang = true
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(job("1", gang))
	for n := range 2 {
		all := d.startTasks()
		d.Assert(all, quicktest.HasLen, 3)
		for i, o := range all {
			kind := planner.EndBroken
			if i == n {
				kind = planner.EndFailed
			}
			d.endRun(o, kind)
		}
		d.advance(time.Second)
	}
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.commit()
	state, _ := d.p.JobState("1")
	d.Assert(state, quicktest.Equals, planner.Failed)
}

// TestSchedule guards against occurrences that start before they are due.
func TestSchedule(t *testing.T) {
	j := job("1", step(1, 1))
	j.Times, j.First, j.Interval = 2, origin.Add(time.Second), 2*time.Second
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(j)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(time.Second)
	first := d.startTasks()
	d.Assert(first, quicktest.HasLen, 1)
	d.endRun(first[0], planner.EndDone)
	d.advance(2 * time.Second)
	second := d.startTasks()
	d.Assert(second, quicktest.HasLen, 1)
	d.Assert(second[0].Run.Occurrence, quicktest.Equals, 1)
	d.endRun(second[0], planner.EndDone)
	d.commit()
	state, _ := d.p.JobState("1")
	d.Assert(state, quicktest.Equals, planner.Done)
}

// TestOrder checks the order of jobs on a worker with room for one task: jobs
// that can still meet their objective go before late jobs, and among them the
// job with the least remaining work goes first.
func TestOrder(t *testing.T) {
	d := newDriver(t, 1, worker("a", 1)).registerWorkers()
	late := job("late", step(1, 1))
	late.Received = origin.Add(-10 * time.Second)
	d.add(late)
	d.add(job("large", step(5, 1)))
	d.add(job("small", step(1, 1)))
	var order []string
	for range 3 {
		o := d.startTasks()
		d.Assert(o, quicktest.HasLen, 1)
		order = append(order, o[0].Run.Job)
		d.endRun(o[0], planner.EndDone)
	}
	d.Assert(order, quicktest.DeepEquals, []string{"small", "large", "large"})
}

// TestSickWorker guards against a worker that fails every task and therefore
// always has room for more.
func TestSickWorker(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	for i := range 3 {
		d.add(job(fmt.Sprint(i), step(1, 1)))
		d.endRun(d.startTasks()[0], planner.EndFailed)
	}
	d.add(job("next", step(1, 1)))
	d.advance(time.Second)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.advance(4 * time.Second)
	d.Assert(len(d.startTasks()) > 0, quicktest.IsTrue)
}

// TestHeadroom guards against long-running tasks that take the processors of
// short tasks. After a full fleet had lost workers, no short task could start.
func TestHeadroom(t *testing.T) {
	longRunning := step(8, 2)
	longRunning.LongRunning = true
	d := newDriver(t, 1, worker("a", 8), worker("b", 8)).registerWorkers()
	d.add(job("short", step(4, 1)))
	short := d.startTasks()
	d.Assert(short, quicktest.HasLen, 4)
	d.add(job("lasting", longRunning))
	d.Assert(d.startTasks(), quicktest.HasLen, 5)
	for _, o := range short {
		d.endRun(o, planner.EndDone)
	}
	d.startTasks()
	d.add(job("short again", step(4, 1)))
	d.Assert(d.startTasks(), quicktest.HasLen, 4)
}

// TestReservation guards against a long-running task that never starts although
// enough processors are free in total, because short tasks take each part of a
// worker as soon as it is free.
func TestReservation(t *testing.T) {
	var workers []planner.Worker
	for i := range 20 {
		w := worker("w", 11)
		w.ID = fmt.Sprintf("w%02d", i)
		w.Address = netip.AddrPortFrom(w.Address.Addr(), uint16(80+i))
		workers = append(workers, w)
	}
	d := newDriver(t, 1, workers...).registerWorkers()
	// The estimate is long enough that no run counts as stalled.
	short := func(count int) planner.Step {
		s := step(count, 4)
		s.Estimate = time.Hour
		return s
	}
	longRunning := step(1, 8)
	longRunning.LongRunning = true
	d.add(job("lasting", longRunning))
	first := d.startTasks()
	d.Assert(first, quicktest.HasLen, 1)
	d.add(job("short", short(38)))
	running := d.startTasks()
	d.Assert(running, quicktest.HasLen, 38)
	d.endRun(first[0], planner.EndFailed)
	d.add(job("next", short(2)))
	running = append(running, d.startTasks()...)
	d.Assert(running, quicktest.HasLen, 40)
	for i := 0; ; i++ {
		d.Assert(i < 80, quicktest.IsTrue, quicktest.Commentf("%s", d.p.Explain(d.now, "lasting")))
		d.advance(200 * time.Millisecond)
		d.endRun(running[0], planner.EndDone)
		d.add(job(fmt.Sprint("more", i), short(1)))
		next := d.startTasks()
		if slices.ContainsFunc(next, func(o planner.Command) bool { return o.Run.Job == "lasting" }) {
			return
		}
		running = append(running[1:], next...)
	}
}
