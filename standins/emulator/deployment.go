package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// callDelay is the latency of a call in one direction.
	callDelay = 2 * time.Millisecond
	// configInterval is how often an owner reads the configuration.
	configInterval = 900 * time.Millisecond
	// maxLease is the longest lease of a run.
	maxLease = 6 * time.Second
)

// DeploymentOptions configures a Deployment.
type DeploymentOptions struct {
	Shards int
	// Machines is the number of workers of each shard, and Capacity that of each worker.
	Machines int
	Capacity planner.Resources
	// Candidates is the number of processes that may own each shard.
	Candidates    int
	Organisations map[string]planner.Organisation
	// IgnoreCaps withholds the caps from the owners, but not from the checks.
	IgnoreCaps bool
	Seed       uint64
	Log        *log.Logger
}

// Deployment is a running system of owners of several shards (internal/conductor), their
// workers and a store.
type Deployment struct {
	options    DeploymentOptions
	keeper     *keeper.Keeper
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu       sync.Mutex
	owners   []*Owner
	machines []*machine
	jobs     []*submission
	// config is the configuration in the store. Changes of caps are in ledger too.
	config map[string]planner.Organisation
	ledger ledger
	// writeFault, if set, returns the fault of a transaction, and startDelay, if set, how
	// late a start arrives at its worker. They are called with mu held.
	writeFault func(*Owner, storeclient.Transaction) WriteFault
	startDelay func() time.Duration
	rng        *rand.Rand
}

// WriteFault is the fault of a transaction.
type WriteFault struct {
	// Delay is how late the transaction takes effect. The call times out before, if its
	// timeout is shorter.
	Delay time.Duration
	// KillsOwner ends the owner when the transaction has taken effect.
	KillsOwner bool
}

// Owner is a process that owns one shard or may do so.
type Owner struct {
	deployment *Deployment
	Shard      string
	address    netip.AddrPort
	conductor  *conductor.Conductor
	cancel     context.CancelFunc

	// The fields below are guarded by the deployment's mutex.

	// isDead is set when the process has ended, and isCutOff while it can't reach the
	// store.
	isDead, isCutOff bool
	// inForce is the configuration that the owner has read last.
	inForce map[string]planner.Organisation
}

// StartDeployment starts a deployment, in which each shard then gets an owner.
func StartDeployment(o DeploymentOptions) (*Deployment, error) {
	d := &Deployment{options: o, keeper: keeper.New(time.Now), config: o.Organisations, ledger: newLedger(o.Organisations), rng: rand.New(rand.NewPCG(o.Seed, 0))}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	for shard := range o.Shards {
		for range o.Machines {
			d.machines = append(d.machines, newMachine(d, fmt.Sprint(shard), len(d.machines)))
		}
	}
	for i := range o.Shards * o.Candidates {
		if err := d.startOwner(fmt.Sprint(i%o.Shards), i+1); err != nil {
			d.Stop()
			return nil, err
		}
	}
	d.background.Go(d.run)
	return d, nil
}

// Stop stops all processes and waits for them. Calls that a stopped owner doesn't wait for
// end with their timeouts.
func (d *Deployment) Stop() {
	d.locked(d.cancel)
	d.background.Wait()
	time.Sleep(time.Minute)
}

// run advances the workers and checks how long tasks wait.
func (d *Deployment) run() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
		d.locked(func() {
			d.advance()
			d.checkWaits()
		})
	}
}

// spawn runs f in the background, unless the deployment is being stopped.
func (d *Deployment) spawn(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() == nil {
		d.background.Go(f)
	}
}

