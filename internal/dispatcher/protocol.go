package dispatcher

import (
	"net/netip"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Process identifies a process of a worker. An address and a worker's id are
// used again by later processes, so every request names the process that it is
// meant for, and any other process refuses it.
type Process struct {
	Worker string `json:"worker"`
	// Incarnation is different for each process. It is empty in a request to
	// whichever process of the worker answers.
	Incarnation string `json:"incarnation,omitempty"`
}

// RenewRequest extends the leases of a worker's attempts.
type RenewRequest struct {
	Shard string `json:"shard"`
	// Process has an Incarnation unless the request only asks for the status:
	// one that extends a lease or acknowledges an end is refused without it.
	Process Process `json:"process"`
	// Epoch is the epoch of the shard's owner; the worker refuses one lower
	// than it has seen.
	Epoch uint64 `json:"epoch"`
	// SentAt is the time on the sender's clock; only differences of such times
	// are used.
	SentAt time.Time `json:"sent_at"`
	// Lease is how long the attempts may continue after SentAt. Zero asks for
	// the status and extends no lease.
	Lease time.Duration `json:"lease"`
	// Horizons bounds the lease of each class, also from SentAt. Attempts of a
	// class that it lacks are not extended.
	Horizons map[declarer.Class]time.Duration `json:"horizons,omitempty"`
	// Acknowledged are the ended attempts whose end is committed.
	Acknowledged []AttemptName `json:"acknowledged,omitempty"`
}

// AttemptName identifies an attempt.
type AttemptName struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"attempt"`
}

// StartRequest starts an attempt.
type StartRequest struct {
	// Process always has an Incarnation.
	Process Process   `json:"process"`
	Epoch   uint64    `json:"epoch"`
	SentAt  time.Time `json:"sent_at"`
	// ValidFor is how long after SentAt the attempt may be started.
	ValidFor   time.Duration      `json:"valid_for"`
	Task       string             `json:"task"`
	Attempt    uint64             `json:"attempt"`
	Class      declarer.Class     `json:"class"`
	Kind       string             `json:"kind"`
	Service    string             `json:"service,omitempty"`
	Reserved   declarer.Resources `json:"reserved"`
	RunTime    time.Duration      `json:"run_time,omitempty"`
	Checkpoint string             `json:"checkpoint,omitempty"`
	// Lease is how long after SentAt the attempt may run without a renewal.
	Lease time.Duration `json:"lease"`
}

// AttemptRequest stops, checkpoints or throttles an attempt.
type AttemptRequest struct {
	// Process always has an Incarnation.
	Process Process `json:"process"`
	Epoch   uint64  `json:"epoch"`
	Task    string  `json:"task"`
	Attempt uint64  `json:"attempt"`
	// Share is the share of the reserved processors that a throttled attempt
	// may use.
	Share float64 `json:"share,omitempty"`
}

// Status is a worker's report of its attempts.
type Status struct {
	// Process is the process that answers.
	Process    Process         `json:"process"`
	MeasuredAt time.Time       `json:"measured_at"`
	Running    []RunningStatus `json:"running"`
	Ended      []EndedStatus   `json:"ended"`
}

// RunningStatus is the status of a running attempt.
type RunningStatus struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"attempt"`
	// Usage is the resource usage at the status's MeasuredAt; zero if not yet
	// measured.
	Usage declarer.Resources `json:"usage"`
	// Slowdown is the measured run time, or the response time of a service,
	// relative to running alone; zero if not yet measured.
	Slowdown float64 `json:"slowdown"`
	// Load is the fraction of a service's slots in use, between 0 and 1.
	Load float64        `json:"load"`
	Addr netip.AddrPort `json:"addr,omitzero"`
}

// EndedStatus is the status of an ended attempt.
type EndedStatus struct {
	Task       string `json:"task"`
	Attempt    uint64 `json:"attempt"`
	Outcome    string `json:"outcome"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// Instance is one entry of the platform's list of instances. The list lags
// behind the actual instances.
type Instance struct {
	ID       string             `json:"id"`
	Domain   string             `json:"domain"`
	Rack     string             `json:"rack,omitempty"`
	Role     string             `json:"role"`
	Addr     netip.AddrPort     `json:"addr"`
	Capacity declarer.Resources `json:"capacity,omitzero"`
	Leaving  bool               `json:"leaving,omitempty"`
}

// The roles of instances in the platform's list. Addr is a worker's API
// address, or a daemon's control address.
const (
	RoleWorker = "worker"
	RoleDaemon = "daemon"
)

// EpochHeader is the response header with which a worker that refuses a lower
// epoch returns the highest epoch it has seen.
const EpochHeader = "Epoch"
