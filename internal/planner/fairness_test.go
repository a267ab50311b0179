package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// equalWeights returns a configuration with organisations o00, o01 and so on of weight 1.
func equalWeights(count int) planner.Config {
	c := planner.Config{Organisations: map[string]planner.Organisation{}}
	for i := range count {
		c.Organisations[fmt.Sprintf("o%02d", i)] = planner.Organisation{Weight: 1}
	}
	return c
}

func (d *driver) addFor(organisation, id string, s planner.Step) {
	j := job(id, s)
	j.Organisation, j.Received = organisation, d.now
	d.add(j)
}

// TestFirstStarts guards against organisations that get nothing, or less than their
// weight, of an empty shard of 40 processors when twenty of weight 1 and a large one of
// weight 20 submit more than it can run.
func TestFirstStarts(t *testing.T) {
	longRunning, bestEffort := step(2, 1), step(2, 1)
	longRunning.LongRunning, bestEffort.BestEffort = true, true
	bestEffort.Need.Memory = 5000 // The memory of the worker suffices for 20 tasks.
	withGPU := step(2, 1)
	withGPU.Need.CPU, withGPU.Need.GPU = 100, 1 // Its GPUs do, too.
	for name, tt := range map[string]struct {
		step, large     planner.Step
		jobs, largeJobs int
		// want is the number of starts of the small organisation with the fewest, which
		// is 0 without shares, and wantLarge that of the large one.
		want, wantLarge int
	}{
		"twenty organisations at once":           {step(2, 1), step(2, 1), 10, 0, 2, 0},
		"twenty at once, long-running":           {longRunning, longRunning, 10, 0, 1, 0},
		"twenty at once, best-effort":            {bestEffort, bestEffort, 10, 0, 1, 0},
		"twenty at once, with GPUs":              {withGPU, withGPU, 10, 0, 1, 0},
		"one large and many small on one shard":  {step(2, 1), step(2, 1), 2, 100, 1, 20},
		"one large with little work, many small": {step(2, 1), step(2, 1), 10, 5, 1, 10},
		"one large with a wide job, many small":  {step(2, 1), step(200, 1), 10, 1, 1, 20},
	} {
		c := equalWeights(20)
		c.Organisations["large"] = planner.Organisation{Weight: 20}
		for want, c := range map[[2]int]planner.Config{{tt.want, tt.wantLarge}: c, {}: {}} {
			w := worker("a", 40)
			w.Capacity.GPU = 20
			d := newDriver(t, 1, w).registerWorkers()
			d.p.SetConfig(c)
			for i := range tt.largeJobs {
				d.addFor("large", fmt.Sprint("large-", i), tt.large)
			}
			for i := range 20 * tt.jobs {
				d.addFor(fmt.Sprintf("o%02d", i/tt.jobs), fmt.Sprintf("o%02d-%d", i/tt.jobs, i), tt.step)
			}
			count := map[string]int{}
			for _, o := range d.startTasks() {
				count[o.Run.Job[:3]]++
			}
			least := count["o00"]
			for i := range 20 {
				least = min(least, count[fmt.Sprintf("o%02d", i)])
			}
			d.Assert(least, quicktest.Equals, want[0], quicktest.Commentf("%s: %v", name, count))
			d.Assert(len(c.Organisations) == 0 || count["lar"] == want[1], quicktest.IsTrue, quicktest.Commentf("%s: %v", name, count))
		}
	}
}

// TestWantedGPUsOfNoWorker guards against an organisation that counts as beyond its share
// because another one waits for a GPU that no worker of the service has.
func TestWantedGPUsOfNoWorker(t *testing.T) {
	d := newDriver(t, 1, worker("a", 40)).registerWorkers()
	d.p.SetConfig(equalWeights(2))
	d.addFor("o00", "running", step(30, 1))
	d.Assert(d.startTasks(), quicktest.HasLen, 30)
	withGPU, labelled := step(1, 1), step(1, 5)
	withGPU.Need.GPU, labelled.RequiredLabel = 1, "none"
	d.addFor("o01", "gpu", withGPU)
	d.addFor("o00", "waiting", labelled)
	for range 20 {
		d.advance(time.Second)
		d.poll("a")
		d.Assert(d.startTasks(), quicktest.HasLen, 0)
	}
	d.Assert(d.p.Explain(d.now, "waiting"), quicktest.Not(quicktest.Contains), "other work comes first")
}

