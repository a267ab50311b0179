// Command load sends requests to daemons, either to check the results under
// process faults or to measure the overhead of a daemon.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/standins/launcher"
	"tarragonhead.example/tarragonhead/standins/loader"
)

func main() {
	app := kingpin.New("load", "Sends requests through daemons and checks the responses. Run it from the top of the repository.")
	addFaults(app)
	addOverhead(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

// printf prints a line with the time of day.
func printf(format string, args ...any) {
	fmt.Printf("%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func addFaults(app *kingpin.Application) {
	var o loader.FaultOptions
	var workload string
	command := app.Command("faults", "Kills, pauses and stops processes under load, and checks the results against the runners' records.")
	command.Flag("workload", "Workload file.").Default("workloads/hooghly.yaml").ExistingFileVar(&workload)
	command.Flag("replicas", "Runners of the service.").Default("8").IntVar(&o.Replicas)
	command.Flag("requests", "Number of requests.").Default("80000").IntVar(&o.Requests)
	command.Flag("rate", "Requests a second.").Default("700").Float64Var(&o.Rate)
	command.Flag("pause", "How long a daemon is paused.").Default("15s").DurationVar(&o.Pause)
	command.Flag("store-down", "How long the store is stopped.").Default("60s").DurationVar(&o.StoreDown)
	command.Flag("seed", "Seed of the requests.").Default("1").Uint64Var(&o.Seed)
	command.Action(func(*kingpin.ParseContext) error {
		data, err := os.ReadFile(workload)
		if err != nil {
			return err
		}
		if o.Workload, err = declarer.Parse(data); err != nil {
			return err
		}
		return inDirectory(func(dir string) error {
			o.Binaries, o.Directory, o.Log = dir, dir, printf
			report, err := loader.RunFaults(o)
			if err != nil {
				return err
			}
			fmt.Printf("%sbroken by the graceful stop %d\n", report, report.BrokenByStop)
			if !report.IsClean() || report.BrokenByStop > 0 {
				return errors.New("the checks of the run failed")
			}
			return nil
		})
	})
}

// inDirectory builds the programs into a new directory and calls f with it.
func inDirectory(f func(dir string) error) error {
	dir, err := os.MkdirTemp("", "tarragonhead-load-")
	if err != nil {
		return err
	}
	printf("building into %s", dir)
	if err := launcher.Build(dir); err != nil {
		return err
	}
	return f(dir)
}

func addOverhead(app *kingpin.Application) {
	var o loader.OverheadOptions
	command := app.Command("overhead", "Measures what the daemon adds to a request, and what a bare forwarding hop adds.")
	command.Flag("connections", "Numbers of connections.").Default("1", "16", "256").IntsVar(&o.Connections)
	command.Flag("time", "Duration of one run.").Default("2s").DurationVar(&o.Time)
	command.Flag("runs", "Interleaved runs; the best of each is reported.").Default("5").IntVar(&o.Runs)
	command.Action(func(*kingpin.ParseContext) error {
		return inDirectory(func(dir string) error {
			o.Binaries, o.Directory = dir, dir
			rows, err := loader.RunOverhead(o)
			if err != nil {
				return err
			}
			fmt.Print(rows)
			return nil
		})
	})
}
