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

// world simulates two shards with their cores, ledgers and workers, the network
// between them and the clock. Nothing runs in the background: advance moves the
// time, and checks the invariants after each step.
type world struct {
	now            time.Time
	random         *rand.Rand
	config         *declarer.Config
	previousConfig *declarer.Config
	shards         []*simShard
	messages       []message
	// checkpointStarts counts the starts from each checkpoint.
	checkpointStarts map[string]int
	// completions counts the committed completions of each task.
	completions     map[TaskID]int
	seenTransitions map[string]bool
	// outAt has when each domain that is out of service was taken out.
	outAt      map[string]time.Time
	firstError error
	// dropUntil, duplicateUntil and delayUntil are when faults of the network
	// end.
	dropUntil, duplicateUntil, delayUntil time.Time
	// dropPeerMessages drops the messages between shards.
	dropPeerMessages bool
}

type message struct {
	at      time.Time
	deliver func()
}

// simShard is a shard with its owner, its ledger and its workers.
type simShard struct {
	w      *world
	domain string
	core   *Core
	ledger []Change
	// replayed is a core to which only the changes in the ledger are applied.
	replayed            *Core
	epoch               uint64
	uncommitted         []Change
	uncommittedCommands []Command
	workers             map[string]*fakeWorker
	// ids has the sorted keys of workers.
	ids []string
	// sessions has the owner's state of the leases on each worker.
	sessions map[string]*fakeSession
	// onTick is called once, within the next tick.
	onTick func(*Core)
	// storeDownUntil, answersLostUntil and pausedUntil are when faults end.
	// dropReports drops the workers' messages to the owner, and withholdConfig
	// stops the confirmation of the configuration.
	storeDownUntil, answersLostUntil, pausedUntil time.Time
	dropReports, withholdConfig                   bool
	// unconfirmedCommands are commands whose commit has not been answered yet.
	unconfirmedCommands []Command
	// checked and checkedLen are the core and the length of its ledger at the
	// last check. The state changes only with the ledger.
	checked    *Core
	checkedLen int
	// pausedSends send the commands that the owner had not sent when it was
	// paused.
	pausedSends []func()
}

type fakeSession struct {
	openedAt, leaseSentAt, answeredAt time.Time
	// reached is set once the worker has answered. While the worker does not
	// answer, lost has the classes whose leases have expired.
	reached bool
	lost    map[declarer.Class]bool
}

type fakeWorker struct {
	id, domain string
	capacity   declarer.Resources
	// process is the number of the process. A start is meant for one process.
	process  int
	epoch    uint64
	attempts map[TaskID]uint64
	running  map[TaskID]*fakeRun
	ended    map[string]EndedAttempt
	// read has the ended attempts that an owner has read.
	read map[string]bool
	// unreachable and dead are faults of the worker; failAll makes every
	// attempt fail, and slow keeps batch attempts from completing.
	unreachable, dead, failAll, slow bool
	// refuse makes the worker refuse its next start.
	refuse bool
	// stuck makes the worker ignore checkpoint commands.
	stuck bool
	// renewedUntil is until when an owner that is cut off renews all leases,
	// and servicesRenewedUntil until when it renews those of services.
	renewedUntil, servicesRenewedUntil time.Time
}

type fakeRun struct {
	start     StartTask
	leaseEnd  time.Time
	startedAt time.Time
	outcome   Outcome
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
		now: epochStart, random: rand.New(rand.NewPCG(seed, 1)), checkpointStarts: map[string]int{}, completions: map[TaskID]int{}, seenTransitions: map[string]bool{}, outAt: map[string]time.Time{},
		config: &declarer.Config{
			Revision: 1, Preset: declarer.Maintenance, Domains: []string{"east", "west"},
			Services: []declarer.Service{{Name: "web", Team: "one", Replicas: 2, Resources: declarer.Resources{MilliCPU: 1000, MemoryMB: 100}}},
			Watchers: []declarer.Watcher{{Name: "eye", Team: "one", Resources: declarer.Resources{MilliCPU: 100, MemoryMB: 10}}},
			Teams:    []declarer.Team{{Name: "one", Weight: 1}, {Name: "two", Weight: 2}},
		},
	}
	w.previousConfig = w.config
	for _, d := range w.config.Domains {
		s := &simShard{w: w, domain: d, workers: map[string]*fakeWorker{}}
		for i := range workers {
			id := fmt.Sprintf("%s-%d", d, i)
			s.workers[id] = &fakeWorker{id: id, domain: d, capacity: declarer.Resources{MilliCPU: 8000, MemoryMB: 8000}, attempts: map[TaskID]uint64{}, running: map[TaskID]*fakeRun{}, ended: map[string]EndedAttempt{}, read: map[string]bool{}}
		}
		s.replayed = s.newCore()
		s.startOwner()
		w.shards = append(w.shards, s)
	}
	return w
}

