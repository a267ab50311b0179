package server

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

// fetchTimeout bounds a fetch of a routing table or the configuration. The next
// digest, at most a second later, starts a new fetch.
const fetchTimeout = time.Second

// maxOwners limits the number of shards whose owners are taken from digests.
const maxOwners = 1024

// addVersions adds this daemon's versions to a digest: the revision of the
// configuration and a hash of the known shard owners. The owners themselves are
// added only in response to a digest with a different hash. request is the
// digest that is answered, nil for none.
func (d *Server) addVersions(g, request *messenger.Digest) {
	if config, _ := d.config.Current(); config != nil {
		g.ConfigRevision = config.Revision
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, shard := range d.controller.Owned() {
		if t := d.controller.Routes(shard); t != nil {
			d.owners[t.Shard] = &messenger.ShardOwner{Shard: t.Shard, Member: d.settings.ID, Epoch: t.Epoch, RoutesVersion: t.Version}
		}
	}
	shards := slices.Sorted(maps.Keys(d.owners))
	h := xxhash.New()
	for _, shard := range shards {
		o := d.owners[shard]
		_, _ = fmt.Fprintf(h, "%s %s %d %d\n", o.Shard, o.Member, o.Epoch, o.RoutesVersion)
	}
	g.OwnersHash = h.Sum64()
	if request == nil || request.OwnersHash == g.OwnersHash {
		return
	}
	for _, shard := range shards {
		g.Owners = append(g.Owners, d.owners[shard])
	}
}

// applyVersions adopts the newer shard owners of a peer's digest, and fetches
// routing tables and the configuration where a peer has a newer version. from is
// the control address of the peer, "" if it is not known yet; without it the
// configuration is not fetched.
func (d *Server) applyVersions(g *messenger.Digest, from string) {
	var stale []*messenger.ShardOwner
	d.mu.Lock()
	for _, o := range g.Owners {
		known := d.owners[o.Shard]
		if known == nil && len(d.owners) >= maxOwners {
			continue
		}
		if known == nil || isNewerOwner(o, known) {
			d.owners[o.Shard] = o
		}
	}
	for _, o := range d.owners {
		epoch, version := d.router.Version(o.Shard)
		if o.Member != d.settings.ID && isNewerOwner(o, &messenger.ShardOwner{Epoch: epoch, RoutesVersion: version}) {
			stale = append(stale, o)
		}
	}
	d.mu.Unlock()
	for _, o := range stale {
		d.startFetch("routes "+o.Shard, func(ctx context.Context) { d.fetchRoutes(ctx, o) })
	}
	if config, _ := d.config.Current(); from != "" && g.ConfigRevision > 0 && (config == nil || config.Revision < g.ConfigRevision) {
		d.startFetch("config", func(ctx context.Context) { d.fetchConfig(ctx, from) })
	}
}

// isNewerOwner reports whether a is newer than b: by epoch, and within an epoch
// by the version of the routing table.
func isNewerOwner(a, b *messenger.ShardOwner) bool {
	return a.Epoch > b.Epoch || (a.Epoch == b.Epoch && a.RoutesVersion > b.RoutesVersion)
}

// startFetch runs f in the background unless a fetch with the same name is in
// progress.
func (d *Server) startFetch(name string, f func(context.Context)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fetching[name] {
		return
	}
	d.fetching[name] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		f(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.fetching, name)
	}()
}

func (d *Server) fetchRoutes(ctx context.Context, o *messenger.ShardOwner) {
	m := d.gossip.Find(o.Member)
	if m == nil {
		return
	}
	table, err := d.dial(m.ControlAddr).FetchRoutes(ctx, &messenger.FetchRoutesRequest{Shard: o.Shard})
	if err != nil {
		d.log.Debug().Err(err).Str("shard", o.Shard).Msg("routes: routing table not fetched")
		return
	}
	d.router.Update(table)
}

func (d *Server) fetchConfig(ctx context.Context, addr string) {
	doc, err := d.dial(addr).FetchConfig(ctx, &messenger.FetchConfigRequest{WorkHash: d.config.WorkHash()})
	if err == nil && len(doc.Head) > 0 {
		err = d.config.Adopt(doc.Head, doc.Work)
	}
	if err != nil {
		d.log.Debug().Err(err).Str("peer", addr).Msg("config: not fetched from a peer")
	}
}

// announceConfigChanges starts a round of exchanges at each new configuration,
// so that peers that can't reach the store get it without delay.
func (d *Server) announceConfigChanges(ctx context.Context) {
	for {
		changed := d.config.Changed()
		d.gossip.ExchangeNow()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// ownerAddress returns the control address of a shard's owner, "" if unknown.
func (d *Server) ownerAddress(shard string) string {
	if d.controller.Epoch(shard) > 0 {
		return d.settings.control.String()
	}
	d.mu.Lock()
	o := d.owners[shard]
	d.mu.Unlock()
	if o == nil {
		return ""
	}
	if m := d.gossip.Find(o.Member); m != nil {
		return m.ControlAddr
	}
	return ""
}

// ownerPeer returns the client of a shard's owner, nil if none is known.
func (d *Server) ownerPeer(shard string) messenger.Peer {
	if addr := d.ownerAddress(shard); addr != "" {
		return d.dial(addr)
	}
	return nil
}

// hasLiveDaemon reports whether the membership view has a daemon of the domain
// that is not leaving.
func (d *Server) hasLiveDaemon(domain string) bool {
	for _, m := range d.gossip.View() {
		if m.Domain == domain && !m.Leaving {
			return true
		}
	}
	return false
}
