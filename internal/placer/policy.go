// Package placer chooses the worker for a task.
package placer

import (
	"fmt"
	"time"

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
			w.Running = append(w.Running, Running{Kind: kind, Class: class, Reserved: r})
			break
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
	// Needed is the reservation learnt from observed use; the zero value
	// means that none is known and Declared counts.
	Needed declarer.Resources
	Urgent bool
	// Waiting is how long the task has been waiting for a place.
	Waiting time.Duration
}

// Size returns the reservation to place: Needed, or Declared without it.
func (r Request) Size() declarer.Resources {
	if r.Needed == (declarer.Resources{}) {
		return r.Declared
	}
	return r.Needed
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

// BestFit takes the worker that has the least room left after the placement,
// by the learnt size. It knows nothing of interference.
func BestFit() Policy {
	return Policy{Name: "best_fit", Place: func(v *View, r Request) (Choice, error) {
		size := r.Size()
		best, left := -1, 0.0
		for i := range v.Workers {
			w := &v.Workers[i]
			after := w.Reserved.Add(size)
			if !after.FitsIn(w.Capacity) {
				continue
			}
			room := w.Capacity.Sub(after).DominantShare(w.Capacity)
			if best < 0 || room < left {
				best, left = i, room
			}
		}
		if best < 0 {
			return Choice{}, &NoFitError{r.Task, size, len(v.Workers)}
		}
		return Choice{v.Workers[best].ID, size, fmt.Sprintf("tightest worker, %.1f%% of its room left", 100*left)}, nil
	}}
}
