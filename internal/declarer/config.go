package declarer

import (
	"slices"
	"time"
)

// KeptChanges is the number of accepted changes that the configuration keeps, so
// that a writer that got no response can find out whether its change was accepted.
const KeptChanges = 16

// Config is the operators' configuration with the declared work. It must not be
// modified after it has been shared between goroutines.
type Config struct {
	// Revision is the number of accepted changes. It never decreases.
	Revision uint64 `json:"revision"`
	Preset   Preset `json:"preset"`
	// Domains are the known failure domains, in service or not, sorted.
	Domains []string `json:"domains"`
	// DomainsOut are the members of Domains that are out of service, sorted.
	DomainsOut []string `json:"domains_out"`
	// Worker is the capacity of the largest worker; the zero value if unknown.
	Worker   Resources `json:"worker"`
	Services []Service `json:"services"`
	Watchers []Watcher `json:"watchers"`
	Teams    []Team    `json:"teams"`
	// WorkHash is the hash of the encoded declared work; empty before the first
	// declaration.
	WorkHash string `json:"work_hash"`
	// Changes are the last accepted changes, oldest first. Their revisions are
	// consecutive and end with Revision.
	Changes []ChangeNote `json:"changes"`
}

// ChangeNote identifies one accepted change of the configuration.
type ChangeNote struct {
	ID       string `json:"id" cbor:"1,keyasint"`
	Revision uint64 `json:"revision" cbor:"2,keyasint"`
	Operator string `json:"operator" cbor:"3,keyasint"`
	Summary  string `json:"summary" cbor:"4,keyasint"`
	// At is when a daemon proposed the change, by the clock of that daemon, in whole
	// seconds.
	At time.Time `json:"at" cbor:"5,keyasint"`
}

// IsOut reports whether domain is out of service. A domain that is not in Domains
// is out of service.
func (c *Config) IsOut(domain string) bool {
	return !slices.Contains(c.Domains, domain) || slices.Contains(c.DomainsOut, domain)
}

// DomainsIn returns the domains in service, in the order of Domains.
func (c *Config) DomainsIn() []string {
	var in []string
	for _, d := range c.Domains {
		if !c.IsOut(d) {
			in = append(in, d)
		}
	}
	return in
}

// ReplicasIn returns how many replicas of s the given domain should run. It depends
// on the configuration only, so that the owners of the domains need no coordination.
// The numbers of all domains in service add up to s.Replicas.
func (c *Config) ReplicasIn(s Service, domain string) int {
	in := c.DomainsIn()
	for i, d := range in {
		if d != domain {
			continue
		}
		n := s.Replicas / len(in)
		if i < s.Replicas%len(in) {
			n++
		}
		return n
	}
	return 0
}

// WatcherDomain returns the domain that should run the watcher at the given index
// of c.Watchers, or "" if every domain is out of service.
func (c *Config) WatcherDomain(index int) string {
	in := c.DomainsIn()
	if len(in) == 0 {
		return ""
	}
	return in[index%len(in)]
}
