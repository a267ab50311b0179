package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	// The requests would occupy a share of all slots that oscillates around
	// baseLoad by loadSwing, with a period of loadPeriod seconds, if every
	// runner ran alone. Services are sized so that the peak of 60% leaves
	// capacity for the loss of a domain.
	baseLoad   = 0.45
	loadSwing  = 0.15
	loadPeriod = 600
	// batchDemand is the rate of submitted batch work relative to the cores that
	// the services leave idle on average. It exceeds what can be completed, with
	// or without interference.
	batchDemand = 1.2
	// waveShare is the share of a domain's cores that the tasks of a wave
	// declare in total.
	waveShare = 0.3
	// The replicas of the services are declared in rolloutSteps steps, one every
	// rolloutInterval seconds, while batch jobs already run, as in the rollout
	// of a version.
	rolloutSteps    = 4
	rolloutInterval = 45
	// brokenJobInterval is the time between jobs that always fail, in seconds.
	brokenJobInterval = 240
	// gracePeriod is the time between taking a domain out of service and
	// stopping its machines, in seconds.
	gracePeriod = 60
)

// Options configures a run.
type Options struct {
	Workload declarer.Workload
	Seed     uint64
	Variant  Variant
	// WarmUp is simulated before the measurement, and Length is the simulated
	// time that is measured.
	WarmUp, Length time.Duration
}

// Result holds the measurements of a run.
type Result struct {
	User    string
	Variant string
	Seed    uint64
	// P50 and P99 are percentiles of the response time.
	P50 time.Duration
	P99 time.Duration
	// Work is the CPU time in seconds, as used when running alone, of the batch
	// tasks that completed. WorkDuringOutage is the part of it that completed
	// during the outage of a domain.
	Work, WorkDuringOutage float64
	// WorkByKind and SubmittedByKind are the completed and the submitted work by
	// kind.
	WorkByKind      map[string]float64
	SubmittedByKind map[string]float64
	// Requests counts the requests, and Timeouts those that timed out.
	Requests, Timeouts int
	// Evictions counts attempts stopped without a checkpoint, Checkpoints
	// requested checkpoints, and Throttles reductions of an attempt's share.
	Evictions, Checkpoints, Throttles int
	// Killed counts attempts that were ended because a machine ran out of
	// memory.
	Killed int
	// Overcommits counts starts that exceed a machine's capacity; it must be 0.
	Overcommits int
}

// LeastServed returns the kind of batch jobs with the smallest share of its
// submitted work completed, and that share.
func (r Result) LeastServed() (string, float64) {
	kind, least := "", math.Inf(1)
	for k, submitted := range r.SubmittedByKind {
		if k != brokenKind && submitted > 0 && r.WorkByKind[k]/submitted < least {
			kind, least = k, r.WorkByKind[k]/submitted
		}
	}
	return kind, least
}

// run is the state of an experiment. Arrivals and faults have random number
// generators of their own, so that they are the same under every policy.
type run struct {
	*fleet
	options  Options
	arrivals *rand.Rand
	config   declarer.Config
	replicas []int
	// begin and end are the first second of the measurement and the end of the
	// run.
	begin int
	end   int
	// batchCoresPerWorker is the batch work that is submitted per worker, in CPU
	// seconds per second.
	batchCoresPerWorker float64
	jobs                int
	faults              []fault
}

// Run executes one experiment.
func Run(o Options) (Result, error) {
	if len(o.Workload.Jobs) == 0 || len(o.Workload.Services) == 0 {
		return Result{}, errors.New("workload: want one or more services and jobs")
	}
	seeded := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(o.Seed, stream)) }
	f := &fleet{
		truth: newGroundTruth(o.Workload, seeded(1)), rand: seeded(2), seed: o.Seed, checkpoints: map[string]float64{},
		declared: map[string]declarer.Resources{}, latency: newLatency(),
	}
	f.result = Result{User: o.Workload.User, Variant: o.Variant.Name, Seed: o.Seed, WorkByKind: map[string]float64{}, SubmittedByKind: map[string]float64{}}
	r := &run{fleet: f, options: o, arrivals: seeded(3), begin: int(o.WarmUp.Seconds()), end: int((o.WarmUp + o.Length).Seconds())}
	if err := r.configure(); err != nil {
		return Result{}, err
	}
	r.planFaults(seeded(4))
	driftRand := seeded(5)
	for now := range r.end {
		if now > 0 && now%(r.end/3) == 0 {
			f.truth.driftCoefficients(driftRand)
		}
		r.runSecond(now)
	}
	f.result.P50, f.result.P99, f.result.Killed = f.latency.percentile(50), f.latency.percentile(99), f.killed
	return f.result, nil
}

