package server

import (
	"fmt"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestClientsAtLimits guards against a request inside the limits that is refused, and
// against a refusal on the control address that a Twirp client can't decode or that doesn't
// tell that nothing was run.
func TestClientsAtLimits(t *testing.T) {
	c := qt.New(t)
	d, _, _ := startServer(c)
	largest := strings.Repeat("x", maxBodyBytes)
	exchange := "POST /twirp/tarragonhead.messenger.Peer/Exchange HTTP/1.1\r\nHost: x\r\nContent-Type: application/protobuf\r\n"
	call := "POST /v1/services/s/x HTTP/1.1\r\nHost: x\r\n"
	for name, test := range map[string]struct {
		addr, text string
		status     int
		want       []string
	}{
		"largest body of a caller":         {d.settings.Traffic, call + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes) + largest, 200, []string{"answer"}},
		"largest chunked body of a caller": {d.settings.Traffic, call + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", maxBodyBytes, largest), 200, []string{"answer"}},
		"largest control body":             {d.settings.Control, exchange + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes) + largest, 200, []string{"d0"}},
		"control body over the limit":      {d.settings.Control, exchange + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes+1), 413, []string{`"code":"invalid_argument"`, "nothing was run"}},
	} {
		c.Run(name, func(c *qt.C) {
			conn, err := net.Dial("tcp", test.addr)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			status, body, _, err := roundTrip(conn, test.text)
			c.Assert(err, qt.IsNil)
			c.Check(status, qt.Equals, test.status, qt.Commentf("%.200s", body))
			for _, want := range test.want {
				c.Check(body, qt.Contains, want)
			}
		})
	}
}
