package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/committer"
	"tarragonhead.example/tarragonhead/internal/interpreter"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// ownerLeaseTTL is how long the store keeps the owner key without a renewal,
	// and keepAliveInterval how often the lease is renewed.
	ownerLeaseTTL     = 6 * time.Second
	keepAliveInterval = 2 * time.Second
	// releaseTimeout bounds the final commits of a shard at a planned stop.
	releaseTimeout = 3 * time.Second
)

// The states of the shard chart that this package tests for.
const (
	owning    interpreter.State = "owning"
	undecided interpreter.State = "undecided"
)

// Owner is the JSON value of a shard's owner key.
type Owner struct {
	Member  string `json:"member"`
	Control string `json:"control"`
	// Nonce distinguishes this entry from earlier ones of the same member.
	Nonce string `json:"nonce"`
}

// shard is this daemon's view of one shard.
type shard struct {
	controller *Controller
	name       string
	// isHome is set if the shard belongs to the daemon's own domain.
	isHome bool
	calls  chan call
	epoch  atomic.Uint64
	routes atomic.Pointer[messenger.RoutingTable]
	// state is the shard's current state in its state chart. Only run's
	// goroutine accesses it.
	state interpreter.State
	// ownerlessSince is when this daemon first saw the shard without an owner.
	ownerlessSince time.Time
}

// transition applies an event to the shard's state chart.
func (s *shard) transition(e interpreter.Event) {
	next, err := s.controller.options.Charts.Shard.Next(s.state, e)
	if err != nil {
		s.controller.reportViolation(err)
		return
	}
	s.state = next
}

// run acquires and serves the shard whenever it can. It returns after ctx is
// done and the shard is released.
func (s *shard) run(ctx context.Context) {
	o := &s.controller.options
	lastReason := ""
	for ctx.Err() == nil {
		err := s.own(ctx)
		s.epoch.Store(0)
		s.transitionAfterOwn(ctx, err)
		// Most attempts fail because another daemon owns the shard, so the
		// line is logged only when the reason changes.
		if err != nil && ctx.Err() == nil && err.Error() != lastReason {
			lastReason = err.Error()
			o.Log.Info().Err(err).Str("shard", s.name).Str("state", string(s.state)).Msg("shard: not owned")
		}
		delay := homePollInterval
		if !s.isHome {
			// Jitter keeps daemons from polling, and so from competing for the
			// shard, at the same time.
			delay = foreignPollInterval + rand.N(time.Second)
		}
		s.refuseCalls(ctx, delay)
	}
	if !o.Charts.Shard.IsFinal(s.state) {
		s.transition("shut_down")
	}
}

// transitionAfterOwn applies the result of own to the state chart.
func (s *shard) transitionAfterOwn(ctx context.Context, err error) {
	chart := s.controller.options.Charts.Shard
	var fenced *committer.FencedError
	var lease *storeclient.LeaseError
	var superseded *SupersededError
	switch {
	case s.state == chart.Start() || chart.IsFinal(s.state):
	case err == nil && ctx.Err() != nil:
		s.transition("release")
	case err == nil:
		// A shard that returns to its own domain is released and may later be
		// acquired again.
		s.transition("release")
		s.state = chart.Start()
	case errors.As(err, &fenced) || errors.As(err, &lease) || errors.As(err, &superseded):
		s.transition("conflict")
	default:
		s.transition("fail")
	}
}

