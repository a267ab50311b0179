package server

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// sharedStore is a store that some daemons don't reach.
type sharedStore struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]storeclient.Entry
	changed  chan struct{}
	cut      map[string]bool
}

func (s *sharedStore) isCut(daemon string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[daemon]
}

// setCut changes which daemons don't reach the store.
func (s *sharedStore) setCut(daemons ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = map[string]bool{}
	for _, d := range daemons {
		s.cut[d] = true
	}
	s.notify()
}

func (s *sharedStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// seenBy returns the store as a daemon sees it.
func (s *sharedStore) seenBy(daemon string) storeclient.Store {
	get := func(_ context.Context, key string) (storeclient.Entry, error) {
		if s.isCut(daemon) {
			return storeclient.Entry{}, failed("get", key)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if e, ok := s.entries[key]; ok {
			return e, nil
		}
		return storeclient.Entry{}, &storeclient.NotFoundError{Key: key}
	}
	return storeclient.Store{
		Get: get,
		CompareAndSwap: func(_ context.Context, key string, value []byte, expected uint64, _ storeclient.LeaseID) (uint64, error) {
			if s.isCut(daemon) {
				return 0, failed("swap", key)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if current := s.entries[key].Revision; current != expected {
				return 0, &storeclient.ConflictError{Key: key, Current: current}
			}
			s.revision++
			s.entries[key] = storeclient.Entry{Key: key, Value: value, Revision: s.revision}
			s.notify()
			return s.revision, nil
		},
		Watch: func(ctx context.Context, key string, after uint64) (storeclient.Entry, error) {
			for {
				s.mu.Lock()
				changed := s.changed
				s.mu.Unlock()
				e, err := get(ctx, key)
				if s.isCut(daemon) || (err == nil && e.Revision > after) {
					return e, err
				}
				select {
				case <-changed:
				case <-ctx.Done():
					return storeclient.Entry{}, ctx.Err()
				}
			}
		},
	}
}

// fleet is a number of daemons that call each other directly.
type fleet struct {
	store   *sharedStore
	mu      sync.Mutex
	daemons map[string]*Server
}

func (f *fleet) start(t *testing.T, n int) *Server {
	c := qt.New(t)
	s := testSettings()
	s.ID, s.Control = fmt.Sprintf("d%d", n), fmt.Sprintf("127.0.0.1:%d", 8000+n)
	if n > 0 {
		s.Peers = []string{"127.0.0.1:8000"}
	}
	settings, err := s.check()
	c.Assert(err, qt.IsNil)
	d, err := assemble(settings, io.Discard, prometheus.NewRegistry(), platform{
		store: f.store.seenBy(s.ID), instances: func(context.Context) ([]dispatcher.Instance, error) { return nil, nil },
		worker: func(netip.AddrPort) dispatcher.Worker { return dispatcher.Worker{} },
	})
	c.Assert(err, qt.IsNil)
	d.dial = func(addr string) messenger.Peer { return f.peer(addr) }
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { d.config.Run(ctx) })
	parts.Go(func() { d.gossip.Run(ctx) })
	parts.Go(func() { d.spreadChanges(ctx) })
	f.mu.Lock()
	f.daemons[s.Control] = d
	f.mu.Unlock()
	t.Cleanup(func() {
		cancel()
		parts.Wait()
	})
	return d
}

func (f *fleet) peer(addr string) messenger.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.daemons[addr]; d != nil {
		return d
	}
	return absent{}
}

// absent is a peer that does not answer.
type absent struct{ messenger.Peer }

func (absent) Exchange(context.Context, *messenger.Digest) (*messenger.Digest, error) {
	return nil, failed("exchange", "")
}

// TestInForceWithoutStore guards against a daemon that stays on an old
// configuration because it does not reach the store while a peer does.
func TestInForceWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const daemons = 24
		f := &fleet{store: &sharedStore{entries: map[string]storeclient.Entry{}, changed: make(chan struct{})}, daemons: map[string]*Server{}}
		var all []*Server
		var cut []string
		for n := range daemons {
			all = append(all, f.start(t, n))
			if n > 0 {
				cut = append(cut, all[n].settings.ID)
			}
		}
		time.Sleep(10 * time.Second)
		f.store.setCut(cut...)
		var worst, total time.Duration
		for i := range 50 {
			change := &messenger.ChangeConfigRequest{ChangeId: fmt.Sprintf("c-%d", i), Operator: "o", Change: &messenger.ChangeConfigRequest_Preset{Preset: "peak"}}
			response, err := all[0].ChangeConfig(t.Context(), change)
			c.Assert(err, qt.IsNil)
			begun := time.Now()
			for _, d := range all {
				for {
					if config, _ := d.config.Current(); config != nil && config.Revision >= response.Revision {
						break
					}
					c.Assert(time.Since(begun) < 6*time.Second, qt.IsTrue, qt.Commentf("%s", d.settings.ID))
					time.Sleep(10 * time.Millisecond)
				}
			}
			worst, total = max(worst, time.Since(begun)), total+time.Since(begun)
			time.Sleep(time.Duration(i*137%1000) * time.Millisecond)
		}
		// Without a round of exchanges at each change the average is 1.4 s.
		c.Assert(total/50 < time.Second, qt.IsTrue)
		t.Logf("%d daemons, one of them with the store: in force everywhere within %s on average, %s at most", daemons, total/50, worst)

		// A daemon that starts now takes the configuration from its peers.
		f.store.setCut(append(cut, "d0", "d24")...)
		fresh := f.start(t, daemons)
		c.Assert(fresh.unreadiness(), qt.Not(qt.Equals), "")
		time.Sleep(3 * time.Second)
		c.Assert(fresh.unreadiness(), qt.Equals, "")
		config, at := fresh.config.Current()
		c.Assert(config.Revision, qt.Equals, uint64(50))
		c.Assert(at.IsZero(), qt.IsTrue, qt.Commentf("without the store nothing is confirmed"))
	})
}
