// Command tarragond is the daemon that runs on every entry instance.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"tarragonhead.example/tarragonhead/internal/server"
	"tarragonhead.example/tarragonhead/platform"
)

const help = `Schedules services and batch work and routes requests to services.

Each flag can also be given as an environment variable, such as TARRAGOND_DRAIN_TIMEOUT for --drain-timeout; several peers are given on separate lines. A flag takes precedence over its variable.

Example:

tarragond --id kolkata-a-d0 --domain kolkata-a --traffic 10.1.0.5:7000 --control 10.1.0.5:7001 --store 10.0.0.2:7100 --peer 10.2.0.5:7001`

// The exit statuses of the daemon.
const (
	exitFailed = 1
	// exitSettings is the status for settings that are not accepted, so that a
	// supervisor doesn't restart the daemon in vain.
	exitSettings = 2
)

func newApp(s *server.Settings) *kingpin.Application {
	app := kingpin.New("tarragond", help)
	app.DefaultEnvars()
	s.Register(app)
	return app
}

// platformCommand is the argument that runs an instance on the users' platform,
// which passes the settings in a file instead of flags. It must be the only argument.
const platformCommand = "platform"

func main() {
	if len(os.Args) == 2 && os.Args[1] == platformCommand {
		os.Exit(platform.Run(os.Stdout))
	}
	os.Exit(run(os.Args[1:], os.Environ(), os.Stderr))
}

// run runs the daemon until SIGTERM or an interrupt and returns the exit status.
func run(args, environment []string, output io.Writer) int {
	var s server.Settings
	app := newApp(&s)
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(output, "tarragond: %v; --help lists the settings\n", err)
		return exitSettings
	}
	if err := joinErrors(server.CheckEnvironment(app, "TARRAGOND_", environment), s.Check()); err != nil {
		fmt.Fprintf(output, "tarragond: settings not accepted:\n%v\n", err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d, err := server.New(s, output, registry)
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(output, "tarragond:", err)
		return exitFailed
	}
	return 0
}

// joinErrors returns an error with the messages of all non-nil errs, one a line, or
// nil if there are none.
func joinErrors(errs ...error) error {
	var lines []string
	for _, err := range errs {
		if err != nil {
			lines = append(lines, err.Error())
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return errors.New(strings.Join(lines, "\n"))
}
