package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"tarragonhead.example/tarragonhead/internal/controller"
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// TestSettings guards against a setting that is accepted out of its range, and
// against errors that are reported one at a time.
func TestSettings(t *testing.T) {
	tests := map[string]struct {
		change func(*Settings)
		want   []string
	}{
		"accepted":                  {func(*Settings) {}, nil},
		"no id":                     {func(s *Settings) { s.ID = "" }, []string{"--id: got \"\""}},
		"malformed id":              {func(s *Settings) { s.ID = "a b" }, []string{"--id: got \"a b\""}},
		"malformed domain":          {func(s *Settings) { s.Domain = "A" }, []string{"--domain: got \"A\""}},
		"host name":                 {func(s *Settings) { s.Store = "store:7100" }, []string{"--store: got \"store:7100\", want a numeric IP address"}},
		"port of zero":              {func(s *Settings) { s.Traffic = "127.0.0.1:0" }, []string{"--traffic: got"}},
		"control is traffic":        {func(s *Settings) { s.Control = s.Traffic }, []string{"--control: got", "other than that of --traffic"}},
		"traffic on all interfaces": {func(s *Settings) { s.Traffic = "0.0.0.0:7001" }, []string{"--control: got"}},
		"control on all interfaces": {func(s *Settings) { s.Control = "0.0.0.0:7001" }, []string{"--control: got", "that peers can call"}},
		"store is control":          {func(s *Settings) { s.Store = s.Control }, []string{"--store: got"}},
		"peer is itself":            {func(s *Settings) { s.Peers = []string{s.Control} }, []string{"--peer: got", "another daemon"}},
		"same peer twice":           {func(s *Settings) { s.Peers = []string{"10.0.0.1:1", "10.0.0.1:1"} }, []string{"--peer: got", "each peer once"}},
		"unknown level":             {func(s *Settings) { s.LogLevel = "loud" }, []string{"--log-level: got \"loud\", want one of debug, info, warn, error"}},
		"invalid duration":          {func(s *Settings) { s.DrainTimeout = "30" }, []string{"--drain-timeout: got \"30\", want a duration from 0s to 10m"}},
		"drain too long":            {func(s *Settings) { s.DrainTimeout = "11m" }, []string{"--drain-timeout"}},
		"clients: connections":      {func(s *Settings) { s.Clients.Connections = "7" }, []string{"--client-connections: got \"7\", want a whole number from 8 to 1048576"}},
		"clients: budget":           {func(s *Settings) { s.Clients.Budget = "1" }, []string{"--client-budget-bytes: got \"1\", want a whole number from 16777216"}},
		"clients: budget for body":  {func(s *Settings) { s.Clients.Budget, s.Clients.BodyBytes = "16777216", "4194305" }, []string{"--client-budget-bytes", "four times --client-body-bytes"}},
		"clients: sizes":            {func(s *Settings) { s.Clients.BodyBytes, s.Clients.HeaderBytes = "0", "x" }, []string{"--client-body-bytes: got \"0\"", "--client-header-bytes: got \"x\""}},
		"clients: times": {
			func(s *Settings) {
				s.Clients.HeaderTimeout, s.Clients.BodyTime, s.Clients.IdleTimeout, s.Clients.WriteTime = "0s", "11m", "30", "-1s"
			},
			[]string{"--client-header-timeout: got \"0s\"", "--client-body-timeout: got \"11m\"", "--client-idle-timeout: got \"30\"", "--client-write-timeout: got \"-1s\""},
		},
		"several at once": {func(s *Settings) { *s = Settings{Store: "x", DrainTimeout: "x"} }, []string{"--id", "--domain", "--traffic", "--control", "--store", "--drain-timeout"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := testSettings()
			test.change(&s)
			err := s.Check()
			if test.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			var problems *SettingsError
			c.Assert(errors.As(err, &problems), qt.IsTrue)
			for _, w := range test.want {
				c.Assert(err.Error(), qt.Contains, w)
			}
			_, err = New(s, io.Discard, prometheus.NewRegistry())
			c.Assert(err, qt.IsNotNil)
		})
	}
}

