package placer

import (
	"fmt"
	"slices"

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
	fragmentationWeight = 0.05
	// roomWeight is the cost of leaving a whole worker free, so that large
	// tasks find room on others.
	roomWeight = 0.02
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

// ShareError reports that batch has used up its share of the domain.
type ShareError struct {
	Task string
	// Used and Limit are shares of the domain's processors.
	Used, Limit float64
	Preset      string
}

func (e *ShareError) Error() string {
	return fmt.Sprintf("batch would take %.1f%% of the domain's processors, above %.1f%% (%s)", 100*e.Used, 100*e.Limit, e.Preset)
}

// Estimates are what the interference-aware policy places by.
type Estimates struct {
	// Slowdown returns what one worker of processors used by kind b adds to
	// the slowdown of kind a, with its deviation.
	Slowdown func(a, b string, load float64) (mean, deviation float64)
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
	if err := checkShare(v, r, size, params); err != nil {
		return Choice{}, err
	}
	limit := params.HarmLimit * (1 + float64(r.Waiting)/float64(max(1, params.HarmPatience)))
	racks := replicasByRack(v, r)
	best, bestCost, harmful, least := -1, cost{}, 0, 0.0
	for i := range v.Workers {
		w := &v.Workers[i]
		if !w.Reserved.Add(size).FitsIn(w.Capacity) || slices.Contains(r.Avoid, w.ID) {
			continue
		}
		c := e.cost(w, r, size, racks)
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

// checkShare keeps batch within its share and, unless it is urgent, out of the
// headroom.
func checkShare(v *View, r Request, size declarer.Resources, p Parameters) error {
	if r.Class != declarer.ClassBatch {
		return nil
	}
	t := v.sums()
	if t.capacity == 0 {
		return nil
	}
	share := func(n int64) float64 { return float64(n+size.MilliCPU) / float64(t.capacity) }
	if s := share(t.batch); s > p.BatchShare {
		return &ShareError{r.Task, s, p.BatchShare, "share for batch"}
	}
	if s := share(t.reserved); !r.Urgent && s > 1-p.Headroom {
		return &ShareError{r.Task, s, 1 - p.Headroom, "headroom for urgent work"}
	}
	return nil
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

func loadOf(t Running) float64 {
	if t.Class != declarer.ClassService {
		return leastLoad
	}
	return max(t.Load, leastLoad)
}

// slowdowns returns the expected slowdown of each task on a worker.
func (e Estimates) slowdowns(w *Worker) []float64 {
	if w.predicted == nil {
		w.predicted = make([]float64, len(w.Running))
		for i, t := range w.Running {
			w.predicted[i] = 1
			if t.Class != declarer.ClassService {
				continue
			}
			for j, o := range w.Running {
				if i != j {
					mean, _ := e.Slowdown(t.Kind, o.Kind, loadOf(t))
					w.predicted[i] += mean * use(o.Reserved, w)
				}
			}
		}
	}
	return w.predicted
}

func (e Estimates) cost(w *Worker, r Request, size declarer.Resources, racks map[string]float64) cost {
	var c cost
	x, own := use(size, w), 1.0
	before := e.slowdowns(w)
	for i, t := range w.Running {
		y := use(t.Reserved, w)
		mean, deviation := e.Slowdown(t.Kind, r.Kind, loadOf(t))
		if t.Class == declarer.ClassService {
			load := loadOf(t)
			added := (mean + caution*deviation) * x
			c.harm += queueing(load*(before[i]+added)/before[i]) - queueing(load) + added*load
		} else {
			c.batch += batchWeight * mean * x * y
		}
		mean, deviation = e.Slowdown(r.Kind, t.Kind, leastLoad)
		if r.Class == declarer.ClassService {
			mean += caution * deviation
		}
		own += mean * y
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
