package scheduler

import (
	"fmt"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

// takeTeams indexes the teams of a new configuration and splits their quotas
// over the domains in service in equal parts.
func (c *Core) takeTeams() {
	parts := int64(len(c.config.DomainsIn()))
	c.weights, c.parts = map[string]int{}, map[string]declarer.Resources{}
	for _, t := range c.config.Teams {
		c.weights[t.Name] = max(t.Weight, 1)
		if t.Quota != (declarer.Resources{}) && parts > 0 {
			c.parts[t.Name] = declarer.Resources{MilliCPU: t.Quota.MilliCPU / parts, MemoryMB: t.Quota.MemoryMB / parts, Accelerators: t.Quota.Accelerators / parts}
		}
	}
}

// Allowance returns the part of a team's quota that this domain may spend, and
// false if the team has no quota. Unless a part has been given, the domains in
// service have equal parts.
func (c *Core) Allowance(name string) (declarer.Resources, bool) {
	if a, ok := c.allowances[name]; ok {
		return a, true
	}
	a, ok := c.parts[name]
	return a, ok
}

func (c *Core) keepAllowance(e AllowanceGiven) {
	was, given := c.allowances[e.Team]
	if (e.Reset && !given) || (!e.Reset && given && was == e.Amount) {
		return
	}
	c.record(Change{AllowanceSet: &AllowanceSet{e.Team, e.Amount, e.Reset}})
	c.queue.changed = true
}

// allowed reports whether a team may reserve a task's declared size. Services
// and watchers count towards the allowance and are never refused for it: their
// number is the operators' own.
func (c *Core) allowed(t *Task) bool {
	a, limited := c.Allowance(t.Team)
	if !limited || t.Class != declarer.ClassBatch {
		return true
	}
	after := c.usage.teams[t.Team].Add(t.Declared)
	return after.MilliCPU <= a.MilliCPU && after.MemoryMB <= a.MemoryMB && (after.Accelerators <= a.Accelerators || t.Declared.Accelerators == 0)
}

// share returns a team's dominant share of the domain by weight.
func (c *Core) share(team string) float64 {
	return c.usage.teams[team].DominantShare(c.view.total) / float64(max(c.weights[team], 1))
}

// refusal returns why a task may not start now whatever room there is, or "".
func (c *Core) refusal(t *Task) string {
	if t.Class != declarer.ClassBatch {
		return ""
	}
	if !c.allowed(t) {
		a, _ := c.Allowance(t.Team)
		u := c.usage.teams[t.Team]
		return fmt.Sprintf("team %s has reserved milli_cpu %d, memory_mb %d of its allowance of %d, %d in this domain", t.Team, u.MilliCPU, u.MemoryMB, a.MilliCPU, a.MemoryMB)
	}
	if t.Urgent || c.usage.batchCPU == 0 {
		return ""
	}
	p := placer.ParametersOf(c.config.Preset)
	total := float64(c.view.milliCPU)
	if after := float64(c.usage.batchCPU + t.Declared.MilliCPU); after > p.BatchShare*total {
		return fmt.Sprintf("batch would reserve %.0f milli_cpu, over its share of %.0f%% of %.0f", after, 100*p.BatchShare, total)
	}
	if after := float64(c.usage.allMilliCPU + t.Declared.MilliCPU); after > (1-p.Headroom)*total {
		return fmt.Sprintf("%.0f milli_cpu would be reserved, which leaves less than the headroom of %.0f%% of %.0f", after, 100*p.Headroom, total)
	}
	return ""
}
