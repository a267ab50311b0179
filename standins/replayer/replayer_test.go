package replayer_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/standins/replayer"
)

const scale = 0.25

// patterns are the loads and faults under which the planner's invariants are
// checked. Those with faults have one kind, or two, at critical moments.
var patterns = map[string]replayer.Pattern{
	"no faults":                replayer.Cellarlog(scale),
	"no faults, small workers": replayer.Tricahue(scale),
	"full of long-running tasks when workers crash": replayer.Tricahue(scale).With(replayer.Fault{Kind: "crash", At: 8 * time.Second, For: 25 * time.Second, Share: 0.15}),
	"burst of batch jobs":                           replayer.Cellarlog(scale).With(replayer.Fault{Kind: "burst", At: 8 * time.Second, For: 6 * time.Second, Factor: 2.6}),
	"silent workers":                                replayer.Cellarlog(scale).With(replayer.Fault{Kind: "silent", At: 8 * time.Second, For: 9 * time.Second, Share: 0.2}),
	"workers silent briefly": replayer.Cellarlog(scale).With(
		replayer.Fault{Kind: "silent", At: 6 * time.Second, For: 2 * time.Second, Share: 0.3},
		replayer.Fault{Kind: "silent", At: 10 * time.Second, For: 5500 * time.Millisecond, Share: 0.3}),
	"crashes":                    replayer.Cellarlog(scale).With(replayer.Fault{Kind: "crash", At: 8 * time.Second, For: 4 * time.Second, Share: 0.15}),
	"hanging workers":            replayer.Cellarlog(scale).With(replayer.Fault{Kind: "hang", At: 8 * time.Second, For: 6 * time.Second, Share: 0.1}),
	"failing workers":            replayer.Cellarlog(scale).With(replayer.Fault{Kind: "fail", At: 8 * time.Second, For: 6 * time.Second, Share: 0.1}),
	"slow workers":               replayer.Cellarlog(scale).With(replayer.Fault{Kind: "slow", At: 8 * time.Second, For: 7 * time.Second, Share: 0.17, Factor: 6.5}),
	"draining workers":           replayer.Cellarlog(scale).With(replayer.Fault{Kind: "drain", At: 8 * time.Second, For: 4 * time.Second, Share: 0.1}),
	"late commands":              replayer.Cellarlog(scale).With(replayer.Fault{Kind: "late", At: 5 * time.Second, For: 8 * time.Second, Share: 0.06}),
	"store unavailable":          replayer.Cellarlog(scale).With(replayer.Fault{Kind: "outage", At: 8 * time.Second, For: 5 * time.Second}),
	"store unavailable for long": replayer.Cellarlog(scale).With(replayer.Fault{Kind: "outage", At: 8 * time.Second, For: 10 * time.Second}),
	"new owner":                  replayer.Cellarlog(scale).With(replayer.Fault{Kind: "takeover", At: 10 * time.Second}),
	"new owners in a row": replayer.Cellarlog(scale).With(
		replayer.Fault{Kind: "takeover", At: 10 * time.Second}, replayer.Fault{Kind: "takeover", At: 10500 * time.Millisecond}, replayer.Fault{Kind: "takeover", At: 14 * time.Second}),
	"new owner while workers are silent": replayer.Cellarlog(scale).With(
		replayer.Fault{Kind: "silent", At: 9 * time.Second, For: 6 * time.Second, Share: 0.2}, replayer.Fault{Kind: "takeover", At: 10 * time.Second}),
	"new owner while commands are late": replayer.Cellarlog(scale).With(
		replayer.Fault{Kind: "late", At: 5 * time.Second, For: 8 * time.Second, Share: 0.1}, replayer.Fault{Kind: "takeover", At: 10 * time.Second}),
	"partitioned with the owner":           replayer.Cellarlog(scale).With(replayer.Fault{Kind: "split", At: 8 * time.Second, For: 5500 * time.Millisecond, Share: 0.25}),
	"partitioned with the owner for long":  replayer.Cellarlog(scale).With(replayer.Fault{Kind: "split", At: 8 * time.Second, For: 12 * time.Second, Share: 0.25}),
	"quick restarts":                       replayer.Cellarlog(scale).With(restart(5*time.Second, time.Second, 1), restart(14*time.Second, 300*time.Millisecond, 1)),
	"quick restarts, small workers":        replayer.Tricahue(scale).With(restart(5*time.Second, 500*time.Millisecond, 1), restart(14*time.Second, 4*time.Second, 1)),
	"quick restarts under the same id":     replayer.Cellarlog(scale).With(restartSameID(5*time.Second, time.Second, 1), restartSameID(14*time.Second, 300*time.Millisecond, 1)),
	"series of restarts":                   replayer.Cellarlog(scale).With(restart(5*time.Second, 400*time.Millisecond, 6)),
	"series of restarts under the same id": replayer.Cellarlog(scale).With(restartSameID(5*time.Second, 400*time.Millisecond, 6)),
	"quick restarts, both ids, in series":  replayer.Cellarlog(scale).With(restart(5*time.Second, 400*time.Millisecond, 4), restartSameID(5500*time.Millisecond, 700*time.Millisecond, 4)),
	"quick restarts while a new owner takes over": replayer.Cellarlog(scale).With(
		restart(9*time.Second, time.Second, 1), replayer.Fault{Kind: "takeover", At: 9500 * time.Millisecond}, restartSameID(14*time.Second, time.Second, 1), replayer.Fault{Kind: "takeover", At: 15200 * time.Millisecond}),
	"quick restarts while commands are late": replayer.Cellarlog(scale).With(
		replayer.Fault{Kind: "late", At: 5 * time.Second, For: 8 * time.Second, Share: 0.25}, restart(6*time.Second, 500*time.Millisecond, 3)),
	"quick restarts under the same id while commands are late": replayer.Cellarlog(scale).With(
		replayer.Fault{Kind: "late", At: 5 * time.Second, For: 8 * time.Second, Share: 0.25}, restartSameID(6*time.Second, 500*time.Millisecond, 3)),
	"restarts in a row under the same id while half of the commands are late": resumable(replayer.Cellarlog(scale)).With(
		replayer.Fault{Kind: "late", At: 3 * time.Second, For: 5500 * time.Millisecond, Share: 0.5},
		restartSameID(8500*time.Millisecond, 300*time.Millisecond, 6), restartSameID(9*time.Second, 300*time.Millisecond, 6)),
	"restarts under the same id while polls are late": resumable(replayer.Cellarlog(scale)).With(
		latePolls(), manyRestartSameID(5*time.Second), manyRestartSameID(17*time.Second)),
	"restarts under the same id and silence while commands are late": resumable(replayer.Cellarlog(scale)).With(
		replayer.Fault{Kind: "late", At: 3 * time.Second, For: 22 * time.Second, Share: 0.2},
		manyRestartSameID(5*time.Second), longSilence(7600*time.Millisecond), manyRestartSameID(17*time.Second), longSilence(19600*time.Millisecond)),
	"restarts under the same id and silence while polls are late": resumable(replayer.Cellarlog(scale)).With(
		latePolls(), manyRestartSameID(5*time.Second), longSilence(7600*time.Millisecond), manyRestartSameID(17*time.Second), longSilence(19600*time.Millisecond)),
	"quick restarts while partitioned with the owner": replayer.Cellarlog(scale).With(
		replayer.Fault{Kind: "split", At: 8 * time.Second, For: 5500 * time.Millisecond, Share: 0.25}, restart(9*time.Second, time.Second, 2), restartSameID(11*time.Second, 500*time.Millisecond, 2)),
	"quick restarts during an outage": replayer.Cellarlog(scale).With(
		replayer.Fault{Kind: "outage", At: 8 * time.Second, For: 5 * time.Second}, restart(8500*time.Millisecond, time.Second, 2), restartSameID(10*time.Second, 700*time.Millisecond, 2)),
	"new owner during an outage": replayer.Cellarlog(scale).With(
		replayer.Fault{Kind: "outage", At: 8 * time.Second, For: 3 * time.Second}, replayer.Fault{Kind: "takeover", At: 11 * time.Second}),
	"restarts after the entries have expired": replayer.Cellarlog(scale).With(restart(5*time.Second, 3700*time.Millisecond, 2), restartSameID(14*time.Second, 3700*time.Millisecond, 2)),
	"series of restarts and new owners": replayer.Cellarlog(scale).With(
		restart(8*time.Second, 400*time.Millisecond, 6), takeover(9*time.Second), takeover(10200*time.Millisecond), takeover(11500*time.Millisecond)),
	"series of restarts under the same id and new owners": replayer.Cellarlog(scale).With(
		restartSameID(8*time.Second, 400*time.Millisecond, 6), takeover(9*time.Second), takeover(10200*time.Millisecond), takeover(11500*time.Millisecond)),
	"quick restarts of failing tasks":      failing(replayer.Cellarlog(scale)).With(replayer.Fault{Kind: "restart", At: 5 * time.Second, For: 500 * time.Millisecond, Share: 0.5, Factor: 4}, restartSameID(14*time.Second, 500*time.Millisecond, 4)),
	"many quick restarts of failing tasks": failing(replayer.Cellarlog(scale)).With(restart(5*time.Second, 500*time.Millisecond, 9), restartSameID(14*time.Second, 500*time.Millisecond, 9)),
	"quick restarts of failing tasks, new owners": failing(replayer.Cellarlog(scale)).With(
		restart(5*time.Second, 500*time.Millisecond, 4), takeover(6200*time.Millisecond), restartSameID(14*time.Second, 500*time.Millisecond, 4), takeover(15200*time.Millisecond)),
	"quick restarts of failing tasks, outages and new owners": failing(replayer.Cellarlog(scale)).With(
		outage(6*time.Second), restart(8*time.Second, 500*time.Millisecond, 3), takeover(9050*time.Millisecond),
		outage(12*time.Second), restartSameID(14*time.Second, 500*time.Millisecond, 3), takeover(15040*time.Millisecond),
		outage(18*time.Second), takeover(21060*time.Millisecond), outage(23*time.Second), takeover(26050*time.Millisecond)),
	"quick restarts of tasks with checkpoints": resumable(replayer.Cellarlog(scale)).With(restart(5*time.Second, 500*time.Millisecond, 4), restartSameID(14*time.Second, 500*time.Millisecond, 4)),
	"long-running tasks that fail again and again, new owners": withProbes(replayer.Cellarlog(scale), func(c *replayer.Class) {
		c.AlwaysFailShare, c.Initial, c.PerSecond, c.Width, c.Need = 1, 2, 0, 40, planner.Resources{CPU: 500, Memory: 100}
	}).With(takeover(10*time.Second), takeover(20*time.Second)),
	"jobs that run many times, new owners and restarts": withReports(replayer.Cellarlog(scale), func(c *replayer.Class) {
		c.Times, c.Interval, c.Steps, c.Width, c.Initial, c.PerSecond, c.AlwaysFailShare, c.FailShare = 1500, 20*time.Millisecond, 1, 1, 2, 0, 0, 0
		c.Need, c.Work = planner.Resources{CPU: 500, Memory: 100}, 40*time.Millisecond
	}).With(takeover(10*time.Second), restartSameID(14*time.Second, 500*time.Millisecond, 2), takeover(20*time.Second)),
	"gangs":                   gangs(replayer.Cellarlog(scale)),
	"quick restarts of gangs": gangs(replayer.Cellarlog(scale)).With(restart(5*time.Second, 500*time.Millisecond, 3), restartSameID(14*time.Second, time.Second, 3)),
	"quick restarts of gangs while commands are late": gangs(replayer.Cellarlog(scale)).With(
		replayer.Fault{Kind: "late", At: 5 * time.Second, For: 8 * time.Second, Share: 0.1}, restart(6*time.Second, 500*time.Millisecond, 3)),
	"quick restarts of gangs while a new owner takes over": gangs(replayer.Cellarlog(scale)).With(
		restart(9*time.Second, time.Second, 1), takeover(9500*time.Millisecond), restartSameID(14*time.Second, time.Second, 1), takeover(15200*time.Millisecond)),
	"quick restarts of speculative tasks": speculative(replayer.Cellarlog(scale)).With(restart(5*time.Second, 1200*time.Millisecond, 3), restartSameID(14*time.Second, 1200*time.Millisecond, 3)),
	"quick restarts of speculative tasks beside silent workers": speculative(replayer.Cellarlog(scale)).With(
		silence(5*time.Second), silence(9*time.Second), silence(13*time.Second), silence(17*time.Second), silence(21*time.Second), restart(6*time.Second, 700*time.Millisecond, 4), restartSameID(7*time.Second, 700*time.Millisecond, 4)),
	"quick restarts of speculative tasks while a new owner takes over": speculative(replayer.Cellarlog(scale)).With(
		restart(9*time.Second, time.Second, 2), takeover(9500*time.Millisecond), restartSameID(14*time.Second, time.Second, 2), takeover(15200*time.Millisecond)),
}

