// Package planner decides what the workers of a shard run: which task starts
// next and where, which runs are stopped, duplicated or slowed down, and what
// the state of each job is. It does no I/O and reads no clock. A Planner must
// be used by one goroutine at a time.
//
// The workers hold the authoritative list of runs, because a start is sent
// before anything is stored. A new owner therefore first polls every worker
// that its predecessor may have used, and until a worker has answered it starts
// no task that may be running there.
package planner

import (
	_ "embed"
	"maps"
	"math"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/interpreter"
)

const (
	// missingLimit is how long a worker may be missing from discovery before it
	// is treated as gone. Entries that expired during an outage of the store
	// return within 2 s of its recovery.
	missingLimit = 2500 * time.Millisecond
	// retryDelay is the least time between two runs of a task that failed.
	retryDelay = 100 * time.Millisecond
	// acknowledgeWait limits how long a poll is deferred until the ends already
	// read are committed.
	acknowledgeWait = 400 * time.Millisecond
	// AcknowledgeWindow is how long after the answer to a poll ends may be
	// acknowledged. In a shorter time no process ends and a new one runs a task
	// under its id; such a process would forget ends of its own that were never
	// read.
	AcknowledgeWindow = 150 * time.Millisecond
	// attemptsPerEpoch separates the attempt numbers of successive owners, so
	// that the attempts of a successor exceed any that its predecessor may have
	// sent.
	attemptsPerEpoch = 1000
)

//go:embed charts/run.yaml
var runChart []byte

//go:embed charts/process.yaml
var processChart []byte

// Config is the part of the operators' configuration that the planner uses.
type Config struct {
	// Queues maps the names of queues to their definitions.
	Queues map[string]Queue
	// Organisations maps the names of organisations to their definitions; empty if the
	// deployment has none.
	Organisations map[string]Organisation
}

// Options configures a Planner.
type Options struct {
	// Epoch is the number of this ownership; each new owner of the shard has a
	// higher one.
	Epoch int64
	// MaxFenceOffset is the highest FenceOffset of a worker.
	MaxFenceOffset int64
	// Horizon is how long this owner continues to start tasks without proof
	// that it still owns the shard.
	Horizon time.Duration
	// ViolationLimit is how long a long-running task may exceed its latency
	// target because of other tasks on its worker.
	ViolationLimit time.Duration
	// Retention is how long the state of a job in a final state stays readable.
	Retention time.Duration
	// PredecessorLeaseEnd is when the last call and the last lease of the
	// predecessor have expired on every worker.
	PredecessorLeaseEnd time.Time
	// OwnerLease is the longest time from now for which an owner's own leases may last. A
	// successor counts it from its load.
	OwnerLease time.Duration
	// LongestLease is the longest time for which a process keeps a lease from the arrival
	// of a call that was meant for an earlier process.
	LongestLease time.Duration
	// WallTime converts a time on the planner's clock to wall-clock time.
	WallTime func(time.Time) time.Time
	// HasRoom reports whether another shard has room for a long-running task; nil if
	// there is only one shard.
	HasRoom func(need Resources) bool
	// Shards is the number of shards of the deployment, 1 if zero. Each gets a random
	// part of the jobs.
	Shards int
	// OnJobMetered, if not nil, receives the organisation of each job that is new to the
	// shard, and whether the job is within the organisation's rate and share.
	OnJobMetered func(organisation string, isWithin bool)
	// DisablePacking spreads long-running tasks with a latency target over all workers, and
	// DisableLastTasksFirst treats the last tasks of a step like the others, so that the
	// decisions can be compared.
	DisablePacking, DisableLastTasksFirst bool
	// IsHeld reports whether the progress of a job is held back, so that Changes leaves it
	// out; nil for none.
	IsHeld func(job string) bool
	// OnDecision, if not nil, receives each decision.
	OnDecision func(Decision)
}

// Decision describes a decision for the log.
type Decision struct {
	// Event names the decision, such as "start" or "worker_sick".
	Event  string
	Job    string
	Run    string
	Worker string
	// Detail describes the inputs of the decision.
	Detail string
}

