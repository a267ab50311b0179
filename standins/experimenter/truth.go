// Package experimenter compares placement policies. It drives the scheduling
// cores of a user's domains with simulated workers in discrete time, and
// measures service latency, batch work and evictions.
//
// The constants of the simulation are independent of the policies: none of them
// is fitted to a policy.
package experimenter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// waveKind and brokenKind are the kinds of noisy tasks and of tasks that
	// always fail. They are added to the kinds of the workload file.
	waveKind   = "wave"
	brokenKind = "broken"

	// overDeclaredShare is the share of kinds that use less than they declare,
	// since operators declare for the worst case. The other kinds use more.
	overDeclaredShare = 0.75
	// taskSizeDeviation and taskRunDeviation are the standard deviations of the
	// logarithms of size and run time among tasks of one kind. Run times vary
	// more than sizes, because they depend on the input.
	taskSizeDeviation = 0.1
	taskRunDeviation  = 0.2
	// pairDeviation is the standard deviation of the logarithm by which the
	// coefficient of a pair of kinds differs from the product of one kind's
	// sensitivity and the other's intensity. It makes interference a property
	// of the pair and not only of each kind.
	pairDeviation = 0.5
	// driftDeviation is the standard deviation of the logarithmic change of each
	// coefficient, at one third and at two thirds of a run.
	driftDeviation = 0.3
	// batchSensitivity is the sensitivity of batch tasks and watchers relative to
	// services. It is lower, because their run time is not determined by the
	// slowest of many requests.
	batchSensitivity = 0.4
	// runTimeScale scales the run times of the workload files to those typical
	// of batch tasks. In the files they are seconds, so that the demo ends by
	// itself.
	runTimeScale = 15
)

// intensities are the slowdowns that an aggressor adds to a service per whole
// worker of CPU that it uses. Work that fits in the caches is near the first,
// work that streams through memory near the last. They are assigned to the batch
// kinds of a user in random order, so that no kind is known to be noisy. Their
// scale depends only on the two baseline policies: with twice these values, 4%
// to 31% of all requests timed out under the baselines, which no operator would
// accept.
var intensities = []float64{0.1, 0.5, 1.25}

// The intensities of the other kinds.
const (
	serviceIntensity = 0.35
	watcherIntensity = 0.15
	waveIntensity    = 1.5
)

// groundTruth holds the properties of the kinds that the policies must estimate.
type groundTruth struct {
	kinds []string
	index map[string]int
	// coefficient[v][a] is the slowdown that kind a adds to kind v per whole
	// worker of CPU that a uses.
	coefficient   [][]float64
	cpuFactor     []float64
	memoryFactor  []float64
	runTimeFactor []float64
}

func newGroundTruth(w declarer.Workload, r *rand.Rand) *groundTruth {
	t := &groundTruth{index: map[string]int{}}
	var intensity, sensitivity []float64
	add := func(kind string, i, s float64) {
		if _, known := t.index[kind]; known {
			return
		}
		t.index[kind] = len(t.kinds)
		t.kinds = append(t.kinds, kind)
		intensity, sensitivity = append(intensity, i), append(sensitivity, s)
		t.cpuFactor, t.memoryFactor = append(t.cpuFactor, sizeFactor(r)), append(t.memoryFactor, sizeFactor(r))
		t.runTimeFactor = append(t.runTimeFactor, 0.5+1.5*r.Float64())
	}
	for _, s := range w.Services {
		add(s.Name, serviceIntensity, 1)
		// A service is sized for its highest load, which the runs do not reach.
		t.cpuFactor[t.index[s.Name]] = 0.6 + 0.3*r.Float64()
		t.memoryFactor[t.index[s.Name]] = 0.6 + 0.3*r.Float64()
	}
	for _, s := range w.Watchers {
		add(s.Name, watcherIntensity, batchSensitivity)
	}
	shuffled := slices.Clone(intensities)
	r.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	for i, j := range w.Jobs {
		add(j.Kind, shuffled[i%len(shuffled)], batchSensitivity)
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

// sizeFactor draws the ratio of a kind's resource usage to its declared size.
func sizeFactor(r *rand.Rand) float64 {
	if r.Float64() < overDeclaredShare {
		return 0.4 + 0.45*r.Float64()
	}
	return 1.1 + 0.4*r.Float64()
}

func lognormal(r *rand.Rand, deviation float64) float64 {
	return math.Exp(r.NormFloat64() * deviation)
}

// driftCoefficients changes every coefficient by a random factor.
func (t *groundTruth) driftCoefficients(r *rand.Rand) {
	for _, row := range t.coefficient {
		for a := range row {
			row[a] *= lognormal(r, driftDeviation)
		}
	}
}

// slowdown returns the slowdown of a task of kind victim that runs beside tasks
// with the given CPU usage, by kind in shares of a worker. A service is affected
// more at high load, when it has more of its own data in use.
func (t *groundTruth) slowdown(victim int, usage []float64, isService bool, load float64) float64 {
	added := 0.0
	for a, u := range usage {
		added += t.coefficient[victim][a] * u
	}
	if isService {
		added *= 0.6 + 0.8*load
	}
	return 1 + added
}

// taskModel holds the actual resource usage and run time of a task, which are the
// same under every policy.
type taskModel struct {
	cores    float64 // CPU usage when not throttled
	memory   float64 // peak memory usage in MB
	soloTime float64 // run time in seconds when running alone
}

func (t *groundTruth) task(id string, kind int, declared declarer.Resources, runTime time.Duration, seed uint64) taskModel {
	r := rand.New(rand.NewPCG(seed, hash(id)))
	return taskModel{
		cores:    float64(declared.MilliCPU) / 1000 * t.cpuFactor[kind] * lognormal(r, taskSizeDeviation),
		memory:   float64(declared.MemoryMB) * t.memoryFactor[kind] * lognormal(r, taskSizeDeviation),
		soloTime: runTime.Seconds() * t.runTimeFactor[kind] * lognormal(r, taskRunDeviation),
	}
}
