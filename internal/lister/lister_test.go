package lister_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/lister"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	maxDelay     = 2 * time.Second
	readInterval = 700 * time.Millisecond
)

var part = lister.Part{Shard: 0, Shards: 2}

// deployment has a source and another instance, which share a store.
type deployment struct {
	*quicktest.C
	now           time.Time
	list          []storeclient.Entry
	revision      uint64
	source, other *lister.Lister
	// reads counts the reads of the store by each of them.
	sourceReads, otherReads int
	// askTime is how long a question takes; an error fails all of them.
	askTime time.Duration
	askErr  error
	// received counts the entries that answers have.
	received int
}

// entry returns the entry of a worker, whose value is its description, a slash and its
// heartbeat.
func entry(key, value string, revision uint64) storeclient.Entry {
	return storeclient.Entry{Key: key, Value: []byte(value), Revision: revision, Created: 1}
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{C: quicktest.New(t), now: time.Unix(1_000_000, 0), revision: 10}
	d.list = []storeclient.Entry{entry("0a", "ready/1", 5), entry("1b", "ready/1", 6)}
	options := lister.Options{
		IsSame: func(a, b storeclient.Entry) bool {
			before, _, _ := strings.Cut(string(a.Value), "/")
			after, _, _ := strings.Cut(string(b.Value), "/")
			return before == after
		},
		IsIn:     func(e storeclient.Entry, p lister.Part) bool { return int(e.Key[0]-'0') == p.Shard },
		Source:   func() netip.AddrPort { return netip.AddrPort{} },
		MaxDelay: maxDelay,
		Now:      func() time.Time { return d.now },
	}
	read := func(count *int) func(context.Context) ([]storeclient.Entry, uint64, error) {
		return func(context.Context) ([]storeclient.Entry, uint64, error) {
			*count++
			return append([]storeclient.Entry(nil), d.list...), d.revision, nil
		}
	}
	options.Read = read(&d.sourceReads)
	d.source = lister.New(options)
	options.Read = read(&d.otherReads)
	options.Source = func() netip.AddrPort { return netip.MustParseAddrPort("10.0.0.1:1") }
	options.Ask = func(_ context.Context, _ netip.AddrPort, q lister.Question) (lister.Answer, error) {
		var a lister.Answer
		err := d.askErr
		if err == nil {
			a, err = d.source.Answer(q)
		}
		d.received += len(a.Entries)
		d.now = d.now.Add(d.askTime)
		return a, err
	}
	d.other = lister.New(options)
	return d
}

func (d *deployment) readSource() {
	_, _, err := d.source.Range(context.Background(), part)
	d.Assert(err, quicktest.IsNil)
}

// values returns the values that the other instance gets, or "silent" if it keeps what it
// has.
func (d *deployment) values() string {
	list, _, err := d.other.Range(context.Background(), part)
	var silent *lister.SilentError
	if errors.As(err, &silent) {
		return "silent"
	}
	d.Assert(err, quicktest.IsNil)
	var values []string
	for _, e := range list {
		values = append(values, string(e.Value))
	}
	return strings.Join(values, ",")
}

// TestHeartbeatsAreNotPassedOn guards against a list that every owner reads, and receives,
// at each heartbeat.
func TestHeartbeatsAreNotPassedOn(t *testing.T) {
	d := newDeployment(t)
	d.readSource()
	d.Assert(d.values(), quicktest.Equals, "ready/1")
	for beat := range 10 {
		d.now = d.now.Add(readInterval)
		d.revision += 10
		d.list[0] = entry("0a", "ready/"+string(rune('2'+beat)), d.revision)
		d.readSource()
		d.Assert(d.values(), quicktest.Equals, "ready/1")
	}
	d.Assert(d.received, quicktest.Equals, 1)
	d.list[0] = entry("0a", "draining/9", d.revision+1)
	d.now = d.now.Add(readInterval)
	d.readSource()
	d.Assert(d.values(), quicktest.Equals, "draining/9")
	d.list = nil
	d.now = d.now.Add(readInterval)
	d.readSource()
	d.Assert(d.values(), quicktest.Equals, "")
	d.Assert(d.otherReads, quicktest.Equals, 0)
	d.Assert(d.sourceReads, quicktest.Equals, 13)
}

// TestSourceFails guards against an owner that doesn't notice that a worker leaves, or
// takes an old list for the present one, because the source is gone, was suspended or
// can't read the store.
func TestSourceFails(t *testing.T) {
	for name, fail := range map[string]func(d *deployment){
		"gone":                 func(d *deployment) { d.askErr = errors.New("no answer") },
		"doesn't read":         func(*deployment) {},
		"suspended for a call": func(d *deployment) { d.askTime = 2 * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.readSource()
			d.Assert(d.values(), quicktest.Equals, "ready/1")
			fail(d)
			d.list[0] = entry("0a", "draining/2", 12)
			began := d.now
			for d.values() != "draining/2" {
				d.now = d.now.Add(d.other.Interval())
			}
			d.Assert(d.now.Sub(began) <= maxDelay, quicktest.IsTrue, quicktest.Commentf("after %s", d.now.Sub(began)))
			// It asks the source again once that is back.
			d.askErr, d.askTime = nil, 0
			d.now = d.now.Add(3 * time.Second)
			d.readSource()
			reads := d.otherReads
			d.Assert(d.values(), quicktest.Equals, "draining/2")
			d.Assert(d.otherReads, quicktest.Equals, reads)
		})
	}
}

// TestShardsShareRead guards against a read of the whole list for each shard of one
// owner.
func TestShardsShareRead(t *testing.T) {
	d := newDeployment(t)
	for shard := range 2 {
		list, revision, err := d.source.Range(context.Background(), lister.Part{Shard: shard, Shards: 2})
		d.Assert(err, quicktest.IsNil)
		d.Assert(list, quicktest.HasLen, 1)
		d.Assert(revision, quicktest.Equals, uint64(10))
	}
	d.Assert(d.sourceReads, quicktest.Equals, 1)
}
