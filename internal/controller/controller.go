// Package controller owns shards: it takes a shard's lease, replays the
// ledger, and then drives the control core, commits its changes and carries
// out its commands.
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

// NotOwnerError reports a call to a daemon that doesn't own the shard. What
// the call asked for may still be committed if it had been accepted before the
// shard was lost.
type NotOwnerError struct{ Shard string }

func (e *NotOwnerError) Error() string { return "this daemon does not own shard " + e.Shard }

// UndecidedError reports a call of which it isn't known whether its change was
// or will be committed. Repeating the call is safe.
type UndecidedError struct{ Err error }

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("it is not known whether the change was committed: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Err }

// NotAcceptedError reports a call that changed nothing.
type NotAcceptedError struct {
	Shard  string
	Reason string
}

func (e *NotAcceptedError) Error() string { return "shard " + e.Shard + ": " + e.Reason }

// Options are what a controller depends on.
type Options struct {
	// Self is this daemon's member id, and Control its control address.
	Self    string
	Control netip.AddrPort
	Domain  string
	Store   storeclient.Store
	Config  *configurer.Configurer
	Charts  scheduler.Charts
	// Policy is the interference-aware one, with mitigation, when it is zero.
	Policy placer.Policy
	Worker func(addr netip.AddrPort) dispatcher.Worker
	// Instances returns the platform's list of instances.
	Instances func(ctx context.Context) ([]dispatcher.Instance, error)
	// Peer returns the client of a shard's owner, nil if none is known.
	Peer func(shard string) messenger.Peer
	// IsPresent reports whether a daemon of a domain is known to be alive.
	IsPresent func(domain string) bool
	// Violated is called with a broken invariant; the shard is then given up
	// and replayed. Nil panics, as tests want.
	Violated func(error)
	Log      *log.Logger
}

// Controller is safe for concurrent use; Run is called once.
type Controller struct {
	options Options

	mu     sync.Mutex
	shards map[string]*shard
}

// New returns a controller that owns nothing yet.
func New(o Options) *Controller {
	return &Controller{options: o, shards: map[string]*shard{}}
}

// call is a function to run on a shard's control goroutine.
type call struct {
	// run returns an event to handle, or nil.
	run func(*owner) (*scheduler.Event, error)
	// done gets the result after the event's changes are committed.
	done chan error
}

// Owned returns the shards that this daemon owns, sorted.
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

// Epoch returns the epoch in which this daemon owns a shard, zero if it does
// not.
func (c *Controller) Epoch(shard string) uint64 {
	if s := c.find(shard); s != nil {
		return s.epoch.Load()
	}
	return 0
}

// Routes returns the routing table of a shard that this daemon owns, else nil.
func (c *Controller) Routes(shard string) *messenger.RoutingTable {
	if s := c.find(shard); s != nil && s.epoch.Load() > 0 {
		return s.routes.Load()
	}
	return nil
}

func (c *Controller) find(name string) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shards[name]
}

// do runs f on the shard's control goroutine and waits for the commit of its
// event.
func (c *Controller) do(ctx context.Context, name string, f func(*owner) (*scheduler.Event, error)) error {
	s := c.find(name)
	if s == nil || s.epoch.Load() == 0 {
		return &NotOwnerError{name}
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

// Submit accepts a job; it returns after the commit.
func (c *Controller) Submit(ctx context.Context, shard string, e scheduler.JobSubmitted) error {
	return c.do(ctx, shard, func(o *owner) (*scheduler.Event, error) {
		if err := o.checkRoom(); err != nil {
			return nil, err
		}
		if err := o.core.CheckSubmission(time.Now(), e); err != nil {
			return nil, err
		}
		return &scheduler.Event{Submitted: &e}, nil
	})
}

// Cancel cancels a job; it returns after the commit.
func (c *Controller) Cancel(ctx context.Context, shard string, e scheduler.JobCancelled) error {
	return c.Deliver(ctx, shard, scheduler.Event{Cancelled: &e})
}

// Deliver gives an event of another shard or of an operator to a shard; it
// returns after the commit.
func (c *Controller) Deliver(ctx context.Context, shard string, e scheduler.Event) error {
	return c.do(ctx, shard, func(*owner) (*scheduler.Event, error) { return &e, nil })
}

// TakeOver accepts a task from another shard; it returns after the commit. A
// repeated offer of the same transfer changes nothing.
func (c *Controller) TakeOver(ctx context.Context, shard string, offer scheduler.TransferOffered) error {
	return c.do(ctx, shard, func(o *owner) (*scheduler.Event, error) {
		if err := o.checkRoom(); err != nil {
			return nil, err
		}
		if err := o.core.CheckOffer(offer); err != nil {
			return nil, &NotAcceptedError{shard, err.Error()}
		}
		return &scheduler.Event{Offered: &offer}, nil
	})
}

// Report is the state of a shard for the operator's tool.
type Report struct {
	Shard   string             `json:"shard"`
	Epoch   uint64             `json:"epoch"`
	Tasks   []scheduler.Task   `json:"tasks"`
	Jobs    []scheduler.Job    `json:"jobs"`
	Workers []scheduler.Worker `json:"workers"`
	// Explanations are decisions of this owner, the latest first.
	Explanations []scheduler.Explanation `json:"explanations,omitempty"`
}

// Inspect returns the state of an owned shard as JSON, without explanations.
func (c *Controller) Inspect(ctx context.Context, shard string) ([]byte, error) {
	r, err := c.report(ctx, shard, nil)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode")
}

// Explain returns the state of an owned shard with the explanations that match
// a query.
func (c *Controller) Explain(ctx context.Context, shard string, q scheduler.Query) (Report, error) {
	return c.report(ctx, shard, &q)
}

func (c *Controller) report(ctx context.Context, shard string, q *scheduler.Query) (Report, error) {
	var r Report
	err := c.do(ctx, shard, func(o *owner) (*scheduler.Event, error) {
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
	// retryPause is between two tries of an undecided append.
	retryPause = 500 * time.Millisecond
	// homePause is between two attempts to take the shard of the own domain.
	// Each attempt is a read of the store; at 250 ms the daemons of one domain
	// made 8 reads a second.
	homePause = 500 * time.Millisecond
	// foreignPause is between two looks at the owner of another domain's
	// shard, and foreignPatience how long that shard must be without one.
	foreignPause    = 3 * time.Second
	foreignPatience = 15 * time.Second
)

// Run owns the shard of the own domain whenever it can, and those of other
// domains that have no daemon left, until ctx ends. Then it releases them.
func (c *Controller) Run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	home := c.add(c.options.Domain)
	all.Go(func() { home.run(ctx) })
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		if config, _ := c.options.Config.Current(); config != nil {
			for _, domain := range config.Domains {
				if c.find(domain) == nil {
					s := c.add(domain)
					all.Go(func() { s.run(ctx) })
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

func (c *Controller) add(domain string) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &shard{
		controller: c, name: domain, home: domain == c.options.Domain, calls: make(chan call),
		state: c.options.Charts.Shard.Start(),
	}
	c.shards[domain] = s
	return s
}

// violated reports a broken invariant.
func (c *Controller) violated(err error) {
	if c.options.Violated == nil {
		panic(err)
	}
	c.options.Violated(err)
}
