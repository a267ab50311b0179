// Package controller owns a shard: it takes the shard's lease, replays the
// ledger, and then drives the control core, commits its changes and carries
// out its commands.
package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/committer"
	"tarragonhead.example/tarragonhead/internal/configurer"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/placer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	ownerLease = 6 * time.Second
	keepAlive  = 2 * time.Second
	// groupInterval is how long changes are gathered into one record.
	groupInterval = 250 * time.Millisecond
	// snapshotEvery is the number of records after which a snapshot is due.
	snapshotEvery = 256
	retryPause    = 500 * time.Millisecond
)

// NotOwnerError reports a call to a daemon that doesn't own the shard.
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

// Options are what a controller depends on.
type Options struct {
	// Self is this daemon's member id, and Control its control address.
	Self    string
	Control netip.AddrPort
	Domain  string
	Store   storeclient.Store
	Config  *configurer.Configurer
	Charts  scheduler.Charts
	Policy  placer.Policy
	Worker  func(addr netip.AddrPort) dispatcher.Worker
	// Instances returns the platform's list of instances.
	Instances func(ctx context.Context) ([]dispatcher.Instance, error)
	Log       *log.Logger
}

// Owner is the value of a shard's owner key.
type Owner struct {
	Member  string `json:"member"`
	Control string `json:"control"`
}

// Controller is safe for concurrent use; Run is called once.
type Controller struct {
	options Options
	routes  atomic.Pointer[messenger.RoutingTable]
	epoch   atomic.Uint64
	calls   chan call
}

// call is a function to run on the control goroutine.
type call struct {
	// run returns an event to handle, or nil.
	run func(*owner) (*scheduler.Event, error)
	// done gets the result after the event's changes are committed.
	done chan error
}

// New returns a controller that owns nothing yet.
func New(o Options) *Controller {
	return &Controller{options: o, calls: make(chan call)}
}

// Epoch returns the epoch in which this daemon owns its shard, zero if it does
// not.
func (c *Controller) Epoch() uint64 { return c.epoch.Load() }

// Shard returns the shard that this daemon owns or would own.
func (c *Controller) Shard() string { return c.options.Domain }

// Routes returns the routing table of the owned shard, nil if it owns none.
func (c *Controller) Routes() *messenger.RoutingTable {
	if c.Epoch() == 0 {
		return nil
	}
	return c.routes.Load()
}

