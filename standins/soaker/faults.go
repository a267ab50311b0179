package soaker

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// failedShare is the share of the runs of batch tasks that end as failed.
	failedShare = 0.08
	// maxLateDelay bounds how much later a call without a response takes effect. It
	// exceeds the lease of a worker's entry, so that the entry of an ended process
	// can appear again.
	maxLateDelay = 5 * time.Second
	// reloadGrace is the age, without pauses, from which a process is told to read
	// its settings again. The signal ends one that has not installed its handler yet.
	reloadGrace = time.Second
)

// faultShares holds the shares of calls that a fault of the store or the workers
// affects. Of the shares of overlapping faults the largest counts.
type faultShares struct {
	// lost is the share of the calls to the store whose response is lost, and
	// refused the share of those that are refused.
	lost, refused overlay[float64]
	// lateTransactions and lateOrders are the shares of the transactions of
	// instances and of the calls to workers that take effect late.
	lateTransactions, lateOrders overlay[float64]
	// lateProgress is the share of the transactions that write progress and take
	// effect late.
	lateProgress overlay[float64]
}

// largest returns the largest share in effect, 0 if there is none.
func largest(shares *overlay[float64]) float64 {
	return slices.Max(append(shares.current(), 0))
}

// storeFault returns the fault of a call to the store.
func (s *soak) storeFault(op, _ string) keeper.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := largest(&s.shares.refused)
	switch x := s.storeRNG.Float64(); {
	case x < refused:
		return keeper.Fault{Before: &storeclient.RefusedError{Op: op, Status: 503}}
	case x < refused+largest(&s.shares.lost):
		return keeper.Fault{After: &storeclient.UnavailableError{Op: op, MayHaveApplied: true, Err: errors.New("response lost")}}
	}
	return keeper.Fault{}
}

// delay returns a random time for the given share of the calls, and 0 for the others.
func (s *soak) delay(shares *overlay[float64]) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeRNG.Float64() >= largest(shares) {
		return 0
	}
	return time.Duration(1 + s.storeRNG.Int64N(int64(maxLateDelay)))
}

// runFails decides by the seed whether a run ends as failed.
func (s *soak) runFails(task string, attempt int) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s %d", s.seed, task, attempt)
	return rand.New(rand.NewPCG(h.Sum64(), 0)).Float64() < failedShare
}

