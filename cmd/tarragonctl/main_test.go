package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/twitchtv/twirp"

	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/router"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// fakeDaemon responds to successive changes with the elements of errs and then keeps
// responding with the last one. A nil element accepts the change.
type fakeDaemon struct {
	messenger.Operator
	errs    []error
	changes []*messenger.ChangeConfigRequest
	traffic string
}

func (d *fakeDaemon) nextError() error {
	if len(d.errs) == 0 {
		return nil
	}
	err := d.errs[0]
	if len(d.errs) > 1 {
		d.errs = d.errs[1:]
	}
	return err
}

func (d *fakeDaemon) ChangeConfig(_ context.Context, r *messenger.ChangeConfigRequest) (*messenger.ChangeConfigResponse, error) {
	d.changes = append(d.changes, r)
	if err := d.nextError(); err != nil {
		return nil, err
	}
	return &messenger.ChangeConfigResponse{Revision: 7}, nil
}

func (d *fakeDaemon) SubmitJob(context.Context, *messenger.SubmitRequest) (*messenger.SubmitResponse, error) {
	return &messenger.SubmitResponse{Shard: "east"}, d.nextError()
}

func (d *fakeDaemon) CancelJob(context.Context, *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	return &messenger.CancelResponse{}, d.nextError()
}

func (d *fakeDaemon) GetConfig(context.Context, *messenger.FetchConfigRequest) (*messenger.ConfigDocument, error) {
	w := declarer.Work{Teams: []declarer.Team{{Name: "team", Weight: 1}}}
	hash, work, err := declarer.EncodeWork(w)
	if err != nil {
		return nil, err
	}
	head, err := declarer.EncodeHead(declarer.Head{
		Revision: 7, Preset: declarer.Peak, Domains: []string{"east"}, WorkHash: hash,
		Changes: []declarer.ChangeNote{{ID: "abc", Revision: 7, Operator: "anita", Summary: "preset peak", At: time.Unix(0, 0)}},
	})
	return &messenger.ConfigDocument{Revision: 7, Head: head, Work: work}, err
}

func (d *fakeDaemon) Status(_ context.Context, r *messenger.InspectRequest) (*messenger.StatusResponse, error) {
	response := &messenger.StatusResponse{Daemon: "d0", Members: []*messenger.Member{{Id: "d0", TrafficAddr: d.traffic}}, Unanswered: map[string]string{"west": "no owner known"}}
	report := controller.Report{Shard: "east"}
	if r.Id == "job/x/0" {
		report.Tasks = []scheduler.Task{{ID: "job/x/0", State: "parked", Reason: "larger than any worker"}}
	}
	data, err := json.Marshal(report)
	response.Shards = []*messenger.InspectResponse{{Shard: "east", Report: data}}
	return response, err
}

func startServer(t *testing.T, d *fakeDaemon) string {
	s := httptest.NewServer(messenger.NewOperatorServer(d))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func workloadPath() string { return filepath.Join("..", "..", "workloads", "hooghly.yaml") }

// TestExitStatus guards against an exit status that says that nothing changed
// although something may have, or that something may have changed although nothing
// did.
func TestExitStatus(t *testing.T) {
	refused, undecided, unavailable := twirp.NewError(twirp.Aborted, "anita made change abc"), twirp.NewError(twirp.Unknown, "no answer"), twirp.NewError(twirp.Unavailable, "store")
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("user: X"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		errs []error
		args string
		want int
		out  string
	}{
		"accepted":                  {nil, "preset peak", exitDone, "accepted at revision 7"},
		"refused":                   {[]error{refused}, "domain out howrah", exitRefused, "refused: anita made change abc"},
		"unavailable":               {[]error{unavailable}, "domain in howrah", exitUnreachable, "unreachable: store"},
		"undecided until timeout":   {[]error{undecided}, "preset peak --change-id abc", exitUndecided, "repeat the command with --change-id abc"},
		"undecided, then accepted":  {[]error{undecided, nil}, "preset peak", exitDone, "accepted at revision 7"},
		"undecided, then refused":   {[]error{undecided, refused}, "preset peak", exitRefused, "refused: "},
		"undecided, then no store":  {[]error{undecided, unavailable}, "preset peak", exitUndecided, "undecided: "},
		"job accepted":              {nil, "submit " + workloadPath() + " --job recall-check", exitDone, "job recall-check accepted by east"},
		"job refused":               {[]error{refused}, "submit " + workloadPath() + " --job recall-check", exitRefused, "refused: "},
		"job undecided":             {[]error{undecided}, "submit " + workloadPath() + " --job recall-check", exitUndecided, "undecided: "},
		"no such job":               {nil, "submit " + workloadPath() + " --job nothing", exitRefused, "has no job"},
		"invalid file":              {nil, "declare " + bad, exitRefused, "user: got \"X\""},
		"cancel undecided":          {[]error{undecided}, "cancel x", exitUndecided, "undecided: "},
		"unknown command":           {nil, "dance", exitFailed, "dance"},
		"unknown flag":              {nil, "preset peak --hard", exitFailed, "--hard"},
		"unknown preset":            {nil, "preset calm", exitFailed, "calm"},
		"timeout out of range":      {nil, "preset peak --timeout 1h", exitFailed, "--timeout: got 1h0m0s, want 100ms to 10m"},
		"show":                      {nil, "config show", exitDone, "1970-01-01 00:00:00  anita  preset peak  abc"},
		"show JSON":                 {nil, "config show --json", exitDone, `"preset": "peak"`},
		"status":                    {nil, "status", exitDone, "shard west: no answer: no owner known"},
		"explain":                   {nil, "explain task job/x/0", exitDone, "reason: larger than any worker"},
		"explain, shard unanswered": {nil, "explain task job/y/0", exitUnreachable, "no answer from [west]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			addr := startServer(t, &fakeDaemon{errs: test.errs})
			var out bytes.Buffer
			args := append([]string{"--daemon", addr, "--timeout", "900ms"}, strings.Fields(test.args)...)
			if strings.Contains(test.args, "--timeout") {
				args = append([]string{"--daemon", addr}, strings.Fields(test.args)...)
			}
			c.Assert(run(args, &out, &out), qt.Equals, test.want, qt.Commentf("%s", out.String()))
			c.Assert(out.String(), qt.Contains, test.out)
		})
	}
}

