package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	renewInterval = 3 * time.Second
	leaseLength   = 10 * time.Second
	// clockError is the most by which a clock's rate may be off.
	clockError = 0.01
	// startValidity is how long a start command may be carried out after it
	// was sent.
	startValidity = time.Second
	reportEvery   = time.Second
)

// session keeps the leases of one worker and carries out its commands.
type session struct {
	id     string
	worker dispatcher.Worker
	shard  string
	epoch  uint64
	post   func(scheduler.Event)
	// renewed is when the last renewal that the worker answered was sent.
	renewed time.Time
	// acknowledged are ended attempts that the worker may forget.
	acknowledged chan []dispatcher.AttemptName
}

func (s *session) run(ctx context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	s.renewed = time.Now()
	var pending []dispatcher.AttemptName
	lost := false
	for {
		select {
		case names := <-s.acknowledged:
			pending = append(pending, names...)
			continue
		default:
		}
		begun := time.Now()
		status, err := s.worker.Renew(ctx, dispatcher.RenewRequest{Shard: s.shard, Epoch: s.epoch, SentAt: begun, Lease: leaseLength, Acknowledged: pending})
		switch {
		case err == nil:
			s.renewed, pending, lost = begun, nil, false
			s.post(scheduler.Event{Report: report(status, begun)})
		case !lost && time.Since(s.renewed) > time.Duration(float64(leaseLength)*(1+clockError)):
			lost = true
			s.post(scheduler.Event{WorkerLost: &scheduler.WorkerLost{ID: s.id}})
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func report(s dispatcher.Status, requested time.Time) *scheduler.WorkerReport {
	r := &scheduler.WorkerReport{Worker: s.Worker, MeasuredAt: s.MeasuredAt, RequestedAt: requested}
	for _, a := range s.Running {
		r.Running = append(r.Running, scheduler.RunningAttempt{Task: scheduler.TaskID(a.Task), Attempt: a.Attempt, Usage: a.Usage, Slowdown: a.Slowdown, Load: a.Load, Addr: a.Addr})
	}
	for _, a := range s.Ended {
		r.Ended = append(r.Ended, scheduler.EndedAttempt{Task: scheduler.TaskID(a.Task), Attempt: a.Attempt, Outcome: scheduler.Outcome(a.Outcome), Checkpoint: a.Checkpoint, Reason: a.Reason})
	}
	return r
}

// carryOut sends one command to the worker.
func (s *session) carryOut(ctx context.Context, c scheduler.Command) {
	switch {
	case c.Start != nil:
		s.start(ctx, c.Start)
	case c.Stop != nil:
		s.worker.Stop(ctx, dispatcher.AttemptRequest{Epoch: s.epoch, Task: string(c.Stop.Task), Attempt: c.Stop.Attempt})
	case c.Checkpoint != nil:
		s.worker.Checkpoint(ctx, dispatcher.AttemptRequest{Epoch: s.epoch, Task: string(c.Checkpoint.Task), Attempt: c.Checkpoint.Attempt})
	case c.Throttle != nil:
		s.worker.Throttle(ctx, dispatcher.AttemptRequest{Epoch: s.epoch, Task: string(c.Throttle.Task), Attempt: c.Throttle.Attempt, Share: c.Throttle.Share})
	}
}

func (s *session) start(ctx context.Context, c *scheduler.StartTask) {
	if time.Since(c.ConfirmedAt) > scheduler.ConfigMaxAge {
		s.post(scheduler.Event{StartRefused: &scheduler.StartRefused{Task: c.Task, Attempt: c.Attempt, Reason: "configuration not confirmed lately", Withdrawn: true}})
		return
	}
	err := s.worker.Start(ctx, dispatcher.StartRequest{
		Epoch: s.epoch, SentAt: time.Now(), ValidFor: startValidity, Task: string(c.Task), Attempt: c.Attempt, Class: c.Class, Kind: c.Kind,
		Service: c.Service, Reserved: c.Reserved, RunTime: c.RunTime, Checkpoint: c.Checkpoint, Lease: leaseLength,
	})
	var refused *dispatcher.RefusedError
	if errors.As(err, &refused) {
		s.post(scheduler.Event{StartRefused: &scheduler.StartRefused{Task: c.Task, Attempt: c.Attempt, Reason: refused.Reason}})
	}
	// Without an answer the start may have been carried out; the worker's
	// next report tells.
}
