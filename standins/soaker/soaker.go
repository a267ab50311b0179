// Package soaker runs tarragond as separate processes beside stand-ins of the
// platform and injects faults from outside: proxies that delay, reset, cut and
// silence connections, signals that stop, pause, kill and restart processes, and
// a store that loses answers, refuses calls and drops its history. It checks the
// promises to clients and workers from what these see.
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
	// calmTime bounds the wait for all accepted work after the last fault. An owner
	// that waits for workers out of reach does so for 7 s and a lease, and may be
	// replaced twice meanwhile.
	calmTime = 45 * time.Second
	// calmPoll is how often the clients ask for what is not done yet then.
	calmPoll = 200 * time.Millisecond
	// cancelTime is how long tasks of a cancelled job may go on: 3 s, and the time
	// that a stop takes.
	cancelTime = 4 * time.Second
	// stopLimit is when a process that was told to stop is killed.
	stopLimit = 2 * time.Second
)

// Options say how large a soak is.
type Options struct {
	// Binary is the path of tarragond, and Directory receives settings and logs.
	Binary, Directory  string
	Instances, Workers int
	// Clients send jobs at the same time.
	Clients int
	// Length is for how long faults are injected.
	Length time.Duration
}

// Report is what a soak has seen.
type Report struct {
	Seed uint64
	// Faults has the broken promises.
	Faults []string
	// Injected has the faults that were injected, with their times.
	Injected       []string
	Jobs, Accepted int
	Starts         int
}

// soak is one run.
type soak struct {
	options  Options
	rng      *rand.Rand
	platform *platformer.Platform
	check    *checker
	began    time.Time
	injected []string
	// faults are the functions that are still to end a fault.
	ending sync.WaitGroup

	mu        sync.Mutex
	proxies   map[string]*Proxy
	instances []*instance
	// lossy and refusing are the shares of the store's calls that lose their
	// answer or are refused.
	lossy, refusing float64
	storeRNG        *rand.Rand
}

// instance is a place for a process; the process in it is replaced.
type instance struct {
	name    string
	process *platformer.Instance
}

