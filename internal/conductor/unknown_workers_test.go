package conductor_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"tarragonhead.example/tarragonhead/internal/planner"
)

// TestUnreadableWorkerList guards against a second run of a task after a change
// of owner when the stored list of workers can't be decoded: the tasks of the
// first owner may still run on workers that its successors don't know. It also
// guards against a successor that replaces the list while such tasks may run, so
// that the next successor no longer waits for them.
func TestUnreadableWorkerList(t *testing.T) {
	for name, spoil := range map[string]func([]byte) []byte{
		"another record": func([]byte) []byte { return []byte("not a list") },
		"cut off":        func(value []byte) []byte { return value[:len(value)-1] },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkUnreadableWorkerList(t, spoil)
		})
	}
}

func checkUnreadableWorkerList(t *testing.T, spoil func([]byte) []byte) {
	const workersKey = "th/0/workers"
	s := newTestCluster(t, time.Minute)
	first, stopFirst := s.startDaemon(1)
	s.submit("a", 2)
	s.eventually("running", testTimeout, func() bool { return state(first, "a") == planner.Running })
	stopFirst()
	entry, err := s.keeper.Store().Get(context.Background(), workersKey)
	s.Assert(err, quicktest.IsNil)
	s.keeper.Put(workersKey, spoil(entry.Value))
	// The successors reach other workers than the first owner.
	other := testShard{name: "0", cpu: 64000, pool: newPool(time.Minute)}
	startsElsewhere := func() int { return len(other.pool.startsOf("a")) }

	second, stopSecond := s.startDaemonOf(other, 2)
	s.eventually("owned", testTimeout, second.IsOwner)
	time.Sleep(time.Second)
	s.Assert(startsElsewhere(), quicktest.Equals, 0, quicktest.Commentf("started while the first owner's runs may go on"))
	stopSecond()
	third, stopThird := s.startDaemonOf(other, 3)
	defer stopThird()
	s.eventually("owned", testTimeout, third.IsOwner)
	// An owner may start tasks for 7 s without a proof of its ownership, and
	// its last leases last 1 s.
	time.Sleep(7 * time.Second)
	s.Assert(startsElsewhere(), quicktest.Equals, 0, quicktest.Commentf("started before every lease has expired"))
	s.eventually("started again", testTimeout, func() bool { return startsElsewhere() == 2 })
	entry, err = s.keeper.Store().Get(context.Background(), workersKey)
	s.Assert(err, quicktest.IsNil)
	var list []planner.Worker
	s.Assert(cbor.Unmarshal(entry.Value, &list), quicktest.IsNil)
	s.Assert(list, quicktest.HasLen, 1)
}
