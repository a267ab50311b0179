package replayer

import (
	"fmt"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// orderTimeout is when an order counts as unanswered.
const orderTimeout = 400 * time.Millisecond

// owner is a driver with its planner. One that was replaced is cut off from the
// store, and reaches only the workers that its successor doesn't.
type owner struct {
	world   *World
	planner *planner.Planner
	epoch   int64
	looking map[string]bool
	// proven is when the store last showed that this is the owner.
	proven   time.Time
	commitAt time.Time
}

func (o *owner) isPresent() bool { return o == o.world.present() }

// reaches reports whether calls of the owner arrive at a machine.
func (o *owner) reaches(m *machine) bool {
	return m != nil && !m.silent && (len(o.world.cut) == 0 || o.world.cut[m.ID] != o.isPresent())
}

// list passes on what discovery shows.
func (o *owner) list() {
	var all []planner.Worker
	for _, m := range o.world.machines {
		if !m.silent {
			all = append(all, m.Worker)
		}
	}
	o.planner.SetWorkers(o.world.now, all)
}

// drive does the work of the owner's driver: orders, looks and commits.
func (o *owner) drive() {
	w, p := o.world, o.planner
	isReachable := !w.storeDown && o.isPresent()
	if isReachable {
		o.proven = w.now
	}
	for _, c := range p.Plan(w.now, o.proven) {
		o.send(c)
	}
	for _, c := range p.Contacts(w.now) {
		if c.NeedsPoll && !o.looking[c.ID] {
			o.looking[c.ID] = true
			o.look(c)
		}
	}
	if !isReachable || w.now.Before(o.commitAt) {
		return
	}
	if p.NeedsRecord(w.now) {
		w.recorded = p.Recorded(w.now)
		p.SetRecorded(w.recorded)
	}
	if changes := p.Changes(15); len(changes) > 0 {
		o.commitAt = w.now.Add(20 * time.Millisecond)
		for _, c := range changes {
			w.progress[c.Job] = c.Progress
			if c.Progress.State == planner.Done {
				w.noteShown(c.Job)
			}
		}
		p.Committed(changes)
	}
}

// lose removes an owner that has met a higher epoch.
func (o *owner) lose() {
	o.world.owners = slices.DeleteFunc(o.world.owners, func(x *owner) bool { return x == o })
}

func (o *owner) isGone() bool { return !slices.Contains(o.world.owners, o) }

func (o *owner) isProven() bool { return o.world.now.Sub(o.proven) < horizon }

func (w *World) machine(id string) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return w.machines[i]
}

// lapseAt is when a lease given now has lapsed on every clock.
func (w *World) lapseAt() time.Time { return w.now.Add(time.Duration(slowClock * float64(maxLease))) }

// send carries out an order, perhaps late and without an answer.
func (o *owner) send(c planner.Command) {
	w, p := o.world, o.planner
	lease := w.now.Add(maxLease)
	if !o.isProven() {
		lease = time.Time{}
	}
	if c.Kind == planner.StartRun {
		p.Leased(c.WorkerID, w.lapseAt())
	}
	isLate := w.noise.Float64() < w.lateShare
	m := w.machine(c.WorkerID)
	if !o.reaches(m) || isLate {
		w.at(w.now.Add(orderTimeout), func() { o.unanswered(c) })
		if o.reaches(m) {
			w.at(w.now.Add(2*time.Second+time.Duration(w.noise.IntN(10000))*time.Millisecond), func() {
				if w.now.Before(lease) {
					o.perform(m, c, lease)
				}
			})
		}
		return
	}
	w.at(w.now.Add(delay), func() {
		ok := o.perform(m, c, lease)
		w.at(w.now.Add(delay), func() { o.answered(c, ok) })
	})
}

func (o *owner) unanswered(c planner.Command) {
	if o.isGone() {
		return
	}
	p, now := o.planner, o.world.now
	p.Unanswered(now, c.WorkerID)
	switch c.Kind {
	case planner.StartRun:
		p.StartAnswered(now, c.Run, c.WorkerID, planner.Unclear, "no answer")
	case planner.PaceRun:
		p.PaceUnanswered(c.Run, c.WorkerID)
	case planner.StopRun:
	}
}

// perform carries out an order on a machine and reports whether it was done.
func (o *owner) perform(m *machine, c planner.Command, lease time.Time) bool {
	w := o.world
	if w.machine(c.WorkerID) != m {
		return false
	}
	if o.epoch < m.epoch {
		o.lose()
		return false
	}
	switch c.Kind {
	case planner.StartRun:
		return m.start(w, c, o.epoch, lease)
	case planner.StopRun:
		m.stop(w, c.Run)
	case planner.PaceRun:
		if e := m.runs[c.Run]; e != nil {
			e.pace = c.Percent
		}
	}
	return true
}

func (o *owner) answered(c planner.Command, ok bool) {
	if o.isGone() {
		return
	}
	p, now := o.planner, o.world.now
	p.Answered(now, c.WorkerID)
	switch {
	case c.Kind == planner.StopRun:
		p.StopAnswered(now, c.Run, c.WorkerID)
	case c.Kind == planner.StartRun && ok:
		p.StartAnswered(now, c.Run, c.WorkerID, planner.Started, "")
	case c.Kind == planner.StartRun:
		p.StartAnswered(now, c.Run, c.WorkerID, planner.Refused, "old")
	}
}

