// Package placer chooses the worker for a task.
package placer

import (
	"fmt"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// View holds the workers on which a policy may place a task.
type View struct {
	// Workers are the workers that take new tasks. No worker's Reserved exceeds
	// its Capacity.
	Workers []Worker
}

// Worker is a worker on which a task may be placed.
type Worker struct {
	ID       string
	Rack     string
	Capacity declarer.Resources
	Reserved declarer.Resources
	Running  []Running
}

// Running is a task that runs on a worker.
type Running struct {
	Kind     string
	Class    declarer.Class
	Reserved declarer.Resources
}

// Reserve adds a task of a kind and class with reservation r to a worker of the
// view.
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
	// Needed is the reservation estimated from observed use. The zero value
	// means that there is no estimate and that Declared is reserved.
	Needed declarer.Resources
	Urgent bool
	// Waiting is how long the task has been waiting to be placed.
	Waiting time.Duration
}

// Size returns the reservation for the task: Needed if it is known, Declared
// otherwise.
func (r Request) Size() declarer.Resources {
	if r.Needed == (declarer.Resources{}) {
		return r.Declared
	}
	return r.Needed
}

// Choice is the placement of a task.
type Choice struct {
	Worker   string
	Reserved declarer.Resources
	// Reason explains the choice to operators, with its figures.
	Reason string
}

// NoFitError reports that the task fits on no worker.
type NoFitError struct {
	Task   string
	Needed declarer.Resources
	// Workers is the number of workers that were tried.
	Workers int
}

func (e *NoFitError) Error() string {
	return fmt.Sprintf("no room for milli_cpu %d, memory_mb %d, accelerators %d on any of %d workers",
		e.Needed.MilliCPU, e.Needed.MemoryMB, e.Needed.Accelerators, e.Workers)
}

// Policy is a placement policy.
type Policy struct {
	Name string
	// Place returns the choice for a task, or a NoFitError or HarmError.
	Place func(*View, Request) (Choice, error)
}

// FirstFit returns a policy that takes the first worker on which the declared
// size fits.
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

// BestFit returns a policy that takes the worker with the smallest dominant
// share of resources left after the placement. It places by Request.Size and
// ignores interference.
func BestFit() Policy {
	return Policy{Name: "best_fit", Place: func(v *View, r Request) (Choice, error) {
		size := r.Size()
		best, leastFree := -1, 0.0
		for i := range v.Workers {
			w := &v.Workers[i]
			after := w.Reserved.Add(size)
			if !after.FitsIn(w.Capacity) {
				continue
			}
			free := w.Capacity.Sub(after).DominantShare(w.Capacity)
			if best < 0 || free < leastFree {
				best, leastFree = i, free
			}
		}
		if best < 0 {
			return Choice{}, &NoFitError{r.Task, size, len(v.Workers)}
		}
		return Choice{v.Workers[best].ID, size, fmt.Sprintf("tightest fit, %.1f%% of the worker's capacity left", 100*leastFree)}, nil
	}}
}
