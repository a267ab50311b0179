package experimenter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

const (
	// reportInterval is the interval between reports, in seconds. It equals the
	// interval at which daemons renew leases.
	reportInterval = 3
	// measurementAge is how old a measurement is when it is reported, in
	// seconds.
	measurementAge = 6
	// checkpointDuration is how long it takes to write a checkpoint, in seconds.
	checkpointDuration = 3
	// failureDelay is how long an attempt that can't run takes to fail, in
	// seconds.
	failureDelay = 2
	// memoryPeakShare is the share of its run time after which a batch task
	// reaches its peak memory usage.
	memoryPeakShare = 0.3
	// slowdownNoise is the relative standard deviation of a measured slowdown.
	slowdownNoise = 0.05
)

// attempt is a running attempt on a machine.
type attempt struct {
	start   scheduler.StartTask
	kind    int
	truth   taskModel
	started int
	// done is the work done, in seconds of running alone.
	done float64
	// share is the share of its reserved CPU that the attempt may use.
	share float64
	// runner is set for the runners of services.
	runner *runner
	// checkpointAt is the second at which a checkpoint is complete, or 0 if none
	// was requested.
	checkpointAt int
	samples      []sample
}

// sample is a measurement of an attempt in one second.
type sample struct {
	at            int
	cores, memory float64
	// executed is the part of the attempt's CPU demand that throttling leaves.
	slowdown, load, executed float64
}

// machine simulates a worker.
type machine struct {
	id, rack string
	capacity declarer.Resources
	// reportOffset spreads the reports of the machines over the interval.
	reportOffset int
	// isUp is false while the machine is stopped, and isHealthy while it fails
	// every task.
	isUp, isHealthy bool
	running         []*attempt
	ended           []scheduler.EndedAttempt
}

func (m *machine) find(task scheduler.TaskID, number uint64) *attempt {
	for _, a := range m.running {
		if a.start.Task == task && a.start.Attempt == number {
			return a
		}
	}
	return nil
}

func (m *machine) endAttempt(a *attempt, outcome scheduler.Outcome, checkpoint, reason string) {
	m.running = slices.DeleteFunc(m.running, func(o *attempt) bool { return o == a })
	m.ended = append(m.ended, scheduler.EndedAttempt{Task: a.start.Task, Attempt: a.start.Attempt, Outcome: outcome, Checkpoint: checkpoint, Reason: reason})
}

// currentUsage returns the cores and the memory in MB that an attempt would use
// now if the machine had enough cores.
func (a *attempt) currentUsage() (cores, memory float64) {
	switch a.start.Class {
	case declarer.ClassService:
		// The CPU usage of a runner is proportional to its load, above a tenth of
		// its peak when idle.
		return a.truth.cores * (0.1 + 0.9*a.runner.load), a.truth.memory
	case declarer.ClassWatcher:
		return a.truth.cores, a.truth.memory
	}
	cores = a.truth.cores
	if limit := a.share * float64(a.start.Reserved.MilliCPU) / 1000; a.share < 1 {
		cores = min(cores, limit)
	}
	return cores, a.truth.memory * min(1, 0.2+0.8*a.done/(memoryPeakShare*a.truth.soloTime))
}

// advance simulates one second of the machine.
func (m *machine) advance(f *fleet, now int, isMeasured bool) {
	if !m.isUp {
		return
	}
	total := float64(m.capacity.MilliCPU) / 1000
	usage := make([]float64, len(f.truth.kinds))
	demanded := 0.0
	for _, a := range m.running {
		cores, _ := a.currentUsage()
		demanded += cores
	}
	contention := max(1, demanded/total)
	for _, a := range m.running {
		cores, _ := a.currentUsage()
		usage[a.kind] += cores / contention / total
	}
	for _, a := range slices.Clone(m.running) {
		m.advanceAttempt(f, a, now, isMeasured, usage, contention, total)
	}
	m.killOverMemory(f)
}

