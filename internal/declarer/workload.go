package declarer

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Workload is the content of a workload file: the platform that it was
// written for and the work to declare.
type Workload struct {
	User     string     `yaml:"user"`
	Platform Platform   `yaml:"platform"`
	Teams    []Team     `yaml:"teams"`
	Services []Service  `yaml:"services"`
	Watchers []Watcher  `yaml:"watchers"`
	Jobs     []BatchJob `yaml:"jobs"`
}

// Platform describes the failure domains and workers of one user.
type Platform struct {
	Domains              []Domain      `yaml:"domains"`
	Worker               Resources     `yaml:"worker"`
	WorkersPerRack       int           `yaml:"workers_per_rack"`
	OneWayBetweenDomains time.Duration `yaml:"one_way_between_domains"`
	OneWayToClients      time.Duration `yaml:"one_way_to_clients"`
	RunnerSlots          int           `yaml:"runner_slots"`
	RunnerConnections    int           `yaml:"runner_connections"`
}

// Domain is one failure domain with its instances.
type Domain struct {
	Name           string `yaml:"name"`
	Workers        int    `yaml:"workers"`
	EntryInstances int    `yaml:"entry_instances"`
}

// FieldError says what is wrong with one field of a document.
type FieldError struct {
	// Field is the path of the field, such as "services[0].replicas".
	Field string
	// Problem says what was found and what is accepted.
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// InvalidError lists every problem of a document.
type InvalidError struct {
	Document string
	Problems []*FieldError
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%s has %d problems", e.Document, len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.Error())
	}
	return strings.Join(lines, "\n")
}

// Parse reads and checks a workload file. The error is an InvalidError when
// the file is well formed but its content is not accepted.
func Parse(data []byte) (Workload, error) {
	var w Workload
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(&w); err != nil {
		return Workload{}, &InvalidError{Document: "workload", Problems: []*FieldError{{Field: "syntax", Problem: err.Error()}}}
	}
	if err := w.check(); err != nil {
		return Workload{}, err
	}
	return w, nil
}

