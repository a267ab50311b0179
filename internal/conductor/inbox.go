package conductor

import (
	"context"
	"sync"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// inbox holds the state that other goroutines have set and that the control
// goroutine has not taken over yet. A later value replaces an earlier one, so setting
// never waits for the control goroutine and the inbox stays small however long that
// goroutine is held up. It is safe for concurrent use.
type inbox struct {
	// filled has an element while the inbox may hold anything.
	filled chan struct{}

	mu               sync.Mutex
	config           *planner.Config
	evacuatedDomains *[]string
	// discovery is the context of the ownership whose discovery has found the
	// workers below.
	discovery context.Context
	// workers holds the changes of the discovered workers by id, nil for an absent
	// worker.
	workers map[string]*planner.Worker
}

func newInbox() *inbox { return &inbox{filled: make(chan struct{}, 1)} }

// set calls change, which modifies the inbox, and wakes the control goroutine.
func (b *inbox) set(change func()) {
	b.mu.Lock()
	change()
	b.mu.Unlock()
	select {
	case b.filled <- struct{}{}:
	default:
	}
}

// addWorkers adds changes of the workers that the discovery of an ownership has
// found. Those of another ownership are dropped.
func (b *inbox) addWorkers(discovery context.Context, present []planner.Worker, absent []string) {
	b.set(func() {
		if discovery.Err() != nil {
			return
		}
		if b.discovery != discovery || b.workers == nil {
			b.discovery, b.workers = discovery, map[string]*planner.Worker{}
		}
		for _, w := range present {
			b.workers[w.ID] = &w
		}
		for _, id := range absent {
			b.workers[id] = nil
		}
	})
}

// applyInbox takes over what the inbox holds.
func (c *Conductor) applyInbox() {
	b := c.inbox
	b.mu.Lock()
	config, domains, workers, discovery := b.config, b.evacuatedDomains, b.workers, b.discovery
	b.config, b.evacuatedDomains, b.workers, b.discovery = nil, nil, nil, nil
	b.mu.Unlock()
	if config != nil {
		c.noteLoweredCaps(c.config.Organisations, config.Organisations)
		c.config, c.hasConfig = *config, true
		if c.planner != nil {
			c.planner.SetConfig(*config)
		}
	}
	if domains != nil {
		c.evacuatedDomains = *domains
		c.options.Log.Info().Strs("domains", *domains).Msg("conductor: domains taken out")
		if c.planner != nil {
			c.planner.SetEvacuatedDomains(*domains)
		}
	}
	// The workers may be those of an ownership that has ended since.
	if discovery == nil || discovery.Err() != nil {
		return
	}
	for id, w := range workers {
		if w == nil {
			delete(c.workers, id)
		} else {
			c.workers[id] = *w
		}
	}
	c.updatePlannerWorkers()
}
