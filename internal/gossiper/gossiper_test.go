package gossiper

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

// nodeBudget is the permitted control traffic of a node, in bytes a second.
const nodeBudget = 9000

// TestSteadyState guards against digests that exceed a node's traffic budget,
// against members that don't find each other and against false suspicions, with
// 24 daemons in 8 domains.
func TestSteadyState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, nodes := startAll(t, 24, func(o *Options) {
			// The owner of each domain is its first daemon.
			domain := o.Self.ControlAddr[:len("10.0.0.")] + "1:7001"
			o.Preferred = func() string { return domain }
		})
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			c.Assert(n.View(), qt.HasLen, 24)
		}
		time.Sleep(time.Minute)
		before := map[*node]int64{}
		for _, n := range nodes {
			before[n] = n.bytes.Load()
		}
		const span = 2 * time.Minute
		time.Sleep(span)
		total, most, suspected := 0.0, 0.0, 0.0
		for _, n := range nodes {
			rate := float64(n.bytes.Load()-before[n]) / span.Seconds()
			total, most = total+rate, max(most, rate)
			suspected += n.changes("suspected")
			c.Assert(n.Live(), qt.HasLen, 24)
			c.Assert(n.changes("dropped"), qt.Equals, 0.0)
		}
		t.Logf("24 daemons, both directions with HTTP headers: mean %.0f, most %.0f bytes a second; %v false suspicions in 3 min", total/24, most, suspected)
		c.Assert(most < nodeBudget, qt.IsTrue)
		c.Assert(suspected, qt.Equals, 0.0)
	})
}

// TestKilledDaemon guards against a lost daemon that stays in a view, or that
// returns to a view through a peer that drops it later.
func TestKilledDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, nodes := startAll(t, 9, nil)
		time.Sleep(10 * time.Second)
		nodes[4].kill()
		rest := append(append([]*node{}, nodes[:4]...), nodes[5:]...)
		time.Sleep(2 * time.Second)
		for _, n := range rest {
			c.Assert(n.Live(), qt.HasLen, 9)
		}
		time.Sleep(4 * time.Second)
		for _, n := range rest {
			c.Assert(n.Live(), qt.HasLen, 8)
			c.Assert(n.View(), qt.HasLen, 9)
		}
		time.Sleep(7 * time.Second)
		for _, n := range rest {
			c.Assert(n.View(), qt.HasLen, 8)
		}
		time.Sleep(2 * time.Minute)
		for _, n := range rest {
			c.Assert(n.View(), qt.HasLen, 8)
			c.Assert(n.changes("dropped"), qt.Equals, 1.0)
			c.Assert(n.changes("joined"), qt.Equals, 8.0)
		}
	})
}

// TestRestartedDaemon guards against peers that take a restarted daemon for its
// earlier run, also after its clock was set back.
func TestRestartedDaemon(t *testing.T) {
	tests := map[string]struct {
		shift time.Duration
		addr  string
	}{
		"same address":   {0, "10.0.3.1:7001"},
		"other address":  {0, "10.0.9.9:7001"},
		"clock set back": {-time.Hour, "10.0.3.1:7001"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				nw, nodes := startAll(t, 6, nil)
				time.Sleep(10 * time.Second)
				nodes[3].kill()
				time.Sleep(time.Second)
				m := member(3)
				m.Incarnation += uint64(test.shift)
				m.ControlAddr = test.addr
				restarted := nw.start(t, m, []string{nodes[0].addr}, nil)
				time.Sleep(5 * time.Second)
				own := restarted.Find(m.Id)
				for _, n := range append(nodes[:3:3], nodes[4], nodes[5], restarted) {
					c.Assert(n.Live(), qt.HasLen, 6)
					c.Assert(n.Find(m.Id).Incarnation, qt.Equals, own.Incarnation)
					c.Assert(n.Find(m.Id).ControlAddr, qt.Equals, test.addr)
				}
			})
		})
	}
}

