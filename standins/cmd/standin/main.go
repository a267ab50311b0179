// Command standin runs a stand-in for one part of the platform.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/standins/forwarder"
	"tarragonhead.example/tarragonhead/standins/runner"
	"tarragonhead.example/tarragonhead/standins/storekeeper"
	"tarragonhead.example/tarragonhead/standins/worker"
)

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform, for tests and demonstrations.")
	addStore(app)
	addWorker(app)
	addRunner(app)
	addForwarder(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func addStore(app *kingpin.Application) {
	var listen string
	store := app.Command("store", "The key-value service and the list of instances.")
	var lag time.Duration
	store.Flag("listen", "Address to listen on.").Required().StringVar(&listen)
	store.Flag("list-lag", "Age of the returned list of instances.").Default("1s").DurationVar(&lag)
	store.Action(func(*kingpin.ParseContext) error {
		s := storekeeper.New(lag)
		return errors.Wrap(fasthttp.ListenAndServe(listen, s.Handle), "store")
	})
}

func addRunner(app *kingpin.Application) {
	var o runner.Options
	command := app.Command("runner", "A runner; it prints its address and the address of its administration, and ends when its standard input closes.")
	command.Flag("name", "Name of the runner.").Required().StringVar(&o.Name)
	command.Flag("slots", "Requests served at once.").Default("8").IntVar(&o.Slots)
	command.Flag("connections", "Connections accepted at once.").Default("64").IntVar(&o.Connections)
	command.Flag("work", "How long a request takes.").Default("2ms").DurationVar(&o.Work)
	command.Flag("records", "Directory for the record of runs.").Envar(recordsVariable).StringVar(&o.Records)
	command.Action(func(*kingpin.ParseContext) error { return runRunner(o) })
}

// recordsVariable is the environment variable of the directory for records. Workers
// pass it on to the runners that they start.
const recordsVariable = "STANDIN_RECORDS"

func runRunner(o runner.Options) error {
	r, err := runner.New(o)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if err := r.Announce(l.Addr().String(), admin.Addr().String()); err != nil {
		return err
	}
	go func() { _ = fasthttp.Serve(admin, r.HandleAdmin) }()
	fmt.Println(l.Addr(), admin.Addr())
	go func() {
		// The worker closes the pipe when it stops the runner or exits.
		_, _ = os.Stdin.Read(make([]byte, 1))
		r.Leave()
		// Daemons send requests until they learn that the runner is leaving.
		// Keep serving, so that these requests are refused and not cut off.
		time.Sleep(3 * time.Second)
		_ = r.Shutdown()
	}()
	return r.Serve(l)
}

func addForwarder(app *kingpin.Application) {
	var target string
	var connections int
	command := app.Command("forwarder", "A minimal proxy, the baseline for the overhead of the daemon; it prints its address.")
	command.Flag("target", "Address to forward to.").Required().StringVar(&target)
	command.Flag("connections", "Connections to the target.").Default("512").IntVar(&connections)
	command.Action(func(*kingpin.ParseContext) error {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		fmt.Println(l.Addr())
		server := &fasthttp.Server{Handler: forwarder.New(target, connections).Handle, NoDefaultServerHeader: true}
		return server.Serve(l)
	})
}

func addWorker(app *kingpin.Application) {
	var o worker.Options
	var listen, store, record string
	command := app.Command("worker", "A worker that starts a runner process for each replica of a service.")
	command.Flag("listen", "Address to listen on.").Required().StringVar(&listen)
	command.Flag("store", "Address of the platform.").Required().StringVar(&store)
	command.Flag("id", "Name of the worker.").Required().StringVar(&o.ID)
	command.Flag("domain", "Failure domain.").Required().StringVar(&o.Domain)
	command.Flag("rack", "Rack.").Default("rack-0").StringVar(&o.Rack)
	command.Flag("milli-cpu", "Processors in thousandths.").Default("64000").Int64Var(&o.Capacity.MilliCPU)
	command.Flag("memory-mb", "Memory in megabytes.").Default("250000").Int64Var(&o.Capacity.MemoryMB)
	command.Flag("time-scale", "Factor on the run time of tasks.").Default("1").Float64Var(&o.TimeScale)
	command.Flag("usage-lag", "Age of the reported usage.").Default("2s").DurationVar(&o.UsageLag)
	command.Flag("usage-share", "Share of its reservation that a task uses.").Default("1").Float64Var(&o.UsageShare)
	command.Flag("failing", "Make every attempt fail.").BoolVar(&o.Failing)
	command.Flag("record", "File to append a line to for each start and end of an attempt.").StringVar(&record)
	command.Action(func(*kingpin.ParseContext) error {
		if record != "" {
			f, err := os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return err
			}
			defer f.Close()
			e := json.NewEncoder(f)
			o.Record = func(a worker.Attempt) { _ = e.Encode(a) }
		}
		return runWorker(o, listen, store)
	})
}

func runWorker(o worker.Options, listen, store string) error {
	platform, err := netip.ParseAddrPort(store)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	o.StartRunner = startRunner
	w := worker.New(o)
	self := dispatcher.Instance{ID: o.ID, Domain: o.Domain, Rack: o.Rack, Role: dispatcher.RoleWorker, Addr: netip.MustParseAddrPort(l.Addr().String()), Capacity: o.Capacity}
	go func() {
		// Leases expire on time even while the platform does not respond.
		for {
			w.Advance()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	go func() {
		for {
			register(platform, self)
			time.Sleep(200 * time.Millisecond)
		}
	}()
	server := &fasthttp.Server{Handler: w.Handle}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
		<-stop
		_ = server.Shutdown()
	}()
	return server.Serve(l)
}

func register(platform netip.AddrPort, in dispatcher.Instance) {
	body, err := json.Marshal(in)
	if err != nil {
		return
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + platform.String() + "/v1/instances")
	request.Header.SetMethod("POST")
	request.SetBodyRaw(body)
	_ = fasthttp.DoTimeout(request, response, time.Second)
}

// startRunner starts a runner process and reads its address from its output.
func startRunner(task string) (netip.AddrPort, func(), error) {
	self, err := os.Executable()
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	command := exec.Command(self, "runner", "--name", task)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	if err := command.Start(); err != nil {
		return netip.AddrPort{}, nil, err
	}
	var line [64]byte
	n, err := output.Read(line[:])
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	go func() { _ = command.Wait() }()
	text, _, _ := strings.Cut(strings.TrimSpace(string(line[:n])), " ")
	addr, err := netip.ParseAddrPort(text)
	return addr, func() { _ = input.Close() }, err
}
