// Package conductor runs a shard on the platform: it follows or holds its
// ownership, feeds the planner with what the store and the workers say, sends
// the planner's orders and commits what has to last. One goroutine has all
// control state; calls run in others and report back to it.
package conductor

import (
	"context"
	_ "embed"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"tarragonhead.example/tarragonhead/internal/interpreter"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// tick is the longest time between two plans of an owner.
	tick = 50 * time.Millisecond
	// planInterval is the least time between two plans, which lets one plan
	// serve the answers of several workers.
	planInterval = 5 * time.Millisecond
	// stepRest times the duration of a step is left for the answers before the
	// next one, so that planning never takes most of the processor.
	stepRest = 4
	// idleTick is the longest time between two looks at the role.
	idleTick = 100 * time.Millisecond
	// commitInterval is the least time between two commits, which collects the
	// changes of several jobs in one.
	commitInterval = 15 * time.Millisecond
	// commitRetry spaces commits while the store doesn't answer.
	commitRetry = 100 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// horizon is how long an owner goes on without a proof from the store that
	// it is the owner. It covers the usual outages of the store, and a
	// successor waits for it before it uses the tasks of unreachable workers.
	horizon = 7 * time.Second
	// maxCalls bounds the calls to workers that run at once, and eventBuffer
	// the answers that wait for the control goroutine.
	maxCalls    = 256
	eventBuffer = 4096
	// announceInterval is how often the room of the shard is announced.
	announceInterval = 700 * time.Millisecond
	// expiryInterval is how often old jobs are removed from the store.
	expiryInterval = 5 * time.Second
)

//go:embed charts/role.yaml
var roleChart []byte

// Options are what a conductor depends on.
type Options struct {
	// Shard names the shard in the store's keys.
	Shard string
	// Self is this daemon's name, and Address where peers ask it.
	Self    string
	Address netip.AddrPort
	Store   storeclient.PrefixStore
	Workers WorkerCalls
	// Discover follows the list of workers and passes it to SetWorkers until
	// its context ends. Only an owner needs it.
	Discover func(ctx context.Context)
	// Ask asks the daemon at an address, for a sign that the last owner lives.
	Ask func(ctx context.Context, owner netip.AddrPort, q Question) (Reply, error)
	// Reluctance is by how much later than others this daemon takes a vacant
	// shard, for a daemon that is weak or owns another one; nil for none.
	Reluctance func() time.Duration
	// Place returns the shard that may have lasting tasks of one step, and how
	// many of them; nil where there is one shard. The room of the shard is
	// announced where it is set.
	Place func(need planner.Resources, count int, isUrgent bool) (shard string, tasks int)
	// Limits are the platform's times.
	Limits Limits
	Log    *log.Logger
	// Registry receives the metrics.
	Registry prometheus.Registerer
	// Now is a clock that also advances while the process is suspended, and
	// WallTime translates its times to the time of day.
	Now      func() time.Time
	WallTime func(time.Time) time.Time
}

// Limits are the platform's times that decisions need.
type Limits struct {
	// MaxLease is the longest lease of a run.
	MaxLease       time.Duration
	ViolationLimit time.Duration
	// KeepStates is how long the state of a finished job stays readable.
	KeepStates time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
}

// NotOwnerError reports a question to a daemon that doesn't own the shard.
type NotOwnerError struct {
	Shard string
	// Owner is where to ask; invalid if nobody is known.
	Owner netip.AddrPort
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("not the owner of shard %s; the owner is at %s", e.Shard, e.Owner)
}

