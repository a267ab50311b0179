package controller

import (
	"maps"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	// runnerSlots is the number of requests that a runner handles at the same
	// time, and runnerConnections the number of connections it accepts.
	runnerSlots       = 8
	runnerConnections = 64
)

// recordRunners replaces the runner addresses of a worker by those of its
// latest report.
func (o *owner) recordRunners(worker string, r scheduler.WorkerReport) {
	for id, route := range o.runners {
		if route.Worker == worker {
			delete(o.runners, id)
		}
	}
	for _, a := range r.Running {
		if a.Addr.IsValid() {
			o.runners[a.Task] = &messenger.Route{
				Task: string(a.Task), Attempt: a.Attempt, Addr: a.Addr.String(), Worker: worker, Domain: o.shard.name, Slots: runnerSlots, Connections: runnerConnections,
			}
		}
	}
}

// isLeaving reports whether the runner of a task gets no new requests. A task
// whose worker is unreachable or lost may have been ending before.
func (o *owner) isLeaving(t scheduler.Task) bool {
	w, _ := o.core.LookupWorker(t.Worker)
	isServing := t.State == scheduler.Running || (t.State == scheduler.Unknown && !t.Cancelling && !t.Evicting)
	return !isServing || w.State == scheduler.Leaving || w.Leaving
}

// publishRoutes publishes a new version of the routing table if the routes
// have changed. A runner whose task is ending or whose worker is leaving stays
// in the table as leaving until it has ended. A new owner publishes none before
// its predecessor's workers have been asked, since the routers drop the runners
// that a table lacks.
func (o *owner) publishRoutes(now time.Time) {
	if o.isAwaitingWorkers(now) {
		return
	}
	old := o.shard.routes.Load()
	table := &messenger.RoutingTable{Shard: o.shard.name, Epoch: o.ledger.Epoch(), Version: old.Version}
	for _, id := range slices.Sorted(maps.Keys(o.runners)) {
		route := o.runners[id]
		t, ok := o.core.Lookup(id)
		if !ok || t.Worker != route.Worker || t.Attempt != route.Attempt {
			continue
		}
		table.Routes = append(table.Routes, &messenger.Route{
			Service: t.Owner, Task: route.Task, Attempt: route.Attempt, Addr: route.Addr, Worker: route.Worker, Domain: route.Domain, Slots: route.Slots, Connections: route.Connections,
			Leaving: o.isLeaving(t),
		})
	}
	if areRoutesEqual(old.Routes, table.Routes) {
		return
	}
	table.Version++
	o.shard.routes.Store(table)
}

func areRoutesEqual(a, b []*messenger.Route) bool {
	return slices.EqualFunc(a, b, func(x, y *messenger.Route) bool {
		return x.Task == y.Task && x.Attempt == y.Attempt && x.Addr == y.Addr && x.Leaving == y.Leaving
	})
}
