// Package platformer is a stand-in for the users' platform. It serves a metadata
// store and workers over the HTTP interfaces of the real ones, and starts tarragond
// processes that use them.
package platformer

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// maxWait bounds a call to the store, such as a watch.
const maxWait = 30 * time.Second

// item is the JSON form of an entry.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func toItem(e storeclient.Entry) item {
	return item{Key: e.Key, Value: e.Value, Rev: e.Revision, Created: e.Created}
}

// transaction is the JSON form of a transaction.
type transaction struct {
	ExpectedRev []struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	} `json:"expectedRev"`
	Writes []struct {
		Key   string              `json:"key"`
		Value []byte              `json:"value"`
		Lease storeclient.LeaseID `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

// serveStore serves the HTTP interface of the store and counts the configuration's traffic.
func (p *Platform) serveStore(ctx *fasthttp.RequestCtx) {
	serveStore(p.Keeper, p.options, ctx)
	if strings.HasPrefix(string(ctx.QueryArgs().Peek("prefix")), operatorPrefix) {
		p.configCalls.Add(1)
		p.configBytes.Add(int64(len(ctx.Response.Body())))
	}
}

// serveStore serves the HTTP interface of the store.
func serveStore(k *keeper.Keeper, o Options, ctx *fasthttp.RequestCtx) {
	s := k.Store()
	callCtx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	args := ctx.QueryArgs()
	path := string(ctx.Path())
	id, isLease := parseLeasePath(path)
	switch {
	case path == "/v1/kv-key":
		e, err := s.Get(callCtx, string(args.Peek("key")))
		respond(ctx, toItem(e), err)
	case path == "/v1/kv-range":
		list, revision, err := s.Range(callCtx, string(args.Peek("prefix")))
		items := make([]item, 0, len(list))
		for _, e := range list {
			items = append(items, toItem(e))
		}
		respond(ctx, map[string]any{"items": items, "hasMore": false, "storeRevision": revision}, err)
	case path == "/v1/kv-watch":
		after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
		wait, _ := strconv.Atoi(string(args.Peek("waitMs")))
		events, revision, err := s.Watch(callCtx, string(args.Peek("prefix")), after, time.Duration(wait)*time.Millisecond)
		items := make([]item, 0, len(events))
		for _, e := range events {
			i := toItem(e.Entry)
			i.Removed = e.Removed
			items = append(items, i)
		}
		respond(ctx, map[string]any{"events": items, "storeRevision": revision}, err)
	case path == "/v1/kv-txn":
		serveTransaction(callCtx, ctx, s, o)
	case path == "/v1/kv-lease":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if !decode(ctx, &in) {
			return
		}
		lease, err := s.Grant(callCtx, time.Duration(in.TTL)*time.Millisecond)
		respond(ctx, map[string]any{"lease": lease, "ttlMs": in.TTL}, err)
	case isLease && ctx.IsPost():
		respond(ctx, struct{}{}, s.KeepAlive(callCtx, id))
	case isLease:
		respond(ctx, struct{}{}, s.Revoke(callCtx, id))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// parseLeasePath returns the lease in a path such as /v1/kv-keep/7.
func parseLeasePath(path string) (storeclient.LeaseID, bool) {
	for _, prefix := range [...]string{"/v1/kv-keep/", "/v1/kv-lease-end/"} {
		if rest, ok := strings.CutPrefix(path, prefix); ok {
			n, err := strconv.ParseUint(rest, 10, 64)
			return storeclient.LeaseID(n), err == nil
		}
	}
	return 0, false
}

func serveTransaction(callCtx context.Context, ctx *fasthttp.RequestCtx, s storeclient.PrefixStore, o Options) {
	var in transaction
	if !decode(ctx, &in) {
		return
	}
	t := storeclient.Transaction{Remove: in.Remove}
	for _, e := range in.ExpectedRev {
		t.Expect = append(t.Expect, storeclient.Expectation{Key: e.Key, Revision: e.Rev})
	}
	for _, w := range in.Writes {
		t.Writes = append(t.Writes, storeclient.Write(w))
	}
	if o.TransactionDelay != nil {
		key := ""
		if len(t.Writes) > 0 {
			key = t.Writes[0].Key
		}
		if d := o.TransactionDelay(key); d > 0 {
			// Its conditions are checked when it takes effect.
			time.AfterFunc(d, func() { _, _ = s.Transact(context.Background(), t) })
			dropResponseAfter(ctx, o.TransactionSilence)
			return
		}
	}
	revision, err := s.Transact(callCtx, t)
	var conflict *storeclient.ExpectationError
	if errors.As(err, &conflict) {
		items := make([]item, 0, len(conflict.Current))
		for _, e := range conflict.Current {
			items = append(items, toItem(e))
		}
		writeJSON(ctx, fasthttp.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	respond(ctx, map[string]any{"rev": revision}, err)
}

// decode reads the body of a request into v, or responds with an error and returns
// false.
func decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// respond writes a body, or the status of an error. For an error that stands for a
// missing response it closes the connection.
func respond(ctx *fasthttp.RequestCtx, body any, err error) {
	var notFound *storeclient.NotFoundError
	var lease *storeclient.LeaseError
	var compacted *storeclient.CompactedError
	var refused *storeclient.RefusedError
	switch {
	case err == nil:
		writeJSON(ctx, fasthttp.StatusOK, body)
	case errors.As(err, &notFound), errors.As(err, &lease):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case errors.As(err, &compacted):
		ctx.SetStatusCode(fasthttp.StatusGone)
	case errors.As(err, &refused):
		ctx.SetStatusCode(refused.Status)
	default:
		dropResponse(ctx)
	}
}

// dropResponse closes the connection without a response.
func dropResponse(ctx *fasthttp.RequestCtx) { dropResponseAfter(ctx, 0) }

// dropResponseAfter closes the connection after a silence, without a response.
func dropResponseAfter(ctx *fasthttp.RequestCtx, silence time.Duration) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		time.Sleep(silence)
		_ = c.Close()
	})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
