// Package gossiper keeps the view of the daemons by exchanging digests.
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
	exchangeInterval = time.Second
	// fanOut is the number of random peers that a daemon calls each interval.
	fanOut = 2
	// suspectAfter is how long a member's heartbeat may stand still before
	// the member is suspected.
	suspectAfter = 3 * time.Second
	// probeAfter is how long it may stand still before the member is called
	// directly: random calls alone bring a heartbeat later than suspectAfter
	// now and then.
	probeAfter = 2 * time.Second
	// maxProbes bounds these calls of one interval.
	maxProbes = 2
	// dropAfter is how long it may stand still before the member is dropped.
	dropAfter = 10 * time.Second
	// forgetAfter is how long the record of a dropped member is kept, so that
	// peers that drop it later don't bring it back.
	forgetAfter = time.Minute
	// instancesInterval is the time between reads of the platform's list,
	// which lags by seconds itself.
	instancesInterval = 5 * time.Second
	// strangerInterval is the time between calls to a known address that no
	// member has. Daemons that were cut off from each other for longer than
	// dropAfter find each other again by these calls only.
	strangerInterval = 3 * time.Second
)

// Options are what a gossiper depends on.
type Options struct {
	// Self describes this daemon; its heartbeat is ignored.
	Self  *messenger.Member
	Seeds []netip.AddrPort
	// Instances returns the control addresses of the daemons in the
	// platform's list; nil for none.
	Instances func(ctx context.Context) ([]netip.AddrPort, error)
	// Dial returns the client of a daemon's control address.
	Dial func(addr string) messenger.Peer
	// Complete adds versions other than membership to an outgoing digest. The
	// digest that is answered is nil for the first one of an exchange.
	Complete func(d, answered *messenger.Digest)
	// Received is called with each digest that a peer has sent, and the peer's
	// control address, "" if it is not known yet.
	Received func(d *messenger.Digest, addr string)
	// Preferred returns the control address to call every interval besides the
	// random ones, or "".
	Preferred func() string
	Log       *log.Logger
	Rand      *rand.Rand
	// Registry gets the metrics; nil for none.
	Registry prometheus.Registerer
}

// Status is a member with what this daemon observed of it.
type Status struct {
	Member *messenger.Member
	// Suspected is set when the heartbeat has not advanced for 3 s.
	Suspected bool
}

// entry is a member whose heartbeat advances, or one that was dropped.
type entry struct {
	member    *messenger.Member
	heartbeat uint64
	// moved is when the heartbeat last advanced, or when the member was
	// dropped, by the local clock.
	moved     time.Time
	suspected bool
}

// Gossiper is safe for concurrent use.
type Gossiper struct {
	options Options
	metrics metrics
	nudge   chan struct{}

	mu   sync.Mutex
	self *messenger.Member
	// selfRecord is the hash of self.
	selfRecord uint64
	// members has the other members by id.
	members map[string]*entry
	// records has the member of each record hash, self excluded.
	records map[uint64]*entry
	// dropped has dropped and replaced records by hash.
	dropped map[uint64]*entry
	// listed are the addresses of the platform's list.
	listed []netip.AddrPort
	// order is the rest of the current random order of calls.
	order []string
}

type metrics struct {
	exchanges *prometheus.CounterVec
	bytes     *prometheus.CounterVec
	members   *prometheus.GaugeVec
	changes   *prometheus.CounterVec
}

// New returns a gossiper that knows only itself.
func New(o Options) *Gossiper {
	f := promauto.With(o.Registry)
	g := &Gossiper{
		options: o, nudge: make(chan struct{}, 1), self: proto.CloneOf(o.Self),
		members: map[string]*entry{}, records: map[uint64]*entry{}, dropped: map[uint64]*entry{},
		metrics: metrics{
			exchanges: f.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_gossip_exchanges_total", Help: "Digest exchanges started by this daemon, by result."}, []string{"result"}),
			bytes:     f.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_gossip_digest_bytes_total", Help: "Size of digests, without HTTP headers, by direction."}, []string{"direction"}),
			members:   f.NewGaugeVec(prometheus.GaugeOpts{Name: "tarragond_gossip_members", Help: "Members, this daemon included, by state."}, []string{"state"}),
			changes:   f.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_gossip_member_changes_total", Help: "Changes of the membership view, by kind."}, []string{"change"}),
		},
	}
	g.selfRecord = Record(g.self)
	return g
}

