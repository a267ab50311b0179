// Command tarragonctl is the command-line tool for operators and callers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

const help = `Operates tarragonhead and sends requests through it.

Exit status: 0 done, 1 usage or failure, 2 refused (nothing was changed), 3 undecided (it is not known whether the change or request took effect), 4 unreachable (nothing was changed or sent).

Examples:

tarragonctl --daemon 10.1.0.5:7001 declare workloads/hooghly.yaml

tarragonctl preset peak --expected 41

tarragonctl domain out howrah

tarragonctl submit workloads/hooghly.yaml --job recall-check

tarragonctl explain task job/recall-check/0

tarragonctl request cellarlog report?lines=3`

// tool holds the global flags and the output, which all commands share.
type tool struct {
	daemon   string
	operator string
	timeout  time.Duration
	out      io.Writer
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the command that args name and returns the exit status.
func run(args []string, out, errOut io.Writer) int {
	app := newApp(out)
	_, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "tarragonctl:", formatError(err))
	}
	return exitStatus(err)
}

func newApp(out io.Writer) *kingpin.Application {
	t := &tool{out: out}
	app := kingpin.New("tarragonctl", help)
	app.DefaultEnvars()
	app.UsageWriter(out)
	app.Flag("daemon", "Control address of a daemon.").Default("127.0.0.1:7001").StringVar(&t.daemon)
	app.Flag("operator", "Name that a change is recorded under.").Default(userName()).StringVar(&t.operator)
	app.Flag("timeout", "How long to wait for a response, 100ms to 10m. Undecided changes are repeated until then.").Default("15s").DurationVar(&t.timeout)
	app.Validate(func(*kingpin.Application) error { return t.validate() })
	t.addConfigCommands(app)
	t.addJobCommands(app)
	t.addStatusCommands(app)
	t.addExplainCommands(app)
	t.addRequestCommand(app)
	return app
}

func (t *tool) validate() error {
	if a, err := netip.ParseAddrPort(t.daemon); err != nil || a.Port() == 0 {
		return fmt.Errorf("--daemon: got %q, want a numeric IP address and a port from 1 to 65535, such as 10.1.2.3:7001", t.daemon)
	}
	if t.timeout < 100*time.Millisecond || t.timeout > 10*time.Minute {
		return fmt.Errorf("--timeout: got %s, want 100ms to 10m", t.timeout)
	}
	return nil
}

func userName() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "operator"
}

func (t *tool) client() messenger.Operator {
	return messenger.NewOperatorProtobufClient("http://"+t.daemon, &http.Client{})
}

// read makes a call that changes nothing. A call without a response is therefore
// reported as unreachable rather than undecided.
func (t *tool) read(call func(context.Context, messenger.Operator) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	if err := call(ctx, t.client()); err != nil {
		return convertReadError(err)
	}
	return nil
}

// retryInterval is the time between attempts of an undecided change.
const retryInterval = 500 * time.Millisecond

// change makes an idempotent call that changes something. While its result is
// undecided, change repeats the call until the timeout.
func (t *tool) change(call func(context.Context, messenger.Operator) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	undecided := false
	for {
		err := call(ctx, t.client())
		switch {
		case err == nil:
			return nil
		case isUndecided(err):
			undecided = true
		case !undecided || !isUnreachable(err):
			return err
		}
		select {
		case <-ctx.Done():
			return &undecidedError{err}
		case <-time.After(retryInterval):
		}
	}
}

func (t *tool) printJSON(v any) error {
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
