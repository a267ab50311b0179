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
	// queueTick is how often waiting requests are tried again without a
	// release: after a back-off of a target has ended.
	queueTick = 5 * time.Millisecond
)

// queue has the requests that wait for a slot of a service,
// latency-critical ones first.
type queue struct {
	service *service
	// waiting counts the requests in each list; it is read without mu.
	waiting [classes]atomic.Int64

	// ticked is the time of the last wake without a release.
	ticked atomic.Int64

	mu    sync.Mutex
	lists [classes][]*waiter
}

type waiter struct {
	avoid *target
	// given receives the target whose slot the waiter holds from then on, or
	// nil when the service has no target left.
	given chan *target
}

// queueError says why a request did not get a slot. Nothing was sent.
type queueError struct {
	reason     string
	retryAfter time.Duration
}

func (e *queueError) Error() string { return e.reason }

// mustWait reports whether others of the same or a higher class wait already.
func (q *queue) mustWait(c class) bool {
	for i := latencyCritical; i <= c; i++ {
		if q.waiting[i].Load() > 0 {
			return true
		}
	}
	return false
}

// acquire returns a target with a slot for the request, at once or after a
// wait. It refuses early when the deadline can't be met.
func (s *service) acquire(f *flight, avoid *target) (*target, error) {
	r := s.router
	now := r.now()
	if !s.queue.mustWait(f.class) {
		if t := s.choose(now, avoid); t != nil {
			return t, nil
		}
		if avoid != nil {
			if t := s.choose(now, nil); t != nil {
				return t, nil
			}
		}
	}
	if err := s.precheck(f); err != nil {
		return nil, err
	}
	return s.queue.wait(f, avoid)
}

// precheck refuses a request that would wait in vain.
func (s *service) precheck(f *flight) error {
	capacity := s.capacity()
	if capacity == 0 {
		return s.noTarget()
	}
	remaining := time.Until(f.deadline)
	if remaining <= 0 {
		return &queueError{"deadline passed before the request was sent", 0}
	}
	var ahead int64
	for c := latencyCritical; c <= f.class; c++ {
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

// expectedWait is how long the request behind ahead others waits when capacity
// requests are served at a time.
func (s *service) expectedWait(ahead, capacity int64) time.Duration {
	return time.Duration(s.latency.get() * float64(ahead+1) / float64(capacity))
}

func (q *queue) wait(f *flight, avoid *target) (*target, error) {
	w := &waiter{avoid: avoid, given: make(chan *target, 1)}
	q.mu.Lock()
	q.lists[f.class] = append(q.lists[f.class], w)
	q.waiting[f.class].Add(1)
	q.mu.Unlock()
	begun := time.Now()
	defer func() { q.service.metrics.queued.Observe(time.Since(begun).Seconds()) }()
	// A slot released before the waiter was listed wakes nobody, so that it is
	// looked for once more here.
	q.wake()
	deadline := time.NewTimer(time.Until(f.deadline))
	defer deadline.Stop()
	tick := time.NewTicker(queueTick)
	defer tick.Stop()
	for {
		select {
		case t := <-w.given:
			return q.taken(t)
		case <-tick.C:
			q.tick()
		case <-deadline.C:
			if q.remove(f.class, w) {
				return nil, &queueError{"deadline passed in the queue", 0}
			}
			// The slot was given at the same time; attempt checks the deadline.
			return q.taken(<-w.given)
		}
	}
}

func (q *queue) taken(t *target) (*target, error) {
	if t == nil {
		return nil, q.service.noTarget()
	}
	return t, nil
}

func (s *service) noTarget() error {
	return &queueError{"no target of service " + s.name + " takes new requests", time.Second}
}

// tick wakes the queue unless another waiter has just done so.
func (q *queue) tick() {
	now := q.service.router.now()
	last := q.ticked.Load()
	if now-last < int64(queueTick) || !q.ticked.CompareAndSwap(last, now) {
		return
	}
	if q.service.capacity() > 0 {
		q.wake()
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for c := range q.lists {
		for _, w := range q.lists[c] {
			w.given <- nil
		}
		q.waiting[c].Store(0)
		q.lists[c] = nil
	}
}

// remove takes w out of the queue and reports whether it was still there.
func (q *queue) remove(c class, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, x := range q.lists[c] {
		if x == w {
			q.lists[c] = append(q.lists[c][:i], q.lists[c][i+1:]...)
			q.waiting[c].Add(-1)
			return true
		}
	}
	return false
}

// wake gives free slots to the waiting requests.
func (q *queue) wake() {
	if q.waiting[latencyCritical].Load() == 0 && q.waiting[batch].Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.service.router.now()
	for c := range q.lists {
		for len(q.lists[c]) > 0 {
			w := q.lists[c][0]
			t := q.service.choose(now, w.avoid)
			if t == nil && w.avoid != nil {
				t = q.service.choose(now, nil)
			}
			if t == nil {
				return
			}
			q.lists[c][0] = nil
			q.lists[c] = q.lists[c][1:]
			q.waiting[c].Add(-1)
			w.given <- t
		}
	}
}
