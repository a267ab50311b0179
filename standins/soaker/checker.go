package soaker

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// job holds what a client knows about a job that it submits.
type job struct {
	id string
	// taskCounts holds the number of tasks of each step. A step starts once the
	// previous step is done.
	taskCounts    []int
	isLongRunning bool
	// isCapped is set if the job belongs to the organisation with a cap.
	isCapped bool
	// times is the number of scheduled occurrences of the steps, 0 for a job that starts
	// immediately. Occurrence k is due at first plus k times interval.
	times    int
	first    time.Time
	interval time.Duration
	// accepted is set by a 200 response to the submission, and cancelled before
	// the client tries to cancel the job. refused is set while every response to
	// the submission was a definite refusal, so that the job must never run.
	accepted, cancelled, refused bool
	// isGone is set once the cancellation was answered with 410: the job must not run from
	// then on.
	isGone bool
	// isReportedDone and isReportedFailed are set once a client has received the
	// state "done" or "failed".
	isReportedDone, isReportedFailed bool
}

// task returns the id of a task.
func (j *job) task(occurrence, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", j.id, occurrence, step, index)
}

// tasks returns the ids of all tasks.
func (j *job) tasks() []string {
	var all []string
	for k := range max(1, j.times) {
		for s, count := range j.taskCounts {
			for n := range count {
				all = append(all, j.task(k, s, n))
			}
		}
	}
	return all
}

// checker compares what workers and clients observe with what the system
// guarantees to them.
type checker struct {
	// log receives the violations as they are found.
	log func(format string, args ...any)

	mu   sync.Mutex
	jobs map[string]*job
	// running holds the current runs of each task, by worker, process and attempt.
	running map[string]map[string]bool
	// done holds the tasks with a run that ended as done, and acknowledged those
	// for which the end of such a run was acknowledged.
	done, acknowledged map[string]bool
	// doneRuns holds the runs of each task that ended as done. restartedAfter
	// holds those after which the task was started again, which violates the
	// guarantees if the end of such a run is ever acknowledged.
	doneRuns, restartedAfter map[string]map[string]bool
	// restartOrigin describes the origin of the last such start of each task.
	restartOrigin map[string]string
	// failedRuns holds the runs of each task that ended as failed, and whether that
	// end was acknowledged. failedBefore holds those before the last start.
	failedRuns, failedBefore map[string]map[string]bool
	violations               []string
	starts, kills            int
	// unknownKeys counts the rejected calls with a key that no configuration held.
	unknownKeys int
	// mostCapped is the largest number of tasks of the organisation with a cap that ran.
	mostCapped int
}

func newChecker() *checker {
	return &checker{
		log:  func(string, ...any) {},
		jobs: map[string]*job{}, running: map[string]map[string]bool{}, done: map[string]bool{}, acknowledged: map[string]bool{},
		restartOrigin: map[string]string{}, doneRuns: map[string]map[string]bool{}, restartedAfter: map[string]map[string]bool{},
		failedRuns: map[string]map[string]bool{}, failedBefore: map[string]map[string]bool{},
	}
}

// acceptedCount returns the number of jobs that were accepted.
func (c *checker) acceptedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, j := range c.jobs {
		if j.accepted {
			n++
		}
	}
	return n
}

// failSoak records a failure of the soak itself.
func (c *checker) failSoak(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail("soak: %v", err)
}

