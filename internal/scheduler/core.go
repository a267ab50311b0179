// Package scheduler is the control core of one shard: a pure state machine
// that turns events into changes to commit and commands to carry out after the
// commit. It does no I/O and reads no clock.
package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

const (
	// ConfigMaxAge is the most that may pass between the read that confirmed
	// the configuration and a start. Together with StartValidity it bounds
	// starts after a domain is taken out to 3 s.
	ConfigMaxAge = 2 * time.Second
	// StartValidity is how long a worker may carry out a start command after
	// it was written.
	StartValidity = time.Second
	// clockError is the most by which the rate of a clock may be off.
	clockError = 0.01
)

// lengthened returns the longest time on this clock in which d passes on any
// other.
func lengthened(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockError))
}

// Options are what a core depends on.
type Options struct {
	Shard string
	// Domain is the failure domain whose workers the shard schedules.
	Domain string
	Charts Charts
	Policy placer.Policy
	// Prepare completes a request before the policy gets it; nil for nothing.
	Prepare func(*Core, *Task, *placer.Request)
	// Interference is called after each report, with it, and on each tick,
	// with nil, to act on interference; nil for nothing.
	Interference func(*Core, time.Time, *WorkerReport)
	// AwaitPeers is set when the driver delivers PeerReport between shards.
	// A watcher then starts only when every other domain has reported that it
	// has no attempt of it. Without it, a watcher that moves between domains
	// may run in both for a while.
	AwaitPeers bool
	// Violation is called with a change that would break an invariant, which
	// is then not made. Nil means to panic.
	Violation func(error)
}

// Core is the state of one shard. One goroutine uses it.
type Core struct {
	options Options
	state
	soft
	changes  []Change
	commands []Command
}

// state follows from the committed changes alone.
type state struct {
	// tasks has every task that is not final, untouched or being handed over.
	tasks map[TaskID]*Task
	// transfers has the tasks that are being handed over, by transfer id.
	transfers map[string]*Task
	jobs      map[string]*Job
	workers   map[string]*Worker
	// taken has, for each source shard, the transfers taken over from it.
	taken map[string]*numbers
	// sent has, for each destination, the number of the last transfer to it.
	sent       map[string]uint64
	allowances map[string]declarer.Resources
	// domainOut is set from a DomainSet that takes the domain out of service
	// until one that brings it back; domainAt is when the last was decided.
	domainOut bool
	domainAt  time.Time

	// excluded has the workers that are quarantined or probing, and leaving
	// those that are leaving.
	excluded, leaving map[string]bool

	// The indexes below follow from the fields above.

	// onWorker has, for each worker, the tasks that hold its resources.
	onWorker map[string]map[TaskID]*Task
	byOwner  map[string]map[TaskID]*Task
	queue    queue
	view     view
	usage    usage
}

// soft is what an owner knows and its successor learns again.
type soft struct {
	now time.Time
	// begun is the time of the first event, which is after the begin record.
	begun       time.Time
	config      *declarer.Config
	confirmedAt time.Time
	// weights and parts are the teams' weights and quotas in this domain.
	weights  map[string]int
	parts    map[string]declarer.Resources
	attempts map[TaskID]*attempt
	// reports has the time before which a report of a worker is out of date.
	reports map[string]time.Time
	peers   map[string]PeerReport
	// horizon has when the horizon of a class was recorded last.
	horizon map[declarer.Class]time.Time
	claims  []claim
	speed   map[string]time.Duration
	explainer
	drainer
	// configAt is when the configuration changed, wanted are the services'
	// and watchers' tasks that it asks for here, and unmatched is set when
	// the last look at them, at reconciled, has left something to do.
	configAt   time.Time
	reconciled time.Time
	unmatched  bool
	wanted     map[TaskID]bool
	peersSent  time.Time
	lastReport PeerReport
	lastSent   time.Time
	forgotten  time.Time
	lastPlace  time.Time
	// isForeignOwner is set when the owner belongs to another domain.
	isForeignOwner bool
	// unsent has the jobs of other shards with counts to report.
	unsent map[string]bool
	// completeAt is when this owner first saw that a job is complete.
	completeAt map[string]time.Time
}

