package overloader

import (
	"context"
	"sync"
	"time"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
)

// pollStep is how often a worker that waits for an end looks for one.
const pollStep = 20 * time.Millisecond

// worker runs each task for the same time.
type worker struct {
	taskTime  time.Duration
	startedAt time.Time

	mu   sync.Mutex
	runs map[planner.RunID]time.Time
	ends []planner.RunEnd
	// lastEnd is the number of the last end.
	lastEnd uint64
	// barred has the highest attempt of each task that ended or was stopped here.
	barred map[planner.TaskID]int
}

func newWorker(taskTime time.Duration) *worker {
	return &worker{taskTime: taskTime, startedAt: time.Now(), runs: map[planner.RunID]time.Time{}, barred: map[planner.TaskID]int{}}
}

func (w *worker) start(id planner.RunID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.barred[id.TaskID] >= id.Attempt {
		return &conductor.RefusedError{Reason: "old"}
	}
	if _, ok := w.runs[id]; !ok {
		w.runs[id] = time.Now()
	}
	return nil
}

func (w *worker) stop(id planner.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(id, planner.EndStopped)
}

// end ends a run, if it is there, and bars it.
func (w *worker) end(id planner.RunID, kind planner.EndKind) {
	w.barred[id.TaskID] = max(w.barred[id.TaskID], id.Attempt)
	if _, ok := w.runs[id]; ok {
		delete(w.runs, id)
		w.lastEnd++
		w.ends = append(w.ends, planner.RunEnd{Number: w.lastEnd, Run: id, Kind: kind})
	}
}

// list answers a poll, and reports whether it lists an end.
func (w *worker) list(acknowledged uint64) (conductor.PollAnswer, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.ends) > 0 && w.ends[0].Number <= acknowledged {
		w.ends = w.ends[1:]
	}
	for id, began := range w.runs {
		if time.Since(began) >= w.taskTime {
			w.end(id, planner.EndDone)
		}
	}
	a := conductor.PollAnswer{Clock: time.Since(w.startedAt) + time.Millisecond}
	for id := range w.runs {
		a.Running = append(a.Running, planner.RunStatus{Run: id, Percent: 50})
	}
	a.Ended = append(a.Ended, w.ends...)
	return a, len(a.Ended) > 0
}

func (w *worker) ended() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.lastEnd)
}

// callWorkers returns the calls to workers, by id, over the link.
func (l *link) callWorkers(all map[string]*worker) conductor.WorkerCalls {
	order := func(ctx context.Context, bytes int, execute func() error) error {
		err, lost := call(ctx, l, bytes, func() (error, int) { return execute(), answerBytes })
		if lost != nil {
			return lost
		}
		return err
	}
	return conductor.WorkerCalls{
		Start: func(ctx context.Context, w planner.Worker, o conductor.StartOrder) error {
			return order(ctx, requestBytes+len(o.Payload), func() error { return all[w.ID].start(o.Run) })
		},
		Stop: func(ctx context.Context, w planner.Worker, o conductor.StopOrder) error {
			return order(ctx, requestBytes, func() error {
				all[w.ID].stop(o.Run)
				return nil
			})
		},
		Pace: func(ctx context.Context, _ planner.Worker, _ conductor.PaceOrder) error {
			return order(ctx, requestBytes, func() error { return nil })
		},
		Poll: func(ctx context.Context, w planner.Worker, o conductor.PollOrder) (conductor.PollAnswer, error) {
			return call(ctx, l, requestBytes, func() (conductor.PollAnswer, int) {
				for end := time.Now().Add(o.Wait); ; time.Sleep(pollStep) {
					list, hasEnd := all[w.ID].list(o.Acknowledge)
					if hasEnd || !time.Now().Before(end) {
						return list, answerBytes + rowBytes*(len(list.Running)+len(list.Ended))
					}
				}
			})
		},
	}
}
