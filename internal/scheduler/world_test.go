package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// world has the cores of two shards, their ledgers, workers, the network
// between them and the clock. Nothing in it runs by itself: advance lets time
// pass. It checks the invariants after each step.
type world struct {
	now    time.Time
	random *rand.Rand
	config *declarer.Config
	stale  *declarer.Config
	sites  []*site
	mail   []letter
	// consumed counts the starts that ran with each checkpoint.
	consumed map[string]int
	// done counts the completions that shards have committed for each task.
	done    map[TaskID]int
	seen    map[string]bool
	outAt   map[string]time.Time
	problem error
	// dropUntil, doubleUntil and lateUntil are faults of the network.
	dropUntil, doubleUntil, lateUntil time.Time
	// holdPeers drops messages between shards.
	holdPeers bool
}

type letter struct {
	at      time.Time
	deliver func()
}

// site is a shard with its owner, its ledger and its workers.
type site struct {
	w       *world
	domain  string
	core    *Core
	ledger  []Change
	shadow  *Core
	epoch   uint64
	group   []Change
	waiting []Command
	workers map[string]*fakeWorker
	// ids has the keys of workers in order.
	ids []string
	// sessions has what the owner knows of each worker's leases.
	sessions map[string]*fakeSession
	// act runs inside the next tick.
	act func(*Core)
	// storeDown, answerLost and pausedUntil are faults that end at a time;
	// muted drops what workers send, holdConfig confirms no configuration.
	storeDown, answerLost, pausedUntil time.Time
	muted, holdConfig                  bool
	// withheld are commands whose commit has no answer yet.
	withheld []Command
	// checked and checkedAt tell the state that has been checked last: it
	// changes only with the ledger.
	checked   *Core
	checkedAt int
	// zombie are commands of a paused owner that it has yet to send.
	zombie []func()
}

type fakeSession struct {
	opened, leaseSent, answered time.Time
	// reached is set once the worker has answered, and lost while it gives no
	// answer, with the classes whose leases have run out.
	reached bool
	lost    map[declarer.Class]bool
}

type fakeWorker struct {
	id, domain string
	capacity   declarer.Resources
	epoch      uint64
	attempts   map[TaskID]uint64
	running    map[TaskID]*fakeRun
	ended      map[string]EndedAttempt
	// unreachable and dead are faults; failAll fails every start.
	unreachable, dead, failAll, slow bool
	// refuse and forget are faults of one start.
	refuse bool
	// stuck workers write no checkpoint.
	stuck bool
	// keptUntil is up to when an owner that is cut off renews the leases, and
	// replicasUntil those of services.
	keptUntil, replicasUntil time.Time
}

type fakeRun struct {
	start   StartTask
	ends    time.Time
	begun   time.Time
	outcome Outcome
}

const step = 250 * time.Millisecond

var epochStart = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

var charts = func() Charts {
	c, err := LoadCharts()
	if err != nil {
		panic(err)
	}
	return c
}()

func newWorld(seed uint64, workers int) *world {
	w := &world{
		now: epochStart, random: rand.New(rand.NewPCG(seed, 1)), consumed: map[string]int{}, done: map[TaskID]int{}, seen: map[string]bool{}, outAt: map[string]time.Time{},
		config: &declarer.Config{
			Revision: 1, Preset: declarer.Maintenance, Domains: []string{"east", "west"},
			Services: []declarer.Service{{Name: "web", Team: "one", Replicas: 2, Resources: declarer.Resources{MilliCPU: 1000, MemoryMB: 100}}},
			Watchers: []declarer.Watcher{{Name: "eye", Team: "one", Resources: declarer.Resources{MilliCPU: 100, MemoryMB: 10}}},
			Teams:    []declarer.Team{{Name: "one", Weight: 1}, {Name: "two", Weight: 2}},
		},
	}
	w.stale = w.config
	for _, d := range w.config.Domains {
		s := &site{w: w, domain: d, workers: map[string]*fakeWorker{}}
		for i := range workers {
			id := fmt.Sprintf("%s-%d", d, i)
			s.workers[id] = &fakeWorker{id: id, domain: d, capacity: declarer.Resources{MilliCPU: 8000, MemoryMB: 8000}, attempts: map[TaskID]uint64{}, running: map[TaskID]*fakeRun{}, ended: map[string]EndedAttempt{}}
		}
		s.shadow = s.newCore()
		s.own()
		w.sites = append(w.sites, s)
	}
	return w
}

