package server

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Settings are a daemon's settings, before they are checked.
type Settings struct {
	ID       string
	Domain   string
	Traffic  string
	Control  string
	Store    string
	Peers    []string
	LogLevel string
	// DrainTimeout bounds how long a stop waits for requests in progress.
	DrainTimeout time.Duration
	// StopDelay is how long a stopping daemon still accepts connections, so
	// that the load balancer sees the failed readiness check first.
	StopDelay time.Duration
	// DomainCosts has the one-way latency to other domains, such as
	// howrah=1.5ms.
	DomainCosts map[string]string
	// TraceFile receives spans as JSON lines; empty turns tracing off.
	TraceFile string
	// TraceRatio is the share of requests without a trace context that is
	// sampled.
	TraceRatio float64
	// PanicOnViolation makes a violated invariant panic, for tests.
	PanicOnViolation bool
}

// SettingError says what is wrong with one setting.
type SettingError struct {
	Setting string
	Value   string
	Want    string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s: got %q, want %s", e.Setting, e.Value, e.Want)
}

// SettingsError lists every setting that isn't accepted.
type SettingsError struct{ Problems []*SettingError }

func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// checked are the settings in the types that the parts take.
type checked struct {
	Settings
	traffic, control, store netip.AddrPort
	peers                   []netip.AddrPort
	costs                   map[string]time.Duration
}

func (s Settings) check() (checked, error) {
	c := checked{Settings: s}
	e := &SettingsError{}
	fail := func(setting, value, want string) {
		e.Problems = append(e.Problems, &SettingError{setting, value, want})
	}
	address := func(setting, value string) netip.AddrPort {
		a, err := netip.ParseAddrPort(value)
		if err != nil || a.Port() == 0 {
			fail(setting, value, "a numeric IP address and a port from 1 to 65535, such as 127.0.0.1:7000")
		}
		return a
	}
	if s.ID == "" {
		fail("id", s.ID, "a name that no other daemon has")
	}
	if s.Domain == "" {
		fail("domain", s.Domain, "the name of this daemon's failure domain")
	}
	c.traffic, c.control, c.store = address("traffic", s.Traffic), address("control", s.Control), address("store", s.Store)
	if c.traffic == c.control && s.Traffic != "" {
		fail("control", s.Control, "an address other than that of --traffic")
	}
	for _, p := range s.Peers {
		c.peers = append(c.peers, address("peer", p))
	}
	if s.DrainTimeout < 0 || s.DrainTimeout > 10*time.Minute {
		fail("drain-timeout", s.DrainTimeout.String(), "0s to 10m")
	}
	if s.StopDelay < 0 || s.StopDelay > time.Minute {
		fail("stop-delay", s.StopDelay.String(), "0s to 1m")
	}
	if !(s.TraceRatio >= 0 && s.TraceRatio <= 1) {
		fail("trace-ratio", fmt.Sprint(s.TraceRatio), "0 to 1")
	}
	c.costs = map[string]time.Duration{}
	for _, domain := range slices.Sorted(maps.Keys(s.DomainCosts)) {
		d, err := time.ParseDuration(s.DomainCosts[domain])
		if err != nil || d < 0 || d > time.Second {
			fail("domain-cost", domain+"="+s.DomainCosts[domain], "a domain and its one-way latency from 0s to 1s, such as howrah=1.5ms")
		}
		c.costs[domain] = d
	}
	if len(e.Problems) > 0 {
		return checked{}, e
	}
	return c, nil
}
