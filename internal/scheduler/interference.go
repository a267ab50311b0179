package scheduler

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/estimator"
	"tarragonhead.example/tarragonhead/internal/mitigator"
	"tarragonhead.example/tarragonhead/internal/placer"
)

const (
	// usageInterval is the time between two reports of a worker. An attempt
	// that ended is taken to have ended in the middle between them.
	usageInterval = 3 * time.Second
	// reservationStep is the part of the declared size by which an estimate
	// must differ from a running attempt's reservation for it to be changed,
	// so that a ledger record is written a few times in an attempt's life.
	reservationStep = 0.1
	// ownSamples is after how many measurements a batch attempt's processors
	// follow its own use, which differs less over time than among the tasks of
	// its kind. A service's use follows its load, so its kind counts there.
	ownSamples = 3
)

// Learner connects the estimates and the mitigation to one core. It is made
// for one owner and restored from a summary.
type Learner struct {
	Estimator *estimator.Estimator
	// Mitigator is nil for none.
	Mitigator *mitigator.Mitigator

	preset declarer.Preset
	// known has the attempts last seen on each worker.
	known map[string]map[TaskID]*learned
	// measured has the last measurement of each worker.
	measured map[string]time.Time
	// lag is the largest age of the measurements seen of late.
	lag time.Duration
}

// learned is what a learner keeps of an attempt.
type learned struct {
	attempt  uint64
	key      estimator.Key
	declared time.Duration
	started  time.Time
	// resumed is set when the attempt began with a checkpoint or under another
	// owner, so that its length says nothing of the run time.
	resumed bool
	// share is 1 unless the attempt is throttled; sharedAt is when it changed.
	share    float64
	sharedAt time.Time
	slowdown float64
	memory   int64
	// processors is the largest observed use, in samples measurements.
	processors int64
	samples    int
	throttled  bool
}

// NewLearner returns a learner with empty estimates.
func NewLearner(m *mitigator.Mitigator) *Learner {
	return &Learner{Estimator: estimator.New(), Mitigator: m, preset: declarer.OrdinaryDay, known: map[string]map[TaskID]*learned{}, measured: map[string]time.Time{}}
}

// Estimates returns what the interference-aware policy places by.
func (l *Learner) Estimates() placer.Estimates {
	return placer.Estimates{
		Slowdown: l.Estimator.Slowdown, Load: l.Estimator.Load,
		Parameters: func() placer.Parameters { return placer.ParametersOf(l.preset) },
	}
}

// Attach sets the hooks of a core's options.
func (l *Learner) Attach(o *Options) {
	o.Prepare = l.prepare
	o.Interference = func(c *Core, now time.Time, r *WorkerReport) {
		if c.config != nil {
			l.preset = c.config.Preset
		}
		if r == nil {
			l.mitigate(c, now)
			return
		}
		l.observe(c, now, r)
	}
}

// WithInterference returns the options of a core that learns from its reports,
// places by interference and acts against it.
func WithInterference(o Options) Options {
	l := NewLearner(mitigator.New())
	l.Attach(&o)
	o.Policy = placer.InterferenceAware(l.Estimates())
	return o
}

// prepare adds the learnt size to a request.
func (l *Learner) prepare(c *Core, t *Task, r *placer.Request) {
	r.Urgent = t.Urgent
	if !t.Submitted.IsZero() {
		r.Waiting = c.now.Sub(t.Submitted)
	}
	r.Needed = l.need(c, t)
}

// need returns the reservation for a task, but not more than the largest
// worker has, on which a task of which too much is expected can still run.
func (l *Learner) need(c *Core, t *Task) declarer.Resources {
	need := l.Estimator.Reservation(estimator.Key{Team: t.Team, Kind: t.Kind}, t.Declared)
	var largest declarer.Resources
	for i := range c.view.Workers {
		largest = largest.Max(c.view.Workers[i].Capacity)
	}
	if t.Declared.FitsIn(largest) {
		need.MilliCPU, need.MemoryMB = min(need.MilliCPU, largest.MilliCPU), min(need.MemoryMB, largest.MemoryMB)
	}
	return need
}

