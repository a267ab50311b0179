package measurer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/standins/launcher"
)

// Sample is the resource usage of a system during a window.
type Sample struct {
	// Owner is the rate of the daemon that owns the first domain's shard, and
	// Other the mean rate of the other daemons of that domain.
	Owner, Other Rate
	// Store holds the rates of calls to the store, in calls per second by
	// operation.
	Store map[string]float64
}

// StoreCalls returns the rate of calls to the store over all operations.
func (s Sample) StoreCalls() float64 {
	sum := 0.0
	for _, n := range s.Store {
		sum += n
	}
	return sum
}

// Bench starts systems and measures their resource usage.
type Bench struct {
	// Binaries is the directory with the built binaries.
	Binaries string
	// Logs is the directory for the processes' logs.
	Logs string
	// Settle is how long a system runs before the window of a measurement, and
	// Window the length of the window.
	Settle, Window time.Duration
}

// Start starts a system whose domains have the given numbers of workers and
// daemons each. It returns the system and its workload, which declares no
// services or jobs.
func (b *Bench) Start(domains, workers, daemons int) (*launcher.System, declarer.Workload, error) {
	w := declarer.Workload{
		User: "capacity",
		Platform: declarer.Platform{
			Worker: declarer.Resources{MilliCPU: 64_000, MemoryMB: 250_000}, WorkersPerRack: 8,
			RunnerSlots: 8, RunnerConnections: 64,
		},
		Teams: []declarer.Team{{Name: "team", Weight: 1, Quota: declarer.Resources{MilliCPU: 1_000_000_000, MemoryMB: 1_000_000_000}}},
	}
	for i := range domains {
		w.Platform.Domains = append(w.Platform.Domains, declarer.Domain{Name: fmt.Sprintf("domain-%d", i), Workers: workers, EntryInstances: daemons})
	}
	s, err := launcher.Start(launcher.Options{Binaries: b.Binaries, Logs: b.Logs, Workload: w, Scale: 1, TimeScale: 1})
	return s, w, err
}

// Declare declares a workload and waits until every shard has an owner.
func (b *Bench) Declare(s *launcher.System, w declarer.Workload) error {
	file := b.Logs + "/capacity.yaml"
	if err := WriteWorkload(file, w); err != nil {
		return err
	}
	if _, err := s.Control("declare", file); err != nil {
		return err
	}
	return waitUntil(30*time.Second, "the owners of all shards", func() bool { return len(reports(s)) == len(w.Platform.Domains) })
}

// waitUntil polls a condition and fails if it does not hold within d. The error
// names it by what.
func waitUntil(d time.Duration, what string, condition func() bool) error {
	for deadline := time.Now().Add(d); !condition(); time.Sleep(200 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.Errorf("waiting for %s: timed out after %s", what, d)
		}
	}
	return nil
}

// reports returns the report of each shard whose owner is known, or nil if the
// status can't be read.
func reports(s *launcher.System) []controller.Report {
	output, err := s.Control("status", "--json")
	if err != nil {
		return nil
	}
	var status struct{ Shards []controller.Report }
	if json.Unmarshal([]byte(output), &status) != nil {
		return nil
	}
	return status.Shards
}

// Sample measures a running system during a window. If work is not nil, it runs
// within the window.
func (b *Bench) Sample(s *launcher.System, work func() error) (Sample, error) {
	time.Sleep(b.Settle)
	before, calls, err := readAll(s)
	if err != nil {
		return Sample{}, err
	}
	began := time.Now()
	if work != nil {
		if err := work(); err != nil {
			return Sample{}, err
		}
	}
	time.Sleep(time.Until(began.Add(b.Window)))
	after, callsAfter, err := readAll(s)
	if err != nil {
		return Sample{}, err
	}
	d := time.Since(began)
	sample := Sample{Store: map[string]float64{}}
	for op, n := range callsAfter {
		sample.Store[op] = float64(n-calls[op]) / d.Seconds()
	}
	owner, err := ownerOf(s.Store, s.Daemons[0].Domain)
	if err != nil {
		return Sample{}, err
	}
	others := 0.0
	for i, daemon := range s.Daemons {
		rate := Between(before[i], after[i], d)
		switch {
		case daemon.Name == owner:
			sample.Owner = rate
		case daemon.Domain == s.Daemons[0].Domain:
			others++
			sample.Other.CPU += rate.CPU
			sample.Other.Memory += rate.Memory
			sample.Other.Bytes += rate.Bytes
		}
	}
	if others > 0 {
		sample.Other.CPU /= others
		sample.Other.Memory /= others
		sample.Other.Bytes /= others
	}
	return sample, nil
}

func readAll(s *launcher.System) ([]Usage, map[string]uint64, error) {
	var all []Usage
	for _, d := range s.Daemons {
		u, err := Read(d.PID())
		if err != nil {
			return nil, nil, err
		}
		all = append(all, u)
	}
	var calls map[string]uint64
	err := getJSON(s.Store, "/v1/calls", &calls)
	return all, calls, err
}

func ownerOf(store netip.AddrPort, shard string) (string, error) {
	var owner controller.Owner
	err := getJSON(store, "/v1/kv/owner/"+shard, &owner)
	return owner.Member, err
}

func getJSON(addr netip.AddrPort, path string, to any) error {
	status, body, err := fasthttp.Get(nil, "http://"+addr.String()+path)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return errors.Errorf("%s: status %d: %s", path, status, strings.TrimSpace(string(body)))
	}
	return errors.Wrap(json.Unmarshal(body, to), path)
}