// Planner holds the state of a shard. All times are on one clock, which also
// advances while the process is suspended.
type Planner struct {
	options Options
	// chart is the life cycle of a run, and processChart that of a worker's
	// process.
	chart, processChart *interpreter.Chart
	config              Config
	jobs                map[string]*job
	// allJobs holds every job in order of arrival.
	allJobs    []*job
	activeJobs []*job
	workers    map[string]*Worker
	// sortedWorkers holds the workers sorted by id.
	sortedWorkers []*Worker
	// discovered is the list of workers from discovery as of its last change, and
	// forgotten holds the workers, by id, that were forgotten since it was applied.
	discovered       []Worker
	forgotten        map[string]*Worker
	evacuatedDomains map[string]bool
	// answeredDomains holds when a worker of each failure domain last answered a call, and
	// silentDomains has those that are silent as of the last plan.
	answeredDomains map[string]time.Time
	silentDomains   map[string]bool
	// endedProcesses holds the processes that have ended and that the list may
	// still show.
	endedProcesses map[processID]bool
	// unverified holds the ids of the unverified workers, on which an earlier
	// owner may have started tasks.
	unverified map[string]bool
	// fences holds the fence of each worker id.
	fences map[string]fence
	// provenAt is the latest time at which the store has confirmed the ownership,
	// as of the last plan.
	provenAt time.Time
	// jobsReadAt is the time before which every job that is not known was not stored.
	jobsReadAt time.Time
	// hasUnknownWorkers is set while an earlier owner may have started tasks on
	// workers that this owner can't identify. Nothing is recorded meanwhile.
	hasUnknownWorkers bool
	// isRecordStale is set when the stored list may include a worker that need not be
	// stored, or is not known because a write of it has had no answer.
	isRecordStale bool
	// hadPredecessor is set when the shard had an earlier owner whose workers
	// were added.
	hadPredecessor bool
	// candidateCache holds the workers on which tasks may start, by service and
	// label. Plan clears it.
	candidateCache map[candidateKey][]*Worker
	// busyServices caches by name whether a service is busy. Plan clears it.
	busyServices map[string]bool
	// unplaceable holds, by place key, the smallest resource need for which the
	// present plan has found no worker. Plan clears it.
	unplaceable map[placeKey]Resources
	// unknownRuns holds listed runs whose job is not known yet, or whose task has not been
	// in this shard yet.
	unknownRuns  map[RunID]unknownRun
	interference *tailModels
	headroom     headroom
	caps         capLedger
	fairness     fairness
	// disconnections holds when workers with runs disconnected lately.
	disconnections []disconnection
	// movedOutAt is when a task on a draining worker was last stopped in order to be
	// handed over.
	movedOutAt time.Time
	// startLimit is how many starts a plan may decide, and startsLeft how many the
	// present one still may.
	startLimit, startsLeft int
	// lateTasks holds the tasks with starts that may still be carried out.
	lateTasks []*task
	// deadlyTasks holds the tasks to give up.
	deadlyTasks []*task
	commands    []Command
}

type unknownRun struct {
	worker *Worker
	seen   time.Time
}

// CommandKind is the kind of a Command.
type CommandKind int

// The kinds of commands.
const (
	StartRun CommandKind = iota
	StopRun
	PaceRun
)

// Command is an instruction to a worker.
type Command struct {
	Kind     CommandKind
	Run      RunID
	WorkerID string
	// Payload and Checkpoint are set for StartRun.
	Payload    string
	Checkpoint string
	// Percent is set for PaceRun.
	Percent int
}

// New returns a Planner without jobs or workers.
func New(o Options) (*Planner, error) {
	c, err := interpreter.Load("run", runChart)
	if err != nil {
		return nil, err
	}
	processes, err := interpreter.Load("process", processChart)
	if err != nil {
		return nil, err
	}
	return &Planner{
		options: o, chart: c, processChart: processes, endedProcesses: map[processID]bool{}, fences: map[string]fence{}, jobs: map[string]*job{}, workers: map[string]*Worker{}, forgotten: map[string]*Worker{}, evacuatedDomains: map[string]bool{}, answeredDomains: map[string]time.Time{},
		unverified: map[string]bool{}, unknownRuns: map[RunID]unknownRun{}, interference: newTailModels(), caps: newCapLedger(),
		startLimit:     math.MaxInt,
		candidateCache: map[candidateKey][]*Worker{}, unplaceable: map[placeKey]Resources{}, busyServices: map[string]bool{},
	}, nil
}

// SetConfig applies a new configuration. A queue that the configuration no
// longer defines keeps its last definition for the jobs accepted under it.
func (p *Planner) SetConfig(c Config) {
	p.resetFairness(c.Organisations)
	p.config = c
	p.setCaps(c.Organisations)
	for _, j := range p.activeJobs {
		if q, ok := c.Queues[j.Queue.Name]; ok {
			j.Queue, j.cachedObjective = q, 0
		}
	}
}

