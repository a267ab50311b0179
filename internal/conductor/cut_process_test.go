package conductor_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// cutCalls are the calls to two workers. The process of the first one ends and is replaced
// when a start of the job "a" is sent there, and the next process is cut off once it has
// answered that start, which its clock tells.
type cutCalls struct {
	mu     sync.Mutex
	pool   *pool
	other  *pool
	isHeld bool
	// onlyAcknowledging restricts isHeld to polls that acknowledge ends.
	onlyAcknowledging bool
	held              []conductor.PollOrder
	started           time.Time
	again             time.Time
	isBack            bool
}

var errNoAnswer = errors.New("no answer")

func (c *cutCalls) calls() conductor.WorkerCalls {
	calls := c.pool.calls()
	isCut := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.started.IsZero() && !c.isBack
	}
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		if w.ID == "other" {
			return c.other.poll(ctx, w, o)
		}
		c.mu.Lock()
		isHeld := c.isHeld && c.started.IsZero() && (!c.onlyAcknowledging || o.Acknowledge > 0)
		if isHeld {
			c.held = append(c.held, o)
		}
		c.mu.Unlock()
		if isHeld || isCut() {
			<-ctx.Done()
			return conductor.PollAnswer{}, errNoAnswer
		}
		return c.pool.poll(ctx, w, o)
	}
	calls.Stop = func(ctx context.Context, w planner.Worker, o conductor.StopOrder) error {
		switch {
		case w.ID == "other":
			return c.other.stop(ctx, w, o)
		case isCut():
			return errNoAnswer
		}
		return c.pool.stop(ctx, w, o)
	}
	calls.Start = func(ctx context.Context, w planner.Worker, o conductor.StartOrder) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		isA := o.Run.Job == "a"
		if w.ID == "other" {
			if isA && c.again.IsZero() {
				c.again = time.Now()
			}
			return c.other.start(ctx, w, o)
		}
		if isA && c.started.IsZero() {
			c.started = time.Now()
			c.pool.restart(20)
			if err := c.pool.start(ctx, w, o); err != nil {
				return err
			}
			return &conductor.RestartedError{Worker: w.ID}
		}
		if isA && c.again.IsZero() {
			c.again = time.Now()
		}
		if !c.isBack && !c.started.IsZero() {
			return errNoAnswer
		}
		return c.pool.start(ctx, w, o)
	}
	return calls
}

func (c *cutCalls) get(f func() bool) func() bool {
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return f()
	}
}

// startCut runs a daemon with both workers, of which the second is evacuated. Job "x" runs
// on the first one, a poll there is held, and a start of "a" is answered by the next process.
func startCut(t *testing.T, maxLease time.Duration) (*testCluster, *cutCalls, *conductor.Conductor) {
	s := newTestCluster(t, time.Minute)
	s.pool.born = 10
	k := &cutCalls{pool: s.pool, other: newPool(time.Minute)}
	calls := k.calls()
	var c *conductor.Conductor
	c, end := s.startDaemonOf(testShard{name: "0", pool: s.pool, calls: &calls, maxLease: maxLease, change: func(o *conductor.Options) {
		o.Discover = func(ctx context.Context) {
			first, second := s.worker(1, 64000), s.worker(2, 64000)
			first.Born, second.Born = 10, 10
			second.ID, second.Domain = "other", "evacuated"
			c.SetWorkers(ctx, []planner.Worker{first, second}, nil)
		}
	}}, 1)
	t.Cleanup(end)
	c.SetEvacuatedDomains([]string{"evacuated"})
	s.eventually("owned", testTimeout, c.IsOwner)
	s.submit("x", 1)
	s.eventually("x runs", testTimeout, func() bool { return s.pool.runCount() == 1 })
	return s, k, c
}

