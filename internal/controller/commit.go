package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/committer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// flush starts the commit of the gathered changes as one record. It does
// nothing while another commit is in flight.
func (o *owner) flush(now time.Time) {
	if o.inFlight != nil {
		return
	}
	if o.nextBatch.isEmpty() {
		return
	}
	b := o.nextBatch
	o.nextBatch = batch{}
	b.startedAt = now
	o.inFlight = &b
	if len(b.changes) == 0 {
		o.committed <- nil
		return
	}
	if o.isSnapshotDue(now) {
		s := o.core.Snapshot()
		b.snapshot = &s
		o.lastSnapshotAt = now
	}
	o.background.Go(func() { o.committed <- o.commit(&b) })
}

// isSnapshotDue reports whether to write a snapshot after the next record. A
// snapshot that was too large is retried whenever the number of uncovered
// records is a multiple of 16.
func (o *owner) isSnapshotDue(now time.Time) bool {
	if o.stateTooLarge {
		return o.ledger.Uncovered()%16 == 0
	}
	return o.ledger.Uncovered() >= snapshotEvery || now.Sub(o.lastSnapshotAt) >= snapshotInterval
}

// commit appends a record and, if the outcome is unknown, retries until it is
// settled. No other goroutine may use the ledger meanwhile.
func (o *owner) commit(b *batch) error {
	err := o.ledger.Append(o.ownershipCtx, b.changes)
	isUndecided := false
	for {
		var pending *committer.UndecidedError
		if !errors.As(err, &pending) {
			break
		}
		if !isUndecided {
			isUndecided = true
			o.shard.controller.options.Log.Warn().Err(err).Str("shard", o.shard.name).Msg("ledger: append undecided")
			o.signalUndecided(true)
		}
		select {
		case <-o.ownershipCtx.Done():
			return err
		case <-time.After(settleRetryDelay):
		}
		err = o.ledger.Settle(o.ownershipCtx)
	}
	if isUndecided {
		o.signalUndecided(false)
	}
	if err != nil || b.snapshot == nil {
		return err
	}
	return o.writeSnapshot(*b.snapshot)
}

// signalUndecided tells the control goroutine that the outcome of an append has
// become unknown, or is settled.
func (o *owner) signalUndecided(isUndecided bool) {
	select {
	case o.undecidedAppends <- isUndecided:
	case <-o.ownershipCtx.Done():
	}
}

// writeSnapshot writes a snapshot. It fails only if a later owner has written
// one; all other errors are logged, since the records still hold the state.
func (o *owner) writeSnapshot(s scheduler.Snapshot) error {
	err := o.ledger.Compact(o.ownershipCtx, s)
	var fenced *committer.FencedError
	if errors.As(err, &fenced) {
		return err
	}
	var large *committer.TooLargeError
	o.snapshotTooLarge.Store(errors.As(err, &large))
	if err != nil {
		o.shard.controller.options.Log.Error().Err(err).Str("shard", o.shard.name).Uint64("uncovered", o.ledger.Uncovered()).Msg("ledger: snapshot not written")
	}
	return nil
}

// completeBatch answers the callers, sends the commands and acknowledges the
// ended attempts of the committed record.
func (o *owner) completeBatch() {
	b := o.inFlight
	o.inFlight = nil
	o.stateTooLarge = o.snapshotTooLarge.Load()
	for _, ch := range b.changes {
		if h := ch.HorizonSet; h != nil {
			o.horizon.extend(h.Class, b.startedAt, h.Length)
		}
	}
	for _, w := range b.callers {
		w <- nil
	}
	for _, c := range b.commands {
		o.sendCommand(c)
	}
	for _, e := range b.ended {
		if s := o.sessions[e.worker]; s != nil {
			s.acknowledge(e.name)
		}
	}
	o.publishRoutes(time.Now())
}

// sendCommand passes a command to the session of its worker. A start that no
// session takes is withdrawn; other commands are dropped.
func (o *owner) sendCommand(c scheduler.Command) {
	if c.HandOver != nil || c.Cancel != nil || c.Totals != nil || c.Peer != nil {
		o.sendToShard(c)
		return
	}
	s := o.sessions[workerOf(c)]
	if s != nil && s.enqueue(c) {
		return
	}
	if c.Start != nil {
		o.handleEvent(scheduler.Event{StartRefused: &scheduler.StartRefused{Task: c.Start.Task, Attempt: c.Start.Attempt, Reason: "no session for the worker, or its command queue is full", Withdrawn: true}})
	}
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

// failCallers tells the waiting callers that their changes may not be
// committed.
func (o *owner) failCallers() {
	callers := o.nextBatch.callers
	if o.inFlight != nil {
		callers = append(callers, o.inFlight.callers...)
	}
	for _, w := range callers {
		w <- &UndecidedError{&NotOwnerError{o.shard.name}}
	}
}

// stop ends all lease renewals, commits the remaining changes and appends the
// release record.
func (o *owner) stop() error {
	o.shard.transition("shut_down")
	o.endServing()
	o.sessionGoroutines.Wait()
	ctx, cancel := context.WithTimeout(o.ownershipCtx, releaseTimeout)
	defer cancel()
	if o.inFlight != nil {
		if err := o.awaitCommit(ctx); err != nil {
			return err
		}
	}
	o.drainInputs()
	b := o.nextBatch
	if len(b.changes) > 0 {
		if err := o.ledger.Append(ctx, b.changes); err != nil {
			return err
		}
	}
	for _, w := range b.callers {
		w <- nil
	}
	o.nextBatch = batch{}
	return o.ledger.Release(ctx, o.uncoveredHorizons(time.Now()))
}

// awaitCommit waits for the commit in flight and answers its callers.
func (o *owner) awaitCommit(ctx context.Context) error {
	for {
		select {
		case err := <-o.committed:
			if err != nil {
				return err
			}
			for _, w := range o.inFlight.callers {
				w <- nil
			}
			o.inFlight = nil
			return nil
		case <-o.undecidedAppends:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "release: wait for the commit in flight")
		}
	}
}

// drainInputs handles the inputs still queued, so that ends of attempts that
// workers have reported are committed.
func (o *owner) drainInputs() {
	for {
		select {
		case in := <-o.inputs:
			if in.instances == nil {
				o.handleInput(in)
			}
		default:
			return
		}
	}
}

// nameOf returns the name of an attempt in the workers' protocol.
func nameOf(task scheduler.TaskID, attempt uint64) dispatcher.AttemptName {
	return dispatcher.AttemptName{Task: string(task), Attempt: attempt}
}