func (s *simShard) workerIDs() []string {
	if len(s.ids) != len(s.workers) {
		s.ids = slices.Sorted(maps.Keys(s.workers))
	}
	return s.ids
}

func (s *simShard) newCore() *Core {
	return New(Options{
		Shard: s.domain, Domain: s.domain, Charts: charts, Policy: placer.FirstFit(), AwaitPeers: true,
		Interference: func(c *Core, _ time.Time, r *WorkerReport) {
			if s.onTick != nil && r == nil && c == s.core {
				f := s.onTick
				s.onTick = nil
				f(c)
			}
		},
	})
}

// startOwner starts a new owner of the shard, which replays the ledger.
func (s *simShard) startOwner() {
	s.core = s.newCore()
	for _, ch := range s.ledger {
		if err := s.core.Apply(ch); err != nil {
			s.w.recordError(errors.Wrap(err, "replay"))
			return
		}
	}
	s.epoch++
	s.uncommitted, s.uncommittedCommands, s.unconfirmedCommands = nil, nil, nil
	s.sessions = map[string]*fakeSession{}
}

// String returns the tasks and jobs of the shard with their states.
func (s *simShard) String() string {
	out := s.domain + ":"
	for _, t := range s.core.Tasks() {
		out += fmt.Sprintf(" %s=%s/%d@%s", t.ID, t.State, t.Attempt, t.Worker)
	}
	for _, j := range s.core.Jobs() {
		out += fmt.Sprintf(" %s={parked:%q unstarted:%v done:%d cancelled:%d handed over:%d remote:%v}", j.Job.ID, j.Parked, j.Unstarted, j.Done, j.Cancelled, j.HandedOver, j.Remote)
	}
	return out + "\n"
}

func (w *world) recordError(err error) {
	if w.firstError == nil {
		w.firstError = errors.WithMessagef(err, "at %s", w.now.Sub(epochStart))
	}
}

// send delivers a message subject to the faults of the network.
func (w *world) send(deliver func()) {
	switch {
	case w.now.Before(w.dropUntil):
		return
	case w.now.Before(w.delayUntil):
		w.messages = append(w.messages, message{w.now.Add(time.Duration(w.random.Int64N(int64(4 * time.Second)))), deliver})
		return
	case w.now.Before(w.duplicateUntil):
		w.messages = append(w.messages, message{w.now.Add(time.Second), deliver})
	}
	w.messages = append(w.messages, message{w.now, deliver})
}

// advance moves the time by d and runs one step of every shard and worker.
func (w *world) advance(d time.Duration) {
	if w.firstError != nil {
		return
	}
	w.now = w.now.Add(d)
	w.deliver()
	for _, s := range w.shards {
		for _, id := range s.workerIDs() {
			s.workers[id].advance(w)
		}
		s.tick()
	}
	w.deliver()
	w.check()
}