// replayFlood replays 20 s in which organisation o0 submits ten times its usual load and
// o1 its usual one, each usual one half of the 16 processors. It returns the starts of
// both, the total wait of o1's tasks, and all starts.
func replayFlood(t *testing.T, c planner.Config, prefix string) (starts [2]int, wait time.Duration, commands []planner.Command) {
	d := newDriver(t, 1, worker("a", 16)).registerWorkers()
	d.p.SetConfig(c)
	ends := map[int][]planner.Command{}
	for i := range 200 {
		for k := range 11 {
			if i%5 == 0 {
				d.addFor(fmt.Sprint(prefix, k/10), fmt.Sprintf("%d-%03d-%d", k/10, i, k), step(4, 1))
			}
		}
		for _, o := range ends[i] {
			d.endRun(o, planner.EndDone)
		}
		d.commit()
		for _, o := range d.startTasks() {
			var organisation, arrival int
			_, err := fmt.Sscanf(o.Run.Job, "%d-%d", &organisation, &arrival)
			d.Assert(err, quicktest.IsNil)
			starts[organisation]++
			wait += time.Duration(organisation*(i-arrival)) * 100 * time.Millisecond
			// Runs take 0.7 to 1.3 s.
			end := i + 7 + len(commands)*5%7
			ends[end] = append(ends[end], o)
			commands = append(commands, o)
		}
		d.advance(100 * time.Millisecond)
	}
	return starts, wait, commands
}

// TestFloodOfOneOrganisation guards against an organisation whose usual load waits while
// another one submits ten times its usual, against processors that stay idle for it, and
// against decisions that depend on organisations that the configuration doesn't have.
func TestFloodOfOneOrganisation(t *testing.T) {
	c := planner.Config{Organisations: map[string]planner.Organisation{"o0": {Weight: 2}, "o1": {Weight: 2}}}
	shared, wait, _ := replayFlood(t, c, "o")
	plain, _, want := replayFlood(t, planner.Config{}, "")
	comment := quicktest.Commentf("with shares %v, o1 waited %s in sum; without %v", shared, wait, plain)
	t.Log(comment)
	quicktest.Assert(t, shared[1] >= 150 && plain[1] <= 40, quicktest.IsTrue, comment)
	quicktest.Assert(t, wait < time.Duration(shared[1])*400*time.Millisecond, quicktest.IsTrue, comment)
	quicktest.Assert(t, shared[0]+shared[1], quicktest.Equals, plain[0]+plain[1], comment)
	_, _, got := replayFlood(t, planner.Config{}, "o")
	quicktest.Assert(t, got, quicktest.DeepEquals, want)
}

// TestDisturbanceBeyondRate guards against best-effort work beyond its organisation's
// rate that disturbs long-running tasks of a busy service as much as other work, or is
// throttled later. It replays one job of each of two organisations.
func TestDisturbanceBeyondRate(t *testing.T) {
	shared := planner.Config{Organisations: map[string]planner.Organisation{"o0": {}, "o1": {Weight: 1}}}
	for _, c := range []planner.Config{shared, {}} {
		isShared := len(c.Organisations) > 0
		d := newBusyDriver(t, -0.35)
		d.p.SetConfig(c)
		d.addFor("o0", "z", bestEffortJob("").Steps[0])
		d.Assert(d.startTasks(), quicktest.HasLen, map[bool]int{true: 0, false: 1}[isShared])
		d = newBusyDriver(t, -1.5)
		d.p.SetConfig(c)
		d.addFor("o0", "z", bestEffortJob("").Steps[0])
		d.addFor("o1", "c", bestEffortJob("").Steps[0])
		d.Assert(d.startTasks(), quicktest.HasLen, 2)
		d.advance(time.Second)
		for i := range d.running["a"] {
			d.running["a"][i].Tail, d.running["a"][i].CPU = time.Second, 10_000
		}
		d.poll("a")
		d.Assert(d.p.Plan(d.now, d.proven())[0].Run.Job, quicktest.Equals, map[bool]string{true: "z", false: "c"}[isShared])
	}
}

