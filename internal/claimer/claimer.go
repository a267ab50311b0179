// Package claimer claims idempotency keys in the store and keeps the outcomes
// of the requests that used them.
package claimer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// retention is the minimum time for which an outcome is stored.
	retention = 24 * time.Hour
	// leaseBucket is the period in which all new claims share one store lease.
	leaseBucket = time.Hour

	// maxOpenClaims limits the claims whose outcome is not stored yet. Their
	// responses, of at most 64 KB each, take up to 16 MB.
	maxOpenClaims = 256
	// maxBackgroundWrites limits concurrent retries, so that after a store
	// outage the waiting outcomes do not use up the rate limit that they share
	// with new claims.
	maxBackgroundWrites = 4

	// attemptTimeout bounds one attempt to store an outcome.
	attemptTimeout = 2 * time.Second
	// maxResponseDelay is how long a response waits for its outcome to be
	// stored. After that the response is sent and the outcome is stored in the
	// background.
	maxResponseDelay = time.Second
	// initialBackoff and maxBackoff bound the exponential back-off between
	// attempts to store an outcome.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// State is the state of a request with an idempotency key.
type State string

// The states of a claim.
const (
	Claimed State = "claimed"
	// Released requests did not run; the key can be claimed again.
	Released State = "released"
	Done     State = "done"
	// Failed requests have a complete response with a 5xx status.
	Failed State = "failed"
	// Unknown requests may have run, but their result is not known.
	Unknown State = "unknown"
)

// Outcome is the result of a request with an idempotency key.
type Outcome struct {
	State  State  `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint,omitempty"`
	Reason string `cbor:"3,keyasint,omitempty"`
	// HasResponse is set when Head and Body hold the response.
	HasResponse bool   `cbor:"4,keyasint,omitempty"`
	Head        []byte `cbor:"5,keyasint,omitempty"`
	Body        []byte `cbor:"6,keyasint,omitempty"`
}

// record is the value of a claim in the store.
type record struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Holder identifies the daemon run that made the claim. Nonce is unique to
	// the claim.
	Holder      string `cbor:"2,keyasint"`
	Nonce       string `cbor:"3,keyasint"`
	Fingerprint uint64 `cbor:"4,keyasint"`
}

// UndecidedError reports a key whose first request has no known outcome.
type UndecidedError struct{ Reason string }

func (e *UndecidedError) Error() string { return "undecided: " + e.Reason }

// MismatchError reports a key that was used for another request.
type MismatchError struct{ Key string }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("key %s was used for another request", e.Key)
}

// UnavailableError reports that no claim was possible; the request must not
// run.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("no claim: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Options configure a Claimer.
type Options struct {
	Store storeclient.Store
	// Holder identifies this run of the daemon.
	Holder string
	// IsAlive reports whether the daemon run that holds a claim is alive and
	// may still decide the claim.
	IsAlive  func(holder string) bool
	Registry prometheus.Registerer
	Log      *log.Logger
	// PanicOnViolation makes a violated invariant panic, for tests.
	PanicOnViolation bool
}

// Claimer claims idempotency keys and stores the outcomes of requests. It is
// safe for concurrent use.
type Claimer struct {
	options   Options
	claims    *prometheus.CounterVec
	openGauge prometheus.Gauge
	leases    leaseCache
	// writers are the goroutines that store outcomes. background is a semaphore
	// that limits how many of them retry at the same time.
	writers    sync.WaitGroup
	background chan struct{}
	// isStoreFailing is set while the store is unavailable. isProbing is set
	// while a claim tests whether the store has recovered.
	isStoreFailing, isProbing atomic.Bool

	mu sync.Mutex
	// openClaims has this daemon's claims whose outcome is not stored yet, by
	// store key.
	openClaims map[string]*Claim
}

// New returns a Claimer without open claims.
func New(o Options) *Claimer {
	c := &Claimer{
		options: o, openClaims: map[string]*Claim{}, background: make(chan struct{}, maxBackgroundWrites),
		claims:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_claims_total", Help: "Claims of idempotency keys by what came of them."}, []string{"result"}),
		openGauge: prometheus.NewGauge(prometheus.GaugeOpts{Name: "tarragond_claims_open", Help: "Claims whose outcome is not stored yet."}),
	}
	c.leases = leaseCache{store: o.Store, sem: make(chan struct{}, 1)}
	o.Registry.MustRegister(c.claims, c.openGauge)
	return c
}

