package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/standins/launcher"
	"tarragonhead.example/tarragonhead/standins/runner"
)

// FaultOptions are the settings of RunFaults.
type FaultOptions struct {
	// Binaries is the directory with the programs, Directory the one for logs
	// and records.
	Binaries, Directory string
	Workload            declarer.Workload
	// Replicas is the number of runners of the service.
	Replicas int
	// Rate is the number of requests a second, Requests the number in total.
	Rate     float64
	Requests int
	// Pause is how long a daemon is suspended, which must exceed its lease.
	// StoreDown is how long the store is suspended.
	Pause, StoreDown time.Duration
	Seed             uint64
	Log              func(format string, args ...any)
}

// FaultReport is the result of RunFaults.
type FaultReport struct {
	Verdict
	// BrokenByStop counts the requests to the gracefully stopped daemon that
	// ended as Broken.
	BrokenByStop int
	// Steps lists the injected process faults, with the error if one failed.
	Steps []string
}

// scenario is the state of RunFaults.
type scenario struct {
	options FaultOptions
	system  *launcher.System
	// ready holds the last readiness of each daemon.
	ready  []atomic.Bool
	report FaultReport
	// stoppedDaemon is the index of the daemon that is stopped gracefully.
	stoppedDaemon int
}

// RunFaults starts a system and sends requests to it. Meanwhile it kills runners
// and daemons, suspends a daemon beyond its lease, suspends the store, and stops
// a daemon gracefully.
func RunFaults(o FaultOptions) (FaultReport, error) {
	s := &scenario{options: o}
	records := o.Directory + "/records"
	if err := os.MkdirAll(records, 0o755); err != nil {
		return s.report, err
	}
	w := o.Workload
	w.Services, w.Jobs, w.Watchers = w.Services[:1], nil, nil
	w.Services[0].Replicas = o.Replicas
	var err error
	s.system, err = launcher.Start(launcher.Options{
		Binaries: o.Binaries, Logs: o.Directory, Workload: w, Scale: 0.05, TimeScale: 1, Records: records,
		DaemonArgs: []string{"--panic-on-violation", "--stop-delay", "1s"},
	})
	if err != nil {
		return s.report, err
	}
	defer s.system.Stop()
	if err := s.declareWorkload(w); err != nil {
		return s.report, err
	}
	s.ready = make([]atomic.Bool, len(s.system.Daemons))
	stop := make(chan struct{})
	var readinessPolls sync.WaitGroup
	for i := range s.ready {
		s.ready[i].Store(true)
		readinessPolls.Go(func() { s.pollReadiness(i, stop) })
	}
	if err := s.injectRunnerFaults(); err != nil {
		return s.report, err
	}
	load := s.loadWithFaults(w.Services[0].Name)
	close(stop)
	readinessPolls.Wait()
	// Requests whose callers have given up may still run.
	time.Sleep(time.Second)
	runs, err := runner.ReadRecords(records)
	if err != nil {
		return s.report, err
	}
	outcomes := load.Outcomes()
	s.report.Verdict = CheckOutcomes(outcomes, runs)
	for _, oc := range outcomes {
		if oc.Daemon == s.stoppedDaemon && oc.Result == Broken {
			s.report.BrokenByStop++
		}
	}
	return s.report, nil
}

// declareWorkload declares w and waits until its runners have started and the
// daemons know them.
func (s *scenario) declareWorkload(w declarer.Workload) error {
	data, err := yaml.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "encode workload")
	}
	file := s.options.Directory + "/workload.yaml"
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	if _, err := s.system.Control("declare", file); err != nil {
		return err
	}
	records := s.options.Directory + "/records"
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		announcements, err := runner.ReadAnnouncements(records)
		if err == nil && len(announcements) >= s.options.Replicas {
			break
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%d of %d runners have started: %v", len(announcements), s.options.Replicas, err)
		}
	}
	// Gossip takes time to spread the routing tables and the members to every
	// daemon.
	time.Sleep(5 * time.Second)
	return nil
}

// runnerFaults are the faults that each runner injects during the load. Without
// them, few requests are in an attempt at the moment when a process dies.
var runnerFaults = []runner.Fault{
	{Kind: runner.Close, Share: 0.003},
	{Kind: runner.Truncate, Share: 0.003},
	{Kind: runner.TruncateHeader, Share: 0.003},
	{Kind: runner.Unframed, Share: 0.003},
	{Kind: runner.Cross, Share: 0.003},
	{Kind: runner.Extra, Share: 0.003},
	{Kind: runner.Fail, Share: 0.003},
	{Kind: runner.Refuse, Share: 0.01},
	{Kind: runner.Late, Share: 0.001, DelayMS: 2500},
}