// observe takes the report of a worker.
func (l *Learner) observe(c *Core, now time.Time, r *WorkerReport) {
	w := c.workers[r.Worker]
	if w == nil {
		return
	}
	l.trackAttempts(c, now, r, w)
	if r.MeasuredAt.IsZero() || !r.MeasuredAt.After(l.measured[r.Worker]) {
		return
	}
	l.measured[r.Worker] = r.MeasuredAt
	l.lag = max(now.Sub(r.MeasuredAt), l.lag-time.Second/10)
	report := estimator.Report{Worker: r.Worker, Capacity: w.Capacity, MeasuredAt: r.MeasuredAt}
	for _, a := range r.Running {
		t, k := c.current(r.Worker, a.Task, a.Attempt), l.known[r.Worker][a.Task]
		if t == nil || k == nil {
			continue
		}
		k.slowdown, k.memory = a.Slowdown, max(k.memory, a.Usage.MemoryMB)
		if a.Usage.MilliCPU > 0 && k.share == 1 {
			k.processors, k.samples = max(k.processors, a.Usage.MilliCPU), k.samples+1
		}
		report.Attempts = append(report.Attempts, estimator.Measurement{
			Task: string(t.ID), Attempt: t.Attempt, Key: k.key, Declared: t.Declared, Usage: a.Usage, Slowdown: a.Slowdown, Load: a.Load,
			IsService: t.Class == declarer.ClassService,
			Throttled: k.share < 1 || (k.throttled && r.MeasuredAt.Add(-estimator.Window).Before(k.sharedAt)),
		})
	}
	l.Estimator.Observe(now, report)
	for _, a := range r.Running {
		if t := c.current(r.Worker, a.Task, a.Attempt); t != nil && t.State == Running && a.Usage.MemoryMB > 0 {
			l.adjust(c, t, l.known[r.Worker][a.Task])
		}
	}
}

// trackAttempts notes which attempts have started and ended on a worker.
func (l *Learner) trackAttempts(c *Core, now time.Time, r *WorkerReport, w *Worker) {
	known := l.known[w.ID]
	if known == nil {
		known = map[TaskID]*learned{}
		l.known[w.ID] = known
	}
	between := now.Add(-usageInterval / 2)
	completed := map[TaskID]bool{}
	for _, e := range r.Ended {
		completed[e.Task] = e.Outcome == OutcomeCompleted
	}
	for id, k := range known {
		if t := c.onWorker[w.ID][id]; t != nil && t.Attempt == k.attempt {
			continue
		}
		l.Estimator.Ended(between, w.ID, string(id), k.attempt)
		if completed[id] && !k.resumed && !k.throttled {
			l.Estimator.ObserveRun(now, k.key, k.declared, between.Sub(k.started))
		}
		delete(known, id)
	}
	for _, t := range c.tasksOn(w.ID) {
		if known[t.ID] != nil || t.State == Starting || t.State == Unknown {
			continue
		}
		known[t.ID] = l.newAttempt(c, now, t)
		l.Estimator.Started(known[t.ID].started, w.ID, string(t.ID), t.Attempt, t.Kind, float64(t.Reserved.MilliCPU)/float64(max(1, w.Capacity.MilliCPU)))
	}
}

// newAttempt returns what to keep of an attempt that is seen for the first time. A
// start is given right after the configuration was confirmed, which bounds its
// time. An attempt of an earlier owner may be throttled without this one
// knowing, so its share is set again.
func (l *Learner) newAttempt(c *Core, now time.Time, t *Task) *learned {
	k := &learned{attempt: t.Attempt, key: estimator.Key{Team: t.Team, Kind: t.Kind}, declared: t.RunTime, started: now, share: 1, resumed: t.Evictions > 0}
	a := c.attempts[t.ID]
	if a == nil || a.latestStart.IsZero() {
		k.resumed = true
		if t.Class == declarer.ClassBatch {
			c.command(Command{Throttle: &ThrottleTask{t.Worker, t.ID, t.Attempt, 1}})
		}
		return k
	}
	k.started = a.latestStart.Add(-lengthened(ConfigMaxAge + StartValidity))
	return k
}

// adjust moves the reservation of a running attempt to the estimate. A raise
// that does not fit first releases the lowest class; it is made when the room
// is free.
func (l *Learner) adjust(c *Core, t *Task, k *learned) {
	w := c.workers[t.Worker]
	need := l.need(c, t)
	need.MemoryMB = min(max(need.MemoryMB, k.memory), w.Capacity.MemoryMB)
	if t.Class == declarer.ClassBatch && k.samples >= ownSamples {
		need.MilliCPU = min(k.processors+k.processors/20, w.Capacity.MilliCPU)
	}
	if !differs(need, t.Reserved, t.Declared) {
		return
	}
	free := w.Capacity.Sub(w.Reserved.Sub(t.Reserved))
	if !need.FitsIn(free) {
		if k.memory > t.Reserved.MemoryMB || t.Class != declarer.ClassBatch {
			l.makeRoom(c, t, need.Sub(free))
		}
		need.MilliCPU, need.MemoryMB = min(need.MilliCPU, free.MilliCPU), min(need.MemoryMB, free.MemoryMB)
		if !differs(need, t.Reserved, t.Declared) {
			return
		}
	}
	c.record(Change{ReservationSet: &ReservationSet{t.ID, t.Attempt, need, "learnt from observed use"}})
}