// Claim is the right to dispatch one request once.
type Claim struct {
	claimer *Claimer
	key     string
	record  record
	// revision is the revision of the claim's store entry, zero while it is not
	// known whether the entry was written.
	revision uint64
	// decided is closed when outcome is set.
	decided chan struct{}
	outcome Outcome
	// isDecided detects a second decision of the claim.
	isDecided bool
}

func storeKey(service, key string) string { return "claim/" + service + "/" + key }

// Claim claims the key of a service. It returns either a claim, which the
// caller must end by Complete or Release, or the outcome of the first request
// with the key. While another request holds the key, Claim waits for the
// outcome of that request until ctx ends. The error is an UndecidedError, a
// MismatchError or an UnavailableError.
func (c *Claimer) Claim(ctx context.Context, service, key string, fingerprint uint64) (*Claim, *Outcome, error) {
	entryKey := storeKey(service, key)
	ctx = storeclient.WithClass(ctx, storeclient.ClassClaim)
	for {
		claim, existing, err := c.register(entryKey, fingerprint)
		if err != nil {
			return nil, nil, err
		}
		if existing != nil {
			outcome, err := c.awaitLocal(ctx, existing, fingerprint)
			if err != nil || outcome != nil {
				return nil, outcome, err
			}
			continue
		}
		isProbe, err := c.admit()
		if err != nil {
			claim.decide(Outcome{State: Released})
			c.unregister(claim)
			c.claims.WithLabelValues("unavailable").Inc()
			return nil, nil, err
		}
		outcome, err := c.create(ctx, claim)
		if isProbe {
			c.isProbing.Store(false)
		}
		if err != nil || outcome != nil {
			return nil, outcome, err
		}
		c.claims.WithLabelValues("claimed").Inc()
		return claim, nil, nil
	}
}

// register adds a new claim to openClaims, or returns the open claim of this
// process that holds the key.
func (c *Claimer) register(key string, fingerprint uint64) (claim, existing *Claim, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.openClaims[key]; existing != nil {
		return nil, existing, nil
	}
	if len(c.openClaims) >= maxOpenClaims {
		return nil, nil, &UnavailableError{errors.Errorf("%d outcomes are not stored yet", maxOpenClaims)}
	}
	claim = &Claim{
		claimer: c, key: key, decided: make(chan struct{}),
		record: record{Outcome: Outcome{State: Claimed}, Holder: c.options.Holder, Nonce: uuid.NewString(), Fingerprint: fingerprint},
	}
	c.openClaims[key] = claim
	c.openGauge.Set(float64(len(c.openClaims)))
	return claim, nil, nil
}

// unregister removes a claim from openClaims.
func (c *Claimer) unregister(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openClaims[claim.key] == claim {
		delete(c.openClaims, claim.key)
	}
	c.openGauge.Set(float64(len(c.openClaims)))
}

// awaitLocal waits for the outcome of a claim of this process. Both results are
// nil if the claim was released.
func (c *Claimer) awaitLocal(ctx context.Context, existing *Claim, fingerprint uint64) (*Outcome, error) {
	if existing.record.Fingerprint != fingerprint {
		return nil, &MismatchError{existing.key}
	}
	select {
	case <-existing.decided:
	case <-ctx.Done():
		return nil, &UndecidedError{"the first request with this key is in progress"}
	}
	if existing.outcome.State == Released {
		c.unregister(existing)
		return nil, nil
	}
	c.claims.WithLabelValues("repeated").Inc()
	return &existing.outcome, nil
}

// admit rejects claims at once while the store is unavailable, except for one
// claim at a time that probes the store. It reports whether the admitted claim
// is the probe.
func (c *Claimer) admit() (bool, error) {
	if !c.isStoreFailing.Load() {
		return false, nil
	}
	if c.isProbing.CompareAndSwap(false, true) {
		return true, nil
	}
	return false, &UnavailableError{errors.New("the store does not answer")}
}

// recordAvailability updates isStoreFailing from the result of a store call. A
// LimitError leaves it unchanged, since the call was not sent.
func (c *Claimer) recordAvailability(err error) {
	var unavailable *storeclient.UnavailableError
	var limit *storeclient.LimitError
	switch {
	case errors.As(err, &unavailable):
		c.isStoreFailing.Store(true)
	case !errors.As(err, &limit):
		c.isStoreFailing.Store(false)
	}
}

