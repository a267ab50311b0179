package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Bounds from the settings.
const (
	earlyLimit  = 250 * time.Millisecond
	cancelLimit = 3 * time.Second

	// crashAge is how long after a start the worker crashes, and downTime how long it is
	// down then.
	crashAge = 250 * time.Millisecond
	downTime = time.Second
)

// deploy starts a small deployment.
func deploy(w *world, machines, instances int) error {
	w.putConfig(3)
	for range machines {
		if _, err := w.addMachine(16000); err != nil {
			return err
		}
	}
	if err := w.addInstances(instances); err != nil {
		return err
	}
	return w.waitReady(30 * time.Second)
}

// early submits jobs with times. With trouble their times have fractions of a second, else
// they are whole seconds.
func early(w *world, trouble bool) (string, error) {
	if err := deploy(w, 6, 3); err != nil {
		return "", err
	}
	first := time.Now().Truncate(time.Second).Add(4 * time.Second)
	if trouble {
		first = first.Add(900 * time.Millisecond)
	}
	const interval, times = 2 * time.Second, 3
	job := "00000000000000e1"
	body := shortJob(2, 1000, 300)
	body["times"], body["startMs"], body["intervalMs"] = times, first.UnixMilli(), interval.Milliseconds()
	if status := w.submit(w.instances[1], job, body); status != http.StatusOK {
		return "", fmt.Errorf("not accepted: %d", status)
	}
	w.record.printf("occurrence 0 is due at %s", first.Format("15:04:05.000"))
	time.Sleep(time.Until(first.Add((times-1)*interval + 2*time.Second)))
	broken := ""
	seen := map[string]bool{}
	for _, s := range w.startsOf(job) {
		var k, step, index int
		if _, err := fmt.Sscanf(strings.TrimPrefix(s.task, job+"."), "%d.%d.%d", &k, &step, &index); err != nil {
			return "", err
		}
		seen[s.task] = true
		due := first.Add(time.Duration(k) * interval)
		w.record.printf("%s started %s after its time", s.task, s.at.Sub(due).Round(time.Millisecond))
		if s.at.Before(due.Add(-earlyLimit)) {
			broken = fmt.Sprintf("ORDER: %s started %s before its time", s.task, due.Sub(s.at).Round(time.Millisecond))
		}
	}
	if len(seen) != 2*times {
		return broken, fmt.Errorf("%d of %d tasks started", len(seen), 2*times)
	}
	return broken, nil
}

// unsaid cancels a job that was answered with 504. With trouble the store answers neither
// of the writes that hand the job in, and carries them out late.
func unsaid(w *world, trouble bool) (string, error) {
	job := "00000000000000c1"
	if err := deploy(w, 6, 3); err != nil {
		return "", err
	}
	const delay = 5500 * time.Millisecond
	w.store.fateOf = func(t transaction) fate {
		for _, x := range t.Writes {
			if strings.Contains(x.Key, job) && trouble {
				w.record.printf("store: a write of %s gets no answer and is carried out in %s", x.Key, delay)
				return fate{true, delay}
			}
		}
		return fate{}
	}
	status := w.submit(w.instances[1], job, shortJob(2, 1000, 1000))
	deleted, _ := w.call(w.instances[1], http.MethodDelete, routePrefix+job, nil)
	acked := time.Now()
	w.record.printf("POST %d, DELETE %d", status, deleted)
	time.Sleep(10 * time.Second)
	for _, i := range w.instances {
		w.state(i, job)
	}
	if deleted != http.StatusOK && deleted != http.StatusGone {
		return "", fmt.Errorf("the cancelling was not acknowledged: %d", deleted)
	}
	for _, s := range w.startsOf(job) {
		if s.at.After(acked.Add(cancelLimit)) {
			return fmt.Sprintf("UNASKED: %s started %s after the cancelling was acknowledged with %d", s.task, s.at.Sub(acked).Round(time.Millisecond), deleted), nil
		}
	}
	return "", nil
}