// TestLatePollAfterAnsweredStart guards against a second run of a task whose start was
// answered by the next process of the worker's id before any poll told of that process:
// a poll that was meant for the ended process renews the lease there while it is cut off.
func TestLatePollAfterAnsweredStart(t *testing.T) {
	t.Parallel()
	const maxLease, late = 10 * time.Second, 9 * time.Second
	s, k, c := startCut(t, maxLease)
	// The leases that the workers may have had before have expired.
	time.Sleep(maxLease / 2)
	k.mu.Lock()
	k.isHeld = true
	k.mu.Unlock()
	s.eventually("poll held", testTimeout, k.get(func() bool { return len(k.held) > 0 && k.held[0].Deadline > 0 }))
	s.submit("a", 1)
	s.eventually("a started", testTimeout, k.get(func() bool { return !k.started.IsZero() }))
	c.SetEvacuatedDomains(nil)
	time.Sleep(late)
	k.mu.Lock()
	o := k.held[0]
	k.mu.Unlock()
	arrived := time.Now()
	_, err := s.pool.poll(context.Background(), planner.Worker{ID: "w"}, o)
	s.Assert(err, quicktest.IsNil, quicktest.Commentf("the next process takes the late poll"))
	s.eventually("a started again", maxLease+2*lateCallLimit, k.get(func() bool { return !k.again.IsZero() }))
	k.mu.Lock()
	defer k.mu.Unlock()
	s.Assert(k.again.Sub(arrived) >= maxLease, quicktest.IsTrue, quicktest.Commentf("started again %s after the late poll, %s after the start", k.again.Sub(arrived), k.again.Sub(k.started)))
}

// TestLateAcknowledgementAfterAnsweredStart guards against a second run of a task that was
// done on the next process of the worker's id, which answered its start before any poll told
// of that process: a poll that was meant for the ended one acknowledges the end.
func TestLateAcknowledgementAfterAnsweredStart(t *testing.T) {
	t.Parallel()
	const maxLease = 10 * time.Second
	s, k, c := startCut(t, maxLease)
	s.submit("y", 1)
	s.eventually("y runs", testTimeout, func() bool { return s.pool.runCount() == 2 })
	time.Sleep(100 * time.Millisecond)
	k.mu.Lock()
	k.isHeld, k.onlyAcknowledging = true, true
	k.mu.Unlock()
	s.endJob("y")
	s.eventually("acknowledgement held", testTimeout, k.get(func() bool { return len(k.held) > 0 }))
	s.submit("a", 1)
	s.eventually("a started", testTimeout, k.get(func() bool { return !k.started.IsZero() }))
	// The next process is cut off. The task is done there, and the poll takes effect.
	time.Sleep(time.Second)
	s.endJob("a")
	k.mu.Lock()
	o := k.held[0]
	k.mu.Unlock()
	_, err := s.pool.poll(context.Background(), planner.Worker{ID: "w"}, o)
	s.Assert(err, quicktest.IsNil, quicktest.Commentf("the next process takes the late poll"))
	s.Assert(s.pool.endCount(), quicktest.Equals, 0)
	time.Sleep(time.Second)
	k.mu.Lock()
	k.isBack = true
	k.mu.Unlock()
	s.listWorkers(c, 20)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s.Assert(k.get(func() bool { return k.again.IsZero() })(), quicktest.IsTrue, quicktest.Commentf("started again after its end was acknowledged"))
	}
}

// endJob ends the runs of a job as done.
func (s *testCluster) endJob(job string) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	for r := range s.pool.runs {
		if r.Job == job {
			s.pool.end(r, planner.EndDone)
		}
	}
}

func (s *testCluster) listWorkers(c *conductor.Conductor, born int64) {
	first, second := s.worker(1, 64000), s.worker(2, 64000)
	first.Born, second.Born = born, 10
	second.ID, second.Domain = "other", "evacuated"
	c.SetWorkers(context.Background(), []planner.Worker{first, second}, nil)
}

// TestFirstFencedPollIsAnsweredImmediately guards against a next process that stays unused
// until a waiting poll is answered.
func TestFirstFencedPollIsAnsweredImmediately(t *testing.T) {
	s := newTestCluster(t, time.Minute)
	s.pool.born = 10
	calls := s.pool.calls()
	var mu sync.Mutex
	waits := map[int64]time.Duration{}
	var lowest int64
	poll := calls.Poll
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		mu.Lock()
		if lowest == 0 {
			lowest = o.Fence
		}
		if _, isKnown := waits[o.Fence]; !isKnown {
			waits[o.Fence] = o.Wait
		}
		mu.Unlock()
		return poll(ctx, w, o)
	}
	c, end := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, calls: &calls}, 1)
	defer end()
	s.submit("x", 1)
	s.eventually("x runs", testTimeout, func() bool { return s.pool.runCount() == 1 })
	time.Sleep(100 * time.Millisecond)
	s.pool.restart(20)
	s.listWorker(c, 20)
	s.eventually("x runs on the next process", testTimeout, func() bool { return s.pool.runCount() == 1 })
	mu.Lock()
	defer mu.Unlock()
	wait, isKnown := waits[lowest+1]
	s.Assert(isKnown, quicktest.IsTrue)
	s.Assert(wait, quicktest.Equals, time.Duration(0))
}

