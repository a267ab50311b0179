package sharder

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// maxUrgent bounds how many urgent tasks are counted into the rooms of a shard.
const maxUrgent = 64

// maxRoomAge is how long ago an announcement may have been received for tasks to be handed
// over to the shard. Owners announce every 0.7 s, and announcements are read every second;
// each may take 0.4 s with a slow store. That of a shard whose owner has ended stays stored,
// and tasks handed over to it would wait for its next owner.
const maxRoomAge = 3 * time.Second

// Chooser chooses the shard of a new job. It is safe for concurrent use.
type Chooser struct {
	mu sync.Mutex
	// rooms has the free capacity that each shard announced last, less the
	// capacity that this chooser has assigned to the shard since then.
	rooms []planner.Room
	// parts holds, by shard and by the shard that hands over, which of the announced
	// Rooms urgent tasks of the latter may use. Owners learn of what others take late,
	// so each has rooms of its own.
	parts [][]planner.Room
	// announcedAt is when the last announcement of each shard was received.
	announcedAt []time.Time
}

// NewChooser returns a chooser for count shards whose free capacity is still
// unknown.
func NewChooser(count int) *Chooser {
	return &Chooser{rooms: make([]planner.Room, count), parts: make([][]planner.Room, count), announcedAt: make([]time.Time, count)}
}

// SetRoom sets the free capacity that a shard has announced.
func (c *Chooser) SetRoom(shard int, r planner.Room) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if shard < 0 || shard >= len(c.rooms) {
		return
	}
	c.rooms[shard], c.announcedAt[shard] = r, time.Now()
	parts := make([]planner.Room, len(c.rooms))
	others := max(1, len(c.rooms)-1)
	for n := range parts {
		// The shards that may hand over are numbered from the one before the shard that
		// takes, so that the first rooms of each are for another shard.
		number := (shard - n - 1 + len(parts)) % len(parts)
		for i := number; i < len(r.Rooms) && n != shard; i += others {
			parts[n].Rooms = append(parts[n].Rooms, r.Rooms[i])
		}
	}
	c.parts[shard] = parts
}

// isAnnounced reports whether the room of a shard was announced lately.
func (c *Chooser) isAnnounced(shard int) bool { return time.Since(c.announcedAt[shard]) <= maxRoomAge }

// urgentFit returns how many urgent tasks of shard from fit into the rooms that shard to
// has for them.
func (c *Chooser) urgentFit(from, to int, need planner.Resources) int64 {
	if c.parts[to] == nil {
		return 0
	}
	rooms := planner.Room{Rooms: slices.Clone(c.parts[to][from].Rooms)}
	return int64(rooms.Take(need, maxUrgent))
}

// Demand is the CPU that a job reserves, in millicores.
type Demand struct {
	// LongRunning is what the job's long-running tasks reserve. Short is the
	// most that the tasks of one of its other steps reserve.
	LongRunning, Short int64
}

// DemandOf returns the demand of a job.
func DemandOf(j planner.Job) Demand {
	var d Demand
	for i := range j.Steps {
		switch s := &j.Steps[i]; {
		case s.BestEffort:
		case s.LongRunning:
			d.LongRunning += int64(s.Count) * s.Need.CPU
		default:
			d.Short = max(d.Short, int64(s.Count)*s.Need.CPU)
		}
	}
	return d
}

// Choose returns the shard of a new job. A job that reserves processors goes to
// a shard with more free processors: a wide job may need more than one shard
// has free at the moment, and long-running tasks would fill one shard while
// another has free capacity. Jobs that only use unreserved processors are
// spread in proportion to the workers of the shards.
func (c *Chooser) Choose(id string, d Demand) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.rooms) == 1:
		return 0
	case d.LongRunning > 0:
		n := c.betterOfTwo(func(r planner.Room) int64 { return r.Spare }, d.LongRunning)
		c.rooms[n].Spare -= d.LongRunning
		return n
	case d.Short > 0:
		n := c.betterOfTwo(func(r planner.Room) int64 { return r.Free }, d.Short)
		c.rooms[n].Free -= d.Short
		return n
	default:
		return c.chooseByWorkers(id)
	}
}

// betterOfTwo returns the one of two random shards that has more room. Every
// daemon learns of free capacity late, so if all daemons chose the shard with
// the most room, that shard would get all their jobs until the next
// announcement. If neither of the two shards has enough room, betterOfTwo
// returns the shard with the most room of all.
func (c *Chooser) betterOfTwo(room func(planner.Room) int64, need int64) int {
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

// Place returns a shard for long-running tasks that can't be placed in shard from, and how
// many of the count tasks that shard may get; 0 if no other shard has room. Urgent tasks may
// also use the headroom for short work, up to the room on one worker, or up to the part of
// the announced rooms that from may use. The shard is drawn with a probability in proportion
// to its room. Owners learn of free capacity late, so if all owners chose the shard with the
// most room, that shard would get all their tasks.
func (c *Chooser) Place(from int, need planner.Resources, count int, isUrgent bool) (shard, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unit := max(1, need.CPU)
	fits := make([]int64, len(c.rooms))
	var total int64
	for n, r := range c.rooms {
		if n == from || !c.isAnnounced(n) {
			continue
		}
		if r.Largest.Fits(need) {
			fits[n] = max(0, r.Spare/unit)
			if isUrgent {
				fits[n] = max(fits[n], r.Largest.CPU/unit)
			}
		}
		if isUrgent {
			fits[n] = max(fits[n], c.urgentFit(from, n, need))
		}
		total += fits[n]
	}
	if total == 0 {
		return 0, 0
	}
	drawn := rand.Int64N(total)
	for drawn >= fits[shard] {
		drawn -= fits[shard]
		shard++
	}
	tasks = int(min(int64(count), fits[shard]))
	r := &c.rooms[shard]
	r.Spare -= int64(tasks) * need.CPU
	if r.Spare < 0 {
		// The largest worker may be full now; the next announcement shows its
		// free capacity.
		r.Largest = planner.Resources{}
	}
	if parts := c.parts[shard]; parts != nil {
		parts[from].Take(need, tasks)
	}
	return shard, tasks
}

// HasRoom reports whether a shard other than from has room for a long-running task.
func (c *Chooser) HasRoom(from int, need planner.Resources) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, r := range c.rooms {
		if n != from && c.isAnnounced(n) && r.Largest.Fits(need) && r.Spare >= need.CPU {
			return true
		}
	}
	return false
}

// chooseByWorkers spreads ids in proportion to the workers of the shards.
func (c *Chooser) chooseByWorkers(id string) int {
	total := 0
	for _, r := range c.rooms {
		total += r.Workers
	}
	if total == 0 {
		return OfJob(id, len(c.rooms))
	}
	at := hashTo(id, total)
	for n, r := range c.rooms {
		if at -= r.Workers; at < 0 {
			return n
		}
	}
	return 0
}
