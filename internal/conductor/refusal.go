package conductor

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// minCommitHold is how long the progress of a job is not stored after the store has
	// refused it, and maxCommitHold the longest such time. It doubles with each refusal.
	minCommitHold = 500 * time.Millisecond
	maxCommitHold = 30 * time.Second
)

// heldCommit is the progress of a job that the store has refused.
type heldCommit struct {
	// until is when it is sent again, and refusals counts how often it was refused.
	until    time.Time
	refusals int
	// isReduced is set once what the job can do without is left out of its progress.
	isReduced bool
}

// RefusedRecordError reports a change of a job that can't be stored. It has no effect.
type RefusedRecordError struct {
	Job string
	// Bytes is the size of the record.
	Bytes int
	Err   error
}

func (e *RefusedRecordError) Error() string {
	return fmt.Sprintf("the record of job %s, %d bytes, is refused: %v", e.Job, e.Bytes, e.Err)
}

// Unwrap returns the cause.
func (e *RefusedRecordError) Unwrap() error { return e.Err }

// isRefusedForGood reports whether the store refused a transaction for what it contains, so
// that it will refuse the same one again.
func isRefusedForGood(err error) bool {
	var refused *storeclient.RefusedError
	return errors.As(err, &refused) && refused.IsForGood()
}

// maxValueBytes returns the size of the largest value that the store accepts.
func (c *Conductor) maxValueBytes() int {
	if n := c.options.Limits.MaxValueBytes; n > 0 {
		return n
	}
	return storeclient.MaxValueBytes
}

// jobsPerCommit returns how many jobs may be stored in one transaction. After a refusal, each
// of the jobs that were in the transaction is stored alone, so that one whose record the store
// refuses holds up no other.
func (c *Conductor) jobsPerCommit() int {
	if c.soloCommits > 0 {
		return 1
	}
	return maxJobsPerCommit
}

// encodeProgress returns the stored form of a job's progress. The error is an
// UnusableRecordError if the store would refuse it.
func (c *Conductor) encodeProgress(key, job string, r planner.Progress) ([]byte, error) {
	if c.heldCommits[job].isReduced {
		r = r.Reduced()
	}
	return encodeStorable(key, r, c.maxValueBytes())
}

// applyRefusedCommit tells the jobs of a transaction apart that the store has refused for
// good. Any other error concerns all jobs.
func (c *Conductor) applyRefusedCommit(sent []planner.Change, t storeclient.Transaction, err error) {
	if !isRefusedForGood(err) {
		return
	}
	if len(sent) > 1 {
		c.soloCommits = len(sent)
		return
	}
	c.holdCommit(c.options.Now(), sent[0], len(t.Writes[0].Value), err)
}

// releaseCommit makes the progress of a job be stored without delay if it is held back, since
// that of a job in a final state is small.
func (c *Conductor) releaseCommit(job string) {
	if held, ok := c.heldCommits[job]; ok {
		held.until = time.Time{}
		c.heldCommits[job] = held
	}
}

// noteStored records that a change of a job is stored.
func (c *Conductor) noteStored(ch planner.Change) {
	held, ok := c.heldCommits[ch.Job]
	switch {
	case !ok:
	case held.isReduced && !ch.Progress.State.IsFinal():
		c.heldCommits[ch.Job] = heldCommit{isReduced: true}
	default:
		delete(c.heldCommits, ch.Job)
	}
}

// holdCommit holds back the progress of a job that can't be stored. What the job can do
// without is left out next time. If its record is still too large, the job is given up,
// because ends whose effect isn't stored hide the later ones of their workers.
func (c *Conductor) holdCommit(now time.Time, ch planner.Change, bytes int, err error) {
	held := c.heldCommits[ch.Job]
	held.refusals++
	held.until = now.Add(min(maxCommitHold, minCommitHold<<min(held.refusals-1, 10)))
	refusal := &RefusedRecordError{ch.Job, bytes, err}
	c.metrics.commits.WithLabelValues("refused").Inc()
	c.options.Log.Error().Str("job", ch.Job).Int("bytes", bytes).Int("limit", c.maxValueBytes()).Int("refusals", held.refusals).Bool("reduced", held.isReduced).
		Dur("held", held.until.Sub(now)).Err(err).Msg("conductor: progress of a job refused")
	switch isLarge := bytes > c.maxValueBytes()/2; {
	case isLarge && held.isReduced:
		c.planner.GiveUp(now, ch.Job, refusal.Error())
		held.until = now
	case isLarge:
		held.isReduced, held.until = true, now
	}
	c.heldCommits[ch.Job] = held
	for _, reply := range c.cancelReplies[ch.Job] {
		reply(false, refusal)
	}
	delete(c.cancelReplies, ch.Job)
}
