package planner

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/interpreter"
)

// job holds an accepted job and its progress.
type job struct {
	Job
	state State
	// visibleState is the last committed state; clients see a final state only
	// once it is committed.
	visibleState State
	// version counts the changes to commit; committed is the version in the
	// store.
	version, committed uint64
	// occurrences holds those that are open, and those that have ended until nothing
	// refers to them. byNumber has the same.
	occurrences []*occurrence
	byNumber    map[int]*occurrence
	// ended holds the numbers of the occurrences that are done.
	ended numberSet
	// shards names the shards to which tasks of the job were handed over.
	shards []string
	// arrived is when the job was received, on the planner's clock.
	arrived time.Time
	// cachedObjective caches the objective, which every decision about a task
	// needs. It is zero until computed and after a change of the queue or of an
	// estimate.
	cachedObjective time.Duration
	// mayHaveUnverifiedRuns is set while an earlier owner may have started
	// tasks of the job on workers that have not answered this owner.
	mayHaveUnverifiedRuns bool
	// wasLoaded is set if the job was stored before this owner loaded the shard.
	wasLoaded bool
	// mayPredateOwner is set when this owner had a predecessor, which may have
	// started tasks of the job.
	mayPredateOwner bool
	// hasStarted is set once a task of the job has started.
	hasStarted bool
	// finalAt is when the job reached a final state.
	finalAt time.Time
	fairnessState
}

func (j *job) markChanged() { j.version++ }

// occurrence returns occurrence k and creates it if needed.
func (j *job) occurrence(k int) *occurrence {
	if o := j.byNumber[k]; o != nil {
		return o
	}
	o := &occurrence{job: j, number: k}
	isEnded := j.ended.has(k)
	for i := range j.Steps {
		s := &step{Step: &j.Steps[i], occurrence: o, number: i, unfinished: j.Steps[i].Count}
		for n := range s.Count {
			s.tasks = append(s.tasks, &task{id: TaskID{j.ID, k, i, n}, step: s, done: isEnded})
		}
		if isEnded {
			s.unfinished = 0
		} else {
			s.waiting = slices.Clone(s.tasks)
		}
		o.steps = append(o.steps, s)
	}
	o.openSteps()
	j.occurrences = append(j.occurrences, o)
	j.byNumber[k] = o
	return o
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job    *job
	number int
	steps  []*step
}

// openSteps opens each step whose prerequisite steps are done.
func (o *occurrence) openSteps() {
	for _, s := range o.steps {
		s.isOpen = !slices.ContainsFunc(s.After, func(a int) bool { return o.steps[a].unfinished > 0 })
	}
}

// remainingWork returns the estimated work of the unfinished tasks.
func (o *occurrence) remainingWork() time.Duration {
	var sum time.Duration
	for _, s := range o.steps {
		sum += time.Duration(s.unfinished) * s.estimate()
	}
	return sum
}

func (o *occurrence) isDone() bool {
	return !slices.ContainsFunc(o.steps, func(s *step) bool { return s.unfinished > 0 })
}

// step is a Step within an occurrence.
type step struct {
	*Step
	occurrence *occurrence
	number     int
	tasks      []*task
	// unfinished counts the tasks that are not done.
	unfinished int
	// measuredSeconds is the work of one task as learned from its runs, and
	// measurements counts the updates.
	measuredSeconds float64
	measurements    int
	// isOpen is set when every step in After is done.
	isOpen bool
	// waiting holds the tasks without a run, initially in the order of their
	// indexes; it may include tasks that are done by now.
	waiting []*task
}

// task is one task of a step.
type task struct {
	id   TaskID
	step *step
	done bool
	// attempt is the highest attempt used by this owner.
	attempt int
	// failures holds the numbers of the attempts that failed, of a long-running task only
	// the highest.
	failures []int
	// crashes holds the crashes of workers on which the task had just started, one
	// for each process.
	crashes []Crash
	// hasStoredCrashes is set if an earlier owner of this shard has stored crashes, which
	// include those from before the arrival, and the task has not left the shard since.
	hasStoredCrashes bool
	// crashVersion is the version of the job that has the last change of crashes.
	crashVersion uint64
	checkpoint   string
	// runs holds the runs that may be on a worker: at most one, or two if the
	// step is speculative.
	runs []*run
	// avoidedWorkers holds the ids of the workers on which the task failed,
	// stalled, was slow or was refused.
	avoidedWorkers []string
	// blockedIn is the number of the last plan in which the cap of its organisation kept
	// the task from starting.
	blockedIn uint64
	// lateStarts holds the starts that may still be carried out although their runs have
	// ended or are being stopped, and lateVersion is the version of the job that has the
	// last one.
	lateStarts  []lateStart
	lateVersion uint64
	// retryAt is the earliest time at which the task may start after a failure.
	retryAt time.Time
	// readyAt is when the task was first seen waiting in an open step. soughtAt is
	// when a place was first sought for it, after those before it in its step.
	readyAt, soughtAt time.Time
	// isElsewhere is set while another shard has the task. departure names the
	// shard that received the task last, and handovers counts its handovers.
	isElsewhere bool
	departure   *Departure
	handovers   int
	// attemptFloor is the highest attempt that an earlier shard may have used,
	// and arrivedAt is when this shard took the task over.
	attemptFloor int
	arrivedAt    time.Time
	// raisedFloor is attemptFloor if an owner of this shard has used the attempts of a
	// whole epoch, and floorVersion the version of the job that has the last raise.
	raisedFloor  int
	floorVersion uint64
	// reservedWorker is the worker last reserved for the task; the reservation
	// may have expired. reservedAt is when the first worker was reserved during
	// the present wait.
	reservedWorker *Worker
	reservedAt     time.Time
}

