package launcher

import (
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/standins/storekeeper"
	"tarragonhead.example/tarragonhead/standins/worker"
)

const recoveryWorkload = `
user: recovery
platform:
  domains:
    - {name: a, workers: 3, entry_instances: 2}
    - {name: b, workers: 3, entry_instances: 2}
  worker: {milli_cpu: 8000, memory_mb: 8000}
  workers_per_rack: 8
  runner_slots: 8
  runner_connections: 64
teams:
  - {name: team, quota: {milli_cpu: 96000, memory_mb: 96000}, weight: 1}
services:
  - {name: web, team: team, replicas: 2, resources: {milli_cpu: 1000, memory_mb: 1000}}
jobs:
  - {id: j0, team: team, kind: k, tasks: 12, resources: {milli_cpu: 1000, memory_mb: 1000}, run_time: 5s}
  - {id: j1, team: team, kind: k, tasks: 12, resources: {milli_cpu: 1000, memory_mb: 1000}, run_time: 5s}
  - {id: j2, team: team, kind: k, tasks: 12, resources: {milli_cpu: 1000, memory_mb: 1000}, run_time: 5s}
  - {id: j3, team: team, kind: k, tasks: 12, resources: {milli_cpu: 1000, memory_mb: 1000}, run_time: 5s}
  - {id: j4, team: team, kind: k, tasks: 12, resources: {milli_cpu: 1000, memory_mb: 1000}, run_time: 5s}
  - {id: j5, team: team, kind: k, tasks: 12, resources: {milli_cpu: 1000, memory_mb: 1000}, run_time: 5s}
`

// recoveryTasks is the number of tasks of the six jobs in recoveryWorkload. Each of
// the two shards gets some of the jobs.
const recoveryTasks = 72

// TestProcessRecovery guards against tasks that are lost or run twice when processes
// are killed, paused or stopped, or when responses of the store are lost.
func TestProcessRecovery(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	binaries := t.TempDir()
	t.Chdir(root)
	if err := Build(binaries); err != nil {
		t.Fatal(err)
	}
	w, err := declarer.Parse([]byte(recoveryWorkload))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(binaries, "workload.yaml")
	if err := os.WriteFile(file, []byte(recoveryWorkload), 0o644); err != nil {
		t.Fatal(err)
	}
	// The scenarios run in parallel, each with its own processes.
	t.Run("scenarios", func(t *testing.T) {
		for name, fault := range scenarios {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				runScenario(quicktest.New(t), Options{Binaries: binaries, Logs: t.TempDir(), Workload: w, Scale: 1, TimeScale: 1}, file, fault)
			})
		}
	})
}

var scenarios = map[string]func(*quicktest.C, *System, *Daemon){
	"owner killed": func(c *quicktest.C, s *System, owner *Daemon) {
		c.Assert(owner.Signal(syscall.SIGKILL), quicktest.IsNil)
		awaitTakeover(c, s, owner)
	},
	"owner paused past its lease": func(c *quicktest.C, s *System, owner *Daemon) {
		c.Assert(owner.Signal(syscall.SIGSTOP), quicktest.IsNil)
		awaitTakeover(c, s, owner)
		time.Sleep(3 * time.Second)
		c.Assert(owner.Signal(syscall.SIGCONT), quicktest.IsNil)
	},
	"owner stopped gracefully": func(c *quicktest.C, s *System, owner *Daemon) {
		c.Assert(owner.Signal(syscall.SIGTERM), quicktest.IsNil)
		awaitTakeover(c, s, owner)
		c.Assert(owner.Wait(5*time.Second), quicktest.IsTrue)
	},
	"store paused for 20 s": func(c *quicktest.C, s *System, _ *Daemon) {
		c.Assert(s.StoreProcess.Signal(syscall.SIGSTOP), quicktest.IsNil)
		time.Sleep(20 * time.Second)
		c.Assert(s.StoreProcess.Signal(syscall.SIGCONT), quicktest.IsNil)
	},
	"responses to store writes lost for 10 s": func(c *quicktest.C, s *System, _ *Daemon) {
		c.Assert(s.AddFault(storekeeper.Fault{Op: "compare_and_swap", Mode: storekeeper.Lost}), quicktest.IsNil)
		time.Sleep(10 * time.Second)
		c.Assert(s.ClearFaults(), quicktest.IsNil)
	},
	"daemons of a domain killed": func(c *quicktest.C, s *System, _ *Daemon) {
		for _, d := range s.Daemons {
			if d.Domain == "b" {
				c.Assert(d.Signal(syscall.SIGKILL), quicktest.IsNil)
			}
		}
		begun := time.Now()
		for {
			if o := s.Owner("b"); o != nil && o.Domain == "a" {
				break
			}
			c.Assert(time.Since(begun) < time.Minute, quicktest.IsTrue)
			time.Sleep(50 * time.Millisecond)
		}
		c.Logf("taken over by another domain after %s", time.Since(begun))
	},
}

