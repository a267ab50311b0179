package controller

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/committer"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	// groupInterval is the time between group commits. All changes of an
	// interval go into one record.
	groupInterval = 250 * time.Millisecond
	// A snapshot is due after snapshotEvery records, or after snapshotInterval
	// if anything has changed.
	snapshotEvery    = 256
	snapshotInterval = time.Minute
	// inheritedWorkersTimeout bounds how long a new owner starts nothing, and
	// publishes no routes, while it waits until each of its predecessor's
	// workers has answered or counts as unreachable.
	inheritedWorkersTimeout = 3 * time.Second
	// homeReturnDelay is how long a daemon of the shard's own domain must be
	// present before an owner of another domain releases the shard.
	homeReturnDelay = 5 * time.Second
)

// SupersededError reports that a worker has obeyed an owner with a later
// epoch.
type SupersededError struct {
	Worker string
	Epoch  uint64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("superseded by a later owner: worker %s obeys epoch %d", e.Worker, e.Epoch)
}

// input is a message from another goroutine to the control goroutine.
type input struct {
	event scheduler.Event
	// from is the session that sent the input, or nil for other senders.
	from *session
	// requestSentAt is when the status request of a report was sent.
	requestSentAt time.Time
	// sentStart describes a start command that was sent without a definite
	// refusal.
	sentStart *sentStart
	// laterEpoch is the epoch of a later owner that the worker has obeyed.
	laterEpoch uint64
	instances  []dispatcher.Instance
}

// sentStart identifies the attempt of a start command. A status report shows
// whether the command was carried out if it was requested at conclusiveFrom or
// later.
type sentStart struct {
	task           scheduler.TaskID
	attempt        uint64
	conclusiveFrom time.Time
}

// owner is the state of the control goroutine while this daemon owns the
// shard. Other goroutines use only the channels, the contexts and horizon. While
// a commit is in flight, its goroutine also uses ledger and snapshotTooLarge.
type owner struct {
	shard  *shard
	core   *scheduler.Core
	ledger *committer.Ledger
	// ownershipCtx ends when the shard is given up. servingCtx is derived from
	// it and ends earlier at a planned stop, which ends all lease renewals.
	ownershipCtx      context.Context
	servingCtx        context.Context
	endServing        context.CancelFunc
	background        sync.WaitGroup
	sessionGoroutines sync.WaitGroup
	// peerCallSlots is a semaphore that bounds concurrent calls to other
	// shards.
	peerCallSlots chan struct{}

	inputs    chan input
	committed chan error
	// undecidedAppends receives true when the outcome of an append is unknown,
	// and false once the append is settled.
	undecidedAppends chan bool
	// leaseEnded receives the error with which the shard's lease ended, or nil
	// once ownershipCtx ends.
	leaseEnded chan error
	horizon    horizon
	// snapshotTooLarge is set if the latest snapshot exceeded the store's
	// limit.
	snapshotTooLarge atomic.Bool

	sessions map[string]*session
	// attempts holds, by worker, the attempts that may be running there.
	attempts map[string]map[scheduler.TaskID]*placedAttempt
	// runners holds the reported runner of each service task.
	runners map[scheduler.TaskID]*messenger.Route
	// awaitedWorkers holds the predecessor's workers that have neither
	// answered nor become unreachable.
	awaitedWorkers map[string]bool
	beganAt        time.Time
	// inheritedExpiry is when the leases of earlier owners expire, by class.
	inheritedExpiry map[declarer.Class]time.Time
	lastSnapshotAt  time.Time
	// stateTooLarge is set while the state is too large for a snapshot. New
	// work is refused meanwhile.
	stateTooLarge bool
	// homePresentSince is when a daemon of the shard's own domain was first seen
	// present; zero while none is present.
	homePresentSince time.Time

	nextBatch batch
	inFlight  *batch
	// fatalErr makes the control goroutine stop and give the shard up.
	fatalErr error
}

// placedAttempt is an attempt that a worker may be running.
type placedAttempt struct {
	attempt uint64
	// conclusiveFrom is the earliest request time of a status report that shows
	// whether the attempt runs. It is in the far future until the start command
	// is sent.
	conclusiveFrom time.Time
}

// batch is one record with the commands and callers that wait for its commit.
type batch struct {
	changes   []scheduler.Change
	commands  []scheduler.Command
	callers   []chan error
	ended     []endedAttempt
	startedAt time.Time
	// snapshot is the state to write after the record, or nil if no snapshot
	// is due.
	snapshot *scheduler.Snapshot
}

type endedAttempt struct {
	worker string
	name   dispatcher.AttemptName
}

