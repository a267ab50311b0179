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
	// baseLoad, loadSwing and loadPeriod (seconds) give the share of all
	// slots that the requests would need if every runner ran alone. Services
	// are sized so that their peak of 60% leaves room for a lost domain.
	baseLoad   = 0.45
	loadSwing  = 0.15
	loadPeriod = 600
	// demand is the batch work submitted, relative to the processors that the
	// services' mean use leaves free: more than fits, with or without
	// interference.
	demand = 1.2
	// waveShare is the part of a domain's processors that a wave's declared
	// size adds up to.
	waveShare = 0.3
	// rolloutSteps and rolloutEvery (seconds): the replicas are declared in
	// steps while batch runs already, as a version is rolled out.
	rolloutSteps = 4
	rolloutEvery = 45
	// brokenEvery is the seconds between jobs that can never run.
	brokenEvery = 240
	// graceTime is between a domain's being taken out and the loss of its
	// machines, in seconds.
	graceTime = 60
)

// Options describe one run.
type Options struct {
	Workload declarer.Workload
	Seed     uint64
	Variant  Variant
	// WarmUp is not measured; Length is measured after it.
	WarmUp, Length time.Duration
}

// Result is what one run measured.
type Result struct {
	User    string
	Variant string
	Seed    uint64
	P50     time.Duration
	P99     time.Duration
	// Work is the processor seconds, as used when running alone, of the batch
	// tasks that were completed; WorkAway is the part that was completed while
	// a domain left and returned.
	Work, WorkAway     float64
	WorkOf             map[string]float64
	SubmittedOf        map[string]float64
	Requests, Timeouts int
	// Evictions are attempts stopped without a checkpoint, Checkpoints those
	// with one, Throttles the times that an attempt's share was lowered.
	Evictions, Checkpoints, Throttles int
	// Killed counts attempts ended by a machine without memory.
	Killed int
	// Overcommits counts starts above a machine's capacity; it must be 0.
	Overcommits int
}

// LeastServed returns the kind of batch with the smallest part of its
// submitted work done, and that part.
func (r Result) LeastServed() (string, float64) {
	kind, least := "", math.Inf(1)
	for k, submitted := range r.SubmittedOf {
		if k != brokenKind && submitted > 0 && r.WorkOf[k]/submitted < least {
			kind, least = k, r.WorkOf[k]/submitted
		}
	}
	return kind, least
}

// run is one experiment in progress. Arrivals and faults have their own
// random numbers, so that they are the same under every policy.
type run struct {
	*fleet
	options  Options
	arrivals *rand.Rand
	config   declarer.Config
	replicas []int
	begin    int
	end      int
	// perSecond is the demand in processor seconds for each domain's worker.
	perWorker float64
	jobs      int
	faults    []fault
}

// Run executes one experiment.
func Run(o Options) (Result, error) {
	if len(o.Workload.Jobs) == 0 || len(o.Workload.Services) == 0 {
		return Result{}, errors.New("workload: want one or more services and jobs")
	}
	seeded := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(o.Seed, stream)) }
	f := &fleet{
		truth: newTruth(o.Workload, seeded(1)), rand: seeded(2), seed: o.Seed, checkpoints: map[string]float64{},
		declared: map[string]declarer.Resources{}, latency: newLatency(),
	}
	f.result = Result{User: o.Workload.User, Variant: o.Variant.Name, Seed: o.Seed, WorkOf: map[string]float64{}, SubmittedOf: map[string]float64{}}
	r := &run{fleet: f, options: o, arrivals: seeded(3), begin: int(o.WarmUp.Seconds()), end: int((o.WarmUp + o.Length).Seconds())}
	if err := r.declare(); err != nil {
		return Result{}, err
	}
	r.planFaults(seeded(4))
	drift := seeded(5)
	for now := range r.end {
		if now > 0 && now%(r.end/3) == 0 {
			f.truth.drift(drift)
		}
		r.second(now)
	}
	f.result.P50, f.result.P99, f.result.Killed = f.latency.at(50), f.latency.at(99), f.killed
	return f.result, nil
}

