package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// A task may crash each worker that starts it, and with the worker all that runs
// beside it. Which of the runs is to blame doesn't show, so the tasks that had just
// started are suspects. A suspect starts on a worker without another suspect, later
// without anything else, and is given up when workers go on to crash under it.

const (
	// suspicionAge is how long before a crash a run may have started to be suspected,
	// and how long after its start a suspect is kept apart. If no run has started so
	// recently, those are suspected that have started up to acquittalAge before.
	suspicionAge = time.Second
	// acquittalAge is how long a run of a suspect must work for its task to be
	// suspected no longer.
	acquittalAge = 5 * time.Second
	// promptAge is the age of a run up to which a crash is taken for its fault, and
	// unlistedAge that of a run that the worker has not listed. A crash may be noticed
	// late if no call to the worker was open.
	promptAge   = 100 * time.Millisecond
	unlistedAge = 400 * time.Millisecond
	// crashDelay is how long after the disconnection a crash is recorded, so that the
	// disconnections of other workers at the same moment are known.
	crashDelay = 20 * time.Millisecond
	// commonCrashes is the number of workers that disconnect within commonWindow of
	// each other from which the crashes may have a common cause, such as the loss of
	// a rack.
	commonCrashes = 4
	commonWindow  = 250 * time.Millisecond
	// suspectHorizon is how long an owner starts suspects without proof that it still
	// owns the shard, since it could not store their crashes.
	suspectHorizon = 1500 * time.Millisecond
	// crashMemory is how long disconnections are remembered.
	crashMemory = 30 * time.Second
	// A task is given up after promptCrashes crashes that are taken for its fault.
	// Workers that crash for other causes may do so beside a task several times, but
	// hardly each time at its start; so maxCrashes of any age are needed else.
	promptCrashes = 3
	maxCrashes    = 8
	// companionPenalty is the cost of each run that a worker has beside a task that
	// two workers have crashed under, in units of load.
	companionPenalty = 5.0
)

// Crash is the crash of a worker on which a task had just started.
type Crash struct {
	// Worker and Born identify the worker's process.
	Worker string `cbor:"worker"`
	Born   int64  `cbor:"born"`
	// IsPrompt is set if the crash is taken for the fault of the task.
	IsPrompt bool `cbor:"is_prompt,omitempty"`
}

// suspicion is how much a task is suspected of crashing workers.
type suspicion int

// The levels of suspicion.
const (
	// notSuspected tasks start anywhere but beside an isolated one.
	notSuspected suspicion = iota
	// suspected tasks start on a worker without another suspected task.
	suspected
	// isolated tasks start on a worker on which nothing else starts meanwhile.
	isolated
)

// suspicion returns how much the task is suspected.
func (t *task) suspicion() suspicion { return min(isolated, suspicion(len(t.crashes))) }

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
	prompt := 0
	for _, c := range t.crashes {
		if c.IsPrompt {
			prompt++
		}
	}
	return prompt >= promptCrashes || len(t.crashes) >= maxCrashes
}

// disconnection is when a worker that had runs closed or refused the connection of a
// call.
type disconnection struct {
	worker string
	at     time.Time
	// isPrompt is set if a run had just started there.
	isPrompt bool
}

// Disconnected records that a worker closed the connection of a call without an
// answer, or refused it, so that its process has probably ended.
func (p *Planner) Disconnected(now time.Time, workerID string) {
	w := p.workers[workerID]
	if w != nil && w.failedSince.IsZero() && w.disconnectedAt.IsZero() {
		w.disconnectedAt = now
		if len(w.runs) > 0 && w.isProved() {
			p.disconnections = slices.DeleteFunc(p.disconnections, func(d disconnection) bool { return now.Sub(d.at) > crashMemory })
			p.disconnections = append(p.disconnections, disconnection{w.ID, now, slices.ContainsFunc(w.runsInOrder, w.isPrompt)})
		}
	}
	p.Unanswered(now, workerID)
}