// refuseCalls answers calls with a NotOwnerError for the duration d.
func (s *shard) refuseCalls(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case k := <-s.calls:
			k.done <- &NotOwnerError{s.name}
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// own acquires the shard, serves it until ownership is lost or ctx is done,
// and revokes the lease. A nil error means that the shard was released.
func (s *shard) own(ctx context.Context) error {
	options := &s.controller.options
	lease, err := s.acquire(ctx)
	if err != nil {
		return err
	}
	s.transition("acquire")
	// ownershipCtx outlives ctx so that a planned stop can still commit and
	// release.
	ownershipCtx, endOwnership := context.WithCancel(context.WithoutCancel(ctx))
	leaseEnded := make(chan error, 1)
	keepAliveDone := make(chan struct{})
	go func() {
		defer close(keepAliveDone)
		leaseEnded <- s.keepLeaseAlive(ownershipCtx, lease)
	}()
	defer func() {
		endOwnership()
		<-keepAliveDone
		s.revoke(lease)
	}()
	start := time.Now()
	ledger := committer.New(committer.Options{Store: options.Store, Shard: s.name, Writer: options.Self})
	settings := scheduler.Options{
		Shard: s.name, Domain: s.name, Charts: options.Charts, Policy: options.Policy, AwaitPeers: options.Peer != nil, Violation: s.controller.reportViolation,
	}
	if options.Policy.Place == nil {
		settings = scheduler.WithInterference(settings)
	}
	core := scheduler.New(settings)
	if err := ledger.Replay(ctx, core); err != nil {
		return err
	}
	replayed := time.Since(start)
	o := newOwner(ownershipCtx, s, core, ledger, leaseEnded)
	if err := o.begin(ctx); err != nil {
		return err
	}
	s.transition("begin")
	options.Log.Info().Str("shard", s.name).Uint64("epoch", ledger.Epoch()).Uint64("sequence", ledger.Next()-1).
		Dur("replay", replayed).Dur("total", time.Since(start)).Msg("shard: owned")
	s.routes.Store(&messenger.RoutingTable{Shard: s.name, Epoch: ledger.Epoch()})
	s.epoch.Store(ledger.Epoch())
	err = o.run(ctx)
	endOwnership()
	o.background.Wait()
	return err
}

func (s *shard) revoke(lease storeclient.LeaseID) {
	ctx, cancel := context.WithTimeout(storeclient.WithClass(context.Background(), storeclient.ClassOwnership), time.Second)
	defer cancel()
	if err := s.controller.options.Store.Revoke(ctx, lease); err != nil {
		s.controller.options.Log.Warn().Err(err).Str("shard", s.name).Msg("shard: lease not revoked")
	}
}

// acquire registers this daemon as the shard's owner and returns the lease of
// the registration.
func (s *shard) acquire(ctx context.Context) (storeclient.LeaseID, error) {
	store := s.controller.options.Store
	ctx = storeclient.WithClass(ctx, storeclient.ClassOwnership)
	key := "owner/" + s.name
	if err := s.checkVacant(ctx, key); err != nil {
		return 0, err
	}
	lease, err := store.Grant(ctx, ownerLeaseTTL)
	if err != nil {
		return 0, err
	}
	self := Owner{s.controller.options.Self, s.controller.options.Control.String(), uuid.NewString()}
	value, err := json.Marshal(self)
	if err != nil {
		return 0, err
	}
	if _, err = store.CompareAndSwap(ctx, key, value, 0, lease); err == nil {
		return lease, nil
	}
	// The swap may have succeeded without an answer, or the entry may stem
	// from a retry within the call.
	if entry, readErr := store.Get(ctx, key); readErr == nil {
		var found Owner
		if json.Unmarshal(entry.Value, &found) == nil && found == self {
			return lease, nil
		}
	}
	s.revoke(lease)
	return 0, err
}

// checkVacant returns nil if the shard has no owner and this daemon may
// acquire it. The shard of another domain may be acquired only after
// foreignTakeoverDelay without an owner, and only while no daemon of that domain
// is present.
func (s *shard) checkVacant(ctx context.Context, key string) error {
	entry, err := s.controller.options.Store.Get(ctx, key)
	var missing *storeclient.NotFoundError
	if !errors.As(err, &missing) {
		s.ownerlessSince = time.Time{}
		if err != nil {
			return err
		}
		var other Owner
		if err := json.Unmarshal(entry.Value, &other); err != nil {
			return errors.Wrapf(err, "decode owner at %s", key)
		}
		return fmt.Errorf("owned by %s", other.Member)
	}
	if s.isHome {
		return nil
	}
	now := time.Now()
	if s.ownerlessSince.IsZero() {
		s.ownerlessSince = now
	}
	if absent := now.Sub(s.ownerlessSince); absent < foreignTakeoverDelay {
		return fmt.Errorf("shard has had no owner for %s, takeover requires %s", absent, foreignTakeoverDelay)
	}
	if p := s.controller.options.IsPresent; p != nil && p(s.name) {
		return fmt.Errorf("daemons of domain %s are present and take precedence", s.name)
	}
	return nil
}

// keepLeaseAlive renews the shard's lease until ctx is done or the store
// reports that the lease has ended, which it returns as an error. While the
// store can't be reached the shard stays owned, since no other daemon can
// acquire it either.
func (s *shard) keepLeaseAlive(ctx context.Context, lease storeclient.LeaseID) error {
	ctx = storeclient.WithClass(ctx, storeclient.ClassOwnership)
	t := time.NewTicker(keepAliveInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		var ended *storeclient.LeaseError
		if err := s.controller.options.Store.KeepAlive(ctx, lease); errors.As(err, &ended) {
			return err
		}
	}
}