// configure creates the domains and their configuration, and computes the rate
// of batch work.
func (r *run) configure() error {
	w := r.options.Workload
	charts, err := scheduler.LoadCharts()
	if err != nil {
		return err
	}
	r.config = declarer.Config{Preset: declarer.OrdinaryDay, Services: w.Services, Watchers: w.Watchers}
	// Every team gets a quota as large as the whole fleet. With the quotas of the
	// workload files a third of the CPU stays idle regardless of the demand, and
	// the runs then compare how reservations count against quotas rather than
	// placement.
	for _, t := range w.Teams {
		t.Quota = w.Platform.Worker.Scale(int64(countWorkers(w)))
		r.config.Teams = append(r.config.Teams, t)
	}
	serviceCores := 0.0
	for _, d := range w.Platform.Domains {
		o := scheduler.Options{Shard: d.Name, Domain: d.Name, Charts: charts}
		r.options.Variant.Configure(&o, r.options.Seed)
		r.domains = append(r.domains, newDomain(d.Name, d.Workers, w, scheduler.New(o)))
		r.config.Domains = append(r.config.Domains, d.Name)
	}
	for _, s := range w.Services {
		r.declared[s.Name] = s.Resources
		r.replicas = append(r.replicas, s.Replicas)
		serviceCores += float64(s.Replicas) * float64(s.Resources.MilliCPU) / 1000 * r.truth.cpuFactor[r.truth.index[s.Name]] * (0.1 + 0.9*baseLoad)
	}
	for _, s := range w.Watchers {
		r.declared[s.Name] = s.Resources
	}
	r.batchCoresPerWorker = batchDemand * (float64(w.Platform.Worker.MilliCPU)/1000 - serviceCores/float64(countWorkers(w)))
	return nil
}

func countWorkers(w declarer.Workload) int {
	n := 0
	for _, d := range w.Platform.Domains {
		n += d.Workers
	}
	return n
}

// runSecond simulates one second of every domain.
func (r *run) runSecond(now int) {
	r.rollOut(now)
	r.applyFaults(now)
	runners := 0
	for _, d := range r.domains {
		runners += d.countRunners()
	}
	total := 0
	for _, n := range r.replicas {
		total += n
	}
	load := baseLoad + loadSwing*math.Sin(2*math.Pi*float64(now)/loadPeriod)
	// During the rollout the requests grow in proportion to the replicas.
	share := min(1, float64(now/rolloutInterval+1)/rolloutSteps)
	if runners > 0 {
		r.requestRate = load * slots / serviceTime * share * float64(total) / float64(runners)
	}
	for _, d := range r.domains {
		r.submitArrivals(now, d)
		config := r.config
		d.runSecond(r.fleet, now, &config, now >= r.begin)
	}
}

// rollOut declares the next part of the replicas when a step of the rollout is
// due.
func (r *run) rollOut(now int) {
	if now%rolloutInterval != 0 || now/rolloutInterval >= rolloutSteps {
		return
	}
	services := make([]declarer.Service, 0, len(r.replicas))
	for i, s := range r.options.Workload.Services {
		s.Replicas = r.replicas[i] * (now/rolloutInterval + 1) / rolloutSteps
		services = append(services, s)
	}
	r.config.Services = services
	r.config.Revision++
}

// submitArrivals submits the jobs that arrive at a domain in one second. While
// the domain is out of service, its jobs go to the next domain.
func (r *run) submitArrivals(now int, d *domain) {
	to := d
	for i, o := range r.domains {
		if o == d && r.config.IsOut(d.name) {
			to = r.domains[(i+1)%len(r.domains)]
		}
	}
	capacity := r.batchCoresPerWorker * float64(len(d.machines))
	templates := r.options.Workload.Jobs
	// Each template contributes an equal part of the submitted work.
	for _, j := range templates {
		k := r.truth.index[j.Kind]
		work := float64(j.Tasks) * float64(j.Resources.MilliCPU) / 1000 * r.truth.cpuFactor[k] * j.RunTime.Seconds() * runTimeScale * r.truth.runTimeFactor[k]
		rate := capacity / float64(len(templates)) / work
		for at := r.arrivals.ExpFloat64() / rate; at < 1; at += r.arrivals.ExpFloat64() / rate {
			r.submitJob(now, to, j)
		}
	}
	if now%brokenJobInterval == brokenJobInterval/2 {
		j := templates[0]
		j.Kind, j.Tasks = brokenKind, 4
		r.submitJob(now, to, j)
	}
}

func (r *run) submitJob(now int, d *domain, j declarer.BatchJob) {
	r.jobs++
	j.ID = fmt.Sprintf("%s-%d", j.Kind, r.jobs)
	j.RunTime *= runTimeScale
	j.Urgent = false
	r.declared[j.ID] = j.Resources
	if now >= r.begin {
		k := r.truth.index[j.Kind]
		for i := range j.Tasks {
			t := r.truth.task(fmt.Sprintf("job/%s/%d", j.ID, i), k, j.Resources, j.RunTime, r.seed)
			r.result.SubmittedByKind[j.Kind] += t.soloTime * t.cores
		}
	}
	d.handleEvent(r.fleet, now, scheduler.Event{Submitted: &scheduler.JobSubmitted{Job: j}})
}
