// Package replayer simulates patterns of load and faults on the planner, without
// any I/O. It counts the invariants that the planner violates and the jobs that
// it finishes in time. The model has workers whose tasks share CPU, interference
// that depends on the pair of images, gangs, copies of speculative tasks, late
// commands, lost answers, unhealthy workers, workers that restart while the list
// still shows the ended process, outages of the store and changes of the owner.
package replayer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonhead.example/tarragonhead/internal/planner"
)

const (
	// tick is the step of the simulation.
	tick = 10 * time.Millisecond
	// delay is the latency of a call in one direction.
	delay = 4 * time.Millisecond
	// pollWait is how long a poll waits for a run to end.
	pollWait = 700 * time.Millisecond
	// maxLease is the longest lease, and slowClock the factor by which it may
	// last longer on a worker whose clock is slow.
	maxLease  = 6 * time.Second
	slowClock = 1.02
	// horizon is how long an owner continues to start tasks without access to
	// the store.
	horizon = 7 * time.Second
)

// Class describes the jobs of one kind.
type Class struct {
	Queue planner.Queue
	// PerSecond is the arrival rate of jobs.
	PerSecond float64
	// Steps and Width are the mean numbers of steps in a job and of tasks in a
	// step.
	Steps int
	Width int
	// Need and Work are the estimated resources and processing time of a task.
	Need planner.Resources
	Work time.Duration
	// Step is the template of every step.
	Step planner.Step
	// Images is the number of different images in the class.
	Images int
	// WidthSpread is the standard deviation of the logarithm of a step's width;
	// zero stands for a uniform distribution. EstimateSpread is the standard
	// deviation of the logarithm of a step's work over its estimate; zero stands
	// for an exact estimate of the step's mean work.
	WidthSpread, EstimateSpread float64
	// Lifetime is the mean time after which a long-running job is cancelled; zero
	// stands for never.
	Lifetime time.Duration
	// Times and Interval are those of scheduled jobs.
	Times    int
	Interval time.Duration
	// Initial is the number of jobs that arrive before the replay starts.
	Initial int
	// AlwaysFailShare is the share of jobs whose runs always fail.
	AlwaysFailShare float64
	// FailShare is the share of runs that fail through no fault of the worker. Those of
	// long-running tasks fail soon after their start.
	FailShare float64
}

// Fault is a fault that is injected during a replay.
type Fault struct {
	// At is when the fault starts, relative to the start of the replay, and For
	// how long it lasts.
	At, For time.Duration
	// Kind is silent, hang, fail, slow, crash, restart, restart_same_id, drain,
	// late, late_polls, outage, takeover, split or burst. After a crash the list of
	// workers no longer shows the ended process. After a restart it does, until the
	// entry expires.
	Kind string
	// Share is the share of the workers or, for late and late_polls, of the commands
	// and polls that are affected.
	Share float64
	// Factor multiplies the run times for slow and the arrival rate of best-effort
	// jobs for burst. For restarts it is how often each worker restarts, at least
	// once.
	Factor float64
}

// Pattern describes a deployment, its load and the faults of a replay.
type Pattern struct {
	Workers int
	Domains int
	// Capacity is the capacity of a worker. Every third worker is larger by half.
	Capacity planner.Resources
	Classes  []Class
	// Length is how long jobs arrive.
	Length time.Duration
	// Drain is how long the replay continues after the last arrival.
	Drain  time.Duration
	Faults []Fault
	// Fluctuation is the amplitude of the logarithm of a best-effort task's
	// interference, which oscillates within seconds.
	Fluctuation float64
	// Load is the mean share of its reserved CPU that a long-running task uses.
	Load float64
	// StopTime is three times as long as a task takes to stop.
	StopTime        time.Duration
	CheckpointEvery time.Duration
	// ViolationLimit is how long best-effort tasks may hold a long-running task
	// over its latency target.
	ViolationLimit time.Duration
}

