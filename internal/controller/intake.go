package controller

import (
	"maps"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const instancesInterval = time.Second

// post gives an input to the control goroutine.
func (o *owner) post(in input) {
	select {
	case o.inputs <- in:
	case <-o.serving.Done():
		// The last reports before a planned stop are still taken.
		select {
		case o.inputs <- in:
		default:
		}
	}
}

// watchInstances reads the platform's list.
func (o *owner) watchInstances() {
	options := &o.shard.controller.options
	t := time.NewTicker(instancesInterval)
	defer t.Stop()
	for {
		list, err := options.Instances(o.serving)
		if err != nil {
			options.Log.Debug().Err(err).Msg("instances: list not read")
		} else {
			o.post(input{instances: list})
		}
		select {
		case <-o.serving.Done():
			return
		case <-t.C:
		}
	}
}

// take handles an input on the control goroutine.
func (o *owner) take(in input) {
	switch {
	case in.from != nil && o.sessions[in.from.id] != in.from:
		// The session was replaced.
	case in.superseded > 0:
		o.failed = &SupersededError{in.from.id, in.superseded}
	case in.instances != nil:
		o.takeInstances(in.instances)
	case in.attempted != nil:
		if p := o.attemptsOn(in.from.id)[in.attempted.task]; p != nil && p.attempt == in.attempted.attempt {
			p.settles = in.attempted.settles
		}
	case in.event.Report != nil:
		delete(o.asking, in.from.id)
		o.takeReport(in.from.id, in.sent, *in.event.Report)
	default:
		if r := in.event.StartRefused; r != nil {
			if p := o.attemptsOn(in.from.id)[r.Task]; p != nil && p.attempt == r.Attempt {
				delete(o.attemptsOn(in.from.id), r.Task)
			}
		}
		if in.event.Unreachable != nil {
			delete(o.asking, in.from.id)
		}
		o.handle(in.event)
	}
}

func (o *owner) takeInstances(list []dispatcher.Instance) {
	for _, in := range list {
		if in.Role != dispatcher.RoleWorker || in.Domain != o.shard.name {
			continue
		}
		seen := scheduler.WorkerSeen{ID: in.ID, Rack: in.Rack, Addr: in.Addr, Capacity: in.Capacity}
		old := o.sessions[in.ID]
		switch {
		case old == nil:
			o.openSession(seen, nil)
		case old.seen.Addr != in.Addr:
			o.moveSession(old, seen)
		}
		if in.Leaving {
			o.handle(scheduler.Event{WorkerLeaving: &scheduler.WorkerLeaving{ID: in.ID}})
		}
	}
}

func (o *owner) openSession(seen scheduler.WorkerSeen, leases map[declarer.Class]time.Time) {
	s := newSession(o, seen, maps.Clone(leases))
	o.sessions[seen.ID] = s
	o.sessionsUp.Go(func() { s.run(s.ctx) })
	o.sessionsUp.Go(func() { s.runCommands(s.ctx) })
}

// moveSession follows a worker to another address. What answers there may be
// another process, so the absence of an attempt proves nothing until the
// leases given at the old address have run out.
func (o *owner) moveSession(old *session, seen scheduler.WorkerSeen) {
	old.end()
	leases := old.leaseEnds()
	last := time.Now()
	for _, end := range leases {
		if end.After(last) {
			last = end
		}
	}
	for _, p := range o.attemptsOn(seen.ID) {
		p.settles = last
	}
	o.openSession(seen, leases)
}

// takeReport settles the attempts that the worker should be running and gives
// the report to the core.
func (o *owner) takeReport(worker string, sent time.Time, r scheduler.WorkerReport) {
	r.Worker = worker
	known := map[scheduler.TaskID]uint64{}
	for _, a := range r.Running {
		known[a.Task] = a.Attempt
	}
	for _, a := range r.Ended {
		known[a.Task] = max(known[a.Task], a.Attempt)
	}
	for task, p := range o.attemptsOn(worker) {
		if known[task] >= p.attempt || sent.Before(p.settles) {
			continue
		}
		// An attempt that is in no list was never started, or the worker has
		// lost it with its memory; so this does not withdraw the start.
		delete(o.attemptsOn(worker), task)
		r.Ended = append(r.Ended, scheduler.EndedAttempt{Task: task, Attempt: p.attempt, Outcome: scheduler.OutcomeExpired, Reason: "worker does not know the attempt"})
	}
	o.handle(scheduler.Event{Report: &r})
	for _, a := range r.Ended {
		if p := o.attemptsOn(worker)[a.Task]; p != nil && p.attempt == a.Attempt {
			delete(o.attemptsOn(worker), a.Task)
		}
		o.next.ended = append(o.next.ended, endedAttempt{worker, nameOf(a.Task, a.Attempt)})
	}
	o.takeRunners(worker, r)
}
