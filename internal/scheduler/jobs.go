package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// reportInterval is the least time between two reports to other shards.
const reportInterval = time.Second

// jobRetention is how long a complete job is kept.
const jobRetention = 24 * time.Hour

// StaleJobError reports a job that is unknown to the shard and was first
// submitted so long ago that it may have run and been forgotten.
type StaleJobError struct {
	JobID   string
	Claimed time.Time
}

func (e *StaleJobError) Error() string {
	return fmt.Sprintf("job %s was first submitted at %s, too long ago to tell whether it has run; nothing was changed", e.JobID, e.Claimed.UTC().Format(time.RFC3339))
}

// CheckSubmission returns a StaleJobError for a job that may already have run.
func (c *Core) CheckSubmission(now time.Time, e JobSubmitted) error {
	if c.jobs[e.Job.ID] == nil && !e.Claimed.IsZero() && now.Sub(e.Claimed) > jobRetention/2 {
		return &StaleJobError{e.Job.ID, e.Claimed}
	}
	return nil
}

func (c *Core) acceptJob(now time.Time, e JobSubmitted) {
	j := e.Job
	if c.jobs[j.ID] != nil {
		return
	}
	if err := c.CheckSubmission(now, e); err != nil {
		c.explain(Explanation{Action: "submission_refused", Job: j.ID, Reason: err.Error()})
		return
	}
	if c.record(Change{JobAccepted: &JobAccepted{j, c.timestamp()}}) {
		c.place(now)
	}
}

// cancelJob records one change that cancels the tasks without an attempt, and
// stops the attempts of the other tasks. A job that is not known yet is recorded as
// ended, because its submission may still be on its way.
func (c *Core) cancelJob(e JobCancelled) {
	j := c.jobs[e.JobID]
	if j != nil && j.Ended {
		c.unsentJobs[e.JobID] = true
		return
	}
	if j == nil && e.Home == c.options.Shard {
		return
	}
	if j == nil && e.Home == "" {
		e.Home = c.options.Shard
	}
	c.record(Change{JobCancelled: &JobEnded{JobID: e.JobID, Reason: "cancelled by the caller", Home: e.Home}})
	c.explain(Explanation{Action: "cancel", Job: e.JobID, Reason: "cancelled by the caller"})
	for _, t := range sortedValues(c.tasksByOwner[e.JobID]) {
		if t.Class == declarer.ClassBatch {
			c.cancelTask(t, "job cancelled")
		}
	}
}

// pruneJobs deletes the jobs that have been complete for jobRetention.
func (c *Core) pruneJobs(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; c.unsentJobs[id] || !c.isComplete(j) {
			continue
		}
		since, known := c.completeSince[id]
		switch {
		case !known:
			c.completeSince[id] = now
		case now.Sub(since) >= jobRetention:
			delete(c.completeSince, id)
			c.record(Change{JobForgotten: &JobForgotten{id}})
		}
	}
}

// parkJob removes a job and its pending tasks from the queue.
func (c *Core) parkJob(j *Job, reason string, figures ...Figure) {
	if j.Parked != "" || j.Ended {
		return
	}
	c.explain(Explanation{Action: "park", Job: j.Job.ID, Reason: reason, Figures: figures})
	c.record(Change{JobParked: &JobParked{j.Job.ID, reason}})
	for _, t := range sortedValues(c.tasksByOwner[j.Job.ID]) {
		if t.State == Pending && t.Class == declarer.ClassBatch {
			c.record(Change{TaskParked: &TaskParked{t.ID, reason}})
		}
	}
}

// releaseJob puts a parked job and its parked tasks back in the queue.
func (c *Core) releaseJob(id string) {
	j := c.jobs[id]
	if j == nil || j.Parked == "" {
		return
	}
	c.explain(Explanation{Action: "release", Job: id, Reason: "job was parked: " + j.Parked})
	c.record(Change{JobParked: &JobParked{JobID: id}})
	for _, t := range sortedValues(c.tasksByOwner[id]) {
		if t.State == Parked && t.Class == declarer.ClassBatch {
			c.record(Change{TaskMoved: &TaskMoved{Task: t.ID, Event: "release", Reason: "job released"}})
		}
	}
}

// releaseFitting releases the jobs and tasks that were parked because no worker
// was large enough and that fit in the given capacity.
func (c *Core) releaseFitting(capacity declarer.Resources) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.Parked != "" && len(j.FailedOn) < jobParkThreshold && j.Job.Resources.FitsIn(capacity) {
			c.releaseJob(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		if t := c.tasks[id]; t.State == Parked && t.Class != declarer.ClassBatch && t.Declared.FitsIn(capacity) {
			c.record(Change{TaskMoved: &TaskMoved{Task: id, Event: "release", Reason: "a worker that is large enough is available"}})
		}
	}
}

// parkOversized parks work that exceeds the capacity of every worker in the
// domain. It reports whether it did.
func (c *Core) parkOversized(t *Task) bool {
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

// storeTotals stores the counts that another shard reported to the job's home
// shard.
func (c *Core) storeTotals(e TotalsReported) {
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
		c.unsentJobs[e.JobID] = true
	}
}

// sendReports sends the due reports to other shards, at most once per
// reportInterval.
func (c *Core) sendReports(now time.Time) {
	if now.Sub(c.reportsSentAt) < reportInterval {
		return
	}
	c.reportsSentAt = now
	for _, id := range slices.Sorted(maps.Keys(c.unsentJobs)) {
		c.sendCounts(id)
	}
	c.sendPeerReport()
}

// sendCounts reports a job's counts to its home shard until they are confirmed.
// At the home shard, it repeats a cancellation to the shards that have not yet
// reported that they know of it.
func (c *Core) sendCounts(id string) {
	j := c.jobs[id]
	if j == nil {
		delete(c.unsentJobs, id)
		return
	}
	if j.Home != c.options.Shard {
		c.emit(Command{Totals: &ReportTotals{j.Home, id, c.counts(j)}})
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
		delete(c.unsentJobs, id)
	}
}

func (c *Core) repeatCancel(j *Job, shard string) bool {
	known := slices.ContainsFunc(j.Remote, func(r RemoteCounts) bool { return r.Shard == shard && r.Ended })
	if !j.Ended || known || shard == j.Home {
		return false
	}
	c.emit(Command{Cancel: &CancelJob{shard, j.Job.ID, j.Home}})
	return true
}

func (c *Core) counts(j *Job) RemoteCounts {
	return RemoteCounts{c.options.Shard, j.Done, j.Failed, j.Cancelled, j.Ended}
}

// confirmTotals stops reporting counts that the home shard has committed.
func (c *Core) confirmTotals(e TotalsConfirmed) {
	if j := c.jobs[e.JobID]; j != nil && j.Home != c.options.Shard && c.counts(j) == e.Counts {
		delete(c.unsentJobs, e.JobID)
	}
}