func (m *machine) advanceAttempt(f *fleet, a *attempt, now int, isMeasured bool, usage []float64, contention, total float64) {
	cores, memory := a.currentUsage()
	cores /= contention
	// A task doesn't interfere with itself.
	usage[a.kind] -= cores / total
	isService := a.start.Class == declarer.ClassService
	s := sample{at: now, cores: cores, memory: memory, executed: 1}
	if isService {
		s.load = a.runner.load
	}
	s.slowdown = contention * f.truth.slowdown(a.kind, usage, isService, s.load)
	usage[a.kind] += cores / total
	switch {
	case isService:
		a.runner.serve(f.rand, float64(now), 1, f.requestRate, s.slowdown, func(seconds float64) { f.recordRequest(seconds, isMeasured) })
	case a.start.Class == declarer.ClassBatch:
		s.executed = cores * contention / a.truth.cores
		a.done += s.executed / s.slowdown
	}
	a.samples = append(a.samples, s)
	if len(a.samples) > 2*(measurementAge+reportInterval) {
		a.samples = slices.Delete(a.samples, 0, measurementAge+reportInterval)
	}
	m.endIfDue(f, a, now, isMeasured)
}

// endIfDue ends an attempt that is complete, has written its checkpoint or can't
// run on this machine.
func (m *machine) endIfDue(f *fleet, a *attempt, now int, isMeasured bool) {
	if (!m.isHealthy || a.start.Kind == brokenKind) && now-a.started >= failureDelay {
		m.endAttempt(a, scheduler.OutcomeFailed, "", "exit status 1")
		return
	}
	if a.start.Class != declarer.ClassBatch {
		return
	}
	switch {
	case a.done >= a.truth.soloTime:
		f.recordCompletion(a, now, isMeasured)
		m.endAttempt(a, scheduler.OutcomeCompleted, "", "")
	case a.checkpointAt > 0 && now >= a.checkpointAt:
		name := fmt.Sprintf("%s/%d", a.start.Task, a.start.Attempt)
		f.checkpoints[name] = a.done
		m.endAttempt(a, scheduler.OutcomeCheckpointed, name, "")
	}
}

// killOverMemory ends batch attempts while the tasks use more memory than the
// machine has. Those that exceed their reservation the most are ended first.
func (m *machine) killOverMemory(f *fleet) {
	for {
		used, excess := 0.0, 0.0
		var victim *attempt
		for _, a := range m.running {
			_, memory := a.currentUsage()
			used += memory
			if over := memory - float64(a.start.Reserved.MemoryMB); a.start.Class == declarer.ClassBatch && (victim == nil || over > excess) {
				victim, excess = a, over
			}
		}
		if used <= float64(m.capacity.MemoryMB) || victim == nil {
			return
		}
		f.killed++
		m.endAttempt(victim, scheduler.OutcomeFailed, victim.start.Checkpoint, "out of memory")
	}
}

// report returns the worker's report. The measurements in it are measurementAge
// seconds old; ended attempts are reported immediately.
func (m *machine) report(f *fleet, now int) scheduler.WorkerReport {
	r := scheduler.WorkerReport{Worker: m.id, MeasuredAt: f.time(now - measurementAge), RequestedAt: f.time(now), Ended: m.ended}
	m.ended = nil
	for _, a := range m.running {
		s := scheduler.RunningAttempt{Task: a.start.Task, Attempt: a.start.Attempt}
		count, executed, slowdown := 0.0, 0.0, 0.0
		for _, x := range a.samples {
			if x.at <= now-measurementAge && x.at > now-measurementAge-reportInterval {
				count++
				s.Usage.MilliCPU = max(s.Usage.MilliCPU, int64(1000*x.cores))
				s.Usage.MemoryMB = max(s.Usage.MemoryMB, int64(x.memory))
				s.Load += x.load
				slowdown += x.slowdown
				executed += x.executed
			}
		}
		// A measurement is valid only if the attempt ran for the whole interval.
		if count == reportInterval {
			s.Load /= count
			s.Slowdown = slowdown / executed * lognormal(f.rand, slowdownNoise)
		} else {
			s.Usage, s.Load = declarer.Resources{}, 0
		}
		r.Running = append(r.Running, s)
	}
	return r
}

// start executes a start command.
func (m *machine) start(f *fleet, s scheduler.StartTask, r *rand.Rand, now int) {
	kind := f.truth.index[s.Kind]
	// Task ids are "job/ID/N", "service/NAME/DOMAIN/N" and "watcher/NAME".
	declared := f.declared[strings.Split(string(s.Task), "/")[1]]
	a := &attempt{start: s, kind: kind, started: now, share: 1, done: f.checkpoints[s.Checkpoint]}
	a.truth = f.truth.task(string(s.Task), kind, declared, s.RunTime, f.seed)
	if s.Class == declarer.ClassService {
		a.runner = &runner{load: r.Float64() * 0.1}
	}
	m.running = append(m.running, a)
	f.checkCapacity(m, s.Task)
}
