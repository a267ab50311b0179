package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	// maxPeerCalls bounds the concurrent calls to other shards.
	maxPeerCalls = 32
	// transferRetryDelay is the delay before an unconfirmed transfer is offered
	// again.
	transferRetryDelay = time.Second
	// peerCallTimeout bounds a call to another shard.
	peerCallTimeout = 2 * time.Second
)

// offerTransfer sends a handed-over task to its new shard and retries until
// that shard confirms the transfer. It is called once the handover is
// committed, and again after a replay.
func (o *owner) offerTransfer(h scheduler.HandOverTask) {
	o.background.Go(func() {
		for o.servingCtx.Err() == nil {
			select {
			case o.peerCallSlots <- struct{}{}:
			case <-o.servingCtx.Done():
				return
			}
			err := o.sendTransfer(h)
			<-o.peerCallSlots
			if err == nil {
				o.post(input{event: scheduler.Event{Confirmed: &scheduler.TransferConfirmed{TransferID: h.TransferID}}})
				return
			}
			o.shard.controller.options.Log.Debug().Err(err).Str("shard", o.shard.name).Str("transfer", h.TransferID).Msg("transfer: not confirmed")
			select {
			case <-o.servingCtx.Done():
			case <-time.After(transferRetryDelay):
			}
		}
	})
}

func (o *owner) sendTransfer(h scheduler.HandOverTask) error {
	ctx, cancel := context.WithTimeout(o.servingCtx, peerCallTimeout)
	defer cancel()
	c := o.shard.controller
	if c.Epoch(h.ToShard) > 0 {
		return c.TakeOver(ctx, h.ToShard, scheduler.TransferOffered{TransferID: h.TransferID, Task: h.Task})
	}
	if c.options.Peer == nil {
		return errors.New("no client for other shards is configured")
	}
	peer := c.options.Peer(h.ToShard)
	if peer == nil {
		return errors.Errorf("no owner known for shard %s", h.ToShard)
	}
	task, err := marshaler.Marshal(h.Task)
	if err != nil {
		return errors.Wrap(err, "encode task")
	}
	answer, err := peer.HandOver(ctx, &messenger.HandOverRequest{TransferId: h.TransferID, FromShard: o.shard.name, ToShard: h.ToShard, Task: task})
	if err != nil {
		return err
	}
	if !answer.Accepted {
		return errors.New("peer did not accept the transfer")
	}
	return nil
}
