package conductor_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// poolClock is the time of the workers' clock in each answer.
const poolClock = time.Hour

// pool is a set of simulated workers that run each task for a while.
type pool struct {
	mu           sync.Mutex
	taskDuration time.Duration
	epoch        int64
	// born is the start time of the workers' process; zero if they don't tell.
	born    int64
	runs    map[planner.RunID]time.Time
	ends    []planner.RunEnd
	lastEnd uint64
	// barredAttempts has the highest attempt of each task that ended or was
	// stopped. It and earlier attempts must not start.
	barredAttempts map[planner.TaskID]int
	// starts counts the starts of each task.
	starts map[planner.TaskID]int
	// intercept, if set, may fail an order before it is carried out.
	intercept func(kind string) error
}

func newPool(taskDuration time.Duration) *pool {
	return &pool{taskDuration: taskDuration, runs: map[planner.RunID]time.Time{}, barredAttempts: map[planner.TaskID]int{}, starts: map[planner.TaskID]int{}}
}

func (p *pool) calls() conductor.WorkerCalls {
	return conductor.WorkerCalls{Start: p.start, Stop: p.stop, Poll: p.poll, Pace: func(context.Context, planner.Worker, conductor.PaceOrder) error { return nil }}
}

func (p *pool) admit(kind string, epoch int64) error {
	if p.intercept != nil {
		if err := p.intercept(kind); err != nil {
			return err
		}
	}
	if epoch < p.epoch {
		return &conductor.FencedError{Worker: "w"}
	}
	p.epoch = epoch
	return nil
}

func (p *pool) start(_ context.Context, _ planner.Worker, o conductor.StartOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.admit("start", o.Fence); err != nil {
		return err
	}
	if p.barredAttempts[o.Run.TaskID] >= o.Run.Attempt {
		return &conductor.RefusedError{Reason: "old"}
	}
	if _, ok := p.runs[o.Run]; !ok {
		p.runs[o.Run] = time.Now()
		p.starts[o.Run.TaskID]++
	}
	return nil
}

func (p *pool) stop(_ context.Context, _ planner.Worker, o conductor.StopOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.admit("stop", o.Fence); err != nil {
		return err
	}
	p.end(o.Run, planner.EndStopped)
	return nil
}

func (p *pool) end(r planner.RunID, how planner.EndKind) {
	p.barredAttempts[r.TaskID] = max(p.barredAttempts[r.TaskID], r.Attempt)
	if _, ok := p.runs[r]; ok {
		delete(p.runs, r)
		p.lastEnd++
		p.ends = append(p.ends, planner.RunEnd{Number: p.lastEnd, Run: r, Kind: how})
	}
}

func (p *pool) poll(_ context.Context, _ planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
	time.Sleep(5 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.admit("poll", o.Fence); err != nil {
		return conductor.PollAnswer{}, err
	}
	for len(p.ends) > 0 && p.ends[0].Number <= o.Acknowledge {
		p.ends = p.ends[1:]
	}
	for r, began := range p.runs {
		if time.Since(began) > p.taskDuration {
			p.end(r, planner.EndDone)
		}
	}
	a := conductor.PollAnswer{Clock: poolClock, PollResult: planner.PollResult{ProcessStart: p.born}}
	for r := range p.runs {
		a.Running = append(a.Running, planner.RunStatus{Run: r, Percent: 50})
	}
	a.Ended = append(a.Ended, p.ends...)
	return a, nil
}

func (p *pool) startsOf(job string) map[planner.TaskID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := map[planner.TaskID]int{}
	for t, n := range p.starts {
		if t.Job == job {
			found[t] = n
		}
	}
	return found
}

// testCluster is a store with workers and daemons.
type testCluster struct {
	*quicktest.C
	keeper *keeper.Keeper
	pool   *pool
	mu     sync.Mutex
	byPort map[uint16]*conductor.Conductor
	// noGrantPort is the port of the daemon to which the store grants no lease.
	noGrantPort uint16
	// heldUntil, if set, delays transactions until it is closed; they then
	// fail.
	heldUntil chan struct{}
}

// store returns the store as the daemon at a port reaches it.
func (s *testCluster) store(port uint16) storeclient.PrefixStore {
	p := s.keeper.Store()
	transact := p.Transact
	p.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
		s.mu.Lock()
		held := s.heldUntil
		s.mu.Unlock()
		if held != nil {
			<-held
			return 0, &storeclient.UnavailableError{Op: "transact", Err: errors.New("held up")}
		}
		return transact(ctx, t)
	}
	grant := p.Grant
	p.Grant = func(ctx context.Context, ttl time.Duration) (storeclient.LeaseID, error) {
		s.mu.Lock()
		isRefused := s.noGrantPort == port
		s.mu.Unlock()
		if isRefused {
			return 0, &storeclient.RefusedError{Op: "grant", Status: 503}
		}
		return grant(ctx, ttl)
	}
	return p
}

func (s *testCluster) refuseGrants(port uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noGrantPort = port
}

func newTestCluster(t *testing.T, taskDuration time.Duration) *testCluster {
	return &testCluster{C: quicktest.New(t), keeper: keeper.New(time.Now), pool: newPool(taskDuration), byPort: map[uint16]*conductor.Conductor{}}
}

// startDaemon runs a daemon of shard 0. The returned function stops it.
func (s *testCluster) startDaemon(port uint16) (*conductor.Conductor, func()) {
	return s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool}, port)
}

