package conductor

import (
	"context"
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/follower"
	"tarragonhead.example/tarragonhead/internal/interpreter"
	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

const (
	// Renewal and confirmation.

	// ownerLeaseTTL is how long the store keeps the owner's entry without a
	// renewal, and renewInterval how often the lease is renewed.
	ownerLeaseTTL = 1500 * time.Millisecond
	renewInterval = 400 * time.Millisecond
	// confirmInterval is how often an owner reads the head of its shard.
	confirmInterval = 500 * time.Millisecond

	// Acquisition.

	// maxAcquireJitter bounds the delay, different for each daemon and shard,
	// before a vacant shard is acquired, so that daemons don't all write at
	// once.
	maxAcquireJitter = 250 * time.Millisecond
	// bootstrapFactor multiplies the extra delay of a daemon for a shard that
	// has never had an owner.
	bootstrapFactor = 4
	// aliveTimeout bounds the check whether the last owner is alive.
	// reclaimTime is how long, after the store answers again, a last owner that
	// is alive may take to renew its entry: its lease expires during an outage
	// of the store, and a change of owner costs more than a renewal.
	aliveTimeout = 250 * time.Millisecond
	reclaimTime  = time.Second
	// acquireTimeout bounds an acquisition or a load as a whole.
	acquireTimeout = 3 * time.Second

	// Fences.

	// fencesPerEpoch is how many fences an owner has. The calls to each next process of
	// a worker's id take the next one.
	fencesPerEpoch = 16

	// Leases of runs.

	// maxClockDrift is the largest fraction by which a worker's clock may run
	// slow.
	maxClockDrift = 0.02

	// Watches.

	// ownerWatchWait is how long one watch on the owners waits for a change,
	// and ownerReadInterval how often the entries are read in addition.
	ownerWatchWait    = 10 * time.Second
	ownerReadInterval = time.Second
	// jobsWatchWait is how long one watch on the jobs waits for a change. Runs and ends
	// of unknown jobs wait for the watch that begins after they were listed, for up to
	// twice as long where no job is stored.
	jobsWatchWait = 2500 * time.Millisecond
)

// longestLease returns the longest time that a lease lasts on a worker whose
// clock runs slow.
func longestLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / (1 - maxClockDrift))
}

// lowestFence returns the lowest fence of an owner. The highest one is its epoch.
func lowestFence(epoch int64) int64 { return epoch - fencesPerEpoch + 1 }

// leaseState is the lease of the owner's entry.
type leaseState struct {
	id         storeclient.LeaseID
	renewedAt  time.Time
	isRenewing bool
}

// applyEvent changes the role as its chart defines. It reports false if the
// role does not accept the event.
func (c *Conductor) applyEvent(event string) bool {
	next, err := c.chart.Next(c.role, interpreter.Event(event))
	if err != nil {
		c.options.Log.Debug().Str("role", string(c.role)).Str("event", event).Msg("conductor: event ignored")
		return false
	}
	c.options.Log.Info().Str("shard", c.options.Shard).Str("from", string(c.role)).Str("to", string(next)).Str("event", event).Int64("epoch", c.epoch).Msg("conductor: role changed")
	c.role = next
	c.isCandidate.Store(next == "acquiring" || next == "loading" || next == "owning")
	return true
}

// Follow watches the owners of the shards of these conductors until ctx ends.
func Follow(ctx context.Context, store storeclient.PrefixStore, now func() time.Time, all []*Conductor) {
	follower.New(follower.Options{
		Store: store, Prefix: ownersPrefix, Wait: ownerWatchWait, Interval: ownerReadInterval, Now: now,
		Changed: func(events []storeclient.Event) {
			for _, c := range all {
				c.post(ctx, func() { c.applyOwnerEvents(events) })
			}
		},
		Confirmed: func(at time.Time) {
			for _, c := range all {
				c.post(ctx, func() {
					if c.owner.Name == "" && c.vacantSince.IsZero() {
						c.vacantSince = at
					}
				})
			}
		},
	}).Run(ctx)
}

