package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// renew sends a lease renewal. While the worker does not respond, it sends a
// status request, which extends no lease.
func (s *simShard) renew(x *fakeWorker) {
	w := s.w
	ses := s.sessions[x.id]
	if ses == nil {
		ses = &fakeSession{answeredAt: w.now, leaseSentAt: w.now, openedAt: w.now}
		s.sessions[x.id] = ses
		s.step(Event{WorkerSeen: &WorkerSeen{ID: x.id, Rack: "r", Capacity: x.capacity}})
	}
	if w.now.UnixMilli()%1000 != 0 {
		return
	}
	lease := time.Duration(0)
	sinceAnswer := w.now.Sub(ses.answeredAt)
	if ses.reached && sinceAnswer <= coarseStep {
		lease, ses.leaseSentAt = leaseLength, w.now
	}
	if sinceAnswer > coarseStep {
		s.expire(x.id, ses)
	}
	sent, epoch, core, drops := w.now, s.epoch, s.core, s.dropReports
	if x.unreachable || x.dead {
		return
	}
	w.send(func() {
		report, ok := x.renew(w, epoch, sent, lease)
		if !ok || drops || x.unreachable {
			return
		}
		w.send(func() {
			if s.core != core || w.now.Before(s.pausedUntil) {
				return
			}
			ses.answeredAt, ses.reached, ses.lost = w.now, true, nil
			r := report
			s.step(Event{Report: &r})
			for _, e := range r.Ended {
				x.read[fmt.Sprintf("%s#%d", e.Task, e.Attempt)] = true
			}
		})
	})
	// The worker forgets an ended attempt once an owner has read and committed it.
	for name, e := range x.ended {
		if t := s.replayed.tasks[e.Task]; x.read[name] && len(s.uncommitted) == 0 && (t == nil || t.Attempt != e.Attempt || !HoldsReservation(t.State)) && !x.unreachable {
			delete(x.ended, name)
		}
	}
}

// leaseLength and horizons are the values of the driver.
const leaseLength = 10 * time.Second

var horizons = map[declarer.Class]time.Duration{
	declarer.ClassBatch: 15 * time.Minute, declarer.ClassWatcher: 15 * time.Minute, declarer.ClassService: 2 * time.Hour,
}

// expire reports to the core that a worker does not respond and, for each
// class, that its leases have expired. An earlier owner may have renewed the
// leases of a worker that this owner has not reached, up to the horizon.
func (s *simShard) expire(worker string, ses *fakeSession) {
	if ses.lost == nil {
		ses.lost = map[declarer.Class]bool{}
		s.step(Event{Unreachable: &WorkerUnreachable{worker}})
	}
	for _, class := range []declarer.Class{declarer.ClassBatch, declarer.ClassService, declarer.ClassWatcher} {
		end := ses.leaseSentAt.Add(addDriftMargin(leaseLength))
		if !ses.reached && s.epoch > 1 {
			end = ses.openedAt.Add(addDriftMargin(leaseLength + horizons[class]))
		}
		if !ses.lost[class] && s.w.now.After(end) {
			ses.lost[class] = true
			s.step(Event{WorkerLost: &WorkerLost{worker, class}})
		}
	}
}

func (x *fakeWorker) renew(w *world, epoch uint64, sent time.Time, lease time.Duration) (WorkerReport, bool) {
	if x.dead || epoch < x.epoch {
		return WorkerReport{}, false
	}
	x.epoch = epoch
	x.advance(w)
	r := WorkerReport{Worker: x.id, RequestedAt: sent, MeasuredAt: w.now}
	for _, id := range x.runningIDs() {
		run := x.running[id]
		if end := sent.Add(lease); lease > 0 && end.After(run.leaseEnd) {
			run.leaseEnd = end
		}
		r.Running = append(r.Running, RunningAttempt{Task: id, Attempt: run.start.Attempt})
	}
	if len(x.ended) > 0 {
		for _, name := range slices.Sorted(maps.Keys(x.ended)) {
			r.Ended = append(r.Ended, x.ended[name])
		}
	}
	return r, true
}

