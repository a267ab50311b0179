// Package emulator runs controllers, workers and the store in one process,
// with links that a test can cut, so that a test may use virtual time.
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

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/configurer"
	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/placer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/standins/storekeeper"
	"tarragonhead.example/tarragonhead/standins/worker"
)

// Options are the settings of a system.
type Options struct {
	Domains []string
	// Workers is the number of workers in each domain.
	Workers  int
	Capacity declarer.Resources
	// Daemons is the number of daemons in each domain.
	Daemons  int
	Services []declarer.Service
	Log      *log.Logger
}

// System is a running system.
type System struct {
	options Options
	Store   *storekeeper.Store
	charts  scheduler.Charts
	ctx     context.Context
	cancel  context.CancelFunc
	all     sync.WaitGroup

	mu      sync.Mutex
	daemons []*Daemon
	workers map[netip.AddrPort]*worker.Worker
	names   map[netip.AddrPort]string
	// retired has the addresses that workers have moved away from.
	retired map[netip.AddrPort]bool
}

// Daemon is the controller of one daemon with its links.
type Daemon struct {
	system     *System
	ID         string
	Domain     string
	Controller *controller.Controller
	config     *configurer.Configurer
	cancel     context.CancelFunc
	done       chan struct{}
	// StoreDown cuts the daemon off from the store.
	StoreDown atomic.Bool
	// PeersMute loses the answers of the daemon's peers.
	PeersMute atomic.Bool
	// paused is set while the daemon makes no calls, as if it were stopped.
	paused atomic.Bool
	dead   atomic.Bool

	mu    sync.Mutex
	links map[string]*worker.Link
}

// Start starts a system and declares its services.
func Start(o Options) (*System, error) {
	charts, err := scheduler.LoadCharts()
	if err != nil {
		return nil, err
	}
	s := &System{options: o, Store: storekeeper.New(time.Second), workers: map[netip.AddrPort]*worker.Worker{}, names: map[netip.AddrPort]string{}, retired: map[netip.AddrPort]bool{}, charts: charts}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for d, domain := range o.Domains {
		for i := range o.Workers {
			s.startWorker(domain, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), byte(i >> 8), byte(i)}), 1))
		}
	}
	s.all.Go(s.live)
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
	s.names[addr] = id
}

// startRunner stands for a runner that nobody calls.
func startRunner(string) (netip.AddrPort, func(), error) {
	return netip.MustParseAddrPort("10.255.0.1:1"), func() {}, nil
}

// Move lets a worker be listed and reached at a second address, behind which
// is a process that knows nothing. The first one runs on, unlisted, until its
// leases end.
func (s *System) Move(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, name := range s.names {
		if name != id || s.retired[addr] {
			continue
		}
		s.retired[addr] = true
		old := s.workers[addr]
		next := netip.AddrPortFrom(addr.Addr(), addr.Port()+1)
		s.workers[next] = worker.New(worker.Options{ID: id, Domain: old.Domain(), Capacity: s.options.Capacity, TimeScale: 1, StartRunner: startRunner})
		s.names[next] = id
		return
	}
}

// SetOut takes a domain out of service.
func (s *System) SetOut(domain string) error {
	_, err := s.Daemons()[0].config.Propose(s.ctx, configurer.Change{ID: "out-" + domain, Operator: "emulator", Summary: "take out " + domain, Edit: func(c *declarer.Config) error {
		c.DomainsOut = []string{domain}
		return nil
	}})
	return err
}

