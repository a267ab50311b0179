package scheduler

import (
	"slices"
	"strconv"
	"strings"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/interpreter"
)

func (c *Core) applyJob(ch JobAccepted) error {
	if c.jobs[ch.Job.ID] != nil {
		return &InvariantError{Invariant: 2, Problem: "job " + ch.Job.ID + " accepted twice"}
	}
	j := &Job{Job: ch.Job, Submitted: ch.At, Home: c.options.Shard}
	if ch.Job.Tasks > 0 {
		j.Unstarted = Ranges{{0, ch.Job.Tasks}}
	}
	c.jobs[ch.Job.ID] = j
	c.queue.updateJob(j)
	return nil
}

// applyJobCancelled marks a job as ended and cancels its tasks that have no
// attempt.
func (c *Core) applyJobCancelled(ch JobEnded) error {
	j := c.jobs[ch.JobID]
	if j == nil {
		j = &Job{Job: declarer.BatchJob{ID: ch.JobID}, Home: ch.Home}
		c.jobs[ch.JobID] = j
	}
	j.Ended = true
	j.Cancelled += j.Unstarted.Len()
	j.Unstarted = nil
	c.queue.updateJob(j)
	c.unsentJobs[ch.JobID] = true
	for _, t := range sortedValues(c.tasksByOwner[ch.JobID]) {
		if t.Class == declarer.ClassBatch && !HoldsReservation(t.State) {
			t.Reason = ch.Reason
			c.setState(t, Cancelled)
			c.retireIfFinal(t)
		}
	}
	return nil
}

func (c *Core) applyJobParked(ch JobParked) error {
	j := c.jobs[ch.JobID]
	if j == nil {
		return &InvariantError{Invariant: 3, Problem: "parked job " + ch.JobID + " is unknown"}
	}
	j.Parked = ch.Reason
	if ch.Reason == "" {
		j.FailedOn = nil
	}
	c.queue.updateJob(j)
	return nil
}

func (c *Core) applyJobForgotten(id string) error {
	j := c.jobs[id]
	if j == nil || !c.isComplete(j) {
		return &InvariantError{Invariant: 3, Problem: "forgotten job " + id + " is unknown or not complete"}
	}
	delete(c.jobs, id)
	return nil
}

// isComplete reports whether every task of a job that this shard received has
// ended or was handed over. At the job's home shard, the tasks must also have
// ended in every other shard.
func (c *Core) isComplete(j *Job) bool {
	ended := j.Done + j.Failed + j.Cancelled + j.HandedOver
	if j.Home != c.options.Shard {
		return ended == j.TakenOver
	}
	t := j.Totals()
	return ended == j.Job.Tasks+j.TakenOver && t.Done+t.Failed+t.Cancelled == j.Job.Tasks
}

func (c *Core) applyTotals(ch TotalsSet) error {
	j := c.jobs[ch.JobID]
	if j == nil {
		return &InvariantError{Invariant: 3, Problem: "job " + ch.JobID + " of the reported totals is unknown"}
	}
	for i, r := range j.Remote {
		if r.Shard == ch.Counts.Shard {
			j.Remote[i] = mergeCounts(r, ch.Counts)
			return nil
		}
	}
	j.Remote = append(j.Remote, ch.Counts)
	slices.SortFunc(j.Remote, func(a, b RemoteCounts) int { return strings.Compare(a.Shard, b.Shard) })
	return nil
}

// mergeCounts returns the larger of each count. Counts only grow, so the
// smaller ones come from a late report.
func mergeCounts(a, b RemoteCounts) RemoteCounts {
	return RemoteCounts{a.Shard, max(a.Done, b.Done), max(a.Failed, b.Failed), max(a.Cancelled, b.Cancelled), a.Ended || b.Ended}
}

// formatTransferID returns the id of transfer number n. The numbers for one
// source and destination are consecutive, so the destination stores only the
// highest one and the gaps.
func formatTransferID(from, to string, n uint64) string {
	return from + "/" + to + "/" + strconv.FormatUint(n, 10)
}

