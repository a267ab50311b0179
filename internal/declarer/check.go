package declarer

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// MaxNameLength is the longest accepted name or id, in bytes.
const MaxNameLength = 64

const (
	// maxAmount bounds each amount of resources, so that sums over 10,000 workers
	// are far from overflowing an int64.
	maxAmount = 1_000_000_000_000
	// maxTasks bounds the tasks of one job, maxReplicas the replicas of one service.
	maxTasks    = 10_000
	maxReplicas = 10_000
	maxDomains  = 64
	// maxRunTime bounds the run time of a task and the deadline of a job.
	maxRunTime   = 30 * 24 * time.Hour
	maxTextBytes = 128
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9_.-]*[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// IsName reports whether s is a valid name of a domain, service, watcher, team or
// daemon, or a valid id of a job or change.
func IsName(s string) bool { return len(s) <= MaxNameLength && namePattern.MatchString(s) }

// NameRange describes for error messages what IsName accepts.
const NameRange = "1 to 64 of a-z, 0-9, '.', '_', '-', starting and ending with a letter or digit"

// checker collects the problems of one document. Its methods check the value of a
// field and add a problem if the value is not accepted.
type checker struct{ problems []*FieldError }

func (c *checker) addProblem(field, format string, args ...any) {
	c.problems = append(c.problems, &FieldError{Field: field, Problem: truncateMessage(fmt.Sprintf(format, args...))})
}

// err returns an InvalidError with the collected problems, or nil if there are none.
func (c *checker) err(document string) error {
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Document: document, Problems: c.problems}
}

func (c *checker) name(field, value string) {
	if !IsName(value) {
		c.addProblem(field, "got %q, want %s", value, NameRange)
	}
}

// unique checks that value is not in seen, and adds it.
func (c *checker) unique(field, value string, seen map[string]bool) {
	if seen[value] {
		c.addProblem(field, "%q occurs twice", value)
	}
	seen[value] = true
}

func (c *checker) intRange(field string, value, least, most int) {
	if value < least || value > most {
		c.addProblem(field, "got %d, want %d to %d", value, least, most)
	}
}

func (c *checker) durationRange(field string, value, least, most time.Duration) {
	if value < least || value > most {
		c.addProblem(field, "got %s, want %s to %s", value, least, most)
	}
}

// text checks a single line of text that is shown to operators.
func (c *checker) text(field, value string) {
	if value == "" || len(value) > maxTextBytes || strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		c.addProblem(field, "got %q, want 1 to %d bytes without control characters", value, maxTextBytes)
	}
}

func (c *checker) resources(field string, r Resources) {
	if r.IsNegative() || !r.FitsIn(Resources{maxAmount, maxAmount, maxAmount}) {
		c.addProblem(field, "got milli_cpu %d, memory_mb %d, accelerators %d, want each 0 to %d", r.MilliCPU, r.MemoryMB, r.Accelerators, int64(maxAmount))
	}
}

// taskSize checks the declared size of a task. It must fit in worker unless worker is
// the zero value.
func (c *checker) taskSize(field string, r, worker Resources) {
	if r.MilliCPU < 1 || r.MemoryMB < 1 || r.IsNegative() || !r.FitsIn(Resources{maxAmount, maxAmount, maxAmount}) {
		c.addProblem(field, "got milli_cpu %d, memory_mb %d, accelerators %d, want 1 or more, 1 or more, 0 or more, each at most %d", r.MilliCPU, r.MemoryMB, r.Accelerators, int64(maxAmount))
		return
	}
	if worker != (Resources{}) && !r.FitsIn(worker) {
		c.addProblem(field, "got milli_cpu %d, memory_mb %d, accelerators %d: larger than any worker (milli_cpu %d, memory_mb %d, accelerators %d)",
			r.MilliCPU, r.MemoryMB, r.Accelerators, worker.MilliCPU, worker.MemoryMB, worker.Accelerators)
	}
}

func (c *checker) team(field, team string, teams map[string]bool) {
	if !teams[team] {
		c.addProblem(field, "unknown team %q", team)
	}
}

// teams checks the teams and returns the set of their names.
func (c *checker) teams(teams []Team) map[string]bool {
	names := map[string]bool{}
	for i, t := range teams {
		f := fmt.Sprintf("teams[%d]", i)
		c.name(f+".name", t.Name)
		c.unique(f+".name", t.Name, names)
		c.resources(f+".quota", t.Quota)
		c.intRange(f+".weight", t.Weight, 1, 1000)
	}
	return names
}

