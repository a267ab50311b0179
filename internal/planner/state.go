package planner

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/interpreter"
)

// job is a job with its progress.
type job struct {
	Job
	state State
	// shown is the last state that was committed; clients see no final state
	// before that.
	shown State
	// version counts the changes to be committed; committed is the version
	// that the store has.
	version, committed uint64
	occurrences        []*occurrence
	ended              map[int]bool
	// arrived is when the job came, on the planner's clock.
	arrived time.Time
	// known is the objective by the present queue and estimates, zero until it is
	// asked for: each decision about a task asks for it.
	known time.Duration
	// recovered is set when an earlier owner may have started tasks of it.
	recovered bool
	// wasRead is set when the job was there before this owner.
	wasRead bool
	// begun is set when a task has started.
	begun bool
	// finalAt is when the job got a final state.
	finalAt time.Time
}

func (j *job) changed() { j.version++ }

// occurrence returns occurrence k, made if needed.
func (j *job) occurrence(k int) *occurrence {
	for _, o := range j.occurrences {
		if o.number == k {
			return o
		}
	}
	o := &occurrence{job: j, number: k}
	isEnded := j.ended[k]
	for i := range j.Steps {
		s := &step{Step: &j.Steps[i], occurrence: o, number: i, left: j.Steps[i].Count}
		for n := range s.Count {
			s.tasks = append(s.tasks, &task{id: TaskID{j.ID, k, i, n}, step: s, done: isEnded})
		}
		if isEnded {
			s.left = 0
		} else {
			s.waiting = slices.Clone(s.tasks)
		}
		o.steps = append(o.steps, s)
	}
	o.openSteps()
	j.occurrences = append(j.occurrences, o)
	return o
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job    *job
	number int
	steps  []*step
}

// openSteps opens each step whose earlier steps are done.
func (o *occurrence) openSteps() {
	for _, s := range o.steps {
		s.open = !slices.ContainsFunc(s.After, func(a int) bool { return o.steps[a].left > 0 })
	}
}

// workLeft is the estimated work of the tasks that aren't done.
func (o *occurrence) workLeft() time.Duration {
	var sum time.Duration
	for _, s := range o.steps {
		sum += time.Duration(s.left) * s.estimate()
	}
	return sum
}

func (o *occurrence) isDone() bool {
	return !slices.ContainsFunc(o.steps, func(s *step) bool { return s.left > 0 })
}

// step is a step of an occurrence.
type step struct {
	*Step
	occurrence *occurrence
	number     int
	tasks      []*task
	// left counts the tasks that aren't done.
	left int
	// measured is the work of a task in seconds, as learned from those that run,
	// and measurements how often it was.
	measured     float64
	measurements int
	// open is set when every step in After is done.
	open bool
	// waiting has the tasks without a run, in the order of their numbers; some
	// may have been done since.
	waiting []*task
}

// task is one task of a step.
type task struct {
	id   TaskID
	step *step
	done bool
	// attempt is the highest attempt used by this owner.
	attempt    int
	failures   []int
	checkpoint string
	// runs has the runs that may be on a worker: at most one, two where the
	// step is speculative.
	runs []*run
	// avoid has the workers on which the task failed or stood still.
	avoid []string
	// retryAt is when the task may start again after a failure.
	retryAt time.Time
	// readyAt is when the task was first seen waiting in an open step.
	readyAt time.Time
	// away is set while another shard has the task; departure says which one got
	// it last, and move counts the handovers.
	away      bool
	departure *Departure
	move      int
	// floor is the highest attempt that an earlier shard may have used, and
	// arrivedAt is when the task came from it.
	floor     int
	arrivedAt time.Time
	// kept is the worker that was last kept for the task, which may be over, and
	// keptAt is when one was first kept since it waits here.
	kept   *Worker
	keptAt time.Time
}

// run is a run of a task that may be on a worker.
type run struct {
	id     RunID
	task   *task
	worker *Worker
	state  interpreter.State
	// began is when the start was sent, or when the run was first seen.
	began time.Time
	// stopConfirmed is when the worker confirmed the stop.
	stopConfirmed time.Time
	// stopSent is when the stop was last sent.
	stopSent time.Time
	// percent is the progress last seen, at movedAt; a lasting task at work has
	// 100.
	percent int
	movedAt time.Time
	// rate is the progress in percent per second at rateAt, over the interval
	// from measuredAt, when it was at measuredPercent.
	rate            float64
	rateAt          time.Time
	measuredAt      time.Time
	measuredPercent int
	// pace is the share at which the worker was told to let the run work, and
	// wanted the share that it should have.
	pace, wanted int
	paceAt       time.Time
	// slowedAt is when the run was slowed after it had its whole share.
	slowedAt time.Time
	// tail is the last tail latency of a lasting task over its target, as a
	// logarithm, seen at tailAt; since is when it went over the target.
	tail   float64
	tailAt time.Time
	since  time.Time
	// cpu is what a task that isn't lasting used last, in thousandths.
	cpu int64
}

// rateInterval is the least time over which the rate of a run is measured.
const rateInterval = 600 * time.Millisecond

