package experimenter

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// serviceTime is the mean time of a request that runs alone: a report
	// over a day of readings, or a quotation. Times are exponential.
	serviceTime = 0.1
	// requestTimeout is after how long a caller gives up. A request that
	// can't start before then is recorded with this time.
	requestTimeout = 2.0
	slots          = 8
)

// runner is a queue with 8 servers whose service time grows with the slowdown.
type runner struct {
	// free has the times at which the slots become free.
	free [slots]float64
	busy float64
}

// serve runs the arrivals of one step and returns the share of the slots in
// use during it.
func (q *runner) serve(r *rand.Rand, from, step, rate, slowdown float64, record func(seconds float64)) float64 {
	worked := 0.0
	for at := from + r.ExpFloat64()/rate; at < from+step; at += r.ExpFloat64() / rate {
		first := 0
		for i, f := range q.free {
			if f < q.free[first] {
				first = i
			}
		}
		begin := max(at, q.free[first])
		if begin-at > requestTimeout {
			record(requestTimeout)
			continue
		}
		length := r.ExpFloat64() * serviceTime * slowdown
		q.free[first] = begin + length
		worked += length
		record(min(begin+length-at, requestTimeout))
	}
	// Load is smoothed over some seconds, as a worker would measure it.
	q.busy += (min(1, worked/(slots*step)) - q.busy) * 0.3
	return q.busy
}

// latency gathers response times from 1 ms to the timeout.
type latency struct{ histogram *hdrhistogram.Histogram }

func newLatency() latency { return latency{hdrhistogram.New(1, 10_000, 3)} }

func (l latency) record(seconds float64) {
	// The value is below the histogram's limit, so there is no error.
	_ = l.histogram.RecordValue(max(1, int64(seconds*1000)))
}

func (l latency) at(quantile float64) time.Duration {
	return time.Duration(l.histogram.ValueAtQuantile(quantile)) * time.Millisecond
}