func (b *batch) isEmpty() bool {
	return len(b.changes) == 0 && len(b.commands) == 0 && len(b.callers) == 0 && len(b.ended) == 0
}

func newOwner(ownershipCtx context.Context, s *shard, core *scheduler.Core, ledger *committer.Ledger, leaseEnded chan error) *owner {
	o := &owner{
		shard: s, core: core, ledger: ledger, ownershipCtx: ownershipCtx, leaseEnded: leaseEnded,
		inputs: make(chan input, 1024), committed: make(chan error, 1), undecidedAppends: make(chan bool, 1),
		sessions: map[string]*session{}, attempts: map[string]map[scheduler.TaskID]*placedAttempt{}, runners: map[scheduler.TaskID]*messenger.Route{},
		awaitedWorkers: map[string]bool{}, peerCallSlots: make(chan struct{}, maxPeerCalls),
	}
	o.servingCtx, o.endServing = context.WithCancel(ownershipCtx)
	return o
}

// begin appends the record that starts this owner's epoch, with the initial
// horizons, and resumes the state that its predecessor left.
func (o *owner) begin(ctx context.Context) error {
	recorded := maps.Clone(o.ledger.Horizons())
	appendStart := time.Now()
	changes := scheduler.HorizonChanges()
	err := o.ledger.Begin(ctx, changes)
	for {
		var pending *committer.UndecidedError
		if !errors.As(err, &pending) {
			break
		}
		select {
		case <-ctx.Done():
			return err
		case leaseErr := <-o.leaseEnded:
			o.leaseEnded <- leaseErr
			return err
		case <-time.After(settleRetryDelay):
		}
		err = o.ledger.Settle(ctx)
	}
	if err != nil {
		return err
	}
	for _, ch := range changes {
		o.horizon.extend(ch.HorizonSet.Class, appendStart, ch.HorizonSet.Length)
		if err := o.core.Apply(ch); err != nil {
			return err
		}
	}
	o.beganAt, o.lastSnapshotAt = time.Now(), time.Now()
	o.inheritedExpiry = inheritedLeaseExpiry(o.ledger, recorded, o.beganAt)
	if o.ledger.Uncovered() >= snapshotEvery {
		if err := o.writeSnapshot(o.core.Snapshot()); err != nil {
			return err
		}
	}
	o.resumeInherited()
	return nil
}

// resumeInherited opens a session with each replayed worker and repeats the
// offers of the replayed transfers.
func (o *owner) resumeInherited() {
	s := o.core.Snapshot()
	hasMoved := map[string]bool{}
	for _, t := range s.Tasks {
		if t.Worker == "" {
			continue
		}
		// Once a worker has answered at this owner's epoch it carries out no
		// earlier owner's commands, so already its first report is conclusive.
		p := &placedAttempt{attempt: t.Attempt}
		if t.Moved {
			// The process at the worker's address is not the one that runs the
			// attempt.
			hasMoved[t.Worker] = true
			p.conclusiveFrom = o.inheritedExpiry[t.Class]
		}
		o.attemptsOn(t.Worker)[t.ID] = p
	}
	for _, t := range s.Transfers {
		o.offerTransfer(scheduler.HandOverTask{TransferID: t.TransferID, ToShard: t.ToShard, Task: t})
	}
	for _, w := range s.Workers {
		o.awaitedWorkers[w.ID] = true
		o.openSession(scheduler.WorkerSeen{ID: w.ID, Rack: w.Rack, Addr: w.Addr, Capacity: w.Capacity}, o.inheritedExpiry, hasMoved[w.ID])
	}
}

// attemptsOn returns the attempts that a worker may be running.
func (o *owner) attemptsOn(worker string) map[scheduler.TaskID]*placedAttempt {
	m := o.attempts[worker]
	if m == nil {
		m = map[scheduler.TaskID]*placedAttempt{}
		o.attempts[worker] = m
	}
	return m
}

// run is the control goroutine. It returns nil after the shard is released.
func (o *owner) run(ctx context.Context) error {
	defer o.failCallers()
	defer func() {
		o.endServing()
		o.sessionGoroutines.Wait()
	}()
	o.background.Go(o.watchInstances)
	t := time.NewTicker(groupInterval)
	defer t.Stop()
	for o.fatalErr == nil {
		select {
		case <-ctx.Done():
			return o.stop()
		case err := <-o.leaseEnded:
			return err
		case in := <-o.inputs:
			o.handleInput(in)
		case k := <-o.shard.calls:
			o.handleCall(k)
		case isUndecided := <-o.undecidedAppends:
			o.setUndecided(isUndecided)
		case err := <-o.committed:
			if err != nil {
				return err
			}
			o.completeBatch()
		case <-t.C:
			if o.tick(time.Now()) {
				return o.stop()
			}
		}
	}
	return o.fatalErr
}

