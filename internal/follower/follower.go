// Package follower keeps a local copy of the entries under a prefix of the
// store. It watches the prefix, and also reads all of it from time to time. A
// watch alone is not enough: it may stop delivering changes, and it may miss
// changes when the store drops its history. While an entry is large, the reads are
// replaced by checks for changes, which the store answers without waiting.
package follower

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

const (
	// readTimeout bounds one read of the prefix.
	readTimeout = 1500 * time.Millisecond
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = time.Second
	// retryDelay is the delay between attempts while the store doesn't answer.
	retryDelay = 150 * time.Millisecond
	// tombstoneTTL is how long a removal is remembered, so that an older read
	// which arrives later does not restore the entry.
	tombstoneTTL = time.Minute
	// maxUnusableChecks bounds the number of reads between two checks whose answers
	// can't be used, which doubles up to 63.
	maxUnusableChecks = 6
)

// Options are the dependencies of a follower.
type Options struct {
	Store  storeclient.PrefixStore
	Prefix string
	// Wait is how long one watch waits for a change. Zero disables the watch,
	// for a prefix that changes so often that reading it is cheaper.
	Wait time.Duration
	// Interval is how often the whole prefix is read. Zero means only when the
	// watch needs it.
	Interval time.Duration
	// CheckBytes is the size of a value above which the periodic reads of the prefix
	// are replaced by checks for changes. Zero means that they never are.
	CheckBytes int
	// Now is a clock that also advances while the process is suspended.
	Now func() time.Time
	// Changed is called with new changes, in the order of their revisions for
	// each key, from one goroutine at a time. It must not block for long.
	Changed func([]storeclient.Event)
	// Confirmed is called after each read of the whole prefix, and each check for
	// changes, with the time at which the call began. It may be nil.
	Confirmed func(time.Time)
	// Current is called after each answered read, check or watch, after its changes, with the
	// time at which the call began. The reported changes include everything that was
	// stored before. It may be nil.
	Current func(time.Time)
	// Failed is called with the error of each failed call. It may be nil.
	Failed func(error)
}

// Follower follows a prefix of the store. It is safe for concurrent use.
type Follower struct {
	options Options

	mu sync.Mutex
	// revisions has the revision of each entry in the copy.
	revisions map[string]uint64
	// removed has the revision at which a key was removed, or an upper bound of
	// it.
	removed map[string]tombstone
	// readRevision is the highest revision of a read of the prefix. An entry up to
	// it that the read didn't have, and that arrives later, has been removed.
	readRevision uint64
	// watchRevision is the revision after which the next watch starts; zero if
	// the prefix must be read first.
	watchRevision uint64
	// checkRevision is the revision after which the next check starts, up to which the copy
	// is complete; zero if the prefix must be read first. Watches don't advance it, so that
	// a check also finds a change that a watch has missed. Nor does a single read, which may
	// lack a change that is older than its revision; the next read has it.
	checkRevision uint64
	// lastRevision is the revision of the last read or check, which was answered at
	// lastAnswerAt. A read that begins later proves the copy complete up to it.
	lastRevision uint64
	lastAnswerAt time.Time
	// large has the keys of the entries above CheckBytes.
	large map[string]bool

	// The fields below belong to the goroutine that confirms the copy.

	// readsLeft is the number of the next intervals that read the prefix instead of
	// checking it.
	readsLeft int
	// unusableChecks counts the last checks in a row whose answers could not be used.
	unusableChecks int
}

// RevisionError reports the answer to a check for changes that contradicts the revision
// after which the check asked.
type RevisionError struct {
	Prefix string
	// After is the revision of the check, and Revision that of the answer or of an event
	// in it.
	After, Revision uint64
}

func (e *RevisionError) Error() string {
	return fmt.Sprintf("store: check of %s after revision %d answered with revision %d", e.Prefix, e.After, e.Revision)
}

// tombstone is a removal that is still remembered.
type tombstone struct {
	revision  uint64
	removedAt time.Time
}

// New returns a follower; call Run to start it.
func New(o Options) *Follower {
	return &Follower{options: o, revisions: map[string]uint64{}, removed: map[string]tombstone{}, large: map[string]bool{}}
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var done sync.WaitGroup
	if f.options.Interval > 0 {
		done.Go(func() { f.readPeriodically(ctx) })
	}
	if f.options.Wait > 0 {
		f.watch(ctx)
	}
	done.Wait()
}

func (f *Follower) readPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.confirm(ctx); err != nil {
			f.reportFailure(err)
		}
		waiter.Wait(ctx, f.options.Interval)
	}
}

// confirm brings the copy up to date: with a check for changes if an entry is large and two
// reads have shown from where to check, and otherwise with a read of the prefix. After an
// error the next interval reads the prefix. An answer that can't be used is followed by a
// read immediately; if that happens again and again, checks become rare, so that an
// interval has hardly more than one call.
func (f *Follower) confirm(ctx context.Context) error {
	f.mu.Lock()
	after, isLarge := f.checkRevision, len(f.large) > 0
	f.mu.Unlock()
	if !isLarge || f.readsLeft > 0 || after == 0 {
		f.readsLeft = max(0, f.readsLeft-1)
		return f.readPrefix(ctx)
	}
	err := f.checkOnce(ctx, after)
	var compacted *storeclient.CompactedError
	var conflict *RevisionError
	isConflict := errors.As(err, &conflict)
	switch {
	case err == nil:
		f.unusableChecks = 0
		return nil
	case !isConflict && !errors.As(err, &compacted):
		f.readsLeft = 1
		return err
	case isConflict:
		f.reportFailure(err)
	}
	f.mu.Lock()
	f.checkRevision, f.lastRevision = 0, 0
	f.mu.Unlock()
	f.readsLeft = 1<<f.unusableChecks - 1
	f.unusableChecks = min(f.unusableChecks+1, maxUnusableChecks)
	return f.readPrefix(ctx)
}

