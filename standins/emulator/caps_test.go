package emulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

var (
	// capped are the organisations of the tests. The workers have room for all their caps
	// in each shard.
	capped = map[string]planner.Organisation{
		"large":  {Weight: 20, Cap: planner.Resources{CPU: 24_000}},
		"memory": {Weight: 10, Cap: planner.Resources{CPU: 16_000, Memory: 8000}},
		"small":  {Weight: 4, Cap: planner.Resources{CPU: 6000, Memory: 6000}},
	}
	coreTask = planner.Resources{CPU: 1000, Memory: 500}
)

// load is what an organisation submits: jobs of up to maxCount tasks to random shards.
type load struct {
	organisation string
	every        time.Duration
	maxCount     int
	need         planner.Resources
	work         time.Duration
}

// These loads need 1.4 times the cap of "large", 1.1 times that of "memory" and 0.3 times
// that of "small". The tasks of longLoad outlast a lease.
var (
	largeLoad  = load{"large", 400 * time.Millisecond, 7, planner.Resources{CPU: 1000, Memory: 100}, 2 * time.Second}
	longLoad   = load{"large", 2 * time.Second, 4, planner.Resources{CPU: 1000, Memory: 100}, 10 * time.Second}
	memoryLoad = load{"memory", 500 * time.Millisecond, 5, planner.Resources{CPU: 1500, Memory: 1000}, 1500 * time.Millisecond}
	smallLoad  = load{"small", time.Second, 3, planner.Resources{CPU: 900, Memory: 900}, time.Second}
)

// submit submits a load for a while.
func submit(c *quicktest.C, d *Deployment, l load, length time.Duration) {
	rng := rand.New(rand.NewPCG(d.options.Seed, uint64(l.every)))
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(l.every) {
		c.Check(d.Submit(fmt.Sprint(rng.IntN(d.options.Shards)), l.organisation, 1+rng.IntN(l.maxCount), l.need, l.work), quicktest.IsNil)
	}
}

// runDeployment runs f on a new deployment of three shards in virtual time. It then checks
// that no start has exceeded a cap, unless caps are ignored.
func runDeployment(t *testing.T, change func(*DeploymentOptions), f func(*quicktest.C, *Deployment)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		o := DeploymentOptions{Shards: 3, Machines: 3, Candidates: 2, Capacity: planner.Resources{CPU: 64_000, Memory: 64_000}, Organisations: capped, Seed: 1}
		o.Log = &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: testWriter{t}}}
		if change != nil {
			change(&o)
		}
		d, err := StartDeployment(o)
		c.Assert(err, quicktest.IsNil)
		defer d.Stop()
		_, ok := WaitUntil(10*time.Second, func() bool {
			return d.Owner("0") != nil && d.Owner("1") != nil && d.Owner("2") != nil
		})
		c.Assert(ok, quicktest.IsTrue)
		f(c, d)
		d.locked(func() {
			t.Logf("peaks %v, %d lapsed runs, %d long waits", d.ledger.peaks, d.ledger.lapses, len(d.ledger.LongWaits))
		})
		if !o.IgnoreCaps {
			c.Check(d.ledger.OverCap, quicktest.HasLen, 0, quicktest.Commentf("trace:\n%s", strings.Join(d.ledger.Trace, "\n")))
		}
	})
}

// awaitAll waits until all tasks are done.
func awaitAll(c *quicktest.C, d *Deployment, within time.Duration) {
	took, ok := WaitUntil(within, func() bool { return d.unfinished("") == 0 })
	c.Assert(ok, quicktest.IsTrue, quicktest.Commentf("%d tasks not done after %s", d.unfinished(""), took))
}

// used returns what the runs of an organisation use.
func (d *Deployment) used(organisation string) planner.Resources {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.used[organisation]
}

// scenario brings something about while all organisations submit jobs. It returns whether
// this has had the effect that the scenario is about.
type scenario func(c *quicktest.C, d *Deployment) bool

// seeds is the number of runs of each scenario, each with another load. Goroutines are not
// scheduled in the same order in each run of a seed.
const seeds = 2

