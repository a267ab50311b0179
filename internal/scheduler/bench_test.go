package scheduler

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

var benchSizes = [][2]int{{50, 50}, {125, 2000}, {500, 8000}, {1000, 16100}}

// newLoadedCore returns a core with the given numbers of workers and running
// tasks. A fifth of the tasks belong to services.
func newLoadedCore(tb testing.TB, workers, tasks int) *Core {
	c := New(Options{Shard: "east", Domain: "east", Charts: charts, Policy: placer.FirstFit()})
	now := epochStart
	cfg := &declarer.Config{Revision: 1, Preset: declarer.Maintenance, Domains: []string{"east"}}
	for i := range 340 {
		cfg.Teams = append(cfg.Teams, declarer.Team{Name: fmt.Sprintf("team-%d", i), Weight: 1})
	}
	services := 20
	for i := range services {
		cfg.Services = append(cfg.Services, declarer.Service{Name: fmt.Sprintf("service-%d", i), Team: "team-0", Replicas: max(1, tasks/5/services), Resources: declarer.Resources{MilliCPU: 1000, MemoryMB: 1000}})
	}
	for i := range workers {
		c.Step(now, Event{WorkerSeen: &WorkerSeen{ID: fmt.Sprintf("worker-%d", i), Rack: fmt.Sprintf("rack-%d", i/8), Capacity: declarer.Resources{MilliCPU: 64000, MemoryMB: 250000}}})
	}
	c.Step(now, Event{Config: &ConfigConfirmed{Config: cfg, At: now}})
	for i, left := 0, tasks-tasks/5; left > 0; i, left = i+1, left-20 {
		c.Step(now, Event{Submitted: &JobSubmitted{Job: benchJob(fmt.Sprintf("load-%d", i), i, min(left, 20))}})
	}
	for range 200 {
		now = now.Add(step)
		c.Step(now, Event{Config: &ConfigConfirmed{Config: cfg, At: now}})
		c.Step(now, Event{Tick: &Tick{}})
	}
	running := 0
	for _, t := range c.tasks {
		if t.State == Starting {
			running++
			if err := c.Apply(Change{AttemptMoved: &AttemptMoved{Task: t.ID, Attempt: t.Attempt, Event: "started"}}); err != nil {
				tb.Fatal(err)
			}
		}
	}
	if running < tasks*9/10 {
		tb.Fatalf("%d of %d tasks run", running, tasks)
	}
	return c
}

func benchJob(id string, n, tasks int) declarer.BatchJob {
	return declarer.BatchJob{ID: id, Team: fmt.Sprintf("team-%d", n%340), Kind: fmt.Sprintf("kind-%d", n%20), Tasks: tasks, Resources: declarer.Resources{MilliCPU: 500, MemoryMB: 500}, RunTime: time.Hour}
}

func runSizes(b *testing.B, run func(b *testing.B, c *Core)) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size[0], size[1]), func(b *testing.B) {
			c := newLoadedCore(b, size[0], size[1])
			b.ReportAllocs()
			b.ResetTimer()
			begun := processorTime(b)
			run(b, c)
			b.ReportMetric(float64(processorTime(b)-begun)/float64(b.N), "cpu-ns/op")
		})
	}
}

// processorTime returns the processor time used by this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStart measures the life cycle of one task with a job of its own:
// accepted and placed in one step, reported as running together with all
// attempts on its worker, reported as completed, and one tick.
func BenchmarkStart(b *testing.B) {
	runSizes(b, func(b *testing.B, c *Core) {
		now := c.now
		for i := range b.N {
			now = now.Add(20 * time.Millisecond)
			c.Step(now, Event{Config: &ConfigConfirmed{Config: c.config, At: now}})
			id := fmt.Sprintf("job-%d", i)
			_, commands := c.Step(now, Event{Submitted: &JobSubmitted{Job: benchJob(id, i, 1)}})
			if len(commands) == 0 {
				b.Fatal("the job was not started")
			}
			start := commands[len(commands)-1].Start
			r := &WorkerReport{Worker: start.Worker}
			for _, t := range c.tasksByWorker[start.Worker] {
				r.Running = append(r.Running, RunningAttempt{Task: t.ID, Attempt: t.Attempt})
			}
			c.Step(now, Event{Report: r})
			c.Step(now, Event{Report: &WorkerReport{Worker: start.Worker, Ended: []EndedAttempt{{Task: start.Task, Attempt: start.Attempt, Outcome: OutcomeCompleted}}}})
			c.Step(now, Event{Tick: &Tick{}})
		}
	})
}

// BenchmarkPlace measures the step that accepts a job and starts its task.
func BenchmarkPlace(b *testing.B) {
	runSizes(b, func(b *testing.B, c *Core) {
		now := c.now
		for i := range b.N {
			_, commands := c.Step(now, Event{Submitted: &JobSubmitted{Job: benchJob(fmt.Sprintf("job-%d", i), i, 1)}})
			b.StopTimer()
			if len(commands) == 0 {
				b.Fatal("the job was not started")
			}
			start := commands[len(commands)-1].Start
			c.Step(now, Event{Report: &WorkerReport{Worker: start.Worker, Ended: []EndedAttempt{{Task: start.Task, Attempt: start.Attempt, Outcome: OutcomeCompleted}}}})
			b.StartTimer()
		}
	})
}

// BenchmarkApply measures one change. The changes alternately start and end an
// attempt of the same task.
func BenchmarkApply(b *testing.B) {
	runSizes(b, func(b *testing.B, c *Core) {
		if err := c.Apply(Change{JobAccepted: &JobAccepted{benchJob("job", 0, 1), c.now}}); err != nil {
			b.Fatal(err)
		}
		attempt := uint64(0)
		for i := range b.N {
			ch := Change{AttemptMoved: &AttemptMoved{Task: "job/job/0", Attempt: attempt, Event: "ended"}}
			if i%2 == 0 {
				attempt++
				ch = Change{AttemptPlaced: &AttemptPlaced{Task: "job/job/0", Attempt: attempt, Worker: "worker-0", Reserved: declarer.Resources{}}}
			}
			if err := c.Apply(ch); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkSnapshotRestore measures copying, encoding, decoding and restoring
// the state.
func BenchmarkSnapshotRestore(b *testing.B) {
	runSizes(b, func(b *testing.B, c *Core) {
		size := 0
		for range b.N {
			data, err := ledgerCoding.Marshal(c.Snapshot())
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
			var s Snapshot
			if err := cbor.Unmarshal(data, &s); err != nil {
				b.Fatal(err)
			}
			if err := New(c.options).Restore(s); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

// BenchmarkFullPass measures one tick while each of 340 teams has a waiting job
// and the domain has no capacity for any of them.
func BenchmarkFullPass(b *testing.B) {
	runSizes(b, func(b *testing.B, c *Core) {
		now := c.now
		for i := range 340 {
			j := benchJob(fmt.Sprintf("wait-%d", i), i, 50)
			j.Resources.MilliCPU = 60000 + int64(i)
			if err := c.Apply(Change{JobAccepted: &JobAccepted{j, now}}); err != nil {
				b.Fatal(err)
			}
		}
		b.ResetTimer()
		for range b.N {
			now = now.Add(step)
			c.Step(now, Event{Config: &ConfigConfirmed{Config: c.config, At: now}})
			c.queue.needsPass = true
			c.Step(now, Event{Tick: &Tick{}})
		}
	})
}
