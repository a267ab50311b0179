package router

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueue bounds the requests that wait for a slot of one service.
	maxQueue = 1024
	// queueTick is the interval at which waiting requests look for a free slot
	// when none is released, since the end of a target's back-off also frees
	// slots.
	queueTick = 5 * time.Millisecond
)

// queue holds the requests that wait for a slot of a service. Latency-critical
// requests get slots before batch requests.
type queue struct {
	service *service
	// waiting is the number of waiters of each class; it is read without mu.
	waiting [classCount]atomic.Int64

	// lastTick is the time of the last tick, in the router's clock.
	lastTick atomic.Int64

	mu      sync.Mutex
	waiters [classCount][]*waiter
}

type waiter struct {
	avoid *target
	// assigned receives the target whose slot the waiter holds from then on, or
	// nil if the service has no target that takes new requests.
	assigned chan *target
}

// queueError reports why a request did not get a slot. Nothing was sent.
type queueError struct {
	reason     string
	retryAfter time.Duration
}

func (e *queueError) Error() string { return e.reason }

// mustWait reports whether requests of class c have to queue behind requests of
// the same or a higher class.
func (q *queue) mustWait(c class) bool {
	for i := latencyCritical; i <= c; i++ {
		if q.waiting[i].Load() > 0 {
			return true
		}
	}
	return false
}

// acquire takes a slot for the request and returns the slot's target, at once
// or after a wait in the queue. It returns a queueError at once if the deadline
// can't be met. It returns the target avoid only if no other has a slot.
func (s *service) acquire(p *pendingRequest, avoid *target) (*target, error) {
	r := s.router
	now := r.now()
	if !s.queue.mustWait(p.class) {
		if t := s.choose(now, avoid); t != nil {
			return t, nil
		}
		if avoid != nil {
			if t := s.choose(now, nil); t != nil {
				return t, nil
			}
		}
	}
	if err := s.precheck(p); err != nil {
		return nil, err
	}
	return s.queue.wait(p, avoid)
}

// precheck returns a queueError if the request can't get a slot before its
// deadline.
func (s *service) precheck(p *pendingRequest) error {
	capacity := s.capacity()
	if capacity == 0 {
		return s.noTargetError()
	}
	remaining := time.Until(p.deadline)
	if remaining <= 0 {
		return &queueError{"deadline passed before the request was sent", 0}
	}
	var ahead int64
	for c := latencyCritical; c <= p.class; c++ {
		ahead += s.queue.waiting[c].Load()
	}
	if ahead >= maxQueue {
		return &queueError{fmt.Sprintf("queue of service %s is full", s.name), s.expectedWait(ahead, capacity)}
	}
	if wait := s.expectedWait(ahead, capacity); ahead > 0 && wait+time.Duration(s.latency.get()) > remaining {
		return &queueError{fmt.Sprintf("expected wait of %s in the queue is beyond the deadline", wait.Round(time.Millisecond)), wait}
	}
	return nil
}

// expectedWait returns the expected wait of a request with ahead others before
// it, when capacity requests are served at a time.
func (s *service) expectedWait(ahead, capacity int64) time.Duration {
	return time.Duration(s.latency.get() * float64(ahead+1) / float64(capacity))
}

func (q *queue) wait(p *pendingRequest, avoid *target) (*target, error) {
	w := &waiter{avoid: avoid, assigned: make(chan *target, 1)}
	q.mu.Lock()
	q.waiters[p.class] = append(q.waiters[p.class], w)
	q.waiting[p.class].Add(1)
	q.mu.Unlock()
	start := time.Now()
	defer func() { q.service.metrics.queued.Observe(time.Since(start).Seconds()) }()
	// A release just before w was added to the queue could not assign its slot
	// to w.
	q.assignFreeSlots()
	deadline := time.NewTimer(time.Until(p.deadline))
	defer deadline.Stop()
	tick := time.NewTicker(queueTick)
	defer tick.Stop()
	for {
		select {
		case t := <-w.assigned:
			return q.checkAssigned(t)
		case <-tick.C:
			q.tick()
		case <-deadline.C:
			if q.remove(p.class, w) {
				return nil, &queueError{"deadline passed in the queue", 0}
			}
			// A slot was assigned at the same time; exchange checks the deadline.
			return q.checkAssigned(<-w.assigned)
		}
	}
}

// checkAssigned returns the target that a waiter received, or an error if it
// received nil.
func (q *queue) checkAssigned(t *target) (*target, error) {
	if t == nil {
		return nil, q.service.noTargetError()
	}
	return t, nil
}

func (s *service) noTargetError() error {
	return &queueError{"no target of service " + s.name + " takes new requests", time.Second}
}

// tick assigns free slots to the waiting requests, or ends their wait if the
// service has no capacity left. It does nothing if another waiter called it
// within queueTick.
func (q *queue) tick() {
	now := q.service.router.now()
	last := q.lastTick.Load()
	if now-last < int64(queueTick) || !q.lastTick.CompareAndSwap(last, now) {
		return
	}
	if q.service.capacity() > 0 {
		q.assignFreeSlots()
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for c := range q.waiters {
		for _, w := range q.waiters[c] {
			w.assigned <- nil
		}
		q.waiting[c].Store(0)
		q.waiters[c] = nil
	}
}

// remove removes w from the queue and reports whether it was still there.
func (q *queue) remove(c class, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, x := range q.waiters[c] {
		if x == w {
			q.waiters[c] = append(q.waiters[c][:i], q.waiters[c][i+1:]...)
			q.waiting[c].Add(-1)
			return true
		}
	}
	return false
}

// assignFreeSlots assigns free slots to the waiting requests, by class and then
// in order of arrival.
func (q *queue) assignFreeSlots() {
	if q.waiting[latencyCritical].Load() == 0 && q.waiting[batch].Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.service.router.now()
	for c := range q.waiters {
		for len(q.waiters[c]) > 0 {
			w := q.waiters[c][0]
			t := q.service.choose(now, w.avoid)
			if t == nil && w.avoid != nil {
				t = q.service.choose(now, nil)
			}
			if t == nil {
				return
			}
			q.waiters[c][0] = nil
			q.waiters[c] = q.waiters[c][1:]
			q.waiting[c].Add(-1)
			w.assigned <- t
		}
	}
}
