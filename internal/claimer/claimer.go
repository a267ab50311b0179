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

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// retention is the least time that an outcome is kept.
	retention = 24 * time.Hour
	// leaseBucket is the time over which claims share a lease of the store.
	leaseBucket = time.Hour
	// maxOpen bounds the claims whose outcome is not stored yet; with
	// responses of at most 64 KB they take up to 16 MB.
	maxOpen = 256
	// maxBackground keeps the outcomes that wait for a store that is down from
	// using up the rate of the claims once it is back.
	maxBackground = 4
	// storeTimeout bounds one attempt to write an outcome.
	storeTimeout = 2 * time.Second
	// answerWait is how long a response waits for its outcome to be stored.
	// After that it is given, and the outcome is stored in the background.
	answerWait = time.Second
	// retryFirst and retryMost are the pauses between attempts to store.
	retryFirst = 50 * time.Millisecond
	retryMost  = 2 * time.Second
)

// State is how far a keyed request has come.
type State string

// The states of a claim.
const (
	Claimed State = "claimed"
	// Released claims did not run; the key can be claimed again.
	Released State = "released"
	Done     State = "done"
	// Failed requests have a complete response with a 5xx status.
	Failed  State = "failed"
	Unknown State = "unknown"
)

// Outcome is what became of a claimed request.
type Outcome struct {
	State  State  `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint,omitempty"`
	Reason string `cbor:"3,keyasint,omitempty"`
	// IsKept is set when Head and Body are the response.
	IsKept bool   `cbor:"4,keyasint,omitempty"`
	Head   []byte `cbor:"5,keyasint,omitempty"`
	Body   []byte `cbor:"6,keyasint,omitempty"`
}

// record is the value of a claim in the store.
type record struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Holder made the claim; Nonce is different for each claim.
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

// Options are what a claimer depends on.
type Options struct {
	Store storeclient.Store
	// Holder names this run of the daemon.
	Holder string
	// IsAlive reports whether the holder of a claim may still decide it.
	IsAlive  func(holder string) bool
	Registry prometheus.Registerer
	Log      *log.Logger
	// PanicOnViolation makes a violated invariant panic, for tests.
	PanicOnViolation bool
}

// Claimer is safe for concurrent use.
type Claimer struct {
	options Options
	claims  *prometheus.CounterVec
	open    prometheus.Gauge
	leases  leases
	// writers are the goroutines that store outcomes; background bounds the
	// calls that they make at the same time.
	writers    sync.WaitGroup
	background chan struct{}
	// isFailing is set while the store does not answer; isProbing while a
	// claim tries whether it does again.
	isFailing, isProbing atomic.Bool

	mu sync.Mutex
	// local has the claims of this daemon whose outcome is not stored yet.
	local map[string]*Claim
}

// New returns a claimer without claims.
func New(o Options) *Claimer {
	c := &Claimer{
		options: o, local: map[string]*Claim{}, background: make(chan struct{}, maxBackground),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_claims_total", Help: "Claims of idempotency keys by what came of them."}, []string{"result"}),
		open:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "tarragond_claims_open", Help: "Claims whose outcome is not stored yet."}),
	}
	c.leases = leases{store: o.Store, turn: make(chan struct{}, 1)}
	o.Registry.MustRegister(c.claims, c.open)
	return c
}

// Claim is the right to dispatch one request once.
type Claim struct {
	claimer *Claimer
	key     string
	record  record
	// revision is that of the entry; zero while it isn't known whether the
	// entry was written.
	revision uint64
	// decided is closed when outcome is set.
	decided chan struct{}
	outcome Outcome
	// ended asserts that a claim is decided once.
	ended bool
}

func storeKey(service, key string) string { return "claim/" + service + "/" + key }

