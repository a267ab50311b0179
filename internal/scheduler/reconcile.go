package scheduler

import (
	"maps"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

const (
	// surplusGrace is how long surplus replicas stay when the shards don't
	// report to each other.
	surplusGrace = 10 * time.Second
	// quietInterval is the time between peer reports while nothing moves, and
	// busyInterval while some domain waits for others. With a few hundred
	// services a report is about 5 KB, and seven other domains get it, so a
	// short interval would use up a node's 9 KB a second.
	quietInterval = time.Minute
	busyInterval  = 5 * time.Second
	reconcileEach = time.Second
)

func (c *Core) confirmConfig(now time.Time, e ConfigConfirmed) {
	if c.config != nil && e.Config.Revision < c.config.Revision {
		return
	}
	if e.At.After(c.confirmedAt) {
		c.confirmedAt = e.At
	}
	if c.config != nil && c.config.Revision == e.Config.Revision {
		return
	}
	c.config, c.configAt = e.Config, now
	c.queue.changed = true
	c.takeTeams()
	c.setDomain()
	c.reconcile(now)
}

// reconcile makes the tasks of services and watchers match the configuration.
func (c *Core) reconcile(now time.Time) {
	c.reconciled, c.unmatched = now, false
	c.wanted = map[TaskID]bool{}
	for _, s := range c.config.Services {
		for i := range c.config.ReplicasIn(s, c.options.Domain) {
			c.want(Task{ID: replicaID(s.Name, c.options.Domain, i), Class: declarer.ClassService, Owner: s.Name, Team: s.Team, Kind: s.Name, Declared: s.Resources, Submitted: c.stamp(), State: Pending})
		}
	}
	for i, w := range c.config.Watchers {
		id := TaskID("watcher/" + w.Name)
		if c.config.WatcherDomain(i) != c.options.Domain {
			continue
		}
		if c.tasks[id] == nil && !c.mayWatch(w.Name) {
			c.unmatched = true
			continue
		}
		c.want(Task{ID: id, Class: declarer.ClassWatcher, Owner: w.Name, Team: w.Team, Kind: w.Name, Declared: w.Resources, Submitted: c.stamp(), State: Pending})
	}
	c.endSurplus(now)
}

// attemptBits leaves room for a million attempts of a task between two changes
// of the configuration.
const attemptBits = 20

func (c *Core) want(t Task) {
	c.wanted[t.ID] = true
	old := c.tasks[t.ID]
	if old != nil && (old.Declared != t.Declared || old.Team != t.Team) {
		c.replace(old)
		old = c.tasks[t.ID]
	}
	if old == nil {
		// Workers refuse attempts that are not above the last they saw of a
		// task. A task that ended with an earlier configuration may come back
		// under its name, so that its attempts go on above those.
		t.Attempt = c.config.Revision << attemptBits
		c.record(Change{TaskAdded: &TaskAdded{t}})
		return
	}
	// A replica that is on its way out is declared again once it has ended.
	c.unmatched = c.unmatched || old.Cancelling
}

// replace ends a task that was declared anew with another size or team, one of
// a service at a time, so that the others go on answering.
func (c *Core) replace(old *Task) {
	c.unmatched = true
	for _, t := range c.byOwner[old.Owner] {
		if t.Class == old.Class && t.State != Running && Holds(old.State) {
			return
		}
	}
	c.end(old, "declared with another size or team")
}

// endSurplus ends the tasks that are not declared here, and replicas that are
// declared elsewhere once those run.
func (c *Core) endSurplus(now time.Time) {
	for _, s := range c.config.Services {
		waits := !c.mayShrink(now, s)
		for _, t := range sortedValues(c.byOwner[s.Name]) {
			if t.Class != declarer.ClassService || c.wanted[t.ID] || t.Cancelling {
				continue
			}
			switch {
			case !Holds(t.State):
				c.end(t, "no longer declared in this domain")
			case waits || (c.domainOut && now.Sub(c.domainAt) < drainDeadline && !c.spendDrain()):
				c.unmatched = true
			default:
				c.end(t, "no longer declared in this domain")
			}
		}
	}
	for _, owner := range sortedOwners(c.byOwner) {
		for _, t := range sortedValues(c.byOwner[owner]) {
			if t.Class == declarer.ClassWatcher && !c.wanted[t.ID] || t.Class == declarer.ClassService && !c.declares(t.Owner) {
				c.end(t, "no longer declared in this domain")
			}
		}
	}
}

func (c *Core) declares(service string) bool {
	return slices.ContainsFunc(c.config.Services, func(s declarer.Service) bool { return s.Name == service })
}

// mayShrink reports whether the other domains run their replicas of a service,
// or the time to wait for them is over.
func (c *Core) mayShrink(now time.Time, s declarer.Service) bool {
	since := now.Sub(c.configAt)
	if !c.options.AwaitPeers {
		return since >= surplusGrace
	}
	if since >= drainDeadline {
		return true
	}
	for _, d := range c.config.DomainsIn() {
		r := c.peers[d]
		if d != c.options.Domain && (r.Revision < c.config.Revision || r.Replicas[s.Name] < c.config.ReplicasIn(s, d)) {
			return false
		}
	}
	return len(c.config.DomainsIn()) > 0
}

// mayWatch reports whether every other domain has said that it has no attempt
// of a watcher and, by its revision, that it will start none.
func (c *Core) mayWatch(name string) bool {
	if !c.options.AwaitPeers {
		return true
	}
	for _, d := range c.config.Domains {
		r := c.peers[d]
		if d != c.options.Domain && (r.Revision < c.config.Revision || slices.Contains(r.Watchers, name)) {
			return false
		}
	}
	return true
}

// reconcileAgain looks again at what an earlier pass has left.
func (c *Core) reconcileAgain(now time.Time) {
	if c.config != nil && c.unmatched && now.Sub(c.reconciled) >= reconcileEach {
		c.reconcile(now)
	}
}

// sendPeerReport tells the other domains what runs here, when that has changed
// or some domain waits for it, and now and then.
func (c *Core) sendPeerReport() {
	if c.config == nil || !c.options.AwaitPeers {
		return
	}
	r := c.peerReport()
	pause := quietInterval
	if r.Waiting || len(c.config.DomainsOut) > 0 {
		pause = busyInterval
	}
	last := c.lastReport
	changed := r.Revision != last.Revision || r.Waiting != last.Waiting || !maps.Equal(r.Replicas, last.Replicas) || !slices.Equal(r.Watchers, last.Watchers)
	if !changed && c.now.Sub(c.peersSent) < pause {
		return
	}
	c.peersSent, c.lastReport = c.now, r
	for _, d := range c.config.Domains {
		if d != c.options.Domain {
			c.command(Command{Peer: &SendPeerReport{d, r}})
		}
	}
}

func (c *Core) peerReport() PeerReport {
	r := PeerReport{Shard: c.options.Shard, Revision: c.config.Revision, Replicas: map[string]int{}, Waiting: c.unmatched}
	for _, s := range c.config.Services {
		for _, t := range c.byOwner[s.Name] {
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

// takePeerReport keeps what another shard runs, and answers one that waits.
func (c *Core) takePeerReport(r PeerReport) {
	c.peers[r.Shard] = r
	if r.Waiting && c.now.Sub(c.peersSent) >= reportInterval {
		c.peersSent = time.Time{}
	}
}
