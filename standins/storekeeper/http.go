package storekeeper

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// Handle serves the store over HTTP. Injected faults affect every call except those
// to /v1/faults, /v1/calls and /v1/leaving.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/faults" && ctx.IsDelete():
		s.ClearFaults()
		return
	case path == "/v1/faults":
		decode(ctx, s.AddFault)
		return
	case path == "/v1/leaving":
		decode(ctx, func(in dispatcher.Instance) { s.SetLeaving(in.ID, in.Leaving) })
		return
	case path == "/v1/calls":
		writeJSON(ctx, s.Calls())
		return
	}
	op, key := operation(ctx, path)
	if op == "" {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	class := string(ctx.Request.Header.Peek(storeclient.ClassHeader))
	if !s.perform(class, op, key, func() { s.serve(ctx, op, key) }) {
		ctx.Response.Reset()
		ctx.Error("injected fault", fasthttp.StatusServiceUnavailable)
	}
}

// operation returns the operation and the key of a request. The operation is empty
// for an unknown path.
func operation(ctx *fasthttp.RequestCtx, path string) (string, string) {
	name, key, _ := strings.Cut(strings.TrimPrefix(path, "/v1/"), "/")
	switch {
	case name == "kv" && ctx.IsGet():
		return "get", key
	case name == "kv":
		return "compare_and_swap", key
	case name == "watch":
		return "watch", key
	case name == "lease" && key == "":
		return "grant", ""
	case name == "lease" && ctx.IsDelete():
		return "revoke", key
	case name == "lease":
		return "keep_alive", key
	case name == "instances" && ctx.IsPost():
		return "register", ""
	case name == "instances":
		return "instances", ""
	}
	return "", ""
}

func (s *Store) serve(ctx *fasthttp.RequestCtx, op, key string) {
	switch op {
	case "get", "compare_and_swap":
		s.handleKey(ctx, key)
	case "watch":
		wait := time.Duration(queryNumber(ctx, "wait_ms")) * time.Millisecond
		e, ok := s.wait(context.Background(), key, queryNumber(ctx, "after"), wait)
		respond(ctx, e, ok, fasthttp.StatusNotModified)
	case "grant":
		ttl := time.Duration(queryNumber(ctx, "ttl_ms")) * time.Millisecond
		ctx.SetBodyString(strconv.FormatUint(s.grant(ttl), 10))
	case "keep_alive", "revoke":
		s.handleLease(ctx, key)
	case "register":
		decode(ctx, s.Register)
	case "instances":
		writeJSON(ctx, s.Instances())
	}
}

func decode[T any](ctx *fasthttp.RequestCtx, f func(T)) {
	var v T
	if err := json.Unmarshal(ctx.PostBody(), &v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	f(v)
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

func queryNumber(ctx *fasthttp.RequestCtx, name string) uint64 {
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
	result, revision := s.compareAndSwap(key, value, queryNumber(ctx, "expected"), queryNumber(ctx, "lease"))
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
