package conductor_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// twoShards is a full shard and a shard with free capacity, each with its
// owner.
type twoShards struct {
	*testCluster
	full, free testShard
	owners     [2]*conductor.Conductor
	stops      [2]func()
}

func newTwoShards(t *testing.T) *twoShards {
	return newTwoShardsWith(t, func(_ planner.Resources, n int, _ bool) (string, int) { return "1", n })
}

// newTwoShardsWith returns two shards of which the full one chooses shards by place. The
// changes are made before the owners start.
func newTwoShardsWith(t *testing.T, place func(planner.Resources, int, bool) (string, int), changes ...func(*twoShards)) *twoShards {
	s := &twoShards{testCluster: newTestCluster(t, time.Minute)}
	s.full = testShard{name: "0", cpu: 1500, pool: s.pool, place: place}
	s.free = testShard{name: "1", cpu: 64000, pool: newPool(time.Minute), place: func(planner.Resources, int, bool) (string, int) { return "0", 0 }}
	for _, change := range changes {
		change(s)
	}
	for i, sh := range []testShard{s.full, s.free} {
		c, stop := s.startDaemonOf(sh, uint16(i+1))
		s.owners[i], s.stops[i] = c, sync.OnceFunc(stop)
		t.Cleanup(s.stops[i])
	}
	return s
}

// submitLongRunning stores a job of long-running tasks in the full shard.
func (s *twoShards) submitLongRunning(id string, count int) {
	j := planner.Job{
		ID: id, Queue: planner.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2}, Received: time.Now(),
		Steps: []planner.Step{{Count: count, Need: planner.Resources{CPU: 1000, Memory: 1}, Estimate: time.Second, LongRunning: true}},
	}
	value, err := planner.Encode(j)
	s.Assert(err, quicktest.IsNil)
	s.keeper.Put(conductor.IndexKey(id), []byte("0"))
	s.keeper.Put(conductor.JobKey("0", id), value)
}

// runsOf counts the runs of a job on the workers of each shard.
func (s *twoShards) runsOf(id string) (onFull, onFree int) {
	for i, p := range []*pool{s.full.pool, s.free.pool} {
		p.mu.Lock()
		for r := range p.runs {
			if r.Job == id {
				if i == 0 {
					onFull++
				} else {
					onFree++
				}
			}
		}
		p.mu.Unlock()
	}
	return onFull, onFree
}

// TestHandover guards against long-running tasks that wait in a full shard
// while another shard has free capacity, and against tasks that run in both
// shards when answers of the store are lost.
func TestHandover(t *testing.T) {
	for name, fault := range map[string]func(n int) keeper.Fault{
		"store answers": func(int) keeper.Fault { return keeper.Fault{} },
		"answers are lost": func(n int) keeper.Fault {
			if n%3 == 0 {
				return keeper.Fault{}
			}
			return keeper.Fault{After: &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true, Err: errors.New("lost")}}
		},
		"calls are lost": func(n int) keeper.Fault {
			if n%3 == 0 {
				return keeper.Fault{}
			}
			return keeper.Fault{Before: &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true, Err: errors.New("lost")}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTwoShards(t)
			s.eventually("owned", testTimeout, func() bool { return s.owners[0].IsOwner() && s.owners[1].IsOwner() })
			n := 0
			s.keeper.SetFault(func(op, _ string) keeper.Fault {
				if op != "transact" {
					return keeper.Fault{}
				}
				n++
				return fault(n)
			})
			for i := range 3 {
				id := fmt.Sprint("job", i)
				s.submitLongRunning(id, 3)
			}
			s.eventually("all running", testTimeout, func() bool {
				sum := 0
				for i := range 3 {
					onFull, onFree := s.runsOf(fmt.Sprint("job", i))
					sum += onFull + onFree
				}
				return sum == 9
			})
			// With free capacity again, the full shard must not start tasks
			// that it has handed over.
			s.keeper.SetFault(nil)
			cancelled := ""
			for i := range 3 {
				if onFull, _ := s.runsOf(fmt.Sprint("job", i)); onFull > 0 {
					cancelled = fmt.Sprint("job", i)
				}
			}
			s.Assert(cancelled, quicktest.Not(quicktest.Equals), "")
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			_, err := s.owners[0].Cancel(ctx, cancelled)
			s.Assert(err, quicktest.IsNil)
			s.eventually("cancelled", testTimeout, func() bool {
				onFull, onFree := s.runsOf(cancelled)
				return onFull+onFree == 0
			})
			time.Sleep(500 * time.Millisecond)
			for i := range 3 {
				id := fmt.Sprint("job", i)
				starts := s.full.pool.startsOf(id)
				for task, count := range s.free.pool.startsOf(id) {
					starts[task] += count
				}
				s.Assert(starts, quicktest.HasLen, 3)
				for task, count := range starts {
					s.Assert(count, quicktest.Equals, 1, quicktest.Commentf("%s", task))
				}
			}
		})
	}
}