func (s *site) workerIDs() []string {
	if len(s.ids) != len(s.workers) {
		s.ids = slices.Sorted(maps.Keys(s.workers))
	}
	return s.ids
}

func (s *site) newCore() *Core {
	return New(Options{
		Shard: s.domain, Domain: s.domain, Charts: charts, Policy: placer.FirstFit(), AwaitPeers: true,
		Interference: func(c *Core, _ time.Time, r *WorkerReport) {
			if s.act != nil && r == nil && c == s.core {
				act := s.act
				s.act = nil
				act(c)
			}
		},
	})
}

// own makes a new owner of the shard by replay.
func (s *site) own() {
	s.core = s.newCore()
	for _, ch := range s.ledger {
		if err := s.core.Apply(ch); err != nil {
			s.w.fail(errors.Wrap(err, "replay"))
			return
		}
	}
	s.epoch++
	s.group, s.waiting, s.withheld = nil, nil, nil
	s.sessions = map[string]*fakeSession{}
}

// String names the tasks and jobs of a shard with their states.
func (s *site) String() string {
	out := s.domain + ":"
	for _, t := range s.core.Tasks() {
		out += fmt.Sprintf(" %s=%s/%d@%s", t.ID, t.State, t.Attempt, t.Worker)
	}
	for _, j := range s.core.Jobs() {
		out += fmt.Sprintf(" %s={parked:%q untouched:%v done:%d cancelled:%d away:%d remote:%v}", j.Job.ID, j.Parked, j.Untouched, j.Done, j.Cancelled, j.HandedOver, j.Remote)
	}
	return out + "\n"
}

func (w *world) fail(err error) {
	if w.problem == nil {
		w.problem = errors.WithMessagef(err, "at %s", w.now.Sub(epochStart))
	}
}

// send delivers a message under the network's faults.
func (w *world) send(deliver func()) {
	switch {
	case w.now.Before(w.dropUntil):
		return
	case w.now.Before(w.lateUntil):
		w.mail = append(w.mail, letter{w.now.Add(time.Duration(w.random.Int64N(int64(4 * time.Second)))), deliver})
		return
	case w.now.Before(w.doubleUntil):
		w.mail = append(w.mail, letter{w.now.Add(time.Second), deliver})
	}
	w.mail = append(w.mail, letter{w.now, deliver})
}

// advance lets one step of time pass for everything.
func (w *world) advance(d time.Duration) {
	if w.problem != nil {
		return
	}
	w.now = w.now.Add(d)
	w.deliver()
	for _, s := range w.sites {
		for _, id := range s.workerIDs() {
			s.workers[id].advance(w)
		}
		s.drive()
	}
	w.deliver()
	w.check()
}

