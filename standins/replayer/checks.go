package replayer

import (
	"fmt"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// recordViolation counts a violation of an invariant and keeps the message of
// the first one.
func (w *World) recordViolation(name, format string, args ...any) {
	w.result.Violations[name]++
	if w.result.First[name] == "" {
		w.result.First[name] = fmt.Sprintf("at %s: ", w.now.Sub(w.origin)) + fmt.Sprintf(format, args...)
	}
}

// checkStart counts the start of a run and checks capacity, the order of steps,
// the checkpoint, the number of failed runs, and that no other run of the task is
// active or has completed it.
func (w *World) checkStart(m *machine, e *execution, isLate bool) {
	w.result.Starts++
	if u := m.used(); !m.Capacity.Fits(u) {
		w.recordViolation("capacity", "%s on %s: reserved %v exceeds capacity %v", e.run, m.ID, u, m.Capacity)
	}
	if w.done[e.run.TaskID] && !w.voided[e.run.TaskID] && !e.step.Speculative {
		w.recordViolation("twice", "%s starts after the task was done", e.run)
	}
	limit := max(1, e.job.Queue.Attempts)
	if w.failures[w.failureID(e.run)] >= limit && !e.step.Speculative && !e.step.LongRunning {
		w.recordViolation("budget", "%s starts after %d failed runs", e.run, limit)
	}
	if e.step.Speculative && !isLate {
		w.checkSpeculativeStart(e)
	}
	if e.resumed != "" && m.incarnation > 0 {
		w.recordMoment(Resumed)
	}
	w.checkCheckpoint(e)
	for _, o := range w.machines {
		for _, other := range o.runs {
			if other == e || other.run.TaskID != e.run.TaskID || w.now.After(o.leaseEnd) {
				continue
			}
			if e.step.Speculative {
				w.recordMoment(Copied)
			} else {
				w.recordViolation("twice", "%s starts on %s while %s runs on %s", e.run, m.ID, other.run, o.ID)
			}
		}
	}
	for _, a := range e.step.After {
		for i := range e.job.Steps[a].Count {
			if !w.done[planner.TaskID{Job: e.run.Job, Occurrence: e.run.Occurrence, Step: a, Index: i}] {
				w.recordViolation("order", "%s starts before step %d is done", e.run, a)
				return
			}
		}
	}
}

// notedDelay is how long after an end was acknowledged its task may still start
// if the step is speculative.
const notedDelay = time.Second

// checkSpeculativeStart checks that no end that forbids the start of a
// speculative task was acknowledged long ago.
func (w *World) checkSpeculativeStart(e *execution) {
	if at, ok := w.notedDone[e.run.TaskID]; ok && w.now.Sub(at) > notedDelay {
		w.recordViolation("twice", "%s starts %s after the end of the task was acknowledged", e.run, w.now.Sub(at))
	}
	f, limit := w.notedFailures[e.run.TaskID], max(1, e.job.Queue.Attempts)
	if f.count >= limit && w.now.Sub(f.last) > notedDelay {
		w.recordViolation("budget", "%s starts %s after %d failed runs were acknowledged", e.run, w.now.Sub(f.last), f.count)
	}
}

// checkCheckpoint checks that a run starts from a checkpoint of its own task, or
// of a task of its gang.
func (w *World) checkCheckpoint(e *execution) {
	if e.resumed == "" {
		return
	}
	from, ok := w.checkpoints[e.resumed]
	if e.step.Gang {
		from.task.Index = e.run.Index
	}
	if !ok || from.task != e.run.TaskID {
		w.recordViolation("checkpoint", "%s starts from %q", e.run, e.resumed)
	}
}

// notedFailures counts the failed runs of a task whose ends were acknowledged.
type notedFailures struct {
	count int
	last  time.Time
}

// acknowledge forgets the ends up to number through.
func (m *machine) acknowledge(w *World, through uint64) {
	m.ends = slices.DeleteFunc(m.ends, func(e planner.RunEnd) bool {
		if e.Number <= through && e.Number > m.voidedThrough {
			w.recordAcknowledged(e)
		}
		return e.Number <= through
	})
}

func (w *World) recordAcknowledged(e planner.RunEnd) {
	id := e.Run.TaskID
	switch e.Kind {
	case planner.EndDone:
		if w.notedDone[id].IsZero() {
			w.notedDone[id] = w.now
		}
	case planner.EndFailed:
		w.notedFailures[id] = notedFailures{w.notedFailures[id].count + 1, w.now}
	case planner.EndStopped, planner.EndLapsed, planner.EndBroken, planner.EndAlone:
	}
}

// voidUnacknowledgedEnds voids the ends that were not acknowledged when the
// lease of a worker expired or its process ended, so that their tasks may start
// again.
func (w *World) voidUnacknowledgedEnds(m *machine) {
	for _, e := range m.ends {
		if e.Number <= m.voidedThrough {
			continue
		}
		m.voidedThrough = e.Number
		switch e.Kind {
		case planner.EndDone:
			w.voided[e.Run.TaskID] = true
		case planner.EndFailed:
			w.failures[w.failureID(e.Run)]--
		case planner.EndStopped, planner.EndLapsed, planner.EndBroken, planner.EndAlone:
		}
	}
}

// recordEnd records the end of a run.
func (w *World) recordEnd(e *execution, kind planner.EndKind) {
	switch kind {
	case planner.EndDone:
		w.done[e.run.TaskID] = true
		delete(w.voided, e.run.TaskID)
	case planner.EndFailed:
		w.failures[w.failureID(e.run)]++
		w.failedRuns[w.failureID(e.run)]++
	case planner.EndAlone:
		if len(w.pattern.Faults) == 0 && !w.cancelled[e.run.Job] {
			w.recordViolation("gang", "%s has waited %s for the rest of its gang", e.run, gangWait)
		}
	case planner.EndStopped, planner.EndLapsed, planner.EndBroken:
	}
	w.resetOverTarget(e)
}

// failureID returns the task that a failed run counts for. The failures of a gang
// count for its first task.
func (w *World) failureID(r planner.RunID) planner.TaskID {
	id := r.TaskID
	if w.accepted[r.Job].Steps[r.Step].Gang {
		id.Index = 0
	}
	return id
}

// hasFailed reports whether a task or a gang of the job has failed as often as
// its queue allows.
func (w *World) hasFailed(j *planner.Job) bool {
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if w.failedRuns[planner.TaskID{Job: j.ID, Step: s, Index: i}] >= max(1, j.Queue.Attempts) {
				return true
			}
		}
	}
	return false
}

