package estimator

import (
	"math"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// priorMean and priorDeviation describe a pair before any evidence: the
	// slowdown that the aggressor adds per whole worker of processors it uses.
	priorMean      = 0.5
	priorDeviation = 0.5
	// priorSlope is the deviation of how much a pair depends on load.
	priorSlope = 0.5
	// noise is the deviation of one measurement, including what the model
	// leaves out.
	noise = 0.1
	// drift is the variance that a pair gains in one HalfLife.
	drift = 0.1
	// middleLoad is the load at which the slope of a pair counts nothing.
	middleLoad = 0.5
	// loadDecay is by how much the high load of a service falls with each
	// measurement of a replica.
	loadDecay = 0.9999
	// kept is for how long an ended attempt may appear in late measurements.
	kept = time.Minute
)

// pair is the estimate for one victim and one aggressor: a level at
// middleLoad and a slope over the victim's load.
type pair struct {
	level, slope                 float64
	levelVariance, slopeVariance float64
	at                           time.Time
}

// kindMean sums the levels of one aggressor weighted by precision.
type kindMean struct{ weighted, precision float64 }

// resident is an attempt on a worker, or one that ended there of late.
type resident struct {
	task    string
	attempt uint64
	kind    string
	from    time.Time
	// to is the zero time while the attempt runs.
	to time.Time
	// use is the share of the worker's processors last measured or reserved.
	use float64
}

// Started notes that an attempt runs on a worker with a share of its
// processors reserved.
func (e *Estimator) Started(now time.Time, worker, task string, attempt uint64, kind string, use float64) {
	e.residents[worker] = append(e.residents[worker], &resident{task: task, attempt: attempt, kind: kind, from: now, use: use})
}

// Ended notes that an attempt doesn't run any more.
func (e *Estimator) Ended(now time.Time, worker, task string, attempt uint64) {
	all := e.residents[worker]
	live := all[:0]
	for _, r := range all {
		if r.task == task && r.attempt == attempt && r.to.IsZero() {
			r.to = now
		}
		if r.to.IsZero() || now.Sub(r.to) < kept {
			live = append(live, r)
		}
	}
	e.residents[worker] = live
}

// Report is a late measurement of the attempts on one worker.
type Report struct {
	Worker     string
	Capacity   declarer.Resources
	MeasuredAt time.Time
	Attempts   []Measurement
}

// Measurement is what a report says of one attempt. Slowdown and Usage are
// zero when not measured.
type Measurement struct {
	Task      string
	Attempt   uint64
	Key       Key
	Declared  declarer.Resources
	Usage     declarer.Resources
	Slowdown  float64
	Load      float64
	IsService bool
	// Throttled attempts say nothing of their own slowdown or need.
	Throttled bool
}

// Observe takes a report. A slowdown counts only for the pairs that ran during
// the measurement's window.
func (e *Estimator) Observe(now time.Time, r Report) {
	if r.Capacity.MilliCPU <= 0 {
		return
	}
	residents := e.residents[r.Worker]
	for _, m := range r.Attempts {
		e.observeUse(now, m.Key, m.Declared, m.Usage, m.Throttled)
		if m.IsService {
			e.loads[m.Key.Kind] = max(m.Load, e.loads[m.Key.Kind]*loadDecay)
		}
		for _, o := range residents {
			if o.task == m.Task && o.attempt == m.Attempt && m.Usage.MilliCPU > 0 {
				o.use = float64(m.Usage.MilliCPU) / float64(r.Capacity.MilliCPU)
			}
		}
	}
	from := r.MeasuredAt.Add(-Window)
	for _, m := range r.Attempts {
		if m.Slowdown > 0 && !m.Throttled {
			e.observeSlowdown(now, m, residents, from, r.MeasuredAt)
		}
	}
}

// input is one aggressor kind in the window of a measurement.
type input struct {
	kind string
	use  float64
}

// overlap gathers the use by kind of the other attempts in a window.
func overlap(m Measurement, residents []*resident, from, to time.Time) []input {
	var found []input
next:
	for _, o := range residents {
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
		found = append(found, input{o.kind, use})
	}
	return found
}

