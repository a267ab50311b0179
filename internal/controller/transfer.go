package controller

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	// transferCalls bounds the calls to other shards at any time.
	transferCalls = 32
	transferPause = time.Second
	transferLimit = 2 * time.Second
)

// offer sends a task that was handed over to its new shard, and again until
// that confirms it. It is called once the hand-over is committed, and after a
// replay.
func (o *owner) offer(h scheduler.HandOverTask) {
	o.background.Go(func() {
		for o.serving.Err() == nil {
			select {
			case o.transfers <- struct{}{}:
			case <-o.serving.Done():
				return
			}
			err := o.sendTransfer(h)
			<-o.transfers
			if err == nil {
				o.post(input{event: scheduler.Event{Confirmed: &scheduler.TransferConfirmed{TransferID: h.TransferID}}})
				return
			}
			o.shard.controller.options.Log.Debug().Err(err).Str("shard", o.shard.name).Str("transfer", h.TransferID).Msg("transfer: not confirmed")
			select {
			case <-o.serving.Done():
			case <-time.After(transferPause):
			}
		}
	})
}

func (o *owner) sendTransfer(h scheduler.HandOverTask) error {
	ctx, cancel := context.WithTimeout(o.serving, transferLimit)
	defer cancel()
	c := o.shard.controller
	if c.Epoch(h.ToShard) > 0 {
		return c.TakeOver(ctx, h.ToShard, scheduler.TransferOffered{TransferID: h.TransferID, Task: h.Task})
	}
	if c.options.Peer == nil {
		return errors.New("no way to other shards")
	}
	peer := c.options.Peer(h.ToShard)
	if peer == nil {
		return errors.Errorf("no owner known for shard %s", h.ToShard)
	}
	task, err := cbor.Marshal(h.Task)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	answer, err := peer.HandOver(ctx, &messenger.HandOverRequest{TransferId: h.TransferID, FromShard: o.shard.name, ToShard: h.ToShard, Task: task})
	if err != nil {
		return err
	}
	if !answer.Accepted {
		return errors.New("not accepted")
	}
	return nil
}
