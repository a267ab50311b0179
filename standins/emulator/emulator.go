// Package emulator runs controllers, workers and the store in one process, so
// that tests can use virtual time. Tests can interrupt the connections between
// them. A System runs the controllers of internal/controller. A Deployment runs
// the owners of several shards of internal/conductor, and checks the caps of
// organisations.
package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/configurer"
	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/placer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/standins/storekeeper"
	"tarragonhead.example/tarragonhead/standins/worker"
)

// Options configures a System.
type Options struct {
	Domains []string
	// Workers is the number of workers in each domain.
	Workers int
	// Capacity is the capacity of each worker.
	Capacity declarer.Resources
	// Daemons is the number of daemons in each domain.
	Daemons int
	// Services are the services that are declared at the start.
	Services []declarer.Service
	Log      *log.Logger
}

// System is a running system of daemons, workers and a store.
type System struct {
	options    Options
	Store      *storekeeper.Store
	charts     scheduler.Charts
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu        sync.Mutex
	daemons   []*Daemon
	workers   map[netip.AddrPort]*worker.Worker
	workerIDs map[netip.AddrPort]string
	// retired holds the former addresses of moved workers.
	retired map[netip.AddrPort]bool
	// killed holds the records of the processes that have ended.
	killed []worker.Attempt
}

// Daemon is the controller of one daemon with its connections.
type Daemon struct {
	system     *System
	ID         string
	Domain     string
	Controller *controller.Controller
	config     *configurer.Configurer
	cancel     context.CancelFunc
	done       chan struct{}
	// StoreDown makes the daemon's calls to the store and to discovery fail.
	StoreDown atomic.Bool
	// ConfigDown makes the daemon's reads of the configuration fail.
	ConfigDown atomic.Bool
	// DropPeerAnswers drops the answers of the daemon's peers.
	DropPeerAnswers atomic.Bool
	// isPaused blocks the daemon's calls, as if its process were suspended.
	isPaused atomic.Bool
	isDead   atomic.Bool

	mu    sync.Mutex
	links map[string]*worker.Link
}

// Start starts a system and declares its services.
func Start(o Options) (*System, error) {
	charts, err := scheduler.LoadCharts()
	if err != nil {
		return nil, err
	}
	s := &System{options: o, Store: storekeeper.New(time.Second), workers: map[netip.AddrPort]*worker.Worker{}, workerIDs: map[netip.AddrPort]string{}, retired: map[netip.AddrPort]bool{}, charts: charts}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for d, domain := range o.Domains {
		for i := range o.Workers {
			s.startWorker(domain, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), byte(i >> 8), byte(i)}), 1))
		}
	}
	s.background.Go(s.runWorkers)
	for _, domain := range o.Domains {
		for i := range o.Daemons {
			s.StartDaemon(fmt.Sprintf("%s-d%d", domain, i), domain)
		}
	}
	_, err = s.Daemons()[0].config.Propose(s.ctx, configurer.Change{ID: "rehearsal", Operator: "emulator", Summary: "declare the work", Edit: func(c *declarer.Config) error {
		c.Domains, c.Services = o.Domains, o.Services
		c.Teams = []declarer.Team{{Name: "team", Weight: 1}}
		return nil
	}})
	if err != nil {
		s.Stop()
	}
	return s, err
}

func (s *System) startWorker(domain string, addr netip.AddrPort) {
	id := fmt.Sprintf("%s-w%d", domain, len(s.workers))
	s.workers[addr] = worker.New(worker.Options{ID: id, Domain: domain, Capacity: s.options.Capacity, TimeScale: 1, UsageLag: 2 * time.Second, StartRunner: startRunner})
	s.workerIDs[addr] = id
}

// startRunner returns the address of a runner that is never called.
func startRunner(string) (netip.AddrPort, func(), error) {
	return netip.MustParseAddrPort("10.255.0.1:1"), func() {}, nil
}

// TakeDomainOut takes a domain out of service.
func (s *System) TakeDomainOut(domain string) error {
	_, err := s.Daemons()[0].config.Propose(s.ctx, configurer.Change{ID: "out-" + domain, Operator: "emulator", Summary: "take out " + domain, Edit: func(c *declarer.Config) error {
		c.DomainsOut = []string{domain}
		return nil
	}})
	return err
}

// runWorkers advances the workers and keeps them registered with discovery.
func (s *System) runWorkers() {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for n := 0; ; n++ {
		s.mu.Lock()
		for addr, w := range s.workers {
			w.Advance()
			if n%5 == 0 && !s.retired[addr] {
				s.Store.Register(dispatcher.Instance{ID: s.workerIDs[addr], Domain: w.Domain(), Role: dispatcher.RoleWorker, Addr: addr, Capacity: s.options.Capacity})
			}
		}
		s.mu.Unlock()
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Daemons returns every daemon that was started, including those that have
// stopped.
func (s *System) Daemons() []*Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.daemons)
}

