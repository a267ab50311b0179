package experimenter

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// fleet simulates all domains of a user.
type fleet struct {
	truth       *groundTruth
	rand        *rand.Rand
	seed        uint64
	domains     []*domain
	checkpoints map[string]float64
	// declared holds the declared resources of a task of each job, service and
	// watcher.
	declared map[string]declarer.Resources
	// requestRate is the arrival rate at each runner, in requests per second.
	requestRate float64
	latency     latency
	// duringOutage is set from when a domain is taken out of service until one
	// grace period after its return.
	duringOutage bool
	killed       int
	result       Result
}

// domain simulates one shard with its machines.
type domain struct {
	name         string
	core         *scheduler.Core
	machines     []*machine
	machinesByID map[string]*machine
	// outageStart is the second at which the machines were stopped, or 0 if they
	// are up.
	outageStart int
	// pendingEvents holds the messages to handle in the next second.
	pendingEvents []scheduler.Event
	count         int
}

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func (f *fleet) time(second int) time.Time { return epoch.Add(time.Duration(second) * time.Second) }

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

func (f *fleet) recordRequest(seconds float64, isMeasured bool) {
	if !isMeasured {
		return
	}
	f.latency.record(seconds)
	f.result.Requests++
	if seconds >= requestTimeout {
		f.result.Timeouts++
	}
}

func (f *fleet) recordCompletion(a *attempt, _ int, isMeasured bool) {
	if !isMeasured {
		return
	}
	work := a.truth.soloTime * a.truth.cores
	f.result.Work += work
	f.result.WorkByKind[a.start.Kind] += work
	if f.duringOutage {
		f.result.WorkDuringOutage += work
	}
}

// checkCapacity counts a start that makes the reservations on a machine exceed
// its capacity.
func (f *fleet) checkCapacity(m *machine, _ scheduler.TaskID) {
	var reserved declarer.Resources
	for _, a := range m.running {
		reserved = reserved.Add(a.start.Reserved)
	}
	if !reserved.FitsIn(m.capacity) {
		f.result.Overcommits++
	}
}

func newDomain(name string, workers int, w declarer.Workload, core *scheduler.Core) *domain {
	d := &domain{name: name, core: core, machinesByID: map[string]*machine{}}
	for i := range workers {
		m := &machine{
			id: fmt.Sprintf("%s-w%03d", name, i), rack: fmt.Sprintf("%s-r%d", name, i/w.Platform.WorkersPerRack),
			capacity: w.Platform.Worker, reportOffset: i, isUp: true, isHealthy: true,
		}
		d.machines = append(d.machines, m)
		d.machinesByID[m.id] = m
	}
	return d
}

// handleEvent passes an event to the domain's core and executes the resulting
// commands.
func (d *domain) handleEvent(f *fleet, now int, e scheduler.Event) {
	changes, commands := d.core.Step(f.time(now), e)
	for _, c := range changes {
		// The machines use the committed reservations.
		if s := c.ReservationSet; s != nil {
			for _, m := range d.machines {
				if a := m.find(s.Task, s.Attempt); a != nil {
					a.start.Reserved = s.Reserved
				}
			}
		}
	}
	for _, c := range commands {
		d.execute(f, now, c)
	}
}

func (d *domain) execute(f *fleet, now int, c scheduler.Command) {
	switch {
	case c.Start != nil:
		if m := d.machinesByID[c.Start.Worker]; m.isUp {
			m.start(f, *c.Start, f.rand, now)
		}
	case c.Stop != nil:
		m := d.machinesByID[c.Stop.Worker]
		if a := m.find(c.Stop.Task, c.Stop.Attempt); a != nil {
			if a.start.Class == declarer.ClassBatch {
				f.result.Evictions++
			}
			// The next attempt can resume from the same checkpoint as this one.
			m.endAttempt(a, scheduler.OutcomeStopped, a.start.Checkpoint, "")
		}
	case c.Checkpoint != nil:
		if a := d.machinesByID[c.Checkpoint.Worker].find(c.Checkpoint.Task, c.Checkpoint.Attempt); a != nil && a.checkpointAt == 0 {
			f.result.Checkpoints++
			a.checkpointAt = now + checkpointDuration
		}
	case c.Throttle != nil:
		if a := d.machinesByID[c.Throttle.Worker].find(c.Throttle.Task, c.Throttle.Attempt); a != nil {
			if c.Throttle.Share < a.share {
				f.result.Throttles++
			}
			a.share = c.Throttle.Share
		}
	default:
		d.send(f, c)
	}
}

