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

// report gathers what was measured.
type report struct {
	mu sync.Mutex
	// afterAnswer and afterRequest are by scenario; "all" has every change.
	afterAnswer  map[string]*hdrhistogram.Histogram
	afterRequest map[string]*hdrhistogram.Histogram
	accepted     int
	restarts     int
	races        int
	repeated     map[twirp.ErrorCode]int
	withoutStore time.Duration
}

func newReport() *report {
	return &report{afterAnswer: map[string]*hdrhistogram.Histogram{}, afterRequest: map[string]*hdrhistogram.Histogram{}, repeated: map[twirp.ErrorCode]int{}}
}

func (r *report) count(c twirp.ErrorCode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeated[c]++
}

func (r *report) record(scenario string, afterAnswer, afterRequest time.Duration) {
	for _, name := range []string{scenario, "all"} {
		add(r.afterAnswer, name, afterAnswer)
		add(r.afterRequest, name, afterRequest)
	}
}

func add(histograms map[string]*hdrhistogram.Histogram, name string, d time.Duration) {
	if histograms[name] == nil {
		histograms[name] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	_ = histograms[name].RecordValue(max(1, d.Microseconds()))
}

func milliseconds(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%.0f\t%.0f\t%.0f", float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000)
}

// print prints the figures; its error says what was not as it should be.
func (r *report) print(b *bench) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "milliseconds until in force on all %d daemons\tchanges\tafter the answer: p50\tp99\tmax\tafter the request: p50\tp99\tmax\t\n", len(b.watchers))
	for _, name := range slices.Sorted(maps.Keys(r.afterAnswer)) {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t\n", name, r.afterAnswer[name].TotalCount(), milliseconds(r.afterAnswer[name]), milliseconds(r.afterRequest[name]))
	}
	_ = w.Flush()
	falls, polls := 0, 0
	for _, watcher := range b.watchers {
		watcher.mu.Lock()
		falls, polls = falls+watcher.falls, polls+watcher.polls
		watcher.mu.Unlock()
	}
	fmt.Printf("%d changes accepted, final revision %d, %d races with one winner each, %d restarts, repeated answers %v\n", r.accepted, b.revision, r.races, r.restarts, r.repeated)
	fmt.Printf("a daemon that started without the store was ready after %s; revisions that fell: %d in %d polls\n", r.withoutStore.Round(time.Millisecond), falls, polls)
	switch most := time.Duration(r.afterRequest["all"].Max()) * time.Microsecond; {
	case falls > 0:
		return errors.Errorf("%d revisions fell", falls)
	case b.revision != uint64(r.accepted):
		return errors.Errorf("%d changes were accepted but the revision is %d", r.accepted, b.revision)
	case time.Duration(r.afterAnswer["all"].Max())*time.Microsecond > goal:
		return errors.Errorf("a change was in force %s after it was accepted, more than %s", most, goal)
	}
	return nil
}
