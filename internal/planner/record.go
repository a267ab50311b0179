package planner

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/marshaler"
)

// Progress is the part of a job's state that must survive a change of owner. It
// does not include where the tasks run, because the workers report that.
type Progress struct {
	State State `cbor:"state"`
	// Ended holds the numbers of the occurrences that are done, and Occurrences has the
	// progress of others.
	Ended       numberSet            `cbor:"ended,omitzero"`
	Occurrences []OccurrenceProgress `cbor:"occurrences,omitempty"`
	// Shards names the shards to which tasks of the job were handed over. Each of them
	// keeps a record of the job until it is told that the job is cancelled.
	Shards []string `cbor:"shards,omitempty"`
}

// OccurrenceProgress is the progress of one occurrence that has started.
type OccurrenceProgress struct {
	Number int            `cbor:"number"`
	Steps  []StepProgress `cbor:"steps,omitempty"`
	Tasks  []TaskProgress `cbor:"tasks,omitempty"`
}

// StepProgress has the tasks of a step that are done and of which nothing else must be
// stored. Owners store the progress of a job at each end, so it must be short.
type StepProgress struct {
	Step int `cbor:"step"`
	// Done has a bit for each task, beginning with the lowest bit of the first byte.
	Done []byte `cbor:"done"`
}

// isDone reports whether a task is done.
func (s StepProgress) isDone(index int) bool {
	return index/8 < len(s.Done) && s.Done[index/8]&(1<<(index%8)) != 0
}

// setDone records that a task is done.
func (s *StepProgress) setDone(index int) {
	for len(s.Done) <= index/8 {
		s.Done = append(s.Done, 0)
	}
	s.Done[index/8] |= 1 << (index % 8)
}

// TaskProgress is the progress of a task that has failed, is suspected of a crash, has
// a checkpoint, was handed over or has starts that may still be carried out.
type TaskProgress struct {
	Step  int `cbor:"step"`
	Index int `cbor:"index"`
	// Done is set if the task is done as well. Earlier versions store every done task
	// in this way.
	Done bool `cbor:"done,omitempty"`
	// Failures holds the attempts that failed, so that an end which a worker
	// lists again is counted once. Of a long-running task, it holds one of them.
	Failures   []int  `cbor:"failures,omitempty"`
	Checkpoint string `cbor:"checkpoint,omitempty"`
	// Departure is set when the task was handed over to another shard.
	Departure *Departure `cbor:"departure,omitempty"`
	// Crashes holds the crashes of workers on which the task had just started.
	Crashes []Crash `cbor:"crashes,omitempty"`
	// Attempt is the highest attempt that an owner had used when it had used those of a
	// whole epoch, less the gaps of the epochs before; zero if none has.
	Attempt int `cbor:"attempt,omitempty"`
	// LateStarts holds the starts that may still be carried out. Earlier versions don't
	// know them.
	LateStarts []LateStart `cbor:"late_starts,omitempty"`
}

// Encode returns the stored form of v. It fails if a time of v is outside of the years 0 to
// 9999.
func Encode[T Job | Progress](v T) ([]byte, error) {
	data, err := marshaler.Marshal(v)
	return data, errors.Wrap(err, "encode record")
}

// Decode decodes the stored form of a Job or Progress.
func Decode[T Job | Progress](data []byte) (T, error) {
	var v T
	err := marshaler.Unmarshal(data, &v)
	return v, errors.Wrap(err, "decode record")
}

