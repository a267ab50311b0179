package router

import (
	"bufio"
	"bytes"
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/claimer"
)

// maxKeptBytes bounds the body of a response that is stored with the outcome
// of an idempotency key.
const maxKeptBytes = 64 << 10

// sendOnce sends a request with an idempotency key at most once across all
// daemons. Repeated requests get the outcome of the first.
func (r *Router) sendOnce(p *pendingRequest, response *fasthttp.Response) *Result {
	if r.options.Claimer == nil {
		return &Result{Result: NotRun, Reason: "idempotency keys are not available"}
	}
	// A request that can't get a slot in time needs no claim.
	if err := p.service.precheck(p); err != nil {
		return p.errorResult(err)
	}
	ctx, cancel := context.WithDeadline(context.Background(), p.deadline)
	defer cancel()
	span := p.span.Child("claim")
	claim, outcome, err := r.options.Claimer.Claim(ctx, p.service.name, string(p.key), p.fingerprint())
	span.End("")
	if err != nil {
		return claimErrorResult(err)
	}
	if outcome != nil {
		return p.replay(outcome, response)
	}
	result := p.send(response)
	if result == nil {
		result = targetFailure(response)
	}
	if result != nil && result.Result == NotRun {
		claim.Release(ctx)
		return result
	}
	claim.Complete(ctx, p.claimOutcome(result, response))
	return result
}

// fingerprint returns a hash of the request line and the body, which shows
// whether a key is reused for another request.
func (p *pendingRequest) fingerprint() uint64 {
	line, _, _ := bytes.Cut(p.head, []byte("\r\n"))
	d := xxhash.New()
	_, _ = d.Write(line)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(p.body)
	return d.Sum64()
}

func claimErrorResult(err error) *Result {
	var mismatch *claimer.MismatchError
	var undecided *claimer.UndecidedError
	switch {
	case errors.As(err, &mismatch):
		return &Result{Result: BadRequest, Reason: IdempotencyKeyHeader + ": was used for another request"}
	case errors.As(err, &undecided):
		return &Result{Result: OutcomeUnknown, Reason: err.Error(), RetryAfterMS: 1000}
	}
	return &Result{Result: NotRun, Reason: err.Error(), RetryAfterMS: 1000}
}

// claimOutcome returns the outcome to store for a request that ran or may have
// run.
func (p *pendingRequest) claimOutcome(result *Result, response *fasthttp.Response) claimer.Outcome {
	if result != nil && result.Result == FailedByTarget {
		return claimer.Outcome{State: claimer.Failed, Status: result.TargetStatus}
	}
	if result != nil {
		return claimer.Outcome{State: claimer.Unknown, Reason: result.Reason}
	}
	if len(response.Body()) > maxKeptBytes {
		return claimer.Outcome{State: claimer.Done}
	}
	return claimer.Outcome{State: claimer.Done, HasResponse: true, Head: bytes.Clone(response.Header.Header()), Body: bytes.Clone(response.Body())}
}

// replay answers a repeated request with the outcome o of the first request
// with its key.
func (p *pendingRequest) replay(o *claimer.Outcome, response *fasthttp.Response) *Result {
	switch {
	case o.State == claimer.Failed:
		return &Result{Result: FailedByTarget, Reason: "the target has answered the first request with this key with a failure", TargetStatus: o.Status}
	case o.State == claimer.Unknown:
		return &Result{Result: OutcomeUnknown, Reason: "the first request with this key: " + o.Reason}
	case !o.HasResponse:
		return &Result{Result: AlreadyRun, Reason: "the request has run, and its response was too large to be kept"}
	}
	response.Reset()
	response.Header.SetNoDefaultContentType(true)
	if err := response.Header.Read(bufio.NewReader(bytes.NewReader(o.Head))); err != nil {
		return &Result{Result: AlreadyRun, Reason: "the request has run, and its kept response can't be read: " + err.Error()}
	}
	response.SetBody(o.Body)
	response.Header.SetBytesV(RequestIDHeader, p.id)
	return nil
}
