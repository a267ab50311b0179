package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tarragonhead.example/tarragonhead/internal/interpreter"
)

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLapsed is the end of a run whose lease expired.
	EndLapsed EndKind = "lapsed"
	// EndBroken is the end of a gang member because another member ended.
	EndBroken EndKind = "broken"
	// EndAlone is the end of a gang member whose other members did not start in
	// time.
	EndAlone EndKind = "alone"
)

// RunStatus describes a run that a worker lists.
type RunStatus struct {
	Run        RunID
	Checkpoint string
	// Percent is the progress; a long-running task that is working reports 100.
	Percent int
	// Tail is the tail latency of a long-running task over the last half
	// second.
	Tail time.Duration
	// CPU is the CPU use of any other task over the last half second, in
	// millicores.
	CPU int64
}

// RunEnd describes the end of a run, as its worker lists it.
type RunEnd struct {
	// Number is the position of the end among the worker's ends, starting at 1.
	Number     uint64
	Run        RunID
	Kind       EndKind
	Checkpoint string
}

// PollResult is a worker's answer to a poll.
type PollResult struct {
	// Sent is when the poll was sent.
	Sent time.Time
	// Received is when the answer was received; zero for the present.
	Received time.Time
	// ProcessStart is when the process that answered was started, or zero if it
	// does not tell.
	ProcessStart int64
	// FenceOffset is that of the contact for which the poll was sent.
	FenceOffset int64
	// Acknowledged is the number of the last end that the poll acknowledged.
	Acknowledged uint64
	Running      []RunStatus
	Ended        []RunEnd
	// IsPartial is set when the worker has more ends to list. Runs that are
	// missing from a partial answer may still exist.
	IsPartial bool
}

func compareStrings(a, b string) int { return strings.Compare(a, b) }

func compareRuns(a, b RunID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
}

// Answered records that a worker answered a call of any kind.
func (p *Planner) Answered(now time.Time, workerID string) {
	if w := p.workers[workerID]; w != nil {
		w.answeredAt, w.failedSince = now, time.Time{}
		p.answeredDomains[w.Domain] = now
	}
}

// Unanswered records that a worker did not answer a call.
func (p *Planner) Unanswered(now time.Time, workerID string) {
	if w := p.workers[workerID]; w != nil && w.failedSince.IsZero() {
		w.failedSince = now
	}
}

