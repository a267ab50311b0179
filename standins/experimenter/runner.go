package experimenter

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// serviceTime is the mean service time in seconds of a request that runs
	// alone, such as a report over a day of readings or a quotation. Service
	// times are exponentially distributed.
	serviceTime = 0.1
	// requestTimeout is the time limit of callers, in seconds. A request that
	// can't start within the limit is recorded with this response time.
	requestTimeout = 2.0
	// slots is how many requests a runner serves concurrently.
	slots = 8
)

// runner is a multi-server queue whose service time grows with the slowdown.
type runner struct {
	// freeAt holds the times in seconds at which the slots become free.
	freeAt [slots]float64
	// load is the smoothed share of the slots in use.
	load float64
}

// serve simulates the arrivals of one step, passes their response times to
// record and returns the updated load.
func (q *runner) serve(r *rand.Rand, from, step, rate, slowdown float64, record func(seconds float64)) float64 {
	busyTime := 0.0
	for at := from + r.ExpFloat64()/rate; at < from+step; at += r.ExpFloat64() / rate {
		first := 0
		for i, f := range q.freeAt {
			if f < q.freeAt[first] {
				first = i
			}
		}
		begin := max(at, q.freeAt[first])
		if begin-at > requestTimeout {
			record(requestTimeout)
			continue
		}
		duration := r.ExpFloat64() * serviceTime * slowdown
		q.freeAt[first] = begin + duration
		busyTime += duration
		record(min(begin+duration-at, requestTimeout))
	}
	// A worker measures the load over several seconds, which the smoothing
	// reproduces.
	q.load += (min(1, busyTime/(slots*step)) - q.load) * 0.3
	return q.load
}

// latency is a histogram of response times from 1 ms to the timeout.
type latency struct{ histogram *hdrhistogram.Histogram }

func newLatency() latency { return latency{hdrhistogram.New(1, 10_000, 3)} }

func (l latency) record(seconds float64) {
	// The value is below the histogram's limit, so RecordValue can't fail.
	_ = l.histogram.RecordValue(max(1, int64(seconds*1000)))
}

func (l latency) percentile(percent float64) time.Duration {
	return time.Duration(l.histogram.ValueAtQuantile(percent)) * time.Millisecond
}
