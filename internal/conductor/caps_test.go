package conductor_test

import (
	"context"
	"fmt"
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

// cappedShards are two shards with ample workers and an organisation with a cap.
type cappedShards struct {
	*testCluster
	shards [2]testShard
	owners [2]*conductor.Conductor
	stops  [2]func()
}

func newCappedShards(t *testing.T, cores int64) *cappedShards {
	s := &cappedShards{testCluster: newTestCluster(t, time.Minute)}
	for i := range s.shards {
		s.shards[i] = testShard{name: fmt.Sprint(i), cpu: 64000, pool: newPool(time.Minute), place: func(planner.Resources, int, bool) (string, int) { return "0", 0 }}
		s.start(t, i, uint16(i+1))
	}
	s.setCap(cores)
	s.eventually("owned", testTimeout, func() bool { return s.owners[0].IsOwner() && s.owners[1].IsOwner() })
	return s
}

// start starts a daemon of a shard at a port.
func (s *cappedShards) start(t *testing.T, shard int, port uint16) {
	c, stop := s.startDaemonOf(s.shards[shard], port)
	s.owners[shard], s.stops[shard] = c, sync.OnceFunc(stop)
	t.Cleanup(s.stops[shard])
}

func (s *cappedShards) setCap(cores int64) {
	for _, c := range s.owners {
		c.SetConfig(planner.Config{Organisations: map[string]planner.Organisation{"o": {Cap: planner.Resources{CPU: cores * 1000}}}})
	}
}

// submitTo stores a job of the organisation, whose tasks need a core each, in a shard.
func (s *cappedShards) submitTo(shard, id string, count int) {
	j := planner.Job{
		ID: id, Queue: planner.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2}, Received: time.Now(), Organisation: "o",
		Steps: []planner.Step{{Count: count, Need: planner.Resources{CPU: 1000, Memory: 1}, Estimate: time.Minute}},
	}
	value, err := planner.Encode(j)
	s.Assert(err, quicktest.IsNil)
	s.keeper.Put(conductor.IndexKey(id), []byte(shard))
	s.keeper.Put(conductor.JobKey(shard, id), value)
}

// running returns the number of runs in each shard.
func (s *cappedShards) running() (n [2]int) {
	for i := range s.shards {
		p := s.shards[i].pool
		p.mu.Lock()
		n[i] = len(p.runs)
		p.mu.Unlock()
	}
	return n
}

// endRuns ends count runs of a shard.
func (s *cappedShards) endRuns(shard, count int) {
	p := s.shards[shard].pool
	p.mu.Lock()
	defer p.mu.Unlock()
	for r := range p.runs {
		if count--; count < 0 {
			return
		}
		p.end(r, planner.EndDone)
	}
}

// holds checks that the runs of both shards stay within the cap until f holds.
func (s *cappedShards) holds(what string, cores int, f func([2]int) bool) {
	s.Helper()
	s.eventually(what, testTimeout, func() bool {
		n := s.running()
		s.Assert(n[0]+n[1] <= cores, quicktest.IsTrue, quicktest.Commentf("%s: %v", what, n))
		return f(n)
	})
}

// TestCapOverShards guards against starts of several owners that exceed a cap together,
// also while answers of the store are lost, and against a cap that isn't used up.
func TestCapOverShards(t *testing.T) {
	for name, fault := range map[string]func(n int) keeper.Fault{
		"store answers": func(int) keeper.Fault { return keeper.Fault{} },
		"answers are lost": func(n int) keeper.Fault {
			if n%3 == 0 {
				return keeper.Fault{}
			}
			return keeper.Fault{After: &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true, Err: errors.New("lost")}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCappedShards(t, 20)
			n := 0
			s.keeper.SetFault(func(op, _ string) keeper.Fault {
				if op != "transact" {
					return keeper.Fault{}
				}
				n++
				return fault(n)
			})
			s.submitTo("0", "job0", 30)
			s.holds("one shard uses all", 20, func(n [2]int) bool { return n[0] == 20 })
			s.submitTo("1", "job1", 30)
			s.endRuns(0, 12)
			s.holds("what isn't used goes to the other", 20, func(n [2]int) bool { return n[1] >= 2 && n[0]+n[1] == 20 })
			s.endRuns(0, 8)
			s.holds("what has ended goes to the other", 20, func(n [2]int) bool { return n[1] >= 10 && n[0]+n[1] == 20 })
			s.setCap(10)
			s.endRuns(0, 4)
			s.endRuns(1, 2)
			s.holds("lowered cap", 20, func(n [2]int) bool { return n[0]+n[1] == 14 })
			s.endRuns(0, 100)
			s.endRuns(1, 100)
			s.holds("lowered cap is used", 14, func(n [2]int) bool { return n[0]+n[1] == 10 })
		})
	}
}

