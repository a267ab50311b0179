package configurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// confirmInterval is the time between reads that confirm the
	// configuration; starts need one that began at most 2 s ago.
	confirmInterval = 500 * time.Millisecond
	// idleInterval is the time between reads of a daemon that owns no shard.
	// With the exchange of digests it bounds how long a stalled watch can
	// delay a change; changes are to be in force within 6 s.
	idleInterval = 2 * time.Second
	// watchPause is the least time between two watches after an error.
	watchPause = 500 * time.Millisecond
)

// StaleError reports a store that shows a revision below the one in force.
type StaleError struct{ Shown, Held uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("the store shows configuration revision %d, below %d that is in force; nothing was changed", e.Shown, e.Held)
}

// stored is a head as the store shows it. A missing head has revision zero.
type stored struct {
	head     declarer.Head
	data     []byte
	revision uint64
	begun    time.Time
}

// readHead returns the head that the store shows, which may be an old one.
func (c *Configurer) readHead(ctx context.Context) (stored, error) {
	begun := time.Now()
	entry, err := c.options.Store.Get(ctx, configKey)
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return stored{head: declarer.Head{Preset: declarer.OrdinaryDay}, begun: begun}, nil
	}
	if err != nil {
		return stored{}, err
	}
	return c.decode(entry, begun)
}

func (c *Configurer) decode(entry storeclient.Entry, begun time.Time) (stored, error) {
	h, err := declarer.DecodeHead(entry.Value)
	if err != nil {
		return stored{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = max(c.seen, entry.Revision)
	return stored{h, entry.Value, entry.Revision, begun}, nil
}

// take brings a stored head into force unless it is old, with the read that
// began at confirmedAt as its confirmation.
func (c *Configurer) take(ctx context.Context, s stored, confirmedAt time.Time, source string) error {
	if err := c.checkFresh(s); err != nil {
		return err
	}
	if s.head.Revision == 0 {
		return nil
	}
	next, err := c.join(s.head, s.data, func(hash string) ([]byte, error) {
		entry, err := c.options.Store.Get(ctx, workPrefix+hash)
		return entry.Value, err
	})
	if err != nil {
		return err
	}
	c.apply(next, confirmedAt, source)
	return nil
}

// checkFresh returns a StaleError when the store shows less than is in force.
func (c *Configurer) checkFresh(s stored) error {
	if held := c.revision(); s.head.Revision < held {
		c.metrics.stale.Inc()
		return &StaleError{Shown: s.head.Revision, Held: held}
	}
	return nil
}

// read takes over and confirms what the store shows.
func (c *Configurer) read(ctx context.Context) (stored, error) {
	s, err := c.readHead(ctx)
	if err == nil {
		err = c.take(ctx, s, s.begun, "read")
	}
	if err != nil {
		c.metrics.readFailures.Inc()
	}
	return s, err
}

// Run keeps the configuration confirmed until ctx ends. Besides the reads it
// watches the head, so that changes arrive fast; a watch confirms nothing,
// since it may stall silently.
func (c *Configurer) Run(ctx context.Context) {
	ctx = storeclient.WithClass(ctx, storeclient.ClassConfig)
	// A watch may take its whole waiting time to notice the end of ctx.
	go c.watch(ctx)
	failing := false
	for {
		_, err := c.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			c.options.Log.Warn().Err(err).Msg("config: not confirmed")
		}
		if err == nil && failing {
			c.options.Log.Info().Msg("config: confirmed again")
		}
		failing = err != nil
		if !sleep(ctx, c.interval()) {
			return
		}
	}
}

// interval has some spread, so that the daemons don't read in step.
func (c *Configurer) interval() time.Duration {
	d := confirmInterval
	if held, _ := c.Current(); held != nil && c.options.Owning != nil && !c.options.Owning() {
		d = idleInterval
	}
	return d - time.Duration(rand.Int64N(int64(d/10)))
}

func (c *Configurer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		after := c.seen
		c.mu.Unlock()
		entry, err := c.options.Store.Watch(ctx, configKey, after)
		if err == nil {
			var s stored
			if s, err = c.decode(entry, time.Time{}); err == nil {
				err = c.take(ctx, s, time.Time{}, "watch")
			}
		}
		if err != nil && !sleep(ctx, watchPause) {
			return
		}
	}
}

// sleep reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
