package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Change is one committed step of a shard's state. Exactly one field is set.
// Applying the same changes in the same order gives the same state.
type Change struct {
	JobAccepted    *JobAccepted    `cbor:"1,keyasint,omitempty"`
	TaskAdded      *TaskAdded      `cbor:"2,keyasint,omitempty"`
	AttemptPlaced  *AttemptPlaced  `cbor:"3,keyasint,omitempty"`
	AttemptMoved   *AttemptMoved   `cbor:"4,keyasint,omitempty"`
	TaskParked     *TaskParked     `cbor:"5,keyasint,omitempty"`
	TaskMoved      *TaskMoved      `cbor:"6,keyasint,omitempty"`
	ReservationSet *ReservationSet `cbor:"7,keyasint,omitempty"`
	HandedOver     *HandedOver     `cbor:"8,keyasint,omitempty"`
	TakenOver      *TakenOver      `cbor:"9,keyasint,omitempty"`
	WorkerChanged  *WorkerChanged  `cbor:"10,keyasint,omitempty"`
	JobCancelled   *JobEnded       `cbor:"11,keyasint,omitempty"`
	HorizonSet     *HorizonSet     `cbor:"12,keyasint,omitempty"`
	JobParked      *JobParked      `cbor:"13,keyasint,omitempty"`
	TotalsSet      *TotalsSet      `cbor:"14,keyasint,omitempty"`
	DomainSet      *DomainSet      `cbor:"15,keyasint,omitempty"`
	AllowanceSet   *AllowanceSet   `cbor:"16,keyasint,omitempty"`
	JobForgotten   *JobForgotten   `cbor:"17,keyasint,omitempty"`
	ConfigSet      *ConfigSet      `cbor:"18,keyasint,omitempty"`
}

// ConfigSet records the revision of the configuration that an owner has begun to
// follow.
type ConfigSet struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// JobAccepted adds a batch job with all of its tasks pending.
type JobAccepted struct {
	Job declarer.BatchJob `cbor:"1,keyasint"`
	At  time.Time         `cbor:"2,keyasint"`
}

// TaskAdded adds one task of a service or a watcher.
type TaskAdded struct {
	Task Task `cbor:"1,keyasint"`
}

// AttemptPlaced starts attempt number Attempt of a task on a worker and
// consumes the task's checkpoint.
type AttemptPlaced struct {
	Task     TaskID             `cbor:"1,keyasint"`
	Attempt  uint64             `cbor:"2,keyasint"`
	Worker   string             `cbor:"3,keyasint"`
	Reserved declarer.Resources `cbor:"4,keyasint"`
	Reason   string             `cbor:"5,keyasint,omitempty"`
}

// AttemptMoved applies an event of the task's chart to its current attempt.
type AttemptMoved struct {
	Task       TaskID  `cbor:"1,keyasint"`
	Attempt    uint64  `cbor:"2,keyasint"`
	Event      string  `cbor:"3,keyasint"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
	Reason     string  `cbor:"5,keyasint,omitempty"`
	Outcome    Outcome `cbor:"6,keyasint,omitempty"`
	// NotBefore is the earliest time of the next attempt, zero for any.
	NotBefore time.Time `cbor:"7,keyasint,omitzero"`
}

// TaskParked takes a task out of the queue with a reason.
type TaskParked struct {
	Task   TaskID `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// TaskMoved applies an event of the task's chart to a task that has no attempt.
type TaskMoved struct {
	Task   TaskID `cbor:"1,keyasint"`
	Event  string `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint,omitempty"`
	// TransferID identifies the transfer of a task that is being handed over;
	// it is empty for other tasks.
	TransferID string `cbor:"4,keyasint,omitempty"`
}

// ReservationSet changes the reservation of the current attempt.
type ReservationSet struct {
	Task     TaskID             `cbor:"1,keyasint"`
	Attempt  uint64             `cbor:"2,keyasint"`
	Reserved declarer.Resources `cbor:"3,keyasint"`
	Reason   string             `cbor:"4,keyasint,omitempty"`
}

// HandedOver starts the transfer of a task to another shard. This shard keeps
// the task until the transfer is confirmed.
type HandedOver struct {
	Task       TaskID `cbor:"1,keyasint"`
	TransferID string `cbor:"2,keyasint"`
	ToShard    string `cbor:"3,keyasint"`
	// Count is the number of unstarted tasks of a job in the transfer, of which
	// Task is the first; zero for a single task.
	Count int `cbor:"4,keyasint,omitempty"`
}

// TakenOver adds a task that another shard has handed over. Each transfer is
// applied at most once.
type TakenOver struct {
	TransferID string `cbor:"1,keyasint"`
	Task       Task   `cbor:"2,keyasint"`
}

// WorkerChanged adds a worker, updates it, or applies an event of the worker's
// chart to it.
type WorkerChanged struct {
	Worker Worker `cbor:"1,keyasint"`
	Event  string `cbor:"2,keyasint,omitempty"`
	Reason string `cbor:"3,keyasint,omitempty"`
}

// JobEnded marks a job whose tasks get no more attempts. Its tasks without an
// attempt are cancelled.
type JobEnded struct {
	JobID  string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
	// Home is the home shard of the job, for a shard that does not know the job
	// yet.
	Home string `cbor:"3,keyasint,omitempty"`
}

// JobParked removes a job from the queue and records the reason, or puts the
// job back if the reason is empty.
type JobParked struct {
	JobID  string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
}

// JobForgotten deletes a job that is complete.
type JobForgotten struct {
	JobID string `cbor:"1,keyasint"`
}

// TotalsSet stores the counts of a job that another shard reported.
type TotalsSet struct {
	JobID  string       `cbor:"1,keyasint"`
	Counts RemoteCounts `cbor:"2,keyasint"`
}

// DomainSet takes the shard's domain out of service or brings it back.
type DomainSet struct {
	Out bool      `cbor:"1,keyasint,omitempty"`
	At  time.Time `cbor:"2,keyasint"`
}

// AllowanceSet replaces the part of a team's quota that this domain may use.
// Reset restores the equal split of the configured quota.
type AllowanceSet struct {
	Team   string             `cbor:"1,keyasint"`
	Amount declarer.Resources `cbor:"2,keyasint,omitzero"`
	Reset  bool               `cbor:"3,keyasint,omitempty"`
}

// HorizonSet sets how long after this record the leases of a class may be
// renewed.
type HorizonSet struct {
	Class  declarer.Class `cbor:"1,keyasint"`
	Length time.Duration  `cbor:"2,keyasint"`
}
