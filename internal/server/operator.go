package server

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"tarragonhead.example/tarragonhead/internal/configurer"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// GetConfig implements messenger.Operator.
func (d *Server) GetConfig(ctx context.Context, r *messenger.FetchConfigRequest) (*messenger.ConfigDocument, error) {
	return d.FetchConfig(ctx, r)
}

// ChangeConfig implements messenger.Operator.
func (d *Server) ChangeConfig(ctx context.Context, r *messenger.ChangeConfigRequest) (*messenger.ChangeConfigResponse, error) {
	change := configurer.Change{ID: r.ChangeId, Operator: r.Operator, Expected: r.ExpectedRevision}
	if r.ChangeId == "" {
		return nil, twirp.RequiredArgumentError("change_id")
	}
	switch ch := r.Change.(type) {
	case *messenger.ChangeConfigRequest_Preset:
		change.Summary = "preset " + ch.Preset
		change.Edit = func(c *declarer.Config) error {
			c.Preset = declarer.Preset(ch.Preset)
			return nil
		}
	case *messenger.ChangeConfigRequest_TakeOut:
		change.Summary = "take out " + ch.TakeOut
		change.Edit = func(c *declarer.Config) error {
			if !c.IsOut(ch.TakeOut) {
				c.DomainsOut = slices.Sorted(slices.Values(append(slices.Clone(c.DomainsOut), ch.TakeOut)))
			}
			return nil
		}
	case *messenger.ChangeConfigRequest_BringBack:
		change.Summary = "bring back " + ch.BringBack
		change.Edit = func(c *declarer.Config) error {
			c.DomainsOut = slices.DeleteFunc(slices.Clone(c.DomainsOut), func(out string) bool { return out == ch.BringBack })
			return nil
		}
	case *messenger.ChangeConfigRequest_Declare:
		var w declarer.Workload
		w, err := declarer.Parse(ch.Declare)
		if err != nil {
			return nil, operatorError(err)
		}
		change.Summary = "declare work of " + w.User
		change.Edit = func(c *declarer.Config) error {
			c.Domains = nil
			for _, domain := range w.Platform.Domains {
				c.Domains = append(c.Domains, domain.Name)
			}
			c.Teams, c.Services, c.Watchers = w.Teams, w.Services, w.Watchers
			return nil
		}
	default:
		return nil, twirp.RequiredArgumentError("change")
	}
	revision, err := d.config.Propose(ctx, change)
	if err != nil {
		return nil, operatorError(err)
	}
	return &messenger.ChangeConfigResponse{Revision: revision}, nil
}

// jobEntry is the value of a job's index key.
type jobEntry struct {
	Shard string `json:"shard"`
	Hash  uint64 `json:"hash"`
}

// SubmitJob implements messenger.Operator: it fixes the job's shard in the
// store, so that a repeated submission goes to the same one, and gives the job
// to the shard's owner.
func (d *Server) SubmitJob(ctx context.Context, r *messenger.SubmitRequest) (*messenger.SubmitResponse, error) {
	config, _ := d.config.Current()
	if config == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no configuration")
	}
	var j declarer.BatchJob
	if err := cbor.Unmarshal(r.Job, &j); err != nil {
		return nil, twirp.InvalidArgumentError("job", err.Error())
	}
	if err := declarer.CheckJob(j, config); err != nil {
		return nil, operatorError(err)
	}
	entry, existed, err := d.indexJob(ctx, j, r.Job, config)
	if err != nil {
		return nil, operatorError(err)
	}
	if entry.Hash != xxhash.Sum64(r.Job) {
		return nil, twirp.NewError(twirp.AlreadyExists, "job "+j.ID+" was submitted with other content")
	}
	addr := d.ownerAddress(entry.Shard)
	if addr == "" {
		return nil, twirp.NewError(twirp.Unavailable, "no owner known for shard "+entry.Shard)
	}
	response, err := d.dial(addr).Submit(ctx, &messenger.SubmitRequest{Job: r.Job, Shard: entry.Shard})
	if err != nil {
		return nil, err
	}
	response.Existed = existed
	return response, nil
}

func (d *Server) indexJob(ctx context.Context, j declarer.BatchJob, encoded []byte, config *declarer.Config) (jobEntry, bool, error) {
	ctx = storeclient.WithClass(ctx, storeclient.ClassConfig)
	in := config.DomainsIn()
	if len(in) == 0 {
		return jobEntry{}, false, errors.New("every domain is out of service")
	}
	entry := jobEntry{Shard: in[xxhash.Sum64String(j.ID)%uint64(len(in))], Hash: xxhash.Sum64(encoded)}
	if j.Domain != "" {
		entry.Shard = j.Domain
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return jobEntry{}, false, err
	}
	key := "job/" + j.ID
	_, err = d.store.CompareAndSwap(ctx, key, value, 0, 0)
	if err == nil {
		return entry, false, nil
	}
	found, readErr := d.store.Get(ctx, key)
	if readErr != nil {
		return jobEntry{}, false, err
	}
	return entry, true, errors.Wrap(json.Unmarshal(found.Value, &entry), "decode")
}

// CancelJob implements messenger.Operator.
func (d *Server) CancelJob(ctx context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	found, err := d.store.Get(storeclient.WithClass(ctx, storeclient.ClassRead), "job/"+r.JobId)
	if err != nil {
		return nil, operatorError(err)
	}
	var entry jobEntry
	if err := json.Unmarshal(found.Value, &entry); err != nil {
		return nil, operatorError(err)
	}
	addr := d.ownerAddress(entry.Shard)
	if addr == "" {
		return nil, twirp.NewError(twirp.Unavailable, "no owner known for shard "+entry.Shard)
	}
	return d.dial(addr).Cancel(ctx, &messenger.CancelRequest{JobId: r.JobId, Shard: entry.Shard})
}

// Status implements messenger.Operator.
func (d *Server) Status(ctx context.Context, r *messenger.InspectRequest) (*messenger.StatusResponse, error) {
	response := &messenger.StatusResponse{Daemon: d.settings.ID, Members: d.gossip.View()}
	config, _ := d.config.Current()
	if config == nil {
		return response, nil
	}
	response.ConfigRevision = config.Revision
	for _, domain := range config.Domains {
		addr := d.ownerAddress(domain)
		if addr == "" || (r.Shard != "" && r.Shard != domain) {
			continue
		}
		if report, err := d.dial(addr).Inspect(ctx, &messenger.InspectRequest{Shard: domain}); err == nil {
			response.Shards = append(response.Shards, report)
		}
	}
	return response, nil
}
