package receiver_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/receiver"
	"tarragonhead.example/tarragonhead/internal/sharder"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const retention = 2 * time.Minute

// deployment has receivers that share a store. Its owners know no job.
type deployment struct {
	keeper *keeper.Keeper

	mu sync.Mutex
	// wall is the wall-clock time.
	wall time.Time
	// isHeld reports whether a transaction is to be left without an answer.
	isHeld func(storeclient.Transaction) bool
	held   []storeclient.Transaction
	// peer stores jobs for the other receivers; nil for none.
	peer *receiver.Receiver
}

func newDeployment() *deployment {
	return &deployment{keeper: keeper.New(time.Now), wall: time.Now(), isHeld: func(storeclient.Transaction) bool { return false }}
}

func (d *deployment) receiver(shards int) *receiver.Receiver {
	store := d.keeper.Store()
	transact := store.Transact
	store.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.isHeld(t) {
			d.held = append(d.held, t)
			return 0, noAnswer
		}
		return transact(ctx, t)
	}
	return receiver.New(receiver.Options{
		Shards: shards, Choose: func(string, sharder.Demand) int { return shards - 1 }, Store: store, Log: discardLogger(), Registry: prometheus.NewRegistry(), Now: time.Now,
		Local: func(context.Context, conductor.Question) (conductor.Reply, error) { return conductor.Reply{}, nil },
		Peers: func() []netip.AddrPort {
			if d.peer == nil {
				return nil
			}
			return []netip.AddrPort{peer}
		},
		Relay: func(ctx context.Context, _ netip.AddrPort, j planner.Job) error { return d.peer.Store(ctx, j) },
		WallNow: func() time.Time {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.wall
		},
		Retention: retention,
	})
}

func (d *deployment) hold(is func(storeclient.Transaction) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isHeld = is
}

func (d *deployment) sleep(t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wall = d.wall.Add(t)
}

// release carries out the transactions that were left without an answer.
func (d *deployment) release() {
	d.mu.Lock()
	held := d.held
	d.held = nil
	d.mu.Unlock()
	for _, t := range held {
		_, _ = d.keeper.Store().Transact(context.Background(), t)
	}
}

func isAcceptance(t storeclient.Transaction) bool { return len(t.Writes) == 2 }
func isTombstone(t storeclient.Transaction) bool  { return len(t.Writes) == 1 }

// stateOf returns a job's state as a word, as a client of r sees it.
func stateOf(r *receiver.Receiver, job string) string {
	state, err := r.State(context.Background(), job)
	if err != nil {
		return cancelOutcome(err)
	}
	return string(state)
}

// cancel cancels a job and returns the outcome as a word.
func cancel(r *receiver.Receiver, job string) string {
	_, err := r.Cancel(context.Background(), job)
	return cancelOutcome(err)
}

func cancelOutcome(err error) string {
	var unknown *receiver.UnknownJobError
	var cancelled *receiver.CancelledError
	switch {
	case errors.As(err, &unknown):
		return "unknown"
	case errors.As(err, &cancelled):
		return "cancelled"
	}
	return outcome(err)
}

