package soaker

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/standins/platformer"
)

// TestChecker guards against a soak that sees nothing: each broken promise is
// found, and what is allowed isn't.
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
			c.shown(j, 200, "done")
			c.settle()
		}, ""},
		"two runs": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("w", "a.0.0.0", 2, "start"))
		}, "twice"},
		"one after the other": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.0.0.0", 1, "lapsed"))
			c.observe(event("w", "a.0.0.0", 2, "start"))
		}, ""},
		"after a noted end": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.0.0.0", 1, "done"))
			c.observe(event("v", "a.0.0.0", 1, "noted"))
			c.observe(event("w", "a.0.0.0", 2, "start"))
		}, "twice"},
		"after an end that is noted later": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.0.0.0", 1, "done"))
			c.observe(event("w", "a.0.0.0", 2, "start"))
			c.observe(event("v", "a.0.0.0", 1, "noted"))
		}, "twice"},
		"after an end that a lapsed lease voids": {func(c *checker, _ *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			c.observe(event("v", "a.0.0.0", 1, "done"))
			c.observe(event("w", "a.0.0.0", 2, "start"))
			c.observe(event("w", "a.0.0.0", 2, "done"))
			c.observe(event("w", "a.0.0.0", 2, "noted"))
			c.observe(event("v", "a.0.0.0", 1, "void"))
		}, ""},
		"order":        {func(c *checker, _ *job) { c.observe(event("v", "a.0.1.0", 1, "start")) }, "order"},
		"unasked":      {func(c *checker, _ *job) { c.observe(event("v", "b.0.0.0", 1, "start")) }, "unasked"},
		"refused":      {func(c *checker, j *job) { j.refused = true; c.observe(event("v", "a.0.0.0", 1, "start")) }, "refused"},
		"forgotten":    {func(c *checker, j *job) { c.shown(j, 410, "") }, "lost"},
		"shown early":  {func(c *checker, j *job) { c.shown(j, 200, "done") }, "mixed"},
		"shown failed": {func(c *checker, j *job) { c.shown(j, 200, "failed") }, "lost"},
		"never done":   {func(c *checker, _ *job) { c.settle() }, "lost"},
		"cancelled and running": {func(c *checker, j *job) {
			c.observe(event("v", "a.0.0.0", 1, "start"))
			j.cancelled = true
			c.settle()
		}, "unasked"},
		"lasting task missing": {func(c *checker, j *job) { j.isLasting = true; c.settle() }, "lost"},
	} {
		t.Run(name, func(t *testing.T) {
			q := quicktest.New(t)
			c := newChecker()
			j := &job{id: "a", widths: []int{2, 1}, accepted: true}
			c.sent(j)
			tt.do(c, j)
			if tt.want == "" {
				q.Assert(c.Faults, quicktest.HasLen, 0)
				return
			}
			q.Assert(len(c.Faults) > 0, quicktest.IsTrue)
			q.Assert(strings.HasPrefix(c.Faults[0], tt.want), quicktest.IsTrue, quicktest.Commentf("%v", c.Faults))
		})
	}
}