func (r *run) declare() error {
	w := r.options.Workload
	charts, err := scheduler.LoadCharts()
	if err != nil {
		return err
	}
	r.config = declarer.Config{Preset: declarer.OrdinaryDay, Services: w.Services, Watchers: w.Watchers}
	// A quota as large as the whole fleet: with those of the workload files a
	// third of the processors stays idle whatever the demand, and the runs
	// compare how reservations count against quotas, not placement.
	for _, t := range w.Teams {
		t.Quota = w.Platform.Worker.Scale(int64(workersOf(w)))
		r.config.Teams = append(r.config.Teams, t)
	}
	busy := 0.0
	for _, d := range w.Platform.Domains {
		o := scheduler.Options{Shard: d.Name, Domain: d.Name, Charts: charts}
		r.options.Variant.Configure(&o, r.options.Seed)
		r.domains = append(r.domains, newDomain(d.Name, d.Workers, w, scheduler.New(o)))
		r.config.Domains = append(r.config.Domains, d.Name)
	}
	for _, s := range w.Services {
		r.declared[s.Name] = s.Resources
		r.replicas = append(r.replicas, s.Replicas)
		busy += float64(s.Replicas) * float64(s.Resources.MilliCPU) / 1000 * r.truth.processors[r.truth.index[s.Name]] * (0.1 + 0.9*baseLoad)
	}
	for _, s := range w.Watchers {
		r.declared[s.Name] = s.Resources
	}
	r.perWorker = demand * (float64(w.Platform.Worker.MilliCPU)/1000 - busy/float64(workersOf(w)))
	return nil
}

func workersOf(w declarer.Workload) int {
	n := 0
	for _, d := range w.Platform.Domains {
		n += d.Workers
	}
	return n
}

// second runs one second of every domain.
func (r *run) second(now int) {
	r.rollOut(now)
	r.applyFaults(now)
	runners := 0
	for _, d := range r.domains {
		runners += d.runners()
	}
	total := 0
	for _, n := range r.replicas {
		total += n
	}
	load := baseLoad + loadSwing*math.Sin(2*math.Pi*float64(now)/loadPeriod)
	// The rollout moves requests over with the replicas.
	share := min(1, float64(now/rolloutEvery+1)/rolloutSteps)
	if runners > 0 {
		r.rate = load * slots / serviceTime * share * float64(total) / float64(runners)
	}
	for _, d := range r.domains {
		r.submit(now, d)
		config := r.config
		d.second(r.fleet, now, &config, now >= r.begin)
	}
}

func (r *run) rollOut(now int) {
	if now%rolloutEvery != 0 || now/rolloutEvery >= rolloutSteps {
		return
	}
	services := make([]declarer.Service, 0, len(r.replicas))
	for i, s := range r.options.Workload.Services {
		s.Replicas = r.replicas[i] * (now/rolloutEvery + 1) / rolloutSteps
		services = append(services, s)
	}
	r.config.Services = services
	r.config.Revision++
}

// submit adds the jobs that arrive at a domain in one second. While a domain
// is out, its jobs go to the next one in service.
func (r *run) submit(now int, d *domain) {
	to := d
	for i, o := range r.domains {
		if o == d && r.config.IsOut(d.name) {
			to = r.domains[(i+1)%len(r.domains)]
		}
	}
	capacity := r.perWorker * float64(len(d.machines))
	templates := r.options.Workload.Jobs
	// Each template gets an equal part of the demanded work.
	for _, j := range templates {
		k := r.truth.index[j.Kind]
		work := float64(j.Tasks) * float64(j.Resources.MilliCPU) / 1000 * r.truth.processors[k] * j.RunTime.Seconds() * runTimeScale * r.truth.runTime[k]
		rate := capacity / float64(len(templates)) / work
		for at := r.arrivals.ExpFloat64() / rate; at < 1; at += r.arrivals.ExpFloat64() / rate {
			r.add(now, to, j)
		}
	}
	if now%brokenEvery == brokenEvery/2 {
		j := templates[0]
		j.Kind, j.Tasks = brokenKind, 4
		r.add(now, to, j)
	}
}

func (r *run) add(now int, d *domain, j declarer.BatchJob) {
	r.jobs++
	j.ID = fmt.Sprintf("%s-%d", j.Kind, r.jobs)
	j.RunTime *= runTimeScale
	j.Urgent = false
	r.declared[j.ID] = j.Resources
	if now >= r.begin {
		k := r.truth.index[j.Kind]
		for i := range j.Tasks {
			t := r.truth.task(fmt.Sprintf("job/%s/%d", j.ID, i), k, j.Resources, j.RunTime, r.seed)
			r.result.SubmittedOf[j.Kind] += t.alone * t.processors
		}
	}
	d.step(r.fleet, now, scheduler.Event{Submitted: &scheduler.JobSubmitted{Job: j}})
}
