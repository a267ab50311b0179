// Command overload offers an owner behind a slow link several loads at the same time, and
// prints how much of each was done.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sys/unix"

	"tarragonhead.example/tarragonhead/standins/overloader"
)

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

func main() {
	app := kingpin.New("overload", "Offers an owner behind a slow link several loads, and prints how much of each was done.")
	rate := app.Flag("rate", "Rate of the link in each direction, in bytes a second.").Default("250000").Float64()
	workers := app.Flag("workers", "Number of workers.").Default("24").Int()
	tasks := app.Flag("tasks", "Tasks a second of each load.").Default("100", "200", "300", "400", "600").Ints()
	length := app.Flag("length", "How long the load lasts.").Default("12s").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	results, failures := make([]overloader.Result, len(*tasks)), make([]error, len(*tasks))
	var plays sync.WaitGroup
	for n, perSecond := range *tasks {
		plays.Go(func() {
			results[n], failures[n] = overloader.Play(overloader.Options{
				Workers: *workers, LinkRate: *rate, TasksPerSecond: perSecond, Load: *length, After: 12 * time.Second,
			})
		})
	}
	plays.Wait()
	fmt.Println("tasks a second   ended a second   calls a run   bytes a run   unanswered calls later   new owner")
	status := 0
	for n, r := range results {
		if failures[n] != nil {
			fmt.Fprintln(os.Stderr, "overload:", failures[n])
			status = 1
			continue
		}
		ended := max(1, float64(r.Ended))
		fmt.Printf("%14d   %14.0f   %11.2f   %11.0f   %22d   %9t\n", (*tasks)[n], ended/(*length/2).Seconds(),
			float64(r.Calls)/ended, float64(r.Bytes)/ended, r.UnansweredLater, r.HasOwnerChanged)
	}
	if used, err := processorTime(); err == nil {
		fmt.Printf("processor time of all plays, with the model of link, store and workers: %s\n", used)
	}
	os.Exit(status)
}
