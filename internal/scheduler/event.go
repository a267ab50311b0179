package scheduler

import (
	"net/netip"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Event is one input of the core. Exactly one field is set.
type Event struct {
	Config          *ConfigConfirmed
	Submitted       *JobSubmitted
	Cancelled       *JobCancelled
	WorkerSeen      *WorkerSeen
	WorkerLost      *WorkerLost
	Unreachable     *WorkerUnreachable
	ForeignOwner    *ForeignOwner
	WorkerLeaving   *WorkerLeaving
	WorkerStaying   *WorkerStaying
	Report          *WorkerReport
	StartRefused    *StartRefused
	Offered         *TransferOffered
	Confirmed       *TransferConfirmed
	Totals          *TotalsReported
	TotalsConfirmed *TotalsConfirmed
	Peer            *PeerReport
	Allowance       *AllowanceGiven
	Released        *JobReleased
	Tick            *Tick
}

// ConfigConfirmed carries the configuration that a read of the store confirmed.
type ConfigConfirmed struct {
	Config *declarer.Config
	// At is when that read began.
	At time.Time
}

// JobSubmitted asks the shard to accept a batch job. A job whose id is known is
// ignored.
type JobSubmitted struct {
	Job declarer.BatchJob
	// Claimed is when the id was first claimed for this shard; zero if it has
	// just been claimed. A complete job is forgotten after jobRetention. An
	// unknown job whose id was claimed more than half of that time ago is
	// refused, since it may already have run.
	Claimed time.Time
}

// JobCancelled asks the shard to end every task of a job. Home is set when the
// request comes from the job's home shard for the tasks that it has handed
// over.
type JobCancelled struct{ JobID, Home string }

// JobReleased asks the shard to return a parked job to the queue.
type JobReleased struct{ JobID string }

// TotalsReported carries the counts of a job in another shard to the job's home
// shard.
type TotalsReported struct {
	JobID  string
	Counts RemoteCounts
}

// TotalsConfirmed reports that the home shard has committed these counts.
type TotalsConfirmed struct {
	JobID  string
	Counts RemoteCounts
}

// PeerReport tells the other shards which services and watchers one shard runs.
type PeerReport struct {
	Shard string
	// Revision is the revision of the configuration that the shard has
	// confirmed.
	Revision uint64
	// Replicas counts the running replicas of each service.
	Replicas map[string]int
	// Watchers are the watchers for which the shard has a task in any state.
	Watchers []string
	// Waiting is set when the shard waits for reports from other shards.
	Waiting bool
}

// AllowanceGiven replaces the part of a team's quota that the domain may use,
// as agreed through the store.
type AllowanceGiven struct {
	Team   string
	Amount declarer.Resources
	Reset  bool
}

// WorkerSeen reports a worker to which a session has connected.
type WorkerSeen struct {
	ID       string
	Rack     string
	Addr     netip.AddrPort
	Capacity declarer.Resources
}

// WorkerLost reports that the leases of one class on a worker have expired, or
// the leases of all classes.
type WorkerLost struct {
	ID string
	// Class is empty for all classes.
	Class declarer.Class
}

// WorkerUnreachable reports a worker that does not respond, although its leases
// may still be valid.
type WorkerUnreachable struct{ ID string }

// ForeignOwner reports that the owner belongs to another failure domain because
// the daemons of the shard's own domain are gone. Pending batch tasks are
// handed over to the shards in To, and nothing starts in this shard.
type ForeignOwner struct{ To []string }

// WorkerLeaving reports that a worker accepts no new work.
type WorkerLeaving struct{ ID string }

// WorkerStaying reports that a worker that was leaving accepts new work again,
// or that another process has its id.
type WorkerStaying struct{ ID string }

// WorkerReport is the status of one worker.
type WorkerReport struct {
	Worker string
	// Running are the attempts that the worker runs at present.
	Running []RunningAttempt
	// Ended are the attempts that have ended and are not yet acknowledged.
	Ended []EndedAttempt
	// MeasuredAt is when the usage was measured, which is before the report.
	MeasuredAt time.Time
	// RequestedAt is when the owner sent the request for this report, by the
	// owner's clock. If it is zero, the report proves nothing about attempts
	// that it does not list, and the driver resolves those itself.
	RequestedAt time.Time
}

// RunningAttempt is one attempt as the worker reports it.
type RunningAttempt struct {
	Task    TaskID
	Attempt uint64
	// Usage is the resource usage at MeasuredAt; zero if not yet measured.
	Usage declarer.Resources
	// Slowdown is the measured run time, or the response time of a service,
	// relative to running alone; zero if not yet measured.
	Slowdown float64
	// Load is the fraction of a service's slots in use, between 0 and 1.
	Load float64
	// Addr is the address on which a runner listens; the zero value for other
	// tasks.
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
	// Checkpoint identifies the checkpoint from which the next attempt resumes;
	// empty for none.
	Checkpoint string
	Reason     string
}

// StartRefused reports a start command that the worker refused or that the
// driver withdrew before sending it.
type StartRefused struct {
	Task    TaskID
	Attempt uint64
	Reason  string
	// Withdrawn is set when the attempt certainly does not run and never will:
	// the command was not sent, or it was sent once and refused. Any other
	// refusal may be the response to a duplicate of a command that was carried
	// out, so the core waits for a report of the worker.
	Withdrawn bool
}

// TransferOffered carries a task that another shard has handed over.
type TransferOffered struct {
	TransferID string
	Task       Task
}

// TransferConfirmed reports that the destination has taken over a task.
type TransferConfirmed struct{ TransferID string }

// Tick makes the core do the work that depends on time.
type Tick struct{}