// silence returns a fault with which two fifths of the workers don't answer for 2 s.
func silence(at time.Duration) replayer.Fault {
	return replayer.Fault{Kind: "silent", At: at, For: 2 * time.Second, Share: 0.4}
}

// longSilence returns a fault with which three fifths of the workers don't answer for
// longer than a lease.
func longSilence(at time.Duration) replayer.Fault {
	return replayer.Fault{Kind: "silent", At: at, For: 9 * time.Second, Share: 0.6}
}

// latePolls returns a fault with which many polls have no answer and take effect late.
func latePolls() replayer.Fault {
	return replayer.Fault{Kind: "late_polls", At: 3 * time.Second, For: 22 * time.Second, Share: 0.3}
}

// outage returns a fault with which the store doesn't answer for 3 s.
func outage(at time.Duration) replayer.Fault {
	return replayer.Fault{Kind: "outage", At: at, For: 3 * time.Second}
}

func takeover(at time.Duration) replayer.Fault { return replayer.Fault{Kind: "takeover", At: at} }

// withReports returns a copy of a pattern with its short jobs changed.
func withReports(p replayer.Pattern, change func(*replayer.Class)) replayer.Pattern {
	p.Classes = slices.Clone(p.Classes)
	change(&p.Classes[0])
	return p
}

