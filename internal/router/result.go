package router

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// The headers of a request and its response. The values of the headers that end
// in Ms are integers in milliseconds. TimeoutHeader is how long the caller waits
// for a response; DeadlineHeader, which targets get, is what remains of that time
// when an attempt is sent. RunnerTaskHeader, which targets get too, names the task
// of the runner that the request is meant for: another runner may have the address
// by now, and refuses the request like one that is leaving.
const (
	RequestIDHeader      = "Request-Id"
	DeadlineHeader       = "Deadline-Ms"
	RunnerTaskHeader     = "Runner-Task"
	TimeoutHeader        = "Request-Timeout-Ms"
	ClassHeader          = "Request-Class"
	IdempotencyKeyHeader = "Idempotency-Key"
	AdmissionHeader      = "Admission"
	TraceparentHeader    = "Traceparent"
)

// The values of AdmissionHeader, by which a target reports that it did not run
// a request.
const (
	AdmissionRefused = "refused"
	AdmissionLeaving = "leaving"
)

// Result is the JSON body of a response that the router makes itself instead of
// forwarding the response of a target.
type Result struct {
	Result       string `json:"result"`
	Reason       string `json:"reason"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	TargetStatus int    `json:"target_status,omitempty"`

	// status overrides the HTTP status that statusOfResult has for Result.
	status int
}

// The values of Result.Result.
const (
	NotRun         = "not_run"
	OutcomeUnknown = "outcome_unknown"
	FailedByTarget = "failed_by_target"
	AlreadyRun     = "already_run"
	BadRequest     = "bad_request"
)

var statusOfResult = map[string]int{
	NotRun:         fasthttp.StatusServiceUnavailable,
	OutcomeUnknown: fasthttp.StatusGatewayTimeout,
	FailedByTarget: fasthttp.StatusBadGateway,
	AlreadyRun:     fasthttp.StatusConflict,
	BadRequest:     fasthttp.StatusBadRequest,
}

func writeResult(ctx *fasthttp.RequestCtx, r Result) {
	status := r.status
	if status == 0 {
		status = statusOfResult[r.Result]
	}
	body, err := json.Marshal(r)
	if err != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.Response.Reset()
	ctx.Response.SkipBody = ctx.Request.Header.IsHead()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(RequestIDHeader, r.RequestID)
	ctx.SetBody(body)
}

// HandleError responds to a request that the HTTP server could not read.
func HandleError(ctx *fasthttp.RequestCtx, err error) {
	r := Result{Result: BadRequest, Reason: "request: " + err.Error()}
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case err == fasthttp.ErrBodyTooLarge:
		r.status, r.Reason = fasthttp.StatusRequestEntityTooLarge, "body: larger than the limit"
	case errorsAs(err, &smallBuffer):
		r.status, r.Reason = fasthttp.StatusRequestHeaderFieldsTooLarge, "headers: larger than the limit"
	}
	if id := ctx.Request.Header.Peek(RequestIDHeader); isID(id) {
		r.RequestID = string(id)
	} else {
		r.RequestID = newID()
	}
	writeResult(ctx, r)
}
