package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// reportInterval is how often reports to other shards are repeated.
const reportInterval = time.Second

// jobRetention is how long a job is remembered after it is complete.
const jobRetention = 24 * time.Hour

func (c *Core) acceptJob(now time.Time, e JobSubmitted) {
	j := e.Job
	if c.jobs[j.ID] != nil {
		return
	}
	if age := now.Sub(e.Claimed); !e.Claimed.IsZero() && age > jobRetention/2 {
		c.explain(Explanation{Action: "submission_refused", Job: j.ID, Reason: "first submitted too long ago to tell whether it has run", Figures: []Figure{{"age_seconds", age.Seconds()}}})
		return
	}
	if c.record(Change{JobAccepted: &JobAccepted{j, c.stamp()}}) {
		c.place(now)
	}
}

// cancelJob cancels what has no attempt with one change and stops the rest.
func (c *Core) cancelJob(e JobCancelled) {
	j := c.jobs[e.JobID]
	if j != nil && j.Ended {
		c.unsent[e.JobID] = true
		return
	}
	if j == nil && (e.Home == "" || e.Home == c.options.Shard) {
		return
	}
	c.record(Change{JobCancelled: &JobEnded{JobID: e.JobID, Reason: "cancelled by the caller", Home: e.Home}})
	c.explain(Explanation{Action: "cancel", Job: e.JobID, Reason: "cancelled by the caller"})
	for _, t := range sortedValues(c.byOwner[e.JobID]) {
		if t.Class == declarer.ClassBatch {
			c.end(t, "job cancelled")
		}
	}
}

// forgetJobs drops the jobs that have been complete for long.
func (c *Core) forgetJobs(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; c.unsent[id] || !c.isComplete(j) {
			continue
		}
		since, known := c.completeAt[id]
		switch {
		case !known:
			c.completeAt[id] = now
		case now.Sub(since) >= jobRetention:
			delete(c.completeAt, id)
			c.record(Change{JobForgotten: &JobForgotten{id}})
		}
	}
}

// parkJob takes a job out of the queue.
func (c *Core) parkJob(j *Job, reason string, figures ...Figure) {
	if j.Parked != "" || j.Ended {
		return
	}
	c.explain(Explanation{Action: "park", Job: j.Job.ID, Reason: reason, Figures: figures})
	c.record(Change{JobParked: &JobParked{j.Job.ID, reason}})
	for _, t := range sortedValues(c.byOwner[j.Job.ID]) {
		if t.State == Pending && t.Class == declarer.ClassBatch {
			c.record(Change{TaskParked: &TaskParked{t.ID, reason}})
		}
	}
}

// releaseJob puts a parked job back in the queue.
func (c *Core) releaseJob(id string) {
	j := c.jobs[id]
	if j == nil || j.Parked == "" {
		return
	}
	c.explain(Explanation{Action: "release", Job: id, Reason: "was parked: " + j.Parked})
	c.record(Change{JobParked: &JobParked{JobID: id}})
	for _, t := range sortedValues(c.byOwner[id]) {
		if t.State == Parked && t.Class == declarer.ClassBatch {
			c.record(Change{TaskMoved: &TaskMoved{Task: t.ID, Event: "release", Reason: "job released"}})
		}
	}
}

// releaseFitting tries jobs and tasks again that were parked because no worker
// was large enough.
func (c *Core) releaseFitting(capacity declarer.Resources) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.Parked != "" && len(j.FailedOn) < jobSuspicion && j.Job.Resources.FitsIn(capacity) {
			c.releaseJob(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		if t := c.tasks[id]; t.State == Parked && t.Class != declarer.ClassBatch && t.Declared.FitsIn(capacity) {
			c.record(Change{TaskMoved: &TaskMoved{Task: id, Event: "release", Reason: "a larger worker is there"}})
		}
	}
}

// parkImpossible parks work that is larger than every worker of the domain.
func (c *Core) parkImpossible(t *Task) bool {
	var largest declarer.Resources
	known := false
	for _, w := range c.workers {
		if t.Declared.FitsIn(w.Capacity) {
			return false
		}
		known = true
		largest = largest.Max(w.Capacity)
	}
	if !known {
		return false
	}
	reason := fmt.Sprintf("needs milli_cpu %d, memory_mb %d, accelerators %d, more than any worker has (at most %d, %d, %d)",
		t.Declared.MilliCPU, t.Declared.MemoryMB, t.Declared.Accelerators, largest.MilliCPU, largest.MemoryMB, largest.Accelerators)
	if j := c.jobs[t.Owner]; t.Class == declarer.ClassBatch && j != nil {
		c.parkJob(j, reason, Figure{"milli_cpu", float64(t.Declared.MilliCPU)}, Figure{"largest_milli_cpu", float64(largest.MilliCPU)})
		return true
	}
	c.explain(Explanation{Action: "park", Task: t.ID, Job: t.Owner, Reason: reason})
	c.record(Change{TaskParked: &TaskParked{t.ID, reason}})
	return true
}

// keepTotals keeps the counts of another shard at the home of a job.
func (c *Core) keepTotals(e TotalsReported) {
	j := c.jobs[e.JobID]
	if j == nil || e.Counts.Shard == c.options.Shard {
		return
	}
	for _, r := range j.Remote {
		if r.Shard == e.Counts.Shard && mergeCounts(r, e.Counts) == r {
			return
		}
	}
	c.record(Change{TotalsSet: &TotalsSet{e.JobID, e.Counts}})
	if j.Ended && !e.Counts.Ended {
		c.unsent[e.JobID] = true
	}
}

// sendReports tells other shards what they wait for, at most once a second.
func (c *Core) sendReports(now time.Time) {
	if now.Sub(c.lastSent) < reportInterval {
		return
	}
	c.lastSent = now
	for _, id := range slices.Sorted(maps.Keys(c.unsent)) {
		c.sendCounts(id)
	}
	c.sendPeerReport()
}

// sendCounts reports a job's counts to its home until they are confirmed, or
// repeats a cancellation to the shards that have not reported that they know.
func (c *Core) sendCounts(id string) {
	j := c.jobs[id]
	if j == nil {
		delete(c.unsent, id)
		return
	}
	if j.Home != c.options.Shard {
		c.command(Command{Totals: &ReportTotals{j.Home, id, c.counts(j)}})
		return
	}
	waiting := false
	for _, shard := range j.Sent {
		waiting = c.repeatCancel(j, shard) || waiting
	}
	for _, r := range j.Remote {
		if !slices.Contains(j.Sent, r.Shard) {
			waiting = c.repeatCancel(j, r.Shard) || waiting
		}
	}
	if !waiting {
		delete(c.unsent, id)
	}
}

func (c *Core) repeatCancel(j *Job, shard string) bool {
	known := slices.ContainsFunc(j.Remote, func(r RemoteCounts) bool { return r.Shard == shard && r.Ended })
	if !j.Ended || known || shard == j.Home {
		return false
	}
	c.command(Command{Cancel: &CancelJob{shard, j.Job.ID, j.Home}})
	return true
}

func (c *Core) counts(j *Job) RemoteCounts {
	return RemoteCounts{c.options.Shard, j.Done, j.Failed, j.Cancelled, j.Ended}
}

// confirmTotals stops the reports of counts that the home shard has committed.
func (c *Core) confirmTotals(e TotalsConfirmed) {
	if j := c.jobs[e.JobID]; j != nil && j.Home != c.options.Shard && c.counts(j) == e.Counts {
		delete(c.unsent, e.JobID)
	}
}
