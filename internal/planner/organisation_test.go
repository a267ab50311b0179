package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/allotter"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// capped configures the organisation "o" with a cap of the given cores, and returns a job
// of it.
func (d *driver) capped(cores int64, steps ...planner.Step) planner.Job {
	d.p.SetConfig(planner.Config{Organisations: map[string]planner.Organisation{"o": {Cap: planner.Resources{CPU: cores * 1000}}}})
	j := job("capped", steps...)
	j.Organisation = "o"
	return j
}

func part(cores int64) planner.Part {
	return planner.Part{Amount: planner.Resources{CPU: cores * 1000}}
}

// TestCap guards against starts beyond the part of a cap that the shard holds, against a
// demand that isn't told, against a task larger than the cap that never runs, against a
// gang larger than the cap that does, and against a demand for such a gang, for which other
// shards would give up parts that nothing can use, and against waits that aren't explained.
func TestCap(t *testing.T) {
	gang, largeGang, gangOfOne := step(4, 2), step(2, 3), step(1, 6)
	gang.Gang, largeGang.Gang, gangOfOne.Gang = true, true, true
	bestEffort := step(9, 2)
	bestEffort.BestEffort = true
	longRunning := step(9, 2)
	longRunning.LongRunning = true
	for name, tt := range map[string]struct {
		step                 planner.Step
		limit                int64
		part                 planner.Part
		wantStarts           int
		wantUsed, wantBlocks int64
	}{
		"no part":              {step(9, 2), 100, planner.Part{}, 0, 0, 18},
		"part":                 {step(9, 2), 100, part(7), 3, 6, 12},
		"whole":                {step(9, 2), 100, part(100), 9, 18, 0},
		"frozen":               {step(9, 2), 100, planner.Part{Amount: planner.Resources{CPU: 100_000}, IsFrozen: true}, 0, 0, 18},
		"no cap":               {step(9, 2), 0, planner.Part{}, 9, 0, 0},
		"best-effort":          {bestEffort, 100, part(7), 3, 6, 12},
		"long-running":         {longRunning, 100, part(7), 3, 6, 12},
		"gang beyond the part": {gang, 100, part(7), 0, 0, 8},
		"gang within the part": {gang, 100, part(8), 4, 8, 0},
		"task above the cap":   {step(2, 6), 4, part(4), 1, 6, 6},
		"gang above the cap":   {largeGang, 4, part(4), 0, 0, 0},
		"gang equal to a cap":  {largeGang, 6, part(6), 2, 6, 0},
		"gang of one above it": {gangOfOne, 4, part(4), 1, 6, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 60)).registerWorkers()
			d.p.AddJob(d.now, d.capped(tt.limit, tt.step), planner.Progress{})
			d.p.SetPart("o", tt.part)
			d.Assert(d.startTasks(), quicktest.HasLen, tt.wantStarts)
			for range 3 {
				d.advance(50 * time.Millisecond)
				d.poll("a")
				d.Assert(d.startTasks(), quicktest.HasLen, 0)
			}
			// It names each resource, since any may be the one that is short.
			d.Assert(strings.Contains(d.p.Explain(d.now, "capped"), " MB, 0 GPUs"), quicktest.Equals, tt.wantStarts < tt.step.Count)
			demand := d.p.CapDemands()["o"]
			d.Assert([2]int64{demand.Used.CPU, demand.Blocked.CPU}, quicktest.Equals, [2]int64{tt.wantUsed * 1000, tt.wantBlocks * 1000})
		})
	}
}

// TestCapCountsSilentAndStoppingRuns guards against starts in place of runs that may still
// be on a worker which is cut off or told to stop them.
func TestCapCountsSilentAndStoppingRuns(t *testing.T) {
	d := newDriver(t, 1, worker("a", 60), worker("b", 60)).registerWorkers()
	d.p.AddJob(d.now, d.capped(100, step(9, 2)), planner.Progress{})
	d.p.SetPart("o", part(8))
	starts := d.startTasks()
	d.Assert(starts, quicktest.HasLen, 4)
	d.p.Leased("a", d.now.Add(5*time.Second))
	d.p.Leased("b", d.now.Add(5*time.Second))
	d.p.Unanswered(d.now, "a")
	d.p.Unanswered(d.now, "b")
	d.p.Cancel(d.now, "capped")
	other := job("other", step(9, 2))
	other.Organisation = "o"
	d.p.AddJob(d.now, other, planner.Progress{})
	d.advance(4 * time.Second)
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.poll("a")
	for _, s := range starts {
		d.endRun(s, planner.EndStopped)
	}
	d.Assert(d.startTasks(), quicktest.HasLen, 4)
}

// TestSuccessorCountsUnknownRuns guards against a new owner that starts tasks of an
// organisation while runs of its predecessor, which it doesn't know yet, use the cap.
func TestSuccessorCountsUnknownRuns(t *testing.T) {
	d := newDriver(t, 2, worker("a", 60), worker("b", 60))
	d.p.AddUnverifiedWorker(d.workers[0])
	d.registerWorkers()
	d.p.AddUnverifiedWorker(worker("gone", 60))
	speculative := step(9, 2)
	// Other tasks wait for all workers of the predecessor anyway.
	speculative.Speculative = true
	earlier, later := d.capped(100, step(3, 2)), job("later", speculative)
	later.Organisation = "o"
	d.p.AddJob(d.now, earlier, planner.Progress{})
	d.p.InheritPart("o", planner.Resources{CPU: 8000})
	d.p.SetPart("o", part(8))
	d.p.JobsRead(d.now)
	later.Received = d.now
	d.p.AddJob(d.now, later, planner.Progress{})
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "capped"}, Attempt: 1}, Percent: 5}}
	d.poll("a")
	d.Assert(d.startTasks(), quicktest.HasLen, 0)
	d.Assert(d.p.CapDemands()["o"].Used.CPU, quicktest.Equals, int64(8000))
	// The part may grow meanwhile, and what is new of it may be used.
	d.p.SetPart("o", part(11))
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
	// Every lease of the predecessor has expired.
	d.advance(20 * time.Second)
	d.poll("a")
	d.poll("b")
	d.Assert(d.startTasks(), quicktest.HasLen, 3)
}