// TestCapsUnderFaults guards against starts that bring the runs of an organisation on all
// shards above its cap, and against tasks that never run, when something fails.
func TestCapsUnderFaults(t *testing.T) {
	for name, play := range map[string]scenario{
		"owner ends between taking and using a part": func(_ *quicktest.C, d *Deployment) bool {
			time.Sleep(5 * time.Second)
			killed := 0
			d.locked(func() {
				d.writeFault = func(o *Owner, t storeclient.Transaction) WriteFault {
					if killed < 2 && o.Shard == fmt.Sprint(killed) && strings.HasPrefix(t.Writes[0].Key, "th/cap/") {
						killed++
						return WriteFault{KillsOwner: true}
					}
					return WriteFault{}
				}
			})
			time.Sleep(20 * time.Second)
			return killed == 2 && d.Owner("0") != nil && d.Owner("1") != nil
		},
		"owner is cut off while a cap is lowered": func(_ *quicktest.C, d *Deployment) bool {
			return lowerWhileCutOff(d, 5*time.Second) && d.used("large").CPU <= 8000
		},
		"owner is cut off until it is replaced while a cap is lowered": func(_ *quicktest.C, d *Deployment) bool {
			return lowerWhileCutOff(d, 14*time.Second) && d.used("large").CPU <= 8000
		},
		"workers are cut off with runs": func(c *quicktest.C, d *Deployment) bool {
			submitOutlasting(c, d)
			for _, length := range []time.Duration{3 * time.Second, 12 * time.Second} {
				d.cutMachines(true)
				time.Sleep(length)
				d.cutMachines(false)
			}
			return d.lapsed() > 0
		},
		"workers are cut off as an owner ends": func(c *quicktest.C, d *Deployment) bool {
			submitOutlasting(c, d)
			d.cutMachines(true)
			for _, shard := range []string{"0", "1"} {
				if o := d.Owner(shard); o != nil {
					d.locked(o.kill)
				}
			}
			time.Sleep(15 * time.Second)
			d.cutMachines(false)
			return d.lapsed() > 0
		},
		"late starts": func(_ *quicktest.C, d *Deployment) bool {
			late := delayStarts(d)
			time.Sleep(25 * time.Second)
			d.locked(func() { d.startDelay = nil })
			return *late > 50
		},
		"late writes": func(c *quicktest.C, d *Deployment) bool {
			late := delayWrites(d)
			// Parts are given back and needed again while the writes are under way.
			for i := range 24 {
				if i%4 < 2 {
					c.Check(d.Submit(fmt.Sprint(i%4), "large", 24, largeLoad.need, 2500*time.Millisecond), quicktest.IsNil)
				}
				time.Sleep(time.Second)
			}
			d.locked(func() { d.writeFault = nil })
			return *late > 10
		},
		"late starts and writes as owners end": func(_ *quicktest.C, d *Deployment) bool {
			starts, writes := delayStarts(d), delayWrites(d)
			time.Sleep(8 * time.Second)
			for _, shard := range []string{"0", "1"} {
				if o := d.Owner(shard); o != nil {
					d.locked(o.kill)
				}
			}
			time.Sleep(17 * time.Second)
			d.locked(func() { d.startDelay, d.writeFault = nil, nil })
			return *starts > 50 && *writes > 10
		},
		"one organisation sends ten times its usual": func(c *quicktest.C, d *Deployment) bool {
			submitTenfold(c, d, largeLoad)
			return d.unfinished("large") > 200
		},
	} {
		runScenario(t, name, play, func(c *quicktest.C, d *Deployment) {
			c.Check(10*d.ledger.peaks["large"].CPU >= 9*capped["large"].Cap.CPU, quicktest.IsTrue)
		})
	}
}

// TestWaitsWithoutFaults guards against tasks of an organisation under half of its cap that
// wait for longer than 3 s while there is room, although nothing fails, and against a raised
// cap that isn't used.
func TestWaitsWithoutFaults(t *testing.T) {
	for name, play := range map[string]scenario{
		"usual load": func(*quicktest.C, *Deployment) bool {
			time.Sleep(25 * time.Second)
			return true
		},
		"a small organisation sends ten times its usual": func(c *quicktest.C, d *Deployment) bool {
			submitTenfold(c, d, smallLoad)
			return d.unfinished("small") > 20
		},
		"a large organisation sends ten times its usual": func(c *quicktest.C, d *Deployment) bool {
			submitTenfold(c, d, largeLoad)
			return d.unfinished("large") > 200
		},
		"a cap is raised": func(c *quicktest.C, d *Deployment) bool {
			submitTenfold(c, d, largeLoad)
			before := d.used("large").CPU
			d.SetCap("large", planner.Resources{CPU: 48_000})
			_, isUsed := WaitUntil(5*time.Second, func() bool { return d.used("large").CPU >= 46_000 })
			return before <= 24_000 && isUsed
		},
	} {
		runScenario(t, name, play, func(c *quicktest.C, d *Deployment) {
			c.Check(d.ledger.LongWaits, quicktest.HasLen, 0, quicktest.Commentf("trace of the first:\n%s", strings.Join(d.ledger.WaitTrace, "\n")))
		})
	}
}

