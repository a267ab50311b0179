// Package sender decides which of an owner's orders to workers is sent next. It does no
// I/O and reads no clock.
//
// An owner may decide faster than its link carries: when a job ends, all of its runs
// are stopped at once, and calls without an answer are repeated. Orders therefore wait
// here in classes, only a bounded number is under way, and what has been overtaken
// before it was sent is dropped, so that a full link carries what still matters.
package sender

import (
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// Options bounds a Queue.
type Options struct {
	// PerWorker bounds the orders to one worker that are under way, and Total those to
	// all workers.
	PerWorker, Total int
	// MaxAge is how long an order may wait. A start that has waited for longer was
	// decided on facts that are too old.
	MaxAge time.Duration
}

// Order is a command that waits to be sent.
type Order struct {
	planner.Command
	QueuedAt time.Time
}

// classes lists the kinds of commands in the order in which they are sent: a stop frees
// capacity, and a run that is not paced yet costs less than one that is not started.
var classes = [...]planner.CommandKind{planner.StopRun, planner.StartRun, planner.PaceRun}

// Queue holds the orders that wait to be sent. It must be used by one goroutine at a
// time.
type Queue struct {
	options Options
	// waiting holds the orders of each kind in the order of their arrival.
	waiting map[planner.CommandKind][]Order
	// underWay counts the orders under way by worker, and total all of them.
	underWay map[string]int
	total    int
}

// New returns an empty queue.
func New(o Options) *Queue {
	return &Queue{options: o, waiting: map[planner.CommandKind][]Order{}, underWay: map[string]int{}}
}

// Add adds a command. It returns the start that the command overtakes, if there is one:
// a stop takes the place of a start that was not sent, and neither is sent then. A
// command that only repeats a waiting one is not added, and a pace replaces an earlier
// one of the run.
func (q *Queue) Add(now time.Time, c planner.Command) (overtaken planner.Command, isOvertaken bool) {
	if c.Kind == planner.StopRun {
		q.remove(planner.PaceRun, c)
		if start, ok := q.remove(planner.StartRun, c); ok {
			return start.Command, true
		}
	}
	list := q.waiting[c.Kind]
	if at := indexOf(list, c); at >= 0 {
		list[at].Command = c
		return planner.Command{}, false
	}
	q.waiting[c.Kind] = append(list, Order{c, now})
	return planner.Command{}, false
}

func indexOf(list []Order, c planner.Command) int {
	return slices.IndexFunc(list, func(o Order) bool { return o.Run == c.Run && o.WorkerID == c.WorkerID })
}

// remove removes the waiting order of a kind for the run of a command.
func (q *Queue) remove(kind planner.CommandKind, c planner.Command) (Order, bool) {
	list := q.waiting[kind]
	at := indexOf(list, c)
	if at < 0 {
		return Order{}, false
	}
	o := list[at]
	q.waiting[kind] = slices.Delete(list, at, at+1)
	return o, true
}

// Expire removes and returns the orders that have waited for too long.
func (q *Queue) Expire(now time.Time) []Order {
	var expired []Order
	for kind, list := range q.waiting {
		// The oldest orders come first.
		n := 0
		for n < len(list) && now.Sub(list[n].QueuedAt) > q.options.MaxAge {
			n++
		}
		expired = append(expired, list[:n]...)
		q.waiting[kind] = slices.Delete(list, 0, n)
	}
	return expired
}

// Next removes and returns the order to send next. It reports false if no order may be
// sent until another one is answered. The caller calls Done when the order is no longer
// under way.
func (q *Queue) Next() (Order, bool) {
	if q.total >= q.options.Total {
		return Order{}, false
	}
	for _, kind := range classes {
		list := q.waiting[kind]
		at := slices.IndexFunc(list, func(o Order) bool { return q.underWay[o.WorkerID] < q.options.PerWorker })
		if at < 0 {
			continue
		}
		o := list[at]
		q.waiting[kind] = slices.Delete(list, at, at+1)
		q.underWay[o.WorkerID]++
		q.total++
		return o, true
	}
	return Order{}, false
}

// Done records that an order to a worker is no longer under way.
func (q *Queue) Done(workerID string) {
	q.total--
	if q.underWay[workerID]--; q.underWay[workerID] <= 0 {
		delete(q.underWay, workerID)
	}
}

// Starts returns the number of starts that wait.
func (q *Queue) Starts() int { return len(q.waiting[planner.StartRun]) }
