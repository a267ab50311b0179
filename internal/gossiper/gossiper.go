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

	"tarragonhead.example/tarragonhead/internal/messenger"
)

const (
	exchangeInterval = time.Second
	// fanOut is the number of random peers that a daemon calls each interval.
	fanOut = 2
	// dropAfter is how long a member's heartbeat may stand still before the
	// member is dropped.
	dropAfter = 10 * time.Second
)

// Options are what a gossiper depends on.
type Options struct {
	Self  *messenger.Member
	Seeds []netip.AddrPort
	// Dial returns the client of a daemon's control address.
	Dial func(addr string) messenger.Peer
	// Complete adds versions other than membership to an outgoing digest.
	Complete func(*messenger.Digest)
	// Received is called with each digest that a peer has sent.
	Received func(*messenger.Digest)
	// Preferred returns the control address to call every interval besides the
	// random ones, or "".
	Preferred func() string
	Log       *log.Logger
	Rand      *rand.Rand
}

type entry struct {
	member *messenger.Member
	// moved is when the heartbeat last advanced, by the local clock.
	moved time.Time
}

// Gossiper is safe for concurrent use.
type Gossiper struct {
	options Options

	mu      sync.Mutex
	members map[string]entry
}

// New returns a gossiper that knows only itself.
func New(o Options) *Gossiper {
	return &Gossiper{options: o, members: map[string]entry{}}
}

// View returns the members whose heartbeat advances, this daemon included, by
// id.
func (g *Gossiper) View() []*messenger.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	view := []*messenger.Member{g.options.Self}
	for id, e := range g.members {
		if now.Sub(e.moved) > dropAfter {
			delete(g.members, id)
			g.options.Log.Info().Str("member", id).Msg("gossip: member dropped")
			continue
		}
		view = append(view, e.member)
	}
	slices.SortFunc(view, func(a, b *messenger.Member) int { return cmp.Compare(a.Id, b.Id) })
	return view
}

// Digest returns what this daemon tells its peers.
func (g *Gossiper) Digest() *messenger.Digest {
	d := &messenger.Digest{From: g.options.Self.Id, Members: g.View()}
	g.options.Complete(d)
	return d
}

// Receive merges a peer's digest.
func (g *Gossiper) Receive(d *messenger.Digest) {
	g.mu.Lock()
	now := time.Now()
	for _, m := range d.Members {
		if m.Id == g.options.Self.Id {
			continue
		}
		old, known := g.members[m.Id]
		if known && !isNewer(m, old.member) {
			continue
		}
		if !known {
			g.options.Log.Info().Str("member", m.Id).Str("domain", m.Domain).Msg("gossip: member joined")
		}
		g.members[m.Id] = entry{m, now}
	}
	g.mu.Unlock()
	g.options.Received(d)
}

func isNewer(a, b *messenger.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Heartbeat > b.Heartbeat
}

// Run exchanges digests until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		g.beat()
		for _, addr := range g.pick() {
			go g.exchange(ctx, addr)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (g *Gossiper) beat() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := &messenger.Member{
		Id: g.options.Self.Id, Domain: g.options.Self.Domain, ControlAddr: g.options.Self.ControlAddr, TrafficAddr: g.options.Self.TrafficAddr,
		Incarnation: g.options.Self.Incarnation, Heartbeat: g.options.Self.Heartbeat + 1, Leaving: g.options.Self.Leaving,
	}
	g.options.Self = next
}

// pick returns the addresses to call: random members, the preferred one, and
// a seed while few members are known.
func (g *Gossiper) pick() []string {
	var addrs []string
	for _, m := range g.View() {
		if m.Id != g.options.Self.Id {
			addrs = append(addrs, m.ControlAddr)
		}
	}
	g.options.Rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	if len(addrs) > fanOut {
		addrs = addrs[:fanOut]
	}
	if p := g.options.Preferred(); p != "" && p != g.options.Self.ControlAddr && !slices.Contains(addrs, p) {
		addrs = append(addrs, p)
	}
	if n := len(g.options.Seeds); n > 0 && len(addrs) < fanOut {
		if seed := g.options.Seeds[g.options.Rand.IntN(n)].String(); seed != g.options.Self.ControlAddr {
			addrs = append(addrs, seed)
		}
	}
	return addrs
}

func (g *Gossiper) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeInterval)
	defer cancel()
	answer, err := g.options.Dial(addr).Exchange(ctx, g.Digest())
	if err != nil {
		g.options.Log.Debug().Str("peer", addr).Err(err).Msg("gossip: no answer")
		return
	}
	g.Receive(answer)
}
