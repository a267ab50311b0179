package conductor

import (
	"context"
	"fmt"
	"time"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// ServeQuestion answers a peer's question.
func (c *Conductor) ServeQuestion(ctx context.Context, q Question) (Reply, error) {
	var r Reply
	var err error
	switch q.Kind {
	case AskState:
		r.Answer, err = c.JobState(ctx, q.Job)
	case AskCancel:
		r.Answer, err = c.Cancel(ctx, q.Job)
	case AskPending:
		r.Pending, err = c.Pending(ctx)
	case AskExplain:
		r.Explanation, err = ask(ctx, c, func(reply func(string, error)) { reply(c.planner.Explain(c.options.Now(), q.Job), nil) })
	case AskAlive:
		_, err = ask(ctx, c, func(reply func(bool, error)) { reply(true, nil) })
	default:
		err = &QuestionError{q.Kind}
	}
	return r, err
}

// QuestionKind says what a question asks for.
type QuestionKind string

// The kinds of questions.
const (
	AskState   QuestionKind = "state"
	AskCancel  QuestionKind = "cancel"
	AskPending QuestionKind = "pending"
	// AskExplain asks what the unfinished tasks of a job wait for.
	AskExplain QuestionKind = "explain"
	// AskAlive asks whether the daemon still considers itself the owner.
	AskAlive QuestionKind = "alive"
)

// Question is a request of a daemon to the owner of a shard.
type Question struct {
	Kind QuestionKind `cbor:"kind"`
	// Shard is the name of the shard that the question is about.
	Shard string `cbor:"shard"`
	// Job is the id of the job that the question is about, if any.
	Job string `cbor:"job,omitempty"`
}

// Reply answers a question.
type Reply struct {
	Answer Answer `cbor:"answer"`
	// Pending is the number of jobs without a started task, by queue.
	Pending map[string]int `cbor:"pending,omitempty"`
	// Explanation describes a job, one line for each unfinished task.
	Explanation string `cbor:"explanation,omitempty"`
}

// QuestionError reports a question of an unknown kind.
type QuestionError struct{ Kind QuestionKind }

func (e *QuestionError) Error() string { return "unknown kind of question: " + string(e.Kind) }

// maxPendingAge is the time since the store last answered an owner after which it no
// longer counts its jobs, because it doesn't learn of new ones.
const maxPendingAge = 2 * time.Second

// StaleError reports that the store has not answered the owner of a shard for some time.
type StaleError struct{ Age time.Duration }

func (e *StaleError) Error() string {
	return fmt.Sprintf("the store has not answered the owner for %s", e.Age)
}

// JobState returns the state of a job.
func (c *Conductor) JobState(ctx context.Context, id string) (Answer, error) {
	return ask(ctx, c, func(reply func(Answer, error)) {
		state, ok := c.planner.JobState(id)
		reply(Answer{state, ok}, nil)
	})
}

// Pending returns the number of accepted jobs without a started task, by queue.
// The error is a StaleError if this owner may lack jobs that were accepted since.
func (c *Conductor) Pending(ctx context.Context) (map[string]int, error) {
	return ask(ctx, c, func(reply func(map[string]int, error)) {
		if age := c.options.Now().Sub(c.confirmedAt); age > maxPendingAge {
			reply(nil, &StaleError{age})
			return
		}
		reply(c.planner.Pending(), nil)
	})
}

// Cancel cancels a job. It returns once the cancellation is stored.
func (c *Conductor) Cancel(ctx context.Context, id string) (Answer, error) {
	return ask(ctx, c, func(reply func(Answer, error)) {
		if !c.planner.Cancel(c.options.Now(), id) {
			reply(Answer{}, nil)
			return
		}
		if state, _ := c.planner.JobState(id); state == planner.Done || state == planner.Failed || state == planner.Cancelled {
			reply(Answer{state, true}, nil)
			return
		}
		c.releaseCommit(id)
		c.cancelReplies[id] = append(c.cancelReplies[id], func(ok bool, err error) { reply(Answer{planner.Cancelled, ok}, err) })
	})
}

// ask runs a question on the control goroutine of an owner and waits for the
// reply.
func ask[T any](ctx context.Context, c *Conductor, question func(reply func(T, error))) (T, error) {
	type result struct {
		value T
		err   error
	}
	answered := make(chan result, 1)
	reply := func(v T, err error) {
		select {
		case answered <- result{v, err}:
		default:
		}
	}
	c.post(ctx, func() {
		if c.role != "owning" {
			var none T
			reply(none, &NotOwnerError{c.options.Shard, c.owner.Address})
			return
		}
		question(reply)
	})
	select {
	case r := <-answered:
		return r.value, r.err
	case <-c.ended:
		// A daemon that is stopping still serves its clients' connections.
		var none T
		return none, &NotOwnerError{Shard: c.options.Shard}
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
