// Package allotter divides the cap of an organisation among the shards of a
// deployment, so that each owner can start tasks without asking the others. It does
// no I/O.
//
// The division stands in one record of the store for each organisation. An owner
// changes only the part of its own shard, in a transaction that expects the
// revision of the record it has decided from. So no two owners take the same free
// amount, and what a shard holds is its own until it gives it back, also while the
// owner is cut off or the shard has none.
package allotter

import (
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/planner"
)

const (
	// reserveShare is the part of a cap that a shard takes beyond its present need,
	// so that not every start needs a write.
	reserveShare = 1.0 / 16
	// wantedStep is the decrease of an unmet need, as a share of the cap, from which it
	// is written again.
	wantedStep = 0.25
)

// Record is what the store holds on the cap of one organisation, by the names of
// shards.
type Record struct {
	// Parts holds what the runs of each shard may need together.
	Parts map[string]planner.Resources `cbor:"parts"`
	// Wanted holds what each shard could use beyond its part.
	Wanted map[string]planner.Resources `cbor:"wanted,omitempty"`
	// Queue holds, in order of arrival, the shards that have nothing running and whose
	// share has no room for their smallest task. The others leave the need of the first.
	Queue []Turn `cbor:"queue,omitempty"`
}

// Turn is an element of the queue of a record.
type Turn struct {
	Shard string            `cbor:"shard"`
	Need  planner.Resources `cbor:"need"`
}

// Encode returns the stored form of a record.
func (r Record) Encode() ([]byte, error) {
	data, err := marshaler.Marshal(r)
	return data, errors.Wrap(err, "encode the division of a cap")
}

// Decode decodes the stored form of a record.
func Decode(data []byte) (Record, error) {
	var r Record
	err := marshaler.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode the division of a cap")
}

// Decision is what an owner does about the part of its shard.
type Decision struct {
	// Record is the record to store if HasChanged is set.
	Record     Record
	HasChanged bool
	// Part is what the runs of the shard may need together from now on. It is at most
	// the stored part, so it holds before the new record is stored.
	Part planner.Resources
	// IsOverAllotted is set while the shards hold more than the cap together, because
	// it was lowered. Nothing may start meanwhile: what the others hold may be in use.
	IsOverAllotted bool
}

// Decide returns the decision for a shard, for a cap of limit and the demand of the
// shard. A zero amount of limit is not limited.
func Decide(r Record, shard string, limit planner.Resources, demand planner.CapDemand) Decision {
	have, wanted := r.Parts[shard], r.Wanted[shard]
	part, lack, usable := have, wanted, have
	isOver, isShort := false, false
	isWaiting := demand.Used == (planner.Resources{}) && demand.Blocked != (planner.Resources{})
	queue := r.Queue
	if !isWaiting {
		queue = without(queue, shard)
	}
	all := make([]division, len(fields))
	for i, f := range fields {
		d := division{
			limit: f.of(&limit), have: f.of(&have), used: f.of(&demand.Used), blocked: f.of(&demand.Blocked),
			others: sumOfOthers(r.Parts, shard, f), othersWanted: sumOfOthers(r.Wanted, shard, f),
		}
		if d.limit == 0 {
			f.set(&lack, 0)
			continue
		}
		d.task = min(f.of(&demand.Smallest), d.limit)
		if d.isContended() {
			d.fair = fairShare(r, queue, shard, d, f)
		}
		isOver = isOver || d.isOver()
		isShort = isShort || isWaiting && d.part() < d.task
		all[i] = d
	}
	if isShort {
		queue = withTurn(queue, Turn{shard, demand.Smallest})
	}
	for i, f := range fields {
		d := all[i]
		if d.limit == 0 {
			continue
		}
		newPart, newUsable := d.part(), d.usable()
		if isShort && queue[0].Shard != shard {
			// Another shard may have use for it meanwhile.
			newPart, newUsable = 0, 0
		}
		f.set(&part, newPart)
		f.set(&usable, min(d.have, newUsable))
		f.set(&lack, max(0, d.need()-newPart))
	}
	if part == have && isCloseTo(lack, wanted, limit) {
		lack = wanted
	}
	result := Decision{Record: r, Part: usable, IsOverAllotted: isOver}
	if part != have || lack != wanted || !slices.Equal(queue, r.Queue) {
		result.HasChanged = true
		result.Record = Record{Parts: withEntry(r.Parts, shard, part), Wanted: withEntry(r.Wanted, shard, lack), Queue: queue}
	}
	return result
}

// isCloseTo reports whether an unmet need need not be written again. One that has grown
// from a small one must be, or the other shards would give back little at a time.
func isCloseTo(lack, written, limit planner.Resources) bool {
	for _, f := range fields {
		n, w := f.of(&lack), f.of(&written)
		if (n > 0) != (w > 0) || n > w+w/4 || w-n >= max(1, int64(wantedStep*float64(f.of(&limit)))) {
			return false
		}
	}
	return true
}

// without returns a queue without a shard.
func without(queue []Turn, shard string) []Turn {
	return slices.DeleteFunc(slices.Clone(queue), func(t Turn) bool { return t.Shard == shard })
}

