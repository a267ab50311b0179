package declarer

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Workload is the content of a workload file: the platform that it is written for
// and the work to declare.
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
	Domains []Domain `yaml:"domains"`
	// Worker is the capacity of the largest worker.
	Worker         Resources `yaml:"worker"`
	WorkersPerRack int       `yaml:"workers_per_rack"`
	// OneWayBetweenDomains and OneWayToClients are one-way network latencies.
	OneWayBetweenDomains time.Duration `yaml:"one_way_between_domains"`
	OneWayToClients      time.Duration `yaml:"one_way_to_clients"`
	// RunnerSlots is the number of requests that a runner serves at a time, and
	// RunnerConnections the number of connections that it accepts.
	RunnerSlots       int `yaml:"runner_slots"`
	RunnerConnections int `yaml:"runner_connections"`
}

// Domain is one failure domain with the numbers of its instances.
type Domain struct {
	Name    string `yaml:"name"`
	Workers int    `yaml:"workers"`
	// EntryInstances is the number of instances that run a daemon.
	EntryInstances int `yaml:"entry_instances"`
}

// FieldError reports a problem with one field of a document.
type FieldError struct {
	// Field is the path of the field, such as "services[0].replicas".
	Field string
	// Problem says what was found and what is accepted.
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// InvalidError has every problem of a document. Its message lists the first ones.
type InvalidError struct {
	Document string
	Problems []*FieldError
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%s has %d problems", e.Document, len(e.Problems)))
	shown := e.Problems[:min(len(e.Problems), maxShownProblems)]
	for _, p := range shown {
		lines = append(lines, "  "+p.Error())
	}
	if more := len(e.Problems) - len(shown); more > 0 {
		lines = append(lines, fmt.Sprintf("  and %d more", more))
	}
	return strings.Join(lines, "\n")
}

const (
	// maxFileBytes is the maximum size of a workload file. A file with 340 teams and
	// a few hundred services has less than 100 KB.
	maxFileBytes = 512 << 10
	// maxLineBytes, maxIndentation and maxBrackets bound the nesting depth, since the
	// YAML parser takes a minute for 100,000 opening brackets.
	maxLineBytes   = 1000
	maxIndentation = 64
	maxBrackets    = 64
	// maxMessageBytes bounds the text of one problem, which may quote the file.
	maxMessageBytes = 600
	// maxShownProblems bounds the problems that an error message lists.
	maxShownProblems = 50
)

// fileLimits checks that a file is small enough, and its nesting low enough, to be
// parsed in reasonable time.
func (c *checker) fileLimits(data []byte) {
	if len(data) > maxFileBytes {
		c.addProblem("size", "got %d bytes, want at most %d", len(data), maxFileBytes)
		return
	}
	open := 0
	for i, line := range bytes.FieldsFunc(data, func(r rune) bool { return r == '\n' || r == '\r' }) {
		text := bytes.TrimLeft(line, " \t-?:")
		open += bytes.Count(line, []byte("[")) + bytes.Count(line, []byte("{")) - bytes.Count(line, []byte("]")) - bytes.Count(line, []byte("}"))
		switch {
		case len(line) > maxLineBytes:
			c.addProblem("syntax", "non-empty line %d has %d bytes, want at most %d", i+1, len(line), maxLineBytes)
			return
		case len(line)-len(text) > maxIndentation || open > maxBrackets:
			c.addProblem("syntax", "non-empty line %d is nested too deeply, want at most %d columns and %d open brackets", i+1, maxIndentation, maxBrackets)
			return
		}
	}
}

// truncateMessage cuts s after maxMessageBytes and appends " ..." if it is longer.
func truncateMessage(s string) string {
	if len(s) > maxMessageBytes {
		return strings.ToValidUTF8(s[:maxMessageBytes], "") + " ..."
	}
	return s
}

// Parse parses and checks a workload file. The error is an InvalidError.
func Parse(data []byte) (Workload, error) {
	c := &checker{}
	if c.fileLimits(data); len(c.problems) > 0 {
		return Workload{}, c.err("workload")
	}
	var w Workload
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(&w); err != nil {
		c.addProblem("syntax", "%s", err.Error())
		return Workload{}, c.err("workload")
	}
	if err := w.check(); err != nil {
		return Workload{}, err
	}
	return w, nil
}

// check returns an InvalidError with every problem of the content, or nil.
func (w *Workload) check() error {
	c := &checker{}
	c.name("user", w.User)
	domains := c.platform(w.Platform)
	teams := c.teams(w.Teams)
	names := map[string]bool{}
	c.services(w.Services, teams, names, w.Platform.Worker)
	c.watchers(w.Watchers, teams, names, w.Platform.Worker)
	ids := map[string]bool{}
	for i, j := range w.Jobs {
		f := fmt.Sprintf("jobs[%d]", i)
		c.unique(f+".id", j.ID, ids)
		c.job(f, j, teams, domains, w.Platform.Worker)
	}
	return c.err("workload")
}

// platform checks p and returns the set of its domains.
func (c *checker) platform(p Platform) map[string]bool {
	domains := map[string]bool{}
	c.intRange("platform.domains", len(p.Domains), 1, maxDomains)
	for i, d := range p.Domains {
		f := fmt.Sprintf("platform.domains[%d]", i)
		c.name(f+".name", d.Name)
		c.unique(f+".name", d.Name, domains)
		c.intRange(f+".workers", d.Workers, 1, 10_000)
		c.intRange(f+".entry_instances", d.EntryInstances, 1, 64)
	}
	c.taskSize("platform.worker", p.Worker, Resources{})
	c.intRange("platform.workers_per_rack", p.WorkersPerRack, 1, 10_000)
	c.intRange("platform.runner_slots", p.RunnerSlots, 1, 1024)
	c.intRange("platform.runner_connections", p.RunnerConnections, p.RunnerSlots, 65_536)
	c.durationRange("platform.one_way_between_domains", p.OneWayBetweenDomains, 0, time.Second)
	c.durationRange("platform.one_way_to_clients", p.OneWayToClients, 0, time.Second)
	return domains
}
