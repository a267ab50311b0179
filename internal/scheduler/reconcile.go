package scheduler

import (
	"maps"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// surplusGrace is how long surplus replicas continue to run when the shards
	// don't report to each other.
	surplusGrace = 10 * time.Second
	// idlePeerInterval is the time between peer reports when nothing changes,
	// and activePeerInterval is the time while a domain waits for others. With
	// a few hundred services, a report is about 5 KB and is sent to seven other
	// domains, so a short interval would use up the 9 KB per second that a node
	// may send.
	idlePeerInterval   = time.Minute
	activePeerInterval = 5 * time.Second
	// reconcileInterval is the least time between two reconciliations.
	reconcileInterval = time.Second
)

func (c *Core) confirmConfig(now time.Time, e ConfigConfirmed) {
	if e.Config.Revision < c.configRevision {
		return
	}
	if e.At.After(c.confirmedAt) {
		c.confirmedAt = e.At
	}
	if c.config != nil && c.config.Revision == e.Config.Revision {
		return
	}
	c.config, c.configChangedAt = e.Config, now
	if e.Config.Revision > c.configRevision {
		c.record(Change{ConfigSet: &ConfigSet{e.Config.Revision}})
	}
	c.queue.needsPass = true
	c.indexTeams()
	c.updateDomain()
	c.reconcile(now)
}

// reconcile makes the tasks of services and watchers match the configuration.
func (c *Core) reconcile(now time.Time) {
	c.reconciledAt, c.needsReconcile = now, false
	c.declaredTasks = map[TaskID]bool{}
	for _, s := range c.config.Services {
		for i := range c.config.ReplicasIn(s, c.options.Domain) {
			c.ensureTask(Task{ID: replicaID(s.Name, c.options.Domain, i), Class: declarer.ClassService, Owner: s.Name, Team: s.Team, Kind: s.Name, Declared: s.Resources, Submitted: c.timestamp(), State: Pending})
		}
	}
	for i, w := range c.config.Watchers {
		id := TaskID("watcher/" + w.Name)
		if c.config.WatcherDomain(i) != c.options.Domain {
			continue
		}
		if c.tasks[id] == nil && !c.mayStartWatcher(w.Name) {
			c.needsReconcile = true
			continue
		}
		c.ensureTask(Task{ID: id, Class: declarer.ClassWatcher, Owner: w.Name, Team: w.Team, Kind: w.Name, Declared: w.Resources, Submitted: c.timestamp(), State: Pending})
	}
	c.endSurplus(now)
}

// attemptNumberBits is the number of bits below the revision in an attempt
// number. 20 bits allow a million attempts of a task between two revisions of
// the configuration.
const attemptNumberBits = 20

// ensureTask adds a declared task unless the shard has the task, and replaces
// the task if its declared size or team has changed.
func (c *Core) ensureTask(t Task) {
	c.declaredTasks[t.ID] = true
	old := c.tasks[t.ID]
	if old != nil && (old.Declared != t.Declared || old.Team != t.Team) {
		c.replaceTask(old)
		old = c.tasks[t.ID]
	}
	if old == nil {
		// Workers refuse an attempt of a task unless its number is larger than
		// the last one they saw. A task that ended under an earlier
		// configuration may be declared again with the same id, so its attempt
		// numbers start above the earlier ones.
		t.Attempt = c.config.Revision << attemptNumberBits
		c.record(Change{TaskAdded: &TaskAdded{t}})
		return
	}
	// A replica that is being cancelled is added again once it has ended.
	c.needsReconcile = c.needsReconcile || old.Cancelling
}

// replaceTask ends a task whose declared size or team has changed. The tasks of
// a service are replaced one at a time, so that the other replicas continue to
// serve.
func (c *Core) replaceTask(old *Task) {
	c.needsReconcile = true
	for _, t := range c.tasksByOwner[old.Owner] {
		if t.Class == old.Class && t.State != Running && HoldsReservation(old.State) {
			return
		}
	}
	c.cancelTask(old, "declared with another size or team")
}

