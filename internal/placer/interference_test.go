package placer_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/estimator"
	"tarragonhead.example/tarragonhead/internal/placer"
)

var workerCapacity = declarer.Resources{MilliCPU: 64000, MemoryMB: 250000}

func estimates() placer.Estimates {
	return placer.Estimates{
		Slowdown: func(a, b string, _ float64) (float64, float64) {
			if a == "service" && b == "noisy" {
				return 2, 0.1
			}
			return 0.1, 0.1
		},
		Load:       func(string) float64 { return 0.6 },
		Parameters: func() placer.Parameters { return placer.ParametersOf(declarer.OrdinaryDay) },
	}
}

func runningTask(kind string, class declarer.Class, cores int64) placer.Running {
	return placer.Running{Kind: kind, Class: class, Reserved: declarer.Resources{MilliCPU: cores * 1000, MemoryMB: 1000}}
}

func workerWith(id, rack string, tasks ...placer.Running) placer.Worker {
	w := placer.Worker{ID: id, Rack: rack, Capacity: workerCapacity, Running: tasks}
	for _, t := range tasks {
		w.Reserved = w.Reserved.Add(t.Reserved)
	}
	return w
}

// Guards against placing batch that slows a service beside it while another
// worker is free, against placing all replicas in one rack, and against work
// that never starts.
func TestInterferenceAware(t *testing.T) {
	service := runningTask("service", declarer.ClassService, 16)
	noisy := placer.Request{Task: "t", Kind: "noisy", Class: declarer.ClassBatch, Declared: declarer.Resources{MilliCPU: 16000, MemoryMB: 1000}}
	patient := noisy
	patient.Waiting = time.Hour
	replica := placer.Request{Task: "s", Kind: "service", Class: declarer.ClassService, Declared: declarer.Resources{MilliCPU: 16000, MemoryMB: 1000}}
	for name, tt := range map[string]struct {
		workers []placer.Worker
		request placer.Request
		want    string
		harmful bool
	}{
		"away from the service": {[]placer.Worker{workerWith("a", "r1", service), workerWith("b", "r1")}, noisy, "b", false},
		"refused":               {[]placer.Worker{workerWith("a", "r1", service, runningTask("noisy", declarer.ClassBatch, 16))}, noisy, "", true},
		"waited long enough":    {[]placer.Worker{workerWith("a", "r1", service, runningTask("noisy", declarer.ClassBatch, 16))}, patient, "a", false},
		"replica to other rack": {[]placer.Worker{workerWith("a", "r1", service), workerWith("b", "r1"), workerWith("c", "r2")}, replica, "c", false},
		"no room":               {[]placer.Worker{workerWith("a", "r1", runningTask("quiet", declarer.ClassBatch, 60))}, replica, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			choice, err := placer.InterferenceAware(estimates()).Place(&placer.View{Workers: tt.workers}, tt.request)
			var harm *placer.HarmError
			quicktest.Check(t, errors.As(err, &harm), quicktest.Equals, tt.harmful)
			quicktest.Check(t, choice.Worker, quicktest.Equals, tt.want, quicktest.Commentf("%v %s", err, choice.Reason))
		})
	}
}

// trainedEstimates returns the estimates of an estimator that has observed all
// pairs of kinds of the benchmark.
func trainedEstimates(b *testing.B) placer.Estimates {
	b.Helper()
	e, at := estimator.New(), time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	var measurements []estimator.Measurement
	for i, kind := range kinds {
		e.Started(at, "w", kind, 1, kind, 0.2)
		measurements = append(measurements, estimator.Measurement{Task: kind, Attempt: 1, Key: estimator.Key{Kind: kind}, Slowdown: 1.2, IsService: i == 0})
	}
	at = at.Add(time.Minute)
	e.Observe(at, estimator.Report{Worker: "w", Capacity: workerCapacity, MeasuredAt: at, Attempts: measurements})
	trained := estimates()
	trained.Slowdown = e.Slowdown
	return trained
}

var kinds = []string{"service", "quiet", "noisy", "other", "more"}

// BenchmarkPlace measures one placement decision.
func BenchmarkPlace(b *testing.B) {
	for _, size := range [][2]int{{50, 50}, {125, 2000}, {500, 8000}, {1000, 16100}} {
		v := &placer.View{}
		for i := range size[0] {
			v.Workers = append(v.Workers, workerWith(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/8)))
		}
		for i := range size[1] {
			w := &v.Workers[i%size[0]]
			t := runningTask(kinds[i%5], declarer.ClassBatch, 3)
			if i%5 == 0 {
				t.Class = declarer.ClassService
			}
			w.Running, w.Reserved = append(w.Running, t), w.Reserved.Add(t.Reserved)
		}
		r := placer.Request{Task: "t", Kind: "other", Class: declarer.ClassBatch, Declared: declarer.Resources{MilliCPU: 4000, MemoryMB: 1000}, Waiting: time.Hour}
		for _, p := range []placer.Policy{placer.FirstFit(), placer.BestFit(), placer.InterferenceAware(trainedEstimates(b))} {
			b.Run(fmt.Sprintf("%s/%dworkers/%dtasks", p.Name, size[0], size[1]), func(b *testing.B) {
				for b.Loop() {
					if _, err := p.Place(v, r); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
