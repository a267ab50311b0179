package estimator_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/estimator"
)

var (
	start    = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	key      = estimator.Key{Team: "analytics", Kind: "trend"}
	declared = declarer.Resources{MilliCPU: 8000, MemoryMB: 16000}
	capacity = declarer.Resources{MilliCPU: 64000, MemoryMB: 250000}
)

func report(at time.Time, m ...estimator.Measurement) estimator.Report {
	return estimator.Report{Worker: "w", Capacity: capacity, MeasuredAt: at, Attempts: m}
}

// Guards against a reservation that ignores evidence, changes abruptly with one
// sample, or falls below the observed peak of memory.
func TestReservation(t *testing.T) {
	for name, tt := range map[string]struct {
		samples     int
		used        declarer.Resources
		least, most declarer.Resources
	}{
		"no evidence":    {0, declarer.Resources{}, declared, declared},
		"one sample":     {1, declarer.Resources{MilliCPU: 4000, MemoryMB: 8000}, declarer.Resources{MilliCPU: 7000, MemoryMB: 14000}, declared},
		"over-declared":  {300, declarer.Resources{MilliCPU: 4000, MemoryMB: 8000}, declarer.Resources{MilliCPU: 4000, MemoryMB: 8000}, declarer.Resources{MilliCPU: 4500, MemoryMB: 9000}},
		"under-declared": {300, declarer.Resources{MilliCPU: 12000, MemoryMB: 24000}, declarer.Resources{MilliCPU: 11500, MemoryMB: 24000}, declarer.Resources{MilliCPU: 13000, MemoryMB: 26000}},
		"one peak":       {1, declarer.Resources{MilliCPU: 8000, MemoryMB: 40000}, declarer.Resources{MilliCPU: 7000, MemoryMB: 40000}, declarer.Resources{MilliCPU: 9000, MemoryMB: 41000}},
	} {
		t.Run(name, func(t *testing.T) {
			e := estimator.New()
			for i := range tt.samples {
				at := start.Add(time.Duration(i) * 3 * time.Second)
				e.Observe(at, report(at, estimator.Measurement{Task: "t", Attempt: 1, Key: key, Declared: declared, Usage: tt.used}))
			}
			got := e.Reservation(key, declared)
			quicktest.Check(t, tt.least.FitsIn(got), quicktest.IsTrue, quicktest.Commentf("%v", got))
			quicktest.Check(t, got.FitsIn(tt.most), quicktest.IsTrue, quicktest.Commentf("%v", got))
		})
	}
}

// observePairs runs a service beside two kinds of batch, of which only "noisy"
// slows the service down. Each report arrives 6 s after its measurement.
func observePairs(e *estimator.Estimator, noisyEnds bool) {
	e.Started(start, "w", "s", 1, "service", 0.1)
	for i := range 60 {
		// The kinds alternate, so that their effects can be separated.
		at := start.Add(time.Duration(i) * 9 * time.Second)
		kind, slowdown := "quiet", 1.05
		if i%2 == 0 {
			kind, slowdown = "noisy", 1.5
		}
		e.Started(at, "w", kind, uint64(i+1), kind, 0.25)
		ended := at.Add(3 * time.Second)
		if noisyEnds {
			e.Ended(ended, "w", kind, uint64(i+1))
		}
		e.Observe(at.Add(9*time.Second), report(ended, estimator.Measurement{
			Task: "s", Attempt: 1, Key: estimator.Key{Kind: "service"}, Declared: declared, Slowdown: slowdown, Load: 0.5, IsService: true,
		}))
	}
}

// Guards against attributing a slowdown to a kind that did not run in the
// measurement's window, and against an uncertainty that ignores evidence.
func TestSlowdownIsAttributedToItsWindow(t *testing.T) {
	e := estimator.New()
	observePairs(e, true)
	noisy, d := e.Slowdown("service", "noisy", 0.5)
	quiet, _ := e.Slowdown("service", "quiet", 0.5)
	quicktest.Check(t, noisy > 1.5 && noisy < 2.2, quicktest.IsTrue, quicktest.Commentf("noisy %.2f", noisy))
	quicktest.Check(t, quiet < 0.4, quicktest.IsTrue, quicktest.Commentf("quiet %.2f", quiet))
	_, unknown := e.Slowdown("service", "never seen", 0.5)
	quicktest.Check(t, d < unknown, quicktest.IsTrue)
	other, _ := e.Slowdown("other", "noisy", 0.5)
	quicktest.Check(t, other > 0.8 && other < noisy, quicktest.IsTrue, quicktest.Commentf("a new pair starts near its aggressor's mean, got %.2f", other))
}

// Guards against a snapshot that loses or changes estimates.
func TestSummaryRestores(t *testing.T) {
	e, restored := estimator.New(), estimator.New()
	observePairs(e, true)
	for i := range 100 {
		at := start.Add(time.Duration(i) * 3 * time.Second)
		e.Observe(at, report(at, estimator.Measurement{Task: "t", Attempt: 1, Key: key, Declared: declared, Usage: declarer.Resources{MilliCPU: 3000, MemoryMB: 5000}}))
		e.ObserveRun(at, key, time.Minute, 90*time.Second)
	}
	restored.Restore(e.Summary())
	quicktest.Check(t, restored.Reservation(key, declared), quicktest.Equals, e.Reservation(key, declared))
	quicktest.Check(t, restored.RunTime(key, time.Minute), quicktest.Equals, e.RunTime(key, time.Minute))
	want, _ := e.Slowdown("service", "noisy", 0.7)
	got, _ := restored.Slowdown("service", "noisy", 0.7)
	quicktest.Check(t, got > want-1e-9 && got < want+1e-9, quicktest.IsTrue, quicktest.Commentf("got %v, want %v", got, want))
}
