package main

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of the rules.
const (
	visible    = 3 * time.Second
	ackTime    = 4 * time.Second
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

const smallJob = `{"spec":"{\"workMs\":500}","phases":[{"count":2,"cpu":500,"memMb":64,"estimateMs":500}]}`

// submitSmall hands in small submissions and returns the ids of those that were accepted.
func (b *bed) submitSmall(count, from int) []string {
	var ids []string
	for n := range count {
		id := fmt.Sprintf("%016x", from+n)
		if b.submit(n, quick+id, smallJob, 4) {
			ids = append(ids, id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ids
}

func (b *bed) hasStarted(id string) bool { return len(b.recorded("run "+id+".", "started")) > 0 }

// fill waits until the growing submission has filled what the store keeps of it, which
// shows as transactions that the store refuses, or for the time that it would take.
func (b *bed) fill(hasTrouble bool, until time.Duration) {
	for time.Since(b.began) < until {
		time.Sleep(2 * time.Second)
		b.store.mu.Lock()
		largest, refusals := b.store.largest, b.store.refusals
		b.store.mu.Unlock()
		b.note("store: largest value %d bytes, %d transactions refused for a value above %d", largest, refusals, valueBytes)
		if !hasTrouble && time.Since(b.began) > until/2 || refusals > 0 {
			return
		}
	}
}

// cancel cancels three submissions and returns how many of the cancels had no 2xx or 410
// for ackMs.
func (b *bed) cancel(ids []string) int {
	var all sync.WaitGroup
	var unanswered atomic.Int32
	for n, id := range ids {
		all.Go(func() {
			for until := time.Now().Add(ackTime); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
				f := b.fronts[n%len(b.fronts)]
				status, _ := b.call(f, "DELETE", quick+id, "", time.Until(until))
				b.note("requester: DELETE %s%s at %s: %d", quick, id, f.name, status)
				if status/100 == 2 || status == 410 {
					return
				}
			}
			unanswered.Add(1)
		})
	}
	all.Wait()
	return int(unanswered.Load())
}

// judgeLost hands in small submissions, ends the traffic, and checks the rule LOST: after
// finish_s, a submission for which there is room has nothing running for three seconds.
func (b *bed) judgeLost(wait time.Duration) (outcome, string) {
	const count = 9
	time.Sleep(wait)
	ids := b.submitSmall(count, 0xa000)
	if len(ids) < count {
		return notRun, fmt.Sprintf("only %d of %d small submissions were accepted", len(ids), count)
	}
	b.note("requester: the traffic ends")
	time.Sleep(finishTime + idleTime)
	unfinished, idle := 0, 0
	for n, id := range ids {
		if _, state := b.state(n, quick+id); state != "done" {
			unfinished++
			if !b.hasStarted(id) {
				idle++
			}
		}
	}
	text := fmt.Sprintf("%.0f s after the end of the traffic %d of %d small submissions are not done, and %d of these have never started", (finishTime + idleTime).Seconds(), unfinished, count, idle)
	text += fmt.Sprintf("; %d of 3 cancels had no 2xx or 410 for %s", b.cancel(ids[:3]), ackTime)
	if idle > 0 {
		return broken, text
	}
	return held, text
}

// judgeAcks hands in small submissions, and checks the rule on acks: cancels of accepted
// submissions have no 2xx or 410 after ackMs.
func (b *bed) judgeAcks() (outcome, string) {
	const count = 9
	ids := b.submitSmall(count, 0xa000)
	if len(ids) < count {
		return notRun, fmt.Sprintf("only %d of %d small submissions were accepted", len(ids), count)
	}
	time.Sleep(4 * time.Second)
	unfinished := 0
	for n, id := range ids {
		if _, state := b.state(n, quick+id); state != "done" {
			unfinished++
		}
	}
	unanswered := b.cancel(ids[:3])
	text := fmt.Sprintf("%d of 3 cancels had no 2xx or 410 for %s; %d of %d small submissions were not done after 4 s", unanswered, ackTime, unfinished, count)
	if unanswered == 3 {
		return broken, text
	}
	return held, text
}

// schedule: a submission runs many times.
func schedule(b *bed, hasTrouble bool) (outcome, string) {
	times := 100000
	if !hasTrouble {
		times = 5000
	}
	body := fmt.Sprintf(`{"spec":"{\"workMs\":1,\"many\":true}","times":%d,"startMs":%d,"intervalMs":1,"phases":[{"count":1,"cpu":10,"memMb":5,"estimateMs":10}]}`, times, time.Now().UnixMilli())
	if !b.submit(0, batch+"00000000000000e1", body, 5) {
		return notRun, "the submission was not accepted"
	}
	b.fill(hasTrouble, 90*time.Second)
	return b.judgeLost(18 * time.Second)
}

// failures: the tasks of a submission last, and fail again and again.
func failures(b *bed, hasTrouble bool) (outcome, string) {
	spec := `{\"lasts\":true,\"many\":true}`
	if hasTrouble {
		spec = `{\"lasts\":true,\"many\":true,\"fails\":true,\"workMs\":1}`
	}
	body := `{"spec":"` + spec + `","phases":[{"count":3000,"cpu":2,"memMb":2,"estimateMs":500,"longRunning":true}]}`
	if !b.submit(0, watch+"00000000000000d1", body, 5) {
		return notRun, "the submission was not accepted"
	}
	b.fill(hasTrouble, 98*time.Second)
	time.Sleep(2 * time.Second)
	return b.judgeAcks()
}

// slowBurst: large submissions come at once while the store is slow.
func slowBurst(b *bed, hasTrouble bool) (outcome, string) {
	const large, steps, slow = 18, 3600, 240 * time.Millisecond
	var body strings.Builder
	body.WriteString(`{"spec":"{\"workMs\":1000}","phases":[{"count":1,"cpu":100,"memMb":64,"estimateMs":1000}`)
	for n := range steps - 1 {
		fmt.Fprintf(&body, `,{"count":1,"cpu":100,"memMb":64,"estimateMs":1000,"after":[%d]}`, n)
	}
	body.WriteString(`]}`)
	if hasTrouble {
		b.setDelay(slow)
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	var all sync.WaitGroup
	for n := range large {
		all.Go(func() { b.submit(n, fmt.Sprintf("%s%016x", batch, 0xb000+n), body.String(), 6) })
	}
	all.Wait()
	time.Sleep(time.Until(began.Add(4500 * time.Millisecond)))
	if hasTrouble {
		b.setDelay(0)
	}
	// The store has been sound for stableWindowMs when the small submissions come.
	time.Sleep(3 * time.Second)
	ids := b.submitSmall(8, 0xa000)
	time.Sleep(visible + 2*time.Second + 200*time.Millisecond)
	var unstarted []string
	for _, id := range ids {
		if !b.hasStarted(id) {
			unstarted = append(unstarted, id)
		}
	}
	least := 1 << 30
	for _, f := range b.fronts {
		status, out := b.call(f, "GET", quick, "", 3*time.Second)
		b.note("requester: GET %s at %s: %d %v; %d submissions were accepted over %s before and have no run", quick, f.name, status, out, len(unstarted), visible+2*time.Second)
		if n, ok := out["pending"].(float64); ok && status == 200 {
			least = min(least, int(n))
		}
	}
	text := fmt.Sprintf("%d of %d small submissions have not begun, and an instance counts %d pending", len(unstarted), len(ids), least)
	switch {
	case len(ids) < 8 || least == 1<<30:
		return notRun, text
	case 2*least < len(unstarted):
		return broken, text
	}
	return held, text
}

// sick: one in twenty of the submissions whose tasks last can never be done: their tasks
// fail soon after each start. Sound submissions still have to start.
func sick(b *bed, hasTrouble bool) (outcome, string) {
	const poisoned, sound = 4, 80
	submit := func(n int, spec string, count, cpu int) bool {
		body := fmt.Sprintf(`{"spec":%q,"phases":[{"count":%d,"cpu":%d,"memMb":200,"estimateMs":500,"longRunning":true}]}`, spec, count, cpu)
		return b.submit(n, fmt.Sprintf("%s%016x", watch, 0xd100+n), body, 5)
	}
	for n := range poisoned + sound {
		spec := `{"lasts":true}`
		if hasTrouble && n%(1+sound/poisoned) == 0 {
			spec = `{"lasts":true,"many":true,"fails":true,"workMs":200}`
		}
		if !submit(n, spec, 6, 100) {
			return notRun, "a submission was not accepted"
		}
		time.Sleep(20 * time.Millisecond)
	}
	// Nothing else is handed in for a while.
	time.Sleep(60 * time.Second)
	return b.judgeLost(0)
}

// late: half of the starts are carried out late for a while, and runners crash and are back
// under the ids that they had. No task may run twice.
func late(b *bed, hasTrouble bool) (outcome, string) {
	const jobs, width = 40, 8
	var all sync.WaitGroup
	if hasTrouble {
		b.proxy.setShare(0.5)
	}
	began := time.Now()
	for n := range jobs {
		body := fmt.Sprintf(`{"spec":"{\"workMs\":6000}","phases":[{"count":%d,"cpu":1000,"memMb":200,"estimateMs":6000}]}`, width)
		all.Go(func() { b.submit(n, fmt.Sprintf("%s%016x", batch, 0xf100+n), body, 5) })
		time.Sleep(120 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(time.Until(began.Add(5500 * time.Millisecond)))
	if hasTrouble {
		b.proxy.setShare(0)
	}
	for n := range 6 {
		for _, place := range []string{fmt.Sprintf("%02d", 2*n), fmt.Sprintf("%02d", 2*n+1)} {
			h := b.runners[place]
			if !hasTrouble {
				continue
			}
			b.note("trouble: runner %s, life %d crashes", h.id, h.lives)
			kill(h.command)
			all.Go(func() {
				time.Sleep(300 * time.Millisecond)
				_ = b.restartRunner(h)
			})
		}
		time.Sleep(time.Second)
	}
	all.Wait()
	time.Sleep(25 * time.Second)
	done := 0
	for n := range jobs {
		if _, state := b.state(n, fmt.Sprintf("%s%016x", batch, 0xf100+n)); state == "done" {
			done++
		}
	}
	twice := b.twice()
	for _, t := range twice {
		b.note("case: %s", t)
	}
	text := fmt.Sprintf("%d tasks ran twice; %d of %d submissions are done", len(twice), done, jobs)
	if len(twice) > 0 {
		return broken, text + "; first " + twice[0]
	}
	return held, text
}

// twice returns the tasks that ran twice: at the same time on runners that are up, or after an
// end done that was taken note of.
func (b *bed) twice() []string {
	type place struct{ runner, attempt string }
	running, noted := map[string]map[place]string{}, map[string]string{}
	var list []string
	pattern := regexp.MustCompile(`^(\S+) (?:runner|trouble: runner) ([^:]+?)(?:: run (\S+)/(\d+) (started|ended)|: end of (\S+)/(\d+) taken note of| (crashes))`)
	for _, line := range b.recorded("runner ") {
		m := pattern.FindStringSubmatch(line)
		switch {
		case m == nil:
		case m[8] != "":
			for _, all := range running {
				for p := range all {
					if p.runner == m[2] {
						delete(all, p)
					}
				}
			}
		case m[6] != "":
			noted[m[6]] = line
		case m[5] == "ended":
			delete(running[m[3]], place{m[2], m[4]})
		default:
			task := m[3]
			for p, began := range running[task] {
				list = append(list, fmt.Sprintf("%s started on %s, attempt %s, at %s while attempt %s runs on %s since %s", task, m[2], m[4], m[1], p.attempt, p.runner, began))
			}
			if end := noted[task]; end != "" {
				list = append(list, fmt.Sprintf("%s started on %s, attempt %s, at %s after %q", task, m[2], m[4], m[1], end))
			}
			if running[task] == nil {
				running[task] = map[place]string{}
			}
			running[task][place{m[2], m[4]}] = m[1]
		}
	}
	return list
}
