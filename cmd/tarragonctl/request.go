package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/router"
)

// requestFlags are the flags and arguments of the request command.
type requestFlags struct {
	traffic string
	method  string
	service string
	path    string
	key     string
	class   string
	body    string
	quiet   bool
}

// alreadyRun is the result of a repeated request that has run before and whose
// response was not kept or can't be read.
const alreadyRun = "already_run"

var methods = []string{"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"}

func (t *tool) addRequestCommand(app *kingpin.Application) {
	var f requestFlags
	command := app.Command("request", "Send one request to a service through a daemon and print the result. Example: tarragonctl request cellarlog report?lines=3 --method POST --key invoice-17")
	command.Flag("traffic", "Traffic address of the daemon; fetched from the daemon at --daemon if it is not given.").StringVar(&f.traffic)
	command.Flag("method", "Method of the request.").Default("GET").EnumVar(&f.method, methods...)
	command.Flag("key", "Idempotency key; a request with a method that is not idempotent then runs at most once.").StringVar(&f.key)
	command.Flag("class", "Class of the request: latency_critical or batch.").Default("latency_critical").EnumVar(&f.class, "latency_critical", "batch")
	command.Flag("body", "File with the body.").ExistingFileVar(&f.body)
	command.Flag("quiet", "Print the body only.").BoolVar(&f.quiet)
	command.Arg("service", "Name of the service.").Required().StringVar(&f.service)
	command.Arg("path", "Path and query of the request.").Default("").StringVar(&f.path)
	command.Action(func(*kingpin.ParseContext) error { return t.request(f) })
}

func (t *tool) request(f requestFlags) error {
	if f.traffic == "" {
		addr, err := t.trafficAddress()
		if err != nil {
			return err
		}
		f.traffic = addr
	} else if a, err := netip.ParseAddrPort(f.traffic); err != nil || a.Port() == 0 {
		return errors.Errorf("--traffic: got %q, want a numeric IP address and a port from 1 to 65535", f.traffic)
	}
	var body []byte
	if f.body != "" {
		var err error
		if body, err = os.ReadFile(f.body); err != nil {
			return err
		}
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(fmt.Sprintf("http://%s/v1/services/%s/%s", f.traffic, f.service, strings.TrimPrefix(f.path, "/")))
	request.Header.SetMethod(f.method)
	request.Header.Set(router.TimeoutHeader, fmt.Sprint(t.timeout.Milliseconds()))
	request.Header.Set("Request-Class", f.class)
	if f.key != "" {
		request.Header.Set("Idempotency-Key", f.key)
	}
	request.SetBodyRaw(body)
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	// The daemon responds at the deadline at the latest. The extra second lets this
	// response arrive.
	if err := client.DoTimeout(request, response, t.timeout+time.Second); err != nil {
		if isDialError(err) {
			return &unreachableError{errors.Wrapf(err, "%s: nothing was sent", f.traffic)}
		}
		return &undecidedError{errors.Wrapf(err, "%s: no response", f.traffic)}
	}
	return t.printResult(f, response)
}

// trafficAddress fetches the traffic address of the daemon at --daemon. The shard
// "-" does not exist, so that the response contains no shard reports.
func (t *tool) trafficAddress() (string, error) {
	response, err := t.status(&messenger.InspectRequest{Shard: "-"})
	if err != nil {
		return "", err
	}
	for _, m := range response.Members {
		if m.Id == response.Daemon {
			return m.TrafficAddr, nil
		}
	}
	return "", errors.Errorf("daemon %s is not in its own list of members", response.Daemon)
}

func (t *tool) printResult(f requestFlags, response *fasthttp.Response) error {
	if !f.quiet {
		fmt.Fprintf(t.out, "status %d, request id %s\n", response.StatusCode(), response.Header.Peek(router.RequestIDHeader))
	}
	if _, err := t.out.Write(response.Body()); err != nil {
		return err
	}
	if n := len(response.Body()); n > 0 && response.Body()[n-1] != '\n' {
		fmt.Fprintln(t.out)
	}
	var r router.Result
	if response.StatusCode() < 400 || json.Unmarshal(response.Body(), &r) != nil || r.Result == "" {
		if response.StatusCode() >= 400 {
			return errors.Errorf("the target answered with status %d", response.StatusCode())
		}
		return nil
	}
	switch r.Result {
	case router.OutcomeUnknown:
		return &undecidedError{errors.New(r.Reason)}
	case router.FailedByTarget:
		return errors.Errorf("the target answered with status %d", r.TargetStatus)
	}
	if r.Result == alreadyRun {
		return errors.New(r.Reason)
	}
	return &refusedError{r.Result + ": " + r.Reason}
}
