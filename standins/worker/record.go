package worker

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
)

// Attempt is what a worker records of an attempt: once without an end when it
// starts, and again when it has ended.
type Attempt struct {
	Worker  string    `json:"worker"`
	Task    string    `json:"task"`
	Attempt uint64    `json:"attempt"`
	Epoch   uint64    `json:"epoch"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end,omitzero"`
	Outcome string    `json:"outcome,omitempty"`
	// From and To are the work done before and after the attempt, in run time.
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// note keeps a record. The caller holds w.mu.
func (w *Worker) note(a Attempt) {
	w.record = append(w.record, a)
	if w.options.Record != nil {
		w.options.Record(a)
	}
}

func (w *Worker) describe(a *running) Attempt {
	return Attempt{Worker: w.options.ID, Task: a.request.Task, Attempt: a.request.Attempt, Epoch: a.request.Epoch, Start: a.begun, From: a.from, To: a.done}
}

// Recorded returns every record so far.
func (w *Worker) Recorded() []Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Attempt(nil), w.record...)
}

// Overlaps returns the tasks of which two attempts ran at the same time, over
// the records of all workers. An attempt without an end ran until the last
// moment given.
func Overlaps(records []Attempt, last time.Time) []string {
	type key struct {
		worker, task string
		attempt      uint64
	}
	whole := map[key]Attempt{}
	for _, r := range records {
		k := key{r.Worker, r.Task, r.Attempt}
		if old, ok := whole[k]; !ok || old.End.IsZero() {
			whole[k] = r
		}
	}
	byTask := map[string][]Attempt{}
	for _, r := range whole {
		if r.End.IsZero() {
			r.End = last
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	var overlaps []string
	for task, attempts := range byTask {
		for i, a := range attempts {
			for _, b := range attempts[:i] {
				if a.Start.Before(b.End) && b.Start.Before(a.End) {
					overlaps = append(overlaps, fmt.Sprintf("%s: attempt %d on %s and attempt %d on %s", task, a.Attempt, a.Worker, b.Attempt, b.Worker))
				}
			}
		}
	}
	return overlaps
}

// checkpointName carries the progress, since the stand-in stores nothing.
func checkpointName(r dispatcher.AttemptRequest, done time.Duration) string {
	return fmt.Sprintf("%s/%d/%d", r.Task, r.Attempt, done.Microseconds())
}

func progressOf(checkpoint string) time.Duration {
	n, err := strconv.ParseInt(checkpoint[strings.LastIndexByte(checkpoint, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// sample is the usage at one moment.
type sample struct {
	at       time.Time
	used     map[dispatcher.AttemptName]declarer.Resources
	slowdown map[dispatcher.AttemptName]float64
}

// sampleInterval is the least time between two measurements.
const sampleInterval = 200 * time.Millisecond

// measure takes a sample if one is due. The caller holds w.mu.
func (w *Worker) measure(now time.Time) {
	if n := len(w.samples); n > 0 && now.Sub(w.samples[n-1].at) < sampleInterval {
		return
	}
	s := sample{now, map[dispatcher.AttemptName]declarer.Resources{}, map[dispatcher.AttemptName]float64{}}
	for task, a := range w.running {
		name := dispatcher.AttemptName{Task: task, Attempt: a.request.Attempt}
		use := a.request.Reserved
		use.MilliCPU = int64(float64(use.MilliCPU) * w.options.UsageShare * a.share)
		use.MemoryMB = int64(float64(use.MemoryMB) * w.options.UsageShare)
		s.used[name], s.slowdown[name] = use, 1/a.share
	}
	w.samples = append(w.samples, s)
}

// lagging returns the newest sample that is at least the lag old, and forgets
// the older ones. The caller holds w.mu.
func (w *Worker) lagging(now time.Time) sample {
	for i := len(w.samples) - 1; i >= 0; i-- {
		if now.Sub(w.samples[i].at) >= w.options.UsageLag {
			w.samples = w.samples[i:]
			return w.samples[0]
		}
	}
	return sample{}
}
