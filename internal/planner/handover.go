package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// handoverAfter is how long a long-running task waits for a place before it
	// is offered to other shards. Each earlier handover adds the same time
	// again, so that a task which fits nowhere does not load the store. A start
	// in this shard takes a few plans at most, so a task that still waits after
	// this time found no room.
	handoverAfter = 800 * time.Millisecond
	// urgentAfter is the wait after which another shard may accept a task
	// despite the headroom that it keeps for short work. That shard then starts
	// the task immediately.
	urgentAfter = headroomWait
	// maxShardsPerJob limits the shards that have tasks of one job, so that a
	// cancellation fits into one transaction of the store.
	maxShardsPerJob = 16
	// maxRooms limits the rooms that a shard announces, and so the tasks that other
	// shards hand over to it despite its headroom until the next announcement. With the
	// room of one worker, tasks of a shard without room waited for up to 26 s.
	maxRooms = 24
)

// Arrival describes a task that another shard handed over to this one.
type Arrival struct {
	Step  int `cbor:"step"`
	Index int `cbor:"index"`
	// Attempt is the highest attempt that an earlier shard may have used.
	Attempt int `cbor:"attempt"`
	// Move is the number of the handover, counted per task. Of the records that
	// several shards have of a task, the one with the highest number is valid.
	Move int `cbor:"move"`
	// Waited is how long the task had waited for a place before the handover.
	Waited time.Duration `cbor:"waited"`
	// Crashes holds the crashes of workers on which the task had just started.
	Crashes []Crash `cbor:"crashes,omitempty"`
}

// IsSameMove reports whether two records describe the same handover of a task of the
// same job.
func (a Arrival) IsSameMove(o Arrival) bool {
	return a.Step == o.Step && a.Index == o.Index && a.Move == o.Move
}

// MergeArrivals returns the arrivals of a job with later ones added. Of each task, only the
// last arrival matters.
func MergeArrivals(known, later []Arrival) []Arrival {
	kept := slices.DeleteFunc(slices.Clone(known), func(a Arrival) bool {
		return slices.ContainsFunc(later, func(o Arrival) bool { return a.Step == o.Step && a.Index == o.Index && a.Move < o.Move })
	})
	return append(kept, later...)
}

// Departure records the shard to which a task was handed over.
type Departure struct {
	Shard string `cbor:"shard"`
	// Move is the number of the handover, as in the corresponding Arrival.
	Move int `cbor:"move"`
}

// Room is the free capacity of a shard on the workers that may get tasks.
type Room struct {
	// Free is the CPU that is not reserved by runs, and Spare is the part of
	// Free that is neither headroom for short work nor needed by long-running tasks
	// that wait in the shard, both in millicores.
	Free  int64 `cbor:"free"`
	Spare int64 `cbor:"spare"`
	// Largest is the most that a long-running task can get on one worker once
	// the short tasks there have ended. It is zero if the waiting tasks of the
	// shard need more than Free.
	Largest Resources `cbor:"largest"`
	// Rooms holds what long-running tasks can get on the workers with the most CPU
	// left for them, as in Largest, less what the waiting tasks of the shard need. It is
	// sorted by CPU, the most first. Shards of earlier versions announce none.
	Rooms []Resources `cbor:"rooms,omitempty"`
	// Workers is the number of workers that may get tasks.
	Workers int `cbor:"workers"`
}

// Room returns the free capacity of the shard.
func (p *Planner) Room(now time.Time) Room {
	var usable []*Worker
	var r Room
	for _, w := range p.sortedWorkers {
		if !p.isUsable(now, w) {
			continue
		}
		usable = append(usable, w)
		r.Free += w.freeCPU()
		if room := w.roomForLongRunning(); !w.isReserved(now) && room.CPU > 0 {
			r.Rooms = append(r.Rooms, room)
			if room.CPU > r.Largest.CPU {
				r.Largest = room
			}
		}
	}
	p.updateHeadroom(now, usable)
	r.Workers = len(usable)
	var claimed int64
	claims := p.claims(r.Largest)
	for _, need := range claims {
		claimed += need.CPU
		takeRoom(r.Rooms, need)
	}
	r.Spare = r.Free - int64(max(0, p.headroom.required())) - claimed
	if claimed > r.Free {
		r.Largest, r.Rooms = Resources{}, nil
	}
	slices.SortFunc(r.Rooms, func(a, b Resources) int { return cmp.Compare(b.CPU, a.CPU) })
	r.Rooms = r.Rooms[:min(len(r.Rooms), maxRooms)]
	return r
}