// withTurn returns a queue with a turn of a shard. The shard keeps its place if it has one,
// and a need that suffices, so that a smaller task causes no write.
func withTurn(queue []Turn, turn Turn) []Turn {
	at := slices.IndexFunc(queue, func(t Turn) bool { return t.Shard == turn.Shard })
	switch {
	case at < 0:
		return append(slices.Clone(queue), turn)
	case queue[at].Need.Fits(turn.Need):
		return queue
	}
	queue = slices.Clone(queue)
	queue[at] = turn
	return queue
}

// fairShare returns the share of a shard in a contended cap: by max-min fairness, after the
// need of the shard that is first in the queue.
func fairShare(r Record, queue []Turn, shard string, d division, f field) int64 {
	var first Turn
	if len(queue) > 0 {
		first = queue[0]
	}
	firstDemand := int64(0)
	others := make([]int64, 0, 2*len(r.Parts)+len(r.Wanted))
	add := func(name string, demand int64) {
		switch name {
		case shard:
		case first.Shard:
			firstDemand = demand
		default:
			others = append(others, demand)
		}
	}
	for name, part := range r.Parts {
		wanted := r.Wanted[name]
		add(name, f.of(&part)+f.of(&wanted))
	}
	for name, wanted := range r.Wanted {
		if _, ok := r.Parts[name]; !ok {
			add(name, f.of(&wanted))
		}
	}
	others = append(others, d.need())
	turn := min(f.of(&first.Need), d.limit)
	switch {
	case first.Shard == shard:
		return max(turn, min(d.need(), level(d.limit, others)))
	case first.Shard == "":
		return min(d.need(), level(d.limit, others))
	}
	all := level(d.limit, append(slices.Clone(others), firstDemand))
	if min(firstDemand, all) < turn {
		all = level(d.limit-turn, others)
	}
	return min(d.need(), all)
}

// level returns the amount up to which all demands can be met from limit.
func level(limit int64, demands []int64) int64 {
	slices.Sort(demands)
	for i, n := range demands {
		share := limit / int64(len(demands)-i)
		if n > share {
			return share
		}
		limit -= n
	}
	return math.MaxInt64
}

// division is the decision on one kind of resource.
type division struct {
	limit int64
	// have is the part of the shard, and others the sum of the other parts.
	have, others int64
	// used is what the runs of the shard need, and blocked what its tasks need that wait
	// only because of the cap. othersWanted is what the other shards could use beyond
	// their parts.
	used, blocked, othersWanted int64
	// task is what the smallest of the waiting tasks needs, at most limit.
	task int64
	// fair is the share of the shard while the cap is contended.
	fair int64
}

// isOver reports whether the shards hold more than the cap together.
func (d division) isOver() bool { return d.have+d.others > d.limit }

// need returns what the shard could use now. A task that is larger than the cap needs
// all of it.
func (d division) need() int64 { return min(d.used+d.blocked, max(d.limit, d.used)) }

// isContended reports whether the shards need more than the cap together.
func (d division) isContended() bool {
	return d.othersWanted > 0 && d.need()+d.others+d.othersWanted > d.limit
}

// part returns what the shard should hold. It never falls below what its runs use, and
// only grows within what no other shard holds. Runs for which no part is stored, because
// they began before there was a cap or under an owner of an earlier version, count too.
func (d division) part() int64 {
	switch {
	case d.isOver() || d.used > max(d.have, d.limit-d.others):
		return d.used
	case d.isContended() && d.have > d.fair:
		return min(d.have, max(d.used, d.fair))
	case d.need() > d.have:
		target := d.need() + int64(reserveShare*float64(d.limit))
		if d.isContended() {
			target = max(d.used, d.fair)
		}
		return max(d.have, min(target, d.limit-d.others))
	case d.othersWanted > 0:
		return d.have - min(d.have-d.need(), d.othersWanted)
	}
	return d.have
}

// usable returns what the runs of the shard may need together. While it holds more
// than its fair share, because its runs use that much, no run is replaced by another.
func (d division) usable() int64 {
	if d.isContended() && d.have > d.fair {
		return d.fair
	}
	return d.part()
}

// field accesses one kind of resource.
type field struct {
	of  func(*planner.Resources) int64
	set func(*planner.Resources, int64)
}

var fields = [...]field{
	{func(r *planner.Resources) int64 { return r.CPU }, func(r *planner.Resources, n int64) { r.CPU = n }},
	{func(r *planner.Resources) int64 { return r.Memory }, func(r *planner.Resources, n int64) { r.Memory = n }},
	{func(r *planner.Resources) int64 { return r.GPU }, func(r *planner.Resources, n int64) { r.GPU = n }},
}

func sumOfOthers(byShard map[string]planner.Resources, shard string, f field) int64 {
	var sum int64
	for name, r := range byShard {
		if name != shard {
			sum += f.of(&r)
		}
	}
	return sum
}

// withEntry returns a copy of m in which shard has the given amounts.
func withEntry(m map[string]planner.Resources, shard string, r planner.Resources) map[string]planner.Resources {
	m = maps.Clone(m)
	if m == nil {
		m = map[string]planner.Resources{}
	}
	m[shard] = r
	if r == (planner.Resources{}) {
		delete(m, shard)
	}
	return m
}
