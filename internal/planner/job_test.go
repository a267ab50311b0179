package planner_test

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestAmountsOfJob guards against jobs whose amounts overflow in sums over their tasks.
func TestAmountsOfJob(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(*planner.Job)
		isOK   bool
	}{
		"usual":    {func(*planner.Job) {}, true},
		"large":    {func(j *planner.Job) { j.Steps[0].Need.CPU = 1 << 40 }, true},
		"CPU":      {func(j *planner.Job) { j.Steps[0].Need.CPU = math.MaxInt64 }, false},
		"memory":   {func(j *planner.Job) { j.Steps[0].Need.Memory = math.MaxInt64 / 4 }, false},
		"GPU":      {func(j *planner.Job) { j.Steps[0].Need.GPU = 1<<40 + 1 }, false},
		"estimate": {func(j *planner.Job) { j.Steps[0].Estimate = math.MaxInt64 }, false},
		"work of steps": {func(j *planner.Job) {
			j.Steps = append(j.Steps, j.Steps[0], j.Steps[0])
			j.Steps[2].Estimate = 3 * 365 * 24 * time.Hour
		}, false},
		"interval":   {func(j *planner.Job) { j.Times, j.Interval = 2, math.MaxInt64 }, false},
		"many times": {func(j *planner.Job) { j.Times, j.Interval = math.MaxInt, time.Hour }, true},
	} {
		t.Run(name, func(t *testing.T) {
			j := job("1", step(4, 1))
			tt.change(&j)
			var rejected *planner.JobError
			err := j.Check()
			quicktest.Assert(t, errors.As(err, &rejected), quicktest.Equals, !tt.isOK, quicktest.Commentf("%v", err))
		})
	}
}

// TestManyDueOccurrences guards against an owner that runs out of memory because a very
// large number of occurrences is due at once.
func TestManyDueOccurrences(t *testing.T) {
	d := newDriver(t, 1, worker("a", 8)).registerWorkers()
	j := job("1", step(4000, 1))
	j.Times, j.Interval, j.First = math.MaxInt, time.Nanosecond, d.now.Add(-time.Hour)
	d.add(j)
	other := job("2", step(2, 1))
	other.Times, other.First = 3, d.now.Add(-time.Hour)
	d.add(other)
	started := d.startTasks()
	d.Assert(started, quicktest.HasLen, 8)
	d.Assert(d.p.Usage(d.now).Waiting+len(started), quicktest.Equals, 2*4000+3*2)
}
