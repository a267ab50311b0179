// Package controller acquires and runs shards. For each shard that the daemon
// owns it holds the lease, replays the ledger, feeds events to the scheduler
// core, commits the core's changes and executes its commands.
package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/configurer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/placer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// NotOwnerError reports a call to a daemon that doesn't own the shard. If the
// daemon lost the shard after it had accepted the call, the requested change
// may still be committed.
type NotOwnerError struct{ Shard string }

func (e *NotOwnerError) Error() string { return "this daemon does not own shard " + e.Shard }

// UndecidedError reports a call whose change may or may not be committed, now
// or later. Repeating the call is safe.
type UndecidedError struct{ Err error }

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("it is not known whether the change was committed: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Err }

// NotAcceptedError reports a rejected call. Nothing was changed.
type NotAcceptedError struct {
	Shard  string
	Reason string
}

func (e *NotAcceptedError) Error() string { return "shard " + e.Shard + ": " + e.Reason }

// Options configures a Controller.
type Options struct {
	// Self is this daemon's member id, and Control its control address.
	Self    string
	Control netip.AddrPort
	// Domain is this daemon's failure domain.
	Domain string
	Store  storeclient.Store
	Config *configurer.Configurer
	Charts scheduler.Charts
	// Policy chooses workers for tasks. The zero value selects the
	// interference-aware policy with mitigation.
	Policy placer.Policy
	// Worker returns the calls to the worker at an address.
	Worker func(addr netip.AddrPort) dispatcher.Worker
	// Instances returns the platform's list of instances.
	Instances func(ctx context.Context) ([]dispatcher.Instance, error)
	// Peer returns a client of the daemon that owns a shard, or nil if the
	// owner is unknown. A nil func means that no other daemon can be reached.
	Peer func(shard string) messenger.Peer
	// IsPresent reports whether any daemon of a domain is known to be alive.
	// Nil stands for none.
	IsPresent func(domain string) bool
	// Violated is called with a violated invariant; the shard is then given up
	// and replayed from the ledger. If Violated is nil, the violation panics,
	// as tests need.
	Violated func(error)
	Log      *log.Logger
}

// A Controller runs the shards of one daemon. It is safe for concurrent use;
// Run must be called only once.
type Controller struct {
	options Options

	mu     sync.Mutex
	shards map[string]*shard
}

// New returns a controller that owns no shard until Run is called.
func New(o Options) *Controller {
	return &Controller{options: o, shards: map[string]*shard{}}
}

// call is a request to the control goroutine of a shard.
type call struct {
	// run is executed on the control goroutine. It returns an event to handle,
	// or nil if there is none.
	run func(*owner) (*scheduler.Event, error)
	// done receives the result: at once if run returned no event, else once
	// the changes of the event are committed.
	done chan error
}

// Owned returns the names of the shards that this daemon owns, sorted.
func (c *Controller) Owned() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var owned []string
	for name, s := range c.shards {
		if s.epoch.Load() > 0 {
			owned = append(owned, name)
		}
	}
	slices.Sort(owned)
	return owned
}

// Epoch returns the epoch in which this daemon owns a shard, or zero if it
// doesn't own the shard.
func (c *Controller) Epoch(shard string) uint64 {
	if s := c.findShard(shard); s != nil {
		return s.epoch.Load()
	}
	return 0
}

// Routes returns the routing table of a shard that this daemon owns, or nil if
// it doesn't own the shard.
func (c *Controller) Routes(shard string) *messenger.RoutingTable {
	if s := c.findShard(shard); s != nil && s.epoch.Load() > 0 {
		return s.routes.Load()
	}
	return nil
}

func (c *Controller) findShard(name string) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shards[name]
}

// callOwner runs f on the shard's control goroutine and waits until the
// changes of the event that f returns are committed.
func (c *Controller) callOwner(ctx context.Context, shard string, f func(*owner) (*scheduler.Event, error)) error {
	s := c.findShard(shard)
	if s == nil || s.epoch.Load() == 0 {
		return &NotOwnerError{shard}
	}
	k := call{f, make(chan error, 1)}
	select {
	case s.calls <- k:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-k.done:
		return err
	case <-ctx.Done():
		return &UndecidedError{ctx.Err()}
	}
}

// Submit accepts a job and returns once the job is committed.
func (c *Controller) Submit(ctx context.Context, shard string, e scheduler.JobSubmitted) error {
	return c.callOwner(ctx, shard, func(o *owner) (*scheduler.Event, error) {
		if err := o.checkStateSize(); err != nil {
			return nil, err
		}
		if err := o.core.CheckSubmission(time.Now(), e); err != nil {
			return nil, err
		}
		return &scheduler.Event{Submitted: &e}, nil
	})
}