// TestUnusablePeerRecord guards against a record of another shard that can't be decoded
// and keeps the tasks of all other jobs from being handed over.
func TestUnusablePeerRecord(t *testing.T) {
	s := newTwoShards(t)
	s.eventually("owned", testTimeout, func() bool { return s.owners[0].IsOwner() && s.owners[1].IsOwner() })
	s.keeper.Put(conductor.JobKey("1", "job0"), []byte("unusable"))
	for i := range 6 {
		s.submitLongRunning(fmt.Sprint("job", i), 2)
	}
	s.eventually("all other tasks run", testTimeout, func() bool {
		sum := 0
		for i := range 5 {
			onFull, onFree := s.runsOf(fmt.Sprint("job", i+1))
			sum += onFull + onFree
		}
		return sum == 10
	})
	_, onFree := s.runsOf("job0")
	s.Assert(onFree, quicktest.Equals, 0)
}

// TestUnusablePeerRecordTakesNoRoom guards against a job that can't be handed over, since
// the record of the other shard can't be decoded or would be too large, and that keeps the
// tasks of other jobs waiting: it comes first each time, and takes the room that the other
// shard has announced, or its transaction, which includes theirs, is refused.
func TestUnusablePeerRecordTakesNoRoom(t *testing.T) {
	full := planner.Job{ID: "job0", Organisation: strings.Repeat("x", storeclient.MaxValueBytes-300), IsPart: true}
	large, err := planner.Encode(full)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(large) < storeclient.MaxValueBytes, quicktest.IsTrue, quicktest.Commentf("%d", len(large)))
	for name, tt := range map[string]struct {
		record []byte
		// announced is how many tasks the other shard has room for in each announcement.
		announced int
	}{
		"can't be decoded": {[]byte("unusable"), 2},
		"too large":        {large, 100},
	} {
		t.Run(name, func(t *testing.T) {
			const announceInterval = 700 * time.Millisecond
			s := newTwoShardsWith(t, func() func(planner.Resources, int, bool) (string, int) {
				left, announcedAt := 0, time.Time{}
				return func(_ planner.Resources, n int, _ bool) (string, int) {
					if time.Since(announcedAt) >= announceInterval {
						left, announcedAt = tt.announced, time.Now()
					}
					n = min(n, left)
					left -= n
					return "1", n
				}
			}())
			s.eventually("owned", testTimeout, func() bool { return s.owners[0].IsOwner() && s.owners[1].IsOwner() })
			s.keeper.Put(conductor.JobKey("1", "job0"), tt.record)
			s.submitLongRunning("job0", 20)
			time.Sleep(200 * time.Millisecond)
			for i := range 3 {
				s.submitLongRunning(fmt.Sprint("job", i+1), 2)
			}
			s.eventually("all other tasks run", testTimeout, func() bool {
				sum := 0
				for i := range 3 {
					onFull, onFree := s.runsOf(fmt.Sprint("job", i+1))
					sum += onFull + onFree
				}
				return sum == 6
			})
			_, onFree := s.runsOf("job0")
			s.Assert(onFree, quicktest.Equals, 0)
		})
	}
}