// resetOverTarget discards the time since which a run is over its target.
func (w *World) resetOverTarget(e *execution) {
	delete(w.overTargetSince, e.run)
}

// recordDone checks that every task of a job reported as done has completed, and
// counts the job by its response time.
func (w *World) recordDone(id string) {
	j := w.accepted[id]
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if !w.done[planner.TaskID{Job: id, Step: s, Index: i}] {
				w.recordViolation("mixed", "%s is reported as done before task %d.%d", id, s, i)
				return
			}
		}
	}
	if !w.reportedDone[id] {
		w.reportedDone[id] = true
		o := w.result.Classes[j.Queue.Name]
		o.Done++
		switch elapsed := w.now.Sub(w.arrivedAt[id]); {
		case elapsed <= w.objective(j):
			o.InTime++
		case elapsed <= 3*w.objective(j):
			o.Late++
		}
		w.result.Classes[j.Queue.Name] = o
	}
}

// objective returns the target response time of a job: the work of its critical
// path times the queue's stretch, plus the queue's slack.
func (w *World) objective(j *planner.Job) time.Duration {
	var chain time.Duration
	for i := range j.Steps {
		var longest time.Duration
		for n := range j.Steps[i].Count {
			longest = max(longest, w.workOf(j, planner.TaskID{Job: j.ID, Step: i, Index: n}))
		}
		chain += longest
	}
	return time.Duration(j.Queue.Stretch*float64(chain)) + j.Queue.Slack
}

// recordTail counts the time that a long-running task is within its latency
// target, and the violations of the target that best-effort tasks cause.
// Baseline is the tail level without best-effort tasks. While isUnreachable is
// set, violations are not counted, because no owner can end them on a worker
// that has not answered recently.
func (w *World) recordTail(e *execution, baseline float64, isUnreachable bool) {
	name := e.job.Queue.Name
	if w.targetTimes[name] == nil {
		w.targetTimes[name] = &[2]time.Duration{}
	}
	w.targetTimes[name][1] += tick
	if e.isReady(w.now) && e.tailLevel <= 0 {
		w.targetTimes[name][0] += tick
	}
	if e.isReady(w.now) && !w.cancelled[e.run.Job] && w.now.Sub(w.origin) < w.pattern.Length {
		w.creditedTime[name] += tick
		switch {
		case e.tailLevel > 0 && baseline > 0:
			w.creditedTime[name] -= tick
		case e.tailLevel > 0:
			w.creditedTime[name] -= interferencePenalty * tick
		}
	}
	if e.tailLevel <= 0 || baseline > 0 || isUnreachable {
		delete(w.overTargetSince, e.run)
		delete(w.harmCounted, e.run)
		return
	}
	if w.overTargetSince[e.run].IsZero() {
		w.overTargetSince[e.run] = w.now
	}
	if w.now.Sub(w.overTargetSince[e.run]) > w.pattern.ViolationLimit && !w.harmCounted[e.run] {
		w.harmCounted[e.run] = true
		w.recordViolation("harm", "%s has exceeded its target since %s", e.run, w.overTargetSince[e.run].Sub(w.origin))
	}
}