// testShard is what the daemons of one shard share.
type testShard struct {
	name string
	// workerID is the id of its worker, "w" if empty, and cpu the capacity in
	// millicores.
	workerID string
	cpu      int64
	pool     *pool
	// calls are the calls to the worker; those of pool if nil.
	calls *conductor.WorkerCalls
	place func(planner.Resources, int, bool) (string, int)
	// extraDelay is the extra delay before a daemon acquires the shard.
	extraDelay time.Duration
	// retention is how long the states of finished jobs stay readable, a minute
	// if zero.
	retention time.Duration
	// maxLease is the longest lease, a second if zero.
	maxLease time.Duration
	// change, if set, changes the options of the daemon.
	change func(*conductor.Options)
}

func localAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

// worker returns the worker that the daemon at a port discovers.
func (*testCluster) worker(port uint16, cpu int64) planner.Worker {
	return planner.Worker{
		ID: "w", Address: localAddress(port), Service: "service", Domain: "domain", Rack: "rack",
		Capacity: planner.Resources{CPU: cpu, Memory: 1000},
	}
}

// startDaemonOf runs a daemon of a shard. The returned function stops it.
func (s *testCluster) startDaemonOf(sh testShard, port uint16) (*conductor.Conductor, func()) {
	address := localAddress(port)
	calls := sh.pool.calls()
	if sh.calls != nil {
		calls = *sh.calls
	}
	var c *conductor.Conductor
	o := conductor.Options{
		Shard: sh.name, Self: fmt.Sprint("daemon", port), Address: address, Store: s.store(port), Workers: calls, Place: sh.place,
		ExtraAcquireDelay: func() time.Duration { return sh.extraDelay },
		Discover: func(ctx context.Context) {
			w := s.worker(port, sh.cpu)
			w.ID, w.Born = cmp.Or(sh.workerID, w.ID), sh.pool.born
			c.SetWorkers(ctx, []planner.Worker{w}, nil)
		},
		Ask: func(ctx context.Context, owner netip.AddrPort, q conductor.Question) (conductor.Reply, error) {
			s.mu.Lock()
			other := s.byPort[owner.Port()]
			s.mu.Unlock()
			if other == nil {
				return conductor.Reply{}, errors.New("no such daemon")
			}
			return other.ServeQuestion(ctx, q)
		},
		Limits: conductor.Limits{MaxLease: cmp.Or(sh.maxLease, time.Second), ViolationLimit: time.Minute, StateRetention: cmp.Or(sh.retention, time.Minute)},
		Log:    &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Registry: prometheus.NewRegistry(),
		Now: time.Now, WallTime: func(t time.Time) time.Time { return t },
	}
	if sh.change != nil {
		sh.change(&o)
	}
	c, err := conductor.New(o)
	s.Assert(err, quicktest.IsNil)
	s.mu.Lock()
	s.byPort[port] = c
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { c.Run(ctx) })
	done.Go(func() { conductor.Follow(ctx, s.store(port), time.Now, []*conductor.Conductor{c}) })
	c.SetConfig(planner.Config{})
	return c, func() {
		s.mu.Lock()
		delete(s.byPort, port)
		s.mu.Unlock()
		cancel()
		done.Wait()
	}
}

// submit stores a job as a receiver does.
func (s *testCluster) submit(id string, count int) { s.submitStep(id, s.step(count)) }

func (s *testCluster) step(count int) planner.Step {
	return planner.Step{Count: count, Need: planner.Resources{CPU: 1000, Memory: 1}, Estimate: s.pool.taskDuration}
}

// submitSpeculative stores a job whose task starts again as soon as it has no run.
func (s *testCluster) submitSpeculative(id string) {
	step := s.step(1)
	step.Speculative = true
	s.submitStep(id, step)
}

func (s *testCluster) submitStep(id string, step planner.Step) {
	j := planner.Job{
		ID: id, Queue: planner.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2, Slack: time.Second}, Received: time.Now(),
		Steps: []planner.Step{step},
	}
	value, err := planner.Encode(j)
	s.Assert(err, quicktest.IsNil)
	_, err = s.keeper.Store().Transact(context.Background(), storeclient.Transaction{
		Expect: []storeclient.Expectation{{Key: conductor.IndexKey(id)}},
		Writes: []storeclient.Write{{Key: conductor.IndexKey(id), Value: []byte("0")}, {Key: conductor.JobKey("0", id), Value: value}},
	})
	s.Assert(err, quicktest.IsNil)
}

func (s *testCluster) eventually(what string, limit time.Duration, f func() bool) {
	s.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(3 * time.Millisecond) {
		if f() {
			return
		}
	}
	s.Fatalf("%s: not within %s", what, limit)
}

func state(c *conductor.Conductor, id string) planner.State {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := c.JobState(ctx, id)
	if err != nil {
		return planner.State(err.Error())
	}
	return a.State
}

// checkEachStartedOnce checks that every task of a job was started once.
func (s *testCluster) checkEachStartedOnce(id string, count int) {
	s.Helper()
	starts := s.pool.startsOf(id)
	s.Assert(starts, quicktest.HasLen, count)
	for t, n := range starts {
		s.Assert(n, quicktest.Equals, 1, quicktest.Commentf("%s", t))
	}
}

const testTimeout = 10 * time.Second

// putJob stores a job with a write that injected faults don't affect.
func (s *testCluster) putJob(id string) {
	j := planner.Job{
		ID: id, Queue: planner.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2}, Received: time.Now(),
		Steps: []planner.Step{{Count: 2, Need: planner.Resources{CPU: 1000, Memory: 1}, Estimate: s.pool.taskDuration}},
	}
	value, err := planner.Encode(j)
	s.Assert(err, quicktest.IsNil)
	s.keeper.Put(conductor.JobKey("0", id), value)
}
