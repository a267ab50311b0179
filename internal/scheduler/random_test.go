package scheduler

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/interpreter"
)

const (
	// randomSeed and randomChecks are used unless randomDurationVar is set.
	randomSeed = 20261204
	// With lostMemorySeed, a worker loses its memory after it has started an
	// attempt from a checkpoint. The checkpoint was then resumed twice.
	lostMemorySeed = 1796380245803165729
	randomChecks   = 60
	// randomDurationVar is the environment variable with the duration of a long
	// run.
	randomDurationVar = "TARRAGON_RANDOM_FOR"
)

// TestRandomSequences guards against faults that need a longer sequence of
// events than the matrix has. A long run with fresh seeds:
//
//	TARRAGON_RANDOM_FOR=10m go test ./internal/scheduler -run TestRandomSequences -timeout 0 -v
func TestRandomSequences(t *testing.T) {
	length, err := time.ParseDuration(os.Getenv(randomDurationVar))
	if err != nil {
		checkRandom(t, randomSeed, runRandom)
		checkRandom(t, lostMemorySeed, runRandom)
		checkRandom(t, randomSeed, runRandomWithRestarts)
		return
	}
	begun := time.Now()
	runs := 0
	for time.Since(begun) < length && !t.Failed() {
		seed := uint64(time.Now().UnixNano())
		t.Logf("seed %d", seed)
		checkRandom(t, seed, runRandom)
		checkRandom(t, seed, runRandomWithRestarts)
		runs++
	}
	t.Logf("%d runs of %d sequences without and as many with restarts", runs, randomChecks)
}

func checkRandom(t *testing.T, seed uint64, run func(*rapid.T)) {
	for name, value := range map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": strconv.Itoa(randomChecks), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, run)
}

// runRandom runs a random sequence of actions. The actions stay as they are, so
// that a seed which once failed draws the same sequence.
func runRandom(t *rapid.T) { runSequence(t, actions) }

// runRandomWithRestarts is like runRandom, with workers that restart quickly.
func runRandomWithRestarts(t *rapid.T) {
	all := maps.Clone(actions)
	all["restart worker"] = restartWorker
	runSequence(t, all)
}

// restartWorker ends a worker's process, and starts it again at its address
// within seconds. The new process knows nothing of attempts that ran or ended.
func restartWorker(w *world, t *rapid.T) {
	s := drawShard(w, t)
	x := s.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(s.workers))).Draw(t, "worker")]
	x.dead = true
	x.process++
	clear(x.running)
	clear(x.ended)
	clear(x.attempts)
	w.schedule(time.Duration(rapid.IntRange(1, 16).Draw(t, "away"))*step, func() { x.dead = false })
}

func runSequence(t *rapid.T, actions map[string]func(*world, *rapid.T)) {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "workers"))
	names := slices.Sorted(maps.Keys(actions))
	for range rapid.IntRange(5, 40).Draw(t, "length") {
		actions[rapid.SampledFrom(names).Draw(t, "action")](w, t)
		w.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "steps")) * step)
		if w.firstError != nil {
			t.Fatal(w.firstError)
		}
	}
	if err := w.settle(); err != nil {
		t.Fatal(err)
	}
}

func drawShard(w *world, t *rapid.T) *simShard { return rapid.SampledFrom(w.shards).Draw(t, "shard") }

