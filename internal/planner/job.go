package planner

import (
	"fmt"
	"slices"
	"time"
)

// Resources is an amount of a worker's capacity.
type Resources struct {
	// CPU is in millicores.
	CPU int64 `cbor:"cpu"`
	// Memory is in MB.
	Memory int64 `cbor:"memory"`
	// GPU is the number of accelerators.
	GPU int64 `cbor:"gpu"`
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

func (r Resources) times(n int) Resources {
	return Resources{r.CPU * int64(n), r.Memory * int64(n), r.GPU * int64(n)}
}

// Least returns the lesser of each amount of r and o.
func (r Resources) Least(o Resources) Resources {
	return Resources{min(r.CPU, o.CPU), min(r.Memory, o.Memory), min(r.GPU, o.GPU)}
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.CPU <= r.CPU && o.Memory <= r.Memory && o.GPU <= r.GPU
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count    int           `cbor:"count"`
	Need     Resources     `cbor:"need"`
	Estimate time.Duration `cbor:"estimate"`
	// After holds the indexes of earlier steps that must be done first.
	After []int `cbor:"after,omitempty"`
	// Checkpoints is set when the tasks save checkpoints of their progress.
	Checkpoints bool `cbor:"checkpoints,omitempty"`
	// Speculative allows two concurrent runs of one task.
	Speculative bool `cbor:"speculative,omitempty"`
	// LongRunning is set when the tasks run until the job is cancelled.
	LongRunning bool `cbor:"lasting,omitempty"`
	// BestEffort is set when the tasks are best-effort: they use processors
	// that other tasks leave idle, and their CPU need is not reserved.
	BestEffort bool `cbor:"fills,omitempty"`
	// Gang is set when the tasks of the step only work if they all run at the
	// same time.
	Gang          bool   `cbor:"gang,omitempty"`
	SameRack      bool   `cbor:"same_rack,omitempty"`
	RequiredLabel string `cbor:"required_label,omitempty"`
	PreferredRack string `cbor:"preferred_rack,omitempty"`
	Image         string `cbor:"image,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; zero means no
	// limit.
	MaxPerWorker int `cbor:"max_per_worker,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step the scheduler's
	// own stops may make unavailable at the same time.
	MaxUnavailable int `cbor:"may_miss,omitempty"`
	// LatencyTarget is the highest acceptable tail latency of a long-running
	// task; zero means no target.
	LatencyTarget time.Duration `cbor:"latency_target,omitempty"`
}

// reserved returns the resources that a run of the step reserves on its worker.
func (s *Step) reserved() Resources {
	r := s.Need
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Queue is an operator-defined class of jobs.
type Queue struct {
	Name string `cbor:"name"`
	// Service is the pool of workers that run the queue's tasks.
	Service string `cbor:"service"`
	// Priority orders the queues; 0 is the highest priority.
	Priority int `cbor:"priority"`
	// Attempts is the number of failures of one task at which its job fails.
	Attempts int `cbor:"attempts"`
	// Stretch and Slack define the objective of a job: Stretch times the
	// longest chain of estimated work through its steps, plus Slack.
	Stretch float64       `cbor:"stretch"`
	Slack   time.Duration `cbor:"slack"`
}

// Job is an accepted submission.
type Job struct {
	// ID is chosen by the client and unique across all shards.
	ID    string `cbor:"id"`
	Queue Queue  `cbor:"queue"`
	// Payload is passed to each task uninterpreted.
	Payload string `cbor:"payload"`
	Steps   []Step `cbor:"steps"`
	// Times is the number of scheduled occurrences of the steps; zero means a
	// single occurrence that starts immediately.
	Times int `cbor:"times,omitempty"`
	// First is the wall-clock time at which occurrence 0 is due.
	First    time.Time     `cbor:"first,omitempty"`
	Interval time.Duration `cbor:"interval,omitempty"`
	// Received is the wall-clock time at which the job was received.
	Received time.Time `cbor:"received"`
	// Organisation is the name of the organisation on whose behalf the job was
	// submitted; empty if there is none.
	Organisation string `cbor:"organisation,omitempty"`
	// IsPart is set in a shard that has only some of the job's tasks, those in
	// Arrived.
	IsPart bool `cbor:"is_part,omitempty"`
	// Arrived holds the tasks that other shards handed over to this one.
	Arrived []Arrival `cbor:"arrived,omitempty"`
}

// MaxTasks limits the tasks of one job, of each occurrence if it has several.
const MaxTasks = 10000

const (
	// maxAmount limits each resource that a task needs, so that sums over tasks don't
	// overflow.
	maxAmount = 1 << 40
	// maxWork limits the estimated work of all tasks of a job, and its interval.
	maxWork = 10 * 365 * 24 * time.Hour
)

// JobError reports why a job is rejected.
type JobError struct {
	Field   string
	Problem string
}

func (e *JobError) Error() string { return fmt.Sprintf("job: %s %s", e.Field, e.Problem) }

// Check returns a JobError if the job can't be scheduled as declared.
func (j *Job) Check() error {
	if len(j.Steps) == 0 {
		return &JobError{"steps", "must not be empty"}
	}
	total, work := 0, 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		field := fmt.Sprintf("steps[%d]", i)
		switch {
		case s.Count < 1:
			return &JobError{field, "must have at least one task"}
		case s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.LatencyTarget < 0:
			return &JobError{field, "must not have negative numbers"}
		case s.Gang && s.LongRunning:
			return &JobError{field, "can't be both a gang and long-running"}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &JobError{field, "may depend on earlier steps only"}
			}
		}
		if s.Need.CPU > maxAmount || s.Need.Memory > maxAmount || s.Need.GPU > maxAmount {
			return &JobError{field, fmt.Sprintf("must not need more than %d of a resource", int64(maxAmount))}
		}
		work += float64(s.Count) * float64(s.Estimate)
		if work > float64(maxWork) {
			return &JobError{field, "must not have more than ten years of work"}
		}
		total += s.Count
		if s.Count > MaxTasks || total > MaxTasks {
			return &JobError{"steps", fmt.Sprintf("must have at most %d tasks", MaxTasks)}
		}
	}
	if j.Times < 0 || j.Interval < 0 {
		return &JobError{"schedule", "must not have negative numbers"}
	}
	if j.Interval > maxWork {
		return &JobError{"schedule", "must not have more than ten years between occurrences"}
	}
	return nil
}

// CheckCap returns a JobError if a gang of the job can't start under the cap of the job's
// organisation. Zero amounts of the cap are not limited. The job must have passed Check.
func (j *Job) CheckCap(limit Resources) error {
	for i := range j.Steps {
		if s := &j.Steps[i]; s.isGangAbove(limit) {
			return &JobError{
				fmt.Sprintf("steps[%d]", i),
				fmt.Sprintf("must not be a gang whose %d tasks need %s together, more than the cap of organisation %s of %s", s.Count, s.Need.times(s.Count).withUnits(), j.Organisation, limit.numbers()),
			}
		}
	}
	return nil
}

// taskCount returns the number of tasks of one occurrence.
func (j *Job) taskCount() int {
	count := 0
	for i := range j.Steps {
		count += j.Steps[i].Count
	}
	return count
}

// isLongRunning reports whether the job runs until it is cancelled.
func (j *Job) isLongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// State is the state of a job as clients see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal reports whether the state has no successor.
func (s State) IsFinal() bool { return s == Done || s == Failed || s == Cancelled }

// TaskID identifies a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// RunID identifies a run of a task.
type RunID struct {
	TaskID
	Attempt int
}

func (r RunID) String() string { return fmt.Sprintf("%s/%d", r.TaskID, r.Attempt) }
