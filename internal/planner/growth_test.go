package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// maxSmallRecord bounds the stored progress of a job that runs for long, in bytes.
const maxSmallRecord = 400

// storedSize returns the size of the stored progress of the only changed job.
func (d *driver) storedSize() int {
	changes := d.p.Changes(10)
	d.Assert(changes, quicktest.HasLen, 1)
	value, err := planner.Encode(changes[0].Progress)
	d.Assert(err, quicktest.IsNil)
	d.p.Committed(changes)
	return len(value)
}

func scheduledJob(times int) planner.Job {
	j := job("1", step(1, 1))
	j.Times, j.First, j.Interval = times, origin, time.Second
	return j
}

// TestProgressOfManyOccurrences guards against a job whose stored progress grows with each
// time that it has run, until the store refuses it.
func TestProgressOfManyOccurrences(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(scheduledJob(2000))
	for i := range 1000 {
		starts := d.startTasks()
		d.Assert(starts, quicktest.HasLen, 1)
		// Each end is listed twice. The second time, its occurrence may be forgotten.
		for range 2 {
			d.endRun(starts[0], planner.EndDone)
		}
		if size := d.storedSize(); size > maxSmallRecord {
			d.Fatalf("%d bytes after %d occurrences", size, i+1)
		}
		d.advance(time.Second)
	}
}

// TestProgressOfMissedOccurrences guards against the same where one occurrence can't finish
// and the later ones go on.
func TestProgressOfMissedOccurrences(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	d.add(scheduledJob(2000))
	d.Assert(d.startTasks(), quicktest.HasLen, 1)
	for i := range 1000 {
		d.advance(time.Second)
		starts := d.startTasks()
		d.Assert(starts, quicktest.HasLen, 1)
		d.endRun(starts[0], planner.EndDone)
		if size := d.storedSize(); size > maxSmallRecord {
			d.Fatalf("%d bytes after %d occurrences", size, i+1)
		}
	}
}

// TestOccurrencesRunOnceAfterOwnerChange guards against occurrences that are done and run
// again, or never end, under a successor that reads the progress of this version or of one
// before, which has the number of each occurrence and the bits of its tasks.
func TestOccurrencesRunOnceAfterOwnerChange(t *testing.T) {
	type occurrence struct {
		Number int                    `cbor:"number"`
		Steps  []planner.StepProgress `cbor:"steps"`
	}
	type earlierProgress struct {
		State       planner.State `cbor:"state"`
		Ended       []int         `cbor:"ended"`
		Occurrences []occurrence  `cbor:"occurrences"`
	}
	earlier := func(count int) []byte {
		r := earlierProgress{State: planner.Queued}
		for k := range count {
			r.Ended = append(r.Ended, k)
			r.Occurrences = append(r.Occurrences, occurrence{k, []planner.StepProgress{{Done: []byte{1}}}})
		}
		value, err := cbor.Marshal(r)
		quicktest.Assert(t, err, quicktest.IsNil)
		return value
	}
	present := func(count int) []byte {
		d := newDriver(t, 1, worker("a", 8)).registerWorkers()
		d.add(scheduledJob(count + 2))
		for range count {
			d.endRun(d.startTasks()[0], planner.EndDone)
			d.advance(time.Second)
		}
		value, err := planner.Encode(d.p.Changes(1)[0].Progress)
		d.Assert(err, quicktest.IsNil)
		return value
	}
	for name, tt := range map[string]struct {
		encode func(count int) []byte
		count  int
		// isForEarlier is set if a process of the version before can use the record.
		isForEarlier bool
	}{
		"few, earlier version":  {earlier, 3, true},
		"many, earlier version": {earlier, 30_000, true},
		"few":                   {present, 3, true},
		"many":                  {present, 300, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 1, worker("a", 8)).registerWorkers()
			value := tt.encode(tt.count)
			var known earlierProgress
			d.Assert(cbor.Unmarshal(value, &known) == nil, quicktest.Equals, tt.isForEarlier)
			progress, err := planner.Decode[planner.Progress](value)
			d.Assert(err, quicktest.IsNil)
			d.p.AddJob(d.now, scheduledJob(tt.count+2), progress)
			d.advance(time.Duration(tt.count+1) * time.Second)
			starts := d.startTasks()
			var names []string
			for _, o := range starts {
				names = append(names, o.Run.TaskID.String())
			}
			d.Assert(names, quicktest.DeepEquals, []string{fmt.Sprintf("1.%d.0.0", tt.count), fmt.Sprintf("1.%d.0.0", tt.count+1)})
			// A run of an occurrence that is done, listed late.
			ended := planner.RunID{TaskID: planner.TaskID{Job: "1", Occurrence: 1}, Attempt: 1}
			d.endRun(planner.Command{Run: ended, WorkerID: "a"}, planner.EndDone)
			d.Assert(d.startTasks(), quicktest.HasLen, 0)
			for _, o := range starts {
				d.endRun(o, planner.EndDone)
			}
			if size := d.storedSize(); size > maxSmallRecord {
				d.Fatalf("%d bytes", size)
			}
			state, _ := d.p.JobState("1")
			d.Assert(state, quicktest.Equals, planner.Done)
		})
	}
}