// TestCancelBeforeAcceptance guards against a job that runs although its cancellation was
// answered, because the write that accepts it takes effect later, or because its
// submission is repeated.
func TestCancelBeforeAcceptance(t *testing.T) {
	for name, tt := range map[string]struct {
		shards int
		// warmUp is done before the submission.
		warmUp func(d *deployment, submitter *receiver.Receiver)
		// isSameDaemon is set if the daemon that got the submission also cancels.
		isSameDaemon bool
	}{
		"same daemon":    {1, nil, true},
		"another daemon": {1, nil, false},
		"several shards": {3, nil, false},
		"relayed by a peer": {1, func(d *deployment, _ *receiver.Receiver) {
			d.peer = d.receiver(1)
		}, false},
		"other tombstones known": {1, func(_ *deployment, submitter *receiver.Receiver) {
			for n := range 40 {
				cancel(submitter, fmt.Sprintf("%016x", n))
			}
		}, false},
		"other tombstones not known": {3, func(d *deployment, _ *receiver.Receiver) {
			other := d.receiver(3)
			for n := range 40 {
				cancel(other, fmt.Sprintf("%016x", n))
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			ctx, d, j := context.Background(), newDeployment(), testJob()
			submitter := d.receiver(tt.shards)
			if tt.warmUp != nil {
				tt.warmUp(d, submitter)
			}
			canceller := submitter
			if !tt.isSameDaemon {
				canceller = d.receiver(tt.shards)
			}
			d.hold(isAcceptance)
			c.Assert(outcome(submitter.Submit(ctx, j, planner.Resources{})), quicktest.Equals, "undecided")
			c.Assert(outcome(submitter.Submit(ctx, j, planner.Resources{})), quicktest.Equals, "undecided")
			d.hold(func(storeclient.Transaction) bool { return false })
			c.Assert(cancel(canceller, j.ID), quicktest.Equals, "unknown")
			d.release()
			for _, r := range []*receiver.Receiver{submitter, canceller, d.receiver(tt.shards)} {
				c.Assert(stateOf(r, j.ID), quicktest.Equals, "unknown")
				c.Assert(cancelOutcome(r.Submit(ctx, j, planner.Resources{})), quicktest.Equals, "cancelled")
				c.Assert(cancel(r, j.ID), quicktest.Equals, "unknown")
			}
			jobs, _, err := d.keeper.Store().Range(ctx, "th/")
			c.Assert(err, quicktest.IsNil)
			for _, e := range jobs {
				c.Assert(e.Key, quicktest.Matches, "th/tombstones/.*")
			}
			// Other jobs, and later ones with this id, are not affected.
			other := testJob()
			other.ID = "00000000000000ab"
			c.Assert(submitter.Submit(ctx, other, planner.Resources{}), quicktest.IsNil)
			d.sleep(retention + time.Second)
			c.Assert(submitter.Submit(ctx, j, planner.Resources{}), quicktest.IsNil)
			c.Assert(stateOf(canceller, j.ID), quicktest.Equals, "queued")
		})
	}
}

// TestCancelledAtPeer guards against a refusal of a job that may still be accepted by the
// write of the daemon that got it, because a peer has found that the job is cancelled.
func TestCancelledAtPeer(t *testing.T) {
	for name, tt := range map[string]struct {
		fault keeper.Fault
		want  string
	}{
		"own write refused":    {keeper.Fault{Before: refusal}, "cancelled"},
		"own write unanswered": {keeper.Fault{Before: noAnswer}, "undecided"},
	} {
		t.Run(name, func(t *testing.T) {
			k := keeper.New(time.Now)
			k.SetFault(func(op, _ string) keeper.Fault {
				if op == "transact" {
					return tt.fault
				}
				return keeper.Fault{}
			})
			r := newReceiver(k, time.Now, []netip.AddrPort{peer}, func(context.Context, netip.AddrPort, planner.Job) error { return &receiver.CancelledError{} })
			quicktest.Assert(t, cancelOutcome(r.Submit(context.Background(), testJob(), planner.Resources{})), quicktest.Equals, tt.want)
		})
	}
}

// TestCancelWithoutStoreAnswer guards against a cancellation that is answered before it is
// certain, and against one that is never answered because its own write had no answer.
func TestCancelWithoutStoreAnswer(t *testing.T) {
	ctx, job := context.Background(), testJob().ID
	t.Run("store down", func(t *testing.T) {
		c := quicktest.New(t)
		d := newDeployment()
		d.hold(func(storeclient.Transaction) bool { return true })
		c.Assert(cancel(d.receiver(1), job), quicktest.Equals, "refused")
	})
	t.Run("one answer lost", func(t *testing.T) {
		c := quicktest.New(t)
		d := newDeployment()
		isFirst := true
		d.keeper.SetFault(func(op, _ string) keeper.Fault {
			if op != "transact" || !isFirst {
				return keeper.Fault{}
			}
			isFirst = false
			return keeper.Fault{After: noAnswer}
		})
		c.Assert(cancel(d.receiver(1), job), quicktest.Equals, "unknown")
		c.Assert(cancelOutcome(d.receiver(1).Submit(ctx, testJob(), planner.Resources{})), quicktest.Equals, "cancelled")
	})
	t.Run("write carried out after the acceptance", func(t *testing.T) {
		c := quicktest.New(t)
		d := newDeployment()
		d.hold(isTombstone)
		c.Assert(cancel(d.receiver(1), job), quicktest.Equals, "refused")
		c.Assert(d.receiver(1).Submit(ctx, testJob(), planner.Resources{}), quicktest.IsNil)
		d.release()
		c.Assert(stateOf(d.receiver(1), job), quicktest.Equals, "queued")
	})
}

// TestCancelDuringAcceptance guards against an answer that there is no such job when the
// job is accepted after the cancellation has read the index: its owner must cancel it.
func TestCancelDuringAcceptance(t *testing.T) {
	c := quicktest.New(t)
	d := newDeployment()
	submitter := d.receiver(1)
	isAccepted := false
	d.hold(func(x storeclient.Transaction) bool {
		if isTombstone(x) && !isAccepted {
			isAccepted = true
			value, err := planner.Encode(testJob())
			c.Check(err, quicktest.IsNil)
			d.keeper.Put(conductor.JobKey("0", testJob().ID), value)
			d.keeper.Put(conductor.IndexKey(testJob().ID), []byte("0"))
		}
		return false
	})
	// The owner of this deployment never reads the job.
	c.Assert(cancel(submitter, testJob().ID), quicktest.Equals, "refused")
	c.Assert(isAccepted, quicktest.IsTrue)
	c.Assert(stateOf(submitter, testJob().ID), quicktest.Equals, "queued")
}

// TestCancelUnknownJobs guards against a client that fills the store, or keeps others from
// submitting jobs, by cancelling jobs that don't exist.
func TestCancelUnknownJobs(t *testing.T) {
	c := quicktest.New(t)
	ctx, d := context.Background(), newDeployment()
	r := d.receiver(1)
	outcomes := map[string]int{}
	for n := range 1000 {
		outcomes[cancel(r, fmt.Sprintf("%016x", n))]++
	}
	c.Assert(outcomes["unknown"] > 0 && outcomes["refused"] > 0, quicktest.IsTrue, quicktest.Commentf("%v", outcomes))
	c.Assert(outcomes["unknown"]+outcomes["refused"], quicktest.Equals, 1000)
	size := 0
	list, _, err := d.keeper.Store().Range(ctx, "th/")
	c.Assert(err, quicktest.IsNil)
	for _, e := range list {
		size += len(e.Key) + len(e.Value)
	}
	c.Assert(size < 64*1000, quicktest.IsTrue, quicktest.Commentf("%d bytes", size))
	for n := range 300 {
		j := testJob()
		j.ID = fmt.Sprintf("f%015x", n)
		c.Assert(r.Submit(ctx, j, planner.Resources{}), quicktest.IsNil)
	}
}

// TestUnreadableTombstones guards against jobs that are refused for good because of a
// record that can't be decoded.
func TestUnreadableTombstones(t *testing.T) {
	c := quicktest.New(t)
	d := newDeployment()
	cancel(d.receiver(1), testJob().ID)
	list, _, err := d.keeper.Store().Range(context.Background(), "th/tombstones/")
	c.Assert(err, quicktest.IsNil)
	c.Assert(list, quicktest.HasLen, 1)
	d.keeper.Put(list[0].Key, []byte("not a list"))
	c.Assert(d.receiver(1).Submit(context.Background(), testJob(), planner.Resources{}), quicktest.IsNil)
}