// TestLeavingDaemon guards against a planned stop that peers detect only by
// missing heartbeats.
func TestLeavingDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, nodes := startAll(t, 9, nil)
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		nodes[2].Leave(ctx)
		nodes[2].kill()
		for _, n := range append(nodes[:2:2], nodes[3:]...) {
			c.Assert(n.Live(), qt.HasLen, 8)
			c.Assert(n.Find(nodes[2].options.Self.Id).Leaving, qt.IsTrue)
		}
		time.Sleep(5 * time.Second)
		for _, n := range append(nodes[:2:2], nodes[3:]...) {
			c.Assert(n.View(), qt.HasLen, 8)
			c.Assert(n.changes("suspected"), qt.Equals, 0.0)
		}
	})
}

// TestPartition guards against the two sides of a partition that don't find
// each other again after each has dropped the other.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		nw, nodes := startAll(t, 8, nil)
		time.Sleep(10 * time.Second)
		side := map[string]int{}
		for _, n := range nodes[:4] {
			side[n.addr] = 1
		}
		nw.partition(side)
		time.Sleep(2 * time.Minute)
		for _, n := range nodes {
			c.Assert(n.View(), qt.HasLen, 4)
		}
		nw.partition(map[string]int{})
		time.Sleep(20 * time.Second)
		for _, n := range nodes {
			c.Assert(n.Live(), qt.HasLen, 8)
		}
	})
}

// TestPeersFromInstances guards against a daemon without peers in its settings
// that does not find the daemons in the platform's list.
func TestPeersFromInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		nw := &network{nodes: map[string]*node{}, side: map[string]int{}}
		list := func(context.Context) ([]netip.AddrPort, error) {
			return []netip.AddrPort{netip.MustParseAddrPort(member(0).ControlAddr), netip.MustParseAddrPort(member(1).ControlAddr)}, nil
		}
		var nodes []*node
		for i := range 4 {
			nodes = append(nodes, nw.start(t, member(i), nil, func(o *Options) { o.Instances = list }))
		}
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			c.Assert(n.Live(), qt.HasLen, 4)
		}
	})
}

// TestConcurrentReaders guards against data races between exchanges and readers
// of the view. It can fail under the race detector only.
func TestConcurrentReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startAll(t, 3, nil)
		var readers sync.WaitGroup
		for range 4 {
			readers.Go(func() {
				for range 200 {
					for _, m := range nodes[0].View() {
						_ = m.String()
					}
					nodes[0].Answer(&messenger.Digest{})
					nodes[0].ExchangeNow()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		readers.Wait()
	})
}

// TestMalformedDigests guards against a digest from a faulty or hostile peer
// that corrupts the view.
func TestMalformedDigests(t *testing.T) {
	other := member(1)
	other.Incarnation = 1
	bad := member(2)
	bad.ControlAddr = "localhost"
	tests := map[string]struct {
		digest *messenger.Digest
		view   int
	}{
		"empty":                   {&messenger.Digest{}, 1},
		"heartbeats are missing":  {&messenger.Digest{Records: []uint64{1, 2, 3}, Heartbeats: []uint64{1}}, 1},
		"record without address":  {&messenger.Digest{Members: []*messenger.Member{{Id: "x"}}}, 1},
		"address is not numeric":  {&messenger.Digest{Members: []*messenger.Member{bad}}, 1},
		"the same record twice":   {&messenger.Digest{Members: []*messenger.Member{other, other}}, 2},
		"own id, older run":       {&messenger.Digest{Members: []*messenger.Member{{Id: member(0).Id, Domain: "d", ControlAddr: "1.2.3.4:5", TrafficAddr: "1.2.3.4:6", Incarnation: 1}}}, 1},
		"asks for what is absent": {&messenger.Digest{Missing: []uint64{1, 2, 3}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				_, nodes := startAll(t, 1, nil)
				nodes[0].Answer(test.digest)
				c.Assert(nodes[0].View(), qt.HasLen, test.view)
			})
		})
	}
}

// FuzzAnswer answers digests with arbitrary encoded content.
func FuzzAnswer(f *testing.F) {
	for _, d := range []*messenger.Digest{
		{}, {From: 1, Records: []uint64{1}, Heartbeats: []uint64{2}}, {Members: []*messenger.Member{{Id: "a", Domain: "b", ControlAddr: "1.2.3.4:5", TrafficAddr: "1.2.3.4:6"}}, Missing: []uint64{9}},
	} {
		f.Add(encode(d))
	}
	f.Fuzz(func(t *testing.T, data []byte) { answerEncoded(t, data) })
}
