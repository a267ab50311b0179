package controller

import (
	"sync"
	"time"

	"tarragonhead.example/tarragonhead/internal/committer"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	// maxClockDrift is the largest relative error of a clock's rate.
	maxClockDrift = 0.01
	// leaseLength is how long a renewed lease lasts, on the worker's clock.
	leaseLength = 10 * time.Second
)

// classes are the classes of work in a fixed order.
var classes = []declarer.Class{declarer.ClassService, declarer.ClassWatcher, declarer.ClassBatch}

// shorten returns a duration on the local clock during which at most d passes
// in real time. lengthen returns a duration on the local clock after which d
// has passed on every other clock.
func shorten(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - maxClockDrift)) }

func lengthen(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxClockDrift) / (1 - maxClockDrift))
}

// horizon is the time until which the owner may renew the leases of each
// class. It is safe for concurrent use.
type horizon struct {
	mu    sync.Mutex
	until map[declarer.Class]time.Time
}

// extend moves the horizon of a class to length after appendStart, shortened
// for clock drift. It is called once the record with the new length is
// committed; appendStart is when the append of that record began.
func (h *horizon) extend(class declarer.Class, appendStart time.Time, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until == nil {
		h.until = map[declarer.Class]time.Time{}
	}
	if until := appendStart.Add(shorten(length)); until.After(h.until[class]) {
		h.until[class] = until
	}
}

// remaining returns for how long after now the leases of each class may be
// renewed. Classes whose horizon has passed are left out.
func (h *horizon) remaining(now time.Time) map[declarer.Class]time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := map[declarer.Class]time.Duration{}
	for class, until := range h.until {
		if d := until.Sub(now); d > 0 {
			left[class] = d
		}
	}
	return left
}

// inheritedLeaseExpiry returns, by class, when the leases from earlier owners
// have expired. No record of an earlier owner follows this owner's begin
// record, which was committed before beganAt.
func inheritedLeaseExpiry(l *committer.Ledger, recorded committer.Horizons, beganAt time.Time) map[declarer.Class]time.Time {
	ends := map[declarer.Class]time.Time{}
	if l.Epoch() == 1 {
		return ends
	}
	for _, class := range classes {
		ends[class] = beganAt.Add(lengthen(leaseLength+recorded[class]) + callTimeout)
	}
	return ends
}

// uncoveredHorizons returns the changes of a release record: by class, how much
// longer than a lease that is renewed now the attempts may run. An earlier owner
// may still renew those on workers that haven't answered this owner.
func (o *owner) uncoveredHorizons(now time.Time) []scheduler.Change {
	left := map[declarer.Class]time.Duration{}
	for _, t := range o.core.Tasks() {
		if s := o.sessions[t.Worker]; s != nil {
			left[t.Class] = max(left[t.Class], s.copyLeaseExpiry()[t.Class].Sub(now)-lengthen(leaseLength)-callTimeout)
		}
	}
	var changes []scheduler.Change
	for _, class := range classes {
		if left[class] > 0 {
			changes = append(changes, scheduler.Change{HorizonSet: &scheduler.HorizonSet{Class: class, Length: left[class]}})
		}
	}
	return changes
}
