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
	// maxAmount bounds each amount of resources, so that sums over a fleet of
	// 10,000 workers stay far from the limits of an int64.
	maxAmount     = 1_000_000_000_000
	maxTasks      = 10_000
	maxReplicas   = 10_000
	maxDomains    = 64
	maxRunTime    = 30 * 24 * time.Hour
	maxNoteLength = 128
)

var (
	nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9_.-]*[a-z0-9])?$`)
	hashForm = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// IsName reports whether s is accepted as the name of a domain, service,
// watcher, team or daemon and as the id of a job or change.
func IsName(s string) bool { return len(s) <= MaxNameLength && nameForm.MatchString(s) }

// NameRange says what IsName accepts.
const NameRange = "1 to 64 of a-z, 0-9, '.', '_', '-', starting and ending with a letter or digit"

// checker gathers the problems of one document.
type checker struct{ problems []*FieldError }

func (c *checker) fail(field, format string, args ...any) {
	c.problems = append(c.problems, &FieldError{Field: field, Problem: shorten(fmt.Sprintf(format, args...))})
}

func (c *checker) err(document string) error {
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidError{Document: document, Problems: c.problems}
}

func (c *checker) name(field, value string) {
	if !IsName(value) {
		c.fail(field, "got %q, want %s", value, NameRange)
	}
}

// once fails when value was seen before.
func (c *checker) once(field, value string, seen map[string]bool) {
	if seen[value] {
		c.fail(field, "%q stands twice", value)
	}
	seen[value] = true
}

func (c *checker) within(field string, value, least, most int) {
	if value < least || value > most {
		c.fail(field, "got %d, want %d to %d", value, least, most)
	}
}

func (c *checker) between(field string, value, least, most time.Duration) {
	if value < least || value > most {
		c.fail(field, "got %s, want %s to %s", value, least, most)
	}
}

// text checks a line that is shown to operators.
func (c *checker) text(field, value string) {
	if value == "" || len(value) > maxNoteLength || strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		c.fail(field, "got %q, want 1 to %d bytes without control characters", value, maxNoteLength)
	}
}

func (c *checker) amounts(field string, r Resources) {
	if r.IsNegative() || !r.FitsIn(Resources{maxAmount, maxAmount, maxAmount}) {
		c.fail(field, "got milli_cpu %d, memory_mb %d, accelerators %d, want each 0 to %d", r.MilliCPU, r.MemoryMB, r.Accelerators, int64(maxAmount))
	}
}

// size checks the declared size of a task; a zero worker allows any.
func (c *checker) size(field string, r, worker Resources) {
	if r.MilliCPU < 1 || r.MemoryMB < 1 || r.IsNegative() || !r.FitsIn(Resources{maxAmount, maxAmount, maxAmount}) {
		c.fail(field, "got milli_cpu %d, memory_mb %d, accelerators %d, want 1 or more, 1 or more, 0 or more, each at most %d", r.MilliCPU, r.MemoryMB, r.Accelerators, int64(maxAmount))
		return
	}
	if worker != (Resources{}) && !r.FitsIn(worker) {
		c.fail(field, "got milli_cpu %d, memory_mb %d, accelerators %d: larger than any worker (milli_cpu %d, memory_mb %d, accelerators %d)",
			r.MilliCPU, r.MemoryMB, r.Accelerators, worker.MilliCPU, worker.MemoryMB, worker.Accelerators)
	}
}

func (c *checker) team(field, team string, teams map[string]bool) {
	if !teams[team] {
		c.fail(field, "unknown team %q", team)
	}
}

func (c *checker) teams(teams []Team) map[string]bool {
	names := map[string]bool{}
	for i, t := range teams {
		f := fmt.Sprintf("teams[%d]", i)
		c.name(f+".name", t.Name)
		c.once(f+".name", t.Name, names)
		c.amounts(f+".quota", t.Quota)
		c.within(f+".weight", t.Weight, 1, 1000)
	}
	return names
}

func (c *checker) services(services []Service, teams, names map[string]bool, worker Resources) {
	for i, s := range services {
		f := fmt.Sprintf("services[%d]", i)
		c.name(f+".name", s.Name)
		c.once(f+".name", s.Name, names)
		c.team(f+".team", s.Team, teams)
		c.within(f+".replicas", s.Replicas, 0, maxReplicas)
		c.size(f+".resources", s.Resources, worker)
	}
}

func (c *checker) watchers(watchers []Watcher, teams, names map[string]bool, worker Resources) {
	for i, s := range watchers {
		f := fmt.Sprintf("watchers[%d]", i)
		c.name(f+".name", s.Name)
		c.once(f+".name", s.Name, names)
		c.team(f+".team", s.Team, teams)
		c.size(f+".resources", s.Resources, worker)
	}
}

func (c *checker) job(f string, j BatchJob, teams, domains map[string]bool, worker Resources) {
	c.name(f+".id", j.ID)
	c.name(f+".kind", j.Kind)
	c.team(f+".team", j.Team, teams)
	c.within(f+".tasks", j.Tasks, 1, maxTasks)
	c.size(f+".resources", j.Resources, worker)
	c.between(f+".run_time", j.RunTime, 1, maxRunTime)
	c.between(f+".deadline", j.Deadline, 0, maxRunTime)
	if j.Domain != "" && !domains[j.Domain] {
		c.fail(f+".domain", "unknown failure domain %q", j.Domain)
	}
}

func (c *checker) work(w Work) {
	c.amounts("worker", w.Worker)
	teams := c.teams(w.Teams)
	names := map[string]bool{}
	c.services(w.Services, teams, names, w.Worker)
	c.watchers(w.Watchers, teams, names, w.Worker)
}

func (c *checker) head(h Head) {
	if h.Revision == 0 {
		c.fail("revision", "got 0, want 1 or more")
	}
	if !slices.Contains(Presets, h.Preset) {
		c.fail("preset", "got %q, want one of %v", h.Preset, Presets)
	}
	if h.WorkHash != "" && !hashForm.MatchString(h.WorkHash) {
		c.fail("work_hash", "got %q, want 64 hexadecimal digits or nothing", h.WorkHash)
	}
	domains := map[string]bool{}
	c.within("domains", len(h.Domains), 0, maxDomains)
	for i, d := range h.Domains {
		f := fmt.Sprintf("domains[%d]", i)
		c.name(f, d)
		c.once(f, d, domains)
	}
	out := map[string]bool{}
	for i, d := range h.DomainsOut {
		f := fmt.Sprintf("domains_out[%d]", i)
		c.once(f, d, out)
		if !domains[d] {
			c.fail(f, "unknown failure domain %q; known are %v", d, h.Domains)
		}
	}
	c.notes(h)
}

func (c *checker) notes(h Head) {
	c.within("changes", len(h.Changes), 1, KeptChanges)
	ids := map[string]bool{}
	for i, n := range h.Changes {
		f := fmt.Sprintf("changes[%d]", i)
		c.name(f+".id", n.ID)
		c.once(f+".id", n.ID, ids)
		c.text(f+".operator", n.Operator)
		c.text(f+".summary", n.Summary)
		if want := h.Revision - uint64(len(h.Changes)-1-i); n.Revision != want {
			c.fail(f+".revision", "got %d, want %d", n.Revision, want)
		}
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
	c.job("job", j, teams, domains, cfg.Worker)
	switch {
	case j.Domain != "" && domains[j.Domain] && cfg.IsOut(j.Domain):
		c.fail("job.domain", "failure domain %q is out of service; in service are %v", j.Domain, cfg.DomainsIn())
	case j.Domain == "" && len(cfg.DomainsIn()) == 0:
		c.fail("job.domain", "every failure domain is out of service")
	}
	return c.err("job")
}

// CheckConfig checks a configuration before it is proposed.
func CheckConfig(cfg *Config) error {
	c := &checker{}
	c.head(cfg.Head())
	c.work(cfg.Work())
	return c.err("configuration")
}

// CheckChange checks what identifies a proposed change.
func CheckChange(id, operator, summary string) error {
	c := &checker{}
	c.name("change_id", id)
	c.text("operator", operator)
	c.text("summary", summary)
	return c.err("change")
}