// Leased records that the leases granted to a worker so far expire at end or
// earlier.
func (p *Planner) Leased(workerID string, end time.Time) {
	if w := p.workers[workerID]; w != nil && end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// PollAnswered applies a worker's answer to a poll. The answer also proves which
// process is alive, and that it rejects from now on the calls of earlier owners and
// those that were meant for an earlier process of its id. An answer by which a process
// is found doesn't prove this, since its poll was meant for the earlier one.
func (p *Planner) PollAnswered(now time.Time, workerID string, result PollResult) {
	w := p.workers[workerID]
	if w == nil {
		return
	}
	if IsOtherProcess(w.Born, result.ProcessStart) {
		w = p.replaceProcess(now, w, result.ProcessStart)
		// The poll acknowledged ends of the ended process.
		result.Acknowledged = 0
	} else {
		p.retractCrash(w)
	}
	isFenced := result.FenceOffset >= w.FenceOffset && !result.Sent.Before(w.unusedUntil)
	isFirst := isFenced && !w.isProved()
	if isFirst && w.acceptsEarlierCalls() {
		w.lateLeaseEnd = now.Add(p.options.LongestLease)
	}
	if isFenced {
		p.proveAlive(w, result.Sent)
	}
	if !result.Sent.Before(w.replacedAt) {
		w.replacedAt = time.Time{}
	}
	p.Answered(now, workerID)
	w.hasUnknownRuns = false
	w.delivered = max(w.delivered, result.Acknowledged)
	seen := make(map[RunID]bool, len(result.Running))
	for i := range result.Running {
		seen[result.Running[i].Run] = true
		p.applyRunStatus(now, w, &result.Running[i])
	}
	for _, e := range result.Ended {
		seen[e.Run] = true
		if e.Number > w.cursor {
			w.cursor = e.Number
			p.applyRunEnd(now, w, e)
		}
	}
	w.updateAcknowledged(p.jobsReadAt)
	w.hasOverdueEnds = w.acknowledged > w.delivered
	w.polledAt, w.listedAt = now, result.Received
	if w.listedAt.IsZero() {
		w.listedAt = now
	}
	if p.hasUnknownWorkers && result.IsPartial {
		// An earlier owner may have used the worker, which has more to list.
		p.unverified[w.ID], w.isUnverified = true, true
		p.Leased(w.ID, p.options.PredecessorLeaseEnd)
	}
	if p.unverified[w.ID] && !result.IsPartial {
		delete(p.unverified, w.ID)
		w.isUnverified = false
		p.reportWorker("worker_verified", w, fmt.Sprintf("%d runs, %d ends", len(result.Running), len(result.Ended)))
	}
	if !result.IsPartial {
		if isFirst {
			p.endRejected(w, seen)
		}
		p.endUnlisted(w, result.Sent, seen)
		p.forgetUnknownRuns(w, seen)
	}
	p.observeTails(now, w)
	w.markForPacing()
}

// endUnlisted ends the runs that the worker would have listed if it still had
// them.
func (p *Planner) endUnlisted(w *Worker, sent time.Time, seen map[RunID]bool) {
	for _, r := range runsOf(w) {
		if seen[r.id] {
			continue
		}
		switch {
		case r.state == "running" && r.startedAt.Before(sent):
			p.endRun(r, "vanish", "not listed")
		case r.state == "settling" && r.stopConfirmed.Before(sent):
			p.endRun(r, "vanish", "stopped")
		}
	}
}

func (p *Planner) applyRunStatus(now time.Time, w *Worker, s *RunStatus) {
	r := w.runs[s.Run]
	if r == nil {
		if r = p.adopt(now, w, s.Run); r == nil {
			return
		}
		if need := r.task.step.Need.CPU; r.task.step.BestEffort && need > 0 {
			// The CPU use reveals the pace that an earlier owner set.
			r.pace = int(min(100, 100*s.CPU/need))
			r.targetPace = r.pace
		}
	}
	p.markListed(r)
	if r.state == "starting" {
		p.confirmStart(now, r)
	}
	if s.Checkpoint != "" {
		r.task.checkpoint = s.Checkpoint
	}
	r.usedCPU = s.CPU
	if s.Percent != r.percent {
		r.percent, r.progressAt = s.Percent, now
	}
	r.updateRate(now)
	if t := r.task.step.LatencyTarget; t > 0 && s.Tail > 0 {
		r.recordTail(now, s.Tail)
	}
}

// adopt takes over a run that a worker lists and that this owner did not start.
// It returns nil if the job or the task is not known.
func (p *Planner) adopt(now time.Time, w *Worker, id RunID) *run {
	j := p.jobs[id.Job]
	t := p.findTask(id.TaskID)
	// A task that this shard has not had may have arrived since the jobs were read.
	if t == nil || t.isElsewhere && t.departure == nil && !j.state.IsFinal() {
		s, ok := p.unknownRuns[id]
		if !ok {
			p.unknownRuns[id] = unknownRun{w, now}
		}
		isUnread := !ok || !p.jobsReadAt.After(s.seen)
		if t == nil || isUnread {
			w.hasUnknownRuns = true
			if !isUnread {
				p.commands = append(p.commands, Command{Kind: StopRun, Run: id, WorkerID: w.ID})
			}
			return nil
		}
	}
	delete(p.unknownRuns, id)
	r := &run{id: id, task: t, worker: w, state: p.chart.Start(), startedAt: now, decidedAt: now, isListed: true, progressAt: now, pace: 100, targetPace: 100}
	p.transition(r, "confirm")
	p.settleLateStart(id, "listed")
	w.addRun(r)
	p.noteAdopted(r)
	p.Leased(w.ID, p.options.PredecessorLeaseEnd)
	t.attempt = max(t.attempt, id.Attempt)
	isUnneeded := t.done || t.isElsewhere || j.state.IsFinal() || (len(t.runs) > 0 && !t.step.Speculative)
	t.runs = append(t.runs, r)
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(o *task) bool { return o == t })
	j.hasStarted = true
	// An earlier owner may have taken the worker for crashed.
	p.retractSuspicions(w, "its worker is alive")
	p.reportRun("adopt", r, fmt.Sprintf("done %v, state %s", t.done, j.state))
	if isUnneeded {
		p.stop(now, r, "not needed")
	}
	return r
}

