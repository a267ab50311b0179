package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// handoverAfter is how long a lasting task waits for a place before another
	// shard may have it; each earlier handover makes it wait as long again, so
	// that a task which fits nowhere doesn't keep the store busy. A start on the
	// own shard takes a few plans, so what is left after that found no room.
	handoverAfter = 800 * time.Millisecond
	// urgentAfter is from when a shard may take a task in spite of what it keeps
	// free for short work: it then starts such a task at once.
	urgentAfter = headroomWait
	// maxHolders bounds the shards that have tasks of one job, so that its
	// cancellation fits into one transaction of the store.
	maxHolders = 16
)

// Arrival is a task that was handed over to the shard that has it.
type Arrival struct {
	Step  int `cbor:"step"`
	Index int `cbor:"index"`
	// Attempt is the highest attempt that an earlier shard may have used.
	Attempt int `cbor:"attempt"`
	// Move counts the handovers of the task, so that the latest one holds.
	Move int `cbor:"move"`
	// Waited is for how long the task had waited for a place before.
	Waited time.Duration `cbor:"waited"`
}

// Departure says where a task was handed over to.
type Departure struct {
	Shard string `cbor:"shard"`
	// Move is the number of that handover, as in the Arrival there.
	Move int `cbor:"move"`
}

// Room is what a shard has free on the workers that may get tasks.
type Room struct {
	// Free is the processors that no run has reserved, in thousandths, and
	// Spare those of them which aren't kept for short work.
	Free  int64 `cbor:"free"`
	Spare int64 `cbor:"spare"`
	// Largest is the most that a lasting task can get on one worker once the short
	// tasks there have ended.
	Largest Resources `cbor:"largest"`
	// Workers is how many workers may get tasks.
	Workers int `cbor:"workers"`
}

// Room returns what the shard has free.
func (p *Planner) Room(now time.Time) Room {
	var usable []*Worker
	var r Room
	for _, w := range p.list {
		if p.isUsable(now, w) {
			usable = append(usable, w)
			r.Free += w.free.CPU
			if room := w.roomForLasting(); !w.isKept(now) && room.CPU > r.Largest.CPU {
				r.Largest = room
			}
		}
	}
	p.measureUrgent(now, usable)
	r.Workers = len(usable)
	r.Spare = r.Free - int64(max(0, p.headroom.kept()))
	return r
}

// Unplaced is a group of equal lasting tasks that find no place in the shard.
type Unplaced struct {
	Job   string
	Step  int
	Need  Resources
	Count int
	// IsUrgent is set when they have waited so long that what is kept for short
	// work counts less.
	IsUrgent bool
}

