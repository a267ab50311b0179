// Package gossiper maintains the membership of the daemons by a gossip protocol
// that exchanges digests.
package gossiper

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"google.golang.org/protobuf/proto"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

const (
	// Exchanges with peers.

	exchangeInterval = time.Second
	// fanOut is the number of random peers that a daemon calls in each
	// interval.
	fanOut = 2

	// Failure detection.

	// suspectAfter is how long a member's heartbeat may stay unchanged before
	// the member is suspected.
	suspectAfter = 3 * time.Second
	// probeAfter is how long a member's heartbeat may stay unchanged before the
	// member is called directly. With random calls alone, a heartbeat sometimes
	// arrives later than suspectAfter.
	probeAfter = 2 * time.Second
	// maxProbes limits the direct calls of one interval.
	maxProbes = 2
	// dropAfter is how long a member's heartbeat may stay unchanged before the
	// member is dropped.
	dropAfter = 10 * time.Second
	// forgetAfter is how long the record of a dropped member is kept, so that
	// digests of peers that drop the member later don't add it again.
	forgetAfter = time.Minute

	// Discovery of daemons that are not members.

	// instancesInterval is the time between reads of the platform's list of
	// instances, which itself lags by seconds.
	instancesInterval = 5 * time.Second
	// unknownAddressInterval is the time between calls to a known address that
	// no member has. These calls alone reconnect daemons that were separated
	// for longer than dropAfter.
	unknownAddressInterval = 3 * time.Second
)

// Options configure a Gossiper.
type Options struct {
	// Self describes this daemon; its heartbeat is ignored.
	Self  *messenger.Member
	Seeds []netip.AddrPort
	// Instances returns the control addresses of the daemons in the platform's
	// list; nil if there is no list.
	Instances func(ctx context.Context) ([]netip.AddrPort, error)
	// Dial returns the client of a daemon's control address.
	Dial func(addr string) messenger.Peer
	// AddVersions adds the versions of data other than the membership to an
	// outgoing digest. request is the digest that is answered, nil for the
	// first digest of an exchange.
	AddVersions func(d, request *messenger.Digest)
	// Received is called with each digest of a peer and with the peer's control
	// address, "" if it is not known yet.
	Received func(d *messenger.Digest, addr string)
	// Preferred returns a control address to call in every interval besides the
	// random ones, "" for none.
	Preferred func() string
	Log       *log.Logger
	Rand      *rand.Rand
	// Registry takes the metrics; nil for none.
	Registry prometheus.Registerer
}

// Status is a member and its state as seen by this daemon.
type Status struct {
	Member *messenger.Member
	// Suspected is set when the heartbeat has not advanced for 3 s.
	Suspected bool
}

// entry is a member or a dropped record.
type entry struct {
	member    *messenger.Member
	heartbeat uint64
	// changedAt is the local time at which the heartbeat last advanced, or the
	// member was dropped.
	changedAt   time.Time
	isSuspected bool
}

// Gossiper maintains the membership view. It is safe for concurrent use.
type Gossiper struct {
	options     Options
	metrics     metrics
	exchangeNow chan struct{}

	mu   sync.Mutex
	self *messenger.Member
	// selfHash is the hash of self's record.
	selfHash uint64
	// members has the other members by id.
	members map[string]*entry
	// byHash has the other members by the hash of their record.
	byHash map[uint64]*entry
	// dropped has dropped and replaced records by hash.
	dropped map[uint64]*entry
	// instanceAddrs are the addresses in the platform's list.
	instanceAddrs []netip.AddrPort
	// callOrder has the addresses still to be called in the current random
	// order.
	callOrder []string
}

type metrics struct {
	exchanges *prometheus.CounterVec
	bytes     *prometheus.CounterVec
	members   *prometheus.GaugeVec
	changes   *prometheus.CounterVec
}

// New returns a Gossiper that knows no other member.
func New(o Options) *Gossiper {
	f := promauto.With(o.Registry)
	g := &Gossiper{
		options: o, exchangeNow: make(chan struct{}, 1), self: proto.CloneOf(o.Self),
		members: map[string]*entry{}, byHash: map[uint64]*entry{}, dropped: map[uint64]*entry{},
		metrics: metrics{
			exchanges: f.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_gossip_exchanges_total", Help: "Digest exchanges started by this daemon, by result."}, []string{"result"}),
			bytes:     f.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_gossip_digest_bytes_total", Help: "Size of digests, without HTTP headers, by direction."}, []string{"direction"}),
			members:   f.NewGaugeVec(prometheus.GaugeOpts{Name: "tarragond_gossip_members", Help: "Members, this daemon included, by state."}, []string{"state"}),
			changes:   f.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_gossip_member_changes_total", Help: "Changes of the membership view, by kind."}, []string{"change"}),
		},
	}
	g.selfHash = RecordHash(g.self)
	return g
}

// View returns the members that are not dropped, this daemon included, in the
// order of their ids. The members must not be changed.
func (g *Gossiper) View() []*messenger.Member {
	var view []*messenger.Member
	for _, s := range g.Statuses() {
		view = append(view, s.Member)
	}
	return view
}

