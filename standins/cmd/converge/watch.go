package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/standins/launcher"
)

// pollInterval bounds the error of the measured times.
const pollInterval = 10 * time.Millisecond

// watcher polls the configuration revision in force on one daemon.
type watcher struct {
	daemon *launcher.Daemon
	client messenger.Operator

	mu sync.Mutex
	// highest is the highest revision seen, across restarts of the daemon.
	highest uint64
	// seenAt is when each revision, or a higher one, was first seen.
	seenAt map[uint64]time.Time
	// regressions counts the polls that returned a revision below highest.
	regressions int
	polls       int
	// changed is closed and replaced when highest increases.
	changed chan struct{}
}

func newWatcher(d *launcher.Daemon) *watcher {
	return &watcher{
		daemon: d, client: messenger.NewOperatorProtobufClient("http://"+d.Control.String(), &http.Client{Timeout: time.Second}),
		seenAt: map[uint64]time.Time{}, changed: make(chan struct{}),
	}
}

// run polls the daemon until the end of ctx.
func (w *watcher) run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		if doc, err := w.client.GetConfig(ctx, &messenger.FetchConfigRequest{}); err == nil && doc.Revision > 0 {
			w.observe(doc.Revision)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// observe records the revision that a poll returned.
func (w *watcher) observe(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	now := time.Now()
	if revision < w.highest {
		w.regressions++
		return
	}
	for r := w.highest + 1; r <= revision; r++ {
		w.seenAt[r] = now
	}
	if revision > w.highest {
		w.highest = revision
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

// wait waits until a revision is in force and returns when it was first seen, or
// false if ctx ends before.
func (w *watcher) wait(ctx context.Context, revision uint64) (time.Time, bool) {
	for {
		w.mu.Lock()
		at, seen := w.seenAt[revision]
		changed := w.changed
		w.mu.Unlock()
		if seen {
			return at, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Time{}, false
		}
	}
}
