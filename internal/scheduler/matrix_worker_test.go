package scheduler

import (
	"fmt"
	"time"

	"tarragonhead.example/tarragonhead/internal/interpreter"
)

const suspectID = "east-0"

func (w *world) suspectIn(s interpreter.State) func() bool {
	return func() bool { x := w.east().core.workers[suspectID]; return x != nil && x.State == s }
}

// failJobs submits n more jobs whose tasks fail on the first worker and
// complete elsewhere.
func failJobs(w *world, n int) {
	w.setSlow(false)
	x := w.east().workers[suspectID]
	x.failAll = true
	for range n {
		w.submit(fmt.Sprintf("f%d", len(w.east().core.jobs)), 1)
		w.run(3 * time.Second)
	}
}

func quarantineWorker(w *world) {
	failJobs(w, workerQuarantineThreshold)
	w.until(w.suspectIn(Quarantined), 10*time.Second)
}

func probeWorker(w *world) {
	quarantineWorker(w)
	w.until(w.suspectIn(Probing), time.Minute)
}

func leaveWorker(w *world) {
	w.east().step(Event{WorkerLeaving: &WorkerLeaving{suspectID}})
}

func loseSuspect(w *world) {
	w.east().workers[suspectID].unreachable = true
	w.until(w.suspectIn(Lost), 20*time.Second)
}

var reachWorkerState = map[interpreter.State]func(*world){
	Live:        func(w *world) { w.run(time.Second) },
	Suspect:     func(w *world) { failJobs(w, workerSuspectThreshold) },
	Quarantined: quarantineWorker,
	Probing:     probeWorker,
	Leaving:     func(w *world) { leaveWorker(w); w.advance(step) },
	Lost:        loseSuspect,
}

var triggerWorkerEvent = map[string]func(*world){
	"suspect":    func(w *world) { failJobs(w, workerSuspectThreshold) },
	"leave":      leaveWorker,
	"stay":       func(w *world) { w.east().step(Event{WorkerStaying: &WorkerStaying{suspectID}}) },
	"lose":       loseSuspect,
	"clear":      func(w *world) { w.clearFaults(); w.submit("c", 2); w.run(6 * time.Second) },
	"quarantine": func(w *world) { failJobs(w, 1); w.run(3 * time.Second) },
	"probe":      func(w *world) { w.until(w.suspectIn(Probing), time.Minute) },
	"return":     func(w *world) { w.clearFaults(); w.run(3 * time.Second) },
	"forget":     func(w *world) { w.runCoarse(lostWorkerRetention + 2*time.Minute) },
}

func workerTransitions() []transition {
	var list []transition
	for _, e := range charts.Worker.Transitions() {
		list = append(list, transition{
			name: "worker " + string(e.From) + " " + string(e.Event), workers: 5,
			reach: reachWorkerState[e.From], trigger: triggerWorkerEvent[string(e.Event)],
		})
	}
	return list
}