// Outcome counts the jobs of one class by their result.
type Outcome struct {
	Accepted, InTime, Done, Failed, Cancelled int
	// Late counts the jobs that missed their objective but were done within three
	// times its length.
	Late int
	// OnTarget is the share of the running time of long-running tasks in which
	// they had started up and met their latency target.
	OnTarget float64
	// Availability is the share of the required running time of long-running tasks
	// in which they had started up, less the share in which they exceeded their
	// target, weighted fourfold where best-effort tasks were the cause.
	Availability float64
}

// Result holds the results of a replay.
type Result struct {
	// Violations counts the violations by the name of the invariant, and First
	// describes the first violation of each.
	Violations map[string]int
	First      map[string]string
	// Classes holds the outcomes by the name of the class's queue.
	Classes map[string]Outcome
	// Starts is the number of runs started.
	Starts int
	// Moments counts how often the replay came to each critical moment of a
	// restart.
	Moments map[Moment]int
}

// World is the state of one replay.
type World struct {
	pattern    Pattern
	onDecision func(time.Duration, planner.Decision)
	// rng draws the load and the faults, and noise the delays of commands and the
	// errors of reported measurements.
	rng, noise *rand.Rand
	now        time.Time
	origin     time.Time
	machines   []*machine
	// owners holds the current owner last, after owners that were replaced and
	// have not detected it yet.
	owners []*owner
	epoch  int64
	events []event

	accepted    map[string]*planner.Job
	arrivedAt   map[string]time.Time
	progress    map[string]planner.Progress
	recorded    []planner.Worker
	checkpoints map[string]checkpoint
	// gangs holds the runs of each gang that have started and not ended.
	gangs       map[gangID][]member
	alwaysFails map[string]bool
	classOf     map[string]*Class
	// done holds the tasks that a run has completed, and voided those whose
	// completion was lost because the lease expired or the process ended before
	// the end was acknowledged. failures counts the failed runs of a task, less
	// those lost.
	done, voided map[planner.TaskID]bool
	failures     map[planner.TaskID]int
	// failedRuns counts all failed runs, those of a gang under its first task.
	failedRuns map[planner.TaskID]int
	// notedDone holds when the first end of a task as done was acknowledged, and
	// notedFailures counts the failed runs of a task whose ends were.
	notedDone     map[planner.TaskID]time.Time
	notedFailures map[planner.TaskID]notedFailures
	reportedDone  map[string]bool

	storeDown bool
	// partitioned holds the addresses of the workers that can be reached only by owners that were
	// replaced.
	partitioned map[netip.AddrPort]bool
	// staleEntries holds the entries of ended processes that the list of workers
	// shows, and restarts draws what differs between restarts.
	staleEntries []staleEntry
	restarts     *rand.Rand
	// delayedShare and delayedPollShare are the shares of commands and of polls that
	// arrive late, and burst multiplies the arrival rate of best-effort jobs.
	delayedShare, delayedPollShare float64
	burst                          float64
	credit                         map[string]float64
	// interferenceCache holds the results of interference, and salt makes them
	// depend on the seed.
	interferenceCache map[string]float64
	salt              string
	// overTargetSince holds the time since which best-effort tasks have held a
	// run over its target, and harmCounted the runs whose current violation is
	// counted.
	overTargetSince map[planner.RunID]time.Time
	harmCounted     map[planner.RunID]bool
	// targetTimes holds, by class, the running time of long-running tasks in
	// which they were ready and met their target, and their whole running time.
	targetTimes map[string]*[2]time.Duration
	// requiredTime is the running time required of the long-running tasks by
	// class, and creditedTime the part in which they were ready, less the
	// penalties for tail latencies over the target.
	requiredTime, creditedTime map[string]time.Duration
	cancelled                  map[string]bool
	result                     Result
}

type event struct {
	at time.Time
	do func()
}

