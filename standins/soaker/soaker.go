// Package soaker runs tarragond in separate processes, together with a stand-in
// for the platform, and injects faults from outside. Proxies delay and drop data,
// reset connections and refuse new ones; signals stop, pause and kill processes,
// which are then restarted; the store loses responses, refuses calls and compacts
// its history. The package checks the guarantees to clients and workers against
// what these observe.
package soaker

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/standins/platformer"
)

const (
	// completionTimeout bounds the wait for all accepted work after the last
	// fault. An owner waits for unreachable workers for 7 s and a lease, and may
	// be replaced twice during this time.
	completionTimeout = 45 * time.Second
	// completionPollInterval is the pause between two polls of the unfinished
	// jobs after the last fault.
	completionPollInterval = 200 * time.Millisecond
	// cancelGrace is how long tasks of a cancelled job may keep running: 3 s and
	// the time that it takes to stop them.
	cancelGrace = 4 * time.Second
	// stopTimeout is how long a process may take to end after a signal. It is
	// killed one second later.
	stopTimeout = 2 * time.Second
)

// Options configures a soak.
type Options struct {
	// Binary is the path of tarragond, and Directory receives settings and logs.
	Binary, Directory  string
	Instances, Workers int
	// Clients is the number of clients that submit jobs concurrently.
	Clients int
	// Duration is how long faults are injected.
	Duration time.Duration
}

// Report is the result of a soak.
type Report struct {
	Seed uint64
	// Violations holds the violated guarantees.
	Violations []string
	// InjectedFaults holds the faults that were injected, each with the time since
	// the start of the soak.
	InjectedFaults []string
	// Jobs is the number of jobs that clients submitted, and Accepted the number
	// of those that were accepted.
	Jobs, Accepted int
	// Starts is the number of runs that workers started.
	Starts int
}

// soak holds the state of one soak.
type soak struct {
	options   Options
	rng       *rand.Rand
	platform  *platformer.Platform
	checker   *checker
	startedAt time.Time
	injected  []string
	// activeFaults counts the injected faults that have not ended yet.
	activeFaults sync.WaitGroup

	mu        sync.Mutex
	proxies   map[string]*Proxy
	instances []*instance
	// lostShare is the share of the calls to the store whose response is lost, and
	// refusedShare the share of those that are refused.
	lostShare, refusedShare float64
	storeRNG                *rand.Rand
}

// instance is an instance of a fixed name. Its process is replaced after it ends.
type instance struct {
	name    string
	process *platformer.Instance
}

// Run runs one soak with random faults drawn from seed. The error says that the
// soak could not run; violated guarantees are in the report.
func Run(seed uint64, o Options) (Report, error) {
	s := &soak{
		options: o, rng: rand.New(rand.NewPCG(seed, 1)), storeRNG: rand.New(rand.NewPCG(seed, 2)),
		checker: newChecker(), startedAt: time.Now(), proxies: map[string]*Proxy{},
	}
	output, err := os.Create(filepath.Join(o.Directory, fmt.Sprintf("soak-%d.log", seed)))
	if err != nil {
		return Report{}, errors.Wrap(err, "create log file")
	}
	defer func() { _ = output.Close() }()
	s.platform, err = platformer.New(platformer.Options{
		Binary: o.Binary, Directory: o.Directory, Workers: o.Workers, TaskDuration: taskDuration, Output: output, ProxyAddress: s.proxyAddress, Observe: s.checker.observe,
	})
	if err != nil {
		return Report{}, err
	}
	defer s.stop()
	s.platform.Keeper.SetFault(s.storeFault)
	stopWorkers := make(chan struct{})
	defer close(stopWorkers)
	for _, w := range s.platform.Workers {
		go w.Advance(stopWorkers)
	}
	for n := range o.Instances {
		i := &instance{name: fmt.Sprintf("edge-%d", n+1)}
		if i.process, err = s.platform.Start(i.name); err != nil {
			return Report{}, err
		}
		s.instances = append(s.instances, i)
	}
	clients := newClients(s, seed)
	var clientsDone sync.WaitGroup
	stopClients := make(chan struct{})
	for _, c := range clients {
		clientsDone.Go(func() { c.run(stopClients) })
	}
	if err := s.injectFaults(); err != nil {
		return Report{}, err
	}
	close(stopClients)
	clientsDone.Wait()
	s.activeFaults.Wait()
	s.awaitCompletion(clients)
	r := Report{Seed: seed, Violations: s.checker.violations, InjectedFaults: s.injected, Jobs: len(s.checker.jobs), Starts: s.checker.starts}
	for _, j := range s.checker.jobs {
		if j.accepted {
			r.Accepted++
		}
	}
	return r, nil
}

