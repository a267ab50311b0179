package conductor

import (
	"context"
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/follower"
	"tarragonhead.example/tarragonhead/internal/interpreter"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

const (
	// ownerLease is how long the store keeps the owner's entry without a
	// renewal, and keepInterval how often it is renewed.
	ownerLease   = 1500 * time.Millisecond
	keepInterval = 400 * time.Millisecond
	// confirmInterval is how often an owner reads the head of its shard.
	confirmInterval = 500 * time.Millisecond
	// vacancyDelay spreads the daemons that want a vacant shard, so that they
	// don't all write at once.
	vacancyDelay = 250 * time.Millisecond
	// bootstrapFactor is by how many times longer a reluctant daemon waits for a
	// shard that has never had an owner.
	bootstrapFactor = 4
	// aliveTimeout bounds the question whether the last owner lives, and
	// headStart is how long one that does may take to renew its entry: its lease
	// lapses while the store is away, and a change of the owner costs more.
	aliveTimeout = 250 * time.Millisecond
	headStart    = time.Second
	// acquireTimeout bounds the whole of an acquisition or a load.
	acquireTimeout = 3 * time.Second
	// clockError is the most by which a worker's clock may run slow.
	clockError = 0.02
	// ownerWait is how long one watch on the owner waits; ownerInterval how
	// often the entry is read besides.
	ownerWait     = 10 * time.Second
	ownerInterval = time.Second
	// jobsWait is how long one watch on the jobs waits.
	jobsWait = 5 * time.Second
)

type leaseState struct {
	id      storeclient.LeaseID
	keptAt  time.Time
	keeping bool
}

func (c *Conductor) move(event string) bool {
	next, err := c.chart.Next(c.role, interpreter.Event(event))
	if err != nil {
		c.options.Log.Debug().Str("role", string(c.role)).Str("event", event).Msg("conductor: event ignored")
		return false
	}
	c.options.Log.Info().Str("shard", c.options.Shard).Str("from", string(c.role)).Str("to", string(next)).Str("event", event).Int64("epoch", c.epoch).Msg("conductor: role changed")
	c.role = next
	return true
}

// Follow watches who owns the shards of these conductors, until ctx ends.
func Follow(ctx context.Context, store storeclient.PrefixStore, now func() time.Time, all []*Conductor) {
	follower.New(follower.Options{
		Store: store, Prefix: ownersPrefix, Wait: ownerWait, Interval: ownerInterval, Now: now,
		Changed: func(events []storeclient.Event) {
			for _, c := range all {
				c.post(ctx, func() { c.ownerChanged(events) })
			}
		},
		Confirmed: func(at time.Time) {
			for _, c := range all {
				c.post(ctx, func() {
					if c.owner.Name == "" && c.vacant.IsZero() {
						c.vacant = at
					}
				})
			}
		},
	}).Run(ctx)
}

func (c *Conductor) ownerChanged(events []storeclient.Event) {
	for _, e := range events {
		if e.Key != c.keys.owner() {
			continue
		}
		if e.Removed {
			c.owner, c.vacant, c.readAt = ownerRecord{}, c.options.Now(), time.Time{}
			if c.role == "owning" {
				c.lease.id = 0
			}
			continue
		}
		var r ownerRecord
		if err := cbor.Unmarshal(e.Value, &r); err != nil {
			c.options.Log.Error().Err(err).Msg("conductor: owner record can't be read")
			continue
		}
		c.owner, c.vacant, c.readAt = r, time.Time{}, time.Time{}
		c.ownerAddress.Store(&r.Address)
		if c.role == "owning" && r.Epoch > c.epoch {
			c.lose("another owner is recorded")
		}
	}
}

// considerAcquiring takes a vacant shard, after a delay that differs by daemon
// and domain.
func (c *Conductor) considerAcquiring(ctx context.Context, now time.Time) {
	if c.vacant.IsZero() || !c.hasConfig || now.Sub(c.vacant) < c.delay() {
		return
	}
	if !c.move("vacant") {
		return
	}
	readAt := c.readAt
	c.background.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, acquireTimeout)
		defer cancel()
		a, err := c.acquire(bounded, readAt)
		c.post(ctx, func() { c.acquired(ctx, a, err) })
	})
}

// isAlive reports whether the daemon at an address takes itself for the owner.
func (c *Conductor) isAlive(ctx context.Context, owner netip.AddrPort) bool {
	bounded, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	_, err := c.options.Ask(bounded, owner, Question{Kind: AskAlive, Shard: c.options.Shard})
	return err == nil
}

