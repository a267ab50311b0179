package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// A task may crash each worker that starts it, and with the worker all that runs
// beside it. Which of the runs is to blame doesn't show, so the tasks that had just
// started are suspects. A suspect runs on a worker without another suspect, later
// without anything else, and is given up when workers go on to crash under it.

const (
	// suspicionAge is how long before a crash a run may have started to be suspected
	// if others have started later. If none has started so recently, all runs are.
	suspicionAge = time.Second
	// promptAge is the age up to which a run is suspected so much that its task gets
	// no copy until it is known whether the worker has ended.
	promptAge = 100 * time.Millisecond
	// commonCrashes is the number of workers whose calls begin to fail within
	// commonWindow of each other from which the crashes count as having a common
	// cause, such as the loss of a rack.
	commonCrashes = 4
	commonWindow  = 250 * time.Millisecond
	// maxCrashes is the number of crashes under a task after which it is given up.
	// Crashes with a common cause count only from maxCommonCrashes on.
	maxCrashes       = 3
	maxCommonCrashes = 4
	// companionPenalty is the cost of each run that a worker has beside a task that
	// two workers have crashed under, in units of load.
	companionPenalty = 5.0
)

// Crash is the crash of a worker on which a task had just started.
type Crash struct {
	// Worker and Born identify the worker's process.
	Worker string `cbor:"worker"`
	Born   int64  `cbor:"born"`
	// IsCommon is set if other workers crashed at the same time.
	IsCommon bool `cbor:"is_common,omitempty"`
}

// suspicion is how much a task is suspected of crashing workers.
type suspicion int

// The levels of suspicion.
const (
	// notSuspected tasks run anywhere but beside an isolated one.
	notSuspected suspicion = iota
	// suspected tasks run on a worker without another suspected task.
	suspected
	// isolated tasks run on a worker on which nothing else starts meanwhile.
	isolated
)

// suspicion returns how much the task is suspected. One crash with a common cause
// tells nothing.
func (t *task) suspicion() suspicion {
	switch count := len(t.crashes); {
	case count >= 2:
		return isolated
	case count == 1 && !t.crashes[0].IsCommon:
		return suspected
	default:
		return notSuspected
	}
}

// crashedWorkers returns the ids of the workers that have crashed under the task.
func (t *task) crashedWorkers() []string {
	list := make([]string, len(t.crashes))
	for i, c := range t.crashes {
		list[i] = c.Worker
	}
	return list
}

// isDeadly reports whether so many workers have crashed under the task that it is
// given up.
func (t *task) isDeadly() bool {
	own := 0
	for _, c := range t.crashes {
		if !c.IsCommon {
			own++
		}
	}
	return own >= maxCrashes || len(t.crashes) >= maxCommonCrashes
}

// Disconnected records that a worker closed the connection of a call without an
// answer, or refused it, so that its process has probably ended.
func (p *Planner) Disconnected(now time.Time, workerID string) {
	if w := p.workers[workerID]; w != nil && w.failedSince.IsZero() {
		w.isDisconnected = true
		p.crashTimes = append(slices.DeleteFunc(p.crashTimes, func(t time.Time) bool { return now.Sub(t) > crashMemory }), now)
	}
	p.Unanswered(now, workerID)
}

// crashMemory is how long the time of a possible crash is remembered.
const crashMemory = 30 * time.Second

// hasCommonCause reports whether several workers may have crashed at the time.
func (p *Planner) hasCommonCause(at time.Time) bool {
	count := 0
	for _, t := range p.crashTimes {
		if d := t.Sub(at); d >= -commonWindow && d <= commonWindow {
			count++
		}
	}
	return count >= commonCrashes
}

// suspects returns those of the runs that are suspected of a crash.
func suspects(runs []*run, crashedAt time.Time) []*run {
	var all, recent []*run
	for _, r := range runs {
		if r.startedAt.After(crashedAt) {
			continue
		}
		all = append(all, r)
		if crashedAt.Sub(r.startedAt) <= suspicionAge {
			recent = append(recent, r)
		}
	}
	if len(recent) > 0 {
		return recent
	}
	return all
}

// recordCrash records that a worker's process has ended with the given runs, if it has
// crashed: its connections were closed, and it was not shutting down. A worker that
// went silent may be cut off or without power, which is no fault of its tasks.
func (p *Planner) recordCrash(w *Worker, runs []*run) {
	if !w.isDisconnected || w.Draining || len(runs) == 0 {
		return
	}
	c := Crash{w.ID, w.Born, p.hasCommonCause(w.failedSince)}
	list := suspects(runs, w.failedSince)
	p.reportWorker("worker_crashed", w, fmt.Sprintf("%d of %d runs are suspected, common cause %t", len(list), len(runs), c.IsCommon))
	for _, r := range list {
		t := r.task
		j := t.step.occurrence.job
		isKnown := slices.ContainsFunc(t.crashes, func(o Crash) bool { return o.Worker == c.Worker && o.Born == c.Born })
		if t.done || isKnown || j.state.isFinal() {
			continue
		}
		t.crashes = append(t.crashes, c)
		j.markChanged()
		t.updateSuspicion()
		p.reportRun("suspected", r, fmt.Sprintf("started %s before the crash, %d crashes so far", w.failedSince.Sub(r.startedAt), len(t.crashes)))
		if t.isDeadly() {
			p.deadlyTasks = append(p.deadlyTasks, t)
		}
	}
}

// giveUpDeadlyTasks ends the jobs of the tasks that are given up.
func (p *Planner) giveUpDeadlyTasks(now time.Time) {
	for _, t := range p.deadlyTasks {
		if j := t.step.occurrence.job; !t.done && !j.state.isFinal() {
			p.reportJob("given_up", j, fmt.Sprintf("%s: workers crashed under it: %s", t.id, strings.Join(t.crashedWorkers(), ", ")))
			p.finishJob(now, j, Failed)
		}
	}
	p.deadlyTasks = nil
}

// updateSuspicion updates the runs of a task after a change of its suspicion.
func (t *task) updateSuspicion() {
	for _, r := range t.runs {
		r.worker.setSuspicion(r, t.suspicion())
	}
}

// setSuspicion changes the suspicion of a run on the worker.
func (w *Worker) setSuspicion(r *run, s suspicion) {
	count := func(level suspicion, change int) {
		if level >= suspected {
			w.suspectedRuns += change
		}
		if level >= isolated {
			w.isolatedRuns += change
		}
	}
	count(r.suspicion, -1)
	r.suspicion = s
	count(s, 1)
}

// isSeparate reports whether a task may start on a worker beside the suspected tasks
// there.
func (w *Worker) isSeparate(t *task) bool {
	return w.isolatedRuns == 0 && (w.suspectedRuns == 0 || t.suspicion() == notSuspected)
}

// companionCost returns the cost of what a task would take down with a worker.
func (w *Worker) companionCost(t *task) float64 {
	if t.suspicion() < isolated {
		return 0
	}
	return companionPenalty * float64(len(w.runsInOrder))
}

// mayBeCopied reports whether a second run of a task may start while the worker of its
// run r does not answer.
func (p *Planner) mayBeCopied(r *run) bool {
	w := r.worker
	isPrompt := w.isDisconnected && !r.startedAt.After(w.failedSince) && w.failedSince.Sub(r.startedAt) <= promptAge
	return r.task.suspicion() == notSuspected && (!isPrompt || p.hasCommonCause(w.failedSince))
}
