package controller

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// TestStartAfterOtherWorkerAnswered guards against an attempt that starts on
// another worker than the one on which it was placed. A worker that is new at the
// address of an ended one answers the calls for it.
func TestStartAfterOtherWorkerAnswered(t *testing.T) {
	c := quicktest.New(t)
	started := 0
	var posted []input
	s := &session{
		id: "a", epoch: 1, post: func(in input) { posted = append(posted, in) },
		remaining: func(time.Time) map[declarer.Class]time.Duration {
			return map[declarer.Class]time.Duration{declarer.ClassBatch: time.Minute}
		},
		leaseExpiry: map[declarer.Class]time.Time{}, expiredClasses: map[declarer.Class]bool{},
	}
	answering := "a"
	s.worker = dispatcher.Worker{
		Renew: func(context.Context, dispatcher.RenewRequest) (dispatcher.Status, error) {
			return dispatcher.Status{Process: dispatcher.Process{Worker: answering, Incarnation: answering}}, nil
		},
		Start: func(context.Context, dispatcher.StartRequest) error { started++; return nil },
	}
	start := &scheduler.StartTask{Worker: "a", Task: "job/1/0", Attempt: 1, Class: declarer.ClassBatch, ConfirmedAt: time.Now()}
	s.requestStatus(context.Background(), time.Now())
	s.sendStart(context.Background(), start)
	c.Assert(started, quicktest.Equals, 1)
	answering, started = "b", 0
	s.requestStatus(context.Background(), time.Now())
	posted = nil
	s.sendStart(context.Background(), start)
	c.Assert(started, quicktest.Equals, 0)
	c.Assert(posted, quicktest.HasLen, 1)
	c.Assert(posted[0].event.StartRefused, quicktest.IsNotNil)
}
