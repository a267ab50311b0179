package server

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/twitchtv/twirp"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

func (d *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messenger.PeerPathPrefix, messenger.NewPeerServer(d))
	mux.Handle(messenger.OperatorPathPrefix, messenger.NewOperatorServer(d))
	mux.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{Registry: d.registry}))
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", d.serveReadiness)
	return mux
}

func (d *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if reason := d.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}

// notReadyReason returns why the load balancer should not send requests to this
// daemon, "" if it should.
func (d *Server) notReadyReason() string {
	config, _ := d.config.Current()
	switch {
	case d.stopping.Load():
		return "stopping"
	case config == nil:
		return "no configuration: neither the store nor a peer has given one"
	}
	return ""
}

// routingMembers returns the ids of the daemons that share the slots of the
// targets: the members that are not leaving.
func (d *Server) routingMembers() []string {
	var ids []string
	for _, m := range d.gossip.View() {
		if !m.Leaving {
			ids = append(ids, m.Id)
		}
	}
	return ids
}

// updateRouter passes the routing tables of the owned shards and the membership
// to this daemon's router until ctx ends.
func (d *Server) updateRouter(ctx context.Context) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		for _, shard := range d.controller.Owned() {
			if table := d.controller.Routes(shard); table != nil {
				d.router.Update(table)
			}
		}
		d.router.SetMembers(d.routingMembers())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Exchange implements messenger.Peer.
func (d *Server) Exchange(_ context.Context, g *messenger.Digest) (*messenger.Digest, error) {
	return d.gossip.Answer(g), nil
}

// FetchConfig implements messenger.Peer.
func (d *Server) FetchConfig(_ context.Context, r *messenger.FetchConfigRequest) (*messenger.ConfigDocument, error) {
	revision, head, work := d.config.Encode(r.WorkHash)
	return &messenger.ConfigDocument{Revision: revision, Head: head, Work: work}, nil
}

// FetchRoutes implements messenger.Peer.
func (d *Server) FetchRoutes(_ context.Context, r *messenger.FetchRoutesRequest) (*messenger.RoutingTable, error) {
	if t := d.controller.Routes(r.Shard); t != nil {
		return t, nil
	}
	return nil, twirp.NotFoundError("this daemon does not own shard " + r.Shard)
}

// Submit implements messenger.Peer.
func (d *Server) Submit(ctx context.Context, r *messenger.SubmitRequest) (*messenger.SubmitResponse, error) {
	j, err := declarer.DecodeJob(r.Job)
	if err != nil {
		return nil, operatorError(err)
	}
	e := scheduler.JobSubmitted{Job: j}
	if r.ClaimedAt != 0 {
		e.Claimed = time.Unix(r.ClaimedAt, 0)
	}
	if err := d.controller.Submit(ctx, r.Shard, e); err != nil {
		return nil, operatorError(err)
	}
	return &messenger.SubmitResponse{Shard: r.Shard}, nil
}

// Cancel implements messenger.Peer.
func (d *Server) Cancel(ctx context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	if err := d.controller.Cancel(ctx, r.Shard, scheduler.JobCancelled{JobID: r.JobId, Home: r.Home}); err != nil {
		return nil, operatorError(err)
	}
	return &messenger.CancelResponse{}, nil
}

// HandOver implements messenger.Peer.
func (d *Server) HandOver(ctx context.Context, r *messenger.HandOverRequest) (*messenger.HandOverResponse, error) {
	var t scheduler.Task
	if err := marshaler.Unmarshal(r.Task, &t); err != nil {
		return nil, twirp.InvalidArgumentError("task", err.Error())
	}
	if err := d.controller.TakeOver(ctx, r.ToShard, scheduler.TransferOffered{TransferID: r.TransferId, Task: t}); err != nil {
		return nil, operatorError(err)
	}
	return &messenger.HandOverResponse{Accepted: true}, nil
}

// Report implements messenger.Peer.
func (d *Server) Report(ctx context.Context, r *messenger.ShardReport) (*messenger.ShardReportResponse, error) {
	if err := d.controller.DeliverReport(ctx, r); err != nil {
		return nil, operatorError(err)
	}
	return &messenger.ShardReportResponse{}, nil
}

// Inspect implements messenger.Peer.
func (d *Server) Inspect(ctx context.Context, r *messenger.InspectRequest) (*messenger.InspectResponse, error) {
	var report []byte
	err := checkKind(r.Kind, r.Id)
	switch {
	case err != nil:
	case r.Kind == "":
		report, err = d.controller.Inspect(ctx, r.Shard)
	default:
		report, err = d.explain(ctx, r)
	}
	if err != nil {
		return nil, operatorError(err)
	}
	return &messenger.InspectResponse{Shard: r.Shard, Epoch: d.controller.Epoch(r.Shard), Report: report}, nil
}
