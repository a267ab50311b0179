package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// horizonLengths are how long after a record the leases of each class may be
// renewed. A failure domain can be cut off for an hour, and its services
// continue to run for that time. Batch jobs and watchers start elsewhere only
// after their horizon has passed, so their horizon is shorter.
var horizonLengths = []HorizonSet{
	{declarer.ClassBatch, 15 * time.Minute},
	{declarer.ClassWatcher, 15 * time.Minute},
	{declarer.ClassService, 2 * time.Hour},
}

// extendHorizons records a new horizon of each class after a third of its
// length. The driver renews leases up to the horizon once the record is
// committed. If an earlier owner may have renewed the leases of a worker, the
// driver reports them as expired only after the last horizon of that owner.
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
