package experimenter

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// fleet is the fake of all of a user's domains.
type fleet struct {
	truth       *truth
	rand        *rand.Rand
	seed        uint64
	domains     []*domain
	checkpoints map[string]float64
	// declared has the declared size of each job, service and watcher.
	declared map[string]declarer.Resources
	// rate is the arrivals a second at each runner.
	rate    float64
	latency latency
	// away is set from the time a domain leaves until it is back.
	away   bool
	killed int
	result Result
}

// domain is one shard with its machines.
type domain struct {
	name     string
	core     *scheduler.Core
	machines []*machine
	byID     map[string]*machine
	// lostAt is when the machines went away, 0 while they are there.
	lostAt int
	queue  []scheduler.Event
	count  int
}

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func (f *fleet) time(second int) time.Time { return epoch.Add(time.Duration(second) * time.Second) }

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

func (f *fleet) record(seconds float64, measured bool) {
	if !measured {
		return
	}
	f.latency.record(seconds)
	f.result.Requests++
	if seconds >= requestTimeout {
		f.result.Timeouts++
	}
}

func (f *fleet) complete(a *attempt, _ int, measured bool) {
	if !measured {
		return
	}
	work := a.truth.alone * a.truth.processors
	f.result.Work += work
	f.result.WorkOf[a.start.Kind] += work
	if f.away {
		f.result.WorkAway += work
	}
}

// checkCapacity counts reservations above a machine's capacity, which must not
// occur.
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
	d := &domain{name: name, core: core, byID: map[string]*machine{}}
	for i := range workers {
		m := &machine{
			id: fmt.Sprintf("%s-w%03d", name, i), rack: fmt.Sprintf("%s-r%d", name, i/w.Platform.WorkersPerRack),
			capacity: w.Platform.Worker, offset: i, up: true, working: true,
		}
		d.machines = append(d.machines, m)
		d.byID[m.id] = m
	}
	return d
}

// step hands one event to the domain's core and carries out the commands.
func (d *domain) step(f *fleet, now int, e scheduler.Event) {
	changes, commands := d.core.Step(f.time(now), e)
	for _, c := range changes {
		// The machine's view of a reservation follows the committed one.
		if s := c.ReservationSet; s != nil {
			for _, m := range d.machines {
				if a := m.find(s.Task, s.Attempt); a != nil {
					a.start.Reserved = s.Reserved
				}
			}
		}
	}
	for _, c := range commands {
		d.carryOut(f, now, c)
	}
}

func (d *domain) carryOut(f *fleet, now int, c scheduler.Command) {
	switch {
	case c.Start != nil:
		if m := d.byID[c.Start.Worker]; m.up {
			m.startOn(f, *c.Start, f.rand, now)
		}
	case c.Stop != nil:
		m := d.byID[c.Stop.Worker]
		if a := m.find(c.Stop.Task, c.Stop.Attempt); a != nil {
			if a.start.Class == declarer.ClassBatch {
				f.result.Evictions++
			}
			// What the attempt resumed from can be resumed from again.
			m.end(a, scheduler.OutcomeStopped, a.start.Checkpoint, "")
		}
	case c.Checkpoint != nil:
		if a := d.byID[c.Checkpoint.Worker].find(c.Checkpoint.Task, c.Checkpoint.Attempt); a != nil && a.checkpointAt == 0 {
			f.result.Checkpoints++
			a.checkpointAt = now + checkpointTime
		}
	case c.Throttle != nil:
		if a := d.byID[c.Throttle.Worker].find(c.Throttle.Task, c.Throttle.Attempt); a != nil {
			if c.Throttle.Share < a.share {
				f.result.Throttles++
			}
			a.share = c.Throttle.Share
		}
	default:
		d.send(f, c)
	}
}

// send delivers what one shard tells another, and the confirmation, in the
// next step.
func (d *domain) send(f *fleet, c scheduler.Command) {
	to, e, back := "", scheduler.Event{}, scheduler.Event{}
	switch {
	case c.HandOver != nil:
		to = c.HandOver.ToShard
		e.Offered = &scheduler.TransferOffered{TransferID: c.HandOver.TransferID, Task: c.HandOver.Task}
		back.Confirmed = &scheduler.TransferConfirmed{TransferID: c.HandOver.TransferID}
	case c.Cancel != nil:
		to, e.Cancelled = c.Cancel.ToShard, &scheduler.JobCancelled{JobID: c.Cancel.JobID, Home: c.Cancel.Home}
	case c.Totals != nil:
		to, e.Totals = c.Totals.ToShard, &scheduler.TotalsReported{JobID: c.Totals.JobID, Counts: c.Totals.Counts}
		back.TotalsConfirmed = &scheduler.TotalsConfirmed{JobID: c.Totals.JobID, Counts: c.Totals.Counts}
	case c.Peer != nil:
		to, e.Peer = c.Peer.ToShard, &c.Peer.Report
	}
	for _, o := range f.domains {
		if o.name != to {
			continue
		}
		o.queue = append(o.queue, e)
		if back != (scheduler.Event{}) {
			d.queue = append(d.queue, back)
		}
	}
}

// second runs one second of a domain: control first, then the machines.
func (d *domain) second(f *fleet, now int, config *declarer.Config, measured bool) {
	queue := d.queue
	d.queue = nil
	for _, e := range queue {
		d.step(f, now, e)
	}
	d.step(f, now, scheduler.Event{Config: &scheduler.ConfigConfirmed{Config: config, At: f.time(now)}})
	for _, m := range d.machines {
		if m.up && now%reportEvery == m.offset%reportEvery {
			d.step(f, now, scheduler.Event{WorkerSeen: &scheduler.WorkerSeen{ID: m.id, Rack: m.rack, Capacity: m.capacity}})
			r := m.report(f, now)
			d.step(f, now, scheduler.Event{Report: &r})
		}
	}
	d.step(f, now, scheduler.Event{Tick: &scheduler.Tick{}})
	for _, m := range d.machines {
		m.step(f, now, measured)
	}
}

// leaseTime is after how long a lost worker's leases have run out, in seconds.
const leaseTime = 10

// lose takes a machine away; its leases run out later.
func (d *domain) lose(m *machine) {
	m.up, m.running, m.ended = false, nil, nil
}

// expire reports the machines of d that are away as lost.
func (d *domain) expire(f *fleet, now int, m *machine) {
	d.step(f, now, scheduler.Event{WorkerLost: &scheduler.WorkerLost{ID: m.id}})
}

func (d *domain) runners() int {
	n := 0
	for _, m := range d.machines {
		for _, a := range m.running {
			if a.queue != nil {
				n++
			}
		}
	}
	return n
}
