package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/committer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const instancesInterval = time.Second

// run is the control goroutine.
func (o *owner) run() error {
	o.background.Go(o.watchInstances)
	t := time.NewTicker(groupInterval)
	defer t.Stop()
	defer o.failWaiting()
	for {
		select {
		case <-o.ctx.Done():
			return o.stop()
		case err := <-o.lost:
			return err
		case e := <-o.events:
			o.handle(e)
		case k := <-o.controller.calls:
			o.answer(k)
		case err := <-o.committed:
			if err != nil {
				return err
			}
			o.release()
		case <-t.C:
			o.confirmConfig()
			o.handle(scheduler.Event{Tick: &scheduler.Tick{}})
			o.flush()
		}
	}
}

func (o *owner) handle(e scheduler.Event) {
	changes, commands := o.core.Step(time.Now(), e)
	o.changes = append(o.changes, changes...)
	o.commands = append(o.commands, commands...)
	if e.WorkerSeen != nil {
		o.openSession(*e.WorkerSeen)
	}
	if e.Report != nil {
		o.takeRunners(*e.Report)
	}
}

func (o *owner) answer(k call) {
	e, err := k.run(o)
	if err != nil || e == nil {
		k.done <- err
		return
	}
	o.handle(*e)
	o.waiting = append(o.waiting, k.done)
}

func (o *owner) confirmConfig() {
	config, at := o.controller.options.Config.Current()
	if config != nil {
		o.handle(scheduler.Event{Config: &scheduler.ConfigConfirmed{Config: config, At: at}})
	}
}

// flush appends the gathered changes as one record, one record at a time.
func (o *owner) flush() {
	if o.inFlight != nil || (len(o.changes) == 0 && len(o.commands) == 0 && len(o.waiting) == 0 && len(o.ended) == 0) {
		return
	}
	changes := o.changes
	o.inFlight = &batch{o.commands, o.waiting, o.ended}
	o.changes, o.commands, o.waiting, o.ended = nil, nil, nil, nil
	if len(changes) == 0 {
		o.committed <- nil
		return
	}
	var state *scheduler.Snapshot
	if o.ledger.Uncovered() >= snapshotEvery {
		s := o.core.Snapshot()
		state = &s
	}
	o.background.Go(func() { o.committed <- o.commit(changes, state) })
}

// commit appends a record and settles a lost answer for as long as it takes.
func (o *owner) commit(changes []scheduler.Change, state *scheduler.Snapshot) error {
	err := o.ledger.Append(o.ctx, changes)
	for {
		var undecided *committer.UndecidedError
		if !errors.As(err, &undecided) {
			break
		}
		o.controller.options.Log.Warn().Err(err).Msg("ledger: append undecided")
		select {
		case <-o.ctx.Done():
			return err
		case <-time.After(retryPause):
		}
		err = o.ledger.Settle(o.ctx)
	}
	if err != nil || state == nil {
		return err
	}
	if err := o.ledger.Compact(o.ctx, *state); err != nil {
		var fenced *committer.FencedError
		if errors.As(err, &fenced) {
			return err
		}
		o.controller.options.Log.Warn().Err(err).Msg("ledger: no snapshot")
	}
	return nil
}

// release carries out what waited for the record.
func (o *owner) release() {
	b := o.inFlight
	o.inFlight = nil
	for _, w := range b.waiting {
		w <- nil
	}
	for _, c := range b.commands {
		if s := o.sessions[workerOf(c)]; s != nil {
			o.background.Go(func() { s.carryOut(o.ctx, c) })
		}
	}
	for _, e := range b.ended {
		if s := o.sessions[e.worker]; s != nil {
			select {
			case s.acknowledged <- []dispatcher.AttemptName{e.name}:
			default:
			}
		}
	}
	o.publish()
}

func workerOf(c scheduler.Command) string {
	switch {
	case c.Start != nil:
		return c.Start.Worker
	case c.Stop != nil:
		return c.Stop.Worker
	case c.Checkpoint != nil:
		return c.Checkpoint.Worker
	case c.Throttle != nil:
		return c.Throttle.Worker
	}
	return ""
}

