package worker

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
)

// Handle serves the HTTP API of the worker.
func (w *Worker) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/renew":
		handleCall(ctx, w.Renew)
	case "/v1/start":
		handleCall(ctx, withoutResult(w.Start))
	case "/v1/stop":
		handleCall(ctx, withoutResult(w.Stop))
	case "/v1/checkpoint":
		handleCall(ctx, withoutResult(w.Checkpoint))
	case "/v1/throttle":
		handleCall(ctx, withoutResult(w.Throttle))
	case "/v1/record":
		handleCall(ctx, func(struct{}) ([]Attempt, error) { return w.Recorded(), nil })
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// withoutResult adapts a call that returns only an error to handleCall.
func withoutResult[T any](f func(T) error) func(T) (struct{}, error) {
	return func(r T) (struct{}, error) { return struct{}{}, f(r) }
}

// handleCall decodes the JSON body of the request, calls f and encodes its result.
// It answers a RefusedError with status 409 and, if the command had a lower
// epoch, the epoch of the worker in a header, and an OtherProcessError with
// status 421 and the worker's process.
func handleCall[T, U any](ctx *fasthttp.RequestCtx, f func(T) (U, error)) {
	var request T
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil && len(ctx.PostBody()) > 0 {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	response, err := f(request)
	var other *OtherProcessError
	if errors.As(err, &other) {
		writeJSON(ctx, fasthttp.StatusMisdirectedRequest, other.Process)
		return
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		ctx.Error(refused.Reason, fasthttp.StatusConflict)
		if refused.Epoch > 0 {
			ctx.Response.Header.Set(dispatcher.EpochHeader, strconv.FormatUint(refused.Epoch, 10))
		}
		return
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, response)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}
