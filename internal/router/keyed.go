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

// maxKeptBytes bounds the response that is kept with the outcome of a key.
const maxKeptBytes = 64 << 10

// sendOnce sends a keyed request at most once over all daemons, and gives a
// repeat the outcome of the first.
func (r *Router) sendOnce(f *flight, response *fasthttp.Response) *Result {
	if r.options.Claimer == nil {
		return &Result{Result: NotRun, Reason: "idempotency keys are not available"}
	}
	// A request that would wait in vain needs no claim.
	if err := f.service.precheck(f); err != nil {
		return f.undone(err)
	}
	ctx, cancel := context.WithDeadline(context.Background(), f.deadline)
	defer cancel()
	span := f.span.Child("claim")
	claim, outcome, err := r.options.Claimer.Claim(ctx, f.service.name, string(f.key), f.fingerprint())
	span.End("")
	if err != nil {
		return claimResult(err)
	}
	if outcome != nil {
		return f.replay(outcome, response)
	}
	result := f.send(response)
	if result == nil {
		result = failure(response)
	}
	if result != nil && result.Result == NotRun {
		claim.Release(ctx)
		return result
	}
	claim.Complete(ctx, f.outcome(result, response))
	return result
}

// fingerprint tells whether a key is used again for the same request.
func (f *flight) fingerprint() uint64 {
	line, _, _ := bytes.Cut(f.head, []byte("\r\n"))
	d := xxhash.New()
	_, _ = d.Write(line)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(f.body)
	return d.Sum64()
}

func claimResult(err error) *Result {
	var other *claimer.MismatchError
	var undecided *claimer.UndecidedError
	switch {
	case errors.As(err, &other):
		return &Result{Result: BadRequest, Reason: IdempotencyKeyHeader + ": was used for another request"}
	case errors.As(err, &undecided):
		return &Result{Result: OutcomeUnknown, Reason: err.Error(), RetryAfterMS: 1000}
	}
	return &Result{Result: NotRun, Reason: err.Error(), RetryAfterMS: 1000}
}

// outcome is what is kept of a request that ran or may have run.
func (f *flight) outcome(result *Result, response *fasthttp.Response) claimer.Outcome {
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

// replay gives a repeat the outcome of the first request with its key.
func (f *flight) replay(o *claimer.Outcome, response *fasthttp.Response) *Result {
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
	response.Header.SetBytesV(RequestIDHeader, f.id)
	return nil
}
