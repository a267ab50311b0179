// Command demo runs a workload on stand-ins in separate processes, from their start
// to a summary.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/router"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/standins/launcher"
	"tarragonhead.example/tarragonhead/standins/measurer"
	"tarragonhead.example/tarragonhead/standins/runner"
)

type settings struct {
	workload string
	scale    float64
	daemons  int
	requests int
	timeout  time.Duration
}

func main() {
	var s settings
	app := kingpin.New("demo", "Runs a workload on stand-ins in separate processes and prints a summary.")
	app.Flag("workload", "Workload file.").Default("workloads/hooghly.yaml").ExistingFileVar(&s.workload)
	app.Flag("scale", "Share of the workload's workers, replicas and tasks, above 0 and at most 1.").Default("0.2").Float64Var(&s.scale)
	app.Flag("daemons", "Daemons per domain; 0 takes the workload's entry instances.").Default("0").IntVar(&s.daemons)
	app.Flag("requests", "Requests to send.").Default("500").IntVar(&s.requests)
	app.Flag("timeout", "How long the services and jobs may take.").Default("90s").DurationVar(&s.timeout)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

// validate returns an error that lists every setting out of its range.
func (s settings) validate() error {
	var problems []string
	if !(s.scale > 0 && s.scale <= 1) {
		problems = append(problems, fmt.Sprintf("--scale: got %g, want above 0 and at most 1", s.scale))
	}
	if s.daemons < 0 || s.daemons > 64 {
		problems = append(problems, fmt.Sprintf("--daemons: got %d, want 0 to 64", s.daemons))
	}
	if s.requests < 0 || s.requests > 1_000_000 {
		problems = append(problems, fmt.Sprintf("--requests: got %d, want 0 to 1000000", s.requests))
	}
	if s.timeout < time.Second || s.timeout > time.Hour {
		problems = append(problems, fmt.Sprintf("--timeout: got %s, want 1s to 1h", s.timeout))
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return nil
}

func run(s settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	data, err := os.ReadFile(s.workload)
	if err != nil {
		return err
	}
	w, err := declarer.Parse(data)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "tarragonhead-demo-")
	if err != nil {
		return err
	}
	logStep("building into %s", dir)
	if err := launcher.Build(dir); err != nil {
		return err
	}
	logStep("starting %s at scale %g", w.User, s.scale)
	system, err := launcher.Start(launcher.Options{Binaries: dir, Logs: dir, Workload: w, Scale: s.scale, Daemons: s.daemons, TimeScale: 1})
	if err != nil {
		return err
	}
	defer system.Stop()
	logStep("started the store, %d workers and %d daemons", len(system.Workers), len(system.Daemons))
	scaled := scale(w, s.scale)
	file := dir + "/workload.yaml"
	if err := measurer.WriteWorkload(file, scaled); err != nil {
		return err
	}
	if err := declareAndSubmit(system, file, scaled); err != nil {
		return err
	}
	return verifyWorkload(system, scaled, s)
}

// logStep prints a message with the time of day.
func logStep(format string, args ...any) {
	fmt.Printf("%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// declareAndSubmit declares the workload and submits its jobs with tarragonctl.
func declareAndSubmit(system *launcher.System, file string, w declarer.Workload) error {
	output, err := system.Control("declare", file)
	if err != nil {
		return err
	}
	logStep("declared %d services and %d watchers: %s", len(w.Services), len(w.Watchers), strings.TrimSpace(output))
	// The owner of a shard becomes known through gossip within a few seconds.
	for deadline := time.Now().Add(20 * time.Second); ; {
		output, err = system.Control("submit", file)
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	logStep("%s", strings.ReplaceAll(strings.TrimSpace(output), "\n", "; "))
	return nil
}

// progress is the sum of the reports of all shards: the running tasks of services
// and watchers, and the completed tasks of jobs.
type progress struct {
	services, watchers, jobs int
	doneTasks                int
	// running counts the running tasks of each shard.
	running map[string]int
}

// verifyWorkload waits until the workload runs, sends requests, waits for the jobs, shows
// some commands and takes a failure domain out of service and back.
func verifyWorkload(system *launcher.System, w declarer.Workload, s settings) error {
	want := progress{watchers: len(w.Watchers), jobs: len(w.Jobs)}
	for _, service := range w.Services {
		want.services += service.Replicas
	}
	for _, j := range w.Jobs {
		want.doneTasks += j.Tasks
	}
	deadline := time.Now().Add(s.timeout)
	if err := waitFor(system, deadline, "replicas and watchers", func(p progress) bool { return p.services == want.services && p.watchers == want.watchers }); err != nil {
		return err
	}
	logStep("%d replicas and %d watchers are running", want.services, want.watchers)
	// Routing tables reach every daemon through gossip.
	time.Sleep(3 * time.Second)
	answered, err := sendRequests(system, w, s.requests)
	if err != nil {
		return err
	}
	logStep("%d of %d requests received their complete response", answered, s.requests)
	if err := waitFor(system, deadline, "jobs", func(p progress) bool { return p.doneTasks == want.doneTasks }); err != nil {
		return err
	}
	logStep("%d tasks of %d jobs are done", want.doneTasks, want.jobs)
	if err := showReadOnlyCommands(system, w); err != nil {
		return err
	}
	if err := removeAndRestoreDomain(system, w, deadline, want); err != nil {
		return err
	}
	output, err := system.Control("status")
	if err != nil {
		return err
	}
	fmt.Print(output)
	if answered != s.requests {
		return errors.Errorf("%d of %d requests were not answered", s.requests-answered, s.requests)
	}
	fmt.Println("summary: everything declared ran and every request was answered")
	return nil
}

// showReadOnlyCommands runs the read-only commands and sends one request.
func showReadOnlyCommands(system *launcher.System, w declarer.Workload) error {
	commands := [][]string{{"config", "show"}}
	for _, j := range w.Jobs[:min(1, len(w.Jobs))] {
		commands = append(commands, []string{"explain", "job", j.ID})
	}
	for _, s := range w.Services[:min(1, len(w.Services))] {
		commands = append(commands, []string{"request", s.Name, "report?lines=2"})
	}
	for _, c := range commands {
		output, err := system.Control(c...)
		if err != nil {
			return err
		}
		logStep("tarragonctl %s\n%s", strings.Join(c, " "), indent(output))
	}
	return nil
}

func indent(text string) string {
	return "    " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n    ")
}

// removeAndRestoreDomain takes the last failure domain out of service and brings it back.
func removeAndRestoreDomain(system *launcher.System, w declarer.Workload, deadline time.Time, want progress) error {
	domains := w.Platform.Domains
	if len(domains) < 2 {
		return nil
	}
	last := domains[len(domains)-1].Name
	for _, c := range []struct {
		args []string
		// isEmpty is whether the domain runs no tasks afterwards.
		isEmpty bool
	}{
		{[]string{"preset", string(declarer.Maintenance)}, false},
		{[]string{"domain", "out", last}, true},
		{[]string{"domain", "in", last}, false},
		{[]string{"preset", string(declarer.OrdinaryDay)}, false},
	} {
		output, err := system.Control(c.args...)
		if err != nil {
			return err
		}
		logStep("tarragonctl %s: %s", strings.Join(c.args, " "), strings.TrimSpace(output))
		err = waitFor(system, deadline, strings.Join(c.args, " "), func(p progress) bool {
			return p.services == want.services && p.watchers == want.watchers && (p.running[last] == 0) == c.isEmpty
		})
		if err != nil {
			return err
		}
		logStep("%d replicas and %d watchers are running, %s runs work: %t", want.services, want.watchers, last, !c.isEmpty)
	}
	return nil
}

func waitFor(system *launcher.System, deadline time.Time, what string, reached func(progress) bool) error {
	for {
		p, err := readProgress(system)
		if err == nil && reached(p) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("timed out waiting for %s: %+v, %v", what, p, err)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func readProgress(system *launcher.System) (progress, error) {
	p := progress{running: map[string]int{}}
	output, err := system.Control("status", "--json")
	if err != nil {
		return p, err
	}
	var status struct{ Shards []controller.Report }
	if err := json.Unmarshal([]byte(output), &status); err != nil {
		return p, errors.Wrap(err, "decode status")
	}
	for _, r := range status.Shards {
		for _, t := range r.Tasks {
			if t.State == scheduler.Running {
				p.running[r.Shard]++
			}
			switch {
			case t.State != scheduler.Running:
			case t.Class == declarer.ClassService:
				p.services++
			case t.Class == declarer.ClassWatcher:
				p.watchers++
			}
		}
		for _, j := range r.Jobs {
			p.doneTasks += j.Done
		}
	}
	return p, nil
}

// sendRequests sends n requests through all daemons in turn and returns the number
// of complete and correct responses.
func sendRequests(system *launcher.System, w declarer.Workload, n int) (int, error) {
	if len(w.Services) == 0 {
		return n, nil
	}
	answered, failed := 0, 0
	for i := range n {
		d := system.Daemons[i%len(system.Daemons)]
		id := fmt.Sprintf("demo-%d", i)
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI(fmt.Sprintf("http://%s/v1/services/%s/report?lines=3", d.Traffic, w.Services[i%len(w.Services)].Name))
		request.Header.Set(router.RequestIDHeader, id)
		err := fasthttp.DoTimeout(request, response, 10*time.Second)
		if err == nil && response.StatusCode() == fasthttp.StatusOK && string(response.Body()) == runner.Answer(id, 3) {
			answered++
		} else if failed++; failed < 5 {
			logStep("request %s: status %d, %v: %s", id, response.StatusCode(), err, response.Body())
		}
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
	}
	return answered, nil
}
