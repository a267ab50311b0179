package scheduler

import (
	"fmt"
	"net/netip"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/interpreter"
)

// TaskID names a task: "service/NAME/DOMAIN/N", "watcher/NAME" or "job/ID/N".
type TaskID string

// Task is one unit of work in a shard.
type Task struct {
	ID    TaskID         `cbor:"1,keyasint"`
	Class declarer.Class `cbor:"2,keyasint"`
	// Owner is the name of the service or watcher, or the id of the job.
	Owner string `cbor:"3,keyasint"`
	Team  string `cbor:"4,keyasint"`
	// Kind groups tasks that behave alike.
	Kind     string             `cbor:"5,keyasint"`
	Declared declarer.Resources `cbor:"6,keyasint"`
	RunTime  time.Duration      `cbor:"7,keyasint,omitempty"`
	Urgent   bool               `cbor:"8,keyasint,omitempty"`
	// Deadline is the zero time for none.
	Deadline  time.Time         `cbor:"9,keyasint"`
	Submitted time.Time         `cbor:"10,keyasint"`
	State     interpreter.State `cbor:"11,keyasint"`
	// Attempt is the number of the last attempt; it only grows.
	Attempt uint64 `cbor:"12,keyasint,omitempty"`
	// Worker is the worker of the current attempt; empty if and only if the
	// state holds no reservation.
	Worker string `cbor:"13,keyasint,omitempty"`
	// Reserved is what the current attempt holds of Worker's capacity.
	Reserved declarer.Resources `cbor:"14,keyasint"`
	// Checkpoint is consumed by the next attempt; it is empty while one runs.
	Checkpoint string `cbor:"15,keyasint,omitempty"`
	// Evictions counts attempts that were ended in favour of other work.
	Evictions int `cbor:"16,keyasint,omitempty"`
	// Failures counts attempts that failed.
	Failures int `cbor:"17,keyasint,omitempty"`
	// Reason explains the last change of state.
	Reason string `cbor:"18,keyasint,omitempty"`
	// TransferID is set from the hand-over to its confirmation.
	TransferID string `cbor:"19,keyasint,omitempty"`
	ToShard    string `cbor:"20,keyasint,omitempty"`
}

// Worker is a worker of the shard's domain.
type Worker struct {
	ID       string             `cbor:"1,keyasint"`
	Rack     string             `cbor:"2,keyasint"`
	Addr     netip.AddrPort     `cbor:"3,keyasint"`
	Capacity declarer.Resources `cbor:"4,keyasint"`
	State    interpreter.State  `cbor:"5,keyasint"`
	// Reserved is the sum over the worker's attempts; it never exceeds
	// Capacity.
	Reserved declarer.Resources `cbor:"6,keyasint"`
}

// InvariantError reports a change that would break an invariant of the state.
// The state is left unchanged.
type InvariantError struct {
	// Invariant is the number of the invariant in the design, 1 to 10.
	Invariant int
	Task      TaskID
	Worker    string
	Problem   string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("scheduler: invariant %d: task %q, worker %q: %s", e.Invariant, e.Task, e.Worker, e.Problem)
}