// applyOwnerEvents applies changes of the owners' entries. It ends the ownership
// if an owner with a higher epoch is recorded.
func (c *Conductor) applyOwnerEvents(events []storeclient.Event) {
	for _, e := range events {
		if e.Key != c.keys.owner() {
			continue
		}
		if e.Removed {
			c.owner, c.vacantSince, c.storeAnsweredAt = ownerRecord{}, c.options.Now(), time.Time{}
			if c.role == "owning" {
				c.lease.id = 0
			}
			continue
		}
		var r ownerRecord
		if err := marshaler.Unmarshal(e.Value, &r); err != nil {
			c.options.Log.Error().Err(err).Msg("conductor: owner record can't be decoded")
			continue
		}
		c.owner, c.vacantSince, c.storeAnsweredAt = r, time.Time{}, time.Time{}
		c.ownerAddress.Store(&r.Address)
		if c.role == "owning" && r.Epoch > c.epoch {
			c.loseOwnership("another owner is recorded")
		}
	}
}

// acquireIfVacant acquires a vacant shard after a delay that differs by daemon
// and shard.
func (c *Conductor) acquireIfVacant(ctx context.Context, now time.Time) {
	if c.vacantSince.IsZero() || !c.hasConfig || now.Sub(c.vacantSince) < c.acquireDelay() {
		return
	}
	if !c.applyEvent("vacant") {
		return
	}
	storeAnsweredAt := c.storeAnsweredAt
	c.background.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, acquireTimeout)
		defer cancel()
		a, err := c.acquire(bounded, storeAnsweredAt)
		c.post(ctx, func() { c.finishAcquisition(ctx, a, err) })
	})
}

// isOwnerAlive reports whether the daemon at an address still considers itself
// the owner.
func (c *Conductor) isOwnerAlive(ctx context.Context, owner netip.AddrPort) bool {
	bounded, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	_, err := c.options.Ask(bounded, owner, Question{Kind: AskAlive, Shard: c.options.Shard})
	return err == nil
}

// acquireDelay returns how long this daemon waits before it acquires a vacant
// shard.
func (c *Conductor) acquireDelay() time.Duration {
	h := fnv.New32a()
	h.Write([]byte(c.options.Self + c.options.Shard))
	delay := maxAcquireJitter * time.Duration(h.Sum32()%100) / 100
	if c.options.ExtraAcquireDelay != nil {
		extra := c.options.ExtraAcquireDelay()
		if !c.Owner().IsValid() {
			// The daemons of a new deployment don't start at the same moment,
			// and nothing needs an owner yet.
			extra *= bootstrapFactor
		}
		delay += extra
	}
	return delay
}

// acquisition is the outcome of an attempt to acquire the shard.
type acquisition struct {
	lease        storeclient.LeaseID
	epoch        int64
	headRevision uint64
	startedAt    time.Time
	grantedAt    time.Time
	// storeAnsweredAt is when the store first answered in this vacancy.
	storeAnsweredAt time.Time
}

// OwnerAliveError reports that the last owner is alive and gets time to renew
// its entry.
type OwnerAliveError struct{ Owner netip.AddrPort }

func (e *OwnerAliveError) Error() string { return "the last owner is alive at " + e.Owner.String() }

// acquire writes the owner's entry under a new lease, and a head with the next
// epoch.
func (c *Conductor) acquire(ctx context.Context, storeAnsweredAt time.Time) (acquisition, error) {
	a := acquisition{startedAt: c.options.Now(), storeAnsweredAt: storeAnsweredAt}
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
		if err := marshaler.Unmarshal(entry.Value, &head); err != nil {
			return a, errors.Wrap(err, "decode head record")
		}
	}
	if a.storeAnsweredAt.IsZero() {
		a.storeAnsweredAt = a.startedAt
	}
	last := c.Owner()
	if c.options.Now().Sub(a.storeAnsweredAt) < reclaimTime && last.IsValid() && last != c.options.Address && c.isOwnerAlive(ctx, last) {
		return a, &OwnerAliveError{last}
	}
	if a.lease, err = c.options.Store.Grant(ctx, max(ownerLeaseTTL, c.options.Limits.MinLease)); err != nil {
		return a, err
	}
	a.grantedAt = c.options.Now()
	a.epoch = head.Epoch + fencesPerEpoch
	headValue, err := marshaler.Marshal(headRecord{a.epoch})
	if err != nil {
		return a, errors.Wrap(err, "encode head record")
	}
	ownerValue, err := marshaler.Marshal(ownerRecord{c.options.Self, c.options.Address, a.epoch})
	if err != nil {
		return a, errors.Wrap(err, "encode owner record")
	}
	a.headRevision, err = c.options.Store.Transact(ctx, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: c.keys.owner()}, {Key: c.keys.head(), Revision: revision}},
		Writes: []storeclient.Write{
			{Key: c.keys.owner(), Value: ownerValue, Lease: a.lease},
			{Key: c.keys.head(), Value: headValue},
		},
	})
	return a, err
}

