package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/standins/launcher"
	"tarragonhead.example/tarragonhead/standins/measurer"
)

// scenario describes a series of systems that differ in one size.
type scenario struct {
	// unit names the size in the table, and sizes are the values to measure.
	unit  string
	sizes []int
	// start returns the domains of the system for a size, and the workers and
	// daemons of each.
	start func(size int) (domains, workers, daemons int)
	// declare returns the workload to declare; nil means that of Bench.Start.
	declare func(w declarer.Workload, size int) declarer.Workload
	// work runs during the window; nil means nothing.
	work func(b *measurer.Bench, s *launcher.System, w declarer.Workload, size int) error
}

// measure runs the systems of a scenario and prints the table.
func (n scenario) measure(b *measurer.Bench) error {
	c := newCollector()
	for _, size := range n.sizes {
		sample, err := n.sample(b, size)
		if err != nil {
			return err
		}
		c.add(float64(size), sample)
	}
	c.print(n.unit)
	return nil
}

func (n scenario) sample(b *measurer.Bench, size int) (measurer.Sample, error) {
	s, w, err := b.Start(n.start(size))
	if err != nil {
		return measurer.Sample{}, err
	}
	defer s.Stop()
	if n.declare != nil {
		w = n.declare(w, size)
	}
	if err := b.Declare(s, w); err != nil {
		return measurer.Sample{}, err
	}
	if n.work == nil {
		return b.Sample(s, nil)
	}
	return b.Sample(s, func() error { return n.work(b, s, w, size) })
}

// oneDomain starts three daemons and the given workers in one domain.
func oneDomain(workers int) func(int) (int, int, int) {
	return func(int) (int, int, int) { return 1, workers, 3 }
}

var (
	workersScenario = scenario{
		unit: "workers", sizes: []int{8, 32, 64},
		start: func(size int) (int, int, int) { return 1, size, 3 },
	}
	daemonsScenario = scenario{
		unit: "daemons", sizes: []int{3, 9, 24},
		start: func(size int) (int, int, int) { return size / 3, 2, 3 },
	}
	startsScenario = scenario{
		unit: "starts/s", sizes: []int{5, 20, 56},
		start: oneDomain(16), work: submitSteadily,
	}
	configScenario = scenario{
		unit: "teams", sizes: []int{10, 100, 340},
		start: oneDomain(2), declare: measurer.WithTeams, work: switchPresets,
	}
	requestsScenario = scenario{
		unit: "requests/s", sizes: []int{200, 1000, 3000},
		start: oneDomain(4), declare: withService, work: sendRequests,
	}
)

func withService(w declarer.Workload, _ int) declarer.Workload {
	w.Services = []declarer.Service{{Name: "echo", Team: "team", Replicas: 8, Resources: declarer.Resources{MilliCPU: 1000, MemoryMB: 1000}}}
	return w
}

// submitSteadily submits one job per second for the length of the window.
func submitSteadily(b *measurer.Bench, s *launcher.System, w declarer.Workload, tasks int) error {
	ticks := time.NewTicker(time.Second)
	defer ticks.Stop()
	for i := range int(b.Window.Seconds()) {
		id := fmt.Sprintf("job-%d-%d", tasks, i)
		file := fmt.Sprintf("%s/%s.yaml", b.Logs, id)
		if err := measurer.WriteWorkload(file, measurer.WithJob(w, id, tasks, 500*time.Millisecond)); err != nil {
			return err
		}
		if _, err := s.Control("submit", file); err != nil {
			return err
		}
		<-ticks.C
	}
	return nil
}

// switchPresets changes the preset once per second for the length of the window.
func switchPresets(b *measurer.Bench, s *launcher.System, _ declarer.Workload, _ int) error {
	ticks := time.NewTicker(time.Second)
	defer ticks.Stop()
	for i := range int(b.Window.Seconds()) {
		if _, err := s.Control("preset", string(declarer.Presets[i%len(declarer.Presets)])); err != nil {
			return err
		}
		<-ticks.C
	}
	return nil
}

// sendRequests sends requests at a mean rate of perSecond with exponentially
// distributed intervals, each through a random daemon.
func sendRequests(b *measurer.Bench, s *launcher.System, _ declarer.Workload, perSecond int) error {
	client := &fasthttp.Client{MaxConnsPerHost: 256}
	random := rand.New(rand.NewPCG(1, 2))
	failed := make(chan error, 1)
	next := time.Now()
	for end := next.Add(b.Window); next.Before(end); {
		next = next.Add(time.Duration(random.ExpFloat64() * second / float64(perSecond)))
		time.Sleep(time.Until(next))
		target := s.Daemons[random.IntN(len(s.Daemons))].Traffic
		go func() {
			status, _, err := client.GetTimeout(nil, "http://"+target.String()+"/v1/services/echo/x", 5*time.Second)
			if err == nil && status != fasthttp.StatusOK {
				err = errors.Errorf("unexpected status %d", status)
			}
			if err != nil {
				select {
				case failed <- err:
				default:
				}
			}
		}()
	}
	select {
	case err := <-failed:
		fmt.Fprintln(os.Stderr, "capacity: a request failed:", err)
	default:
	}
	return nil
}

// runBenchmarks prints the benchmarks of the scheduling core, the placer and the
// committer, which need no running system.
func runBenchmarks() error {
	command := exec.Command("go", "test", "-run", "^$", "-bench", ".", "-benchmem", "-benchtime", "200ms", "./internal/scheduler", "./internal/placer", "./internal/committer")
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return command.Run()
}
