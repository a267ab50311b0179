package sharder_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/sharder"
)

// TestShards guards against daemons that determine different numbers of shards
// for one deployment when they start at the same time, while workers still
// appear.
func TestShards(t *testing.T) {
	c := quicktest.New(t)
	k := keeper.New(time.Now)
	began := time.Now()
	workers := func(context.Context) (int, error) {
		if time.Since(began) < 300*time.Millisecond {
			return int(time.Since(began) / time.Millisecond), nil
		}
		return 1190, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	got := make([]int, 4)
	var done sync.WaitGroup
	for i := range got {
		done.Go(func() {
			n, err := sharder.New(k.Store(), sharder.Instance{Name: fmt.Sprint(i)}, workers, func(error) {}).Split(ctx)
			c.Check(err, quicktest.IsNil)
			got[i] = n.Shards
		})
	}
	done.Wait()
	c.Assert(got, quicktest.DeepEquals, []int{7, 7, 7, 7})
}

// TestShardsWhileWorkersRestart guards against a new deployment that accepts no
// job because its workers keep restarting, or because the store fails between
// two readings of them.
func TestShardsWhileWorkersRestart(t *testing.T) {
	for name, read := range map[string]func(reading int) (int, error){
		"another number each time": func(n int) (int, error) { return 320 - n%2, nil },
		"a failure after each reading": func(n int) (int, error) {
			if n%2 == 1 {
				return 0, context.DeadlineExceeded
			}
			return 320, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			readings := 0
			workers := func(context.Context) (int, error) { readings++; return read(readings) }
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			n, err := sharder.New(keeper.New(time.Now).Store(), sharder.Instance{}, workers, func(error) {}).Split(ctx)
			c.Assert(err, quicktest.IsNil)
			c.Assert(n.Shards, quicktest.Equals, 2)
		})
	}
}