func (w *world) deliver() {
	for round := 0; round < 8; round++ {
		mail := w.mail
		w.mail = nil
		due := 0
		for _, l := range mail {
			if l.at.After(w.now) {
				w.mail = append(w.mail, l)
				continue
			}
			due++
			l.deliver()
		}
		if due == 0 {
			return
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.problem == nil; {
		w.advance(step)
	}
}

func (w *world) until(cond func() bool, limit time.Duration) bool {
	for end := w.now.Add(limit); w.now.Before(end) && w.problem == nil; {
		if cond() {
			return true
		}
		w.advance(step)
	}
	return cond()
}

// drive is what a controller does in one step.
func (s *site) drive() {
	w := s.w
	if w.now.Before(s.pausedUntil) {
		return
	}
	if !s.pausedUntil.IsZero() {
		s.pausedUntil = time.Time{}
		s.own()
	}
	for _, f := range s.zombie {
		f()
	}
	s.zombie = nil
	if !s.holdConfig && !w.now.Before(s.storeDown) {
		s.step(Event{Config: &ConfigConfirmed{Config: w.config, At: w.now}})
	}
	for _, id := range s.workerIDs() {
		s.renew(s.workers[id])
	}
	s.step(Event{Tick: &Tick{}})
	s.commit()
	if w.now.UnixMilli()%1000 == 0 && len(s.group) == 0 {
		for _, id := range slices.Sorted(maps.Keys(s.core.transfers)) {
			t := s.core.transfers[id]
			s.toPeer(Command{HandOver: &HandOverTask{id, t.ToShard, *t}})
		}
	}
}

func (s *site) step(e Event) {
	if s.w.problem != nil || s.w.now.Before(s.pausedUntil) {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			s.w.fail(errors.Errorf("%s: panic: %v", s.domain, r))
		}
	}()
	changes, commands := s.core.Step(s.w.now, e)
	s.group = append(s.group, changes...)
	s.waiting = append(s.waiting, commands...)
}

// commit appends the group to the ledger and releases its commands.
func (s *site) commit() {
	w := s.w
	if w.now.Before(s.storeDown) || w.now.Before(s.pausedUntil) {
		return
	}
	commands := append(s.withheld, s.waiting...)
	s.withheld, s.waiting = nil, nil
	s.append(s.group)
	s.group = nil
	if w.now.Before(s.answerLost) {
		s.withheld = commands
		return
	}
	for _, k := range commands {
		s.carryOut(k, s.epoch)
	}
}

// append makes changes durable in the form in which they come back.
func (s *site) append(changes []Change) {
	for _, ch := range changes {
		data, err := ledgerCoding.Marshal(ch)
		if err != nil {
			s.w.fail(err)
			return
		}
		var back Change
		if err := cbor.Unmarshal(data, &back); err != nil {
			s.w.fail(err)
			return
		}
		s.note(back)
		if err := s.shadow.Apply(back); err != nil {
			s.w.fail(errors.Wrap(err, "shadow"))
			return
		}
		s.ledger = append(s.ledger, back)
	}
}

var ledgerCoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// note keeps which transitions have been taken.
func (s *site) note(ch Change) {
	from := func(id TaskID, event string) {
		state := Pending
		if t := s.shadow.tasks[id]; t != nil {
			state = t.State
			if event == "complete" {
				s.w.done[id]++
			}
		}
		s.w.seen["task "+string(state)+" "+event] = true
	}
	switch {
	case ch.AttemptPlaced != nil:
		from(ch.AttemptPlaced.Task, "place")
	case ch.AttemptMoved != nil:
		from(ch.AttemptMoved.Task, ch.AttemptMoved.Event)
	case ch.TaskParked != nil:
		from(ch.TaskParked.Task, "park")
	case ch.HandedOver != nil:
		from(ch.HandedOver.Task, "hand_over")
	case ch.TaskMoved != nil && ch.TaskMoved.TransferID != "":
		s.w.seen["task handing_over "+ch.TaskMoved.Event] = true
	case ch.TaskMoved != nil:
		from(ch.TaskMoved.Task, ch.TaskMoved.Event)
	case ch.JobCancelled != nil:
		if j := s.shadow.jobs[ch.JobCancelled.JobID]; j != nil && j.Untouched.Len() > 0 {
			s.w.seen["task pending cancel"] = true
		}
		for _, t := range s.shadow.byOwner[ch.JobCancelled.JobID] {
			if !Holds(t.State) {
				from(t.ID, "cancel")
			}
		}
	case ch.WorkerChanged != nil && ch.WorkerChanged.Event != "":
		s.w.seen["worker "+string(s.shadow.workers[ch.WorkerChanged.Worker.ID].State)+" "+ch.WorkerChanged.Event] = true
	}
}

// check compares the live core with the replay and the workers with the
// invariants.
func (w *world) check() {
	live := map[TaskID]string{}
	for _, s := range w.sites {
		if w.problem != nil {
			return
		}
		if s.core == s.checked && len(s.ledger) == s.checkedAt && len(s.group) == 0 {
			continue
		}
		s.checked, s.checkedAt = s.core, len(s.ledger)
		if err := s.core.Check(); err != nil {
			w.fail(err)
		}
		if len(s.group) == 0 && s.pausedUntil.IsZero() && !reflect.DeepEqual(s.core.Snapshot(), s.shadow.Snapshot()) {
			w.fail(errors.Errorf("%s: the replay differs from the live core:\n%+v\n%+v", s.domain, s.shadow.Snapshot(), s.core.Snapshot()))
		}
	}
	for _, s := range w.sites {
		for id, x := range s.workers {
			used := declarer.Resources{}
			for task, r := range x.running {
				if other, ok := live[task]; ok {
					w.fail(errors.Errorf("%s runs on %s and %s", task, other, id))
				}
				live[task] = id
				used = used.Add(r.start.Reserved)
			}
			if !used.FitsIn(x.capacity) {
				w.fail(errors.Errorf("%s runs %v, over its capacity", id, used))
			}
		}
	}
	for cp, n := range w.consumed {
		if n > 1 {
			w.fail(errors.Errorf("checkpoint %s was resumed %d times", cp, n))
		}
	}
	for id, n := range w.done {
		if n > 1 {
			w.fail(errors.Errorf("%s was completed %d times", id, n))
		}
	}
}
