// Package conductor runs a shard on the platform: it acquires or follows the
// shard's ownership, feeds the planner with the records of the store and the
// answers of the workers, sends the planner's orders and commits its progress.
// One goroutine holds all control state; calls run in other goroutines and post
// their results to it.
package conductor

import (
	"context"
	_ "embed"
	"fmt"
	"net/netip"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"tarragonhead.example/tarragonhead/internal/interpreter"
	"tarragonhead.example/tarragonhead/internal/observer"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/sender"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// Steps and plans.

	// maxPlanInterval is the longest time between two plans of an owner.
	maxPlanInterval = 50 * time.Millisecond
	// minPlanInterval is the minimum time between two plans, so that one plan
	// covers the answers of several workers.
	minPlanInterval = 5 * time.Millisecond
	// A step is followed by a pause of at least pauseFactor times its duration,
	// in which answers are handled, so that planning never takes most of the
	// processor. The pause is at most maxPause, because a step in which the
	// instance was suspended takes long too, and the leases of runs and of the
	// owner's entry must be renewed.
	pauseFactor = 4
	maxPause    = renewInterval
	// idleInterval is the longest time between two steps of a daemon that is
	// not the owner.
	idleInterval = 100 * time.Millisecond

	// Calls to the store.

	// commitInterval is the minimum time between two commits, so that one
	// commit covers the changes of several jobs.
	commitInterval = 15 * time.Millisecond
	// storeRetryDelay is the delay before a failed call to the store is
	// repeated.
	storeRetryDelay = 100 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond

	// Ownership.

	// horizon is how long an owner continues without a confirmation of its
	// ownership by the store. It covers the usual outages of the store, and a
	// successor waits at least this long before it restarts tasks that
	// unreachable workers may still run.
	horizon = 7 * time.Second
	// leaseHorizon is how long after the last confirmation a lease may last. A
	// successor restarts the tasks of workers that are gone after this time,
	// which has to be less than the platform allows them to be away.
	leaseHorizon = 8 * time.Second

	// Concurrency.

	// callbackBuffer bounds the results that wait for the control goroutine.
	callbackBuffer = 4096

	// Periodic writes.

	// announceInterval is how often the free capacity of the shard is
	// announced.
	announceInterval = 700 * time.Millisecond
	// expiryInterval is how often expired jobs are removed from the store.
	expiryInterval = 5 * time.Second
)

//go:embed charts/role.yaml
var roleChart []byte

// Options are the dependencies of a conductor.
type Options struct {
	// Shard names the shard in the store's keys.
	Shard string
	// Shards is the number of shards of the deployment, 1 if zero.
	Shards int
	// Self is the name of this daemon, and Address is where peers send it
	// questions.
	Self    string
	Address netip.AddrPort
	Store   storeclient.PrefixStore
	Workers WorkerCalls
	// Discover follows the list of workers and passes it to SetWorkers until
	// its context ends. It runs only while this daemon owns the shard.
	Discover func(ctx context.Context)
	// Ask sends a question to the daemon at an address, to check whether the
	// last owner is alive.
	Ask func(ctx context.Context, owner netip.AddrPort, q Question) (Reply, error)
	// ExtraAcquireDelay returns the extra delay before this daemon acquires a
	// vacant shard, for a daemon that has little processor time or owns another
	// shard; nil for none.
	ExtraAcquireDelay func() time.Duration
	// Place returns a shard that may take long-running tasks of one step, and
	// how many of them; nil if there is only one shard. The free capacity of
	// this shard is announced only if Place is set.
	Place func(need planner.Resources, count int, isUrgent bool) (shard string, tasks int)
	// HasRoom reports whether another shard has room for a long-running task; nil if
	// there is only one shard.
	HasRoom func(need planner.Resources) bool
	// Limits are the platform's time limits.
	Limits Limits
	// LinkRate is the rate of this daemon's own link in bytes a second; zero for
	// unlimited.
	LinkRate float64
	// IsLinkFull reports whether this daemon's own link was full for the last while, so
	// that a call without an answer tells nothing about its worker; nil for never.
	IsLinkFull func(time.Duration) bool
	Log        *log.Logger
	// Registry receives the metrics.
	Registry prometheus.Registerer
	// Now is a clock that also advances while the process is suspended, and
	// WallTime converts its times to the time of day.
	Now      func() time.Time
	WallTime func(time.Time) time.Time
}