// adoptUnknownRuns takes over the runs of a job, or of tasks of it, that were listed before
// the job was known or the tasks had arrived.
func (p *Planner) adoptUnknownRuns(now time.Time, j *job) {
	var ids []RunID
	for id := range p.unknownRuns {
		if id.Job == j.ID {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareRuns)
	for _, id := range ids {
		w := p.unknownRuns[id].worker
		delete(p.unknownRuns, id)
		if p.workers[w.ID] == w {
			p.adopt(now, w, id)
		}
	}
}

// forgetUnknownRuns forgets the runs of unknown jobs on a worker, except for those
// that it still lists.
func (p *Planner) forgetUnknownRuns(w *Worker, listed map[RunID]bool) {
	maps.DeleteFunc(p.unknownRuns, func(id RunID, r unknownRun) bool { return r.worker == w && !listed[id] })
}

// findTask returns the task with the given id, or nil if the job is not known
// or has no such task. The tasks of an occurrence that has ended are done.
func (p *Planner) findTask(id TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= max(1, j.Times) {
		return nil
	}
	return j.task(id.Occurrence, id.Step, id.Index)
}

func (p *Planner) applyRunEnd(now time.Time, w *Worker, e RunEnd) {
	end := unacknowledgedEnd{RunEnd: e, seen: now}
	if t := p.findTask(e.Run.TaskID); t != nil {
		p.applyTaskEnd(now, w, t, e)
		end.setTask(t)
	}
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, end)
}

// applyUnknownEnds applies the ends that were read before their job was known.
func (p *Planner) applyUnknownEnds(now time.Time, j *job) {
	for _, w := range p.sortedWorkers {
		for i := range w.unacknowledgedEnds {
			e := &w.unacknowledgedEnds[i]
			t := p.findTask(e.Run.TaskID)
			if e.job != nil || e.Run.Job != j.ID || t == nil {
				continue
			}
			p.applyTaskEnd(now, w, t, e.RunEnd)
			e.setTask(t)
		}
	}
}

func (p *Planner) applyTaskEnd(now time.Time, w *Worker, t *task, e RunEnd) {
	t.attempt = max(t.attempt, e.Run.Attempt)
	if e.Checkpoint != "" && !t.done {
		t.checkpoint = e.Checkpoint
	}
	switch e.Kind {
	case EndDone:
		w.recordDone()
		if w.runs[e.Run] == nil && len(t.runs) > 0 {
			p.reportRunID("done_elsewhere", e.Run, w, fmt.Sprintf("%d other runs", len(t.runs)))
		}
		p.completeTask(now, t, e.Run)
	case EndFailed:
		p.failTask(now, w, t, e.Run.Attempt)
	case EndStopped, EndLapsed, EndBroken, EndAlone:
	}
	p.settleLateStart(e.Run, "listed as ended")
	if r := w.runs[e.Run]; r != nil {
		r.isListed = true
		p.endRun(r, "end", string(e.Kind))
	} else {
		p.enqueue(t)
	}
}

