package configurer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

// startConfigurer runs a configurer until the end of the test.
func startConfigurer(t *testing.T, s *fakeStore, owning bool) *Configurer {
	conf := newConfigurer(s)
	conf.options.OwnsShard = func() bool { return owning }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		conf.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return conf
}

// TestChangeArrives guards against a change that arrives only with the next
// read although the watch works, and against one that never arrives because
// the watch has stalled.
func TestChangeArrives(t *testing.T) {
	tests := map[string]struct {
		faultFor func(op string) fault
		owning   bool
		within   time.Duration
	}{
		"by the watch":                          {nil, false, 10 * time.Millisecond},
		"by a read of an owner":                 {func(op string) fault { return map[string]fault{"watch": failBefore}[op] }, true, confirmInterval},
		"by a read of a daemon without a shard": {func(op string) fault { return map[string]fault{"watch": failBefore}[op] }, false, idleInterval},
		"by the watch while reads fail":         {func(op string) fault { return map[string]fault{"get": failBefore}[op] }, false, 10 * time.Millisecond},
		"by a read when the store is old":       {func(op string) fault { return map[string]fault{"watch": showOld}[op] }, true, confirmInterval},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSeededStore(t)
				conf := startConfigurer(t, s, test.owning)
				time.Sleep(3 * time.Second)
				c.Assert(conf.revision(), qt.Equals, uint64(2))
				_, confirmedBefore := conf.Current()
				s.setFaultFor(test.faultFor)
				time.Sleep(time.Second)
				s.acceptOtherChange()
				time.Sleep(test.within)
				synctest.Wait()
				c.Assert(conf.revision(), qt.Equals, uint64(3))
				if name == "by the watch while reads fail" {
					_, at := conf.Current()
					c.Assert(at.Equal(confirmedBefore), qt.IsTrue, qt.Commentf("a watch must not confirm the configuration"))
				}
			})
		})
	}
}

// TestOldValueConfirmsNothing guards against a read of an old value that
// reverts the configuration or confirms it and so allows a start.
func TestOldValueConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSeededStore(t)
		conf := startConfigurer(t, s, true)
		time.Sleep(time.Second)
		s.setFaultFor(func(string) fault { return showOld })
		time.Sleep(time.Minute)
		config, at := conf.Current()
		c.Assert(config.Revision, qt.Equals, uint64(2))
		c.Assert(time.Since(at) >= 59*time.Second, qt.IsTrue)
		_, err := conf.Propose(context.Background(), Change{ID: "mine", Operator: "me", Summary: "preset peak", Edit: setPreset(declarer.Peak)})
		c.Assert(err, qt.ErrorMatches, "the store shows configuration revision 1, below 2 that is in force; nothing was changed")
		c.Assert(s.heads(c), qt.HasLen, 2)
		s.setFaultFor(nil)
		time.Sleep(time.Second)
		_, at = conf.Current()
		c.Assert(time.Since(at) <= time.Second, qt.IsTrue)
	})
}

// TestConfirmationIsReadStart guards against a confirmation that is timed at
// the end of a slow read instead of its start.
func TestConfirmationIsReadStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSeededStore(t)
		conf := newConfigurer(s)
		s.plan = map[int]fault{0: answerSlowly, 1: answerSlowly}
		start := time.Now()
		_, err := conf.readAndApply(context.Background())
		c.Assert(err, qt.IsNil)
		_, at := conf.Current()
		c.Assert(at.Equal(start), qt.IsTrue)
	})
}

