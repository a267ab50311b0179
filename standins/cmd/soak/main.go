// Command soak runs tarragond processes under random faults and checks what the
// system guarantees to clients and workers. It exits with status 1 if a guarantee
// was violated.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"tarragonhead.example/tarragonhead/standins/soaker"
)

func main() {
	app := kingpin.New("soak", "Runs tarragond under random faults and checks what it guarantees to clients and workers.")
	from := app.Flag("from", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds to run, counted up from the first.").Default("10").Int()
	jobs := app.Flag("jobs", "Number of soaks to run concurrently.").Default("2").Int()
	length := app.Flag("length", "How long faults are injected into a soak.").Default("20s").Duration()
	instances := app.Flag("instances", "Instances per soak.").Default("3").Int()
	workers := app.Flag("workers", "Workers per soak.").Default("6").Int()
	clients := app.Flag("clients", "Clients per soak.").Default("4").Int()
	configs := app.Flag("configs", "Change the configuration while open connections break, and check when each version is in force.").Bool()
	unstored := app.Flag("unstored-ends", "Only kill owners before they have stored the ends of runs, beside workers that drain, are silent or are missing.").Bool()
	cuts := app.Flag("cuts", "Only kill owners while no worker can be reached until its successor has dropped them.").Bool()
	heldCalls := app.Flag("held-calls", "Only restart workers under their ids and cut them off while calls to their former processes take effect.").Bool()
	heldTakeovers := app.Flag("held-takeovers", "Only kill or stop owners after workers have restarted under their ids, and cut these off while calls to their former processes take effect.").Bool()
	keys := app.Flag("keys", "Require keys of clients, replace one with each version of the configuration, and check which keys are accepted; also with the other flags.").Bool()
	verbose := app.Flag("verbose", "Print the injected faults of each seed.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	dir, err := os.MkdirTemp("", "soak")
	app.FatalIfError(err, "directory")
	binary := filepath.Join(dir, "tarragond")
	if output, err := exec.Command("go", "build", "-o", binary, "tarragonhead.example/tarragonhead/cmd/tarragond").CombinedOutput(); err != nil {
		app.Fatalf("build: %v\n%s", err, output)
	}
	var mu sync.Mutex
	violatedSeeds := 0
	limit := make(chan struct{}, max(1, *jobs))
	var soaks sync.WaitGroup
	for n := range *seeds {
		soaks.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			seed := *from + uint64(n)
			sub := filepath.Join(dir, fmt.Sprint(seed))
			app.FatalIfError(os.Mkdir(sub, 0o700), "directory")
			run := soaker.Run
			if *configs {
				run = soaker.RunConfigs
			}
			r, err := run(seed, soaker.Options{Binary: binary, Directory: sub, Instances: *instances, Workers: *workers, Clients: *clients, Duration: *length, UnstoredEnds: *unstored, Cuts: *cuts, HeldCalls: *heldCalls, HeldTakeovers: *heldTakeovers, Keys: *keys})
			app.FatalIfError(err, "seed %d", seed)
			mu.Lock()
			defer mu.Unlock()
			fmt.Printf("seed %d: %d jobs, %d accepted, %d starts, %d workers restarted, %d runs killed, %d checks of the configuration, %d faults injected, %d guarantees violated\n", seed, r.Jobs, r.Accepted, r.Starts, r.Restarts, r.Kills, r.Checks, len(r.InjectedFaults), len(r.Violations))
			if *keys {
				fmt.Printf("  %d calls with an unknown key rejected, %d tasks of the organisation with a cap at most\n", r.UnknownKeys, r.MostCapped)
			}
			for _, v := range r.Violations {
				fmt.Println("  violated:", v)
			}
			if *verbose || len(r.Violations) > 0 {
				for _, f := range r.InjectedFaults {
					fmt.Println("  injected:", f)
				}
			}
			if len(r.Violations) == 0 {
				_ = os.RemoveAll(sub)
				return
			}
			violatedSeeds++
			fmt.Println("  log:", filepath.Join(sub, fmt.Sprintf("soak-%d.log", seed)))
		})
	}
	soaks.Wait()
	if violatedSeeds > 0 {
		app.Fatalf("%d of %d seeds violated a guarantee", violatedSeeds, *seeds)
	}
	_ = os.RemoveAll(dir)
}
