package declarer

import (
	"slices"
	"time"
)

// KeptChanges is how many accepted changes the configuration remembers, so
// that a writer whose answer was lost can look for its own.
const KeptChanges = 16

// Config is the operators' configuration with the declared work. It must not
// be changed once it is shared.
type Config struct {
	// Revision counts accepted changes; it only grows.
	Revision uint64 `json:"revision"`
	Preset   Preset `json:"preset"`
	// Domains are the failure domains that work may be spread over, sorted.
	Domains []string `json:"domains"`
	// DomainsOut are the members of Domains that are out of service, sorted.
	DomainsOut []string `json:"domains_out"`
	// Worker is the size of the largest worker; the zero value if unknown.
	Worker   Resources `json:"worker"`
	Services []Service `json:"services"`
	Watchers []Watcher `json:"watchers"`
	Teams    []Team    `json:"teams"`
	// WorkHash names the encoded declared work; empty before the first
	// declaration.
	WorkHash string `json:"work_hash"`
	// Changes are the last accepted changes, oldest first, with ascending
	// revisions of which the last is Revision.
	Changes []ChangeNote `json:"changes"`
}

// ChangeNote identifies one accepted change of the configuration.
type ChangeNote struct {
	ID       string `json:"id" cbor:"1,keyasint"`
	Revision uint64 `json:"revision" cbor:"2,keyasint"`
	Operator string `json:"operator" cbor:"3,keyasint"`
	Summary  string `json:"summary" cbor:"4,keyasint"`
	// At is when the daemon proposed the change, by its own clock, in seconds.
	At time.Time `json:"at" cbor:"5,keyasint"`
}

// IsOut reports whether domain is out of service. A domain that the
// configuration does not name is out.
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

// ReplicasIn returns how many replicas of s the given domain should run. The
// result follows from the configuration alone, so that the owners of the
// domains need no agreement; the counts over all domains in service add up to
// s.Replicas.
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

// WatcherDomain returns the domain that should run the watcher at the given
// position of the document, or "" when every domain is out of service.
func (c *Config) WatcherDomain(position int) string {
	in := c.DomainsIn()
	if len(in) == 0 {
		return ""
	}
	return in[position%len(in)]
}
