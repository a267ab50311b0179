// Package scheduler is the control core of one shard: a pure state machine
// that turns events into changes to commit and commands to carry out after the
// commit. It does no I/O and reads no clock.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// ConfigMaxAge is the most that may pass between the read that confirmed the
// configuration and a start. Together with the validity of a start command it
// bounds starts after a domain is taken out to 3 s.
const ConfigMaxAge = 2 * time.Second

// Options are what a core depends on.
type Options struct {
	Shard string
	// Domain is the failure domain whose workers the shard schedules.
	Domain string
	Charts Charts
	Policy placer.Policy
}

// Core is the state of one shard. One goroutine uses it.
type Core struct {
	options Options
	// tasks has every task that is not final.
	tasks map[TaskID]*Task
	// jobs has every accepted job; its counts add up to the job's tasks.
	jobs    map[string]*Job
	workers map[string]*Worker
	// onWorker has, for each worker, the tasks that hold its resources.
	onWorker map[string]map[TaskID]*Task
	// takenOver has the ids of transfers taken over by this shard.
	takenOver map[string]bool
	// notify has the transfers that the destination has not confirmed yet.
	config      *declarer.Config
	confirmedAt time.Time

	changes  []Change
	commands []Command
}

// Job is the state of a batch job.
type Job struct {
	Job       declarer.BatchJob `cbor:"1,keyasint"`
	Submitted time.Time         `cbor:"2,keyasint"`
	// Done, Failed and Cancelled count the job's tasks in these final states;
	// HandedOver counts the tasks that other shards have taken over.
	Done       int `cbor:"3,keyasint,omitempty"`
	Failed     int `cbor:"4,keyasint,omitempty"`
	Cancelled  int `cbor:"5,keyasint,omitempty"`
	HandedOver int `cbor:"6,keyasint,omitempty"`
	// Ended is set when the job accepts no more attempts.
	Ended bool `cbor:"7,keyasint,omitempty"`
}

// New returns an empty core.
func New(o Options) *Core {
	return &Core{
		options:   o,
		tasks:     map[TaskID]*Task{},
		jobs:      map[string]*Job{},
		workers:   map[string]*Worker{},
		onWorker:  map[string]map[TaskID]*Task{},
		takenOver: map[string]bool{},
	}
}

// Step handles one event and returns the changes to commit and the commands to
// carry out once they are committed. The changes are already applied here; if
// they can't be committed, the core must be dropped.
func (c *Core) Step(now time.Time, e Event) ([]Change, []Command) {
	c.changes, c.commands = nil, nil
	switch {
	case e.Config != nil:
		c.confirmConfig(now, *e.Config)
	case e.Submitted != nil:
		c.acceptJob(now, e.Submitted.Job)
	case e.Cancelled != nil:
		c.cancelJob(e.Cancelled.JobID)
	case e.WorkerSeen != nil:
		c.seeWorker(*e.WorkerSeen)
	case e.WorkerLost != nil:
		c.loseWorker(e.WorkerLost.ID, e.WorkerLost.Class)
	case e.Unreachable != nil:
		c.missWorker(e.Unreachable.ID)
	case e.Caretaking != nil:
		c.handOverWaiting(now, e.Caretaking.To)
	case e.WorkerLeaving != nil:
		c.moveWorker(e.WorkerLeaving.ID, "leave", "listed as leaving")
	case e.Report != nil:
		c.takeReport(*e.Report)
	case e.StartRefused != nil:
		c.refuseStart(*e.StartRefused)
	case e.Offered != nil:
		c.takeOver(*e.Offered)
	case e.Confirmed != nil:
		c.confirmTransfer(e.Confirmed.TransferID)
	case e.Tick != nil:
		c.place(now)
	}
	return c.changes, c.commands
}

// record applies a change that the core has decided on. The core decides only
// on changes that are valid, so a failure is a fault in the program.
func (c *Core) record(ch Change) {
	if err := c.Apply(ch); err != nil {
		panic(err)
	}
	c.changes = append(c.changes, ch)
}

func (c *Core) confirmConfig(_ time.Time, e ConfigConfirmed) {
	c.confirmedAt = e.At
	if c.config != nil && c.config.Revision >= e.Config.Revision {
		return
	}
	c.config = e.Config
	c.reconcile()
}

