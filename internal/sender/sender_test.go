package sender_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/sender"
)

var origin = time.Unix(1_000_000, 0)

func order(kind planner.CommandKind, worker string, index int) planner.Command {
	return planner.Command{Kind: kind, WorkerID: worker, Run: planner.RunID{TaskID: planner.TaskID{Job: "job", Index: index}, Attempt: 1}}
}

func newQueue() *sender.Queue {
	return sender.New(sender.Options{PerWorker: 2, Total: 4, MaxAge: time.Second})
}

// drain returns what is sent until an order must be answered first.
func drain(q *sender.Queue) []string {
	var sent []string
	for o, ok := q.Next(); ok; o, ok = q.Next() {
		sent = append(sent, fmt.Sprint([...]string{"start", "stop", "pace"}[o.Kind], " ", o.Run.Index, " ", o.WorkerID))
	}
	return sent
}

// TestOrder guards against stops that wait behind starts or paces, and against a worker
// that holds up the orders to others.
func TestOrder(t *testing.T) {
	const start, stop, pace = planner.StartRun, planner.StopRun, planner.PaceRun
	for name, tt := range map[string]struct {
		commands []planner.Command
		want     []string
		// overtaken are the indexes of the runs whose starts are overtaken.
		overtaken []int
	}{
		"by class":              {[]planner.Command{order(pace, "a", 1), order(start, "b", 2), order(stop, "c", 3)}, []string{"stop 3 c", "start 2 b", "pace 1 a"}, nil},
		"a slow worker":         {[]planner.Command{order(start, "a", 1), order(start, "a", 2), order(start, "a", 3), order(start, "b", 4)}, []string{"start 1 a", "start 2 a", "start 4 b"}, nil},
		"all under way":         {[]planner.Command{order(stop, "a", 1), order(stop, "b", 2), order(stop, "c", 3), order(stop, "d", 4), order(stop, "e", 5)}, []string{"stop 1 a", "stop 2 b", "stop 3 c", "stop 4 d"}, nil},
		"stop overtakes start":  {[]planner.Command{order(start, "a", 1), order(pace, "a", 1), order(stop, "a", 1)}, nil, []int{1}},
		"start elsewhere stays": {[]planner.Command{order(start, "b", 1), order(stop, "a", 1)}, []string{"stop 1 a", "start 1 b"}, nil},
		"repeated stop":         {[]planner.Command{order(stop, "a", 1), order(stop, "a", 1)}, []string{"stop 1 a"}, nil},
		"newer pace":            {[]planner.Command{order(pace, "a", 1), order(pace, "a", 2), order(pace, "a", 1)}, []string{"pace 1 a", "pace 2 a"}, nil},
		"stop removes pace":     {[]planner.Command{order(pace, "a", 1), order(stop, "a", 1)}, []string{"stop 1 a"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			q := newQueue()
			var overtaken []int
			for _, o := range tt.commands {
				if start, ok := q.Add(origin, o); ok {
					overtaken = append(overtaken, start.Run.Index)
				}
			}
			c.Assert(drain(q), quicktest.DeepEquals, tt.want)
			c.Assert(overtaken, quicktest.DeepEquals, tt.overtaken)
		})
	}
}

// TestNewerPaceIsSent guards against a pace that is sent although the planner has
// decided another one while it waited.
func TestNewerPaceIsSent(t *testing.T) {
	c := quicktest.New(t)
	q := newQueue()
	for _, percent := range []int{20, 60} {
		o := order(planner.PaceRun, "a", 1)
		o.Percent = percent
		q.Add(origin, o)
	}
	o, _ := q.Next()
	c.Assert(o.Percent, quicktest.Equals, 60)
}

// TestOldOrdersExpire guards against orders that are sent long after their decision, and
// TestOrder's limits against orders that are never sent once others were answered.
func TestOldOrdersExpire(t *testing.T) {
	c := quicktest.New(t)
	q := newQueue()
	for n := range 6 {
		q.Add(origin.Add(time.Duration(n)*300*time.Millisecond), order(planner.StartRun, "a", n))
	}
	c.Assert(drain(q), quicktest.HasLen, 2)
	var expired []int
	for _, o := range q.Expire(origin.Add(2 * time.Second)) {
		expired = append(expired, o.Run.Index)
	}
	c.Assert(expired, quicktest.DeepEquals, []int{2, 3})
	q.Done("a")
	q.Done("a")
	c.Assert(drain(q), quicktest.DeepEquals, []string{"start 4 a", "start 5 a"})
	c.Assert(q.Starts(), quicktest.Equals, 0)
}
