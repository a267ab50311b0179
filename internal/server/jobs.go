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
	// jobRetention is how long a job's id is remembered; the store has no
	// deletes, so that the entry ends with a lease.
	jobRetention = 30 * 24 * time.Hour
	// indexReads and indexPause bound the reads after a lost swap, in case
	// the store shows an old value.
	indexReads = 5
	indexPause = 100 * time.Millisecond
)

// jobEntry is the value of a job's index key.
type jobEntry struct {
	Shard string `json:"shard"`
	Hash  uint64 `json:"hash"`
	// ClaimedAt is when the entry was written, in seconds since 1970. A shard
	// forgets complete jobs sooner than the index does, and refuses an old id
	// that it doesn't know.
	ClaimedAt int64 `json:"claimed_at"`
}

func jobKey(id string) string { return "job/" + id }

// SubmitJob implements messenger.Operator: it fixes the job's shard in the
// store, so that a repeated submission goes to the same one, and gives the job
// to the shard's owner.
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
	owner, err := d.ownerOf(entry.Shard)
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

// ownerOf returns the client of a shard's owner.
func (d *Server) ownerOf(shard string) (messenger.Peer, error) {
	addr := d.ownerAddress(shard)
	if addr == "" {
		return nil, twirp.NewError(twirp.Unavailable, "no owner known for shard "+shard+"; nothing was changed")
	}
	return d.dial(addr), nil
}

// indexJob returns the index entry of a job, and whether it was there before.
// Without an entry the job is not submitted, so its errors change nothing.
func (d *Server) indexJob(ctx context.Context, j declarer.BatchJob, hash uint64, config *declarer.Config) (jobEntry, bool, error) {
	entry, err := d.readJob(ctx, j.ID)
	var missing *storeclient.NotFoundError
	if err == nil || !errors.As(err, &missing) {
		return entry, true, err
	}
	// A job that was accepted before is not checked again: the failure domain
	// of its shard may have been taken out since.
	if err := declarer.CheckJob(j, config); err != nil {
		return jobEntry{}, false, err
	}
	entry = jobEntry{Shard: shardOf(j, config), Hash: hash, ClaimedAt: time.Now().Unix()}
	value, err := json.Marshal(entry)
	if err != nil {
		return jobEntry{}, false, err
	}
	// The entry is written like a claim, so that a burst of submissions
	// doesn't take the rate of the reads that confirm the configuration.
	writing := storeclient.WithClass(ctx, storeclient.ClassClaim)
	lease, err := d.store.Grant(writing, jobRetention)
	if err != nil {
		return jobEntry{}, false, err
	}
	if _, err = d.store.CompareAndSwap(writing, jobKey(j.ID), value, 0, lease); err == nil {
		return entry, false, nil
	}
	found, readErr := d.readBackJob(ctx, j.ID)
	if readErr != nil {
		return jobEntry{}, false, err
	}
	return found, true, nil
}

// shardOf chooses the shard of a new job.
func shardOf(j declarer.BatchJob, config *declarer.Config) string {
	if j.Domain != "" {
		return j.Domain
	}
	in := config.DomainsIn()
	return in[xxhash.Sum64String(j.ID)%uint64(len(in))]
}

func (d *Server) readJob(ctx context.Context, id string) (jobEntry, error) {
	found, err := d.store.Get(ctx, jobKey(id))
	if err != nil {
		return jobEntry{}, err
	}
	var entry jobEntry
	return entry, errors.Wrap(json.Unmarshal(found.Value, &entry), "decode")
}

// readBackJob reads the entry that a swap conflicted with, or that it may have
// written without an answer.
func (d *Server) readBackJob(ctx context.Context, id string) (jobEntry, error) {
	for i := 1; ; i++ {
		entry, err := d.readJob(ctx, id)
		if err == nil || i == indexReads {
			return entry, err
		}
		select {
		case <-ctx.Done():
			return jobEntry{}, err
		case <-time.After(indexPause):
		}
	}
}

// CancelJob implements messenger.Operator.
func (d *Server) CancelJob(ctx context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	if !declarer.IsName(r.JobId) {
		return nil, operatorError(invalid("job_id", "got %q, want %s", r.JobId, declarer.NameRange))
	}
	entry, err := d.readJob(ctx, r.JobId)
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return nil, twirp.NotFoundError("job_id: no job " + r.JobId + " was submitted in the last 30 days; nothing was changed")
	}
	if err != nil {
		return nil, operatorError(err)
	}
	owner, err := d.ownerOf(entry.Shard)
	if err != nil {
		return nil, err
	}
	response, err := owner.Cancel(ctx, &messenger.CancelRequest{JobId: r.JobId, Shard: entry.Shard})
	if err != nil {
		return nil, forwardError(err)
	}
	return response, nil
}
