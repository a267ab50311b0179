// Command capacity measures how the cost of each role grows with the size of
// the system. Its output is the source of docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/standins/launcher"
	"tarragonhead.example/tarragonhead/standins/measurer"
)

// part is one series of measurements.
type part struct {
	name string
	run  func(*measurer.Bench) error
}

var parts = []part{
	{"workers", workers.measure},
	{"daemons", daemons.measure},
	{"starts", starts.measure},
	{"config", config.measure},
	{"requests", requests.measure},
	{"state", func(*measurer.Bench) error { return measureState() }},
}

func main() {
	var only string
	var b measurer.Bench
	names := make([]string, 0, len(parts)+1)
	for _, p := range parts {
		names = append(names, p.name)
	}
	app := kingpin.New("capacity", "Measures the cost of each role at several sizes, with real daemons and stand-ins.")
	app.Flag("only", "Series to run.").Default("all").EnumVar(&only, append(names, "all")...)
	app.Flag("settle", "How long a system runs before it is measured.").Default("8s").DurationVar(&b.Settle)
	app.Flag("window", "How long a system is measured.").Default("15s").DurationVar(&b.Window)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(&b, only); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(b *measurer.Bench, only string) error {
	dir, err := os.MkdirTemp("", "tarragonhead-capacity-")
	if err != nil {
		return err
	}
	b.Binaries, b.Logs = dir, dir
	if err := launcher.Build(dir); err != nil {
		return err
	}
	for _, p := range parts {
		if only != "all" && only != p.name {
			continue
		}
		fmt.Printf("\n## %s\n\n", p.name)
		if err := p.run(b); err != nil {
			return errors.Wrap(err, p.name)
		}
	}
	return nil
}

// series is one quantity at several sizes.
type series struct {
	name          string
	unit          string
	sizes, values []float64
}

func (s *series) add(size, value float64) {
	s.sizes = append(s.sizes, size)
	s.values = append(s.values, value)
}

// table prints the values and the fitted line of each series.
func table(size string, all ...*series) {
	fmt.Printf("| quantity | unit |")
	for _, n := range all[0].sizes {
		fmt.Printf(" %g %s |", n, size)
	}
	fmt.Printf(" base | slope per %s | fit |\n|---|---|%s\n", size, repeat("---|", len(all[0].sizes)+3))
	for _, s := range all {
		fmt.Printf("| %s | %s |", s.name, s.unit)
		for _, v := range s.values {
			fmt.Printf(" %.4g |", v)
		}
		line := measurer.Fit(s.sizes, s.values)
		fmt.Printf(" %.4g | %.4g | %.3f |\n", line.Base, line.Slope, line.Fit)
	}
}

func repeat(s string, n int) string {
	var b []byte
	for range n {
		b = append(b, s...)
	}
	return string(b)
}

// rates are the series of one daemon.
type rates struct{ cpu, memory, bytes *series }

func newRates(who string) rates {
	return rates{
		&series{name: who + " processor", unit: "millicores"},
		&series{name: who + " memory", unit: "MB"},
		&series{name: who + " traffic", unit: "B/s"},
	}
}

func (r rates) add(size float64, v measurer.Rate) {
	r.cpu.add(size, v.CPU*1000)
	r.memory.add(size, v.Memory/1e6)
	r.bytes.add(size, v.Bytes)
}

func (r rates) all() []*series { return []*series{r.cpu, r.memory, r.bytes} }

// collector gathers samples over the sizes of one part.
type collector struct {
	owner, other rates
	store        *series
	operations   map[string]*series
}

func newCollector() *collector {
	return &collector{newRates("owner"), newRates("other daemon"), &series{name: "store calls", unit: "1/s"}, map[string]*series{}}
}

func (c *collector) add(size float64, s measurer.Sample) {
	c.owner.add(size, s.Owner)
	c.other.add(size, s.Other)
	c.store.add(size, s.StoreCalls())
	for op, n := range s.Store {
		if c.operations[op] == nil {
			c.operations[op] = &series{name: "store " + op, unit: "1/s"}
		}
		c.operations[op].add(size, n)
	}
}

func (c *collector) print(size string) {
	all := slices.Concat(c.owner.all(), c.other.all(), []*series{c.store})
	var names []string
	for name, s := range c.operations {
		if len(s.sizes) == len(c.store.sizes) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		all = append(all, c.operations[name])
	}
	table(size, all...)
}

const second = float64(time.Second)