// observeSlowdown updates the pairs of one victim as a Kalman filter whose
// covariance is kept diagonal: exact attribution would need a matrix for each
// victim kind, and the pairs that ran in many different mixtures separate
// without it.
func (e *Estimator) observeSlowdown(now time.Time, m Measurement, residents []*resident, from, to time.Time) {
	inputs := overlap(m, residents, from, to)
	x := 0.0
	if m.IsService {
		x = m.Load - middleLoad
	}
	predicted, variance := 0.0, noise*noise
	for _, in := range inputs {
		p := e.pair(now, m.Key.Kind, in.kind)
		predicted += in.use * (p.level + x*p.slope)
		variance += in.use * in.use * (p.levelVariance + x*x*p.slopeVariance)
	}
	surprise := m.Slowdown - 1 - predicted
	for _, in := range inputs {
		p := e.pairs[m.Key.Kind][in.kind]
		k := e.means[in.kind]
		k.weighted, k.precision = k.weighted-p.level/p.levelVariance, k.precision-1/p.levelVariance
		gain := p.levelVariance * in.use / variance
		p.level += gain * surprise
		p.levelVariance *= 1 - gain*in.use
		slopeGain := p.slopeVariance * in.use * x / variance
		p.slope += slopeGain * surprise
		p.slopeVariance *= 1 - slopeGain*in.use*x
		k.weighted, k.precision = k.weighted+p.level/p.levelVariance, k.precision+1/p.levelVariance
	}
}

// pair returns the estimate of a pair, with the variance that it has gained
// since it was last updated. A new pair starts at the mean of its aggressor.
func (e *Estimator) pair(now time.Time, victim, aggressor string) *pair {
	row := e.pairs[victim]
	if row == nil {
		row = map[string]*pair{}
		e.pairs[victim] = row
	}
	p := row[aggressor]
	if p == nil {
		level, deviation := e.prior(aggressor)
		p = &pair{level: level, levelVariance: deviation * deviation, slopeVariance: priorSlope * priorSlope, at: now}
		row[aggressor] = p
		k := e.means[aggressor]
		if k == nil {
			k = &kindMean{}
			e.means[aggressor] = k
		}
		k.weighted, k.precision = k.weighted+level/p.levelVariance, k.precision+1/p.levelVariance
		return p
	}
	if d := now.Sub(p.at); d > 0 {
		k := e.means[aggressor]
		k.weighted, k.precision = k.weighted-p.level/p.levelVariance, k.precision-1/p.levelVariance
		age := float64(d) / float64(HalfLife)
		p.levelVariance = min(p.levelVariance+drift*age, priorDeviation*priorDeviation)
		p.slopeVariance = min(p.slopeVariance+drift*age, priorSlope*priorSlope)
		p.at = now
		k.weighted, k.precision = k.weighted+p.level/p.levelVariance, k.precision+1/p.levelVariance
	}
	return p
}

// prior returns what is expected of an aggressor before its pair is known.
func (e *Estimator) prior(aggressor string) (mean, deviation float64) {
	const weight = 1 / (priorDeviation * priorDeviation)
	k := e.means[aggressor]
	if k == nil {
		return priorMean, priorDeviation
	}
	return (k.weighted + priorMean*weight) / (k.precision + weight), priorDeviation
}

// Slowdown returns the slowdown that one whole worker of processors used by
// kind b adds to a task of kind a, at a load of a service or at middleLoad for
// other kinds, with its deviation. It is shrunk towards the mean of b, the
// more the less is known of the pair, and never negative.
func (e *Estimator) Slowdown(a, b string, load float64) (mean, deviation float64) {
	m, d := e.prior(b)
	p := e.pairs[a][b]
	if p == nil {
		return m, d
	}
	x := load - middleLoad
	own, general := 1/p.levelVariance, 1/(d*d)
	level := (p.level*own + m*general) / (own + general)
	return max(0, level+x*p.slope), math.Sqrt(1/(own+general) + x*x*p.slopeVariance)
}

// Load returns the recent high load of a service as a share of its slots.
func (e *Estimator) Load(service string) float64 { return e.loads[service] }
