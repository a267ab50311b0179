package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// horizonLengths are how long after a record the leases of each class may be
// renewed. A region can be cut off for an hour, and its services continue to
// run for that time. Batch jobs and watchers start elsewhere only after their
// horizon, so it is shorter.
var horizonLengths = []HorizonSet{
	{declarer.ClassBatch, 15 * time.Minute},
	{declarer.ClassWatcher, 15 * time.Minute},
	{declarer.ClassService, 2 * time.Hour},
}

// extendHorizons records a new horizon of each class after a third of its
// length. The driver renews leases up to the horizon once the record is
// committed. It reports the leases of a worker as expired only after the last
// horizon of an earlier owner.
func (c *Core) extendHorizons(now time.Time) {
	for _, h := range horizonLengths {
		if last, ok := c.horizonSetAt[h.Class]; !ok || now.Sub(last) >= h.Length/3 {
			c.horizonSetAt[h.Class] = now
			c.record(Change{HorizonSet: &h})
		}
	}
}

// HorizonChanges returns the changes that set the horizon of every class. The
// driver includes them in an owner's begin record.
func HorizonChanges() []Change {
	var changes []Change
	for _, h := range horizonLengths {
		changes = append(changes, Change{HorizonSet: &h})
	}
	return changes
}
