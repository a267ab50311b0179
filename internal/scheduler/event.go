package scheduler

import (
	"net/netip"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Event is one input of the core. Exactly one field is set.
type Event struct {
	Config        *ConfigConfirmed
	Submitted     *JobSubmitted
	Cancelled     *JobCancelled
	WorkerSeen    *WorkerSeen
	WorkerLost    *WorkerLost
	Unreachable   *WorkerUnreachable
	Caretaking    *Caretaking
	WorkerLeaving *WorkerLeaving
	Report        *WorkerReport
	StartRefused  *StartRefused
	Offered       *TransferOffered
	Confirmed     *TransferConfirmed
	Tick          *Tick
}

// ConfigConfirmed gives the configuration that a read confirmed.
type ConfigConfirmed struct {
	Config *declarer.Config
	// At is when the read that confirmed it began.
	At time.Time
}

// JobSubmitted asks for a batch job to be accepted. A known id changes nothing.
type JobSubmitted struct{ Job declarer.BatchJob }

// JobCancelled asks for every task of a job to end.
type JobCancelled struct{ JobID string }

// WorkerSeen reports a worker that a session has reached.
type WorkerSeen struct {
	ID       string
	Rack     string
	Addr     netip.AddrPort
	Capacity declarer.Resources
}

// WorkerLost reports that every lease on a worker has run out, or every lease
// of one class.
type WorkerLost struct {
	ID string
	// Class is empty for all classes.
	Class declarer.Class
}

// WorkerUnreachable reports a worker that gives no answer, while its leases
// may still run.
type WorkerUnreachable struct{ ID string }

// Caretaking tells that the owner belongs to another domain, since the shard's
// own daemons are gone. Waiting batch tasks go to the shards in To, and
// nothing starts here.
type Caretaking struct{ To []string }

// WorkerLeaving reports that a worker takes no new work.
type WorkerLeaving struct{ ID string }

// WorkerReport is the status of one worker.
type WorkerReport struct {
	Worker string
	// Running are the attempts that the worker runs now.
	Running []RunningAttempt
	// Ended are the attempts that ended and are not yet acknowledged.
	Ended []EndedAttempt
	// MeasuredAt is when the usage was measured; it lags behind the report.
	MeasuredAt time.Time
}

// RunningAttempt is one attempt as the worker reports it.
type RunningAttempt struct {
	Task    TaskID
	Attempt uint64
	// Usage is the use at the report's MeasuredAt, zero if not yet measured.
	Usage declarer.Resources
	// Slowdown is the run time, or the response time of a service, relative
	// to running alone, as measured; zero if not yet measured.
	Slowdown float64
	// Load is the share of a service's slots in use, between 0 and 1.
	Load float64
	// Addr is where a runner listens; the zero value for other tasks.
	Addr netip.AddrPort
}

// Outcome tells how an attempt ended.
type Outcome string

// The outcomes of an attempt.
const (
	OutcomeCompleted    Outcome = "completed"
	OutcomeFailed       Outcome = "failed"
	OutcomeCheckpointed Outcome = "checkpointed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeExpired      Outcome = "expired"
)

// EndedAttempt is an attempt that has ended on the worker.
type EndedAttempt struct {
	Task    TaskID
	Attempt uint64
	Outcome Outcome
	// Checkpoint names what the next attempt resumes from; empty for none.
	Checkpoint string
	Reason     string
}

// StartRefused reports a start command that the worker refused, or that was
// withdrawn before it was sent.
type StartRefused struct {
	Task    TaskID
	Attempt uint64
	Reason  string
}

// TransferOffered reports a task that another shard has handed over.
type TransferOffered struct {
	TransferID string
	Task       Task
}

// TransferConfirmed reports that the destination has taken over a task.
type TransferConfirmed struct{ TransferID string }

// Tick lets time pass.
type Tick struct{}

// Command is one output of the core, to be carried out after the changes of
// the same step are committed. Exactly one field is set.
type Command struct {
	Start      *StartTask
	Stop       *StopTask
	Checkpoint *CheckpointTask
	Throttle   *ThrottleTask
	HandOver   *HandOverTask
}

// StartTask starts an attempt on a worker.
type StartTask struct {
	Worker     string
	Task       TaskID
	Attempt    uint64
	Class      declarer.Class
	Kind       string
	Service    string
	Reserved   declarer.Resources
	RunTime    time.Duration
	Checkpoint string
	// ConfirmedAt is when the read of the configuration that allows this
	// start began.
	ConfirmedAt time.Time
}

// StopTask stops an attempt.
type StopTask struct {
	Worker  string
	Task    TaskID
	Attempt uint64
}

// CheckpointTask stops an attempt after it has written a checkpoint.
type CheckpointTask struct {
	Worker  string
	Task    TaskID
	Attempt uint64
}

// ThrottleTask limits an attempt's use of processors.
type ThrottleTask struct {
	Worker  string
	Task    TaskID
	Attempt uint64
	// Share is the share of the reserved processors that the attempt may use,
	// above 0 and at most 1.
	Share float64
}

// HandOverTask offers a task to another domain's shard.
type HandOverTask struct {
	TransferID string
	ToShard    string
	Task       Task
}
