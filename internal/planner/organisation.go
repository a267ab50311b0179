package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Organisation is a customer whose jobs share the workers with those of others.
type Organisation struct {
	// Weight is the organisation's share of scarce capacity relative to those of the
	// others, and the number of jobs a second within that share.
	Weight float64
	// Cap limits what all runs of the organisation need together, on the workers of all
	// shards. A zero amount is not limited.
	Cap Resources
}

// Part is the part of an organisation's cap that a shard holds.
type Part struct {
	// Amount is what the runs of the shard may need together. Amounts that the cap
	// doesn't limit mean nothing.
	Amount Resources
	// IsFrozen is set while nothing may start.
	IsFrozen bool
}

// CapDemand is what a shard makes of its part of a cap.
type CapDemand struct {
	// Used is what the runs of the organisation need, and Blocked what its tasks need that
	// wait only because of the cap, without gangs that need more than the whole cap.
	Used, Blocked Resources
	// Smallest is what one of the blocked tasks, or a gang, needs: the one that needs the
	// smallest part of the cap. A part with the least of each kind of resource that any of
	// them needs might not suffice for one.
	Smallest Resources
}

// capLedger counts what the organisations with a cap have running in the shard.
type capLedger struct {
	// organisations holds the definitions in force, and the last ones of organisations
	// with a cap that the configuration no longer has: they may have jobs, here or in
	// another shard that needs what this one holds.
	organisations map[string]Organisation
	parts         map[string]Part
	// used and blocked are those of the last plan, by organisation.
	used, blocked, smallest map[string]Resources
	// inherited holds the parts that the shard held when this owner loaded it, and adopted
	// what the runs of earlier owners need that were found since. Both are empty once all
	// of these runs were found. found holds the runs in adopted.
	inherited, adopted map[string]Resources
	found              map[RunID]bool
	// plan numbers the plans.
	plan uint64
}

func newCapLedger() capLedger {
	return capLedger{
		organisations: map[string]Organisation{}, parts: map[string]Part{}, used: map[string]Resources{}, blocked: map[string]Resources{}, smallest: map[string]Resources{},
		inherited: map[string]Resources{}, adopted: map[string]Resources{}, found: map[RunID]bool{},
	}
}

// setCaps applies the caps of a new configuration.
func (p *Planner) setCaps(defined map[string]Organisation) {
	l := &p.caps
	if len(defined) == 0 && len(l.organisations) == 0 {
		return
	}
	known := l.organisations
	l.organisations = maps.Clone(defined)
	if l.organisations == nil {
		l.organisations = map[string]Organisation{}
	}
	for name, o := range known {
		if _, ok := defined[name]; !ok && o.Cap != (Resources{}) {
			l.organisations[name] = o
		}
	}
}

// InheritPart records the part of a cap that the shard held when this owner loaded it.
// As long as an earlier owner may have runs that are not known, as much counts as used.
func (p *Planner) InheritPart(organisation string, amount Resources) {
	if p.mayHaveUnknownRuns() {
		p.caps.inherited[organisation] = amount
	}
}

// mayHaveUnknownRuns reports whether an earlier owner may have runs that are not known.
func (p *Planner) mayHaveUnknownRuns() bool {
	return len(p.unverified) > 0 || p.hasUnknownWorkers || len(p.unknownRuns) > 0
}

// SetPart sets the part of an organisation's cap that the shard holds.
func (p *Planner) SetPart(organisation string, part Part) { p.caps.parts[organisation] = part }

// Cap returns the cap of an organisation; zero amounts are not limited.
func (p *Planner) Cap(organisation string) Resources { return p.caps.organisations[organisation].Cap }

