// Command converge measures how long accepted configuration changes take until
// they are in force on every daemon, under store faults and restarts of daemons.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/standins/launcher"
)

type settings struct {
	workload string
	daemons  int
	changes  int
	seed     uint64
	noPeers  bool
}

func main() {
	var s settings
	app := kingpin.New("converge", "Measures how long configuration changes take to be in force on every daemon.")
	app.Flag("workload", "Workload file.").Default("workloads/tricahue.yaml").ExistingFileVar(&s.workload)
	app.Flag("daemons", "Daemons a domain, 3 or more.").Default("3").IntVar(&s.daemons)
	app.Flag("changes", "Changes to make, 1 or more.").Default("200").IntVar(&s.changes)
	app.Flag("seed", "Seed of the order of daemons, changes and faults.").Default("1").Uint64Var(&s.seed)
	app.Flag("no-peers", "Start the daemons without peers in their settings.").BoolVar(&s.noPeers)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "converge failed:", err)
		os.Exit(1)
	}
}

// bench holds a running system and the measurements of it.
type bench struct {
	settings
	system   *launcher.System
	proxies  map[string]*proxy
	watchers []*watcher
	rand     *rand.Rand
	report   *report
	// workloadText is the workload file's content.
	workloadText []byte
	// revision is the revision of the last accepted change.
	revision uint64
}

func run(s settings) error {
	if s.daemons < 3 || s.changes < 1 {
		return errors.Errorf("--daemons: got %d, want 3 or more; --changes: got %d, want 1 or more", s.daemons, s.changes)
	}
	text, err := os.ReadFile(s.workload)
	if err != nil {
		return err
	}
	w, err := declarer.Parse(text)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "tarragonhead-converge-")
	if err != nil {
		return err
	}
	fmt.Printf("building and logging in %s\n", dir)
	if err := launcher.Build(dir); err != nil {
		return err
	}
	b := &bench{settings: s, proxies: map[string]*proxy{}, rand: rand.New(rand.NewPCG(s.seed, 0)), report: newReport(), workloadText: text}
	// Only the configuration is measured, so start as few workers as possible.
	for i := range w.Platform.Domains {
		w.Platform.Domains[i].Workers = 1
	}
	b.system, err = launcher.Start(launcher.Options{
		Binaries: dir, Logs: dir, Workload: w, Scale: 0.01, Daemons: s.daemons, TimeScale: 1, NoPeers: s.noPeers,
		StoreFor: func(daemon string, store netip.AddrPort) (netip.AddrPort, error) {
			p, err := newProxy(store, s.seed+uint64(len(b.proxies)))
			if err != nil {
				return netip.AddrPort{}, err
			}
			b.proxies[daemon] = p
			return p.addr, nil
		},
	})
	if err != nil {
		return err
	}
	defer b.system.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, d := range b.system.Daemons {
		w := newWatcher(d)
		b.watchers = append(b.watchers, w)
		go w.run(ctx)
	}
	if err := b.measure(ctx); err != nil {
		return err
	}
	return b.report.print(b)
}

// measure makes the changes one after the other, each under one scenario.
func (b *bench) measure(ctx context.Context) error {
	if err := b.declare(ctx); err != nil {
		return err
	}
	for i := range b.changes {
		s := scenarios[i%len(scenarios)]
		if err := b.change(ctx, i, s); err != nil {
			return errors.Wrapf(err, "change %d, %s", i, s.name)
		}
	}
	return b.startWithoutStore(ctx)
}

// startWithoutStore restarts a daemon while no daemon can reach the store, so that
// it must fetch the configuration from its peers, and measures the time until it
// is ready.
func (b *bench) startWithoutStore(ctx context.Context) error {
	b.setModes(modeDisconnect, func(string) bool { return true })
	defer b.setModes(modePass, func(string) bool { return true })
	d := b.system.Daemons[b.rand.IntN(len(b.system.Daemons))]
	start := time.Now()
	if err := b.system.Restart(d); err != nil {
		return err
	}
	if err := waitReady(ctx, d.Control); err != nil {
		return errors.Wrapf(err, "%s after a restart without the store", d.Name)
	}
	b.report.startupWithoutStore = time.Since(start)
	return nil
}
