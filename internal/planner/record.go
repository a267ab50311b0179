package planner

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Progress is what has to outlive an owner of what has happened to a job.
// Where its tasks run is not part of it: the workers list that.
type Progress struct {
	State State `cbor:"state"`
	// Ended has the occurrences that are done.
	Ended       []int                `cbor:"ended,omitempty"`
	Occurrences []OccurrenceProgress `cbor:"occurrences,omitempty"`
}

// OccurrenceProgress is the progress of one occurrence that has begun.
type OccurrenceProgress struct {
	Number int            `cbor:"number"`
	Tasks  []TaskProgress `cbor:"tasks,omitempty"`
}

// TaskProgress is the progress of a task that has ended at least once.
type TaskProgress struct {
	Step  int  `cbor:"step"`
	Index int  `cbor:"index"`
	Done  bool `cbor:"done,omitempty"`
	// Failures has the attempts that failed, so that an end which a worker
	// lists again counts once.
	Failures   []int  `cbor:"failures,omitempty"`
	Checkpoint string `cbor:"checkpoint,omitempty"`
	// Departure is set when the task was handed over to another shard.
	Departure *Departure `cbor:"departure,omitempty"`
}

// Encode returns the stored form of v, a Job or Progress.
func Encode[T Job | Progress](v T) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, errors.Wrap(err, "encode record")
}

// Decode reads the stored form of a Job or Progress.
func Decode[T Job | Progress](data []byte) (T, error) {
	var v T
	err := cbor.Unmarshal(data, &v)
	return v, errors.Wrap(err, "decode record")
}

// progress returns the record of a job.
func (j *job) progress() Progress {
	r := Progress{State: j.state}
	if j.state.isFinal() {
		return r
	}
	for k := range j.ended {
		r.Ended = append(r.Ended, k)
	}
	slices.Sort(r.Ended)
	for _, o := range j.occurrences {
		op := OccurrenceProgress{Number: o.number}
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.done || len(t.failures) > 0 || t.checkpoint != "" || t.departure != nil {
					op.Tasks = append(op.Tasks, TaskProgress{t.id.Step, t.id.Index, t.done, t.failures, t.checkpoint, t.departure})
				}
			}
		}
		if len(op.Tasks) > 0 {
			r.Occurrences = append(r.Occurrences, op)
		}
	}
	return r
}

// restore applies a record to a job that has just been added.
func (j *job) restore(r Progress) {
	j.state = r.State
	if j.state == "" {
		j.state = Queued
	}
	for _, k := range r.Ended {
		j.ended[k] = true
	}
	if j.state.isFinal() {
		return
	}
	for _, op := range r.Occurrences {
		o := j.occurrence(op.Number)
		for _, tp := range op.Tasks {
			if tp.Step < 0 || tp.Step >= len(o.steps) || tp.Index < 0 || tp.Index >= len(o.steps[tp.Step].tasks) {
				continue
			}
			s := o.steps[tp.Step]
			t := s.tasks[tp.Index]
			t.failures, t.checkpoint = tp.Failures, tp.Checkpoint
			if tp.Departure != nil {
				t.departure, t.move = tp.Departure, tp.Departure.Move
				t.leave()
			}
			if tp.Done && !t.done {
				t.done = true
				s.left--
			}
		}
		o.openSteps()
	}
}
