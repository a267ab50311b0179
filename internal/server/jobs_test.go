package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/dispatcher"
	"tarragonhead.example/tarragonhead/internal/messenger"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// indexStore is an in-memory store for the job index that injects faults.
type indexStore struct {
	mu     sync.Mutex
	values map[string][]byte
	ttls   map[storeclient.LeaseID]time.Duration
	leases map[string]storeclient.LeaseID
	calls  int
	// faults has the faults to inject, by the number of the call from 0.
	faults   map[int]string
	revision uint64
}

// The faults of an indexStore.
const (
	failBefore = "error before effect"
	failAfter  = "answer lost after effect"
	slowSwap   = "slow"
	staleRead  = "old value"
	// conflictSame and conflictOther let another daemon index the job first.
	conflictSame  = "conflict with the same job"
	conflictOther = "conflict with other content"
)

// nextFault returns the fault of the next call, "" for none.
func (s *indexStore) nextFault() string {
	s.calls++
	return s.faults[s.calls-1]
}

func unavailable(op, key string) error {
	return &storeclient.UnavailableError{Op: op, Key: key, MayHaveApplied: true, Err: errors.New("injected")}
}

func (s *indexStore) get(_ context.Context, key string) (storeclient.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.nextFault()
	value, ok := s.values[key]
	switch {
	case f == failBefore || f == failAfter:
		return storeclient.Entry{}, unavailable("get", key)
	case !ok || f == staleRead:
		return storeclient.Entry{}, &storeclient.NotFoundError{Key: key}
	}
	return storeclient.Entry{Key: key, Value: value, Revision: 1}, nil
}

func (s *indexStore) swap(_ context.Context, key string, value []byte, expected uint64, lease storeclient.LeaseID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.nextFault()
	switch f {
	case failBefore:
		return 0, unavailable("swap", key)
	case slowSwap:
		time.Sleep(time.Second)
	case conflictSame, conflictOther:
		var e jobEntry
		if json.Unmarshal(value, &e) != nil {
			panic("entry")
		}
		if f == conflictOther {
			e.Hash++
		}
		e.Shard = "west"
		s.values[key], _ = json.Marshal(e)
	}
	if _, exists := s.values[key]; exists || expected != 0 {
		return 0, &storeclient.ConflictError{Key: key, Current: 1}
	}
	s.values[key], s.leases[key] = value, lease
	if f == failAfter {
		return 0, unavailable("swap", key)
	}
	return 1, nil
}

func (s *indexStore) grant(_ context.Context, ttl time.Duration) (storeclient.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.nextFault(); f == failBefore || f == failAfter {
		return 0, unavailable("grant", "")
	}
	id := storeclient.LeaseID(len(s.ttls) + 1)
	s.ttls[id] = ttl
	return id, nil
}

// fakeOwner is the owner of every shard. It records the jobs that it gets.
type fakeOwner struct {
	messenger.Peer
	err       error
	shards    []string
	claimed   []int64
	cancelled int
}

func (o *fakeOwner) Submit(_ context.Context, r *messenger.SubmitRequest) (*messenger.SubmitResponse, error) {
	if o.err != nil {
		return nil, o.err
	}
	o.shards, o.claimed = append(o.shards, r.Shard), append(o.claimed, r.ClaimedAt)
	return &messenger.SubmitResponse{Shard: r.Shard}, nil
}

func (o *fakeOwner) Cancel(context.Context, *messenger.CancelRequest) (*messenger.CancelResponse, error) {
	if o.err != nil {
		return nil, o.err
	}
	o.cancelled++
	return &messenger.CancelResponse{}, nil
}

func testSettings() Settings {
	return Settings{ID: "d0", Domain: "east", Traffic: "127.0.0.1:7000", Control: "127.0.0.1:7001", Store: "127.0.0.1:7100", LogLevel: "error", PanicOnViolation: true}
}

// newTestServer returns a daemon with a configuration. Its calls to other
// daemons all reach o.
func newTestServer(c *qt.C, s *indexStore, o *fakeOwner) *Server {
	settings, err := testSettings().parse()
	c.Assert(err, qt.IsNil)
	d, err := newServer(settings, io.Discard, prometheus.NewRegistry(), platform{
		store:     storeclient.Store{Get: s.get, CompareAndSwap: s.swap, Grant: s.grant},
		instances: func(context.Context) ([]dispatcher.Instance, error) { return nil, nil },
	})
	c.Assert(err, qt.IsNil)
	d.dial = func(string) messenger.Peer { return o }
	for _, shard := range []string{"east", "west", "north"} {
		d.owners[shard] = &messenger.ShardOwner{Shard: shard, Member: "d0"}
	}
	adoptConfig(c, d, []string{"north"})
	return d
}

