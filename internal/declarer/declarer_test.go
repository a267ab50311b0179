package declarer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func readWorkload(t testing.TB, name string) string {
	data, err := os.ReadFile(filepath.Join("..", "..", "workloads", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestParseProblems guards against an invalid workload file that is accepted, or
// rejected with an error that does not name the field.
func TestParseProblems(t *testing.T) {
	workload := readWorkload(t, "hooghly.yaml")
	tests := map[string]struct {
		replace, by string
		want        []string
	}{
		"valid":                  {"user: hooghly", "user: hooghly", nil},
		"unknown field":          {"user: hooghly", "usr: hooghly", []string{"syntax: ", "usr"}},
		"not YAML":               {"user: hooghly", "user: [", []string{"syntax: "}},
		"unknown failure domain": {"kind: recall,", "kind: recall, domain: puri,", []string{`jobs[2].domain: unknown failure domain "puri"`}},
		"larger than any worker": {"{milli_cpu: 16000, memory_mb: 32000}", "{milli_cpu: 64001, memory_mb: 32000}", []string{"services[0].resources: got milli_cpu 64001", "larger than any worker (milli_cpu 64000"}},
		"no size":                {"{milli_cpu: 16000, memory_mb: 32000}", "{}", []string{"services[0].resources: got milli_cpu 0"}},
		"size overflows":         {"{milli_cpu: 16000, memory_mb: 32000}", "{milli_cpu: 9223372036854775807, memory_mb: 1}", []string{"services[0].resources: got milli_cpu 9223372036854775807"}},
		"negative accelerators":  {"{milli_cpu: 16000, memory_mb: 32000}", "{milli_cpu: 1, memory_mb: 1, accelerators: -1}", []string{"services[0].resources"}},
		"too many replicas":      {"replicas: 65", "replicas: 10001", []string{"services[0].replicas: got 10001, want 0 to 10000"}},
		"unknown team":           {"team: analytics", "team: nobody", []string{`jobs[1].team: unknown team "nobody"`}},
		"same job twice":         {"id: recall-check", "id: trend-2026-w48", []string{`jobs[2].id: "trend-2026-w48" occurs twice`}},
		"same domain twice":      {"name: howrah", "name: kolkata-b", []string{`platform.domains[2].name: "kolkata-b" occurs twice`}},
		"same team twice":        {"{name: analytics", "{name: compliance", []string{`teams[2].name: "compliance" occurs twice`}},
		"service and watcher":    {"name: probe-watch-2", "name: cellarlog", []string{`watchers[1].name: "cellarlog" occurs twice`}},
		"malformed id":           {"id: recall-check", "id: Recall/Check", []string{`jobs[2].id: got "Recall/Check", want 1 to 64`}},
		"no tasks":               {"tasks: 4,", "tasks: 0,", []string{"jobs[2].tasks: got 0, want 1 to 10000"}},
		"no run time":            {"run_time: 2s", "run_time: 0s", []string{"jobs[2].run_time: got 0s"}},
		"negative deadline":      {"deadline: 10m", "deadline: -1m", []string{"jobs[0].deadline: got -1m0s"}},
		"weight of zero":         {"weight: 1}", "weight: 0}", []string{"teams[2].weight: got 0, want 1 to 1000"}},
		"negative quota":         {"quota: {milli_cpu: 1040000", "quota: {milli_cpu: -1", []string{"teams[2].quota"}},
		"no worker":              {"worker: {milli_cpu: 64000, memory_mb: 250000}", "worker: {}", []string{"platform.worker"}},
		"fewer connections than slots": {
			"runner_connections: 64", "runner_connections: 4",
			[]string{"platform.runner_connections: got 4, want 8 to 65536"},
		},
		"duplicate key and empty name": {"user: hooghly\nplatform:", "user: ''\nteams: []\nplatform:", []string{"syntax"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(workload, test.replace), qt.IsTrue)
			_, err := Parse([]byte(strings.Replace(workload, test.replace, test.by, 1)))
			if test.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			var invalid *InvalidError
			c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))
			for _, w := range test.want {
				c.Assert(err.Error(), qt.Contains, w)
			}
		})
	}
}

