package planner_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// BenchmarkBacklog plans for 66 workers whose long-running tasks are all over
// their target while 300 jobs of 16 tasks wait. It guards against slow
// planning: in this situation a plan once took a second, and the owner lost its
// lease.
func BenchmarkBacklog(b *testing.B) { benchmarkBacklog(b, 0) }

// BenchmarkBacklogOfOrganisations is BenchmarkBacklog with 1,000 organisations, of which
// 100 have work.
func BenchmarkBacklogOfOrganisations(b *testing.B) { benchmarkBacklog(b, 1000) }

func benchmarkBacklog(b *testing.B, organisationCount int) {
	p, err := planner.New(planner.Options{Epoch: 1, Horizon: time.Hour, ViolationLimit: time.Hour, WallTime: func(t time.Time) time.Time { return t }})
	if err != nil {
		b.Fatal(err)
	}
	now := origin
	if organisationCount > 0 {
		p.SetConfig(equalWeights(organisationCount))
	}
	var workers []planner.Worker
	for i := range 66 {
		w := worker(fmt.Sprintf("w%02d", i), 64)
		w.Address = netip.AddrPortFrom(w.Address.Addr(), uint16(1000+i))
		workers = append(workers, w)
	}
	p.SetWorkers(now, workers)
	p.SetRecorded(p.Recorded(now))
	longRunning := step(300, 13)
	longRunning.LongRunning, longRunning.LatencyTarget, longRunning.Image = true, 50*time.Millisecond, "serving"
	for _, w := range workers {
		p.PollAnswered(now, w.ID, planner.PollResult{Sent: now})
	}
	p.AddJob(now, job("lasting", longRunning), planner.Progress{})
	running := map[string][]planner.RunStatus{}
	for _, o := range p.Plan(now, now) {
		running[o.WorkerID] = append(running[o.WorkerID], planner.RunStatus{Run: o.Run, Percent: 100, Tail: 70 * time.Millisecond})
	}
	for i := range 300 {
		s := step(16, 7)
		s.BestEffort, s.Image = true, fmt.Sprint("filling", i%9)
		j := job(fmt.Sprint(i), s)
		j.Received, j.Organisation = now, fmt.Sprintf("o%02d", i%100)
		p.AddJob(now, j, planner.Progress{})
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		for _, w := range workers[:4] {
			p.PollAnswered(now, w.ID, planner.PollResult{Sent: now, Running: running[w.ID]})
		}
		p.Plan(now, now)
	}
}