// create writes the claim to the store. Both results are nil if the claim now
// holds the key; the outcome is that of an earlier request with the key.
func (c *Claimer) create(ctx context.Context, claim *Claim) (*Outcome, error) {
	outcome, err := c.tryCreate(ctx, claim)
	if err == nil && outcome == nil {
		return nil, nil
	}
	if mayHaveApplied(err) {
		// The write may still take effect. Unless it is released, the entry
		// would hold the key for 24 h although the request did not run.
		claim.decide(Outcome{State: Released})
		c.writers.Go(claim.releaseUnconfirmed)
	} else {
		claim.decide(Outcome{State: Released})
		c.unregister(claim)
	}
	switch err.(type) {
	case nil:
		c.claims.WithLabelValues("repeated").Inc()
		return outcome, nil
	case *UndecidedError, *MismatchError:
		c.claims.WithLabelValues("undecided").Inc()
		return nil, err
	}
	c.claims.WithLabelValues("unavailable").Inc()
	return nil, &UnavailableError{err}
}

// mayHaveApplied reports whether a write that failed with err may have taken
// effect. A write whose connection could not be opened was not sent.
func mayHaveApplied(err error) bool {
	var ambiguous *storeclient.UnavailableError
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return errors.As(err, &ambiguous) && ambiguous.MayHaveApplied
}

// tryCreate writes the claim if its key is free or released. Otherwise it waits
// for the outcome of the claim that holds the key.
func (c *Claimer) tryCreate(ctx context.Context, claim *Claim) (*Outcome, error) {
	for expected := uint64(0); ; {
		revision, err := c.write(ctx, claim, claim.record, expected)
		var conflict *storeclient.ConflictError
		if err == nil {
			claim.revision = revision
			return nil, nil
		}
		if !errors.As(err, &conflict) {
			return nil, err
		}
		found, r, err := c.read(ctx, claim.key)
		if err != nil {
			// The store reported a conflict, so nothing of this claim was
			// written. A new error without the cause keeps mayHaveApplied from
			// reporting otherwise.
			return nil, errors.New(err.Error())
		}
		if found == nil {
			expected = 0
			continue
		}
		if found.Outcome.State == Released {
			expected = r
			continue
		}
		if found.Fingerprint != claim.record.Fingerprint {
			return nil, &MismatchError{claim.key}
		}
		outcome, err := c.awaitRemote(ctx, claim.key, found, r)
		if err != nil || outcome.State != Released {
			return outcome, err
		}
	}
}

// awaitRemote waits for the outcome of a claim that another daemon holds.
func (c *Claimer) awaitRemote(ctx context.Context, key string, found *record, revision uint64) (*Outcome, error) {
	for found.Outcome.State == Claimed {
		if !c.options.IsAlive(found.Holder) {
			return nil, &UndecidedError{"the daemon that sent the first request with this key is gone"}
		}
		// Each watch ends after a second, so that the holder's liveness is
		// checked again.
		watchCtx, cancel := context.WithTimeout(ctx, time.Second)
		e, err := c.options.Store.Watch(watchCtx, key, revision)
		cancel()
		if ctx.Err() != nil || (err != nil && watchCtx.Err() == nil) {
			return nil, &UndecidedError{"the first request with this key has no outcome yet"}
		}
		if err != nil {
			continue
		}
		found = &record{}
		if err := marshaler.Unmarshal(e.Value, found); err != nil {
			return nil, &UndecidedError{"claim can't be decoded: " + err.Error()}
		}
		revision = e.Revision
	}
	return &found.Outcome, nil
}

// read returns the record at a store key and its revision. The record is nil if
// the key has no entry.
func (c *Claimer) read(ctx context.Context, key string) (*record, uint64, error) {
	e, err := c.options.Store.Get(ctx, key)
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	r := &record{}
	if err := marshaler.Unmarshal(e.Value, r); err != nil {
		return nil, 0, errors.Wrap(err, "decode claim")
	}
	return r, e.Revision, nil
}

// write writes a record under the lease of the current time bucket, and once
// more under a new lease if that one has ended.
func (c *Claimer) write(ctx context.Context, claim *Claim, r record, expected uint64) (uint64, error) {
	value, err := marshaler.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "encode claim")
	}
	for range 2 {
		lease, err := c.leases.get(ctx)
		if err != nil {
			c.recordAvailability(err)
			// No claim was written. A new error without the cause keeps
			// mayHaveApplied from taking an ambiguous Grant for an ambiguous
			// write.
			return 0, errors.New("grant lease: " + err.Error())
		}
		revision, err := c.options.Store.CompareAndSwap(ctx, claim.key, value, expected, lease)
		c.recordAvailability(err)
		var ended *storeclient.LeaseError
		if !errors.As(err, &ended) {
			return revision, err
		}
		c.leases.invalidate(lease)
	}
	return 0, errors.New("the store lease ended twice during the write")
}

// Wait waits until every outcome is stored or ctx ends. The daemon calls it
// when it stops.
func (c *Claimer) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.writers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
