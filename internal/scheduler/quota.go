package scheduler

import (
	"fmt"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// indexTeams indexes the teams of a new configuration and splits their quotas
// equally among the domains in service.
func (c *Core) indexTeams() {
	parts := int64(len(c.config.DomainsIn()))
	c.teamWeights, c.quotaShares = map[string]int{}, map[string]declarer.Resources{}
	for _, t := range c.config.Teams {
		c.teamWeights[t.Name] = max(t.Weight, 1)
		if t.Quota != (declarer.Resources{}) && parts > 0 {
			c.quotaShares[t.Name] = declarer.Resources{MilliCPU: t.Quota.MilliCPU / parts, MemoryMB: t.Quota.MemoryMB / parts, Accelerators: t.Quota.Accelerators / parts}
		}
	}
}

// Allowance returns the part of a team's quota that this domain may use, and
// false if the team has no quota. By default, the domains in service have equal
// parts.
func (c *Core) Allowance(name string) (declarer.Resources, bool) {
	if a, ok := c.allowances[name]; ok {
		return a, true
	}
	a, ok := c.quotaShares[name]
	return a, ok
}

func (c *Core) setAllowance(e AllowanceGiven) {
	was, given := c.allowances[e.Team]
	if (e.Reset && !given) || (!e.Reset && given && was == e.Amount) {
		return
	}
	c.record(Change{AllowanceSet: &AllowanceSet{e.Team, e.Amount, e.Reset}})
	c.queue.needsPass = true
}

// isWithinAllowance reports whether a team's allowance permits the declared
// size of a task. Services and watchers count towards the allowance but are
// never refused because of it, since operators decide how many of them run.
func (c *Core) isWithinAllowance(t *Task) bool {
	a, limited := c.Allowance(t.Team)
	if !limited || t.Class != declarer.ClassBatch {
		return true
	}
	after := c.usage.teams[t.Team].Add(t.Declared)
	return after.MilliCPU <= a.MilliCPU && after.MemoryMB <= a.MemoryMB && (after.Accelerators <= a.Accelerators || t.Declared.Accelerators == 0)
}

// dominantShare returns a team's dominant share of the domain divided by the
// team's weight.
func (c *Core) dominantShare(team string) float64 {
	return c.usage.teams[team].DominantShare(c.view.total) / float64(max(c.teamWeights[team], 1))
}

// refusalReason returns why a task may not start now even if a worker has
// capacity for it, or "".
func (c *Core) refusalReason(t *Task) string {
	if t.Class != declarer.ClassBatch {
		return ""
	}
	if !c.isWithinAllowance(t) {
		a, _ := c.Allowance(t.Team)
		u := c.usage.teams[t.Team]
		return fmt.Sprintf("team %s has reserved milli_cpu %d, memory_mb %d of its allowance of %d, %d in this domain", t.Team, u.MilliCPU, u.MemoryMB, a.MilliCPU, a.MemoryMB)
	}
	if t.Urgent || c.usage.batchMilliCPU == 0 {
		return ""
	}
	p := placer.ParametersOf(c.config.Preset)
	total := float64(c.view.milliCPU)
	if after := float64(c.usage.batchMilliCPU + t.Declared.MilliCPU); after > p.BatchShare*total {
		return fmt.Sprintf("batch tasks would reserve %.0f milli_cpu, more than their share of %.0f%% of %.0f", after, 100*p.BatchShare, total)
	}
	if after := float64(c.usage.allMilliCPU + t.Declared.MilliCPU); after > (1-p.Headroom)*total {
		return fmt.Sprintf("%.0f milli_cpu would be reserved, which leaves less than the headroom of %.0f%% of %.0f", after, 100*p.Headroom, total)
	}
	return ""
}