// TestShardsWithSlowList guards against a large deployment that accepts no job because a
// read of the list of workers takes longer than other calls to the store.
func TestShardsWithSlowList(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	workers := func(ctx context.Context) (int, error) {
		select {
		case <-time.After(2 * time.Second):
			return 320, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	n, err := sharder.New(keeper.New(time.Now).Store(), sharder.Instance{}, workers, func(error) {}).Split(ctx)
	c.Assert(err, quicktest.IsNil)
	c.Assert(n.Shards, quicktest.Equals, 2)
}

// TestStoredCount guards against a stored count that is invalid.
func TestStoredCount(t *testing.T) {
	for name, tt := range map[string]struct {
		value string
		want  sharder.Split
	}{
		"good":             {"3/200", sharder.Split{Shards: 3, Workers: 200}},
		"earlier version":  {"3", sharder.Split{Shards: 3, Workers: 240}},
		"zero":             {"0/200", sharder.Split{}},
		"no number":        {"three", sharder.Split{}},
		"too many":         {"1000/2000", sharder.Split{}},
		"bad total":        {"3/many", sharder.Split{}},
		"no workers":       {"3/0", sharder.Split{}},
		"number too large": {"3/99999999999999999999", sharder.Split{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			k := keeper.New(time.Now)
			k.Put("th/shards", []byte(tt.value))
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			n, err := sharder.New(k.Store(), sharder.Instance{}, func(context.Context) (int, error) { return 1, nil }, func(error) {}).Split(ctx)
			c.Assert(n, quicktest.Equals, tt.want)
			c.Assert(err == nil, quicktest.Equals, tt.want.Shards > 0)
		})
	}
}

// TestSplit guards against shards of very different size.
func TestSplit(t *testing.T) {
	c := quicktest.New(t)
	const count = 7
	jobs, workers := make([]int, count), make([]int, count)
	for i := range 7000 {
		jobs[sharder.OfJob(fmt.Sprintf("%016x", i), count)]++
	}
	for i := range 490 {
		workers[sharder.OfWorker(fmt.Sprintf("i-%08x", i), count)]++
	}
	for i := range count {
		c.Assert(jobs[i] > 900 && jobs[i] < 1100, quicktest.IsTrue, quicktest.Commentf("%v", jobs))
		c.Assert(workers[i] > 45 && workers[i] < 95, quicktest.IsTrue, quicktest.Commentf("%v", workers))
	}
}

// TestCount guards against shards that are larger than the instances can carry, and
// against more shards than needed, in which wide jobs wait.
func TestCount(t *testing.T) {
	const megabit = 1e6 / 8
	fast, slow := sharder.Instance{Cores: 0.8, LinkRate: 200 * megabit}, sharder.Instance{Cores: 0.192, LinkRate: 20 * megabit}
	small, fastLink := sharder.Instance{Cores: 0.12, LinkRate: 2 * megabit}, sharder.Instance{Cores: 0.4, LinkRate: 1000 * megabit}
	for name, tt := range map[string]struct {
		workers   int
		instances []sharder.Instance
		want      int
	}{
		"one is enough":              {66, slices.Repeat([]sharder.Instance{fastLink}, 9), 1},
		"no workers":                 {0, slices.Repeat([]sharder.Instance{small}, 3), 1},
		"no instances":               {490, nil, 3},
		"slow links":                 {144, slices.Repeat([]sharder.Instance{small}, 18), 8},
		"fast ones carry all":        {890, append(slices.Repeat([]sharder.Instance{fast}, 18), slices.Repeat([]sharder.Instance{slow}, 79)...), 6},
		"fast ones carry several":    {490, append(slices.Repeat([]sharder.Instance{fast}, 6), slices.Repeat([]sharder.Instance{slow}, 35)...), 3},
		"too small for the largest":  {490, slices.Repeat([]sharder.Instance{{Cores: 0.6}}, 6), 5},
		"more than the instances":    {890, slices.Repeat([]sharder.Instance{small}, 18), 18},
		"more than the most shards":  {100_000, slices.Repeat([]sharder.Instance{small}, 200), 64},
		"capacities are not limited": {490, make([]sharder.Instance, 4), 3},
	} {
		t.Run(name, func(t *testing.T) {
			quicktest.New(t).Assert(sharder.Count(tt.workers, tt.instances), quicktest.Equals, tt.want)
		})
	}
}

// TestExtraAcquireDelay guards against a shard that goes to an instance which can't
// carry it, while another one can, also beside a shard that it owns.
func TestExtraAcquireDelay(t *testing.T) {
	c := quicktest.New(t)
	const jitter = 250 * time.Millisecond
	fast, slow := sharder.Instance{Cores: 0.8}, sharder.Instance{Cores: 0.192}
	delays := []time.Duration{
		sharder.ExtraAcquireDelay(fast, 70, 0), sharder.ExtraAcquireDelay(fast, 70, 1),
		sharder.ExtraAcquireDelay(slow, 70, 0), sharder.ExtraAcquireDelay(fast, 70, 2),
	}
	for n := range delays[1:] {
		c.Assert(delays[n+1] > delays[n]+jitter, quicktest.IsTrue, quicktest.Commentf("%v", delays))
	}
	c.Assert(sharder.ExtraAcquireDelay(slow, 1000, 0) < 2*time.Second, quicktest.IsTrue)
}

// TestPlace guards against tasks that are handed over to a full shard, back to
// their own shard, or all to the same shard.
func TestPlace(t *testing.T) {
	need := planner.Resources{CPU: 7}
	large := planner.Resources{CPU: 10}
	for name, tt := range map[string]struct {
		rooms  []planner.Room
		urgent bool
		want   [2]int
	}{
		"only other":                  {[]planner.Room{{Spare: 99, Largest: large}, {Spare: 6, Largest: large}, {Spare: 30, Largest: large}}, false, [2]int{2, 4}},
		"no worker fits":              {[]planner.Room{{}, {Spare: 20, Largest: large}, {Spare: 30}}, false, [2]int{1, 2}},
		"none":                        {[]planner.Room{{Spare: 99, Largest: large}, {Spare: 6, Largest: large}}, false, [2]int{0, 0}},
		"kept for short work, urgent": {[]planner.Room{{Spare: 99, Largest: large}, {Spare: -6, Largest: large}}, true, [2]int{1, 1}},
		"urgent, every other room":    {[]planner.Room{{}, {Spare: -6, Largest: large, Rooms: []planner.Resources{large, large, large, large, large}}, {}}, true, [2]int{1, 3}},
		"urgent, too large":           {[]planner.Room{{}, {Spare: 20, Largest: planner.Resources{CPU: 6}}}, true, [2]int{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			h := sharder.NewChooser(len(tt.rooms))
			for n, r := range tt.rooms {
				h.SetRoom(n, r)
			}
			shard, tasks := h.Place(0, need, 5, tt.urgent)
			c.Assert([2]int{shard, tasks}, quicktest.Equals, tt.want)
			if tasks > 0 {
				again, _ := h.Place(0, need, 5, false)
				c.Assert(again != shard || tt.rooms[shard].Spare > int64(tasks)*need.CPU, quicktest.IsTrue)
			}
		})
	}
}

// TestUrgentTasksUseAllRooms guards against urgent tasks of which only one at a time is
// handed over between two announcements, and against two shards that hand tasks over to
// the same room.
func TestUrgentTasksUseAllRooms(t *testing.T) {
	c := quicktest.New(t)
	need := planner.Resources{CPU: 7}
	room := planner.Room{Spare: -500, Largest: planner.Resources{CPU: 10}}
	for range 8 {
		room.Rooms = append(room.Rooms, planner.Resources{CPU: 10})
	}
	total := 0
	for from := range 2 {
		h := sharder.NewChooser(3)
		h.SetRoom(2, room)
		for range 20 {
			shard, tasks := h.Place(from, need, 1, true)
			c.Assert(tasks == 0 || shard == 2, quicktest.IsTrue)
			total += tasks
		}
	}
	c.Assert(total, quicktest.Equals, 8)
}

// TestFewRoomsAreForDifferentShards guards against a shard that gets no room in any other one
// while each announces fewer rooms than there are shards.
func TestFewRoomsAreForDifferentShards(t *testing.T) {
	c := quicktest.New(t)
	const shards = 6
	need := planner.Resources{CPU: 7}
	for from := range shards {
		h := sharder.NewChooser(shards)
		for to := range shards {
			h.SetRoom(to, planner.Room{Spare: -500, Rooms: []planner.Resources{{CPU: 10}, {CPU: 10}}})
		}
		total := 0
		for range 20 {
			_, tasks := h.Place(from, need, 1, true)
			total += tasks
		}
		c.Assert(total, quicktest.Equals, 2, quicktest.Commentf("shard %d", from))
	}
}

// TestOldRoomIsNotUsed guards against tasks that are handed over to a shard without an owner,
// whose last announcement stays in the store.
func TestOldRoomIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		need, large := planner.Resources{CPU: 7}, planner.Resources{CPU: 10}
		h := sharder.NewChooser(3)
		announce := func(shard int) {
			h.SetRoom(shard, planner.Room{Spare: 100, Largest: large, Rooms: []planner.Resources{large, large}})
		}
		announce(1)
		// An announcement may be this old with a slow store.
		time.Sleep(2500 * time.Millisecond)
		announce(2)
		c.Assert(h.HasRoom(2, need), quicktest.IsTrue)
		shard, tasks := h.Place(2, need, 1, false)
		c.Assert([2]int{shard, tasks}, quicktest.Equals, [2]int{1, 1})
		time.Sleep(time.Second)
		for _, isUrgent := range []bool{false, true} {
			_, tasks = h.Place(2, need, 1, isUrgent)
			c.Assert(tasks, quicktest.Equals, 0)
		}
		c.Assert(h.HasRoom(2, need), quicktest.IsFalse)
		announce(1)
		_, tasks = h.Place(2, need, 1, true)
		c.Assert(tasks, quicktest.Equals, 1)
	})
}

