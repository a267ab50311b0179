package claimer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// decide sets the outcome and wakes the repeated requests that wait for it in
// this process.
func (cl *Claim) decide(o Outcome) {
	if cl.isDecided {
		cl.claimer.reportViolation("decided_once", cl.key)
		return
	}
	cl.isDecided = true
	cl.outcome = o
	close(cl.decided)
}

// Complete records the outcome of the request. It returns once the outcome is
// stored, or after maxResponseDelay; the outcome is then stored in the
// background.
func (cl *Claim) Complete(ctx context.Context, o Outcome) {
	cl.decide(o)
	cl.persistAndWait(ctx)
}

// Release records that the request did not run, so that its key can be claimed
// again. It returns as Complete does.
func (cl *Claim) Release(ctx context.Context) {
	cl.decide(Outcome{State: Released})
	cl.persistAndWait(ctx)
}

// persistAndWait starts to store the outcome and waits for that up to
// maxResponseDelay.
func (cl *Claim) persistAndWait(ctx context.Context) {
	stored := make(chan struct{})
	cl.claimer.writers.Go(func() {
		cl.persist()
		close(stored)
	})
	ctx, cancel := context.WithTimeout(ctx, maxResponseDelay)
	defer cancel()
	select {
	case <-stored:
	case <-ctx.Done():
	}
}

// persist stores the outcome, with retries. Until it is stored, the claim stays
// in openClaims, so that repeated requests to this daemon get the outcome.
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
		// The conflict may come from an earlier attempt that took effect but
		// whose response was lost.
		found, _, err := c.read(ctx, cl.key)
		if err == nil && found != nil && !cl.isOwnRecord(found) {
			c.reportViolation("one_holder", cl.key+" is held by "+found.Holder)
		}
		return err
	})
}

// retry calls f with exponential back-off until it succeeds, for at most the
// retention time, and then removes the claim from openClaims.
func (cl *Claim) retry(f func(ctx context.Context) error) {
	c := cl.claimer
	defer c.unregister(cl)
	backoff := initialBackoff
	for start := time.Now(); time.Since(start) < retention; {
		isFirstAttempt := backoff == initialBackoff
		if !isFirstAttempt {
			c.background <- struct{}{}
		}
		ctx, cancel := context.WithTimeout(storeclient.WithClass(context.Background(), storeclient.ClassClaim), attemptTimeout)
		err := f(ctx)
		cancel()
		if !isFirstAttempt {
			<-c.background
		}
		if err == nil {
			return
		}
		c.options.Log.Debug().Err(err).Str("key", cl.key).Msg("claimer: outcome not stored yet")
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// isOwnRecord reports whether r is the record of this claim with its outcome.
func (cl *Claim) isOwnRecord(r *record) bool {
	return r != nil && r.Nonce == cl.record.Nonce && r.Outcome.State == cl.outcome.State
}

// releaseUnconfirmed releases the key of a claim whose write may or may not
// have taken effect.
func (cl *Claim) releaseUnconfirmed() {
	c := cl.claimer
	released := cl.record
	released.Outcome = Outcome{State: Released}
	cl.retry(func(ctx context.Context) error {
		found, revision, err := c.read(ctx, cl.key)
		if err != nil {
			return err
		}
		// Nothing is left to do if another claim holds the key, or if this
		// claim is released already.
		if found != nil && found.Nonce != cl.record.Nonce && found.Outcome.State != Released ||
			found != nil && found.Nonce == cl.record.Nonce && found.Outcome.State == Released {
			return nil
		}
		// The original write may still arrive. Writing a released entry first
		// makes it fail with a conflict.
		_, err = c.write(ctx, cl, released, revision)
		return err
	})
}

// reportViolation counts and logs a violated invariant, and panics if
// PanicOnViolation is set.
func (c *Claimer) reportViolation(invariant, detail string) {
	c.claims.WithLabelValues("violated_" + invariant).Inc()
	c.options.Log.Error().Str("invariant", invariant).Msg("claimer: invariant violated: " + detail)
	if c.options.PanicOnViolation {
		panic("claimer: " + invariant + ": " + detail)
	}
}

// leaseCache holds the store lease of the current time bucket, which all claims
// of the bucket share. A lease for each claim would add a third write to the
// store.
type leaseCache struct {
	store storeclient.Store
	// sem is a semaphore of one. Unlike with a mutex, a request stops waiting
	// for it at its deadline while the store does not respond.
	sem chan struct{}

	current   storeclient.LeaseID
	grantedAt time.Time
}

// get returns the lease of the current time bucket, and grants a new lease if
// there is none.
func (l *leaseCache) get(ctx context.Context) (storeclient.LeaseID, error) {
	select {
	case l.sem <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-l.sem }()
	if l.current != 0 && time.Since(l.grantedAt) < leaseBucket {
		return l.current, nil
	}
	start := time.Now()
	// The additional leaseBucket keeps claims that are made at the end of the
	// bucket for the whole retention too.
	id, err := l.store.Grant(ctx, retention+leaseBucket)
	if err != nil {
		return 0, err
	}
	l.current, l.grantedAt = id, start
	return id, nil
}

// invalidate drops a lease that has ended, so that get grants a new one.
func (l *leaseCache) invalidate(id storeclient.LeaseID) {
	l.sem <- struct{}{}
	defer func() { <-l.sem }()
	if l.current == id {
		l.current = 0
	}
}