// View returns the members that are not dropped, this daemon included, by id.
// The members must not be changed.
func (g *Gossiper) View() []*messenger.Member {
	var view []*messenger.Member
	for _, s := range g.Statuses() {
		view = append(view, s.Member)
	}
	return view
}

// Live returns the members that are neither suspected nor leaving, by id. This
// daemon is always among them, until it leaves.
func (g *Gossiper) Live() []*messenger.Member {
	var live []*messenger.Member
	for _, s := range g.Statuses() {
		if !s.Suspected && !s.Member.Leaving {
			live = append(live, s.Member)
		}
	}
	return live
}

// Statuses returns the members that are not dropped, by id.
func (g *Gossiper) Statuses() []Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	statuses := []Status{{Member: g.self}}
	for _, e := range g.members {
		if silent := now.Sub(e.moved); silent <= limit(e) {
			statuses = append(statuses, Status{e.member, silent > suspectAfter})
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Member.Id, b.Member.Id) })
	return statuses
}

// limit is how long an entry's heartbeat may stand still. A leaving member is
// expected to end, so it is dropped as soon as it would be suspected.
func limit(e *entry) time.Duration {
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

// Nudge makes the gossiper start a round of exchanges at once.
func (g *Gossiper) Nudge() {
	select {
	case g.nudge <- struct{}{}:
	default:
	}
}

// Leave marks this daemon as leaving and tells every member, so that none
// waits for its heartbeat to stand still. It returns after the answers or when
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

// replaceSelf makes next the record of this daemon. The caller holds g.mu.
// Records are never changed in place, since other goroutines read them.
func (g *Gossiper) replaceSelf(next *messenger.Member) {
	g.self, g.selfRecord = next, Record(next)
}

// Run exchanges digests until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	var parts sync.WaitGroup
	defer parts.Wait()
	if g.options.Instances != nil {
		parts.Go(func() { g.watchInstances(ctx) })
	}
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		g.beat()
		g.sweep()
		for _, addr := range g.pick() {
			parts.Go(func() { g.exchange(ctx, addr) })
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-g.nudge:
		}
	}
}

func (g *Gossiper) beat() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := proto.CloneOf(g.self)
	next.Heartbeat++
	g.replaceSelf(next)
}

// sweep drops the members whose heartbeat stands still.
func (g *Gossiper) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	suspected := 0
	for _, e := range g.members {
		silent := now.Sub(e.moved)
		if silent > limit(e) {
			g.drop(e, now)
			g.note("dropped", e)
			continue
		}
		if was := e.suspected; was != (silent > suspectAfter) {
			e.suspected = !was
			if e.suspected {
				g.note("suspected", e)
			} else {
				g.note("recovered", e)
			}
		}
		if e.suspected {
			suspected++
		}
	}
	for record, e := range g.dropped {
		if now.Sub(e.moved) > forgetAfter {
			delete(g.dropped, record)
		}
	}
	g.metrics.members.WithLabelValues("suspected").Set(float64(suspected))
	g.metrics.members.WithLabelValues("live").Set(float64(1 + len(g.members) - suspected))
}

// drop removes an entry but remembers its record. The caller holds g.mu.
func (g *Gossiper) drop(e *entry, now time.Time) {
	record := Record(e.member)
	delete(g.records, record)
	if g.members[e.member.Id] == e {
		delete(g.members, e.member.Id)
	}
	e.moved = now
	g.dropped[record] = e
}

func (g *Gossiper) note(change string, e *entry) {
	g.metrics.changes.WithLabelValues(change).Inc()
	g.options.Log.Info().Str("member", e.member.Id).Str("domain", e.member.Domain).Str("addr", e.member.ControlAddr).
		Bool("leaving", e.member.Leaving).Msg("gossip: member " + change)
}

func (g *Gossiper) watchInstances(ctx context.Context) {
	t := time.NewTicker(instancesInterval)
	defer t.Stop()
	for {
		list, err := g.options.Instances(ctx)
		if err != nil {
			g.options.Log.Debug().Err(err).Msg("gossip: list of instances not read")
		} else {
			g.mu.Lock()
			g.listed = list
			g.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
