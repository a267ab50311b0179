// Package configurer holds the operators' configuration and brings accepted
// changes to this daemon.
package configurer

import (
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	configKey  = "config"
	workPrefix = "config_work/"
)

// Options are what a configurer depends on.
type Options struct {
	Store storeclient.Store
	Log   *log.Logger
	// Owning reports whether this daemon owns a shard and so needs a
	// configuration that is confirmed often; nil stands for always.
	Owning func() bool
	// Violated is called when an invariant of the design does not hold.
	Violated func(invariant int, problem string)
	// Registry gets the metrics; nil for none.
	Registry prometheus.Registerer
}

// Configurer is safe for concurrent use.
type Configurer struct {
	options Options
	metrics metrics
	// proposing is held by the proposal in progress.
	proposing chan struct{}

	mu sync.Mutex
	// held only ever moves to a higher revision; nil before the first.
	held *held
	// confirmedAt is when the last read began that showed held's revision.
	confirmedAt time.Time
	// seen is the highest store revision of the head that was seen.
	seen    uint64
	changed chan struct{}
}

// held is a configuration with its encoded parts, for peers.
type held struct {
	config *declarer.Config
	head   []byte
	work   []byte
}

// metrics are the configurer's metrics.
type metrics struct {
	revision, age prometheus.GaugeFunc
	applied       *prometheus.CounterVec
	proposed      *prometheus.CounterVec
	stale         prometheus.Counter
	readFailures  prometheus.Counter
}

// New returns a configurer that holds no configuration yet.
func New(o Options) *Configurer {
	c := &Configurer{options: o, proposing: make(chan struct{}, 1), changed: make(chan struct{})}
	f := promauto.With(o.Registry)
	c.metrics = metrics{
		revision: f.NewGaugeFunc(prometheus.GaugeOpts{Name: "tarragond_config_revision", Help: "Revision of the configuration in force, 0 for none."}, func() float64 {
			return float64(c.revision())
		}),
		age: f.NewGaugeFunc(prometheus.GaugeOpts{Name: "tarragond_config_confirmation_age_seconds", Help: "Time since the last read of the store that confirmed the configuration, -1 for none."}, c.confirmationAge),
		applied: f.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_config_applied_total", Help: "Configurations that came into force, by where they came from."},
			[]string{"source"}),
		proposed: f.NewCounterVec(prometheus.CounterOpts{Name: "tarragond_config_proposals_total", Help: "Changes proposed through this daemon, by result."},
			[]string{"result"}),
		stale:        f.NewCounter(prometheus.CounterOpts{Name: "tarragond_config_stale_reads_total", Help: "Reads that showed a revision below the one in force."}),
		readFailures: f.NewCounter(prometheus.CounterOpts{Name: "tarragond_config_read_failures_total", Help: "Reads of the configuration that the store did not answer."}),
	}
	return c
}

func (c *Configurer) revision() uint64 {
	if config, _ := c.Current(); config != nil {
		return config.Revision
	}
	return 0
}

func (c *Configurer) confirmationAge() float64 {
	if _, at := c.Current(); !at.IsZero() {
		return time.Since(at).Seconds()
	}
	return -1
}

// Current returns the configuration, nil if there is none, and when the last
// read that confirmed it began. The document must not be changed.
func (c *Configurer) Current() (*declarer.Config, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		return nil, time.Time{}
	}
	return c.held.config, c.confirmedAt
}

// Changed returns a channel that is closed at the next change.
func (c *Configurer) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Encode returns the encoded head and work for a peer, revision zero if there
// are none. The work is left out if its hash is knownWork.
func (c *Configurer) Encode(knownWork string) (revision uint64, head, work []byte) {
	h := c.current()
	if h == nil {
		return 0, nil, nil
	}
	if h.config.WorkHash != knownWork {
		work = h.work
	}
	return h.config.Revision, h.head, work
}

func (c *Configurer) current() *held {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// WorkHash names the declared work that is held, "" for none.
func (c *Configurer) WorkHash() string {
	if h := c.current(); h != nil {
		return h.config.WorkHash
	}
	return ""
}

// Adopt takes over the configuration that a peer holds if it is newer. Work may
// be nil if this daemon holds the work that the head names.
func (c *Configurer) Adopt(head, work []byte) error {
	h, err := declarer.DecodeHead(head)
	if err != nil {
		return err
	}
	old := c.current()
	if old != nil && h.Revision < old.config.Revision {
		return nil
	}
	next, err := c.join(h, head, func(hash string) ([]byte, error) {
		if len(work) == 0 {
			return nil, errors.Errorf("peer left out the declared work %.12s", hash)
		}
		return work, nil
	})
	if err != nil {
		return err
	}
	c.apply(next, time.Time{}, "peer")
	return nil
}

// join puts a head and its work together; it gets the work only if it isn't
// the one that is held.
func (c *Configurer) join(h declarer.Head, head []byte, get func(hash string) ([]byte, error)) (*held, error) {
	old := c.current()
	switch {
	case h.WorkHash == "":
		return &held{declarer.Assemble(h, declarer.Work{}), head, nil}, nil
	case old != nil && old.config.WorkHash == h.WorkHash:
		return &held{declarer.Assemble(h, old.config.Work()), head, old.work}, nil
	}
	work, err := get(h.WorkHash)
	if err != nil {
		return nil, err
	}
	w, err := declarer.DecodeWork(h.WorkHash, work)
	if err != nil {
		return nil, err
	}
	return &held{declarer.Assemble(h, w), head, work}, nil
}

// apply brings next into force if it is newer than what is held. A read that
// shows the revision in force, or a newer one, confirms it.
func (c *Configurer) apply(next *held, confirmedAt time.Time, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held != nil && next.config.Revision < c.held.config.Revision {
		return
	}
	if confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = confirmedAt
	}
	if c.held != nil && next.config.Revision == c.held.config.Revision {
		if string(next.head) != string(c.held.head) {
			c.options.Violated(10, "two configurations have the same revision")
		}
		return
	}
	c.held = next
	close(c.changed)
	c.changed = make(chan struct{})
	c.metrics.applied.WithLabelValues(source).Inc()
	c.options.Log.Info().Uint64("revision", next.config.Revision).Str("preset", string(next.config.Preset)).
		Strs("domains_out", next.config.DomainsOut).Str("source", source).Msg("config: applied")
}
