package replayer_test

import (
	"testing"
	"time"

	"tarragonhead.example/tarragonhead/standins/replayer"
)

// BenchmarkWorstLoad replays the larger deployment at full size through a burst
// of batch jobs. It serves to profile the planner.
func BenchmarkWorstLoad(b *testing.B) {
	for b.Loop() {
		p := replayer.Cellarlog(1).With(replayer.Fault{Kind: "burst", At: 5 * time.Second, For: 15 * time.Second, Factor: 2.6})
		r := replayer.New(p, 1, nil).Run()
		b.ReportMetric(float64(r.Starts), "starts")
	}
}
