package server

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Settings are the settings of a daemon as given by its flags and environment
// variables. They are checked together, so that every error is reported at
// once.
type Settings struct {
	ID       string
	Domain   string
	Traffic  string
	Control  string
	Store    string
	Peers    []string
	LogLevel string
	// DrainTimeout bounds how long a stop waits for requests in progress; the
	// empty string stands for 30s.
	DrainTimeout string
	// StopDelay is how long a stopping daemon still accepts connections, so
	// that the load balancer sees the failed readiness check first; the empty
	// string stands for 2s.
	StopDelay string
	// DomainCosts has the one-way latency to other domains by name, such as
	// 1.5ms for howrah.
	DomainCosts map[string]string
	// TraceFile receives spans as JSON lines; empty turns tracing off.
	TraceFile string
	// TraceRatio is the share of requests without a trace context that is
	// sampled; the empty string stands for 0.
	TraceRatio string
	// PanicOnViolation makes a violated invariant panic, for tests.
	PanicOnViolation bool
	// Clients are the limits for clients of both listeners.
	Clients ClientLimits
}

// addressRange describes the addresses that are accepted.
const addressRange = "a numeric IP address and a port from 1 to 65535, such as 10.1.2.3:7001"

const (
	defaultDrainTimeout = 30 * time.Second
	maxDrainTimeout     = 10 * time.Minute
	defaultStopDelay    = 2 * time.Second
	maxStopDelay        = time.Minute
	maxDomainCost       = time.Second
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Register adds the settings' flags to app. None is required by the parser:
// Check reports what is missing together with all other errors.
func (s *Settings) Register(app *kingpin.Application) {
	app.Flag("id", "Name of this daemon; no other daemon has it.").StringVar(&s.ID)
	app.Flag("domain", "Failure domain of this daemon.").StringVar(&s.Domain)
	app.Flag("traffic", "Address for callers, such as 10.1.2.3:7000.").StringVar(&s.Traffic)
	app.Flag("control", "Address for peers, operators and metrics; peers call this address.").StringVar(&s.Control)
	app.Flag("store", "Address of the platform's key-value service.").StringVar(&s.Store)
	app.Flag("peer", "Control address of another daemon; may be repeated.").StringsVar(&s.Peers)
	app.Flag("log-level", "Least level to log: debug, info, warn or error.").Default("info").StringVar(&s.LogLevel)
	app.Flag("drain-timeout", "How long a stop waits for requests in progress, 0s to 10m.").Default(defaultDrainTimeout.String()).StringVar(&s.DrainTimeout)
	app.Flag("stop-delay", "How long a stopping daemon still accepts connections after its readiness check fails, 0s to 1m.").Default(defaultStopDelay.String()).StringVar(&s.StopDelay)
	app.Flag("domain-cost", "One-way latency to another domain, such as howrah=1.5ms; may be repeated.").StringMapVar(&s.DomainCosts)
	app.Flag("trace-file", "File that receives spans as JSON lines; no tracing without it.").StringVar(&s.TraceFile)
	app.Flag("trace-ratio", "Share of requests without a trace context that is sampled, 0 to 1.").Default("0").StringVar(&s.TraceRatio)
	app.Flag("panic-on-violation", "Panic when an invariant is violated; for tests.").BoolVar(&s.PanicOnViolation)
	s.Clients.register(app)
}

// SettingError reports a setting that is not accepted.
type SettingError struct {
	// Setting is the name of the flag without its dashes, or the name of an
	// environment variable.
	Setting string
	Value   string
	// Want describes the accepted values.
	Want string
}

func (e *SettingError) Error() string {
	name := e.Setting
	if name == strings.ToLower(name) {
		name = "--" + name
	}
	return fmt.Sprintf("%s: got %q, want %s", name, e.Value, e.Want)
}

// SettingsError lists every setting that is not accepted.
type SettingsError struct{ Problems []*SettingError }

func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// CheckEnvironment returns a SettingsError with each variable that starts with
// prefix but sets no flag of app. Otherwise a misspelt variable would be
// ignored.
func CheckEnvironment(app *kingpin.Application, prefix string, environment []string) error {
	e := &SettingsError{}
	var known []string
	for _, f := range app.Model().Flags {
		if f.Envar != "" {
			known = append(known, f.Envar)
		}
	}
	for _, v := range environment {
		name, value, _ := strings.Cut(v, "=")
		if strings.HasPrefix(name, prefix) && !slices.Contains(known, name) {
			e.Problems = append(e.Problems, &SettingError{name, value, "one of the variables " + strings.Join(known, ", ")})
		}
	}
	return e.errorOrNil()
}

// errorOrNil returns e, or nil if e has no problems.
func (e *SettingsError) errorOrNil() error {
	if len(e.Problems) == 0 {
		return nil
	}
	return e
}

// parsedSettings are the settings in the types that the components take.
type parsedSettings struct {
	Settings
	traffic, control, store netip.AddrPort
	peers                   []netip.AddrPort
	domainCosts             map[string]time.Duration
	stopDelay               time.Duration
	traceRatio              float64
	drainTimeout            time.Duration
	limits                  parsedLimits
}

// add records a setting that is not accepted.
func (e *SettingsError) add(setting, value, want string) {
	e.Problems = append(e.Problems, &SettingError{setting, value, want})
}

// parseAddress returns the address of a setting, or records why it is not
// accepted.
func (e *SettingsError) parseAddress(setting, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		e.add(setting, value, addressRange)
		return netip.AddrPort{}
	}
	return a
}

