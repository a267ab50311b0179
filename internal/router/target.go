package router

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// spareBackoff is how long a target is not asked for spare slots after it
	// refused. It bounds the refusals of one target to 100 a second and daemon.
	spareBackoff = 10 * time.Millisecond
	// shareBackoff is the same for the slots of the own share, which others use
	// when this daemon didn't.
	shareBackoff = 2 * time.Millisecond
	// A target that can't be reached is tried again after downFirst, then after
	// twice as long each time, up to downMost.
	downFirst = 50 * time.Millisecond
	downMost  = 2 * time.Second
	// latencyHalfLife lets an old latency lose its weight, so that a target
	// that was slow once is tried again.
	latencyHalfLife = 2 * time.Second
	// latencyWeight is the share of a new measurement in the mean.
	latencyWeight = 0.1
)

// target is one runner.
type target struct {
	addr, task, domain string
	worker             string
	slots, connections int
	pool               *pool
	service            *service

	// share is the number of slots that this daemon may use without asking;
	// limit is the most that it sends at once, the target's spare slots
	// included.
	share, limit atomic.Int64
	outstanding  atomic.Int64
	isLeaving    atomic.Bool
	// shareAfter, spareAfter and downUntil are times of the router's clock.
	shareAfter, spareAfter, downUntil atomic.Int64
	failures                          atomic.Int64
	latency                           mean
}

// mean is an exponentially weighted mean in nanoseconds that loses its weight
// with time. Concurrent updates may overwrite each other.
type mean struct {
	value, deviation atomic.Uint64
	updated          atomic.Int64
	count            atomic.Int64
}

func (m *mean) observe(d time.Duration, now int64) {
	x := float64(d)
	if m.count.Add(1) == 1 {
		m.value.Store(math.Float64bits(x))
		m.deviation.Store(math.Float64bits(x / 2))
	} else {
		old := math.Float64frombits(m.value.Load())
		deviation := math.Float64frombits(m.deviation.Load())
		m.value.Store(math.Float64bits(old + latencyWeight*(x-old)))
		m.deviation.Store(math.Float64bits(deviation + latencyWeight*(math.Abs(x-old)-deviation)))
	}
	m.updated.Store(now)
}

func (m *mean) get() float64 { return math.Float64frombits(m.value.Load()) }

// high is a latency that about one response in a hundred exceeds.
func (m *mean) high() time.Duration {
	return time.Duration(m.get() + 4*math.Float64frombits(m.deviation.Load()))
}

func (m *mean) recent(now int64) float64 {
	age := now - m.updated.Load()
	return m.get() / (1 + float64(max(0, age))/float64(latencyHalfLife))
}

// score is the expected time of a further request.
func (t *target) score(now int64) float64 {
	return float64(t.outstanding.Load()+1) * (t.latency.recent(now) + float64(10*time.Microsecond))
}

// acquire takes a slot of the share, or a spare one. It reports whether the
// request may be sent; release must follow.
func (t *target) acquire(now int64, isSpare bool) bool {
	if t.isLeaving.Load() || now < t.downUntil.Load() || now < t.shareAfter.Load() {
		return false
	}
	most := t.share.Load()
	if isSpare {
		if now < t.spareAfter.Load() {
			return false
		}
		most = t.limit.Load()
	}
	for {
		n := t.outstanding.Load()
		if n >= most {
			return false
		}
		if t.outstanding.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (t *target) release() {
	if n := t.outstanding.Add(-1); n < 0 {
		t.service.router.violated("admission", "outstanding requests of "+t.addr+" below zero")
	}
	t.service.queue.wake()
}

// failed notes that the target could not be reached.
func (t *target) failed(now int64) {
	n := min(t.failures.Add(1), 10)
	wait := min(downFirst<<(n-1), downMost)
	t.downUntil.Store(now + int64(wait))
}

func (t *target) succeeded(d time.Duration, now int64) {
	if t.failures.Load() != 0 {
		t.failures.Store(0)
		t.downUntil.Store(0)
	}
	t.latency.observe(d, now)
	t.service.latency.observe(d, now)
}

// shareOut sets what this daemon, number index of members in the order of
// their ids, may use of the target. The remainder of the division goes to other
// daemons at each target.
func (t *target) shareOut(index, members int) {
	position := (index + int(xxhash.Sum64String(t.addr)%uint64(members))) % members
	part := func(n int) int {
		share := n / members
		if position < n%members {
			share++
		}
		return share
	}
	connections := part(t.connections)
	t.share.Store(int64(min(part(t.slots), connections)))
	t.limit.Store(int64(min(t.slots, connections)))
	t.pool.resize(connections)
}

// tier has the targets of a service at one cost.
type tier []*target

// pick takes the better of two random targets that admit the request, or any
// that does.
func (ts tier) pick(now int64, isSpare bool, avoid *target) *target {
	n := len(ts)
	if n == 0 {
		return nil
	}
	i := rand.IntN(n)
	a := ts[i]
	if n > 1 {
		j := rand.IntN(n - 1)
		if j >= i {
			j++
		}
		if b := ts[j]; a == avoid || (b != avoid && b.score(now) < a.score(now)) {
			a = b
		}
	}
	if a != avoid && a.acquire(now, isSpare) {
		return a
	}
	for k := range ts {
		if b := ts[(i+k)%n]; b != avoid && b.acquire(now, isSpare) {
			return b
		}
	}
	return nil
}

// service has the targets of one service, cheapest first.
type service struct {
	router  *Router
	name    string
	tiers   atomic.Pointer[[]tier]
	queue   queue
	latency mean
	metrics serviceMetrics
}

// choose takes a slot of a target: of the own domain first, then of the
// others by cost; within a domain of the own share first, then a spare one.
func (s *service) choose(now int64, avoid *target) *target {
	for _, ts := range *s.tiers.Load() {
		if t := ts.pick(now, false, avoid); t != nil {
			return t
		}
		if t := ts.pick(now, true, avoid); t != nil {
			return t
		}
	}
	return nil
}

// capacity is the number of requests that this daemon can have in progress,
// zero when no target takes new ones.
func (s *service) capacity() int64 {
	var n int64
	for _, ts := range *s.tiers.Load() {
		for _, t := range ts {
			if !t.isLeaving.Load() {
				n += t.limit.Load()
			}
		}
	}
	return n
}
