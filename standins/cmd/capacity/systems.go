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

// measureWorkers varies the workers of one domain with three daemons.
func measureWorkers(b *measurer.Bench) error {
	c := newCollector()
	for _, workers := range []int{8, 32, 64} {
		s, w, err := b.Start(1, workers, 3)
		if err != nil {
			return err
		}
		sample, err := declaredSample(b, s, w, nil)
		s.Stop()
		if err != nil {
			return err
		}
		c.add(float64(workers), sample)
	}
	c.print("workers")
	return nil
}

// measureDaemons varies the daemons, three to a domain, with two workers each.
func measureDaemons(b *measurer.Bench) error {
	c := newCollector()
	for _, domains := range []int{1, 3, 8} {
		s, w, err := b.Start(domains, 2, 3)
		if err != nil {
			return err
		}
		sample, err := declaredSample(b, s, w, nil)
		s.Stop()
		if err != nil {
			return err
		}
		c.add(float64(3*domains), sample)
	}
	c.print("daemons")
	return nil
}

func declaredSample(b *measurer.Bench, s *launcher.System, w declarer.Workload, work func() error) (measurer.Sample, error) {
	if err := b.Declare(s, w); err != nil {
		return measurer.Sample{}, err
	}
	return b.Sample(s, work)
}

// measureStarts varies the task starts a second in one domain.
func measureStarts(b *measurer.Bench) error {
	c := newCollector()
	for _, perSecond := range []int{5, 20, 56} {
		s, w, err := b.Start(1, 16, 3)
		if err != nil {
			return err
		}
		sample, err := declaredSample(b, s, w, func() error { return submitSteadily(b, s, w, perSecond) })
		s.Stop()
		if err != nil {
			return err
		}
		c.add(float64(perSecond), sample)
	}
	c.print("starts/s")
	return nil
}

// submitSteadily submits one job a second for the length of the window.
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

// measureConfig varies the size of the declared work while the preset changes
// once a second.
func measureConfig(b *measurer.Bench) error {
	c := newCollector()
	for _, teams := range []int{10, 100, 340} {
		s, w, err := b.Start(1, 2, 3)
		if err != nil {
			return err
		}
		sample, err := declaredSample(b, s, measurer.WithTeams(w, teams), func() error { return switchPresets(b, s) })
		s.Stop()
		if err != nil {
			return err
		}
		c.add(float64(teams), sample)
	}
	c.print("teams")
	return nil
}

func switchPresets(b *measurer.Bench, s *launcher.System) error {
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

// measureRequests varies the requests a second through one daemon.
func measureRequests(b *measurer.Bench) error {
	c := newCollector()
	for _, perSecond := range []int{200, 1000, 3000} {
		s, w, err := b.Start(1, 4, 3)
		if err != nil {
			return err
		}
		w.Services = []declarer.Service{{Name: "echo", Team: "team", Replicas: 8, Resources: declarer.Resources{MilliCPU: 1000, MemoryMB: 1000}}}
		sample, err := declaredSample(b, s, w, func() error { return request(b, s, perSecond) })
		s.Stop()
		if err != nil {
			return err
		}
		c.add(float64(perSecond), sample)
	}
	c.print("requests/s")
	return nil
}

// request sends requests at random times that average to the given rate, all
// through the daemons that own nothing in turn.
func request(b *measurer.Bench, s *launcher.System, perSecond int) error {
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
				err = errors.Errorf("status %d", status)
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

// measureState prints the benchmarks of the control core, which need no
// processes.
func measureState() error {
	command := exec.Command("go", "test", "-run", "^$", "-bench", ".", "-benchmem", "-benchtime", "200ms", "./internal/scheduler", "./internal/placer", "./internal/committer")
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return command.Run()
}
