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
	ownerLease = 6 * time.Second
	keepAlive  = 2 * time.Second
	// releaseTimeout bounds what a planned stop does for a shard.
	releaseTimeout = 3 * time.Second
)

// The states of a shard that this package asks about.
const (
	owning    interpreter.State = "owning"
	undecided interpreter.State = "undecided"
)

// Owner is the value of a shard's owner key.
type Owner struct {
	Member  string `json:"member"`
	Control string `json:"control"`
	// Nonce tells this entry from an earlier one of the same member.
	Nonce string `json:"nonce"`
}

// shard is one shard as this daemon sees it.
type shard struct {
	controller *Controller
	name       string
	// home is set for the shard of the own domain.
	home   bool
	calls  chan call
	epoch  atomic.Uint64
	routes atomic.Pointer[messenger.RoutingTable]
	// state is that of the shard's chart. Only run's goroutine uses it.
	state interpreter.State
	// absentSince is when the shard was first seen without an owner.
	absentSince time.Time
}

// move moves the shard along its chart.
func (s *shard) move(e interpreter.Event) {
	next, err := s.controller.options.Charts.Shard.Next(s.state, e)
	if err != nil {
		s.controller.violated(err)
		return
	}
	s.state = next
}

// run owns the shard whenever it can, until ctx ends and the shard is
// released.
func (s *shard) run(ctx context.Context) {
	o := &s.controller.options
	reason := ""
	for ctx.Err() == nil {
		err := s.own(ctx)
		s.epoch.Store(0)
		s.step(ctx, err)
		// Most attempts end because another daemon owns the shard; the line is
		// written when the reason changes only.
		if err != nil && ctx.Err() == nil && err.Error() != reason {
			reason = err.Error()
			o.Log.Info().Err(err).Str("shard", s.name).Str("state", string(s.state)).Msg("shard: not owned")
		}
		pause := homePause
		if !s.home {
			// The jitter keeps the daemons of other domains apart.
			pause = foreignPause + rand.N(time.Second)
		}
		s.refuseCalls(ctx, pause)
	}
	if !o.Charts.Shard.IsFinal(s.state) {
		s.move("shut_down")
	}
}

// step moves the shard after own has returned.
func (s *shard) step(ctx context.Context, err error) {
	chart := s.controller.options.Charts.Shard
	var fenced *committer.FencedError
	var lease *storeclient.LeaseError
	var superseded *SupersededError
	switch {
	case s.state == chart.Start() || chart.IsFinal(s.state):
	case err == nil && ctx.Err() != nil:
		s.move("release")
	case err == nil:
		// A shard that goes back to its own domain is released first.
		s.move("release")
		s.state = chart.Start()
	case errors.As(err, &fenced) || errors.As(err, &lease) || errors.As(err, &superseded):
		s.move("conflict")
	default:
		s.move("fail")
	}
}

// refuseCalls answers calls for a while as a daemon that owns nothing.
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

// own takes the shard, drives it until it is lost or ctx ends, and gives it
// back. Without an error the shard was released.
func (s *shard) own(ctx context.Context) error {
	options := &s.controller.options
	lease, err := s.acquire(ctx)
	if err != nil {
		return err
	}
	s.move("acquire")
	// life outlasts ctx, so that a planned stop can commit and release.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	lost := make(chan error, 1)
	held := make(chan struct{})
	go func() {
		defer close(held)
		lost <- s.hold(life, lease)
	}()
	defer func() {
		end()
		<-held
		s.revoke(lease)
	}()
	begun := time.Now()
	ledger := committer.New(committer.Options{Store: options.Store, Shard: s.name, Writer: options.Self})
	settings := scheduler.Options{
		Shard: s.name, Domain: s.name, Charts: options.Charts, Policy: options.Policy, AwaitPeers: options.Peer != nil, Violation: s.controller.violated,
	}
	if options.Policy.Place == nil {
		settings = scheduler.WithInterference(settings)
	}
	core := scheduler.New(settings)
	if err := ledger.Replay(ctx, core); err != nil {
		return err
	}
	replayed := time.Since(begun)
	o := newOwner(life, s, core, ledger, lost)
	if err := o.begin(ctx); err != nil {
		return err
	}
	s.move("begin")
	options.Log.Info().Str("shard", s.name).Uint64("epoch", ledger.Epoch()).Uint64("sequence", ledger.Next()-1).
		Dur("replay", replayed).Dur("total", time.Since(begun)).Msg("shard: owned")
	s.routes.Store(&messenger.RoutingTable{Shard: s.name, Epoch: ledger.Epoch()})
	s.epoch.Store(ledger.Epoch())
	err = o.run(ctx)
	end()
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

// acquire makes this daemon the shard's owner.
func (s *shard) acquire(ctx context.Context) (storeclient.LeaseID, error) {
	store := s.controller.options.Store
	ctx = storeclient.WithClass(ctx, storeclient.ClassOwnership)
	key := "owner/" + s.name
	if err := s.checkAbsent(ctx, key); err != nil {
		return 0, err
	}
	lease, err := store.Grant(ctx, ownerLease)
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
	// The answer may be lost, or the entry an earlier try of this call.
	if entry, readErr := store.Get(ctx, key); readErr == nil {
		var found Owner
		if json.Unmarshal(entry.Value, &found) == nil && found == self {
			return lease, nil
		}
	}
	s.revoke(lease)
	return 0, err
}

// checkAbsent returns an error unless the shard has had no owner for as long
// as this daemon has to wait.
func (s *shard) checkAbsent(ctx context.Context, key string) error {
	entry, err := s.controller.options.Store.Get(ctx, key)
	var missing *storeclient.NotFoundError
	if !errors.As(err, &missing) {
		s.absentSince = time.Time{}
		if err != nil {
			return err
		}
		var other Owner
		if err := json.Unmarshal(entry.Value, &other); err != nil {
			return errors.Wrapf(err, "value at %s", key)
		}
		return fmt.Errorf("owned by %s", other.Member)
	}
	if s.home {
		return nil
	}
	now := time.Now()
	if s.absentSince.IsZero() {
		s.absentSince = now
	}
	if absent := now.Sub(s.absentSince); absent < foreignPatience {
		return fmt.Errorf("without an owner for %s, less than %s", absent, foreignPatience)
	}
	if p := s.controller.options.IsPresent; p != nil && p(s.name) {
		return fmt.Errorf("left to the daemons of domain %s", s.name)
	}
	return nil
}

// hold keeps the shard's lease alive and returns when it has ended. While the
// store can't be reached the shard stays owned: nobody else can take it.
func (s *shard) hold(ctx context.Context, lease storeclient.LeaseID) error {
	ctx = storeclient.WithClass(ctx, storeclient.ClassOwnership)
	t := time.NewTicker(keepAlive)
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