// Conductor is safe for concurrent use.
type Conductor struct {
	options Options
	chart   *interpreter.Chart
	keys    keys
	events  chan func()
	// ended is closed when Run returns.
	ended   chan struct{}
	calls   pond.Pool
	metrics metrics
	// isOwner and ownerAddress are copies for other goroutines.
	isOwner      atomic.Bool
	ownerAddress atomic.Pointer[netip.AddrPort]

	// The fields below belong to the control goroutine.

	// stepAt is when the next step may be made.
	stepAt time.Time

	role   interpreter.State
	owner  ownerRecord
	vacant time.Time
	// readAt is when the store first answered in the present vacancy.
	readAt time.Time
	lease  leaseState
	// stopFollowing and stopDiscovery end the watches of this ownership.
	stopFollowing, stopDiscovery context.CancelFunc
	planner                      *planner.Planner
	epoch                        int64
	// headRevision is the revision of the shard's head that every commit expects.
	headRevision uint64
	// confirmedAt is when the last call left whose answer proved the ownership.
	confirmedAt time.Time
	revisions   map[string]uint64
	sessions    map[string]*session
	committing  bool
	commitAt    time.Time
	recording   bool
	expiredAt   time.Time
	// announcedAt is when the room was last announced, and announcing is set
	// while that is under way.
	announcedAt time.Time
	announcing  bool
	// handedAt is when tasks were last looked for that another shard may have.
	handedAt   time.Time
	confirming bool
	config     planner.Config
	hasConfig  bool
	emptied    []string
	workers    map[string]planner.Worker
	background sync.WaitGroup
	cancels    map[string][]func(bool, error)
}

type metrics struct {
	orders  *prometheus.CounterVec
	latency *prometheus.HistogramVec
	commits *prometheus.CounterVec
	// handovers counts handovers of tasks to other shards.
	handovers *prometheus.CounterVec
	isOwner   prometheus.Gauge
	jobs      *prometheus.GaugeVec
}

// New returns a conductor; Run makes it work.
func New(o Options) (*Conductor, error) {
	chart, err := interpreter.Load("role", roleChart)
	if err != nil {
		return nil, err
	}
	factory := promauto.With(o.Registry)
	return &Conductor{
		options: o, chart: chart, role: chart.Start(), keys: keys{o.Shard},
		events: make(chan func(), eventBuffer), ended: make(chan struct{}), calls: pond.NewPool(maxCalls),
		metrics: metrics{
			orders:    factory.NewCounterVec(prometheus.CounterOpts{Name: "tarragonhead_orders_total", Help: "Orders to workers by kind and outcome."}, []string{"kind", "outcome"}),
			latency:   factory.NewHistogramVec(prometheus.HistogramOpts{Name: "tarragonhead_order_seconds", Help: "Time until a worker answered an order.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}, []string{"kind"}),
			commits:   factory.NewCounterVec(prometheus.CounterOpts{Name: "tarragonhead_commits_total", Help: "Commits of progress by outcome."}, []string{"outcome"}),
			handovers: factory.NewCounterVec(prometheus.CounterOpts{Name: "tarragonhead_handovers_total", Help: "Handovers of tasks to other shards by outcome."}, []string{"outcome"}),
			isOwner:   factory.NewGauge(prometheus.GaugeOpts{Name: "tarragonhead_shard_owner", Help: "1 while this daemon owns the shard."}),
			jobs:      factory.NewGaugeVec(prometheus.GaugeOpts{Name: "tarragonhead_planned", Help: "What the owner has planned, by kind."}, []string{"kind"}),
		},
		revisions: map[string]uint64{}, sessions: map[string]*session{}, workers: map[string]planner.Worker{},
		cancels: map[string][]func(bool, error){},
	}, nil
}

// Run works until ctx ends, and then gives the shard up.
func (c *Conductor) Run(ctx context.Context) {
	defer close(c.ended)
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.shutDown()
			return
		case f := <-c.events:
			f()
			c.drain()
		case <-timer.C:
		}
		now := c.options.Now()
		if wait := c.stepAt.Sub(now); wait > 0 {
			timer.Reset(wait)
			continue
		}
		c.step(ctx)
		after := c.options.Now()
		c.stepAt = after.Add(max(planInterval, stepRest*after.Sub(now)))
		next := idleTick
		if c.role == "owning" {
			next = tick
		}
		timer.Reset(next)
	}
}