// advance ends the attempts that are complete or whose lease has expired.
func (x *fakeWorker) advance(w *world) {
	for _, id := range x.runningIDs() {
		r := x.running[id]
		isRenewed := w.now.Before(x.renewedUntil) || r.start.Class == declarer.ClassService && w.now.Before(x.servicesRenewedUntil)
		if end := w.now.Add(leaseLength); isRenewed && end.After(r.leaseEnd) {
			r.leaseEnd = end
		}
		switch {
		case !w.now.Before(r.leaseEnd):
			x.finish(id, OutcomeExpired)
		case r.outcome != "":
			x.finish(id, r.outcome)
		case !x.slow && r.start.Class == declarer.ClassBatch && w.now.Sub(r.startedAt) >= r.start.RunTime:
			x.finish(id, OutcomeCompleted)
		}
	}
}

func (x *fakeWorker) runningIDs() []TaskID {
	if len(x.running) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(x.running))
}

func (x *fakeWorker) finish(id TaskID, o Outcome) {
	r := x.running[id]
	if r == nil {
		return
	}
	delete(x.running, id)
	e := EndedAttempt{Task: id, Attempt: r.start.Attempt, Outcome: o}
	name := fmt.Sprintf("%s#%d", id, r.start.Attempt)
	if o == OutcomeCheckpointed {
		e.Checkpoint = name
	}
	x.ended[name] = e
}

// sendCommand sends one command. Like a session, it checks the age of the
// configuration before it sends a start.
func (s *simShard) sendCommand(k Command, epoch uint64) {
	w := s.w
	to := func(worker string, f func(*fakeWorker)) {
		x := s.workers[worker]
		if x == nil || x.unreachable || x.dead {
			return
		}
		w.send(func() {
			if !x.unreachable && !x.dead && epoch >= x.epoch {
				x.epoch = epoch
				f(x)
			}
		})
	}
	switch {
	case k.Start != nil:
		s.sendStart(*k.Start, epoch)
	case k.Stop != nil:
		to(k.Stop.Worker, func(x *fakeWorker) { x.end(k.Stop.Task, k.Stop.Attempt, OutcomeStopped) })
	case k.Checkpoint != nil:
		to(k.Checkpoint.Worker, func(x *fakeWorker) {
			if !x.stuck {
				x.end(k.Checkpoint.Task, k.Checkpoint.Attempt, OutcomeCheckpointed)
			}
		})
	default:
		s.toPeer(k)
	}
}

func (x *fakeWorker) end(id TaskID, attempt uint64, o Outcome) {
	if r := x.running[id]; r != nil && r.start.Attempt == attempt {
		x.finish(id, o)
	}
}

func (s *simShard) sendStart(k StartTask, epoch uint64) {
	w := s.w
	core := s.core
	answer := func(withdrawn bool) {
		if s.core == core {
			s.step(Event{StartRefused: &StartRefused{Task: k.Task, Attempt: k.Attempt, Reason: "test", Withdrawn: withdrawn}})
		}
	}
	if w.now.Sub(k.ConfirmedAt) > ConfigMaxAge {
		answer(true)
		return
	}
	x, sent := s.workers[k.Worker], w.now
	process := x.process
	if ses := s.sessions[k.Worker]; ses != nil {
		ses.leaseSentAt = sent
	}
	if x.unreachable || x.dead {
		return
	}
	w.send(func() {
		if x.unreachable || x.dead || x.process != process {
			return
		}
		if !x.start(w, k, epoch, sent) && !s.dropReports {
			w.send(func() { answer(false) })
		}
	})
}

