package planner

import (
	"fmt"
	"time"
)

const (
	// silentAge is the age from which a start without an answer counts as a sign that a
	// failure domain is cut off. Answers take far less on an idle link.
	silentAge = 100 * time.Millisecond
	// silentWorkers is the number of workers with such a start from which a domain counts as
	// silent, if none there has answered any call since.
	silentWorkers = 3
)

// updateSilentDomains determines the failure domains in which no worker answers. Nothing
// starts there until one does: each start that is sent into a cut keeps its task from running
// elsewhere for as long as it may be carried out. Workers that leave single starts unanswered
// answer other calls meanwhile, and so do others in their domain.
func (p *Planner) updateSilentDomains(now time.Time) {
	before := p.silentDomains
	p.silentDomains = map[string]bool{}
	count := map[string]int{}
	for _, w := range p.sortedWorkers {
		for _, r := range w.runsInOrder {
			if r.isStarting() && r.isSent && now.Sub(r.startedAt) > silentAge && r.startedAt.After(p.answeredDomains[w.Domain]) {
				count[w.Domain]++
				break
			}
		}
	}
	for domain, n := range count {
		if n < silentWorkers {
			continue
		}
		p.silentDomains[domain] = true
		if !before[domain] {
			p.report("domain_silent", fmt.Sprintf("%s: %d workers have not answered a start, and no worker any call since", domain, n))
		}
	}
	for domain := range before {
		if !p.silentDomains[domain] {
			p.report("domain_answers", domain)
		}
	}
}
