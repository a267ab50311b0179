package claimer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// settle sets the outcome for the repeats that wait in this process.
func (cl *Claim) settle(o Outcome) {
	if cl.ended {
		cl.claimer.violated("decided_once", cl.key)
		return
	}
	cl.ended = true
	cl.outcome = o
	close(cl.decided)
}

// Complete keeps the outcome of the request. It returns when the outcome is
// stored, or after a short time; the outcome is then stored in the background.
func (cl *Claim) Complete(ctx context.Context, o Outcome) {
	cl.settle(o)
	cl.store(ctx)
}

// Release reports that the request did not run, so that the key can be claimed
// again.
func (cl *Claim) Release(ctx context.Context) {
	cl.settle(Outcome{State: Released})
	cl.store(ctx)
}

// store writes the outcome and waits for it a short time.
func (cl *Claim) store(ctx context.Context) {
	stored := make(chan struct{})
	cl.claimer.writers.Go(func() {
		cl.persist()
		close(stored)
	})
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	select {
	case <-stored:
	case <-ctx.Done():
	}
}

// persist writes the outcome until it is stored. Meanwhile the claim stays
// known in this process, so that repeats here get the outcome.
func (cl *Claim) persist() {
	c := cl.claimer
	r := cl.record
	r.Outcome = cl.outcome
	cl.retry(func(ctx context.Context) error {
		_, err := c.write(ctx, cl, r, cl.revision)
		var conflict *storeclient.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		// An earlier write whose response was lost may be this conflict.
		found, _, err := c.read(ctx, cl.key)
		if err == nil && found != nil && !cl.isOwn(found) {
			c.violated("one_holder", cl.key+" is held by "+found.Holder)
		}
		return err
	})
}

// retry calls f until it succeeds, and then forgets the claim here.
func (cl *Claim) retry(f func(ctx context.Context) error) {
	c := cl.claimer
	defer c.leave(cl)
	pause := retryFirst
	for begun := time.Now(); time.Since(begun) < retention; {
		isFirst := pause == retryFirst
		if !isFirst {
			c.background <- struct{}{}
		}
		ctx, cancel := context.WithTimeout(storeclient.WithClass(context.Background(), storeclient.ClassClaim), storeTimeout)
		err := f(ctx)
		cancel()
		if !isFirst {
			<-c.background
		}
		if err == nil {
			return
		}
		c.options.Log.Debug().Err(err).Str("key", cl.key).Msg("claimer: outcome not stored yet")
		time.Sleep(pause)
		pause = min(2*pause, retryMost)
	}
}

func (cl *Claim) isOwn(r *record) bool {
	return r != nil && r.Nonce == cl.record.Nonce && r.Outcome.State == cl.outcome.State
}

// resolve releases a claim whose write had no response.
func (cl *Claim) resolve() {
	c := cl.claimer
	released := cl.record
	released.Outcome = Outcome{State: Released}
	cl.retry(func(ctx context.Context) error {
		found, revision, err := c.read(ctx, cl.key)
		if err != nil {
			return err
		}
		if found != nil && found.Nonce != cl.record.Nonce && found.Outcome.State != Released ||
			found != nil && found.Nonce == cl.record.Nonce && found.Outcome.State == Released {
			return nil
		}
		// The first write may still arrive. A further released entry in its
		// place makes it fail.
		_, err = c.write(ctx, cl, released, revision)
		return err
	})
}

func (c *Claimer) violated(invariant, detail string) {
	c.claims.WithLabelValues("violated_" + invariant).Inc()
	c.options.Log.Error().Str("invariant", invariant).Msg("claimer: invariant violated: " + detail)
	if c.options.PanicOnViolation {
		panic("claimer: " + invariant + ": " + detail)
	}
}

// leases has the lease of the current time bucket. All claims of a bucket
// share it: one lease for each claim would be a third write to the store.
type leases struct {
	store storeclient.Store
	// turn holds one token. Unlike a mutex, a request waits for it only until
	// its deadline while the store doesn't answer.
	turn chan struct{}

	current storeclient.LeaseID
	granted time.Time
}

func (l *leases) get(ctx context.Context) (storeclient.LeaseID, error) {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-l.turn }()
	if l.current != 0 && time.Since(l.granted) < leaseBucket {
		return l.current, nil
	}
	begun := time.Now()
	// A claim at the end of the bucket is kept for the whole retention too.
	id, err := l.store.Grant(ctx, retention+leaseBucket)
	if err != nil {
		return 0, err
	}
	l.current, l.granted = id, begun
	return id, nil
}

func (l *leases) drop(id storeclient.LeaseID) {
	l.turn <- struct{}{}
	defer func() { <-l.turn }()
	if l.current == id {
		l.current = 0
	}
}