// completeTask marks a task, or all tasks of its gang, as done by a run. Other runs
// of the task are stopped, also one that replaced a run which was taken for lost.
func (p *Planner) completeTask(now time.Time, t *task, by RunID) {
	s := t.step
	j := s.occurrence.job
	if t.done || j.state.IsFinal() || s.LongRunning {
		return
	}
	all := []*task{t}
	if s.Gang {
		all = s.tasks
	}
	for _, m := range all {
		if !m.done {
			m.done = true
			s.unfinished--
		}
	}
	j.hasStarted = true
	j.markChanged()
	s.occurrence.openSteps()
	for _, m := range all {
		for _, r := range slices.Clone(m.runs) {
			if r.state != "settling" && r.id.TaskID != t.id {
				p.stop(now, r, "gang is done")
			} else if r.id != by {
				p.stop(now, r, "another run is done")
			}
		}
	}
	if s.unfinished > 0 || !s.occurrence.isDone() {
		return
	}
	j.ended.add(s.occurrence.number)
	if j.ended.count() >= max(1, j.Times) {
		p.finishJob(now, j, Done)
	}
}

// failTask records a failed attempt of a task.
func (p *Planner) failTask(now time.Time, w *Worker, t *task, attempt int) {
	j := t.step.occurrence.job
	if t.done {
		return
	}
	t.avoid(w)
	if t.hasFailed(attempt) {
		return
	}
	if len(t.failures) == 0 || !t.step.LongRunning {
		// The number of the failures of a long-running task doesn't matter.
		j.markChanged()
	}
	t.setFailures(append(t.failures, attempt))
	t.retryAt = now.Add(retryDelay)
	if w.recordFailure(now, j.ID) {
		p.reportWorker("worker_sick", w, fmt.Sprintf("%d jobs failed in a row", sickFailures))
	}
	if !t.step.LongRunning && t.failedAttempts() >= max(1, j.Queue.Attempts) && !j.state.IsFinal() {
		p.finishJob(now, j, Failed)
	}
}

// hasFailed reports whether the failure of an attempt is known. Those of a long-running
// task are known in the order of the attempts.
func (t *task) hasFailed(attempt int) bool {
	if t.step.LongRunning {
		return len(t.failures) > 0 && attempt <= t.failures[0]
	}
	return slices.Contains(t.failures, attempt)
}

// setFailures sets the attempts that have failed. A long-running task may fail without
// end, so only the highest is kept.
func (t *task) setFailures(list []int) {
	if t.step.LongRunning && len(list) > 1 {
		list = []int{slices.Max(list)}
	}
	t.failures = list
}

// failedAttempts returns how many attempts of the task, or of its gang, have
// failed.
func (t *task) failedAttempts() int {
	if !t.step.Gang {
		return len(t.failures)
	}
	var all []int
	for _, m := range t.step.tasks {
		all = append(all, m.failures...)
	}
	slices.Sort(all)
	return len(slices.Compact(all))
}

// transition applies an event to the state of a run and reports whether the
// state accepts the event. Events that arrive out of order are ignored.
func (p *Planner) transition(r *run, event string) bool {
	if !p.chart.Accepts(r.state, event) {
		return false
	}
	next, err := p.chart.Next(r.state, interpreter.Event(event))
	if err != nil {
		return false
	}
	r.state = next
	return true
}

// markListed records that the worker's process has the run, so that its start has been
// carried out.
func (p *Planner) markListed(r *run) {
	if !r.isListed {
		r.isListed = true
		p.settleLateStart(r.id, "listed")
	}
}

// endRun removes a run from its worker and queues its task again if the task is
// not done.
func (p *Planner) endRun(r *run, event, reason string) {
	if !p.transition(r, event) {
		return
	}
	t, w := r.task, r.worker
	w.removeRun(r)
	w.noteWithdrawn(r)
	p.noteLateStart(r)
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	p.reportRun("run_ended", r, reason)
	if len(t.runs) == 0 {
		t.readyAt, t.soughtAt, t.reservedAt = time.Time{}, time.Time{}, time.Time{}
		p.enqueue(t)
	}
}