// CappedOrganisations returns the sorted names of the organisations with a cap.
func (p *Planner) CappedOrganisations() []string {
	var list []string
	for name, o := range p.caps.organisations {
		if o.Cap != (Resources{}) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// CapDemands returns the demand, as of the last plan, of each organisation with a cap that
// has runs, or tasks that wait because of the cap.
func (p *Planner) CapDemands() map[string]CapDemand {
	list := map[string]CapDemand{}
	for name, o := range p.caps.organisations {
		used, blocked := p.caps.used[name].plus(p.unknownUse(name)), p.caps.blocked[name]
		if o.Cap != (Resources{}) && (used != (Resources{}) || blocked != (Resources{})) {
			list[name] = CapDemand{Used: used, Blocked: blocked, Smallest: p.caps.smallest[name]}
		}
	}
	return list
}

// countCaps counts what the organisations with a cap have running. Runs that are being
// stopped, or whose workers don't answer, count until they have ended, and so do starts
// that may still take effect on the next process of a worker.
func (p *Planner) countCaps() {
	l := &p.caps
	if !p.mayHaveUnknownRuns() {
		// A worker may list an unknown run later, which the predecessor's part doesn't limit.
		clear(l.inherited)
		clear(l.adopted)
		clear(l.found)
	}
	if len(l.organisations) == 0 {
		return
	}
	l.plan++
	clear(l.used)
	clear(l.blocked)
	clear(l.smallest)
	for _, w := range p.sortedWorkers {
		for _, r := range w.runsInOrder {
			l.addUse(r.task.step)
		}
		for i := range w.withdrawnStarts {
			if s := &w.withdrawnStarts[i]; !s.isConfirmed {
				if t := p.findTask(s.run.TaskID); t != nil {
					l.addUse(t.step)
				}
			}
		}
	}
}

func (l *capLedger) addUse(s *step) {
	if name := s.occurrence.job.Organisation; name != "" {
		l.used[name] = l.used[name].plus(s.Need)
	}
}

// noteAdopted records that a run of an earlier owner was found. It may end and be found
// again, and runs of this owner may be found that were taken for ended.
func (p *Planner) noteAdopted(r *run) {
	l, s := &p.caps, r.task.step
	name := s.occurrence.job.Organisation
	if name == "" || l.found[r.id] || r.id.Attempt > p.attemptBase(r.task) || !p.mayHaveUnknownRuns() {
		return
	}
	l.found[r.id] = true
	l.adopted[name] = l.adopted[name].plus(s.Need)
}

// unknownUse returns what runs of earlier owners that were not found yet may need at
// most: those owners kept to the part that was stored.
func (p *Planner) unknownUse(organisation string) Resources {
	if !p.mayHaveUnknownRuns() {
		return Resources{}
	}
	left := p.caps.inherited[organisation].minus(p.caps.adopted[organisation])
	return Resources{max(0, left.CPU), max(0, left.Memory), max(0, left.GPU)}
}

// isGangAbove reports whether a step is a gang whose tasks together need more than a cap.
// Such a gang can't start under it. Zero amounts of the cap are not limited.
func (s *Step) isGangAbove(limit Resources) bool {
	need := s.Need.times(s.Count)
	isAbove := func(limit, need int64) bool { return limit > 0 && need > limit }
	return s.Gang && s.Count > 1 && (isAbove(limit.CPU, need.CPU) || isAbove(limit.Memory, need.Memory) || isAbove(limit.GPU, need.GPU))
}

// isWithinCap reports whether count tasks of a step may start under the cap of their
// organisation.
func (p *Planner) isWithinCap(s *step, count int) bool {
	name := s.occurrence.job.Organisation
	o := p.caps.organisations[name]
	if o.Cap == (Resources{}) {
		return true
	}
	part := p.caps.parts[name]
	if part.IsFrozen || s.isGangAbove(o.Cap) {
		return false
	}
	used := p.caps.used[name].plus(p.unknownUse(name))
	need := s.Need.times(count)
	fits := func(limit, held, used, need int64) bool {
		// A task that is larger than the cap runs alone; a gang that is doesn't run.
		return limit == 0 || need == 0 || used+need <= held || used == 0 && held >= limit
	}
	return fits(o.Cap.CPU, part.Amount.CPU, used.CPU, need.CPU) && fits(o.Cap.Memory, part.Amount.Memory, used.Memory, need.Memory) &&
		fits(o.Cap.GPU, part.Amount.GPU, used.GPU, need.GPU)
}

// isBlockedByCap reports whether tasks of a step have to wait because of the cap of their
// organisation, and counts their need if so, unless no part of the cap would let them
// start: other shards would give up theirs in vain. Waits for a cap don't count as waits
// for a place, which would have the tasks handed over or started in spite of their harm.
func (p *Planner) isBlockedByCap(s *step, tasks ...*task) bool {
	if p.isWithinCap(s, len(tasks)) {
		return false
	}
	name := s.occurrence.job.Organisation
	isHopeless := s.isGangAbove(p.Cap(name))
	if !isHopeless {
		need := s.Need.times(len(tasks))
		if least, ok := p.caps.smallest[name]; !ok || compareParts(need, least, p.Cap(name)) < 0 {
			p.caps.smallest[name] = need
		}
	}
	for _, t := range tasks {
		if t.blockedIn == p.caps.plan {
			continue
		}
		t.blockedIn = p.caps.plan
		if !isHopeless {
			p.caps.blocked[name] = p.caps.blocked[name].plus(s.Need)
		}
		t.readyAt, t.soughtAt = time.Time{}, time.Time{}
	}
	return true
}

// compareParts compares the largest parts of a cap that two amounts take. Zero amounts of the
// cap are not limited. Equal parts are ordered by the amounts, so that the smallest of several
// tasks doesn't depend on their order.
func compareParts(a, b, limit Resources) int {
	part := func(r Resources) float64 {
		largest := 0.0
		for _, f := range [...][2]int64{{r.CPU, limit.CPU}, {r.Memory, limit.Memory}, {r.GPU, limit.GPU}} {
			if f[1] > 0 {
				largest = max(largest, float64(f[0])/float64(f[1]))
			}
		}
		return largest
	}
	return cmp.Or(cmp.Compare(part(a), part(b)), cmp.Compare(a.CPU, b.CPU), cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.GPU, b.GPU))
}

// OrganisationUsage describes an organisation with a cap in one shard, for metrics.
type OrganisationUsage struct {
	Name string
	CapDemand
	// Part is what the shard holds of Cap.
	Part, Cap Resources
}

// OrganisationUsages returns the usage, as of the last plan, of each organisation with a
// cap, sorted by name.
func (p *Planner) OrganisationUsages() []OrganisationUsage {
	var list []OrganisationUsage
	demands := p.CapDemands()
	for _, name := range p.CappedOrganisations() {
		list = append(list, OrganisationUsage{name, demands[name], p.caps.parts[name].Amount, p.Cap(name)})
	}
	return list
}

// explainCap returns why the cap of its organisation keeps a task, or the gang that it
// belongs to, from starting, or "".
func (p *Planner) explainCap(s *step) string {
	count := 1
	if s.Gang {
		count = len(s.tasks)
	}
	if p.isWithinCap(s, count) {
		return ""
	}
	name := s.occurrence.job.Organisation
	limit, part, used, unknown := p.Cap(name), p.caps.parts[name], p.caps.used[name], p.unknownUse(name)
	if s.isGangAbove(limit) {
		need := s.Need.times(count)
		return fmt.Sprintf("can't start under the cap of organisation %s: the %d tasks of the gang need %s together, and the cap is %s; it waits until the cap is raised", name, count, need.withUnits(), limit.numbers())
	}
	if part.IsFrozen {
		return fmt.Sprintf("waits for the cap of organisation %s: the shards hold more than the cap of %s, or it was lowered just now", name, limit.withUnits())
	}
	return fmt.Sprintf("waits for the cap of organisation %s: its runs here need %s, and those that an earlier owner may have up to %s; this shard holds %s of the cap of %s",
		name, used.withUnits(), unknown.numbers(), part.Amount.numbers(), limit.numbers())
}

// withUnits describes an amount. numbers gives the same amounts in the same order.
func (r Resources) withUnits() string {
	return fmt.Sprintf("%d millicores, %d MB, %d GPUs", r.CPU, r.Memory, r.GPU)
}

func (r Resources) numbers() string { return fmt.Sprintf("%d, %d, %d", r.CPU, r.Memory, r.GPU) }
