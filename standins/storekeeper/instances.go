package storekeeper

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
)

// instanceTTL is how long an instance stays listed without registering again.
const instanceTTL = 15 * time.Second

// history is what became of one instance, oldest first, as far as a lagging
// list needs it.
type history struct {
	states []instanceState
	// seen is when the instance last registered.
	seen time.Time
	// leaving is set by the platform, whatever the instance registers.
	leaving bool
}

type instanceState struct {
	since    time.Time
	instance dispatcher.Instance
}

// Register lists an instance, or keeps it listed.
func (s *Store) Register(in dispatcher.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.instances[in.ID]
	if h == nil {
		h = &history{}
		s.instances[in.ID] = h
	}
	h.seen = time.Now()
	in.Leaving = in.Leaving || h.leaving
	h.add(in)
}

func (h *history) add(in dispatcher.Instance) {
	if n := len(h.states); n > 0 && h.states[n-1].instance == in {
		return
	}
	h.states = append(h.states, instanceState{time.Now(), in})
}

// SetLeaving marks a listed instance as leaving, or as staying again.
func (s *Store) SetLeaving(id string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.instances[id]
	if h == nil {
		return
	}
	h.leaving = leaving
	in := h.states[len(h.states)-1].instance
	in.Leaving = leaving
	h.add(in)
}

// Instances returns the list as it was one lag ago.
func (s *Store) Instances() []dispatcher.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []dispatcher.Instance{}
	at := time.Now().Add(-s.listLag)
	for id, h := range s.instances {
		if at.Sub(h.seen) > instanceTTL {
			delete(s.instances, id)
			continue
		}
		for i := len(h.states) - 1; i >= 0; i-- {
			if !h.states[i].since.After(at) {
				list = append(list, h.states[i].instance)
				h.states = h.states[i:]
				break
			}
		}
	}
	return list
}
