package estimator

import (
	"cmp"
	"slices"
	"time"
)

// Summary is the form of the estimates that a snapshot stores, in a fixed order.
// It doesn't include the attempts on the workers and the loads of services.
type Summary struct {
	Sizes []SizeSummary `cbor:"1,keyasint,omitempty"`
	Pairs []PairSummary `cbor:"2,keyasint,omitempty"`
}

// SizeSummary holds the quantiles of one key and the weight of their evidence.
// Processors, Memory and Peak, which is the largest use of memory, are relative
// to the declared size. Run is the decayed sum of the ratios of observed to
// declared run times, and Runs is the decayed number of runs.
type SizeSummary struct {
	Key        Key       `cbor:"1,keyasint"`
	Processors float64   `cbor:"2,keyasint"`
	Memory     float64   `cbor:"3,keyasint"`
	Samples    float64   `cbor:"4,keyasint"`
	Peak       float64   `cbor:"5,keyasint"`
	Run        float64   `cbor:"6,keyasint"`
	Runs       float64   `cbor:"7,keyasint"`
	At         time.Time `cbor:"8,keyasint"`
}

// PairSummary holds the estimate of one pair.
type PairSummary struct {
	Victim        string    `cbor:"1,keyasint"`
	Aggressor     string    `cbor:"2,keyasint"`
	Level         float64   `cbor:"3,keyasint"`
	LevelVariance float64   `cbor:"4,keyasint"`
	Slope         float64   `cbor:"5,keyasint"`
	SlopeVariance float64   `cbor:"6,keyasint"`
	At            time.Time `cbor:"7,keyasint"`
}

// Summary returns the estimates in a compact form, with quantiles instead of
// histograms.
func (e *Estimator) Summary() Summary {
	var s Summary
	for k, z := range e.sizes {
		s.Sizes = append(s.Sizes, SizeSummary{k, z.processors.quantile(Quantile), z.memory.quantile(Quantile), z.memory.total, z.peakMemory, z.runRatioSum, z.runWeight, z.updatedAt})
	}
	slices.SortFunc(s.Sizes, func(a, b SizeSummary) int {
		return cmp.Or(cmp.Compare(a.Key.Team, b.Key.Team), cmp.Compare(a.Key.Kind, b.Key.Kind))
	})
	for victim, row := range e.pairs {
		for aggressor, p := range row {
			s.Pairs = append(s.Pairs, PairSummary{victim, aggressor, p.level, p.levelVariance, p.slope, p.slopeVariance, p.updatedAt})
		}
	}
	slices.SortFunc(s.Pairs, func(a, b PairSummary) int {
		return cmp.Or(cmp.Compare(a.Victim, b.Victim), cmp.Compare(a.Aggressor, b.Aggressor))
	})
	return s
}

// Restore replaces the estimates by those of a summary.
func (e *Estimator) Restore(s Summary) {
	fresh := New()
	for _, z := range s.Sizes {
		n := &sizeEstimate{peakMemory: z.Peak, runRatioSum: z.Run, runWeight: z.Runs, updatedAt: z.At}
		n.processors.restore(z.Processors, z.Samples)
		n.memory.restore(z.Memory, z.Samples)
		fresh.sizes[z.Key] = n
	}
	for _, p := range s.Pairs {
		if p.LevelVariance <= 0 {
			continue
		}
		fresh.pair(p.At, p.Victim, p.Aggressor)
		k, n := fresh.means[p.Aggressor], fresh.pairs[p.Victim][p.Aggressor]
		k.weightedSum, k.precision = k.weightedSum-n.level/n.levelVariance, k.precision-1/n.levelVariance
		*n = pair{p.Level, p.Slope, p.LevelVariance, p.SlopeVariance, p.At}
		k.weightedSum, k.precision = k.weightedSum+n.level/n.levelVariance, k.precision+1/n.levelVariance
	}
	*e = *fresh
}

// restore sets an empty histogram to the value v with the given weight in
// samples.
func (s *histogram) restore(v, weight float64) {
	if weight <= 0 {
		return
	}
	s.add(v)
	for i := range s.counts {
		s.counts[i] *= weight
	}
	s.total, s.largest = weight, v
}
