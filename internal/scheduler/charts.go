package scheduler

import (
	"embed"

	"tarragonhead.example/tarragonhead/internal/interpreter"
)

//go:embed charts/*.yaml
var chartFiles embed.FS

// Charts are the state charts that the core and its driver follow.
type Charts struct {
	Task   *interpreter.Chart
	Worker *interpreter.Chart
	Shard  *interpreter.Chart
}

// LoadCharts reads and checks the embedded chart files.
func LoadCharts() (Charts, error) {
	var c Charts
	for name, to := range map[string]**interpreter.Chart{"task": &c.Task, "worker": &c.Worker, "shard": &c.Shard} {
		data, err := chartFiles.ReadFile("charts/" + name + ".yaml")
		if err != nil {
			return Charts{}, err
		}
		if *to, err = interpreter.Load(name, data); err != nil {
			return Charts{}, err
		}
	}
	return c, nil
}

// The states of a task.
const (
	Pending       interpreter.State = "pending"
	Parked        interpreter.State = "parked"
	HandingOver   interpreter.State = "handing_over"
	Starting      interpreter.State = "starting"
	Running       interpreter.State = "running"
	Checkpointing interpreter.State = "checkpointing"
	Stopping      interpreter.State = "stopping"
	Unknown       interpreter.State = "unknown"
	Done          interpreter.State = "done"
	Failed        interpreter.State = "failed"
	Cancelled     interpreter.State = "cancelled"
	HandedAway    interpreter.State = "handed_over"
)

// The states of a worker.
const (
	Live        interpreter.State = "live"
	Suspect     interpreter.State = "suspect"
	Quarantined interpreter.State = "quarantined"
	Probing     interpreter.State = "probing"
	Leaving     interpreter.State = "leaving"
	Lost        interpreter.State = "lost"
	Gone        interpreter.State = "gone"
)

// HoldsReservation reports whether a task in state s holds a reservation on a
// worker.
func HoldsReservation(s interpreter.State) bool {
	switch s {
	case Starting, Running, Checkpointing, Stopping, Unknown:
		return true
	}
	return false
}
