package replayer

import (
	"net/netip"
	"slices"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// Moment is a critical moment of a restart.
type Moment string

// The critical moments of restarts.
const (
	// BackBeforeExpiry and BackAfterExpiry are whether the list still shows the
	// ended process when the next one starts.
	BackBeforeExpiry Moment = "back_before_expiry"
	BackAfterExpiry  Moment = "back_after_expiry"
	// RestartedAgain is the end of a process while the list still shows the one
	// before it.
	RestartedAgain Moment = "restarted_again"
	// ListedFirst and ListedLast are where the list shows an ended process, beside
	// the one that has its address.
	ListedFirst Moment = "listed_first"
	ListedLast  Moment = "listed_last"
	// WrittenLate is a late write that adds the entry of an ended process again.
	WrittenLate Moment = "written_late"
	// EndLost and FailureLost are ends, as done or failed, that were not
	// acknowledged when their process ended.
	EndLost     Moment = "end_lost"
	FailureLost Moment = "failure_lost"
	// CheckpointLeft is a run with a checkpoint that ends with its process, and
	// Resumed is a run that starts from a checkpoint on a process that follows
	// another.
	CheckpointLeft Moment = "checkpoint_left"
	Resumed        Moment = "resumed"
	// GangBroken is the end of a task of a gang with its process.
	GangBroken Moment = "gang_broken"
	// CopyLost is the end of a run of a speculative task with its process, and
	// Copied the start of a second run of one.
	CopyLost Moment = "copy_lost"
	Copied   Moment = "copied"
	// StartAtNextID and StartAtNextProcess are starts that reach the process that
	// follows the one that they were sent to, under another id or the same.
	StartAtNextID      Moment = "start_at_next_id"
	StartAtNextProcess Moment = "start_at_next_process"
	// PollAtNextProcess is a poll that takes effect late, on a process that follows
	// the one that it was sent to under the same id.
	PollAtNextProcess Moment = "poll_at_next_process"
	// OwnerWhileDown and OwnerWhileListed are changes of the owner while a process
	// is down, and while the list shows an ended one.
	OwnerWhileDown   Moment = "owner_while_down"
	OwnerWhileListed Moment = "owner_while_listed"
)

func (w *World) recordMoment(m Moment) { w.result.Moments[m]++ }

// isListedStale reports whether the list shows an ended process at an address.
func (w *World) isListedStale(address netip.AddrPort) bool {
	return slices.ContainsFunc(w.staleEntries, func(e staleEntry) bool { return e.Address == address && w.now.Before(e.until) })
}

// recordListing records the order in which the list shows ended processes and
// those that have their addresses.
func (w *World) recordListing(list []planner.Worker) {
	for i, a := range list {
		for _, b := range list[i+1:] {
			if a.Address != b.Address {
				continue
			}
			switch m := w.machineAt(a.Address); {
			case b.ID == m.ID && b.Born == m.Born:
				w.recordMoment(ListedFirst)
			case a.ID == m.ID && a.Born == m.Born:
				w.recordMoment(ListedLast)
			}
		}
	}
}

// recordLosses records what is lost with the process of a machine.
func (w *World) recordLosses(m *machine) {
	for _, e := range m.ends {
		switch {
		case e.Number <= m.voidedThrough:
		case e.Kind == planner.EndDone:
			w.recordMoment(EndLost)
		case e.Kind == planner.EndFailed:
			w.recordMoment(FailureLost)
		}
	}
	for _, e := range m.runs {
		if e.checkpointed > 0 {
			w.recordMoment(CheckpointLeft)
		}
		if e.step.Gang {
			w.recordMoment(GangBroken)
		}
		if e.step.Speculative {
			w.recordMoment(CopyLost)
		}
	}
}

// recordArrival records a start for the process known that reaches the process of
// m.
func (w *World) recordArrival(c planner.Command, known planner.Worker, m *machine) {
	switch {
	case c.Kind != planner.StartRun:
	case known.ID != m.ID:
		w.recordMoment(StartAtNextID)
	case known.Born != 0 && known.Born != m.Born:
		w.recordMoment(StartAtNextProcess)
	}
}

// recordTakeover records in which states of restarts an owner takes over.
func (w *World) recordTakeover() {
	for _, m := range w.machines {
		if m.isDown {
			w.recordMoment(OwnerWhileDown)
		}
		if w.isListedStale(m.Address) {
			w.recordMoment(OwnerWhileListed)
		}
	}
}