// checkOnce reads the changes after a revision up to which the copy is complete. The copy
// is then as current as after a read of the prefix that began at the same time.
func (f *Follower) checkOnce(ctx context.Context, after uint64) error {
	began := f.options.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	events, next, err := f.options.Store.Changes(ctx, f.options.Prefix, after)
	if err != nil {
		return err
	}
	if next < after {
		return &RevisionError{f.options.Prefix, after, next}
	}
	for _, e := range events {
		if e.Revision <= after {
			return &RevisionError{f.options.Prefix, after, e.Revision}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkRevision = max(f.checkRevision, next)
	f.lastRevision, f.lastAnswerAt = max(f.lastRevision, next), f.options.Now()
	f.applyEvents(events, began)
	f.forgetRemovals(began)
	if f.options.Confirmed != nil {
		f.options.Confirmed(began)
	}
	return nil
}

func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		after := f.watchRevision
		f.mu.Unlock()
		var err error
		if after == 0 {
			err = f.readPrefix(ctx)
		} else {
			err = f.watchOnce(ctx, after)
		}
		var compacted *storeclient.CompactedError
		switch {
		case err == nil:
		case errors.As(err, &compacted):
			f.mu.Lock()
			f.watchRevision = 0
			f.mu.Unlock()
		default:
			f.reportFailure(err)
			// An answer with all changes since the last one may be too large to be
			// received, and would be at each repetition. Those up to the last read or
			// check are not needed.
			f.mu.Lock()
			if f.watchRevision > 0 {
				f.watchRevision = max(f.watchRevision, f.checkRevision)
			}
			f.mu.Unlock()
			waiter.Wait(ctx, retryDelay)
		}
	}
}

func (f *Follower) watchOnce(ctx context.Context, after uint64) error {
	began := f.options.Now()
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+watchSlack)
	defer cancel()
	events, next, err := f.options.Store.Watch(ctx, f.options.Prefix, after, f.options.Wait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchRevision = max(f.watchRevision, next)
	f.applyEvents(events, began)
	return nil
}

// applyEvents applies the events in the answer to a call and reports the changes. The
// caller holds f.mu.
func (f *Follower) applyEvents(events []storeclient.Event, began time.Time) {
	var changes []storeclient.Event
	for _, e := range events {
		if f.isNewer(e, f.readRevision) {
			f.apply(e)
			changes = append(changes, e)
		}
	}
	f.reportChanges(changes, began)
}

// readPrefix reads the whole prefix and reports how it differs from the copy.
func (f *Follower) readPrefix(ctx context.Context) error {
	began := f.options.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, revision, err := f.options.Store.Range(ctx, f.options.Prefix)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// An entry that the last read didn't have is obsolete only in an older read.
	floor := uint64(0)
	if revision < f.readRevision {
		floor = f.readRevision
	}
	var changes []storeclient.Event
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.Key] = true
		event := storeclient.Event{Entry: e}
		if f.isNewer(event, floor) {
			f.apply(event)
			changes = append(changes, event)
		}
	}
	for key, at := range f.revisions {
		if !present[key] && at <= revision {
			event := storeclient.Event{Entry: storeclient.Entry{Key: key, Revision: revision}, Removed: true}
			f.apply(event)
			changes = append(changes, event)
		}
	}
	f.readRevision = max(f.readRevision, revision)
	if !began.Before(f.lastAnswerAt) {
		// A store that went back to earlier revisions is checked after these.
		f.checkRevision, f.lastRevision, f.lastAnswerAt = f.lastRevision, revision, f.options.Now()
	}
	if f.watchRevision == 0 {
		f.watchRevision = revision
	}
	f.forgetRemovals(began)
	f.reportChanges(changes, began)
	if f.options.Confirmed != nil {
		f.options.Confirmed(began)
	}
	return nil
}

// forgetRemovals drops the tombstones that have expired. The caller holds f.mu.
func (f *Follower) forgetRemovals(now time.Time) {
	for key, t := range f.removed {
		if now.Sub(t.removedAt) > tombstoneTTL {
			delete(f.removed, key)
		}
	}
}

// isNewer reports whether an event is newer than the copy. An entry that the copy
// doesn't have is obsolete up to the floor. An entry of the copy is compared by its own
// revision alone, since a read may lack a change that is older than its revision.
func (f *Follower) isNewer(e storeclient.Event, floor uint64) bool {
	known, ok := f.revisions[e.Key]
	switch {
	case ok:
		return e.Revision > known
	case e.Removed:
		return false
	}
	return e.Revision > floor && e.Revision > f.removed[e.Key].revision
}

func (f *Follower) apply(e storeclient.Event) {
	if e.Removed {
		delete(f.revisions, e.Key)
		delete(f.large, e.Key)
		f.removed[e.Key] = tombstone{e.Revision, f.options.Now()}
		return
	}
	f.revisions[e.Key] = e.Revision
	if f.options.CheckBytes > 0 && len(e.Value) > f.options.CheckBytes {
		f.large[e.Key] = true
	} else {
		delete(f.large, e.Key)
	}
}

// reportChanges reports the changes that the answer to a call brought.
func (f *Follower) reportChanges(changes []storeclient.Event, began time.Time) {
	if len(changes) > 0 {
		f.options.Changed(changes)
	}
	if f.options.Current != nil {
		f.options.Current(began)
	}
}

func (f *Follower) reportFailure(err error) {
	if f.options.Failed != nil {
		f.options.Failed(err)
	}
}
