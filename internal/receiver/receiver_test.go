package receiver_test

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/receiver"
	"tarragonhead.example/tarragonhead/internal/sharder"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

var (
	noAnswer = &storeclient.UnavailableError{Op: "test", MayHaveApplied: true, Err: errors.New("no answer")}
	refusal  = &storeclient.RefusedError{Op: "test", Status: 503}
	peer     = netip.MustParseAddrPort("10.0.0.2:80")
)

func discardLogger() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

type relay func(context.Context, netip.AddrPort, planner.Job) error

func newReceiver(k *keeper.Keeper, now func() time.Time, peers []netip.AddrPort, r relay) *receiver.Receiver {
	return receiver.New(receiver.Options{
		Shards: 1, Choose: func(string, sharder.Demand) int { return 0 }, Store: k.Store(), Log: discardLogger(), Registry: prometheus.NewRegistry(), Now: now,
		Peers: func() []netip.AddrPort { return peers }, Relay: r,
		Local: func(context.Context, conductor.Question) (conductor.Reply, error) {
			return conductor.Reply{}, &conductor.NotOwnerError{}
		},
	})
}

func testJob() planner.Job {
	return planner.Job{ID: "00000000000000aa", Steps: []planner.Step{{Count: 1}}}
}

// outcome returns the outcome of a submission as a word.
func outcome(err error) string {
	var refused *receiver.RefusedError
	var undecided *receiver.UndecidedError
	var invalid *planner.JobError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &undecided):
		return "undecided"
	case errors.As(err, &invalid):
		return "invalid"
	}
	return err.Error()
}

// TestSubmit guards against refusals of jobs that may run, and against jobs
// that are reported as accepted without being stored.
func TestSubmit(t *testing.T) {
	onWrite := func(f keeper.Fault) func(op, key string) keeper.Fault {
		return func(op, _ string) keeper.Fault {
			if op == "transact" {
				return f
			}
			return keeper.Fault{}
		}
	}
	allFail := func(string, string) keeper.Fault { return keeper.Fault{Before: noAnswer} }
	for name, tt := range map[string]struct {
		fault    func(op, key string) keeper.Fault
		relay    relay
		want     string
		isStored bool
	}{
		"no fault":                      {nil, nil, "accepted", true},
		"refused by the store":          {onWrite(keeper.Fault{Before: refusal}), nil, "refused", false},
		"answer lost after the write":   {onWrite(keeper.Fault{After: noAnswer}), nil, "accepted", true},
		"no answer and no effect yet":   {onWrite(keeper.Fault{Before: noAnswer}), nil, "undecided", false},
		"nothing answers":               {allFail, nil, "undecided", false},
		"nothing answers, a peer does":  {allFail, func(context.Context, netip.AddrPort, planner.Job) error { return nil }, "accepted", false},
		"refused, a peer accepts":       {onWrite(keeper.Fault{Before: refusal}), func(context.Context, netip.AddrPort, planner.Job) error { return nil }, "accepted", false},
		"refused, a peer is undecided":  {onWrite(keeper.Fault{Before: refusal}), func(context.Context, netip.AddrPort, planner.Job) error { return errors.New("no answer") }, "undecided", false},
		"refused, a peer not reached":   {onWrite(keeper.Fault{Before: refusal}), func(context.Context, netip.AddrPort, planner.Job) error { return &receiver.UnreachedError{} }, "refused", false},
		"refused, a peer refuses":       {onWrite(keeper.Fault{Before: refusal}), func(context.Context, netip.AddrPort, planner.Job) error { return &receiver.RefusedError{} }, "refused", false},
		"no answer, and a peer refuses": {onWrite(keeper.Fault{Before: noAnswer}), func(context.Context, netip.AddrPort, planner.Job) error { return &receiver.RefusedError{} }, "undecided", false},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			k := keeper.New(time.Now)
			k.SetFault(tt.fault)
			var peers []netip.AddrPort
			if tt.relay != nil {
				peers = []netip.AddrPort{peer}
			}
			err := newReceiver(k, time.Now, peers, tt.relay).Submit(context.Background(), testJob(), planner.Resources{})
			c.Assert(outcome(err), quicktest.Equals, tt.want)
			k.SetFault(nil)
			_, err = k.Store().Get(context.Background(), conductor.JobKey("0", testJob().ID))
			c.Assert(err == nil, quicktest.Equals, tt.isStored)
		})
	}
}

// TestRepeat guards against a second job under one id.
func TestRepeat(t *testing.T) {
	c := quicktest.New(t)
	k := keeper.New(time.Now)
	r := newReceiver(k, time.Now, nil, nil)
	c.Assert(r.Submit(context.Background(), testJob(), planner.Resources{}), quicktest.IsNil)
	first, err := k.Store().Get(context.Background(), conductor.JobKey("0", testJob().ID))
	c.Assert(err, quicktest.IsNil)
	c.Assert(r.Submit(context.Background(), testJob(), planner.Resources{}), quicktest.IsNil)
	second, err := k.Store().Get(context.Background(), conductor.JobKey("0", testJob().ID))
	c.Assert(err, quicktest.IsNil)
	c.Assert(second.Revision, quicktest.Equals, first.Revision)
}

// TestInvalid guards against storing jobs that can't run.
func TestInvalid(t *testing.T) {
	for name, steps := range map[string][]planner.Step{
		"no steps":       nil,
		"no tasks":       {{}},
		"negative count": {{Count: -1}},
		"too many tasks": {{Count: planner.MaxTasks + 1}},
		"later step":     {{Count: 1, After: []int{1}}, {Count: 1}},
		"itself":         {{Count: 1, After: []int{0}}},
		"negative need":  {{Count: 1, Need: planner.Resources{CPU: -1}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			k := keeper.New(time.Now)
			j := testJob()
			j.Steps = steps
			c.Assert(outcome(newReceiver(k, time.Now, nil, nil).Submit(context.Background(), j, planner.Resources{})), quicktest.Equals, "invalid")
			c.Assert(k.Calls("transact"), quicktest.Equals, 0)
		})
	}
}

