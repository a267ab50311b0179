package platformer_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	// The tests run this package in separate processes. The import makes cached
	// test results depend on it.
	_ "tarragonhead.example/tarragonhead/platform"
	"tarragonhead.example/tarragonhead/standins/platformer"
)

// testPlatform is the platform of a test. The instances write to the file log.
type testPlatform struct {
	*quicktest.C
	*platformer.Platform
	log string
}

// binary is tarragond, built once for all tests unless TARRAGOND_BINARY names another one,
// such as that of an earlier version for a benchmark.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if binary = os.Getenv("TARRAGOND_BINARY"); binary != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "platformer")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "tarragond")
	output, err := exec.Command("go", "build", "-o", binary, "tarragonhead.example/tarragonhead/cmd/tarragond").CombinedOutput()
	if err != nil {
		panic(string(output))
	}
	return m.Run()
}

func newTestPlatform(t *testing.T, taskDuration time.Duration) *testPlatform {
	return newTestPlatformWith(t, platformer.Options{TaskDuration: taskDuration})
}

// newTestPlatformWith starts a platform of three workers with the other options in o.
func newTestPlatformWith(t *testing.T, o platformer.Options) *testPlatform {
	c := quicktest.New(t)
	dir := t.TempDir()
	log, err := os.Create(filepath.Join(dir, "log"))
	c.Assert(err, quicktest.IsNil)
	o.Binary, o.Directory, o.Workers, o.Output = binary, dir, 3, log
	p, err := platformer.New(o)
	c.Assert(err, quicktest.IsNil)
	t.Cleanup(p.Stop)
	return &testPlatform{c, p, log.Name()}
}

func (s *testPlatform) startInstance(name string) *platformer.Instance {
	i, err := s.Start(name)
	s.Assert(err, quicktest.IsNil)
	s.eventually("instance serves", func() bool {
		status, _ := s.call(i, "GET", "", "")
		return status == fasthttp.StatusOK
	})
	return i
}

// callTimeout is how long a client of the tests waits for a response.
const callTimeout = 4 * time.Second

func (s *testPlatform) call(i *platformer.Instance, method, id, body string) (int, string) {
	return i.Call(method, id, body, callTimeout)
}

func (s *testPlatform) eventually(what string, f func() bool) {
	s.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	text, _ := os.ReadFile(s.log)
	lines := strings.Split(string(text), "\n")
	s.Fatalf("%s: not reached within 20 s; the log ends with\n%s", what, strings.Join(lines[max(0, len(lines)-30):], "\n"))
}

const twoSteps = `{"spec":"x","phases":[{"count":3,"cpu":500,"memMb":100,"estimateMs":300},{"count":2,"cpu":500,"memMb":100,"estimateMs":300,"after":[0]}]}`

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func (s *testPlatform) isDone(i *platformer.Instance, id string) bool {
	_, body := s.call(i, "GET", id, "")
	return body == `{"state":"done"}`
}

// assertTasksStartedOnce checks that each task of a twoSteps job was started once.
func (s *testPlatform) assertTasksStartedOnce(id string) {
	s.Helper()
	count := map[string]int{}
	for _, w := range s.Workers {
		for task, n := range w.StartsByTask() {
			if strings.HasPrefix(task, id) {
				count[task] += n
			}
		}
	}
	s.Assert(count, quicktest.HasLen, 5)
	for task, n := range count {
		s.Assert(n, quicktest.Equals, 1, quicktest.Commentf("%s", task))
	}
}

// TestJobLifecycle guards the path of jobs through separate processes: one is
// accepted, started, done and queried at another instance, and one is cancelled.
func TestJobLifecycle(t *testing.T) {
	s := newTestPlatform(t, 200*time.Millisecond)
	a, b := s.startInstance("edge-1"), s.startInstance("edge-2")
	status, body := s.call(a, "POST", jobID(1), twoSteps)
	s.Assert(status, quicktest.Equals, fasthttp.StatusOK, quicktest.Commentf("%s", body))
	s.eventually("done", func() bool { return s.isDone(b, jobID(1)) })
	s.assertTasksStartedOnce(jobID(1))
	status, _ = s.call(b, "POST", jobID(1), twoSteps)
	s.Assert(status, quicktest.Equals, fasthttp.StatusOK)
	s.Assert(s.isDone(a, jobID(1)), quicktest.IsTrue)

	longRunning := `{"spec":"x","phases":[{"count":2,"cpu":500,"memMb":100,"longRunning":true}]}`
	status, _ = s.call(b, "POST", jobID(2), longRunning)
	s.Assert(status, quicktest.Equals, fasthttp.StatusOK)
	status, body = s.call(a, "DELETE", jobID(2), "")
	s.Assert(status, quicktest.Equals, fasthttp.StatusOK, quicktest.Commentf("%s", body))
	s.eventually("cancelled", func() bool {
		_, body := s.call(b, "GET", jobID(2), "")
		return body == `{"state":"canceled"}`
	})
}

// TestBadInput guards against invalid requests that are stored or that get a status
// other than the one for their error.
func TestBadInput(t *testing.T) {
	s := newTestPlatform(t, 200*time.Millisecond)
	a := s.startInstance("edge-1")
	for name, tt := range map[string]struct {
		method, id, body string
		want             int
	}{
		"no JSON":                 {"POST", jobID(10), "{", 400},
		"no steps":                {"POST", jobID(11), `{"spec":"x","phases":[]}`, 400},
		"step after a later step": {"POST", jobID(12), `{"spec":"x","phases":[{"count":1,"after":[1]},{"count":1}]}`, 400},
		"negative count":          {"POST", jobID(13), `{"spec":"x","phases":[{"count":-1}]}`, 400},
		"bad id":                  {"POST", "xyz", twoSteps, 400},
		"oversized":               {"POST", jobID(14), `{"spec":"` + strings.Repeat("x", 300000) + `","phases":[{"count":1}]}`, 413},
		"unknown job":             {"GET", jobID(15), "", 410},
		"cancel unknown":          {"DELETE", jobID(16), "", 410},
		"other method":            {"PUT", jobID(17), "", 405},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			status, body := s.call(a, tt.method, tt.id, tt.body)
			c.Assert(status, quicktest.Equals, tt.want, quicktest.Commentf("%s", body))
			if tt.method == "POST" {
				status, _ = s.call(a, "GET", jobID(10), "")
				c.Assert(status, quicktest.Equals, fasthttp.StatusGone)
			}
		})
	}
}

// TestOwnerIsLost guards against work that is lost or runs twice when the process
// that owns the shard is killed, paused past its lease, or stopped.
func TestOwnerIsLost(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"killed":  {syscall.SIGKILL},
		"stopped": {syscall.SIGTERM},
		"paused":  {syscall.SIGSTOP, syscall.SIGCONT},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestPlatform(t, time.Second)
			a := s.startInstance("edge-1")
			b := s.startInstance("edge-2")
			for n := range 4 {
				status, _ := s.call(b, "POST", jobID(n), twoSteps)
				s.Assert(status, quicktest.Equals, fasthttp.StatusOK)
			}
			time.Sleep(300 * time.Millisecond)
			s.Assert(a.Signal(signals[0]), quicktest.IsNil)
			if len(signals) > 1 {
				time.AfterFunc(3500*time.Millisecond, func() { _ = a.Signal(signals[1]) })
			}
			for n := range 4 {
				s.eventually("done", func() bool { return s.isDone(b, jobID(n)) })
				s.assertTasksStartedOnce(jobID(n))
			}
		})
	}
}
