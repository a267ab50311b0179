package worker

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
)

// Handle serves the worker's API.
func (w *Worker) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/renew":
		call(ctx, w.Renew)
	case "/v1/start":
		call(ctx, plain(w.Start))
	case "/v1/stop":
		call(ctx, plain(w.Stop))
	case "/v1/checkpoint":
		call(ctx, plain(w.Checkpoint))
	case "/v1/throttle":
		call(ctx, plain(w.Throttle))
	case "/v1/record":
		call(ctx, func(struct{}) ([]Attempt, error) { return w.Recorded(), nil })
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func plain[T any](f func(T) error) func(T) (struct{}, error) {
	return func(r T) (struct{}, error) { return struct{}{}, f(r) }
}

func call[T, U any](ctx *fasthttp.RequestCtx, f func(T) (U, error)) {
	var request T
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil && len(ctx.PostBody()) > 0 {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	response, err := f(request)
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
	body, err := json.Marshal(response)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}
