package router

import (
	"bytes"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// hedgeSamples is how many responses of a service are measured before its
	// requests are hedged.
	hedgeSamples = 100
	// hedgeLeast keeps fast services from being hedged for the pauses of the
	// machine.
	hedgeLeast = 2 * time.Millisecond
)

// hedge sends an idempotent request to a second target when the first is slow.
// Both attempts run with their own copies; the one that wins takes over the
// response, and the connection of the other is closed.
type hedge struct {
	timer *time.Timer

	mu sync.Mutex
	// generation tells the arming from earlier ones of the same flight, whose
	// second attempt may still run.
	generation uint64
	isArmed    bool
	// isSent is set once a second attempt may have sent a byte.
	isSent bool
	first  *target
	conn   *conn
	won    *fasthttp.Response
}

// arm lets a second attempt start if the first has no response after delay.
func (f *flight) arm(first *target, c *conn, delay time.Duration) {
	h := &f.hedge
	h.mu.Lock()
	h.generation++
	h.isArmed, h.isSent, h.first, h.conn, h.won = true, false, first, c, nil
	h.mu.Unlock()
	h.timer.Reset(delay)
}

// disarm ends the race. It returns the response of the second attempt if it
// came first, and whether a second attempt may have been sent.
func (f *flight) disarm() (*fasthttp.Response, bool) {
	h := &f.hedge
	h.timer.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isArmed, h.first, h.conn = false, nil, nil
	won := h.won
	h.won = nil
	return won, h.isSent
}

// fireHedge makes the second attempt. It runs in the timer's goroutine.
func (f *flight) fireHedge() {
	h := &f.hedge
	h.mu.Lock()
	if !h.isArmed {
		h.mu.Unlock()
		return
	}
	generation, s := h.generation, f.service
	t := s.chooseShare(s.router.now(), h.first)
	if t == nil {
		h.mu.Unlock()
		return
	}
	if !f.router.budget.take() {
		h.mu.Unlock()
		t.release()
		s.metrics.budgetDenied.Inc()
		return
	}
	h.isSent = true
	second := &flight{
		router: f.router, service: s, id: bytes.Clone(f.id), class: f.class, deadline: f.deadline, idempotent: true, isHead: f.isHead,
		head: bytes.Clone(f.head), body: bytes.Clone(f.body), span: f.span,
	}
	h.mu.Unlock()
	s.metrics.hedges.Inc()
	response := fasthttp.AcquireResponse()
	kind, _ := second.exchange(t, response)
	if kind != answered {
		fasthttp.ReleaseResponse(response)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isArmed || h.generation != generation {
		fasthttp.ReleaseResponse(response)
		return
	}
	h.isArmed, h.won = false, response
	h.conn.interrupt()
	s.metrics.hedgeWins.Inc()
}

// chooseShare takes a slot of the own share of a target other than avoid.
func (s *service) chooseShare(now int64, avoid *target) *target {
	for _, ts := range *s.tiers.Load() {
		if t := ts.pick(now, false, avoid); t != nil {
			return t
		}
	}
	return nil
}

// hedgeDelay returns after which time a request of the service is hedged, zero
// for never.
func (f *flight) hedgeDelay() time.Duration {
	// The second attempt of a hedge has no timer and is not hedged itself.
	if f.hedge.timer == nil || !f.idempotent || f.class != latencyCritical || f.service.latency.count.Load() < hedgeSamples {
		return 0
	}
	return max(f.service.latency.high(), hedgeLeast)
}
