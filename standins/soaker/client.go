package soaker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

const (
	// taskCPU is what a task needs, in millicores.
	taskCPU = 500
	// taskDuration is how long each task runs.
	taskDuration = 400 * time.Millisecond
	// callTimeout is how long a client waits for a response.
	callTimeout = 3 * time.Second
	// callAttempts is how many times a client tries to submit or cancel a job.
	callAttempts = 6
	retryDelay   = 150 * time.Millisecond
	// longRunningShare is the share of the jobs that are long-running, and timedShare that
	// of the others that run at set times.
	longRunningShare = 0.15
	timedShare       = 0.2
	// cancelShare is the share of the accepted jobs that are cancelled, and giveUpShare
	// that of the submissions that a client gives up, and cancels, after the first call
	// that doesn't tell whether the job is accepted.
	cancelShare = 0.2
	giveUpShare = 0.5
)

// client submits jobs one after another. Its calls reuse open connections.
type client struct {
	soak     *soak
	rng      *rand.Rand
	index    int
	jobs     []*job
	jobCount int
}

func newClients(s *soak, seed uint64) []*client {
	list := make([]*client, s.options.Clients)
	for n := range list {
		list[n] = &client{soak: s, rng: rand.New(rand.NewPCG(seed, uint64(10+n))), index: n}
	}
	return list
}

// run submits, cancels and polls jobs until stop is closed.
func (c *client) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.Int64N(int64(400 * time.Millisecond)))):
		}
		j := c.newJob()
		c.soak.checker.addJob(j)
		c.jobs = append(c.jobs, j)
		c.submit(j)
		if !j.accepted && !j.refused || j.accepted && c.rng.Float64() < cancelShare {
			c.cancel(j)
		}
		c.poll(c.jobs[c.rng.IntN(len(c.jobs))])
		if c.soak.options.Keys {
			c.callWithUnknownKey()
		}
	}
}

// newJob returns a long-running job of one step, or a batch job of one or two that may
// run at set times.
func (c *client) newJob() *job {
	c.jobCount++
	j := &job{taskCounts: []int{1 + c.rng.IntN(4)}, isLongRunning: c.rng.Float64() < longRunningShare}
	if j.isCapped = c.soak.isCapped(c.index); j.isCapped {
		// Long-running tasks would keep the cap used up until they are cancelled.
		j.isLongRunning = false
	}
	if j.isLongRunning {
		j.id = fmt.Sprintf("%s%04x%08x", platformer.LongRunningPrefix, c.index, c.jobCount)
		return j
	}
	j.id = fmt.Sprintf("%08x%08x", c.index, c.jobCount)
	if c.rng.Float64() < 0.6 {
		j.taskCounts = append(j.taskCounts, 1+c.rng.IntN(3))
	}
	if c.rng.Float64() < timedShare {
		j.times = 1 + c.rng.IntN(3)
		j.first = time.UnixMilli(time.Now().UnixMilli() + c.rng.Int64N(3000))
		j.interval = time.Duration(c.rng.IntN(2000)) * time.Millisecond
	}
	return j
}

// encodeJob returns the body of a submission.
func encodeJob(j *job) string {
	var steps []map[string]any
	for n, count := range j.taskCounts {
		s := map[string]any{"count": count, "cpu": taskCPU, "memMb": 100, "estimateMs": taskDuration.Milliseconds(), "longRunning": j.isLongRunning}
		if n > 0 {
			s["after"] = []int{n - 1}
		}
		steps = append(steps, s)
	}
	body := map[string]any{"spec": "x", "phases": steps}
	if j.times > 0 {
		body["times"], body["startMs"], body["intervalMs"] = j.times, j.first.UnixMilli(), j.interval.Milliseconds()
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// submit submits a job, and retries with the same id until the job is accepted,
// callAttempts are used up or the client gives up.
func (c *client) submit(j *job) {
	mayBeAccepted := false
	givesUp := c.rng.Float64() < giveUpShare
	for range callAttempts {
		c.soak.checker.update(j, func(j *job) { j.refused = false })
		status, _ := c.call(fasthttp.MethodPost, j.id, encodeJob(j))
		switch {
		case status == fasthttp.StatusOK:
			c.soak.checker.update(j, func(j *job) { j.accepted = true })
			return
		case status != fasthttp.StatusServiceUnavailable && status != fasthttp.StatusTooManyRequests && status != fasthttp.StatusUnauthorized:
			mayBeAccepted = true
		}
		c.soak.checker.update(j, func(j *job) { j.refused = !mayBeAccepted })
		if mayBeAccepted && givesUp {
			return
		}
		time.Sleep(retryDelay)
	}
}

func (c *client) cancel(j *job) {
	for range callAttempts {
		// From now on the job may be cancelled at any time.
		c.soak.checker.update(j, func(j *job) { j.cancelled = true })
		switch status, _ := c.call(fasthttp.MethodDelete, j.id, ""); status {
		case fasthttp.StatusGone:
			c.soak.checker.checkGone(j)
			return
		case fasthttp.StatusOK:
			return
		}
		time.Sleep(retryDelay)
	}
	// No response confirmed the cancellation, so the job may or may not keep
	// running: it is excluded from the final checks.
	c.soak.checker.update(j, func(j *job) { j.accepted, j.cancelled = false, false })
}

// poll queries the state of an accepted job, unless the job is cancelled or known to
// have ended. It reports whether no further poll is needed, which is also the case for
// a long-running job.
func (c *client) poll(j *job) bool {
	if !j.accepted || j.cancelled || j.isReportedDone || j.isReportedFailed {
		return true
	}
	status, state := c.call(fasthttp.MethodGet, j.id, "")
	c.soak.checker.checkState(j, status, state)
	return j.isLongRunning || j.isReportedDone || j.isReportedFailed
}

// pollAll polls all jobs and reports whether any needs a further poll.
func (c *client) pollAll() bool {
	isUnfinished := false
	for _, j := range c.jobs {
		isUnfinished = !c.poll(j) || isUnfinished
	}
	return isUnfinished
}

// call calls a random instance and returns the status of the response, 0 if there
// is none, and the state of the job in it.
func (c *client) call(method, id, body string) (int, string) {
	s := c.soak
	status, text := s.currentProcess(s.instances[c.rng.IntN(len(s.instances))]).CallWithKey(method, platformer.Prefix+id, s.clientKey(c.index), body, callTimeout)
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		// A refusal or a missing response has no state.
		return status, ""
	}
	return status, answer.State
}
