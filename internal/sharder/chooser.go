package sharder

import (
	"math/rand/v2"
	"sync"
)

// room is what is known of a shard: its workers, and the processors that are
// free, less those of the jobs that were sent there since.
type room struct {
	workers int
	free    int64
}

// Chooser chooses the shard of a new job. It is safe for concurrent use.
type Chooser struct {
	mu    sync.Mutex
	rooms []room
}

// NewChooser returns a chooser that knows nothing of the shards yet.
func NewChooser(count int) *Chooser { return &Chooser{rooms: make([]room, count)} }

// SetRoom notes the processors that a shard has free, in thousandths, and how
// many workers it has.
func (c *Chooser) SetRoom(shard int, free int64, workers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if shard >= 0 && shard < len(c.rooms) {
		c.rooms[shard] = room{workers, free}
	}
}

// Choose returns the shard of a new job. Work that reserves processors for a
// long time goes where more are free: there are few such jobs and they are
// large, so that chance alone would fill one shard while another has room. Any
// other job goes by the number of workers.
func (c *Chooser) Choose(id string, lastingCPU int64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rooms) == 1 {
		return 0
	}
	if lastingCPU == 0 {
		return c.byWorkers(id)
	}
	// The better of two at random: every daemon knows the rooms late, and all
	// would send their jobs to the best one until they know more.
	best, other := rand.IntN(len(c.rooms)), rand.IntN(len(c.rooms)-1)
	if other >= best {
		other++
	}
	if c.rooms[other].free > c.rooms[best].free {
		best = other
	}
	c.rooms[best].free -= lastingCPU
	return best
}

// byWorkers spreads ids in proportion to the workers of the shards.
func (c *Chooser) byWorkers(id string) int {
	total := 0
	for _, r := range c.rooms {
		total += r.workers
	}
	if total == 0 {
		return OfJob(id, len(c.rooms))
	}
	at := hash(id, total)
	for n, r := range c.rooms {
		if at -= r.workers; at < 0 {
			return n
		}
	}
	return 0
}