// Check returns a SettingsError with every problem of the settings.
func (s Settings) Check() error {
	_, err := s.parse()
	return err
}

// parse returns the parsed settings, or a SettingsError with every problem of
// the settings.
func (s Settings) parse() (parsedSettings, error) {
	c := parsedSettings{Settings: s, drainTimeout: defaultDrainTimeout, stopDelay: defaultStopDelay}
	e := &SettingsError{}
	if !declarer.IsName(s.ID) {
		e.add("id", s.ID, "a name that no other daemon has: "+declarer.NameRange)
	}
	if !declarer.IsName(s.Domain) {
		e.add("domain", s.Domain, "the name of this daemon's failure domain: "+declarer.NameRange)
	}
	c.traffic, c.control, c.store = e.parseAddress("traffic", s.Traffic), e.parseAddress("control", s.Control), e.parseAddress("store", s.Store)
	for _, p := range s.Peers {
		c.peers = append(c.peers, e.parseAddress("peer", p))
	}
	if s.LogLevel != "" && !slices.Contains(logLevels, s.LogLevel) {
		e.add("log-level", s.LogLevel, "one of "+strings.Join(logLevels, ", "))
	}
	if s.DrainTimeout != "" {
		var err error
		if c.drainTimeout, err = time.ParseDuration(s.DrainTimeout); err != nil || c.drainTimeout < 0 || c.drainTimeout > maxDrainTimeout {
			e.add("drain-timeout", s.DrainTimeout, "a duration from 0s to 10m, such as 30s")
		}
	}
	c.parseRequestSettings(e)
	c.limits = s.Clients.parse(e)
	c.checkConflicts(e)
	return c, e.errorOrNil()
}

// parseRequestSettings parses the settings for requests of callers.
func (c *parsedSettings) parseRequestSettings(e *SettingsError) {
	var err error
	if c.StopDelay != "" {
		if c.stopDelay, err = time.ParseDuration(c.StopDelay); err != nil || c.stopDelay < 0 || c.stopDelay > maxStopDelay {
			e.add("stop-delay", c.StopDelay, "a duration from 0s to 1m, such as 2s")
		}
	}
	if c.TraceRatio != "" {
		if c.traceRatio, err = strconv.ParseFloat(c.TraceRatio, 64); err != nil || !(c.traceRatio >= 0 && c.traceRatio <= 1) {
			e.add("trace-ratio", c.TraceRatio, "a number from 0 to 1")
		}
	}
	c.domainCosts = map[string]time.Duration{}
	for _, domain := range slices.Sorted(maps.Keys(c.DomainCosts)) {
		d, err := time.ParseDuration(c.DomainCosts[domain])
		if err != nil || d < 0 || d > maxDomainCost {
			e.add("domain-cost", domain+"="+c.DomainCosts[domain], "a domain and its one-way latency from 0s to 1s, such as howrah=1.5ms")
		}
		c.domainCosts[domain] = d
	}
}

// checkConflicts reports settings that contradict each other.
func (c *parsedSettings) checkConflicts(e *SettingsError) {
	if c.control.IsValid() && c.control.Addr().IsUnspecified() {
		e.add("control", c.Control, "an address that peers can call, not one for every interface")
	}
	if c.control.IsValid() && c.traffic.Port() == c.control.Port() &&
		(c.traffic == c.control || (c.traffic.IsValid() && c.traffic.Addr().IsUnspecified())) {
		e.add("control", c.Control, "an address other than that of --traffic")
	}
	if c.store.IsValid() && (c.store == c.control || c.store == c.traffic) {
		e.add("store", c.Store, "an address other than those of --traffic and --control")
	}
	for i, p := range c.peers {
		switch {
		case !p.IsValid():
		case p == c.control || p == c.traffic || p == c.store:
			e.add("peer", p.String(), "the control address of another daemon, not an address of --control, --traffic or --store")
		case slices.Contains(c.peers[:i], p):
			e.add("peer", p.String(), "each peer once")
		}
	}
}
