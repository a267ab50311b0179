// Package lister reads the platform's list of workers for the owners of all shards.
//
// Each heartbeat of a worker changes its entry, so every read of the list returns all
// of it. On a slow link that leaves little room for other calls. Therefore one
// instance, the source, reads the list, and the others ask it for the entries of their
// shards as long as its last read is recent. An entry is passed on only when more than
// its heartbeat has changed. Without a recent answer an instance reads the list itself.
package lister

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// readShare is the share of the time in which a change must be known that passes
	// between two reads of the source. The others ask the source twice as often. A
	// read is not passed on above the age of maxAgeShare of that time; an instance
	// whose last answer has an older read reads the list itself, and asks again after
	// askBackoff.
	readShare   = 0.35
	maxAgeShare = 0.7
	askBackoff  = 2 * time.Second
	// minAskTimeout is the least time that the source gets to answer.
	minAskTimeout = 200 * time.Millisecond
)

// Part selects the workers of one shard.
type Part struct {
	Shard int `cbor:"shard"`
	// Shards is the number of shards.
	Shards int `cbor:"shards"`
}

// Question asks the source for a part of the list.
type Question struct {
	Part
	// Version is that of the last answer; zero if there is none.
	Version uint64 `cbor:"version"`
}

// Answer is a part of the list.
type Answer struct {
	// Revision is the store's revision at the read, and Age the time since the read
	// began.
	Revision uint64        `cbor:"revision"`
	Age      time.Duration `cbor:"age"`
	// Version identifies the entries. They are left out if it is that of the question.
	Version uint64              `cbor:"version"`
	Entries []storeclient.Entry `cbor:"entries"`
}

// AgeError reports that the last read of the list is too old, or that there is none.
type AgeError struct{ Age time.Duration }

func (e *AgeError) Error() string {
	return fmt.Sprintf("the last read of the list of workers is %s old", e.Age)
}

// Options are the dependencies of a Lister.
type Options struct {
	// Read reads the whole list and returns the store's revision.
	Read func(ctx context.Context) ([]storeclient.Entry, uint64, error)
	// IsSame reports whether two entries of a worker differ only in its heartbeat.
	IsSame func(a, b storeclient.Entry) bool
	// IsIn reports whether an entry belongs to a part.
	IsIn func(e storeclient.Entry, p Part) bool
	// Source returns the address of the source; invalid if there is none or if it is
	// this instance.
	Source func() netip.AddrPort
	Ask    func(ctx context.Context, source netip.AddrPort, q Question) (Answer, error)
	// MaxDelay is the time in which a change of a worker must be known.
	MaxDelay time.Duration
	// Now is a clock that also advances while the process is suspended.
	Now func() time.Time
}

func (o *Options) readInterval() time.Duration { return time.Duration(readShare * float64(o.MaxDelay)) }

func (o *Options) maxAge() time.Duration { return time.Duration(maxAgeShare * float64(o.MaxDelay)) }

// Lister keeps the last read of the list. It is safe for concurrent use.
type Lister struct {
	options Options
	// reading is held while the list is read, so that one read serves all shards.
	reading sync.Mutex

	mu sync.Mutex
	// entries has, in the order of the list, each entry as it was when more than its
	// heartbeat changed last; byKey has the same entries.
	entries []storeclient.Entry
	byKey   map[string]storeclient.Entry
	// revision and readAt describe the last read; readAt is zero before the first.
	revision uint64
	readAt   time.Time
	// answers has the last answer of the source for each part.
	answers map[Part]Answer
	// freshAt is when the read of the source's last answer began, or when this
	// instance last read the list itself. selfUntil is when the source is asked again.
	freshAt, selfUntil time.Time
}

// New returns a lister that has read nothing.
func New(o Options) *Lister {
	return &Lister{options: o, byKey: map[string]storeclient.Entry{}, answers: map[Part]Answer{}}
}

