package emulator

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

const (
	// stopTime is how long a run takes to stop.
	stopTime = 100 * time.Millisecond
	// slowClock is the rate of the clock of every third worker.
	slowClock = 0.98
)

// machine simulates a worker of a deployment. Its fields are guarded by the deployment's
// mutex.
type machine struct {
	planner.Worker
	deployment *Deployment
	shard      string
	startedAt  time.Time
	clockRate  float64
	// leaseEnd is the end of the lease of all runs, on the worker's clock.
	leaseEnd time.Duration
	fence    int64
	runs     map[planner.RunID]*execution
	ends     []planner.RunEnd
	endCount uint64
	// refusedUpTo has the highest attempt of each task that ended or was stopped.
	refusedUpTo map[planner.TaskID]int
	// isCutOff is set while no call reaches the worker.
	isCutOff bool
	// changed is closed and replaced when a run ends.
	changed chan struct{}
}

// execution is a run on a machine.
type execution struct {
	job *submission
	// doneAt is when the run is done unless it is stopped, and endsAt when it ends.
	doneAt, endsAt time.Time
	kind           planner.EndKind
}

func newMachine(d *Deployment, shard string, number int) *machine {
	m := &machine{
		Worker: planner.Worker{
			ID: fmt.Sprint("w", number), Born: int64(number) + 1, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(number)}), 1),
			Service: "service", Domain: "domain", Rack: "rack", Capacity: d.options.Capacity,
		},
		deployment: d, shard: shard, startedAt: time.Now(), clockRate: 1,
		runs: map[planner.RunID]*execution{}, refusedUpTo: map[planner.TaskID]int{}, changed: make(chan struct{}),
	}
	if number%3 == 0 {
		m.clockRate = slowClock
	}
	return m
}

func (m *machine) clock() time.Duration {
	return time.Duration(m.clockRate * float64(time.Since(m.startedAt)))
}

// advance ends the runs of all workers that are complete or whose lease has expired. The
// caller holds the mutex.
func (d *Deployment) advance() {
	now := time.Now()
	for _, m := range d.machines {
		isExpired := m.clock() > m.leaseEnd
		for run, e := range m.runs {
			switch {
			case !now.Before(e.endsAt):
				m.end(run, e.kind)
			case isExpired:
				m.end(run, planner.EndLapsed)
			}
		}
	}
}