// finishAcquisition applies the outcome of an acquisition, and loads the shard
// after a success.
func (c *Conductor) finishAcquisition(ctx context.Context, a acquisition, err error) {
	c.storeAnsweredAt = a.storeAnsweredAt
	if err != nil {
		c.options.Log.Info().Err(err).Msg("conductor: shard not acquired")
		c.vacantSince = time.Time{}
		if c.owner.Name == "" {
			c.vacantSince = c.options.Now()
		}
		c.applyEvent("lost")
		return
	}
	c.epoch, c.headRevision, c.confirmedAt = a.epoch, a.headRevision, a.startedAt
	c.isOwner.Store(true)
	c.lease = leaseState{id: a.lease, renewedAt: a.grantedAt}
	if !c.applyEvent("acquired") {
		return
	}
	c.background.Go(func() {
		for ctx.Err() == nil {
			bounded, cancel := context.WithTimeout(ctx, acquireTimeout)
			records, err := c.readShard(bounded)
			cancel()
			if err == nil {
				c.post(ctx, func() { c.finishLoading(ctx, a.epoch, records) })
				return
			}
			c.options.Log.Warn().Err(err).Msg("conductor: shard not read")
			if !waiter.Wait(ctx, storeRetryDelay) {
				return
			}
			if c.options.Now().Sub(a.startedAt) > horizon {
				c.post(ctx, func() { c.loseOwnership("shard could not be read") })
				return
			}
		}
	})
	c.renewLeaseWhileLoading(ctx)
	clear(c.workers)
	discoveryCtx, cancel := context.WithCancel(ctx)
	c.stopDiscovery = cancel
	c.background.Go(func() { c.options.Discover(discoveryCtx) })
}

// confirmOwnership proves the ownership by reading the head of the shard.
func (c *Conductor) confirmOwnership(ctx context.Context, now time.Time) {
	if c.isConfirming || now.Sub(c.confirmedAt) < confirmInterval {
		return
	}
	c.isConfirming = true
	epoch := c.epoch
	c.background.Go(func() {
		sent := c.options.Now()
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		entry, err := c.options.Store.Get(bounded, c.keys.head())
		if err != nil {
			waiter.Wait(ctx, storeRetryDelay)
		}
		c.post(ctx, func() {
			c.isConfirming = false
			switch {
			case c.role != "owning" || c.epoch != epoch:
			case err != nil:
				c.options.Log.Warn().Err(err).Dur("unproven_for", c.options.Now().Sub(c.confirmedAt)).Msg("conductor: ownership not confirmed")
			case entry.Revision != c.headRevision:
				c.loseOwnership("the head has changed")
			case sent.After(c.confirmedAt):
				c.confirmedAt = sent
			}
		})
	})
}

// renewLease renews the lease of the owner's entry. If the lease has expired
// and no other daemon has acquired the shard, it writes the entry again under a
// new lease.
func (c *Conductor) renewLease(ctx context.Context, now time.Time) {
	if c.lease.isRenewing || now.Sub(c.lease.renewedAt) < renewInterval {
		return
	}
	c.lease.isRenewing = true
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
			id, err = c.renewOwnerEntry(bounded, epoch, head)
		}
		c.post(ctx, func() {
			c.lease.isRenewing = false
			if c.epoch != epoch || c.role != "owning" {
				return
			}
			var conflict *storeclient.ExpectationError
			switch {
			case errors.As(err, &conflict) && conflict.Revision(c.keys.head()) != head:
				c.loseOwnership("another daemon has the shard")
			case err != nil:
				c.options.Log.Warn().Err(err).Msg("conductor: owner lease not renewed")
				c.lease.renewedAt = c.options.Now().Add(storeRetryDelay - renewInterval)
			default:
				c.lease.id, c.lease.renewedAt = id, c.options.Now()
			}
		})
	})
}

