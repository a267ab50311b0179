// Package scheduler is the scheduling core of one shard: a deterministic state
// machine that turns events into changes to commit and commands to carry out
// after the commit. It does no I/O and reads no clock.
package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

const (
	// ConfigMaxAge is the longest time between the read that confirmed the
	// configuration and a start. Together with StartValidity it ensures that no
	// task starts later than 3 s after its domain is taken out of service.
	ConfigMaxAge = 2 * time.Second
	// StartValidity is how long after a start command was sent a worker may
	// carry it out.
	StartValidity = time.Second
	// maxClockDrift is the largest relative error of a clock's rate.
	maxClockDrift = 0.01
)

// addDriftMargin returns the longest time that this clock may show while d
// passes on another clock.
func addDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxClockDrift))
}

// Options configure a core.
type Options struct {
	Shard string
	// Domain is the failure domain whose workers the shard schedules.
	Domain string
	Charts Charts
	Policy placer.Policy
	// Prepare completes a request before it is passed to the policy. It may be
	// nil.
	Prepare func(*Core, *Task, *placer.Request)
	// Interference is called to act on interference: after each report, with
	// the report, and on each tick, with nil. It may be nil.
	Interference func(*Core, time.Time, *WorkerReport)
	// AwaitPeers is set when the driver delivers PeerReport between shards. A
	// watcher then starts only when every other domain has reported that it has
	// no attempt of the watcher. If AwaitPeers is not set, a watcher that moves
	// between domains may run in both for some time.
	AwaitPeers bool
	// Violation is called with the error for a change that would break an
	// invariant. The change is not applied. If Violation is nil, the core
	// panics.
	Violation func(error)
}

// Core is the state of one shard. It is not safe for concurrent use.
type Core struct {
	options Options
	committedState
	ownerState
	changes  []Change
	commands []Command
}

// committedState depends only on the committed changes.
type committedState struct {
	// tasks has every task that is not final, not unstarted and not being
	// handed over.
	tasks map[TaskID]*Task
	// transfers has the tasks that are being handed over, by transfer id.
	transfers map[string]*Task
	jobs      map[string]*Job
	workers   map[string]*Worker
	// takenOver has the numbers of the transfers taken over, by path, which
	// is SOURCE/DESTINATION.
	takenOver map[string]*sequenceSet
	// lastTransfer has the number of the last transfer sent, by path.
	lastTransfer map[string]uint64
	allowances   map[string]declarer.Resources
	// configRevision is the highest revision of the configuration that an owner
	// of the shard has followed.
	configRevision uint64
	// isDomainOut is true while the domain is out of service according to the
	// last DomainSet; domainChangedAt is the time in that change.
	isDomainOut     bool
	domainChangedAt time.Time

	// excluded has the workers that are quarantined or probing, and leaving has
	// the workers that are leaving.
	excluded, leaving map[string]bool

	// The indexes below are derived from the fields above.

	// tasksByWorker has the tasks that hold a reservation on each worker.
	tasksByWorker map[string]map[TaskID]*Task
	tasksByOwner  map[string]map[TaskID]*Task
	queue         queue
	view          view
	usage         usage
}

// ownerState is not committed. Each owner of the shard builds it anew.
type ownerState struct {
	now time.Time
	// firstEventAt is the time of the first event, which follows the begin
	// record.
	firstEventAt time.Time
	config       *declarer.Config
	confirmedAt  time.Time
	// teamWeights and quotaShares are the teams' weights and their quotas in this
	// domain.
	teamWeights map[string]int
	quotaShares map[string]declarer.Resources
	attempts    map[TaskID]*attempt
	// reportsValidAfter has, for each worker, the time after which the request
	// for a report must have been sent. Older reports are ignored.
	reportsValidAfter map[string]time.Time
	peerReports       map[string]PeerReport
	// horizonSetAt is when the horizon of each class was last recorded.
	horizonSetAt map[declarer.Class]time.Time
	preemptions  []preemption
	// checkpointTimes has the smoothed time that a checkpoint takes, by kind of
	// task.
	checkpointTimes map[string]time.Duration
	explanationLog
	drainLimiter
	// configChangedAt is when the configuration last changed. declaredTasks has
	// the tasks of services and watchers that the configuration declares in
	// this domain. needsReconcile is set when the tasks may differ from the
	// configuration since the last reconciliation, which was at reconciledAt.
	configChangedAt  time.Time
	reconciledAt     time.Time
	needsReconcile   bool
	declaredTasks    map[TaskID]bool
	peerReportSentAt time.Time
	lastPeerReport   PeerReport
	reportsSentAt    time.Time
	prunedAt         time.Time
	lastPassAt       time.Time
	// isForeignOwner is set when the owner belongs to another failure domain.
	isForeignOwner bool
	// unsentJobs has the jobs with counts to report to their home shard, or
	// with a cancellation to repeat to other shards.
	unsentJobs map[string]bool
	// completeSince is when this owner first saw that a job is complete.
	completeSince map[string]time.Time
}