func (m *machine) end(run planner.RunID, how planner.EndKind) {
	e := m.runs[run]
	delete(m.runs, run)
	m.refusedUpTo[run.TaskID] = max(m.refusedUpTo[run.TaskID], run.Attempt)
	m.endCount++
	m.ends = append(m.ends, planner.RunEnd{Number: m.endCount, Run: run, Kind: how})
	e.job.done[run.Index] = e.job.done[run.Index] || how == planner.EndDone
	m.deployment.ledger.ended(m, e.job, run, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// admit checks the fence of a call, and renews the lease unless deadline is zero.
func (m *machine) admit(fence int64, deadline time.Duration) error {
	m.deployment.advance()
	if fence < m.fence {
		return &conductor.FencedError{Worker: m.ID}
	}
	m.fence = fence
	m.leaseEnd = max(m.leaseEnd, min(deadline, m.clock()+maxLease))
	return nil
}

func (m *machine) start(by *Owner, s conductor.StartOrder) error {
	if err := m.admit(s.Fence, s.Deadline); err != nil {
		return err
	}
	if m.runs[s.Run] != nil {
		return nil
	}
	if m.refusedUpTo[s.Run.TaskID] >= s.Run.Attempt {
		return &conductor.RefusedError{Reason: "old"}
	}
	d := m.deployment
	i := slices.IndexFunc(d.jobs, func(j *submission) bool { return j.ID == s.Run.Job })
	j := d.jobs[i]
	j.started[s.Run.Index] = true
	end := time.Now().Add(j.Steps[0].Estimate)
	m.runs[s.Run] = &execution{job: j, doneAt: end, endsAt: end, kind: planner.EndDone}
	d.checkStart(by, m, j, s.Run)
	return nil
}

func (m *machine) stop(s conductor.StopOrder) error {
	if err := m.admit(s.Fence, 0); err != nil {
		return err
	}
	m.refusedUpTo[s.Run.TaskID] = max(m.refusedUpTo[s.Run.TaskID], s.Run.Attempt)
	if e := m.runs[s.Run]; e != nil && e.kind == planner.EndDone && time.Until(e.endsAt) > stopTime {
		e.endsAt, e.kind = time.Now().Add(stopTime), planner.EndStopped
	}
	return nil
}

// answer acknowledges ends and lists the runs.
func (m *machine) answer(p conductor.PollOrder) (conductor.PollAnswer, error) {
	if err := m.admit(p.Fence, p.Deadline); err != nil {
		return conductor.PollAnswer{}, err
	}
	m.ends = slices.DeleteFunc(m.ends, func(e planner.RunEnd) bool { return e.Number <= p.Acknowledge })
	a := conductor.PollAnswer{Clock: m.clock(), PollResult: planner.PollResult{ProcessStart: m.Born, Ended: slices.Clone(m.ends)}}
	for run, e := range m.runs {
		percent := int(100 * (1 - float64(time.Until(e.doneAt))/float64(e.job.Steps[0].Estimate)))
		a.Running = append(a.Running, planner.RunStatus{Run: run, Percent: percent, CPU: e.job.Steps[0].Need.CPU})
	}
	return a, nil
}

// calls returns the calls of an owner to the workers.
func (o *Owner) calls() conductor.WorkerCalls {
	d := o.deployment
	// call calls f on the worker after the time that the call takes.
	call := func(ctx context.Context, w planner.Worker, delay time.Duration, f func(*machine) error) error {
		done := make(chan error, 1)
		attempt := func() error {
			d.mu.Lock()
			defer d.mu.Unlock()
			m := d.machines[w.Born-1]
			if m.isCutOff {
				return errNoAnswer
			}
			return f(m)
		}
		isDead := false
		d.locked(func() { isDead = o.isDead })
		if isDead {
			return errNoAnswer
		}
		d.spawn(func() {
			time.Sleep(callDelay + delay)
			err := attempt()
			time.Sleep(callDelay)
			d.mu.Lock()
			defer d.mu.Unlock()
			if !o.isDead && !errors.Is(err, errNoAnswer) && !d.machines[w.Born-1].isCutOff {
				done <- err
			}
		})
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
			return errNoAnswer
		}
	}
	return conductor.WorkerCalls{
		Start: func(ctx context.Context, w planner.Worker, s conductor.StartOrder) error {
			var delay time.Duration
			d.locked(func() {
				if d.startDelay != nil {
					delay = d.startDelay()
				}
			})
			return call(ctx, w, delay, func(m *machine) error { return m.start(o, s) })
		},
		Stop: func(ctx context.Context, w planner.Worker, s conductor.StopOrder) error {
			return call(ctx, w, 0, func(m *machine) error { return m.stop(s) })
		},
		Pace: func(ctx context.Context, w planner.Worker, p conductor.PaceOrder) error {
			return call(ctx, w, 0, func(m *machine) error { return m.admit(p.Fence, 0) })
		},
		Poll: func(ctx context.Context, w planner.Worker, p conductor.PollOrder) (conductor.PollAnswer, error) {
			// A worker applies the order on arrival, and waits for a run to end if it has no
			// ends to list. A call that times out may still set these variables.
			var a conductor.PollAnswer
			var changed chan struct{}
			check := func(m *machine) (err error) {
				a, err = m.answer(p)
				changed = m.changed
				return err
			}
			if err := call(ctx, w, 0, check); err != nil {
				return conductor.PollAnswer{}, err
			}
			if p.Wait == 0 || len(a.Ended) > 0 {
				return a, nil
			}
			select {
			case <-changed:
			case <-time.After(p.Wait):
			case <-ctx.Done():
				return conductor.PollAnswer{}, errNoAnswer
			}
			// The answer shows the end of the wait, and doesn't renew the lease again.
			p.Deadline = 0
			if err := call(ctx, w, 0, check); err != nil {
				return conductor.PollAnswer{}, err
			}
			return a, nil
		},
	}
}
