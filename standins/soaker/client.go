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
	// workTime is how long each task works.
	workTime = 400 * time.Millisecond
	// callTimeout is how long a client waits for an answer.
	callTimeout = 3 * time.Second
	// sendAttempts is how often a client sends a job.
	sendAttempts = 6
	retryDelay   = 150 * time.Millisecond
	// lastingShare and cancelShare are the shares of the jobs that last and that
	// are cancelled.
	lastingShare = 0.15
	cancelShare  = 0.2
)

// client sends jobs one after the other. It uses its connection until that ends.
type client struct {
	soak *soak
	rng  *rand.Rand
	name int
	jobs []*job
	sent int
}

func newClients(s *soak, seed uint64) []*client {
	list := make([]*client, s.options.Clients)
	for n := range list {
		list[n] = &client{soak: s, rng: rand.New(rand.NewPCG(seed, uint64(10+n))), name: n}
	}
	return list
}

// send sends jobs until stop is closed.
func (c *client) send(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.Int64N(int64(400 * time.Millisecond)))):
		}
		j := c.newJob()
		c.soak.check.sent(j)
		c.jobs = append(c.jobs, j)
		c.submit(j)
		if j.accepted && c.rng.Float64() < cancelShare {
			c.cancel(j)
		}
		c.ask(c.jobs[c.rng.IntN(len(c.jobs))])
	}
}

func (c *client) newJob() *job {
	c.sent++
	j := &job{widths: []int{1 + c.rng.IntN(4)}, isLasting: c.rng.Float64() < lastingShare}
	if j.isLasting {
		j.id = fmt.Sprintf("%s%04x%08x", platformer.LastingID, c.name, c.sent)
		return j
	}
	j.id = fmt.Sprintf("%08x%08x", c.name, c.sent)
	if c.rng.Float64() < 0.6 {
		j.widths = append(j.widths, 1+c.rng.IntN(3))
	}
	return j
}

func body(j *job) []byte {
	var steps []map[string]any
	for n, width := range j.widths {
		s := map[string]any{"count": width, "cpu": 500, "memMb": 100, "estimateMs": workTime.Milliseconds(), "longRunning": j.isLasting}
		if n > 0 {
			s["after"] = []int{n - 1}
		}
		steps = append(steps, s)
	}
	data, err := json.Marshal(map[string]any{"spec": "x", "phases": steps})
	if err != nil {
		panic(err)
	}
	return data
}

// submit sends a job, again under its id as long as nothing is certain.
func (c *client) submit(j *job) {
	isUnclear := false
	for range sendAttempts {
		c.soak.check.update(j, func(j *job) { j.refused = false })
		status, _ := c.call(fasthttp.MethodPost, j.id, body(j))
		switch {
		case status == fasthttp.StatusOK:
			c.soak.check.update(j, func(j *job) { j.accepted = true })
			return
		case status != fasthttp.StatusServiceUnavailable && status != fasthttp.StatusTooManyRequests:
			isUnclear = true
		}
		c.soak.check.update(j, func(j *job) { j.refused = !isUnclear })
		time.Sleep(retryDelay)
	}
}

func (c *client) cancel(j *job) {
	for range sendAttempts {
		// From here on the job may be cancelled at any time.
		c.soak.check.update(j, func(j *job) { j.cancelled = true })
		if status, _ := c.call(fasthttp.MethodDelete, j.id, nil); status == fasthttp.StatusOK || status == fasthttp.StatusGone {
			return
		}
		time.Sleep(retryDelay)
	}
	// Nobody has confirmed it, so it may run on.
	c.soak.check.update(j, func(j *job) { j.accepted, j.cancelled = false, false })
}

// ask asks for the state of a job and returns whether its end is known.
func (c *client) ask(j *job) bool {
	if !j.accepted || j.cancelled || j.isShownDone {
		return true
	}
	status, state := c.call(fasthttp.MethodGet, j.id, nil)
	c.soak.check.shown(j, status, state)
	return j.isLasting || j.isShownDone
}

// askAll asks for all jobs and reports whether any is not done.
func (c *client) askAll() bool {
	isLeft := false
	for _, j := range c.jobs {
		isLeft = !c.ask(j) || isLeft
	}
	return isLeft
}

// call calls the instance that the client's connections go to. Status 0 is no
// answer; the client then turns to another one.
func (c *client) call(method, id string, body []byte) (int, string) {
	s := c.soak
	p := s.process(s.instances[c.rng.IntN(len(s.instances))])
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + p.Front + platformer.Prefix + id)
	request.UseHostHeader = true
	request.Header.SetHost(platformer.Host)
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(request, response, callTimeout); err != nil {
		return 0, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(response.Body(), &answer); err != nil {
		return response.StatusCode(), ""
	}
	return response.StatusCode(), answer.State
}
