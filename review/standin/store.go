package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created"`
	Lease   uint64 `json:"lease"`
}

type event struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type transaction struct {
	Expect []struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	} `json:"expectedRev"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

// fate is what becomes of a transaction. Without an answer, it is carried out after the
// delay, provided that its conditions hold then.
type fate struct {
	isUnanswered bool
	delay        time.Duration
}

// store is a sound store as PROTOCOL.md describes it, in memory.
type store struct {
	mu      sync.Mutex
	items   map[string]*item
	rev     uint64
	events  []event
	changed chan struct{}
	leases  map[uint64]*lease
	nextID  uint64
	// fateOf, if set, decides on each transaction of the system.
	fateOf func(t transaction) fate
	// gate, if set, is called before each call is served; it reports false for a call
	// that gets no answer.
	gate func(r *http.Request) bool
}

func newStore() *store {
	s := &store{items: map[string]*item{}, rev: 100, changed: make(chan struct{}), leases: map[uint64]*lease{}, nextID: 1000}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// change makes an event visible; the caller holds the mutex and has raised rev.
func (s *store) change(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			delete(s.items, key)
			s.change(event{Key: key, Rev: s.rev, Removed: true})
		}
	}
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	i := s.items[key]
	if i == nil {
		i = &item{Key: key, Created: s.rev}
		s.items[key] = i
	}
	i.Value, i.Rev, i.Lease = value, s.rev, leaseID
	s.change(event{Key: key, Value: value, Rev: i.Rev, Created: i.Created, Lease: leaseID})
}

// put writes an item for the operator or a worker.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, data, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] != nil {
		s.rev++
		delete(s.items, key)
		s.change(event{Key: key, Rev: s.rev, Removed: true})
	}
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[key]
	if i == nil {
		return item{}, false
	}
	return *i, true
}

// transact carries out a transaction. The status is 200, 404 or 412.
func (s *store) transact(t transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []item{}
	for _, e := range t.Expect {
		i := s.items[e.Key]
		if i != nil {
			current = append(current, *i)
		}
		holds = holds && (i == nil && e.Rev == 0 || i != nil && i.Rev == e.Rev)
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.rev++
	for _, w := range t.Writes {
		s.write(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Remove {
		if s.items[key] != nil {
			delete(s.items, key)
			s.change(event{Key: key, Rev: s.rev, Removed: true})
		}
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// leaveUnanswered keeps the channel open until the caller closes it.
func leaveUnanswered(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if s.gate != nil && !s.gate(r) {
		leaveUnanswered(r)
	}
	time.Sleep(4 * time.Millisecond)
	id := func(prefix string) uint64 {
		n, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, prefix), 10, 64)
		return n
	}
	switch {
	case r.URL.Path == "/v1/kv-key":
		i, ok := s.get(q.Get("key"))
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		s.mu.Lock()
		rev := s.rev
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "rev": i.Rev, "created": i.Created, "lease": i.Lease, "storeRevision": rev})
	case r.URL.Path == "/v1/kv-range":
		s.mu.Lock()
		list := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				list = append(list, *i)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
		hasMore := len(list) > 500
		if hasMore {
			list = list[:500]
		}
		answer(w, http.StatusOK, map[string]any{"items": list, "hasMore": hasMore, "storeRevision": rev})
	case r.URL.Path == "/v1/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		deadline := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			list := []event{}
			for _, e := range s.events {
				if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
					list = append(list, e)
				}
			}
			rev, changed := s.rev, s.changed
			s.mu.Unlock()
			if len(list) > 0 {
				answer(w, http.StatusOK, map[string]any{"events": list, "storeRevision": rev})
				return
			}
			select {
			case <-changed:
			case <-deadline:
				answer(w, http.StatusOK, map[string]any{"events": list, "storeRevision": rev})
				return
			case <-r.Context().Done():
				return
			}
		}
	case r.URL.Path == "/v1/kv-txn":
		var t transaction
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		if s.fateOf != nil {
			if f := s.fateOf(t); f.isUnanswered {
				time.AfterFunc(f.delay, func() { s.transact(t) })
				leaveUnanswered(r)
			}
		}
		status, body := s.transact(t)
		answer(w, status, body)
	case r.URL.Path == "/v1/kv-lease":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		ttl := time.Duration(max(1000, in.TTL)) * time.Millisecond
		s.mu.Lock()
		s.nextID++
		n := s.nextID
		s.leases[n] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease": n, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		s.mu.Lock()
		l := s.leases[id("/v1/kv-keep/")]
		if l != nil {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		s.mu.Lock()
		n := id("/v1/kv-lease-end/")
		known := s.leases[n] != nil
		if known {
			s.end(n)
		}
		s.mu.Unlock()
		if !known {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, map[string]any{})
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}
