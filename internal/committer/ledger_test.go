package committer

import (
	"context"
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

var charts = must(scheduler.LoadCharts())

func newCore(testing.TB) *scheduler.Core {
	return scheduler.New(scheduler.Options{Shard: "a", Domain: "a", Charts: charts, Policy: placer.FirstFit()})
}

// addWorker returns a change that can be applied only once, so that a replay
// fails if a record was written twice.
func addWorker(id string) []scheduler.Change {
	w := scheduler.Worker{ID: id, Capacity: declarer.Resources{MilliCPU: 1000, MemoryMB: 1000}, State: scheduler.Live}
	return []scheduler.Change{{WorkerChanged: &scheduler.WorkerChanged{Worker: w}}}
}

// replayWorkers replays the log as a new owner and returns the ids of the
// workers.
func replayWorkers(c *quicktest.C, f *fakeStore) map[string]bool {
	core := newCore(c.TB)
	l := New(Options{Store: f.client(false), Shard: "a", Writer: "reader"})
	c.Assert(l.Replay(context.Background(), core), quicktest.IsNil)
	found := map[string]bool{}
	for _, w := range core.Workers() {
		found[w.ID] = true
	}
	return found
}

// openLedger returns a ledger that has replayed the log and begun an epoch,
// and its core.
func openLedger(c *quicktest.C, s storeclient.Store, writer string) (*Ledger, *scheduler.Core) {
	core := newCore(c.TB)
	l := New(Options{Store: s, Shard: "a", Writer: writer})
	c.Assert(l.Replay(context.Background(), core), quicktest.IsNil)
	c.Assert(l.Begin(context.Background(), nil), quicktest.IsNil)
	return l, core
}

// settleAppend calls Settle until the append is decided, up to 10 times.
func settleAppend(l *Ledger, err error) error {
	var undecided *UndecidedError
	for range 10 {
		if !errors.As(err, &undecided) {
			return err
		}
		err = l.Settle(context.Background())
	}
	return err
}

// ledgerOperations are run with each fault at each store call. An operation
// returns the id of a worker that it added, and the error that remains once an
// undecided append is settled.
var ledgerOperations = map[string]func(*quicktest.C, *fakeStore) (string, error){
	"begin": func(c *quicktest.C, f *fakeStore) (string, error) {
		l := New(Options{Store: f.client(true), Shard: "a", Writer: "x"})
		f.setFaults(nil)
		c.Assert(l.Replay(context.Background(), newCore(c.TB)), quicktest.IsNil)
		f.useChosenFaults()
		return "new", settleAppend(l, l.Begin(context.Background(), addWorker("new")))
	},
	"append": func(c *quicktest.C, f *fakeStore) (string, error) {
		f.setFaults(nil)
		l, _ := openLedger(c, f.client(true), "x")
		f.useChosenFaults()
		return "new", settleAppend(l, l.Append(context.Background(), addWorker("new")))
	},
	"append to an unread slot": func(c *quicktest.C, f *fakeStore) (string, error) {
		f.setFaults(nil)
		l, _ := openLedger(c, f.client(true), "x")
		l.revisions = map[uint64]uint64{}
		f.useChosenFaults()
		return "new", settleAppend(l, l.Append(context.Background(), addWorker("new")))
	},
	"settle": func(c *quicktest.C, f *fakeStore) (string, error) {
		f.setFaults(nil)
		l, _ := openLedger(c, f.client(true), "x")
		f.setFaults(map[int]fault{0: answerLost})
		err := l.Append(context.Background(), addWorker("new"))
		f.useChosenFaults()
		return "new", settleAppend(l, err)
	},
	"compact": func(c *quicktest.C, f *fakeStore) (string, error) {
		f.setFaults(nil)
		l, core := openLedger(c, f.client(true), "x")
		c.Assert(l.Append(context.Background(), addWorker("new")), quicktest.IsNil)
		c.Assert(core.Apply(addWorker("new")[0]), quicktest.IsNil)
		f.useChosenFaults()
		if err := l.Compact(context.Background(), core.Snapshot()); err != nil {
			c.Logf("compact: %v", err)
		}
		f.setFaults(nil)
		// An append after the snapshot shows that the ledger is still
		// consistent.
		return "next", settleAppend(l, l.Append(context.Background(), addWorker("next")))
	},
	"replay": func(c *quicktest.C, f *fakeStore) (string, error) {
		l := New(Options{Store: f.client(true), Shard: "a", Writer: "x"})
		f.setFaults(nil)
		f.useChosenFaults()
		if err := l.Replay(context.Background(), newCore(c.TB)); err != nil {
			return "", err
		}
		return "new", settleAppend(l, l.Begin(context.Background(), addWorker("new")))
	},
}

// useChosenFaults injects the faults that the test has chosen.
func (f *fakeStore) useChosenFaults() { f.setFaults(f.chosenFaults) }

// TestFaultsAtEveryCall guards against a change that is lost, committed twice
// or reported with the wrong result when one or two consecutive store calls
// fail.
func TestFaultsAtEveryCall(t *testing.T) {
	for operation, run := range ledgerOperations {
		for name, kind := range faultNames {
			for at := range 12 {
				for _, times := range []int{1, 2} {
					t.Run(fmt.Sprintf("%s/%s/call %d/%d times", operation, name, at, times), func(t *testing.T) {
						t.Parallel()
						checkFault(quicktest.New(t), run, kind, at, times)
					})
				}
			}
		}
	}
}

func checkFault(c *quicktest.C, run func(*quicktest.C, *fakeStore) (string, error), kind fault, at, times int) {
	f := newFakeStore()
	first, core := openLedger(c, f.client(false), "old")
	for i := range 3 {
		c.Assert(first.Append(context.Background(), addWorker(fmt.Sprint(i))), quicktest.IsNil)
		c.Assert(core.Apply(addWorker(fmt.Sprint(i))[0]), quicktest.IsNil)
	}
	c.Assert(first.Compact(context.Background(), core.Snapshot()), quicktest.IsNil)
	c.Assert(first.Append(context.Background(), addWorker("3")), quicktest.IsNil)
	rivals := 0
	f.rival = func() {
		rivals++
		rival, _ := openLedger(c, f.client(false), fmt.Sprint("rival", rivals))
		c.Assert(rival.Append(context.Background(), addWorker(fmt.Sprint("rival", rivals))), quicktest.IsNil)
	}
	f.chosenFaults = map[int]fault{}
	for i := range times {
		f.chosenFaults[at+i] = kind
	}
	id, err := run(c, f)
	f.applyLateWrite()
	found := replayWorkers(c, f)
	for i := range 4 {
		c.Assert(found[fmt.Sprint(i)], quicktest.IsTrue)
	}
	for i := range rivals {
		c.Assert(found[fmt.Sprint("rival", i+1)], quicktest.IsTrue)
	}
	var fenced *FencedError
	var unavailable *storeclient.UnavailableError
	switch {
	case err == nil:
		c.Assert(found[id], quicktest.IsTrue)
	case errors.As(err, &fenced):
		c.Assert(rivals > 0, quicktest.IsTrue)
		c.Assert(found[id], quicktest.IsFalse)
	case errors.As(err, &unavailable):
		// Only a replay returns the error of a failed call; appends are
		// retried.
		c.Assert(id, quicktest.Equals, "")
	default:
		c.Fatalf("unexpected error: %v", err)
	}
}

// TestRing guards against a slot that is reused before a snapshot covers its
// record, and against a full ring in which a new owner can't begin.
func TestRing(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	f := newFakeStore()
	l, core := openLedger(c, f.client(false), "x")
	count := 0
	add := func() error {
		err := l.Append(context.Background(), addWorker(fmt.Sprint(count)))
		if err == nil {
			c.Assert(core.Apply(addWorker(fmt.Sprint(count))[0]), quicktest.IsNil)
			count++
		}
		return err
	}
	var full *FullError
	for !errors.As(add(), &full) {
		c.Assert(count < ringSlots, quicktest.IsTrue)
	}
	c.Assert(len(replayWorkers(c, f)), quicktest.Equals, count)
	// The reserved slots let a new owner begin and write a snapshot.
	l, core = openLedger(c, f.client(false), "y")
	c.Assert(l.Compact(context.Background(), core.Snapshot()), quicktest.IsNil)
	for range 3 * ringSlots {
		if l.Uncovered() >= 256 {
			c.Assert(l.Compact(context.Background(), core.Snapshot()), quicktest.IsNil)
		}
		c.Assert(add(), quicktest.IsNil)
	}
	c.Assert(len(replayWorkers(c, f)), quicktest.Equals, count)
}

// TestCorruptValues guards against a ledger that ignores or overwrites a value
// that it can't decode.
func TestCorruptValues(t *testing.T) {
	foreign, err := encode(Record{Sequence: 2, Epoch: 1, Shard: "b", Begin: true})
	if err != nil {
		t.Fatal(err)
	}
	unknown, err := encode(map[int]any{1: 2, 2: 1, 8: "a", 99: "field of a later version"})
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string][]byte{"no frame": []byte("garbage"), "empty": {}, "of another shard": foreign, "of a later version": unknown} {
		for _, key := range []string{"snapshot/a", "ledger/a/2"} {
			t.Run(name+"/"+key, func(t *testing.T) {
				c := quicktest.New(t)
				f := newFakeStore()
				l, core := openLedger(c, f.client(false), "x")
				_, err := f.swap(key, value, 0)
				c.Assert(err, quicktest.IsNil)
				var corrupt *CorruptError
				err = New(l.options).Replay(context.Background(), newCore(t))
				c.Assert(errors.As(err, &corrupt), quicktest.IsTrue)
				c.Assert(corrupt.Key, quicktest.Equals, key)
				if key == "snapshot/a" {
					err = l.Compact(context.Background(), core.Snapshot())
				} else {
					err = l.Append(context.Background(), addWorker("new"))
				}
				c.Assert(errors.As(err, &corrupt), quicktest.IsTrue)
				c.Assert(string(f.entries[key].Value), quicktest.Equals, string(value))
			})
		}
	}
}

