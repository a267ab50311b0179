package sharder

import (
	"math"
	"time"
)

const (
	// A daemon waits ownedShardDelay longer for each shard that it owns before it
	// acquires a vacant one, and overloadDelay longer for each time that its shards
	// would then exceed what it can carry, up to maxOverloadDelay. Each delay exceeds
	// the jitter between equal daemons, and an overload weighs more than an owned
	// shard.
	ownedShardDelay  = 350 * time.Millisecond
	overloadDelay    = 650 * time.Millisecond
	maxOverloadDelay = 1300 * time.Millisecond
)

// ExtraAcquireDelay returns the extra delay before a daemon that owns a number of shards
// acquires another one of the given size, so that daemons that can carry it and own none
// come first.
func ExtraAcquireDelay(self Instance, size float64, owned int) time.Duration {
	load := math.Ceil(float64(owned+1) * size / max(self.Workers(), 1))
	overload := min(time.Duration(max(0, load-1))*overloadDelay, maxOverloadDelay)
	return time.Duration(owned)*ownedShardDelay + overload
}
