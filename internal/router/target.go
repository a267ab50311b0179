package router

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// spareBackoff is the time after a refusal during which this daemon uses no
	// spare slots of the target. It bounds the refusals of a target to 100 per
	// second and daemon.
	spareBackoff = 10 * time.Millisecond
	// shareBackoff is the same for the slots of this daemon's share. The target
	// refuses these while other daemons use them as spare slots.
	shareBackoff = 2 * time.Millisecond
	// A target that can't be connected to is tried again after minDownBackoff.
	// The back-off doubles with each further failure, up to maxDownBackoff.
	minDownBackoff = 50 * time.Millisecond
	maxDownBackoff = 2 * time.Second
	// latencyHalfLife is the age at which a target's latency counts half, so
	// that a target that was slow is tried again.
	latencyHalfLife = 2 * time.Second
	// latencyWeight is the weight of a new measurement in the average.
	latencyWeight = 0.1
)

// target is one process of a runner, to which requests are sent.
type target struct {
	addr, task, domain string
	worker             string
	slots, connections int
	pool               *pool
	service            *service

	// share is the number of the target's slots that are assigned to this
	// daemon. limit is the most requests that it sends at once: it may also use
	// spare slots, which are assigned to other daemons and free.
	share, limit atomic.Int64
	outstanding  atomic.Int64
	// isLeaving is set while the newest routing table or the newest list of
	// instances shows the target as leaving.
	isLeaving atomic.Bool
	// hasEnded is set once the target has refused a request because it leaves,
	// or is in no routing table any more. Neither changes for a process.
	hasEnded atomic.Bool
	// This daemon sends nothing to the target before shareBackoffUntil and
	// downUntil, and nothing in spare slots before spareBackoffUntil. The times
	// are those of the router's clock.
	shareBackoffUntil, spareBackoffUntil, downUntil atomic.Int64
	connectFailures                                 atomic.Int64
	latency                                         movingAverage
}

// movingAverage is an exponentially weighted moving average of latencies in
// nanoseconds, with their mean deviation. Concurrent updates may overwrite each
// other.
type movingAverage struct {
	value, deviation atomic.Uint64
	updated          atomic.Int64
	count            atomic.Int64
}

func (m *movingAverage) observe(d time.Duration, now int64) {
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

func (m *movingAverage) get() float64 { return math.Float64frombits(m.value.Load()) }

// p99 estimates the latency that one response in a hundred exceeds, as the
// average plus four mean deviations.
func (m *movingAverage) p99() time.Duration {
	return time.Duration(m.get() + 4*math.Float64frombits(m.deviation.Load()))
}

// decayed returns the average reduced by the time since the last observation,
// to half after latencyHalfLife.
func (m *movingAverage) decayed(now int64) float64 {
	age := now - m.updated.Load()
	return m.get() / (1 + float64(max(0, age))/float64(latencyHalfLife))
}

// score returns the expected time of one more request; a lower score is better.
// The added 10 µs rank targets without a measured latency by their outstanding
// requests.
func (t *target) score(now int64) float64 {
	return float64(t.outstanding.Load()+1) * (t.latency.decayed(now) + float64(10*time.Microsecond))
}

// isAvailable reports whether the target takes new requests.
func (t *target) isAvailable() bool { return !t.isLeaving.Load() && !t.hasEnded.Load() }

// acquire takes a slot of this daemon's share, or, if mayUseSpare is set, any
// free slot. It reports whether a request may be sent; release must follow.
func (t *target) acquire(now int64, mayUseSpare bool) bool {
	if !t.isAvailable() || now < t.downUntil.Load() || now < t.shareBackoffUntil.Load() {
		return false
	}
	allowed := t.share.Load()
	if mayUseSpare {
		if now < t.spareBackoffUntil.Load() {
			return false
		}
		allowed = t.limit.Load()
	}
	for {
		n := t.outstanding.Load()
		if n >= allowed {
			return false
		}
		if t.outstanding.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (t *target) release() {
	if n := t.outstanding.Add(-1); n < 0 {
		t.service.router.reportViolation("admission", "outstanding requests of "+t.addr+" below zero")
	}
	t.service.queue.assignFreeSlots()
}

// recordConnectFailure starts the back-off after a failed connect.
func (t *target) recordConnectFailure(now int64) {
	n := min(t.connectFailures.Add(1), 10)
	wait := min(minDownBackoff<<(n-1), maxDownBackoff)
	t.downUntil.Store(now + int64(wait))
}

func (t *target) recordSuccess(d time.Duration, now int64) {
	if t.connectFailures.Load() != 0 {
		t.connectFailures.Store(0)
		t.downUntil.Store(0)
	}
	t.latency.observe(d, now)
	t.service.latency.observe(d, now)
}

// assignShare sets the slots and connections of the target that this daemon may
// use. Index is the daemon's place among the members in the order of their ids.
// The hash of the address spreads the remainders of the divisions over the
// daemons.
func (t *target) assignShare(index, members int) {
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

// tier holds the targets of a service whose domains have the same cost.
type tier []*target

// pick takes a slot of the better of two random targets, or of any target if
// that one has no free slot. It never takes a slot of avoid. It returns nil if
// no target has a free slot.
func (ts tier) pick(now int64, mayUseSpare bool, avoid *target) *target {
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
	if a != avoid && a.acquire(now, mayUseSpare) {
		return a
	}
	for k := range ts {
		if b := ts[(i+k)%n]; b != avoid && b.acquire(now, mayUseSpare) {
			return b
		}
	}
	return nil
}

// service holds the targets of one service, in tiers of ascending cost.
type service struct {
	router  *Router
	name    string
	tiers   atomic.Pointer[[]tier]
	queue   queue
	latency movingAverage
	metrics serviceMetrics
}

// choose takes a slot of a target other than avoid and returns the target, nil
// if there is none. Targets of this daemon's domain come first, then the others
// by cost. Within a tier, slots of this daemon's share come before spare slots.
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

// capacity returns the number of requests that this daemon can have in
// progress, 0 if no target takes new requests.
func (s *service) capacity() int64 {
	var n int64
	for _, ts := range *s.tiers.Load() {
		for _, t := range ts {
			if t.isAvailable() {
				n += t.limit.Load()
			}
		}
	}
	return n
}