// TestLargeValues guards against writing a value over the store's limit. A
// large set of changes is split into records, and a large snapshot is refused.
func TestLargeValues(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	f := newFakeStore()
	l, core := openLedger(c, f.client(false), "x")
	var changes []scheduler.Change
	for i := range 40_000 {
		// Hashes don't compress, so the values stay large.
		changes = append(changes, addWorker(fmt.Sprintf("%x", hashOf(i)))...)
	}
	c.Assert(l.Append(context.Background(), changes), quicktest.IsNil)
	c.Assert(l.Next() > 3, quicktest.IsTrue)
	for _, ch := range changes {
		c.Assert(core.Apply(ch), quicktest.IsNil)
	}
	c.Assert(len(replayWorkers(c, f)), quicktest.Equals, len(changes))
	var large *TooLargeError
	c.Assert(errors.As(l.Compact(context.Background(), core.Snapshot()), &large), quicktest.IsTrue)
	_, written := f.entries["snapshot/a"]
	c.Assert(written, quicktest.IsFalse)
}

// TestHorizons guards against a new owner that doesn't learn how long its
// predecessor may have renewed leases, or that the predecessor has stopped.
func TestHorizons(t *testing.T) {
	c := quicktest.New(t)
	f := newFakeStore()
	l, core := openLedger(c, f.client(false), "x")
	set := []scheduler.Change{{HorizonSet: &scheduler.HorizonSet{Class: declarer.ClassBatch, Length: 900e9}}}
	c.Assert(l.Append(context.Background(), set), quicktest.IsNil)
	c.Assert(l.Compact(context.Background(), core.Snapshot()), quicktest.IsNil)
	next, _ := openLedger(c, f.client(false), "y")
	c.Assert(next.Horizons(), quicktest.DeepEquals, Horizons{declarer.ClassBatch: 900e9})
	c.Assert(next.Epoch(), quicktest.Equals, uint64(2))
	left := []scheduler.Change{{HorizonSet: &scheduler.HorizonSet{Class: declarer.ClassWatcher, Length: 60e9}}}
	c.Assert(next.Release(context.Background(), left), quicktest.IsNil)
	last := New(Options{Store: f.client(false), Shard: "a", Writer: "z"})
	c.Assert(last.Replay(context.Background(), newCore(t)), quicktest.IsNil)
	c.Assert(last.Horizons(), quicktest.DeepEquals, Horizons{declarer.ClassWatcher: 60e9})
}
