package follower_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/follower"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestWatchAfterLargeHistory guards against a watch that is repeated for good after a cut
// in which a large entry changed so often that the answer with all changes can't be used.
func TestWatchAfterLargeHistory(t *testing.T) {
	const (
		interval = time.Second
		wait     = 5 * time.Second
		// maxEvents is how many changes an answer can have.
		maxEvents = 4
		observed  = 20 * time.Second
	)
	unavailable := &storeclient.UnavailableError{Op: "test"}
	limit := func(events []storeclient.Event, next uint64, err error) ([]storeclient.Event, uint64, error) {
		if len(events) > maxEvents {
			return nil, 0, unavailable
		}
		return events, next, err
	}
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		k := keeper.New(time.Now)
		large := strings.Repeat("x", 101)
		k.Put("p/a", []byte(large))
		store := k.Store()
		store.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storeclient.Event, uint64, error) {
			return limit(k.Store().Watch(ctx, prefix, after, wait))
		}
		store.Changes = func(ctx context.Context, prefix string, after uint64) ([]storeclient.Event, uint64, error) {
			return limit(k.Store().Changes(ctx, prefix, after))
		}
		got := &localCopy{entries: map[string]string{}}
		f := follower.New(follower.Options{
			Store: store, Prefix: "p/", Wait: wait, Interval: interval, CheckBytes: 100, Now: time.Now, Changed: got.apply,
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { f.Run(ctx) })
		defer running.Wait()
		defer cancel()
		time.Sleep(interval * 3 / 2)
		k.SetFault(func(string, string) keeper.Fault { return keeper.Fault{Before: unavailable} })
		time.Sleep(wait)
		for range maxEvents {
			k.Put("p/a", []byte(large))
		}
		k.Put("p/a", []byte(large+"y"))
		k.SetFault(nil)
		time.Sleep(5 * interval)
		c.Assert(got.equals(map[string]string{"p/a": large + "y"}), quicktest.IsTrue)
		watches, reads, checks := k.Calls("watch"), k.Calls("range"), k.Calls("changes")
		time.Sleep(observed)
		c.Assert(k.Calls("watch")-watches <= int(observed/wait)+1, quicktest.IsTrue, quicktest.Commentf("%d watches", k.Calls("watch")-watches))
		c.Assert(k.Calls("range")-reads, quicktest.Equals, 0)
		c.Assert(k.Calls("changes")-checks, quicktest.Equals, int(observed/interval))
		k.Put("p/a", []byte(large+"z"))
		time.Sleep(time.Millisecond)
		c.Assert(got.equals(map[string]string{"p/a": large + "z"}), quicktest.IsTrue)
	})
}