func differs(a, b, declared declarer.Resources) bool {
	far := func(x, y, d int64) bool { return float64(max(x-y, y-x)) > reservationStep*float64(d) }
	return far(a.MilliCPU, b.MilliCPU, declared.MilliCPU) || far(a.MemoryMB, b.MemoryMB, declared.MemoryMB)
}

// makeRoom checkpoints batch beside t until what is missing will be free. A
// batch task without other batch beside it that is larger moves itself.
func (l *Learner) makeRoom(c *Core, t *Task, missing declarer.Resources) {
	var found declarer.Resources
	enough := func() bool { return missing.MilliCPU <= found.MilliCPU && missing.MemoryMB <= found.MemoryMB }
	on := c.tasksOn(t.Worker)
	for _, o := range on {
		if o.State == Checkpointing || o.State == Stopping {
			found = found.Add(o.Reserved)
		}
	}
	if t.Class == declarer.ClassBatch {
		if !enough() {
			c.checkpoint(t, "its memory has outgrown its worker")
		}
		return
	}
	for _, o := range on {
		if enough() {
			return
		}
		if o.Class == declarer.ClassBatch && !o.Urgent && o.State == Running {
			found = found.Add(o.Reserved)
			c.checkpoint(o, "room for the raised reservation of "+string(t.ID))
		}
	}
}

// mitigate carries out what the mitigator decides.
func (l *Learner) mitigate(c *Core, now time.Time) {
	if l.Mitigator == nil || c.config == nil {
		return
	}
	v := mitigator.View{Parameters: placer.ParametersOf(l.preset), Lag: l.lag}
	for _, id := range c.workerIDs() {
		if w := c.workers[id]; w.State == Lost || len(c.onWorker[id]) == 0 {
			l.Mitigator.Forget(id)
			continue
		}
		v.Workers = append(v.Workers, l.mitigated(c, now, id))
	}
	for _, a := range l.Mitigator.Decide(now, v) {
		l.carryOut(c, now, a)
	}
}

// mitigated returns a worker as the mitigator sees it.
func (l *Learner) mitigated(c *Core, now time.Time, worker string) mitigator.Worker {
	m := mitigator.Worker{ID: worker, MeasuredAt: l.measured[worker]}
	capacity := float64(max(1, c.workers[worker].Capacity.MilliCPU))
	on := c.tasksOn(worker)
	for _, t := range on {
		k := l.known[worker][t.ID]
		if k == nil || k.attempt != t.Attempt || t.State != Running {
			continue
		}
		x := mitigator.Task{
			ID: string(t.ID), Attempt: t.Attempt, Class: t.Class, Kind: t.Kind, Job: t.Owner, Urgent: t.Urgent,
			Slowdown: k.slowdown, Share: k.share, Evictions: t.Evictions,
			Remaining: l.Estimator.RunTime(k.key, t.RunTime) - now.Sub(k.started),
		}
		if t.Class == declarer.ClassBatch {
			for _, s := range on {
				if s.Class == declarer.ClassService {
					mean, _ := l.Estimator.Slowdown(s.Kind, t.Kind, l.Estimator.Load(s.Kind))
					x.Pressure += mean * float64(t.Reserved.MilliCPU) / capacity
				}
			}
		}
		m.Tasks = append(m.Tasks, x)
	}
	return m
}

func (l *Learner) carryOut(c *Core, now time.Time, a mitigator.Action) {
	t := c.current(a.Worker, TaskID(a.Task), a.Attempt)
	k := l.known[a.Worker][TaskID(a.Task)]
	if t == nil || k == nil {
		return
	}
	switch a.Kind {
	case mitigator.Throttle, mitigator.Unthrottle:
		k.share, k.sharedAt, k.throttled = a.Share, now, true
		c.explain(Explanation{Action: string(a.Kind), Task: t.ID, Job: t.Owner, Worker: a.Worker, Reason: a.Reason, Figures: []Figure{{"share", a.Share}}})
		c.command(Command{Throttle: &ThrottleTask{a.Worker, t.ID, t.Attempt, a.Share}})
	case mitigator.Checkpoint:
		c.checkpoint(t, a.Reason)
	case mitigator.Evict:
		c.evict(t, a.Reason)
	}
}
