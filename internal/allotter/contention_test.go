package allotter_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/allotter"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// queue is the work of an organisation in one shard, whose tasks have the same size.
type queue struct {
	// size is the need of a task. Its runs last for the given number of rounds; 0 stands
	// for ever.
	size, rounds int64
	// waiting is the number of waiting tasks, and started how many have started.
	waiting, started int64
	// left holds how many rounds each run still lasts.
	left []int64
	// seen is the record that the owner knows. It reads the store every few rounds, and
	// after each write of its own.
	seen allotter.Record
}

func (q *queue) used() int64 { return q.size * int64(len(q.left)) }

// play simulates the owners of shards for a number of rounds. Each decides in each round on
// the record that it knows, and reads the store every third round. check receives the use
// of all shards after each round.
func play(record allotter.Record, limit int64, queues map[string]*queue, rounds int, check func(used int64)) allotter.Record {
	names := slices.Sorted(maps.Keys(queues))
	for _, q := range queues {
		q.seen = record
	}
	for round := range rounds {
		used := int64(0)
		for n, name := range names {
			q := queues[name]
			q.left = slices.DeleteFunc(q.left, func(left int64) bool { return left == 1 })
			for i := range q.left {
				q.left[i]--
			}
			if (round+n)%3 == 0 {
				q.seen = record
			}
			demand := planner.CapDemand{Used: planner.Resources{CPU: q.used()}, Blocked: planner.Resources{CPU: q.size * q.waiting}}
			if q.waiting > 0 {
				demand.Smallest = planner.Resources{CPU: q.size}
			}
			d := allotter.Decide(q.seen, name, planner.Resources{CPU: limit}, demand)
			if d.HasChanged {
				if fmt.Sprint(q.seen) == fmt.Sprint(record) {
					record = d.Record
				}
				q.seen = record
			}
			for !d.IsOverAllotted && q.waiting > 0 && (q.used()+q.size <= d.Part.CPU || q.used() == 0 && d.Part.CPU >= limit) {
				q.waiting--
				q.started++
				q.left = append(q.left, q.rounds)
			}
			used += q.used()
		}
		check(used)
	}
	return record
}

// TestEachShardIsServed guards against tasks that never start under a cap which has room
// for them, because their size is more than the share of their shard, and against a shard
// with little work that gets less than one task beside one with much.
func TestEachShardIsServed(t *testing.T) {
	const limit, many = 20_000, 1_000_000
	for name, tt := range map[string]struct {
		queues map[string]*queue
		// want is the least number of starts in 600 rounds.
		want map[string]int64
	}{
		"one task beside a queue": {
			map[string]*queue{"0": {size: 1000, rounds: 10, waiting: many}, "1": {size: 1000, rounds: 10, waiting: 1}},
			map[string]int64{"0": 900, "1": 1},
		},
		"few tasks beside queues": {
			map[string]*queue{"0": {size: 1000, rounds: 10, waiting: many}, "1": {size: 1000, rounds: 10, waiting: many}, "2": {size: 4000, rounds: 10, waiting: 3}},
			map[string]int64{"0": 300, "1": 300, "2": 3},
		},
		"tasks of more than half of the cap": {
			map[string]*queue{"0": {size: 12_000, rounds: 10, waiting: many}, "1": {size: 12_000, rounds: 10, waiting: many}},
			map[string]int64{"0": 10, "1": 10},
		},
		"three shards with tasks of half of the cap": {
			map[string]*queue{"0": {size: 10_000, rounds: 10, waiting: many}, "1": {size: 10_000, rounds: 10, waiting: many}, "2": {size: 10_000, rounds: 10, waiting: many}},
			map[string]int64{"0": 10, "1": 10, "2": 10},
		},
		"tasks above the cap": {
			map[string]*queue{"0": {size: 30_000, rounds: 10, waiting: many}, "1": {size: 30_000, rounds: 10, waiting: many}},
			map[string]int64{"0": 5, "1": 5},
		},
		"a large task beside small ones": {
			map[string]*queue{"0": {size: 1000, rounds: 10, waiting: many}, "1": {size: 15_000, rounds: 10, waiting: 2}},
			map[string]int64{"0": 300, "1": 2},
		},
		"a task above the cap beside small ones": {
			map[string]*queue{"0": {size: 1000, rounds: 10, waiting: many}, "1": {size: 30_000, rounds: 10, waiting: 2}},
			map[string]int64{"0": 300, "1": 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			largest := int64(0)
			for _, q := range tt.queues {
				largest = max(largest, q.size)
			}
			play(allotter.Record{}, limit, tt.queues, 600, func(used int64) {
				c.Assert(used <= max(limit, largest), quicktest.IsTrue, quicktest.Commentf("%d", used))
			})
			for shard, q := range tt.queues {
				c.Check(q.started >= tt.want[shard], quicktest.IsTrue, quicktest.Commentf("shard %s: %d starts", shard, q.started))
			}
		})
	}
}

// TestGrowingQueueIsServed guards against a need that is written when it is small and then
// grows in steps below the one from which it is written again, so that the other shards
// give back what they don't use one task at a time.
func TestGrowingQueueIsServed(t *testing.T) {
	c := quicktest.New(t)
	record := allotter.Record{Parts: map[string]planner.Resources{"0": {CPU: 200_000}}}
	queues := map[string]*queue{"0": {size: 1000}, "1": {size: 1000, waiting: 1}}
	record = play(record, 200_000, queues, 1, func(int64) {})
	queues["1"].waiting += 40
	play(record, 200_000, queues, 12, func(int64) {})
	c.Assert(queues["1"].started, quicktest.Equals, int64(41))
}

// TestUseBeyondPartIsStored guards against starts in place of runs for which no part is
// stored, since they began before the organisation had a cap or under an owner of an
// earlier version.
func TestUseBeyondPartIsStored(t *testing.T) {
	c := quicktest.New(t)
	queues := map[string]*queue{"0": {size: 1000, rounds: 5, waiting: 100}, "1": {size: 1000, left: slices.Repeat([]int64{1 << 40}, 15)}}
	used := int64(0)
	play(allotter.Record{}, 20_000, queues, 30, func(n int64) { used = n })
	c.Assert(used, quicktest.Equals, int64(20_000))
}