// TestStoredHandoverWithoutRecord guards against a handover that is stored but taken for
// failed, since the other shard's record is gone when the transaction is repeated. The
// arrival of another job of the same transaction shows that it was applied.
func TestStoredHandoverWithoutRecord(t *testing.T) {
	var mayPlace, isApplied atomic.Bool
	var gone string
	s := newTwoShardsWith(t, func(_ planner.Resources, n int, _ bool) (string, int) {
		if !mayPlace.Load() {
			return "1", 0
		}
		return "1", n
	}, func(s *twoShards) {
		s.full.change = func(o *conductor.Options) {
			transact := o.Store.Transact
			o.Store.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
				revision, err := transact(ctx, t)
				if err != nil || len(t.Writes) < 4 || t.Writes[1].Key[:len("th/1/")] != "th/1/" || isApplied.Load() {
					return revision, err
				}
				gone = t.Writes[1].Key
				s.keeper.Remove(gone)
				isApplied.Store(true)
				return 0, &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true, Err: errors.New("lost")}
			}
		}
	})
	s.eventually("owned", testTimeout, func() bool { return s.owners[0].IsOwner() && s.owners[1].IsOwner() })
	for i := range 3 {
		s.submitLongRunning(fmt.Sprint("job", i), 2)
	}
	time.Sleep(1500 * time.Millisecond)
	mayPlace.Store(true)
	s.eventually("handed over", testTimeout, isApplied.Load)
	time.Sleep(2 * time.Second)
	_, err := s.keeper.Store().Get(context.Background(), gone)
	var missing *storeclient.NotFoundError
	s.Assert(errors.As(err, &missing), quicktest.IsTrue, quicktest.Commentf("%s handed over again", gone))
}

// TestCancelHandedOver guards against tasks that keep running in another shard
// after their job was cancelled.
func TestCancelHandedOver(t *testing.T) {
	s := newTwoShards(t)
	s.submitLongRunning("a", 3)
	s.eventually("handed over", testTimeout, func() bool {
		onFull, onFree := s.runsOf("a")
		return onFull == 1 && onFree == 2
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a, err := s.owners[0].Cancel(ctx, "a")
	s.Assert(err, quicktest.IsNil)
	s.Assert(a.State, quicktest.Equals, planner.Cancelled)
	s.eventually("stopped", testTimeout, func() bool {
		onFull, onFree := s.runsOf("a")
		return onFull+onFree == 0
	})
}

// TestExpiryOfHandedOver guards against a shard that removes the id of a job of
// which it only has handed-over tasks: the job's own shard still answers
// questions about it.
func TestExpiryOfHandedOver(t *testing.T) {
	s := &twoShards{testCluster: newTestCluster(t, time.Minute)}
	s.full = testShard{name: "0", cpu: 1500, pool: s.pool, place: func(_ planner.Resources, n int, _ bool) (string, int) { return "1", n }}
	s.free = testShard{name: "1", cpu: 64000, pool: newPool(time.Minute), place: func(planner.Resources, int, bool) (string, int) { return "0", 0 }, retention: time.Millisecond}
	for i, sh := range []testShard{s.full, s.free} {
		c, stop := s.startDaemonOf(sh, uint16(i+1))
		s.owners[i] = c
		t.Cleanup(stop)
	}
	s.submitLongRunning("a", 3)
	s.eventually("handed over", testTimeout, func() bool {
		onFull, onFree := s.runsOf("a")
		return onFull == 1 && onFree == 2
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := s.owners[0].Cancel(ctx, "a")
	s.Assert(err, quicktest.IsNil)
	var missing *storeclient.NotFoundError
	s.eventually("record of handed-over tasks removed", testTimeout, func() bool {
		_, err := s.keeper.Store().Get(ctx, conductor.JobKey("1", "a"))
		return errors.As(err, &missing)
	})
	_, err = s.keeper.Store().Get(ctx, "th/1/job/a/cancelled")
	s.Assert(errors.As(err, &missing), quicktest.IsTrue, quicktest.Commentf("%v", err))
	_, err = s.keeper.Store().Get(ctx, conductor.IndexKey("a"))
	s.Assert(err, quicktest.IsNil)
}

// TestHandoverSurvivesOwnerChange guards against handed-over tasks that a new
// owner of either shard loses or takes back.
func TestHandoverSurvivesOwnerChange(t *testing.T) {
	s := newTwoShards(t)
	s.submitLongRunning("a", 3)
	s.eventually("handed over", testTimeout, func() bool {
		onFull, onFree := s.runsOf("a")
		return onFull == 1 && onFree == 2
	})
	for i, sh := range []testShard{s.full, s.free} {
		s.stops[i]()
		_, stop := s.startDaemonOf(sh, uint16(11+i))
		defer stop()
	}
	for _, p := range []*pool{s.full.pool, s.free.pool} {
		p.mu.Lock()
		for r := range p.runs {
			p.end(r, planner.EndFailed)
		}
		p.mu.Unlock()
	}
	s.eventually("running again", 2*testTimeout, func() bool {
		onFull, onFree := s.runsOf("a")
		return onFull == 1 && onFree == 2
	})
}