// look asks a worker, which answers at an end or after lookWait.
func (o *owner) look(c planner.Contact) {
	w, p, sent := o.world, o.planner, o.world.now
	isLeased := o.isProven() && !c.IsFailing
	if isLeased {
		p.Leased(c.ID, w.lapseAt())
	}
	m := w.machine(c.ID)
	if !o.reaches(m) {
		w.at(w.now.Add(lookWait), func() { o.lookFailed(c.ID) })
		return
	}
	w.at(w.now.Add(delay), func() {
		if o.epoch < m.epoch {
			o.lose()
			return
		}
		if w.machine(c.ID) != m {
			o.lookFailed(c.ID)
			return
		}
		m.epoch = o.epoch
		if lease := w.now.Add(maxLease); isLeased && lease.After(m.leaseEnd) {
			m.leaseEnd = lease
		}
		m.ends = slices.DeleteFunc(m.ends, func(e planner.RunEnd) bool { return e.Number <= c.Acknowledge })
		o.respond(m, sent, w.now.Add(lookWait))
	})
}

func (o *owner) lookFailed(id string) {
	if !o.isGone() {
		o.looking[id] = false
		o.planner.Unanswered(o.world.now, id)
	}
}

// respond answers a look once the worker has an end or the time is over.
func (o *owner) respond(m *machine, sent, until time.Time) {
	w := o.world
	if !o.reaches(m) {
		w.at(w.now.Add(lookWait), func() { o.lookFailed(m.ID) })
		return
	}
	if len(m.ends) == 0 && w.now.Before(until) {
		w.at(w.now.Add(tick), func() { o.respond(m, sent, until) })
		return
	}
	l := m.look(w, sent)
	w.at(w.now.Add(delay), func() {
		if !o.isGone() {
			o.looking[m.ID] = false
			o.planner.PollAnswered(w.now, m.ID, l)
		}
	})
}

// begin starts a fault and plans its end.
func (w *World) begin(f Fault) {
	n := int(f.Share * float64(len(w.machines)))
	hit := w.rng.Perm(len(w.machines))[:n]
	end := func(do func()) { w.at(w.now.Add(f.For), do) }
	each := func(do func(m *machine, on bool)) {
		for _, i := range hit {
			m := w.machines[i]
			do(m, true)
			end(func() { do(m, false) })
		}
	}
	switch f.Kind {
	case "silent":
		each(func(m *machine, on bool) { m.silent = on })
	case "hang":
		each(func(m *machine, on bool) { m.hangs = on })
	case "fail":
		each(func(m *machine, on bool) { m.fails = on })
	case "slow":
		each(func(m *machine, on bool) { m.slowness = map[bool]float64{true: f.Times, false: 1}[on] })
	case "drain":
		each(func(m *machine, on bool) { m.Draining, m.Remaining = on, f.For })
	case "crash":
		for _, i := range hit {
			m := w.machines[i]
			m.silent = true
			// Ends that nobody has acknowledged are lost with the process.
			w.noteLapse(m)
			for _, e := range m.runs {
				w.noteGone(e)
			}
			clear(m.runs)
			end(func() { w.machines[i] = newMachine(w.pattern, i, int(m.Born)) })
		}
	case "late":
		w.lateShare = f.Share
		end(func() { w.lateShare = 0 })
	case "outage":
		w.storeDown = true
		end(func() { w.storeDown = false })
	case "burst":
		w.burst = f.Times
		end(func() { w.burst = 1 })
	case "takeover":
		w.owners = nil
		w.take()
	case "split":
		// The owner and the workers that are hit are cut off from the rest, which
		// gets another owner.
		w.cut = map[string]bool{}
		for _, i := range hit {
			w.cut[w.machines[i].ID] = true
		}
		w.at(w.now.Add(2*time.Second), w.take)
		end(func() { w.cut = nil })
	default:
		panic("unknown fault " + f.Kind)
	}
}

// violate counts a broken invariant.
func (w *World) violate(name, format string, args ...any) {
	w.result.Violations[name]++
	if w.result.First[name] == "" {
		w.result.First[name] = fmt.Sprintf("at %s: ", w.now.Sub(w.origin)) + fmt.Sprintf(format, args...)
	}
}

func (w *World) noteStart(m *machine, e *execution) {
	w.result.Starts++
	if u := m.used(); !m.Capacity.Fits(u) {
		w.violate("capacity", "%s on %s uses %v of %v", e.run, m.ID, u, m.Capacity)
	}
	if w.done[e.run.TaskID] && !w.void[e.run.TaskID] && !e.step.Speculative {
		w.violate("twice", "%s starts after the task was done", e.run)
	}
	for _, o := range w.machines {
		for _, other := range o.runs {
			if other != e && other.run.TaskID == e.run.TaskID && !e.step.Speculative && !w.now.After(o.leaseEnd) {
				w.violate("twice", "%s starts on %s beside %s on %s", e.run, m.ID, other.run, o.ID)
			}
		}
	}
	for _, a := range e.step.After {
		for i := range e.job.Steps[a].Count {
			if !w.done[planner.TaskID{Job: e.run.Job, Occurrence: e.run.Occurrence, Step: a, Index: i}] {
				w.violate("order", "%s starts before step %d is done", e.run, a)
				return
			}
		}
	}
}

