// Package authorizer decides which queue a client's call selects and on behalf of which
// organisation it is made.
package authorizer

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"sort"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// Route assigns the paths of a host that begin with a prefix to a queue.
type Route struct {
	Host, Prefix string
	Queue        planner.Queue
	// IsPublic says that calls need no key.
	IsPublic bool
}

// Organisation is a customer with the keys that its clients use.
type Organisation struct {
	Name string
	Keys []string
}

// Match is the result of a check that allows a call.
type Match struct {
	// Queue is shared by all matches of a route and must not be changed.
	Queue *planner.Queue
	// Rest is the part of the path after the route's prefix.
	Rest []byte
	// Organisation is the name of the organisation that holds the call's key; empty if
	// the call has no known key.
	Organisation string
	// NeedsKey is set if the route is open only to calls with a known key.
	NeedsKey bool
}

// UnknownRouteError reports that no route matches a call.
type UnknownRouteError struct {
	// HasHost is set if the host has routes for other paths.
	HasHost bool
}

func (e *UnknownRouteError) Error() string { return "no queue for this host and path" }

// UnknownKeyError reports that a call has no key that its route accepts. It doesn't hold
// the key, so that it can be logged.
type UnknownKeyError struct {
	// Queue is the name of the queue of the route.
	Queue string
	// IsMissing is set if the call has no bearer key at all.
	IsMissing bool
}

func (e *UnknownKeyError) Error() string {
	if e.IsMissing {
		return "a key is required: Authorization: Bearer KEY"
	}
	return "unknown key"
}

// Table holds the routes and the keys of one configuration. It doesn't change, so it is
// safe for concurrent use. It holds digests instead of keys.
type Table struct {
	hosts map[string][]route
	// keys is sorted by digest, without duplicates.
	keys []key
	// maxKeyBytes is the length of the longest key.
	maxKeyBytes int
	// Errors are allocated once, so that a check allocates nothing. Those of keys are in
	// the routes.
	unknownHost, unknownPath *UnknownRouteError
}

// route is a route of a host. The routes of a host are sorted by prefix, and no two have
// the same prefix.
type route struct {
	prefix string
	// parent is the index of the route with the longest other prefix that this one begins
	// with, -1 if there is none. Following it passes all such routes, the longest first.
	// jump is the index of one of them, depth in their order, chosen so that a search
	// among n takes O(log n) steps.
	parent, jump, depth int
	needsKey            bool
	queue               planner.Queue
	unknown, missing    UnknownKeyError
}

type key struct {
	digest       [sha256.Size]byte
	organisation string
}

// New returns a table. Of several routes with the same host and prefix the first counts,
// and of several organisations with the same key. An empty key, and those of an
// organisation without a name, never match. Without requiresKeys no route needs a key.
func New(routes []Route, organisations []Organisation, requiresKeys bool) *Table {
	t := &Table{hosts: map[string][]route{}, unknownHost: &UnknownRouteError{}, unknownPath: &UnknownRouteError{HasHost: true}}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], route{
			prefix: r.Prefix, queue: r.Queue, needsKey: requiresKeys && !r.IsPublic,
			unknown: UnknownKeyError{Queue: r.Queue.Name}, missing: UnknownKeyError{Queue: r.Queue.Name, IsMissing: true},
		})
	}
	for host, list := range t.hosts {
		t.hosts[host] = index(list)
	}
	for _, o := range organisations {
		for _, k := range o.Keys {
			if k == "" || o.Name == "" {
				continue
			}
			t.keys = append(t.keys, key{sha256.Sum256([]byte(k)), o.Name})
			t.maxKeyBytes = max(t.maxKeyBytes, len(k))
		}
	}
	sort.SliceStable(t.keys, func(i, j int) bool { return bytes.Compare(t.keys[i].digest[:], t.keys[j].digest[:]) < 0 })
	n := 0
	for i, k := range t.keys {
		if i == 0 || k.digest != t.keys[n-1].digest {
			t.keys[n] = k
			n++
		}
	}
	t.keys = append([]key(nil), t.keys[:n]...)
	return t
}

