package conductor

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/follower"
	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

// renewLeaseWhileLoading renews the lease of the owner's entry until the shard
// is loaded.
func (c *Conductor) renewLeaseWhileLoading(ctx context.Context) {
	id := c.lease.id
	c.background.Go(func() {
		for waiter.Wait(ctx, renewInterval) {
			done := make(chan bool, 1)
			c.post(ctx, func() { done <- c.role != "loading" || c.lease.id != id })
			select {
			case isOver := <-done:
				if isOver {
					return
				}
			case <-ctx.Done():
				return
			}
			bounded, cancel := context.WithTimeout(ctx, storeTimeout)
			if err := c.options.Store.KeepAlive(bounded, id); err != nil {
				c.options.Log.Warn().Err(err).Msg("conductor: owner lease not renewed")
			}
			cancel()
		}
	})
}

// shardRecords is what a new owner reads from the store.
type shardRecords struct {
	jobs     []storeclient.Entry
	progress map[string]storeclient.Entry
	workers  storeclient.Entry
	caps     []storeclient.Entry
	// capsReadAt is when the read of caps began.
	capsReadAt time.Time
}

// readShard reads the records of the shard from the store.
func (c *Conductor) readShard(ctx context.Context) (shardRecords, error) {
	records := shardRecords{progress: map[string]storeclient.Entry{}}
	list, _, err := c.options.Store.Range(ctx, c.keys.prefix()+"progress/")
	if err != nil {
		return records, err
	}
	for _, e := range list {
		records.progress[strings.TrimPrefix(e.Key, c.keys.prefix()+"progress/")] = e
	}
	records.workers, err = c.options.Store.Get(ctx, c.keys.workers())
	var missing *storeclient.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return records, err
	}
	if records.jobs, _, err = c.options.Store.Range(ctx, c.keys.jobs()); err != nil || !c.hasCaps.Load() {
		return records, err
	}
	records.capsReadAt = c.options.Now()
	records.caps, _, err = c.options.Store.Range(ctx, capsPrefix)
	return records, err
}

// finishLoading creates the planner from the records that were read in an epoch.
func (c *Conductor) finishLoading(ctx context.Context, epoch int64, records shardRecords) {
	if c.role != "loading" || c.epoch != epoch {
		return
	}
	now := c.options.Now()
	limits := c.options.Limits
	ownerLease := longestLease(min(leaseHorizon, horizon+limits.MaxLease))
	p, err := planner.New(planner.Options{
		Epoch: lowestFence(c.epoch), MaxFenceOffset: fencesPerEpoch - 1, Horizon: horizon, ViolationLimit: limits.ViolationLimit,
		Retention: limits.StateRetention, WallTime: c.options.WallTime, HasRoom: c.options.HasRoom,
		PredecessorLeaseEnd: now.Add(ownerLease), OwnerLease: ownerLease, LongestLease: longestLease(limits.MaxLease),
		IsHeld: func(job string) bool { return c.options.Now().Before(c.heldCommits[job].until) }, OnDecision: c.logDecision, Shards: c.options.Shards, OnJobMetered: c.countJob,
	})
	if err != nil {
		c.options.Log.Error().Err(err).Msg("conductor: planner not created")
		c.loseOwnership("the planner could not be created")
		return
	}
	p.SetConfig(c.config)
	p.SetEvacuatedDomains(c.evacuatedDomains)
	clear(c.revisions)
	clear(c.unusableJobs)
	if records.workers.Revision > 0 {
		c.revisions[c.keys.workers()] = records.workers.Revision
		var unverified []planner.Worker
		if err := marshaler.Unmarshal(records.workers.Value, &unverified); err != nil {
			c.options.Log.Error().Err(err).Msg("conductor: list of workers can't be decoded; tasks wait until every earlier lease has expired")
			p.AddUnknownWorkers()
			// Some entries may have been decoded in part.
			unverified = nil
		}
		for _, w := range unverified {
			p.AddUnverifiedWorker(w)
		}
	}
	c.planner = p
	c.loadCaps(records)
	c.outbox = c.newOutbox()
	for id, e := range records.progress {
		c.revisions[c.keys.progress(id)] = e.Revision
	}
	for _, e := range records.jobs {
		c.applyJobEntry(now, e, records.progress)
	}
	if !c.applyEvent("loaded") {
		c.planner = nil
		return
	}
	c.metrics.isOwner.Set(1)
	c.options.Log.Info().Int64("epoch", c.epoch).Int("jobs", len(records.jobs)).Int("suspects", len(p.Unverified())).Strs("workers", p.Unverified()).Msg("conductor: shard loaded")
	c.updatePlannerWorkers()
	c.followJobs(ctx)
}

// addJob decodes a stored job and its progress, if any, and adds the job to the
// planner. It logs and skips a record that can't be used. A job whose progress
// can't be used stays out also when its record is delivered again without the
// progress, because its tasks may be done.
func (c *Conductor) addJob(now time.Time, e storeclient.Entry, progress map[string]storeclient.Entry) {
	id := strings.TrimPrefix(e.Key, c.keys.jobs())
	if c.unusableJobs[id] || c.isExpired(id, e) {
		return
	}
	d, err := planner.Decode[planner.Job](e.Value)
	if err == nil {
		err = d.Check()
	}
	if err != nil || d.ID != id {
		c.options.Log.Error().Str("job", id).Err(err).Msg("conductor: job record can't be used")
		return
	}
	var r planner.Progress
	if stored, ok := progress[id]; ok {
		if r, err = planner.Decode[planner.Progress](stored.Value); err != nil {
			c.options.Log.Error().Str("job", id).Err(err).Msg("conductor: progress record can't be used")
			c.unusableJobs[id] = true
			return
		}
	}
	c.planner.AddJob(now, d, r)
}

// followJobs watches for accepted jobs as long as this daemon owns the shard in
// the current epoch.
func (c *Conductor) followJobs(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	epoch := c.epoch
	f := follower.New(follower.Options{
		Store: c.options.Store, Prefix: c.keys.jobs(), Wait: jobsWatchWait, Now: c.options.Now,
		Changed: func(events []storeclient.Event) {
			c.post(ctx, func() {
				if c.role != "owning" || c.epoch != epoch {
					cancel()
					return
				}
				for _, e := range events {
					if !e.Removed {
						c.applyJobEntry(c.options.Now(), e.Entry, nil)
					}
				}
			})
		},
		Current: func(at time.Time) {
			c.post(ctx, func() {
				if c.role == "owning" && c.epoch == epoch {
					c.planner.JobsRead(at)
				}
			})
		},
	})
	c.stopFollowing = cancel
	c.background.Go(func() { f.Run(ctx) })
}
