package replayer

import (
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// gangWait is how long a task of a gang waits for the others.
const gangWait = 3 * time.Second

// gangID identifies the runs of a gang that work together.
type gangID struct {
	job                       string
	occurrence, step, attempt int
}

func gangOf(r planner.RunID) gangID {
	return gangID{r.Job, r.Occurrence, r.Step, r.Attempt}
}

// member is a run of a gang and the machine that has it.
type member struct {
	*execution
	machine *machine
}

// joinGang adds a run to its gang. All tasks of a gang resume from the same
// checkpoint.
func (w *World) joinGang(m *machine, e *execution) {
	id := gangOf(e.run)
	for _, o := range w.gangs[id] {
		if o.resumed != e.resumed {
			w.recordViolation("checkpoint", "%s starts from %q and %s from %q", e.run, e.resumed, o.run, o.resumed)
		}
	}
	w.gangs[id] = append(w.gangs[id], member{e, m})
}

// isGangComplete reports whether all tasks of the gang of e are present.
func (w *World) isGangComplete(e *execution) bool { return len(w.gangs[gangOf(e.run)]) >= e.step.Count }

// isGangFinished reports whether all tasks of the gang of e have done their work.
func (w *World) isGangFinished(e *execution) bool {
	for _, o := range w.gangs[gangOf(e.run)] {
		if o.done < o.work {
			return false
		}
	}
	return true
}

// endGang ends the other runs of the gang of e, which has ended. They are done
// together, and any other end breaks them.
func (w *World) endGang(e *execution, kind planner.EndKind) {
	id := gangOf(e.run)
	members := w.gangs[id]
	delete(w.gangs, id)
	if kind != planner.EndDone {
		kind = planner.EndBroken
	}
	for _, o := range members {
		if o.execution != e && o.machine.runs[o.run] == o.execution {
			o.machine.end(w, o.execution, kind)
		}
	}
}