// adoptConfig gives a daemon the next revision of the configuration, with the
// given failure domains out of service.
func adoptConfig(c *qt.C, d *Server, out []string) {
	w := declarer.Work{Worker: declarer.Resources{MilliCPU: 100, MemoryMB: 100}, Teams: []declarer.Team{{Name: "team", Weight: 1}}}
	hash, work, err := declarer.EncodeWork(w)
	c.Assert(err, qt.IsNil)
	config, _ := d.config.Current()
	revision := uint64(1)
	if config != nil {
		revision += config.Revision
	}
	head, err := declarer.EncodeHead(declarer.Head{
		Revision: revision, Preset: declarer.Peak, Domains: []string{"east", "north", "west"}, DomainsOut: out, WorkHash: hash,
		Changes: []declarer.ChangeNote{{ID: "x", Revision: revision, Operator: "x", Summary: "x"}},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(d.config.Adopt(head, work), qt.IsNil)
}

func newIndexStore() *indexStore {
	return &indexStore{values: map[string][]byte{}, ttls: map[storeclient.LeaseID]time.Duration{}, leases: map[string]storeclient.LeaseID{}, faults: map[int]string{}}
}

// submitRequest returns the submission of a small job that change has modified.
func submitRequest(change func(*declarer.BatchJob)) *messenger.SubmitRequest {
	j := declarer.BatchJob{ID: "bundle", Team: "team", Kind: "k", Tasks: 2, Resources: declarer.Resources{MilliCPU: 1, MemoryMB: 1}, RunTime: time.Second}
	if change != nil {
		change(&j)
	}
	data, _, err := declarer.EncodeJob(j)
	if err != nil {
		panic(err)
	}
	return &messenger.SubmitRequest{Job: data}
}

func errorCode(err error) twirp.ErrorCode {
	var coded twirp.Error
	if errors.As(err, &coded) {
		return coded.Code()
	}
	return ""
}

// TestSubmitUnderFaults guards against a job that is submitted to two shards, a
// response that contradicts the index, and an index entry without a lease. It
// injects each fault at each store call, alone and with a second fault.
func TestSubmitUnderFaults(t *testing.T) {
	kinds := []string{failBefore, failAfter, slowSwap, staleRead, conflictSame, conflictOther}
	plans := map[string]map[int]string{"no fault": {}}
	for i := range 4 {
		for _, f := range kinds {
			plans[fmt.Sprintf("%s at call %d", f, i)] = map[int]string{i: f}
			for j := i + 1; j < 5; j++ {
				for _, g := range kinds {
					plans[fmt.Sprintf("%s at call %d and %s at call %d", f, i, g, j)] = map[int]string{i: f, j: g}
				}
			}
		}
	}
	for name, plan := range plans {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s, o := newIndexStore(), &fakeOwner{}
			s.faults = plan
			d := newTestServer(c, s, o)
			_, err := d.SubmitJob(t.Context(), submitRequest(nil))
			c.Logf("%s: %v", name, err)
			if err != nil {
				c.Assert(o.shards, qt.HasLen, 0)
				c.Assert(errorCode(err) == twirp.Unavailable || errorCode(err) == twirp.AlreadyExists, qt.IsTrue, qt.Commentf("%v", err))
			}
			if err == nil {
				c.Assert(s.values["job/bundle"], qt.IsNotNil, qt.Commentf("submitted without an index entry"))
			}
			s.faults = nil
			_, again := d.SubmitJob(t.Context(), submitRequest(nil))
			if errorCode(again) == twirp.AlreadyExists {
				c.Assert(o.shards, qt.HasLen, 0)
				return
			}
			c.Assert(again, qt.IsNil)
			var entry jobEntry
			c.Assert(json.Unmarshal(s.values["job/bundle"], &entry), qt.IsNil)
			for _, shard := range o.shards {
				c.Assert(shard, qt.Equals, entry.Shard)
			}
			// An entry that another daemon wrote has no lease here.
			if lease, own := s.leases["job/bundle"]; own {
				c.Assert(s.ttls[lease], qt.Equals, 30*24*time.Hour)
			}
		})
	}
}