func (c *Conductor) delay() time.Duration {
	h := fnv.New32a()
	h.Write([]byte(c.options.Self + c.options.Shard))
	delay := vacancyDelay * time.Duration(h.Sum32()%100) / 100
	if c.options.Reluctance != nil {
		reluctance := c.options.Reluctance()
		if !c.Owner().IsValid() {
			// The daemons of a new deployment don't start at the same moment, and
			// nobody misses an owner yet.
			reluctance *= bootstrapFactor
		}
		delay += reluctance
	}
	return delay
}

// acquisition is the outcome of an attempt to own the shard.
type acquisition struct {
	lease   storeclient.LeaseID
	epoch   int64
	head    uint64
	began   time.Time
	granted time.Time
	// readAt is when the store first answered in this vacancy.
	readAt time.Time
}

// OwnerLivesError reports that the last owner is given time to renew its entry.
type OwnerLivesError struct{ Owner netip.AddrPort }

func (e *OwnerLivesError) Error() string { return "the last owner lives at " + e.Owner.String() }

func (c *Conductor) acquire(ctx context.Context, readAt time.Time) (acquisition, error) {
	a := acquisition{began: c.options.Now(), readAt: readAt}
	var head headRecord
	var revision uint64
	entry, err := c.options.Store.Get(ctx, c.keys.head())
	var missing *storeclient.NotFoundError
	switch {
	case errors.As(err, &missing):
	case err != nil:
		return a, err
	default:
		revision = entry.Revision
		if err := cbor.Unmarshal(entry.Value, &head); err != nil {
			return a, errors.Wrap(err, "head record")
		}
	}
	if a.readAt.IsZero() {
		a.readAt = a.began
	}
	last := c.Owner()
	if c.options.Now().Sub(a.readAt) < headStart && last.IsValid() && last != c.options.Address && c.isAlive(ctx, last) {
		return a, &OwnerLivesError{last}
	}
	if a.lease, err = c.options.Store.Grant(ctx, max(ownerLease, c.options.Limits.MinLease)); err != nil {
		return a, err
	}
	a.granted = c.options.Now()
	a.epoch = head.Epoch + 1
	headValue, err := cbor.Marshal(headRecord{a.epoch})
	if err != nil {
		return a, errors.Wrap(err, "head record")
	}
	ownerValue, err := cbor.Marshal(ownerRecord{c.options.Self, c.options.Address, a.epoch})
	if err != nil {
		return a, errors.Wrap(err, "owner record")
	}
	a.head, err = c.options.Store.Transact(ctx, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: c.keys.owner()}, {Key: c.keys.head(), Revision: revision}},
		Writes: []storeclient.Write{
			{Key: c.keys.owner(), Value: ownerValue, Lease: a.lease},
			{Key: c.keys.head(), Value: headValue},
		},
	})
	return a, err
}

func (c *Conductor) acquired(ctx context.Context, a acquisition, err error) {
	c.readAt = a.readAt
	if err != nil {
		c.options.Log.Info().Err(err).Msg("conductor: shard not acquired")
		c.vacant = time.Time{}
		if c.owner.Name == "" {
			c.vacant = c.options.Now()
		}
		c.move("lost")
		return
	}
	c.epoch, c.headRevision, c.confirmedAt = a.epoch, a.head, a.began
	c.isOwner.Store(true)
	c.lease = leaseState{id: a.lease, keptAt: a.granted}
	if !c.move("acquired") {
		return
	}
	c.background.Go(func() {
		for ctx.Err() == nil {
			bounded, cancel := context.WithTimeout(ctx, acquireTimeout)
			l, err := c.read(bounded)
			cancel()
			if err == nil {
				c.post(ctx, func() { c.loaded(ctx, l) })
				return
			}
			c.options.Log.Warn().Err(err).Msg("conductor: shard not read")
			if !waiter.Wait(ctx, commitRetry) {
				return
			}
			if c.options.Now().Sub(a.began) > horizon {
				c.post(ctx, func() { c.lose("shard could not be read") })
				return
			}
		}
	})
	c.keepWhileLoading(ctx)
	clear(c.workers)
	discovering, cancel := context.WithCancel(ctx)
	c.stopDiscovery = cancel
	c.background.Go(func() { c.options.Discover(discovering) })
}

