package scheduler

import (
	"cmp"
	"slices"
	"time"

	"tarragonhead.example/tarragonhead/internal/declarer"
)

// entry is pending work: one task, or all unstarted tasks of a job.
type entry struct {
	job  *Job
	task *Task
}

func (e entry) id() string {
	if e.task != nil {
		return string(e.task.ID)
	}
	return e.job.Job.ID
}

// head returns the task of the entry to place next.
func (e entry) head() Task {
	if e.task != nil {
		return *e.task
	}
	return e.job.task(e.job.Unstarted[0].First)
}

func (e entry) sortKeys() (deadline, submitted time.Time, class declarer.Class) {
	if e.task != nil {
		return e.task.Deadline, e.task.Submitted, e.task.Class
	}
	if e.job.Job.Deadline > 0 {
		deadline = e.job.Submitted.Add(e.job.Job.Deadline)
	}
	return deadline, e.job.Submitted, declarer.ClassBatch
}

var classOrder = map[declarer.Class]int{declarer.ClassService: 0, declarer.ClassWatcher: 1, declarer.ClassBatch: 2}

// compareUrgency orders entries by class, deadline (no deadline is last), time
// of submission and id.
func compareUrgency(a, b entry) int {
	deadlineA, submittedA, classA := a.sortKeys()
	deadlineB, submittedB, classB := b.sortKeys()
	if n := cmp.Compare(classOrder[classA], classOrder[classB]); n != 0 {
		return n
	}
	if n := compareDeadlines(deadlineA, deadlineB); n != 0 {
		return n
	}
	if n := submittedA.Compare(submittedB); n != 0 {
		return n
	}
	return cmp.Compare(a.id(), b.id())
}

func compareDeadlines(a, b time.Time) int {
	switch {
	case a.Equal(b):
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

func compareDelay(a, b entry) int {
	if n := a.task.NotBefore.Compare(b.task.NotBefore); n != 0 {
		return n
	}
	return cmp.Compare(a.id(), b.id())
}

// lane is a sorted list of entries. The fields that determine the order of an
// entry don't change while it is in a lane.
type lane struct {
	entries []entry
	compare func(a, b entry) int
}

func (l *lane) add(e entry) {
	at, found := slices.BinarySearchFunc(l.entries, e, l.compare)
	if !found {
		l.entries = slices.Insert(l.entries, at, e)
	}
}

func (l *lane) remove(e entry) bool {
	at, found := slices.BinarySearchFunc(l.entries, e, l.compare)
	if found {
		l.entries = slices.Delete(l.entries, at, at+1)
	}
	return found
}

// queue has the pending work in order of urgency.
type queue struct {
	// longRunning has the tasks of services and watchers.
	longRunning lane
	urgent      map[string]*lane
	ordinary    map[string]*lane
	// delayed has the tasks that must not start before a given time.
	delayed lane
	// queuedJobs has the ids of the jobs with an entry.
	queuedJobs map[string]bool
	// needsPass is set when a placement that failed before may now succeed.
	needsPass bool
}

func newQueue() queue {
	return queue{
		longRunning: lane{compare: compareUrgency}, delayed: lane{compare: compareDelay},
		urgent: map[string]*lane{}, ordinary: map[string]*lane{}, queuedJobs: map[string]bool{},
	}
}

func (q *queue) lane(e entry) *lane {
	class, team, urgent := declarer.ClassBatch, "", false
	if e.task != nil {
		class, team, urgent = e.task.Class, e.task.Team, e.task.Urgent
	} else {
		team, urgent = e.job.Job.Team, e.job.Job.Urgent
	}
	if class != declarer.ClassBatch {
		return &q.longRunning
	}
	lanes := q.ordinary
	if urgent {
		lanes = q.urgent
	}
	l := lanes[team]
	if l == nil {
		l = &lane{compare: compareUrgency}
		lanes[team] = l
	}
	return l
}

// addTask adds a pending task to the queue.
func (q *queue) addTask(t *Task) {
	e := entry{task: t}
	if !t.NotBefore.IsZero() {
		q.delayed.add(e)
		return
	}
	q.lane(e).add(e)
	q.needsPass = true
}

func (q *queue) removeTask(t *Task) {
	e := entry{task: t}
	if !q.lane(e).remove(e) {
		q.delayed.remove(e)
	}
	q.dropEmptyLanes(t.Team)
}

// dropEmptyLanes removes the empty lanes of a team, so that the cost of a pass
// depends only on the teams with queued work.
func (q *queue) dropEmptyLanes(team string) {
	for _, lanes := range [...]map[string]*lane{q.urgent, q.ordinary} {
		if l := lanes[team]; l != nil && len(l.entries) == 0 {
			delete(lanes, team)
		}
	}
}

// enqueueDue moves the delayed tasks that are due to their lanes.
func (q *queue) enqueueDue(now time.Time) {
	n := 0
	for n < len(q.delayed.entries) && !q.delayed.entries[n].task.NotBefore.After(now) {
		e := q.delayed.entries[n]
		q.lane(e).add(e)
		n++
	}
	if n > 0 {
		q.delayed.entries = slices.Delete(q.delayed.entries, 0, n)
		q.needsPass = true
	}
}

// updateJob adds a job to the queue or removes it. A job is queued if and only
// if it has unstarted tasks and is neither parked nor ended.
func (q *queue) updateJob(j *Job) {
	shouldBeQueued := len(j.Unstarted) > 0 && j.Parked == "" && !j.Ended
	if shouldBeQueued == q.queuedJobs[j.Job.ID] {
		return
	}
	e := entry{job: j}
	if shouldBeQueued {
		q.queuedJobs[j.Job.ID] = true
		q.lane(e).add(e)
		q.needsPass = true
		return
	}
	delete(q.queuedJobs, j.Job.ID)
	q.lane(e).remove(e)
	q.dropEmptyLanes(j.Job.Team)
}
