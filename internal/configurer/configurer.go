// Package configurer proposes changes of the operators' configuration to the
// store and keeps this daemon's copy of the configuration up to date.
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

// Options configures a Configurer.
type Options struct {
	Store storeclient.Store
	Log   *log.Logger
	// OwnsShard reports whether this daemon owns a shard and therefore needs to
	// confirm the configuration often. Nil stands for always.
	OwnsShard func() bool
	// Violated is called with the number of a violated design invariant and a
	// description.
	Violated func(invariant int, problem string)
	// Registry registers the metrics; nil for none.
	Registry prometheus.Registerer
}

// Configurer holds the configuration that is in force. It is safe for
// concurrent use.
type Configurer struct {
	options Options
	metrics metrics
	// proposalSlot is a semaphore that allows one proposal at a time.
	proposalSlot chan struct{}

	mu sync.Mutex
	// inForce is the configuration in force, nil if there is none yet. Its
	// revision never decreases.
	inForce *encodedConfig
	// confirmedAt is the start time of the last read of the store that
	// returned inForce's revision.
	confirmedAt time.Time
	// seenRevision is the highest store revision of the head that was read.
	seenRevision uint64
	// changed is closed and replaced when a configuration comes into force.
	changed chan struct{}
}

// encodedConfig is a configuration together with its encoded head and work,
// which are sent to peers.
type encodedConfig struct {
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

// New returns a configurer without a configuration.
func New(o Options) *Configurer {
	c := &Configurer{options: o, proposalSlot: make(chan struct{}, 1), changed: make(chan struct{})}
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

// Current returns the configuration, or nil if there is none, and the start
// time of the last read that confirmed it. The caller must not modify the
// configuration.
func (c *Configurer) Current() (*declarer.Config, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inForce == nil {
		return nil, time.Time{}
	}
	return c.inForce.config, c.confirmedAt
}

// Changed returns a channel that is closed when the next configuration comes
// into force.
func (c *Configurer) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Encode returns the revision, the encoded head and the encoded work of the
// configuration for a peer. The revision is zero if there is no configuration.
// The work is nil if its hash is knownWork.
func (c *Configurer) Encode(knownWork string) (revision uint64, head, work []byte) {
	inForce := c.current()
	if inForce == nil {
		return 0, nil, nil
	}
	if inForce.config.WorkHash != knownWork {
		work = inForce.work
	}
	return inForce.config.Revision, inForce.head, work
}

// current returns the configuration in force, or nil if there is none.
func (c *Configurer) current() *encodedConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce
}

// WorkHash returns the hash of the declared work in force, or "" if there is
// none.
func (c *Configurer) WorkHash() string {
	if inForce := c.current(); inForce != nil {
		return inForce.config.WorkHash
	}
	return ""
}

// Adopt applies a peer's configuration if it is newer than the one in force.
// work may be nil if this daemon already has the work that the head names.
func (c *Configurer) Adopt(head, work []byte) error {
	h, err := declarer.DecodeHead(head)
	if err != nil {
		return err
	}
	old := c.current()
	if old != nil && h.Revision < old.config.Revision {
		return nil
	}
	next, err := c.assemble(h, head, func(hash string) ([]byte, error) {
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

// assemble combines a head with its declared work. It calls get only if the
// work differs from the work in force.
func (c *Configurer) assemble(h declarer.Head, head []byte, get func(hash string) ([]byte, error)) (*encodedConfig, error) {
	old := c.current()
	switch {
	case h.WorkHash == "":
		return &encodedConfig{declarer.Assemble(h, declarer.Work{}), head, nil}, nil
	case old != nil && old.config.WorkHash == h.WorkHash:
		return &encodedConfig{declarer.Assemble(h, old.config.Work()), head, old.work}, nil
	}
	work, err := get(h.WorkHash)
	if err != nil {
		return nil, err
	}
	w, err := declarer.DecodeWork(h.WorkHash, work)
	if err != nil {
		return nil, err
	}
	return &encodedConfig{declarer.Assemble(h, w), head, work}, nil
}

// apply brings next into force if it is newer than the configuration in force.
// A read that returned the revision in force or a newer one confirms it.
func (c *Configurer) apply(next *encodedConfig, confirmedAt time.Time, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inForce != nil && next.config.Revision < c.inForce.config.Revision {
		return
	}
	if confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = confirmedAt
	}
	if c.inForce != nil && next.config.Revision == c.inForce.config.Revision {
		if string(next.head) != string(c.inForce.head) {
			c.options.Violated(10, "two configurations have the same revision")
		}
		return
	}
	c.inForce = next
	close(c.changed)
	c.changed = make(chan struct{})
	c.metrics.applied.WithLabelValues(source).Inc()
	c.options.Log.Info().Uint64("revision", next.config.Revision).Str("preset", string(next.config.Preset)).
		Strs("domains_out", next.config.DomainsOut).Str("source", source).Msg("config: applied")
}