// reconcile makes the tasks of services and watchers match the configuration.
func (c *Core) reconcile() {
	wanted := map[TaskID]bool{}
	for _, s := range c.config.Services {
		for i := range c.config.ReplicasIn(s, c.options.Domain) {
			t := Task{ID: replicaID(s.Name, c.options.Domain, i), Class: declarer.ClassService, Owner: s.Name, Team: s.Team, Kind: s.Name, Declared: s.Resources, State: Pending}
			wanted[t.ID] = true
			c.want(t)
		}
	}
	for i, w := range c.config.Watchers {
		if c.config.WatcherDomain(i) != c.options.Domain {
			continue
		}
		t := Task{ID: TaskID("watcher/" + w.Name), Class: declarer.ClassWatcher, Owner: w.Name, Team: w.Team, Kind: w.Name, Declared: w.Resources, State: Pending}
		wanted[t.ID] = true
		c.want(t)
	}
	for _, t := range c.sortedTasks() {
		if t.Class != declarer.ClassBatch && !wanted[t.ID] {
			c.end(t, "no longer declared in this domain")
		}
	}
}

func (c *Core) want(t Task) {
	if c.tasks[t.ID] == nil {
		c.record(Change{TaskAdded: &TaskAdded{t}})
	}
}

// end cancels a task, stopping its attempt first when there is one.
func (c *Core) end(t *Task, reason string) {
	switch t.State {
	case Pending, Parked:
		c.record(Change{TaskMoved: &TaskMoved{t.ID, "cancel", reason}})
	case Starting, Running, Checkpointing:
		worker := t.Worker
		c.record(Change{AttemptMoved: &AttemptMoved{Task: t.ID, Attempt: t.Attempt, Event: "stop", Reason: reason}})
		c.commands = append(c.commands, Command{Stop: &StopTask{worker, t.ID, t.Attempt}})
	}
}

func (c *Core) acceptJob(now time.Time, j declarer.BatchJob) {
	if c.jobs[j.ID] != nil {
		return
	}
	c.record(Change{JobAccepted: &JobAccepted{j, now}})
	c.place(now)
}

func (c *Core) cancelJob(id string) {
	j := c.jobs[id]
	if j == nil || j.Ended {
		return
	}
	c.record(Change{JobCancelled: &JobEnded{JobID: id, Reason: "cancelled by the caller"}})
	for _, t := range c.sortedTasks() {
		if t.Class == declarer.ClassBatch && t.Owner == id {
			c.end(t, "job cancelled")
		}
	}
}

func (c *Core) seeWorker(e WorkerSeen) {
	w := c.workers[e.ID]
	if w == nil {
		c.record(Change{WorkerChanged: &WorkerChanged{Worker: Worker{ID: e.ID, Rack: e.Rack, Addr: e.Addr, Capacity: e.Capacity, State: Live}}})
		return
	}
	if w.State == Lost {
		c.moveWorker(e.ID, "return", "reached again")
	}
}

func (c *Core) moveWorker(id, event, reason string) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if _, err := c.options.Charts.Worker.Next(w.State, interpreterEvent(event)); err != nil {
		return
	}
	c.record(Change{WorkerChanged: &WorkerChanged{Worker: Worker{ID: id}, Event: event, Reason: reason}})
}

// missWorker keeps an unreachable worker's attempts until their leases have
// run out.
func (c *Core) missWorker(id string) {
	c.moveWorker(id, "lose", "no answer")
	for _, t := range c.tasksOn(id) {
		if t.State != Unknown {
			c.record(Change{AttemptMoved: &AttemptMoved{Task: t.ID, Attempt: t.Attempt, Event: "lose", Reason: "worker gives no answer"}})
		}
	}
}

// loseWorker ends the attempts on a worker whose leases have run out.
func (c *Core) loseWorker(id string, class declarer.Class) {
	c.missWorker(id)
	for _, t := range c.tasksOn(id) {
		if class == "" || t.Class == class {
			c.record(Change{AttemptMoved: &AttemptMoved{Task: t.ID, Attempt: t.Attempt, Event: "expire", Outcome: OutcomeExpired, Reason: "leases have run out"}})
		}
	}
}

func (c *Core) takeReport(e WorkerReport) {
	for _, r := range e.Running {
		t := c.current(r.Task, r.Attempt)
		if t == nil {
			c.commands = append(c.commands, Command{Stop: &StopTask{e.Worker, r.Task, r.Attempt}})
			continue
		}
		switch t.State {
		case Starting:
			c.record(Change{AttemptMoved: &AttemptMoved{Task: t.ID, Attempt: t.Attempt, Event: "started"}})
		case Unknown:
			c.record(Change{AttemptMoved: &AttemptMoved{Task: t.ID, Attempt: t.Attempt, Event: "found"}})
		case Stopping:
			c.commands = append(c.commands, Command{Stop: &StopTask{e.Worker, r.Task, r.Attempt}})
		}
	}
	for _, a := range e.Ended {
		if t := c.current(a.Task, a.Attempt); t != nil {
			c.endAttempt(t, a)
		}
	}
}