// New returns a replay of a pattern. If onDecision is not nil, it receives each
// decision of the planner with the time since the start of the replay.
func New(p Pattern, seed uint64, onDecision func(time.Duration, planner.Decision)) *World {
	origin := time.Unix(1_000_000, 0)
	w := &World{
		pattern: p, onDecision: onDecision, rng: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)), now: origin, origin: origin,
		accepted: map[string]*planner.Job{}, arrivedAt: map[string]time.Time{}, progress: map[string]planner.Progress{},
		checkpoints: map[string]checkpoint{}, gangs: map[gangID][]member{}, notedDone: map[planner.TaskID]time.Time{}, notedFailures: map[planner.TaskID]notedFailures{}, interferenceCache: map[string]float64{}, salt: strconv.FormatUint(seed, 10), alwaysFails: map[string]bool{}, classOf: map[string]*Class{}, done: map[planner.TaskID]bool{}, voided: map[planner.TaskID]bool{}, failures: map[planner.TaskID]int{}, failedRuns: map[planner.TaskID]int{}, restarts: rand.New(rand.NewPCG(seed, 3)),
		reportedDone: map[string]bool{}, burst: 1, credit: map[string]float64{}, overTargetSince: map[planner.RunID]time.Time{}, harmCounted: map[planner.RunID]bool{},
		targetTimes: map[string]*[2]time.Duration{}, requiredTime: map[string]time.Duration{}, creditedTime: map[string]time.Duration{}, cancelled: map[string]bool{},
		result: Result{Violations: map[string]int{}, First: map[string]string{}, Classes: map[string]Outcome{}, Moments: map[Moment]int{}},
	}
	for i := range p.Workers {
		m := newMachine(p, i, 0)
		m.clockStart = origin
		w.machines = append(w.machines, m)
	}
	w.addOwner()
	return w
}

// newMachine returns an incarnation of worker i. Every third worker is larger by
// half.
func newMachine(p Pattern, i, incarnation int) *machine {
	if i%3 == 2 {
		p.Capacity.CPU += p.Capacity.CPU / 2
		p.Capacity.Memory += p.Capacity.Memory / 2
	}
	return &machine{
		Worker: planner.Worker{
			ID: fmt.Sprintf("w%03d-%d", i, incarnation), Born: firstBorn + int64(incarnation), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 80),
			Service: "service", Domain: "domain" + strconv.Itoa(i%p.Domains), Rack: "rack" + strconv.Itoa(i/8),
			Labels: []string{"kind", "rack" + strconv.Itoa(i/8)}, Capacity: p.Capacity,
		},
		runs: map[planner.RunID]*execution{}, finishedAttempts: map[planner.TaskID]int{}, incarnation: incarnation,
	}
}

// addOwner adds an owner that takes over the shard from the stored state.
func (w *World) addOwner() {
	w.epoch++
	p, err := planner.New(planner.Options{
		Epoch: w.epoch, MaxFenceOffset: fencesPerEpoch - 1, Horizon: horizon, ViolationLimit: w.pattern.ViolationLimit,
		Retention: time.Hour, WallTime: func(t time.Time) time.Time { return t },
		PredecessorLeaseEnd: w.now.Add(horizon + time.Duration(slowClock*float64(maxLease))), LongestLease: time.Duration(slowClock * float64(maxLease)),
		OnDecision: func(d planner.Decision) {
			if w.onDecision != nil {
				w.onDecision(w.now.Sub(w.origin), d)
			}
		},
	})
	if err != nil {
		panic(err)
	}
	o := &owner{world: w, planner: p, epoch: w.epoch, sessions: map[string]*session{}, provenAt: w.now, checkpoints: map[planner.TaskID]string{}}
	w.owners = append(w.owners, o)
	for _, r := range w.recorded {
		p.AddUnverifiedWorker(r)
	}
	ids := make([]string, 0, len(w.accepted))
	for id := range w.accepted {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		p.AddJob(w.now, *w.accepted[id], w.progress[id])
	}
	o.updateWorkers()
	w.recordTakeover()
}

