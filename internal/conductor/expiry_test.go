package conductor_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/keeper"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestUnansweredRemoval guards against a job that stays in the store because its removal
// had no answer, so that its id can't be used again, and against the removal of a newer job
// with the id.
func TestUnansweredRemoval(t *testing.T) {
	lost := &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true, Err: errors.New("lost")}
	for name, tt := range map[string]struct {
		fault    keeper.Fault
		isReused bool
	}{
		"not applied":                 {keeper.Fault{Before: lost}, false},
		"applied":                     {keeper.Fault{After: lost}, false},
		"applied, and the id is used": {keeper.Fault{After: lost}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 20*time.Millisecond)
			var removals atomic.Int32
			s.keeper.SetFault(func(op, key string) keeper.Fault {
				// Only a removal writes nothing.
				if op == "transact" && key == "" && removals.Add(1) == 1 {
					return tt.fault
				}
				return keeper.Fault{}
			})
			d, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, retention: time.Millisecond}, 1)
			defer stop()
			s.submit("a", 1)
			s.eventually("removal not answered", testTimeout, func() bool { return removals.Load() == 1 })
			if tt.isReused {
				s.pool.mu.Lock()
				s.pool.taskDuration = time.Minute
				s.pool.mu.Unlock()
				s.submit("a", 2)
				s.eventually("running", testTimeout, func() bool { return state(d, "a") == planner.Running })
			}
			exists := func() bool {
				_, err := s.keeper.Store().Get(context.Background(), conductor.JobKey("0", "a"))
				return err == nil
			}
			if !tt.isReused {
				s.eventually("removed", testTimeout, func() bool { return !exists() })
				return
			}
			s.eventually("removal repeated", testTimeout, func() bool { return removals.Load() == 2 })
			time.Sleep(100 * time.Millisecond)
			s.Assert(exists(), quicktest.IsTrue)
		})
	}
}

// TestExpiryRemovesNotice guards against a notice of a cancellation that outlives its job
// and cancels a later job with the same id. The job was known before tasks of it came back
// from the shard that sends the notice.
func TestExpiryRemovesNotice(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, time.Minute)
	place := func(planner.Resources, int, bool) (string, int) { return "1", 0 }
	d, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, place: place, retention: time.Millisecond}, 1)
	defer stop()
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return state(d, "a") == planner.Running })
	notice := conductor.JobKey("0", "a") + "/cancelled"
	s.keeper.Put(notice, []byte{})
	for _, key := range []string{conductor.JobKey("0", "a"), notice} {
		s.eventually("removed: "+key, testTimeout, func() bool {
			_, err := s.keeper.Store().Get(context.Background(), key)
			return err != nil
		})
	}
}

// TestForgottenJobIsReadAgain guards against a second run of a job that has ended as done,
// because its record is delivered without its progress after the owner has forgotten it
// and while its removal has no answer.
func TestForgottenJobIsReadAgain(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 20*time.Millisecond)
	first, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool}, 1)
	s.submit("a", 1)
	s.eventually("done", testTimeout, func() bool { return state(first, "a") == planner.Done })
	s.eventually("ends acknowledged", testTimeout, func() bool { return s.pool.endCount() == 0 })
	stop()
	lost := &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true, Err: errors.New("lost")}
	var reads, removals atomic.Int32
	var isRead atomic.Bool
	second, stop := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, retention: time.Millisecond, change: func(o *conductor.Options) {
		list, transact := o.Store.Range, o.Store.Transact
		o.Store.Range = func(ctx context.Context, prefix string) ([]storeclient.Entry, uint64, error) {
			if strings.HasPrefix(prefix, "th/0/job") && reads.Add(1) > 1 && !isRead.Load() {
				return nil, 0, &storeclient.UnavailableError{Op: "range", Err: errors.New("lost")}
			}
			return list(ctx, prefix)
		}
		o.Store.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
			if len(t.Writes) == 0 {
				removals.Add(1)
				return 0, lost
			}
			return transact(ctx, t)
		}
	}}, 2)
	defer stop()
	s.eventually("owned", testTimeout, second.IsOwner)
	s.eventually("removal not answered", testTimeout, func() bool { return removals.Load() > 0 })
	t.Logf("forgotten: state %q, reads %d", state(second, "a"), reads.Load())
	isRead.Store(true)
	time.Sleep(2 * time.Second)
	t.Logf("read again: state %q, reads %d", state(second, "a"), reads.Load())
	for id, n := range s.pool.startsOf("a") {
		s.Assert(n, quicktest.Equals, 1, quicktest.Commentf("%s", id))
	}
}
