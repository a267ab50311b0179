package estimator

import (
	"math"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// priorMean and priorDeviation are the mean and standard deviation, before any
	// evidence, of the slowdown that an aggressor adds if it uses all processors
	// of a worker.
	priorMean      = 0.5
	priorDeviation = 0.5
	// priorSlopeDeviation is the standard deviation of the slope of a pair before
	// any evidence.
	priorSlopeDeviation = 0.5
	// measurementDeviation is the standard deviation of one measured slowdown,
	// including the error of the model.
	measurementDeviation = 0.1
	// driftVariance is the variance that level and slope of a pair gain in one
	// HalfLife.
	driftVariance = 0.1
	// referenceLoad is the load to which the level of a pair applies.
	referenceLoad = 0.5
	// loadDecay is the factor by which the recent peak load of a service falls
	// with each measurement of a replica.
	loadDecay = 0.9999
	// endedRetention is how long an ended attempt is kept, since late
	// measurements may cover it.
	endedRetention = time.Minute
)

// pair is the estimated slowdown of one victim kind by one aggressor kind, as a
// level at referenceLoad and a slope over the victim's load.
type pair struct {
	level, slope                 float64
	levelVariance, slopeVariance float64
	updatedAt                    time.Time
}

// aggressorMean is the mean of the levels of one aggressor, weighted by their
// precision, as the weighted sum and the sum of the weights.
type aggressorMean struct{ weightedSum, precision float64 }

// attemptRecord records that an attempt runs on a worker or ended there
// recently.
type attemptRecord struct {
	task    string
	attempt uint64
	kind    string
	from    time.Time
	// to is the zero time while the attempt runs.
	to time.Time
	// use is the share of the worker's processors that the attempt uses, as last
	// measured, or reserved if not measured yet.
	use float64
}

// Started records that an attempt started on a worker. The attempt reserves the
// share use of the worker's processors.
func (e *Estimator) Started(now time.Time, worker, task string, attempt uint64, kind string, use float64) {
	e.history[worker] = append(e.history[worker], &attemptRecord{task: task, attempt: attempt, kind: kind, from: now, use: use})
}

// Ended records that an attempt ended.
func (e *Estimator) Ended(now time.Time, worker, task string, attempt uint64) {
	records := e.history[worker]
	retained := records[:0]
	for _, r := range records {
		if r.task == task && r.attempt == attempt && r.to.IsZero() {
			r.to = now
		}
		if r.to.IsZero() || now.Sub(r.to) < endedRetention {
			retained = append(retained, r)
		}
	}
	e.history[worker] = retained
}

// Report is a measurement of the attempts on one worker over the Window that
// ended at MeasuredAt. It arrives with a delay.
type Report struct {
	Worker     string
	Capacity   declarer.Resources
	MeasuredAt time.Time
	Attempts   []Measurement
}

// Measurement is the part of a report about one attempt. Slowdown is the run
// time, or the response time of a service, relative to running alone. Load is the
// share of a service's slots in use. Slowdown and Usage are zero if not measured.
type Measurement struct {
	Task      string
	Attempt   uint64
	Key       Key
	Declared  declarer.Resources
	Usage     declarer.Resources
	Slowdown  float64
	Load      float64
	IsService bool
	// Throttled is set for attempts whose processors are limited, so that their
	// slowdown and use of processors are not representative.
	Throttled bool
}

// Observe updates the estimates from a report. A slowdown is attributed only to
// attempts that ran during the measurement's window.
func (e *Estimator) Observe(now time.Time, r Report) {
	if r.Capacity.MilliCPU <= 0 {
		return
	}
	records := e.history[r.Worker]
	for _, m := range r.Attempts {
		e.observeUse(now, m.Key, m.Declared, m.Usage, m.Throttled)
		if m.IsService {
			e.loads[m.Key.Kind] = max(m.Load, e.loads[m.Key.Kind]*loadDecay)
		}
		for _, o := range records {
			if o.task == m.Task && o.attempt == m.Attempt && m.Usage.MilliCPU > 0 {
				o.use = float64(m.Usage.MilliCPU) / float64(r.Capacity.MilliCPU)
			}
		}
	}
	from := r.MeasuredAt.Add(-Window)
	for _, m := range r.Attempts {
		if m.Slowdown > 0 && !m.Throttled {
			e.observeSlowdown(now, m, records, from, r.MeasuredAt)
		}
	}
}

// aggressorUse is the share of a worker's processors that one aggressor kind
// used on average in the window of a measurement.
type aggressorUse struct {
	kind string
	use  float64
}

// aggressorsDuring returns the use, by kind, of the other attempts on the worker
// in a window.
func aggressorsDuring(m Measurement, records []*attemptRecord, from, to time.Time) []aggressorUse {
	var found []aggressorUse
next:
	for _, o := range records {
		if o.task == m.Task && o.attempt == m.Attempt {
			continue
		}
		begin, end := from, to
		if o.from.After(begin) {
			begin = o.from
		}
		if !o.to.IsZero() && o.to.Before(end) {
			end = o.to
		}
		if !end.After(begin) {
			continue
		}
		use := o.use * float64(end.Sub(begin)) / float64(to.Sub(from))
		for i := range found {
			if found[i].kind == o.kind {
				found[i].use += use
				continue next
			}
		}
		found = append(found, aggressorUse{o.kind, use})
	}
	return found
}

