package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
)

// report collects the measurements.
type report struct {
	mu sync.Mutex
	// afterAnswer and afterRequest hold, by scenario, how long after its answer
	// and after its request a change was in force on every daemon. The key
	// "all" covers every scenario.
	afterAnswer  map[string]*hdrhistogram.Histogram
	afterRequest map[string]*hdrhistogram.Histogram
	accepted     int
	restarts     int
	races        int
	// retries counts the repeated proposals by the error that caused them.
	retries map[twirp.ErrorCode]int
	// startupWithoutStore is how long a daemon took to restart without the store.
	startupWithoutStore time.Duration
}

func newReport() *report {
	return &report{afterAnswer: map[string]*hdrhistogram.Histogram{}, afterRequest: map[string]*hdrhistogram.Histogram{}, retries: map[twirp.ErrorCode]int{}}
}

func (r *report) countRetry(c twirp.ErrorCode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries[c]++
}

func (r *report) record(scenario string, afterAnswer, afterRequest time.Duration) {
	for _, name := range []string{scenario, "all"} {
		recordDuration(r.afterAnswer, name, afterAnswer)
		recordDuration(r.afterRequest, name, afterRequest)
	}
}

func recordDuration(histograms map[string]*hdrhistogram.Histogram, name string, d time.Duration) {
	if histograms[name] == nil {
		histograms[name] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	_ = histograms[name].RecordValue(max(1, d.Microseconds()))
}

// formatMilliseconds formats the median, the 99th percentile and the maximum of h.
func formatMilliseconds(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%.0f\t%.0f\t%.0f", float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000)
}

// print prints the measurements and returns an error if one of them violates
// a requirement.
func (r *report) print(b *bench) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "milliseconds until in force on all %d daemons\tchanges\tafter the answer: p50\tp99\tmax\tafter the request: p50\tp99\tmax\t\n", len(b.watchers))
	for _, name := range slices.Sorted(maps.Keys(r.afterAnswer)) {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t\n", name, r.afterAnswer[name].TotalCount(), formatMilliseconds(r.afterAnswer[name]), formatMilliseconds(r.afterRequest[name]))
	}
	_ = w.Flush()
	regressions, polls := 0, 0
	for _, watcher := range b.watchers {
		watcher.mu.Lock()
		regressions, polls = regressions+watcher.regressions, polls+watcher.polls
		watcher.mu.Unlock()
	}
	fmt.Printf("%d changes accepted, final revision %d, %d races with one winner each, %d restarts, retries by error %v\n", r.accepted, b.revision, r.races, r.restarts, r.retries)
	fmt.Printf("a daemon that started without the store was ready after %s; revision regressions: %d in %d polls\n", r.startupWithoutStore.Round(time.Millisecond), regressions, polls)
	switch longest := time.Duration(r.afterRequest["all"].Max()) * time.Microsecond; {
	case regressions > 0:
		return errors.Errorf("the revision in force on a daemon went back %d times", regressions)
	case b.revision != uint64(r.accepted):
		return errors.Errorf("%d changes were accepted but the revision is %d", r.accepted, b.revision)
	case time.Duration(r.afterAnswer["all"].Max())*time.Microsecond > convergenceGoal:
		return errors.Errorf("a change was in force %s after it was accepted, more than %s", longest, convergenceGoal)
	}
	return nil
}
