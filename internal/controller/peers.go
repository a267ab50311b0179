package controller

import (
	"context"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// sendToShard executes a command for another shard. Handovers are retried
// until they are confirmed. Other commands are sent once; the core issues them
// again.
func (o *owner) sendToShard(c scheduler.Command) {
	if c.HandOver != nil {
		o.offerTransfer(*c.HandOver)
		return
	}
	o.background.Go(func() {
		select {
		case o.peerCallSlots <- struct{}{}:
		case <-o.servingCtx.Done():
			return
		}
		defer func() { <-o.peerCallSlots }()
		ctx, cancel := context.WithTimeout(o.servingCtx, peerCallTimeout)
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

// peerOf returns a client of the daemon that owns a shard.
func (o *owner) peerOf(shard string) (messenger.Peer, error) {
	if dial := o.shard.controller.options.Peer; dial != nil {
		if peer := dial(shard); peer != nil {
			return peer, nil
		}
	}
	return nil, errors.Errorf("no owner known for shard %s", shard)
}

func (o *owner) sendCancel(ctx context.Context, c scheduler.CancelJob) error {
	if local := o.shard.controller; local.Epoch(c.ToShard) > 0 {
		return local.Cancel(ctx, c.ToShard, scheduler.JobCancelled{JobID: c.JobID, Home: c.Home})
	}
	peer, err := o.peerOf(c.ToShard)
	if err != nil {
		return err
	}
	_, err = peer.Cancel(ctx, &messenger.CancelRequest{JobId: c.JobID, Shard: c.ToShard, Home: c.Home})
	return err
}

// sendTotals sends the counts of a job to its home shard and, once they are
// committed there, tells the core.
func (o *owner) sendTotals(ctx context.Context, c scheduler.ReportTotals) error {
	totals := scheduler.TotalsReported{JobID: c.JobID, Counts: c.Counts}
	if err := o.sendReport(ctx, c.ToShard, scheduler.Event{Totals: &totals}, func(r *messenger.ShardReport) (err error) {
		r.Totals, err = marshaler.Marshal(totals)
		return err
	}); err != nil {
		return err
	}
	o.post(input{event: scheduler.Event{TotalsConfirmed: &scheduler.TotalsConfirmed{JobID: c.JobID, Counts: c.Counts}}})
	return nil
}

func (o *owner) sendPeerReport(ctx context.Context, c scheduler.SendPeerReport) error {
	return o.sendReport(ctx, c.ToShard, scheduler.Event{Peer: &c.Report}, func(r *messenger.ShardReport) (err error) {
		r.Peer, err = marshaler.Marshal(c.Report)
		return err
	})
}

// sendReport delivers an event to the owner of another shard, directly if this
// daemon owns that shard. Otherwise encode writes the event into the message
// to the peer.
func (o *owner) sendReport(ctx context.Context, shard string, e scheduler.Event, encode func(*messenger.ShardReport) error) error {
	if local := o.shard.controller; local.Epoch(shard) > 0 {
		return local.Deliver(ctx, shard, e)
	}
	peer, err := o.peerOf(shard)
	if err != nil {
		return err
	}
	r := &messenger.ShardReport{ToShard: shard}
	if err := encode(r); err != nil {
		return errors.Wrap(err, "encode report")
	}
	_, err = peer.Report(ctx, r)
	return err
}

// DeliverReport delivers a report from another shard's owner to the owner of
// r.ToShard, and returns once its changes are committed.
func (c *Controller) DeliverReport(ctx context.Context, r *messenger.ShardReport) error {
	var e scheduler.Event
	if len(r.Totals) > 0 {
		e.Totals = &scheduler.TotalsReported{}
		if err := marshaler.Unmarshal(r.Totals, e.Totals); err != nil {
			return &NotAcceptedError{r.ToShard, "decode totals: " + err.Error()}
		}
	} else {
		e.Peer = &scheduler.PeerReport{}
		if err := marshaler.Unmarshal(r.Peer, e.Peer); err != nil {
			return &NotAcceptedError{r.ToShard, "decode peer report: " + err.Error()}
		}
	}
	return c.Deliver(ctx, r.ToShard, e)
}