// do runs f on the control goroutine and waits for the commit of its event.
func (c *Controller) do(ctx context.Context, f func(*owner) (*scheduler.Event, error)) error {
	k := call{f, make(chan error, 1)}
	select {
	case c.calls <- k:
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
func (c *Controller) Submit(ctx context.Context, j declarer.BatchJob) error {
	return c.do(ctx, func(*owner) (*scheduler.Event, error) {
		return &scheduler.Event{Submitted: &scheduler.JobSubmitted{Job: j}}, nil
	})
}

// Cancel cancels a job; it returns after the commit.
func (c *Controller) Cancel(ctx context.Context, id string) error {
	return c.do(ctx, func(*owner) (*scheduler.Event, error) {
		return &scheduler.Event{Cancelled: &scheduler.JobCancelled{JobID: id}}, nil
	})
}

// TakeOver accepts a task from another shard; it returns after the commit.
func (c *Controller) TakeOver(ctx context.Context, offer scheduler.TransferOffered) error {
	return c.do(ctx, func(*owner) (*scheduler.Event, error) {
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
}

// Inspect returns the state of the owned shard as JSON.
func (c *Controller) Inspect(ctx context.Context) ([]byte, error) {
	var data []byte
	err := c.do(ctx, func(o *owner) (*scheduler.Event, error) {
		s := o.core.Snapshot()
		var err error
		data, err = json.Marshal(Report{c.options.Domain, o.ledger.Epoch(), s.Tasks, s.Jobs, s.Workers})
		return nil, err
	})
	return data, err
}

// Run owns the shard whenever it can, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.own(ctx)
		c.epoch.Store(0)
		if err != nil && ctx.Err() == nil {
			c.options.Log.Info().Err(err).Msg("shard: not owned")
		}
		c.refuseCalls(ctx, retryPause)
	}
}

// refuseCalls answers calls for a while as a daemon that owns nothing.
func (c *Controller) refuseCalls(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case k := <-c.calls:
			k.done <- &NotOwnerError{c.options.Domain}
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// own takes the shard, drives it until it is lost or ctx ends, and gives it
// back.
func (c *Controller) own(ctx context.Context) error {
	lease, err := c.acquire(ctx)
	if err != nil {
		return err
	}
	defer func() {
		ending, cancel := context.WithTimeout(storeclient.WithClass(context.Background(), storeclient.ClassOwnership), time.Second)
		defer cancel()
		if err := c.options.Store.Revoke(ending, lease); err != nil {
			c.options.Log.Warn().Err(err).Msg("shard: lease not revoked")
		}
	}()
	ledger := committer.New(committer.Options{Store: c.options.Store, Shard: c.options.Domain, Writer: c.options.Self})
	core := scheduler.New(scheduler.Options{Shard: c.options.Domain, Domain: c.options.Domain, Charts: c.options.Charts, Policy: c.options.Policy})
	begun := time.Now()
	if err := ledger.Replay(ctx, core); err != nil {
		return err
	}
	if err := ledger.Begin(ctx, nil); err != nil {
		return err
	}
	c.options.Log.Info().Uint64("epoch", ledger.Epoch()).Uint64("sequence", ledger.Next()).Dur("replay", time.Since(begun)).Msg("shard: owned")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &owner{
		controller: c, core: core, ledger: ledger, ctx: ctx,
		events: make(chan scheduler.Event, 1024), sessions: map[string]*session{}, runners: map[string]*messenger.Route{},
		committed: make(chan error, 1), lost: make(chan error, 1),
	}
	o.background.Go(func() { o.lost <- c.hold(ctx, lease) })
	c.routes.Store(&messenger.RoutingTable{Shard: c.options.Domain, Epoch: ledger.Epoch()})
	c.epoch.Store(ledger.Epoch())
	err = o.run()
	cancel()
	o.background.Wait()
	return err
}

// acquire makes this daemon the shard's owner, or returns the error of the
// compare-and-swap.
func (c *Controller) acquire(ctx context.Context) (storeclient.LeaseID, error) {
	ctx = storeclient.WithClass(ctx, storeclient.ClassOwnership)
	key := "owner/" + c.options.Domain
	if entry, err := c.options.Store.Get(ctx, key); err == nil {
		var other Owner
		if err := json.Unmarshal(entry.Value, &other); err != nil {
			return 0, errors.Wrap(err, "decode")
		}
		return 0, fmt.Errorf("owned by %s", other.Member)
	}
	lease, err := c.options.Store.Grant(ctx, ownerLease)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(Owner{c.options.Self, c.options.Control.String()})
	if err != nil {
		return 0, err
	}
	if _, err := c.options.Store.CompareAndSwap(ctx, key, value, 0, lease); err != nil {
		return 0, err
	}
	return lease, nil
}

// hold keeps the shard's lease alive and returns when it has ended. While the
// store can't be reached the shard stays owned: nobody else can take it.
func (c *Controller) hold(ctx context.Context, lease storeclient.LeaseID) error {
	ctx = storeclient.WithClass(ctx, storeclient.ClassOwnership)
	t := time.NewTicker(keepAlive)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		var ended *storeclient.LeaseError
		if err := c.options.Store.KeepAlive(ctx, lease); errors.As(err, &ended) {
			return err
		}
	}
}

// owner is the state of the control goroutine while it owns the shard.
type owner struct {
	controller *Controller
	core       *scheduler.Core
	ledger     *committer.Ledger
	ctx        context.Context
	background sync.WaitGroup

	events    chan scheduler.Event
	committed chan error
	lost      chan error
	sessions  map[string]*session
	// runners has the reported runner of each service task.
	runners map[string]*messenger.Route

	// changes, commands and waiting belong to the next record.
	changes  []scheduler.Change
	commands []scheduler.Command
	waiting  []chan error
	ended    []endedAttempt
	// inFlight is set while a record is being appended.
	inFlight *batch
}

type endedAttempt struct {
	worker string
	name   dispatcher.AttemptName
}

// batch is what becomes of one record.
type batch struct {
	commands []scheduler.Command
	waiting  []chan error
	ended    []endedAttempt
}
