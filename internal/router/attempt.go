package router

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxAttempts bounds the attempts that may have reached a target.
	maxAttempts = 3
	// maxRefusals bounds the targets that are asked for a slot in vain.
	maxRefusals = 16
)

// send gets a response of a target into response, or says what became of the
// request. A nil result means that the response is the target's.
func (f *flight) send(response *fasthttp.Response) *Result {
	var avoid *target
	refusals := 0
	for {
		t, err := f.service.acquire(f, avoid)
		if err != nil {
			return f.undone(err)
		}
		kind, err := f.attempt(t, response)
		if kind == answered {
			return nil
		}
		avoid = t
		switch kind {
		case refused, leaving:
			if refusals++; refusals >= maxRefusals {
				return f.undone(errors.New("every target asked has refused admission"))
			}
		default:
			f.attempts++
			if kind == lost && !f.idempotent || f.attempts >= maxAttempts || !time.Now().Before(f.deadline) {
				return f.undone(err)
			}
			if !f.router.budget.take() {
				f.service.metrics.budgetDenied.Inc()
				return f.undone(errors.Wrap(err, "retry budget is used up"))
			}
			f.service.metrics.retries.Inc()
		}
	}
}

// undone is the result of a request without a response of a target.
func (f *flight) undone(err error) *Result {
	if f.mayHaveRun {
		return &Result{Result: OutcomeUnknown, Reason: err.Error()}
	}
	result := &Result{Result: NotRun, Reason: err.Error(), RetryAfterMS: 100}
	var full *queueError
	if errors.As(err, &full) {
		result.RetryAfterMS = full.retryAfter.Milliseconds()
	}
	return result
}

// attempt sends the request to t, whose slot the flight holds, and releases
// the slot.
func (f *flight) attempt(t *target, response *fasthttp.Response) (exchangeKind, error) {
	kind, err := f.exchange(t, response)
	if kind == lost {
		f.mayHaveRun = true
	}
	return kind, err
}

func (f *flight) exchange(t *target, response *fasthttp.Response) (kind exchangeKind, err error) {
	defer t.release()
	span := f.span.Child("attempt")
	defer func() {
		f.service.metrics.attempts[kind].Inc()
		span.End(kindNames[kind])
	}()
	begun := time.Now()
	if !begun.Before(f.deadline) {
		return notSent, &queueError{"deadline passed before the request was sent", 0}
	}
	c, err := t.pool.get(f.deadline)
	if err != nil {
		if !errors.Is(err, errNoConnection) {
			t.failed(f.router.now())
		}
		return notSent, err
	}
	if c.busy.Swap(true) {
		f.router.violated("one_request_per_connection", "two requests on a connection to "+t.addr)
	}
	f.buffer = encodeAttempt(f.buffer, f.head, f.body, t.addr, span.Traceparent(), f.deadline.Sub(begun))
	kind, isReusable, err := f.race(t, c, response)
	now := time.Now()
	c.busy.Store(false)
	if isReusable {
		t.pool.put(c, now)
	} else {
		t.pool.close(c)
	}
	f.learn(t, kind, now.Sub(begun))
	return kind, err
}

// race exchanges the request on c, and on a connection to a second target if
// the request is hedged.
func (f *flight) race(t *target, c *conn, response *fasthttp.Response) (exchangeKind, bool, error) {
	if err := c.net.SetDeadline(f.deadline); err != nil {
		return notSent, false, errors.Wrap(err, "set deadline")
	}
	delay := f.hedgeDelay()
	if delay == 0 {
		return c.exchange(f.buffer, response, f.id, f.isHead)
	}
	f.arm(t, c, delay)
	kind, isReusable, err := c.exchange(f.buffer, response, f.id, f.isHead)
	won, isSent := f.disarm()
	if isSent {
		f.mayHaveRun = true
	}
	if won == nil {
		return kind, isReusable, err
	}
	defer fasthttp.ReleaseResponse(won)
	// An interrupt may hit the connection after its response was read.
	isReusable = false
	if kind != answered {
		won.CopyTo(response)
		kind, err = answered, nil
	}
	return kind, isReusable, err
}

// learn keeps what an attempt tells about its target.
func (f *flight) learn(t *target, kind exchangeKind, took time.Duration) {
	now := f.router.now()
	switch kind {
	case answered:
		t.succeeded(took, now)
	case refused:
		t.shareAfter.Store(now + int64(shareBackoff))
		t.spareAfter.Store(now + int64(spareBackoff))
	case leaving:
		t.isLeaving.Store(true)
	case lost:
		// The target may be slow or gone. A slow one counts by its latency, so
		// that it is chosen less often.
		t.latency.observe(took, now)
	}
}

// check asserts that a response is the one to this request.
func (f *flight) check(response *fasthttp.Response) {
	if !bytes.Equal(response.Header.Peek(RequestIDHeader), f.id) {
		f.router.violated("own_response", "response to another request than "+string(f.id))
	}
}
