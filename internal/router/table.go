package router

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

// Version returns the epoch and version of the routing table held for a shard,
// 0 if there is none.
func (r *Router) Version(shard string) (epoch, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tables[shard]; t != nil {
		return t.Epoch, t.Version
	}
	return 0, 0
}

// Update replaces the routing table held for a shard if table is newer. The
// table of a new owner has version 0 until a worker has reported its runners;
// it is ignored, so that the known targets are kept until then.
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

// SetMembers sets the ids of the live daemons, including this one. They
// determine this daemon's shares of the targets.
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

// SetLeaving sets the workers that the platform's list of instances shows as
// leaving. Their targets get no new requests as long as the list shows that.
func (r *Router) SetLeaving(workers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	workers = slices.Sorted(slices.Values(workers))
	if slices.Equal(workers, r.leavingWorkers) {
		return
	}
	r.leavingWorkers = workers
	r.rebuild()
}

// targetKey identifies a process of a runner. The address alone does not: it may
// be used again by the runner of another task, or of a later attempt of the task.
type targetKey struct {
	addr, task, service string
	attempt             uint64
}

// rebuild updates the targets and services from the tables and the members. The
// caller holds r.mu.
func (r *Router) rebuild() {
	targets := map[targetKey]*target{}
	lists := map[string][]*target{}
	for _, table := range r.tables {
		for _, route := range table.Routes {
			key := targetKey{route.Addr, route.Task, route.Service, route.Attempt}
			if targets[key] != nil {
				continue
			}
			t := r.targets[key]
			if t == nil {
				t = r.newTarget(route)
			}
			t.isLeaving.Store(route.Leaving || slices.Contains(r.leavingWorkers, route.Worker))
			targets[key] = t
			lists[route.Service] = append(lists[route.Service], t)
		}
	}
	for key, t := range r.targets {
		if targets[key] == nil {
			t.hasEnded.Store(true)
			t.pool.close()
		}
	}
	r.targets = targets
	index, members := r.memberIndex()
	for _, t := range targets {
		t.assignShare(index, members)
	}
	for _, s := range *r.services.Load() {
		s.tiers.Store(r.tiers(lists[s.name]))
		s.queue.assignFreeSlots()
	}
}

func (r *Router) newTarget(route *messenger.Route) *target {
	return &target{
		addr: route.Addr, task: route.Task, domain: route.Domain, slots: int(route.Slots), connections: int(route.Connections),
		service: r.ensureService(route.Service),
		pool:    &pool{addr: route.Addr, dial: r.options.Dial},
	}
}

// memberIndex returns the index of this daemon among the members, and their
// number. A daemon that is not in the list counts as an additional last member;
// before the first call of SetMembers it is the only one.
func (r *Router) memberIndex() (index, members int) {
	if i := slices.Index(r.members, r.options.Self); i >= 0 {
		return i, len(r.members)
	}
	return len(r.members), len(r.members) + 1
}

// defaultCost is the one-way latency to a domain that Options.Costs lacks.
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

// tiers sorts targets by the cost of their domain and groups those of equal
// cost.
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

// ensureService returns the service with that name, and adds it if it is new.
// Services without targets are kept. The caller holds r.mu.
func (r *Router) ensureService(name string) *service {
	old := *r.services.Load()
	if s := old[name]; s != nil {
		return s
	}
	s := &service{router: r, name: name, metrics: r.metrics.forService(name)}
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

// service returns the service with that name, nil if no table has contained it.
func (r *Router) service(name []byte) *service { return (*r.services.Load())[string(name)] }

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
