package planner_test

import (
	"fmt"
	"net/netip"
	"syscall"
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
	now := origin
	p, workers := newPlanned(b, now, equalWeights(organisationCount))
	longRunning := step(300, 13)
	longRunning.LongRunning, longRunning.LatencyTarget, longRunning.Image = true, 50*time.Millisecond, "serving"
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

// newPlanned returns a planner with 66 workers that have answered a poll, and with
// the organisations of c, which have an ample part of their caps.
func newPlanned(b *testing.B, now time.Time, c planner.Config) (*planner.Planner, []planner.Worker) {
	p, err := planner.New(planner.Options{Epoch: 1, Horizon: time.Hour, ViolationLimit: time.Hour, WallTime: func(t time.Time) time.Time { return t }})
	if err != nil {
		b.Fatal(err)
	}
	if len(c.Organisations) > 0 {
		p.SetConfig(c)
	}
	for name, o := range c.Organisations {
		p.SetPart(name, planner.Part{Amount: o.Cap})
	}
	var workers []planner.Worker
	for i := range 66 {
		w := worker(fmt.Sprintf("w%02d", i), 64)
		w.Address = netip.AddrPortFrom(w.Address.Addr(), uint16(1000+i))
		workers = append(workers, w)
	}
	p.SetWorkers(now, workers)
	p.SetRecorded(p.Recorded(now))
	for _, w := range workers {
		p.PollAnswered(now, w.ID, planner.PollResult{Sent: now})
	}
	return p, workers
}

// BenchmarkWaitingOrganisations plans for full workers while 1,000 organisations with caps
// have 3 jobs of 4 waiting tasks each, or for as many jobs of no organisation. It guards
// against an owner that spends more than 5% of a core on five plans a second with an update
// of the shares. Processor time counts: beside other load the wall-clock time was three
// times as long.
func BenchmarkWaitingOrganisations(b *testing.B) {
	for name, count := range map[string]int{"none": 0, "1000": 1000} {
		for kind, interval := range map[string]time.Duration{"update": 200 * time.Millisecond, "between updates": time.Microsecond} {
			b.Run(name+"/"+kind, func(b *testing.B) {
				now := origin
				c := equalWeights(count)
				for name := range c.Organisations {
					c.Organisations[name] = planner.Organisation{Weight: 1, Cap: planner.Resources{CPU: 100_000}}
				}
				p, workers := newPlanned(b, now, c)
				for i := range 3000 {
					j := job(fmt.Sprint(i), step(4, 2))
					j.Received, j.Organisation = now, fmt.Sprintf("o%02d", i%1000)
					p.AddJob(now, j, planner.Progress{})
				}
				running := map[string][]planner.RunStatus{}
				cpuTime := func() time.Duration {
					var u syscall.Rusage
					if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
						b.Fatal(err)
					}
					return time.Duration(u.Utime.Nano() + u.Stime.Nano())
				}
				var spent time.Duration
				for b.Loop() {
					for _, w := range workers {
						p.PollAnswered(now, w.ID, planner.PollResult{Sent: now, Running: running[w.ID]})
					}
					began := cpuTime()
					orders := p.Plan(now, now)
					spent += cpuTime() - began
					for _, o := range orders {
						running[o.WorkerID] = append(running[o.WorkerID], planner.RunStatus{Run: o.Run, Percent: 10})
					}
					now = now.Add(interval)
				}
				b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N), "cpu-ns/plan")
				b.ReportMetric(100*5*spent.Seconds()/float64(b.N), "core-%/5-plans-a-second")
			})
		}
	}
}