// Limits are the platform's time limits that decisions need.
type Limits struct {
	// MaxLease is the longest lease of a run.
	MaxLease time.Duration
	// ViolationLimit is how long a long-running task may exceed its latency
	// target because of other tasks on its worker.
	ViolationLimit time.Duration
	// StateRetention is how long the state of a finished job stays readable.
	StateRetention time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// MaxValueBytes is the size of the largest value that the store accepts;
	// storeclient.MaxValueBytes if zero.
	MaxValueBytes int
}

// NotOwnerError reports a question to a daemon that doesn't own the shard.
type NotOwnerError struct {
	Shard string
	// Owner is the address of the owner; invalid if it is unknown.
	Owner netip.AddrPort
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("not the owner of shard %s; the owner is at %s", e.Shard, e.Owner)
}

// Conductor runs one shard in one daemon. It is safe for concurrent use.
type Conductor struct {
	options   Options
	chart     *interpreter.Chart
	keys      keys
	callbacks chan func()
	inbox     *inbox
	// ended is closed when Run returns.
	ended   chan struct{}
	metrics metrics
	// isOwner and ownerAddress are copies for use by other goroutines. isCandidate is
	// set while this daemon owns, loads or tries to acquire the shard.
	isOwner     atomic.Bool
	isCandidate atomic.Bool
	// hasCaps is set while the configuration has organisations with caps.
	hasCaps      atomic.Bool
	ownerAddress atomic.Pointer[netip.AddrPort]

	// The fields below belong to the control goroutine.

	// nextStepAt is when the next step may run.
	nextStepAt time.Time

	role interpreter.State
	// owner is the owner that the store showed last; zero if there is none.
	owner ownerRecord
	// vacantSince is when this daemon saw that the shard has no owner, or when
	// its last attempt to acquire the vacant shard failed. It is zero while an
	// owner is known or nothing is known yet.
	vacantSince time.Time
	// storeAnsweredAt is when the store first answered in the present vacancy.
	storeAnsweredAt time.Time
	lease           leaseState
	// stopFollowing and stopDiscovery end the watches of the current ownership.
	stopFollowing, stopDiscovery context.CancelFunc
	planner                      *planner.Planner
	epoch                        int64
	// headRevision is the revision of the shard's head that every commit expects.
	headRevision uint64
	// confirmedAt is when the last call was sent whose answer proved the
	// ownership.
	confirmedAt time.Time
	// revisions has the known store revision of each record of the shard, by
	// key.
	revisions map[string]uint64
	// unusableJobs has the ids of the jobs whose stored progress can't be decoded.
	unusableJobs map[string]bool
	// orderTrips has the round trips of the orders to all workers.
	orderTrips observer.Estimator
	// outbox holds the orders of the current ownership that wait to be sent.
	outbox *sender.Queue
	// sessions has the session with each worker, by worker id.
	sessions     map[string]*session
	isCommitting bool
	nextCommitAt time.Time
	// heldCommits has, by job id, what the store has refused, and soloCommits is how many of
	// the following commits have one job each.
	heldCommits        map[string]heldCommit
	soloCommits        int
	isRecordingWorkers bool
	lastExpiryAt       time.Time
	// expired has the jobs whose removal from the store isn't known to be done, or was
	// done lately.
	expired []*expiredJob
	// lastAnnouncementAt is when the free capacity was last announced, and
	// isAnnouncing is set while an announcement is being stored.
	lastAnnouncementAt time.Time
	isAnnouncing       bool
	// caps holds what is known of the caps of organisations.
	caps capState
	// lastHandoverAt is when tasks to hand over were last searched for.
	lastHandoverAt time.Time
	// heldHandovers has, by job id, until when no tasks of a job are handed over because
	// a record of it can't be used.
	heldHandovers map[string]time.Time
	// isConfirming is set while a read of the head is unanswered.
	isConfirming     bool
	config           planner.Config
	hasConfig        bool
	evacuatedDomains []string
	// workers has the discovered workers, by id.
	workers    map[string]planner.Worker
	background sync.WaitGroup
	// cancelReplies has, by job id, the callers that wait until the cancellation
	// of the job is stored.
	cancelReplies map[string][]func(bool, error)
}

type metrics struct {
	orders  *prometheus.CounterVec
	latency *prometheus.HistogramVec
	commits *prometheus.CounterVec
	// decisions counts the planner's decisions.
	decisions *prometheus.CounterVec
	// organisationJobs counts the jobs of organisations by whether they were within
	// their organisation's rate and share.
	organisationJobs *prometheus.CounterVec
	// handovers counts handovers of tasks to other shards.
	handovers *prometheus.CounterVec
	isOwner   prometheus.Gauge
	panics    prometheus.Counter
	jobs      *prometheus.GaugeVec
	caps      *prometheus.GaugeVec
}

