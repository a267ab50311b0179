// Package soaker runs tarragond in separate processes, together with a stand-in
// for the platform, and injects faults from outside. Proxies delay and drop data,
// reset connections and refuse new ones; signals stop, pause and kill processes,
// which are then restarted; workers are killed and back within a second; the store
// loses responses, refuses calls, executes transactions late and compacts its
// history. The package checks the guarantees to clients and workers against
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

	"tarragonhead.example/tarragonhead/standins/platformer"
)

const (
	// acceptanceTimeout bounds the wait until a new deployment accepts a job. The
	// users' traffic starts 10 s after the instances.
	acceptanceTimeout      = 10 * time.Second
	acceptancePollInterval = 50 * time.Millisecond
	// completionTimeout bounds the wait for all accepted work after the last
	// fault. An owner waits for unreachable workers for 7 s and a lease, and may
	// be replaced twice during this time.
	completionTimeout = 45 * time.Second
	// completionPollInterval is the pause between two polls of the unfinished
	// jobs after the last fault.
	completionPollInterval = 200 * time.Millisecond
	// earlyLimit is how long before its time an occurrence may start.
	earlyLimit = 250 * time.Millisecond
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
	// UnstoredEnds says that the only faults are those in which an owner ends before
	// it has stored the ends of runs.
	UnstoredEnds bool
	// Cuts says that the only faults are those in which owners end while workers are cut
	// off.
	Cuts bool
	// HeldCalls says that the only faults are those in which calls to the former process
	// of a worker reach the next one, which is cut off.
	HeldCalls bool
	// HeldTakeovers says that the only faults are those in which such calls were sent by
	// an owner that has ended, and reach a process that its successor can't reach.
	HeldTakeovers bool
	// Keys says that clients need keys, that each version of the configuration replaces
	// one, and that calls with unknown keys are checked.
	Keys bool
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
	// Restarts is the number of restarts of workers.
	Restarts int
	// Checks is the number of checks of the configuration in force.
	Checks int
	// UnknownKeys is the number of rejected calls with a key that no configuration held.
	UnknownKeys int
	// MostCapped is the largest number of tasks of the organisation with a cap that ran.
	MostCapped int
	// Starts is the number of runs that workers started, and Kills the number of
	// those that ended with their process.
	Starts, Kills int
}

// soak holds the state of one soak.
type soak struct {
	options  Options
	seed     uint64
	platform *platformer.Platform
	checker  *checker
	// startedAt is when the injection of faults started.
	startedAt time.Time
	// activeFaults counts the injected faults that have not ended yet.
	activeFaults sync.WaitGroup

	mu        sync.Mutex
	proxies   map[string]*Proxy
	instances []*instance
	injected  []string
	shares    faultShares
	// configVersion is the last version of the configuration that was written.
	configVersion int
	// output receives the logs of the instances, the events of the workers and the
	// injected faults.
	output *os.File
	// stopWorkers ends the work on the workers.
	stopWorkers chan struct{}
	// restarts is the number of restarts of workers.
	restarts int
	storeRNG *rand.Rand
}

// instance is an instance of a fixed name. Its process is replaced after it ends.
type instance struct {
	name    string
	process *platformer.Instance
	pauser  *pauser
	// replacing is held while an ended process is replaced.
	replacing sync.Mutex
}

// newSoak starts a platform with its workers and instances. The caller calls stop.
func newSoak(seed uint64, o Options) (*soak, error) {
	s := &soak{
		options: o, seed: seed, configVersion: 1, storeRNG: rand.New(rand.NewPCG(seed, 2)),
		checker: newChecker(), startedAt: time.Now(), proxies: map[string]*Proxy{}, stopWorkers: make(chan struct{}),
	}
	var err error
	if s.output, err = os.Create(filepath.Join(o.Directory, fmt.Sprintf("soak-%d.log", seed))); err != nil {
		return nil, errors.Wrap(err, "create log file")
	}
	s.checker.log = s.log
	p := platformer.Options{
		Binary: o.Binary, Directory: o.Directory, Workers: o.Workers, TaskDuration: taskDuration, Output: s.output, ProxyAddress: s.proxyAddress,
		Observe: s.observe, Fails: s.runFails,
		TransactionDelay: s.transactionDelay,
		OrderDelay:       func(string) time.Duration { return s.delay(&s.shares.lateOrders) },
	}
	if o.Keys {
		p.Organisations = organisations
	}
	if o.UnstoredEnds {
		p.TransactionSilence, p.MaxLease = transactionSilence, unstoredMaxLease
	}
	s.platform, err = platformer.New(p)
	if err != nil {
		_ = s.output.Close()
		return nil, err
	}
	s.platform.Keeper.SetFault(s.storeFault)
	for _, w := range s.platform.Workers {
		go w.Advance(s.stopWorkers)
	}
	for n := range o.Instances {
		i := &instance{name: fmt.Sprintf("edge-%d", n+1)}
		if err := s.startProcess(i); err != nil {
			s.stop()
			return nil, err
		}
		s.instances = append(s.instances, i)
	}
	return s, nil
}

