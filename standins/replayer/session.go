package replayer

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// pollRetryDelay is the delay between polls of an address at which no process
// listens.
const pollRetryDelay = 200 * time.Millisecond

// session is the state of an owner's calls to one process. It corresponds to the
// session of the conductor.
type session struct {
	// born is the start time of the process.
	born int64
	// isPolling is set while a poll is unanswered.
	isPolling  bool
	nextPollAt time.Time
	// clockStart is when the process's clock started, as known from its last
	// answer; zero before the first one.
	clockStart time.Time
	// isStale is set when the owner has learned that the process has ended. Late
	// answers are then ignored.
	isStale bool
}

// session returns the session with a worker. It creates one if there is none.
func (o *owner) session(known planner.Worker) *session {
	s := o.sessions[known.ID]
	if s == nil {
		s = &session{born: known.Born}
		o.sessions[known.ID] = s
	}
	return s
}

func (o *owner) endSession(id string, s *session) {
	s.isStale = true
	if o.sessions[id] == s {
		delete(o.sessions, id)
	}
}

// endUnusedSessions ends the sessions with processes that the planner no longer
// knows.
func (o *owner) endUnusedSessions() {
	for id, s := range o.sessions {
		if known, ok := o.planner.Worker(id); !ok || s.born != 0 && known.Born != s.born {
			o.endSession(id, s)
		}
	}
}

// handleOtherProcess handles the answer of a process with another id.
func (o *owner) handleOtherProcess(id string, s *session) {
	if o.isRemoved() || s.isStale {
		return
	}
	o.endSession(id, s)
	o.planner.OtherProcessAnswered(id)
}

// handlePollAnswer handles the answer to a poll, which a new process with the
// worker's id may have given.
func (o *owner) handlePollAnswer(m *machine, s *session, r planner.PollResult) {
	w := o.world
	if o.isRemoved() || s.isStale {
		return
	}
	s.isPolling = false
	o.planner.Answered(w.now, m.ID)
	if s.born != 0 && s.born != m.Born {
		o.endSession(m.ID, s)
		s = o.session(m.Worker)
		o.planner.Leased(m.ID, w.leaseEnd())
	}
	s.clockStart = m.clockStart
	o.recordCheckpoints(r)
	o.planner.PollAnswered(w.now, m.ID, r)
}

// recordCheckpoints records the checkpoints that a worker lists.
func (o *owner) recordCheckpoints(r planner.PollResult) {
	for _, s := range r.Running {
		if s.Checkpoint != "" {
			o.checkpoints[s.Run.TaskID] = s.Checkpoint
		}
	}
}

// lease is the end of a lease, on the clock that started at clockStart; zero for
// no lease.
type lease struct{ end, clockStart time.Time }

// grant returns the longest lease on the clock of the session's process. Before
// the first answer of that process, the clock is taken to be that of m.
func (s *session) grant(w *World, m *machine, isGranted bool) lease {
	switch {
	case !isGranted:
		return lease{}
	case s.clockStart.IsZero():
		return lease{w.now.Add(maxLease), m.clockStart}
	default:
		return lease{w.now.Add(maxLease), s.clockStart}
	}
}

// endOn returns when the lease ends on machine m, whose clock may have started
// later than the one that the lease is for. A machine shortens a lease that is
// too long.
func (l lease) endOn(w *World, m *machine) time.Time {
	if l.end.IsZero() {
		return l.end
	}
	end := l.end.Add(m.clockStart.Sub(l.clockStart))
	if longest := w.now.Add(maxLease); end.After(longest) {
		return longest
	}
	return end
}
