package sharder

import "time"

const (
	// weakCores is the share of a core under which a daemon leaves shards to
	// others for weakDelay, and busyDelay by how much longer it does for each
	// shard that it owns already. Each is over the spread of equal daemons.
	weakCores = 0.35
	weakDelay = 300 * time.Millisecond
	busyDelay = 350 * time.Millisecond
)

// Reluctance returns by how much later than others a daemon takes a vacant
// shard, so that strong daemons without one come first.
func Reluctance(cores float64, owned int) time.Duration {
	d := time.Duration(owned) * busyDelay
	if cores < weakCores {
		d += weakDelay
	}
	return d
}
