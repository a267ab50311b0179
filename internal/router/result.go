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

const (
	bodyTooLarge = "body: larger than the limit"
	// refusedRetryMS is the delay after which a refused client may repeat a request.
	refusedRetryMS = 1000
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
		r.status, r.Reason = fasthttp.StatusRequestEntityTooLarge, bodyTooLarge
	case errorsAs(err, &smallBuffer):
		r.status, r.Reason = fasthttp.StatusRequestHeaderFieldsTooLarge, "headers: larger than the limit"
	}
	writeUnrouted(ctx, r)
}

// WriteRefusal responds to a request that was refused for a limit before it was routed.
func WriteRefusal(ctx *fasthttp.RequestCtx, status int, message string) {
	r := Result{Result: BadRequest, Reason: message, status: status}
	switch status {
	case fasthttp.StatusServiceUnavailable:
		r.Result, r.RetryAfterMS = NotRun, refusedRetryMS
	case fasthttp.StatusRequestEntityTooLarge:
		r.Reason = bodyTooLarge
	}
	writeUnrouted(ctx, r)
}

// NoRoomBody returns the body of the response to a connection that is refused because all
// others wait for responses.
func NoRoomBody() string {
	body, err := json.Marshal(Result{Result: NotRun, Reason: "all connections wait for responses", RetryAfterMS: refusedRetryMS})
	if err != nil {
		return ""
	}
	return string(body)
}

// writeUnrouted writes the result of a request that was not routed.
func writeUnrouted(ctx *fasthttp.RequestCtx, r Result) {
	if id := ctx.Request.Header.Peek(RequestIDHeader); isID(id) {
		r.RequestID = string(id)
	} else {
		r.RequestID = newID()
	}
	writeResult(ctx, r)
}