var outcomeEvents = map[Outcome]string{
	OutcomeCompleted: "complete", OutcomeFailed: "fail", OutcomeCheckpointed: "checkpointed",
	OutcomeStopped: "stopped", OutcomeExpired: "fail",
}

func (c *Core) endAttempt(t *Task, a EndedAttempt) {
	event := outcomeEvents[a.Outcome]
	if _, err := c.options.Charts.Task.Next(t.State, interpreterEvent(event)); err != nil {
		event = "fail"
		if t.State == Unknown {
			event = "expire"
		}
	}
	c.record(Change{AttemptMoved: &AttemptMoved{Task: t.ID, Attempt: t.Attempt, Event: event, Checkpoint: a.Checkpoint, Reason: a.Reason, Outcome: a.Outcome}})
}

// current returns the task if attempt is its current one and holds resources.
func (c *Core) current(id TaskID, attempt uint64) *Task {
	t := c.tasks[id]
	if t == nil || t.Attempt != attempt || !Holds(t.State) {
		return nil
	}
	return t
}

func (c *Core) refuseStart(e StartRefused) {
	if t := c.current(e.Task, e.Attempt); t != nil && t.State == Starting {
		c.record(Change{AttemptMoved: &AttemptMoved{Task: t.ID, Attempt: t.Attempt, Event: "refused", Reason: e.Reason}})
	}
}

func (c *Core) takeOver(e TransferOffered) {
	if c.takenOver[e.TransferID] {
		return
	}
	c.record(Change{TakenOver: &TakenOver{e.TransferID, e.Task}})
}

func (c *Core) confirmTransfer(id string) {
	for _, t := range c.sortedTasks() {
		if t.TransferID == id && t.State == HandingOver {
			c.record(Change{TaskMoved: &TaskMoved{t.ID, "confirm_transfer", "taken over"}})
		}
	}
}

// place starts pending tasks where the policy puts them. Nothing starts when
// the configuration has not been confirmed lately or the domain is out.
func (c *Core) place(now time.Time) {
	if c.config == nil || now.Sub(c.confirmedAt) > ConfigMaxAge || c.config.IsOut(c.options.Domain) {
		return
	}
	var pending []*Task
	for _, t := range c.tasks {
		if t.State == Pending {
			pending = append(pending, t)
		}
	}
	slices.SortFunc(pending, compareUrgency)
	view := c.view()
	for _, t := range pending {
		choice, err := c.options.Policy.Place(view, placer.Request{Task: string(t.ID), Kind: t.Kind, Class: t.Class, Team: t.Team, Owner: t.Owner, Declared: t.Declared})
		if err != nil {
			t.Reason = err.Error()
			continue
		}
		c.start(t, choice)
		view.Reserve(choice.Worker, t.Kind, t.Class, choice.Reserved)
	}
}

func (c *Core) start(t *Task, choice placer.Choice) {
	checkpoint := t.Checkpoint
	c.record(Change{AttemptPlaced: &AttemptPlaced{t.ID, t.Attempt + 1, choice.Worker, choice.Reserved, choice.Reason}})
	service := ""
	if t.Class == declarer.ClassService {
		service = t.Owner
	}
	c.commands = append(c.commands, Command{Start: &StartTask{
		Worker: choice.Worker, Task: t.ID, Attempt: t.Attempt, Class: t.Class, Kind: t.Kind, Service: service,
		Reserved: choice.Reserved, RunTime: t.RunTime, Checkpoint: checkpoint, ConfirmedAt: c.confirmedAt,
	}})
}

var classOrder = map[declarer.Class]int{declarer.ClassService: 0, declarer.ClassWatcher: 1, declarer.ClassBatch: 2}

func compareUrgency(a, b *Task) int {
	return cmp.Or(
		cmp.Compare(classOrder[a.Class], classOrder[b.Class]),
		-compareBool(a.Urgent, b.Urgent),
		a.Submitted.Compare(b.Submitted),
		cmp.Compare(a.ID, b.ID),
	)
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return 1
	}
	return -1
}

// view gives the policy what it may place on.
func (c *Core) view() *placer.View {
	v := &placer.View{}
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		if w.State != Live {
			continue
		}
		slot := placer.Worker{ID: id, Rack: w.Rack, Capacity: w.Capacity, Reserved: w.Reserved}
		for _, t := range c.tasksOn(id) {
			slot.Running = append(slot.Running, placer.Running{Kind: t.Kind, Class: t.Class, Reserved: t.Reserved})
		}
		v.Workers = append(v.Workers, slot)
	}
	return v
}
