package storekeeper

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// Handle serves the store over HTTP.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, "/v1/kv/"):
		s.handleKey(ctx, strings.TrimPrefix(path, "/v1/kv/"))
	case strings.HasPrefix(path, "/v1/watch/"):
		wait := time.Duration(number(ctx, "wait_ms")) * time.Millisecond
		e, ok := s.wait(strings.TrimPrefix(path, "/v1/watch/"), number(ctx, "after"), wait)
		respond(ctx, e, ok, fasthttp.StatusNotModified)
	case path == "/v1/lease":
		ttl := time.Duration(number(ctx, "ttl_ms")) * time.Millisecond
		ctx.SetBodyString(strconv.FormatUint(s.grant(ttl), 10))
	case strings.HasPrefix(path, "/v1/lease/"):
		s.handleLease(ctx, strings.TrimPrefix(path, "/v1/lease/"))
	case path == "/v1/instances" && ctx.IsPost():
		var in dispatcher.Instance
		if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.register(in)
	case path == "/v1/instances":
		writeJSON(ctx, s.list())
	case path == "/v1/calls":
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(ctx, s.calls)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func number(ctx *fasthttp.RequestCtx, name string) uint64 {
	n, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek(name)), 10, 64)
	return n
}

func respond(ctx *fasthttp.RequestCtx, e entry, ok bool, otherwise int) {
	if !ok {
		ctx.SetStatusCode(otherwise)
		return
	}
	ctx.Response.Header.Set(storeclient.RevisionHeader, strconv.FormatUint(e.revision, 10))
	ctx.SetBody(e.value)
}

func (s *Store) handleKey(ctx *fasthttp.RequestCtx, key string) {
	if ctx.IsGet() {
		e, ok := s.get(key)
		respond(ctx, e, ok, fasthttp.StatusNotFound)
		return
	}
	value := append([]byte(nil), ctx.PostBody()...)
	if len(value) > storeclient.MaxValueBytes {
		ctx.Error("value too large", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	result, revision := s.compareAndSwap(key, value, number(ctx, "expected"), number(ctx, "lease"))
	ctx.Response.Header.Set(storeclient.RevisionHeader, strconv.FormatUint(revision, 10))
	switch result {
	case swapConflict:
		ctx.SetStatusCode(fasthttp.StatusConflict)
	case swapLeaseEnded:
		ctx.SetStatusCode(fasthttp.StatusGone)
	}
}

func (s *Store) handleLease(ctx *fasthttp.RequestCtx, name string) {
	id, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if ctx.IsDelete() {
		s.revoke(id)
		return
	}
	if !s.keepAlive(id) {
		ctx.SetStatusCode(fasthttp.StatusGone)
	}
}
