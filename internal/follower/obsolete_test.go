package follower

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestObsoleteChange guards against an entry that was removed and is restored by
// an older read, or an older answer of a watch, that arrives after a read which
// no longer had the entry. No removal is remembered if the copy never had it.
func TestObsoleteChange(t *testing.T) {
	entry := storeclient.Entry{Key: "p/a", Value: []byte("1"), Revision: 10}
	for name, arrive := range map[string]func(*Follower) error{
		"read":  func(f *Follower) error { return f.readPrefix(context.Background()) },
		"watch": func(f *Follower) error { return f.watchOnce(context.Background(), 9) },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var list []storeclient.Entry
			revision := uint64(13)
			var changes []storeclient.Event
			f := New(Options{
				Prefix: "p/", Wait: time.Second, Now: time.Now, Changed: func(e []storeclient.Event) { changes = append(changes, e...) },
				Store: storeclient.PrefixStore{
					Range: func(context.Context, string) ([]storeclient.Entry, uint64, error) { return list, revision, nil },
					Watch: func(context.Context, string, uint64, time.Duration) ([]storeclient.Event, uint64, error) {
						return []storeclient.Event{{Entry: entry}}, 11, nil
					},
				},
			})
			c.Assert(f.readPrefix(context.Background()), quicktest.IsNil)
			list, revision = []storeclient.Entry{entry}, 11
			c.Assert(arrive(f), quicktest.IsNil)
			c.Assert(changes, quicktest.HasLen, 0)
			// The entry is written again.
			list, revision = []storeclient.Entry{{Key: "p/a", Value: []byte("2"), Revision: 14}}, 15
			c.Assert(f.readPrefix(context.Background()), quicktest.IsNil)
			c.Assert(changes, quicktest.HasLen, 1)
			c.Assert(string(changes[0].Value), quicktest.Equals, "2")
		})
	}
}

// TestReadWithoutAChange guards against a change that is dropped for good because a
// read that lacks it returned a later revision.
func TestReadWithoutAChange(t *testing.T) {
	changed := storeclient.Entry{Key: "p/a", Value: []byte("2"), Revision: 12}
	for name, tt := range map[string]struct {
		first []storeclient.Entry
		// arrive delivers the change that the first read lacks.
		arrive func(*Follower) error
	}{
		"changed entry in a watch":     {[]storeclient.Entry{{Key: "p/a", Value: []byte("1"), Revision: 10}}, func(f *Follower) error { return f.watchOnce(context.Background(), 11) }},
		"changed entry in a next read": {[]storeclient.Entry{{Key: "p/a", Value: []byte("1"), Revision: 10}}, func(f *Follower) error { return f.readPrefix(context.Background()) }},
		"new entry in a next read":     {nil, func(f *Follower) error { return f.readPrefix(context.Background()) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			list := tt.first
			values := map[string]string{}
			f := New(Options{
				Prefix: "p/", Wait: time.Second, Now: time.Now, Changed: func(e []storeclient.Event) { values[e[len(e)-1].Key] = string(e[len(e)-1].Value) },
				Store: storeclient.PrefixStore{
					Range: func(context.Context, string) ([]storeclient.Entry, uint64, error) { return list, 20, nil },
					Watch: func(context.Context, string, uint64, time.Duration) ([]storeclient.Event, uint64, error) {
						return []storeclient.Event{{Entry: changed}}, 20, nil
					},
				},
			})
			c.Assert(f.readPrefix(context.Background()), quicktest.IsNil)
			list = []storeclient.Entry{changed}
			c.Assert(tt.arrive(f), quicktest.IsNil)
			c.Assert(values["p/a"], quicktest.Equals, "2")
		})
	}
}