func (w *world) deliver() {
	for round := 0; round < 8; round++ {
		pending := w.messages
		w.messages = nil
		due := 0
		for _, l := range pending {
			if l.at.After(w.now) {
				w.messages = append(w.messages, l)
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
	for end := w.now.Add(d); w.now.Before(end) && w.firstError == nil; {
		w.advance(step)
	}
}

func (w *world) until(cond func() bool, limit time.Duration) bool {
	for end := w.now.Add(limit); w.now.Before(end) && w.firstError == nil; {
		if cond() {
			return true
		}
		w.advance(step)
	}
	return cond()
}

// tick does what the driver of a shard does in one step.
func (s *simShard) tick() {
	w := s.w
	if w.now.Before(s.pausedUntil) {
		return
	}
	if !s.pausedUntil.IsZero() {
		s.pausedUntil = time.Time{}
		s.startOwner()
	}
	for _, f := range s.pausedSends {
		f()
	}
	s.pausedSends = nil
	if !s.withholdConfig && !w.now.Before(s.storeDownUntil) {
		s.step(Event{Config: &ConfigConfirmed{Config: w.config, At: w.now}})
	}
	for _, id := range s.workerIDs() {
		s.renew(s.workers[id])
	}
	s.step(Event{Tick: &Tick{}})
	s.commit()
	if w.now.UnixMilli()%1000 == 0 && len(s.uncommitted) == 0 {
		for _, id := range slices.Sorted(maps.Keys(s.core.transfers)) {
			t := s.core.transfers[id]
			s.toPeer(Command{HandOver: &HandOverTask{id, t.ToShard, *t}})
		}
	}
}

func (s *simShard) step(e Event) {
	if s.w.firstError != nil || s.w.now.Before(s.pausedUntil) {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			s.w.recordError(errors.Errorf("%s: panic: %v", s.domain, r))
		}
	}()
	changes, commands := s.core.Step(s.w.now, e)
	s.uncommitted = append(s.uncommitted, changes...)
	s.uncommittedCommands = append(s.uncommittedCommands, commands...)
}

// commit appends the uncommitted changes to the ledger and carries out their
// commands.
func (s *simShard) commit() {
	w := s.w
	if w.now.Before(s.storeDownUntil) || w.now.Before(s.pausedUntil) {
		return
	}
	commands := append(s.unconfirmedCommands, s.uncommittedCommands...)
	s.unconfirmedCommands, s.uncommittedCommands = nil, nil
	s.append(s.uncommitted)
	s.uncommitted = nil
	if w.now.Before(s.answersLostUntil) {
		s.unconfirmedCommands = commands
		return
	}
	for _, k := range commands {
		s.sendCommand(k, s.epoch)
	}
}

// append adds changes to the ledger after encoding and decoding them.
func (s *simShard) append(changes []Change) {
	for _, ch := range changes {
		data, err := ledgerCoding.Marshal(ch)
		if err != nil {
			s.w.recordError(err)
			return
		}
		var back Change
		if err := cbor.Unmarshal(data, &back); err != nil {
			s.w.recordError(err)
			return
		}
		s.recordTransition(back)
		if err := s.replayed.Apply(back); err != nil {
			s.w.recordError(errors.Wrap(err, "replay of a new change"))
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

// recordTransition records the transition of a change as seen.
func (s *simShard) recordTransition(ch Change) {
	from := func(id TaskID, event string) {
		state := Pending
		if t := s.replayed.tasks[id]; t != nil {
			state = t.State
			if event == "complete" {
				s.w.completions[id]++
			}
		}
		s.w.seenTransitions["task "+string(state)+" "+event] = true
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
		s.w.seenTransitions["task handing_over "+ch.TaskMoved.Event] = true
	case ch.TaskMoved != nil:
		from(ch.TaskMoved.Task, ch.TaskMoved.Event)
	case ch.JobCancelled != nil:
		if j := s.replayed.jobs[ch.JobCancelled.JobID]; j != nil && j.Unstarted.Len() > 0 {
			s.w.seenTransitions["task pending cancel"] = true
		}
		for _, t := range s.replayed.tasksByOwner[ch.JobCancelled.JobID] {
			if !HoldsReservation(t.State) {
				from(t.ID, "cancel")
			}
		}
	case ch.WorkerChanged != nil && ch.WorkerChanged.Event != "":
		s.w.seenTransitions["worker "+string(s.replayed.workers[ch.WorkerChanged.Worker.ID].State)+" "+ch.WorkerChanged.Event] = true
	}
}

// check compares each core with its replayed ledger and verifies the invariants
// across all workers.
func (w *world) check() {
	runningOn := map[TaskID]string{}
	for _, s := range w.shards {
		if w.firstError != nil {
			return
		}
		if s.core == s.checked && len(s.ledger) == s.checkedLen && len(s.uncommitted) == 0 {
			continue
		}
		s.checked, s.checkedLen = s.core, len(s.ledger)
		if err := s.core.Check(); err != nil {
			w.recordError(err)
		}
		if len(s.uncommitted) == 0 && s.pausedUntil.IsZero() && !reflect.DeepEqual(s.core.Snapshot(), s.replayed.Snapshot()) {
			w.recordError(errors.Errorf("%s: the replay differs from the live core:\n%+v\n%+v", s.domain, s.replayed.Snapshot(), s.core.Snapshot()))
		}
	}
	for _, s := range w.shards {
		for id, x := range s.workers {
			used := declarer.Resources{}
			for task, r := range x.running {
				if other, ok := runningOn[task]; ok {
					w.recordError(errors.Errorf("%s runs on %s and %s", task, other, id))
				}
				runningOn[task] = id
				used = used.Add(r.start.Reserved)
			}
			if !used.FitsIn(x.capacity) {
				w.recordError(errors.Errorf("%s runs %v, which exceeds its capacity", id, used))
			}
		}
	}
	for cp, n := range w.checkpointStarts {
		if n > 1 {
			w.recordError(errors.Errorf("checkpoint %s was resumed %d times", cp, n))
		}
	}
	for id, n := range w.completions {
		if n > 1 {
			w.recordError(errors.Errorf("%s was completed %d times", id, n))
		}
	}
}