// failWaiting tells callers that their change isn't known to be committed.
func (o *owner) failWaiting() {
	if o.inFlight != nil {
		o.waiting = append(o.waiting, o.inFlight.waiting...)
	}
	for _, w := range o.waiting {
		w <- &UndecidedError{&NotOwnerError{o.controller.options.Domain}}
	}
}

// stop commits what is left and gives the shard away.
func (o *owner) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if o.inFlight != nil {
		if err := <-o.committed; err != nil {
			return err
		}
		o.inFlight = nil
	}
	if len(o.changes) > 0 {
		if err := o.ledger.Append(ctx, o.changes); err != nil {
			return err
		}
	}
	for _, w := range o.waiting {
		w <- nil
	}
	o.waiting = nil
	return o.ledger.Release(ctx)
}

// watchInstances turns the platform's list into events.
func (o *owner) watchInstances() {
	t := time.NewTicker(instancesInterval)
	defer t.Stop()
	for {
		list, err := o.controller.options.Instances(o.ctx)
		if err != nil {
			o.controller.options.Log.Debug().Err(err).Msg("instances: list not read")
		}
		for _, in := range list {
			if in.Role != dispatcher.RoleWorker || in.Domain != o.controller.options.Domain {
				continue
			}
			o.post(scheduler.Event{WorkerSeen: &scheduler.WorkerSeen{ID: in.ID, Rack: in.Rack, Addr: in.Addr, Capacity: in.Capacity}})
			if in.Leaving {
				o.post(scheduler.Event{WorkerLeaving: &scheduler.WorkerLeaving{ID: in.ID}})
			}
		}
		select {
		case <-o.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (o *owner) post(e scheduler.Event) {
	select {
	case o.events <- e:
	case <-o.ctx.Done():
	}
}

func (o *owner) openSession(e scheduler.WorkerSeen) {
	if o.sessions[e.ID] != nil {
		return
	}
	s := &session{
		id: e.ID, worker: o.controller.options.Worker(e.Addr), shard: o.controller.options.Domain, epoch: o.ledger.Epoch(),
		post: o.post, acknowledged: make(chan []dispatcher.AttemptName, 64),
	}
	o.sessions[e.ID] = s
	o.background.Go(func() { s.run(o.ctx) })
}

// takeRunners keeps the runner addresses of a report and notes its ended
// attempts for acknowledgement.
func (o *owner) takeRunners(r scheduler.WorkerReport) {
	for id, route := range o.runners {
		if route.Worker == r.Worker {
			delete(o.runners, id)
		}
	}
	for _, a := range r.Running {
		if a.Addr.IsValid() {
			o.runners[string(a.Task)] = &messenger.Route{
				Task: string(a.Task), Addr: a.Addr.String(), Worker: r.Worker, Domain: o.controller.options.Domain, Slots: runnerSlots, Connections: runnerConnections,
			}
		}
	}
	for _, a := range r.Ended {
		o.ended = append(o.ended, endedAttempt{r.Worker, dispatcher.AttemptName{Task: string(a.Task), Attempt: a.Attempt}})
	}
}

const (
	runnerSlots       = 8
	runnerConnections = 64
)

// publish makes the routing table of the committed state.
func (o *owner) publish() {
	old := o.controller.routes.Load()
	table := &messenger.RoutingTable{Shard: o.controller.options.Domain, Epoch: o.ledger.Epoch(), Version: old.Version}
	for _, t := range o.core.Tasks() {
		route := o.runners[string(t.ID)]
		if route == nil || t.State != scheduler.Running {
			continue
		}
		table.Routes = append(table.Routes, &messenger.Route{
			Service: t.Owner, Task: route.Task, Addr: route.Addr, Worker: route.Worker, Domain: route.Domain, Slots: route.Slots, Connections: route.Connections,
		})
	}
	if sameRoutes(old.Routes, table.Routes) {
		return
	}
	table.Version++
	o.controller.routes.Store(table)
}

func sameRoutes(a, b []*messenger.Route) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Task != b[i].Task || a[i].Addr != b[i].Addr || a[i].Leaving != b[i].Leaving {
			return false
		}
	}
	return true
}
