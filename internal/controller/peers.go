package controller

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// sendToShard carries out a command for another shard. Hand-overs are repeated
// here until they are confirmed; the core gives the other commands again.
func (o *owner) sendToShard(c scheduler.Command) {
	if c.HandOver != nil {
		o.offer(*c.HandOver)
		return
	}
	o.background.Go(func() {
		select {
		case o.transfers <- struct{}{}:
		case <-o.serving.Done():
			return
		}
		defer func() { <-o.transfers }()
		ctx, cancel := context.WithTimeout(o.serving, transferLimit)
		defer cancel()
		var err error
		switch {
		case c.Cancel != nil:
			err = o.sendCancel(ctx, *c.Cancel)
		case c.Totals != nil:
			err = o.sendTotals(ctx, *c.Totals)
		case c.Peer != nil:
			err = o.sendPeerReport(ctx, *c.Peer)
		}
		if err != nil {
			o.shard.controller.options.Log.Debug().Err(err).Str("shard", o.shard.name).Msg("transfer: message to another shard not confirmed")
		}
	})
}

// peerOf returns the client of a shard's owner.
func (o *owner) peerOf(shard string) (messenger.Peer, error) {
	if dial := o.shard.controller.options.Peer; dial != nil {
		if peer := dial(shard); peer != nil {
			return peer, nil
		}
	}
	return nil, errors.Errorf("no owner known for shard %s", shard)
}

func (o *owner) sendCancel(ctx context.Context, c scheduler.CancelJob) error {
	if own := o.shard.controller; own.Epoch(c.ToShard) > 0 {
		return own.Cancel(ctx, c.ToShard, scheduler.JobCancelled{JobID: c.JobID, Home: c.Home})
	}
	peer, err := o.peerOf(c.ToShard)
	if err != nil {
		return err
	}
	_, err = peer.Cancel(ctx, &messenger.CancelRequest{JobId: c.JobID, Shard: c.ToShard, Home: c.Home})
	return err
}

// sendTotals gives the counts of a job to its home shard and notes that they
// are committed there.
func (o *owner) sendTotals(ctx context.Context, c scheduler.ReportTotals) error {
	totals := scheduler.TotalsReported{JobID: c.JobID, Counts: c.Counts}
	if err := o.report(ctx, c.ToShard, scheduler.Event{Totals: &totals}, func(r *messenger.ShardReport) (err error) {
		r.Totals, err = cbor.Marshal(totals)
		return err
	}); err != nil {
		return err
	}
	o.post(input{event: scheduler.Event{TotalsKept: &scheduler.TotalsConfirmed{JobID: c.JobID, Counts: c.Counts}}})
	return nil
}

func (o *owner) sendPeerReport(ctx context.Context, c scheduler.SendPeerReport) error {
	return o.report(ctx, c.ToShard, scheduler.Event{Peer: &c.Report}, func(r *messenger.ShardReport) (err error) {
		r.Peer, err = cbor.Marshal(c.Report)
		return err
	})
}

// report gives an event to the owner of another shard; encode puts it into the
// message when that owner is another daemon.
func (o *owner) report(ctx context.Context, shard string, e scheduler.Event, encode func(*messenger.ShardReport) error) error {
	if own := o.shard.controller; own.Epoch(shard) > 0 {
		return own.Deliver(ctx, shard, e)
	}
	peer, err := o.peerOf(shard)
	if err != nil {
		return err
	}
	r := &messenger.ShardReport{ToShard: shard}
	if err := encode(r); err != nil {
		return errors.Wrap(err, "encode")
	}
	_, err = peer.Report(ctx, r)
	return err
}

// TakeReport gives the owner of a shard what another shard's owner sent; it
// returns after the commit.
func (c *Controller) TakeReport(ctx context.Context, r *messenger.ShardReport) error {
	var e scheduler.Event
	if len(r.Totals) > 0 {
		e.Totals = &scheduler.TotalsReported{}
		if err := cbor.Unmarshal(r.Totals, e.Totals); err != nil {
			return &NotAcceptedError{r.ToShard, "totals: " + err.Error()}
		}
	} else {
		e.Peer = &scheduler.PeerReport{}
		if err := cbor.Unmarshal(r.Peer, e.Peer); err != nil {
			return &NotAcceptedError{r.ToShard, "peer: " + err.Error()}
		}
	}
	return c.Deliver(ctx, r.ToShard, e)
}
