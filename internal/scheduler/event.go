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
	ForeignOwner  *ForeignOwner
	WorkerLeaving *WorkerLeaving
	Report        *WorkerReport
	StartRefused  *StartRefused
	Offered       *TransferOffered
	Confirmed     *TransferConfirmed
	Totals        *TotalsReported
	TotalsKept    *TotalsConfirmed
	Peer          *PeerReport
	Allowance     *AllowanceGiven
	Released      *JobReleased
	Tick          *Tick
}

// ConfigConfirmed gives the configuration that a read confirmed.
type ConfigConfirmed struct {
	Config *declarer.Config
	// At is when the read that confirmed it began.
	At time.Time
}

// JobSubmitted asks for a batch job to be accepted. A known id changes nothing.
type JobSubmitted struct {
	Job declarer.BatchJob
	// Claimed is when the id was first claimed for this shard, zero for just
	// now. A job that is complete is forgotten after jobRetention; an unknown
	// job whose id is older than half of that is refused, since it may have
	// run.
	Claimed time.Time
}

// JobCancelled asks for every task of a job to end. Home is set when the home
// shard of the job asks for the tasks that it has handed over.
type JobCancelled struct{ JobID, Home string }

// JobReleased asks for a parked job to be tried again.
type JobReleased struct{ JobID string }

// TotalsReported gives the counts of a job in another shard to its home.
type TotalsReported struct {
	JobID  string
	Counts RemoteCounts
}

// TotalsConfirmed reports that the home shard has committed these counts.
type TotalsConfirmed struct {
	JobID  string
	Counts RemoteCounts
}

// PeerReport tells the other shards what one shard runs.
type PeerReport struct {
	Shard string
	// Revision is that of the configuration that the shard has confirmed.
	Revision uint64
	// Replicas counts the running replicas of each service.
	Replicas map[string]int
	// Watchers are the watchers that the shard has, whatever their state.
	Watchers []string
	// Waiting is set when the shard waits for the reports of others.
	Waiting bool
}

// AllowanceGiven replaces the part of a team's quota that the domain may
// spend, as agreed through the store.
type AllowanceGiven struct {
	Team   string
	Amount declarer.Resources
	Reset  bool
}

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

// ForeignOwner tells that the owner belongs to another domain, since the shard's
// own daemons are gone. Waiting batch tasks go to the shards in To, and
// nothing starts here.
type ForeignOwner struct{ To []string }

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
	// RequestedAt is the owner's time at which the request for this report was
	// sent. The zero value proves nothing about attempts that are not listed;
	// the driver then settles them itself.
	RequestedAt time.Time
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
	// Withdrawn is set when it is certain that the attempt does not run and
	// never will: the command was not sent, or was sent once and refused. Any
	// other refusal may answer a second copy of a command that was carried
	// out, so the core waits for a report that settles it.
	Withdrawn bool
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