// MaxNameLength is the longest accepted name or id, in bytes.
const MaxNameLength = 64

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9_.-]*[a-z0-9])?$`)

// checker gathers the problems of one document.
type checker struct{ problems []*FieldError }

func (c *checker) fail(field, format string, args ...any) {
	c.problems = append(c.problems, &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) name(field, value string) {
	if len(value) > MaxNameLength || !nameForm.MatchString(value) {
		c.fail(field, "got %q, want 1 to %d of a-z, 0-9, '.', '_', '-', starting and ending with a letter or digit", value, MaxNameLength)
	}
}

func (c *checker) within(field string, value, least, most int) {
	if value < least || value > most {
		c.fail(field, "got %d, want %d to %d", value, least, most)
	}
}

func (c *checker) size(field string, r, worker Resources) {
	if r.MilliCPU < 1 || r.MemoryMB < 1 || r.Accelerators < 0 {
		c.fail(field, "got milli_cpu %d, memory_mb %d, accelerators %d, want 1 or more, 1 or more, 0 or more", r.MilliCPU, r.MemoryMB, r.Accelerators)
		return
	}
	if worker != (Resources{}) && !r.FitsIn(worker) {
		c.fail(field, "larger than any worker (milli_cpu %d, memory_mb %d, accelerators %d)", worker.MilliCPU, worker.MemoryMB, worker.Accelerators)
	}
}

func (c *checker) err(document string) error {
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Document: document, Problems: c.problems}
}

func (w *Workload) check() error {
	c := &checker{}
	c.name("user", w.User)
	domains := map[string]bool{}
	c.within("platform.domains", len(w.Platform.Domains), 1, 64)
	for i, d := range w.Platform.Domains {
		f := fmt.Sprintf("platform.domains[%d]", i)
		c.name(f+".name", d.Name)
		c.within(f+".workers", d.Workers, 1, 10_000)
		c.within(f+".entry_instances", d.EntryInstances, 1, 64)
		if domains[d.Name] {
			c.fail(f+".name", "%q stands twice", d.Name)
		}
		domains[d.Name] = true
	}
	teams := map[string]bool{}
	for i, t := range w.Teams {
		f := fmt.Sprintf("teams[%d]", i)
		c.name(f+".name", t.Name)
		c.within(f+".weight", t.Weight, 1, 1000)
		teams[t.Name] = true
	}
	c.services(w.Services, teams, w.Platform.Worker)
	c.watchers(w.Watchers, teams, w.Platform.Worker)
	ids := map[string]bool{}
	for i, j := range w.Jobs {
		f := fmt.Sprintf("jobs[%d]", i)
		if ids[j.ID] {
			c.fail(f+".id", "%q stands twice", j.ID)
		}
		ids[j.ID] = true
		c.job(f, j, teams, domains, w.Platform.Worker)
	}
	return c.err("workload")
}

func (c *checker) team(field, team string, teams map[string]bool) {
	if !teams[team] {
		c.fail(field, "unknown team %q", team)
	}
}

func (c *checker) services(services []Service, teams map[string]bool, worker Resources) {
	for i, s := range services {
		f := fmt.Sprintf("services[%d]", i)
		c.name(f+".name", s.Name)
		c.team(f+".team", s.Team, teams)
		c.within(f+".replicas", s.Replicas, 0, 10_000)
		c.size(f+".resources", s.Resources, worker)
	}
}

func (c *checker) watchers(watchers []Watcher, teams map[string]bool, worker Resources) {
	for i, s := range watchers {
		f := fmt.Sprintf("watchers[%d]", i)
		c.name(f+".name", s.Name)
		c.team(f+".team", s.Team, teams)
		c.size(f+".resources", s.Resources, worker)
	}
}

func (c *checker) job(f string, j BatchJob, teams, domains map[string]bool, worker Resources) {
	c.name(f+".id", j.ID)
	c.name(f+".kind", j.Kind)
	c.team(f+".team", j.Team, teams)
	c.within(f+".tasks", j.Tasks, 1, 10_000)
	c.size(f+".resources", j.Resources, worker)
	if j.RunTime <= 0 {
		c.fail(f+".run_time", "got %s, want more than 0s", j.RunTime)
	}
	if j.Deadline < 0 {
		c.fail(f+".deadline", "got %s, want 0s or more", j.Deadline)
	}
	if j.Domain != "" && !domains[j.Domain] {
		c.fail(f+".domain", "unknown failure domain %q", j.Domain)
	}
}

// CheckJob checks one job against the configuration that is in force.
func CheckJob(j BatchJob, cfg *Config) error {
	c := &checker{}
	teams, domains := map[string]bool{}, map[string]bool{}
	for _, t := range cfg.Teams {
		teams[t.Name] = true
	}
	for _, d := range cfg.Domains {
		domains[d] = true
	}
	c.job("job", j, teams, domains, Resources{})
	return c.err("job")
}

// CheckConfig checks a configuration document before it is proposed.
func CheckConfig(cfg *Config) error {
	c := &checker{}
	known := false
	for _, p := range Presets {
		known = known || p == cfg.Preset
	}
	if !known {
		c.fail("preset", "got %q, want one of %v", cfg.Preset, Presets)
	}
	domains := map[string]bool{}
	for i, d := range cfg.Domains {
		c.name(fmt.Sprintf("domains[%d]", i), d)
		domains[d] = true
	}
	for i, d := range cfg.DomainsOut {
		if !domains[d] {
			c.fail(fmt.Sprintf("domains_out[%d]", i), "unknown failure domain %q", d)
		}
	}
	teams := map[string]bool{}
	for _, t := range cfg.Teams {
		teams[t.Name] = true
	}
	c.services(cfg.Services, teams, Resources{})
	c.watchers(cfg.Watchers, teams, Resources{})
	return c.err("configuration")
}
