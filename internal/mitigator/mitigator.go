// Package mitigator relieves services that are slowed down by batch on the same
// worker. It throttles, checkpoints and evicts batch, in this order, and ends the
// throttling with hysteresis.
package mitigator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// Kind is the kind of an action.
type Kind string

// The kinds of actions, in the order of escalation.
const (
	Unthrottle Kind = "unthrottle"
	Throttle   Kind = "throttle"
	Checkpoint Kind = "checkpoint"
	Evict      Kind = "evict"
)

// Action is one step of escalation on one task, or the reversal of a step.
type Action struct {
	Kind    Kind
	Worker  string
	Task    string
	Attempt uint64
	// Share is the share of its reserved processors that the task may use from
	// now on, 0 for Checkpoint and Evict.
	Share float64
	// Reason explains the action to operators, with its figures.
	Reason string
}

// View is the state of the workers of a shard.
type View struct {
	Parameters placer.Parameters
	// Lag is the age of a measurement at its arrival.
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
	// Slowdown is the last measured slowdown, 0 if not known.
	Slowdown float64
	// Pressure is the slowdown that the task is expected to add to the services
	// on the same worker.
	Pressure float64
	// Share is the share of its reserved processors that the task may use, 1 if
	// it is not throttled.
	Share float64
	// Evictions is the number of times that the task has been evicted.
	Evictions int
	// Remaining is the expected time until the task ends.
	Remaining time.Duration
}

// Mitigator decides the actions of one shard from measurements and its own
// earlier actions. One goroutine uses it.
type Mitigator struct {
	// lastActions holds the time of the last action on each worker.
	lastActions map[string]time.Time
	// evictions holds the times of each job's checkpoints and evictions within
	// placer.EvictionWindow.
	evictions map[string][]time.Time
	// checkpointed holds the workers with a checkpoint since their services were
	// last below the release threshold. The next action there may be an eviction.
	checkpointed map[string]bool
}

// New returns a Mitigator without earlier actions.
func New() *Mitigator {
	return &Mitigator{lastActions: map[string]time.Time{}, evictions: map[string][]time.Time{}, checkpointed: map[string]bool{}}
}

// measurementWindow is the time that one measurement covers.
const measurementWindow = 3 * time.Second

// Decide returns at most one action for each worker. It returns no further action
// for a worker until a measurement covers only time after the last action.
func (m *Mitigator) Decide(now time.Time, v View) []Action {
	var actions []Action
	for _, w := range v.Workers {
		lastAction, hasActed := m.lastActions[w.ID]
		if hasActed && (now.Sub(lastAction) < v.Lag || w.MeasuredAt.Add(-measurementWindow).Before(lastAction)) {
			continue
		}
		if a, ok := m.decide(now, w, v.Parameters); ok {
			m.lastActions[w.ID] = now
			actions = append(actions, a)
		}
	}
	return actions
}

// Forget drops the state of a worker that is gone.
func (m *Mitigator) Forget(worker string) {
	delete(m.lastActions, worker)
	delete(m.checkpointed, worker)
}

func (m *Mitigator) decide(now time.Time, w Worker, p placer.Parameters) (Action, bool) {
	worstSlowdown := 0.0
	for _, t := range w.Tasks {
		if t.Class == declarer.ClassService {
			worstSlowdown = max(worstSlowdown, t.Slowdown)
		}
	}
	if worstSlowdown == 0 || worstSlowdown < p.ReleaseThreshold {
		delete(m.checkpointed, w.ID)
		return unthrottle(w, worstSlowdown, p)
	}
	if worstSlowdown < p.ThrottleThreshold {
		return Action{}, false
	}
	batch := batchByPressure(w.Tasks)
	for _, t := range batch {
		if t.Share >= 1 {
			return Action{Throttle, w.ID, t.ID, t.Attempt, p.ThrottleShare, reason(worstSlowdown, p.ThrottleThreshold, t)}, true
		}
	}
	if worstSlowdown < p.CheckpointThreshold {
		return Action{}, false
	}
	for _, t := range batch {
		if !m.mayEvict(now, t, p) {
			continue
		}
		m.evictions[t.Job] = append(m.evictions[t.Job], now)
		if worstSlowdown >= p.EvictionThreshold && m.checkpointed[w.ID] {
			return Action{Evict, w.ID, t.ID, t.Attempt, 0, reason(worstSlowdown, p.EvictionThreshold, t)}, true
		}
		m.checkpointed[w.ID] = true
		return Action{Checkpoint, w.ID, t.ID, t.Attempt, 0, reason(worstSlowdown, p.CheckpointThreshold, t)}, true
	}
	return Action{}, false
}

// batchByPressure returns the batch tasks that add to the services' slowdown, in
// descending order of pressure. It omits urgent tasks.
func batchByPressure(tasks []Task) []Task {
	var batch []Task
	for _, t := range tasks {
		if t.Class == declarer.ClassBatch && !t.Urgent && t.Pressure >= minPressure {
			batch = append(batch, t)
		}
	}
	slices.SortStableFunc(batch, func(a, b Task) int {
		return cmp.Or(-cmp.Compare(a.Pressure, b.Pressure), cmp.Compare(a.ID, b.ID))
	})
	return batch
}

const (
	// minPressure is the added slowdown below which an action on a task would gain
	// too little.
	minPressure = 0.02
	// minRemaining is the remaining time below which a task is not checkpointed
	// or evicted, since a checkpoint takes about as long.
	minRemaining = 5 * time.Second
)

// mayEvict reports whether the task may be checkpointed or evicted. The budgets
// of evictions of a task and of a job ensure that every job makes progress.
func (m *Mitigator) mayEvict(now time.Time, t Task, p placer.Parameters) bool {
	m.evictions[t.Job] = slices.DeleteFunc(m.evictions[t.Job], func(at time.Time) bool { return now.Sub(at) >= placer.EvictionWindow })
	if len(m.evictions[t.Job]) == 0 {
		delete(m.evictions, t.Job)
	}
	return t.Remaining >= minRemaining && t.Evictions < p.TaskEvictions && len(m.evictions[t.Job]) < p.EvictionBudget
}

// unthrottle returns the action that ends the throttling of the throttled task
// with the lowest pressure.
func unthrottle(w Worker, worstSlowdown float64, p placer.Parameters) (Action, bool) {
	lowest := -1
	for i, t := range w.Tasks {
		if t.Share < 1 && (lowest < 0 || t.Pressure < w.Tasks[lowest].Pressure) {
			lowest = i
		}
	}
	if lowest < 0 {
		return Action{}, false
	}
	t := w.Tasks[lowest]
	return Action{Unthrottle, w.ID, t.ID, t.Attempt, 1, fmt.Sprintf("slowdown %.2f is below %.2f", worstSlowdown, p.ReleaseThreshold)}, true
}

// reason returns the text that explains an action with its figures.
func reason(worstSlowdown, threshold float64, t Task) string {
	return fmt.Sprintf("slowdown %.2f of a service is above %.2f, and the task is expected to add %.2f", worstSlowdown, threshold, t.Pressure)
}