// progress returns the job's progress for the store.
func (j *job) progress() Progress {
	r := Progress{State: j.state}
	if j.state.IsFinal() {
		return r
	}
	r.Ended.ranges = slices.Clone(j.ended.ranges)
	r.Shards = j.shards
	for _, o := range j.occurrences {
		if j.ended.has(o.number) {
			continue
		}
		op := OccurrenceProgress{Number: o.number}
		for _, s := range o.steps {
			done := StepProgress{Step: s.number}
			for _, t := range s.tasks {
				if t.done && t.departure == nil {
					done.setDone(t.id.Index)
					continue
				}
				if t.done || len(t.failures) > 0 || t.checkpoint != "" || t.departure != nil || len(t.crashes) > 0 || t.raisedFloor > 0 || len(t.lateStarts) > 0 {
					op.Tasks = append(op.Tasks, TaskProgress{t.id.Step, t.id.Index, t.done, t.failures, t.checkpoint, t.departure, t.crashes, t.raisedFloor, t.storedLateStarts()})
				}
			}
			if len(done.Done) > 0 {
				op.Steps = append(op.Steps, done)
			}
		}
		if len(op.Tasks) > 0 || len(op.Steps) > 0 {
			r.Occurrences = append(r.Occurrences, op)
		}
	}
	return r
}

// Reduced returns the progress without what its job can do without: checkpoints, whose work
// is done again, and crashes, after which a task is kept apart.
func (r Progress) Reduced() Progress {
	r.Occurrences = slices.Clone(r.Occurrences)
	for i := range r.Occurrences {
		o := &r.Occurrences[i]
		o.Tasks = slices.Clone(o.Tasks)
		for n := range o.Tasks {
			o.Tasks[n].Checkpoint, o.Tasks[n].Crashes = "", nil
		}
		o.Tasks = slices.DeleteFunc(o.Tasks, TaskProgress.isEmpty)
	}
	return r
}

func (t TaskProgress) isEmpty() bool {
	return !t.Done && len(t.Failures) == 0 && t.Checkpoint == "" && t.Departure == nil && len(t.Crashes) == 0 && t.Attempt == 0 && len(t.LateStarts) == 0
}

// restore applies stored progress to a newly added job.
func (p *Planner) restore(now time.Time, j *job, r Progress) {
	j.state = r.State
	if j.state == "" {
		j.state = Queued
	}
	j.shards = r.Shards
	j.ended.ranges = slices.Clone(r.Ended.ranges)
	j.hasStarted = !r.Ended.IsZero()
	if j.state.IsFinal() {
		return
	}
	for _, op := range r.Occurrences {
		if j.ended.has(op.Number) {
			// Earlier versions store the progress of these too.
			continue
		}
		o := j.occurrence(op.Number)
		for _, tp := range op.Tasks {
			if tp.Step < 0 || tp.Step >= len(o.steps) || tp.Index < 0 || tp.Index >= len(o.steps[tp.Step].tasks) {
				continue
			}
			s := o.steps[tp.Step]
			t := s.tasks[tp.Index]
			t.setFailures(tp.Failures)
			t.checkpoint, t.crashes = tp.Checkpoint, tp.Crashes
			t.hasStoredCrashes = len(tp.Crashes) > 0
			t.raisedFloor, t.attemptFloor = tp.Attempt, max(t.attemptFloor, tp.Attempt)
			p.restoreLateStarts(now, t, tp.LateStarts)
			j.hasStarted = j.hasStarted || tp.Done || len(tp.Failures) > 0 || tp.Checkpoint != "" || len(tp.Crashes) > 0
			if tp.Departure != nil {
				t.departure, t.handovers = tp.Departure, tp.Departure.Move
				t.markElsewhere()
			}
			if tp.Done {
				t.restoreDone()
			}
		}
		for _, sp := range op.Steps {
			if sp.Step < 0 || sp.Step >= len(o.steps) {
				continue
			}
			for _, t := range o.steps[sp.Step].tasks {
				if sp.isDone(t.id.Index) {
					t.restoreDone()
					j.hasStarted = true
				}
			}
		}
		o.openSteps()
	}
}

// restoreDone marks a task as done that an earlier owner has stored as done.
func (t *task) restoreDone() {
	if !t.done {
		t.done = true
		t.step.unfinished--
	}
}