func parseTransferID(id string) (from string, n uint64, ok bool) {
	parts := strings.Split(id, "/")
	if len(parts) != 3 {
		return "", 0, false
	}
	n, err := strconv.ParseUint(parts[2], 10, 64)
	return parts[0] + "/" + parts[1], n, err == nil && n > 0
}

// sequenceSet is a set of positive numbers with few gaps.
type sequenceSet struct {
	// through is the largest number up to which the set has no gap.
	through uint64
	above   map[uint64]bool
}

func (s *sequenceSet) has(n uint64) bool { return s != nil && (n <= s.through || s.above[n]) }

func (s *sequenceSet) add(n uint64) {
	s.above[n] = true
	for s.above[s.through+1] {
		s.through++
		delete(s.above, s.through)
	}
}

// HasTakenOver reports whether this shard has taken over a transfer. The driver
// confirms the offer of a transfer only then.
func (c *Core) HasTakenOver(transfer string) bool {
	from, n, ok := parseTransferID(transfer)
	return ok && c.takenOver[from].has(n)
}

func (c *Core) applyHandOver(ch HandedOver) error {
	from, n, ok := parseTransferID(ch.TransferID)
	if !ok || c.transfers[ch.TransferID] != nil || n <= c.lastTransfer[from] {
		return &InvariantError{Invariant: 3, Task: ch.Task, Problem: "transfer id " + ch.TransferID + " is malformed or was already used"}
	}
	t := c.tasks[ch.Task]
	if ch.Count > 0 {
		j, first := c.findUnstarted(ch.Task)
		if j == nil || !j.Unstarted.Has(IndexRange{first, ch.Count}) {
			return &InvariantError{Invariant: 3, Task: ch.Task, Problem: "handover of tasks that are not all unstarted"}
		}
		unstarted := j.task(first)
		unstarted.Count = ch.Count
		j.Unstarted = j.Unstarted.Remove(IndexRange{first, ch.Count})
		c.queue.updateJob(j)
		t = &unstarted
	}
	if t == nil || HoldsReservation(t.State) {
		return &InvariantError{Invariant: 3, Task: ch.Task, Problem: "handover of a task that is unknown or has an attempt"}
	}
	next, err := c.options.Charts.Task.Next(t.State, "hand_over")
	if err != nil {
		return err
	}
	if ch.Count == 0 {
		c.setState(t, next)
		c.removeTask(t)
	}
	t.State, t.TransferID, t.ToShard, t.Reason = next, ch.TransferID, ch.ToShard, "handed over to "+ch.ToShard
	c.transfers[ch.TransferID], c.lastTransfer[from] = t, n
	if j := c.jobs[t.Owner]; j != nil && !slices.Contains(j.Sent, ch.ToShard) {
		j.Sent = append(slices.Clone(j.Sent), ch.ToShard)
	}
	return nil
}

func (c *Core) applyTransferEnd(ch TaskMoved) error {
	t := c.transfers[ch.TransferID]
	if t == nil {
		return &InvariantError{Invariant: 3, Task: ch.Task, Problem: "transfer " + ch.TransferID + " is unknown"}
	}
	next, err := c.options.Charts.Task.Next(t.State, interpreter.Event(ch.Event))
	if err != nil {
		return err
	}
	t.State = next
	delete(c.transfers, ch.TransferID)
	if j := c.jobs[t.Owner]; j != nil && t.Class == declarer.ClassBatch {
		j.HandedOver += max(t.Count, 1)
	}
	return nil
}

