package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/committer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// flush appends the gathered changes as one record, one record at a time.
func (o *owner) flush(now time.Time) {
	if o.inFlight != nil {
		return
	}
	if o.next.isEmpty() {
		return
	}
	b := o.next
	o.next = batch{}
	b.begun = now
	o.inFlight = &b
	if len(b.changes) == 0 {
		o.committed <- nil
		return
	}
	if o.isSnapshotDue(now) {
		s := o.core.Snapshot()
		b.state = &s
		o.compacted = now
	}
	o.background.Go(func() { o.committed <- o.commit(&b) })
}

// isSnapshotDue reports whether a snapshot should follow the next record. One
// that was too large is tried again after a few records.
func (o *owner) isSnapshotDue(now time.Time) bool {
	if o.overLimit {
		return o.ledger.Uncovered()%16 == 0
	}
	return o.ledger.Uncovered() >= snapshotEvery || now.Sub(o.compacted) >= snapshotInterval
}

// commit appends a record and settles a lost answer for as long as it takes.
// While it runs, the ledger is its own.
func (o *owner) commit(b *batch) error {
	err := o.ledger.Append(o.life, b.changes)
	doubted := false
	for {
		var pending *committer.UndecidedError
		if !errors.As(err, &pending) {
			break
		}
		if !doubted {
			doubted = true
			o.shard.controller.options.Log.Warn().Err(err).Str("shard", o.shard.name).Msg("ledger: append undecided")
			o.signal(true)
		}
		select {
		case <-o.life.Done():
			return err
		case <-time.After(retryPause):
		}
		err = o.ledger.Settle(o.life)
	}
	if doubted {
		o.signal(false)
	}
	if err != nil || b.state == nil {
		return err
	}
	return o.compact(*b.state)
}

func (o *owner) signal(doubt bool) {
	select {
	case o.doubts <- doubt:
	case <-o.life.Done():
	}
}

// compact writes a snapshot. Only a later owner makes it fail; whatever else
// goes wrong, the log is still there.
func (o *owner) compact(s scheduler.Snapshot) error {
	err := o.ledger.Compact(o.life, s)
	var fenced *committer.FencedError
	if errors.As(err, &fenced) {
		return err
	}
	var large *committer.TooLargeError
	o.tooLarge.Store(errors.As(err, &large))
	if err != nil {
		o.shard.controller.options.Log.Error().Err(err).Str("shard", o.shard.name).Uint64("uncovered", o.ledger.Uncovered()).Msg("ledger: no snapshot")
	}
	return nil
}

// release carries out what waited for the record.
func (o *owner) release() {
	b := o.inFlight
	o.inFlight = nil
	o.overLimit = o.tooLarge.Load()
	for _, ch := range b.changes {
		if h := ch.HorizonSet; h != nil {
			o.horizon.extend(h.Class, b.begun, h.Length)
		}
	}
	for _, w := range b.waiting {
		w <- nil
	}
	for _, c := range b.commands {
		o.send(c)
	}
	for _, e := range b.ended {
		if s := o.sessions[e.worker]; s != nil {
			s.acknowledge(e.name)
		}
	}
	o.publish()
}

// send gives a command to the session of its worker. A start that can't be
// sent is withdrawn.
func (o *owner) send(c scheduler.Command) {
	if c.HandOver != nil || c.Cancel != nil || c.Totals != nil || c.Peer != nil {
		o.sendToShard(c)
		return
	}
	s := o.sessions[workerOf(c)]
	if s != nil && s.enqueue(c) {
		return
	}
	if c.Start != nil {
		o.handle(scheduler.Event{StartRefused: &scheduler.StartRefused{Task: c.Start.Task, Attempt: c.Start.Attempt, Reason: "worker takes no commands", Withdrawn: true}})
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

// failWaiting tells callers that their change isn't known to be committed.
func (o *owner) failWaiting() {
	waiting := o.next.waiting
	if o.inFlight != nil {
		waiting = append(waiting, o.inFlight.waiting...)
	}
	for _, w := range waiting {
		w <- &UndecidedError{&NotOwnerError{o.shard.name}}
	}
}

// stop ends all renewals, commits what is left and writes the last record.
func (o *owner) stop() error {
	o.shard.move("shut_down")
	o.endServing()
	o.sessionsUp.Wait()
	ctx, cancel := context.WithTimeout(o.life, releaseTimeout)
	defer cancel()
	if o.inFlight != nil {
		if err := o.awaitCommit(ctx); err != nil {
			return err
		}
	}
	o.drainReports()
	b := o.next
	if len(b.changes) > 0 {
		if err := o.ledger.Append(ctx, b.changes); err != nil {
			return err
		}
	}
	for _, w := range b.waiting {
		w <- nil
	}
	o.next = batch{}
	return o.ledger.Release(ctx)
}

func (o *owner) awaitCommit(ctx context.Context) error {
	for {
		select {
		case err := <-o.committed:
			if err != nil {
				return err
			}
			for _, w := range o.inFlight.waiting {
				w <- nil
			}
			o.inFlight = nil
			return nil
		case <-o.doubts:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "release")
		}
	}
}

// drainReports takes the inputs that the sessions left, so that ends that
// workers have reported are committed.
func (o *owner) drainReports() {
	for {
		select {
		case in := <-o.inputs:
			if in.instances == nil {
				o.take(in)
			}
		default:
			return
		}
	}
}

// nameOf returns the name of an attempt in the worker's protocol.
func nameOf(task scheduler.TaskID, attempt uint64) dispatcher.AttemptName {
	return dispatcher.AttemptName{Task: string(task), Attempt: attempt}
}
