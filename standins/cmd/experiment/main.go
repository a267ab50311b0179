// Command experiment compares placement policies on simulated workers and prints
// a table of the measurements.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/standins/experimenter"
)

func main() {
	app := kingpin.New("experiment", "Compares placement policies on simulated workers.")
	files := app.Flag("workload", "Workload file; may be repeated.").Default("workloads/hooghly.yaml", "workloads/tricahue.yaml").ExistingFiles()
	seeds := app.Flag("seed", "Seed; may be repeated.").Default("1", "2", "3", "4", "5").Uint64List()
	variants := app.Flag("policy", "Policy; may be repeated.").Default(experimenter.DefaultPolicies()...).Enums(experimenter.Policies()...)
	warmUp := app.Flag("warm-up", "Simulated time before the measurement.").Default("5m").Duration()
	length := app.Flag("length", "Simulated time that is measured.").Default("20m").Duration()
	parallelism := app.Flag("parallel", "Number of runs to execute concurrently.").Default("3").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := compare(*files, *seeds, *variants, *warmUp, *length, *parallelism); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func compare(files []string, seeds []uint64, policies []string, warmUp, length time.Duration, parallelism int) error {
	var runs []experimenter.Options
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		w, err := declarer.Parse(data)
		if err != nil {
			return err
		}
		for _, seed := range seeds {
			for _, name := range policies {
				runs = append(runs, experimenter.Options{Workload: w, Seed: seed, Variant: experimenter.VariantOf(name), WarmUp: warmUp, Length: length})
			}
		}
	}
	results, err := experimenter.RunAll(runs, parallelism)
	if err != nil {
		return err
	}
	fmt.Print(experimenter.Table(results))
	return nil
}
