package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// horizonLengths are for how long after a record the leases of a class may be
// renewed. A region can lose contact for an hour, and services go on for that
// long; batch jobs and watchers wait for the end of the horizon before they
// run elsewhere, so theirs is shorter.
var horizonLengths = []HorizonSet{
	{declarer.ClassBatch, 15 * time.Minute},
	{declarer.ClassWatcher, 15 * time.Minute},
	{declarer.ClassService, 2 * time.Hour},
}

func (c *Core) horizonOf(class declarer.Class) time.Duration {
	longest := c.horizons[class]
	for _, h := range horizonLengths {
		if h.Class == class {
			longest = max(longest, h.Length)
		}
	}
	return longest
}

// extendHorizons records a new horizon every third of its length.
func (c *Core) extendHorizons(now time.Time) {
	for _, h := range horizonLengths {
		if last, ok := c.horizon[h.Class]; !ok || now.Sub(last) >= h.Length/3 {
			c.horizon[h.Class] = now
			c.record(Change{HorizonSet: &h})
		}
	}
}

// Horizon returns the time up to which the leases of a class may be renewed
// once the changes returned so far are committed; the zero time for never.
func (c *Core) Horizon(class declarer.Class) time.Time {
	last, ok := c.horizon[class]
	if !ok {
		return time.Time{}
	}
	return last.Add(c.horizons[class])
}