// Unplaced returns the lasting tasks that another shard may have, those that
// wait longest first. Tasks that may still have a run here are not among them.
func (p *Planner) Unplaced(now time.Time) []Unplaced {
	type group struct {
		Unplaced
		waited time.Duration
	}
	var all []group
	for _, j := range p.active {
		if j.Times > 0 || (j.recovered && len(p.suspects) > 0) {
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
	if !s.Lasting || !s.open || t.away || len(t.runs) > 0 || t.readyAt.IsZero() || now.Before(t.retryAt) {
		return false
	}
	if t.hasWorkerKept(now) && now.Sub(t.keptAt) < reserveTrust {
		return false
	}
	since := t.readyAt
	if t.arrivedAt.After(since) {
		since = t.arrivedAt
	}
	return now.Sub(since) > time.Duration(1+t.move)*handoverAfter
}

// Handover is the change that gives tasks of a job to another shard.
type Handover struct {
	// Job is the record for the other shard; its Arrived has only the tasks of
	// this handover.
	Job Job
	To  string
	// Change has the progress from which the tasks are gone. It has to be
	// stored together with the record.
	Change Change
	// undo has what is known of the tasks without the handover.
	undo []moved
}

type moved struct {
	task *task
	from *Departure
	move int
}

// HandOver takes up to count unplaced tasks of a step off this shard. The handover
// counts once HandedOver has been called; until HandoverFailed is called the tasks can't
// start here. The result is false when there is no such task any more.
func (p *Planner) HandOver(now time.Time, h Unplaced, count int, to string) (Handover, bool) {
	j := p.jobs[h.Job]
	if j == nil || j.state.isFinal() || len(j.occurrences) == 0 || h.Step >= len(j.occurrences[0].steps) {
		return Handover{}, false
	}
	if holders := j.shardsOf(); len(holders) >= maxHolders && !slices.Contains(holders, to) {
		return Handover{}, false
	}
	s := j.occurrences[0].steps[h.Step]
	record := j.Job
	record.IsPart, record.Arrived = true, nil
	out := Handover{To: to}
	for _, t := range slices.Clone(s.waiting) {
		if len(out.undo) == count || !p.isUnplaced(now, t) {
			continue
		}
		out.undo = append(out.undo, moved{t, t.departure, t.move})
		t.move++
		t.departure = &Departure{to, t.move}
		t.leave()
		record.Arrived = append(record.Arrived, Arrival{s.number, t.id.Index, max(t.attempt, t.floor), t.move, now.Sub(t.readyAt)})
	}
	if len(out.undo) == 0 {
		return Handover{}, false
	}
	j.changed()
	out.Job = record
	out.Change = Change{Job: j.ID, Version: j.version, Progress: j.progress()}
	return out, true
}

// HandedOver notes that the store has a handover.
func (p *Planner) HandedOver(h Handover) {
	p.Committed([]Change{h.Change})
	j := p.jobs[h.Job.ID]
	if j == nil {
		return
	}
	// What starts elsewhere has begun as far as this shard can tell.
	hasTasks := slices.ContainsFunc(j.occurrences[0].steps, func(s *step) bool {
		return slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.away })
	})
	j.begun = j.begun || !hasTasks
	p.noteJob("handed_over", j, h.To)
}

// HandoverFailed notes that a handover was not and will not be stored.
func (p *Planner) HandoverFailed(h Handover) {
	for _, d := range h.undo {
		d.task.departure, d.task.move, d.task.away = d.from, d.move, false
		p.waitAgain(d.task)
	}
	if j := p.jobs[h.Job.ID]; j != nil {
		j.changed()
	}
}

// waitAgain makes a task wait for a place if it has none and needs one.
func (p *Planner) waitAgain(t *task) {
	if len(t.runs) == 0 && !t.done && !t.away && !slices.Contains(t.step.waiting, t) {
		t.step.waiting = append(t.step.waiting, t)
	}
}

// arrive takes over the tasks of a record that came since it was last read.
func (p *Planner) arrive(now time.Time, j *job, list []Arrival) {
	if j.state.isFinal() || len(j.occurrences) == 0 {
		return
	}
	for _, a := range list {
		t := j.task(0, a.Step, a.Index)
		if t == nil || a.Move <= t.move {
			continue
		}
		t.move, t.floor, t.away, t.departure = a.Move, max(t.floor, a.Attempt), false, nil
		t.readyAt, t.arrivedAt, t.keptAt = now.Add(-a.Waited), now, time.Time{}
		p.waitAgain(t)
	}
}

// leave takes the task off its shard.
func (t *task) leave() {
	t.away = true
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(o *task) bool { return o == t })
}

// leaveAll takes all tasks off the shard, for a job of which it has only what
// arrives.
func (j *job) leaveAll() {
	for _, s := range j.occurrences[0].steps {
		for _, t := range s.tasks {
			t.leave()
		}
	}
}

// task returns a task of the job, nil if there is none with these numbers.
func (j *job) task(occurrence, stepNumber, index int) *task {
	o := j.occurrence(occurrence)
	if stepNumber < 0 || stepNumber >= len(o.steps) || index < 0 || index >= len(o.steps[stepNumber].tasks) {
		return nil
	}
	return o.steps[stepNumber].tasks[index]
}

// shardsOf returns the shards to which tasks of the job were handed over.
func (j *job) shardsOf() []string {
	var list []string
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