// fail records a violation, or a failure of the soak itself. The caller holds c.mu.
func (c *checker) fail(format string, args ...any) {
	c.log("violated: "+format, args...)
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// observe checks an event of a worker.
func (c *checker) observe(e platformer.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run := fmt.Sprintf("%s process %d attempt %d", e.Worker, e.Process, e.Attempt)
	switch e.Kind {
	case "start":
		c.starts++
		c.checkStart(e, run)
	case "noted":
		if c.doneRuns[e.Task][run] {
			c.acknowledged[e.Task] = true
			if c.restartedAfter[e.Task][run] {
				c.fail("twice: %s was started again after a run whose end is now acknowledged, %s%s", e.Task, run, c.restartOrigin[e.Task])
			}
		}
		if _, hasFailed := c.failedRuns[e.Task][run]; hasFailed {
			c.failedRuns[e.Task][run] = true
			c.checkBudget(e.Task)
		}
	case "void", "late":
	default:
		delete(c.running[e.Task], run)
		switch e.Kind {
		case "done":
			c.done[e.Task] = true
			put(c.doneRuns, e.Task, run, true)
		case "failed":
			put(c.failedRuns, e.Task, run, false)
		case "killed":
			c.kills++
		}
	}
}

// describeOrigin tells a start that was sent to an earlier process of the worker from
// others. An owner can't prevent the first before it knows of the process.
func describeOrigin(e platformer.Event) string {
	if e.IsFromEarlier {
		return "; the start was sent to an earlier process"
	}
	return ""
}

// put sets a value in a map of maps.
func put(m map[string]map[string]bool, outer, inner string, value bool) {
	if m[outer] == nil {
		m[outer] = map[string]bool{}
	}
	m[outer][inner] = value
}

// checkBudget checks that the last start of a task does not follow the last failed
// run that the task may have. Only acknowledged ends count. The caller holds c.mu.
func (c *checker) checkBudget(task string) {
	count := 0
	for run := range c.failedBefore[task] {
		if c.failedRuns[task][run] {
			count++
		}
	}
	if count >= platformer.Attempts {
		c.fail("budget: %s was started after %d failed runs: %v", task, count, c.failedBefore[task])
	}
}

// checkStart checks the start of a run. The caller holds c.mu.
func (c *checker) checkStart(e platformer.Event, run string) {
	if len(c.running[e.Task]) > 0 {
		c.fail("twice: %s starts on %s while %v still run%s", e.Task, run, c.running[e.Task], describeOrigin(e))
	}
	put(c.running, e.Task, run, true)
	if c.acknowledged[e.Task] {
		c.fail("twice: %s is started on %s after its end was acknowledged%s", e.Task, run, describeOrigin(e))
	}
	if len(c.failedRuns[e.Task]) > 0 {
		c.failedBefore[e.Task] = maps.Clone(c.failedRuns[e.Task])
		c.checkBudget(e.Task)
	}
	if len(c.doneRuns[e.Task]) > 0 {
		c.restartedAfter[e.Task] = maps.Clone(c.doneRuns[e.Task])
		c.restartOrigin[e.Task] = describeOrigin(e)
	}
	parts := strings.Split(e.Task, ".")
	j := c.jobs[parts[0]]
	if j == nil {
		c.fail("unrequested: %s is started, but no client submitted its job", e.Task)
		return
	}
	if j.isCapped {
		c.checkCap(e.Task)
	}
	if j.refused {
		c.fail("refused: %s is started, but every submission of its job was refused", e.Task)
	}
	if j.isGone {
		c.fail("unrequested: %s is started, but its cancellation was answered with 410%s", e.Task, describeOrigin(e))
	}
	occurrence, err := strconv.Atoi(parts[1])
	step, stepErr := strconv.Atoi(parts[2])
	if err != nil || stepErr != nil || occurrence >= max(1, j.times) || step >= len(j.taskCounts) {
		c.fail("unrequested: %s is started, but its job has no such step", e.Task)
		return
	}
	if early := time.Until(j.first.Add(time.Duration(occurrence) * j.interval)); j.times > 0 && early > earlyLimit {
		c.fail("order: %s starts %s before its time", e.Task, early)
	}
	if step > 0 {
		for n := range j.taskCounts[step-1] {
			if predecessor := j.task(occurrence, step-1, n); !c.done[predecessor] {
				c.fail("order: %s starts before %s is done", e.Task, predecessor)
			}
		}
	}
}

// addJob records a job before a client submits it.
func (c *checker) addJob(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.id] = j
}

// update changes what a client knows about a job.
func (c *checker) update(j *job, change func(*job)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(j)
}

// checkGone checks and records that the cancellation of a job was answered with 410.
func (c *checker) checkGone(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.isGone = true
	if j.accepted {
		c.fail("lost: %s was accepted, and its cancellation was answered with 410", j.id)
	}
}

// checkState checks the status and the state that a client received for a job.
func (c *checker) checkState(j *job, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == 410 && j.accepted && !j.cancelled:
		c.fail("lost: %s was accepted and is no longer known", j.id)
	case state == "failed" && c.mayHaveFailed(j):
		j.isReportedFailed = true
	case state == "failed" || state == "canceled" && !j.cancelled:
		c.fail("lost: %s is reported as %s without a cause", j.id, state)
	case state == "done":
		j.isReportedDone = true
		for _, task := range j.tasks() {
			if !c.done[task] {
				c.fail("mixed: %s is reported as done before %s is done", j.id, task)
			}
		}
	}
}

// mayHaveFailed reports whether a task of the job has used up its failed runs. The
// caller holds c.mu.
func (c *checker) mayHaveFailed(j *job) bool {
	return slices.ContainsFunc(j.tasks(), func(task string) bool { return len(c.failedRuns[task]) >= platformer.Attempts })
}

// checkFinalState checks the guarantees that hold once the faults have ended and
// the jobs have had time to complete.
func (c *checker) checkFinalState() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		running := 0
		for _, task := range j.tasks() {
			running += len(c.running[task])
		}
		switch {
		case j.cancelled && running > 0:
			c.fail("unrequested: %d tasks of the cancelled job %s still run", running, j.id)
		case !j.accepted || j.cancelled:
		case j.isLongRunning && running < j.taskCounts[0]:
			c.fail("lost: only %d of %d long-running tasks of %s run", running, j.taskCounts[0], j.id)
		case !j.isLongRunning && !j.isReportedDone && !j.isReportedFailed:
			c.fail("lost: %s was accepted but has not ended", j.id)
		}
	}
}

// isLongRunningTaskMissing reports whether a task of an accepted long-running job
// that was not cancelled is not running.
func (c *checker) isLongRunningTaskMissing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if !j.isLongRunning || !j.accepted || j.cancelled {
			continue
		}
		for n := range j.taskCounts[0] {
			if len(c.running[j.task(0, 0, n)]) == 0 {
				return true
			}
		}
	}
	return false
}
