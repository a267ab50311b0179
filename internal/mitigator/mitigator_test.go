package mitigator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/mitigator"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// The hold-off after an action is the lag and the window of a measurement, 9 s
// together.
const lag = 6 * time.Second

// simulatedWorker applies the actions of a Mitigator to a worker with a service
// and two batch tasks.
type simulatedWorker struct {
	m       *mitigator.Mitigator
	now     time.Time
	share   map[string]float64
	stopped map[string]bool
}

func newSimulatedWorker() *simulatedWorker {
	return &simulatedWorker{m: mitigator.New(), now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), share: map[string]float64{"a": 1, "b": 1}, stopped: map[string]bool{}}
}

func (w *simulatedWorker) decide(slowdown float64) []mitigator.Action {
	v := mitigator.View{Parameters: placer.ParametersOf(declarer.OrdinaryDay), Lag: lag}
	worker := mitigator.Worker{ID: "w", MeasuredAt: w.now.Add(-lag), Tasks: []mitigator.Task{{ID: "s", Attempt: 1, Class: declarer.ClassService, Slowdown: slowdown, Share: 1}}}
	for i, id := range []string{"a", "b"} {
		if !w.stopped[id] {
			worker.Tasks = append(worker.Tasks, mitigator.Task{ID: id, Attempt: 1, Class: declarer.ClassBatch, Job: "j", Pressure: 0.5 - 0.1*float64(i), Share: w.share[id], Remaining: time.Minute})
		}
	}
	v.Workers = []mitigator.Worker{worker}
	actions := w.m.Decide(w.now, v)
	for _, a := range actions {
		switch a.Kind {
		case mitigator.Throttle, mitigator.Unthrottle:
			w.share[a.Task] = a.Share
		default:
			w.stopped[a.Task] = true
		}
	}
	return actions
}

// Guards against a wrong order of escalation, against acting on measurements that
// are older than the last action, and against ending a throttling without
// hysteresis.
func TestEscalationAndBack(t *testing.T) {
	for name, tt := range map[string]struct {
		slowdowns []float64
		want      []string
	}{
		"in order":         {[]float64{9, 9, 9, 9}, []string{"throttle a", "throttle b", "checkpoint a", "evict b"}},
		"below threshold":  {[]float64{1.6, 1.6}, nil},
		"hysteresis":       {[]float64{1.8, 1.6, 1.6, 1.2}, []string{"throttle a", "unthrottle a"}},
		"throttle only":    {[]float64{1.8, 1.8, 1.8, 1.8}, []string{"throttle a", "throttle b"}},
		"no eviction yet":  {[]float64{2.3, 2.3, 2.3, 2.3}, []string{"throttle a", "throttle b", "checkpoint a", "checkpoint b"}},
		"nothing measured": {[]float64{0, 0}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulatedWorker()
			var got []string
			for _, s := range tt.slowdowns {
				for second := range 9 {
					for _, a := range w.decide(s) {
						quicktest.Check(t, second, quicktest.Equals, 0, quicktest.Commentf("acted within the hold-off"))
						got = append(got, fmt.Sprintf("%s %s", a.Kind, a.Task))
					}
					w.now = w.now.Add(time.Second)
				}
			}
			quicktest.Check(t, got, quicktest.DeepEquals, tt.want)
		})
	}
}

// Guards against evicting the tasks of a job so often that the job makes no
// progress.
func TestEvictionBudget(t *testing.T) {
	m := mitigator.New()
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	p := placer.ParametersOf(declarer.OrdinaryDay)
	evictions := 0
	for i := range 50 {
		worker := mitigator.Worker{ID: fmt.Sprintf("w%d", i), MeasuredAt: now, Tasks: []mitigator.Task{
			{ID: "s", Attempt: 1, Class: declarer.ClassService, Slowdown: 9, Share: 1},
			{ID: fmt.Sprintf("t%d", i), Attempt: 1, Class: declarer.ClassBatch, Job: "j", Pressure: 1, Share: 0.5, Remaining: time.Minute},
		}}
		evictions += len(m.Decide(now.Add(time.Duration(i)*time.Second), mitigator.View{Parameters: p, Lag: lag, Workers: []mitigator.Worker{worker}}))
	}
	quicktest.Check(t, evictions, quicktest.Equals, p.EvictionBudget)
}