// drain applies the answers that have come meanwhile, so that one plan serves
// all of them.
func (c *Conductor) drain() {
	for range eventBuffer {
		select {
		case f := <-c.events:
			f()
		default:
			return
		}
	}
}

// post hands an answer to the control goroutine.
func (c *Conductor) post(ctx context.Context, f func()) {
	select {
	case c.events <- f:
	case <-c.ended:
	case <-ctx.Done():
	}
}

// step does what is due in the present role.
func (c *Conductor) step(ctx context.Context) {
	now := c.options.Now()
	switch c.role {
	case "following":
		c.considerAcquiring(ctx, now)
	case "owning":
		c.confirm(ctx, now)
		c.keepLease(ctx, now)
		c.recordWorkers(ctx, now)
		c.plan(ctx, now)
		c.commit(ctx, now)
		c.handOver(ctx, now)
		c.announce(ctx, now)
		c.expire(ctx, now)
	}
}

// plan sends the planner's orders and looks at the workers.
func (c *Conductor) plan(ctx context.Context, now time.Time) {
	for _, o := range c.planner.Plan(now, c.confirmedAt) {
		c.order(ctx, now, o)
	}
	c.look(ctx, now)
	u := c.planner.Usage(now)
	c.metrics.jobs.WithLabelValues("jobs").Set(float64(u.Jobs))
	c.metrics.jobs.WithLabelValues("waiting_tasks").Set(float64(u.Waiting))
	c.metrics.jobs.WithLabelValues("runs").Set(float64(u.Runs))
	c.metrics.jobs.WithLabelValues("sick_workers").Set(float64(u.Sick))
}

// isProven reports whether this daemon was the owner so recently that it may
// start tasks and give leases.
func (c *Conductor) isProven(now time.Time) bool { return now.Sub(c.confirmedAt) < horizon }

// SetConfig puts a configuration in force.
func (c *Conductor) SetConfig(ctx context.Context, config planner.Config) {
	c.post(ctx, func() {
		c.config, c.hasConfig = config, true
		if c.planner != nil {
			c.planner.SetConfig(config)
		}
	})
}

// SetEmptied sets the failure domains in which nothing may start.
func (c *Conductor) SetEmptied(ctx context.Context, domains []string) {
	c.post(ctx, func() {
		c.emptied = domains
		c.options.Log.Info().Strs("domains", domains).Msg("conductor: domains taken out")
		if c.planner != nil {
			c.planner.SetEvacuatedDomains(domains)
		}
	})
}

// SetWorkers changes what discovery knows: workers that are present now, and
// the ids of those that are not any more.
func (c *Conductor) SetWorkers(ctx context.Context, present []planner.Worker, absent []string) {
	c.post(ctx, func() {
		for _, w := range present {
			c.workers[w.ID] = w
		}
		for _, id := range absent {
			delete(c.workers, id)
		}
		c.passWorkers()
	})
}

func (c *Conductor) passWorkers() {
	if c.planner == nil {
		return
	}
	list := make([]planner.Worker, 0, len(c.workers))
	for _, w := range c.workers {
		list = append(list, w)
	}
	c.planner.SetWorkers(c.options.Now(), list)
}

// Answer is a job's state as its owner knows it.
type Answer struct {
	State planner.State `cbor:"state"`
	// Known is false for a job that the owner has never heard of.
	Known bool `cbor:"known"`
}

// IsOwner reports whether this daemon owns the shard or is about to.
func (c *Conductor) IsOwner() bool { return c.isOwner.Load() }

// Owner returns where the owner of the shard is asked; invalid if none is known.
func (c *Conductor) Owner() netip.AddrPort {
	if a := c.ownerAddress.Load(); a != nil {
		return *a
	}
	return netip.AddrPort{}
}
