// Command tarragond is the daemon that runs on every entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"tarragonhead.example/tarragonhead/internal/server"
)

func main() {
	app := kingpin.New("tarragond", "Schedules services and batch work and routes requests to services.")
	app.DefaultEnvars()
	var s server.Settings
	app.Flag("id", "Name of this daemon; no other daemon has it.").Required().StringVar(&s.ID)
	app.Flag("domain", "Failure domain of this daemon.").Required().StringVar(&s.Domain)
	app.Flag("traffic", "Address for callers, such as 127.0.0.1:7000.").Required().StringVar(&s.Traffic)
	app.Flag("control", "Address for peers, operators and metrics.").Required().StringVar(&s.Control)
	app.Flag("store", "Address of the platform's key-value service.").Required().StringVar(&s.Store)
	app.Flag("peer", "Control address of another daemon; may be repeated.").StringsVar(&s.Peers)
	app.Flag("log-level", "Least level to log: debug, info, warn or error.").Default("info").EnumVar(&s.LogLevel, "debug", "info", "warn", "error")
	app.Flag("drain-timeout", "How long a stop waits for requests in progress.").Default("30s").DurationVar(&s.DrainTimeout)
	app.Flag("stop-delay", "How long a stopping daemon still accepts connections after its readiness check fails.").Default("2s").DurationVar(&s.StopDelay)
	app.Flag("domain-cost", "One-way latency to another domain, such as howrah=1.5ms; may be repeated.").StringMapVar(&s.DomainCosts)
	app.Flag("trace-file", "File that receives spans as JSON lines; no tracing without it.").StringVar(&s.TraceFile)
	app.Flag("trace-ratio", "Share of requests without a trace context that is sampled.").Default("0").Float64Var(&s.TraceRatio)
	app.Flag("panic-on-violation", "Panic when an invariant is violated; for tests.").BoolVar(&s.PanicOnViolation)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(s server.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := server.New(s, os.Stderr)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
