package scheduler

import (
	"slices"
)

// maxTransfers limits the number of unconfirmed transfers.
const maxTransfers = 64

// acceptTransfer takes over work from another shard. A repeated offer is
// ignored.
func (c *Core) acceptTransfer(e TransferOffered) {
	if c.HasTakenOver(e.TransferID) {
		return
	}
	if err := c.CheckOffer(e); err != nil {
		c.explain(Explanation{Action: "transfer_refused", Task: e.Task.ID, Job: e.Task.Owner, Reason: err.Error()})
		return
	}
	if c.record(Change{TakenOver: &TakenOver{e.TransferID, e.Task}}) {
		if t, j := c.tasks[e.Task.ID], c.jobs[e.Task.Owner]; t != nil && j.Parked != "" {
			c.record(Change{TaskParked: &TaskParked{t.ID, j.Parked}})
		}
		c.explain(Explanation{Action: "take_over", Task: e.Task.ID, Job: e.Task.Owner, Reason: "transfer " + e.TransferID, Figures: []Figure{{"tasks", float64(max(e.Task.Count, 1))}}})
	}
}

// CheckOffer validates an offer, which a faulty or older peer may have sent.
// The error is an InvariantError; the driver must not confirm such an offer.
func (c *Core) CheckOffer(e TransferOffered) error {
	if c.HasTakenOver(e.TransferID) {
		return nil
	}
	problem := ""
	_, first, named := jobTaskIndex(e.Task.ID)
	j := c.jobs[e.Task.Owner]
	_, _, ok := parseTransferID(e.TransferID)
	switch {
	case !ok:
		problem = "transfer_id " + e.TransferID + " is not SOURCE/DESTINATION/NUMBER"
	case !named || e.Task.Home == "":
		problem = "task.id does not name a task of a job, or task.home is empty"
	case c.tasks[e.Task.ID] != nil, j != nil && j.Unstarted.Overlaps(IndexRange{first, max(e.Task.Count, 1)}):
		problem = "the task already exists in this shard"
	default:
		return nil
	}
	return &InvariantError{Invariant: 3, Task: e.Task.ID, Problem: problem}
}

func (c *Core) confirmTransfer(id string) {
	if t := c.transfers[id]; t != nil {
		c.record(Change{TaskMoved: &TaskMoved{Task: t.ID, Event: "confirm_transfer", Reason: "taken over by " + t.ToShard, TransferID: id}})
	}
}

// offer issues the command that sends a task to the shard that it is handed
// over to.
func (c *Core) offer(t *Task) {
	c.emit(Command{HandOver: &HandOverTask{t.TransferID, t.ToShard, *t}})
}

// handOver hands a task, or count unstarted tasks beginning with it, over to a
// shard.
func (c *Core) handOver(id TaskID, count int, to string) {
	n := c.lastTransfer[c.options.Shard+"/"+to] + 1
	ch := HandedOver{Task: id, TransferID: formatTransferID(c.options.Shard, to, n), ToShard: to, Count: count}
	if !c.record(Change{HandedOver: &ch}) {
		return
	}
	t := c.transfers[ch.TransferID]
	c.explain(Explanation{Action: "hand_over", Task: id, Job: t.Owner, Reason: "to " + to + ", transfer " + ch.TransferID, Figures: []Figure{{"tasks", float64(max(count, 1))}}})
	c.offer(t)
}

// handOverEntry hands an entry over to other shards. The unstarted tasks of a
// job are split equally among the shards.
func (c *Core) handOverEntry(e entry, to []string) {
	if e.task != nil {
		c.handOver(e.task.ID, 0, to[len(c.transfers)%len(to)])
		return
	}
	ranges := slices.Clone(e.job.Unstarted)
	part := max(1, (ranges.Len()+len(to)-1)/len(to))
	at, left := 0, part
	for _, r := range ranges {
		for r.Count > 0 && len(c.transfers) < maxTransfers {
			n := min(r.Count, left)
			c.handOver(jobTaskID(e.job.Job.ID, r.First), n, to[at])
			r.First, r.Count, left = r.First+n, r.Count-n, left-n
			if left == 0 {
				at, left = (at+1)%len(to), part
			}
		}
	}
}