// renewOwnerEntry writes the owner's entry again under a new lease.
func (c *Conductor) renewOwnerEntry(ctx context.Context, epoch int64, head uint64) (storeclient.LeaseID, error) {
	value, err := marshaler.Marshal(ownerRecord{c.options.Self, c.options.Address, epoch})
	if err != nil {
		return 0, errors.Wrap(err, "encode owner record")
	}
	id, err := c.options.Store.Grant(ctx, max(ownerLeaseTTL, c.options.Limits.MinLease))
	if err != nil {
		return 0, err
	}
	_, err = c.options.Store.Transact(ctx, storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: head}},
		Writes: []storeclient.Write{{Key: c.keys.owner(), Value: value, Lease: id}},
	})
	return id, err
}

// loseOwnership ends the ownership. Workers refuse orders that are still under
// way as soon as the successor has called them with its higher fence.
func (c *Conductor) loseOwnership(reason string) {
	if c.role != "owning" && c.role != "loading" {
		return
	}
	c.options.Log.Warn().Int64("epoch", c.epoch).Str("why", reason).Msg("conductor: ownership lost")
	c.applyEvent("lost")
	c.clearOwnership()
}

// clearOwnership drops the state of the ownership.
func (c *Conductor) clearOwnership() {
	c.metrics.isOwner.Set(0)
	c.isOwner.Store(false)
	c.planner = nil
	// Results of transactions under way are ignored from now on.
	c.isCommitting, c.isRecordingWorkers, c.isAnnouncing = false, false, false
	c.expired = nil
	clear(c.heldHandovers)
	clear(c.heldCommits)
	c.soloCommits = 0
	c.caps = capState{loweredAt: c.caps.loweredAt}
	c.metrics.caps.Reset()
	if c.stopFollowing != nil {
		c.stopFollowing()
		c.stopFollowing = nil
	}
	if c.stopDiscovery != nil {
		c.stopDiscovery()
		c.stopDiscovery = nil
	}
	for _, s := range c.sessions {
		s.isStale = true
	}
	clear(c.sessions)
	for id, replies := range c.cancelReplies {
		for _, reply := range replies {
			reply(false, &NotOwnerError{c.options.Shard, c.owner.Address})
		}
		delete(c.cancelReplies, id)
	}
	if c.owner.Epoch <= c.epoch && c.owner.Name == c.options.Self {
		c.owner = ownerRecord{}
		c.vacantSince = time.Time{}
	}
}

// storeLateStarts stores the starts that have no answer yet, so that a successor waits until
// they can't be carried out any more. A commit that is under way may change the revisions
// that are known.
func (c *Conductor) storeLateStarts() {
	c.planner.NoteUnanswered()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	hasConflict := false
	for {
		t, sent := c.newCommit(c.options.Now())
		if len(sent) == 0 {
			return
		}
		_, err := c.options.Store.Transact(ctx, t)
		var conflict *storeclient.ExpectationError
		switch {
		case err == nil:
			c.planner.Committed(sent)
		case errors.As(err, &conflict) && !hasConflict && conflict.Revision(c.keys.head()) == c.headRevision:
			hasConflict = true
			for _, e := range t.Expect {
				c.revisions[e.Key] = conflict.Revision(e.Key)
			}
		default:
			c.options.Log.Warn().Err(err).Int("jobs", len(sent)).Msg("conductor: progress not stored before the shard is given up")
			return
		}
	}
}

// shutDown gives the shard up, so that a successor need not wait for the lease
// to expire.
func (c *Conductor) shutDown() {
	wasOwner := c.role == "owning" || c.role == "loading"
	if c.role == "owning" {
		c.storeLateStarts()
	}
	c.applyEvent("shut_down")
	if !wasOwner {
		return
	}
	id := c.lease.id
	c.clearOwnership()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if id == 0 {
		return
	}
	if err := c.options.Store.Revoke(ctx, id); err != nil {
		c.options.Log.Warn().Err(err).Msg("conductor: lease not revoked; the shard stays vacant until the lease expires")
	}
}