// currentOwner returns the owner that is recorded in the store.
func (w *World) currentOwner() *owner { return w.owners[len(w.owners)-1] }

// Run replays the pattern.
func (w *World) Run() Result {
	for _, f := range w.pattern.Faults {
		w.schedule(w.origin.Add(f.At), func() { w.startFault(f) })
	}
	for i := range w.pattern.Classes {
		for range w.pattern.Classes[i].Initial {
			w.submitJob(&w.pattern.Classes[i])
		}
	}
	end := w.origin.Add(w.pattern.Length)
	for listAt := w.now; w.now.Before(end.Add(w.pattern.Drain)); w.now = w.now.Add(tick) {
		if w.now.Before(end) {
			w.submitArrivals()
		}
		w.runDueEvents()
		for _, m := range w.machines {
			m.advance(w, tick)
		}
		if w.now.Before(end) {
			w.countRequiredTime()
		}
		isListed := !w.now.Before(listAt) && !w.storeDown
		if isListed {
			listAt = w.now.Add(700 * time.Millisecond)
		}
		for _, o := range slices.Clone(w.owners) {
			if isListed && o == w.currentOwner() {
				o.updateWorkers()
			}
			o.step()
		}
	}
	w.summarize()
	return w.result
}

// schedule runs do at time t, after earlier events of the same time.
func (w *World) schedule(t time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(w.events, t, func(e event, t time.Time) int {
		if e.at.After(t) {
			return 1
		}
		return -1
	})
	w.events = slices.Insert(w.events, i, event{t, do})
}

func (w *World) runDueEvents() {
	for len(w.events) > 0 && !w.events[0].at.After(w.now) {
		e := w.events[0]
		w.events = w.events[1:]
		e.do()
	}
}

func (w *World) submitArrivals() {
	for i := range w.pattern.Classes {
		c := &w.pattern.Classes[i]
		rate := c.PerSecond
		if w.burst > 1 && c.Step.BestEffort {
			rate *= w.burst
		}
		if w.rng.Float64() < rate*tick.Seconds() {
			w.submitJob(c)
		}
	}
}