// run is a run of a task that may be on a worker.
type run struct {
	id     RunID
	task   *task
	worker *Worker
	state  interpreter.State
	// startedAt is when the start was sent or confirmed, or when a run of an
	// earlier owner was first listed.
	startedAt time.Time
	// decidedAt is when the start was decided, or when a run of an earlier owner was
	// first listed.
	decidedAt time.Time
	// isListed is set once the worker's process has listed the run. The start of
	// any other run may still be under way.
	isListed bool
	// answeredAt is when the start was answered, so that it can't be carried out any
	// more; zero before.
	answeredAt time.Time
	// isSent is set once the start command was sent.
	isSent bool
	// startLeaseEnd is when the lease that the start grants has certainly expired, so that
	// the worker no longer carries the start out; zero if it is not known.
	startLeaseEnd time.Time
	// isOverdue is set when the start had no answer in time and is awaited.
	isOverdue bool
	// isSettled is set when the start can't be carried out any more although its worker has
	// not answered it: a later process has done so, or its time has passed.
	isSettled bool
	// suspicion is that of the task, as the worker counts it.
	suspicion suspicion
	// wasSentToEnded is set when the start was sent to an ended process that had the
	// id of the present one.
	wasSentToEnded bool
	// stopConfirmed is when the worker confirmed the stop.
	stopConfirmed time.Time
	// stopSent is when the stop was last sent, and stopRepeats how often it was sent
	// again.
	stopSent    time.Time
	stopRepeats int
	// percent is the progress, which last changed at progressAt; a long-running
	// task that is working reports 100.
	percent    int
	progressAt time.Time
	// rate is the progress in percent per second, computed at rateAt over the
	// interval since measuredAt, when the progress was measuredPercent.
	rate            float64
	rateAt          time.Time
	measuredAt      time.Time
	measuredPercent int
	// pace is the percentage of its CPU need to which the worker was told to
	// limit the run, and targetPace the percentage that the planner wants.
	pace, targetPace int
	paceAt           time.Time
	// slowedAt is when the run was last slowed from a pace of 100%.
	slowedAt time.Time
	// tailLevel is the logarithm of the last reported tail latency over its
	// target, received at tailAt. overTargetSince is when the task went over
	// its target, and zero while the target is met.
	tailLevel       float64
	tailAt          time.Time
	overTargetSince time.Time
	// violatingSince is at or before overTargetSince: it adds the time over the
	// target before a brief recovery, but not before an earlier one.
	// lastViolation is how long the task was over its target up to the last
	// recovery, which began at recoveredAt.
	violatingSince, recoveredAt time.Time
	lastViolation               time.Duration
	// usedCPU is the last reported CPU use of a task that is not long-running,
	// in millicores.
	usedCPU int64
}

// isStarting reports whether the start is neither answered nor withdrawn, and the worker has
// not listed the run.
func (r *run) isStarting() bool { return r.state == "starting" }

func (r *run) isAnswered() bool { return !r.answeredAt.IsZero() }

