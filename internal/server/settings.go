package server

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// Settings are a daemon's settings as they were given. They are checked as a
// whole, so that every error is reported at once.
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
	// PanicOnViolation makes a violated invariant panic, for tests.
	PanicOnViolation bool
}

// addressRange says which addresses are accepted.
const addressRange = "a numeric IP address and a port from 1 to 65535, such as 10.1.2.3:7001"

const (
	defaultDrainTimeout = 30 * time.Second
	maxDrainTimeout     = 10 * time.Minute
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Register adds the settings' flags to app. None is required by the parser:
// check reports what is missing together with all other errors.
func (s *Settings) Register(app *kingpin.Application) {
	app.Flag("id", "Name of this daemon; no other daemon has it.").StringVar(&s.ID)
	app.Flag("domain", "Failure domain of this daemon.").StringVar(&s.Domain)
	app.Flag("traffic", "Address for callers, such as 10.1.2.3:7000.").StringVar(&s.Traffic)
	app.Flag("control", "Address for peers, operators and metrics; peers call this address.").StringVar(&s.Control)
	app.Flag("store", "Address of the platform's key-value service.").StringVar(&s.Store)
	app.Flag("peer", "Control address of another daemon; may be repeated.").StringsVar(&s.Peers)
	app.Flag("log-level", "Least level to log: debug, info, warn or error.").Default("info").StringVar(&s.LogLevel)
	app.Flag("drain-timeout", "How long a stop waits for requests in progress, 0s to 10m.").Default(defaultDrainTimeout.String()).StringVar(&s.DrainTimeout)
	app.Flag("panic-on-violation", "Panic when an invariant is violated; for tests.").BoolVar(&s.PanicOnViolation)
}

// SettingError says what is wrong with one setting.
type SettingError struct {
	// Setting is the name of the flag without its dashes, or the name of an
	// environment variable.
	Setting string
	Value   string
	// Want is the accepted range.
	Want string
}

func (e *SettingError) Error() string {
	name := e.Setting
	if name == strings.ToLower(name) {
		name = "--" + name
	}
	return fmt.Sprintf("%s: got %q, want %s", name, e.Value, e.Want)
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

// CheckEnvironment returns a SettingsError with each variable that starts with
// the given prefix and is no setting of app. A misspelt variable would
// otherwise be ignored silently.
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
	return e.orNil()
}

func (e *SettingsError) orNil() error {
	if len(e.Problems) == 0 {
		return nil
	}
	return e
}

// checked are the settings in the types that the parts take.
type checked struct {
	Settings
	traffic, control, store netip.AddrPort
	peers                   []netip.AddrPort
	drainTimeout            time.Duration
}

func (e *SettingsError) fail(setting, value, want string) {
	e.Problems = append(e.Problems, &SettingError{setting, value, want})
}

func (e *SettingsError) address(setting, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		e.fail(setting, value, addressRange)
		return netip.AddrPort{}
	}
	return a
}

// Check returns a SettingsError with every problem of the settings.
func (s Settings) Check() error {
	_, err := s.check()
	return err
}

func (s Settings) check() (checked, error) {
	c := checked{Settings: s, drainTimeout: defaultDrainTimeout}
	e := &SettingsError{}
	if !declarer.IsName(s.ID) {
		e.fail("id", s.ID, "a name that no other daemon has: "+declarer.NameRange)
	}
	if !declarer.IsName(s.Domain) {
		e.fail("domain", s.Domain, "the name of this daemon's failure domain: "+declarer.NameRange)
	}
	c.traffic, c.control, c.store = e.address("traffic", s.Traffic), e.address("control", s.Control), e.address("store", s.Store)
	for _, p := range s.Peers {
		c.peers = append(c.peers, e.address("peer", p))
	}
	if s.LogLevel != "" && !slices.Contains(logLevels, s.LogLevel) {
		e.fail("log-level", s.LogLevel, "one of "+strings.Join(logLevels, ", "))
	}
	if s.DrainTimeout != "" {
		var err error
		if c.drainTimeout, err = time.ParseDuration(s.DrainTimeout); err != nil || c.drainTimeout < 0 || c.drainTimeout > maxDrainTimeout {
			e.fail("drain-timeout", s.DrainTimeout, "a duration from 0s to 10m, such as 30s")
		}
	}
	c.checkTogether(e)
	return c, e.orNil()
}

// checkTogether finds settings that contradict each other.
func (c *checked) checkTogether(e *SettingsError) {
	if c.control.IsValid() && c.control.Addr().IsUnspecified() {
		e.fail("control", c.Control, "an address that peers can call, not one for every interface")
	}
	if c.control.IsValid() && c.traffic.Port() == c.control.Port() &&
		(c.traffic == c.control || (c.traffic.IsValid() && c.traffic.Addr().IsUnspecified())) {
		e.fail("control", c.Control, "an address other than that of --traffic")
	}
	if c.store.IsValid() && (c.store == c.control || c.store == c.traffic) {
		e.fail("store", c.Store, "an address other than those of --traffic and --control")
	}
	for i, p := range c.peers {
		switch {
		case !p.IsValid():
		case p == c.control || p == c.traffic || p == c.store:
			e.fail("peer", p.String(), "the control address of another daemon, not an address of --control, --traffic or --store")
		case slices.Contains(c.peers[:i], p):
			e.fail("peer", p.String(), "each peer once")
		}
	}
}