// isPrompt reports whether this owner had just started a run on the worker when that
// disconnected.
func (w *Worker) isPrompt(r *run) bool {
	if w.disconnectedAt.IsZero() {
		return false
	}
	age, ok := r.ageAt(w.disconnectedAt)
	if !ok {
		return false
	}
	return !r.isListed && age <= unlistedAge || r.isAnswered() && age <= promptAge
}

// ageAt returns the age of the run when its worker crashed, and false if its start was
// decided later. The answer to a start may be applied after the disconnection.
func (r *run) ageAt(crash time.Time) (time.Duration, bool) {
	return max(0, crash.Sub(r.startedAt)), !r.decidedAt.After(crash)
}

// hasCommonCause reports whether several workers disconnected at the time, most of
// them without a run that had just started.
func (p *Planner) hasCommonCause(at time.Time) bool {
	workers := map[string]bool{}
	prompt := 0
	for _, d := range p.disconnections {
		if gap := d.at.Sub(at); gap < -commonWindow || gap > commonWindow || workers[d.worker] {
			continue
		}
		workers[d.worker] = true
		if d.isPrompt {
			prompt++
		}
	}
	return len(workers) >= commonCrashes && 2*prompt < len(workers)
}

// suspects returns those of the runs that are suspected of a crash.
func suspects(runs []*run, crashedAt time.Time) []*run {
	startedWithin := func(age time.Duration) []*run {
		return slices.DeleteFunc(slices.Clone(runs), func(r *run) bool {
			at, ok := r.ageAt(crashedAt)
			return !ok || at > age
		})
	}
	if recent := startedWithin(suspicionAge); len(recent) > 0 {
		return recent
	}
	return startedWithin(acquittalAge)
}

// recordCrashes records the crashes of workers that have disconnected. Whether their
// processes have ended, and whether the cause is a common one, shows later, but a new
// owner has to know of a crash that was the fault of a task.
func (p *Planner) recordCrashes(now time.Time) {
	for _, w := range p.sortedWorkers {
		p.acquitSuspects(now, w)
		switch since := now.Sub(w.disconnectedAt); {
		case w.disconnectedAt.IsZero() || since < crashDelay:
		case !w.isCrashRecorded:
			p.recordCrash(w, w.runsInOrder)
		case since <= 2*commonWindow && p.hasCommonCause(w.disconnectedAt):
			p.retractSuspicions(w, "other workers crashed too")
		}
	}
}

// acquitSuspects ends the separation of suspects whose runs on a worker go on after
// suspicionAge, and the suspicion after acquittalAge.
func (p *Planner) acquitSuspects(now time.Time, w *Worker) {
	if !w.failedSince.IsZero() {
		return
	}
	for _, r := range w.runsInOrder {
		if r.state != "running" || len(r.task.crashes) == 0 {
			continue
		}
		if age := now.Sub(r.startedAt); age > acquittalAge && r.isListed {
			r.task.setCrashes(nil)
			p.reportRun("not_suspected", r, "its worker has not crashed")
		} else if age > suspicionAge {
			w.setSuspicion(r, notSuspected)
		}
	}
}

