// Package overloader offers an owner more work than its instance's link carries, and
// measures how much of it is done and whether the owner recovers.
package overloader

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
)

const (
	shard = "0"
	// taskTime is how long a task runs, payloadBytes the size of its payload, and
	// tasksPerJob the number of tasks in a job.
	taskTime     = 300 * time.Millisecond
	payloadBytes = 500
	tasksPerJob  = 10
	// settleTime is the time for the owner to acquire the shard, and recoveryTime the
	// time after the load in which it has to recover.
	settleTime   = 3 * time.Second
	recoveryTime = 5 * time.Second
	maxLease     = 6 * time.Second
)

// Options describes a play.
type Options struct {
	Workers int
	// LinkRate is the rate of the link in bytes a second in each direction.
	LinkRate float64
	// TasksPerSecond is the load, for the time Load. The play goes on for After.
	TasksPerSecond int
	Load, After    time.Duration
}

// Result is the outcome of a play.
type Result struct {
	// Ended is the number of runs that ended in the last half of the load.
	Ended int
	// UnansweredLater is the number of calls that were not answered later than
	// recoveryTime after the load.
	UnansweredLater int
	// Calls and Bytes count the calls of the owner, to workers and the store, and what
	// they moved in both directions, in the last half of the load.
	Calls, Bytes int
	// HasOwnerChanged is set if the shard got a new owner.
	HasOwnerChanged bool
}

// play is a play under way.
type play struct {
	options Options
	keeper  *keeper.Keeper
	link    *link
	workers map[string]*worker
}

// Play plays a load.
func Play(o Options) (Result, error) {
	p := &play{o, keeper.New(time.Now), newLink(o.LinkRate), map[string]*worker{}}
	owner, err := p.newOwner()
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { owner.Run(ctx) })
	running.Go(func() { conductor.Follow(ctx, p.keeper.Store(), time.Now, []*conductor.Conductor{owner}) })
	owner.SetConfig(planner.Config{})
	time.Sleep(settleTime)
	before, err := p.revisionOfHead(ctx)
	if err != nil {
		return Result{}, err
	}
	var r Result
	if err := p.submit(&r); err != nil {
		return Result{}, err
	}
	time.Sleep(recoveryTime)
	unanswered := p.link.unansweredCalls()
	time.Sleep(o.After - recoveryTime)
	r.UnansweredLater = p.link.unansweredCalls() - unanswered
	after, err := p.revisionOfHead(ctx)
	r.HasOwnerChanged = after != before
	return r, err
}

// newOwner returns the only owner of the shard.
func (p *play) newOwner() (*conductor.Conductor, error) {
	var list []planner.Worker
	for n := range p.options.Workers {
		w := planner.Worker{
			ID: fmt.Sprintf("w%03d", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1), Service: "service",
			Domain: "domain", Rack: "rack", Capacity: planner.Resources{CPU: 64000, Memory: 100_000},
		}
		list, p.workers[w.ID] = append(list, w), newWorker(taskTime)
	}
	var owner *conductor.Conductor
	owner, err := conductor.New(conductor.Options{
		Shard: shard, Self: "owner", Address: netip.MustParseAddrPort("10.0.1.1:1"),
		Store: p.link.store(p.keeper.Store()), Workers: p.link.callWorkers(p.workers),
		Discover: func(ctx context.Context) { owner.SetWorkers(ctx, list, nil) },
		Ask: func(context.Context, netip.AddrPort, conductor.Question) (conductor.Reply, error) {
			return conductor.Reply{}, errors.New("there are no other instances")
		},
		Limits: conductor.Limits{MaxLease: maxLease, ViolationLimit: time.Minute, StateRetention: recoveryTime},
		Log:    &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Registry: prometheus.NewRegistry(),
		Now: time.Now, WallTime: func(t time.Time) time.Time { return t },
		LinkRate: p.options.LinkRate, IsLinkFull: p.link.observed.IsFull,
	})
	return owner, err
}

// submit stores jobs for the time of the load, and counts what happens in its last half.
func (p *play) submit(r *Result) error {
	count := func() (ended, calls, bytes int) {
		for _, w := range p.workers {
			ended += w.ended()
		}
		calls, bytes = p.link.traffic()
		return ended, calls, bytes
	}
	interval := time.Second * tasksPerJob / time.Duration(p.options.TasksPerSecond)
	payload := string(make([]byte, payloadBytes))
	isHalf := false
	for began, n := time.Now(), 0; time.Since(began) < p.options.Load; n++ {
		j := planner.Job{
			ID: fmt.Sprintf("%016x", n), Queue: planner.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2, Slack: time.Second},
			Payload: payload, Received: time.Now(),
			Steps: []planner.Step{{Count: tasksPerJob, Need: planner.Resources{CPU: 1000, Memory: 1}, Estimate: taskTime}},
		}
		value, err := planner.Encode(j)
		if err != nil {
			return err
		}
		p.keeper.Put(conductor.JobKey(shard, j.ID), value)
		if !isHalf && time.Since(began) > p.options.Load/2 {
			isHalf = true
			r.Ended, r.Calls, r.Bytes = count()
		}
		time.Sleep(interval)
	}
	ended, calls, bytes := count()
	r.Ended, r.Calls, r.Bytes = ended-r.Ended, calls-r.Calls, bytes-r.Bytes
	return nil
}

// revisionOfHead returns the revision of the shard's head, which changes with its owner.
func (p *play) revisionOfHead(ctx context.Context) (uint64, error) {
	head, err := p.keeper.Store().Get(ctx, "th/"+shard+"/head")
	return head.Revision, err
}
