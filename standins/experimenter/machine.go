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
	// reportEvery is the renewal interval of the design, in seconds.
	reportEvery = 3
	// reportLag is how old a measurement is when it is reported, in seconds.
	reportLag = 6
	// checkpointTime is how long writing a checkpoint takes, in seconds.
	checkpointTime = 3
	// failureTime is after how long an attempt that can't run fails.
	failureTime = 2
	// memoryRamp is the share of its run after which a task has reached its
	// peak of memory.
	memoryRamp = 0.3
	// measureNoise is the relative deviation of a measured slowdown.
	measureNoise = 0.05
)

// attempt is a running attempt on a machine.
type attempt struct {
	start   scheduler.StartTask
	kind    int
	truth   trueTask
	started int
	// done is the progress in seconds of running alone.
	done  float64
	share float64
	queue *runner
	// checkpointAt is when a checkpoint is complete, 0 for none asked for.
	checkpointAt int
	samples      []sample
}

// sample is what one step showed of an attempt.
type sample struct {
	at                       int
	cores, memory            float64
	slowdown, load, executed float64
}

// machine is the fake of one worker.
type machine struct {
	id, rack string
	capacity declarer.Resources
	offset   int
	// up and working are false while the machine is away or fails everything.
	up, working bool
	running     []*attempt
	ended       []scheduler.EndedAttempt
}

func (m *machine) find(task scheduler.TaskID, number uint64) *attempt {
	for _, a := range m.running {
		if a.start.Task == task && a.start.Attempt == number {
			return a
		}
	}
	return nil
}

func (m *machine) end(a *attempt, outcome scheduler.Outcome, checkpoint, reason string) {
	m.running = slices.DeleteFunc(m.running, func(o *attempt) bool { return o == a })
	m.ended = append(m.ended, scheduler.EndedAttempt{Task: a.start.Task, Attempt: a.start.Attempt, Outcome: outcome, Checkpoint: checkpoint, Reason: reason})
}

// wants returns the cores and the memory that an attempt would use now.
func (a *attempt) wants() (cores, memory float64) {
	switch a.start.Class {
	case declarer.ClassService:
		// A runner's processors follow its load, with a tenth at rest.
		return a.truth.processors * (0.1 + 0.9*a.queue.busy), a.truth.memory
	case declarer.ClassWatcher:
		return a.truth.processors, a.truth.memory
	}
	cores = a.truth.processors
	if limit := a.share * float64(a.start.Reserved.MilliCPU) / 1000; a.share < 1 {
		cores = min(cores, limit)
	}
	return cores, a.truth.memory * min(1, 0.2+0.8*a.done/(memoryRamp*a.truth.alone))
}

// step runs one second.
func (m *machine) step(f *fleet, now int, measured bool) {
	if !m.up {
		return
	}
	total := float64(m.capacity.MilliCPU) / 1000
	use := make([]float64, len(f.truth.kinds))
	wanted := 0.0
	for _, a := range m.running {
		cores, _ := a.wants()
		wanted += cores
	}
	contention := max(1, wanted/total)
	for _, a := range m.running {
		cores, _ := a.wants()
		use[a.kind] += cores / contention / total
	}
	for _, a := range slices.Clone(m.running) {
		m.stepAttempt(f, a, now, measured, use, contention, total)
	}
	m.killOverMemory(f)
}

func (m *machine) stepAttempt(f *fleet, a *attempt, now int, measured bool, use []float64, contention, total float64) {
	cores, memory := a.wants()
	cores /= contention
	// A task doesn't interfere with itself.
	use[a.kind] -= cores / total
	isService := a.start.Class == declarer.ClassService
	s := sample{at: now, cores: cores, memory: memory, executed: 1}
	if isService {
		s.load = a.queue.busy
	}
	s.slowdown = contention * f.truth.slowdown(a.kind, use, isService, s.load)
	use[a.kind] += cores / total
	switch {
	case isService:
		a.queue.serve(f.rand, float64(now), 1, f.rate, s.slowdown, func(seconds float64) { f.record(seconds, measured) })
	case a.start.Class == declarer.ClassBatch:
		s.executed = cores * contention / a.truth.processors
		a.done += s.executed / s.slowdown
	}
	a.samples = append(a.samples, s)
	if len(a.samples) > 2*(reportLag+reportEvery) {
		a.samples = slices.Delete(a.samples, 0, reportLag+reportEvery)
	}
	m.finish(f, a, now, measured)
}