// TestLongRunningBeyondShareWaits guards against a large organisation whose long-running
// tasks take the room that a small one waits for, and against room that stays unused. Of
// 40 processors the large one (o00) uses 30, short tasks 4, and the small one wants 16.
func TestLongRunningBeyondShareWaits(t *testing.T) {
	for _, c := range []planner.Config{equalWeights(2), {}} {
		isShared := len(c.Organisations) > 0
		d := newDriver(t, 1, worker("a", 40)).registerWorkers()
		d.p.SetConfig(c)
		d.addFor("o00", "running", longRunningJob("", 10, 3).Steps[0])
		d.Assert(d.startTasks(), quicktest.HasLen, 10)
		d.addFor("", "short", step(4, 1))
		d.Assert(d.startTasks(), quicktest.HasLen, 4)
		d.addFor("o00", "large", longRunningJob("", 1, 1).Steps[0])
		d.addFor("o01", "small", longRunningJob("", 2, 8).Steps[0])
		d.advance(300 * time.Millisecond)
		d.poll("a")
		d.Assert(d.startTasks(), quicktest.HasLen, map[bool]int{true: 0, false: 1}[isShared])
		d.Assert(strings.Contains(d.p.Explain(d.now, "large"), "organisation o00 uses 75.0% of service"), quicktest.Equals, isShared)
		d.advance(4 * time.Second)
		d.poll("a")
		d.Assert(d.startTasks(), quicktest.HasLen, map[bool]int{true: 1, false: 0}[isShared])
	}
}

// TestNewOwnerMetersAlike guards against a new owner, which reads the jobs in no
// particular order, that decides otherwise which jobs are beyond their organisation's
// rate, or counts them again. It replays ten times the usual load of an organisation.
func TestNewOwnerMetersAlike(t *testing.T) {
	var verdicts [2]string
	for _, isNewOwner := range []bool{false, true} {
		within, now := 0, origin.Add(time.Minute)
		p, err := planner.New(planner.Options{
			Epoch: 1, Shards: 2, Horizon: time.Hour, WallTime: func(t time.Time) time.Time { return t },
			OnJobMetered: func(_ string, isWithin bool) { within += map[bool]int{true: 1}[isWithin] },
		})
		quicktest.Assert(t, err, quicktest.IsNil)
		p.SetConfig(equalWeights(1))
		for i := range 200 {
			n := i * 77 % 200
			if !isNewOwner {
				n = i
				p.JobsRead(origin)
				p.Plan(now, now)
			}
			j := job(fmt.Sprint(n), step(1, 1))
			j.Organisation, j.Received = "o00", origin.Add(time.Duration(n)*200*time.Millisecond)
			p.AddJob(now, j, planner.Progress{})
		}
		p.Plan(now, now)
		beyond := ""
		for n := range 200 {
			beyond += map[bool]string{true: "b", false: "w"}[strings.Contains(p.Explain(now, fmt.Sprint(n)), "beyond the rate of organisation o00")]
		}
		verdicts[map[bool]int{true: 1}[isNewOwner]] = beyond
		quicktest.Assert(t, within, quicktest.Equals, map[bool]int{false: strings.Count(beyond, "w")}[isNewOwner])
	}
	quicktest.Assert(t, verdicts[1], quicktest.Equals, verdicts[0])
	// A burst of 14 and 19 jobs of the rate of half a job a second in 39.8 s.
	quicktest.Assert(t, strings.Count(verdicts[0], "w"), quicktest.Equals, 33, quicktest.Commentf("%s", verdicts[0]))
}