// StartDaemon starts a daemon in a domain.
func (s *System) StartDaemon(id, domain string) *Daemon {
	d := &Daemon{system: s, ID: id, Domain: domain, done: make(chan struct{}), links: map[string]*worker.Link{}}
	store := storeclient.Limit(d.store(), storeclient.DefaultRates)
	d.config = configurer.New(configurer.Options{Store: store, Log: s.options.Log})
	d.Controller = controller.New(controller.Options{
		Self: id, Domain: domain, Store: store, Config: d.config, Charts: s.charts, Policy: placer.FirstFit(), Log: s.options.Log,
		Worker: func(addr netip.AddrPort) dispatcher.Worker { return d.workerClient(addr) },
		Instances: func(context.Context) ([]dispatcher.Instance, error) {
			if d.isCutOff() {
				return nil, errors.New("injected fault")
			}
			return s.Store.Instances(), nil
		},
		Peer:      d.peer,
		IsPresent: func(domain string) bool { return s.hasLiveDaemon(domain) },
	})
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(s.ctx)
	s.mu.Lock()
	s.daemons = append(s.daemons, d)
	s.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { d.config.Run(ctx) })
	loops.Go(func() { d.Controller.Run(ctx) })
	go func() {
		defer close(d.done)
		loops.Wait()
	}()
	return d
}

// hasLiveDaemon reports whether a daemon of the domain has not been stopped.
func (s *System) hasLiveDaemon(domain string) bool {
	return slices.ContainsFunc(s.Daemons(), func(d *Daemon) bool { return d.Domain == domain && !d.isDead.Load() })
}

func (d *Daemon) isCutOff() bool { return d.StoreDown.Load() || d.isDead.Load() }

// waitWhilePaused blocks until the daemon is not paused.
func (d *Daemon) waitWhilePaused() {
	for d.isPaused.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// Pause blocks every call of the daemon until Resume is called.
func (d *Daemon) Pause() { d.isPaused.Store(true) }

// Resume ends a pause.
func (d *Daemon) Resume() { d.isPaused.Store(false) }

// Kill stops the daemon without a chance to release its shards.
func (d *Daemon) Kill() {
	d.isDead.Store(true)
	d.cancel()
	<-d.done
}

// Stop shuts the daemon down gracefully.
func (d *Daemon) Stop() {
	d.cancel()
	<-d.done
	d.isDead.Store(true)
}

// Link returns the daemon's connection to a worker, on which a test can inject
// faults.
func (d *Daemon) Link(id string) *worker.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links[id] == nil {
		d.links[id] = &worker.Link{}
	}
	return d.links[id]
}

// workerClient returns a client of the worker at addr whose calls fail once the
// daemon is dead.
func (d *Daemon) workerClient(addr netip.AddrPort) dispatcher.Worker {
	s := d.system
	// current returns the client of the process that has the address now.
	current := func() dispatcher.Worker {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.workers[addr].Client(d.Link(s.workerIDs[addr]))
	}
	checkAlive := func() error {
		d.waitWhilePaused()
		if d.isDead.Load() {
			return &dispatcher.UnreachableError{Worker: addr, Err: errors.New("daemon killed")}
		}
		return nil
	}
	guarded := func(f func(dispatcher.Worker) func(context.Context, dispatcher.AttemptRequest) error) func(context.Context, dispatcher.AttemptRequest) error {
		return func(ctx context.Context, r dispatcher.AttemptRequest) error {
			if err := checkAlive(); err != nil {
				return err
			}
			return f(current())(ctx, r)
		}
	}
	return dispatcher.Worker{
		Renew: func(ctx context.Context, r dispatcher.RenewRequest) (dispatcher.Status, error) {
			if err := checkAlive(); err != nil {
				return dispatcher.Status{}, err
			}
			return current().Renew(ctx, r)
		},
		Start: func(ctx context.Context, r dispatcher.StartRequest) error {
			if err := checkAlive(); err != nil {
				return err
			}
			return current().Start(ctx, r)
		},
		Stop:       guarded(func(w dispatcher.Worker) func(context.Context, dispatcher.AttemptRequest) error { return w.Stop }),
		Checkpoint: guarded(func(w dispatcher.Worker) func(context.Context, dispatcher.AttemptRequest) error { return w.Checkpoint }),
		Throttle:   guarded(func(w dispatcher.Worker) func(context.Context, dispatcher.AttemptRequest) error { return w.Throttle }),
	}
}