// TestUnknownRunAfterTakeover guards against an owner that counts the part of its
// predecessor as used again, long after all runs of the predecessor were found, because a
// worker lists a run of a job that the shard doesn't have.
func TestUnknownRunAfterTakeover(t *testing.T) {
	d := newDriver(t, 2, worker("a", 60), worker("b", 60))
	d.p.AddUnverifiedWorker(d.workers[0])
	d.p.InheritPart("o", planner.Resources{CPU: 8000})
	d.registerWorkers()
	d.p.JobsRead(d.now)
	capped := d.capped(100, step(4, 2))
	d.startTasks()
	d.advance(time.Minute)
	d.p.JobsRead(d.now)
	d.poll("a")
	d.startTasks()
	d.running["a"] = []planner.RunStatus{{Run: planner.RunID{TaskID: planner.TaskID{Job: "expired"}, Attempt: 1}, Percent: 5}}
	d.poll("a")
	d.p.AddJob(d.now, capped, planner.Progress{})
	d.p.SetPart("o", part(8))
	d.Assert(d.startTasks(), quicktest.HasLen, 4)
}

// TestRunFoundTwice guards against a run of an earlier owner that counts twice among those
// that were found, so that another one, which isn't known yet, doesn't count as used.
func TestRunFoundTwice(t *testing.T) {
	d := newDriver(t, 2, worker("a", 60), worker("b", 60))
	d.p.AddUnverifiedWorker(d.workers[0])
	d.registerWorkers()
	d.p.AddUnverifiedWorker(worker("gone", 60))
	d.p.InheritPart("o", planner.Resources{CPU: 4000})
	d.p.AddJob(d.now, d.capped(100, step(2, 2)), planner.Progress{})
	d.p.SetPart("o", part(4))
	d.p.JobsRead(d.now)
	found := planner.RunStatus{Run: planner.RunID{TaskID: planner.TaskID{Job: "capped"}, Attempt: 1}, Percent: 5}
	for range 2 {
		d.running["a"] = []planner.RunStatus{found}
		d.poll("a")
		d.startTasks()
		d.Assert(d.p.CapDemands()["o"].Used.CPU, quicktest.Equals, int64(4000))
		d.running["a"] = nil
		d.advance(time.Second)
		d.poll("a")
		d.startTasks()
		// The run that has ended counts no more, but the other one may still be there.
		d.Assert(d.p.CapDemands()["o"].Used.CPU, quicktest.Equals, int64(2000))
	}
}

// TestGangAboveCapStartsOnceRaised guards against an accepted gang that its cap keeps from
// starting for ever, or of which nothing tells why: it waits until the cap is raised.
func TestGangAboveCapStartsOnceRaised(t *testing.T) {
	gang := step(2, 3)
	gang.Gang = true
	for _, p := range []planner.Part{{}, part(4), {IsFrozen: true}} {
		d := newDriver(t, 1, worker("a", 60)).registerWorkers()
		d.add(d.capped(4, gang))
		d.p.SetPart("o", p)
		d.Assert(d.startTasks(), quicktest.HasLen, 0)
		d.Assert(d.p.Explain(d.now, "capped"), quicktest.Contains, "can't start under the cap of organisation o: the 2 tasks of the gang need 6000 millicores, 200 MB, 0 GPUs together, and the cap is 4000, 0, 0;")
		d.capped(8)
		d.p.SetPart("o", part(8))
		d.Assert(d.startTasks(), quicktest.HasLen, 2)
	}
}

// TestSmallestBlockedTask guards against a shard that never starts anything of an organisation,
// since its part suffices for the least processors and the least memory that its waiting tasks
// need, but for none of them. Load: tasks that need mostly processors or mostly memory, while
// another shard has work for the whole cap.
func TestSmallestBlockedTask(t *testing.T) {
	limit := planner.Resources{CPU: 10_000, Memory: 10_000}
	wide, large := step(1, 8), step(1, 1)
	wide.Need.Memory, large.Need.Memory = 500, 8_000
	d := newDriver(t, 1, worker("a", 60)).registerWorkers()
	d.p.SetConfig(planner.Config{Organisations: map[string]planner.Organisation{"o": {Cap: limit}}})
	d.addFor("o", "wide", wide)
	d.addFor("o", "large", large)
	record := allotter.Record{Parts: map[string]planner.Resources{"other": limit}}
	used, started := limit, 0
	for range 8 {
		started += len(d.startTasks())
		own := allotter.Decide(record, "own", limit, d.p.CapDemands()["o"])
		record = own.Record
		d.p.SetPart("o", planner.Part{Amount: own.Part})
		other := allotter.Decide(record, "other", limit, planner.CapDemand{Used: used, Blocked: limit, Smallest: planner.Resources{CPU: 100, Memory: 100}})
		record = other.Record
		// Its runs end as soon as they may not be replaced.
		used = used.Least(other.Part)
	}
	d.Assert(started, quicktest.Equals, 1)
}