// confirm proves the ownership by reading the head of the shard.
func (c *Conductor) confirm(ctx context.Context, now time.Time) {
	if c.confirming || now.Sub(c.confirmedAt) < confirmInterval {
		return
	}
	c.confirming = true
	epoch := c.epoch
	c.background.Go(func() {
		sent := c.options.Now()
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		entry, err := c.options.Store.Get(bounded, c.keys.head())
		if err != nil {
			waiter.Wait(ctx, commitRetry)
		}
		c.post(ctx, func() {
			c.confirming = false
			switch {
			case c.role != "owning" || c.epoch != epoch:
			case err != nil:
				c.options.Log.Warn().Err(err).Dur("unproven_for", c.options.Now().Sub(c.confirmedAt)).Msg("conductor: ownership not confirmed")
			case entry.Revision != c.headRevision:
				c.lose("the head has changed")
			case sent.After(c.confirmedAt):
				c.confirmedAt = sent
			}
		})
	})
}

// keepLease renews the owner's lease, and gets a new one where it has lapsed
// while nobody else has taken the shard.
func (c *Conductor) keepLease(ctx context.Context, now time.Time) {
	if c.lease.keeping || now.Sub(c.lease.keptAt) < keepInterval {
		return
	}
	c.lease.keeping = true
	id, epoch, head := c.lease.id, c.epoch, c.headRevision
	c.background.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		var err error
		if id != 0 {
			err = c.options.Store.KeepAlive(bounded, id)
		}
		var ended *storeclient.LeaseError
		if id == 0 || errors.As(err, &ended) {
			id, err = c.renewEntry(bounded, epoch, head)
		}
		c.post(ctx, func() {
			c.lease.keeping = false
			if c.epoch != epoch || c.role != "owning" {
				return
			}
			var conflict *storeclient.ExpectationError
			switch {
			case errors.As(err, &conflict) && conflict.Revision(c.keys.head()) != head:
				c.lose("another daemon has the shard")
			case err != nil:
				c.options.Log.Warn().Err(err).Msg("conductor: lease not renewed")
				c.lease.keptAt = c.options.Now().Add(commitRetry - keepInterval)
			default:
				c.lease.id, c.lease.keptAt = id, c.options.Now()
			}
		})
	})
}

// renewEntry writes the owner's entry again under a new lease.
func (c *Conductor) renewEntry(ctx context.Context, epoch int64, head uint64) (storeclient.LeaseID, error) {
	value, err := cbor.Marshal(ownerRecord{c.options.Self, c.options.Address, epoch})
	if err != nil {
		return 0, errors.Wrap(err, "owner record")
	}
	id, err := c.options.Store.Grant(ctx, max(ownerLease, c.options.Limits.MinLease))
	if err != nil {
		return 0, err
	}
	_, err = c.options.Store.Transact(ctx, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: head}},
		Writes: []storeclient.Write{{Key: c.keys.owner(), Value: value, Lease: id}},
	})
	return id, err
}

// lose ends the ownership. Orders that are on their way are refused by the
// workers as soon as the successor has called them.
func (c *Conductor) lose(why string) {
	if c.role != "owning" && c.role != "loading" {
		return
	}
	c.options.Log.Warn().Int64("epoch", c.epoch).Str("why", why).Msg("conductor: ownership lost")
	c.move("lost")
	c.release()
}

// release drops the state of the ownership.
func (c *Conductor) release() {
	c.metrics.isOwner.Set(0)
	c.isOwner.Store(false)
	c.planner = nil
	// The answers to transactions under way are ignored from now on.
	c.committing, c.recording, c.announcing = false, false, false
	if c.stopFollowing != nil {
		c.stopFollowing()
		c.stopFollowing = nil
	}
	if c.stopDiscovery != nil {
		c.stopDiscovery()
		c.stopDiscovery = nil
	}
	for _, s := range c.sessions {
		s.stale = true
	}
	clear(c.sessions)
	for id, replies := range c.cancels {
		for _, reply := range replies {
			reply(false, &NotOwnerError{c.options.Shard, c.owner.Address})
		}
		delete(c.cancels, id)
	}
	if c.owner.Epoch <= c.epoch && c.owner.Name == c.options.Self {
		c.owner = ownerRecord{}
		c.vacant = time.Time{}
	}
}

// shutDown gives the shard up, so that a successor needs no lease to lapse.
func (c *Conductor) shutDown() {
	wasOwner := c.role == "owning" || c.role == "loading"
	c.move("shut_down")
	if !wasOwner {
		return
	}
	id := c.lease.id
	c.release()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if id == 0 {
		return
	}
	if err := c.options.Store.Revoke(ctx, id); err != nil {
		c.options.Log.Warn().Err(err).Msg("conductor: lease not ended; the shard stays vacant until it lapses")
	}
}
