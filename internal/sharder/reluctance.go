package sharder

import "time"

const (
	// A daemon with fewer than lowCores cores waits lowCoresDelay longer than
	// others before it acquires a vacant shard, and any daemon waits
	// ownedShardDelay longer for each shard that it already owns. Each delay
	// exceeds the jitter between equal daemons.
	lowCores        = 0.35
	lowCoresDelay   = 300 * time.Millisecond
	ownedShardDelay = 350 * time.Millisecond
)

// ExtraAcquireDelay returns the extra delay before a daemon with the given
// number of cores and owned shards acquires a vacant shard, so that daemons with
// enough cores and without a shard come first.
func ExtraAcquireDelay(cores float64, owned int) time.Duration {
	d := time.Duration(owned) * ownedShardDelay
	if cores < lowCores {
		d += lowCoresDelay
	}
	return d
}