// TestSubmitRefusals guards against the acceptance of a job that can never run,
// and against a refusal that doesn't name the field.
func TestSubmitRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(*declarer.BatchJob)
		code   twirp.ErrorCode
		want   string
	}{
		"accepted":               {nil, "", ""},
		"domain out of service":  {func(j *declarer.BatchJob) { j.Domain = "north" }, twirp.InvalidArgument, `job.domain: failure domain "north" is out of service`},
		"unknown domain":         {func(j *declarer.BatchJob) { j.Domain = "moon" }, twirp.InvalidArgument, `job.domain: unknown failure domain "moon"`},
		"larger than any worker": {func(j *declarer.BatchJob) { j.Resources.MilliCPU = 101 }, twirp.InvalidArgument, "job.resources: got milli_cpu 101"},
		"malformed id":           {func(j *declarer.BatchJob) { j.ID = "a/b" }, twirp.InvalidArgument, `job.id: got "a/b"`},
		"unknown team":           {func(j *declarer.BatchJob) { j.Team = "x" }, twirp.InvalidArgument, `job.team: unknown team "x"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, o := newIndexStore(), &fakeOwner{}
			_, err := newTestServer(c, s, o).SubmitJob(t.Context(), submitRequest(test.change))
			c.Assert(errorCode(err), qt.Equals, test.code)
			if test.want != "" {
				c.Assert(err.Error(), qt.Contains, test.want)
				c.Assert(s.values, qt.HasLen, 0)
				c.Assert(o.shards, qt.HasLen, 0)
			}
		})
	}
}

// TestResubmission guards against a repeated submission that goes to another
// shard after the failure domains in service have changed, against different
// content with the same id, and against a repeat that is taken for a new job
// once the shard has forgotten the first.
func TestResubmission(t *testing.T) {
	c := qt.New(t)
	s, o := newIndexStore(), &fakeOwner{}
	d := newTestServer(c, s, o)
	first, err := d.SubmitJob(t.Context(), submitRequest(nil))
	c.Assert(err, qt.IsNil)
	c.Assert(first.Existed, qt.IsFalse)
	adoptConfig(c, d, []string{first.Shard})
	again, err := d.SubmitJob(t.Context(), submitRequest(nil))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Existed, qt.IsTrue)
	c.Assert(again.Shard, qt.Equals, first.Shard)
	_, err = d.SubmitJob(t.Context(), submitRequest(func(j *declarer.BatchJob) { j.Tasks = 3 }))
	c.Assert(errorCode(err), qt.Equals, twirp.AlreadyExists)
	c.Assert(o.shards, qt.HasLen, 2)
	c.Assert(o.claimed[0] > 0, qt.IsTrue)
	c.Assert(o.claimed[1], qt.Equals, o.claimed[0])

	adoptConfig(c, d, nil)
	inWest := submitRequest(func(j *declarer.BatchJob) { j.ID, j.Domain = "other", "west" })
	_, err = d.SubmitJob(t.Context(), inWest)
	c.Assert(err, qt.IsNil)
	adoptConfig(c, d, []string{"west"})
	again, err = d.SubmitJob(t.Context(), inWest)
	c.Assert(err, qt.IsNil, qt.Commentf("a job that was accepted is not checked again"))
	c.Assert(again.Existed, qt.IsTrue)
}

// TestForwardedAnswers guards against an owner's response that is forwarded
// with another meaning.
func TestForwardedAnswers(t *testing.T) {
	tests := map[string]struct {
		err  error
		want twirp.ErrorCode
	}{
		"accepted":          {nil, ""},
		"refused":           {twirp.NewError(twirp.InvalidArgument, "x"), twirp.InvalidArgument},
		"owner changed":     {twirp.NewError(twirp.Unavailable, "x"), twirp.Unavailable},
		"undecided":         {twirp.NewError(twirp.Unknown, "x"), twirp.Unknown},
		"not reached":       {twirp.InternalErrorWith(&net.OpError{Op: "dial", Err: errors.New("refused")}), twirp.Unavailable},
		"connection broken": {twirp.InternalErrorWith(&net.OpError{Op: "read", Err: io.EOF}), twirp.Unknown},
		"no answer in time": {twirp.NewError(twirp.DeadlineExceeded, "x"), twirp.Unknown},
		"call cancelled":    {twirp.NewError(twirp.Canceled, "x"), twirp.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, o := newIndexStore(), &fakeOwner{}
			d := newTestServer(c, s, o)
			_, err := d.SubmitJob(t.Context(), submitRequest(nil))
			c.Assert(err, qt.IsNil)
			o.err = test.err
			_, err = d.SubmitJob(t.Context(), submitRequest(nil))
			c.Assert(errorCode(err), qt.Equals, test.want)
			_, err = d.CancelJob(t.Context(), &messenger.CancelRequest{JobId: "bundle"})
			c.Assert(errorCode(err), qt.Equals, test.want)
		})
	}
}

func TestCancelRefusals(t *testing.T) {
	tests := map[string]struct {
		id   string
		want twirp.ErrorCode
	}{
		"malformed id": {"../config", twirp.InvalidArgument},
		"empty id":     {"", twirp.InvalidArgument},
		"unknown job":  {"unknown", twirp.NotFound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := &fakeOwner{}
			_, err := newTestServer(c, newIndexStore(), o).CancelJob(t.Context(), &messenger.CancelRequest{JobId: test.id})
			c.Assert(errorCode(err), qt.Equals, test.want)
			c.Assert(o.cancelled, qt.Equals, 0)
		})
	}
}