// TestRepeatsKeepTheirID guards against an undecided change that takes effect twice
// because the repeat has another id.
func TestRepeatsKeepTheirID(t *testing.T) {
	c := qt.New(t)
	d := &fakeDaemon{errs: []error{twirp.NewError(twirp.Unknown, "x"), errors.New("broken"), nil}}
	var out bytes.Buffer
	c.Assert(run([]string{"--daemon", startServer(t, d), "preset", "peak"}, &out, &out), qt.Equals, exitDone)
	c.Assert(d.changes, qt.HasLen, 3)
	c.Assert(d.changes[1].ChangeId, qt.Equals, d.changes[0].ChangeId)
	c.Assert(d.changes[2].ChangeId, qt.Equals, d.changes[0].ChangeId)
}

// TestUnreachableDaemon guards against a call that was never sent and is reported as
// undecided.
func TestUnreachableDaemon(t *testing.T) {
	for _, args := range []string{"preset peak", "cancel x", "status", "config show", "request web", "request web --traffic 127.0.0.1:1"} {
		t.Run(args, func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			c.Assert(run(append([]string{"--daemon", "127.0.0.1:1", "--timeout", "1s"}, strings.Fields(args)...), &out, &out), qt.Equals, exitUnreachable, qt.Commentf("%s", out.String()))
		})
	}
}

// TestRequestResults guards against a request result that maps to the wrong exit
// status.
func TestRequestResults(t *testing.T) {
	tests := map[string]struct {
		status int
		result router.Result
		want   int
	}{
		"answered":         {200, router.Result{}, exitDone},
		"not run":          {503, router.Result{Result: router.NotRun, Reason: "no runner"}, exitRefused},
		"outcome unknown":  {504, router.Result{Result: router.OutcomeUnknown, Reason: "timed out"}, exitUndecided},
		"failed by target": {502, router.Result{Result: router.FailedByTarget, TargetStatus: 500}, exitFailed},
		"already run":      {409, router.Result{Result: alreadyRun, Reason: "not kept"}, exitFailed},
		"bad request":      {400, router.Result{Result: router.BadRequest, Reason: "path"}, exitRefused},
		"target's own 404": {404, router.Result{}, exitFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			traffic := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c.Check(r.URL.String(), qt.Equals, "/v1/services/web/report?lines=3")
				c.Check(r.Header.Get("Idempotency-Key"), qt.Equals, "k")
				w.Header().Set(router.RequestIDHeader, "r-1")
				w.WriteHeader(test.status)
				if test.result.Result != "" {
					c.Check(json.NewEncoder(w).Encode(test.result), qt.IsNil)
				}
			}))
			defer traffic.Close()
			var out bytes.Buffer
			args := []string{"--daemon", startServer(t, &fakeDaemon{traffic: strings.TrimPrefix(traffic.URL, "http://")}), "request", "web", "report?lines=3", "--method", "POST", "--key", "k"}
			c.Assert(run(args, &out, &out), qt.Equals, test.want, qt.Commentf("%s", out.String()))
			c.Assert(out.String(), qt.Contains, "request id r-1")
		})
	}
}