// Worker is a machine that runs tasks.
type Worker struct {
	// ID identifies one incarnation of the worker's process, together with Born
	// if an id is reused.
	ID       string         `cbor:"id"`
	Born     int64          `cbor:"born"`
	Address  netip.AddrPort `cbor:"address"`
	Service  string         `cbor:"service"`
	Domain   string         `cbor:"domain"`
	Rack     string         `cbor:"rack"`
	Labels   []string       `cbor:"labels"`
	Capacity Resources      `cbor:"capacity"`
	// EntryCreated is the store's revision at which the worker's entry in the
	// list of workers was created, for the log.
	EntryCreated uint64 `cbor:"-"`
	// EarlierCalls is what the stored list tells of calls that were meant for an earlier
	// process of the id.
	EarlierCalls EarlierCalls `cbor:"earlier_calls,omitzero"`
	// Draining is set when the worker is shutting down; Remaining is the least
	// time for which it continues to run.
	Draining  bool          `cbor:"-"`
	Remaining time.Duration `cbor:"-"`

	// FenceOffset is added to the lowest fence of the owner in calls to the worker. It is
	// higher for each process that is found under a used id, so that the process rejects the
	// calls that were meant for an earlier one.
	FenceOffset int64 `cbor:"-"`

	// isListed is set while discovery lists the worker, and missingSince is
	// when it was first missing.
	isListed     bool
	missingSince time.Time
	// process is the state of the worker's process. A proved process has answered
	// a poll of this owner with its own fence, so it also rejects the calls of earlier
	// owners and those that were meant for an earlier process of its id.
	process interpreter.State
	// knownSince is when the process became known; zero if an earlier owner knew
	// it.
	knownSince time.Time
	// unusedUntil is until when calls that were meant for an earlier process may reach
	// this one, if no higher fence was left for it. It isn't polled before.
	unusedUntil time.Time
	// replacedAt is when the answer to a start showed that a later process has the id;
	// zero once a poll sent since then has told which. No task starts on the worker before.
	replacedAt time.Time
	// relisted is the process that the list shows under the same id with another
	// start time, until a poll tells which of them is alive.
	relisted *Worker
	// isContested is set while another process may have the worker's address:
	// another worker has the same address, or relisted is set. No task starts on
	// a contested worker.
	isContested bool
	// isUnverified is set for a worker on which an earlier owner may have
	// started tasks, until the worker has listed its runs to this owner.
	isUnverified bool
	// isOverdue is set for an unverified worker once every lease of the earlier owner has
	// expired. Only late starts of that owner may still take effect there.
	isOverdue bool
	// isRecorded is set when the stored list of workers that a successor asks
	// includes the worker.
	isRecorded bool
	// free is the capacity that is not reserved by runs. It is negative if the
	// capacity has shrunk below what they reserve.
	free Resources
	runs map[RunID]*run
	// runsInOrder holds the same runs in order of arrival, so that decisions do
	// not depend on the iteration order of a map.
	runsInOrder []*run
	// suspectedRuns counts the runs of suspected and isolated tasks, and isolatedRuns
	// those of isolated ones.
	suspectedRuns, isolatedRuns int
	// reservation is the task for which the worker is reserved, if any.
	reservation reservation
	// hasUnknownRuns is set when the worker lists runs of unknown jobs. The
	// resource use of these runs is not known, so nothing starts on the worker.
	hasUnknownRuns bool
	// bestEffortCPU is the CPU need of the best-effort tasks, in millicores.
	bestEffortCPU int64
	// needsPacing is set when the runs or their tail latencies have changed
	// since the paces were last set. victims caches the long-running tasks with
	// a latency target until such a change.
	needsPacing bool
	// observedAt is when the interference models last observed the worker.
	observedAt time.Time
	victims    []victim
	// cursor is the number of the last end that was read, acknowledged the number
	// of the last end whose effect is committed, and delivered the number of the
	// last end that an answered poll acknowledged.
	cursor, acknowledged, delivered uint64
	unacknowledgedEnds              []unacknowledgedEnd
	// hasOverdueEnds is set when the last answer listed ends whose effect was
	// committed by then, because its poll could not acknowledge them.
	hasOverdueEnds bool
	// withdrawnStarts holds the unanswered starts whose runs have ended before the
	// process listed them.
	withdrawnStarts []withdrawnStart
	// leaseEnd is when the last lease that this or, if it may have used the worker, an
	// earlier owner has granted to the worker has certainly expired.
	leaseEnd time.Time
	// lateLeaseEnd is when a lease that a call meant for an earlier process of the id has
	// granted has certainly expired; zero if no such call was possible.
	lateLeaseEnd time.Time
	// polledAt is when the last answer to a poll was applied.
	polledAt time.Time
	// listedAt is when the last answer to a poll was received, which may be
	// before it was applied.
	listedAt time.Time
	// answeredAt is when the worker last answered any call, and failedSince is
	// when calls began to go unanswered.
	answeredAt  time.Time
	failedSince time.Time
	// drainingSince is when the worker announced that it leaves, and leavesAt until
	// when it stays at least, by its latest announcement.
	drainingSince, leavesAt time.Time
	// disconnectedAt is when the first of the unanswered calls failed because the
	// worker closed or refused the connection. It is zero if the worker is silent,
	// and once a poll has shown that the process is alive. isCrashRecorded is set
	// once the tasks there are suspected.
	disconnectedAt  time.Time
	isCrashRecorded bool
	health
}