// drawTask returns a task in one of the given states, or nil if there is none.
func drawTask(s *simShard, t *rapid.T, states ...interpreter.State) *Task {
	var ids []TaskID
	for id, x := range s.core.tasks {
		if slices.Contains(states, x.State) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return s.core.tasks[rapid.SampledFrom(ids).Draw(t, "task")]
}

var actions = map[string]func(*world, *rapid.T){
	"submit": func(w *world, t *rapid.T) {
		j := declarer.BatchJob{
			ID: fmt.Sprintf("r%d", w.random.Uint32()), Team: rapid.SampledFrom([]string{"one", "two"}).Draw(t, "team"), Kind: "k",
			Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"), RunTime: time.Duration(rapid.IntRange(1, 30).Draw(t, "run")) * time.Second,
			Resources: declarer.Resources{MilliCPU: int64(rapid.IntRange(1, 40).Draw(t, "cpu")) * 100, MemoryMB: int64(rapid.IntRange(1, 4000).Draw(t, "memory"))},
			Urgent:    rapid.Bool().Draw(t, "urgent"), Domain: rapid.SampledFrom([]string{"", "", "east", "west"}).Draw(t, "domain"),
		}
		if rapid.Bool().Draw(t, "limited") {
			j.Deadline = time.Minute
		}
		drawShard(w, t).step(Event{Submitted: &JobSubmitted{Job: j}})
	},
	"cancel": func(w *world, t *rapid.T) {
		s := drawShard(w, t)
		ids := slices.Sorted(maps.Keys(s.core.jobs))
		if len(ids) > 0 {
			id := rapid.SampledFrom(ids).Draw(t, "job")
			if s.core.jobs[id].Home == s.domain {
				s.step(Event{Cancelled: &JobCancelled{JobID: id}})
			}
		}
	},
	"fault": func(w *world, t *rapid.T) {
		faults[rapid.SampledFrom(slices.Sorted(maps.Keys(faults))).Draw(t, "fault")](w)
	},
	"kill": func(w *world, t *rapid.T) { drawShard(w, t).startOwner() },
	"take out": func(w *world, t *rapid.T) {
		d := rapid.SampledFrom([]string{"east", "west"}).Draw(t, "domain")
		w.configure(func(c *declarer.Config) { c.DomainsOut = []string{d} })
	},
	"bring back": func(w *world, _ *rapid.T) { w.configure(func(c *declarer.Config) { c.DomainsOut = nil }) },
	"preset": func(w *world, t *rapid.T) {
		p := rapid.SampledFrom(declarer.Presets).Draw(t, "preset")
		w.configure(func(c *declarer.Config) { c.Preset = p })
	},
	"replicas": func(w *world, t *rapid.T) {
		n := rapid.IntRange(0, 3).Draw(t, "replicas")
		w.configure(func(c *declarer.Config) {
			c.Services = slices.Clone(c.Services)
			c.Services[0].Replicas = n
		})
	},
	"checkpoint": func(w *world, t *rapid.T) {
		s := drawShard(w, t)
		if x := drawTask(s, t, Running); x != nil && x.Class == declarer.ClassBatch {
			s.onTick = func(c *Core) {
				if y := c.tasks[x.ID]; y != nil {
					c.checkpoint(y, "test")
				}
			}
		}
	},
	"evict": func(w *world, t *rapid.T) {
		s := drawShard(w, t)
		if x := drawTask(s, t, Starting, Running, Checkpointing); x != nil {
			s.onTick = func(c *Core) {
				if y := c.tasks[x.ID]; y != nil {
					c.evict(y, "test")
				}
			}
		}
	},
	"fail all": func(w *world, t *rapid.T) {
		s := drawShard(w, t)
		x := s.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(s.workers))).Draw(t, "worker")]
		x.failAll = !x.failAll
	},
	"cut worker": func(w *world, t *rapid.T) {
		s := drawShard(w, t)
		x := s.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(s.workers))).Draw(t, "worker")]
		x.unreachable = !x.unreachable
	},
	"refuse": func(w *world, t *rapid.T) {
		s := drawShard(w, t)
		s.workers[rapid.SampledFrom(slices.Sorted(maps.Keys(s.workers))).Draw(t, "worker")].refuse = true
	},
	"mute": func(w *world, t *rapid.T) { s := drawShard(w, t); s.dropReports = !s.dropReports },
	"wait": func(w *world, _ *rapid.T) { w.run(15 * time.Second) },
}