// send delivers a message to another shard, and its confirmation to d, in the
// next second.
func (d *domain) send(f *fleet, c scheduler.Command) {
	to, e, confirmation := "", scheduler.Event{}, scheduler.Event{}
	switch {
	case c.HandOver != nil:
		to = c.HandOver.ToShard
		e.Offered = &scheduler.TransferOffered{TransferID: c.HandOver.TransferID, Task: c.HandOver.Task}
		confirmation.Confirmed = &scheduler.TransferConfirmed{TransferID: c.HandOver.TransferID}
	case c.Cancel != nil:
		to, e.Cancelled = c.Cancel.ToShard, &scheduler.JobCancelled{JobID: c.Cancel.JobID, Home: c.Cancel.Home}
	case c.Totals != nil:
		to, e.Totals = c.Totals.ToShard, &scheduler.TotalsReported{JobID: c.Totals.JobID, Counts: c.Totals.Counts}
		confirmation.TotalsConfirmed = &scheduler.TotalsConfirmed{JobID: c.Totals.JobID, Counts: c.Totals.Counts}
	case c.Peer != nil:
		to, e.Peer = c.Peer.ToShard, &c.Peer.Report
	}
	for _, o := range f.domains {
		if o.name != to {
			continue
		}
		o.pendingEvents = append(o.pendingEvents, e)
		if confirmation != (scheduler.Event{}) {
			d.pendingEvents = append(d.pendingEvents, confirmation)
		}
	}
}

// runSecond simulates one second of a domain: first the scheduling core, then
// the machines.
func (d *domain) runSecond(f *fleet, now int, config *declarer.Config, isMeasured bool) {
	queue := d.pendingEvents
	d.pendingEvents = nil
	for _, e := range queue {
		d.handleEvent(f, now, e)
	}
	d.handleEvent(f, now, scheduler.Event{Config: &scheduler.ConfigConfirmed{Config: config, At: f.time(now)}})
	for _, m := range d.machines {
		if m.isUp && now%reportInterval == m.reportOffset%reportInterval {
			d.handleEvent(f, now, scheduler.Event{WorkerSeen: &scheduler.WorkerSeen{ID: m.id, Rack: m.rack, Capacity: m.capacity}})
			r := m.report(f, now)
			d.handleEvent(f, now, scheduler.Event{Report: &r})
		}
	}
	d.handleEvent(f, now, scheduler.Event{Tick: &scheduler.Tick{}})
	for _, m := range d.machines {
		m.advance(f, now, isMeasured)
	}
}

// leaseDuration is how long after the loss of a worker its leases expire, in
// seconds.
const leaseDuration = 10

// stopMachine stops a machine and discards its attempts. Their leases expire
// later.
func (d *domain) stopMachine(m *machine) {
	m.isUp, m.running, m.ended = false, nil, nil
}

// reportLost reports m to the core as lost.
func (d *domain) reportLost(f *fleet, now int, m *machine) {
	d.handleEvent(f, now, scheduler.Event{WorkerLost: &scheduler.WorkerLost{ID: m.id}})
}

// countRunners returns the number of running attempts that serve requests.
func (d *domain) countRunners() int {
	n := 0
	for _, m := range d.machines {
		for _, a := range m.running {
			if a.runner != nil {
				n++
			}
		}
	}
	return n
}