// TestSuccessorCountsLeaseOfLateCall guards against a second run of a task under a successor
// while a lease lasts that a call which was meant for the ended process granted to the next
// one before that rejected such calls: it is the longest one, while the owner's own are shorter.
func TestSuccessorCountsLeaseOfLateCall(t *testing.T) {
	t.Parallel()
	const maxLease = 10 * time.Second
	s := newTestCluster(t, time.Minute)
	s.pool.born = 10
	other := newPool(time.Minute)
	var mu sync.Mutex
	var lowest int64
	var fenced, started, again time.Time
	isCut := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !started.IsZero()
	}
	calls := s.pool.calls()
	calls.Poll = func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
		if w.ID == "other" {
			return other.poll(ctx, w, o)
		}
		if isCut() {
			<-ctx.Done()
			return conductor.PollAnswer{}, errNoAnswer
		}
		mu.Lock()
		if lowest == 0 {
			lowest = o.Fence
		}
		if o.Fence > lowest && fenced.IsZero() {
			fenced = time.Now()
		}
		mu.Unlock()
		return s.pool.poll(ctx, w, o)
	}
	calls.Stop = func(ctx context.Context, w planner.Worker, o conductor.StopOrder) error {
		if w.ID == "other" {
			return other.stop(ctx, w, o)
		}
		if isCut() {
			return errNoAnswer
		}
		return s.pool.stop(ctx, w, o)
	}
	calls.Start = func(ctx context.Context, w planner.Worker, o conductor.StartOrder) error {
		mu.Lock()
		defer mu.Unlock()
		isA := o.Run.Job == "a"
		if w.ID == "other" {
			if isA && again.IsZero() {
				again = time.Now()
			}
			return other.start(ctx, w, o)
		}
		if isA && started.IsZero() {
			started = time.Now()
		} else if !started.IsZero() {
			return errNoAnswer
		}
		return s.pool.start(ctx, w, o)
	}
	daemon := func(port uint16, born int64, domain string) (*conductor.Conductor, func()) {
		var c *conductor.Conductor
		c, end := s.startDaemonOf(testShard{name: "0", pool: s.pool, calls: &calls, maxLease: maxLease, change: func(o *conductor.Options) {
			o.Discover = func(ctx context.Context) {
				first, second := s.worker(1, 64000), s.worker(2, 64000)
				first.Born, second.Born = born, 10
				second.ID, second.Domain = "other", domain
				c.SetWorkers(ctx, []planner.Worker{first, second}, nil)
			}
		}}, port)
		return c, end
	}
	c, end := daemon(1, 10, "evacuated")
	c.SetEvacuatedDomains([]string{"evacuated"})
	s.eventually("owned", testTimeout, c.IsOwner)
	s.submit("x", 1)
	s.eventually("x runs", testTimeout, func() bool { return s.pool.runCount() == 1 })
	next, endNext := daemon(2, 20, "domain2")
	defer endNext()
	s.pool.restart(20)
	s.listWorkers(c, 20)
	s.submit("a", 1)
	s.eventually("a started on the next process", testTimeout, isCut)
	time.Sleep(20 * time.Millisecond)
	end()
	s.eventually("owned by the successor", testTimeout, next.IsOwner)
	s.eventually("a started again", 3*maxLease, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !again.IsZero()
	})
	mu.Lock()
	defer mu.Unlock()
	s.Assert(again.Sub(fenced) >= maxLease, quicktest.IsTrue, quicktest.Commentf("started again %s after the process rejected earlier calls, %s after the start there", again.Sub(fenced), again.Sub(started)))
}
