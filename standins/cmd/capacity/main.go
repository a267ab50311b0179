// Command capacity measures how the resource usage of each role grows with the
// size of the system. Its output is the source of docs/CAPACITY.md.
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

// measurement is a named measurement that prints a table.
type measurement struct {
	name string
	run  func(*measurer.Bench) error
}

var measurements = []measurement{
	{"workers", workersScenario.measure},
	{"daemons", daemonsScenario.measure},
	{"starts", startsScenario.measure},
	{"config", configScenario.measure},
	{"requests", requestsScenario.measure},
	{"state", func(*measurer.Bench) error { return runBenchmarks() }},
}

func main() {
	var only string
	var b measurer.Bench
	names := make([]string, 0, len(measurements)+1)
	for _, p := range measurements {
		names = append(names, p.name)
	}
	app := kingpin.New("capacity", "Measures the resource usage of each role at several sizes, with real daemons and stand-ins.")
	app.Flag("only", "Measurement to run.").Default("all").EnumVar(&only, append(names, "all")...)
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
	for _, p := range measurements {
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

// series holds the values of one quantity at several sizes.
type series struct {
	name          string
	unit          string
	sizes, values []float64
}

func (s *series) add(size, value float64) {
	s.sizes = append(s.sizes, size)
	s.values = append(s.values, value)
}

// printTable prints the values and the fitted line of each series.
func printTable(unit string, all ...*series) {
	fmt.Printf("| quantity | unit |")
	for _, n := range all[0].sizes {
		fmt.Printf(" %g %s |", n, unit)
	}
	fmt.Printf(" base | slope per %s | fit |\n|---|---|%s\n", unit, repeat("---|", len(all[0].sizes)+3))
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

// daemonSeries holds the series of one role of daemons.
type daemonSeries struct{ cpu, memory, bytes *series }

func newDaemonSeries(role string) daemonSeries {
	return daemonSeries{
		&series{name: role + " processor", unit: "millicores"},
		&series{name: role + " memory", unit: "MB"},
		&series{name: role + " traffic", unit: "B/s"},
	}
}

func (r daemonSeries) add(size float64, v measurer.Rate) {
	r.cpu.add(size, v.CPU*1000)
	r.memory.add(size, v.Memory/1e6)
	r.bytes.add(size, v.Bytes)
}

func (r daemonSeries) all() []*series { return []*series{r.cpu, r.memory, r.bytes} }

// collector collects the samples of a scenario at all of its sizes.
type collector struct {
	owner, other daemonSeries
	store        *series
	operations   map[string]*series
}

func newCollector() *collector {
	return &collector{newDaemonSeries("owner"), newDaemonSeries("other daemon"), &series{name: "store calls", unit: "1/s"}, map[string]*series{}}
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

// print prints the table. Operations of the store that were not measured at
// every size are left out.
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
	printTable(size, all...)
}

const second = float64(time.Second)
