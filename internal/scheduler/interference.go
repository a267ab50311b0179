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
	// that ended is assumed to have ended halfway between them.
	usageInterval = 3 * time.Second
	// minReservationChange is the fraction of the declared size by which an
	// estimate must differ from the reservation of a running attempt before the
	// reservation is changed. It limits the ledger records to a few for each
	// attempt.
	minReservationChange = 0.1
	// minOwnSamples is the number of measurements after which the processor
	// reservation of a batch attempt follows its own usage, which varies less
	// over time than among tasks of the same kind. A service's usage follows
	// its load, so its reservation follows the estimate for its kind.
	minOwnSamples = 3
)

// Learner connects the estimator and the mitigator to one core. It belongs to
// one owner and is restored from a summary.
type Learner struct {
	Estimator *estimator.Estimator
	// Mitigator may be nil.
	Mitigator *mitigator.Mitigator

	preset declarer.Preset
	// attemptsByWorker has the attempts last seen on each worker.
	attemptsByWorker map[string]map[TaskID]*attemptStats
	// measuredAt is the time of the last measurement of each worker.
	measuredAt map[string]time.Time
	// lag is the largest recent age of a measurement at its arrival. It falls by
	// at most a tenth of a second with each measurement.
	lag time.Duration
}

// attemptStats is what the learner keeps for an attempt.
type attemptStats struct {
	attempt         uint64
	key             estimator.Key
	declaredRunTime time.Duration
	startedAt       time.Time
	// resumed is set when the attempt started from a checkpoint or under
	// another owner, so that its length does not show the run time.
	resumed bool
	// share is the processor share that the attempt may use, 1 unless it is
	// throttled; shareChangedAt is when it last changed.
	share          float64
	shareChangedAt time.Time
	slowdown       float64
	peakMemoryMB   int64
	// peakMilliCPU is the largest observed processor usage in samples
	// measurements.
	peakMilliCPU int64
	samples      int
	wasThrottled bool
}

// NewLearner returns a learner with empty estimates.
func NewLearner(m *mitigator.Mitigator) *Learner {
	return &Learner{Estimator: estimator.New(), Mitigator: m, preset: declarer.OrdinaryDay, attemptsByWorker: map[string]map[TaskID]*attemptStats{}, measuredAt: map[string]time.Time{}}
}

// Estimates returns the estimates that the interference-aware policy uses.
func (l *Learner) Estimates() placer.Estimates {
	return placer.Estimates{
		Slowdown: l.Estimator.Slowdown, Load: l.Estimator.Load,
		Parameters: func() placer.Parameters { return placer.ParametersOf(l.preset) },
	}
}