// TestEnvironment guards against a misspelt variable that is ignored.
func TestEnvironment(t *testing.T) {
	c := qt.New(t)
	app := kingpin.New("tarragond", "").DefaultEnvars()
	var s Settings
	s.Register(app)
	_, err := app.Parse(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(CheckEnvironment(app, "TARRAGOND_", []string{"TARRAGOND_ID=a", "HOME=/"}), qt.IsNil)
	err = CheckEnvironment(app, "TARRAGOND_", []string{"TARRAGOND_DRIAN_TIMEOUT=1s"})
	c.Assert(err, qt.ErrorMatches, `TARRAGOND_DRIAN_TIMEOUT: got "1s", want one of the variables .*TARRAGOND_DRAIN_TIMEOUT.*`)
}

// TestReadiness guards against a load balancer that sends requests to a daemon
// without a configuration or to a stopping daemon.
func TestReadiness(t *testing.T) {
	c := qt.New(t)
	settings, err := testSettings().parse()
	c.Assert(err, qt.IsNil)
	d, err := newServer(settings, io.Discard, prometheus.NewRegistry(), platform{})
	c.Assert(err, qt.IsNil)
	get := func(path string) (int, string) {
		w := httptest.NewRecorder()
		d.controlHandler().ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodGet, path, nil))
		return w.Code, w.Body.String()
	}
	code, body := get("/readyz")
	c.Assert(code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body, qt.Equals, "no configuration: neither the store nor a peer has given one\n")
	adoptConfig(c, d, nil)
	code, _ = get("/readyz")
	c.Assert(code, qt.Equals, http.StatusOK)
	_, body = get("/metrics")
	c.Assert(body, qt.Contains, "\ntarragond_ready 1\n")
	c.Assert(body, qt.Contains, "\ntarragond_config_revision 1\n")
	d.stopping.Store(true)
	code, _ = get("/readyz")
	c.Assert(code, qt.Equals, http.StatusServiceUnavailable)
	code, _ = get("/livez")
	c.Assert(code, qt.Equals, http.StatusOK)
}

// TestChanges guards against a change that edits more than its request says, or
// that is accepted with an unknown failure domain.
func TestChanges(t *testing.T) {
	file := []byte("user: u\nplatform: {domains: [{name: a, workers: 1, entry_instances: 1}, {name: c, workers: 1, entry_instances: 1}], worker: {milli_cpu: 1, memory_mb: 1}, workers_per_rack: 1, runner_slots: 1, runner_connections: 1}")
	tests := map[string]struct {
		request *messenger.ChangeConfigRequest
		out     []string
		domains []string
		want    string
	}{
		"preset":             {&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Preset{Preset: "peak"}}, []string{"b"}, []string{"a", "b"}, ""},
		"take out":           {&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_TakeOut{TakeOut: "a"}}, []string{"a", "b"}, []string{"a", "b"}, ""},
		"take out again":     {&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_TakeOut{TakeOut: "b"}}, []string{"b"}, []string{"a", "b"}, ""},
		"take out unknown":   {&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_TakeOut{TakeOut: "z"}}, nil, nil, `take_out: unknown failure domain "z"; known are [a b]`},
		"bring back":         {&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_BringBack{BringBack: "b"}}, []string{}, []string{"a", "b"}, ""},
		"bring back unknown": {&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_BringBack{BringBack: "z"}}, nil, nil, `bring_back: unknown failure domain "z"`},
		"declare":            {&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Declare{Declare: file}}, []string{}, []string{"a", "c"}, ""},
		"declare invalid":    {&messenger.ChangeConfigRequest{Change: &messenger.ChangeConfigRequest_Declare{Declare: []byte("x: 1")}}, nil, nil, "syntax"},
		"no change":          {&messenger.ChangeConfigRequest{}, nil, nil, "change: missing"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			config := &declarer.Config{Domains: []string{"a", "b"}, DomainsOut: []string{"b"}, Preset: declarer.Peak}
			_, edit, err := decodeChange(test.request)
			if err == nil {
				err = edit(config)
			}
			if test.want != "" {
				c.Assert(err, qt.IsNotNil)
				c.Assert(err.Error(), qt.Contains, test.want)
				c.Assert(config.DomainsOut, qt.DeepEquals, []string{"b"})
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(config.DomainsOut, qt.DeepEquals, test.out)
			c.Assert(config.Domains, qt.DeepEquals, test.domains)
		})
	}
	c := qt.New(t)
	err := declare(&declarer.Config{Domains: []string{"a"}}, declarer.Workload{})
	c.Assert(err, qt.ErrorMatches, `(?s).*platform.domains: failure domain "a" is missing and in service; take it out first`)
}

