package soaker_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	// The soaks run this package in separate processes. The import makes cached
	// test results depend on it.
	_ "tarragonhead.example/tarragonhead/platform"
	"tarragonhead.example/tarragonhead/standins/soaker"
)

// seeds holds the seeds of the short run, and those that once failed with the cause.
var seeds = map[string]uint64{
	"short run":       1,
	"short run, mild": 2,
	"short run again": 3,
	// An owner lost its shard during a commit, acquired the shard again and
	// committed nothing any more (TestOwnerReacquiresDuringCommit).
	"owner reacquires during commit":      30,
	"owner reacquires during commit late": 47,
}

// configSeeds holds the seeds of the short run of changes of the configuration. With
// seed 3 an instance served by an older configuration, once its connections to the
// store had gone silent. Clients need keys in the run of replacedKeys.
var configSeeds = map[string]uint64{"short run": 1, "silent connections": 3, replacedKeys: 5}

const replacedKeys = "replaced keys"

// unstoredSeeds holds the seeds of the short run in which owners end before they have
// stored the ends of runs.
var unstoredSeeds = map[string]uint64{"workers missing": 36007, "workers drain": 36002, "workers drain again": 36009}

// cutSeeds holds the seeds of the short run in which owners end while workers are cut off.
var cutSeeds = map[string]uint64{"short run": 1, "short run again": 2}

// heldSeeds holds the seeds of the short run in which calls to the former processes of
// workers take effect on the next ones.
var heldSeeds = map[string]uint64{"short run": 41001, "short run again": 41002}

// heldTakeoverSeeds holds the seeds of the short run in which a successor can't reach the
// processes that take calls of an ended owner.
var heldTakeoverSeeds = map[string]uint64{"short run": 43600, "short run again": 43606}

// buildDaemon builds tarragond and returns its path.
func buildDaemon(c *quicktest.C, dir string) string {
	binary := filepath.Join(dir, "tarragond")
	output, err := exec.Command("go", "build", "-o", binary, "tarragonhead.example/tarragonhead/cmd/tarragond").CombinedOutput()
	c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", output))
	return binary
}

// runSoaks runs a soak for each seed, all at the same time, on three instances and six
// workers, and checks that no guarantee is violated.
func runSoaks(t *testing.T, seeds map[string]uint64, o soaker.Options, checks ...func(*quicktest.C, soaker.Report)) {
	t.Helper()
	c := quicktest.New(t)
	dir := t.TempDir()
	o.Binary, o.Instances, o.Workers = buildDaemon(c, dir), 3, 6
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			o := o
			o.Directory = filepath.Join(dir, fmt.Sprint(seed))
			c.Assert(os.Mkdir(o.Directory, 0o700), quicktest.IsNil)
			r, err := soaker.Run(seed, o)
			c.Assert(err, quicktest.IsNil)
			c.Assert(r.Violations, quicktest.HasLen, 0, quicktest.Commentf("%q", r.InjectedFaults))
			c.Assert(r.Accepted > 0, quicktest.IsTrue)
			for _, check := range checks {
				check(c, r)
			}
		})
	}
}

func checkRestarts(c *quicktest.C, r soaker.Report) { c.Assert(r.Restarts > 0, quicktest.IsTrue) }

// TestConfigurationIsInForce checks that each version of the configuration is in force
// in time while open connections go silent or are reset, and guards against keys that work
// after they were withdrawn or that no configuration held.
func TestConfigurationIsInForce(t *testing.T) {
	c := quicktest.New(t)
	dir := t.TempDir()
	binary := buildDaemon(c, dir)
	for name, seed := range configSeeds {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			sub := filepath.Join(dir, fmt.Sprint(seed))
			c.Assert(os.Mkdir(sub, 0o700), quicktest.IsNil)
			r, err := soaker.RunConfigs(seed, soaker.Options{Binary: binary, Directory: sub, Instances: 3, Workers: 3, Duration: 8 * time.Second, Keys: name == replacedKeys})
			c.Assert(err, quicktest.IsNil)
			c.Assert(r.Violations, quicktest.HasLen, 0, quicktest.Commentf("%q", r.InjectedFaults))
			c.Assert(r.Checks > 0, quicktest.IsTrue)
			c.Assert(r.UnknownKeys > 0, quicktest.Equals, name == replacedKeys)
		})
	}
}

// TestSoak checks the guarantees to clients and workers under random faults: no
// task runs twice, accepted work is done, and refused work never runs.
func TestSoak(t *testing.T) {
	c := quicktest.New(t)
	dir := t.TempDir()
	binary := buildDaemon(c, dir)
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			sub := filepath.Join(dir, fmt.Sprint(seed))
			c.Assert(os.Mkdir(sub, 0o700), quicktest.IsNil)
			r, err := soaker.Run(seed, soaker.Options{Binary: binary, Directory: sub, Instances: 3, Workers: 6, Clients: 3, Duration: 6 * time.Second})
			c.Assert(err, quicktest.IsNil)
			c.Logf("%d jobs, %d accepted, %d starts, %d workers restarted, %d runs killed", r.Jobs, r.Accepted, r.Starts, r.Restarts, r.Kills)
			c.Assert(r.Violations, quicktest.HasLen, 0, quicktest.Commentf("%q", r.InjectedFaults))
			c.Assert(r.Accepted > 0, quicktest.IsTrue)
			c.Assert(r.Restarts > 0, quicktest.IsTrue)
		})
	}
}

// TestCapUnderFaults guards against an organisation that exceeds its cap while owners end,
// workers restart and are cut off and the store fails, and against calls that are accepted
// with an unknown key.
func TestCapUnderFaults(t *testing.T) {
	runSoaks(t, map[string]uint64{"owners end, workers restart": 46001}, soaker.Options{Clients: 12, Duration: 6 * time.Second, Keys: true}, func(c *quicktest.C, r soaker.Report) {
		c.Assert(r.UnknownKeys > 0, quicktest.IsTrue)
		c.Assert(r.MostCapped > 1, quicktest.IsTrue)
	})
}

// TestUnstoredEndsRunNoTaskTwice guards against tasks that run again after the end of
// an owner that had read the ends of their runs and not stored them (issue 36).
func TestUnstoredEndsRunNoTaskTwice(t *testing.T) {
	runSoaks(t, unstoredSeeds, soaker.Options{Clients: 4, Duration: 8 * time.Second, UnstoredEnds: true})
}

// TestCutWorkersAreUsedAgain guards against workers that are cut off during a change of
// owner and that the successor never uses (issue 38).
func TestCutWorkersAreUsedAgain(t *testing.T) {
	runSoaks(t, cutSeeds, soaker.Options{Clients: 3, Duration: time.Second, Cuts: true})
}

// TestCallsToFormerProcessRunNoTaskTwice guards against tasks that run twice after calls to the former
// processes of workers took effect on the next ones, which are cut off (issue 41).
func TestCallsToFormerProcessRunNoTaskTwice(t *testing.T) {
	runSoaks(t, heldSeeds, soaker.Options{Clients: 3, Duration: time.Second, HeldCalls: true}, checkRestarts)
}

// TestCallsOfEndedOwnerRunNoTaskTwice guards against tasks that run twice after calls of an
// ended owner took effect on the next processes of workers, which its successor can't reach
// and the list no longer shows (issue 43).
func TestCallsOfEndedOwnerRunNoTaskTwice(t *testing.T) {
	runSoaks(t, heldTakeoverSeeds, soaker.Options{Clients: 4, Duration: time.Second, HeldTakeovers: true}, checkRestarts)
}