// withProbes returns a copy of a pattern with its long-running jobs changed.
func withProbes(p replayer.Pattern, change func(*replayer.Class)) replayer.Pattern {
	p.Classes = slices.Clone(p.Classes)
	change(&p.Classes[2])
	return p
}

// failing makes many short tasks fail through no fault of their worker.
func failing(p replayer.Pattern) replayer.Pattern {
	return withReports(p, func(c *replayer.Class) { c.FailShare = 0.3 })
}

// resumable makes the short tasks long enough for several checkpoints.
func resumable(p replayer.Pattern) replayer.Pattern {
	p.CheckpointEvery = 300 * time.Millisecond
	return withReports(p, func(c *replayer.Class) {
		c.Step.Checkpoints, c.Work = true, 2*c.Work
	})
}

// gangs makes the steps of the short jobs gangs with checkpoints.
func gangs(p replayer.Pattern) replayer.Pattern {
	p = resumable(p)
	return withReports(p, func(c *replayer.Class) { c.Step.Gang = true })
}

// speculative lets the short tasks have copies.
func speculative(p replayer.Pattern) replayer.Pattern {
	return withReports(p, func(c *replayer.Class) { c.Step.Speculative, c.FailShare, c.Work = true, 0.2, 2*c.Work })
}

// moments are critical moments of restarts to which the first seed of a pattern
// must come, so that the pattern goes on testing them.
var moments = map[string][]replayer.Moment{
	"quick restarts": {replayer.BackBeforeExpiry, replayer.ListedFirst, replayer.ListedLast, replayer.WrittenLate},
	"restarts after the entries have expired":                                 {replayer.BackAfterExpiry},
	"series of restarts":                                                      {replayer.RestartedAgain},
	"series of restarts under the same id":                                    {replayer.RestartedAgain, replayer.WrittenLate},
	"series of restarts and new owners":                                       {replayer.OwnerWhileDown, replayer.OwnerWhileListed, replayer.RestartedAgain},
	"quick restarts while commands are late":                                  {replayer.StartAtNextID},
	"quick restarts under the same id while commands are late":                {replayer.StartAtNextProcess},
	"restarts under the same id while polls are late":                         {replayer.PollAtNextProcess},
	"restarts in a row under the same id while half of the commands are late": {replayer.StartAtNextProcess},
	"restarts under the same id and silence while polls are late":             {replayer.PollAtNextProcess},
	"quick restarts during an outage":                                         {replayer.EndLost},
	"quick restarts of failing tasks":                                         {replayer.FailureLost},
	"many quick restarts of failing tasks":                                    {replayer.EndLost},
	"quick restarts of tasks with checkpoints":                                {replayer.CheckpointLeft, replayer.Resumed},
	"quick restarts of gangs":                                                 {replayer.GangBroken, replayer.CheckpointLeft, replayer.Resumed},
	"quick restarts of speculative tasks beside silent workers":               {replayer.CopyLost, replayer.Copied},
}

