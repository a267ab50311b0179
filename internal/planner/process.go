package planner

import (
	"fmt"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/interpreter"
)

// A worker's process is identified by its id and its start time, because a new
// process may have the id or the address of an ended one. Whether it is alive is
// decided by the answers to calls alone: two processes never share an address,
// so an answer by one of them proves that every other one that was known there
// before the call was sent has ended. The order of start times and of entries in
// the list proves nothing, since clocks differ and writes may take effect late.

// processID identifies a worker's process.
type processID struct {
	worker string
	// born is the start time of the process; zero if it is not known.
	born int64
}

func (w *Worker) processID() processID { return processID{w.ID, w.Born} }

// applyProcessEvent applies an event to the state of the worker's process.
func (p *Planner) applyProcessEvent(w *Worker, event interpreter.Event) {
	if next, err := p.processChart.Next(w.process, event); err == nil {
		w.process = next
	}
}

// IsOtherProcess reports whether start times belong to different processes. A start
// time of zero, which is not known, may be that of any process.
func IsOtherProcess(a, b int64) bool { return a != 0 && b != 0 && a != b }

// updateContested determines for each worker at the address of w whether another
// process may have the address.
func (p *Planner) updateContested(w *Worker) {
	var all []*Worker
	for _, o := range p.sortedWorkers {
		if o.Address == w.Address {
			all = append(all, o)
		}
	}
	for _, o := range all {
		o.isContested = len(all) > 1 || o.relisted != nil
	}
}

// noteRelisted records that the list shows another process under the id of a
// worker. The next poll tells which of them is alive.
func (p *Planner) noteRelisted(now time.Time, w *Worker, n Worker) {
	if w.relisted == nil || w.relisted.Born != n.Born {
		n.knownSince = now
		w.relisted = &n
		p.reportWorker("worker_contested", w, fmt.Sprintf("listed as born %d", n.Born))
	}
	p.updateContested(w)
}

// proveAlive records that the worker's process has answered a poll that was sent
// at the given time. It ends the other processes that were known at the address
// by then.
func (p *Planner) proveAlive(w *Worker, sent time.Time) {
	p.applyProcessEvent(w, "poll_answered")
	if w.relisted != nil && !sent.Before(w.relisted.knownSince) {
		p.endedProcesses[w.relisted.processID()] = true
		w.relisted = nil
		p.updateContested(w)
	}
	if !w.isContested {
		return
	}
	for _, o := range slices.Clone(p.sortedWorkers) {
		if o != w && o.Address == w.Address && !sent.Before(o.knownSince) {
			p.endProcess(o, w.ID+" answered at its address")
			p.settleStartsTo(o)
		}
	}
}

// leaseEndOf returns when the last lease of a run has certainly expired. A start that
// no process has listed may reach a later process under the worker's id than the one it
// was sent to: the one that the list shows, or the present one if that has replaced
// another. A lease counts there from its arrival, since the clock started anew. Until
// the present process rejects the calls that were meant for an ended one, these may also
// renew the lease of a run that it has listed. An answer to a start doesn't tell whether
// it was given by the process that the start was meant for.
func (p *Planner) leaseEndOf(r *run) time.Time {
	w := r.worker
	isStopped := r.state == "settling"
	mayArrive := !r.isListed && (w.relisted != nil || r.wasSentToEnded && !r.isAnswered() && !isStopped)
	mayBeRenewed := w.acceptsEarlierCalls() && !isStopped
	switch {
	case mayArrive || mayBeRenewed:
		return w.leaseEnd.Add(LateCallLimit)
	case r.isAnswered() && !r.isListed:
		if end := r.answeredAt.Add(p.options.LongestLease); end.After(w.leaseEnd) {
			return end
		}
	}
	return w.leaseEnd
}

// mayStartLate reports whether a start that an earlier owner has sent to the worker may still
// take effect: the worker, or another process with its id that the list has shown, has not
// answered yet and accepts the calls that were meant for an ended one. The other process may
// live on when its entry expires.
func (w *Worker) mayStartLate(proven time.Time) bool {
	return (w.relisted != nil || w.acceptsEarlierCalls()) && !proven.After(w.leaseEnd.Add(LateCallLimit))
}

// OtherProcessAnswered records that a call for the worker was answered by a
// process with another id, so that the worker's process has ended.
func (p *Planner) OtherProcessAnswered(workerID string) {
	if w := p.workers[workerID]; w != nil {
		p.endProcess(w, "another process answered")
		p.settleStartsTo(w)
	}
}

// endProcess removes a worker whose process has ended, with all of its runs. As
// long as the list shows the process, it is not added again.
func (p *Planner) endProcess(w *Worker, reason string) {
	p.recordCrash(w, runsOf(w))
	p.rememberEnded(w)
	p.removeWorker(w, "other_answered", reason)
}

func (p *Planner) rememberEnded(w *Worker) {
	if w.Born != 0 {
		p.endedProcesses[w.processID()] = true
	}
}

// endRejected ends the runs whose starts were sent to an ended process and that the
// present one doesn't list in the answer that proves it, since it rejects them by then.
func (p *Planner) endRejected(w *Worker, listed map[RunID]bool) {
	for i := range w.withdrawnStarts {
		w.withdrawnStarts[i].isConfirmed = true
	}
	for _, r := range runsOf(w) {
		if r.wasSentToEnded && !listed[r.id] {
			p.endRun(r, "reject", "the worker's new process rejects its start")
		}
	}
}

// replaceProcess replaces a worker by the process that was started at the given
// time under the same id, and returns the new worker. Its description is that of
// the ended process until the list shows its own. A start that the ended process
// has never listed may have been sent to it and still reach the new one, so the
// new worker takes over such runs in order to stop them.
func (p *Planner) replaceProcess(now time.Time, w *Worker, born int64) *Worker {
	p.recordCrash(w, runsOf(w))
	var pending []*run
	for _, r := range runsOf(w) {
		if !r.isListed {
			pending = append(pending, r)
			w.removeRun(r)
		}
	}
	n := &Worker{
		ID: w.ID, Born: born, Address: w.Address, Service: w.Service, Domain: w.Domain, Rack: w.Rack, Labels: w.Labels,
		Capacity: w.Capacity, missingSince: now, leaseEnd: w.leaseEnd, isUnverified: w.isUnverified,
	}
	p.endProcess(w, fmt.Sprintf("its id is used by the process born %d", born))
	p.addWorker(now, n)
	if n.isUnverified {
		p.unverified[n.ID] = true
	}
	for _, r := range pending {
		r.worker, r.wasSentToEnded = n, true
		n.addRun(r)
		p.transition(r, "process_replaced")
		r.stopSent = now
		p.reportRun("stop", r, "its worker's process was replaced before it was listed")
		p.commands = append(p.commands, Command{Kind: StopRun, Run: r.id, WorkerID: n.ID})
	}
	n.withdrawnStarts = w.withdrawnStarts
	for i := range n.withdrawnStarts {
		n.withdrawnStarts[i].isConfirmed, n.withdrawnStarts[i].stopSent = false, time.Time{}
	}
	p.sendWithdrawals(now, n)
	return n
}