// TestExplain guards against an explanation with objects that were not asked
// for, or without the worker of the task.
func TestExplain(t *testing.T) {
	report := func() controller.Report {
		return controller.Report{
			Tasks: []scheduler.Task{
				{ID: "job/x/0", Class: declarer.ClassBatch, Owner: "x", Worker: "w1"},
				{ID: "job/y/0", Class: declarer.ClassBatch, Owner: "y", Worker: "w2"},
				{ID: "watcher/x", Class: declarer.ClassWatcher, Owner: "x"},
			},
			Jobs: []scheduler.Job{{Job: declarer.BatchJob{ID: "x"}}, {Job: declarer.BatchJob{ID: "y"}}},
			Explanations: []scheduler.Explanation{
				{Job: "x", Reason: "parked"}, {Job: "x", Task: "job/x/0", Reason: "placed"}, {Job: "x", Task: "job/x/1", Reason: "refused"},
			},
			Workers: []scheduler.Worker{{ID: "w1"}, {ID: "w2"}},
		}
	}
	tests := map[string]struct {
		kind, id                           string
		tasks, jobs, workers, explanations int
	}{
		"task":                  {KindTask, "job/x/0", 1, 1, 1, 2},
		"unstarted task":        {KindTask, "job/x/7", 0, 1, 0, 1},
		"task without a worker": {KindTask, "watcher/x", 1, 0, 0, 1},
		"job":                   {KindJob, "x", 1, 1, 0, 3},
		"worker":                {KindWorker, "w2", 1, 0, 1, 3},
		"unknown":               {KindWorker, "w3", 0, 0, 0, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := filterReport(report(), test.kind, test.id)
			c.Assert([]int{len(r.Tasks), len(r.Jobs), len(r.Workers), len(r.Explanations)}, qt.DeepEquals, []int{test.tasks, test.jobs, test.workers, test.explanations})
		})
	}
	c := qt.New(t)
	c.Assert(checkKind("planet", "x"), qt.ErrorMatches, `(?s).*kind: got "planet", want one of \[task job worker\]`)
	c.Assert(checkKind(KindTask, ""), qt.ErrorMatches, `(?s).*id: missing.*`)
}

// TestOwnersInDigests guards against shard owners that are sent with every
// digest, or never.
func TestOwnersInDigests(t *testing.T) {
	c := qt.New(t)
	a, b := newTestServer(c, newIndexStore(), nil), newTestServer(c, newIndexStore(), nil)
	for _, d := range []*Server{a, b} {
		for _, o := range d.owners {
			o.Member = "unknown"
		}
	}
	a.owners["east"] = &messenger.ShardOwner{Shard: "east", Member: "unknown", Epoch: 7}
	first := &messenger.Digest{}
	b.addVersions(first, nil)
	c.Assert(first.Owners, qt.HasLen, 0)
	answer := &messenger.Digest{}
	a.addVersions(answer, first)
	c.Assert(answer.Owners, qt.HasLen, 3)
	b.applyVersions(answer, "")
	c.Assert(b.owners["east"].Epoch, qt.Equals, uint64(7))
	second := &messenger.Digest{}
	b.addVersions(second, answer)
	c.Assert(second.Owners, qt.HasLen, 0)
	c.Assert(second.OwnersHash, qt.Equals, answer.OwnersHash)
}

func TestWrongShard(t *testing.T) {
	c := qt.New(t)
	d := newTestServer(c, newIndexStore(), nil)
	r := submitRequest(nil)
	r.Shard = "west"
	_, err := d.Submit(t.Context(), r)
	c.Assert(errorCode(err), qt.Equals, twirp.Unavailable)
	c.Assert(strings.Contains(err.Error(), "does not own shard west"), qt.IsTrue)
}
