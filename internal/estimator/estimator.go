// Package estimator estimates sizes, run times and interference from usage
// reports that arrive with a delay. It reads no clock: callers pass the time.
package estimator

import (
	"math"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// HalfLife is the time in which the weight of evidence decays by half. It
	// spans a few runs of a batch task, so that the estimates follow a new
	// version of a program within an hour.
	HalfLife = 10 * time.Minute
	// Window is the time that one measurement covers, which is the interval of
	// the usage reports.
	Window = 3 * time.Second
	// Quantile is the quantile of the observed use that is reserved.
	Quantile = 0.95
	// priorSamples is the weight of the declared size in samples. A running task
	// gives a sample every 3 s, so that two or three tasks outweigh the declared
	// size.
	priorSamples = 10
	// priorRuns is the weight of the declared run time in runs.
	priorRuns = 2
)

// Key identifies the tasks whose sizes and run times are estimated together.
type Key struct {
	Team string `cbor:"1,keyasint"`
	Kind string `cbor:"2,keyasint"`
}

// Estimator holds the estimates of one shard. One goroutine uses it.
type Estimator struct {
	sizes map[Key]*sizeEstimate
	// pairs holds the estimates by victim kind and then by aggressor kind.
	pairs map[string]map[string]*pair
	// means holds the mean level of each aggressor kind over its pairs.
	means map[string]*aggressorMean
	// history holds the attempts that run on each worker or ended there within
	// endedRetention.
	history map[string][]*attemptRecord
	// loads holds the recent peak load of each service.
	loads map[string]float64
}

// New returns an Estimator without evidence.
func New() *Estimator {
	return &Estimator{sizes: map[Key]*sizeEstimate{}, pairs: map[string]map[string]*pair{}, means: map[string]*aggressorMean{}, history: map[string][]*attemptRecord{}, loads: map[string]float64{}}
}

// sizeEstimate holds the evidence for one key. Uses are relative to the declared
// size, since tasks of one kind may be declared with different sizes.
type sizeEstimate struct {
	processors, memory histogram
	// peakMemory is the largest observed use of memory relative to the declared
	// size; it never decays.
	peakMemory float64
	// runRatioSum is the decayed sum of the ratios of observed to declared run
	// times, runWeight the decayed number of runs.
	runRatioSum, runWeight float64
	updatedAt              time.Time
}

// histogram counts values in logarithmic bins. Its counts decay.
type histogram struct {
	counts [binCount]float64
	total  float64
	// largest is the largest value added; it never decays. It bounds the
	// quantiles, which are upper ends of bins: otherwise the reservation would
	// grow without end where a worker reports the reservation as the use.
	largest float64
}

const (
	binCount = 128
	// minShare is the lower end of the first bin. Each bin is binRatio times as
	// wide as the one before it, so that the bins cover 2% to 1,000%.
	minShare = 0.02
	binRatio = 1.05
)

func (s *histogram) add(v float64) {
	i := 0
	if v > minShare {
		i = min(binCount-1, int(math.Log(v/minShare)/math.Log(binRatio)))
	}
	s.counts[i]++
	s.total++
	s.largest = max(s.largest, v)
}

func (s *histogram) decay(factor float64) {
	for i := range s.counts {
		s.counts[i] *= factor
	}
	s.total *= factor
}

// quantile returns the upper end of the bin that holds quantile q.
func (s *histogram) quantile(q float64) float64 {
	sum := 0.0
	for i, c := range s.counts {
		if sum += c; sum >= q*s.total {
			return min(s.largest, minShare*math.Pow(binRatio, float64(i+1)))
		}
	}
	return 1
}

// reservedShare returns the share of the declared size to reserve. It moves from
// 1 to Quantile as evidence grows.
func (s *histogram) reservedShare() float64 {
	if s.total == 0 {
		return 1
	}
	w := s.total / (s.total + priorSamples)
	return w*s.quantile(Quantile) + (1 - w)
}

// decayedSize returns the evidence for a key, decayed to the present, and creates
// it if needed.
func (e *Estimator) decayedSize(now time.Time, k Key) *sizeEstimate {
	s := e.sizes[k]
	if s == nil {
		s = &sizeEstimate{updatedAt: now}
		e.sizes[k] = s
	}
	// Decay at most every twentieth of HalfLife, since each decay takes a pass
	// over the bins.
	if d := now.Sub(s.updatedAt); d > HalfLife/20 {
		factor := math.Pow(0.5, float64(d)/float64(HalfLife))
		s.processors.decay(factor)
		s.memory.decay(factor)
		s.runRatioSum, s.runWeight, s.updatedAt = s.runRatioSum*factor, s.runWeight*factor, now
	}
	return s
}

// observeUse adds one measured use of a task.
func (e *Estimator) observeUse(now time.Time, k Key, declared, used declarer.Resources, throttled bool) {
	if used.MemoryMB <= 0 || declared.MilliCPU <= 0 || declared.MemoryMB <= 0 {
		return
	}
	s := e.decayedSize(now, k)
	// A throttled task uses fewer processors than it needs.
	if !throttled {
		s.processors.add(float64(used.MilliCPU) / float64(declared.MilliCPU))
	}
	memoryShare := float64(used.MemoryMB) / float64(declared.MemoryMB)
	s.memory.add(memoryShare)
	s.peakMemory = max(s.peakMemory, memoryShare)
}

// Reservation returns the reservation for a task of a declared size. Its memory
// is at least the largest observed share of the declared size.
func (e *Estimator) Reservation(k Key, declared declarer.Resources) declarer.Resources {
	s := e.sizes[k]
	if s == nil || s.memory.total == 0 {
		return declared
	}
	return declarer.Resources{
		MilliCPU:     max(1, int64(s.processors.reservedShare()*float64(declared.MilliCPU))),
		MemoryMB:     max(1, int64(math.Ceil(max(s.memory.reservedShare(), s.peakMemory)*float64(declared.MemoryMB)))),
		Accelerators: declared.Accelerators,
	}
}

// ObserveRun adds the run time of a completed attempt. The attempt must have
// started without a checkpoint and must not have been throttled.
func (e *Estimator) ObserveRun(now time.Time, k Key, declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	s := e.decayedSize(now, k)
	s.runRatioSum += float64(took) / float64(declared)
	s.runWeight++
}

// RunTime returns the expected run time of a task with a declared run time.
func (e *Estimator) RunTime(k Key, declared time.Duration) time.Duration {
	s := e.sizes[k]
	if s == nil {
		return declared
	}
	return time.Duration(float64(declared) * (s.runRatioSum + priorRuns) / (s.runWeight + priorRuns))
}