// TestOwnerEndsWithPart guards against a successor that doesn't count what runs on a worker
// of its predecessor, and against a part that is lost with its owner: the first owner ends
// after it has stored a part and before it has started anything of it.
func TestOwnerEndsWithPart(t *testing.T) {
	s := newCappedShards(t, 20)
	var isCut sync.Map
	s.shards[0].pool.mu.Lock()
	s.shards[0].pool.intercept = func(string) error {
		if _, ok := isCut.Load("cut"); ok {
			return errors.New("cut off")
		}
		return nil
	}
	s.shards[0].pool.mu.Unlock()
	s.submitTo("0", "job0", 8)
	s.holds("running", 20, func(n [2]int) bool { return n[0] == 8 })
	isCut.Store("cut", true)
	s.submitTo("0", "more", 20)
	part := func() string {
		e, err := s.keeper.Store().Get(context.Background(), "th/cap/o")
		if err != nil {
			return ""
		}
		return string(e.Value)
	}
	before := part()
	s.eventually("part taken", testTimeout, func() bool { return part() != before })
	s.stops[0]()
	s.start(t, 0, 3)
	s.setCap(20)
	s.submitTo("1", "job1", 30)
	s.holds("the other shard uses what is left at most", 20, func([2]int) bool { return s.owners[0].IsOwner() })
	isCut.Delete("cut")
	s.holds("all is used again", 20, func(n [2]int) bool { return n[0]+n[1] == 20 })
}

// cutStore returns a store whose calls get no answer while isCut is set.
func cutStore(p storeclient.PrefixStore, isCut *atomic.Bool) storeclient.PrefixStore {
	lost := func(op string) error { return &storeclient.UnavailableError{Op: op, Err: errors.New("cut off")} }
	get, list, transact, keepAlive := p.Get, p.Range, p.Transact, p.KeepAlive
	p.Get = func(ctx context.Context, key string) (storeclient.Entry, error) {
		if isCut.Load() {
			return storeclient.Entry{}, lost("get")
		}
		return get(ctx, key)
	}
	p.Range = func(ctx context.Context, prefix string) ([]storeclient.Entry, uint64, error) {
		if isCut.Load() {
			return nil, 0, lost("range")
		}
		return list(ctx, prefix)
	}
	p.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
		if isCut.Load() {
			return 0, lost("transact")
		}
		return transact(ctx, t)
	}
	p.KeepAlive = func(ctx context.Context, id storeclient.LeaseID) error {
		if isCut.Load() {
			return lost("keep")
		}
		return keepAlive(ctx, id)
	}
	return p
}

// TestCapLoweredWhileCutOff guards against starts in other shards that exceed a lowered cap
// together with the runs of a shard whose owner is cut off from the store, and that hasn't
// read the lower cap. That owner goes on with the part that it holds.
func TestCapLoweredWhileCutOff(t *testing.T) {
	var isCut atomic.Bool
	s := &cappedShards{testCluster: newTestCluster(t, time.Minute)}
	for i := range s.shards {
		s.shards[i] = testShard{name: fmt.Sprint(i), cpu: 64000, pool: newPool(time.Minute), place: func(planner.Resources, int, bool) (string, int) { return "0", 0 }}
		if i == 0 {
			s.shards[i].change = func(o *conductor.Options) { o.Store = cutStore(o.Store, &isCut) }
		}
		s.start(t, i, uint16(i+1))
	}
	s.setCap(20)
	s.eventually("owned", testTimeout, func() bool { return s.owners[0].IsOwner() && s.owners[1].IsOwner() })
	s.submitTo("0", "job0", 16)
	s.holds("running", 20, func(n [2]int) bool { return n[0] == 16 })
	isCut.Store(true)
	low := planner.Config{Organisations: map[string]planner.Organisation{"o": {Cap: planner.Resources{CPU: 10_000}}}}
	s.owners[1].SetConfig(low)
	s.submitTo("1", "job1", 30)
	s.endRuns(0, 8)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s.Assert(s.running(), quicktest.Equals, [2]int{8, 0})
	}
	isCut.Store(false)
	s.owners[0].SetConfig(low)
	s.holds("what is left is used", 10, func(n [2]int) bool { return n == [2]int{8, 2} })
}
