// Package dispatcher is the client of the platform's workers and of its list of
// instances.
package dispatcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Worker has the calls to a worker of the platform. Each function is safe for
// concurrent use; errors are a RefusedError, an OtherProcessError or an
// UnreachableError.
type Worker struct {
	Renew      func(ctx context.Context, r RenewRequest) (Status, error)
	Start      func(ctx context.Context, r StartRequest) error
	Stop       func(ctx context.Context, r AttemptRequest) error
	Checkpoint func(ctx context.Context, r AttemptRequest) error
	Throttle   func(ctx context.Context, r AttemptRequest) error
}

// RefusedError reports a command that the worker did not carry out.
type RefusedError struct {
	Worker netip.AddrPort
	Reason string
	// Epoch is the worker's epoch if it refused a lower one, otherwise zero.
	Epoch uint64
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s refused: %s", e.Worker, e.Reason)
}

// OtherProcessError reports a request that was refused because another process
// than the one it is meant for has received it. Nothing was done.
type OtherProcessError struct {
	Addr netip.AddrPort
	// Process is the process that has refused the request.
	Process Process
}

func (e *OtherProcessError) Error() string {
	return fmt.Sprintf("process %s of worker %s has the address %s", e.Process.Incarnation, e.Process.Worker, e.Addr)
}

// UnreachableError reports a command without a valid answer; it may have been
// carried out.
type UnreachableError struct {
	Worker netip.AddrPort
	Err    error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("worker %s: no answer: %v", e.Worker, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// callTimeout bounds a call whose context has no earlier deadline.
const callTimeout = time.Second

// Caller makes HTTP calls with JSON bodies to the platform.
type Caller struct{ client *fasthttp.Client }

// NewCaller returns a caller with its own connections.
func NewCaller() *Caller {
	return &Caller{client: &fasthttp.Client{MaxConnsPerHost: 8, MaxIdemponentCallAttempts: 1}}
}

// Worker returns the calls to the worker at addr.
func (c *Caller) Worker(addr netip.AddrPort) Worker {
	return Worker{
		Renew: func(ctx context.Context, r RenewRequest) (Status, error) {
			var s Status
			err := c.post(ctx, addr, "/v1/renew", r, &s)
			return s, err
		},
		Start: func(ctx context.Context, r StartRequest) error { return c.post(ctx, addr, "/v1/start", r, nil) },
		Stop:  func(ctx context.Context, r AttemptRequest) error { return c.post(ctx, addr, "/v1/stop", r, nil) },
		Checkpoint: func(ctx context.Context, r AttemptRequest) error {
			return c.post(ctx, addr, "/v1/checkpoint", r, nil)
		},
		Throttle: func(ctx context.Context, r AttemptRequest) error { return c.post(ctx, addr, "/v1/throttle", r, nil) },
	}
}

// Instances returns the platform's list of instances.
func (c *Caller) Instances(ctx context.Context, platform netip.AddrPort) ([]Instance, error) {
	var list []Instance
	err := c.call(ctx, platform, "GET", "/v1/instances", nil, &list)
	return list, err
}

func (c *Caller) post(ctx context.Context, addr netip.AddrPort, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return c.call(ctx, addr, "POST", path, body, response)
}

func (c *Caller) call(ctx context.Context, addr netip.AddrPort, method, path string, body []byte, result any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + addr.String() + path)
	request.Header.SetMethod(method)
	request.SetBodyRaw(body)
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.client.DoDeadline(request, response, deadline); err != nil {
		return &UnreachableError{addr, err}
	}
	switch status := response.StatusCode(); {
	case status == fasthttp.StatusConflict:
		epoch, _ := strconv.ParseUint(string(response.Header.Peek(EpochHeader)), 10, 64)
		return &RefusedError{addr, string(response.Body()), epoch}
	case status == fasthttp.StatusMisdirectedRequest:
		other := &OtherProcessError{Addr: addr}
		if err := json.Unmarshal(response.Body(), &other.Process); err != nil {
			return &UnreachableError{addr, errors.Wrap(err, "decode process")}
		}
		return other
	case status != fasthttp.StatusOK:
		return &UnreachableError{addr, errors.Errorf("status %d: %s", status, response.Body())}
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return &UnreachableError{addr, errors.Wrap(err, "decode response")}
	}
	return nil
}