// attempt is what an owner knows of a current attempt.
type attempt struct {
	// latestStart is the time after which the worker can't start the attempt
	// any more.
	latestStart time.Time
	// started is when the attempt was first seen running.
	started time.Time
	// asked is when the last checkpoint command was given, and since when the
	// first was.
	asked, since time.Time
	// probe is set when the attempt tests a quarantined worker.
	probe bool
}

// New returns an empty core.
func New(o Options) *Core {
	return &Core{
		options: o,
		state: state{
			tasks: map[TaskID]*Task{}, transfers: map[string]*Task{}, jobs: map[string]*Job{}, workers: map[string]*Worker{},
			taken: map[string]*numbers{}, sent: map[string]uint64{}, allowances: map[string]declarer.Resources{},
			onWorker: map[string]map[TaskID]*Task{}, byOwner: map[string]map[TaskID]*Task{},
			excluded: map[string]bool{}, leaving: map[string]bool{},
			queue: newQueue(), view: view{slots: map[string]int{}}, usage: usage{teams: map[string]declarer.Resources{}},
		},
		soft: soft{
			attempts: map[TaskID]*attempt{}, reports: map[string]time.Time{}, peers: map[string]PeerReport{}, horizon: map[declarer.Class]time.Time{},
			speed: map[string]time.Duration{}, unsent: map[string]bool{}, completeAt: map[string]time.Time{}, explainer: newExplainer(),
		},
	}
}

// Step handles one event and returns the changes to commit and the commands to
// carry out once they are committed. The changes are already applied here; if
// they can't be committed, the core must be dropped.
func (c *Core) Step(now time.Time, e Event) ([]Change, []Command) {
	c.changes, c.commands = nil, nil
	c.now = now
	if c.begun.IsZero() {
		c.begin(now)
	}
	c.handle(now, e)
	return c.changes, c.commands
}

func (c *Core) handle(now time.Time, e Event) {
	switch {
	case e.Config != nil:
		c.confirmConfig(now, *e.Config)
	case e.Submitted != nil:
		c.acceptJob(now, *e.Submitted)
	case e.Cancelled != nil:
		c.cancelJob(*e.Cancelled)
	case e.Released != nil:
		c.releaseJob(e.Released.JobID)
	case e.WorkerSeen != nil:
		c.seeWorker(*e.WorkerSeen)
	case e.WorkerLost != nil:
		c.loseWorker(e.WorkerLost.ID, e.WorkerLost.Class)
	case e.Unreachable != nil:
		c.missWorker(e.Unreachable.ID)
	case e.ForeignOwner != nil:
		c.handOverAll(e.ForeignOwner.To)
	case e.WorkerLeaving != nil:
		c.moveWorker(e.WorkerLeaving.ID, "leave", "listed as leaving")
	case e.Report != nil:
		c.takeReport(now, e.Report)
	case e.StartRefused != nil:
		c.refuseStart(*e.StartRefused)
	case e.Offered != nil:
		c.takeOver(*e.Offered)
	case e.Confirmed != nil:
		c.confirmTransfer(e.Confirmed.TransferID)
	case e.Totals != nil:
		c.keepTotals(*e.Totals)
	case e.TotalsKept != nil:
		c.confirmTotals(*e.TotalsKept)
	case e.Peer != nil:
		c.takePeerReport(*e.Peer)
	case e.Allowance != nil:
		c.keepAllowance(*e.Allowance)
	case e.Tick != nil:
		c.tick(now)
	}
}

// tick does what depends on time. Its cost does not depend on the number of
// tasks unless the domain is being drained.
func (c *Core) tick(now time.Time) {
	c.extendHorizons(now)
	c.probeWorkers(now)
	c.drain(now)
	c.reconcileAgain(now)
	c.forget(now)
	if c.options.Interference != nil {
		c.options.Interference(c, now, nil)
	}
	c.expireClaims(now)
	c.place(now)
	c.sendReports(now)
}

// stamp returns now in the form in which it comes back from a ledger.
func (c *Core) stamp() time.Time { return c.now.UTC().Round(0) }

// record applies a change that the core has decided on. The core decides only
// on valid changes, so a failure is a fault in the program.
func (c *Core) record(ch Change) bool {
	if err := c.Apply(ch); err != nil {
		if c.options.Violation == nil {
			panic(err)
		}
		c.options.Violation(err)
		return false
	}
	c.changes = append(c.changes, ch)
	return true
}

func (c *Core) command(k Command) { c.commands = append(c.commands, k) }