// awaitTakeover waits until shard b has an owner other than old.
func awaitTakeover(c *quicktest.C, s *System, old *Daemon) {
	begun := time.Now()
	for o := s.Owner("b"); o == nil || o == old; o = s.Owner("b") {
		c.Assert(time.Since(begun) < 30*time.Second, quicktest.IsTrue)
		time.Sleep(20 * time.Millisecond)
	}
	c.Logf("next owner after %s", time.Since(begun))
}

func runScenario(c *quicktest.C, o Options, file string, fault func(*quicktest.C, *System, *Daemon)) {
	s, err := Start(o)
	c.Assert(err, quicktest.IsNil)
	defer s.Stop()
	_, err = s.Control("declare", file)
	c.Assert(err, quicktest.IsNil)
	for begun := time.Now(); ; time.Sleep(200 * time.Millisecond) {
		if _, err = s.Control("submit", file); err == nil {
			break
		}
		c.Assert(time.Since(begun) < 30*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", err))
	}
	completed, _ := countOutcomes(c, s)
	for begun := time.Now(); completed == 0; completed, _ = countOutcomes(c, s) {
		c.Assert(time.Since(begun) < time.Minute, quicktest.IsTrue)
		time.Sleep(100 * time.Millisecond)
	}
	records, err := s.Records()
	c.Assert(err, quicktest.IsNil)
	c.Assert(slices.ContainsFunc(records, func(a worker.Attempt) bool { return a.Worker[:2] == "b-" && a.Task[:4] == "job/" }), quicktest.IsTrue)
	begun := time.Now()
	fault(c, s, s.Owner("b"))
	for completed < recoveryTasks {
		c.Assert(time.Since(begun) < 2*time.Minute, quicktest.IsTrue, quicktest.Commentf("%d of %d tasks completed", completed, recoveryTasks))
		time.Sleep(200 * time.Millisecond)
		completed, _ = countOutcomes(c, s)
	}
	_, attempts := countOutcomes(c, s)
	records, err = s.Records()
	c.Assert(err, quicktest.IsNil)
	overlaps := worker.Overlaps(records, time.Now())
	c.Logf("all %d tasks completed %s after the fault, %d attempts, %d overlapping runs", completed, time.Since(begun), attempts, len(overlaps))
	c.Assert(overlaps, quicktest.HasLen, 0)
}

// countOutcomes returns the number of completed batch tasks and of started attempts
// of batch tasks. It fails the test if a task completed more than once.
func countOutcomes(c *quicktest.C, s *System) (completed, attempts int) {
	records, err := s.Records()
	c.Assert(err, quicktest.IsNil)
	completions := map[string]int{}
	for _, r := range records {
		switch {
		case r.Task[:4] != "job/":
		case r.End.IsZero():
			attempts++
		case r.Outcome == string(scheduler.OutcomeCompleted):
			completions[r.Task]++
		}
	}
	for task, n := range completions {
		c.Assert(n, quicktest.Equals, 1, quicktest.Commentf("%s completed more than once", task))
	}
	return len(completions), attempts
}