// live lets the workers' time pass and keeps them listed.
func (s *System) live() {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for n := 0; ; n++ {
		s.mu.Lock()
		for addr, w := range s.workers {
			w.Advance()
			if n%5 == 0 && !s.retired[addr] {
				s.Store.Register(dispatcher.Instance{ID: s.names[addr], Domain: w.Domain(), Role: dispatcher.RoleWorker, Addr: addr, Capacity: s.options.Capacity})
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

// Daemons returns every daemon that was started.
func (s *System) Daemons() []*Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.daemons)
}

// StartDaemon adds a daemon.
func (s *System) StartDaemon(id, domain string) *Daemon {
	d := &Daemon{system: s, ID: id, Domain: domain, done: make(chan struct{}), links: map[string]*worker.Link{}}
	store := storeclient.Limit(d.store(), storeclient.DefaultRates)
	d.config = configurer.New(configurer.Options{Store: store, Log: s.options.Log})
	d.Controller = controller.New(controller.Options{
		Self: id, Domain: domain, Store: store, Config: d.config, Charts: s.charts, Policy: placer.FirstFit(), Log: s.options.Log,
		Worker: func(addr netip.AddrPort) dispatcher.Worker { return d.reach(addr) },
		Instances: func(context.Context) ([]dispatcher.Instance, error) {
			if d.isCut() {
				return nil, errors.New("injected")
			}
			return s.Store.Instances(), nil
		},
		Peer:      d.peer,
		IsPresent: func(domain string) bool { return s.isPresent(domain) },
	})
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(s.ctx)
	s.mu.Lock()
	s.daemons = append(s.daemons, d)
	s.mu.Unlock()
	var parts sync.WaitGroup
	parts.Go(func() { d.config.Run(ctx) })
	parts.Go(func() { d.Controller.Run(ctx) })
	go func() {
		defer close(d.done)
		parts.Wait()
	}()
	return d
}

func (s *System) isPresent(domain string) bool {
	return slices.ContainsFunc(s.Daemons(), func(d *Daemon) bool { return d.Domain == domain && !d.dead.Load() })
}

func (d *Daemon) isCut() bool { return d.StoreDown.Load() || d.dead.Load() }

// wait blocks while the daemon is paused.
func (d *Daemon) wait() {
	for d.paused.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

// Pause stops every call of the daemon until Resume.
func (d *Daemon) Pause() { d.paused.Store(true) }

// Resume ends a pause.
func (d *Daemon) Resume() { d.paused.Store(false) }

// Kill ends the daemon without a chance to clean up.
func (d *Daemon) Kill() {
	d.dead.Store(true)
	d.cancel()
	<-d.done
}

// Stop ends the daemon as planned.
func (d *Daemon) Stop() {
	d.cancel()
	<-d.done
	d.dead.Store(true)
}

// Link returns the daemon's link to a worker.
func (d *Daemon) Link(id string) *worker.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links[id] == nil {
		d.links[id] = &worker.Link{}
	}
	return d.links[id]
}

func (d *Daemon) reach(addr netip.AddrPort) dispatcher.Worker {
	s := d.system
	s.mu.Lock()
	w := s.workers[addr].Client(d.Link(s.names[addr]))
	s.mu.Unlock()
	dead := func() error {
		d.wait()
		if d.dead.Load() {
			return &dispatcher.UnreachableError{Worker: addr, Err: errors.New("daemon killed")}
		}
		return nil
	}
	gate := func(f func(context.Context, dispatcher.AttemptRequest) error) func(context.Context, dispatcher.AttemptRequest) error {
		return func(ctx context.Context, r dispatcher.AttemptRequest) error {
			if err := dead(); err != nil {
				return err
			}
			return f(ctx, r)
		}
	}
	return dispatcher.Worker{
		Renew: func(ctx context.Context, r dispatcher.RenewRequest) (dispatcher.Status, error) {
			if err := dead(); err != nil {
				return dispatcher.Status{}, err
			}
			return w.Renew(ctx, r)
		},
		Start: func(ctx context.Context, r dispatcher.StartRequest) error {
			if err := dead(); err != nil {
				return err
			}
			return w.Start(ctx, r)
		},
		Stop: gate(w.Stop), Checkpoint: gate(w.Checkpoint), Throttle: gate(w.Throttle),
	}
}

// store returns the store as the daemon reaches it.
func (d *Daemon) store() storeclient.Store {
	whole := d.system.Store.Client()
	cut := func(op, key string) error {
		d.wait()
		if d.isCut() {
			return &storeclient.UnavailableError{Op: op, Key: key, Err: errors.New("injected")}
		}
		return nil
	}
	s := whole
	s.Get = func(ctx context.Context, key string) (storeclient.Entry, error) {
		if err := cut("get", key); err != nil {
			return storeclient.Entry{}, err
		}
		return whole.Get(ctx, key)
	}
	s.CompareAndSwap = func(ctx context.Context, key string, value []byte, expected uint64, lease storeclient.LeaseID) (uint64, error) {
		if err := cut("compare_and_swap", key); err != nil {
			return 0, err
		}
		return whole.CompareAndSwap(ctx, key, value, expected, lease)
	}
	s.Watch = func(ctx context.Context, key string, after uint64) (storeclient.Entry, error) {
		if err := cut("watch", key); err != nil {
			return storeclient.Entry{}, err
		}
		return whole.Watch(ctx, key, after)
	}
	s.Grant = func(ctx context.Context, ttl time.Duration) (storeclient.LeaseID, error) {
		if err := cut("grant", ""); err != nil {
			return 0, err
		}
		return whole.Grant(ctx, ttl)
	}
	s.KeepAlive = func(ctx context.Context, id storeclient.LeaseID) error {
		if err := cut("keep_alive", ""); err != nil {
			return err
		}
		return whole.KeepAlive(ctx, id)
	}
	s.Revoke = func(ctx context.Context, id storeclient.LeaseID) error {
		if err := cut("revoke", ""); err != nil {
			return err
		}
		return whole.Revoke(ctx, id)
	}
	return s
}

// peer is a daemon as another one calls it, for messages between shards.
type peer struct {
	messenger.Peer
	to   *Daemon
	mute *atomic.Bool
}

// HandOver implements messenger.Peer.
func (p *peer) HandOver(ctx context.Context, r *messenger.HandOverRequest) (*messenger.HandOverResponse, error) {
	var t scheduler.Task
	if err := cbor.Unmarshal(r.Task, &t); err != nil {
		return nil, err
	}
	err := p.to.Controller.TakeOver(ctx, r.ToShard, scheduler.TransferOffered{TransferID: r.TransferId, Task: t})
	if p.mute.Load() {
		return nil, errors.New("injected")
	}
	return &messenger.HandOverResponse{Accepted: err == nil}, err
}

// Report implements messenger.Peer.
func (p *peer) Report(ctx context.Context, r *messenger.ShardReport) (*messenger.ShardReportResponse, error) {
	err := p.to.Controller.DeliverReport(ctx, r)
	if p.mute.Load() {
		return nil, errors.New("injected")
	}
	return &messenger.ShardReportResponse{}, err
}

// Cancel implements messenger.Peer.
func (p *peer) Cancel(ctx context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	err := p.to.Controller.Cancel(ctx, r.Shard, scheduler.JobCancelled{JobID: r.JobId, Home: r.Home})
	if p.mute.Load() {
		return nil, errors.New("injected")
	}
	return &messenger.CancelResponse{}, err
}

func (d *Daemon) peer(shard string) messenger.Peer {
	if owner := d.system.Owner(shard); owner != nil {
		return &peer{to: owner, mute: &d.PeersMute}
	}
	return nil
}

// Owner returns the daemon that owns a shard in the highest epoch, nil if none
// does.
func (s *System) Owner(shard string) *Daemon {
	var owner *Daemon
	for _, d := range s.Daemons() {
		if e := d.Controller.Epoch(shard); e > 0 && !d.dead.Load() && (owner == nil || e > owner.Controller.Epoch(shard)) {
			owner = d
		}
	}
	return owner
}

// Submit gives a job to a shard's owner, again until it is accepted.
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

// Report returns the state of a shard, a zero Report without an owner.
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

// Until waits until a condition holds, at most for d of virtual time, and
// returns how long it took.
func Until(d time.Duration, reached func() bool) (time.Duration, bool) {
	begun := time.Now()
	step := min(max(d/1000, 50*time.Millisecond), 5*time.Second)
	for !reached() {
		if time.Since(begun) > d {
			return time.Since(begun), false
		}
		time.Sleep(step)
	}
	return time.Since(begun), true
}

// Records returns what every worker recorded.
func (s *System) Records() []worker.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []worker.Attempt
	for addr, w := range s.workers {
		for _, r := range w.Recorded() {
			// Two processes of one worker are told apart.
			r.Worker = addr.String()
			records = append(records, r)
		}
	}
	return records
}

// Stop ends the system.
func (s *System) Stop() {
	for _, d := range s.Daemons() {
		d.Resume()
	}
	s.cancel()
	for _, d := range s.Daemons() {
		<-d.done
	}
	s.all.Wait()
}
