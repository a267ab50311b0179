package soaker_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	// The soaks run this package in processes; the import makes their cached
	// results depend on it.
	_ "tarragonhead.example/tarragonhead/platform"
	"tarragonhead.example/tarragonhead/standins/soaker"
)

// seeds are those of the short run, and each that ever failed, with its cause.
var seeds = map[string]uint64{
	"short run":       1,
	"short run again": 2,
	// The owner got its shard again after a commit was under way when it lost it,
	// and committed nothing any more (TestOwnerAgain).
	"owner again":       30,
	"owner again, late": 47,
}

// TestSoak guards the promises to clients and workers under random faults: no
// task runs twice, accepted work is done, and refused work never runs.
func TestSoak(t *testing.T) {
	c := quicktest.New(t)
	dir := t.TempDir()
	binary := filepath.Join(dir, "tarragond")
	output, err := exec.Command("go", "build", "-o", binary, "tarragonhead.example/tarragonhead/cmd/tarragond").CombinedOutput()
	c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", output))
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			sub := filepath.Join(dir, fmt.Sprint(seed))
			c.Assert(os.Mkdir(sub, 0o700), quicktest.IsNil)
			r, err := soaker.Run(seed, soaker.Options{Binary: binary, Directory: sub, Instances: 3, Workers: 6, Clients: 3, Length: 6 * time.Second})
			c.Assert(err, quicktest.IsNil)
			c.Logf("%d jobs, %d accepted, %d starts", r.Jobs, r.Accepted, r.Starts)
			c.Assert(r.Faults, quicktest.HasLen, 0, quicktest.Commentf("%q", r.Injected))
			c.Assert(r.Accepted > 0, quicktest.IsTrue)
		})
	}
}
