package scheduler

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
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
	// Kind groups tasks with similar resource usage.
	Kind     string             `cbor:"5,keyasint"`
	Declared declarer.Resources `cbor:"6,keyasint"`
	RunTime  time.Duration      `cbor:"7,keyasint,omitempty"`
	Urgent   bool               `cbor:"8,keyasint,omitempty"`
	// Deadline is the zero time if there is none.
	Deadline  time.Time         `cbor:"9,keyasint,omitzero"`
	Submitted time.Time         `cbor:"10,keyasint,omitzero"`
	State     interpreter.State `cbor:"11,keyasint"`
	// Attempt is the number of the last attempt. It never decreases.
	Attempt uint64 `cbor:"12,keyasint,omitempty"`
	// Worker is the worker of the current attempt. It is empty if and only if
	// the task holds no reservation.
	Worker string `cbor:"13,keyasint,omitempty"`
	// Reserved is the reservation of the current attempt on Worker.
	Reserved declarer.Resources `cbor:"14,keyasint,omitzero"`
	// Checkpoint is consumed by the next attempt. It is empty while an attempt
	// runs.
	Checkpoint string `cbor:"15,keyasint,omitempty"`
	// Evictions counts the attempts that were stopped in favour of other work.
	Evictions int `cbor:"16,keyasint,omitempty"`
	// Failures counts attempts that failed.
	Failures int `cbor:"17,keyasint,omitempty"`
	// Reason explains the last change of the state.
	Reason string `cbor:"18,keyasint,omitempty"`
	// TransferID is set from the start of a handover to its confirmation.
	TransferID string `cbor:"19,keyasint,omitempty"`
	ToShard    string `cbor:"20,keyasint,omitempty"`
	// Home is the shard that accepted the task's job.
	Home string `cbor:"21,keyasint,omitempty"`
	// NotBefore is the earliest time of the next attempt; zero if it may start
	// at any time.
	NotBefore time.Time `cbor:"22,keyasint,omitzero"`
	// Cancelling is set when the task must not run again after its current
	// attempt.
	Cancelling bool `cbor:"23,keyasint,omitempty"`
	// Evicting is set when the attempt is being stopped in favour of other work
	// and the task then returns to the queue.
	Evicting bool `cbor:"24,keyasint,omitempty"`
	// Count is the number of unstarted tasks in a transfer, of which ID is the
	// first; zero for a single task.
	Count int `cbor:"25,keyasint,omitempty"`
	// Resumed is the checkpoint that the current attempt has consumed. It
	// becomes Checkpoint again only if the attempt provably did not start.
	Resumed string `cbor:"26,keyasint,omitempty"`
	// Moved is set if the worker's address has changed since the current attempt
	// was placed. The attempt may run on a process at a former address.
	Moved bool `cbor:"27,keyasint,omitempty"`
}

// Job is the state of a batch job in one shard. The accepted tasks (Job.Tasks
// at the home shard, zero elsewhere) plus TakenOver always equal the sum of the
// unstarted, current, ended and handed-over tasks.
type Job struct {
	Job       declarer.BatchJob `cbor:"1,keyasint"`
	Submitted time.Time         `cbor:"2,keyasint,omitzero"`
	// Done, Failed and Cancelled count the tasks that ended in this shard;
	// HandedOver counts the tasks that other shards have taken over.
	Done       int `cbor:"3,keyasint,omitempty"`
	Failed     int `cbor:"4,keyasint,omitempty"`
	Cancelled  int `cbor:"5,keyasint,omitempty"`
	HandedOver int `cbor:"6,keyasint,omitempty"`
	// Ended is set when the tasks of the job get no more attempts.
	Ended bool `cbor:"7,keyasint,omitempty"`
	// Home is the shard that accepted the job.
	Home string `cbor:"8,keyasint,omitempty"`
	// TakenOver counts the tasks taken over from other shards.
	TakenOver int `cbor:"9,keyasint,omitempty"`
	// Unstarted are the indexes of the tasks that never had an attempt in this
	// shard. They have no Task of their own.
	Unstarted Ranges `cbor:"10,keyasint,omitempty"`
	// Parked is the reason why the tasks of the job get no attempts; empty if
	// they do.
	Parked string `cbor:"11,keyasint,omitempty"`
	// FailedOn are distinct workers on which the job failed since its last
	// success, at most maxFailureSources.
	FailedOn []string `cbor:"12,keyasint,omitempty"`
	// Sent are the shards to which tasks have been handed over.
	Sent []string `cbor:"13,keyasint,omitempty"`
	// Remote are the counts that other shards reported to the home shard.
	Remote []RemoteCounts `cbor:"14,keyasint,omitempty"`
}

