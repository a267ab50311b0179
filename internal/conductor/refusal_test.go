package conductor_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(data)
}

func (b *lockedBuffer) contains(texts ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range bytes.Split(b.all.Bytes(), []byte("\n")) {
		isFound := true
		for _, text := range texts {
			isFound = isFound && bytes.Contains(line, []byte(text))
		}
		if isFound {
			return true
		}
	}
	return false
}

// TestRefusedRecordHoldsUpNoOtherJob guards against a job whose progress the store refuses
// each time, and with it the progress and the cancellations of all other jobs.
func TestRefusedRecordHoldsUpNoOtherJob(t *testing.T) {
	const largeJob = 4000
	for name, tt := range map[string]struct {
		// limit is the size of the largest value, and isKnown is set if the owner knows it.
		// All progress of the job is refused if limit is zero.
		limit, tasks int
		isKnown      bool
		want         planner.State
		// isCancelled is set if a cancellation of the job is stored.
		isCancelled bool
	}{
		"too large":                           {400, largeJob, true, planner.Failed, true},
		"too large for a limit that is lower": {400, largeJob, false, planner.Done, true},
		"refused for another reason":          {0, 2, true, planner.Running, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 20*time.Millisecond)
			var written lockedBuffer
			c, stop := s.startDaemonOf(testShard{name: "0", cpu: 1_000_000, pool: s.pool, change: func(o *conductor.Options) {
				o.Log = &log.Logger{Writer: log.IOWriter{Writer: &written}}
				if tt.isKnown {
					o.Limits.MaxValueBytes = tt.limit
				}
				transact := o.Store.Transact
				o.Store.Transact = func(ctx context.Context, x storeclient.Transaction) (uint64, error) {
					for _, w := range x.Writes {
						if w.Key == "th/0/progress/bad" && len(w.Value) > tt.limit {
							return 0, &storeclient.RefusedError{Op: "transact", Status: 400}
						}
					}
					return transact(ctx, x)
				}
			}}, 1)
			defer stop()
			s.submit("bad", tt.tasks)
			s.eventually("refused", testTimeout, func() bool { return written.contains(`"job":"bad"`, "refused") })
			for _, id := range []string{"a", "b", "c"} {
				s.submit(id, 2)
				s.eventually(id, testTimeout, func() bool { return state(c, id) == planner.Done })
			}
			s.eventually("state", testTimeout, func() bool { return state(c, "bad") == tt.want })

			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			answer, err := c.Cancel(ctx, "bad")
			var refused *conductor.RefusedRecordError
			s.Assert(errors.As(err, &refused), quicktest.Equals, !tt.isCancelled, quicktest.Commentf("%v", err))
			if tt.isCancelled {
				s.Assert(answer.State.IsFinal(), quicktest.IsTrue)
			}
		})
	}
}
