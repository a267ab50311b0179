package follower_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/follower"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// localCopy is the copy of the entries that results from a follower's changes.
type localCopy struct {
	mu      sync.Mutex
	entries map[string]string
}

func (c *localCopy) apply(events []storeclient.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range events {
		if e.Removed {
			delete(c.entries, e.Key)
		} else {
			c.entries[e.Key] = string(e.Value)
		}
	}
}

func (c *localCopy) equals(want map[string]string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) != len(want) {
		return false
	}
	for k, v := range want {
		if c.entries[k] != v {
			return false
		}
	}
	return true
}

func eventually(c *quicktest.C, what string, f func() bool) {
	c.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	c.Fatalf("%s: not within 5 s", what)
}

// TestFollow guards against changes that a follower misses because its watch
// stops delivering, fails, or needs history that was dropped.
func TestFollow(t *testing.T) {
	unavailable := &storeclient.RefusedError{Op: "test", Status: 503}
	for name, tt := range map[string]struct {
		wait, interval time.Duration
		injectFault    func(k *keeper.Keeper)
	}{
		"no fault": {time.Second, 0, func(*keeper.Keeper) {}},
		"no watch": {0, 10 * time.Millisecond, func(*keeper.Keeper) {}},
		"watch fails": {time.Second, 10 * time.Millisecond, func(k *keeper.Keeper) {
			k.SetFault(func(op, _ string) keeper.Fault {
				if op == "watch" {
					time.Sleep(time.Millisecond)
					return keeper.Fault{Before: unavailable}
				}
				return keeper.Fault{}
			})
		}},
		"history dropped": {time.Second, 0, func(k *keeper.Keeper) {
			k.Put("p/lost", []byte("x"))
			k.Remove("p/lost")
			k.Compact()
		}},
		"outage": {time.Second, 0, func(k *keeper.Keeper) {
			k.SetFault(func(string, string) keeper.Fault { return keeper.Fault{Before: unavailable} })
			time.AfterFunc(50*time.Millisecond, func() { k.SetFault(nil) })
			k.Compact()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			k := keeper.New(time.Now)
			k.Put("p/a", []byte("1"))
			k.Put("other", []byte("1"))
			got := &localCopy{entries: map[string]string{}}
			var current atomic.Int64
			f := follower.New(follower.Options{
				Store: k.Store(), Prefix: "p/", Wait: tt.wait, Interval: tt.interval, Now: time.Now, Changed: got.apply,
				Current: func(at time.Time) { current.Store(at.UnixNano()) },
			})
			ctx, cancel := context.WithCancel(context.Background())
			var done sync.WaitGroup
			done.Go(func() { f.Run(ctx) })
			defer done.Wait()
			defer cancel()
			eventually(c, "first read", func() bool { return got.equals(map[string]string{"p/a": "1"}) })
			tt.injectFault(k)
			k.Put("p/a", []byte("2"))
			k.Put("p/b", []byte("3"))
			eventually(c, "change", func() bool { return got.equals(map[string]string{"p/a": "2", "p/b": "3"}) })
			k.Remove("p/a")
			eventually(c, "removal", func() bool { return got.equals(map[string]string{"p/b": "3"}) })
			removedAt := time.Now()
			eventually(c, "current", func() bool { return current.Load() > removedAt.UnixNano() })
		})
	}
}

// TestCurrentFollowsChanges guards against a copy that counts as current as of a time
// after which it lacked a change.
func TestCurrentFollowsChanges(t *testing.T) {
	c := quicktest.New(t)
	k := keeper.New(time.Now)
	var stored, missed atomic.Int64
	seen := map[string]bool{}
	ctx, cancel := context.WithCancel(context.Background())
	f := follower.New(follower.Options{
		Store: k.Store(), Prefix: "p/", Wait: 20 * time.Millisecond, Interval: 5 * time.Millisecond, Now: time.Now,
		Changed: func(events []storeclient.Event) {
			for _, e := range events {
				seen[e.Key] = true
			}
		},
		Current: func(at time.Time) {
			if n := stored.Load(); n > 0 && at.After(time.Unix(0, n)) && !seen["p/new"] {
				missed.Add(1)
			}
		},
	})
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	time.Sleep(30 * time.Millisecond)
	k.Put("p/new", []byte("1"))
	stored.Store(time.Now().UnixNano())
	time.Sleep(60 * time.Millisecond)
	cancel()
	done.Wait()
	c.Assert(missed.Load(), quicktest.Equals, int64(0))
	c.Assert(seen["p/new"], quicktest.IsTrue)
}