// TestStoreDown guards against clients that wait for a store which is known to
// be down, and against refusals after it answers again.
func TestStoreDown(t *testing.T) {
	c := quicktest.New(t)
	k := keeper.New(time.Now)
	now := time.Now()
	r := newReceiver(k, func() time.Time { return now }, nil, nil)
	r.RecordStoreAnswer(false)
	c.Assert(r.IsStoreDown(), quicktest.IsFalse)
	now = now.Add(time.Second)
	c.Assert(outcome(r.Submit(context.Background(), testJob(), planner.Resources{})), quicktest.Equals, "refused")
	c.Assert(k.Calls("transact"), quicktest.Equals, 0)
	r.RecordStoreAnswer(true)
	c.Assert(outcome(r.Submit(context.Background(), testJob(), planner.Resources{})), quicktest.Equals, "accepted")
}

// TestUnknownJob guards against the answer that a job doesn't exist while it is
// stored, or while the store does not answer.
func TestUnknownJob(t *testing.T) {
	for name, tt := range map[string]struct {
		isStored bool
		fault    func(op, key string) keeper.Fault
		want     string
	}{
		"never stored":  {false, nil, "no job 00000000000000aa"},
		"not yet read":  {true, nil, "accepted"},
		"store is down": {false, func(string, string) keeper.Fault { return keeper.Fault{Before: noAnswer} }, "refused"},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			k := keeper.New(time.Now)
			r := receiver.New(receiver.Options{
				Shards: 1, Choose: func(string, sharder.Demand) int { return 0 }, Store: k.Store(), Log: discardLogger(), Registry: prometheus.NewRegistry(), Now: time.Now,
				Local: func(context.Context, conductor.Question) (conductor.Reply, error) { return conductor.Reply{}, nil },
			})
			if tt.isStored {
				c.Assert(r.Store(context.Background(), testJob()), quicktest.IsNil)
			}
			k.SetFault(tt.fault)
			state, err := r.State(context.Background(), testJob().ID)
			c.Assert(outcome(err), quicktest.Equals, tt.want)
			if err == nil {
				c.Assert(state, quicktest.Equals, planner.Queued)
			}
		})
	}
}

// TestUnreachedPeerBackoff guards against clients that each wait for a peer which
// can't be reached.
func TestUnreachedPeerBackoff(t *testing.T) {
	c := quicktest.New(t)
	k := keeper.New(time.Now)
	k.SetFault(func(string, string) keeper.Fault { return keeper.Fault{Before: refusal} })
	now := time.Now()
	calls := 0
	r := newReceiver(k, func() time.Time { return now }, []netip.AddrPort{peer}, func(context.Context, netip.AddrPort, planner.Job) error {
		calls++
		return &receiver.UnreachedError{Peer: peer}
	})
	for range 3 {
		c.Assert(outcome(r.Submit(context.Background(), testJob(), planner.Resources{})), quicktest.Equals, "refused")
	}
	c.Assert(calls, quicktest.Equals, 1)
	now = now.Add(2 * time.Second)
	c.Assert(outcome(r.Submit(context.Background(), testJob(), planner.Resources{})), quicktest.Equals, "refused")
	c.Assert(calls, quicktest.Equals, 2)
}

// TestReusedID guards against answers about an earlier job with the same id, which
// another shard had: the id may be used again after the state of the earlier job
// has expired.
func TestReusedID(t *testing.T) {
	for name, ask := range map[string]func(*receiver.Receiver, context.Context, string) (planner.State, error){
		"state":  (*receiver.Receiver).State,
		"cancel": (*receiver.Receiver).Cancel,
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			k := keeper.New(time.Now)
			id := testJob().ID
			r := receiver.New(receiver.Options{
				Shards: 2, Choose: func(string, sharder.Demand) int { return 0 }, Store: k.Store(), Log: discardLogger(), Registry: prometheus.NewRegistry(), Now: time.Now,
				Local: func(_ context.Context, q conductor.Question) (conductor.Reply, error) {
					return conductor.Reply{Answer: conductor.Answer{State: planner.Done, Known: q.Shard == "1"}}, nil
				},
			})
			c.Assert(r.Store(context.Background(), testJob()), quicktest.IsNil)
			k.Remove(conductor.JobKey("0", id))
			k.Put(conductor.IndexKey(id), []byte("1"))
			state, err := ask(r, context.Background(), id)
			c.Assert(err, quicktest.IsNil)
			c.Assert(state, quicktest.Equals, planner.Done)
		})
	}
}

// TestGangAboveCapWhileStoreIsAway guards against a job that is called invalid although it
// may have been accepted under a higher cap.
func TestGangAboveCapWhileStoreIsAway(t *testing.T) {
	k, j := keeper.New(time.Now), testJob()
	j.Steps[0] = planner.Step{Count: 2, Need: planner.Resources{CPU: 1000}, Gang: true}
	k.SetFault(func(string, string) keeper.Fault { return keeper.Fault{Before: refusal} })
	for limit, want := range map[int64]string{1000: "undecided", 2000: "refused"} {
		err := newReceiver(k, time.Now, nil, nil).Submit(context.Background(), j, planner.Resources{CPU: limit})
		quicktest.Assert(t, outcome(err), quicktest.Equals, want)
	}
}
