package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// jobRetention is how long the index keeps the id of a job. The store has
	// no delete operation, so each entry is removed when its lease expires.
	jobRetention = 30 * 24 * time.Hour
	// readBackAttempts and readBackPause limit the reads after a failed
	// compare-and-swap, since the store may return a stale value.
	readBackAttempts = 5
	readBackPause    = 100 * time.Millisecond
)

// jobEntry is the value of a job's index key.
type jobEntry struct {
	Shard string `json:"shard"`
	Hash  uint64 `json:"hash"`
	// ClaimedAt is when the entry was written, in Unix seconds. A shard forgets
	// a complete job before the lease of its index entry expires, so it refuses
	// an id that it doesn't know and that was claimed long ago.
	ClaimedAt int64 `json:"claimed_at"`
}

func jobKey(id string) string { return "job/" + id }

// SubmitJob implements messenger.Operator. It records the shard of the job in
// the store, so that a repeated submission goes to the same shard, and submits
// the job to the shard's owner.
func (d *Server) SubmitJob(ctx context.Context, r *messenger.SubmitRequest) (*messenger.SubmitResponse, error) {
	config, _ := d.config.Current()
	if config == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this daemon has no configuration; nothing was submitted")
	}
	j, err := declarer.DecodeJob(r.Job)
	if err != nil {
		return nil, operatorError(err)
	}
	encoded, hash, err := declarer.EncodeJob(j)
	if err != nil {
		return nil, operatorError(err)
	}
	entry, existed, err := d.indexJob(ctx, j, hash, config)
	if err != nil {
		return nil, operatorError(err)
	}
	if entry.Hash != hash {
		return nil, twirp.NewError(twirp.AlreadyExists, "job.id: "+j.ID+" was submitted with other content; nothing was changed")
	}
	owner, err := d.dialOwner(entry.Shard)
	if err != nil {
		return nil, err
	}
	response, err := owner.Submit(ctx, &messenger.SubmitRequest{Job: encoded, Shard: entry.Shard, ClaimedAt: entry.ClaimedAt})
	if err != nil {
		return nil, forwardError(err)
	}
	response.Existed = existed
	return response, nil
}

// dialOwner returns the client of a shard's owner, or an error if no owner is
// known.
func (d *Server) dialOwner(shard string) (messenger.Peer, error) {
	addr := d.ownerAddress(shard)
	if addr == "" {
		return nil, twirp.NewError(twirp.Unavailable, "no owner known for shard "+shard+"; nothing was changed")
	}
	return d.dial(addr), nil
}

// indexJob returns the index entry of a job, and whether it existed before. If
// it fails, the job is not submitted.
func (d *Server) indexJob(ctx context.Context, j declarer.BatchJob, hash uint64, config *declarer.Config) (jobEntry, bool, error) {
	entry, err := d.readJob(ctx, j.ID)
	var missing *storeclient.NotFoundError
	if err == nil || !errors.As(err, &missing) {
		return entry, true, err
	}
	// A job that was accepted before is not checked again: the failure domain
	// of its shard may be out of service by now.
	if err := declarer.CheckJob(j, config); err != nil {
		return jobEntry{}, false, err
	}
	entry = jobEntry{Shard: chooseShard(j, config), Hash: hash, ClaimedAt: time.Now().Unix()}
	value, err := json.Marshal(entry)
	if err != nil {
		return jobEntry{}, false, err
	}
	// The write counts towards the rate limit of claims, so that a burst of
	// submissions doesn't use up the rate limit of the reads that confirm the
	// configuration.
	claimCtx := storeclient.WithClass(ctx, storeclient.ClassClaim)
	lease, err := d.store.Grant(claimCtx, jobRetention)
	if err != nil {
		return jobEntry{}, false, err
	}
	if _, err = d.store.CompareAndSwap(claimCtx, jobKey(j.ID), value, 0, lease); err == nil {
		return entry, false, nil
	}
	found, readErr := d.readBackJob(ctx, j.ID)
	if readErr != nil {
		return jobEntry{}, false, err
	}
	return found, true, nil
}

// chooseShard returns the shard of a new job: the failure domain that the job
// names, or else one in service by the hash of its id.
func chooseShard(j declarer.BatchJob, config *declarer.Config) string {
	if j.Domain != "" {
		return j.Domain
	}
	domains := config.DomainsIn()
	return domains[xxhash.Sum64String(j.ID)%uint64(len(domains))]
}

// readJob returns the index entry of a job.
func (d *Server) readJob(ctx context.Context, id string) (jobEntry, error) {
	found, err := d.store.Get(ctx, jobKey(id))
	if err != nil {
		return jobEntry{}, err
	}
	var entry jobEntry
	return entry, errors.Wrap(json.Unmarshal(found.Value, &entry), "decode job index entry")
}

// readBackJob reads the index entry of a job after a compare-and-swap that had
// a conflict or no response.
func (d *Server) readBackJob(ctx context.Context, id string) (jobEntry, error) {
	for i := 1; ; i++ {
		entry, err := d.readJob(ctx, id)
		if err == nil || i == readBackAttempts {
			return entry, err
		}
		select {
		case <-ctx.Done():
			return jobEntry{}, err
		case <-time.After(readBackPause):
		}
	}
}

// CancelJob implements messenger.Operator.
func (d *Server) CancelJob(ctx context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	if !declarer.IsName(r.JobId) {
		return nil, operatorError(invalidField("job_id", "got %q, want %s", r.JobId, declarer.NameRange))
	}
	entry, err := d.readJob(ctx, r.JobId)
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return nil, twirp.NotFoundError("job_id: no job " + r.JobId + " was submitted in the last 30 days; nothing was changed")
	}
	if err != nil {
		return nil, operatorError(err)
	}
	owner, err := d.dialOwner(entry.Shard)
	if err != nil {
		return nil, err
	}
	response, err := owner.Cancel(ctx, &messenger.CancelRequest{JobId: r.JobId, Shard: entry.Shard})
	if err != nil {
		return nil, forwardError(err)
	}
	return response, nil
}