// Run runs one soak with random faults drawn from seed. The error says that the
// soak could not run; violated guarantees are in the report.
func Run(seed uint64, o Options) (Report, error) {
	s, err := newSoak(seed, o)
	if err != nil {
		return Report{}, err
	}
	defer s.stop()
	clients := newClients(s, seed)
	var clientsDone sync.WaitGroup
	stopClients := make(chan struct{})
	for _, c := range clients {
		clientsDone.Go(func() { c.run(stopClients) })
	}
	if err := s.awaitAcceptance(); err != nil {
		close(stopClients)
		clientsDone.Wait()
		return Report{}, err
	}
	s.startedAt = time.Now()
	var injectors sync.WaitGroup
	switch {
	case o.UnstoredEnds:
		injectors.Go((&injector{s, rand.New(rand.NewPCG(seed, 8))}).injectUnstoredEnds)
	case o.Cuts:
		injectors.Go((&injector{s, rand.New(rand.NewPCG(seed, 9))}).injectCuts)
	case o.HeldCalls:
		injectors.Go((&injector{s, rand.New(rand.NewPCG(seed, 100))}).injectHeldCalls)
	case o.HeldTakeovers:
		injectors.Go((&injector{s, rand.New(rand.NewPCG(seed, 101))}).injectHeldTakeovers)
	default:
		injectors.Go((&injector{s, rand.New(rand.NewPCG(seed, 1))}).injectInstanceFaults)
		injectors.Go((&injector{s, rand.New(rand.NewPCG(seed, 3))}).injectWorkerFaults)
		injectors.Go((&injector{s, rand.New(rand.NewPCG(seed, 4))}).injectRestarts)
		injectors.Go((&injector{s, rand.New(rand.NewPCG(seed, 5))}).injectTakeovers)
	}
	if o.Keys {
		injectors.Go((&injector{s, rand.New(rand.NewPCG(seed, 102))}).replaceKeys)
	}
	injectors.Wait()
	close(stopClients)
	clientsDone.Wait()
	s.activeFaults.Wait()
	s.awaitCompletion(clients)
	r := Report{Seed: seed, Violations: s.checker.violations, InjectedFaults: s.injected, Restarts: s.restarts, Jobs: len(s.checker.jobs), Starts: s.checker.starts, Kills: s.checker.kills, UnknownKeys: s.checker.unknownKeys, MostCapped: s.checker.mostCapped}
	r.Accepted = s.checker.acceptedCount()
	return r, nil
}

// awaitAcceptance waits until the new deployment, in which no fault is injected
// yet, has accepted a job.
func (s *soak) awaitAcceptance() error {
	for end := time.Now().Add(acceptanceTimeout); s.checker.acceptedCount() == 0; time.Sleep(acceptancePollInterval) {
		if time.Now().After(end) {
			return errors.Errorf("no job was accepted within %s of the start, without faults", acceptanceTimeout)
		}
	}
	return nil
}

// observe checks and logs an event of a worker.
func (s *soak) observe(e platformer.Event) {
	s.log("%+v", e)
	s.checker.observe(e)
}

// log adds a line to the logs of the instances, so that a violation can be traced in
// one file.
func (s *soak) log(format string, args ...any) {
	if s.output != nil {
		_, _ = fmt.Fprintf(s.output, "%s soak: %s\n", time.Now().Format(time.RFC3339Nano), fmt.Sprintf(format, args...))
	}
}

func (s *soak) stop() {
	close(s.stopWorkers)
	defer func() { _ = s.output.Close() }()
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

// currentProcess returns the latest process of an instance.
func (s *soak) currentProcess(i *instance) *platformer.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return i.process
}

// currentPauser returns the pauser of the latest process of an instance.
func (s *soak) currentPauser(i *instance) *pauser {
	s.mu.Lock()
	defer s.mu.Unlock()
	return i.pauser
}

// startProcess starts a process for an instance.
func (s *soak) startProcess(i *instance) error {
	p, err := s.platform.Start(i.name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i.process, i.pauser = p, &pauser{signal: func(x syscall.Signal) { s.signal(p, x) }}
	return nil
}

// signal sends a signal to a process, which may have ended.
func (s *soak) signal(p *platformer.Instance, signal syscall.Signal) {
	if err := p.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		s.checker.failSoak(errors.Wrapf(err, "send signal %s", signal))
	}
}

// replaceProcess starts a process for an instance whose process has ended, unless
// another fault has replaced that process already.
func (s *soak) replaceProcess(i *instance, ended *platformer.Instance) {
	i.replacing.Lock()
	defer i.replacing.Unlock()
	if s.currentProcess(i) != ended {
		return
	}
	if err := s.startProcess(i); err != nil {
		s.checker.failSoak(errors.Wrapf(err, "restart %s", i.name))
	}
}

// awaitCompletion ends the faults of the store, replaces processes that ended by
// themselves, waits for all accepted work at most completionTimeout, and makes the
// final checks.
func (s *soak) awaitCompletion(clients []*client) {
	s.platform.Keeper.SetFault(nil)
	for _, i := range s.instances {
		if p := s.currentProcess(i); hasEnded(p) {
			s.checker.failSoak(errors.Errorf("a process of %s ended by itself", i.name))
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