// Run runs one soak.
func Run(seed uint64, o Options) (Report, error) {
	s := &soak{
		options: o, rng: rand.New(rand.NewPCG(seed, 1)), storeRNG: rand.New(rand.NewPCG(seed, 2)),
		check: newChecker(), began: time.Now(), proxies: map[string]*Proxy{},
	}
	output, err := os.Create(filepath.Join(o.Directory, fmt.Sprintf("soak-%d.log", seed)))
	if err != nil {
		return Report{}, errors.Wrap(err, "log")
	}
	defer func() { _ = output.Close() }()
	s.platform, err = platformer.New(platformer.Options{
		Binary: o.Binary, Directory: o.Directory, Workers: o.Workers, Length: workTime, Output: output, Via: s.via, Observe: s.check.observe,
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
	var sending sync.WaitGroup
	stopSending := make(chan struct{})
	for _, c := range clients {
		sending.Go(func() { c.send(stopSending) })
	}
	if err := s.inject(); err != nil {
		return Report{}, err
	}
	close(stopSending)
	sending.Wait()
	s.ending.Wait()
	s.settle(clients)
	r := Report{Seed: seed, Faults: s.check.Faults, Injected: s.injected, Jobs: len(s.check.jobs), Starts: s.check.starts}
	for _, j := range s.check.jobs {
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

// via puts a proxy before a server. An instance that starts again keeps its own.
func (s *soak) via(name, address string) (string, error) {
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

// storeFault decides what becomes of a call to the store.
func (s *soak) storeFault(op, _ string) keeper.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch x := s.storeRNG.Float64(); {
	case x < s.refusing:
		return keeper.Fault{Before: &storeclient.RefusedError{Op: op, Status: 503}}
	case x < s.refusing+s.lossy:
		return keeper.Fault{After: &storeclient.UnavailableError{Op: op, MayHaveApplied: true, Err: errors.New("answer lost")}}
	}
	return keeper.Fault{}
}

// note records what is injected.
func (s *soak) note(format string, args ...any) {
	s.injected = append(s.injected, fmt.Sprintf("%.2f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// between draws a time.
func (s *soak) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// later ends a fault after a while, beside the faults that come meanwhile.
func (s *soak) later(after time.Duration, do func()) {
	s.ending.Go(func() {
		time.Sleep(after)
		do()
	})
}

// inject injects faults until the length is over. They come in series and overlap.
func (s *soak) inject() error {
	time.Sleep(s.between(time.Second, 2*time.Second))
	version := 1
	for time.Since(s.began) < s.options.Length {
		i := s.instances[s.rng.IntN(len(s.instances))]
		switch s.rng.IntN(9) {
		case 0:
			s.restart(i, syscall.SIGKILL)
		case 1:
			s.restart(i, syscall.SIGTERM)
		case 2:
			s.pause(i)
		case 3:
			s.impair(i.name, "store of ")
		case 4:
			s.impair(s.platform.Workers[s.rng.IntN(len(s.platform.Workers))].ID(), "")
		case 5:
			for _, o := range s.instances {
				s.impair(o.name, "store of ")
			}
		case 6:
			s.share(&s.lossy, "answers of the store lost")
		case 7:
			s.share(&s.refusing, "calls to the store refused")
		case 8:
			version++
			s.note("configuration %d, history dropped, settings read again", version)
			if err := s.platform.PutConfig(version); err != nil {
				return err
			}
			s.platform.Keeper.Compact()
			s.signal(i, syscall.SIGHUP)
		}
		time.Sleep(s.between(50*time.Millisecond, 1500*time.Millisecond))
	}
	return nil
}

// process returns the process that is in a place now.
func (s *soak) process(i *instance) *platformer.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return i.process
}

// signal sends a signal to a process that may have ended.
func (s *soak) signal(i *instance, signal syscall.Signal) {
	if err := s.process(i).Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		s.check.mu.Lock()
		s.check.fail("soak: signal %s: %v", signal, err)
		s.check.mu.Unlock()
	}
}

// restart ends a process with a signal and puts another one in its place.
func (s *soak) restart(i *instance, signal syscall.Signal) {
	rest := s.between(100*time.Millisecond, 2500*time.Millisecond)
	s.note("%s gets %s, back after %s", i.name, signal, rest)
	p := s.process(i)
	s.signal(i, signal)
	s.ending.Go(func() {
		select {
		case <-p.Ended():
		case <-time.After(stopLimit + time.Second):
			_ = p.Signal(syscall.SIGKILL)
			<-p.Ended()
		}
		time.Sleep(rest)
		s.replace(i, p)
	})
}

// replace starts a process in the place of one that has ended, unless another
// fault has done so.
func (s *soak) replace(i *instance, ended *platformer.Instance) {
	if s.process(i) != ended {
		return
	}
	next, err := s.platform.Start(i.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.check.mu.Lock()
		s.check.fail("soak: %s does not start: %v", i.name, err)
		s.check.mu.Unlock()
		return
	}
	i.process = next
}

func (s *soak) pause(i *instance) {
	length := s.between(200*time.Millisecond, 6*time.Second)
	s.note("%s is paused for %s", i.name, length)
	p := s.process(i)
	s.signal(i, syscall.SIGSTOP)
	s.later(length, func() { _ = p.Signal(syscall.SIGCONT) })
}

// impair impairs the connections to a server for a while.
func (s *soak) impair(name, what string) {
	length := s.between(200*time.Millisecond, 5*time.Second)
	w := [...]Impairment{
		{DropTo: true, DropFrom: true}, {DropFrom: true}, {DropTo: true}, {Refuse: true}, {Delay: s.between(50*time.Millisecond, 400*time.Millisecond)},
	}[s.rng.IntN(5)]
	s.mu.Lock()
	p := s.proxies[name]
	s.mu.Unlock()
	s.note("%s%s has %+v for %s", what, name, w, length)
	p.Set(w)
	if w.Refuse {
		p.Reset(s.rng.Float64(), s.rng)
	}
	s.later(length, func() { p.Set(Impairment{}) })
}

// share sets a share of the store's calls that go wrong for a while.
func (s *soak) share(value *float64, what string) {
	length, share := s.between(200*time.Millisecond, 4*time.Second), 0.6*s.rng.Float64()
	s.note("%.2f of the %s for %s", share, what, length)
	set := func(x float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		*value = x
	}
	set(share)
	s.later(length, func() { set(0) })
}

// settle waits until all accepted work is done and checks what is left.
func (s *soak) settle(clients []*client) {
	s.platform.Keeper.SetFault(nil)
	for _, i := range s.instances {
		if p := s.process(i); isEnded(p) {
			s.replace(i, p)
		}
	}
	end := time.Now().Add(calmTime)
	for isLeft := true; isLeft && time.Now().Before(end); time.Sleep(calmPoll) {
		isLeft = false
		for _, c := range clients {
			isLeft = c.askAll() || isLeft
		}
		isLeft = isLeft || s.check.awaitsLasting()
	}
	time.Sleep(cancelTime)
	s.check.settle()
}

func isEnded(p *platformer.Instance) bool {
	select {
	case <-p.Ended():
		return true
	default:
		return false
	}
}
