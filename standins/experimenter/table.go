package experimenter

import (
	"fmt"
	"strings"

	"github.com/alitto/pond/v2"
)

// RunAll executes runs, at most parallelism of them concurrently, and returns
// their results in the order of runs.
func RunAll(runs []Options, parallelism int) ([]Result, error) {
	pool := pond.NewResultPool[Result](max(1, parallelism))
	defer pool.StopAndWait()
	group := pool.NewGroup()
	for _, o := range runs {
		group.SubmitErr(func() (Result, error) { return Run(o) })
	}
	return group.Wait()
}

// Table formats results as a Markdown table. Work is in thousands of CPU
// seconds.
func Table(results []Result) string {
	var b strings.Builder
	b.WriteString("| user | seed | policy | p50 ms | p99 ms | timeouts % | work | work during outage | evicted | checkpointed | throttled | out of memory | least served | overcommits |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		kind, least := r.LeastServed()
		fmt.Fprintf(&b, "| %s | %d | %s | %d | %d | %.2f | %.0f | %.0f | %d | %d | %d | %d | %s %.0f%% | %d |\n",
			r.User, r.Seed, r.Variant, r.P50.Milliseconds(), r.P99.Milliseconds(), 100*float64(r.Timeouts)/float64(max(1, r.Requests)),
			r.Work/1000, r.WorkDuringOutage/1000, r.Evictions, r.Checkpoints, r.Throttles, r.Killed, kind, 100*least, r.Overcommits)
	}
	return b.String()
}
