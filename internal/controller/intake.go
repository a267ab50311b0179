package controller

import (
	"maps"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// instancesInterval is the time between two reads of the platform's list of
// instances.
const instancesInterval = time.Second

// post sends an input to the control goroutine.
func (o *owner) post(in input) {
	select {
	case o.inputs <- in:
	case <-o.servingCtx.Done():
		// At a planned stop the last reports are still queued if there is space.
		select {
		case o.inputs <- in:
		default:
		}
	}
}

// watchInstances polls the platform's list of instances.
func (o *owner) watchInstances() {
	options := &o.shard.controller.options
	t := time.NewTicker(instancesInterval)
	defer t.Stop()
	for {
		list, err := options.Instances(o.servingCtx)
		if err != nil {
			options.Log.Debug().Err(err).Msg("instances: list not read")
		} else {
			o.post(input{instances: list})
		}
		select {
		case <-o.servingCtx.Done():
			return
		case <-t.C:
		}
	}
}

// handleInput handles an input on the control goroutine.
func (o *owner) handleInput(in input) {
	switch {
	case in.from != nil && o.sessions[in.from.id] != in.from:
		// The session has been replaced; its input is stale.
	case in.laterEpoch > 0:
		o.fatalErr = &SupersededError{in.from.id, in.laterEpoch}
	case in.instances != nil:
		o.handleInstances(in.instances)
	case in.sentStart != nil:
		if p := o.attemptsOn(in.from.id)[in.sentStart.task]; p != nil && p.attempt == in.sentStart.attempt {
			p.conclusiveFrom = in.sentStart.conclusiveFrom
		}
	case in.event.Report != nil:
		delete(o.awaitedWorkers, in.from.id)
		o.handleReport(in.from.id, in.requestSentAt, *in.event.Report)
	default:
		if r := in.event.StartRefused; r != nil {
			if p := o.attemptsOn(in.from.id)[r.Task]; p != nil && p.attempt == r.Attempt {
				delete(o.attemptsOn(in.from.id), r.Task)
			}
		}
		if in.event.Unreachable != nil {
			delete(o.awaitedWorkers, in.from.id)
		}
		o.handleEvent(in.event)
	}
}

// handleInstances opens a session with each listed worker of the shard's domain
// that has none, replaces the session of a worker whose address has changed, and
// tells the core which workers are leaving and which no longer are.
func (o *owner) handleInstances(list []dispatcher.Instance) {
	for _, in := range list {
		if in.Role != dispatcher.RoleWorker || in.Domain != o.shard.name {
			continue
		}
		seen := scheduler.WorkerSeen{ID: in.ID, Rack: in.Rack, Addr: in.Addr, Capacity: in.Capacity}
		old := o.sessions[in.ID]
		switch {
		case old == nil:
			o.openSession(seen, nil, false)
		case old.seen.Addr != in.Addr:
			o.replaceSession(old, seen)
		}
		w, _ := o.core.LookupWorker(in.ID)
		switch {
		case in.Leaving:
			o.handleEvent(scheduler.Event{WorkerLeaving: &scheduler.WorkerLeaving{ID: in.ID}})
		case w.State == scheduler.Leaving || w.Leaving:
			o.handleEvent(scheduler.Event{WorkerStaying: &scheduler.WorkerStaying{ID: in.ID}})
		}
	}
}

// openSession starts a session with a worker. leaseExpiry is, by class, when
// leases that the worker may hold already expire, and hasFormerProcess whether
// a process at a former address may hold some of them.
func (o *owner) openSession(seen scheduler.WorkerSeen, leaseExpiry map[declarer.Class]time.Time, hasFormerProcess bool) {
	s := newSession(o, seen, maps.Clone(leaseExpiry), hasFormerProcess)
	o.sessions[seen.ID] = s
	o.sessionGoroutines.Go(func() { s.run(s.ctx) })
	o.sessionGoroutines.Go(func() { s.runCommands(s.ctx) })
}

// replaceSession reconnects to a worker whose address has changed. The new
// address may belong to another process, so the absence of an attempt from its
// reports is not conclusive until the leases given at the old address have
// expired.
func (o *owner) replaceSession(old *session, seen scheduler.WorkerSeen) {
	old.end()
	leaseExpiry := old.copyLeaseExpiry()
	latest := time.Now()
	for _, end := range leaseExpiry {
		if end.After(latest) {
			latest = end
		}
	}
	for _, p := range o.attemptsOn(seen.ID) {
		p.conclusiveFrom = latest
	}
	o.openSession(seen, leaseExpiry, true)
}

// handleReport adds the end of each attempt that the worker doesn't know,
// passes the report to the core and marks the ended attempts for
// acknowledgement.
func (o *owner) handleReport(worker string, requestSentAt time.Time, r scheduler.WorkerReport) {
	r.Worker = worker
	known := map[scheduler.TaskID]uint64{}
	for _, a := range r.Running {
		known[a.Task] = a.Attempt
	}
	for _, a := range r.Ended {
		known[a.Task] = max(known[a.Task], a.Attempt)
	}
	for task, p := range o.attemptsOn(worker) {
		if known[task] >= p.attempt || requestSentAt.Before(p.conclusiveFrom) {
			continue
		}
		// The attempt was never started, or the worker has lost its state.
		// Since the attempt may have run, its start is not withdrawn.
		delete(o.attemptsOn(worker), task)
		r.Ended = append(r.Ended, scheduler.EndedAttempt{Task: task, Attempt: p.attempt, Outcome: scheduler.OutcomeExpired, Reason: "worker does not know the attempt"})
	}
	o.handleEvent(scheduler.Event{Report: &r})
	for _, a := range r.Ended {
		if p := o.attemptsOn(worker)[a.Task]; p != nil && p.attempt == a.Attempt {
			delete(o.attemptsOn(worker), a.Task)
		}
		o.nextBatch.ended = append(o.nextBatch.ended, endedAttempt{worker, nameOf(a.Task, a.Attempt)})
	}
	o.recordRunners(worker, r)
}
