// Package estimator learns sizes, run times and interference from usage
// reports that arrive late. It keeps no clock: callers pass the time.
package estimator

import (
	"math"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// HalfLife is after how long evidence counts half: a few runs of a batch
	// task, so that a new version of a program is noticed within the hour.
	HalfLife = 10 * time.Minute
	// Window is the length of time that one measurement covers, the interval
	// of the usage reports.
	Window = 3 * time.Second
	// Quantile of the observed use that is reserved.
	Quantile = 0.95
	// priorSamples is the weight of the declared size in samples. A task gives
	// a sample every 3 s, so that two or three tasks outweigh it.
	priorSamples = 10
	// priorRuns is the weight of the declared run time in runs.
	priorRuns = 2
)

// Key is what sizes and run times are learnt by.
type Key struct {
	Team string `cbor:"1,keyasint"`
	Kind string `cbor:"2,keyasint"`
}

// Estimator holds the estimates of one shard. One goroutine uses it.
type Estimator struct {
	sizes map[Key]*size
	// pairs has the estimates by victim and then by aggressor.
	pairs map[string]map[string]*pair
	// means sums the pairs of each aggressor, weighted by their precision.
	means     map[string]*kindMean
	residents map[string][]*resident
	// loads has the recent high load of each service.
	loads map[string]float64
}

// New returns an estimator without evidence.
func New() *Estimator {
	return &Estimator{sizes: map[Key]*size{}, pairs: map[string]map[string]*pair{}, means: map[string]*kindMean{}, residents: map[string][]*resident{}, loads: map[string]float64{}}
}

// size is what is known of one key. Uses are relative to the declared size,
// since tasks of one kind may be declared with different sizes.
type size struct {
	processors, memory shares
	// peak is the largest observed use of memory relative to the declared
	// size; it never decays.
	peak float64
	// run is the sum of observed relative to declared run times, and runs the
	// weight of its evidence.
	run, runs float64
	at        time.Time
}

// shares is a histogram with logarithmic bins whose counts decay.
type shares struct {
	counts [bins]float64
	total  float64
	// most is the largest value seen; it never decays. A quantile above it
	// would be an effect of the bins, and would grow without end where a
	// worker reports the reservation itself as the use.
	most float64
}

const (
	bins = 128
	// leastShare is the lower end of the first bin; each bin is binWidth times
	// as large as the one before, which covers 2% to 1,000%.
	leastShare = 0.02
	binWidth   = 1.05
)

func (s *shares) add(v float64) {
	i := 0
	if v > leastShare {
		i = min(bins-1, int(math.Log(v/leastShare)/math.Log(binWidth)))
	}
	s.counts[i]++
	s.total++
	s.most = max(s.most, v)
}

func (s *shares) decay(by float64) {
	for i := range s.counts {
		s.counts[i] *= by
	}
	s.total *= by
}

// quantile returns the upper end of the bin that holds quantile q.
func (s *shares) quantile(q float64) float64 {
	sum := 0.0
	for i, c := range s.counts {
		if sum += c; sum >= q*s.total {
			return min(s.most, leastShare*math.Pow(binWidth, float64(i+1)))
		}
	}
	return 1
}

// blend moves from the declared size, 1, to the quantile as evidence grows.
func (s *shares) blend() float64 {
	if s.total == 0 {
		return 1
	}
	w := s.total / (s.total + priorSamples)
	return w*s.quantile(Quantile) + (1 - w)
}

func (e *Estimator) size(now time.Time, k Key) *size {
	s := e.sizes[k]
	if s == nil {
		s = &size{at: now}
		e.sizes[k] = s
	}
	// Decay in steps, as it costs a pass over the bins.
	if d := now.Sub(s.at); d > HalfLife/20 {
		by := math.Pow(0.5, float64(d)/float64(HalfLife))
		s.processors.decay(by)
		s.memory.decay(by)
		s.run, s.runs, s.at = s.run*by, s.runs*by, now
	}
	return s
}

// observeUse takes one measured use of a task.
func (e *Estimator) observeUse(now time.Time, k Key, declared, used declarer.Resources, throttled bool) {
	if used.MemoryMB <= 0 || declared.MilliCPU <= 0 || declared.MemoryMB <= 0 {
		return
	}
	s := e.size(now, k)
	// A throttled task uses less than it needs.
	if !throttled {
		s.processors.add(float64(used.MilliCPU) / float64(declared.MilliCPU))
	}
	m := float64(used.MemoryMB) / float64(declared.MemoryMB)
	s.memory.add(m)
	s.peak = max(s.peak, m)
}

// Reservation returns what to reserve for a task of a declared size. Memory is
// not below the share of the declared size that was observed as a peak.
func (e *Estimator) Reservation(k Key, declared declarer.Resources) declarer.Resources {
	s := e.sizes[k]
	if s == nil || s.memory.total == 0 {
		return declared
	}
	return declarer.Resources{
		MilliCPU:     max(1, int64(s.processors.blend()*float64(declared.MilliCPU))),
		MemoryMB:     max(1, int64(math.Ceil(max(s.memory.blend(), s.peak)*float64(declared.MemoryMB)))),
		Accelerators: declared.Accelerators,
	}
}

// ObserveRun takes the run time of a completed attempt that began without a
// checkpoint and was not throttled.
func (e *Estimator) ObserveRun(now time.Time, k Key, declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	s := e.size(now, k)
	s.run += float64(took) / float64(declared)
	s.runs++
}

// RunTime returns the expected run time of a task with a declared one.
func (e *Estimator) RunTime(k Key, declared time.Duration) time.Duration {
	s := e.sizes[k]
	if s == nil {
		return declared
	}
	return time.Duration(float64(declared) * (s.run + priorRuns) / (s.runs + priorRuns))
}