// LeavesAt returns the time from which the worker may be gone, because it has announced
// that it leaves; zero if it has not.
func (w *Worker) LeavesAt() time.Time {
	if !w.Draining {
		return time.Time{}
	}
	return w.leavesAt
}

// isProved reports whether the worker's process has answered a poll of this
// owner with its own fence.
func (w *Worker) isProved() bool { return w.process == "proved" }

// describe returns what identifies the worker's process, for the log.
func (w *Worker) describe() string {
	return fmt.Sprintf("at %s in %s, born %d, entry created at revision %d", w.Address, w.Domain, w.Born, w.EntryCreated)
}

// describeFailure returns how calls to the worker began to fail, and how long before
// its latest run had started, for the log.
func (w *Worker) describeFailure() string {
	if w.failedSince.IsZero() {
		return "no call failed before"
	}
	manner := "silent"
	if !w.disconnectedAt.IsZero() {
		manner = "disconnected"
	}
	for i := len(w.runsInOrder) - 1; i >= 0; i-- {
		if r := w.runsInOrder[i]; !r.startedAt.After(w.failedSince) {
			return fmt.Sprintf("%s since %s after the start of %s", manner, w.failedSince.Sub(r.startedAt), r.id)
		}
	}
	return manner + " before any run"
}

// update takes over the description of the process from its entry n.
func (w *Worker) update(n Worker) {
	if w.Born == 0 {
		w.Born = n.Born
	}
	w.Service, w.Domain, w.Rack, w.Labels, w.EntryCreated = n.Service, n.Domain, n.Rack, n.Labels, n.EntryCreated
	w.free = w.free.plus(n.Capacity).minus(w.Capacity)
	w.Capacity = n.Capacity
}

// freeCPU returns the CPU that runs can still reserve, in millicores.
func (w *Worker) freeCPU() int64 { return max(0, w.free.CPU) }

func (w *Worker) isGone(now time.Time) bool {
	return !w.isListed && !w.missingSince.IsZero() && now.Sub(w.missingSince) > missingLimit
}

// lostAfter is how long calls to a worker without runs may go unanswered before
// the worker is removed from the stored list, until it answers again.
const lostAfter = time.Second

// isNeeded reports whether only the worker can tell something that a successor needs:
// it has runs, or ends whose effect isn't stored, or has not answered yet.
func (w *Worker) isNeeded(jobsReadAt time.Time) bool {
	return len(w.runs) > 0 || w.hasUnknownRuns || w.isUnverified || w.unstoredEnds(jobsReadAt) > 0
}

// mustBeStored reports whether the stored list needs the worker, because a successor has
// to ask it or because it may get runs. A worker that isn't needed gets no runs while it
// is draining or lost. Such a worker is left out, because a successor would have to wait
// for its answer.
func (w *Worker) mustBeStored(now, jobsReadAt time.Time) bool {
	switch {
	case w.isNeeded(jobsReadAt):
		return true
	case !w.failedSince.IsZero() && now.Sub(w.failedSince) > lostAfter:
		return false
	case !w.isProved():
		// A contested process has probably ended.
		return !w.isContested
	default:
		return !w.Draining
	}
}

// addRun adds a run and reserves its capacity.
func (w *Worker) addRun(r *run) {
	w.runs[r.id] = r
	w.runsInOrder = append(w.runsInOrder, r)
	w.free = w.free.minus(r.task.step.reserved())
	w.setSuspicion(r, r.task.suspicion())
	if r.task.step.BestEffort {
		w.bestEffortCPU += r.task.step.Need.CPU
	}
	w.markForPacing()
}

// removeRun removes a run and releases its capacity.
func (w *Worker) removeRun(r *run) {
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.runsInOrder = slices.DeleteFunc(w.runsInOrder, func(o *run) bool { return o == r })
	w.free = w.free.plus(r.task.step.reserved())
	w.setSuspicion(r, notSuspected)
	if r.task.step.BestEffort {
		w.bestEffortCPU -= r.task.step.Need.CPU
	}
	w.markForPacing()
}

// markForPacing discards the predicted levels on the worker and requests that
// the paces of its runs be set again.
func (w *Worker) markForPacing() { w.needsPacing, w.victims = true, nil }

// load returns the CPU that runs ask for as a share of the capacity.
func (w *Worker) load() float64 {
	if w.Capacity.CPU == 0 {
		return math.Inf(1)
	}
	return float64(w.Capacity.CPU-w.free.CPU+w.bestEffortCPU) / float64(w.Capacity.CPU)
}