func (d *Deployment) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *Deployment) startOwner(shard string, number int) error {
	o := &Owner{deployment: d, Shard: shard, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(number))}
	ctx, cancel := context.WithCancel(d.ctx)
	o.cancel = cancel
	options := conductor.Options{
		Shard: shard, Shards: d.options.Shards, Self: fmt.Sprint("owner", number), Address: o.address, Store: o.store(), Workers: o.calls(),
		Discover: func(ctx context.Context) {
			var list []planner.Worker
			for _, m := range d.machines {
				if m.shard == shard {
					list = append(list, m.Worker)
				}
			}
			o.conductor.SetWorkers(ctx, list, nil)
		},
		Ask:    d.ask,
		Limits: conductor.Limits{MaxLease: maxLease, ViolationLimit: time.Minute, StateRetention: 10 * time.Minute},
		Log:    d.options.Log, Registry: prometheus.NewRegistry(),
		Now: time.Now, WallTime: func(t time.Time) time.Time { return t },
	}
	var err error
	if o.conductor, err = conductor.New(options); err != nil {
		return errors.Wrap(err, "start an owner")
	}
	d.locked(func() { d.owners = append(d.owners, o) })
	d.background.Go(func() { o.conductor.Run(ctx) })
	d.background.Go(func() { conductor.Follow(ctx, options.Store, time.Now, []*conductor.Conductor{o.conductor}) })
	d.background.Go(func() { o.followConfig(ctx, time.Duration(number)*configInterval/10) })
	return nil
}

// followConfig reads the configuration, first after a delay and then regularly.
func (o *Owner) followConfig(ctx context.Context, delay time.Duration) {
	for isFirst := true; ; isFirst = false {
		d := o.deployment
		organisations := map[string]planner.Organisation{}
		d.locked(func() {
			if !o.isCutOff {
				o.inForce = d.config
			}
			for name, value := range o.inForce {
				if d.options.IgnoreCaps {
					value.Cap = planner.Resources{}
				}
				organisations[name] = value
			}
		})
		o.conductor.SetConfig(planner.Config{Organisations: organisations})
		if !isFirst {
			delay = configInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

func (d *Deployment) ask(ctx context.Context, address netip.AddrPort, q conductor.Question) (conductor.Reply, error) {
	d.mu.Lock()
	var asked *Owner
	for _, o := range d.owners {
		if o.address == address && !o.isDead {
			asked = o
		}
	}
	d.mu.Unlock()
	if asked == nil {
		return conductor.Reply{}, errNoAnswer
	}
	return asked.conductor.ServeQuestion(ctx, q)
}

// Owner returns the owner of a shard, or nil if it has none.
func (d *Deployment) Owner(shard string) *Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.owners {
		if o.Shard == shard && !o.isDead && !o.isCutOff && o.conductor.IsOwner() {
			return o
		}
	}
	return nil
}

// kill ends the process without a chance to release its shard. The caller holds the
// deployment's mutex.
func (o *Owner) kill() {
	o.isDead = true
	o.cancel()
	o.deployment.ledger.note("owner %s of shard %s ends", o.address, o.Shard)
}

// SetCutOff cuts an owner off from the store, or ends that.
func (o *Owner) SetCutOff(isCutOff bool) {
	o.deployment.locked(func() {
		o.isCutOff = isCutOff
		o.deployment.ledger.note("owner %s of shard %s: cut off from the store: %t", o.address, o.Shard, isCutOff)
	})
}

var errNoAnswer = errors.New("injected fault: no answer")

// reach returns an error if the owner can't reach the store.
func (o *Owner) reach(op string, mayHaveApplied bool) error {
	time.Sleep(callDelay)
	o.deployment.mu.Lock()
	defer o.deployment.mu.Unlock()
	if o.isDead || o.isCutOff {
		return &storeclient.UnavailableError{Op: op, MayHaveApplied: mayHaveApplied, Err: errNoAnswer}
	}
	return nil
}

// within calls the store, if the owner can reach it before and after the call.
func within[T any](o *Owner, op string, f func() (T, uint64, error)) (T, uint64, error) {
	var none T
	if err := o.reach(op, false); err != nil {
		return none, 0, err
	}
	value, revision, err := f()
	if err != nil {
		return none, 0, err
	}
	return value, revision, o.reach(op, true)
}

// store returns the store as the owner reaches it.
func (o *Owner) store() storeclient.PrefixStore {
	s := o.deployment.keeper.Store()
	limited := s
	limited.Get = func(ctx context.Context, key string) (storeclient.Entry, error) {
		e, _, err := within(o, "get", func() (e storeclient.Entry, _ uint64, err error) { e, err = s.Get(ctx, key); return })
		return e, err
	}
	limited.Range = func(ctx context.Context, prefix string) ([]storeclient.Entry, uint64, error) {
		return within(o, "range", func() ([]storeclient.Entry, uint64, error) { return s.Range(ctx, prefix) })
	}
	limited.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storeclient.Event, uint64, error) {
		return within(o, "watch", func() ([]storeclient.Event, uint64, error) { return s.Watch(ctx, prefix, after, wait) })
	}
	limited.Grant = func(ctx context.Context, ttl time.Duration) (storeclient.LeaseID, error) {
		id, _, err := within(o, "grant", func() (id storeclient.LeaseID, _ uint64, err error) { id, err = s.Grant(ctx, ttl); return })
		return id, err
	}
	limited.KeepAlive = func(ctx context.Context, id storeclient.LeaseID) error {
		_, _, err := within(o, "keep_alive", func() (bool, uint64, error) { return true, 0, s.KeepAlive(ctx, id) })
		return err
	}
	limited.Revoke = func(ctx context.Context, id storeclient.LeaseID) error {
		_, _, err := within(o, "revoke", func() (bool, uint64, error) { return true, 0, s.Revoke(ctx, id) })
		return err
	}
	limited.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
		_, revision, err := within(o, "transact", func() (_ bool, revision uint64, err error) { revision, err = o.transact(ctx, s, t); return })
		return revision, err
	}
	return limited
}