// New returns a conductor; call Run to start it.
func New(o Options) (*Conductor, error) {
	chart, err := interpreter.Load("role", roleChart)
	if err != nil {
		return nil, err
	}
	factory := promauto.With(o.Registry)
	return &Conductor{
		options: o, chart: chart, role: chart.Start(), keys: keys{o.Shard},
		callbacks: make(chan func(), callbackBuffer), inbox: newInbox(), ended: make(chan struct{}),
		metrics: metrics{
			orders:           factory.NewCounterVec(prometheus.CounterOpts{Name: "tarragonhead_orders_total", Help: "Orders to workers by kind and outcome."}, []string{"kind", "outcome"}),
			latency:          factory.NewHistogramVec(prometheus.HistogramOpts{Name: "tarragonhead_order_seconds", Help: "Time until a worker answered an order.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}, []string{"kind"}),
			commits:          factory.NewCounterVec(prometheus.CounterOpts{Name: "tarragonhead_commits_total", Help: "Commits of progress by outcome."}, []string{"outcome"}),
			decisions:        factory.NewCounterVec(prometheus.CounterOpts{Name: "tarragonhead_decisions_total", Help: "Decisions of the planner by event, such as start or worker_lost."}, []string{"event"}),
			organisationJobs: factory.NewCounterVec(prometheus.CounterOpts{Name: "tarragonhead_organisation_jobs_total", Help: "Accepted jobs of organisations by whether they were within their organisation's rate and share."}, []string{"organisation", "share"}),
			handovers:        factory.NewCounterVec(prometheus.CounterOpts{Name: "tarragonhead_handovers_total", Help: "Handovers of tasks to other shards by outcome."}, []string{"outcome"}),
			panics:           factory.NewCounter(prometheus.CounterOpts{Name: "tarragonhead_shard_panics_total", Help: "Panics after which the shard was given up."}),
			isOwner:          factory.NewGauge(prometheus.GaugeOpts{Name: "tarragonhead_shard_owner", Help: "1 while this daemon owns the shard."}),
			jobs:             factory.NewGaugeVec(prometheus.GaugeOpts{Name: "tarragonhead_planned", Help: "What the owner has planned, by kind."}, []string{"kind"}),
			caps:             factory.NewGaugeVec(prometheus.GaugeOpts{Name: "tarragonhead_organisation_cap", Help: "What an organisation with a cap uses, waits for and holds in the shard, and its cap, by resource."}, []string{"organisation", "resource", "kind"}),
		},
		revisions: map[string]uint64{}, unusableJobs: map[string]bool{}, sessions: map[string]*session{}, workers: map[string]planner.Worker{},
		cancelReplies: map[string][]func(bool, error){}, heldHandovers: map[string]time.Time{}, heldCommits: map[string]heldCommit{},
	}, nil
}

// Run runs the conductor until ctx ends, and then gives the shard up.
func (c *Conductor) Run(ctx context.Context) {
	defer close(c.ended)
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.shutDown()
			return
		case f := <-c.callbacks:
			c.protect(f)
			c.runPendingCallbacks()
		case <-c.inbox.filled:
			c.protect(c.applyInbox)
		case <-timer.C:
		}
		now := c.options.Now()
		if wait := c.nextStepAt.Sub(now); wait > 0 {
			timer.Reset(wait)
			continue
		}
		c.protect(func() { c.step(ctx) })
		after := c.options.Now()
		c.nextStepAt = after.Add(max(minPlanInterval, min(maxPause, pauseFactor*after.Sub(now))))
		next := idleInterval
		if c.role == "owning" {
			next = maxPlanInterval
		}
		timer.Reset(next)
	}
}

// protect calls f, and gives the shard up if f panics: its state may be inconsistent then,
// and a record that causes a panic must not end the process, which also serves clients and
// may own other shards.
func (c *Conductor) protect(f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			c.metrics.panics.Inc()
			c.options.Log.Error().Str("shard", c.options.Shard).Any("cause", cause).Str("stack", string(debug.Stack())).Msg("conductor: panicked")
			c.loseOwnership("the control goroutine panicked")
		}
	}()
	f()
}

// runPendingCallbacks runs the callbacks that have arrived meanwhile, so that
// one plan covers all of them.
func (c *Conductor) runPendingCallbacks() {
	for range callbackBuffer {
		select {
		case f := <-c.callbacks:
			c.protect(f)
		default:
			return
		}
	}
}

