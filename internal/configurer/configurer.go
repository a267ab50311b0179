// Package configurer holds the operators' configuration and brings accepted
// changes to this daemon.
package configurer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	configKey = "config"
	// keptChanges is how many accepted changes the document remembers, so that
	// a writer whose answer was lost can look for its own.
	keptChanges = 64
	// confirmInterval is the time between reads that confirm the
	// configuration; starts need one that is at most 2 s old.
	confirmInterval = 500 * time.Millisecond
)

// ConflictError reports a change that lost against another one. Nothing of it
// was applied.
type ConflictError struct {
	Expected uint64
	Current  uint64
	// Other is the change that was accepted last.
	Other declarer.ChangeNote
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, not %d: %s changed it: %s", e.Current, e.Expected, e.Other.Operator, e.Other.Summary)
}

// UndecidedError reports a change of which it isn't known whether it was
// accepted. Proposing it again with the same change id is safe.
type UndecidedError struct{ Err error }

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("it is not known whether the change was accepted: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Err }

// Change is a proposed change of the configuration.
type Change struct {
	// ID makes a repeated proposal the same change.
	ID       string
	Operator string
	Summary  string
	// Expected is the revision that the operator saw; zero accepts any.
	Expected uint64
	// Edit changes the document; its error refuses the change.
	Edit func(*declarer.Config) error
}

// Options are what a configurer depends on.
type Options struct {
	Store storeclient.Store
	Log   *log.Logger
}

// Configurer is safe for concurrent use.
type Configurer struct {
	options Options

	mu sync.Mutex
	// current only ever moves to a higher revision.
	current     *declarer.Config
	confirmedAt time.Time
	changed     chan struct{}
}

// New returns a configurer that holds no configuration yet.
func New(o Options) *Configurer {
	return &Configurer{options: o, changed: make(chan struct{})}
}

// Current returns the configuration, nil if there is none, and when the last
// read that confirmed it began. The document must not be changed.
func (c *Configurer) Current() (*declarer.Config, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.confirmedAt
}

// Changed returns a channel that is closed at the next change.
func (c *Configurer) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Encode returns the document for a peer, nil if there is none.
func (c *Configurer) Encode() (uint64, []byte, error) {
	current, _ := c.Current()
	if current == nil {
		return 0, nil, nil
	}
	data, err := cbor.Marshal(current)
	return current.Revision, data, errors.Wrap(err, "encode")
}

// Adopt takes over the document that a peer holds if it is newer.
func (c *Configurer) Adopt(data []byte) error {
	var d declarer.Config
	if err := cbor.Unmarshal(data, &d); err != nil {
		return errors.Wrap(err, "decode")
	}
	c.apply(&d, time.Time{})
	return nil
}

func (c *Configurer) apply(d *declarer.Config, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && d.Revision < c.current.Revision {
		return
	}
	if confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = confirmedAt
	}
	if c.current != nil && d.Revision == c.current.Revision {
		return
	}
	c.current = d
	close(c.changed)
	c.changed = make(chan struct{})
	c.options.Log.Info().Uint64("revision", d.Revision).Str("preset", string(d.Preset)).Msg("config: applied")
}

// read returns the stored document and its store revision; a missing document
// is revision zero.
func (c *Configurer) read(ctx context.Context) (*declarer.Config, uint64, error) {
	begun := time.Now()
	entry, err := c.options.Store.Get(ctx, configKey)
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return &declarer.Config{Preset: declarer.OrdinaryDay}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var d declarer.Config
	if err := cbor.Unmarshal(entry.Value, &d); err != nil {
		return nil, 0, errors.Wrap(err, "decode")
	}
	c.apply(&d, begun)
	return &d, entry.Revision, nil
}

// Propose makes a change and returns the revision at which it was accepted.
func (c *Configurer) Propose(ctx context.Context, ch Change) (uint64, error) {
	ctx = storeclient.WithClass(ctx, storeclient.ClassConfig)
	d, storeRevision, err := c.read(ctx)
	if err != nil {
		return 0, err
	}
	if note := find(d, ch.ID); note != nil {
		return note.Revision, nil
	}
	if ch.Expected != 0 && ch.Expected != d.Revision {
		return 0, conflict(ch, d)
	}
	next := *d
	next.Revision++
	if err := ch.Edit(&next); err != nil {
		return 0, err
	}
	if err := declarer.CheckConfig(&next); err != nil {
		return 0, err
	}
	note := declarer.ChangeNote{ID: ch.ID, Revision: next.Revision, Operator: ch.Operator, Summary: ch.Summary, At: time.Now().UTC()}
	next.Changes = append(slices.Clone(d.Changes), note)
	if over := len(next.Changes) - keptChanges; over > 0 {
		next.Changes = next.Changes[over:]
	}
	data, err := cbor.Marshal(&next)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	if _, err = c.options.Store.CompareAndSwap(ctx, configKey, data, storeRevision, 0); err != nil {
		return c.settle(ctx, ch, err)
	}
	c.apply(&next, time.Time{})
	return next.Revision, nil
}

// settle finds out what became of a change whose compare-and-swap failed or
// had no answer.
func (c *Configurer) settle(ctx context.Context, ch Change, cause error) (uint64, error) {
	d, _, err := c.read(ctx)
	if err != nil {
		return 0, &UndecidedError{cause}
	}
	if note := find(d, ch.ID); note != nil {
		return note.Revision, nil
	}
	var lost *storeclient.ConflictError
	if errors.As(cause, &lost) {
		return 0, conflict(ch, d)
	}
	return 0, &UndecidedError{cause}
}

func conflict(ch Change, d *declarer.Config) error {
	e := &ConflictError{Expected: ch.Expected, Current: d.Revision}
	if n := len(d.Changes); n > 0 {
		e.Other = d.Changes[n-1]
	}
	return e
}

func find(d *declarer.Config, id string) *declarer.ChangeNote {
	for i := range d.Changes {
		if d.Changes[i].ID == id {
			return &d.Changes[i]
		}
	}
	return nil
}

// Run confirms the configuration until ctx ends.
func (c *Configurer) Run(ctx context.Context) {
	ctx = storeclient.WithClass(ctx, storeclient.ClassConfig)
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		if _, _, err := c.read(ctx); err != nil && ctx.Err() == nil {
			c.options.Log.Warn().Err(err).Msg("config: store not read")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