// recordFault adds an injected fault to the report.
func (s *soak) recordFault(format string, args ...any) {
	s.log(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = append(s.injected, fmt.Sprintf("%.2f s: ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// endLater calls end, which ends a fault, after a delay. It does not block, so that
// further faults may overlap with this one.
func (s *soak) endLater(delay time.Duration, end func()) {
	s.activeFaults.Go(func() {
		time.Sleep(delay)
		end()
	})
}

// injector injects random faults into a soak. Several run at the same time, each with
// random numbers of its own, so that the faults of one are those that the seed had
// before the others existed.
type injector struct {
	*soak
	rng *rand.Rand
}

// randomDuration returns a random duration in [low, high).
func (j *injector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(j.rng.Int64N(int64(high-low)))
}

// injectInstanceFaults injects faults of instances and the store, one after another,
// until the duration of the soak is over. Their effects may overlap.
func (j *injector) injectInstanceFaults() {
	time.Sleep(j.randomDuration(time.Second, 2*time.Second))
	for time.Since(j.startedAt) < j.options.Duration {
		j.injectInstanceFault()
		time.Sleep(j.randomDuration(50*time.Millisecond, 1500*time.Millisecond))
	}
}

func (j *injector) injectInstanceFault() {
	i := j.instances[j.rng.IntN(len(j.instances))]
	switch j.rng.IntN(10) {
	case 0:
		j.restart(i, syscall.SIGKILL)
	case 1:
		j.restart(i, syscall.SIGTERM)
	case 2:
		j.pause(i)
	case 3:
		j.impair(i.name, "store connection of ")
	case 4:
		j.impair(j.platform.Workers[j.rng.IntN(len(j.platform.Workers))].Name(), "")
	case 5:
		for _, o := range j.instances {
			j.impair(o.name, "store connection of ")
		}
	case 6:
		j.addFaultShare(&j.shares.lost, "store responses lost")
	case 7:
		j.addFaultShare(&j.shares.refused, "store calls refused")
	case 8:
		j.changeConfig(i)
	case 9:
		// Open connections go silent while the configuration changes.
		for _, o := range j.instances {
			j.breakConnectionsTo(o.name, true)
		}
		j.changeConfig(i)
	}
}

// injectWorkerFaults injects faults of workers until the duration of the soak is
// over, and series of other faults that begin at the same time.
func (j *injector) injectWorkerFaults() {
	time.Sleep(j.randomDuration(time.Second, 2*time.Second))
	for time.Since(j.startedAt) < j.options.Duration {
		worker := j.platform.Workers[j.rng.IntN(len(j.platform.Workers))]
		switch j.rng.IntN(7) {
		case 0:
			j.restartWorker(worker, 1)
		case 1:
			j.restartWorker(worker, 2+j.rng.IntN(4))
		case 2:
			for _, w := range j.platform.Workers {
				if j.rng.IntN(3) == 0 {
					j.restartWorker(w, 1+j.rng.IntN(2))
				}
			}
		case 3:
			j.restartWorker(worker, 1+j.rng.IntN(3))
			j.restart(j.instances[j.rng.IntN(len(j.instances))], [...]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[j.rng.IntN(2)])
		case 4:
			j.restartWorker(worker, 1+j.rng.IntN(2))
			for range 2 + j.rng.IntN(3) {
				j.injectInstanceFault()
			}
		case 5:
			j.addFaultShare(&j.shares.lateTransactions, "transactions take effect late")
		case 6:
			j.addFaultShare(&j.shares.lateOrders, "calls to workers take effect late")
		}
		time.Sleep(j.randomDuration(50*time.Millisecond, 2*time.Second))
	}
}

// changeConfig writes a version of the configuration, drops the history of the store
// and makes an instance read its settings again.
func (j *injector) changeConfig(i *instance) {
	j.mu.Lock()
	j.configVersion++
	version := j.configVersion
	j.mu.Unlock()
	j.recordFault("configuration version %d written, store history compacted, settings of %s reloaded", version, i.name)
	if err := j.platform.PutConfig(version); err != nil {
		j.checker.failSoak(err)
	}
	j.platform.Keeper.Compact()
	if p := j.currentProcess(i); p.Age()-j.currentPauser(i).pausedTime() > reloadGrace {
		j.signal(p, syscall.SIGHUP)
	}
}

// pause stops the process of an instance for a random time.
func (j *injector) pause(i *instance) {
	length := j.randomDuration(200*time.Millisecond, 6*time.Second)
	j.recordFault("%s is paused for %s", i.name, length)
	j.endLater(length, j.currentPauser(i).pause())
}

// impair impairs the connections through a proxy for a random time.
func (j *injector) impair(name, what string) {
	length := j.randomDuration(200*time.Millisecond, 5*time.Second)
	impairment := [...]Impairment{
		{DropToServer: true, DropFromServer: true}, {DropFromServer: true}, {DropToServer: true}, {Refuse: true}, {Delay: j.randomDuration(50*time.Millisecond, 400*time.Millisecond)},
	}[j.rng.IntN(5)]
	j.mu.Lock()
	p := j.proxies[name]
	j.mu.Unlock()
	j.recordFault("%s%s is impaired by %+v for %s", what, name, impairment, length)
	end := p.Impair(impairment)
	if impairment.Refuse {
		p.Reset(j.rng.Float64(), j.rng)
	}
	j.endLater(length, end)
}

// addFaultShare adds a random value to the shares of one kind for a random time.
func (j *injector) addFaultShare(shares *overlay[float64], what string) {
	length, fraction := j.randomDuration(200*time.Millisecond, 4*time.Second), 0.6*j.rng.Float64()
	j.recordFault("%.2f of the %s for %s", fraction, what, length)
	j.endLater(length, shares.add(fraction))
}