// takeRoom deducts a need from the room with the least CPU into which it fits, so that
// large rooms are left for large tasks, and reports whether there is one.
func takeRoom(rooms []Resources, need Resources) bool {
	best := -1
	for i, room := range rooms {
		if room.Fits(need) && (best < 0 || room.CPU < rooms[best].CPU) {
			best = i
		}
	}
	if best >= 0 {
		rooms[best] = rooms[best].minus(need)
	}
	return best >= 0
}

// Take deducts up to count tasks from the rooms and returns how many fit.
func (r *Room) Take(need Resources, count int) int {
	taken := 0
	for taken < count && takeRoom(r.Rooms, need) {
		taken++
	}
	return taken
}

// claims returns the needs of the waiting long-running tasks that fit into largest and
// are admitted despite the headroom. A new owner that holds them back until all workers
// have answered would otherwise announce their room, and get tasks from all other shards
// that it has to hand over one after the other.
func (p *Planner) claims(largest Resources) []Resources {
	var list []Resources
	for _, j := range p.activeJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.LongRunning || !s.isOpen || !largest.Fits(s.reserved()) {
					continue
				}
				for _, t := range s.waiting {
					if !t.done && len(t.runs) == 0 && t.mayHaveRun() {
						list = append(list, s.reserved())
					}
				}
			}
		}
	}
	return list
}

// Unplaced is a group of identical long-running tasks that fit on no worker of
// the shard.
type Unplaced struct {
	Job   string
	Step  int
	Need  Resources
	Count int
	// IsUrgent is set when a task of the group has waited so long that another
	// shard should accept it despite its headroom.
	IsUrgent bool
}

// Unplaced returns the long-running tasks that may be handed over to another
// shard, those that have waited longest first. It excludes tasks that may still
// have a run here, or get one by a start that is carried out late.
func (p *Planner) Unplaced(now time.Time) []Unplaced {
	type group struct {
		Unplaced
		waited time.Duration
	}
	var all []group
	for _, j := range p.activeJobs {
		if j.Times > 0 || (j.mayHaveUnverifiedRuns && p.hasUnverifiedWorkers(j)) {
			continue
		}
		for _, s := range j.occurrences[0].steps {
			g := group{Unplaced: Unplaced{Job: j.ID, Step: s.number, Need: s.reserved()}}
			for _, t := range s.waiting {
				if p.isUnplaced(now, t) {
					g.Count++
					g.waited = max(g.waited, now.Sub(t.readyAt))
				}
			}
			if g.Count > 0 {
				g.IsUrgent = g.waited > urgentAfter
				all = append(all, g)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b group) int { return cmp.Compare(b.waited, a.waited) })
	list := make([]Unplaced, len(all))
	for i := range all {
		list[i] = all[i].Unplaced
	}
	return list
}

func (p *Planner) isUnplaced(now time.Time, t *task) bool {
	s := t.step
	if !s.LongRunning || !s.isOpen || t.isElsewhere || len(t.runs) > 0 || t.readyAt.IsZero() || now.Before(t.retryAt) || len(t.lateStarts) > 0 {
		return false
	}
	if t.hasReservedWorker(now) && now.Sub(t.reservedAt) < reserveHandoverDelay {
		return false
	}
	since := t.readyAt
	if t.arrivedAt.After(since) {
		since = t.arrivedAt
	}
	return now.Sub(since) > time.Duration(1+t.handovers)*handoverAfter
}

// Handover is the change that transfers tasks of a job to another shard.
type Handover struct {
	// Job is the record for the receiving shard; its Arrived holds only the
	// tasks of this handover.
	Job Job
	To  string
	// Change is the job's progress in this shard after the handover. It must be
	// stored in the same transaction as the record.
	Change Change
	// undo holds the state of the tasks, and shards that of the job, before the handover.
	undo   []movedTask
	shards []string
}

// movedTask holds the departure and the number of handovers that a task had
// before a handover.
type movedTask struct {
	task      *task
	departure *Departure
	handovers int
}

// HandOver removes up to count unplaced tasks of a step from this shard. The
// handover takes effect once HandedOver has been called. The tasks can't start
// here unless HandoverFailed is called. The result is false if there is no such
// task any more, or if the job already has tasks in too many shards.
func (p *Planner) HandOver(now time.Time, h Unplaced, count int, to string) (Handover, bool) {
	j := p.jobs[h.Job]
	if j == nil || j.state.IsFinal() || len(j.occurrences) == 0 || h.Step >= len(j.occurrences[0].steps) {
		return Handover{}, false
	}
	shards := j.handoverShards()
	if len(shards) >= maxShardsPerJob && !slices.Contains(shards, to) {
		return Handover{}, false
	}
	s := j.occurrences[0].steps[h.Step]
	record := j.Job
	record.IsPart, record.Arrived = true, nil
	out := Handover{To: to, shards: j.shards}
	for _, t := range slices.Clone(s.waiting) {
		if len(out.undo) == count || !p.isUnplaced(now, t) {
			continue
		}
		out.undo = append(out.undo, movedTask{t, t.departure, t.handovers})
		t.handovers++
		t.departure = &Departure{to, t.handovers}
		t.markElsewhere()
		record.Arrived = append(record.Arrived, Arrival{s.number, t.id.Index, p.nextAttempt(t) - 1, t.handovers, now.Sub(t.readyAt), t.crashes})
	}
	if len(out.undo) == 0 {
		return Handover{}, false
	}
	j.shards = j.handoverShards()
	j.markChanged()
	out.Job = record
	out.Change = Change{Job: j.ID, Version: j.version, Progress: j.progress()}
	return out, true
}

// HandedOver records that a handover is in the store.
func (p *Planner) HandedOver(h Handover) {
	p.Committed([]Change{h.Change})
	j := p.jobs[h.Job.ID]
	if j == nil {
		return
	}
	// This shard does not see the starts of a job whose tasks are all
	// elsewhere, so the job counts as started.
	hasTasks := slices.ContainsFunc(j.occurrences[0].steps, func(s *step) bool {
		return slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.isElsewhere })
	})
	j.hasStarted = j.hasStarted || !hasTasks
	p.reportJob("handed_over", j, h.To)
}