// recordCrash records, once, that a worker has crashed with the given runs, if it was
// disconnected and was not shutting down. A worker that went silent may be cut off or
// without power, which is no fault of its tasks, nor is the crash of many at once.
func (p *Planner) recordCrash(w *Worker, runs []*run) {
	if w.disconnectedAt.IsZero() || w.isCrashRecorded || w.Draining || len(runs) == 0 {
		return
	}
	w.isCrashRecorded = true
	if p.hasCommonCause(w.disconnectedAt) {
		p.reportWorker("worker_crashed", w, fmt.Sprintf("none of %d runs is suspected, other workers crashed too", len(runs)))
		return
	}
	list := suspects(runs, w.disconnectedAt)
	p.reportWorker("worker_crashed", w, fmt.Sprintf("%d of %d runs are suspected", len(list), len(runs)))
	for _, r := range list {
		c := Crash{w.ID, w.Born, w.isPrompt(r)}
		t := r.task
		j := t.step.occurrence.job
		if t.done || j.state.IsFinal() || slices.ContainsFunc(t.crashes, c.isSameProcess) {
			continue
		}
		t.setCrashes(append(slices.Clone(t.crashes), c))
		p.reportRun("suspected", r, fmt.Sprintf("started %s before the crash, prompt %t, %d crashes so far", w.disconnectedAt.Sub(r.startedAt), c.IsPrompt, len(t.crashes)))
		if t.isDeadly() {
			p.deadlyTasks = append(p.deadlyTasks, t)
		}
	}
}

// retractCrash records that a worker's process has answered after a disconnection, so
// that it has not crashed.
func (p *Planner) retractCrash(w *Worker) {
	if w.isCrashRecorded {
		p.retractSuspicions(w, "its worker answers again")
	}
	w.disconnectedAt, w.isCrashRecorded = time.Time{}, false
}

// retractSuspicions removes the crash of a worker from those under the tasks that run
// there.
func (p *Planner) retractSuspicions(w *Worker, reason string) {
	for _, r := range w.runsInOrder {
		t, c := r.task, Crash{Worker: w.ID, Born: w.Born}
		if slices.ContainsFunc(t.crashes, c.isSameProcess) {
			t.setCrashes(slices.DeleteFunc(slices.Clone(t.crashes), c.isSameProcess))
			p.reportRun("not_suspected", r, reason)
		}
	}
}

func (c Crash) isSameProcess(o Crash) bool { return c.Worker == o.Worker && c.Born == o.Born }

// setCrashes replaces the crashes under the task, which doesn't start again until they
// are stored.
func (t *task) setCrashes(list []Crash) {
	t.crashes = list
	j := t.step.occurrence.job
	j.markChanged()
	if len(list) > 0 {
		t.crashVersion = j.version
	}
	for _, r := range t.runs {
		r.worker.setSuspicion(r, t.suspicion())
	}
}

// areCrashesStored reports whether a new owner would know of the crashes under the
// task.
func (t *task) areCrashesStored() bool { return t.step.occurrence.job.committed >= t.crashVersion }

// isSafeToStart reports whether a successor would know what it needs of the next run of a
// task: an attempt number that the run is below, the starts that may still be carried out,
// and the crash of its worker. The crashes so far are stored, and a further one could be.
func (p *Planner) isSafeToStart(now time.Time, t *task) bool {
	return p.ensureAttempt(t) && t.areLateStartsStored() && (t.suspicion() == notSuspected || t.areCrashesStored() && now.Sub(p.provenAt) < suspectHorizon)
}

// giveUpDeadlyTasks ends the jobs of the tasks that are given up, once it is known that
// the workers under them have crashed.
func (p *Planner) giveUpDeadlyTasks(now time.Time) {
	p.deadlyTasks = slices.DeleteFunc(p.deadlyTasks, func(t *task) bool {
		j := t.step.occurrence.job
		if !t.isDeadly() || t.done || j.state.IsFinal() {
			return true
		}
		if slices.ContainsFunc(t.runs, func(r *run) bool { return r.worker.isCrashRecorded }) {
			return false
		}
		p.reportJob("given_up", j, fmt.Sprintf("%s: workers crashed under it: %s", t.id, strings.Join(t.crashedWorkers(), ", ")))
		p.finishJob(now, j, Failed)
		return true
	})
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
func (p *Planner) mayBeCopied(now time.Time, r *run) bool {
	if r.task.suspicion() == isolated || !p.isSafeToStart(now, r.task) {
		return false
	}
	return !r.worker.isPrompt(r) || p.hasCommonCause(r.worker.disconnectedAt)
}
