package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"tarragonhead.example/tarragonhead/internal/interpreter"
)

// EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLapsed is the end of a run whose lease was not renewed.
	EndLapsed EndKind = "lapsed"
	// EndBroken is the end of a gang member because another member ended.
	EndBroken EndKind = "broken"
	// EndAlone is the end of a gang member that waited for the others in vain.
	EndAlone EndKind = "alone"
)

// RunStatus is a run as its worker lists it.
type RunStatus struct {
	Run        RunID
	Checkpoint string
	// Percent is the progress; a lasting task at work has 100.
	Percent int
	// Tail is the tail latency of a lasting task in the last half second.
	Tail time.Duration
	// CPU is what any other task used in that time, in thousandths of a core.
	CPU int64
}

// RunEnd is an end as its worker lists it.
type RunEnd struct {
	// Number counts the worker's ends from 1.
	Number     uint64
	Run        RunID
	Kind       EndKind
	Checkpoint string
}

// Look is what a worker answered about its runs.
type Look struct {
	// Sent is when the question left.
	Sent    time.Time
	Running []RunStatus
	Ended   []RunEnd
	// IsPartial is set when more ends are to come; what is missing in the lists
	// then means nothing.
	IsPartial bool
}

func compareStrings(a, b string) int { return strings.Compare(a, b) }

func compareRuns(a, b RunID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
}

// Answered notes that a worker answered any call.
func (p *Planner) Answered(now time.Time, workerID string) {
	if w := p.workers[workerID]; w != nil {
		w.answered, w.failedSince = now, time.Time{}
	}
}

// Unanswered notes that a worker did not answer a call.
func (p *Planner) Unanswered(now time.Time, workerID string) {
	if w := p.workers[workerID]; w != nil && w.failedSince.IsZero() {
		w.failedSince = now
	}
}