// noteLapse voids the ends that were not acknowledged when the lease of a
// worker lapsed: their tasks may start again.
func (w *World) noteLapse(m *machine) {
	for _, e := range m.ends {
		if e.Kind == planner.EndDone {
			w.void[e.Run.TaskID] = true
		}
	}
}

func (w *World) noteEnd(e *execution, how planner.EndKind) {
	if how == planner.EndDone {
		w.done[e.run.TaskID] = true
		delete(w.void, e.run.TaskID)
	}
	w.noteGone(e)
}

func (w *World) noteGone(e *execution) {
	delete(w.over, e.run)
}

// noteShown checks that a job that is shown as done is done.
func (w *World) noteShown(id string) {
	j := w.accepted[id]
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if !w.done[planner.TaskID{Job: id, Step: s, Index: i}] {
				w.violate("mixed", "%s is shown as done without task %d.%d", id, s, i)
				return
			}
		}
	}
	if !w.shown[id] {
		w.shown[id] = true
		o := w.result.Classes[j.Queue.Name]
		o.Done++
		switch took := w.now.Sub(w.arrived[id]); {
		case took <= w.objective(j):
			o.InTime++
		case took <= 3*w.objective(j):
			o.Late++
		}
		w.result.Classes[j.Queue.Name] = o
	}
}

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

// noteTail counts the time of a lasting task over its target, and the harm that
// filling tasks do to it: quiet is its level without them. Harm that nobody can
// end, since the worker did not answer of late, is not counted.
func (w *World) noteTail(e *execution, quiet float64, isExcused bool) {
	name := e.job.Queue.Name
	if w.atWork[name] == nil {
		w.atWork[name] = &[2]time.Duration{}
	}
	w.atWork[name][1] += tick
	if e.isAtWork(w.now) && e.tail <= 0 {
		w.atWork[name][0] += tick
	}
	if e.isAtWork(w.now) && !w.cancelled[e.run.Job] && w.now.Sub(w.origin) < w.pattern.Length {
		w.earned[name] += tick
		switch {
		case e.tail > 0 && quiet > 0:
			w.earned[name] -= tick
		case e.tail > 0:
			w.earned[name] -= harmFactor * tick
		}
	}
	if e.tail <= 0 || quiet > 0 || isExcused {
		delete(w.over, e.run)
		delete(w.harmed, e.run)
		return
	}
	if w.over[e.run].IsZero() {
		w.over[e.run] = w.now
	}
	if w.now.Sub(w.over[e.run]) > w.pattern.ViolationLimit && !w.harmed[e.run] {
		w.harmed[e.run] = true
		w.violate("harm", "%s is over its target since %s", e.run, w.over[e.run].Sub(w.origin))
	}
}

// harmFactor is how many times the time over its target counts that filling
// tasks cause.
const harmFactor = 4

const (
	// finishTime is after what time a job counts as forgotten of which nothing
	// runs while under half of the processors are reserved, and stuckTime how
	// long a run may get no processor.
	finishTime = 25 * time.Second
	stuckTime  = 10 * time.Second
)

// summarize counts the jobs and finds those that nobody works on any more.
func (w *World) summarize() {
	runs := map[string]bool{}
	var used, capacity int64
	for _, m := range w.machines {
		used += m.used().CPU
		capacity += m.Capacity.CPU
		for _, e := range m.runs {
			runs[e.run.Job] = true
			if !e.step.LongRunning && w.now.Sub(e.movedAt) > stuckTime {
				w.violate("stuck", "%s on %s has not moved for %s", e.run, m.ID, w.now.Sub(e.movedAt))
			}
		}
	}
	for id, j := range w.accepted {
		o := w.result.Classes[j.Queue.Name]
		o.Accepted++
		state, ok := w.present().planner.JobState(id)
		switch {
		case !ok:
			w.violate("lost", "%s is not known", id)
		case state == planner.Failed:
			o.Failed++
		case state == planner.Queued && !j.Steps[0].LongRunning:
			w.violate("lost", "%s was never started", id)
		}
		if !j.Steps[0].LongRunning && state != planner.Done && state != planner.Failed && w.now.Sub(w.arrived[id]) > finishTime && !runs[id] && used < capacity/2 {
			w.violate("unfinished", "%s", w.present().planner.Explain(w.now, id))
		}
		w.result.Classes[j.Queue.Name] = o
	}
	for name, t := range w.atWork {
		o := w.result.Classes[name]
		if t[1] > 0 {
			o.AtWork = float64(t[0]) / float64(t[1])
		}
		if w.owed[name] > 0 {
			o.Earned = max(0, float64(w.earned[name])/float64(w.owed[name]))
		}
		w.result.Classes[name] = o
	}
}