// TestStartWithoutStore guards against a daemon that stays without a
// configuration although a peer has one, and against one that reverts to an
// older configuration after a restart.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSeededStore(t)
		peer := startConfigurer(t, s, false)
		time.Sleep(time.Second)
		s.setFaultFor(func(string) fault { return failBefore })
		fresh := startConfigurer(t, s, false)
		time.Sleep(10 * time.Second)
		config, _ := fresh.Current()
		c.Assert(config, qt.IsNil)
		_, head, work := peer.Encode("")
		c.Assert(fresh.Adopt(head, nil), qt.ErrorMatches, "peer left out the declared work .*")
		c.Assert(fresh.Adopt(head, work), qt.IsNil)
		config, at := fresh.Current()
		c.Assert(config.Revision, qt.Equals, uint64(2))
		c.Assert(config.Services, qt.HasLen, 1)
		c.Assert(at.IsZero(), qt.IsTrue, qt.Commentf("a peer must not confirm the configuration"))
		// The store is reachable again but returns an old value, which must not
		// be applied.
		s.setFaultFor(func(string) fault { return showOld })
		time.Sleep(10 * time.Second)
		c.Assert(fresh.revision(), qt.Equals, uint64(2))
		s.setFaultFor(nil)
		s.acceptOtherChange()
		time.Sleep(2 * time.Second)
		c.Assert(fresh.revision(), qt.Equals, uint64(3))
		// An older configuration is ignored, whatever its source.
		older, err := fresh.assemble(mustDecodeHead(c, head), head, func(string) ([]byte, error) { return work, nil })
		c.Assert(err, qt.IsNil)
		fresh.apply(older, time.Now(), "test")
		c.Assert(fresh.revision(), qt.Equals, uint64(3))
		c.Assert(fresh.Adopt(head, work), qt.IsNil)
		c.Assert(fresh.revision(), qt.Equals, uint64(3))
	})
}

// TestBurstOfChanges guards against changes that use up the rate of the reads
// that confirm the configuration. Nothing starts once the last confirmation is
// more than 2 s old.
func TestBurstOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSeededStore(t)
		conf := newConfigurer(s)
		conf.options.Store = storeclient.Limit(s.store(), storeclient.DefaultRates)
		ctx, cancel := context.WithCancel(t.Context())
		go conf.Run(ctx)
		time.Sleep(time.Second)
		var operators sync.WaitGroup
		for i := range 8 {
			operators.Go(func() {
				for r := range 400 {
					id := fmt.Sprintf("op%d-%d", i, r)
					_, _ = conf.Propose(ctx, Change{ID: id, Operator: id, Summary: id, Edit: declareService(10*i + r)})
				}
			})
		}
		worst := time.Duration(0)
		for range 3000 {
			time.Sleep(10 * time.Millisecond)
			_, at := conf.Current()
			worst = max(worst, time.Since(at))
		}
		cancel()
		operators.Wait()
		t.Logf("oldest confirmation during the burst: %s; %d changes accepted in 30 s", worst, len(s.heads(c)))
		// If all reads share one class, or if proposals run concurrently, the
		// oldest confirmation is over 0.59 s old.
		c.Assert(worst < confirmInterval, qt.IsTrue)
	})
}

// TestDamagedDocuments guards against a configuration that is applied in part
// or without its work.
func TestDamagedDocuments(t *testing.T) {
	c := qt.New(t)
	s := newSeededStore(t)
	peer := newConfigurer(s)
	_, err := peer.readAndApply(context.Background())
	c.Assert(err, qt.IsNil)
	_, head, work := peer.Encode("")
	tests := map[string]struct {
		head, work []byte
		want       string
	}{
		"empty head":    {nil, work, ".*head.*"},
		"cut head":      {head[:len(head)-3], work, "(unpack|decode) head: .*"},
		"cut work":      {head, work[:len(work)-3], "unpack work: .*"},
		"no work":       {head, nil, "peer left out .*"},
		"other content": {head, otherWork(c), "declared work has hash .*, want .*"},
	}
	for name, test := range tests {
		c.Run(name, func(c *qt.C) {
			fresh := newConfigurer(s)
			c.Assert(fresh.Adopt(test.head, test.work), qt.ErrorMatches, test.want)
			config, _ := fresh.Current()
			c.Assert(config, qt.IsNil)
		})
	}
}

func otherWork(c *qt.C) []byte {
	_, work, err := declarer.EncodeWork(declarer.Work{Teams: []declarer.Team{{Name: "x", Weight: 1}}})
	c.Assert(err, qt.IsNil)
	return work
}

func mustDecodeHead(c *qt.C, data []byte) declarer.Head {
	h, err := declarer.DecodeHead(data)
	c.Assert(err, qt.IsNil)
	return h
}
