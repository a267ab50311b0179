package conductor_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestLateOwnerEntry guards against a change of owner while the owner is alive: its entry
// was written under a lease, the write had no answer, and it takes effect after the entry
// was written again under a newer lease. The owner renews only the newer one.
func TestLateOwnerEntry(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, time.Minute)
	var mu sync.Mutex
	var late *storeclient.Transaction
	rewritten := make(chan struct{})
	first, stopFirst := s.startDaemonOf(testShard{name: "0", cpu: 64000, pool: s.pool, change: func(o *conductor.Options) {
		transact := o.Store.Transact
		o.Store.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
			isRewrite := len(t.Expect) == 1 && len(t.Writes) == 1 && t.Writes[0].Key == conductor.OwnerKey("0")
			if !isRewrite {
				return transact(ctx, t)
			}
			mu.Lock()
			defer mu.Unlock()
			if late == nil {
				late = &t
				return 0, &storeclient.UnavailableError{Op: "transact", MayHaveApplied: true, Err: errors.New("no answer")}
			}
			revision, err := transact(ctx, t)
			select {
			case <-rewritten:
			default:
				close(rewritten)
			}
			return revision, err
		}
	}}, 1)
	defer stopFirst()
	s.eventually("owned", testTimeout, first.IsOwner)
	second, stopSecond := s.startDaemon(2)
	defer stopSecond()
	s.submit("a", 1)
	s.eventually("running", testTimeout, func() bool { return state(first, "a") == planner.Running })
	s.keeper.Remove(conductor.OwnerKey("0"))
	select {
	case <-rewritten:
	case <-time.After(testTimeout):
		s.Fatal("the entry was not written again")
	}
	_, err := s.keeper.Store().Transact(context.Background(), *late)
	s.Assert(err, quicktest.IsNil)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.Assert(first.IsOwner(), quicktest.IsTrue)
		s.Assert(second.IsOwner(), quicktest.IsFalse)
	}
}