// HandoverFailed records that a handover was not stored and will not be, and
// queues its tasks here again.
func (p *Planner) HandoverFailed(h Handover) {
	for _, d := range h.undo {
		d.task.departure, d.task.handovers, d.task.isElsewhere = d.departure, d.handovers, false
		p.enqueue(d.task)
	}
	if j := p.jobs[h.Job.ID]; j != nil {
		j.shards = h.shards
		j.markChanged()
	}
}

// enqueue adds a task to the waiting tasks of its step if the task has no run,
// is not done and belongs to this shard.
func (p *Planner) enqueue(t *task) {
	if len(t.runs) == 0 && !t.done && !t.isElsewhere && !slices.Contains(t.step.waiting, t) {
		t.step.waiting = append(t.step.waiting, t)
	}
}

// acceptArrivals takes over the tasks that have arrived from other shards since
// the record was last read.
func (p *Planner) acceptArrivals(now time.Time, j *job, list []Arrival) {
	if j.state.IsFinal() || len(j.occurrences) == 0 {
		return
	}
	for _, a := range list {
		t := j.task(0, a.Step, a.Index)
		if t == nil || a.Move <= t.handovers {
			continue
		}
		t.handovers, t.attemptFloor, t.isElsewhere, t.departure = a.Move, max(t.attemptFloor, a.Attempt), false, nil
		t.readyAt, t.arrivedAt, t.reservedAt = now.Add(-a.Waited), now, time.Time{}
		if !t.hasStoredCrashes {
			t.crashes = a.Crashes
		}
		p.enqueue(t)
	}
}

// markElsewhere removes a task that another shard has from the waiting tasks.
func (t *task) markElsewhere() {
	t.isElsewhere, t.hasStoredCrashes = true, false
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(o *task) bool { return o == t })
}

// markAllElsewhere removes all tasks of a job of which this shard only has the
// tasks that arrive.
func (j *job) markAllElsewhere() {
	for _, s := range j.occurrences[0].steps {
		for _, t := range s.tasks {
			t.markElsewhere()
		}
	}
}

// task returns a task of the job, or nil if no task has these numbers.
func (j *job) task(occurrence, stepNumber, index int) *task {
	o := j.occurrence(occurrence)
	if stepNumber < 0 || stepNumber >= len(o.steps) || index < 0 || index >= len(o.steps[stepNumber].tasks) {
		return nil
	}
	return o.steps[stepNumber].tasks[index]
}

// handoverShards returns the sorted names of the shards to which tasks of the
// job were handed over, also of those from which the tasks have moved on.
func (j *job) handoverShards() []string {
	list := slices.Clone(j.shards)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.departure != nil && !slices.Contains(list, t.departure.Shard) {
					list = append(list, t.departure.Shard)
				}
			}
		}
	}
	slices.Sort(list)
	return list
}
