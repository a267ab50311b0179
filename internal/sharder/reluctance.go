package sharder

import "time"

const (
	// lowCores is the number of cores below which a daemon waits lowCoresDelay
	// longer before it acquires a vacant shard, and ownedShardDelay is added
	// for each shard that the daemon already owns. Each delay exceeds the
	// jitter between equal daemons.
	lowCores        = 0.35
	lowCoresDelay   = 300 * time.Millisecond
	ownedShardDelay = 350 * time.Millisecond
)

// ExtraAcquireDelay returns the extra delay before a daemon acquires a vacant
// shard, so that daemons with enough cores and without a shard come first.
func ExtraAcquireDelay(cores float64, owned int) time.Duration {
	d := time.Duration(owned) * ownedShardDelay
	if cores < lowCores {
		d += lowCoresDelay
	}
	return d
}