// Cancel cancels a job and returns once the cancellation is committed.
func (c *Controller) Cancel(ctx context.Context, shard string, e scheduler.JobCancelled) error {
	return c.Deliver(ctx, shard, scheduler.Event{Cancelled: &e})
}

// Deliver passes an event from another shard or from an operator to a shard
// and returns once its changes are committed.
func (c *Controller) Deliver(ctx context.Context, shard string, e scheduler.Event) error {
	return c.callOwner(ctx, shard, func(*owner) (*scheduler.Event, error) { return &e, nil })
}

// TakeOver accepts a task from another shard and returns once the task is
// committed. It is idempotent: repeating the offer of a transfer changes
// nothing.
func (c *Controller) TakeOver(ctx context.Context, shard string, offer scheduler.TransferOffered) error {
	return c.callOwner(ctx, shard, func(o *owner) (*scheduler.Event, error) {
		if err := o.checkStateSize(); err != nil {
			return nil, err
		}
		if err := o.core.CheckOffer(offer); err != nil {
			return nil, &NotAcceptedError{shard, err.Error()}
		}
		return &scheduler.Event{Offered: &offer}, nil
	})
}

// Report is the state of a shard, for the operator's tool.
type Report struct {
	Shard   string             `json:"shard"`
	Epoch   uint64             `json:"epoch"`
	Tasks   []scheduler.Task   `json:"tasks"`
	Jobs    []scheduler.Job    `json:"jobs"`
	Workers []scheduler.Worker `json:"workers"`
	// Explanations are the matching decisions since this daemon became the
	// owner, latest first.
	Explanations []scheduler.Explanation `json:"explanations,omitempty"`
}

// Inspect returns the state of an owned shard as a JSON-encoded Report without
// explanations.
func (c *Controller) Inspect(ctx context.Context, shard string) ([]byte, error) {
	r, err := c.buildReport(ctx, shard, nil)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode report")
}

// Explain returns the state of an owned shard and the explanations that match
// q.
func (c *Controller) Explain(ctx context.Context, shard string, q scheduler.Query) (Report, error) {
	return c.buildReport(ctx, shard, &q)
}

func (c *Controller) buildReport(ctx context.Context, shard string, q *scheduler.Query) (Report, error) {
	var r Report
	err := c.callOwner(ctx, shard, func(o *owner) (*scheduler.Event, error) {
		s := o.core.Snapshot()
		r = Report{Shard: shard, Epoch: o.ledger.Epoch(), Tasks: s.Tasks, Jobs: s.Jobs, Workers: s.Workers}
		if q != nil {
			r.Explanations = o.core.Explain(*q)
		}
		return nil, nil
	})
	return r, err
}

const (
	// settleRetryDelay is the time between two attempts to settle an undecided
	// append.
	settleRetryDelay = 500 * time.Millisecond
	// homePollInterval is the time between two attempts to acquire the shard
	// of the daemon's own domain. Each attempt reads the store; at 250 ms the
	// daemons of one domain made 8 reads a second.
	homePollInterval = 500 * time.Millisecond
	// foreignPollInterval is the time between two reads of the owner of
	// another domain's shard. Such a shard is acquired only after it has been
	// without an owner for foreignTakeoverDelay.
	foreignPollInterval  = 3 * time.Second
	foreignTakeoverDelay = 15 * time.Second
)

// Run acquires the shard of the daemon's own domain whenever it has no owner,
// and those of other domains while none of their daemons is present. It
// returns after ctx is done and all owned shards are released.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	home := c.addShard(c.options.Domain)
	wg.Go(func() { home.run(ctx) })
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		if config, _ := c.options.Config.Current(); config != nil {
			for _, domain := range config.Domains {
				if c.findShard(domain) == nil {
					s := c.addShard(domain)
					wg.Go(func() { s.run(ctx) })
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *Controller) addShard(domain string) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &shard{
		controller: c, name: domain, isHome: domain == c.options.Domain, calls: make(chan call),
		state: c.options.Charts.Shard.Start(),
	}
	c.shards[domain] = s
	return s
}

// reportViolation reports a violated invariant.
func (c *Controller) reportViolation(err error) {
	if c.options.Violated == nil {
		panic(err)
	}
	c.options.Violated(err)
}
