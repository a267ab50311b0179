package platformer

import (
	"net"
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