func (c *Core) applyTakeOver(ch TakenOver) error {
	from, n, ok := parseTransferID(ch.TransferID)
	if !ok || c.takenOver[from].has(n) {
		return &InvariantError{Invariant: 3, Task: ch.Task.ID, Problem: "transfer " + ch.TransferID + " is malformed or was already taken over"}
	}
	t := ch.Task
	_, first, named := jobTaskIndex(t.ID)
	j := c.jobs[t.Owner]
	whole := IndexRange{first, max(t.Count, 1)}
	if c.tasks[t.ID] != nil || (j != nil && j.Unstarted.Overlaps(whole)) || t.Class != declarer.ClassBatch || !named {
		return &InvariantError{Invariant: 2, Task: t.ID, Problem: "task that was taken over already exists or does not belong to a job"}
	}
	if c.takenOver[from] == nil {
		c.takenOver[from] = &sequenceSet{above: map[uint64]bool{}}
	}
	c.takenOver[from].add(n)
	j = c.ensureJob(&t)
	j.TakenOver += whole.Count
	c.unsentJobs[t.Owner] = true
	switch {
	case j.Ended:
		j.Cancelled += whole.Count
	case t.Count > 0:
		j.Unstarted = j.Unstarted.Add(whole)
		c.queue.updateJob(j)
	default:
		t.State, t.TransferID, t.ToShard, t.Worker, t.Reserved = Pending, "", "", "", declarer.Resources{}
		c.addTask(&t)
	}
	return nil
}

// ensureJob returns the job of a task that was taken over, and creates it if
// necessary.
func (c *Core) ensureJob(t *Task) *Job {
	j := c.jobs[t.Owner]
	if j == nil {
		j = &Job{Home: t.Home}
		c.jobs[t.Owner] = j
	}
	if j.Job.Kind == "" {
		j.Submitted = t.Submitted
		j.Job = declarer.BatchJob{ID: t.Owner, Team: t.Team, Kind: t.Kind, Resources: t.Declared, RunTime: t.RunTime, Urgent: t.Urgent}
		if !t.Deadline.IsZero() {
			j.Job.Deadline = t.Deadline.Sub(t.Submitted)
		}
	}
	return j
}

func (c *Core) applyWorker(ch WorkerChanged) error {
	w := c.workers[ch.Worker.ID]
	c.view.isStale = true
	c.queue.needsPass = true
	if ch.Event == "" {
		if w != nil {
			return &InvariantError{Invariant: 1, Worker: w.ID, Problem: "worker added twice"}
		}
		added := ch.Worker
		added.Reserved = declarer.Resources{}
		c.workers[added.ID] = &added
		c.setWorkerState(&added, added.State)
		return nil
	}
	if w == nil {
		return &InvariantError{Invariant: 1, Worker: ch.Worker.ID, Problem: "event " + ch.Event + " for an unknown worker"}
	}
	if ch.Event == workerUpdate {
		if !w.Reserved.FitsIn(ch.Worker.Capacity) {
			return &InvariantError{Invariant: 1, Worker: w.ID, Problem: "new capacity is less than the reservations"}
		}
		if w.Addr != ch.Worker.Addr {
			for _, t := range c.tasksByWorker[w.ID] {
				t.Moved = true
			}
		}
		w.Rack, w.Addr, w.Capacity = ch.Worker.Rack, ch.Worker.Addr, ch.Worker.Capacity
		return nil
	}
	next, err := c.options.Charts.Worker.Next(w.State, interpreter.Event(ch.Event))
	if err != nil {
		return err
	}
	if next == Gone && len(c.tasksByWorker[w.ID]) > 0 {
		return &InvariantError{Invariant: 2, Worker: w.ID, Problem: "forgotten worker still has attempts"}
	}
	c.setWorkerState(w, next)
	switch ch.Event {
	case "leave", "stay":
		w.Leaving = ch.Event == "leave"
	case "clear":
		w.Probes, w.ProbeAt, w.FailedOwners = 0, ch.Worker.ProbeAt, nil
	case "quarantine":
		w.Probes, w.ProbeAt = w.Probes+1, ch.Worker.ProbeAt
	case "forget":
		delete(c.workers, w.ID)
		delete(c.tasksByWorker, w.ID)
	}
	return nil
}

func (c *Core) setWorkerState(w *Worker, s interpreter.State) {
	w.State = s
	delete(c.excluded, w.ID)
	delete(c.leaving, w.ID)
	switch s {
	case Quarantined, Probing:
		c.excluded[w.ID] = true
	case Leaving:
		c.leaving[w.ID] = true
	}
}