// SilentError reports that the source has not answered, but not for so long that the
// list has to be read without it.
type SilentError struct {
	Source netip.AddrPort
	Err    error
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("no list of workers from %s: %v", e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *SilentError) Unwrap() error { return e.Err }

// Interval returns how often Range is to be called.
func (l *Lister) Interval() time.Duration { return l.options.readInterval() / 2 }

// Range returns the entries of a part and the revision of the store at which they were
// read. The error is a SilentError if a later call may succeed.
func (l *Lister) Range(ctx context.Context, p Part) ([]storeclient.Entry, uint64, error) {
	source, now := l.options.Source(), l.options.Now()
	l.mu.Lock()
	isSource := !source.IsValid() || now.Before(l.selfUntil)
	if l.freshAt.IsZero() {
		l.freshAt = now
	}
	l.mu.Unlock()
	if isSource {
		return l.read(ctx, p)
	}
	list, revision, err := l.ask(ctx, source, p)
	var silent *SilentError
	if errors.As(err, &silent) {
		return nil, 0, err
	}
	if err != nil {
		return l.read(ctx, p)
	}
	return list, revision, nil
}

// ask asks the source for a part. The error is a SilentError if the last answer is still
// recent.
func (l *Lister) ask(ctx context.Context, source netip.AddrPort, p Part) ([]storeclient.Entry, uint64, error) {
	began := l.options.Now()
	l.mu.Lock()
	last := l.answers[p]
	bounded, cancel := context.WithTimeout(ctx, max(minAskTimeout, l.options.maxAge()-began.Sub(l.freshAt)))
	l.mu.Unlock()
	defer cancel()
	a, err := l.options.Ask(bounded, source, Question{p, last.Version})
	now := l.options.Now()
	if age := a.Age + now.Sub(began); err == nil && age > l.options.maxAge() {
		err = &AgeError{age}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && now.Sub(l.freshAt) < l.options.maxAge():
		return nil, 0, &SilentError{source, err}
	case err != nil:
		l.selfUntil = now.Add(askBackoff)
		return nil, 0, err
	}
	if a.Version == last.Version {
		a.Entries = last.Entries
	}
	if readAt := began.Add(-a.Age); readAt.After(l.freshAt) {
		l.freshAt = readAt
	}
	l.answers[p] = a
	return a.Entries, a.Revision, nil
}

// read returns a part of a read that is younger than the interval of reads, less the
// jitter of the calls.
func (l *Lister) read(ctx context.Context, p Part) ([]storeclient.Entry, uint64, error) {
	l.reading.Lock()
	defer l.reading.Unlock()
	if age, ok := l.age(); !ok || age >= l.options.readInterval()-l.Interval()/2 {
		began := l.options.Now()
		list, revision, err := l.options.Read(ctx)
		if err != nil {
			return nil, 0, err
		}
		l.apply(list, revision, began)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.part(p), l.revision, nil
}

// age returns the age of the last read; false before the first.
func (l *Lister) age() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.options.Now().Sub(l.readAt), !l.readAt.IsZero()
}

// apply takes over a read of the list.
func (l *Lister) apply(list []storeclient.Entry, revision uint64, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byKey := make(map[string]storeclient.Entry, len(list))
	for i, e := range list {
		if known, ok := l.byKey[e.Key]; ok && l.options.IsSame(known, e) {
			list[i] = known
		}
		byKey[e.Key] = list[i]
	}
	l.entries, l.byKey, l.revision, l.readAt, l.freshAt = list, byKey, revision, began, began
}

// part returns the entries of a part.
func (l *Lister) part(p Part) []storeclient.Entry {
	var list []storeclient.Entry
	for _, e := range l.entries {
		if l.options.IsIn(e, p) {
			list = append(list, e)
		}
	}
	return list
}

// Answer answers a question of another instance. The error is an AgeError if this
// instance has not read the list recently.
func (l *Lister) Answer(q Question) (Answer, error) {
	age, ok := l.age()
	if !ok || age > l.options.maxAge() {
		return Answer{}, &AgeError{age}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := Answer{Revision: l.revision, Age: age, Entries: l.part(q.Part)}
	a.Version = versionOf(a.Entries)
	if a.Version == q.Version {
		a.Entries = nil
	}
	return a, nil
}

// versionOf returns a number other than zero that identifies entries of the list.
func versionOf(list []storeclient.Entry) uint64 {
	d := xxhash.New()
	for _, e := range list {
		_, _ = d.WriteString(e.Key)
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, e.Revision))
	}
	return d.Sum64() | 1
}