// tick handles the passing of time. It reports whether the shard must return
// to its own domain.
func (o *owner) tick(now time.Time) bool {
	if o.shard.isHome {
		o.deliverConfig(now)
	} else {
		if o.isReturnDue(now) {
			return true
		}
		o.handOverPendingTasks()
		// An owner in another domain starts nothing, but ends tasks that are by
		// now declared in other domains, and informs those domains.
		o.deliverConfig(now)
	}
	o.handleEvent(scheduler.Event{Tick: &scheduler.Tick{}})
	o.publishRoutes(now)
	o.flush(now)
	return false
}

// isAwaitingWorkers reports whether some of the predecessor's workers have yet
// to be asked, and inheritedWorkersTimeout has not passed.
func (o *owner) isAwaitingWorkers(now time.Time) bool {
	return len(o.awaitedWorkers) > 0 && now.Sub(o.beganAt) < inheritedWorkersTimeout
}

// deliverConfig passes the confirmed configuration to the core. The core
// starts nothing without one, so it is withheld until the predecessor's
// workers have been asked or inheritedWorkersTimeout has passed.
func (o *owner) deliverConfig(now time.Time) {
	if o.isAwaitingWorkers(now) {
		return
	}
	config, at := o.shard.controller.options.Config.Current()
	if config != nil {
		o.handleEvent(scheduler.Event{Config: &scheduler.ConfigConfirmed{Config: config, At: at}})
	}
}

// handOverPendingTasks makes the core hand over pending batch tasks of another
// domain's shard to the shards of domains in service whose owners can be
// reached.
func (o *owner) handOverPendingTasks() {
	config, _ := o.shard.controller.options.Config.Current()
	var to []string
	if config != nil && len(o.awaitedWorkers) == 0 {
		for _, domain := range config.DomainsIn() {
			if domain != o.shard.name && o.canReachOwner(domain) {
				to = append(to, domain)
			}
		}
	}
	o.handleEvent(scheduler.Event{ForeignOwner: &scheduler.ForeignOwner{To: to}})
}

// canReachOwner reports whether this daemon owns a shard or knows its owner.
func (o *owner) canReachOwner(shard string) bool {
	c := o.shard.controller
	return c.Epoch(shard) > 0 || (c.options.Peer != nil && c.options.Peer(shard) != nil)
}

// isReturnDue reports whether a daemon of the shard's own domain has been
// present for homeReturnDelay.
func (o *owner) isReturnDue(now time.Time) bool {
	present := o.shard.controller.options.IsPresent
	if present == nil || !present(o.shard.name) {
		o.homePresentSince = time.Time{}
		return false
	}
	if o.homePresentSince.IsZero() {
		o.homePresentSince = now
	}
	return now.Sub(o.homePresentSince) >= homeReturnDelay
}

// handleEvent passes an event to the core and collects the resulting changes
// and commands. A panic in the core, such as for a violated invariant, sets
// fatalErr; the next owner replays the committed state.
func (o *owner) handleEvent(e scheduler.Event) {
	if o.fatalErr != nil {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			o.fatalErr = errors.Errorf("scheduler core panicked: %v", r)
			o.shard.controller.reportViolation(o.fatalErr)
		}
	}()
	changes, commands := o.core.Step(time.Now(), e)
	o.nextBatch.changes = append(o.nextBatch.changes, changes...)
	o.nextBatch.commands = append(o.nextBatch.commands, commands...)
	for _, ch := range changes {
		if p := ch.AttemptPlaced; p != nil {
			o.attemptsOn(p.Worker)[p.Task] = &placedAttempt{p.Attempt, o.beganAt.Add(1000 * time.Hour)}
		}
	}
}

// handleCall runs a call and handles the event that it returns.
func (o *owner) handleCall(k call) {
	e, err := k.run(o)
	if err != nil || e == nil {
		k.done <- err
		return
	}
	o.handleEvent(*e)
	o.nextBatch.callers = append(o.nextBatch.callers, k.done)
}

// checkStateSize returns an error for new work while the state is too large
// for a snapshot.
func (o *owner) checkStateSize() error {
	if o.stateTooLarge {
		return &NotAcceptedError{o.shard.name, "state is too large for a snapshot; new work is refused until existing work has ended"}
	}
	return nil
}

// setUndecided updates the state chart when the outcome of an append becomes
// unknown or is settled.
func (o *owner) setUndecided(isUndecided bool) {
	switch {
	case isUndecided && o.shard.state == owning:
		o.shard.transition("lose_answer")
	case !isUndecided && o.shard.state == undecided:
		o.shard.transition("settle")
	}
}