func (s *soak) stop() {
	s.platform.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.proxies {
		p.Close()
	}
}

// proxyAddress returns the address of the proxy of a name, and starts a proxy to
// address if the name has none. A restarted instance reuses its proxy.
func (s *soak) proxyAddress(name, address string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.proxies[name]; p != nil {
		return p.Address(), nil
	}
	p, err := NewProxy(address)
	if err != nil {
		return "", err
	}
	s.proxies[name] = p
	return p.Address(), nil
}

// storeFault returns the fault of a call to the store.
func (s *soak) storeFault(op, _ string) keeper.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch x := s.storeRNG.Float64(); {
	case x < s.refusedShare:
		return keeper.Fault{Before: &storeclient.RefusedError{Op: op, Status: 503}}
	case x < s.refusedShare+s.lostShare:
		return keeper.Fault{After: &storeclient.UnavailableError{Op: op, MayHaveApplied: true, Err: errors.New("response lost")}}
	}
	return keeper.Fault{}
}

// recordFault adds an injected fault to the report.
func (s *soak) recordFault(format string, args ...any) {
	s.injected = append(s.injected, fmt.Sprintf("%.2f s: ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// randomDuration returns a random duration in [low, high).
func (s *soak) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// endLater calls end, which ends a fault, after a delay. It does not block, so that
// further faults may overlap with this one.
func (s *soak) endLater(delay time.Duration, end func()) {
	s.activeFaults.Go(func() {
		time.Sleep(delay)
		end()
	})
}

// injectFaults injects random faults, one after another, until the duration of the
// soak is over. Their effects may overlap.
func (s *soak) injectFaults() error {
	time.Sleep(s.randomDuration(time.Second, 2*time.Second))
	version := 1
	for time.Since(s.startedAt) < s.options.Duration {
		i := s.instances[s.rng.IntN(len(s.instances))]
		switch s.rng.IntN(9) {
		case 0:
			s.restart(i, syscall.SIGKILL)
		case 1:
			s.restart(i, syscall.SIGTERM)
		case 2:
			s.pause(i)
		case 3:
			s.impair(i.name, "store connection of ")
		case 4:
			s.impair(s.platform.Workers[s.rng.IntN(len(s.platform.Workers))].Name(), "")
		case 5:
			for _, o := range s.instances {
				s.impair(o.name, "store connection of ")
			}
		case 6:
			s.setStoreFaultShare(&s.lostShare, "store responses lost")
		case 7:
			s.setStoreFaultShare(&s.refusedShare, "store calls refused")
		case 8:
			version++
			s.recordFault("configuration version %d written, store history compacted, settings reloaded", version)
			if err := s.platform.PutConfig(version); err != nil {
				return err
			}
			s.platform.Keeper.Compact()
			s.signal(i, syscall.SIGHUP)
		}
		time.Sleep(s.randomDuration(50*time.Millisecond, 1500*time.Millisecond))
	}
	return nil
}

// currentProcess returns the latest process of an instance.
func (s *soak) currentProcess(i *instance) *platformer.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return i.process
}

// signal sends a signal to the process of an instance, which may have ended.
func (s *soak) signal(i *instance, signal syscall.Signal) {
	if err := s.currentProcess(i).Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		s.checker.mu.Lock()
		s.checker.fail("soak: sending signal %s: %v", signal, err)
		s.checker.mu.Unlock()
	}
}

// restart ends the process of an instance with a signal and starts another one
// after a random time.
func (s *soak) restart(i *instance, signal syscall.Signal) {
	downtime := s.randomDuration(100*time.Millisecond, 2500*time.Millisecond)
	s.recordFault("%s receives signal %s, restarted %s after its end", i.name, signal, downtime)
	p := s.currentProcess(i)
	s.signal(i, signal)
	s.activeFaults.Go(func() {
		select {
		case <-p.Ended():
		case <-time.After(stopTimeout + time.Second):
			_ = p.Signal(syscall.SIGKILL)
			<-p.Ended()
		}
		time.Sleep(downtime)
		s.replaceProcess(i, p)
	})
}

// replaceProcess starts a process for an instance whose process has ended, unless
// another fault has replaced that process already.
func (s *soak) replaceProcess(i *instance, ended *platformer.Instance) {
	if s.currentProcess(i) != ended {
		return
	}
	next, err := s.platform.Start(i.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.checker.mu.Lock()
		s.checker.fail("soak: restarting %s: %v", i.name, err)
		s.checker.mu.Unlock()
		return
	}
	i.process = next
}

// pause stops the process of an instance for a random time.
func (s *soak) pause(i *instance) {
	length := s.randomDuration(200*time.Millisecond, 6*time.Second)
	s.recordFault("%s is paused for %s", i.name, length)
	p := s.currentProcess(i)
	s.signal(i, syscall.SIGSTOP)
	s.endLater(length, func() { _ = p.Signal(syscall.SIGCONT) })
}

// impair impairs the connections through a proxy for a random time.
func (s *soak) impair(name, what string) {
	length := s.randomDuration(200*time.Millisecond, 5*time.Second)
	impairment := [...]Impairment{
		{DropToServer: true, DropFromServer: true}, {DropFromServer: true}, {DropToServer: true}, {Refuse: true}, {Delay: s.randomDuration(50*time.Millisecond, 400*time.Millisecond)},
	}[s.rng.IntN(5)]
	s.mu.Lock()
	p := s.proxies[name]
	s.mu.Unlock()
	s.recordFault("%s%s is impaired by %+v for %s", what, name, impairment, length)
	p.Set(impairment)
	if impairment.Refuse {
		p.Reset(s.rng.Float64(), s.rng)
	}
	s.endLater(length, func() { p.Set(Impairment{}) })
}

// setStoreFaultShare sets lostShare or refusedShare to a random value for a random
// time.
func (s *soak) setStoreFaultShare(value *float64, what string) {
	length, fraction := s.randomDuration(200*time.Millisecond, 4*time.Second), 0.6*s.rng.Float64()
	s.recordFault("%.2f of the %s for %s", fraction, what, length)
	set := func(x float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		*value = x
	}
	set(fraction)
	s.endLater(length, func() { set(0) })
}

// awaitCompletion ends the faults of the store, replaces ended processes, waits for
// all accepted work at most completionTimeout, and makes the final checks.
func (s *soak) awaitCompletion(clients []*client) {
	s.platform.Keeper.SetFault(nil)
	for _, i := range s.instances {
		if p := s.currentProcess(i); hasEnded(p) {
			s.replaceProcess(i, p)
		}
	}
	end := time.Now().Add(completionTimeout)
	for isUnfinished := true; isUnfinished && time.Now().Before(end); time.Sleep(completionPollInterval) {
		isUnfinished = false
		for _, c := range clients {
			isUnfinished = c.pollAll() || isUnfinished
		}
		isUnfinished = isUnfinished || s.checker.isLongRunningTaskMissing()
	}
	time.Sleep(cancelGrace)
	s.checker.checkFinalState()
}

func hasEnded(p *platformer.Instance) bool {
	select {
	case <-p.Ended():
		return true
	default:
		return false
	}
}