// Claim claims the key of a service. It returns a claim that the caller must
// end by Complete or Release, or the outcome of the first request with the key.
// While another request holds the key, it waits for that one's outcome until
// ctx ends. The error is an UndecidedError, a MismatchError or an
// UnavailableError.
func (c *Claimer) Claim(ctx context.Context, service, key string, fingerprint uint64) (*Claim, *Outcome, error) {
	name := storeKey(service, key)
	ctx = storeclient.WithClass(ctx, storeclient.ClassClaim)
	for {
		claim, holding, err := c.enter(name, fingerprint)
		if err != nil {
			return nil, nil, err
		}
		if holding != nil {
			outcome, err := c.await(ctx, holding, fingerprint)
			if err != nil || outcome != nil {
				return nil, outcome, err
			}
			continue
		}
		isProbe, err := c.admit()
		if err != nil {
			claim.settle(Outcome{State: Released})
			c.leave(claim)
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

// enter makes the claim known in this process, or returns the one that holds
// the key here.
func (c *Claimer) enter(name string, fingerprint uint64) (claim, holding *Claim, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if holding := c.local[name]; holding != nil {
		return nil, holding, nil
	}
	if len(c.local) >= maxOpen {
		return nil, nil, &UnavailableError{errors.Errorf("%d outcomes are not stored yet", maxOpen)}
	}
	claim = &Claim{
		claimer: c, key: name, decided: make(chan struct{}),
		record: record{Outcome: Outcome{State: Claimed}, Holder: c.options.Holder, Nonce: uuid.NewString(), Fingerprint: fingerprint},
	}
	c.local[name] = claim
	c.open.Set(float64(len(c.local)))
	return claim, nil, nil
}

func (c *Claimer) leave(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.local[claim.key] == claim {
		delete(c.local, claim.key)
	}
	c.open.Set(float64(len(c.local)))
}

// await waits for the outcome of a claim of this process. Both results are nil
// when that request did not run.
func (c *Claimer) await(ctx context.Context, holding *Claim, fingerprint uint64) (*Outcome, error) {
	if holding.record.Fingerprint != fingerprint {
		return nil, &MismatchError{holding.key}
	}
	select {
	case <-holding.decided:
	case <-ctx.Done():
		return nil, &UndecidedError{"the first request with this key is in progress"}
	}
	if holding.outcome.State == Released {
		c.leave(holding)
		return nil, nil
	}
	c.claims.WithLabelValues("repeated").Inc()
	return &holding.outcome, nil
}

// admit refuses a claim at once while the store does not answer, but for one
// that tries it. It reports whether the claim is that one.
func (c *Claimer) admit() (bool, error) {
	if !c.isFailing.Load() {
		return false, nil
	}
	if c.isProbing.CompareAndSwap(false, true) {
		return true, nil
	}
	return false, &UnavailableError{errors.New("the store does not answer")}
}

// note keeps whether the store answers.
func (c *Claimer) note(err error) {
	var unavailable *storeclient.UnavailableError
	var limit *storeclient.LimitError
	switch {
	case errors.As(err, &unavailable):
		c.isFailing.Store(true)
	case !errors.As(err, &limit):
		c.isFailing.Store(false)
	}
}

// create writes the claim. Both results are nil when the claim is held.
func (c *Claimer) create(ctx context.Context, claim *Claim) (*Outcome, error) {
	outcome, err := c.tryCreate(ctx, claim)
	if err == nil && outcome == nil {
		return nil, nil
	}
	if mayHaveApplied(err) {
		// The entry may be written still. It must not hold the key for 24 h,
		// since the request did not run.
		claim.settle(Outcome{State: Released})
		c.writers.Go(claim.resolve)
	} else {
		claim.settle(Outcome{State: Released})
		c.leave(claim)
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

func mayHaveApplied(err error) bool {
	var ambiguous *storeclient.UnavailableError
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return errors.As(err, &ambiguous) && ambiguous.MayHaveApplied
}

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
			// Nothing of this claim was written: the store reported a conflict.
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
		outcome, err := c.follow(ctx, claim.key, found, r)
		if err != nil || outcome.State != Released {
			return outcome, err
		}
	}
}

// follow waits for the outcome of another daemon's claim.
func (c *Claimer) follow(ctx context.Context, key string, found *record, revision uint64) (*Outcome, error) {
	for found.Outcome.State == Claimed {
		if !c.options.IsAlive(found.Holder) {
			return nil, &UndecidedError{"the daemon that sent the first request with this key is gone"}
		}
		// The wait ends now and then to look whether the holder is alive.
		watching, cancel := context.WithTimeout(ctx, time.Second)
		e, err := c.options.Store.Watch(watching, key, revision)
		cancel()
		if ctx.Err() != nil || (err != nil && watching.Err() == nil) {
			return nil, &UndecidedError{"the first request with this key has no outcome yet"}
		}
		if err != nil {
			continue
		}
		found = &record{}
		if err := cbor.Unmarshal(e.Value, found); err != nil {
			return nil, &UndecidedError{"claim can't be decoded: " + err.Error()}
		}
		revision = e.Revision
	}
	return &found.Outcome, nil
}

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
	if err := cbor.Unmarshal(e.Value, r); err != nil {
		return nil, 0, errors.Wrap(err, "decode claim")
	}
	return r, e.Revision, nil
}

// write writes a record under the lease of the current time bucket.
func (c *Claimer) write(ctx context.Context, claim *Claim, r record, expected uint64) (uint64, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "encode claim")
	}
	for range 2 {
		lease, err := c.leases.get(ctx)
		if err != nil {
			c.note(err)
			// Only the lease may have been granted; no claim was written.
			return 0, errors.New("lease: " + err.Error())
		}
		revision, err := c.options.Store.CompareAndSwap(ctx, claim.key, value, expected, lease)
		c.note(err)
		var ended *storeclient.LeaseError
		if !errors.As(err, &ended) {
			return revision, err
		}
		c.leases.drop(lease)
	}
	return 0, errors.New("lease has ended twice")
}

// Wait waits until the outcomes are stored, or ctx ends. The daemon calls it
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
