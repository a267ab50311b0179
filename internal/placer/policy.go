// Package placer chooses the worker for a task.
package placer

import (
	"fmt"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// View is what a policy may place on.
type View struct {
	// Workers take new work. No worker's Reserved exceeds its Capacity.
	Workers []Worker
}

// Worker is one candidate.
type Worker struct {
	ID       string
	Rack     string
	Capacity declarer.Resources
	Reserved declarer.Resources
	Running  []Running
}

// Running is a task on a candidate.
type Running struct {
	Kind     string
	Class    declarer.Class
	Reserved declarer.Resources
}

// Reserve adds a placement to the view.
func (v *View) Reserve(worker, kind string, class declarer.Class, r declarer.Resources) {
	for i := range v.Workers {
		w := &v.Workers[i]
		if w.ID == worker {
			w.Reserved = w.Reserved.Add(r)
			w.Running = append(w.Running, Running{kind, class, r})
		}
	}
}

// Request is a task to place.
type Request struct {
	Task     string
	Kind     string
	Class    declarer.Class
	Team     string
	Owner    string
	Declared declarer.Resources
}

// Choice is where a task goes.
type Choice struct {
	Worker   string
	Reserved declarer.Resources
	// Reason gives the figures on which the choice was made.
	Reason string
}

// NoFitError reports that no worker has room.
type NoFitError struct {
	Task    string
	Needed  declarer.Resources
	Workers int
}

func (e *NoFitError) Error() string {
	return fmt.Sprintf("no room for milli_cpu %d, memory_mb %d, accelerators %d on any of %d workers",
		e.Needed.MilliCPU, e.Needed.MemoryMB, e.Needed.Accelerators, e.Workers)
}

// Policy is a way of placing tasks.
type Policy struct {
	Name string
	// Place returns the choice for a task, or a NoFitError.
	Place func(*View, Request) (Choice, error)
}

// FirstFit takes the first worker with room for the declared size.
func FirstFit() Policy {
	return Policy{Name: "first_fit", Place: func(v *View, r Request) (Choice, error) {
		for i := range v.Workers {
			w := &v.Workers[i]
			if w.Reserved.Add(r.Declared).FitsIn(w.Capacity) {
				return Choice{w.ID, r.Declared, "first worker with room"}, nil
			}
		}
		return Choice{}, &NoFitError{r.Task, r.Declared, len(v.Workers)}
	}}
}
