package sharder

import (
	"math/rand/v2"
	"sync"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// Chooser chooses the shard of a new job. It is safe for concurrent use.
type Chooser struct {
	mu sync.Mutex
	// rooms has the announced room of each shard, less what was sent there since.
	rooms []planner.Room
}

// NewChooser returns a chooser that knows nothing of the shards yet.
func NewChooser(count int) *Chooser { return &Chooser{rooms: make([]planner.Room, count)} }

// SetRoom notes the room that a shard has announced.
func (c *Chooser) SetRoom(shard int, r planner.Room) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if shard >= 0 && shard < len(c.rooms) {
		c.rooms[shard] = r
	}
}

// Demand is what a job reserves, in thousandths of a core.
type Demand struct {
	// Lasting is what its lasting tasks reserve, and Short the most that the tasks
	// of one of its other steps do.
	Lasting, Short int64
}

// DemandOf returns the demand of a job.
func DemandOf(j planner.Job) Demand {
	var d Demand
	for i := range j.Steps {
		switch s := &j.Steps[i]; {
		case s.BestEffort:
		case s.LongRunning:
			d.Lasting += int64(s.Count) * s.Need.CPU
		default:
			d.Short = max(d.Short, int64(s.Count)*s.Need.CPU)
		}
	}
	return d
}

// Choose returns the shard of a new job. Work that reserves processors goes where
// more are free: a wide job may need more than one shard has at the moment, and
// lasting ones would fill one shard while another has room. Work that fills goes
// by the number of workers.
func (c *Chooser) Choose(id string, d Demand) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.rooms) == 1:
		return 0
	case d.Lasting > 0:
		n := c.better(func(r planner.Room) int64 { return r.Spare }, d.Lasting)
		c.rooms[n].Spare -= d.Lasting
		return n
	case d.Short > 0:
		n := c.better(func(r planner.Room) int64 { return r.Free }, d.Short)
		c.rooms[n].Free -= d.Short
		return n
	default:
		return c.byWorkers(id)
	}
}

// better returns the better of two shards at random: every daemon knows the rooms
// late, and all would send their jobs to the best one until they know more. Only
// what neither has room for goes to the best of all.
func (c *Chooser) better(room func(planner.Room) int64, need int64) int {
	best, other := rand.IntN(len(c.rooms)), rand.IntN(len(c.rooms)-1)
	if other >= best {
		other++
	}
	if room(c.rooms[other]) > room(c.rooms[best]) {
		best = other
	}
	if room(c.rooms[best]) >= need {
		return best
	}
	for n, r := range c.rooms {
		if room(r) > room(c.rooms[best]) {
			best = n
		}
	}
	return best
}

// Place returns a shard for lasting tasks that find no place in shard from, and
// how many of count it may get. Urgent tasks go also where the room is kept for
// short work, as many as one worker has room for. The shard is drawn in proportion
// to the room: owners know it late, and the best one would get the tasks of all.
func (c *Chooser) Place(from int, need planner.Resources, count int, isUrgent bool) (shard, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unit := max(1, need.CPU)
	fits := make([]int64, len(c.rooms))
	var all int64
	for n, r := range c.rooms {
		if n == from || !r.Largest.Fits(need) {
			continue
		}
		fits[n] = max(0, r.Spare/unit)
		if isUrgent {
			fits[n] = max(fits[n], r.Largest.CPU/unit)
		}
		all += fits[n]
	}
	if all == 0 {
		return 0, 0
	}
	drawn := rand.Int64N(all)
	for drawn >= fits[shard] {
		drawn -= fits[shard]
		shard++
	}
	tasks = int(min(int64(count), fits[shard]))
	r := &c.rooms[shard]
	r.Spare -= int64(tasks) * need.CPU
	if r.Spare < 0 {
		// The largest worker may be taken now; the next announcement tells.
		r.Largest = planner.Resources{}
	}
	return shard, tasks
}

// byWorkers spreads ids in proportion to the workers of the shards.
func (c *Chooser) byWorkers(id string) int {
	total := 0
	for _, r := range c.rooms {
		total += r.Workers
	}
	if total == 0 {
		return OfJob(id, len(c.rooms))
	}
	at := hash(id, total)
	for n, r := range c.rooms {
		if at -= r.Workers; at < 0 {
			return n
		}
	}
	return 0
}
