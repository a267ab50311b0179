package emulator

import (
	"net/netip"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/standins/worker"
)

// Move starts a new process of a worker at another address, without any state,
// and lists that address instead of the old one. The old process continues to
// run, unlisted, until its leases expire.
func (s *System) Move(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, name := range s.workerIDs {
		if name != id || s.retired[addr] {
			continue
		}
		s.retired[addr] = true
		old := s.workers[addr]
		moved := netip.AddrPortFrom(addr.Addr(), addr.Port()+1)
		s.workers[moved] = worker.New(worker.Options{ID: id, Domain: old.Domain(), Capacity: s.options.Capacity, TimeScale: 1, StartRunner: startRunner})
		s.workerIDs[moved] = id
		return
	}
}

// Restart ends the process of a worker and starts one without any state at its
// address, under the id newID.
func (s *System) Restart(id, newID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, name := range s.workerIDs {
		if name != id || s.retired[addr] {
			continue
		}
		old := s.workers[addr]
		old.Kill()
		s.killed = append(s.killed, s.recordsOf(addr)...)
		s.workers[addr] = worker.New(worker.Options{ID: newID, Domain: old.Domain(), Capacity: s.options.Capacity, TimeScale: 1, UsageLag: 2 * time.Second, StartRunner: startRunner})
		s.workerIDs[addr] = newID
		return
	}
}

// recordsOf returns the records of the process at an address, with an id of the
// process as the worker. The caller holds s.mu.
func (s *System) recordsOf(addr netip.AddrPort) []worker.Attempt {
	w := s.workers[addr]
	records := w.Recorded()
	for i := range records {
		records[i].Worker = w.Process().Incarnation
	}
	return records
}

// Records returns the records of all processes of workers, with an id of the
// process as the worker.
func (s *System) Records() []worker.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := slices.Clone(s.killed)
	for addr := range s.workers {
		records = append(records, s.recordsOf(addr)...)
	}
	return records
}
