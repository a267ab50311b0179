package soaker

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestProxy guards against impairments and resets that have no effect, so that a
// soak would test without faults.
func TestProxy(t *testing.T) {
	for name, tt := range map[string]struct {
		impairment               Impairment
		reset, silence           bool
		isEchoed, isDisconnected bool
	}{
		"clear":                        {Impairment{}, false, false, true, false},
		"slow":                         {Impairment{Delay: 20 * time.Millisecond}, false, false, true, false},
		"data to the server dropped":   {Impairment{DropToServer: true}, false, false, false, false},
		"data from the server dropped": {Impairment{DropFromServer: true}, false, false, false, false},
		"reset":                        {Impairment{}, true, false, false, true},
		"silence":                      {Impairment{}, false, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err == nil {
					_, _ = io.Copy(conn, conn)
				}
			}()
			p, err := NewProxy(l.Addr().String())
			c.Assert(err, quicktest.IsNil)
			defer p.Close()
			conn, err := net.Dial("tcp4", p.Address())
			c.Assert(err, quicktest.IsNil)
			defer func() { _ = conn.Close() }()
			buffer := make([]byte, 1)
			echo := func() error {
				if _, err := conn.Write([]byte{1}); err != nil {
					return err
				}
				c.Assert(conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)), quicktest.IsNil)
				_, err := io.ReadFull(conn, buffer)
				return err
			}
			c.Assert(echo(), quicktest.IsNil)
			p.Impair(tt.impairment)
			if tt.reset {
				p.Reset(1, rand.New(rand.NewPCG(1, 1)))
			}
			if tt.silence {
				p.Silence()
			}
			err = echo()
			c.Assert(err == nil, quicktest.Equals, tt.isEchoed, quicktest.Commentf("%v", err))
			timeout, ok := err.(net.Error)
			isTimeout := ok && timeout.Timeout()
			c.Assert(err != nil && !isTimeout, quicktest.Equals, tt.isDisconnected, quicktest.Commentf("%v", err))
		})
	}
}
