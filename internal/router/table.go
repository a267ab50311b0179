package router

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

// Version returns the version of the routing table held for a shard.
func (r *Router) Version(shard string) (epoch, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tables[shard]; t != nil {
		return t.Epoch, t.Version
	}
	return 0, 0
}

// Update takes over a shard's routing table if it is newer than the one held.
// A new owner's table has version 0 until a worker has reported its runners;
// the targets known so far are kept until then.
func (r *Router) Update(table *messenger.RoutingTable) {
	if table.Version == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.tables[table.Shard]; old != nil && (table.Epoch < old.Epoch || (table.Epoch == old.Epoch && table.Version <= old.Version)) {
		return
	}
	r.tables[table.Shard] = table
	r.rebuild()
}

// SetMembers takes over the ids of the live daemons, this one included, from
// which the shares of the targets follow.
func (r *Router) SetMembers(ids []string) {
	ids = slices.Sorted(slices.Values(ids))
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(ids, r.members) {
		return
	}
	r.members = ids
	r.rebuild()
}

// SetLeaving makes the targets on the given workers get nothing new, as the
// platform's list of instances demands.
func (r *Router) SetLeaving(workers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingWorkers = workers
	for _, t := range r.targets {
		r.markLeaving(t)
	}
}

// markLeaving marks a target whose worker is leaving. The caller holds r.mu.
func (r *Router) markLeaving(t *target) {
	if slices.Contains(r.leavingWorkers, t.worker) {
		t.isLeaving.Store(true)
	}
}

// targetKey names a runner; another task at the same address is another one.
type targetKey struct{ addr, task, service string }

// rebuild makes the services from the tables. The caller holds r.mu.
func (r *Router) rebuild() {
	targets := map[targetKey]*target{}
	lists := map[string][]*target{}
	for _, table := range r.tables {
		for _, route := range table.Routes {
			key := targetKey{route.Addr, route.Task, route.Service}
			if targets[key] != nil {
				continue
			}
			t := r.targets[key]
			if t == nil {
				t = r.newTarget(route)
			}
			if route.Leaving {
				t.isLeaving.Store(true)
			}
			targets[key] = t
			lists[route.Service] = append(lists[route.Service], t)
		}
	}
	for key, t := range r.targets {
		if targets[key] == nil {
			t.isLeaving.Store(true)
			t.pool.shut()
		}
	}
	r.targets = targets
	index, members := r.position()
	for _, t := range targets {
		t.shareOut(index, members)
	}
	for _, s := range *r.services.Load() {
		s.tiers.Store(r.tiers(lists[s.name]))
		s.queue.wake()
	}
}

func (r *Router) newTarget(route *messenger.Route) *target {
	t := &target{
		addr: route.Addr, task: route.Task, worker: route.Worker, domain: route.Domain, slots: int(route.Slots), connections: int(route.Connections),
		service: r.addService(route.Service),
		pool:    &pool{addr: route.Addr, dial: r.options.Dial},
	}
	r.markLeaving(t)
	return t
}

// position returns the place of this daemon among the members. Before the
// first view the daemon is alone.
func (r *Router) position() (index, members int) {
	if i := slices.Index(r.members, r.options.Self); i >= 0 {
		return i, len(r.members)
	}
	return len(r.members), len(r.members) + 1
}

// defaultCost is the one-way latency to a domain that the settings don't name.
const defaultCost = 10 * time.Millisecond

func (r *Router) cost(domain string) time.Duration {
	if domain == r.options.Domain {
		return 0
	}
	if c, ok := r.options.Costs[domain]; ok {
		return c
	}
	return defaultCost
}

// tiers groups targets by the cost of their domain.
func (r *Router) tiers(list []*target) *[]tier {
	slices.SortFunc(list, func(a, b *target) int {
		return cmp.Or(cmp.Compare(r.cost(a.domain), r.cost(b.domain)), cmp.Compare(a.addr, b.addr))
	})
	tiers := []tier{}
	for i, t := range list {
		if i == 0 || r.cost(t.domain) != r.cost(list[i-1].domain) {
			tiers = append(tiers, nil)
		}
		tiers[len(tiers)-1] = append(tiers[len(tiers)-1], t)
	}
	return &tiers
}

// addService returns the service with that name. Services are kept when they
// have no targets any more. The caller holds r.mu.
func (r *Router) addService(name string) *service {
	old := *r.services.Load()
	if s := old[name]; s != nil {
		return s
	}
	s := &service{router: r, name: name, metrics: r.metrics.ofService(name)}
	s.tiers.Store(&[]tier{})
	s.queue.service = s
	next := make(map[string]*service, len(old)+1)
	for n, s := range old {
		next[n] = s
	}
	next[name] = s
	r.services.Store(&next)
	return s
}

// service returns the service with that name, nil when no table has named it.
func (r *Router) service(name []byte) *service { return (*r.services.Load())[string(name)] }

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
