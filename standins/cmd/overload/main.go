// Command overload offers an owner behind a slow link several loads at the same time, and
// prints how much of each was done.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tarragonhead.example/tarragonhead/standins/overloader"
)

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
	fmt.Println("tasks a second   ended a second   unanswered calls later   new owner")
	status := 0
	for n, r := range results {
		if failures[n] != nil {
			fmt.Fprintln(os.Stderr, "overload:", failures[n])
			status = 1
			continue
		}
		fmt.Printf("%14d   %14.0f   %22d   %9t\n", (*tasks)[n], float64(r.Ended)/(*length/2).Seconds(), r.UnansweredLater, r.HasOwnerChanged)
	}
	os.Exit(status)
}
