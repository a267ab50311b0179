package soaker

import (
	"net/netip"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"tarragonhead.example/tarragonhead/internal/conductor"
	"tarragonhead.example/tarragonhead/internal/sharder"
	"tarragonhead.example/tarragonhead/standins/platformer"
)

// TestMain runs the test binary as a stand-in for tarragond, which waits to be
// killed, if it is started as one.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == "platform" {
		time.Sleep(time.Minute)
		return
	}
	os.Exit(m.Run())
}

// TestOverlappingFaultsEndSeparately guards against a fault that ends with an
// earlier one, so that a soak has fewer faults than it reports.
func TestOverlappingFaultsEndSeparately(t *testing.T) {
	t.Run("impairments", func(t *testing.T) {
		c := quicktest.New(t)
		var p Proxy
		endFirst := p.Impair(Impairment{DropToServer: true, Delay: time.Second})
		endSecond := p.Impair(Impairment{DropToServer: true, Refuse: true})
		c.Assert(p.current(), quicktest.Equals, Impairment{DropToServer: true, Refuse: true, Delay: time.Second})
		endFirst()
		c.Assert(p.current(), quicktest.Equals, Impairment{DropToServer: true, Refuse: true})
		endSecond()
		c.Assert(p.current(), quicktest.Equals, Impairment{})
	})
	t.Run("shares of calls", func(t *testing.T) {
		c := quicktest.New(t)
		var shares overlay[float64]
		endFirst := shares.add(0.6)
		endSecond := shares.add(0.2)
		c.Assert(largest(&shares), quicktest.Equals, 0.6)
		endFirst()
		c.Assert(largest(&shares), quicktest.Equals, 0.2)
		endSecond()
		c.Assert(largest(&shares), quicktest.Equals, 0.0)
	})
	t.Run("pauses", func(t *testing.T) {
		c := quicktest.New(t)
		var sent []syscall.Signal
		p := pauser{signal: func(x syscall.Signal) { sent = append(sent, x) }}
		endFirst := p.pause()
		endSecond := p.pause()
		endFirst()
		c.Assert(slices.Contains(sent, syscall.SIGCONT), quicktest.IsFalse)
		endSecond()
		c.Assert(sent[len(sent)-1], quicktest.Equals, syscall.SIGCONT)
	})
}

// TestPausedTime guards against a signal to read the settings again that ends a
// process which was paused before it has installed its handler.
func TestPausedTime(t *testing.T) {
	c := quicktest.New(t)
	const length = 50 * time.Millisecond
	p := pauser{signal: func(syscall.Signal) {}}
	c.Assert(p.pausedTime(), quicktest.Equals, time.Duration(0))
	endFirst := p.pause()
	endSecond := p.pause()
	time.Sleep(length)
	endFirst()
	time.Sleep(length)
	c.Assert(p.pausedTime() >= 2*length, quicktest.IsTrue)
	endSecond()
	paused := p.pausedTime()
	time.Sleep(length)
	c.Assert(p.pausedTime(), quicktest.Equals, paused)
	p.pause()
	time.Sleep(length)
	c.Assert(p.pausedTime() >= 3*length, quicktest.IsTrue)
}

// TestOverlappingRestartsStartOneProcess guards against two processes of one
// instance at the same time, of which one can't listen at the instance's address.
func TestOverlappingRestartsStartOneProcess(t *testing.T) {
	c := quicktest.New(t)
	platform, err := platformer.New(platformer.Options{Binary: os.Args[0], Directory: t.TempDir(), Workers: 1, TaskDuration: taskDuration})
	c.Assert(err, quicktest.IsNil)
	t.Cleanup(platform.Stop)
	s := &soak{platform: platform, checker: newChecker(), startedAt: time.Now()}
	i := &instance{name: "edge-1"}
	c.Assert(s.startProcess(i), quicktest.IsNil)
	s.restartAfter(i, syscall.SIGKILL, 20*time.Millisecond, nil)
	s.restartAfter(i, syscall.SIGTERM, 20*time.Millisecond, nil)
	s.restartAfter(i, syscall.SIGKILL, 20*time.Millisecond, nil)
	s.activeFaults.Wait()
	c.Assert(s.checker.violations, quicktest.HasLen, 0)
	c.Assert(platform.Processes(i.name), quicktest.Equals, 2)
	c.Assert(hasEnded(s.currentProcess(i)), quicktest.IsFalse)
}

// TestOwnerIsFound guards against takeovers that restart any instance, so that few
// of them take the shard over.
func TestOwnerIsFound(t *testing.T) {
	c := quicktest.New(t)
	platform, err := platformer.New(platformer.Options{Binary: os.Args[0], Directory: t.TempDir(), Workers: 1, TaskDuration: taskDuration})
	c.Assert(err, quicktest.IsNil)
	t.Cleanup(platform.Stop)
	s := &soak{platform: platform, checker: newChecker(), startedAt: time.Now(), instances: []*instance{{name: "edge-1"}, {name: "edge-2"}}}
	for _, i := range s.instances {
		c.Assert(s.startProcess(i), quicktest.IsNil)
	}
	j := &injector{soak: s}
	c.Assert(j.owner(), quicktest.IsNil)
	record, err := cbor.Marshal(map[string]any{"address": netip.MustParseAddrPort(s.instances[1].process.Control())})
	c.Assert(err, quicktest.IsNil)
	platform.Keeper.Put(conductor.OwnerKey(sharder.Name(0)), record)
	c.Assert(j.owner().name, quicktest.Equals, "edge-2")
}
