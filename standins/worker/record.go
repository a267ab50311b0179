package worker

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
)

// Attempt is a worker's record of an attempt. The worker records it once at the
// start of the attempt, without End and Outcome, and once at its end.
type Attempt struct {
	Worker  string    `json:"worker"`
	Task    string    `json:"task"`
	Attempt uint64    `json:"attempt"`
	Epoch   uint64    `json:"epoch"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end,omitzero"`
	Outcome string    `json:"outcome,omitempty"`
	// From and To are the progress of the task at the start and at the end of
	// the attempt, in run time.
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// addRecord stores a and passes it to Options.Record. The caller holds w.mu.
func (w *Worker) addRecord(a Attempt) {
	w.record = append(w.record, a)
	if w.options.Record != nil {
		w.options.Record(a)
	}
}

func (w *Worker) recordOf(a *runningAttempt) Attempt {
	return Attempt{Worker: w.options.ID, Task: a.request.Task, Attempt: a.request.Attempt, Epoch: a.request.Epoch, Start: a.start, From: a.initialProgress, To: a.progress}
}

// Recorded returns all records since the start of the worker.
func (w *Worker) Recorded() []Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Attempt(nil), w.record...)
}

// Overlaps returns a description of each pair of attempts of one task that ran at
// the same time, given the records of all workers. An attempt without an end
// counts as running until last.
func Overlaps(records []Attempt, last time.Time) []string {
	type key struct {
		worker, task string
		attempt      uint64
	}
	latest := map[key]Attempt{}
	for _, r := range records {
		k := key{r.Worker, r.Task, r.Attempt}
		if old, ok := latest[k]; !ok || old.End.IsZero() {
			latest[k] = r
		}
	}
	byTask := map[string][]Attempt{}
	for _, r := range latest {
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

// checkpointName returns the name of a checkpoint, which encodes the progress
// because the stand-in stores no checkpoints.
func checkpointName(r dispatcher.AttemptRequest, progress time.Duration) string {
	return fmt.Sprintf("%s/%d/%d", r.Task, r.Attempt, progress.Microseconds())
}

// progressOf returns the progress that a checkpoint name encodes, or 0.
func progressOf(checkpoint string) time.Duration {
	n, err := strconv.ParseInt(checkpoint[strings.LastIndexByte(checkpoint, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// sample is the usage and the slowdown of the running attempts at one time.
type sample struct {
	at       time.Time
	used     map[dispatcher.AttemptName]declarer.Resources
	slowdown map[dispatcher.AttemptName]float64
}

// sampleInterval is the minimum time between two samples.
const sampleInterval = 200 * time.Millisecond

// measure adds a sample if sampleInterval has passed since the last one. The
// caller holds w.mu.
func (w *Worker) measure(now time.Time) {
	if n := len(w.samples); n > 0 && now.Sub(w.samples[n-1].at) < sampleInterval {
		return
	}
	s := sample{now, map[dispatcher.AttemptName]declarer.Resources{}, map[dispatcher.AttemptName]float64{}}
	for task, a := range w.running {
		name := dispatcher.AttemptName{Task: task, Attempt: a.request.Attempt}
		use := a.request.Reserved
		use.MilliCPU = int64(float64(use.MilliCPU) * w.options.UsageShare * a.speed)
		use.MemoryMB = int64(float64(use.MemoryMB) * w.options.UsageShare)
		s.used[name], s.slowdown[name] = use, 1/a.speed
	}
	w.samples = append(w.samples, s)
}

// reportedSample returns the newest sample that is at least UsageLag old, and
// discards all older ones. The caller holds w.mu.
func (w *Worker) reportedSample(now time.Time) sample {
	for i := len(w.samples) - 1; i >= 0; i-- {
		if now.Sub(w.samples[i].at) >= w.options.UsageLag {
			w.samples = w.samples[i:]
			return w.samples[0]
		}
	}
	return sample{}
}
