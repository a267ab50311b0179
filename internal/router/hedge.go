package router

import (
	"bytes"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// minHedgeSamples is the number of measured responses of a service from
	// which its requests are hedged.
	minHedgeSamples = 100
	// minHedgeDelay keeps requests to fast services from being hedged because
	// of scheduling pauses on the host.
	minHedgeDelay = 2 * time.Millisecond
)

// hedge is the state of a second attempt, which is made when the first target
// of an idempotent request is slow. Each attempt has its own copy of the
// request. The first response is used, and the connection of the other attempt
// is closed.
type hedge struct {
	timer *time.Timer

	mu sync.Mutex
	// generation increases with each arming. A second attempt that an earlier
	// arming of the same pooled pendingRequest started may still run; its
	// response is dropped.
	generation uint64
	isArmed    bool
	// isSent is set before the second attempt starts, since the request may be
	// sent at any time from then on.
	isSent      bool
	firstTarget *target
	firstConn   *conn
	response    *fasthttp.Response
}

// arm starts the timer of the second attempt.
func (p *pendingRequest) arm(first *target, c *conn, delay time.Duration) {
	h := &p.hedge
	h.mu.Lock()
	h.generation++
	h.isArmed, h.isSent, h.firstTarget, h.firstConn, h.response = true, false, first, c, nil
	h.mu.Unlock()
	h.timer.Reset(delay)
}

// disarm stops the timer. It returns the response of the second attempt if it
// arrived first, and whether a second attempt may have been sent. A response of
// the second attempt that arrives later is dropped.
func (p *pendingRequest) disarm() (*fasthttp.Response, bool) {
	h := &p.hedge
	h.timer.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isArmed, h.firstTarget, h.firstConn = false, nil, nil
	response := h.response
	h.response = nil
	return response, h.isSent
}

// fireHedge makes the second attempt. It runs in the timer's goroutine.
func (p *pendingRequest) fireHedge() {
	h := &p.hedge
	h.mu.Lock()
	if !h.isArmed {
		h.mu.Unlock()
		return
	}
	generation, s := h.generation, p.service
	t := s.chooseFromShare(s.router.now(), h.firstTarget)
	if t == nil {
		h.mu.Unlock()
		return
	}
	if !p.router.budget.tryWithdraw() {
		h.mu.Unlock()
		t.release()
		s.metrics.budgetDenied.Inc()
		return
	}
	h.isSent = true
	second := &pendingRequest{
		router: p.router, service: s, id: bytes.Clone(p.id), class: p.class, deadline: p.deadline, isIdempotent: true, isHead: p.isHead,
		head: bytes.Clone(p.head), body: bytes.Clone(p.body), span: p.span,
	}
	h.mu.Unlock()
	s.metrics.hedges.Inc()
	response := fasthttp.AcquireResponse()
	outcome, _ := second.exchange(t, response)
	if outcome != answered {
		fasthttp.ReleaseResponse(response)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isArmed || h.generation != generation {
		fasthttp.ReleaseResponse(response)
		return
	}
	h.isArmed, h.response = false, response
	h.firstConn.interrupt()
	s.metrics.hedgeWins.Inc()
}

// chooseFromShare takes a slot from this daemon's share of a target other than
// avoid, and returns the target, or nil if there is none.
func (s *service) chooseFromShare(now int64, avoid *target) *target {
	for _, ts := range *s.tiers.Load() {
		if t := ts.pick(now, false, avoid); t != nil {
			return t
		}
	}
	return nil
}

// hedgeDelay returns the time after which the request is hedged, 0 for never.
func (p *pendingRequest) hedgeDelay() time.Duration {
	// The second attempt of a hedge has no timer and is not hedged itself.
	if p.hedge.timer == nil || !p.isIdempotent || p.class != latencyCritical || p.service.latency.count.Load() < minHedgeSamples {
		return 0
	}
	return max(p.service.latency.p99(), minHedgeDelay)
}
