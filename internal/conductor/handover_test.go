package conductor_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// twoShards is a full shard and one with room, each with its owner.
type twoShards struct {
	*site
	full, roomy shard
	owners      [2]*conductor.Conductor
	stops       [2]func()
}

func newTwoShards(t *testing.T) *twoShards {
	s := &twoShards{site: newSite(t, time.Minute)}
	s.full = shard{name: "0", cpu: 1500, pool: s.pool, place: func(_ planner.Resources, n int, _ bool) (string, int) { return "1", n }}
	s.roomy = shard{name: "1", cpu: 64000, pool: newPool(time.Minute), place: func(planner.Resources, int, bool) (string, int) { return "0", 0 }}
	for i, h := range []shard{s.full, s.roomy} {
		c, stop := s.daemonOf(h, uint16(i+1))
		s.owners[i], s.stops[i] = c, sync.OnceFunc(stop)
		t.Cleanup(s.stops[i])
	}
	return s
}

// submitLasting stores a job of lasting tasks in the full shard.
func (s *twoShards) submitLasting(id string, count int) {
	j := planner.Job{
		ID: id, Queue: planner.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2}, Received: time.Now(),
		Steps: []planner.Step{{Count: count, Need: planner.Resources{CPU: 1000, Memory: 1}, Estimate: time.Second, LongRunning: true}},
	}
	value, err := planner.Encode(j)
	s.Assert(err, quicktest.IsNil)
	s.keeper.Put(conductor.IndexKey(id), []byte("0"))
	s.keeper.Put(conductor.JobKey("0", id), value)
}

// runsOf counts the runs of a job on the workers of both shards, by task.
func (s *twoShards) runsOf(id string) (onFull, onRoomy int) {
	for i, p := range []*pool{s.full.pool, s.roomy.pool} {
		p.mu.Lock()
		for r := range p.runs {
			if r.Job == id {
				if i == 0 {
					onFull++
				} else {
					onRoomy++
				}
			}
		}
		p.mu.Unlock()
	}
	return onFull, onRoomy
}

// TestHandover guards against lasting tasks that wait in a full shard while
// another one has room, and against tasks that run in both when the answers of
// the store are lost.
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
			s.eventually("owned", patience, func() bool { return s.owners[0].IsOwner() && s.owners[1].IsOwner() })
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
				s.submitLasting(id, 3)
			}
			s.eventually("all at work", patience, func() bool {
				sum := 0
				for i := range 3 {
					onFull, onRoomy := s.runsOf(fmt.Sprint("job", i))
					sum += onFull + onRoomy
				}
				return sum == 9
			})
			// With room again the full shard must not start what it has handed over.
			s.keeper.SetFault(nil)
			cancelled := ""
			for i := range 3 {
				if onFull, _ := s.runsOf(fmt.Sprint("job", i)); onFull > 0 {
					cancelled = fmt.Sprint("job", i)
				}
			}
			s.Assert(cancelled, quicktest.Not(quicktest.Equals), "")
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			_, err := s.owners[0].Cancel(ctx, cancelled)
			s.Assert(err, quicktest.IsNil)
			s.eventually("cancelled", patience, func() bool {
				onFull, onRoomy := s.runsOf(cancelled)
				return onFull+onRoomy == 0
			})
			time.Sleep(500 * time.Millisecond)
			for i := range 3 {
				id := fmt.Sprint("job", i)
				starts := s.full.pool.startsOf(id)
				for task, count := range s.roomy.pool.startsOf(id) {
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

// TestCancelHandedOver guards against tasks that go on in another shard after
// their job was cancelled.
func TestCancelHandedOver(t *testing.T) {
	s := newTwoShards(t)
	s.submitLasting("a", 3)
	s.eventually("handed over", patience, func() bool {
		onFull, onRoomy := s.runsOf("a")
		return onFull == 1 && onRoomy == 2
	})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a, err := s.owners[0].Cancel(ctx, "a")
	s.Assert(err, quicktest.IsNil)
	s.Assert(a.State, quicktest.Equals, planner.Cancelled)
	s.eventually("stopped", patience, func() bool {
		onFull, onRoomy := s.runsOf("a")
		return onFull+onRoomy == 0
	})
}

// TestExpiryOfHandedOver guards against a shard that forgets the id of a job of
// which it only had tasks: the job's own shard still answers for it.
func TestExpiryOfHandedOver(t *testing.T) {
	s := &twoShards{site: newSite(t, time.Minute)}
	s.full = shard{name: "0", cpu: 1500, pool: s.pool, place: func(_ planner.Resources, n int, _ bool) (string, int) { return "1", n }}
	s.roomy = shard{name: "1", cpu: 64000, pool: newPool(time.Minute), place: func(planner.Resources, int, bool) (string, int) { return "0", 0 }, keep: time.Millisecond}
	for i, h := range []shard{s.full, s.roomy} {
		c, stop := s.daemonOf(h, uint16(i+1))
		s.owners[i] = c
		t.Cleanup(stop)
	}
	s.submitLasting("a", 3)
	s.eventually("handed over", patience, func() bool {
		onFull, onRoomy := s.runsOf("a")
		return onFull == 1 && onRoomy == 2
	})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := s.owners[0].Cancel(ctx, "a")
	s.Assert(err, quicktest.IsNil)
	var missing *storeclient.NotFoundError
	s.eventually("the part is removed", patience, func() bool {
		_, err := s.keeper.Store().Get(ctx, conductor.JobKey("1", "a"))
		return errors.As(err, &missing)
	})
	_, err = s.keeper.Store().Get(ctx, "th/1/job/a/cancelled")
	s.Assert(errors.As(err, &missing), quicktest.IsTrue, quicktest.Commentf("%v", err))
	_, err = s.keeper.Store().Get(ctx, conductor.IndexKey("a"))
	s.Assert(err, quicktest.IsNil)
}

// TestHandoverOutlivesOwners guards against tasks that a new owner of either
// shard forgets or takes back.
func TestHandoverOutlivesOwners(t *testing.T) {
	s := newTwoShards(t)
	s.submitLasting("a", 3)
	s.eventually("handed over", patience, func() bool {
		onFull, onRoomy := s.runsOf("a")
		return onFull == 1 && onRoomy == 2
	})
	for i, h := range []shard{s.full, s.roomy} {
		s.stops[i]()
		_, stop := s.daemonOf(h, uint16(11+i))
		defer stop()
	}
	for _, p := range []*pool{s.full.pool, s.roomy.pool} {
		p.mu.Lock()
		for r := range p.runs {
			p.end(r, planner.EndFailed)
		}
		p.mu.Unlock()
	}
	s.eventually("at work again", 2*patience, func() bool {
		onFull, onRoomy := s.runsOf("a")
		return onFull == 1 && onRoomy == 2
	})
}
