package follower_test

import (
	"context"
	"slices"
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

// TestCheck guards against a large entry that is read although it hasn't changed, against
// a check for changes that misses one or proves nothing, against more calls than without
// checks, also while no answer to them can be used, and against a small entry that isn't read as a whole.
func TestCheck(t *testing.T) {
	const interval = time.Second
	large := strings.Repeat("x", 101)
	unavailable := keeper.Fault{Before: &storeclient.RefusedError{Op: "test", Status: 503}}
	refuse := func(refused string) func(op, _ string) keeper.Fault {
		return func(op, _ string) keeper.Fault {
			if op == refused {
				return unavailable
			}
			return keeper.Fault{}
		}
	}
	for name, tt := range map[string]struct {
		first  string
		change func(*keeper.Keeper)
		// lag is how far the revisions of checks are behind.
		lag  uint64
		want map[string]string
		// reads and checks are the calls in ten intervals from the change on, and
		// confirmed the proofs that the copy is current.
		reads, checks, confirmed int
	}{
		"large":         {large, func(*keeper.Keeper) {}, 0, map[string]string{"p/a": large}, 0, 10, 10},
		"small":         {large[1:], func(*keeper.Keeper) {}, 0, map[string]string{"p/a": large[1:]}, 10, 0, 10},
		"changed":       {large, func(k *keeper.Keeper) { k.Put("p/a", []byte(large+"y")) }, 0, map[string]string{"p/a": large + "y"}, 0, 10, 10},
		"added":         {large, func(k *keeper.Keeper) { k.Put("p/b", []byte("1")) }, 0, map[string]string{"p/a": large, "p/b": "1"}, 0, 10, 10},
		"removed":       {large, func(k *keeper.Keeper) { k.Remove("p/a") }, 0, map[string]string{}, 9, 1, 10},
		"becomes small": {large, func(k *keeper.Keeper) { k.Put("p/a", []byte("1")) }, 0, map[string]string{"p/a": "1"}, 9, 1, 10},
		"becomes large": {"1", func(k *keeper.Keeper) { k.Put("p/a", []byte(large)) }, 0, map[string]string{"p/a": large}, 1, 9, 10},
		"history dropped": {large, func(k *keeper.Keeper) {
			k.Put("p/a", []byte(large+"y"))
			k.Compact()
		}, 0, map[string]string{"p/a": large + "y"}, 2, 9, 10},
		"check fails": {large, func(k *keeper.Keeper) {
			k.SetFault(refuse("changes"))
			k.Put("p/a", []byte(large+"y"))
		}, 0, map[string]string{"p/a": large + "y"}, 5, 5, 5},
		"read fails": {large, func(k *keeper.Keeper) {
			k.SetFault(refuse("range"))
			k.Put("p/a", []byte(large+"y"))
		}, 0, map[string]string{"p/a": large + "y"}, 0, 10, 10},
		"earlier revision": {large, func(k *keeper.Keeper) { k.Put("p/a", []byte(large+"y")) }, 9, map[string]string{"p/a": large + "y"}, 10, 4, 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				k := keeper.New(time.Now)
				for range 9 {
					k.Put("other", nil)
				}
				k.Put("p/a", []byte(tt.first))
				store := k.Store()
				if tt.lag > 0 {
					store.Changes = func(ctx context.Context, prefix string, after uint64) ([]storeclient.Event, uint64, error) {
						_, next, err := k.Store().Changes(ctx, prefix, after)
						return nil, next - tt.lag, err
					}
				}
				got := &localCopy{entries: map[string]string{}}
				var confirmed []time.Time
				f := follower.New(follower.Options{
					Store: store, Prefix: "p/", Interval: interval, CheckBytes: 100, Now: time.Now, Changed: got.apply,
					Confirmed: func(at time.Time) { confirmed = append(confirmed, at) },
				})
				ctx, cancel := context.WithCancel(context.Background())
				go f.Run(ctx)
				// The checks begin after two reads.
				time.Sleep(interval * 3 / 2)
				reads, checks := k.Calls("range"), k.Calls("changes")
				changedAt := time.Now()
				tt.change(k)
				time.Sleep(10 * interval)
				cancel()
				synctest.Wait()
				c.Assert(got.equals(tt.want), quicktest.IsTrue)
				c.Assert(k.Calls("range")-reads, quicktest.Equals, tt.reads)
				c.Assert(k.Calls("changes")-checks, quicktest.Equals, tt.checks)
				confirmed = slices.DeleteFunc(confirmed, func(at time.Time) bool { return at.Before(changedAt) })
				c.Assert(confirmed, quicktest.HasLen, tt.confirmed)
			})
		})
	}
}

// TestCheckCountsFromItsBeginning guards against a copy that counts as current as of a time
// at which the answer of its check was under way.
func TestCheckCountsFromItsBeginning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := keeper.New(time.Now)
		k.Put("p/a", []byte("12"))
		store := k.Store()
		var sent []time.Time
		store.Changes = func(ctx context.Context, prefix string, after uint64) ([]storeclient.Event, uint64, error) {
			sent = append(sent, time.Now())
			time.Sleep(300 * time.Millisecond)
			return k.Store().Changes(ctx, prefix, after)
		}
		var confirmed []time.Time
		f := follower.New(follower.Options{
			Store: store, Prefix: "p/", Interval: time.Second, CheckBytes: 1, Now: time.Now, Changed: func([]storeclient.Event) {},
			Confirmed: func(at time.Time) { confirmed = append(confirmed, at) },
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		f.Run(ctx)
		// The first two are reads.
		quicktest.Assert(t, confirmed[2:], quicktest.DeepEquals, sent[:len(confirmed)-2])
	})
}

// TestLargeReadWithoutAChange guards against a large entry that stays out of date, and is
// confirmed, since the first read, or the two reads at the start of a watch, lacked a change
// whose revision is below theirs.
func TestLargeReadWithoutAChange(t *testing.T) {
	const interval = time.Second
	for name, tt := range map[string]struct {
		wait time.Duration
		// lacking is the number of reads that lack the change.
		lacking int
	}{
		"one read":         {0, 1},
		"concurrent reads": {time.Minute, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				k := keeper.New(time.Now)
				large := strings.Repeat("x", 101)
				k.Put("p/a", []byte(large))
				old, _, err := k.Store().Range(context.Background(), "p/")
				c.Assert(err, quicktest.IsNil)
				k.Put("p/a", []byte(large+"y"))
				store := k.Store()
				store.Range = func(ctx context.Context, prefix string) ([]storeclient.Entry, uint64, error) {
					list, revision, err := k.Store().Range(ctx, prefix)
					if k.Calls("range")-1 <= tt.lacking {
						list = old
					}
					time.Sleep(interval / 4)
					return list, revision, err
				}
				got := &localCopy{entries: map[string]string{}}
				f := follower.New(follower.Options{
					Store: store, Prefix: "p/", Wait: tt.wait, Interval: interval, CheckBytes: 100, Now: time.Now, Changed: got.apply,
				})
				ctx, cancel := context.WithCancel(context.Background())
				var running sync.WaitGroup
				running.Go(func() { f.Run(ctx) })
				defer running.Wait()
				defer cancel()
				time.Sleep(2 * interval)
				c.Assert(got.equals(map[string]string{"p/a": large + "y"}), quicktest.IsTrue)
			})
		})
	}
}
