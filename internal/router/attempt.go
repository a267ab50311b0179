package router

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxAttempts bounds the attempts for one request. Attempts that a target
	// refused don't count.
	maxAttempts = 3
	// maxRefusals bounds the attempts for one request that targets refuse.
	maxRefusals = 16
)

// send sends the request to a target, with retries, and reads the target's
// response into response. It returns nil if response holds the target's
// response, and otherwise the result to send to the caller.
func (p *pendingRequest) send(response *fasthttp.Response) *Result {
	var avoid *target
	refusals := 0
	for {
		t, err := p.service.acquire(p, avoid)
		if err != nil {
			return p.errorResult(err)
		}
		outcome, err := p.attempt(t, response)
		if outcome == answered {
			return nil
		}
		avoid = t
		switch outcome {
		case refused, leaving:
			if refusals++; refusals >= maxRefusals {
				return p.errorResult(errors.New("targets refused admission too many times"))
			}
		default:
			p.attempts++
			if outcome == lost && !p.isIdempotent || p.attempts >= maxAttempts || !time.Now().Before(p.deadline) {
				return p.errorResult(err)
			}
			if !p.router.budget.tryWithdraw() {
				p.service.metrics.budgetDenied.Inc()
				return p.errorResult(errors.Wrap(err, "retry budget is exhausted"))
			}
			p.service.metrics.retries.Inc()
		}
	}
}

// errorResult returns the result for a request that got no response from a
// target because of err.
func (p *pendingRequest) errorResult(err error) *Result {
	if p.mayHaveRun {
		return &Result{Result: OutcomeUnknown, Reason: err.Error()}
	}
	result := &Result{Result: NotRun, Reason: err.Error(), RetryAfterMS: 100}
	var queueErr *queueError
	if errors.As(err, &queueErr) {
		result.RetryAfterMS = queueErr.retryAfter.Milliseconds()
	}
	return result
}

// attempt sends the request to t, releases the slot of t that the request holds,
// and records whether the request may have run.
func (p *pendingRequest) attempt(t *target, response *fasthttp.Response) (attemptOutcome, error) {
	outcome, err := p.exchange(t, response)
	if outcome == lost {
		p.mayHaveRun = true
	}
	return outcome, err
}

// exchange gets a connection to t, exchanges the request on it, and releases the
// slot.
func (p *pendingRequest) exchange(t *target, response *fasthttp.Response) (outcome attemptOutcome, err error) {
	defer t.release()
	span := p.span.Child("attempt")
	defer func() {
		p.service.metrics.attempts[outcome].Inc()
		span.End(outcomeNames[outcome])
	}()
	start := time.Now()
	if !start.Before(p.deadline) {
		return notSent, &queueError{"deadline passed before the request was sent", 0}
	}
	c, err := t.pool.get(p.deadline)
	if err != nil {
		if !errors.Is(err, errConnectionLimit) {
			t.recordConnectFailure(p.router.now())
		}
		return notSent, err
	}
	if c.isBusy.Swap(true) {
		p.router.reportViolation("one_request_per_connection", "two requests on a connection to "+t.addr)
	}
	p.buffer = encodeAttempt(p.buffer, p.head, p.body, t.addr, t.task, span.Traceparent(), p.deadline.Sub(start))
	outcome, isReusable, err := p.exchangeWithHedge(t, c, response)
	now := time.Now()
	c.isBusy.Store(false)
	if isReusable {
		t.pool.put(c, now)
	} else {
		t.pool.closeConn(c)
	}
	p.recordOutcome(t, outcome, now.Sub(start))
	return outcome, err
}

// exchangeWithHedge exchanges the request on c. If the request is hedged, it
// is also sent to a second target, and the first response is used.
func (p *pendingRequest) exchangeWithHedge(t *target, c *conn, response *fasthttp.Response) (attemptOutcome, bool, error) {
	if err := c.net.SetDeadline(p.deadline); err != nil {
		return notSent, false, errors.Wrap(err, "set deadline")
	}
	delay := p.hedgeDelay()
	if delay == 0 {
		return c.exchange(p.buffer, response, p.id, p.isHead)
	}
	p.arm(t, c, delay)
	outcome, isReusable, err := c.exchange(p.buffer, response, p.id, p.isHead)
	hedgeResponse, isSent := p.disarm()
	if isSent {
		p.mayHaveRun = true
	}
	if hedgeResponse == nil {
		return outcome, isReusable, err
	}
	defer fasthttp.ReleaseResponse(hedgeResponse)
	// The hedge may interrupt the connection after its response was read.
	isReusable = false
	if outcome != answered {
		hedgeResponse.CopyTo(response)
		outcome, err = answered, nil
	}
	return outcome, isReusable, err
}

// recordOutcome updates the state of t with the outcome of an attempt.
func (p *pendingRequest) recordOutcome(t *target, outcome attemptOutcome, took time.Duration) {
	now := p.router.now()
	switch outcome {
	case answered:
		t.recordSuccess(took, now)
	case refused:
		t.shareBackoffUntil.Store(now + int64(shareBackoff))
		t.spareBackoffUntil.Store(now + int64(spareBackoff))
	case leaving:
		t.hasEnded.Store(true)
	case lost:
		// The target may be slow or gone. The time of the attempt counts as a
		// latency, so that a slow target is chosen less often.
		t.latency.observe(took, now)
	}
}

// checkRequestID reports a violation if response carries the id of another
// request.
func (p *pendingRequest) checkRequestID(response *fasthttp.Response) {
	if !bytes.Equal(response.Header.Peek(RequestIDHeader), p.id) {
		p.router.reportViolation("own_response", "response does not carry the id of request "+string(p.id))
	}
}