// injectRunnerFaults makes each runner inject runnerFaults.
func (s *scenario) injectRunnerFaults() error {
	announcements, err := runner.ReadAnnouncements(s.options.Directory + "/records")
	if err != nil {
		return err
	}
	body, err := json.Marshal(runnerFaults)
	if err != nil {
		return err
	}
	for _, a := range announcements {
		response, err := http.Post("http://"+a.Admin+"/faults", "application/json", bytes.NewReader(body))
		if err != nil {
			return errors.Wrap(err, a.Name)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return errors.Errorf("%s: set faults: status %d", a.Name, response.StatusCode)
		}
	}
	return nil
}

// pollReadiness polls the readiness of a daemon, as a load balancer does, until
// stop is closed.
func (s *scenario) pollReadiness(daemon int, stop chan struct{}) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for {
		response, err := client.Get(fmt.Sprintf("http://%s/readyz", s.system.Daemons[daemon].Control))
		if err == nil {
			_ = response.Body.Close()
		}
		s.ready[daemon].Store(err == nil && response.StatusCode == http.StatusOK)
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// loadWithFaults sends the load and meanwhile injects the process faults.
func (s *scenario) loadWithFaults(service string) *Load {
	o := s.options
	daemons := []netip.AddrPort{}
	for _, d := range s.system.Daemons {
		daemons = append(daemons, d.Traffic)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.injectProcessFaults()
	}()
	load := Run(Options{
		Daemons: daemons, IsReady: func(i int) bool { return s.ready[i].Load() }, Service: service, Requests: o.Requests, Connections: 64, Rate: o.Rate,
		Posts: 0.5, Keyed: 0.2, Repeats: 0.2, Timeout: 2 * time.Second, Lines: 40, Query: "&work_ms=10", Tag: "f", Seed: o.Seed,
	})
	<-done
	return load
}

// injectProcessFaults injects the process faults one after the other, spread over
// the duration of the load.
func (s *scenario) injectProcessFaults() {
	o := s.options
	daemons := s.system.Daemons
	last := len(daemons) - 1
	s.stoppedDaemon = last - 2
	total := time.Duration(float64(o.Requests) / o.Rate * float64(time.Second))
	gap := max(500*time.Millisecond, (total-o.Pause-o.StoreDown)/8)
	step := func(name string, f func() error) {
		time.Sleep(gap)
		if err := f(); err != nil {
			name += ": " + err.Error()
		}
		o.Log("%s", name)
		s.report.Steps = append(s.report.Steps, name)
	}
	step("kill -9 of a runner", func() error { return s.killRunner(0) })
	step("kill -9 of daemon "+daemons[last].Name, func() error { return daemons[last].Signal(syscall.SIGKILL) })
	step(fmt.Sprintf("SIGSTOP of daemon %s for %s", daemons[last-1].Name, o.Pause), func() error {
		return pauseProcess(daemons[last-1].Process, o.Pause)
	})
	step("SIGTERM of daemon "+daemons[s.stoppedDaemon].Name, func() error {
		if err := daemons[s.stoppedDaemon].Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if !daemons[s.stoppedDaemon].Wait(20 * time.Second) {
			return errors.New("still running after 20 s")
		}
		return nil
	})
	step(fmt.Sprintf("store stopped for %s", o.StoreDown), func() error { return pauseProcess(s.system.StoreProcess, o.StoreDown) })
	step("kill -9 of a second runner", func() error { return s.killRunner(1) })
	step("kill -9 of daemon "+daemons[0].Name, func() error { return daemons[0].Signal(syscall.SIGKILL) })
}

// pauseProcess suspends p for d.
func pauseProcess(p *launcher.Process, d time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return p.Signal(syscall.SIGCONT)
}

// killRunner kills the runner process of the n-th announcement.
func (s *scenario) killRunner(n int) error {
	announcements, err := runner.ReadAnnouncements(s.options.Directory + "/records")
	if err != nil {
		return err
	}
	if n >= len(announcements) {
		return errors.Errorf("runner %d has not been announced", n)
	}
	return syscall.Kill(announcements[n].PID, syscall.SIGKILL)
}
