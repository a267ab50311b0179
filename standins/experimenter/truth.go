// Package experimenter compares placement policies: it drives the scheduling
// cores of a user's domains against a fake of workers in discrete time, and
// measures service latency, batch work and evictions.
//
// The fake was written before the policies were tuned. Its constants are
// documented with their reasons and are not fitted to a policy.
package experimenter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// waveKind and brokenKind are added to the kinds of the workload file.
	waveKind   = "wave"
	brokenKind = "broken"

	// overDeclaredShare of the kinds use less than they declare, since
	// operators declare for the worst case; the others use more.
	overDeclaredShare = 0.75
	// taskSizeDeviation and taskRunDeviation are the logarithmic deviations
	// among tasks of one kind. Run times differ more than sizes, because they
	// depend on the input.
	taskSizeDeviation = 0.1
	taskRunDeviation  = 0.2
	// pairDeviation is the logarithmic deviation of a pair of kinds from the
	// product of one kind's sensitivity and the other's intensity; it makes
	// the pair matter, and not only the two kinds.
	pairDeviation = 0.5
	// driftDeviation is the logarithmic change of each coefficient at a third
	// and at two thirds of a run.
	driftDeviation = 0.3
	// batchSensitivity is how much batch and watchers suffer relative to a
	// service: their time is not bound to the slowest of many requests.
	batchSensitivity = 0.4
	// runTimeScale makes the run times of the workload files, which are
	// seconds so that the demo ends by itself, typical of batch tasks.
	runTimeScale = 15
)

// intensities are the slowdowns that an aggressor adds to a service per whole
// worker of processors that it uses. Work that stays in its caches is near the
// first, work that streams through memory near the last. They are dealt to
// the batch kinds of a user in a random order, so that no kind is known to be
// noisy. Their scale was set on the two baselines alone, before there was a
// third policy: with twice these values, 4% to 31% of all requests timed out
// under the baselines, which no operator would accept.
var intensities = []float64{0.1, 0.5, 1.25}

const (
	serviceIntensity = 0.35
	watcherIntensity = 0.15
	waveIntensity    = 1.5
)

// truth is what the policies can't see.
type truth struct {
	kinds []string
	index map[string]int
	// coefficient is the slowdown that the second kind adds to the first per
	// whole worker of processors in use.
	coefficient [][]float64
	processors  []float64
	memory      []float64
	runTime     []float64
}

func newTruth(w declarer.Workload, r *rand.Rand) *truth {
	t := &truth{index: map[string]int{}}
	var intensity, sensitivity []float64
	add := func(kind string, i, s float64) {
		if _, known := t.index[kind]; known {
			return
		}
		t.index[kind] = len(t.kinds)
		t.kinds = append(t.kinds, kind)
		intensity, sensitivity = append(intensity, i), append(sensitivity, s)
		t.processors, t.memory = append(t.processors, sizeFactor(r)), append(t.memory, sizeFactor(r))
		t.runTime = append(t.runTime, 0.5+1.5*r.Float64())
	}
	for _, s := range w.Services {
		add(s.Name, serviceIntensity, 1)
		// A service is sized for its highest load, which is not reached here.
		t.processors[t.index[s.Name]] = 0.6 + 0.3*r.Float64()
		t.memory[t.index[s.Name]] = 0.6 + 0.3*r.Float64()
	}
	for _, s := range w.Watchers {
		add(s.Name, watcherIntensity, batchSensitivity)
	}
	dealt := slices.Clone(intensities)
	r.Shuffle(len(dealt), func(i, j int) { dealt[i], dealt[j] = dealt[j], dealt[i] })
	for i, j := range w.Jobs {
		add(j.Kind, dealt[i%len(dealt)], batchSensitivity)
	}
	add(waveKind, waveIntensity, batchSensitivity)
	add(brokenKind, watcherIntensity, batchSensitivity)
	for v := range t.kinds {
		row := make([]float64, len(t.kinds))
		for a := range row {
			row[a] = intensity[a] * sensitivity[v] * lognormal(r, pairDeviation)
		}
		t.coefficient = append(t.coefficient, row)
	}
	return t
}

// sizeFactor is the use of a kind relative to its declared size.
func sizeFactor(r *rand.Rand) float64 {
	if r.Float64() < overDeclaredShare {
		return 0.4 + 0.45*r.Float64()
	}
	return 1.1 + 0.4*r.Float64()
}

func lognormal(r *rand.Rand, deviation float64) float64 {
	return math.Exp(r.NormFloat64() * deviation)
}

// drift changes every coefficient.
func (t *truth) drift(r *rand.Rand) {
	for _, row := range t.coefficient {
		for a := range row {
			row[a] *= lognormal(r, driftDeviation)
		}
	}
}

// slowdown returns the slowdown that the aggressors' use of processors, in
// shares of a worker by kind, causes a task of kind v. A service suffers more
// at high load, when it has more of its own data in use.
func (t *truth) slowdown(v int, use []float64, isService bool, load float64) float64 {
	added := 0.0
	for a, u := range use {
		added += t.coefficient[v][a] * u
	}
	if isService {
		added *= 0.6 + 0.8*load
	}
	return 1 + added
}

// trueTask is the hidden side of one task, the same under every policy.
type trueTask struct {
	processors float64 // in cores, when not held back
	memory     float64 // in MB, at its peak
	alone      float64 // seconds to run alone
}

func (t *truth) task(id string, kind int, declared declarer.Resources, runTime time.Duration, seed uint64) trueTask {
	r := rand.New(rand.NewPCG(seed, hash(id)))
	return trueTask{
		processors: float64(declared.MilliCPU) / 1000 * t.processors[kind] * lognormal(r, taskSizeDeviation),
		memory:     float64(declared.MemoryMB) * t.memory[kind] * lognormal(r, taskSizeDeviation),
		alone:      runTime.Seconds() * t.runTime[kind] * lognormal(r, taskRunDeviation),
	}
}