// transact applies a transaction, which may take effect late or end the owner.
func (o *Owner) transact(ctx context.Context, s storeclient.PrefixStore, t storeclient.Transaction) (uint64, error) {
	d := o.deployment
	var f WriteFault
	d.locked(func() {
		if d.writeFault != nil {
			f = d.writeFault(o, t)
		}
	})
	type outcome struct {
		revision uint64
		err      error
	}
	done := make(chan outcome, 1)
	d.spawn(func() {
		time.Sleep(f.Delay)
		revision, err := s.Transact(context.WithoutCancel(ctx), t)
		if f.KillsOwner && err == nil {
			d.locked(o.kill)
		}
		done <- outcome{revision, err}
	})
	select {
	case r := <-done:
		return r.revision, r.err
	case <-ctx.Done():
		return 0, &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true, Err: ctx.Err()}
	}
}

// SetCap changes the cap of an organisation.
func (d *Deployment) SetCap(organisation string, limit planner.Resources) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[string]planner.Organisation{}
	for name, o := range d.config {
		if name == organisation {
			d.ledger.replaceCap(name, o.Cap)
			o.Cap = limit
		}
		next[name] = o
	}
	d.config = next
	d.ledger.note("cap of %s: %+v", organisation, limit)
}

// Submit stores an accepted job of count equal tasks.
func (d *Deployment) Submit(shard, organisation string, count int, need planner.Resources, work time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := planner.Job{
		ID: fmt.Sprintf("%s-%d", organisation, len(d.jobs)), Organisation: organisation, Received: time.Now(),
		Queue: planner.Queue{Name: "queue", Service: "service", Attempts: 100, Stretch: 2, Slack: time.Second},
		Steps: []planner.Step{{Count: count, Need: need, Estimate: work}},
	}
	value, err := planner.Encode(j)
	if err != nil {
		return err
	}
	d.jobs = append(d.jobs, &submission{Job: j, shard: shard, waitsSince: make([]time.Time, count), started: make([]bool, count), done: make([]bool, count)})
	d.keeper.Put(conductor.IndexKey(j.ID), []byte(shard))
	d.keeper.Put(conductor.JobKey(shard, j.ID), value)
	return nil
}