// finish ends an attempt that is complete, has written its checkpoint or can't
// run.
func (m *machine) finish(f *fleet, a *attempt, now int, measured bool) {
	if (!m.working || a.start.Kind == brokenKind) && now-a.started >= failureTime {
		m.end(a, scheduler.OutcomeFailed, "", "exit status 1")
		return
	}
	if a.start.Class != declarer.ClassBatch {
		return
	}
	switch {
	case a.done >= a.truth.alone:
		f.complete(a, now, measured)
		m.end(a, scheduler.OutcomeCompleted, "", "")
	case a.checkpointAt > 0 && now >= a.checkpointAt:
		name := fmt.Sprintf("%s/%d", a.start.Task, a.start.Attempt)
		f.checkpoints[name] = a.done
		m.end(a, scheduler.OutcomeCheckpointed, name, "")
	}
}

// killOverMemory ends the batch attempt that is the most above its
// reservation while the machine has less memory than its tasks use.
func (m *machine) killOverMemory(f *fleet) {
	for {
		used, excess := 0.0, 0.0
		var victim *attempt
		for _, a := range m.running {
			_, memory := a.wants()
			used += memory
			if over := memory - float64(a.start.Reserved.MemoryMB); a.start.Class == declarer.ClassBatch && (victim == nil || over > excess) {
				victim, excess = a, over
			}
		}
		if used <= float64(m.capacity.MemoryMB) || victim == nil {
			return
		}
		f.killed++
		m.end(victim, scheduler.OutcomeFailed, victim.start.Checkpoint, "out of memory")
	}
}

// report is what the worker tells at a time: measurements are old, ends are
// not.
func (m *machine) report(f *fleet, now int) scheduler.WorkerReport {
	r := scheduler.WorkerReport{Worker: m.id, MeasuredAt: f.time(now - reportLag), RequestedAt: f.time(now), Ended: m.ended}
	m.ended = nil
	for _, a := range m.running {
		s := scheduler.RunningAttempt{Task: a.start.Task, Attempt: a.start.Attempt}
		n, executed, slowdown := 0.0, 0.0, 0.0
		for _, x := range a.samples {
			if x.at <= now-reportLag && x.at > now-reportLag-reportEvery {
				n++
				s.Usage.MilliCPU = max(s.Usage.MilliCPU, int64(1000*x.cores))
				s.Usage.MemoryMB = max(s.Usage.MemoryMB, int64(x.memory))
				s.Load += x.load
				slowdown += x.slowdown
				executed += x.executed
			}
		}
		// A window counts only if the attempt ran in all of it.
		if n == reportEvery {
			s.Load /= n
			s.Slowdown = slowdown / executed * lognormal(f.rand, measureNoise)
		} else {
			s.Usage, s.Load = declarer.Resources{}, 0
		}
		r.Running = append(r.Running, s)
	}
	return r
}

// startOn carries out a start command.
func (m *machine) startOn(f *fleet, s scheduler.StartTask, r *rand.Rand, now int) {
	kind := f.truth.index[s.Kind]
	// Task ids are "job/ID/N", "service/NAME/DOMAIN/N" and "watcher/NAME".
	declared := f.declared[strings.Split(string(s.Task), "/")[1]]
	a := &attempt{start: s, kind: kind, started: now, share: 1, done: f.checkpoints[s.Checkpoint]}
	a.truth = f.truth.task(string(s.Task), kind, declared, s.RunTime, f.seed)
	if s.Class == declarer.ClassService {
		a.queue = &runner{busy: r.Float64() * 0.1}
	}
	m.running = append(m.running, a)
	f.checkCapacity(m, s.Task)
}
