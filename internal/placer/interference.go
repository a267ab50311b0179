package placer

import (
	"fmt"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Weights of the costs that are not queueing of services. The unit of cost is
// one request per slot of expected queueing.
const (
	// batchWeight is the cost of the loss of one worker of batch work.
	batchWeight = 1
	// spreadWeight is the cost of putting all replicas of a service in one
	// rack.
	spreadWeight = 0.5
	// fragmentationWeight is the cost of leaving a worker with all of one
	// resource free and nothing of another.
	fragmentationWeight = 0.2
	// roomWeight is the cost of leaving a whole worker free, so that large
	// tasks find room on others.
	roomWeight = 0.3
	// caution is the number of deviations added to an estimate for services.
	caution = 0.5
	// leastLoad is the load assumed of a runner that has less now, since load
	// shifts while a batch task runs.
	leastLoad = 0.5
	// knee is the load above which queueing is taken as linear, to keep the
	// cost finite when a runner is overloaded.
	knee = 0.9
)

// HarmError reports that workers have room, but that each placement would slow
// services by more than the preset allows.
type HarmError struct {
	Task    string
	Workers int
	// Least is the harm at the best worker, Limit the most that is accepted,
	// in requests per slot.
	Least, Limit float64
}

func (e *HarmError) Error() string {
	return fmt.Sprintf("%d workers have room, but the least harm to services is %.3f, above %.3f", e.Workers, e.Least, e.Limit)
}

// Estimates are what the interference-aware policy places by.
type Estimates struct {
	// Slowdown returns what one worker of processors used by kind b adds to
	// the slowdown of kind a, with its deviation.
	Slowdown func(a, b string, load float64) (mean, deviation float64)
	// Load returns the recent high load of a service, as a share of its slots.
	Load func(kind string) float64
	// Parameters returns the figures of the preset in force.
	Parameters func() Parameters
}

// InterferenceAware places by expected harm to services, loss of batch work,
// spread over racks and fragmentation.
func InterferenceAware(e Estimates) Policy {
	return Policy{Name: "interference_aware", Place: e.place}
}

// cost is what one placement is expected to cost.
type cost struct{ harm, batch, spread, fragmentation float64 }

func (c cost) total() float64 { return c.harm + c.batch + c.spread + c.fragmentation }

func (e Estimates) place(v *View, r Request) (Choice, error) {
	size, params := r.Size(), e.Parameters()
	limit := params.HarmLimit * (1 + float64(r.Waiting)/float64(max(1, params.HarmPatience)))
	racks := replicasByRack(v, r)
	best, bestCost, harmful, least := -1, cost{}, 0, 0.0
	var space [16]group
	groups := space[:0]
	for i := range v.Workers {
		w := &v.Workers[i]
		if !w.Reserved.Add(size).FitsIn(w.Capacity) {
			continue
		}
		groups = groupsOf(w, groups)
		c := e.cost(w, groups, r, size, racks)
		if r.Class == declarer.ClassBatch && !r.Urgent && c.harm > limit {
			if harmful == 0 || c.harm < least {
				least = c.harm
			}
			harmful++
			continue
		}
		if best < 0 || c.total() < bestCost.total() {
			best, bestCost = i, c
		}
	}
	if best < 0 && harmful > 0 {
		return Choice{}, &HarmError{r.Task, harmful, least, limit}
	}
	if best < 0 {
		return Choice{}, &NoFitError{r.Task, size, len(v.Workers)}
	}
	reason := fmt.Sprintf("lowest cost %.3f: harm to services %.3f, batch work lost %.3f, spread %.3f, fragmentation %.3f",
		bestCost.total(), bestCost.harm, bestCost.batch, bestCost.spread, bestCost.fragmentation)
	return Choice{v.Workers[best].ID, size, reason}, nil
}

// replicasByRack returns each rack's share of the replicas of a service, nil
// for other work.
func replicasByRack(v *View, r Request) map[string]float64 {
	if r.Class != declarer.ClassService {
		return nil
	}
	racks, total := map[string]float64{}, 0.0
	for i := range v.Workers {
		for _, t := range v.Workers[i].Running {
			if t.Class == declarer.ClassService && t.Kind == r.Kind {
				racks[v.Workers[i].Rack]++
				total++
			}
		}
	}
	for k := range racks {
		racks[k] /= total
	}
	return racks
}

func use(r declarer.Resources, w *Worker) float64 {
	return float64(r.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
}

// group is the tasks of one kind and class on a worker.
type group struct {
	kind  string
	class declarer.Class
	// use is the share of the worker's processors that count tasks reserve.
	use   float64
	count int
}

// groupsOf sums a worker's tasks by kind, since estimates are by kind. It
// reuses the space of into.
func groupsOf(w *Worker, into []group) []group {
	into = into[:0]
next:
	for _, t := range w.Running {
		for i := range into {
			if into[i].kind == t.Kind && into[i].class == t.Class {
				into[i].use += use(t.Reserved, w)
				into[i].count++
				continue next
			}
		}
		into = append(into, group{t.Kind, t.Class, use(t.Reserved, w), 1})
	}
	return into
}

// slowdown returns the expected slowdown of one task of a group.
func (e Estimates) slowdown(groups []group, at int, load float64) float64 {
	sum := 1.0
	for i, g := range groups {
		mean, _ := e.Slowdown(groups[at].kind, g.kind, load)
		if i == at {
			// A task does not slow itself.
			g.use -= g.use / float64(g.count)
		}
		sum += mean * g.use
	}
	return sum
}

func (e Estimates) cost(w *Worker, groups []group, r Request, size declarer.Resources, racks map[string]float64) cost {
	var c cost
	x, own := use(size, w), 1.0
	for i, g := range groups {
		if g.class == declarer.ClassService {
			load := max(e.Load(g.kind), leastLoad)
			mean, deviation := e.Slowdown(g.kind, r.Kind, load)
			before, added := e.slowdown(groups, i, load), (mean+caution*deviation)*x
			c.harm += float64(g.count) * (queueing(load*(before+added)/before) - queueing(load) + added*load)
		} else {
			mean, _ := e.Slowdown(g.kind, r.Kind, leastLoad)
			c.batch += batchWeight * mean * x * g.use
		}
		mean, deviation := e.Slowdown(r.Kind, g.kind, leastLoad)
		if r.Class == declarer.ClassService {
			mean += caution * deviation
		}
		own += mean * g.use
	}
	if r.Class == declarer.ClassService {
		c.harm += queueing(leastLoad*own) - queueing(leastLoad) + (own-1)*leastLoad
		c.spread = spreadWeight * racks[w.Rack]
	} else {
		c.batch += batchWeight * (own - 1) * x
	}
	free := w.Capacity.Sub(w.Reserved.Add(size))
	processors := float64(free.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
	memory := float64(free.MemoryMB) / float64(max(1, w.Capacity.MemoryMB))
	c.fragmentation = fragmentationWeight*max(processors-memory, memory-processors) + roomWeight*processors
	return c
}

// queueing is the expected number of waiting requests per slot at a load, by
// the form that queues share, u²/(1-u).
func queueing(load float64) float64 {
	if load < knee {
		return load * load / (1 - load)
	}
	// The slope at the knee is (2u-u²)/(1-u)².
	const slope = (2*knee - knee*knee) / ((1 - knee) * (1 - knee))
	return knee*knee/(1-knee) + slope*(load-knee)
}
