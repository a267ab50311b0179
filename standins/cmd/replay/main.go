// Command replay replays loads and faults on the planner in simulated time. It
// prints the worth, the results by class and the violated invariants.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/standins/replayer"
)

func main() {
	app := kingpin.New("replay", "Replays loads and faults on the planner in simulated time.")
	load := app.Flag("load", "Load to replay: cellarlog, tricahue, or grown, which is one shard after growth and for which scale multiplies the rate of jobs.").Default("cellarlog").Enum("cellarlog", "tricahue", "grown")
	scale := app.Flag("scale", "Size relative to that of the deployment.").Default("1").Float64()
	seeds := app.Flag("seeds", "Number of seeds, starting at 1.").Default("8").Int()
	parallelism := app.Flag("jobs", "Number of replays to run concurrently.").Default("4").Int()
	faults := app.Flag("fault", "Fault such as burst:8s:6s:0:2.6 or restart:6s:500ms:0.3:3 (kind:at:for:share:factor; see replayer.Fault for the kinds); may be repeated.").Strings()
	trace := app.Flag("trace", "Print the decisions about this job, run or worker, for seed 1 only.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	p := replayer.Cellarlog(*scale)
	switch *load {
	case "tricahue":
		p = replayer.Tricahue(*scale)
	case "grown":
		p = replayer.Grown(*scale)
	}
	for _, text := range *faults {
		f, err := parseFault(text)
		if err != nil {
			app.FatalUsage("%v", err)
		}
		p = p.With(f)
	}
	if *trace != "" {
		replayer.New(p, 1, func(at time.Duration, d planner.Decision) {
			if strings.Contains(d.Job+" "+d.Run+" "+d.Worker, *trace) {
				fmt.Println(at, d.Event, d.Run, d.Worker, d.Detail)
			}
		}).Run()
		return
	}
	results := make([]replayer.Result, *seeds)
	slots := make(chan struct{}, max(1, *parallelism))
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = replayer.New(p, uint64(i+1), nil).Run()
		})
	}
	running.Wait()
	sum := 0.0
	for i, r := range results {
		sum += r.Worth()
		fmt.Printf("seed %d: worth %.3f, %d starts", i+1, r.Worth(), r.Starts)
		for _, name := range [...]string{"report", "bundle", "probe"} {
			o := r.Classes[name]
			fmt.Printf("; %s %d of %d in time, %d late, %d failed, on target %.3f, availability %.3f", name, o.InTime, o.Accepted, o.Late, o.Failed, o.OnTarget, o.Availability)
		}
		fmt.Println()
		for name, first := range r.First {
			fmt.Printf("  violated: %s, %d times; first %s\n", name, r.Violations[name], first)
		}
	}
	fmt.Printf("mean worth %.3f\n", sum/float64(len(results)))
}

// FaultError reports a fault on the command line that can't be parsed.
type FaultError struct{ Text string }

func (e *FaultError) Error() string {
	return fmt.Sprintf("fault %q: want kind:at:for:share:factor, such as burst:8s:6s:0:2.6", e.Text)
}

func parseFault(text string) (replayer.Fault, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 5 {
		return replayer.Fault{}, &FaultError{text}
	}
	f := replayer.Fault{Kind: parts[0]}
	var errs [4]error
	f.At, errs[0] = time.ParseDuration(parts[1])
	f.For, errs[1] = time.ParseDuration(parts[2])
	_, errs[2] = fmt.Sscan(parts[3], &f.Share)
	_, errs[3] = fmt.Sscan(parts[4], &f.Factor)
	for _, err := range errs {
		if err != nil {
			return f, &FaultError{text}
		}
	}
	return f, nil
}
