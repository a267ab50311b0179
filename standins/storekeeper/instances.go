package storekeeper

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/dispatcher"
)

// instanceTTL is how long an instance stays listed after it last registered.
const instanceTTL = 15 * time.Second

// instanceHistory is the history of one instance, as far back as the lagging list
// needs it.
type instanceHistory struct {
	// states are the states that the instance has had, oldest first.
	states []instanceState
	// registeredAt is when the instance last registered.
	registeredAt time.Time
	// leaving is set by SetLeaving. It marks the instance as leaving, whatever the
	// instance registers.
	leaving bool
}

type instanceState struct {
	since    time.Time
	instance dispatcher.Instance
}

// Register adds an instance to the list or renews its entry.
func (s *Store) Register(in dispatcher.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.instances[in.ID]
	if h == nil {
		h = &instanceHistory{}
		s.instances[in.ID] = h
	}
	h.registeredAt = time.Now()
	in.Leaving = in.Leaving || h.leaving
	h.add(in)
}

// add appends a state, unless it equals the last one.
func (h *instanceHistory) add(in dispatcher.Instance) {
	if n := len(h.states); n > 0 && h.states[n-1].instance == in {
		return
	}
	h.states = append(h.states, instanceState{time.Now(), in})
}

// SetLeaving marks a listed instance as leaving, or removes the mark.
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

// Instances returns the list as it was listLag ago.
func (s *Store) Instances() []dispatcher.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []dispatcher.Instance{}
	at := time.Now().Add(-s.listLag)
	for id, h := range s.instances {
		if at.Sub(h.registeredAt) > instanceTTL {
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
