package dispatcher

import (
	"net/netip"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// RenewRequest extends the leases of a worker's attempts.
type RenewRequest struct {
	Shard string `json:"shard"`
	// Epoch is that of the shard's owner; the worker refuses a lower one.
	Epoch uint64 `json:"epoch"`
	// SentAt is the sender's clock; only differences of it are used.
	SentAt time.Time `json:"sent_at"`
	// Lease is how long the attempts may run on from SentAt; zero asks for the
	// status and extends nothing.
	Lease time.Duration `json:"lease"`
	// Horizons bounds the lease of each class, also from SentAt. Attempts of
	// a class without one are not extended.
	Horizons map[declarer.Class]time.Duration `json:"horizons,omitempty"`
	// Acknowledged are ended attempts whose end is committed.
	Acknowledged []AttemptName `json:"acknowledged,omitempty"`
}

// AttemptName identifies an attempt.
type AttemptName struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"attempt"`
}

// StartRequest starts an attempt.
type StartRequest struct {
	Epoch      uint64             `json:"epoch"`
	SentAt     time.Time          `json:"sent_at"`
	ValidFor   time.Duration      `json:"valid_for"`
	Task       string             `json:"task"`
	Attempt    uint64             `json:"attempt"`
	Class      declarer.Class     `json:"class"`
	Kind       string             `json:"kind"`
	Service    string             `json:"service,omitempty"`
	Reserved   declarer.Resources `json:"reserved"`
	RunTime    time.Duration      `json:"run_time,omitempty"`
	Checkpoint string             `json:"checkpoint,omitempty"`
	Lease      time.Duration      `json:"lease"`
}

// AttemptRequest stops, checkpoints or throttles an attempt.
type AttemptRequest struct {
	Epoch   uint64 `json:"epoch"`
	Task    string `json:"task"`
	Attempt uint64 `json:"attempt"`
	// Share is for throttling: the share of the reserved processors that the
	// attempt may use.
	Share float64 `json:"share,omitempty"`
}

// Status is what a worker reports.
type Status struct {
	Worker     string          `json:"worker"`
	MeasuredAt time.Time       `json:"measured_at"`
	Running    []RunningStatus `json:"running"`
	Ended      []EndedStatus   `json:"ended"`
}

// RunningStatus is one running attempt.
type RunningStatus struct {
	Task     string             `json:"task"`
	Attempt  uint64             `json:"attempt"`
	Usage    declarer.Resources `json:"usage"`
	Slowdown float64            `json:"slowdown"`
	Load     float64            `json:"load"`
	Addr     netip.AddrPort     `json:"addr,omitzero"`
}

// EndedStatus is one ended attempt.
type EndedStatus struct {
	Task       string `json:"task"`
	Attempt    uint64 `json:"attempt"`
	Outcome    string `json:"outcome"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// Instance is one entry of the platform's list, which lags.
type Instance struct {
	ID       string             `json:"id"`
	Domain   string             `json:"domain"`
	Rack     string             `json:"rack,omitempty"`
	Role     string             `json:"role"`
	Addr     netip.AddrPort     `json:"addr"`
	Capacity declarer.Resources `json:"capacity,omitzero"`
	Leaving  bool               `json:"leaving,omitempty"`
}

// The roles of instances in the platform's list. The address of a worker is
// that of its API, the address of a daemon its control address.
const (
	RoleWorker = "worker"
	RoleDaemon = "daemon"
)

// EpochHeader carries the highest epoch that a worker has seen in its refusal
// of a lower one.
const EpochHeader = "Epoch"