// post queues f for the control goroutine. It drops f once ctx or Run has
// ended.
func (c *Conductor) post(ctx context.Context, f func()) {
	select {
	case c.callbacks <- f:
	case <-c.ended:
	case <-ctx.Done():
	}
}

// step does what is due in the present role.
func (c *Conductor) step(ctx context.Context) {
	now := c.options.Now()
	switch c.role {
	case "following":
		c.acquireIfVacant(ctx, now)
	case "owning":
		c.confirmOwnership(ctx, now)
		c.renewLease(ctx, now)
		c.recordWorkers(ctx, now)
		c.plan(ctx, now)
		c.divideCaps(ctx, now)
		c.commit(ctx, now)
		c.handOverTasks(ctx, now)
		c.announceRoom(ctx, now)
		c.removeExpiredJobs(ctx, now)
	}
}

// plan sends the planner's orders and polls the workers.
func (c *Conductor) plan(ctx context.Context, now time.Time) {
	c.planner.LimitStarts(waitingFactor*ordersUnderWay(c.options.LinkRate) - c.outbox.Starts())
	for _, o := range c.planner.Plan(now, c.confirmedAt) {
		c.queueOrder(now, o)
	}
	c.sendOrders(ctx)
	c.pollWorkers(ctx, now)
	u := c.planner.Usage(now)
	c.metrics.jobs.WithLabelValues("jobs").Set(float64(u.Jobs))
	c.metrics.jobs.WithLabelValues("waiting_tasks").Set(float64(u.Waiting))
	c.metrics.jobs.WithLabelValues("runs").Set(float64(u.Runs))
	c.metrics.jobs.WithLabelValues("workers").Set(float64(u.Workers))
	c.metrics.jobs.WithLabelValues("listed_workers").Set(float64(len(c.workers)))
	c.metrics.jobs.WithLabelValues("sick_workers").Set(float64(u.Sick))
	c.metrics.jobs.WithLabelValues("unstored_ends").Set(float64(u.UnstoredEnds))
	c.metrics.jobs.WithLabelValues("tasks_with_late_starts").Set(float64(u.LateTasks))
}

// isOwnershipConfirmed reports whether the ownership was proved so recently
// that this daemon may start tasks and grant leases.
func (c *Conductor) isOwnershipConfirmed(now time.Time) bool { return now.Sub(c.confirmedAt) < horizon }

// SetConfig puts a configuration in force. It doesn't wait.
func (c *Conductor) SetConfig(config planner.Config) {
	c.inbox.set(func() { c.inbox.config = &config })
}

// SetEvacuatedDomains sets the failure domains in which no task may start. It
// doesn't wait.
func (c *Conductor) SetEvacuatedDomains(domains []string) {
	c.inbox.set(func() { c.inbox.evacuatedDomains = &domains })
}

// SetWorkers updates the workers that discovery has found: present ones are
// added or replaced, and those with the absent ids are removed. It does nothing
// once ctx, the context of the discovery, has ended, since a read of an earlier
// ownership may take longer than the first read of the present one. It doesn't wait.
func (c *Conductor) SetWorkers(ctx context.Context, present []planner.Worker, absent []string) {
	c.inbox.addWorkers(ctx, present, absent)
}

// updatePlannerWorkers passes the discovered workers to the planner.
func (c *Conductor) updatePlannerWorkers() {
	if c.planner == nil {
		return
	}
	list := make([]planner.Worker, 0, len(c.workers))
	for _, w := range c.workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b planner.Worker) int { return strings.Compare(a.ID, b.ID) })
	c.planner.SetWorkers(c.options.Now(), list)
	c.endUnusedSessions()
}

// Answer is a job's state as known to its owner.
type Answer struct {
	State planner.State `cbor:"state"`
	// Known is false if the owner doesn't know the job.
	Known bool `cbor:"known"`
}

// IsOwner reports whether this daemon owns the shard or is loading it.
func (c *Conductor) IsOwner() bool { return c.isOwner.Load() }

// IsCandidate reports whether this daemon owns the shard or tries to acquire it.
func (c *Conductor) IsCandidate() bool { return c.isCandidate.Load() }

// Owner returns the address of the shard's owner; invalid if none is known.
func (c *Conductor) Owner() netip.AddrPort {
	if a := c.ownerAddress.Load(); a != nil {
		return *a
	}
	return netip.AddrPort{}
}
