package allotter_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/allotter"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// shards simulates the owners of shards, which decide one after the other on the newest
// record, and start and block tasks of one unit each.
type shards struct {
	record allotter.Record
	// running and waiting hold the tasks of each shard.
	running, waiting map[string]int64
}

// decide lets each owner decide once and start what its part allows.
func (s *shards) decide(limit int64) {
	for _, name := range []string{"0", "1", "2", "3"} {
		units := func(n int64) planner.Resources { return planner.Resources{CPU: n, Memory: 2 * n} }
		d := allotter.Decide(s.record, name, units(limit), planner.CapDemand{Used: units(s.running[name]), Blocked: units(s.waiting[name])})
		s.record = d.Record
		if d.IsOverAllotted {
			continue
		}
		for s.waiting[name] > 0 && s.running[name]+1 <= d.Part.CPU && 2*s.running[name]+2 <= d.Part.Memory {
			s.running[name]++
			s.waiting[name]--
		}
	}
}

func (s *shards) held() (sum int64) {
	for _, r := range s.record.Parts {
		sum += r.CPU
	}
	return sum
}

func sum(m map[string]int64) (n int64) {
	for _, v := range m {
		n += v
	}
	return n
}

// TestDecide guards against starts above a cap, a part that stays unused while another
// shard needs it, and a shard that gets none because another has a longer queue.
func TestDecide(t *testing.T) {
	const limit = 160
	for name, tt := range map[string]struct {
		// earlier is the work of each shard at first, which has ended when later arrives;
		// with stays set it goes on.
		earlier, later map[string]int64
		stays          bool
		limit          int64
		want           map[string]int64
	}{
		"one shard uses all":      {nil, map[string]int64{"0": 500}, false, limit, map[string]int64{"0": 160}},
		"unused part moves":       {map[string]int64{"0": 500}, map[string]int64{"2": 500}, false, limit, map[string]int64{"2": 160}},
		"equal needs":             {nil, map[string]int64{"0": 500, "1": 500, "2": 500, "3": 500}, false, limit, map[string]int64{"0": 40, "1": 40, "2": 40, "3": 40}},
		"full shard keeps going":  {map[string]int64{"0": 500}, map[string]int64{"1": 20}, true, limit, map[string]int64{"0": 160}},
		"all fits":                {nil, map[string]int64{"0": 30, "1": 50, "2": 20, "3": 10}, false, limit, map[string]int64{"0": 30, "1": 50, "2": 20, "3": 10}},
		"lowered below use":       {map[string]int64{"0": 100, "1": 50}, map[string]int64{"2": 500}, true, 90, map[string]int64{"0": 100, "1": 50}},
		"lowered above use":       {map[string]int64{"0": 20, "1": 10}, map[string]int64{"2": 500}, true, 80, map[string]int64{"0": 20, "1": 10, "2": 50}},
		"raised":                  {map[string]int64{"0": 500}, map[string]int64{"0": 500}, true, 200, map[string]int64{"0": 200}},
		"larger cap than in need": {map[string]int64{"0": 10}, map[string]int64{"3": 10}, true, 1 << 40, map[string]int64{"0": 10, "3": 10}},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := &shards{running: map[string]int64{}, waiting: map[string]int64{}}
			add := func(work map[string]int64) {
				for shard, n := range work {
					s.waiting[shard] += n
				}
			}
			add(tt.earlier)
			for range 4 {
				s.decide(limit)
				c.Assert(s.held() <= limit, quicktest.IsTrue, quicktest.Commentf("%v", s.record))
			}
			clear(s.waiting)
			if !tt.stays {
				clear(s.running)
			}
			add(tt.later)
			for range 4 {
				before := sum(s.running)
				s.decide(tt.limit)
				c.Assert(sum(s.running) <= max(before, tt.limit), quicktest.IsTrue, quicktest.Commentf("%v", s.running))
				c.Assert(s.held() <= max(before, tt.limit, limit), quicktest.IsTrue, quicktest.Commentf("%v", s.record))
			}
			for shard, n := range s.running {
				c.Assert(n, quicktest.Equals, tt.want[shard], quicktest.Commentf("shard %s: %v", shard, s.running))
			}
			c.Assert(sum(s.running), quicktest.Equals, sum(tt.want))
		})
	}
}

// TestQueueMakesWayForAnother guards against a shard whose runs replace each other and
// which never lets another shard start one.
func TestQueueMakesWayForAnother(t *testing.T) {
	c := quicktest.New(t)
	s := &shards{running: map[string]int64{}, waiting: map[string]int64{"0": 100_000}}
	s.decide(160)
	s.waiting["1"] = 80
	for range 30 {
		s.decide(160)
		s.running["0"] -= s.running["0"] / 8
		c.Assert(s.held() <= 160, quicktest.IsTrue)
	}
	c.Assert(s.running["1"] > 0, quicktest.IsTrue, quicktest.Commentf("%v", s.running))
}