// Live returns the members that are neither suspected nor leaving, in the order
// of their ids. This daemon is one of them until it leaves.
func (g *Gossiper) Live() []*messenger.Member {
	var live []*messenger.Member
	for _, s := range g.Statuses() {
		if !s.Suspected && !s.Member.Leaving {
			live = append(live, s.Member)
		}
	}
	return live
}

// Statuses returns the members that are not dropped, this daemon included, in the
// order of their ids.
func (g *Gossiper) Statuses() []Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	statuses := []Status{{Member: g.self}}
	for _, e := range g.members {
		if age := now.Sub(e.changedAt); age <= dropTimeout(e) {
			statuses = append(statuses, Status{e.member, age > suspectAfter})
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Member.Id, b.Member.Id) })
	return statuses
}

// dropTimeout is how long an entry's heartbeat may stay unchanged before the
// member is dropped. A leaving member is expected to end, so it is dropped as
// soon as it would be suspected.
func dropTimeout(e *entry) time.Duration {
	if e.member.Leaving {
		return suspectAfter
	}
	return dropAfter
}

// Find returns the member with an id, nil if there is none.
func (g *Gossiper) Find(id string) *messenger.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id == g.self.Id {
		return g.self
	}
	if e := g.members[id]; e != nil {
		return e.member
	}
	return nil
}

// ExchangeNow starts a round of exchanges without waiting for the next interval.
func (g *Gossiper) ExchangeNow() {
	select {
	case g.exchangeNow <- struct{}{}:
	default:
	}
}

// Leave marks this daemon as leaving and tells every member, so that no member
// waits for its heartbeat to time out. It returns when every call has ended or
// ctx ends.
func (g *Gossiper) Leave(ctx context.Context) {
	g.mu.Lock()
	next := proto.CloneOf(g.self)
	next.Leaving = true
	next.Heartbeat++
	g.replaceSelf(next)
	var calls sync.WaitGroup
	for _, e := range g.members {
		calls.Go(func() { g.exchange(ctx, e.member.ControlAddr) })
	}
	g.mu.Unlock()
	calls.Wait()
}

// replaceSelf makes next the record of this daemon. Records are never changed
// in place, since other goroutines read them. The caller holds g.mu.
func (g *Gossiper) replaceSelf(next *messenger.Member) {
	g.self, g.selfHash = next, RecordHash(next)
}

// Run exchanges digests until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	if g.options.Instances != nil {
		goroutines.Go(func() { g.watchInstances(ctx) })
	}
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		g.advanceHeartbeat()
		g.checkHeartbeats()
		for _, addr := range g.selectPeers() {
			goroutines.Go(func() { g.exchange(ctx, addr) })
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-g.exchangeNow:
		}
	}
}

// advanceHeartbeat increments this daemon's heartbeat.
func (g *Gossiper) advanceHeartbeat() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := proto.CloneOf(g.self)
	next.Heartbeat++
	g.replaceSelf(next)
}

// checkHeartbeats suspects and drops members whose heartbeat does not advance,
// and updates the metrics of the members.
func (g *Gossiper) checkHeartbeats() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	suspected := 0
	for _, e := range g.members {
		age := now.Sub(e.changedAt)
		if age > dropTimeout(e) {
			g.drop(e, now)
			g.reportChange("dropped", e)
			continue
		}
		if wasSuspected := e.isSuspected; wasSuspected != (age > suspectAfter) {
			e.isSuspected = !wasSuspected
			if e.isSuspected {
				g.reportChange("suspected", e)
			} else {
				g.reportChange("recovered", e)
			}
		}
		if e.isSuspected {
			suspected++
		}
	}
	for hash, e := range g.dropped {
		if now.Sub(e.changedAt) > forgetAfter {
			delete(g.dropped, hash)
		}
	}
	g.metrics.members.WithLabelValues("suspected").Set(float64(suspected))
	g.metrics.members.WithLabelValues("live").Set(float64(1 + len(g.members) - suspected))
}

// drop removes an entry and keeps its record in dropped. The caller holds g.mu.
func (g *Gossiper) drop(e *entry, now time.Time) {
	hash := RecordHash(e.member)
	delete(g.byHash, hash)
	if g.members[e.member.Id] == e {
		delete(g.members, e.member.Id)
	}
	e.changedAt = now
	g.dropped[hash] = e
}

// reportChange counts and logs a change of the membership view.
func (g *Gossiper) reportChange(change string, e *entry) {
	g.metrics.changes.WithLabelValues(change).Inc()
	g.options.Log.Info().Str("member", e.member.Id).Str("domain", e.member.Domain).Str("addr", e.member.ControlAddr).
		Bool("leaving", e.member.Leaving).Msg("gossip: member " + change)
}

// watchInstances reads the platform's list at each instancesInterval until ctx
// ends.
func (g *Gossiper) watchInstances(ctx context.Context) {
	t := time.NewTicker(instancesInterval)
	defer t.Stop()
	for {
		list, err := g.options.Instances(ctx)
		if err != nil {
			g.options.Log.Debug().Err(err).Msg("gossip: list of instances not read")
		} else {
			g.mu.Lock()
			g.instanceAddrs = list
			g.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