// interferencePenalty is the weight of the time over the target that best-effort
// tasks cause.
const interferencePenalty = 4

const (
	// unfinishedLimit is the age from which a job must have a run if less than
	// half of the CPU is reserved.
	unfinishedLimit = 25 * time.Second
	// stuckLimit is how long a run may make no progress.
	stuckLimit = 10 * time.Second
)

// summarize counts the jobs by class and reports lost, stuck and unfinished
// jobs as violations.
func (w *World) summarize() {
	runs := map[string]bool{}
	var used, capacity int64
	for _, m := range w.machines {
		used += m.used().CPU
		capacity += m.Capacity.CPU
		for _, e := range m.runs {
			runs[e.run.Job] = true
			if !e.step.LongRunning && w.now.Sub(e.lastProgress) > stuckLimit {
				w.recordViolation("stuck", "%s on %s has made no progress for %s", e.run, m.ID, w.now.Sub(e.lastProgress))
			}
		}
	}
	for id, j := range w.accepted {
		o := w.result.Classes[j.Queue.Name]
		o.Accepted++
		state, ok := w.currentOwner().planner.JobState(id)
		switch {
		case !ok:
			w.recordViolation("lost", "%s is unknown to the owner", id)
		case state == planner.Failed:
			o.Failed++
			if !w.hasFailed(j) {
				w.recordViolation("lost", "%s failed although none of its tasks has failed %d times", id, j.Queue.Attempts)
			}
		case state == planner.Queued && !j.Steps[0].LongRunning && w.hasRoom(j):
			w.recordViolation("lost", "%s was never started: %s", id, w.currentOwner().planner.Explain(w.now, id))
		}
		if !j.Steps[0].LongRunning && state != planner.Done && state != planner.Failed && w.now.Sub(w.arrivedAt[id]) > unfinishedLimit && !runs[id] && used < capacity/2 {
			w.recordViolation("unfinished", "%s", w.currentOwner().planner.Explain(w.now, id))
		}
		w.result.Classes[j.Queue.Name] = o
	}
	for name, t := range w.targetTimes {
		o := w.result.Classes[name]
		if t[1] > 0 {
			o.OnTarget = float64(t[0]) / float64(t[1])
		}
		if w.requiredTime[name] > 0 {
			o.Availability = max(0, float64(w.creditedTime[name])/float64(w.requiredTime[name]))
		}
		w.result.Classes[name] = o
	}
}

// hasRoom reports whether the machines have room for two tasks of the job's next
// step, or for twice the step if it is a gang. Nothing is owed to a job while
// long-running tasks hold every place for it, and the place of a run that has just
// ended is free only once the end is read.
func (w *World) hasRoom(j *planner.Job) bool {
	s := w.nextStep(j)
	wanted := 2
	if s.Gang {
		wanted = 2 * s.Count
	}
	places := 0
	for _, m := range w.machines {
		places += m.places(s, wanted)
	}
	return places >= wanted
}

// nextStep returns the first step of a job that is not done.
func (w *World) nextStep(j *planner.Job) *planner.Step {
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if !w.done[planner.TaskID{Job: j.ID, Step: s, Index: i}] {
				return &j.Steps[s]
			}
		}
	}
	return &j.Steps[len(j.Steps)-1]
}

// places returns for how many tasks of a step the machine has room, up to limit.
func (m *machine) places(s *planner.Step, limit int) int {
	used, n := m.used(), 0
	for ; n < limit && !m.isDown; n++ {
		used.Memory += s.Need.Memory
		used.GPU += s.Need.GPU
		if !s.BestEffort {
			used.CPU += s.Need.CPU
		}
		if !m.Capacity.Fits(used) {
			break
		}
	}
	return n
}