// LimitStarts limits how many starts each of the following plans decides, but for those of
// a gang, which start together. What can't be sent is better decided later.
func (p *Planner) LimitStarts(n int) { p.startLimit = n }

// SetEvacuatedDomains sets the failure domains in which no task may start.
func (p *Planner) SetEvacuatedDomains(domains []string) {
	clear(p.evacuatedDomains)
	for _, d := range domains {
		p.evacuatedDomains[d] = true
	}
}

// AddJob adds an accepted job with its stored progress. If the job is already
// known, AddJob only takes over the tasks that have arrived since from other
// shards.
func (p *Planner) AddJob(now time.Time, d Job, r Progress) {
	if j := p.jobs[d.ID]; j != nil {
		p.acceptArrivals(now, j, d.Arrived)
		p.adoptUnknownRuns(now, j)
		return
	}
	if q, ok := p.config.Queues[d.Queue.Name]; ok {
		d.Queue = q
	}
	j := &job{Job: d, byNumber: map[int]*occurrence{}, wasLoaded: p.jobsReadAt.IsZero(), mayPredateOwner: p.hadPredecessor}
	j.mayHaveUnverifiedRuns = p.hasUnverifiedWorkers(j)
	// Clocks of instances differ, so the arrival is clamped to the present.
	age := max(0, p.options.WallTime(now).Sub(d.Received))
	j.arrived = now.Add(-age)
	if d.Times == 0 {
		j.occurrence(0)
		if d.IsPart {
			j.markAllElsewhere()
		}
	}
	p.restore(now, j, r)
	p.acceptArrivals(now, j, d.Arrived)
	j.visibleState = j.state
	p.jobs[d.ID] = j
	p.allJobs = append(p.allJobs, j)
	p.fairness.unmetered = append(p.fairness.unmetered, j)
	if j.state.IsFinal() {
		j.finalAt = now
		return
	}
	p.activeJobs = append(p.activeJobs, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.isDeadly() {
					p.deadlyTasks = append(p.deadlyTasks, t)
				}
			}
		}
	}
	p.applyUnknownEnds(now, j)
	p.adoptUnknownRuns(now, j)
}

// JobsRead records that every job that was stored before the given time has been added.
// A run of any other job is stopped, and its end acknowledged, if a worker listed it
// before that time.
func (p *Planner) JobsRead(at time.Time) {
	if at.After(p.jobsReadAt) {
		p.jobsReadAt = at
	}
}

// Cancel cancels a job and reports whether the job is known. The cancellation
// takes effect for clients once Committed has been called with its change.
func (p *Planner) Cancel(now time.Time, id string) bool {
	j := p.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.IsFinal() {
		p.finishJob(now, j, Cancelled)
	}
	return true
}

// GiveUp ends a job as failed whose progress can't be stored.
func (p *Planner) GiveUp(now time.Time, id, reason string) {
	if j := p.jobs[id]; j != nil && !j.state.IsFinal() {
		p.reportJob("given_up", j, reason)
		p.finishJob(now, j, Failed)
	}
}

// finishJob puts a job into a final state. The next Plan stops its runs.
func (p *Planner) finishJob(now time.Time, j *job, s State) {
	j.state, j.finalAt = s, now
	j.markChanged()
	p.reportJob("job_"+string(s), j, now.Sub(j.arrived).String())
	p.activeJobs = slices.DeleteFunc(p.activeJobs, func(o *job) bool { return o == j })
}

// JobState returns the state that clients may see, and whether the job is
// known.
func (p *Planner) JobState(id string) (State, bool) {
	j := p.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.visibleState.IsFinal():
		return j.visibleState, true
	case j.hasStarted:
		return Running, true
	default:
		return Queued, true
	}
}

// Pending returns the number of accepted jobs by queue of which no task has
// started.
func (p *Planner) Pending() map[string]int {
	count := map[string]int{}
	for _, j := range p.activeJobs {
		if !j.hasStarted {
			count[j.Queue.Name]++
		}
	}
	return count
}

// Change is the progress of a job that is to be committed.
type Change struct {
	Job      string
	Version  uint64
	Progress Progress
	// Cancels holds the shards that have tasks of the job and must be told to
	// cancel them.
	Cancels []string
}

