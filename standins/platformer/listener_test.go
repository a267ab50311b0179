package platformer

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/keeper"
)

// TestRestartBesideCopyOfSocket guards against a restart that fails because a child
// between fork and exec has a copy of the socket of the ended process, for however
// long it takes.
func TestRestartBesideCopyOfSocket(t *testing.T) {
	for name, restart := range map[string]Restart{"killed": {}, "without power": {IsSilent: true}} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			stopped := make(chan struct{})
			w := newWorker(0, Options{}, keeper.New(time.Now).Store(), stopped)
			c.Assert(w.listen(w.newProcess(1, 0)), quicktest.IsNil)
			t.Cleanup(func() {
				close(stopped)
				w.stop()
			})
			child, err := w.process.listener.Listener.(*net.TCPListener).File()
			c.Assert(err, quicktest.IsNil)
			t.Cleanup(func() { _ = child.Close() })
			c.Assert(w.Restart(restart), quicktest.IsNil)
			connection, err := net.Dial("tcp4", w.address)
			c.Assert(err, quicktest.IsNil)
			_ = connection.Close()
		})
	}
}

// TestInstancesHaveDifferentAddresses guards against two instances of one address, of
// which one ends at its start. No process listens at an address while its instance is
// down, so the system may choose its port again.
func TestInstancesHaveDifferentAddresses(t *testing.T) {
	c := quicktest.New(t)
	p := &Platform{instanceHost: newInstanceHost(), addressesByName: map[string][3]string{}}
	nameByAddress := map[string]string{}
	for n := range 300 {
		name := fmt.Sprint("edge-", n)
		list, err := p.addresses(name)
		c.Assert(err, quicktest.IsNil)
		for _, address := range list {
			c.Assert(nameByAddress[address], quicktest.Equals, "", quicktest.Commentf("%s of %s", address, name))
			nameByAddress[address] = name
		}
	}
}

// TestPlatformsHaveDifferentHosts guards against an instance that ends at its start,
// because an instance of another platform got its port while it was down.
func TestPlatformsHaveDifferentHosts(t *testing.T) {
	c := quicktest.New(t)
	var platforms []*Platform
	for range 2 {
		p, err := New(Options{Directory: t.TempDir(), TaskDuration: time.Second})
		c.Assert(err, quicktest.IsNil)
		t.Cleanup(p.Stop)
		platforms = append(platforms, p)
	}
	c.Assert(platforms[0].instanceHost, quicktest.Not(quicktest.Equals), platforms[1].instanceHost)
	list, err := platforms[0].addresses("edge-1")
	c.Assert(err, quicktest.IsNil)
	for _, address := range list {
		c.Assert(netip.MustParseAddrPort(address).Addr(), quicktest.Equals, platforms[0].instanceHost)
	}
}
