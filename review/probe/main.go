// Command probe runs the cases of the review: it starts the project's programs and stand-ins
// of the platform's store, runners and requesters as separate processes, and judges what
// these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// outcome is the result of a case, and the exit status of its process.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	notRun outcome = 2
)

// timeLimit ends a case that takes too long.
const timeLimit = 117 * time.Second

var cases = map[string]func(b *bed, hasTrouble bool) (outcome, string){
	"schedule":  schedule,
	"failures":  failures,
	"late":      late,
	"sick":      sick,
	"slowburst": slowBurst,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		if err := runRunner(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "runner:", err)
			os.Exit(int(notRun))
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE RECORD; TARRAGOND is the path of tarragond, ROOT that of the repository")
		os.Exit(int(notRun))
	}
	os.Exit(int(runCase(os.Args[1], os.Args[2])))
}

func runCase(name, record string) outcome {
	dir, err := os.MkdirTemp("", "probe")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	b, err := newBed(dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer b.stop()
	if name == "late" {
		b.proxy = newProxy(b)
	}
	type result struct {
		outcome outcome
		text    string
	}
	ended := make(chan result, 1)
	hasTrouble := os.Getenv("TROUBLE") != "0"
	go func() {
		if err := b.deploy(); err != nil {
			ended <- result{notRun, err.Error()}
			return
		}
		b.note("case: %s, disruption %t", name, hasTrouble)
		o, text := cases[name](b, hasTrouble)
		ended <- result{o, text}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	r := result{notRun, "ended by a signal"}
	select {
	case r = <-ended:
	case <-time.After(timeLimit):
		r.text = "took too long"
	case <-signals:
	}
	b.note("case: outcome %d: %s", r.outcome, r.text)
	fmt.Printf("%s: outcome %d after %.0f s: %s\n", name, r.outcome, time.Since(b.began).Seconds(), r.text)
	return r.outcome
}

var zones = [...]string{"lampa", "maipu", "graneros"}

// deploy starts six instances in three zones and 15 runners, of which two are of kind b.
func (b *bed) deploy() error {
	b.putConfig(1)
	for n := range 15 {
		kind := "a"
		if n >= 13 {
			kind = "b"
		}
		h := b.addRunner(fmt.Sprintf("%02d", n), zones[n%3], fmt.Sprintf("r%d", n/8), kind)
		if err := b.startRunner(h); err != nil {
			return err
		}
	}
	var seeds []string
	for n := range 6 {
		f := b.addFront(fmt.Sprintf("edge-%s-%d", zones[n%3], n/3+1), zones[n%3], seeds)
		if len(seeds) < 3 {
			seeds = append(seeds, f.control)
		}
		if err := b.startFront(f); err != nil {
			return err
		}
	}
	if !b.waitReady(15 * time.Second) {
		return fmt.Errorf("the instances are not ready")
	}
	// As on the site, traffic starts 10 s after the machines.
	time.Sleep(time.Until(b.began.Add(10 * time.Second)))
	return nil
}