// measure brings the rate of a run up to date. An interval in which the pace
// has changed says nothing.
func (r *run) measure(now time.Time) {
	if r.measuredAt.IsZero() || now.Sub(r.measuredAt) < rateInterval {
		if r.measuredAt.IsZero() {
			r.measuredAt, r.measuredPercent = now, r.percent
		}
		return
	}
	if r.paceAt.Before(r.measuredAt) && r.pace == 100 {
		r.rate = float64(r.percent-r.measuredPercent) / now.Sub(r.measuredAt).Seconds()
		r.rateAt = now
		r.learnEstimate()
	}
	r.measuredAt, r.measuredPercent = now, r.percent
}

// share is the part of the processors that it asks for which the run has.
func (r *run) share() float64 {
	if r.task.step.Need.CPU == 0 {
		return 1
	}
	return min(1, float64(r.cpu)/float64(r.task.step.Need.CPU))
}

// needCPU is what the run is expected to use at its pace, in cores.
func (r *run) needCPU() float64 {
	return float64(r.task.step.Need.CPU) / 1000 * float64(r.pace) / 100
}

// Worker is a machine that runs tasks.
type Worker struct {
	// ID names one life of the worker's process, with Born where an id is used
	// again.
	ID       string         `cbor:"id"`
	Born     int64          `cbor:"born"`
	Address  netip.AddrPort `cbor:"address"`
	Service  string         `cbor:"service"`
	Domain   string         `cbor:"domain"`
	Rack     string         `cbor:"rack"`
	Labels   []string       `cbor:"labels"`
	Capacity Resources      `cbor:"capacity"`
	// Draining is set when the worker leaves; Remaining is then how long it
	// stays at least.
	Draining  bool          `cbor:"-"`
	Remaining time.Duration `cbor:"-"`

	// listed is set while discovery has the worker, and missingSince is when it
	// was first missing.
	listed       bool
	missingSince time.Time
	// fenced is set when the worker has answered a call of this owner.
	fenced bool
	// suspected is set until the worker has answered this owner, if an earlier
	// one may have started tasks there.
	suspected bool
	// recorded is set when the store has the worker in the list of those that
	// may run tasks.
	recorded bool
	// free is the capacity that no run has reserved.
	free Resources
	runs map[RunID]*run
	// order has the same runs in the order in which they came, so that decisions
	// don't depend on the order of a map.
	order []*run
	// reserved is what the worker is kept free for.
	reserved reservation
	// hasStrangers is set when the worker lists runs of unknown jobs; what they
	// take is not known, so nothing starts there.
	hasStrangers bool
	// fillLoad is the processors that filling tasks ask for, in thousandths.
	fillLoad int64
	// touched is set when the runs or their tails have changed since the pace
	// was last set, and victims has the lasting tasks with a target until then.
	touched bool
	// observedAt is when the tails were last learned from.
	observedAt time.Time
	victims    []victim
	// cursor is the number of the last end that was read, and acknowledged the
	// last whose effect is committed.
	cursor, acknowledged uint64
	unacknowledged       []ending
	// leaseEnd is when the last lease given has lapsed for certain.
	leaseEnd time.Time
	// lookedAt is when the worker last answered a look.
	lookedAt time.Time
	// answered is when the worker answered last, and failedSince when calls
	// began to go unanswered.
	answered    time.Time
	failedSince time.Time
	drainedAt   time.Time
	health
}

// ending is an end that was read and whose effect may not be committed.
type ending struct {
	number  uint64
	job     *job
	version uint64
}

func (w *Worker) isGone(now time.Time) bool {
	return !w.listed && !w.missingSince.IsZero() && now.Sub(w.missingSince) > missingLimit
}

// lostAfter is how long a worker without runs leaves calls unanswered before it
// is taken off the stored list, until it answers again.
const lostAfter = time.Second

// mayHaveRuns reports whether the worker has runs or may get some. One that
// leaves, or is lost and its runs with it, gets none, so it need not be known to
// a successor, which would have to wait for its answer.
func (w *Worker) mayHaveRuns(now time.Time) bool {
	switch {
	case len(w.runs) > 0 || w.suspected || !w.fenced:
		return true
	case !w.failedSince.IsZero() && now.Sub(w.failedSince) > lostAfter:
		return false
	default:
		return !w.Draining
	}
}

// take reserves the capacity of a run.
func (w *Worker) take(r *run) {
	w.runs[r.id] = r
	w.order = append(w.order, r)
	w.free = w.free.minus(r.task.step.reserved())
	if r.task.step.Fills {
		w.fillLoad += r.task.step.Need.CPU
	}
	w.touch()
}

// giveBack ends the reservation of a run.
func (w *Worker) giveBack(r *run) {
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.order = slices.DeleteFunc(w.order, func(o *run) bool { return o == r })
	w.free = w.free.plus(r.task.step.reserved())
	if r.task.step.Fills {
		w.fillLoad -= r.task.step.Need.CPU
	}
	w.touch()
}

// touch notes that the tails on the worker have to be looked at again.
func (w *Worker) touch() { w.touched, w.victims = true, nil }

// load is the share of the processors that runs ask for.
func (w *Worker) load() float64 {
	if w.Capacity.CPU == 0 {
		return math.Inf(1)
	}
	return float64(w.Capacity.CPU-w.free.CPU+w.fillLoad) / float64(w.Capacity.CPU)
}