// TestHostileFiles guards against a small file that takes very long to parse:
// 100,000 opening brackets took the parser a minute. A large accepted file must be
// parsed in reasonable time too.
func TestHostileFiles(t *testing.T) {
	workload := readWorkload(t, "hooghly.yaml")
	var services strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&services, "  - {name: s%d, team: cellarlog, replicas: 1, resources: {milli_cpu: 1, memory_mb: 1}}\n", i)
	}
	tests := map[string]struct{ text, want string }{
		"brackets on one line": {"teams: " + strings.Repeat("[", 100_000), "(?s).*syntax: non-empty line 1 has 100007 bytes.*"},
		"brackets, one a line": {"teams: " + strings.Repeat("[\n", 100_000), "(?s).*syntax: non-empty line 65 is nested too deeply.*"},
		"braces, CR line ends": {"teams: " + strings.Repeat("{a: \r", 100_000), "(?s).*syntax: non-empty line 65 is nested too deeply.*"},
		"nested sequences":     {strings.Repeat("- ", 400), "(?s).*syntax: non-empty line 1 is nested too deeply.*"},
		"large file":           {strings.Repeat("# comment\n", 100_000), "(?s).*size: got 1000000 bytes, want at most 524288"},
		"many services":        {strings.Replace(workload, "services:\n", "services:\n"+services.String(), 1), ""},
		"long value":           {"user: " + strings.Repeat("x", 900), "(?s).{0,1000}.{0,300}"},
		"error in a long line": {"usr: " + strings.Repeat("x", 900), "(?s).*unknown field.{0,700}"},
		"many problems":        {strings.Replace(workload, "services:\n", "services:\n"+strings.ReplaceAll(services.String(), "cpu: 1", "cpu: 0"), 1), "(?s)workload has 3000 problems.*and 2950 more"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			started := time.Now()
			_, err := Parse([]byte(test.text))
			c.Assert(time.Since(started) < 10*time.Second, qt.IsTrue)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

// TestEveryProblemAtOnce guards against an error that reports only the first of
// several problems.
func TestEveryProblemAtOnce(t *testing.T) {
	c := qt.New(t)
	text := strings.NewReplacer("replicas: 65", "replicas: -1", "tasks: 4,", "tasks: 0,", "name: howrah", "name: Howrah").Replace(readWorkload(t, "hooghly.yaml"))
	_, err := Parse([]byte(text))
	var invalid *InvalidError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	c.Assert(invalid.Problems, qt.HasLen, 3)
}

func config() *Config {
	return &Config{
		Revision: 3, Preset: Peak, Domains: []string{"a", "b", "c"}, DomainsOut: []string{"b"}, Worker: Resources{MilliCPU: 1000, MemoryMB: 1000},
		Teams:    []Team{{Name: "team", Weight: 1, Quota: Resources{MilliCPU: 5}}},
		Services: []Service{{Name: "web", Team: "team", Replicas: 5, Resources: Resources{MilliCPU: 10, MemoryMB: 10}}},
		Changes:  []ChangeNote{{ID: "two", Revision: 2, Operator: "Ann B.", Summary: "x", At: time.Unix(5, 0).UTC()}, {ID: "three", Revision: 3, Operator: "b", Summary: "y", At: time.Unix(6, 0).UTC()}},
	}
}

func TestCheckJob(t *testing.T) {
	tests := map[string]struct {
		change func(*BatchJob, *Config)
		want   string
	}{
		"accepted":               {func(*BatchJob, *Config) {}, ""},
		"in one domain":          {func(j *BatchJob, _ *Config) { j.Domain = "a" }, ""},
		"domain out of service":  {func(j *BatchJob, _ *Config) { j.Domain = "b" }, `(?s).*job.domain: failure domain "b" is out of service; in service are \[a c\]`},
		"unknown domain":         {func(j *BatchJob, _ *Config) { j.Domain = "x" }, `(?s).*job.domain: unknown failure domain "x"`},
		"every domain out":       {func(_ *BatchJob, c *Config) { c.DomainsOut = c.Domains }, `(?s).*job.domain: every failure domain is out of service`},
		"larger than any worker": {func(j *BatchJob, _ *Config) { j.Resources.MemoryMB = 1001 }, `(?s).*job.resources: .*larger than any worker .*`},
		"accelerator":            {func(j *BatchJob, _ *Config) { j.Resources.Accelerators = 1 }, `(?s).*job.resources: .*larger than any worker .*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cfg := config()
			j := BatchJob{ID: "j", Team: "team", Kind: "k", Tasks: 1, Resources: Resources{MilliCPU: 1, MemoryMB: 1}, RunTime: time.Second}
			test.change(&j, cfg)
			err := CheckJob(j, cfg)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

// TestDocuments guards against a head or work that changes when it is encoded and
// decoded.
func TestDocuments(t *testing.T) {
	c := qt.New(t)
	cfg := config()
	hash, work, err := EncodeWork(cfg.Work())
	c.Assert(err, qt.IsNil)
	cfg.WorkHash = hash
	head, err := EncodeHead(cfg.Head())
	c.Assert(err, qt.IsNil)
	h, err := DecodeHead(head)
	c.Assert(err, qt.IsNil)
	w, err := DecodeWork(h.WorkHash, work)
	c.Assert(err, qt.IsNil)
	c.Assert(Assemble(h, w), qt.DeepEquals, cfg)
	again, _, err := EncodeWork(w)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.Equals, hash)
}

func TestHeadProblems(t *testing.T) {
	tests := map[string]struct {
		change func(*Head)
		want   string
	}{
		"revision of zero":   {func(h *Head) { h.Revision = 0 }, "revision: got 0"},
		"unknown preset":     {func(h *Head) { h.Preset = "calm" }, "preset: got"},
		"unknown domain out": {func(h *Head) { h.DomainsOut = []string{"z"} }, `domains_out[0]: unknown failure domain "z"; known are [a b c]`},
		"no changes":         {func(h *Head) { h.Changes = nil }, "changes: got 0, want 1 to 16"},
		"gap in changes":     {func(h *Head) { h.Changes[0].Revision = 1 }, "changes[0].revision: got 1, want 2"},
		"same change twice":  {func(h *Head) { h.Changes[0].ID = "three" }, `changes[1].id: "three" occurs twice`},
		"control characters": {func(h *Head) { h.Changes[0].Operator = "a\nb" }, "changes[0].operator"},
		"malformed hash":     {func(h *Head) { h.WorkHash = "../config" }, "work_hash: got"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := config().Head()
			test.change(&h)
			data, err := EncodeHead(h)
			c.Assert(err, qt.IsNil)
			_, err = DecodeHead(data)
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Error(), qt.Contains, test.want)
		})
	}
}

// TestHeadSize guards against a head that is too large to be read twice a second.
func TestHeadSize(t *testing.T) {
	c := qt.New(t)
	h := Head{Revision: 1_000_016, Preset: OrdinaryDay, Domains: []string{"kolkata-a", "kolkata-b", "howrah", "siliguri"}, WorkHash: strings.Repeat("a", 64)}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range KeptChanges {
		h.Changes = append(h.Changes, ChangeNote{
			ID: fmt.Sprintf("%016x", random.Uint64()), Revision: 1_000_001 + uint64(i), Operator: []string{"anita", "bhaskar", "chandra"}[i%3],
			Summary: []string{"take out kolkata-a", "bring back kolkata-a", fmt.Sprintf("declare work of hooghly (%016x)", random.Uint64())}[i%3], At: time.Unix(1_800_000_000+int64(i)*777, 0),
		})
	}
	data, err := EncodeHead(h)
	c.Assert(err, qt.IsNil)
	t.Logf("head with %d changes: %d bytes", KeptChanges, len(data))
	c.Assert(len(data) < 700, qt.IsTrue)
}

// TestReplicasAddUp guards against a replica that no domain runs or that two domains
// run.
func TestReplicasAddUp(t *testing.T) {
	c := qt.New(t)
	cfg := config()
	for replicas := range 50 {
		sum := 0
		for _, d := range append(cfg.Domains, "unknown") {
			n := cfg.ReplicasIn(Service{Replicas: replicas}, d)
			c.Assert(n == 0 || !cfg.IsOut(d), qt.IsTrue)
			sum += n
		}
		c.Assert(sum, qt.Equals, replicas)
	}
}