// store returns a client of the store whose calls fail while the daemon is cut
// off.
func (d *Daemon) store() storeclient.Store {
	client := d.system.Store.Client()
	checkStore := func(op, key string) error {
		d.waitWhilePaused()
		if d.isCutOff() || (key == "config" && d.ConfigDown.Load()) {
			return &storeclient.UnavailableError{Op: op, Key: key, Err: errors.New("injected fault")}
		}
		return nil
	}
	s := client
	s.Get = func(ctx context.Context, key string) (storeclient.Entry, error) {
		if err := checkStore("get", key); err != nil {
			return storeclient.Entry{}, err
		}
		return client.Get(ctx, key)
	}
	s.CompareAndSwap = func(ctx context.Context, key string, value []byte, expected uint64, lease storeclient.LeaseID) (uint64, error) {
		if err := checkStore("compare_and_swap", key); err != nil {
			return 0, err
		}
		return client.CompareAndSwap(ctx, key, value, expected, lease)
	}
	s.Watch = func(ctx context.Context, key string, after uint64) (storeclient.Entry, error) {
		if err := checkStore("watch", key); err != nil {
			return storeclient.Entry{}, err
		}
		entry, err := client.Watch(ctx, key, after)
		if err == nil {
			err = checkStore("watch", key)
		}
		return entry, err
	}
	s.Grant = func(ctx context.Context, ttl time.Duration) (storeclient.LeaseID, error) {
		if err := checkStore("grant", ""); err != nil {
			return 0, err
		}
		return client.Grant(ctx, ttl)
	}
	s.KeepAlive = func(ctx context.Context, id storeclient.LeaseID) error {
		if err := checkStore("keep_alive", ""); err != nil {
			return err
		}
		return client.KeepAlive(ctx, id)
	}
	s.Revoke = func(ctx context.Context, id storeclient.LeaseID) error {
		if err := checkStore("revoke", ""); err != nil {
			return err
		}
		return client.Revoke(ctx, id)
	}
	return s
}

// peer is one daemon's client of another daemon, for messages between shards.
type peer struct {
	messenger.Peer
	to          *Daemon
	dropAnswers *atomic.Bool
}

// HandOver implements messenger.Peer.
func (p *peer) HandOver(ctx context.Context, r *messenger.HandOverRequest) (*messenger.HandOverResponse, error) {
	var t scheduler.Task
	if err := marshaler.Unmarshal(r.Task, &t); err != nil {
		return nil, err
	}
	err := p.to.Controller.TakeOver(ctx, r.ToShard, scheduler.TransferOffered{TransferID: r.TransferId, Task: t})
	if p.dropAnswers.Load() {
		return nil, errors.New("injected fault")
	}
	return &messenger.HandOverResponse{Accepted: err == nil}, err
}

// Report implements messenger.Peer.
func (p *peer) Report(ctx context.Context, r *messenger.ShardReport) (*messenger.ShardReportResponse, error) {
	err := p.to.Controller.DeliverReport(ctx, r)
	if p.dropAnswers.Load() {
		return nil, errors.New("injected fault")
	}
	return &messenger.ShardReportResponse{}, err
}

// Cancel implements messenger.Peer.
func (p *peer) Cancel(ctx context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	err := p.to.Controller.Cancel(ctx, r.Shard, scheduler.JobCancelled{JobID: r.JobId, Home: r.Home})
	if p.dropAnswers.Load() {
		return nil, errors.New("injected fault")
	}
	return &messenger.CancelResponse{}, err
}

func (d *Daemon) peer(shard string) messenger.Peer {
	if owner := d.system.Owner(shard); owner != nil {
		return &peer{to: owner, dropAnswers: &d.DropPeerAnswers}
	}
	return nil
}

// Owner returns the daemon that owns a shard with the highest epoch, or nil if
// there is none.
func (s *System) Owner(shard string) *Daemon {
	var owner *Daemon
	for _, d := range s.Daemons() {
		if e := d.Controller.Epoch(shard); e > 0 && !d.isDead.Load() && (owner == nil || e > owner.Controller.Epoch(shard)) {
			owner = d
		}
	}
	return owner
}

// Submit submits a job to a shard's owner and retries until it is accepted.
func (s *System) Submit(shard string, j declarer.BatchJob) {
	for {
		if owner := s.Owner(shard); owner != nil {
			ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
			err := owner.Controller.Submit(ctx, shard, scheduler.JobSubmitted{Job: j})
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Report returns the state of a shard, or a zero Report if its owner is unknown
// or does not answer.
func (s *System) Report(shard string) controller.Report {
	var r controller.Report
	owner := s.Owner(shard)
	if owner == nil {
		return r
	}
	ctx, cancel := context.WithTimeout(s.ctx, 2*time.Second)
	defer cancel()
	if data, err := owner.Controller.Inspect(ctx, shard); err == nil {
		_ = json.Unmarshal(data, &r)
	}
	return r
}

// WaitUntil polls a condition until it holds, for at most about d of virtual time.
// It returns how long it waited and whether the condition holds.
func WaitUntil(d time.Duration, reached func() bool) (time.Duration, bool) {
	began := time.Now()
	step := min(max(d/1000, 50*time.Millisecond), 5*time.Second)
	for !reached() {
		if time.Since(began) > d {
			return time.Since(began), false
		}
		time.Sleep(step)
	}
	return time.Since(began), true
}

// Stop stops all daemons and workers and waits for them.
func (s *System) Stop() {
	for _, d := range s.Daemons() {
		d.Resume()
	}
	s.cancel()
	for _, d := range s.Daemons() {
		<-d.done
	}
	s.background.Wait()
}