func (x *fakeWorker) start(w *world, k StartTask, epoch uint64, sent time.Time) bool {
	if epoch < x.epoch || w.now.Sub(sent) > StartValidity || k.Attempt <= x.attempts[k.Task] || x.refuse {
		x.refuse = false
		return false
	}
	x.epoch = epoch
	if out, ok := w.outAt[x.domain]; ok && w.now.Sub(out) > ConfigMaxAge+StartValidity {
		w.recordError(errors.Errorf("%s started %s after its domain was taken out", k.Task, w.now.Sub(out)))
	}
	if old := x.running[k.Task]; old != nil {
		w.recordError(errors.Errorf("%s: attempt %d started on %s while attempt %d runs there", k.Task, k.Attempt, x.id, old.start.Attempt))
	}
	x.attempts[k.Task] = k.Attempt
	if k.Checkpoint != "" {
		w.checkpointStarts[k.Checkpoint]++
	}
	r := &fakeRun{start: k, leaseEnd: sent.Add(leaseLength), startedAt: w.now}
	if x.failAll {
		r.outcome = OutcomeFailed
	}
	x.running[k.Task] = r
	return true
}

// toPeer delivers commands for other shards.
func (s *simShard) toPeer(k Command) {
	w := s.w
	if w.dropPeerMessages {
		return
	}
	at := func(domain string, f func(*simShard)) {
		for _, o := range w.shards {
			if o.domain == domain {
				w.send(func() {
					if !w.now.Before(o.pausedUntil) && !w.dropPeerMessages {
						f(o)
					}
				})
			}
		}
	}
	switch {
	case k.HandOver != nil:
		at(k.HandOver.ToShard, func(o *simShard) {
			o.step(Event{Offered: &TransferOffered{k.HandOver.TransferID, k.HandOver.Task}})
			o.commit()
			if o.replayed.HasTakenOver(k.HandOver.TransferID) {
				w.send(func() { s.step(Event{Confirmed: &TransferConfirmed{k.HandOver.TransferID}}) })
			}
		})
	case k.Cancel != nil:
		at(k.Cancel.ToShard, func(o *simShard) { o.step(Event{Cancelled: &JobCancelled{k.Cancel.JobID, k.Cancel.Home}}) })
	case k.Totals != nil:
		at(k.Totals.ToShard, func(o *simShard) {
			o.step(Event{Totals: &TotalsReported{k.Totals.JobID, k.Totals.Counts}})
			o.commit()
			if len(o.uncommitted) == 0 {
				w.send(func() { s.step(Event{TotalsConfirmed: &TotalsConfirmed{k.Totals.JobID, k.Totals.Counts}}) })
			}
		})
	case k.Peer != nil:
		at(k.Peer.ToShard, func(o *simShard) { o.step(Event{Peer: &k.Peer.Report}) })
	}
}

// configure applies an accepted change of the configuration.
func (w *world) configure(change func(*declarer.Config)) {
	next := *w.config
	change(&next)
	next.Revision++
	w.previousConfig, w.config = w.config, &next
	for _, d := range next.Domains {
		if !next.IsOut(d) {
			delete(w.outAt, d)
		} else if _, known := w.outAt[d]; !known {
			w.outAt[d] = w.now
		}
	}
}

// isSettled reports whether all declared work runs and all jobs have ended.
func (w *world) isSettled() bool {
	ended := map[string]int{}
	for _, s := range w.shards {
		if len(s.uncommitted) > 0 || len(s.core.transfers) > 0 {
			return false
		}
		for _, svc := range w.config.Services {
			for i := range w.config.ReplicasIn(svc, s.domain) {
				if t := s.core.tasks[replicaID(svc.Name, s.domain, i)]; t == nil || t.State != Running {
					return false
				}
			}
		}
		for id, j := range s.core.jobs {
			ended[id] += j.Done + j.Failed + j.Cancelled
		}
	}
	watchers := 0
	for _, s := range w.shards {
		for id, j := range s.core.jobs {
			if j.Home != s.domain {
				continue
			}
			totals := j.Totals()
			if ended[id] != j.Job.Tasks || totals.Done+totals.Failed+totals.Cancelled != j.Job.Tasks {
				return false
			}
		}
		if t := s.core.tasks["watcher/eye"]; t != nil && t.State == Running {
			watchers++
		}
	}
	return watchers == len(w.config.Watchers)
}
