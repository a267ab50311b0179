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
	// confirmInterval is the time between the reads that confirm the
	// configuration. A start requires a confirming read that began at most 2 s
	// ago.
	confirmInterval = 500 * time.Millisecond
	// idleInterval is the time between reads of a daemon that owns no shard.
	// Together with the exchange of digests between daemons it bounds how long
	// a stalled watch delays a change: changes must be in force within 6 s.
	idleInterval = 2 * time.Second
	// watchRetryDelay is the delay before a failed watch is retried.
	watchRetryDelay = 500 * time.Millisecond
)

// StaleError reports that the store returned a revision older than the one in
// force.
type StaleError struct{ Stored, InForce uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("the store shows configuration revision %d, below %d that is in force; nothing was changed", e.Stored, e.InForce)
}

// storedHead is a head as read from the store. A missing head has revision
// zero. startedAt is when the read began; it is zero for a watched head.
type storedHead struct {
	head      declarer.Head
	data      []byte
	revision  uint64
	startedAt time.Time
}

// readHead reads the head from the store, which may return an old value.
func (c *Configurer) readHead(ctx context.Context) (storedHead, error) {
	startedAt := time.Now()
	entry, err := c.options.Store.Get(ctx, configKey)
	var missing *storeclient.NotFoundError
	if errors.As(err, &missing) {
		return storedHead{head: declarer.Head{Preset: declarer.OrdinaryDay}, startedAt: startedAt}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	return c.decodeHead(entry, startedAt)
}

func (c *Configurer) decodeHead(entry storeclient.Entry, startedAt time.Time) (storedHead, error) {
	h, err := declarer.DecodeHead(entry.Value)
	if err != nil {
		return storedHead{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seenRevision = max(c.seenRevision, entry.Revision)
	return storedHead{h, entry.Value, entry.Revision, startedAt}, nil
}

// applyStored applies a stored head with its work, or returns a StaleError if
// the head is older than the configuration in force. confirmedAt is the start
// time of the confirming read; it is zero if the head was not read but
// watched.
func (c *Configurer) applyStored(ctx context.Context, s storedHead, confirmedAt time.Time, source string) error {
	if err := c.checkFresh(s); err != nil {
		return err
	}
	if s.head.Revision == 0 {
		return nil
	}
	next, err := c.assemble(s.head, s.data, func(hash string) ([]byte, error) {
		entry, err := c.options.Store.Get(ctx, workPrefix+hash)
		return entry.Value, err
	})
	if err != nil {
		return err
	}
	c.apply(next, confirmedAt, source)
	return nil
}

// checkFresh returns a StaleError if a stored head is older than the one in
// force.
func (c *Configurer) checkFresh(s storedHead) error {
	if inForce := c.revision(); s.head.Revision < inForce {
		c.metrics.stale.Inc()
		return &StaleError{Stored: s.head.Revision, InForce: inForce}
	}
	return nil
}

// readAndApply reads the head from the store and applies and confirms it.
func (c *Configurer) readAndApply(ctx context.Context) (storedHead, error) {
	s, err := c.readHead(ctx)
	if err == nil {
		err = c.applyStored(ctx, s, s.startedAt, "read")
	}
	if err != nil {
		c.metrics.readFailures.Inc()
	}
	return s, err
}

// Run keeps the configuration confirmed until ctx is done. It also watches the
// head, so that changes arrive early. A watch confirms nothing, since it may
// stall unnoticed.
func (c *Configurer) Run(ctx context.Context) {
	ctx = storeclient.WithClass(ctx, storeclient.ClassConfig)
	// The watch is not awaited, since it may notice the end of ctx only after
	// its long-poll timeout.
	go c.watch(ctx)
	failing := false
	for {
		_, err := c.readAndApply(ctx)
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
		if !sleep(ctx, c.readInterval()) {
			return
		}
	}
}

// readInterval returns the time until the next read, with jitter that keeps
// the daemons from reading at the same time.
func (c *Configurer) readInterval() time.Duration {
	d := confirmInterval
	if config, _ := c.Current(); config != nil && c.options.OwnsShard != nil && !c.options.OwnsShard() {
		d = idleInterval
	}
	return d - time.Duration(rand.Int64N(int64(d/10)))
}

// watch applies each change of the head until ctx is done.
func (c *Configurer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		after := c.seenRevision
		c.mu.Unlock()
		entry, err := c.options.Store.Watch(ctx, configKey, after)
		if err == nil {
			var s storedHead
			if s, err = c.decodeHead(entry, time.Time{}); err == nil {
				err = c.applyStored(ctx, s, time.Time{}, "watch")
			}
		}
		if err != nil && !sleep(ctx, watchRetryDelay) {
			return
		}
	}
}

// sleep waits for d. It returns false if ctx is done first.
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
