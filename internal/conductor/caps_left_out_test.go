package conductor_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"tarragonhead.example/tarragonhead/internal/allotter"
	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// TestPartsOfManyOrganisationsMove guards against a shard that gives back the parts of only
// as many organisations as fit into one transaction between two reads, and against
// organisations that don't start because the store rejects each transaction with the record
// of another one, which is written by others all the time.
func TestPartsOfManyOrganisationsMove(t *testing.T) {
	const count, contested = 100, "th/cap/o07"
	for name, want := range map[string]int{"no conflict": count, "one contested record": count - 1} {
		t.Run(name, func(t *testing.T) {
			s := newCappedShards(t, 20)
			all := map[string]planner.Organisation{}
			record, err := allotter.Record{Parts: map[string]planner.Resources{"0": {CPU: 1000}}}.Encode()
			s.Assert(err, quicktest.IsNil)
			if want < count {
				s.stops[1]()
				s.shards[1].change = func(o *conductor.Options) {
					transact := o.Store.Transact
					o.Store.Transact = func(ctx context.Context, t storeclient.Transaction) (uint64, error) {
						if slices.ContainsFunc(t.Writes, func(w storeclient.Write) bool { return w.Key == contested }) {
							s.keeper.Put(contested, record)
						}
						return transact(ctx, t)
					}
				}
				s.start(t, 1, 3)
				s.eventually("owned", testTimeout, s.owners[1].IsOwner)
			}
			for i := range count {
				name := fmt.Sprintf("o%02d", i)
				all[name] = planner.Organisation{Cap: planner.Resources{CPU: 1000}}
				s.keeper.Put("th/cap/"+name, record)
			}
			for _, c := range s.owners {
				c.SetConfig(planner.Config{Organisations: all})
			}
			for name := range all {
				j := planner.Job{
					ID: "job-" + name, Queue: planner.Queue{Name: "queue", Service: "service", Attempts: 2, Stretch: 2}, Received: time.Now(), Organisation: name,
					Steps: []planner.Step{{Count: 1, Need: planner.Resources{CPU: 100, Memory: 1}, Estimate: time.Minute}},
				}
				value, err := planner.Encode(j)
				s.Assert(err, quicktest.IsNil)
				s.keeper.Put(conductor.JobKey("1", j.ID), value)
			}
			s.eventually("all run", 3*time.Second, func() bool { return s.running()[1] == want })
		})
	}
}

// TestCapOfRemovedOrganisation guards against jobs that wait for ever because the
// configuration no longer has their organisation, whose last cap holds on.
func TestCapOfRemovedOrganisation(t *testing.T) {
	s := newCappedShards(t, 20)
	s.submitTo("0", "job0", 20)
	s.holds("one shard uses all", 20, func(n [2]int) bool { return n[0] == 20 })
	s.submitTo("1", "job1", 4)
	s.holds("the other waits", 20, func([2]int) bool { return s.waiting(1, "job1") })
	for _, c := range s.owners {
		c.SetConfig(planner.Config{})
	}
	s.endRuns(0, 10)
	s.holds("what has ended goes to the other", 20, func(n [2]int) bool { return n[1] == 4 })
}

// waiting reports whether the owner of a shard knows a job of which nothing has started.
func (s *cappedShards) waiting(shard int, job string) bool {
	return state(s.owners[shard], job) == planner.Queued
}

// TestCapIntroducedAfterLoad guards against an owner that gives a part back which the runs of
// its predecessor use, because its configuration had no cap when it loaded the shard.
func TestCapIntroducedAfterLoad(t *testing.T) {
	s := newCappedShards(t, 20)
	s.submitTo("0", "job0", 20)
	s.holds("one shard uses all", 20, func(n [2]int) bool { return n[0] == 20 })
	s.shards[0].pool.mu.Lock()
	s.shards[0].pool.intercept = func(string) error { return errCutOff }
	s.shards[0].pool.mu.Unlock()
	s.stops[0]()
	s.start(t, 0, 3)
	s.eventually("owned without a cap", testTimeout, func() bool { return s.owners[0].IsOwner() && state(s.owners[0], "job0") != "" })
	s.eventually("loaded", testTimeout, func() bool { return s.waiting(0, "job0") })
	s.setCap(20)
	s.submitTo("1", "job1", 20)
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		n := s.running()
		s.Assert(n[0]+n[1] <= 20, quicktest.IsTrue, quicktest.Commentf("%v", n))
	}
}

var errCutOff = errors.New("cut off")

// TestCapMetricsOfFormerOwner guards against parts that a former owner still shows, so that
// the parts of a cap seem to add up to more than the cap.
func TestCapMetricsOfFormerOwner(t *testing.T) {
	s := newCappedShards(t, 20)
	registry := prometheus.NewRegistry()
	s.stops[0]()
	s.shards[0].change = func(o *conductor.Options) { o.Registry = registry }
	s.start(t, 0, 3)
	s.setCap(20)
	s.submitTo("0", "job0", 20)
	hasCaps := func() bool {
		families, err := registry.Gather()
		s.Assert(err, quicktest.IsNil)
		for _, f := range families {
			if f.GetName() == "tarragonhead_organisation_cap" {
				return true
			}
		}
		return false
	}
	s.eventually("shown", testTimeout, hasCaps)
	s.stops[0]()
	s.Assert(hasCaps(), quicktest.IsFalse)
}