func (c *checker) services(services []Service, teams, names map[string]bool, worker Resources) {
	for i, s := range services {
		f := fmt.Sprintf("services[%d]", i)
		c.name(f+".name", s.Name)
		c.unique(f+".name", s.Name, names)
		c.team(f+".team", s.Team, teams)
		c.intRange(f+".replicas", s.Replicas, 0, maxReplicas)
		c.taskSize(f+".resources", s.Resources, worker)
	}
}

func (c *checker) watchers(watchers []Watcher, teams, names map[string]bool, worker Resources) {
	for i, s := range watchers {
		f := fmt.Sprintf("watchers[%d]", i)
		c.name(f+".name", s.Name)
		c.unique(f+".name", s.Name, names)
		c.team(f+".team", s.Team, teams)
		c.taskSize(f+".resources", s.Resources, worker)
	}
}

func (c *checker) job(f string, j BatchJob, teams, domains map[string]bool, worker Resources) {
	c.name(f+".id", j.ID)
	c.name(f+".kind", j.Kind)
	c.team(f+".team", j.Team, teams)
	c.intRange(f+".tasks", j.Tasks, 1, maxTasks)
	c.taskSize(f+".resources", j.Resources, worker)
	c.durationRange(f+".run_time", j.RunTime, 1, maxRunTime)
	c.durationRange(f+".deadline", j.Deadline, 0, maxRunTime)
	if j.Domain != "" && !domains[j.Domain] {
		c.addProblem(f+".domain", "unknown failure domain %q", j.Domain)
	}
}

func (c *checker) work(w Work) {
	c.resources("worker", w.Worker)
	teams := c.teams(w.Teams)
	names := map[string]bool{}
	c.services(w.Services, teams, names, w.Worker)
	c.watchers(w.Watchers, teams, names, w.Worker)
}

func (c *checker) head(h Head) {
	if h.Revision == 0 {
		c.addProblem("revision", "got 0, want 1 or more")
	}
	if !slices.Contains(Presets, h.Preset) {
		c.addProblem("preset", "got %q, want one of %v", h.Preset, Presets)
	}
	if h.WorkHash != "" && !hashPattern.MatchString(h.WorkHash) {
		c.addProblem("work_hash", "got %q, want 64 hexadecimal digits or nothing", h.WorkHash)
	}
	domains := map[string]bool{}
	c.intRange("domains", len(h.Domains), 0, maxDomains)
	for i, d := range h.Domains {
		f := fmt.Sprintf("domains[%d]", i)
		c.name(f, d)
		c.unique(f, d, domains)
	}
	out := map[string]bool{}
	for i, d := range h.DomainsOut {
		f := fmt.Sprintf("domains_out[%d]", i)
		c.unique(f, d, out)
		if !domains[d] {
			c.addProblem(f, "unknown failure domain %q; known are %v", d, h.Domains)
		}
	}
	c.changes(h)
}

func (c *checker) changes(h Head) {
	c.intRange("changes", len(h.Changes), 1, KeptChanges)
	ids := map[string]bool{}
	for i, n := range h.Changes {
		f := fmt.Sprintf("changes[%d]", i)
		c.name(f+".id", n.ID)
		c.unique(f+".id", n.ID, ids)
		c.text(f+".operator", n.Operator)
		c.text(f+".summary", n.Summary)
		if want := h.Revision - uint64(len(h.Changes)-1-i); n.Revision != want {
			c.addProblem(f+".revision", "got %d, want %d", n.Revision, want)
		}
	}
}

// CheckJob checks a job against the configuration in force. The error is an
// InvalidError.
func CheckJob(j BatchJob, cfg *Config) error {
	c := &checker{}
	teams, domains := map[string]bool{}, map[string]bool{}
	for _, t := range cfg.Teams {
		teams[t.Name] = true
	}
	for _, d := range cfg.Domains {
		domains[d] = true
	}
	c.job("job", j, teams, domains, cfg.Worker)
	switch {
	case j.Domain != "" && domains[j.Domain] && cfg.IsOut(j.Domain):
		c.addProblem("job.domain", "failure domain %q is out of service; in service are %v", j.Domain, cfg.DomainsIn())
	case j.Domain == "" && len(cfg.DomainsIn()) == 0:
		c.addProblem("job.domain", "every failure domain is out of service")
	}
	return c.err("job")
}

// CheckConfig checks a configuration before it is proposed. The error is an
// InvalidError.
func CheckConfig(cfg *Config) error {
	c := &checker{}
	c.head(cfg.Head())
	c.work(cfg.Work())
	return c.err("configuration")
}

// CheckChange checks the id, operator and summary of a proposed change. The error is
// an InvalidError.
func CheckChange(id, operator, summary string) error {
	c := &checker{}
	c.name("change_id", id)
	c.text("operator", operator)
	c.text("summary", summary)
	return c.err("change")
}
