// Package storekeeper is a stand-in for the platform's key-value service and its
// list of instances.
package storekeeper

import (
	"context"
	"sync"
	"time"
)

type entry struct {
	value    []byte
	revision uint64
	lease    uint64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

// Store is an in-memory key-value service with leases and watches. It is safe
// for concurrent use.
type Store struct {
	mu sync.Mutex
	// revision is the revision of the last write. Each write increments it.
	revision  uint64
	nextLease uint64
	entries   map[string]entry
	leases    map[uint64]*lease
	// changed is closed and replaced at each change of the entries.
	changed   chan struct{}
	instances map[string]*instanceHistory
	listLag   time.Duration
	// calls counts the calls by class and operation, as "ledger/get".
	calls  map[string]uint64
	faults []*Fault
}

// New returns an empty store whose list of instances lags behind by listLag.
func New(listLag time.Duration) *Store {
	return &Store{
		entries: map[string]entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		instances: map[string]*instanceHistory{}, listLag: listLag, calls: map[string]uint64{},
	}
}

// expire removes the expired leases and their entries. The caller holds s.mu.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.removeLease(id, l)
		}
	}
}

// removeLease removes a lease and its entries. The caller holds s.mu.
func (s *Store) removeLease(id uint64, l *lease) {
	for key := range l.keys {
		if s.entries[key].lease == id {
			delete(s.entries, key)
		}
	}
	delete(s.leases, id)
	s.notify()
}

// notify wakes the calls that wait for a change. The caller holds s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) get(key string) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	e, ok := s.entries[key]
	return e, ok
}

type swapResult int

const (
	swapped swapResult = iota
	swapConflict
	swapLeaseEnded
)

func (s *Store) compareAndSwap(key string, value []byte, expected, leaseID uint64) (swapResult, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if current := s.entries[key].revision; current != expected {
		return swapConflict, current
	}
	if leaseID != 0 {
		l := s.leases[leaseID]
		if l == nil {
			return swapLeaseEnded, 0
		}
		l.keys[key] = true
	}
	s.revision++
	s.entries[key] = entry{value, s.revision, leaseID}
	s.notify()
	return swapped, s.revision
}

// wait returns the entry of a key as soon as its revision is above after, or false
// once d has passed or ctx is done.
func (s *Store) wait(ctx context.Context, key string, after uint64, d time.Duration) (entry, bool) {
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		s.mu.Lock()
		s.expire(time.Now())
		e, ok := s.entries[key]
		changed := s.changed
		s.mu.Unlock()
		if ok && e.revision > after {
			return e, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return entry{}, false
		case <-end.C:
			return entry{}, false
		}
	}
}

func (s *Store) grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl, time.Now().Add(ttl), map[string]bool{}}
	return s.nextLease
}

func (s *Store) keepAlive(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.expiresAt = now.Add(l.ttl)
	return true
}

func (s *Store) revoke(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		s.removeLease(id, l)
	}
}
