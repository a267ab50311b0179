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
