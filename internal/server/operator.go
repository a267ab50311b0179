package server

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/configurer"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
)

// GetConfig implements messenger.Operator.
func (d *Server) GetConfig(ctx context.Context, r *messenger.FetchConfigRequest) (*messenger.ConfigDocument, error) {
	return d.FetchConfig(ctx, r)
}

// ChangeConfig implements messenger.Operator.
func (d *Server) ChangeConfig(ctx context.Context, r *messenger.ChangeConfigRequest) (*messenger.ChangeConfigResponse, error) {
	summary, edit, err := decodeChange(r)
	if err != nil {
		return nil, operatorError(err)
	}
	revision, err := d.config.Propose(ctx, configurer.Change{ID: r.ChangeId, Operator: r.Operator, Expected: r.ExpectedRevision, Summary: summary, Edit: edit})
	if err != nil {
		return nil, operatorError(err)
	}
	return &messenger.ChangeConfigResponse{Revision: revision}, nil
}

// decodeChange returns the edit that a request asks for, and its summary.
// Requests with different content have different summaries.
func decodeChange(r *messenger.ChangeConfigRequest) (summary string, edit func(*declarer.Config) error, err error) {
	switch ch := r.Change.(type) {
	case *messenger.ChangeConfigRequest_Preset:
		return "preset " + ch.Preset, func(c *declarer.Config) error {
			c.Preset = declarer.Preset(ch.Preset)
			return nil
		}, nil
	case *messenger.ChangeConfigRequest_TakeOut:
		return "take out " + ch.TakeOut, func(c *declarer.Config) error { return takeOut(c, ch.TakeOut) }, nil
	case *messenger.ChangeConfigRequest_BringBack:
		return "bring back " + ch.BringBack, func(c *declarer.Config) error { return bringBack(c, ch.BringBack) }, nil
	case *messenger.ChangeConfigRequest_Declare:
		w, err := declarer.Parse(ch.Declare)
		if err != nil {
			return "", nil, err
		}
		summary := fmt.Sprintf("declare work of %s (%016x)", w.User, xxhash.Sum64(ch.Declare))
		return summary, func(c *declarer.Config) error { return declare(c, w) }, nil
	}
	return "", nil, invalidField("change", "missing, want preset, take_out, bring_back or declare")
}

// invalidField returns the error of a change with one invalid field.
func invalidField(field, format string, args ...any) error {
	return &declarer.InvalidError{Document: "change", Problems: []*declarer.FieldError{{Field: field, Problem: fmt.Sprintf(format, args...)}}}
}

// takeOut takes a failure domain out of service.
func takeOut(c *declarer.Config, domain string) error {
	switch {
	case !slices.Contains(c.Domains, domain):
		return invalidField("take_out", "unknown failure domain %q; known are %v", domain, c.Domains)
	case !c.IsOut(domain):
		c.DomainsOut = slices.Sorted(slices.Values(append(slices.Clone(c.DomainsOut), domain)))
	}
	return nil
}

// bringBack puts a failure domain back into service.
func bringBack(c *declarer.Config, domain string) error {
	if !slices.Contains(c.Domains, domain) {
		return invalidField("bring_back", "unknown failure domain %q; known are %v", domain, c.Domains)
	}
	c.DomainsOut = slices.DeleteFunc(slices.Clone(c.DomainsOut), func(out string) bool { return out == domain })
	return nil
}

// declare replaces the declared work. A failure domain can only be removed
// after it was taken out of service, so that a line left out of a file by
// mistake does not empty a domain.
func declare(c *declarer.Config, w declarer.Workload) error {
	var domains []string
	for _, domain := range w.Platform.Domains {
		domains = append(domains, domain.Name)
	}
	slices.Sort(domains)
	for _, domain := range c.DomainsIn() {
		if !slices.Contains(domains, domain) {
			return invalidField("platform.domains", "failure domain %q is missing and in service; take it out first", domain)
		}
	}
	c.DomainsOut = slices.DeleteFunc(slices.Clone(c.DomainsOut), func(out string) bool { return !slices.Contains(domains, out) })
	c.Domains, c.Worker, c.Teams, c.Services, c.Watchers = domains, w.Platform.Worker, w.Teams, w.Services, w.Watchers
	return nil
}

// Status implements messenger.Operator.
func (d *Server) Status(ctx context.Context, r *messenger.InspectRequest) (*messenger.StatusResponse, error) {
	response := &messenger.StatusResponse{Daemon: d.settings.ID, Unanswered: map[string]string{}}
	for _, s := range d.gossip.Statuses() {
		response.Members = append(response.Members, s.Member)
		if s.Suspected {
			response.Suspected = append(response.Suspected, s.Member.Id)
		}
	}
	if err := checkKind(r.Kind, r.Id); err != nil {
		return nil, operatorError(err)
	}
	config, _ := d.config.Current()
	if config == nil {
		return response, nil
	}
	response.ConfigRevision = config.Revision
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, domain := range config.Domains {
		if r.Shard != "" && r.Shard != domain {
			continue
		}
		calls.Go(func() {
			report, err := d.inspectShard(ctx, domain, r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				response.Unanswered[domain] = err.Error()
				return
			}
			response.Shards = append(response.Shards, report)
		})
	}
	calls.Wait()
	slices.SortFunc(response.Shards, func(a, b *messenger.InspectResponse) int { return cmp.Compare(a.Shard, b.Shard) })
	return response, nil
}

// inspectShard asks a shard's owner for its report.
func (d *Server) inspectShard(ctx context.Context, shard string, r *messenger.InspectRequest) (*messenger.InspectResponse, error) {
	addr := d.ownerAddress(shard)
	if addr == "" {
		return nil, errors.New("no owner known")
	}
	return d.dial(addr).Inspect(ctx, &messenger.InspectRequest{Shard: shard, Kind: r.Kind, Id: r.Id})
}