// Leased notes that no lease given so far lasts beyond end.
func (p *Planner) Leased(workerID string, end time.Time) {
	if w := p.workers[workerID]; w != nil && end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// Looked applies what a worker answered. A look is also the proof that the
// worker refuses the calls of earlier owners from now on.
func (p *Planner) Looked(now time.Time, workerID string, l Look) {
	w := p.workers[workerID]
	if w == nil {
		return
	}
	p.Answered(now, workerID)
	w.hasStrangers = false
	seen := make(map[RunID]bool, len(l.Running))
	for i := range l.Running {
		seen[l.Running[i].Run] = true
		p.seeRun(now, w, &l.Running[i])
	}
	for _, e := range l.Ended {
		seen[e.Run] = true
		if e.Number > w.cursor {
			w.cursor = e.Number
			p.seeEnd(now, w, e)
		}
	}
	w.fenced, w.lookedAt = true, now
	if p.suspects[w.ID] && !l.IsPartial {
		delete(p.suspects, w.ID)
		w.suspected = false
	}
	if !l.IsPartial {
		p.dropUnlisted(w, l.Sent, seen)
	}
	p.observe(now, w)
	w.touch()
}

// dropUnlisted ends the runs that the worker would list if it had them.
func (p *Planner) dropUnlisted(w *Worker, sent time.Time, seen map[RunID]bool) {
	for _, r := range runsOf(w) {
		if seen[r.id] {
			continue
		}
		switch {
		case r.state == "running" && r.began.Before(sent):
			p.endRun(r, "vanish", "not listed")
		case r.state == "settling" && r.stopConfirmed.Before(sent):
			p.endRun(r, "vanish", "stopped")
		}
	}
}

func (p *Planner) seeRun(now time.Time, w *Worker, s *RunStatus) {
	r := w.runs[s.Run]
	if r == nil {
		if r = p.adopt(now, w, s.Run); r == nil {
			return
		}
		if need := r.task.step.Need.CPU; r.task.step.Fills && need > 0 {
			// What it uses tells the pace that an earlier owner gave it.
			r.pace = int(min(100, 100*s.CPU/need))
			r.wanted = r.pace
		}
	}
	if r.state == "starting" {
		p.begin(now, r)
	}
	if s.Checkpoint != "" {
		r.task.checkpoint = s.Checkpoint
	}
	r.cpu = s.CPU
	if s.Percent != r.percent {
		r.percent, r.movedAt = s.Percent, now
	}
	r.measure(now)
	if t := r.task.step.LatencyTarget; t > 0 && s.Tail > 0 {
		r.tail, r.tailAt = math.Log(float64(s.Tail)/float64(t)), now
		// Reported tails are rough, so one is over its target a little before it
		// says so, and no longer over only well below.
		switch {
		case r.tail < calmTail:
			r.since = time.Time{}
		case r.tail > overTail && r.since.IsZero():
			r.since = now
		}
	}
}

// adopt takes over a run that a worker lists and this owner has not started.
// The result is nil when its job is not known yet.
func (p *Planner) adopt(now time.Time, w *Worker, id RunID) *run {
	j := p.jobs[id.Job]
	t := p.find(id.TaskID)
	if t == nil {
		w.hasStrangers = true
		if s, ok := p.strangers[id]; !ok {
			p.strangers[id] = stranger{w, now}
		} else if now.Sub(s.seen) > strangerLimit {
			p.commands = append(p.commands, Command{Kind: StopRun, Run: id, WorkerID: w.ID})
		}
		return nil
	}
	r := &run{id: id, task: t, worker: w, state: p.chart.Start(), began: now, movedAt: now, pace: 100, wanted: 100}
	p.move(r, "confirm")
	w.take(r)
	t.attempt = max(t.attempt, id.Attempt)
	isSpare := t.done || t.away || j.state.isFinal() || (len(t.runs) > 0 && !t.step.Speculative)
	t.runs = append(t.runs, r)
	t.step.waiting = slices.DeleteFunc(t.step.waiting, func(o *task) bool { return o == t })
	j.begun = true
	p.note("adopt", r, fmt.Sprintf("done %v, state %s", t.done, j.state))
	if isSpare {
		p.stop(now, r, "not needed")
	}
	return r
}

// find returns the task with an id, nil if its job is not known or has no such
// task. The tasks of an occurrence that has ended are done.
func (p *Planner) find(id TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= max(1, j.Times) {
		return nil
	}
	return j.task(id.Occurrence, id.Step, id.Index)
}

func (p *Planner) seeEnd(now time.Time, w *Worker, e RunEnd) {
	t := p.find(e.Run.TaskID)
	if t == nil {
		w.unacknowledged = append(w.unacknowledged, ending{number: e.Number})
		return
	}
	j := t.step.occurrence.job
	t.attempt = max(t.attempt, e.Run.Attempt)
	if e.Checkpoint != "" && !t.done {
		t.checkpoint = e.Checkpoint
	}
	switch e.Kind {
	case EndDone:
		w.noteDone()
		p.complete(now, t)
	case EndFailed:
		p.fail(now, w, t, e.Run.Attempt)
	case EndStopped, EndLapsed, EndBroken, EndAlone:
	}
	if r := w.runs[e.Run]; r != nil {
		p.endRun(r, "end", string(e.Kind))
	} else {
		p.waitAgain(t)
	}
	w.unacknowledged = append(w.unacknowledged, ending{e.Number, j, j.version})
}

// complete records that a task is done, and with it its gang.
func (p *Planner) complete(now time.Time, t *task) {
	s := t.step
	j := s.occurrence.job
	if t.done || j.state.isFinal() || s.Lasting {
		return
	}
	all := []*task{t}
	if s.Gang {
		all = s.tasks
	}
	for _, m := range all {
		if !m.done {
			m.done = true
			s.left--
		}
	}
	j.begun = true
	j.changed()
	s.occurrence.openSteps()
	for _, m := range all {
		for _, r := range slices.Clone(m.runs) {
			if r.state != "settling" && r.id.TaskID != t.id {
				p.stop(now, r, "gang is done")
			} else if len(m.runs) > 1 {
				p.stop(now, r, "another copy is done")
			}
		}
	}
	if s.left > 0 || !s.occurrence.isDone() {
		return
	}
	j.ended[s.occurrence.number] = true
	if len(j.ended) >= max(1, j.Times) {
		p.finish(now, j, Done)
	}
}

// fail records a failed attempt of a task.
func (p *Planner) fail(now time.Time, w *Worker, t *task, attempt int) {
	j := t.step.occurrence.job
	if t.done {
		return
	}
	if !slices.Contains(t.avoid, w.ID) {
		t.avoid = append(t.avoid, w.ID)
	}
	if slices.Contains(t.failures, attempt) {
		return
	}
	t.failures = append(t.failures, attempt)
	t.retryAt = now.Add(retryDelay)
	j.changed()
	if w.noteFailure(now, j.ID) {
		p.noteWorker("worker_sick", w, fmt.Sprintf("%d jobs failed in a row", sickFailures))
	}
	if !t.step.Lasting && len(t.failures) >= max(1, j.Queue.Attempts) && !j.state.isFinal() {
		p.finish(now, j, Failed)
	}
}

// move applies an event to the state of a run. An event that the state doesn't
// accept leaves it, which is right for answers that overtake each other.
func (p *Planner) move(r *run, event string) bool {
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

// endRun takes a run off its worker and makes its task wait again if it isn't
// done.
func (p *Planner) endRun(r *run, event, why string) {
	if !p.move(r, event) {
		return
	}
	t, w := r.task, r.worker
	w.giveBack(r)
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	p.note("run_ended", r, why)
	if len(t.runs) == 0 {
		t.readyAt, t.keptAt = time.Time{}, time.Time{}
		p.waitAgain(t)
	}
}

// StartOutcome says what became of a start.
type StartOutcome int

// The outcomes of a start.
const (
	// Started means that the run is on the worker.
	Started StartOutcome = iota
	// Refused means that the run is not there and won't be.
	Refused
	// Unclear means that the run may be there, or be there later.
	Unclear
)

// StartAnswered applies the outcome of a start.
func (p *Planner) StartAnswered(now time.Time, id RunID, workerID string, o StartOutcome, why string) {
	w := p.workers[workerID]
	if w == nil || w.runs[id] == nil {
		return
	}
	r := w.runs[id]
	j := r.task.step.occurrence.job
	switch o {
	case Started:
		p.begin(now, r)
		j.begun = true
	case Refused:
		r.task.retryAt = now.Add(retryDelay)
		if why != "" {
			r.task.avoid = append(r.task.avoid, w.ID)
		}
		p.endRun(r, "refuse", "start refused: "+why)
	case Unclear:
		p.stop(now, r, "start without an answer")
	}
}

// begin notes that a run is on its worker, where it works at its full pace until
// it gets another.
func (p *Planner) begin(now time.Time, r *run) {
	if !p.move(r, "confirm") {
		return
	}
	r.began, r.movedAt = now, now
	if r.wanted != 100 {
		r.paceAt, r.slowedAt = now, now
		p.commands = append(p.commands, Command{Kind: PaceRun, Run: r.id, WorkerID: r.worker.ID, Percent: r.wanted})
	}
}

// StopAnswered notes that a worker confirmed a stop.
func (p *Planner) StopAnswered(now time.Time, id RunID, workerID string) {
	if w := p.workers[workerID]; w != nil {
		if r := w.runs[id]; r != nil && p.move(r, "confirm_stop") {
			r.stopConfirmed = now
		}
	}
}