func (w *World) submitJob(c *Class) {
	if w.storeDown {
		return
	}
	j := &planner.Job{ID: fmt.Sprintf("%016x", w.rng.Uint64()), Queue: c.Queue, Payload: "payload", Received: w.now, Times: c.Times, First: w.now, Interval: c.Interval}
	steps := 1
	if c.Steps > 1 {
		steps = 1 + w.rng.IntN(2*c.Steps-1)
	}
	for i := range steps {
		s := c.Step
		s.Count = w.drawWidth(c)
		s.Need, s.Estimate = c.Need, c.Work
		if c.Images > 0 {
			s.Image = c.Queue.Name + strconv.Itoa(int(w.hash(j.ID)%uint64(c.Images)))
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	w.accepted[j.ID], w.arrivedAt[j.ID], w.classOf[j.ID] = j, w.now, c
	w.alwaysFails[j.ID] = w.rng.Float64() < c.AlwaysFailShare
	w.currentOwner().planner.AddJob(w.now, *j, planner.Progress{})
	if c.Lifetime > 0 {
		lifetime := float64(c.Lifetime) * math.Exp(lifetimeSpread*w.rng.NormFloat64()-lifetimeSpread*lifetimeSpread/2)
		w.schedule(w.now.Add(time.Duration(lifetime)), func() {
			w.cancelled[j.ID] = true
			w.currentOwner().planner.Cancel(w.now, j.ID)
		})
	}
}

// lifetimeSpread is the standard deviation of the logarithm of a long-running
// job's lifetime.
const lifetimeSpread = 0.5

// drawWidth draws the number of tasks of a step.
func (w *World) drawWidth(c *Class) int {
	if c.WidthSpread == 0 {
		return 1 + w.rng.IntN(2*c.Width-1)
	}
	drawn := float64(c.Width) * math.Exp(c.WidthSpread*w.rng.NormFloat64()-c.WidthSpread*c.WidthSpread/2)
	return min(max(1, int(drawn+0.5)), 6*c.Width)
}

// countRequiredTime adds one tick for each long-running task that is required to
// run.
func (w *World) countRequiredTime() {
	for id, j := range w.accepted {
		if !w.cancelled[id] && j.Steps[0].LongRunning {
			w.requiredTime[j.Queue.Name] += time.Duration(j.Steps[0].Count) * tick
		}
	}
}

// estimateError returns the ratio of the work of a step's tasks to its estimate.
func (w *World) estimateError(j *planner.Job, step int) float64 {
	c := w.classOf[j.ID]
	if c == nil || c.EstimateSpread == 0 {
		return 1
	}
	// The logistic quantile function approximates the normal one.
	u := w.hashToUnit(fmt.Sprint(j.ID, "estimate", step))
	return math.Exp(c.EstimateSpread * math.Log(u/(1-u)) / 1.7)
}

func (w *World) hash(text string) uint64 { return xxhash.Sum64String(text) }

// hashToUnit maps a text to a number in [0, 1).
func (w *World) hashToUnit(text string) float64 { return float64(w.hash(text)>>11) / (1 << 53) }

func (w *World) workOf(j *planner.Job, t planner.TaskID) time.Duration {
	return time.Duration(float64(j.Steps[t.Step].Estimate) * w.estimateError(j, t.Step) * (0.7 + 0.6*w.hashToUnit(t.String())))
}

func (w *World) phaseOf(r planner.RunID) float64 { return 2 * math.Pi * w.hashToUnit(r.Job) }

func (w *World) plannedEndOf(r planner.RunID) planner.EndKind {
	if c := w.classOf[r.Job]; w.alwaysFails[r.Job] || w.hashToUnit(r.String()) < c.FailShare {
		return planner.EndFailed
	}
	return planner.EndDone
}

// load returns the share of its reserved CPU that a long-running task uses now.
func (w *World) load(e *execution) float64 {
	t := w.now.Sub(w.origin).Seconds()
	return w.pattern.Load * (1 + 0.5*math.Sin(2*math.Pi*t/14+e.phase))
}

// fluctuation returns the ratio of a best-effort task's current interference to
// its usual interference.
func (w *World) fluctuation(e *execution) float64 {
	if w.pattern.Fluctuation == 0 {
		return 1
	}
	t := w.now.Sub(w.origin).Seconds()
	return math.Exp(w.pattern.Fluctuation * math.Sin(2*math.Pi*t/5+e.phase))
}

// noisyShare is the share of the best-effort images that interfere strongly with
// one of the two groups of long-running images. All other pairs of images
// interfere weakly.
const noisyShare = 0.6

// interference returns by how much ten cores of a best-effort image raise the
// logarithm of the tail latency of a long-running image.
func (w *World) interference(longRunning, bestEffort string) float64 {
	pair := longRunning + bestEffort
	if s, ok := w.interferenceCache[pair]; ok {
		return s
	}
	s := 0.1 * w.hashToUnit(w.salt+pair)
	isNoisy := w.hashToUnit(w.salt+bestEffort) < noisyShare
	if group := w.salt + "group"; isNoisy && w.hash(group+longRunning)%2 == w.hash(group+bestEffort)%2 {
		s = 0.3 * math.Exp(1.6*w.hashToUnit(w.salt+pair+"strength"))
	}
	w.interferenceCache[pair] = s
	return s
}

// checkpoint is the work that a checkpoint of a task saves.
type checkpoint struct {
	task planner.TaskID
	done time.Duration
}

// checkpoint returns the name of the last checkpoint of a run, or "" if there is
// none.
func (w *World) checkpoint(e *execution) string {
	if e.checkpointed == 0 {
		return ""
	}
	key := fmt.Sprintf("%s@%d", e.run.TaskID, e.checkpointed.Milliseconds())
	w.checkpoints[key] = checkpoint{e.run.TaskID, e.checkpointed}
	return key
}