// loop runs a job with one task that lasts and that only one of eight workers may run. With
// trouble that worker crashes three times.
func loop(w *world, trouble bool) (string, error) {
	job := "00000000000000d1"
	if err := deploy(w, 8, 3); err != nil {
		return "", err
	}
	only := w.machines[7]
	var crashes atomic.Int32
	only.onStart = func(_ *worker, _ *run) {
		if !trouble || crashes.Load() == 3 {
			return
		}
		crashes.Add(1)
		time.Sleep(crashAge)
		only.crash()
		time.Sleep(downTime)
		if err := only.up(); err != nil {
			w.record.printf("worker not restarted: %v", err)
		}
	}
	body := map[string]any{"spec": "watch", "phases": []any{map[string]any{
		"count": 1, "cpu": 1000, "memMb": 256, "longRunning": true, "estimateMs": 1000, "requiredLabel": only.rack,
	}}}
	if status := w.submit(w.instances[1], job, body); status != http.StatusOK {
		return "", fmt.Errorf("not accepted: %d", status)
	}
	// By then the crashes are over for long, and the worker is idle.
	time.Sleep(30 * time.Second)
	state := ""
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until) && state == ""; time.Sleep(300 * time.Millisecond) {
		state = w.state(w.instances[0], job)
	}
	starts, failed := w.startsOf(job), 0
	for _, e := range w.endsOf(job) {
		if e.how == "failed" {
			failed++
		}
	}
	w.record.printf("state %s, %d starts, %d runs ended failed, %d crashes", state, len(starts), failed, crashes.Load())
	// The same work under another id tells whether it can be done.
	again := "00000000000000d2"
	if status := w.submit(w.instances[1], again, body); status != http.StatusOK {
		return "", fmt.Errorf("not accepted: %d", status)
	}
	time.Sleep(8 * time.Second)
	runs := w.state(w.instances[0], again) == "running" && len(w.startsOf(again)) == 1
	switch {
	case !runs:
		return "", errors.New("the same work under another id doesn't run")
	case state == "failed" && failed == 0:
		return "LOST: a job that lasts is shown as failed, and none of its runs has ended failed; the same work under another id runs", nil
	case state != "running":
		return "", fmt.Errorf("state %q", state)
	}
	return "", nil
}

// stranded hands in jobs whose last step only workers of one kind may run, ten of 90. With
// trouble nine of these are lost for good before.
func stranded(w *world, trouble bool) (string, error) {
	const kind, kindCount, jobs = "b", 10, 12
	for n := range kindCount {
		w.kindOf[9*n+4] = kind
	}
	if err := deploy(w, 90, 3); err != nil {
		return "", err
	}
	if trouble {
		for n := range kindCount - 1 {
			w.machines[9*n+4].crash()
		}
	}
	// The disruption is over for longer than the stable window when the jobs come.
	time.Sleep(10 * time.Second)
	var ids []string
	for n := range jobs {
		id := fmt.Sprintf("000000000000bb%02x", n)
		if status := w.submit(w.instances[0], id, map[string]any{"spec": "ms=300", "phases": []any{
			map[string]any{"count": 40, "cpu": 4000, "memMb": 256, "estimateMs": 300},
			map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 300, "after": []int{0}, "requiredLabel": kind},
		}}); status != http.StatusOK {
			return "", fmt.Errorf("not accepted: %d", status)
		}
		ids = append(ids, id)
	}
	time.Sleep(40 * time.Second)
	var waiting []string
	for _, id := range ids {
		state := w.state(w.instances[0], id)
		ended, begun := 0, false
		for _, e := range w.endsOf(id) {
			if e.how == "done" {
				ended++
			}
		}
		for _, s := range w.startsOf(id) {
			begun = begun || s.task == id+".0.1.0"
		}
		if ended >= 40 && !begun {
			waiting = append(waiting, id+" "+state)
		}
	}
	if len(waiting) > 0 {
		return fmt.Sprintf("LOST: the last task of %d of %d accepted jobs has not started for over 30 s, while an idle worker may run it: %v", len(waiting), jobs, waiting), nil
	}
	return "", nil
}