// TestProgressOfFailingLongRunningTask guards against a long-running task whose stored
// progress grows with each failure, and against a failure that is listed twice.
func TestProgressOfFailingLongRunningTask(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	s := step(1, 1)
	s.LongRunning = true
	d.add(job("1", s))
	largest := 0
	for range 1500 {
		for _, o := range d.startTasks() {
			d.endRun(o, planner.EndFailed)
		}
		for _, ch := range d.p.Changes(10) {
			value, err := planner.Encode(ch.Progress)
			d.Assert(err, quicktest.IsNil)
			largest = max(largest, len(value))
			d.p.Committed([]planner.Change{ch})
		}
		d.advance(time.Second)
		d.poll("a")
	}
	if largest > maxSmallRecord {
		d.Fatalf("%d bytes", largest)
	}
	d.Assert(d.decisionCounts["start"] > 1000, quicktest.IsTrue, quicktest.Commentf("%d starts", d.decisionCounts["start"]))
}

// TestMergeArrivals guards against the record of a job that grows each time a task comes back
// to a shard.
func TestMergeArrivals(t *testing.T) {
	var known []planner.Arrival
	for move := 1; move < 100; move += 2 {
		known = planner.MergeArrivals(known, []planner.Arrival{{Step: 0, Index: move % 3, Move: move}, {Step: 1, Index: 0, Move: move}})
	}
	last := map[string]int{}
	for _, a := range known {
		last[fmt.Sprint(a.Step, a.Index)] = a.Move
	}
	quicktest.Assert(t, known, quicktest.HasLen, 4)
	quicktest.Assert(t, last, quicktest.DeepEquals, map[string]int{"0 0": 99, "0 1": 97, "0 2": 95, "1 0": 99})
}

// BenchmarkLongSchedule measures a plan of a job that has run a million times.
func BenchmarkLongSchedule(b *testing.B) {
	const count = 1_000_000
	p, err := planner.New(planner.Options{Epoch: 1, Horizon: time.Minute, WallTime: func(t time.Time) time.Time { return t }})
	if err != nil {
		b.Fatal(err)
	}
	value, err := cbor.Marshal(map[string]any{"ended": [][2]int{{0, count - 1}}})
	if err != nil {
		b.Fatal(err)
	}
	progress, err := planner.Decode[planner.Progress](value)
	if err != nil {
		b.Fatal(err)
	}
	now := origin.Add(count * time.Second)
	p.AddJob(now, scheduledJob(2*count), progress)
	for b.Loop() {
		p.Plan(now, now)
	}
}
