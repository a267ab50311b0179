package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Command is one output of the core, to be carried out after the changes of
// the same step are committed. Exactly one field is set.
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
// to it. It is repeated until the shard has reported that it knows.
type CancelJob struct {
	ToShard string
	JobID   string
	Home    string
}

// ReportTotals gives the counts of a job to its home shard.
type ReportTotals struct {
	ToShard string
	JobID   string
	Counts  RemoteCounts
}

// SendPeerReport gives another shard this one's report.
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
