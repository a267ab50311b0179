package planner

import (
	"slices"
	"time"
)

// withdrawnStart is a start whose run has ended before the start was answered. The
// process that confirmed the stop rejects the start if it arrives late. A new process
// with the same id would carry it out, so the stop is sent there too. The worker is
// kept and polled meanwhile, listed or not, so that a new process is noticed before
// the start arrives.
type withdrawnStart struct {
	run RunID
	// sentAt is when the start was sent, and stopSent when the stop was last sent
	// to the present process.
	sentAt, stopSent time.Time
	// isConfirmed is set while the present process rejects the start.
	isConfirmed bool
}

// noteWithdrawn records the start of a run that has ended if it may still be under
// way. A start counts as unanswered only after its timeout, so a stop and a poll may
// have been answered before.
func (w *Worker) noteWithdrawn(r *run) {
	if !r.isAnswered() && !r.isListed {
		w.withdrawnStarts = append(w.withdrawnStarts, withdrawnStart{run: r.id, sentAt: r.startedAt, isConfirmed: true})
	}
}

// forgetWithdrawn forgets a withdrawn start that was answered after its run had ended.
func (w *Worker) forgetWithdrawn(id RunID) {
	w.withdrawnStarts = slices.DeleteFunc(w.withdrawnStarts, func(s withdrawnStart) bool { return s.run == id })
}

func (w *Worker) confirmWithdrawal(id RunID) {
	for i := range w.withdrawnStarts {
		if s := &w.withdrawnStarts[i]; s.run == id && !s.stopSent.IsZero() {
			s.isConfirmed = true
		}
	}
}

// sendWithdrawals sends the stops of withdrawn starts that the worker's process
// has not confirmed, and forgets the starts that can't arrive any more.
func (p *Planner) sendWithdrawals(now time.Time, w *Worker) {
	w.withdrawnStarts = slices.DeleteFunc(w.withdrawnStarts, func(s withdrawnStart) bool { return now.Sub(s.sentAt) > LateCallLimit })
	for i := range w.withdrawnStarts {
		s := &w.withdrawnStarts[i]
		if !s.isConfirmed && now.Sub(s.stopSent) > stopInterval {
			s.stopSent = now
			p.commands = append(p.commands, Command{Kind: StopRun, Run: s.run, WorkerID: w.ID})
		}
	}
}