// TestPlaceSpreads guards against owners that all hand tasks over to the same
// shard until they learn that it is full.
func TestPlaceSpreads(t *testing.T) {
	c := quicktest.New(t)
	large := planner.Resources{CPU: 10}
	got := make([]int, 3)
	for range 300 {
		h := sharder.NewChooser(3)
		for n, spare := range []int64{0, 100, 200} {
			h.SetRoom(n, planner.Room{Spare: spare, Largest: large})
		}
		shard, tasks := h.Place(0, planner.Resources{CPU: 5}, 2, false)
		got[shard] += tasks
	}
	c.Assert(got[1] > 100 && got[2] > 200, quicktest.IsTrue, quicktest.Commentf("%v", got))
}

// TestWideJob guards against a short job that waits in a full shard while
// another shard could start all its tasks at once.
func TestWideJob(t *testing.T) {
	c := quicktest.New(t)
	wide := planner.Job{Steps: []planner.Step{{Count: 2, Need: planner.Resources{CPU: 10}}, {Count: 60, Need: planner.Resources{CPU: 10}, After: []int{0}}}}
	for range 50 {
		h := sharder.NewChooser(5)
		for n, free := range []int64{50, 100, 700, 90, 550} {
			h.SetRoom(n, planner.Room{Free: free, Workers: 70})
		}
		c.Assert(h.Choose("a", sharder.DemandOf(wide)), quicktest.Equals, 2)
		c.Assert(h.Choose("b", sharder.DemandOf(wide)), quicktest.Equals, 4)
	}
}

// TestChooser guards against a shard that is full of long-running tasks while
// another has room, also when many daemons choose at once, and against jobs
// that are spread regardless of the sizes of the shards.
func TestChooser(t *testing.T) {
	c := quicktest.New(t)
	const shards, daemons, jobs = 7, 42, 4
	free := make([]int64, shards)
	for i := range free {
		free[i] = 1000
	}
	free[0] = 0
	got := make([]int, shards)
	for range daemons {
		h := sharder.NewChooser(shards)
		for n, f := range free {
			h.SetRoom(n, planner.Room{Spare: f, Workers: 70})
		}
		for range jobs {
			got[h.Choose("a", sharder.Demand{LongRunning: 100})]++
		}
	}
	c.Assert(got[0], quicktest.Equals, 0)
	for _, n := range got[1:] {
		c.Assert(n < 2*daemons*jobs/(shards-1), quicktest.IsTrue, quicktest.Commentf("%v", got))
	}
	h := sharder.NewChooser(3)
	h.SetRoom(0, planner.Room{Spare: 100, Workers: 10})
	h.SetRoom(1, planner.Room{Spare: 1000, Workers: 30})
	h.SetRoom(2, planner.Room{Spare: 550, Workers: 20})
	count := make([]int, 3)
	for i := range 6000 {
		count[h.Choose(fmt.Sprintf("%016x", i), sharder.Demand{})]++
	}
	for n, want := range []int{1000, 3000, 2000} {
		c.Assert(count[n] > want*8/10 && count[n] < want*12/10, quicktest.IsTrue, quicktest.Commentf("%v", count))
	}
	c.Assert(sharder.NewChooser(1).Choose("a", sharder.Demand{LongRunning: 1}), quicktest.Equals, 0)
}