// restart returns a fault with which a third of the workers end and are back
// under a new id after the given time, as often as times says.
func restart(at, away time.Duration, times float64) replayer.Fault {
	return replayer.Fault{Kind: "restart", At: at, For: away, Share: 0.3, Factor: times}
}

// restartSameID is like restart, but the workers keep their ids.
func restartSameID(at, away time.Duration, times float64) replayer.Fault {
	return replayer.Fault{Kind: "restart_same_id", At: at, For: away, Share: 0.3, Factor: times}
}

// manyRestartSameID returns a fault with which three fifths of the workers end and are
// back under their ids soon after.
func manyRestartSameID(at time.Duration) replayer.Fault {
	return replayer.Fault{Kind: "restart_same_id", At: at, For: 600 * time.Millisecond, Share: 0.6, Factor: 1}
}

// seedCounts holds the number of seeds of a pattern, if it isn't the usual one.
var seedCounts = map[string]uint64{"restarts under the same id while polls are late": 3}

// usualSeeds is the usual number of seeds of a pattern.
const usualSeeds = 2

// TestInvariants guards against concurrent runs of one task, runs after the last
// attempt or after a noted end, runs from a wrong checkpoint, gangs that start in
// part, overcommitted workers, steps out of order, lost jobs, jobs reported as
// done or failed too early, and long-running tasks that best-effort tasks hold
// over their latency target.
func TestInvariants(t *testing.T) {
	for name, p := range patterns {
		for seed := range cmp.Or(seedCounts[name], usualSeeds) {
			t.Run(fmt.Sprintf("%s/%d", name, seed+1), func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				r := replayer.New(p, seed+1, nil).Run()
				for n, o := range r.Classes {
					t.Logf("%s: %+v", n, o)
				}
				c.Assert(r.Violations, quicktest.HasLen, 0, quicktest.Commentf("%v", r.First))
				for _, m := range moments[name] {
					c.Assert(seed > 0 || r.Moments[m] > 0, quicktest.IsTrue, quicktest.Commentf("not reached: %s", m))
				}
			})
		}
	}
}

// TestHeadroom guards against long-running tasks that take over the headroom of
// short jobs when a fifth of a full fleet is lost. The reports, for which clients
// wait, then no longer started.
func TestHeadroom(t *testing.T) {
	c := quicktest.New(t)
	p := replayer.Tricahue(0.5).With(replayer.Fault{Kind: "crash", At: 8 * time.Second, For: 25 * time.Second, Share: 0.2})
	p.Classes[0].PerSecond *= 3
	p.Classes[2].Initial += p.Classes[2].Initial / 4
	r := replayer.New(p, 1, nil).Run()
	reports := r.Classes["report"]
	c.Logf("%+v", r.Classes)
	c.Assert(float64(reports.InTime) >= minInTimeShare*float64(reports.Accepted), quicktest.IsTrue)
}

// minInTimeShare is the share of the short jobs that must be done in time when
// a failure domain is lost.
const minInTimeShare = 0.5
