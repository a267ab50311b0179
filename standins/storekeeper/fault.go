package storekeeper

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// The modes of a fault.
const (
	// Down fails a call before it takes effect.
	Down = "down"
	// Slow delays a call by Fault.Delay.
	Slow = "slow"
	// Lost lets a call take effect and loses the response.
	Lost = "lost"
)

// Fault is a fault to inject into calls to the store.
type Fault struct {
	// Op is the operation to affect; empty for all.
	Op string `json:"op"`
	// Prefix is the prefix of the keys to affect; empty for all.
	Prefix string `json:"prefix"`
	// Mode is Down, Slow or Lost.
	Mode string `json:"mode"`
	// Delay is the delay of a call in the mode Slow.
	Delay time.Duration `json:"delay"`
	// Count is the number of calls to affect; zero for no limit.
	Count int `json:"count"`
}

// AddFault adds a fault.
func (s *Store) AddFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, &f)
}

// ClearFaults removes every fault.
func (s *Store) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// Calls returns the number of calls by class and operation, as "ledger/get".
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]uint64{}
	for name, n := range s.calls {
		calls[name] = n
	}
	return calls
}

// begin counts a call and returns the first fault that matches it, or the zero Fault.
func (s *Store) begin(class, op, key string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[class+"/"+op]++
	for i, f := range s.faults {
		if (f.Op != "" && f.Op != op) || !strings.HasPrefix(key, f.Prefix) {
			continue
		}
		if f.Count > 0 {
			if f.Count--; f.Count == 0 {
				s.faults = append(s.faults[:i:i], s.faults[i+1:]...)
			}
		}
		return *f
	}
	return Fault{}
}

// perform runs a call with its fault, if any, and reports whether the caller gets a
// response.
func (s *Store) perform(class, op, key string, effect func()) bool {
	f := s.begin(class, op, key)
	switch f.Mode {
	case Down:
		return false
	case Slow:
		time.Sleep(f.Delay)
	}
	effect()
	return f.Mode != Lost
}

// Client returns a client that calls the store within this process.
func (s *Store) Client() storeclient.Store {
	do := func(ctx context.Context, op, key string, effect func()) error {
		done := make(chan bool, 1)
		go func() { done <- s.perform(storeclient.ClassOf(ctx).String(), op, key, effect) }()
		t := time.NewTimer(2 * time.Second)
		defer t.Stop()
		answered := false
		select {
		case answered = <-done:
		case <-t.C:
		}
		if !answered {
			return &storeclient.UnavailableError{Op: op, Key: key, MayHaveApplied: true, Err: errors.New("injected fault")}
		}
		return ctx.Err()
	}
	return storeclient.Store{
		Get: func(ctx context.Context, key string) (storeclient.Entry, error) {
			e, ok, err := clientCall(func(effect func()) error { return do(ctx, "get", key, effect) }, func() (entry, bool) { return s.get(key) })
			if err == nil && !ok {
				err = &storeclient.NotFoundError{Key: key}
			}
			return storeclient.Entry{Key: key, Value: e.value, Revision: e.revision}, err
		},
		CompareAndSwap: func(ctx context.Context, key string, value []byte, expected uint64, lease storeclient.LeaseID) (uint64, error) {
			result, revision, err := clientCall(func(effect func()) error { return do(ctx, "compare_and_swap", key, effect) },
				func() (swapResult, uint64) { return s.compareAndSwap(key, value, expected, uint64(lease)) })
			switch {
			case err != nil:
				return 0, err
			case result == swapConflict:
				return 0, &storeclient.ConflictError{Key: key, Current: revision}
			case result == swapLeaseEnded:
				return 0, &storeclient.LeaseError{ID: lease}
			}
			return revision, nil
		},
		Watch: func(ctx context.Context, key string, after uint64) (storeclient.Entry, error) {
			for {
				f := s.begin(storeclient.ClassOf(ctx).String(), "watch", key)
				if f.Mode == Down || f.Mode == Lost {
					return storeclient.Entry{}, &storeclient.UnavailableError{Op: "watch", Key: key, Err: errors.New("injected fault")}
				}
				if e, ok := s.wait(ctx, key, after, 10*time.Second); ok {
					return storeclient.Entry{Key: key, Value: e.value, Revision: e.revision}, nil
				}
				if ctx.Err() != nil {
					return storeclient.Entry{}, ctx.Err()
				}
			}
		},
		Grant: func(ctx context.Context, ttl time.Duration) (storeclient.LeaseID, error) {
			id, _, err := clientCall(func(effect func()) error { return do(ctx, "grant", "", effect) }, func() (uint64, bool) { return s.grant(ttl), true })
			return storeclient.LeaseID(id), err
		},
		KeepAlive: func(ctx context.Context, id storeclient.LeaseID) error {
			ok, _, err := clientCall(func(effect func()) error { return do(ctx, "keep_alive", "", effect) }, func() (bool, bool) { return s.keepAlive(uint64(id)), true })
			if err == nil && !ok {
				err = &storeclient.LeaseError{ID: id}
			}
			return err
		},
		Revoke: func(ctx context.Context, id storeclient.LeaseID) error {
			return do(ctx, "revoke", "", func() { s.revoke(uint64(id)) })
		},
	}
}

// clientCall runs f as the effect of a call and returns its results. The effect may
// come after the call has failed, so the results are read only if it succeeds.
func clientCall[T, U any](do func(effect func()) error, f func() (T, U)) (T, U, error) {
	type result struct {
		t T
		u U
	}
	results := make(chan result, 1)
	err := do(func() {
		t, u := f()
		results <- result{t, u}
	})
	var r result
	if err == nil {
		r = <-results
	}
	return r.t, r.u, err
}
