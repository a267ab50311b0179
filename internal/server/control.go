package server

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/twitchtv/twirp"

	"tarragonhead.example/tarragonhead/internal/configurer"
	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

func (d *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messenger.PeerPathPrefix, messenger.NewPeerServer(d))
	mux.Handle(messenger.OperatorPathPrefix, messenger.NewOperatorServer(d))
	mux.Handle("/metrics", promhttp.Handler())
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", d.ready)
	return mux
}

func (d *Server) ready(w http.ResponseWriter, _ *http.Request) {
	config, _ := d.config.Current()
	switch {
	case d.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case config == nil:
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	}
}

// completeDigest adds the versions that this daemon holds.
func (d *Server) completeDigest(g *messenger.Digest) {
	if config, _ := d.config.Current(); config != nil {
		g.ConfigRevision = config.Revision
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, shard := range d.controller.Owned() {
		if t := d.controller.Routes(shard); t != nil {
			d.owners[t.Shard] = &messenger.ShardOwner{Shard: t.Shard, Member: d.settings.ID, Epoch: t.Epoch, RoutesVersion: t.Version}
		}
	}
	for _, o := range d.owners {
		g.Owners = append(g.Owners, o)
	}
}

// receiveDigest fetches what a peer has newer.
func (d *Server) receiveDigest(g *messenger.Digest) {
	d.mu.Lock()
	for _, m := range g.Members {
		d.addresses[m.Id] = m.ControlAddr
	}
	var stale []*messenger.ShardOwner
	for _, o := range g.Owners {
		known := d.owners[o.Shard]
		if known == nil || o.Epoch > known.Epoch || (o.Epoch == known.Epoch && o.RoutesVersion > known.RoutesVersion) {
			d.owners[o.Shard] = o
		}
		epoch, version := d.router.Version(o.Shard)
		if o.Epoch > epoch || (o.Epoch == epoch && o.RoutesVersion > version) {
			stale = append(stale, o)
		}
	}
	from := d.addresses[g.From]
	d.mu.Unlock()
	for _, o := range stale {
		go d.fetchRoutes(o)
	}
	if config, _ := d.config.Current(); from != "" && g.ConfigRevision > 0 && (config == nil || config.Revision < g.ConfigRevision) {
		go d.fetchConfig(from)
	}
}

func (d *Server) fetchRoutes(o *messenger.ShardOwner) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	d.mu.Lock()
	addr := d.addresses[o.Member]
	d.mu.Unlock()
	if addr == "" {
		return
	}
	table, err := d.dial(addr).FetchRoutes(ctx, &messenger.FetchRoutesRequest{Shard: o.Shard})
	if err != nil {
		d.log.Debug().Err(err).Str("shard", o.Shard).Msg("routes: not fetched")
		return
	}
	d.router.Update(table)
}

func (d *Server) fetchConfig(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	doc, err := d.dial(addr).FetchConfig(ctx, &messenger.FetchConfigRequest{})
	if err == nil && len(doc.Document) > 0 {
		err = d.config.Adopt(doc.Document)
	}
	if err != nil {
		d.log.Debug().Err(err).Msg("config: not fetched from a peer")
	}
}

// publishRoutes gives this daemon's own router the tables of the owned shards.
func (d *Server) publishRoutes(ctx context.Context) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		for _, shard := range d.controller.Owned() {
			if table := d.controller.Routes(shard); table != nil {
				d.router.Update(table)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// ownerAddress returns the control address of a shard's owner, "" if unknown.
func (d *Server) ownerAddress(shard string) string {
	if d.controller.Epoch(shard) > 0 {
		return d.settings.control.String()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if o := d.owners[shard]; o != nil {
		return d.addresses[o.Member]
	}
	return ""
}

// ownerPeer returns the client of a shard's owner, nil if none is known.
func (d *Server) ownerPeer(shard string) messenger.Peer {
	if addr := d.ownerAddress(shard); addr != "" {
		return d.dial(addr)
	}
	return nil
}

// isPresent reports whether a daemon of a domain is known to be alive.
func (d *Server) isPresent(domain string) bool {
	for _, m := range d.gossip.View() {
		if m.Domain == domain && !m.Leaving {
			return true
		}
	}
	return false
}

// Exchange implements messenger.Peer.
func (d *Server) Exchange(_ context.Context, g *messenger.Digest) (*messenger.Digest, error) {
	d.gossip.Receive(g)
	return d.gossip.Digest(), nil
}

// FetchConfig implements messenger.Peer.
func (d *Server) FetchConfig(context.Context, *messenger.FetchConfigRequest) (*messenger.ConfigDocument, error) {
	revision, data, err := d.config.Encode()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &messenger.ConfigDocument{Revision: revision, Document: data}, nil
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
	var j declarer.BatchJob
	if err := cbor.Unmarshal(r.Job, &j); err != nil {
		return nil, twirp.InvalidArgumentError("job", err.Error())
	}
	if err := d.controller.Submit(ctx, r.Shard, j); err != nil {
		return nil, operatorError(err)
	}
	return &messenger.SubmitResponse{Shard: r.Shard}, nil
}

// Cancel implements messenger.Peer.
func (d *Server) Cancel(ctx context.Context, r *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	if err := d.controller.Cancel(ctx, r.Shard, r.JobId); err != nil {
		return nil, operatorError(err)
	}
	return &messenger.CancelResponse{}, nil
}

// HandOver implements messenger.Peer.
func (d *Server) HandOver(ctx context.Context, r *messenger.HandOverRequest) (*messenger.HandOverResponse, error) {
	var t scheduler.Task
	if err := cbor.Unmarshal(r.Task, &t); err != nil {
		return nil, twirp.InvalidArgumentError("task", err.Error())
	}
	if err := d.controller.TakeOver(ctx, r.ToShard, scheduler.TransferOffered{TransferID: r.TransferId, Task: t}); err != nil {
		return nil, operatorError(err)
	}
	return &messenger.HandOverResponse{Accepted: true}, nil
}

// Inspect implements messenger.Peer.
func (d *Server) Inspect(ctx context.Context, r *messenger.InspectRequest) (*messenger.InspectResponse, error) {
	report, err := d.controller.Inspect(ctx, r.Shard)
	if err != nil {
		return nil, operatorError(err)
	}
	return &messenger.InspectResponse{Shard: r.Shard, Epoch: d.controller.Epoch(r.Shard), Report: report}, nil
}

// operatorError gives an error the Twirp code that tells what to do about it.
func operatorError(err error) error {
	var invalid *declarer.InvalidError
	var conflict *configurer.ConflictError
	var undecided *configurer.UndecidedError
	var notOwner *controller.NotOwnerError
	var notAccepted *controller.NotAcceptedError
	var coded twirp.Error
	switch {
	case errors.As(err, &coded):
		return err
	case errors.As(err, &invalid):
		return twirp.NewError(twirp.InvalidArgument, err.Error())
	case errors.As(err, &conflict):
		return twirp.NewError(twirp.Aborted, err.Error())
	case errors.As(err, &undecided):
		return twirp.NewError(twirp.Unknown, err.Error())
	case errors.As(err, &notAccepted):
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	case errors.As(err, &notOwner):
		return twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}
