package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Command is one output of the core. The driver carries it out after the
// changes of the same step are committed. Exactly one field is set.
type Command struct {
	Start      *StartTask
	Stop       *StopTask
	Checkpoint *CheckpointTask
	Throttle   *ThrottleTask
	HandOver   *HandOverTask
	Cancel     *CancelJob
	Totals     *ReportTotals
	Peer       *SendPeerReport
}

// CancelJob asks another shard to end the tasks of a job that were handed over
// to it. The command is repeated until that shard reports that it knows of the
// cancellation.
type CancelJob struct {
	ToShard string
	JobID   string
	Home    string
}

// ReportTotals sends the counts of a job to its home shard.
type ReportTotals struct {
	ToShard string
	JobID   string
	Counts  RemoteCounts
}

// SendPeerReport sends this shard's report to another shard.
type SendPeerReport struct {
	ToShard string
	Report  PeerReport
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
	// ConfirmedAt is when the read began that confirmed the configuration under
	// which this start is allowed.
	ConfirmedAt time.Time
}

// StopTask stops an attempt.
type StopTask struct {
	Worker  string
	Task    TaskID
	Attempt uint64
}

// CheckpointTask asks an attempt to write a checkpoint and then stop.
type CheckpointTask struct {
	Worker  string
	Task    TaskID
	Attempt uint64
}

// ThrottleTask limits the processor use of an attempt.
type ThrottleTask struct {
	Worker  string
	Task    TaskID
	Attempt uint64
	// Share is the fraction of the reserved processors that the attempt may
	// use, greater than 0 and at most 1.
	Share float64
}

// HandOverTask offers a task to the shard of another domain.
type HandOverTask struct {
	TransferID string
	ToShard    string
	Task       Task
}