// runScenario plays a scenario with each seed while all organisations submit jobs, waits
// until all tasks are done, and then calls check with the deployment's mutex held.
func runScenario(t *testing.T, name string, play scenario, check func(*quicktest.C, *Deployment)) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			t.Parallel()
			runDeployment(t, func(o *DeploymentOptions) { o.Seed = seed }, func(c *quicktest.C, d *Deployment) {
				for _, l := range []load{largeLoad, longLoad, memoryLoad, smallLoad} {
					d.background.Go(func() { submit(c, d, l, 25*time.Second) })
				}
				c.Check(play(c, d), quicktest.IsTrue)
				awaitAll(c, d, 3*time.Minute)
				d.locked(func() { check(c, d) })
			})
		})
	}
}

// submitTenfold submits nine times a load in addition, for 8 s.
func submitTenfold(c *quicktest.C, d *Deployment, l load) {
	time.Sleep(5 * time.Second)
	l.every /= 9
	submit(c, d, l, 8*time.Second)
}

// lowerWhileCutOff lowers the cap of "large" to a third while the owner of shard 0, which
// has runs of it, is cut off from the store for a while. It reports whether this came about.
func lowerWhileCutOff(d *Deployment, length time.Duration) bool {
	time.Sleep(5 * time.Second)
	cut := d.Owner("0")
	if cut == nil {
		return false
	}
	cut.SetCutOff(true)
	d.SetCap("large", planner.Resources{CPU: 8000})
	time.Sleep(length)
	cut.SetCutOff(false)
	time.Sleep(8 * time.Second)
	return true
}

// submitOutlasting submits a job to each shard whose tasks outlast a lease, and waits until
// some of them run.
func submitOutlasting(c *quicktest.C, d *Deployment) {
	for shard := range d.options.Shards {
		c.Check(d.Submit(fmt.Sprint(shard), "large", 4, largeLoad.need, 2*maxLease), quicktest.IsNil)
	}
	time.Sleep(2 * time.Second)
}

// lapsed returns how many runs have ended because their lease expired.
func (d *Deployment) lapsed() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.lapses
}

// cutMachines cuts all but one worker of each shard off from all owners, or ends that.
func (d *Deployment) cutMachines(isCutOff bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, m := range d.machines {
		m.isCutOff = isCutOff && i%d.options.Machines > 0
	}
	d.ledger.note("workers cut off: %t", isCutOff)
}

// delayStarts makes a third of the starts arrive up to 3 s late, after their timeout in
// most cases. It returns the number of these.
func delayStarts(d *Deployment) *int {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := new(int)
	d.startDelay = func() time.Duration {
		if d.rng.IntN(3) > 0 {
			return 0
		}
		*late++
		return time.Duration(d.rng.Int64N(int64(3 * time.Second)))
	}
	return late
}

// delayWrites makes a third of the transactions take effect up to 4 s late, after their
// timeout in most cases. It returns the number of these.
func delayWrites(d *Deployment) *int {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := new(int)
	d.writeFault = func(*Owner, storeclient.Transaction) WriteFault {
		if d.rng.IntN(3) > 0 {
			return WriteFault{}
		}
		*late++
		return WriteFault{Delay: time.Duration(d.rng.Int64N(int64(4 * time.Second)))}
	}
	return late
}

// TestCapCheckFails guards against checks that pass whatever the owners do: caps that the
// owners don't know must be seen to be exceeded.
func TestCapCheckFails(t *testing.T) {
	t.Parallel()
	runDeployment(t, func(o *DeploymentOptions) { o.IgnoreCaps = true }, func(c *quicktest.C, d *Deployment) {
		for _, l := range []load{largeLoad, memoryLoad} {
			l.every /= 4
			d.background.Go(func() { submit(c, d, l, 10*time.Second) })
		}
		time.Sleep(11 * time.Second)
		d.locked(func() {
			over := strings.Join(d.ledger.OverCap, "\n")
			c.Check(strings.Contains(over, "large uses 28000 of resource 0, its cap is 24000"), quicktest.IsTrue)
			c.Check(strings.Contains(over, "memory uses 10000 of resource 1, its cap is 8000"), quicktest.IsTrue)
			// One task beyond the overage is allowed.
			c.Check(strings.Contains(over, "large uses 27000"), quicktest.IsFalse)
			c.Check(strings.Contains(over, "memory uses 9000"), quicktest.IsFalse)
			c.Check(len(d.ledger.Trace) > 0, quicktest.IsTrue)
		})
	})
}

// TestWaitCheckFails guards against a check of the waits that passes whatever the owners do:
// tasks in a shard whose owner starts nothing must be seen to wait.
func TestWaitCheckFails(t *testing.T) {
	t.Parallel()
	runDeployment(t, nil, func(c *quicktest.C, d *Deployment) {
		d.locked(func() { d.startDelay = func() time.Duration { return time.Hour } })
		c.Assert(d.Submit("0", "small", 2, coreTask, time.Second), quicktest.IsNil)
		time.Sleep(4 * time.Second)
		d.locked(func() { c.Check(d.ledger.LongWaits, quicktest.HasLen, 2) })
	})
}