// RemoteCounts are the numbers of ended tasks of a job in a shard other than
// its home. The counts never decrease.
type RemoteCounts struct {
	Shard     string `cbor:"1,keyasint"`
	Done      int    `cbor:"2,keyasint,omitempty"`
	Failed    int    `cbor:"3,keyasint,omitempty"`
	Cancelled int    `cbor:"4,keyasint,omitempty"`
	// Ended is set when the shard knows that the job is cancelled.
	Ended bool `cbor:"5,keyasint,omitempty"`
}

// Totals returns the numbers of ended tasks of the job in all shards that have
// reported.
func (j *Job) Totals() RemoteCounts {
	t := RemoteCounts{Done: j.Done, Failed: j.Failed, Cancelled: j.Cancelled, Ended: j.Ended}
	for _, r := range j.Remote {
		t.Done, t.Failed, t.Cancelled = t.Done+r.Done, t.Failed+r.Failed, t.Cancelled+r.Cancelled
	}
	return t
}

// task returns the unstarted task with index n.
func (j *Job) task(n int) Task {
	t := Task{
		ID: jobTaskID(j.Job.ID, n), Class: declarer.ClassBatch, Owner: j.Job.ID, Team: j.Job.Team, Kind: j.Job.Kind,
		Declared: j.Job.Resources, RunTime: j.Job.RunTime, Urgent: j.Job.Urgent, Submitted: j.Submitted, State: Pending, Home: j.Home,
	}
	if j.Job.Deadline > 0 {
		t.Deadline = j.Submitted.Add(j.Job.Deadline)
	}
	return t
}

// Worker is a worker of the shard's domain.
type Worker struct {
	ID       string             `cbor:"1,keyasint"`
	Rack     string             `cbor:"2,keyasint"`
	Addr     netip.AddrPort     `cbor:"3,keyasint"`
	Capacity declarer.Resources `cbor:"4,keyasint"`
	State    interpreter.State  `cbor:"5,keyasint"`
	// Reserved is the sum of the reservations of the worker's attempts. It
	// never exceeds Capacity.
	Reserved declarer.Resources `cbor:"6,keyasint,omitzero"`
	// FailedOwners are distinct jobs, services and watchers that failed on the
	// worker since its last success, at most maxFailureSources.
	FailedOwners []string `cbor:"7,keyasint,omitempty"`
	// Probes counts the worker's quarantines since it was last cleared: the
	// first one and one for each failed probe.
	Probes int `cbor:"8,keyasint,omitempty"`
	// ProbeAt is when the next probe of a quarantined worker is due.
	ProbeAt time.Time `cbor:"9,keyasint,omitzero"`
	// Leaving is set while the platform lists the worker as leaving, also while
	// its state is lost.
	Leaving bool `cbor:"10,keyasint,omitempty"`
}

// maxFailureSources limits the distinct workers recorded for a job and the
// distinct owners recorded for a worker.
const maxFailureSources = 8

// InvariantError reports a change or a state that breaks an invariant. Such a
// change is not applied.
type InvariantError struct {
	// Invariant is the number of the broken invariant in the design, 1 to 10;
	// zero if the design does not number it.
	Invariant int
	Task      TaskID
	Worker    string
	Problem   string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("scheduler: invariant %d: task %q, worker %q: %s", e.Invariant, e.Task, e.Worker, e.Problem)
}

func replicaID(service, domain string, n int) TaskID {
	return TaskID("service/" + service + "/" + domain + "/" + strconv.Itoa(n))
}

func jobTaskID(job string, n int) TaskID { return TaskID("job/" + job + "/" + strconv.Itoa(n)) }

// jobTaskIndex returns the job id and the index in the id of a batch task.
func jobTaskIndex(id TaskID) (job string, n int, ok bool) {
	s, found := strings.CutPrefix(string(id), "job/")
	at := strings.LastIndexByte(s, '/')
	if !found || at < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(s[at+1:])
	return s[:at], n, err == nil
}