// observeSlowdown updates the pairs of one victim by a Kalman filter with a
// diagonal covariance. Exact attribution would need a full matrix for each
// victim kind; without it, the estimates of aggressors still separate if they
// run in many different combinations.
func (e *Estimator) observeSlowdown(now time.Time, m Measurement, records []*attemptRecord, from, to time.Time) {
	aggressors := aggressorsDuring(m, records, from, to)
	loadOffset := 0.0
	if m.IsService {
		loadOffset = m.Load - referenceLoad
	}
	predicted, variance := 0.0, measurementDeviation*measurementDeviation
	for _, in := range aggressors {
		p := e.pair(now, m.Key.Kind, in.kind)
		predicted += in.use * (p.level + loadOffset*p.slope)
		variance += in.use * in.use * (p.levelVariance + loadOffset*loadOffset*p.slopeVariance)
	}
	innovation := m.Slowdown - 1 - predicted
	for _, in := range aggressors {
		p := e.pairs[m.Key.Kind][in.kind]
		k := e.means[in.kind]
		k.weightedSum, k.precision = k.weightedSum-p.level/p.levelVariance, k.precision-1/p.levelVariance
		gain := p.levelVariance * in.use / variance
		p.level += gain * innovation
		p.levelVariance *= 1 - gain*in.use
		slopeGain := p.slopeVariance * in.use * loadOffset / variance
		p.slope += slopeGain * innovation
		p.slopeVariance *= 1 - slopeGain*in.use*loadOffset
		k.weightedSum, k.precision = k.weightedSum+p.level/p.levelVariance, k.precision+1/p.levelVariance
	}
}

// pair returns the estimate of a pair and adds the variance gained since its
// last update. A new pair starts at the mean of its aggressor.
func (e *Estimator) pair(now time.Time, victim, aggressor string) *pair {
	row := e.pairs[victim]
	if row == nil {
		row = map[string]*pair{}
		e.pairs[victim] = row
	}
	p := row[aggressor]
	if p == nil {
		level, deviation := e.prior(aggressor)
		p = &pair{level: level, levelVariance: deviation * deviation, slopeVariance: priorSlopeDeviation * priorSlopeDeviation, updatedAt: now}
		row[aggressor] = p
		k := e.means[aggressor]
		if k == nil {
			k = &aggressorMean{}
			e.means[aggressor] = k
		}
		k.weightedSum, k.precision = k.weightedSum+level/p.levelVariance, k.precision+1/p.levelVariance
		return p
	}
	if d := now.Sub(p.updatedAt); d > 0 {
		k := e.means[aggressor]
		k.weightedSum, k.precision = k.weightedSum-p.level/p.levelVariance, k.precision-1/p.levelVariance
		age := float64(d) / float64(HalfLife)
		p.levelVariance = min(p.levelVariance+driftVariance*age, priorDeviation*priorDeviation)
		p.slopeVariance = min(p.slopeVariance+driftVariance*age, priorSlopeDeviation*priorSlopeDeviation)
		p.updatedAt = now
		k.weightedSum, k.precision = k.weightedSum+p.level/p.levelVariance, k.precision+1/p.levelVariance
	}
	return p
}

// prior returns the expected level of a pair without evidence, with its standard
// deviation.
func (e *Estimator) prior(aggressor string) (mean, deviation float64) {
	const weight = 1 / (priorDeviation * priorDeviation)
	k := e.means[aggressor]
	if k == nil {
		return priorMean, priorDeviation
	}
	return (k.weightedSum + priorMean*weight) / (k.precision + weight), priorDeviation
}

// Slowdown returns the slowdown, at least 0, that tasks of kind b add to a task
// of kind a if they use all processors of the worker, and its standard deviation.
// The load is that of kind a if it is a service, and 0.5, the reference load, for
// batch. The less evidence there is of the pair, the more the estimate is shrunk
// towards the mean of b.
func (e *Estimator) Slowdown(a, b string, load float64) (mean, deviation float64) {
	priorLevel, priorLevelDeviation := e.prior(b)
	p := e.pairs[a][b]
	if p == nil {
		return priorLevel, priorLevelDeviation
	}
	loadOffset := load - referenceLoad
	pairPrecision, priorPrecision := 1/p.levelVariance, 1/(priorLevelDeviation*priorLevelDeviation)
	level := (p.level*pairPrecision + priorLevel*priorPrecision) / (pairPrecision + priorPrecision)
	return max(0, level+loadOffset*p.slope), math.Sqrt(1/(pairPrecision+priorPrecision) + loadOffset*loadOffset*p.slopeVariance)
}

// Load returns the recent peak load of a service as a share of its slots.
func (e *Estimator) Load(service string) float64 { return e.loads[service] }
