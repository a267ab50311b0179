// Package mitigator relieves services that batch beside them slows down: it
// throttles, checkpoints and evicts batch, in this order, and gives throttled
// tasks their processors back with hysteresis.
package mitigator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// Kind is what an action does.
type Kind string

// The actions, from the mildest.
const (
	Unthrottle Kind = "unthrottle"
	Throttle   Kind = "throttle"
	Checkpoint Kind = "checkpoint"
	Evict      Kind = "evict"
)

// Action is one step against interference, or back.
type Action struct {
	Kind    Kind
	Worker  string
	Task    string
	Attempt uint64
	// Share is the share of the reserved processors left to a throttled task.
	Share float64
	// Reason gives the figures on which the action was decided.
	Reason string
}

// View is what is known of the workers of a shard.
type View struct {
	Parameters placer.Parameters
	// Lag is how old measurements are when they arrive.
	Lag     time.Duration
	Workers []Worker
}

// Worker is one worker with its running tasks.
type Worker struct {
	ID string
	// MeasuredAt is when the last measurement's window ended.
	MeasuredAt time.Time
	Tasks      []Task
}

// Task is a running attempt.
type Task struct {
	ID      string
	Attempt uint64
	Class   declarer.Class
	Kind    string
	Job     string
	Urgent  bool
	// Slowdown is as last measured; 0 when not known.
	Slowdown float64
	// Pressure is the slowdown that the task is expected to add to the
	// services beside it.
	Pressure float64
	// Share is 1 for a task that is not throttled.
	Share     float64
	Evictions int
	// Remaining is the expected time to the task's end.
	Remaining time.Duration
}

// Mitigator remembers its actions. One goroutine uses it.
type Mitigator struct {
	// acted has the time of the last action on each worker.
	acted map[string]time.Time
	// evicted has the times of each job's evictions within the window.
	evicted map[string][]time.Time
	// tried has the workers on which a checkpoint was the last action, so that
	// the next may be an eviction.
	tried map[string]bool
}

// New returns a mitigator that has not acted.
func New() *Mitigator {
	return &Mitigator{acted: map[string]time.Time{}, evicted: map[string][]time.Time{}, tried: map[string]bool{}}
}

// window is the length of one measurement.
const window = 3 * time.Second

// Decide returns at most one action for each worker. It does not act on a
// worker again until a measurement covers only time after the last action.
func (m *Mitigator) Decide(now time.Time, v View) []Action {
	var actions []Action
	for _, w := range v.Workers {
		acted, known := m.acted[w.ID]
		if known && (now.Sub(acted) < v.Lag || w.MeasuredAt.Add(-window).Before(acted)) {
			continue
		}
		if a, ok := m.decide(now, w, v.Parameters); ok {
			m.acted[w.ID] = now
			actions = append(actions, a)
		}
	}
	return actions
}

// Forget drops what is remembered of a worker that is gone.
func (m *Mitigator) Forget(worker string) {
	delete(m.acted, worker)
	delete(m.tried, worker)
}

func (m *Mitigator) decide(now time.Time, w Worker, p placer.Parameters) (Action, bool) {
	worst := 0.0
	for _, t := range w.Tasks {
		if t.Class == declarer.ClassService {
			worst = max(worst, t.Slowdown)
		}
	}
	if worst == 0 || worst < p.ReleaseThreshold {
		delete(m.tried, w.ID)
		return unthrottle(w, worst, p)
	}
	if worst < p.ThrottleThreshold {
		return Action{}, false
	}
	batch := byPressure(w.Tasks)
	for _, t := range batch {
		if t.Share >= 1 {
			return Action{Throttle, w.ID, t.ID, t.Attempt, p.ThrottleShare, reason(worst, p.ThrottleThreshold, t)}, true
		}
	}
	if worst < p.CheckpointThreshold {
		return Action{}, false
	}
	for _, t := range batch {
		if !m.mayEvict(now, t, p) {
			continue
		}
		m.evicted[t.Job] = append(m.evicted[t.Job], now)
		if worst >= p.EvictionThreshold && m.tried[w.ID] {
			return Action{Evict, w.ID, t.ID, t.Attempt, 0, reason(worst, p.EvictionThreshold, t)}, true
		}
		m.tried[w.ID] = true
		return Action{Checkpoint, w.ID, t.ID, t.Attempt, 0, reason(worst, p.CheckpointThreshold, t)}, true
	}
	return Action{}, false
}

// byPressure returns the batch tasks that add to the services' slowdown, the
// worst first. Urgent tasks and those about to end are left alone.
func byPressure(tasks []Task) []Task {
	var batch []Task
	for _, t := range tasks {
		if t.Class == declarer.ClassBatch && !t.Urgent && t.Pressure >= leastPressure {
			batch = append(batch, t)
		}
	}
	slices.SortStableFunc(batch, func(a, b Task) int {
		return cmp.Or(-cmp.Compare(a.Pressure, b.Pressure), cmp.Compare(a.ID, b.ID))
	})
	return batch
}

const (
	// leastPressure is the added slowdown below which a task is not worth an
	// action.
	leastPressure = 0.02
	// nearEnd is the remaining time below which a checkpoint, which takes
	// about as long, would gain nothing.
	nearEnd = 5 * time.Second
)

// mayEvict keeps to the budgets of the task and its job, so that every job
// makes progress.
func (m *Mitigator) mayEvict(now time.Time, t Task, p placer.Parameters) bool {
	m.evicted[t.Job] = slices.DeleteFunc(m.evicted[t.Job], func(at time.Time) bool { return now.Sub(at) >= placer.EvictionWindow })
	if len(m.evicted[t.Job]) == 0 {
		delete(m.evicted, t.Job)
	}
	return t.Remaining >= nearEnd && t.Evictions < p.TaskEvictions && len(m.evicted[t.Job]) < p.EvictionBudget
}

// unthrottle gives one task its processors back, that with the least pressure
// first.
func unthrottle(w Worker, worst float64, p placer.Parameters) (Action, bool) {
	best := -1
	for i, t := range w.Tasks {
		if t.Share < 1 && (best < 0 || t.Pressure < w.Tasks[best].Pressure) {
			best = i
		}
	}
	if best < 0 {
		return Action{}, false
	}
	t := w.Tasks[best]
	return Action{Unthrottle, w.ID, t.ID, t.Attempt, 1, fmt.Sprintf("slowdown %.2f is below %.2f", worst, p.ReleaseThreshold)}, true
}

func reason(worst, threshold float64, t Task) string {
	return fmt.Sprintf("slowdown %.2f of a service is above %.2f, and the task is expected to add %.2f", worst, threshold, t.Pressure)
}