// Changes returns up to limit jobs with uncommitted progress.
func (p *Planner) Changes(limit int) []Change {
	var list []Change
	for _, j := range p.allJobs {
		if j.version > j.committed && (p.options.IsHeld == nil || !p.options.IsHeld(j.ID)) {
			change := Change{Job: j.ID, Version: j.version, Progress: j.progress()}
			if j.state.IsFinal() {
				change.Cancels = j.handoverShards()
			}
			list = append(list, change)
			if len(list) == limit {
				break
			}
		}
	}
	return list
}

// Committed records that the changes are in the store.
func (p *Planner) Committed(list []Change) {
	for _, c := range list {
		if j := p.jobs[c.Job]; j != nil {
			j.committed = max(j.committed, c.Version)
			j.visibleState = c.Progress.State
		}
	}
	for _, w := range p.sortedWorkers {
		w.updateAcknowledged(p.jobsReadAt)
	}
}

// Expired removes the jobs whose final state need not be kept any longer, and
// returns them.
func (p *Planner) Expired(now time.Time) []Job {
	var list []Job
	p.allJobs = slices.DeleteFunc(p.allJobs, func(j *job) bool {
		isExpired := j.state.IsFinal() && j.committed == j.version && now.Sub(j.finalAt) > p.options.Retention
		if isExpired {
			list = append(list, j.Job)
			delete(p.jobs, j.ID)
		}
		return isExpired
	})
	return list
}

// Contact holds what a caller needs to poll a worker.
type Contact struct {
	Worker
	// Acknowledge is Committed, or zero if the poll must not acknowledge any end. A
	// poll that is sent after AcknowledgeUntil must not acknowledge it.
	Acknowledge      uint64
	AcknowledgeUntil time.Time
	// Committed is the number of the last end whose effect is committed, if no
	// answered poll has acknowledged it, or zero. Later than AcknowledgeUntil, a
	// poll may acknowledge it if the process has just answered another one.
	Committed uint64
	// IsFailing is set while calls go unanswered. A poll then grants no lease,
	// so that the leases granted before expire.
	IsFailing bool
	// IsContested is set while another process may have the worker's address. A
	// poll that is answered immediately tells sooner.
	IsContested bool
	// MayHoldUnknownLease is set until the process rejects the calls that were meant for
	// an earlier one of its id. Each may have granted it the longest lease.
	MayHoldUnknownLease bool
	// NeedsPoll is set when the worker has runs, also of unknown jobs, has ends
	// to acknowledge, is contested, has not answered this owner yet, is listed
	// and did not answer the last call, or has withdrawn starts, unless calls that
	// were meant for an earlier process may still reach it with the same fence.
	NeedsPoll bool
}

// Contacts returns a Contact for every worker.
func (p *Planner) Contacts(now time.Time) []Contact {
	list := make([]Contact, 0, len(p.workers))
	for _, w := range p.sortedWorkers {
		needsPoll := len(w.runs) > 0 || w.hasUnknownRuns || !w.isProved() || w.delivered < w.cursor
		// A worker with unacknowledged ends answers a poll immediately, so the
		// poll is deferred until the ends already read are committed.
		if len(w.unacknowledgedEnds) > 0 && !w.hasOverdueEnds && now.Sub(w.polledAt) < acknowledgeWait {
			needsPoll = false
		}
		isSilent := w.isListed && !w.failedSince.IsZero()
		needsPoll = needsPoll || w.isContested || isSilent || len(w.withdrawnStarts) > 0
		contact := Contact{
			Worker: *w, IsFailing: !w.failedSince.IsZero(), IsContested: w.isContested, NeedsPoll: needsPoll && !now.Before(w.unusedUntil),
			MayHoldUnknownLease: !w.isProved(),
		}
		if w.acknowledged > w.delivered {
			contact.Committed = w.acknowledged
			if until := w.listedAt.Add(AcknowledgeWindow); !now.After(until) {
				contact.Acknowledge, contact.AcknowledgeUntil = w.acknowledged, until
			}
		}
		list = append(list, contact)
	}
	return list
}

// Worker returns a copy of the worker with the given id.
func (p *Planner) Worker(id string) (Worker, bool) {
	w := p.workers[id]
	if w == nil {
		return Worker{}, false
	}
	return *w, true
}

// Unverified returns the ids of the workers of an earlier owner that have not answered
// this owner, sorted.
func (p *Planner) Unverified() []string { return slices.Sorted(maps.Keys(p.unverified)) }
