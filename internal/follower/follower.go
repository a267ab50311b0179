// Package follower keeps a local copy of the entries under a prefix of the
// store, by a watch and by reading the whole prefix from time to time. A watch
// alone is not enough: it may fall silent, and it may miss changes when the
// store drops its history.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

const (
	// readTimeout bounds one read of the prefix.
	readTimeout = 1500 * time.Millisecond
	// watchSlack is how much later than asked a watch may answer.
	watchSlack = time.Second
	// retryDelay spaces attempts while the store doesn't answer.
	retryDelay = 150 * time.Millisecond
	// tombstoneTime is how long a removal is remembered, against an older read
	// that arrives after it.
	tombstoneTime = time.Minute
)

// Options are what a follower depends on.
type Options struct {
	Store  storeclient.PrefixStore
	Prefix string
	// Wait is how long one watch waits for a change; zero is no watch, for a
	// prefix that changes so often that reading it is cheaper.
	Wait time.Duration
	// Interval is how often the whole prefix is read; zero is only when the
	// watch needs it.
	Interval time.Duration
	// Now is a clock that also advances while the process is suspended.
	Now func() time.Time
	// Changed is called with each change, in the order of their revisions for
	// each key, from one goroutine at a time. It must not block for long.
	Changed func([]storeclient.Event)
	// Confirmed is called after each read of the whole prefix with the time at
	// which the read began; nil for nothing.
	Confirmed func(time.Time)
	// Failed is called with each call that failed; nil for nothing.
	Failed func(error)
}

// Follower is safe for concurrent use.
type Follower struct {
	options Options

	mu      sync.Mutex
	entries map[string]uint64
	// removed has the revision at which a key was removed, or a bound on it.
	removed map[string]tombstone
	// next is the revision that the watch goes on from.
	next uint64
}

type tombstone struct {
	revision uint64
	at       time.Time
}

// New returns a follower; Run makes it work.
func New(o Options) *Follower {
	return &Follower{options: o, entries: map[string]uint64{}, removed: map[string]tombstone{}}
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var done sync.WaitGroup
	if f.options.Interval > 0 {
		done.Go(func() { f.reread(ctx) })
	}
	if f.options.Wait > 0 {
		f.watch(ctx)
	}
	done.Wait()
}

func (f *Follower) reread(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			f.fail(err)
		}
		waiter.Wait(ctx, f.options.Interval)
	}
}

func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		after := f.next
		f.mu.Unlock()
		var err error
		if after == 0 {
			err = f.read(ctx)
		} else {
			err = f.watchOnce(ctx, after)
		}
		var compacted *storeclient.CompactedError
		switch {
		case err == nil:
		case errors.As(err, &compacted):
			f.mu.Lock()
			f.next = 0
			f.mu.Unlock()
		default:
			f.fail(err)
			waiter.Wait(ctx, retryDelay)
		}
	}
}

func (f *Follower) watchOnce(ctx context.Context, after uint64) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+watchSlack)
	defer cancel()
	events, next, err := f.options.Store.Watch(ctx, f.options.Prefix, after, f.options.Wait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var fresh []storeclient.Event
	for _, e := range events {
		if f.isFresh(e) {
			f.take(e)
			fresh = append(fresh, e)
		}
	}
	f.next = max(f.next, next)
	f.report(fresh)
	return nil
}

// read reads the whole prefix and reports how it differs from the copy.
func (f *Follower) read(ctx context.Context) error {
	began := f.options.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, revision, err := f.options.Store.Range(ctx, f.options.Prefix)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var fresh []storeclient.Event
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.Key] = true
		event := storeclient.Event{Entry: e}
		if f.isFresh(event) {
			f.take(event)
			fresh = append(fresh, event)
		}
	}
	for key, at := range f.entries {
		if !present[key] && at <= revision {
			event := storeclient.Event{Entry: storeclient.Entry{Key: key, Revision: revision}, Removed: true}
			f.take(event)
			fresh = append(fresh, event)
		}
	}
	if f.next == 0 {
		f.next = revision
	}
	for key, t := range f.removed {
		if began.Sub(t.at) > tombstoneTime {
			delete(f.removed, key)
		}
	}
	f.report(fresh)
	if f.options.Confirmed != nil {
		f.options.Confirmed(began)
	}
	return nil
}

// isFresh reports whether an event is newer than the copy.
func (f *Follower) isFresh(e storeclient.Event) bool {
	known, ok := f.entries[e.Key]
	if e.Removed {
		return ok && e.Revision > known
	}
	return e.Revision > known && e.Revision > f.removed[e.Key].revision
}

func (f *Follower) take(e storeclient.Event) {
	if e.Removed {
		delete(f.entries, e.Key)
		f.removed[e.Key] = tombstone{e.Revision, f.options.Now()}
		return
	}
	f.entries[e.Key] = e.Revision
}

func (f *Follower) report(fresh []storeclient.Event) {
	if len(fresh) > 0 {
		f.options.Changed(fresh)
	}
}

func (f *Follower) fail(err error) {
	if f.options.Failed != nil {
		f.options.Failed(err)
	}
}
