// Package declarer defines and validates declared work, the configuration document
// and the workload file.
package declarer

import "time"

// Preset names a set of policy parameters. One preset is in force at a time.
type Preset string

// The presets that operators can choose.
const (
	OrdinaryDay Preset = "ordinary_day"
	Peak        Preset = "peak"
	Maintenance Preset = "maintenance"
)

// Presets lists every preset.
var Presets = []Preset{OrdinaryDay, Peak, Maintenance}

// Class determines the precedence of work under contention.
type Class string

// The classes of work, from highest to lowest precedence.
const (
	ClassService Class = "service"
	ClassWatcher Class = "watcher"
	ClassBatch   Class = "batch"
)

// Service is a latency-critical service that answers requests.
type Service struct {
	// Name is unique among services and watchers.
	Name string `yaml:"name" json:"name" cbor:"1,keyasint"`
	Team string `yaml:"team" json:"team" cbor:"2,keyasint"`
	// Replicas is the total number of runners in all domains in service.
	Replicas int `yaml:"replicas" json:"replicas" cbor:"3,keyasint"`
	// Resources is the declared size of one replica.
	Resources Resources `yaml:"resources" json:"resources" cbor:"4,keyasint"`
}

// Watcher is a long-running task of which one copy runs at any time.
type Watcher struct {
	Name      string    `yaml:"name" json:"name" cbor:"1,keyasint"`
	Team      string    `yaml:"team" json:"team" cbor:"2,keyasint"`
	Resources Resources `yaml:"resources" json:"resources" cbor:"4,keyasint"`
}

// BatchJob is an array of identical tasks that run to completion.
type BatchJob struct {
	// ID is chosen by the caller. A repeated submission with the same ID and content
	// has no further effect.
	ID   string `yaml:"id" json:"id" cbor:"1,keyasint"`
	Team string `yaml:"team" json:"team" cbor:"2,keyasint"`
	// Kind names a group of jobs with similar behaviour, which share size and
	// interference estimates.
	Kind string `yaml:"kind" json:"kind" cbor:"3,keyasint"`
	// Tasks is the number of tasks, one or more.
	Tasks int `yaml:"tasks" json:"tasks" cbor:"4,keyasint"`
	// Resources is the declared size of one task.
	Resources Resources `yaml:"resources" json:"resources" cbor:"5,keyasint"`
	// RunTime is the declared run time of one task.
	RunTime time.Duration `yaml:"run_time" json:"run_time" cbor:"6,keyasint"`
	// Deadline is how long after its submission the job should be complete; zero
	// if it has no deadline.
	Deadline time.Duration `yaml:"deadline,omitempty" json:"deadline,omitempty" cbor:"7,keyasint,omitempty"`
	// Urgent work starts within 5.5 s of submission.
	Urgent bool `yaml:"urgent,omitempty" json:"urgent,omitempty" cbor:"8,keyasint,omitempty"`
	// Domain restricts the job to one failure domain; empty if it may run in any.
	Domain string `yaml:"domain,omitempty" json:"domain,omitempty" cbor:"9,keyasint,omitempty"`
}

// Team owns declared work and has one quota for its tasks.
type Team struct {
	Name string `yaml:"name" json:"name" cbor:"1,keyasint"`
	// Quota is the maximum that the team's tasks may reserve in all domains together.
	Quota Resources `yaml:"quota" json:"quota" cbor:"2,keyasint"`
	// Weight is the team's share under contention relative to those of other teams,
	// one or more.
	Weight int `yaml:"weight" json:"weight" cbor:"3,keyasint"`
}
