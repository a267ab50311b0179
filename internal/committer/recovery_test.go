package committer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	shardWorkers = 125
	shardTasks   = 2000
	// startsPerRecord is one shard's part, an eighth, of 450 starts a second
	// over 250 ms.
	startsPerRecord  = 14
	uncoveredRecords = 256
	storeLatency     = 2 * time.Millisecond
)

// startJob returns the changes that accept a job and start its tasks.
func startJob(id string, tasks int) []scheduler.Change {
	size := declarer.Resources{MilliCPU: 1000, MemoryMB: 2000}
	j := declarer.BatchJob{ID: id, Team: "team", Kind: "kind", Tasks: tasks, Resources: size, RunTime: time.Minute}
	changes := []scheduler.Change{{JobAccepted: &scheduler.JobAccepted{Job: j, At: time.Unix(1e9, 0).UTC()}}}
	for i := range tasks {
		t := scheduler.TaskID(fmt.Sprintf("job/%s/%d", id, i))
		changes = append(
			changes,
			scheduler.Change{AttemptPlaced: &scheduler.AttemptPlaced{Task: t, Attempt: 1, Worker: fmt.Sprint("w", i%shardWorkers), Reserved: size, Reason: "first worker with room"}},
			scheduler.Change{AttemptMoved: &scheduler.AttemptMoved{Task: t, Attempt: 1, Event: "started"}},
		)
	}
	return changes
}

func completeJob(id string) []scheduler.Change {
	var changes []scheduler.Change
	for i := range startsPerRecord {
		t := scheduler.TaskID(fmt.Sprintf("job/%s/%d", id, i))
		changes = append(changes, scheduler.Change{AttemptMoved: &scheduler.AttemptMoved{Task: t, Attempt: 1, Event: "complete", Outcome: scheduler.OutcomeCompleted}})
	}
	return changes
}

// newFullShard returns a store with a shard of the planned size, and the mean
// size in bytes of a record after the snapshot.
func newFullShard(c testing.TB) (*fakeStore, int) {
	f := newFakeStore()
	ctx := context.Background()
	l, core := New(Options{Store: f.client(false), Shard: "a", Writer: "x"}), newCore(c)
	must(0, l.Replay(ctx, core))
	must(0, l.Begin(ctx, nil))
	commit := func(changes []scheduler.Change) {
		for _, ch := range changes {
			must(0, core.Apply(ch))
		}
		must(0, l.Append(ctx, changes))
	}
	for i := range shardWorkers {
		w := scheduler.Worker{ID: fmt.Sprint("w", i), Capacity: declarer.Resources{MilliCPU: 64_000, MemoryMB: 250_000}, State: scheduler.Live}
		commit([]scheduler.Change{{WorkerChanged: &scheduler.WorkerChanged{Worker: w}}})
	}
	commit(startJob("base", shardTasks))
	must(0, l.Compact(ctx, core.Snapshot()))
	bytes := 0
	for i := range uncoveredRecords {
		changes := startJob(fmt.Sprint("j", i), startsPerRecord)
		if i > 0 {
			changes = append(changes, completeJob(fmt.Sprint("j", i-1))...)
		}
		commit(changes)
		bytes += len(f.entries[l.slotKey(l.next-1)].Value)
	}
	return f, bytes / uncoveredRecords
}

// BenchmarkRecovery measures the replay of a shard of 125 workers and 2,000
// tasks from a snapshot and 256 records, with a latency of 2 ms for each store
// call.
func BenchmarkRecovery(b *testing.B) {
	f, recordBytes := newFullShard(b)
	s := f.client(false)
	get := s.Get
	s.Get = func(ctx context.Context, key string) (storeclient.Entry, error) {
		time.Sleep(storeLatency)
		return get(ctx, key)
	}
	for b.Loop() {
		l, core := New(Options{Store: s, Shard: "a", Writer: "y"}), newCore(b)
		must(0, l.Replay(context.Background(), core))
		must(0, l.Begin(context.Background(), nil))
		f.revision++
		delete(f.entries, l.slotKey(l.next-1))
	}
	b.ReportMetric(float64(recordBytes), "B/record")
	b.ReportMetric(float64(len(f.entries["snapshot/a"].Value)), "B/snapshot")
}

// BenchmarkRecord measures the cost of a record of 14 starts and 14 ends: once
// to write the record, and once to decode and apply it.
func BenchmarkRecord(b *testing.B) {
	f, _ := newFullShard(b)
	l, core := New(Options{Store: f.client(false), Shard: "a", Writer: "y"}), newCore(b)
	must(0, l.Replay(context.Background(), core))
	must(0, l.Begin(context.Background(), nil))
	b.Run("write", func(b *testing.B) {
		changes := append(startJob("new", startsPerRecord), completeJob("old")...)
		for b.Loop() {
			must(0, l.Append(context.Background(), changes))
			l.covered = l.next - 1
		}
	})
	b.Run("read and apply", func(b *testing.B) {
		values := map[int][]byte{}
		for i := range 1000 {
			changes := startJob(fmt.Sprint("n", i), startsPerRecord)
			if i > 0 {
				changes = append(changes, completeJob(fmt.Sprint("n", i-1))...)
			}
			values[i] = must(encode(Record{Sequence: 1, Shard: "a", Changes: changes}))
		}
		b.ResetTimer()
		for i := range b.N {
			if i%1000 == 0 {
				b.StopTimer()
				core = newCore(b)
				fresh := New(Options{Store: f.client(false), Shard: "a", Writer: "z"})
				d, _, err := fresh.readSnapshot(context.Background())
				must(0, err)
				must(0, core.Restore(d.State))
				b.StartTimer()
			}
			var r Record
			must(0, decode(values[i%1000], &r))
			for _, ch := range r.Changes {
				must(0, core.Apply(ch))
			}
		}
	})
}

// TestRecoveredState guards against a replay whose state differs from that of
// the owner that wrote the records.
func TestRecoveredState(t *testing.T) {
	c := quicktest.New(t)
	f, _ := newFullShard(t)
	l, core := New(Options{Store: f.client(false), Shard: "a", Writer: "y"}), newCore(t)
	c.Assert(l.Replay(context.Background(), core), quicktest.IsNil)
	s := core.Snapshot()
	c.Assert(s.Workers, quicktest.HasLen, shardWorkers)
	c.Assert(s.Tasks, quicktest.HasLen, shardTasks+startsPerRecord)
	c.Assert(s.Jobs, quicktest.HasLen, uncoveredRecords+1)
	c.Assert(l.Next(), quicktest.Equals, uint64(1+1+shardWorkers+1+uncoveredRecords))
}
