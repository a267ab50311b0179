package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// history is how long the store keeps its changes for watches, as in the pages.
const history = 20 * time.Second

// The limits of one page of a list.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// valueBytes is the size of the largest value.
const valueBytes = 1048576

type item struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

type change struct {
	item
	at time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
	keys map[string]bool
}

// store is the platform's metadata store: linearizable, in memory, with leases and watches.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	changes []change
	dropped uint64
	leases  map[uint64]*lease
	lastID  uint64
	changed chan struct{}
	minTTL  time.Duration
	delay   time.Duration
	// refusals counts the transactions with a value above valueBytes, and largest is the
	// size of the largest value stored.
	refusals, largest int
}

func newStore() *store {
	return &store{rev: 100, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), minTTL: time.Second}
}

// record adds a change. The caller holds s.mu.
func (s *store) record(i item) { s.changes = append(s.changes, change{i, time.Now()}) }

// publish wakes the watches. The caller holds s.mu.
func (s *store) publish() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key, value string, lease uint64) {
	old, ok := s.items[key]
	if ok && old.Lease != 0 && s.leases[old.Lease] != nil {
		delete(s.leases[old.Lease].keys, key)
	}
	created := s.rev
	if ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = i
	if lease != 0 {
		s.leases[lease].keys[key] = true
	}
	s.record(i)
}

func (s *store) remove(key string) {
	old, ok := s.items[key]
	if !ok {
		return
	}
	if l := s.leases[old.Lease]; l != nil {
		delete(l.keys, key)
	}
	delete(s.items, key)
	s.record(item{Key: key, Rev: s.rev, Removed: true})
}

// Put writes a key as the operator or a runner does.
func (s *store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
	s.publish()
}

// Remove removes a key as the operator does, or the platform after a runner's silence.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.publish()
}

// run ends leases and forgets the history.
func (s *store) run() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		ended := false
		for id, l := range s.leases {
			if now.After(l.ends) {
				ended = s.end(id) || ended
			}
		}
		for len(s.changes) > 0 && now.Sub(s.changes[0].at) > history {
			s.dropped = s.changes[0].Rev
			s.changes = s.changes[1:]
		}
		if ended {
			s.publish()
		}
		s.mu.Unlock()
	}
}

func (s *store) end(id uint64) bool {
	l := s.leases[id]
	delete(s.leases, id)
	if l == nil || len(l.keys) == 0 {
		return false
	}
	s.rev++
	for key := range l.keys {
		s.remove(key)
	}
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, i)
	case path == "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/v1/kv-watch":
		s.serveWatch(w, r)
	case path == "/v1/kv-txn":
		s.serveTransaction(w, r)
	case path == "/v1/kv-lease":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		ttl := max(time.Duration(in.TTL)*time.Millisecond, s.minTTL)
		s.mu.Lock()
		s.lastID++
		id := s.lastID
		s.leases[id] = &lease{ttl, time.Now().Add(ttl), map[string]bool{}}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/v1/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/v1/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		if s.end(id) {
			s.publish()
		}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, bytes, hasMore := []item{}, 0, false
	for _, key := range keys {
		i := s.items[key]
		if len(page) == pageItems || len(page) > 0 && bytes+len(i.Value)*3/4 > pageBytes {
			hasMore = true
			break
		}
		page = append(page, i)
		bytes += len(i.Value) * 3 / 4
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": page, "hasMore": hasMore, "storeRevision": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, nil)
			return
		}
		events := []item{}
		for _, c := range s.changes {
			if c.Rev > after && strings.HasPrefix(c.Key, prefix) {
				events = append(events, c.item)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expectedRev"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expect)+len(in.Writes)+len(in.Remove) > 32 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, isMet := []item{}, true
	for _, e := range in.Expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		isMet = isMet && i.Rev == e.Rev
	}
	if !isMet {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, e := range in.Writes {
		if len(e.Value)*3/4 > valueBytes {
			s.refusals++
			reply(w, http.StatusBadRequest, nil)
			return
		}
		s.largest = max(s.largest, len(e.Value)*3/4)
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	s.rev++
	for _, e := range in.Writes {
		s.put(e.Key, e.Value, e.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.publish()
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}