// endSurplus ends the tasks that are no longer declared in this domain. A
// replica that is declared in another domain ends once the replicas there run.
func (c *Core) endSurplus(now time.Time) {
	for _, s := range c.config.Services {
		mustWait := !c.mayStopSurplus(now, s)
		for _, t := range sortedValues(c.tasksByOwner[s.Name]) {
			if t.Class != declarer.ClassService || c.declaredTasks[t.ID] || t.Cancelling {
				continue
			}
			switch {
			case !HoldsReservation(t.State):
				c.cancelTask(t, "no longer declared in this domain")
			case mustWait || (c.isDomainOut && now.Sub(c.domainChangedAt) < drainDeadline && !c.takeDrainToken()):
				c.needsReconcile = true
			default:
				c.cancelTask(t, "no longer declared in this domain")
			}
		}
	}
	for _, owner := range sortedOwners(c.tasksByOwner) {
		for _, t := range sortedValues(c.tasksByOwner[owner]) {
			if t.Class == declarer.ClassWatcher && !c.declaredTasks[t.ID] || t.Class == declarer.ClassService && !c.declares(t.Owner) {
				c.cancelTask(t, "no longer declared in this domain")
			}
		}
	}
}

func (c *Core) declares(service string) bool {
	return slices.ContainsFunc(c.config.Services, func(s declarer.Service) bool { return s.Name == service })
}

// mayStopSurplus reports whether the other domains run their replicas of a
// service, or the time to wait for them has passed.
func (c *Core) mayStopSurplus(now time.Time, s declarer.Service) bool {
	since := now.Sub(c.configChangedAt)
	if !c.options.AwaitPeers {
		return since >= surplusGrace
	}
	if since >= drainDeadline {
		return true
	}
	for _, d := range c.config.DomainsIn() {
		r := c.peerReports[d]
		if d != c.options.Domain && (r.Revision < c.config.Revision || r.Replicas[s.Name] < c.config.ReplicasIn(s, d)) {
			return false
		}
	}
	return len(c.config.DomainsIn()) > 0
}

// mayStartWatcher reports whether every other domain has reported that it has
// no attempt of a watcher, and a configuration revision under which it will
// start none.
func (c *Core) mayStartWatcher(name string) bool {
	if !c.options.AwaitPeers {
		return true
	}
	for _, d := range c.config.Domains {
		r := c.peerReports[d]
		if d != c.options.Domain && (r.Revision < c.config.Revision || slices.Contains(r.Watchers, name)) {
			return false
		}
	}
	return true
}

// retryReconcile reconciles again if an earlier reconciliation left
// differences.
func (c *Core) retryReconcile(now time.Time) {
	if c.config != nil && c.needsReconcile && now.Sub(c.reconciledAt) >= reconcileInterval {
		c.reconcile(now)
	}
}

// sendPeerReport sends the other domains a report of what runs in this domain:
// when the report has changed, every activePeerInterval while this shard waits
// or a domain is out of service, and otherwise every idlePeerInterval.
func (c *Core) sendPeerReport() {
	if c.config == nil || !c.options.AwaitPeers {
		return
	}
	r := c.peerReport()
	interval := idlePeerInterval
	if r.Waiting || len(c.config.DomainsOut) > 0 {
		interval = activePeerInterval
	}
	last := c.lastPeerReport
	changed := r.Revision != last.Revision || r.Waiting != last.Waiting || !maps.Equal(r.Replicas, last.Replicas) || !slices.Equal(r.Watchers, last.Watchers)
	if !changed && c.now.Sub(c.peerReportSentAt) < interval {
		return
	}
	c.peerReportSentAt, c.lastPeerReport = c.now, r
	for _, d := range c.config.Domains {
		if d != c.options.Domain {
			c.emit(Command{Peer: &SendPeerReport{d, r}})
		}
	}
}

func (c *Core) peerReport() PeerReport {
	r := PeerReport{Shard: c.options.Shard, Revision: c.config.Revision, Replicas: map[string]int{}, Waiting: c.needsReconcile}
	for _, s := range c.config.Services {
		for _, t := range c.tasksByOwner[s.Name] {
			if t.Class == declarer.ClassService && t.State == Running {
				r.Replicas[s.Name]++
			}
		}
	}
	for _, w := range c.config.Watchers {
		if c.tasks[TaskID("watcher/"+w.Name)] != nil {
			r.Watchers = append(r.Watchers, w.Name)
		}
	}
	return r
}

// handlePeerReport stores the report of another shard and schedules a reply if
// that shard waits.
func (c *Core) handlePeerReport(r PeerReport) {
	c.peerReports[r.Shard] = r
	if r.Waiting && c.now.Sub(c.peerReportSentAt) >= reportInterval {
		c.peerReportSentAt = time.Time{}
	}
}
