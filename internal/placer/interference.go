package placer

import (
	"fmt"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Weights of the costs other than queueing at services, and the assumptions of
// the estimate of queueing. The unit of cost is one waiting request per slot.
const (
	// batchWeight is the cost of losing as much batch work as one worker can do.
	batchWeight = 1
	// spreadWeight is the cost of putting all replicas of a service in one
	// rack.
	spreadWeight = 0.5
	// fragmentationWeight is the cost of leaving all of one resource of a worker
	// free and nothing of another.
	fragmentationWeight = 0.2
	// freeProcessorsWeight is the cost of placing on a worker that keeps all its
	// processors free. It packs tasks onto used workers, so that large tasks fit
	// on the others.
	freeProcessorsWeight = 0.3
	// cautionDeviations is the number of standard deviations added to the
	// estimated slowdown of services.
	cautionDeviations = 0.5
	// minLoad is the load that is assumed for a runner with a lower load, since
	// the load may rise while a batch task runs.
	minLoad = 0.5
	// kneeLoad is the load above which queueing is extrapolated linearly, to keep
	// the cost finite when a runner is overloaded.
	kneeLoad = 0.9
)

// HarmError reports that the task fits on some workers, but that each placement
// would increase the queueing at services by more than the preset allows.
type HarmError struct {
	Task string
	// Workers is the number of workers on which the task fits.
	Workers int
	// Least is the harm at the worker with the least harm, Limit the largest harm
	// that is accepted, both in waiting requests per slot.
	Least, Limit float64
}

func (e *HarmError) Error() string {
	return fmt.Sprintf("%d workers have room, but the least harm to services is %.3f, above %.3f", e.Workers, e.Least, e.Limit)
}

// Estimates are the inputs of the interference-aware policy.
type Estimates struct {
	// Slowdown returns the slowdown that tasks of kind b add to tasks of kind a
	// at a load if they use all processors of the worker, and its standard
	// deviation.
	Slowdown func(a, b string, load float64) (mean, deviation float64)
	// Load returns the recent peak load of a service, as a share of its slots.
	Load func(kind string) float64
	// Parameters returns the parameters of the preset in force.
	Parameters func() Parameters
}

// InterferenceAware returns a policy that takes the worker with the lowest cost,
// which is the sum of the expected harm to services, the expected loss of batch
// work, the replicas in the same rack and fragmentation.
func InterferenceAware(e Estimates) Policy {
	return Policy{Name: "interference_aware", Place: e.place}
}

// cost is the expected cost of one placement by cause, in waiting requests per
// slot.
type cost struct{ harm, batch, spread, fragmentation float64 }

func (c cost) total() float64 { return c.harm + c.batch + c.spread + c.fragmentation }

func (e Estimates) place(v *View, r Request) (Choice, error) {
	size, params := r.Size(), e.Parameters()
	limit := params.HarmLimit * (1 + float64(r.Waiting)/float64(max(1, params.HarmPatience)))
	racks := replicasByRack(v, r)
	best, bestCost, harmful, leastHarm := -1, cost{}, 0, 0.0
	var buffer [16]group
	groups := buffer[:0]
	for i := range v.Workers {
		w := &v.Workers[i]
		if !w.Reserved.Add(size).FitsIn(w.Capacity) {
			continue
		}
		groups = groupByKind(w, groups)
		c := e.cost(w, groups, r, size, racks)
		if r.Class == declarer.ClassBatch && !r.Urgent && c.harm > limit {
			if harmful == 0 || c.harm < leastHarm {
				leastHarm = c.harm
			}
			harmful++
			continue
		}
		if best < 0 || c.total() < bestCost.total() {
			best, bestCost = i, c
		}
	}
	if best < 0 && harmful > 0 {
		return Choice{}, &HarmError{r.Task, harmful, leastHarm, limit}
	}
	if best < 0 {
		return Choice{}, &NoFitError{r.Task, size, len(v.Workers)}
	}
	reason := fmt.Sprintf("lowest cost %.3f: harm to services %.3f, batch work lost %.3f, spread %.3f, fragmentation %.3f",
		bestCost.total(), bestCost.harm, bestCost.batch, bestCost.spread, bestCost.fragmentation)
	return Choice{v.Workers[best].ID, size, reason}, nil
}

// replicasByRack returns each rack's share of the replicas of the service to
// place, nil for batch.
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

func processorShare(r declarer.Resources, w *Worker) float64 {
	return float64(r.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
}

// group sums the tasks of one kind and class on a worker.
type group struct {
	kind  string
	class declarer.Class
	// processorShare is the share of the worker's processors that the tasks
	// reserve together.
	processorShare float64
	count          int
}

// groupByKind groups a worker's tasks by kind and class, since estimates are by
// kind. It overwrites dst.
func groupByKind(w *Worker, dst []group) []group {
	dst = dst[:0]
next:
	for _, t := range w.Running {
		for i := range dst {
			if dst[i].kind == t.Kind && dst[i].class == t.Class {
				dst[i].processorShare += processorShare(t.Reserved, w)
				dst[i].count++
				continue next
			}
		}
		dst = append(dst, group{t.Kind, t.Class, processorShare(t.Reserved, w), 1})
	}
	return dst
}

// slowdown returns the expected slowdown of one task of groups[index], 1 if
// nothing runs beside it.
func (e Estimates) slowdown(groups []group, index int, load float64) float64 {
	sum := 1.0
	for i, g := range groups {
		mean, _ := e.Slowdown(groups[index].kind, g.kind, load)
		if i == index {
			// A task does not slow itself.
			g.processorShare -= g.processorShare / float64(g.count)
		}
		sum += mean * g.processorShare
	}
	return sum
}

// cost returns the expected cost of placing the request on w with a reservation
// of size.
func (e Estimates) cost(w *Worker, groups []group, r Request, size declarer.Resources, racks map[string]float64) cost {
	var c cost
	share, slowdown := processorShare(size, w), 1.0
	for i, g := range groups {
		if g.class == declarer.ClassService {
			load := max(e.Load(g.kind), minLoad)
			mean, deviation := e.Slowdown(g.kind, r.Kind, load)
			before, added := e.slowdown(groups, i, load), (mean+cautionDeviations*deviation)*share
			c.harm += float64(g.count) * (queueing(load*(before+added)/before) - queueing(load) + added*load)
		} else {
			mean, _ := e.Slowdown(g.kind, r.Kind, minLoad)
			c.batch += batchWeight * mean * share * g.processorShare
		}
		mean, deviation := e.Slowdown(r.Kind, g.kind, minLoad)
		if r.Class == declarer.ClassService {
			mean += cautionDeviations * deviation
		}
		slowdown += mean * g.processorShare
	}
	if r.Class == declarer.ClassService {
		c.harm += queueing(minLoad*slowdown) - queueing(minLoad) + (slowdown-1)*minLoad
		c.spread = spreadWeight * racks[w.Rack]
	} else {
		c.batch += batchWeight * (slowdown - 1) * share
	}
	free := w.Capacity.Sub(w.Reserved.Add(size))
	processors := float64(free.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
	memory := float64(free.MemoryMB) / float64(max(1, w.Capacity.MemoryMB))
	c.fragmentation = fragmentationWeight*max(processors-memory, memory-processors) + freeProcessorsWeight*processors
	return c
}

// queueing returns the expected number of waiting requests per slot at a load,
// as a share of the slots. For a load u, the number is u²/(1-u), the form that
// queueing models have in common, extrapolated linearly above kneeLoad.
func queueing(load float64) float64 {
	if load < kneeLoad {
		return load * load / (1 - load)
	}
	// The slope at the knee is (2u-u²)/(1-u)².
	const slope = (2*kneeLoad - kneeLoad*kneeLoad) / ((1 - kneeLoad) * (1 - kneeLoad))
	return kneeLoad*kneeLoad/(1-kneeLoad) + slope*(load-kneeLoad)
}