// attempt is what the owner knows about the current attempt of a task.
type attempt struct {
	// latestStart is the time after which the worker can no longer start the
	// attempt.
	latestStart time.Time
	// startedAt is when the attempt was first seen running.
	startedAt time.Time
	// checkpointSentAt is when the last checkpoint command was issued, and
	// checkpointSince is when the first was.
	checkpointSentAt, checkpointSince time.Time
	// isProbe is set when the attempt tests a quarantined worker.
	isProbe bool
}

// New returns an empty core.
func New(o Options) *Core {
	return &Core{
		options: o,
		committedState: committedState{
			tasks: map[TaskID]*Task{}, transfers: map[string]*Task{}, jobs: map[string]*Job{}, workers: map[string]*Worker{},
			takenOver: map[string]*sequenceSet{}, lastTransfer: map[string]uint64{}, allowances: map[string]declarer.Resources{},
			tasksByWorker: map[string]map[TaskID]*Task{}, tasksByOwner: map[string]map[TaskID]*Task{},
			excluded: map[string]bool{}, leaving: map[string]bool{},
			queue: newQueue(), view: view{indexByWorker: map[string]int{}}, usage: usage{teams: map[string]declarer.Resources{}},
		},
		ownerState: ownerState{
			attempts: map[TaskID]*attempt{}, reportsValidAfter: map[string]time.Time{}, peerReports: map[string]PeerReport{}, horizonSetAt: map[declarer.Class]time.Time{},
			checkpointTimes: map[string]time.Duration{}, unsentJobs: map[string]bool{}, completeSince: map[string]time.Time{}, explanationLog: newExplanationLog(),
		},
	}
}

// Step handles one event and returns the changes to commit and the commands to
// carry out after the commit. The core has already applied the changes. If they
// can't be committed, the core must be discarded.
func (c *Core) Step(now time.Time, e Event) ([]Change, []Command) {
	c.changes, c.commands = nil, nil
	c.now = now
	if c.firstEventAt.IsZero() {
		c.initOwner(now)
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
		c.registerWorker(*e.WorkerSeen)
	case e.WorkerLost != nil:
		c.expireLeases(e.WorkerLost.ID, e.WorkerLost.Class)
	case e.Unreachable != nil:
		c.markUnreachable(e.Unreachable.ID)
	case e.ForeignOwner != nil:
		c.handOverAll(e.ForeignOwner.To)
	case e.WorkerLeaving != nil:
		c.markLeaving(e.WorkerLeaving.ID)
	case e.WorkerStaying != nil:
		c.transitionWorker(e.WorkerStaying.ID, "stay", "worker is no longer listed as leaving")
	case e.Report != nil:
		c.handleReport(now, e.Report)
	case e.StartRefused != nil:
		c.handleRefusedStart(*e.StartRefused)
	case e.Offered != nil:
		c.acceptTransfer(*e.Offered)
	case e.Confirmed != nil:
		c.confirmTransfer(e.Confirmed.TransferID)
	case e.Totals != nil:
		c.storeTotals(*e.Totals)
	case e.TotalsConfirmed != nil:
		c.confirmTotals(*e.TotalsConfirmed)
	case e.Peer != nil:
		c.handlePeerReport(*e.Peer)
	case e.Allowance != nil:
		c.setAllowance(*e.Allowance)
	case e.Tick != nil:
		c.tick(now)
	}
}

// tick does the work that depends on time. Its cost does not depend on the
// number of tasks unless the domain is being drained.
func (c *Core) tick(now time.Time) {
	c.extendHorizons(now)
	c.probeWorkers(now)
	c.drain(now)
	c.retryReconcile(now)
	c.prune(now)
	if c.options.Interference != nil {
		c.options.Interference(c, now, nil)
	}
	c.expirePreemptions(now)
	c.place(now)
	c.sendReports(now)
}

// timestamp returns the current time in UTC without a monotonic reading, which
// is how it is decoded from a ledger.
func (c *Core) timestamp() time.Time { return c.now.UTC().Round(0) }

// record applies a change and adds it to the changes of this step. The core
// only decides on valid changes, so an error is a bug.
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

func (c *Core) emit(k Command) { c.commands = append(c.commands, k) }
