package soaker

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// TestChecker guards against a soak that misses violations: the checker must
// report each kind of violation and accept every allowed sequence of events.
func TestChecker(t *testing.T) {
	event := func(worker, task string, attempt int, kind string) platformer.Event {
		return platformer.Event{Worker: worker, Task: task, Attempt: attempt, Kind: kind}
	}
	for name, tt := range map[string]struct {
		do   func(c *checker, j *job)
		want string
	}{
		"done once": {func(c *checker, j *job) {
			for _, task := range []string{"a.0.0.0", "a.0.0.1", "a.0.1.0"} {
				c.observe(event("w", task, 1, "start"))
				c.observe(event("w", task, 1, "done"))
				c.observe(event("w", task, 1, "noted"))
			}
			c.checkState(j, 200, "done")
			c.checkFinalState()
		}, ""},
		"unknown key accepted":      {func(c *checker, _ *job) { c.checkUnknownKey("edge-1", "GET", 503, `{"error":"shard has no owner"}`) }, "key"},
		"unknown key not looked at": {func(c *checker, _ *job) { c.checkUnknownKey("edge-1", "GET", 503, `{"error":"no configuration yet"}`) }, ""},
		"two runs at once": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("w", "a.0.0.0", 2, "start"))
		}, "twice"},
		"restart after the lease expired": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.0.0.0", 1, "lapsed"))
			c.observe(event("w", "a.0.0.0", 2, "start"))
		}, ""},
		"start after an acknowledged end": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.0.0.0", 1, "done"))
			c.observe(event("v", "a.0.0.0", 1, "noted"))
			c.observe(event("w", "a.0.0.0", 2, "start"))
		}, "twice"},
		"start after an end that is acknowledged later": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.0.0.0", 1, "done"))
			c.observe(event("w", "a.0.0.0", 2, "start"))
			c.observe(event("v", "a.0.0.0", 1, "noted"))
		}, "twice"},
		"start after an end that an expired lease voids": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.0.0.0", 1, "done"))
			c.observe(event("w", "a.0.0.0", 2, "start"))
			c.observe(event("w", "a.0.0.0", 2, "done"))
			c.observe(event("w", "a.0.0.0", 2, "noted"))
			c.observe(event("v", "a.0.0.0", 1, "void"))
		}, ""},
		"restart after the process was killed": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.0.0.0", 1, "killed"))
			c.observe(event("v", "a.0.0.0", 2, "start"))
		}, ""},
		"start after an end that the death of the process voids": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.0.0.0", 1, "done"))
			c.observe(event("v", "a.0.0.0", 1, "void"))
			c.observe(event("v", "a.0.0.0", 2, "start"))
		}, ""},
		"same attempt on the next process": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(platformer.Event{Worker: "v", Process: 1, Task: "a.0.0.0", Attempt: 1, Kind: "start"})
		}, "twice"},
		"same attempt on the next process after a void end": {func(c *checker, _ *job) {
			for process, kind := range []string{"void", "noted"} {
				for _, k := range []string{"start", "done", kind} {
					c.observe(platformer.Event{Worker: "v", Process: process, Task: "a.0.0.0", Attempt: 1, Kind: k})
				}
			}
		}, ""},
		"start after the last failed run": {func(c *checker, _ *job) {
			for attempt := range platformer.Attempts + 1 {
				c.observe(event("v", "a.0.0.0", attempt, "start"))
				c.observe(event("v", "a.0.0.0", attempt, "failed"))
				c.observe(event("v", "a.0.0.0", attempt, "noted"))
			}
		}, "budget"},
		"start after failed runs that are acknowledged later": {func(c *checker, _ *job) {
			for attempt := range platformer.Attempts {
				c.observe(event("v", "a.0.0.0", attempt, "start"))
				c.observe(event("v", "a.0.0.0", attempt, "failed"))
			}
			c.observe(event("w", "a.0.0.0", 9, "start"))
			for attempt := range platformer.Attempts {
				c.observe(event("v", "a.0.0.0", attempt, "noted"))
			}
		}, "budget"},
		"start after failed runs that are void": {func(c *checker, _ *job) {
			for attempt := range platformer.Attempts {
				c.observe(event("v", "a.0.0.0", attempt, "start"))
				c.observe(event("v", "a.0.0.0", attempt, "failed"))
				c.observe(event("v", "a.0.0.0", attempt, "void"))
			}
			c.observe(event("w", "a.0.0.0", 9, "start"))
		}, ""},
		"failed after its failed runs": {func(c *checker, j *job) {
			for attempt := range platformer.Attempts {
				c.observe(event("v", "a.0.0.0", attempt, "start"))
				c.observe(event("v", "a.0.0.0", attempt, "failed"))
			}
			c.checkState(j, 200, "failed")
			c.checkFinalState()
		}, ""},
		"order": {func(c *checker, _ *job) { c.observe(event("v", "a.0.1.0", 1, "start")) }, "order"},
		"early occurrence": {func(c *checker, j *job) {
			j.times, j.first, j.interval = 2, time.Now(), 2*earlyLimit
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.1.0.0", 1, "start"))
		}, "order: a.1.0.0"},
		"unknown job": {func(c *checker, _ *job) { c.observe(event("v", "b.0.0.0", 1, "start")) }, "unrequested"},
		"refused":     {func(c *checker, j *job) { j.refused = true; c.observe(event("v", "a.0.0.0", 1, "start")) }, "refused"},
		"cancelled before it was accepted": {func(c *checker, j *job) {
			j.accepted = false
			c.checkGone(j)
			c.observe(event("v", "a.0.0.0", 1, "start"))
		}, "unrequested"},
		"accepted job gone":       {func(c *checker, j *job) { c.checkGone(j) }, "lost"},
		"accepted job unknown":    {func(c *checker, j *job) { c.checkState(j, 410, "") }, "lost"},
		"reported done too early": {func(c *checker, j *job) { c.checkState(j, 200, "done") }, "mixed"},
		"reported failed":         {func(c *checker, j *job) { c.checkState(j, 200, "failed") }, "lost"},
		"never done":              {func(c *checker, _ *job) { c.checkFinalState() }, "lost"},
		"cancelled and running": {func(c *checker, j *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			j.cancelled = true
			c.checkFinalState()
		}, "unrequested"},
		"long-running task missing": {func(c *checker, j *job) { j.isLongRunning = true; c.checkFinalState() }, "lost"},
	} {
		t.Run(name, func(t *testing.T) {
			q := quicktest.New(t)
			c := newChecker()
			j := &job{id: "a", taskCounts: []int{2, 1}, accepted: true}
			c.addJob(j)
			tt.do(c, j)
			if tt.want == "" {
				q.Assert(c.violations, quicktest.HasLen, 0)
				return
			}
			q.Assert(len(c.violations) > 0, quicktest.IsTrue)
			q.Assert(strings.HasPrefix(c.violations[0], tt.want), quicktest.IsTrue, quicktest.Commentf("%v", c.violations))
		})
	}
}