// index sorts the routes of a host, drops those whose prefix an earlier one has, and
// links the others.
func index(list []route) []route {
	sort.SliceStable(list, func(i, j int) bool { return list[i].prefix < list[j].prefix })
	sorted := make([]route, 0, len(list))
	for _, r := range list {
		last := len(sorted) - 1
		if last >= 0 && sorted[last].prefix == r.prefix {
			continue
		}
		// A prefix of r stands before it, and so does everything between the two, which
		// also begins with that prefix.
		parent := last
		for parent >= 0 && !hasPrefix([]byte(r.prefix), sorted[parent].prefix) {
			parent = sorted[parent].parent
		}
		r.parent, r.jump = parent, parent
		if parent >= 0 {
			p := &sorted[parent]
			r.depth = p.depth + 1
			// As in a skew-binary list: two jumps of one length are followed by one of
			// twice that length.
			if p.jump >= 0 && sorted[p.jump].jump >= 0 && p.depth-sorted[p.jump].depth == sorted[p.jump].depth-sorted[sorted[p.jump].jump].depth {
				r.jump = sorted[p.jump].jump
			}
		}
		sorted = append(sorted, r)
	}
	return sorted
}

func hasPrefix(path []byte, prefix string) bool {
	return len(path) >= len(prefix) && string(path[:len(prefix)]) == prefix
}

// Check returns the queue that a call selects by its host and the longest prefix of its
// path, the rest of the path, and the organisation of its key. The authorization is the
// value of the header of that name. The error is an UnknownRouteError or an
// UnknownKeyError. Check keeps none of its arguments, but Rest is a part of path.
func (t *Table) Check(host, path, authorization []byte) (Match, error) {
	list := t.hosts[string(host)]
	r := find(list, path)
	if r == nil {
		if len(list) == 0 {
			return Match{}, t.unknownHost
		}
		return Match{}, t.unknownPath
	}
	m := Match{Queue: &r.queue, Rest: path[len(r.prefix):], NeedsKey: r.needsKey}
	k := bearerKey(authorization)
	m.Organisation = t.organisation(k)
	switch {
	case m.Organisation != "" || !r.needsKey:
		return m, nil
	case len(k) == 0:
		return Match{}, &r.missing
	}
	return Match{}, &r.unknown
}

// find returns the route with the longest prefix that path begins with, or nil.
func find(list []route, path []byte) *route {
	// The prefixes of path stand before it in the order of list, and everything between
	// the longest one and path begins with that one. So it is the route before the place
	// of path, or one that this leads to, and no longer than what the two have in common.
	at := sort.Search(len(list), func(i int) bool { return list[i].prefix > string(path) }) - 1
	if at < 0 {
		return nil
	}
	common := commonBytes(list[at].prefix, path)
	for at >= 0 && len(list[at].prefix) > common {
		if jump := list[at].jump; jump >= 0 && len(list[jump].prefix) > common {
			at = jump
		} else {
			at = list[at].parent
		}
	}
	if at < 0 {
		return nil
	}
	return &list[at]
}

// commonBytes returns how many bytes a and b have in common at their beginning.
func commonBytes(a string, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

const scheme = "bearer"

// bearerKey returns the key in an authorization header; empty if it has another scheme or
// no key. The scheme is case-insensitive, and one or more spaces follow it.
func bearerKey(authorization []byte) []byte {
	if len(authorization) <= len(scheme) || authorization[len(scheme)] != ' ' {
		return nil
	}
	for i := range len(scheme) {
		if authorization[i]|0x20 != scheme[i] {
			return nil
		}
	}
	return bytes.Trim(authorization[len(scheme):], " ")
}

// organisation returns the name of the organisation that holds a key, or "". The time
// that it takes depends on the length and the digest of k, which tell nothing about how
// much of k agrees with a key of the table.
func (t *Table) organisation(k []byte) string {
	// A key that is too long to be known isn't hashed, so that a long header takes no time.
	if len(k) == 0 || len(k) > t.maxKeyBytes {
		return ""
	}
	digest := sha256.Sum256(k)
	start := binary.BigEndian.Uint64(digest[:])
	first := sort.Search(len(t.keys), func(i int) bool { return binary.BigEndian.Uint64(t.keys[i].digest[:]) >= start })
	for i := first; i < len(t.keys) && binary.BigEndian.Uint64(t.keys[i].digest[:]) == start; i++ {
		if subtle.ConstantTimeCompare(t.keys[i].digest[:], digest[:]) == 1 {
			return t.keys[i].organisation
		}
	}
	return ""
}