// Attach sets the hooks in the options of a core.
func (l *Learner) Attach(o *Options) {
	o.Prepare = l.prepareRequest
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
// places tasks by their expected interference and mitigates measured
// interference.
func WithInterference(o Options) Options {
	l := NewLearner(mitigator.New())
	l.Attach(&o)
	o.Policy = placer.InterferenceAware(l.Estimates())
	return o
}

// prepareRequest adds the urgency, the waiting time and the estimated
// reservation of a task to its request.
func (l *Learner) prepareRequest(c *Core, t *Task, r *placer.Request) {
	r.Urgent = t.Urgent
	if !t.Submitted.IsZero() {
		r.Waiting = c.now.Sub(t.Submitted)
	}
	r.Needed = l.estimateReservation(c, t)
}

// estimateReservation returns the reservation for a task, limited to the
// capacity of the largest worker. A task whose estimate is too large can
// therefore still run there.
func (l *Learner) estimateReservation(c *Core, t *Task) declarer.Resources {
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

// observe updates the estimates from the report of a worker.
func (l *Learner) observe(c *Core, now time.Time, r *WorkerReport) {
	w := c.workers[r.Worker]
	if w == nil {
		return
	}
	l.trackAttempts(c, now, r, w)
	if r.MeasuredAt.IsZero() || !r.MeasuredAt.After(l.measuredAt[r.Worker]) {
		return
	}
	l.measuredAt[r.Worker] = r.MeasuredAt
	l.lag = max(now.Sub(r.MeasuredAt), l.lag-time.Second/10)
	report := estimator.Report{Worker: r.Worker, Capacity: w.Capacity, MeasuredAt: r.MeasuredAt}
	for _, a := range r.Running {
		t, k := c.currentTask(r.Worker, a.Task, a.Attempt), l.attemptsByWorker[r.Worker][a.Task]
		if t == nil || k == nil {
			continue
		}
		k.slowdown, k.peakMemoryMB = a.Slowdown, max(k.peakMemoryMB, a.Usage.MemoryMB)
		if a.Usage.MilliCPU > 0 && k.share == 1 {
			k.peakMilliCPU, k.samples = max(k.peakMilliCPU, a.Usage.MilliCPU), k.samples+1
		}
		report.Attempts = append(report.Attempts, estimator.Measurement{
			Task: string(t.ID), Attempt: t.Attempt, Key: k.key, Declared: t.Declared, Usage: a.Usage, Slowdown: a.Slowdown, Load: a.Load,
			IsService: t.Class == declarer.ClassService,
			Throttled: k.share < 1 || (k.wasThrottled && r.MeasuredAt.Add(-estimator.Window).Before(k.shareChangedAt)),
		})
	}
	l.Estimator.Observe(now, report)
	for _, a := range r.Running {
		if t := c.currentTask(r.Worker, a.Task, a.Attempt); t != nil && t.State == Running && a.Usage.MemoryMB > 0 {
			l.adjustReservation(c, t, l.attemptsByWorker[r.Worker][a.Task])
		}
	}
}

// trackAttempts records which attempts have started and ended on a worker.
func (l *Learner) trackAttempts(c *Core, now time.Time, r *WorkerReport, w *Worker) {
	known := l.attemptsByWorker[w.ID]
	if known == nil {
		known = map[TaskID]*attemptStats{}
		l.attemptsByWorker[w.ID] = known
	}
	assumedEnd := now.Add(-usageInterval / 2)
	completed := map[TaskID]bool{}
	for _, e := range r.Ended {
		completed[e.Task] = e.Outcome == OutcomeCompleted
	}
	for id, k := range known {
		if t := c.tasksByWorker[w.ID][id]; t != nil && t.Attempt == k.attempt {
			continue
		}
		l.Estimator.Ended(assumedEnd, w.ID, string(id), k.attempt)
		if completed[id] && !k.resumed && !k.wasThrottled {
			l.Estimator.ObserveRun(now, k.key, k.declaredRunTime, assumedEnd.Sub(k.startedAt))
		}
		delete(known, id)
	}
	for _, t := range c.tasksOn(w.ID) {
		if known[t.ID] != nil || t.State == Starting || t.State == Unknown {
			continue
		}
		known[t.ID] = l.newAttemptStats(c, now, t)
		l.Estimator.Started(known[t.ID].startedAt, w.ID, string(t.ID), t.Attempt, t.Kind, float64(t.Reserved.MilliCPU)/float64(max(1, w.Capacity.MilliCPU)))
	}
}

// newAttemptStats returns the record of an attempt that is seen for the first
// time. The attempt is taken to have started when the configuration was
// confirmed, which is at most ConfigMaxAge before the start command. An attempt
// of an earlier owner may be throttled, so its share is set to 1 again.
func (l *Learner) newAttemptStats(c *Core, now time.Time, t *Task) *attemptStats {
	k := &attemptStats{attempt: t.Attempt, key: estimator.Key{Team: t.Team, Kind: t.Kind}, declaredRunTime: t.RunTime, startedAt: now, share: 1, resumed: t.Evictions > 0}
	a := c.attempts[t.ID]
	if a == nil || a.latestStart.IsZero() {
		k.resumed = true
		if t.Class == declarer.ClassBatch {
			c.emit(Command{Throttle: &ThrottleTask{t.Worker, t.ID, t.Attempt, 1}})
		}
		return k
	}
	k.startedAt = a.latestStart.Add(-addDriftMargin(ConfigMaxAge + StartValidity))
	return k
}

// adjustReservation sets the reservation of a running attempt to the estimate.
// The memory is at least the attempt's own peak usage. The processors of a batch
// attempt with minOwnSamples measurements are its own peak usage plus 5%.
// If an increase does not fit, batch tasks are checkpointed first, and the rest
// of the increase follows once the capacity is free.
func (l *Learner) adjustReservation(c *Core, t *Task, k *attemptStats) {
	w := c.workers[t.Worker]
	need := l.estimateReservation(c, t)
	need.MemoryMB = min(max(need.MemoryMB, k.peakMemoryMB), w.Capacity.MemoryMB)
	if t.Class == declarer.ClassBatch && k.samples >= minOwnSamples {
		need.MilliCPU = min(k.peakMilliCPU+k.peakMilliCPU/20, w.Capacity.MilliCPU)
	}
	if !needsAdjustment(need, t.Reserved, t.Declared) {
		return
	}
	free := w.Capacity.Sub(w.Reserved.Sub(t.Reserved))
	if !need.FitsIn(free) {
		if k.peakMemoryMB > t.Reserved.MemoryMB || t.Class != declarer.ClassBatch {
			l.releaseCapacity(c, t, need.Sub(free))
		}
		need.MilliCPU, need.MemoryMB = min(need.MilliCPU, free.MilliCPU), min(need.MemoryMB, free.MemoryMB)
		if !needsAdjustment(need, t.Reserved, t.Declared) {
			return
		}
	}
	c.record(Change{ReservationSet: &ReservationSet{t.ID, t.Attempt, need, "adjusted to the observed usage"}})
}

// needsAdjustment reports whether a and b differ by more than
// minReservationChange of the declared size in processors or memory.
func needsAdjustment(a, b, declared declarer.Resources) bool {
	differ := func(x, y, d int64) bool { return float64(max(x-y, y-x)) > minReservationChange*float64(d) }
	return differ(a.MilliCPU, b.MilliCPU, declared.MilliCPU) || differ(a.MemoryMB, b.MemoryMB, declared.MemoryMB)
}

// releaseCapacity checkpoints batch tasks on the worker of t until the missing
// resources will be free. If t is itself a batch task and the ending attempts
// do not free enough, t is checkpointed instead.
func (l *Learner) releaseCapacity(c *Core, t *Task, missing declarer.Resources) {
	var found declarer.Resources
	isEnough := func() bool { return missing.MilliCPU <= found.MilliCPU && missing.MemoryMB <= found.MemoryMB }
	on := c.tasksOn(t.Worker)
	for _, o := range on {
		if o.State == Checkpointing || o.State == Stopping {
			found = found.Add(o.Reserved)
		}
	}
	if t.Class == declarer.ClassBatch {
		if !isEnough() {
			c.checkpoint(t, "its memory usage exceeds the free memory of its worker")
		}
		return
	}
	for _, o := range on {
		if isEnough() {
			return
		}
		if o.Class == declarer.ClassBatch && !o.Urgent && o.State == Running {
			found = found.Add(o.Reserved)
			c.checkpoint(o, "frees capacity for the larger reservation of "+string(t.ID))
		}
	}
}

// mitigate carries out the mitigator's decisions.
func (l *Learner) mitigate(c *Core, now time.Time) {
	if l.Mitigator == nil || c.config == nil {
		return
	}
	v := mitigator.View{Parameters: placer.ParametersOf(l.preset), Lag: l.lag}
	for _, id := range c.workerIDs() {
		if w := c.workers[id]; w.State == Lost || len(c.tasksByWorker[id]) == 0 {
			l.Mitigator.Forget(id)
			continue
		}
		v.Workers = append(v.Workers, l.mitigatorWorker(c, now, id))
	}
	for _, a := range l.Mitigator.Decide(now, v) {
		l.applyAction(c, now, a)
	}
}

// mitigatorWorker returns the mitigator's view of a worker.
func (l *Learner) mitigatorWorker(c *Core, now time.Time, worker string) mitigator.Worker {
	m := mitigator.Worker{ID: worker, MeasuredAt: l.measuredAt[worker]}
	capacity := float64(max(1, c.workers[worker].Capacity.MilliCPU))
	on := c.tasksOn(worker)
	for _, t := range on {
		k := l.attemptsByWorker[worker][t.ID]
		if k == nil || k.attempt != t.Attempt || t.State != Running {
			continue
		}
		x := mitigator.Task{
			ID: string(t.ID), Attempt: t.Attempt, Class: t.Class, Kind: t.Kind, Job: t.Owner, Urgent: t.Urgent,
			Slowdown: k.slowdown, Share: k.share, Evictions: t.Evictions,
			Remaining: l.Estimator.RunTime(k.key, t.RunTime) - now.Sub(k.startedAt),
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

func (l *Learner) applyAction(c *Core, now time.Time, a mitigator.Action) {
	t := c.currentTask(a.Worker, TaskID(a.Task), a.Attempt)
	k := l.attemptsByWorker[a.Worker][TaskID(a.Task)]
	if t == nil || k == nil {
		return
	}
	switch a.Kind {
	case mitigator.Throttle, mitigator.Unthrottle:
		k.share, k.shareChangedAt, k.wasThrottled = a.Share, now, true
		c.explain(Explanation{Action: string(a.Kind), Task: t.ID, Job: t.Owner, Worker: a.Worker, Reason: a.Reason, Figures: []Figure{{"share", a.Share}}})
		c.emit(Command{Throttle: &ThrottleTask{a.Worker, t.ID, t.Attempt, a.Share}})
	case mitigator.Checkpoint:
		c.checkpoint(t, a.Reason)
	case mitigator.Evict:
		c.evict(t, a.Reason)
	}
}
